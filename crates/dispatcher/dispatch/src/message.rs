//! What goes to and comes from clients and runners, decoded.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::rc::Rc;

#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub retry_after_s: f64,
    pub body: Bytes,
    pub close: bool,
    /// To HEAD: the length alone.
    pub bare: bool,
}

impl Reply {
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Reply {
            status,
            retry_after_s: 0.0,
            body: body.into(),
            close: false,
            bare: false,
        }
    }
}

/// A work item's request as it goes on, or the giving up of one.
#[derive(Clone, Debug)]
pub enum Outgoing {
    /// No first byte of it goes out from `begin_by` on, nor once its client has `gone`.
    Work {
        target: String,
        headers: Bytes,
        wait_s: f64,
        begin_by: f64,
        gone: Rc<Cell<bool>>,
        body: Bytes,
    },
    GiveUp {
        id: String,
    },
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    /// The runner says that it never began.
    pub declined: bool,
    /// It came so soon after another on its connection that it may be one more to that.
    pub doubtful: bool,
    pub keep: bool,
}

/// How far an errand had come when it broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Held back on this side: nothing, or not all of it, was written.
    Unsent,
    /// No connection came up, or it broke before the last byte was written.
    Unreached,
    /// Written whole, and no answer came.
    Unanswered,
    /// The same on a connection that had rested.
    Stale,
}

/// A work item's request as it goes on to a runner.
pub struct Order {
    pub id: Rc<str>,
    pub target: String,
    /// The header lines that go on with it, its id's among them.
    pub headers: Bytes,
    pub body: Bytes,
    /// Its client has gone.
    pub gone: Rc<Cell<bool>>,
}

/// What a runner tells of a job.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Callback {
    pub id: String,
    pub from: String,
    #[serde(flatten)]
    pub state: State,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(tag = "state", rename_all = "lowercase")]
pub enum State {
    Started,
    Running {
        #[serde(default)]
        share: f64,
    },
    Done {
        #[serde(default)]
        result: String,
    },
    Failed,
    Returned,
    Lost,
}

/// A number for a name, the same at every dispatcher (FNV-1a).
pub fn number(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |n, b| {
        (n ^ b as u64).wrapping_mul(0x100_0000_01b3)
    })
}
