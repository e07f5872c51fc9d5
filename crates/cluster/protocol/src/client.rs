//! Between the clients' gateway and the scheduler. Lost messages are sent again by the gateway; a job's ID makes
//! the repeat harmless.

use crate::collections::{Blob, Text};
use crate::id::{NodeId, Term};
use deku::prelude::*;

/// What a client asks of a job or a queue.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum ClientMethod {
    /// Hand a job in (POST).
    #[deku(id = 0)]
    Submit,
    /// Ask for a job's state, or a queue's count (GET).
    #[deku(id = 1)]
    Read,
    /// Cancel a job (DELETE).
    #[deku(id = 2)]
    Cancel,
}

/// A client's request, passed on whole: the scheduler routes it, so that one configuration decides.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ClientRequest {
    /// Names the request at the gateway that sent it; the same in each repeat.
    pub request: u64,
    pub method: ClientMethod,
    /// The `Host` header without a port.
    pub host: Text,
    /// The path without a query.
    pub path: Text,
    /// The body as received (JSON); empty for `Read` and `Cancel`.
    pub body: Blob,
    /// The newest version of the configuration that the gateway has seen: the scheduler must know it, or a
    /// newer one, before it answers.
    pub config_version: u64,
    /// What is left of the client's patience, in milliseconds.
    pub remaining_ms: u32,
}

/// The scheduler's answer.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ClientReply {
    pub request: u64,
    /// The HTTP status.
    pub status: u16,
    /// The client may try again after so many milliseconds; 0: nothing is said of it.
    pub retry_after_ms: u32,
    /// JSON, or empty.
    pub body: Blob,
    /// The version of the configuration by which it was answered.
    pub config_version: u64,
}

/// The process that got a request or a report is not the scheduler. Nothing was done.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct NotLeader {
    /// The request, or zero for a report.
    pub request: u64,
    /// The newest term known.
    pub term: Term,
    /// Who holds it, if that is known; `NodeId::default()` if not.
    pub leader: NodeId,
}
