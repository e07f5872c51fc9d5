//! Between the clients' gateway and the scheduler. The gateway retries lost messages; the job's id makes a retry
//! idempotent.

use deku::prelude::*;

use crate::collections::{Blob, Text};
use crate::id::{NodeId, Term};

/// What a client requests of a job or a queue.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum ClientMethod {
    /// Submit a job (POST).
    #[deku(id = 0)]
    Submit,
    /// Read a job's state, or a queue's count (GET).
    #[deku(id = 1)]
    Read,
    /// Cancel a job (DELETE).
    #[deku(id = 2)]
    Cancel,
}

/// A client's request. Sent by a gateway to the scheduler, which routes it, so that one configuration decides;
/// answered by [`ClientReply`] or [`NotLeader`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ClientRequest {
    /// Names the request at the gateway that sent it; the same in each repeat.
    pub request: u64,
    /// The request's kind.
    pub method: ClientMethod,
    /// The `Host` header without a port.
    pub host: Text,
    /// The path without a query.
    pub path: Text,
    /// The body as received (JSON); empty for `Read` and `Cancel`.
    pub body: Blob,
    /// The newest version of the configuration that the gateway has seen: the scheduler must know
    /// it, or a newer one, before it answers.
    pub config_version: u64,
    /// The time until the client's deadline, in milliseconds.
    pub remaining_ms: u32,
}

/// The scheduler's answer to a [`ClientRequest`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ClientReply {
    /// As in the request.
    pub request: u64,
    /// The HTTP status.
    pub status: u16,
    /// The client may retry after this time, in milliseconds; 0: no `Retry-After`.
    pub retry_after_ms: u32,
    /// JSON, or empty.
    pub body: Blob,
    /// The version of the configuration by which it was answered.
    pub config_version: u64,
}

/// The receiver of a [`ClientRequest`] or a [`RunnerReport`](crate::agent::RunnerReport) leads no term and did
/// nothing. The sender tries the leader that is named, or another core process.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct NotLeader {
    /// The request; zero for a report.
    pub request: u64,
    /// The newest term known.
    pub term: Term,
    /// Its leader; `NodeId::default()` where none is known.
    pub leader: NodeId,
}
