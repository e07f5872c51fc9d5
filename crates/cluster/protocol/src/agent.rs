//! The messages between the scheduler and an agent, the process that runs next to one runner.
//!
//! Both sides send complete states, never changes: the scheduler sends all commands for a runner
//! ([`RunnerCommands`]), and the agent sends all that it knows about the runner ([`RunnerReport`]). A lost message
//! therefore only delays the next state. Commands are identified by (term, revision); later ones replace earlier ones.
//! The agent includes all starts and stops of the newest commands in each answer to the runner until they are replaced.

use deku::prelude::*;

use crate::collections::{List, Text};
use crate::id::{Incarnation, Term};

/// The longest interval between two reports of an agent, in milliseconds.
pub const REPORT_INTERVAL_MS: u64 = 500;
/// The lease of an agent, in milliseconds. Its runner continues without contact to the scheduler for this time.
pub const AGENT_LEASE_MS: u64 = 12_000;
/// The lease (`hold_ms`) that an agent grants its runner with each heartbeat, in milliseconds. It is shortened to the
/// remaining time of the agent's own lease.
pub const RUNNER_LEASE_MS: u64 = 2_500;

/// The maximum number of active runs at one runner. The scheduler assigns no more, and an agent accepts no longer list.
pub const MAX_ACTIVE_RUNS: usize = 16_384;
/// The maximum number of ended runs that a runner lists in one heartbeat. It lists further ones once the scheduler has
/// observed these.
pub const MAX_LISTED_ENDS: usize = 500;

/// Returns true if a heartbeat's list of ended runs may have been cut short. A run that such a heartbeat does not list
/// may have ended in any way, also as done.
pub fn may_omit_ends(finished: &[FinishedRun]) -> bool {
    finished.len() >= MAX_LISTED_ENDS
}

/// The resources that a runner has or that a task requires.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Resources {
    /// The processor time, in thousandths of a core.
    pub cpu: u64,
    /// The memory, in megabytes.
    pub mem_mb: u64,
    /// The number of graphics processors (GPUs).
    pub gpu: u64,
}

/// The reason for which a run ended.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum RunEnd {
    /// The run completed its work.
    #[deku(id = 0)]
    Done,
    /// The run failed by a fault of its own or of the runner; this counts against the limit of attempts.
    #[deku(id = 1)]
    Failed,
    /// The run was stopped by a [`StopCommand`].
    #[deku(id = 2)]
    Stopped,
    /// The runner's lease expired (`lapsed` in a heartbeat).
    #[deku(id = 3)]
    LeaseExpired,
    /// Another member of its gang ended (`broken` in a heartbeat).
    #[deku(id = 4)]
    GangMemberEnded,
    /// The run timed out waiting for the other members of its gang (`alone` in a heartbeat).
    #[deku(id = 5)]
    GangTimedOut,
    /// The runner rejected the start (`refused` in a heartbeat).
    #[deku(id = 6)]
    Rejected,
}

/// A run that the runner lists as active.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ActiveRun {
    /// The task, in the format ID.K.STEP.INDEX as in a heartbeat.
    pub task: Text,
    /// The number of this attempt of the task, which is its fencing token.
    pub attempt: u64,
    /// The newest checkpoint; empty if there is none.
    pub checkpoint: Text,
    /// The completed share of the run's work, in percent, as the runner reports it.
    pub percent: u8,
}

/// An ended run that the runner lists until the scheduler has observed its end.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct FinishedRun {
    /// The runner's sequence number of the end, which increases from 1 in each incarnation of the runner.
    pub number: u64,
    /// The task, in the format ID.K.STEP.INDEX as in a heartbeat.
    pub task: Text,
    /// The number of this attempt of the task.
    pub attempt: u64,
    /// The reason for which the run ended.
    pub end: RunEnd,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: Text,
}

/// The state of a runner as its agent knows it. The agent sends it to the scheduler when any field other than `percent`
/// has changed, and at least every [`REPORT_INTERVAL_MS`]. It is answered with [`RunnerCommands`] or
/// [`NotLeader`](crate::client::NotLeader).
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RunnerReport {
    /// The incarnation of the agent.
    pub agent: Incarnation,
    /// The sequence number of the report, which increases by one with each report of this agent.
    pub sequence: u64,
    /// The agent's steady clock when it sent the report, in microseconds; the answer returns it.
    pub sent_at: u64,
    /// The term of the newest commands that the agent has adopted.
    pub term: Term,
    /// The revision of the newest commands that the agent has adopted.
    pub revision: u64,
    /// True once a heartbeat has arrived that the runner sent after it had processed or dropped every answer given
    /// under earlier commands. A run that is then neither active nor finished was not started under those commands and
    /// never will be, unless [`may_omit_ends`] holds for the list of ended runs.
    pub starts_resolved: bool,
    /// True if a runner is known. Otherwise the fields below are empty, except `lease_expired`.
    pub has_runner: bool,
    /// The runner's id, which changes after each crash.
    pub instance: Text,
    /// The service to which the runner belongs.
    pub service: Text,
    /// The address at which the runner serves, as registered by it.
    pub address: Text,
    /// The failure domain of the runner's machine.
    pub zone: Text,
    /// True while the runner drains and accepts no starts.
    pub draining: bool,
    /// The minimum time that remains until a draining runner ends, in milliseconds.
    pub remaining_ms: u64,
    /// The remaining time of the runner's slow start, in milliseconds.
    pub slow_start_remaining_ms: u64,
    /// The total resources of the runner, whether in use or not.
    pub capacity: Resources,
    /// The labels of the runner, which tasks may require.
    pub labels: List<Text>,
    /// All active runs.
    pub active: List<ActiveRun>,
    /// The ended runs whose end the scheduler has not observed yet: the first [`MAX_LISTED_ENDS`] of them.
    pub finished: List<FinishedRun>,
    /// True if every lease granted to the runner has expired without a heartbeat, or the runner was found dead. All of
    /// its runs have then ended, and `active` is empty. A runner that has deregistered may still serve; it is only
    /// reported as `draining`. If no runner is known, true means that every lease granted by an earlier agent has
    /// expired and no runner has registered.
    pub lease_expired: bool,
    /// The time since the runner's last heartbeat, in milliseconds.
    pub since_heartbeat_ms: u64,
}

/// A command to start a run of a task.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct StartCommand {
    /// The task, in the format ID.K.STEP.INDEX as in a heartbeat.
    pub task: Text,
    /// The number of the attempt, which is its fencing token; it is above those of all earlier attempts.
    pub attempt: u64,
    /// The job's specification, as the client sent it.
    pub spec: Text,
    /// The checkpoint from which the run resumes; empty if it starts from the beginning.
    pub checkpoint: Text,
}

/// A command to stop a run of a task.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct StopCommand {
    /// The task, in the format ID.K.STEP.INDEX as in a heartbeat.
    pub task: Text,
    /// The number of the attempt to stop.
    pub attempt: u64,
}

/// All current commands of the scheduler for a runner. It is sent as the answer to a [`RunnerReport`], and unsolicited
/// after a change.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RunnerCommands {
    /// The term of the scheduler.
    pub term: Term,
    /// The revision of the commands, which increases with each change to them.
    pub revision: u64,
    /// The incarnation of the agent whose report this answers; 0 if it answers no report.
    pub agent: Incarnation,
    /// The `sent_at` of the report that this answers, in microseconds; 0 if it answers no report. Only an answer
    /// extends the agent's lease, to `sent_at` plus `lease_ms` on the agent's clock.
    pub sent_at: u64,
    /// The agent's lease, in milliseconds. Until it expires the agent extends the runner's lease without the scheduler,
    /// but never beyond the end of its own lease.
    pub lease_ms: u64,
    /// The id of the runner to which the commands apply; a runner with another id receives none of them.
    pub instance: Text,
    /// The runs that must be started: those that are neither active nor finished in the newest report.
    pub start: List<StartCommand>,
    /// The active runs that must be stopped.
    pub stop: List<StopCommand>,
    /// The number up to which ends of runs are committed at a quorum; the runner may discard those ends.
    pub observed: u64,
    /// The time after which the runner sends its next heartbeat, in milliseconds.
    pub retry_after_ms: u64,
}
