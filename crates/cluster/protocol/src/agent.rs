//! Between the agent beside a runner and the scheduler.
//!
//! Both sides send complete states, never changes: the scheduler all that is wanted of a runner
//! ([`RunnerCommands`]), the agent all that it knows of the runner ([`RunnerReport`]). A lost message therefore
//! costs time and nothing else. Commands are named by (term, revision); later ones replace earlier ones. The agent
//! puts all starts and stops of the newest commands into each answer to the runner, until they are replaced.

use deku::prelude::*;

use crate::collections::{List, Text};
use crate::id::{Incarnation, Term};

/// An agent sends a report at least this often, in milliseconds.
pub const REPORT_INTERVAL_MS: u64 = 500;
/// The lease of an agent, in milliseconds: its runner goes on without the scheduler for this time.
pub const AGENT_LEASE_MS: u64 = 12_000;
/// The lease (`hold_ms`) that an agent grants its runner with each heartbeat, in milliseconds, cut to what is left of
/// the agent's own.
pub const RUNNER_LEASE_MS: u64 = 2_500;

/// What a runner has, or a task asks for.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub mem_mb: u64,
    /// Graphics processors.
    pub gpu: u64,
}

/// How a run ended.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum RunEnd {
    /// It has done its work.
    #[deku(id = 0)]
    Done,
    /// By its own fault or the runner's; counts against the limit of attempts.
    #[deku(id = 1)]
    Failed,
    /// By a [`StopCommand`].
    #[deku(id = 2)]
    Stopped,
    /// The runner's lease was over (`lapsed` in a heartbeat).
    #[deku(id = 3)]
    LeaseExpired,
    /// Another member of its gang ended (`broken` in a heartbeat).
    #[deku(id = 4)]
    GangMemberEnded,
    /// It waited in vain for the other members of its gang (`alone` in a heartbeat).
    #[deku(id = 5)]
    GangTimedOut,
    /// The runner did not start it (`refused` in a heartbeat).
    #[deku(id = 6)]
    Rejected,
}

/// A run that the runner lists as active.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ActiveRun {
    /// The task, ID.K.STEP.INDEX as in a heartbeat.
    pub task: Text,
    /// The number of this attempt of the task, its fencing token.
    pub attempt: u64,
    /// The newest checkpoint; empty for none.
    pub checkpoint: Text,
    /// The share of its work that is done, in hundredths, as the runner reports it.
    pub percent: u8,
}

/// An ended run that the runner lists until its end is observed.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct FinishedRun {
    /// The runner's number of the end; rises from 1 in each incarnation of the runner.
    pub number: u64,
    /// The task, ID.K.STEP.INDEX as in a heartbeat.
    pub task: Text,
    /// The number of this attempt of the task.
    pub attempt: u64,
    /// How it ended.
    pub end: RunEnd,
    /// The last checkpoint; empty for none.
    pub checkpoint: Text,
}

/// What an agent knows of its runner. Sent to the scheduler when anything but `percent` has changed, and at least
/// every [`REPORT_INTERVAL_MS`]; answered by [`RunnerCommands`], or by [`NotLeader`](crate::client::NotLeader).
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RunnerReport {
    /// The agent's own incarnation.
    pub agent: Incarnation,
    /// Rises by one with each report of this agent.
    pub sequence: u64,
    /// The agent's steady clock at the sending, in microseconds; comes back in the answer.
    pub sent_at: u64,
    /// The term of the newest commands that the agent has adopted.
    pub term: Term,
    /// Their revision.
    pub revision: u64,
    /// Whether a heartbeat has come that the runner sent after it took, or dropped, every answer given under earlier
    /// commands: what is then neither active nor finished was not started under them and never will be.
    pub starts_resolved: bool,
    /// Whether a runner is known. The fields below are empty otherwise, but for `lease_expired`.
    pub has_runner: bool,
    /// The runner's id; a new one after each crash.
    pub instance: Text,
    /// The service to which the runner belongs.
    pub service: Text,
    /// Where the runner serves, as it registered.
    pub address: Text,
    /// The failure domain of the runner's machine.
    pub zone: Text,
    /// Whether the runner drains and takes no start.
    pub draining: bool,
    /// While it drains: the least time that is left to it, in milliseconds.
    pub remaining_ms: u64,
    /// How long the runner is still in slow start, in milliseconds.
    pub slow_start_remaining_ms: u64,
    /// All that the runner has, in use or not.
    pub capacity: Resources,
    /// Labels that tasks may require.
    pub labels: List<Text>,
    /// All runs under way.
    pub active: List<ActiveRun>,
    /// All ended runs whose end is not observed yet.
    pub finished: List<FinishedRun>,
    /// Whether every lease granted to the runner is over, by silence, or it was found dead: whatever it ran is over,
    /// and `active` is empty. A runner that has deregistered may still serve: it is `draining`, no more. Where no
    /// runner is known: every lease of an earlier agent is over, and no runner has registered.
    pub lease_expired: bool,
    /// Since the runner's last heartbeat, in milliseconds.
    pub since_heartbeat_ms: u64,
}

/// A start that is wanted.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct StartCommand {
    /// The task, ID.K.STEP.INDEX as in a heartbeat.
    pub task: Text,
    /// The number of the attempt, its fencing token; above those of all earlier attempts.
    pub attempt: u64,
    /// The job's specification as the client sent it.
    pub spec: Text,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: Text,
}

/// A stop that is wanted.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct StopCommand {
    /// The task, ID.K.STEP.INDEX as in a heartbeat.
    pub task: Text,
    /// The number of the attempt.
    pub attempt: u64,
}

/// All that the scheduler wants of a runner. Answers a [`RunnerReport`], or comes unasked after a change.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RunnerCommands {
    /// The scheduler's term.
    pub term: Term,
    /// Rises with each change of what is wanted; unchanged commands keep it.
    pub revision: u64,
    /// The agent whose report this answers; 0 where it answers none.
    pub agent: Incarnation,
    /// `sent_at` of the report that this answers; 0 where it answers none. Only an answer extends the agent's lease,
    /// to `sent_at` + `lease_ms` on the agent's clock.
    pub sent_at: u64,
    /// The lease, in milliseconds. While it lasts the agent extends the runner's lease by itself, never beyond its end.
    pub lease_ms: u64,
    /// The runner that is commanded; one with another id gets none of these commands.
    pub instance: Text,
    /// Every run that is wanted and is neither active nor finished by the newest report.
    pub start: List<StartCommand>,
    /// Every run that is active and not wanted.
    pub stop: List<StopCommand>,
    /// Ends up to this number are committed at a quorum; the runner may forget them.
    pub observed: u64,
    /// The time until the runner's next heartbeat, in milliseconds.
    pub retry_after_ms: u64,
}
