//! Decoded messages from and to clients and runners.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::rc::Rc;

/// Reply to a client or an operator.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Time in seconds after which the client may try again; 0 for no such header.
    pub retry_after_s: f64,
    /// Body of the reply.
    pub body: Bytes,
    /// Whether the connection is closed after this reply.
    pub close_connection: bool,
    /// Whether the body is left out and only its length is sent, as in a reply to HEAD.
    pub headers_only: bool,
}

impl Reply {
    /// A reply without a retry time that keeps the connection open.
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Reply {
            status,
            retry_after_s: 0.0,
            body: body.into(),
            close_connection: false,
            headers_only: false,
        }
    }
}

/// Request to a runner.
#[derive(Clone, Debug)]
pub enum RunnerRequest {
    /// Runs a work item.
    Work {
        /// Path and query.
        target: String,
        /// Header lines that are forwarded, the one with the work item's id among them.
        headers: Bytes,
        /// Time in seconds that the runner has for the work item; set when the request is written.
        time_left_s: f64,
        /// The first byte must be written before this time, in seconds on the exchange's clock.
        start_by_s: f64,
        /// Whether the client has disconnected. If so, the first byte must not be written.
        client_left: Rc<Cell<bool>>,
        /// Body of the request.
        body: Bytes,
    },
    /// Cancels a work item.
    Cancel {
        /// Id of the work item.
        id: String,
    },
}

/// Response of a runner to a request.
#[derive(Debug)]
pub struct RunnerResponse {
    /// HTTP status.
    pub status: u16,
    /// Whether the runner states that it never started the work item.
    pub is_declined: bool,
    /// Whether it came so soon after another response on the same connection that it may be a second response to the
    /// request before.
    pub may_be_duplicate: bool,
    /// Whether the connection can carry another request.
    pub keep_alive: bool,
}

/// How far a request to a runner had come when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFailure {
    /// Held back on this side: not written, or not completely.
    NotSent,
    /// The connection was not established, or it failed before the last byte was written.
    NotDelivered,
    /// Written completely, but no response came.
    NoResponse,
    /// Written completely on a connection that had been idle, but no response came. The connection may have been dead
    /// before.
    StaleConnection,
}

/// A client's request as it is forwarded to runners.
pub struct WorkRequest {
    /// Id of the work item, unique among those that are open.
    pub id: Rc<str>,
    /// Path and query.
    pub target: String,
    /// Header lines that are forwarded, the one with the work item's id among them.
    pub headers: Bytes,
    /// Body of the request.
    pub body: Bytes,
    /// Whether the client has disconnected.
    pub client_left: Rc<Cell<bool>>,
}

/// Callback of a runner about the state of a job.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Callback {
    /// Id of the work item.
    pub id: String,
    /// Name of the runner.
    pub from: String,
    /// State of the job at the runner.
    #[serde(flatten)]
    pub state: JobState,
}

/// State of a job at a runner.
#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(tag = "state", rename_all = "lowercase")]
pub enum JobState {
    /// The job has started.
    Started,
    /// The job is running.
    Running {
        /// Share of the job that is complete, from 0 to 1.
        #[serde(default)]
        share: f64,
    },
    /// The job has finished.
    Done {
        /// Result for the client.
        #[serde(default)]
        result: String,
    },
    /// The job has failed.
    Failed,
    /// The runner gives the job back without having started it.
    Returned,
    /// The job's process died.
    Lost,
}

/// FNV-1a hash of a name. It is the same at every dispatcher.
pub fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ byte as u64).wrapping_mul(0x100_0000_01b3)
    })
}
