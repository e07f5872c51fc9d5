//! What clients, runners and the operator saw. The checker knows nothing else.

use crate::configuration::Configuration;
use crate::engine::Micros;
use crate::job::{JobBook, TaskName};
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
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
    /// 410.
    Gone,
    /// A 200 that cannot be read.
    Unreadable,
}

/// What a runner said of itself when it came up.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerFacts {
    pub instance: String,
    /// The machine on which it stands, by the process of the system there.
    pub machine: NodeId,
    pub service: String,
    pub capacity: Resources,
    pub labels: Vec<String>,
    /// True where it refuses what does not fit.
    pub guards: bool,
}

/// A start at a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct StartSeen {
    pub instance: String,
    /// As on the wire.
    pub task: String,
    pub attempt: u64,
    pub spec: String,
    pub saved: String,
}

/// An end at a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct EndSeen {
    pub instance: String,
    pub number: u64,
    pub task: TaskName,
    pub attempt: u64,
    pub end: RunEnd,
    pub saved: String,
}

/// An order of the operator, by its number in the day.
pub type OrderNumber = usize;

/// An order of the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderSeen {
    pub order: OrderNumber,
    pub base: u64,
    pub version: u64,
    pub valid: bool,
    /// What is in force if it is taken; `None` for an invalid one.
    pub content: Option<Configuration>,
}

/// Whom a trouble touches.
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
pub enum Sight {
    /// Trouble, from this instant to `until`.
    Trouble {
        until: Micros,
        what: String,
        reach: Reach,
    },
    /// The day's final fault, from this instant until all machines are back.
    FinalFault {
        back: Micros,
    },
    SubmitSent {
        job: String,
    },
    SubmitAnswered {
        job: String,
        answer: Answer,
    },
    /// The client will not try to hand it in again.
    SubmitGivenUp {
        job: String,
    },
    StateRead {
        job: String,
        sent: Micros,
        gateway: NodeId,
        state: ShownState,
    },
    CancelSent {
        job: String,
    },
    CancelAnswered {
        job: String,
        answer: Answer,
    },
    RunnerUp(RunnerFacts),
    /// It crashed or ended; nothing runs there any more.
    RunnerDown {
        instance: String,
    },
    Started(StartSeen),
    Ended(EndSeen),
    /// An answer that the runner took said `observed`.
    Observed {
        instance: String,
        number: u64,
    },
    /// The runner's hold was over.
    HoldLapsed {
        instance: String,
    },
    DrainAcknowledged {
        instance: String,
    },
    OrderSent(OrderSeen),
    OrderAnswered {
        order: OrderNumber,
        answer: Answer,
    },
    /// The operator asked for the configuration; `None`: no answer or none that can be read.
    ConfigRead {
        sent: Micros,
        content: Option<Configuration>,
    },
    /// A queue's count was asked of one gateway.
    QueueRead {
        sent: Micros,
        gateway: NodeId,
        host: String,
        prefix: String,
        answer: Answer,
    },
    /// The day is over and all is calm for long; what is not done now never will be.
    DayEnd,
}

/// A sight and its instant.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub at: Micros,
    pub sight: Sight,
}

/// All that was seen in a day, by time.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub seen: Vec<Seen>,
    pub jobs: JobBook,
}

impl History {
    /// Adds what is seen at `at`.
    pub fn note(&mut self, at: Micros, sight: Sight) {
        self.seen.push(Seen { at, sight });
    }
}
