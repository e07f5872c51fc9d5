//! The records of what clients, runners and the list observed, which are all that the checker uses. Field names are
//! keys of the JSON output. All times are in seconds since the run began.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A try of a request by a client.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RequestRecord {
    pub id: String,
    pub category: usize,
    pub dispatcher: usize,
    /// When the request was planned to be sent, and when its last byte was sent.
    pub intended: f64,
    pub sent: Option<f64>,
    pub wait_s: f64,
    pub work_s: f64,
    /// The id of the first try if this is a later one.
    pub first: Option<String>,
    pub answer: Option<(f64, u16, String)>,
    pub come_back_s: Option<f64>,
    /// When the connection ended without a whole answer.
    pub closed: Option<f64>,
    /// Whether all dispatchers refused the connection.
    pub refused: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    Done,
    Failed,
    /// The runner refused the work, or handed it back unstarted.
    Declined,
    /// The process of the runner died.
    Lost,
    /// The sender gave it up, by a request or by closing the connection before the 202.
    GivenUp,
}

/// A hand-off as a runner saw it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandOff {
    pub id: String,
    pub runner: usize,
    /// The number of the runner's process, from 0.
    pub process: u32,
    pub dispatcher: usize,
    /// When the first byte left the dispatcher, and when the runner had received all of it.
    pub left: f64,
    pub came: f64,
    pub wait_s: f64,
    pub category: usize,
    pub work_s: f64,
    pub started: Option<f64>,
    pub ended: Option<(f64, End)>,
    /// When the dispatcher closed the connection, if it had not received a 202 by then.
    pub closed: Option<f64>,
    /// The connection of the hand-off, and the offset at which its answer ends in the bytes sent back on it.
    #[serde(skip)]
    pub came_by: Option<(SocketAddr, u64)>,
}

impl HandOff {
    /// When the dispatcher could regard it as over: when it ended, was given up, or was no longer waited for.
    pub fn over(&self) -> f64 {
        let ended = self.ended.map_or(f64::INFINITY, |(at, _)| at);
        ended
            .min(self.closed.unwrap_or(f64::INFINITY))
            .min(self.left + self.wait_s)
    }
}

/// The start of a process of a runner, and whether it was cold.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ProcessStart {
    pub runner: usize,
    pub process: u32,
    pub at: f64,
    pub cold: bool,
}

/// An update of the list that was delivered to a dispatcher: whether a runner is ready, and its process.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ListUpdate {
    pub at: f64,
    pub dispatcher: usize,
    pub runner: usize,
    pub ready: bool,
    pub process: u32,
}

/// The states of the members as a dispatcher reported them to an admin call. They are used only in reports.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Beliefs {
    pub at: f64,
    pub dispatcher: usize,
    pub lives: Vec<String>,
}

/// A span in which a dispatcher was stopped, starting or paused.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Absence {
    pub dispatcher: usize,
    pub from: f64,
    pub to: f64,
    /// Whether the process was killed. It was only paused otherwise.
    pub died: bool,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Records {
    pub wis: Vec<RequestRecord>,
    pub hos: Vec<HandOff>,
    pub births: Vec<ProcessStart>,
    pub words: Vec<ListUpdate>,
    pub absences: Vec<Absence>,
    /// Runners taken out of service at one dispatcher: runner, dispatcher, when the admin call was confirmed, and
    /// when the call to put it back was begun.
    pub by_hand: Vec<(usize, usize, f64, f64)>,
    /// Runners banned by an agreed admin call: runner, when the call was confirmed, and when the call to lift the ban
    /// began.
    pub banned: Vec<(usize, f64, f64)>,
    /// Caps that were agreed on: when the admin call was confirmed, the category, and the cap.
    pub caps: Vec<(f64, usize, u64)>,
    pub beliefs: Vec<Beliefs>,
    /// Dispatchers that exited unexpectedly: dispatcher, when, exit status.
    pub crashes: Vec<(usize, f64, String)>,
    /// The results that runners produced, by the id of the request.
    pub results: HashMap<String, Vec<String>>,
}
