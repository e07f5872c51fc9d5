//! Between the agent beside a runner and the scheduler.
//!
//! The scheduler says what is wanted (`RunnerCommands`, whole each time), the agent what is (`RunnerReport`, whole
//! each time): a lost message costs time, never truth. Orders are named by (term, revision); a later one
//! replaces an earlier one. The agent offers all starts and stops of the newest orders in each answer to the
//! runner, until they are replaced.

use crate::collections::{List, Text};
use crate::id::{Incarnation, Term};
use deku::prelude::*;

/// What a runner has, or a task asks for.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes of memory.
    pub mem_mb: u64,
    /// Graphics processors.
    pub gpu: u64,
}

/// How a run ended.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum RunEnd {
    #[deku(id = 0)]
    Done,
    /// Through its own fault or the runner's; counts against the limit of attempts.
    #[deku(id = 1)]
    Failed,
    #[deku(id = 2)]
    Stopped,
    /// The runner's hold was over.
    #[deku(id = 3)]
    LeaseExpired,
    /// Another member of its gang ended.
    #[deku(id = 4)]
    GangMemberEnded,
    /// It waited in vain for the other members of its gang.
    #[deku(id = 5)]
    GangTimedOut,
    /// It was not started.
    #[deku(id = 6)]
    Rejected,
}

/// A run that the runner lists as active.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ActiveRun {
    /// ID.K.STEP.INDEX as on the wire.
    pub task: Text,
    pub attempt: u64,
    /// The newest checkpoint, empty for none.
    pub checkpoint: Text,
    /// Hundredths of its work that are done, by the runner's word.
    pub percent: u8,
}

/// An end that the runner lists and that has not been observed.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct FinishedRun {
    /// The runner's number of the end; rises from 1 in each incarnation of the runner.
    pub number: u64,
    pub task: Text,
    pub attempt: u64,
    pub end: RunEnd,
    pub checkpoint: Text,
}

/// What an agent knows of its runner. Sent when anything but `percent` has changed, and at least every
/// `REPORT_INTERVAL_MS`.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RunnerReport {
    /// The agent's own incarnation.
    pub agent: Incarnation,
    /// Rises by one with each report of this agent.
    pub sequence: u64,
    /// The agent's steady clock at the sending, in microseconds; comes back in the answer.
    pub sent_at: u64,
    /// The newest orders that the agent has adopted.
    pub term: Term,
    pub revision: u64,
    /// True once a heartbeat has come that the runner sent after it took, or dropped, every answer given
    /// under earlier orders: what is then neither active nor finished was not started under them and never
    /// will be.
    pub starts_resolved: bool,
    /// True where a runner is known. The fields below are empty otherwise, but for `lease_expired`.
    pub has_runner: bool,
    /// The runner's id; a new one after each crash.
    pub instance: Text,
    pub service: Text,
    pub address: Text,
    pub zone: Text,
    pub draining: bool,
    /// While it drains: the time that is left at least, in milliseconds.
    pub remaining_ms: u64,
    /// How much longer it is slow from its start, in milliseconds.
    pub slow_start_remaining_ms: u64,
    pub capacity: Resources,
    pub labels: List<Text>,
    pub active: List<ActiveRun>,
    pub finished: List<FinishedRun>,
    /// True where the runner has been silent beyond every hold granted to it, or was found dead: whatever it ran
    /// is over. `active` is empty then. A runner that has deregistered may serve on: it is `draining`, no more.
    /// Where no runner is known: none was heard until every hold of an earlier agent was over.
    pub lease_expired: bool,
    /// Milliseconds since the runner's last heartbeat.
    pub since_heartbeat_ms: u64,
}

/// A start that is wanted.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct StartCommand {
    pub task: Text,
    pub attempt: u64,
    /// The job's specification, word for word.
    pub spec: Text,
    /// The checkpoint to resume from, empty for none.
    pub checkpoint: Text,
}

/// A stop that is wanted.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct StopCommand {
    pub task: Text,
    pub attempt: u64,
}

/// What the scheduler wants of a runner, whole. Answers a report, or comes unasked after a change.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RunnerCommands {
    pub term: Term,
    /// Rises with each change of what is wanted; unchanged orders keep it.
    pub revision: u64,
    /// The report that this answers: its agent and its `sent_at`; 0 where it answers none. Only then does it
    /// extend the lease, to `sent_at` + `lease_ms` on the agent's clock.
    pub agent: Incarnation,
    pub sent_at: u64,
    /// While its lease lasts the agent extends the runner's hold by itself, never beyond the lease's end.
    pub lease_ms: u64,
    /// Whose orders these are; a runner with another id gets none of them.
    pub instance: Text,
    /// Every run that is wanted and is neither active nor finished by the newest report.
    pub start: List<StartCommand>,
    /// Every run that is active and not wanted.
    pub stop: List<StopCommand>,
    /// Ends up to this number are kept by a quorum.
    pub observed: u64,
    /// The runner's next heartbeat comes after so many milliseconds.
    pub retry_after_ms: u64,
}

/// At least so often an agent reports, in milliseconds.
pub const REPORT_INTERVAL_MS: u64 = 500;
/// The lease of an agent, in milliseconds: so long its runner runs on without the scheduler.
pub const AGENT_LEASE_MS: u64 = 12_000;
/// The hold that an agent grants with each heartbeat, in milliseconds, cut to what is left of its lease.
pub const RUNNER_LEASE_MS: u64 = 2_500;
