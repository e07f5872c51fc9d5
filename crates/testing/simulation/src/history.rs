//! What clients, runners and the operator saw. The checker knows nothing else.

use crate::configuration::Configuration;
use crate::engine::Micros;
use crate::job::{JobTable, TaskName};
use sagetrail_protocol::agent::{Resources, RunEnd};
use sagetrail_protocol::NodeId;

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// An answer with this status.
    Status(u16),
    /// The connection broke.
    Broken,
    /// Nothing came in time.
    Silence,
}

impl Answer {
    /// True for a 2xx.
    pub fn is_success(self) -> bool {
        matches!(self, Answer::Status(status) if (200..300).contains(&status))
    }

    /// True for an answer that promises that nothing was done.
    pub fn is_rejection(self) -> bool {
        matches!(
            self,
            Answer::Status(429 | 503 | 404 | 400..=403 | 405..=407 | 409..=428)
        )
    }
}

/// The state of a job as a client read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShownState {
    /// It is queued.
    Queued,
    /// It runs.
    Running,
    /// It has completed.
    Completed,
    /// It has failed.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// 410.
    Gone,
    /// A 200 that cannot be read.
    Unreadable,
}

/// What a runner said of itself when it came up.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerFacts {
    /// The runner's id.
    pub instance: String,
    /// The machine on which it stands, by the process of the system there.
    pub machine: NodeId,
    /// The service.
    pub service: String,
    /// All that it has.
    pub capacity: Resources,
    /// Its labels; the last one is its rack.
    pub labels: Vec<String>,
    /// True where it refuses what does not fit.
    pub guards: bool,
}

/// A start at a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedStart {
    /// The runner's id.
    pub instance: String,
    /// As on the wire.
    pub task: String,
    /// The run's attempt number.
    pub attempt: u64,
    /// The specification handed to the run.
    pub spec: String,
    /// The checkpoint, empty for none.
    pub saved: String,
}

/// An end at a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedEnd {
    /// The runner's id.
    pub instance: String,
    /// The runner's number of the end.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The run's attempt number.
    pub attempt: u64,
    /// How it ended.
    pub end: RunEnd,
    /// The checkpoint, empty for none.
    pub saved: String,
}

/// An order of the operator, by its number in the day.
pub type OrderNumber = usize;

/// An order of the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedChange {
    /// The number of the change.
    pub order: OrderNumber,
    /// The version that it builds on.
    pub base: u64,
    /// Its version.
    pub version: u64,
    /// True where the cluster has to accept it.
    pub valid: bool,
    /// What is in force if it is taken; `None` for an invalid one.
    pub content: Option<Configuration>,
}

/// Whom a fault touches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reach {
    /// All machines.
    Everything,
    /// The core, and so everyone's touch with it.
    Core,
    /// These machines outside the core.
    Machines(Vec<NodeId>),
    /// A runner, not the machine on which it stands.
    Runner,
}

/// What was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A fault, from this instant to `until`.
    Fault {
        /// When it ends.
        until: Micros,
        /// Its description.
        what: String,
        /// Whom it touches.
        reach: Reach,
    },
    /// The day's final fault, from this instant until all machines are back.
    FinalFault {
        /// When all machines are back.
        back: Micros,
    },
    /// A client submits a job.
    SubmitSent {
        /// The job's ID.
        job: String,
    },
    /// A submission was answered.
    SubmitAnswered {
        /// The job's ID.
        job: String,
        /// The answer.
        answer: Answer,
    },
    /// The client will not try to submit it again.
    SubmitGivenUp {
        /// The job's ID.
        job: String,
    },
    /// A client read a job's state.
    StateRead {
        /// The job's ID.
        job: String,
        /// When the request was sent.
        sent: Micros,
        /// The frontend that was asked.
        gateway: NodeId,
        /// Whether it runs.
        state: ShownState,
    },
    /// A client cancels a job.
    CancelSent {
        /// The job's ID.
        job: String,
    },
    /// A cancellation was answered.
    CancelAnswered {
        /// The job's ID.
        job: String,
        /// The answer.
        answer: Answer,
    },
    /// A runner came up.
    RunnerUp(RunnerFacts),
    /// It crashed or ended; nothing runs there any more.
    RunnerDown {
        /// The runner's id.
        instance: String,
    },
    /// A run started at a runner.
    Started(ObservedStart),
    /// A run ended at a runner.
    Ended(ObservedEnd),
    /// An answer that the runner took said `observed`.
    Observed {
        /// The runner's id.
        instance: String,
        /// The runner's number of the end.
        number: u64,
    },
    /// The runner's lease was over.
    LeaseExpired {
        /// The runner's id.
        instance: String,
    },
    /// A runner's announcement that it drains was acknowledged.
    DrainAcknowledged {
        /// The runner's id.
        instance: String,
    },
    /// The operator sends a configuration change.
    OrderSent(ObservedChange),
    /// A configuration change was answered.
    OrderAnswered {
        /// The number of the change.
        order: OrderNumber,
        /// The answer.
        answer: Answer,
    },
    /// The operator asked for the configuration; `None`: no answer or none that can be read.
    ConfigRead {
        /// When the request was sent.
        sent: Micros,
        /// The configuration; `None` where there is none.
        content: Option<Configuration>,
    },
    /// A queue's count was asked of one gateway.
    QueueRead {
        /// When the request was sent.
        sent: Micros,
        /// The frontend that was asked.
        gateway: NodeId,
        /// The `Host` of its queue.
        host: String,
        /// The path prefix of the queue.
        prefix: String,
        /// The answer.
        answer: Answer,
    },
    /// The day is over and all is calm for long; what is not done now never will be.
    DayEnd,
}

/// A observation and its instant.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedObservation {
    /// When, in true time.
    pub at: Micros,
    /// What was observed.
    pub observation: Observation,
}

/// All that was seen in a day, by time.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// All observations, by time.
    pub observations: Vec<TimedObservation>,
    /// The jobs of the day.
    pub jobs: JobTable,
}

impl History {
    /// Adds what is seen at `at`.
    pub fn note(&mut self, at: Micros, observation: Observation) {
        self.observations.push(TimedObservation { at, observation });
    }
}
