//! The seam between the logic of a process and the world. The logic takes events and fills an outbox; it reads no
//! clock, opens no socket and touches no disk, so that whole clusters run in one process in tests.

use crate::id::NodeId;
use crate::message::Message;
use crate::time::Time;
use std::net::SocketAddrV4;

/// Names a request of HTTP until it is answered.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct HttpRequestId(pub u64);

/// The listening address by which a request of HTTP came.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum HttpEndpoint {
    /// Clients.
    Frontend,
    /// The platform's readiness check.
    Readiness,
    /// The operator on core machines, the runner on side machines.
    Control,
}

/// A method of HTTP.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum Method {
    Get,
    Post,
    Delete,
    /// Any other.
    Other,
}

/// A request of HTTP, read whole.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HttpRequest {
    pub method: Method,
    /// The `Host` header without a port; empty where there is none.
    pub host: String,
    /// The path without a query.
    pub path: String,
    /// The `Base-Version` header; `None` where it is missing or no number.
    pub base_version: Option<u64>,
    /// The `Deadline-Ms` header.
    pub deadline_ms: Option<u64>,
    pub body: Vec<u8>,
}

/// An answer of HTTP. A body, where there is one, is JSON.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HttpReply {
    pub status: u16,
    /// The `Retry-After` header, in whole seconds, rounded up by whoever sets it.
    pub retry_after_s: Option<u32>,
    pub body: Vec<u8>,
}

/// A table on disk.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub enum Table {
    /// The control plane's own state: promises, accepted values, members.
    Control,
    /// The replicated records of the scheduler.
    Records,
}

/// A change of what is on disk.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum DiskOperation {
    Put {
        table: Table,
        key: Vec<u8>,
        value: Vec<u8>,
    },
    Delete {
        table: Table,
        key: Vec<u8>,
    },
    /// Empties a table.
    Clear {
        table: Table,
    },
}

/// Changes that reach the disk together or not at all, and what waits for that. Writes of one process reach the
/// disk in the order in which they were asked for; the world may sync several at once.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct DiskWrite {
    pub operations: Vec<DiskOperation>,
    /// Sent once the changes are synced.
    pub send_when_synced: Vec<(NodeId, Message)>,
    /// Told back as `Event::Synced` once the changes are synced.
    pub token: Option<u64>,
}

/// What was on disk when the process started.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct DiskImage {
    pub control: Vec<(Vec<u8>, Vec<u8>)>,
    pub records: Vec<(Vec<u8>, Vec<u8>)>,
}

/// Names a probe until its result comes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct HealthCheckId(pub u64);

/// A look at another process: one GET by a connection of its own.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HealthCheck {
    pub id: HealthCheckId,
    pub address: SocketAddrV4,
    pub path: String,
}

/// So long a probe waits for its answer, in milliseconds.
pub const HEALTH_CHECK_TIMEOUT_MS: u64 = 300;

/// What came of a probe.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum HealthCheckResult {
    /// The machine is up and nothing listens at the address.
    Refused,
    /// It was answered with this status.
    Status(u16),
    /// No answer in time, or a connection that broke off.
    NoAnswer,
}

/// What happens to a process.
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    Message {
        from: NodeId,
        message: Message,
    },
    /// A request of HTTP; must be answered exactly once with `Outbox::reply`, unless it is abandoned.
    Http {
        id: HttpRequestId,
        endpoint: HttpEndpoint,
        request: HttpRequest,
    },
    /// The caller has gone; no answer is needed.
    HttpAbandoned {
        id: HttpRequestId,
    },
    /// A disk write with this token has been synced.
    Synced {
        token: u64,
    },
    /// What came of a probe; told once for each.
    HealthCheck {
        id: HealthCheckId,
        result: HealthCheckResult,
    },
    /// The instant asked for by `Node::next_wake` has come.
    Wake,
    /// The settings name other core processes to start from.
    SeedsChanged(Vec<NodeId>),
    /// The platform wants the process to end within its grace.
    Terminate,
}

/// What the logic wants done.
#[derive(Default, Debug)]
pub struct Outbox {
    /// Sent at once.
    pub sends: Vec<(NodeId, Message)>,
    pub replies: Vec<(HttpRequestId, HttpReply)>,
    pub writes: Vec<DiskWrite>,
    pub health_checks: Vec<HealthCheck>,
    /// True: everything is settled and the process may end (after `Event::Terminate`).
    pub finished: bool,
}

impl Outbox {
    /// Sends a message at once.
    pub fn send(&mut self, to: NodeId, message: Message) {
        self.sends.push((to, message));
    }

    /// Answers a request of HTTP.
    pub fn reply(&mut self, id: HttpRequestId, reply: HttpReply) {
        self.replies.push((id, reply));
    }

    /// Looks at another process; `Event::HealthCheck` tells what came of it.
    pub fn health_check(&mut self, health_check: HealthCheck) {
        self.health_checks.push(health_check);
    }
}

/// The clocks at an event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Now {
    /// The steady clock.
    pub steady: Time,
    /// The time of day, in milliseconds since 1970; may jump either way.
    pub wall_ms: i64,
}

/// The logic of a process.
pub trait Node {
    /// Takes one event.
    fn handle(&mut self, now: Now, event: Event, outbox: &mut Outbox);

    /// When `Event::Wake` is due next. Asked after each event.
    fn next_wake(&self) -> Option<Time>;
}
