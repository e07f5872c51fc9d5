//! The messages between a clients' gateway and the scheduler. The gateway retries lost messages; the job's id makes a
//! retry idempotent.

use deku::prelude::*;

use crate::collections::{Blob, Text};
use crate::id::{NodeId, Term};

/// The operation that a client requests on a job or a queue.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum ClientMethod {
    /// Submits a job (POST).
    #[deku(id = 0)]
    Submit,
    /// Reads a job's state or a queue's count (GET).
    #[deku(id = 1)]
    Read,
    /// Cancels a job (DELETE).
    #[deku(id = 2)]
    Cancel,
}

/// A client's request, which a gateway sends to the scheduler. The scheduler selects the route, so that a single
/// configuration determines it. It is answered with [`ClientReply`] or [`NotLeader`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ClientRequest {
    /// The number that identifies the request at the gateway that sent it; every retry has the same number.
    pub request: u64,
    /// The requested operation.
    pub method: ClientMethod,
    /// The `Host` header of the HTTP request, without a port.
    pub host: Text,
    /// The path of the HTTP request, without a query.
    pub path: Text,
    /// The body as received, which is JSON; empty for `Read` and `Cancel`.
    pub body: Blob,
    /// The newest version of the configuration that the gateway has seen. The scheduler must have this or a newer
    /// version before it answers.
    pub config_version: u64,
    /// The time that remains until the client's deadline, in milliseconds.
    pub remaining_ms: u32,
}

/// The scheduler's answer to a [`ClientRequest`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ClientReply {
    /// The number of the request, as in [`ClientRequest`].
    pub request: u64,
    /// The HTTP status of the answer.
    pub status: u16,
    /// The time after which the client may retry, in milliseconds; at 0 the answer has no `Retry-After` header.
    pub retry_after_ms: u32,
    /// The body of the answer, which is JSON or empty.
    pub body: Blob,
    /// The version of the configuration on which the answer is based.
    pub config_version: u64,
}

/// Reports that the receiver of a [`ClientRequest`] or a [`RunnerReport`](crate::agent::RunnerReport) is not the leader
/// and that the message had no effect. The sender then tries the leader named here, or another core process.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct NotLeader {
    /// The number of the request; 0 if this answers a report.
    pub request: u64,
    /// The newest term known to the sender.
    pub term: Term,
    /// The leader of `term`; `NodeId::default()` if none is known.
    pub leader: NodeId,
}
