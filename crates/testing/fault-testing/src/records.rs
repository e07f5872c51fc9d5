//! What clients, runners and list saw: all that the judge believes.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A request of a client; times in seconds since the play began.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Wi {
    pub id: String,
    pub category: usize,
    pub dispatcher: usize,
    /// When it was to be sent, and when its last byte was.
    pub intended: f64,
    pub sent: Option<f64>,
    pub wait_s: f64,
    pub work_s: f64,
    /// Its first try's id, where it is a later one.
    pub first: Option<String>,
    pub answer: Option<(f64, u16, String)>,
    pub come_back_s: Option<f64>,
    /// Its connection ended without a whole answer.
    pub closed: Option<f64>,
    /// No dispatcher let it in.
    pub refused: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    Done,
    Failed,
    /// Turned away, or handed back unstarted.
    Declined,
    /// The runner's process died.
    Lost,
    /// Given up by who sent it, by word or by closing the connection before the 202.
    GivenUp,
}

/// A hand-off as a runner saw it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ho {
    pub id: String,
    pub runner: usize,
    /// Which process of it, from 0.
    pub process: u32,
    pub dispatcher: usize,
    /// When its first byte left the dispatcher, and when it had come whole.
    pub left: f64,
    pub came: f64,
    pub wait_s: f64,
    pub category: usize,
    pub work_s: f64,
    pub started: Option<f64>,
    pub ended: Option<(f64, End)>,
    /// When its dispatcher closed the connection, if no 202 had been handed to it by then.
    pub closed: Option<f64>,
    /// The connection that it came on, and where in what was answered on it the 202 ends.
    #[serde(skip)]
    pub came_by: Option<(SocketAddr, u64)>,
}

impl Ho {
    /// When its dispatcher could hold it for over: ended, given up, or no longer waited for.
    pub fn over(&self) -> f64 {
        let ended = self.ended.map_or(f64::INFINITY, |(at, _)| at);
        ended
            .min(self.closed.unwrap_or(f64::INFINITY))
            .min(self.left + self.wait_s)
    }
}

/// A process of a runner: when it started, and what it did then of what it does when warm.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Birth {
    pub runner: usize,
    pub process: u32,
    pub at: f64,
    pub cold: bool,
}

/// A word of the list as it was handed to a dispatcher: whether a runner is ready, of which process.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Word {
    pub at: f64,
    pub dispatcher: usize,
    pub runner: usize,
    pub ready: bool,
    pub process: u32,
}

/// What a dispatcher believed of the members at a moment, as its operators' door said it: for reports only.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Beliefs {
    pub at: f64,
    pub dispatcher: usize,
    pub lives: Vec<String>,
}

/// From when to when a process did not run as it should, or was on its way in or out.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Absence {
    pub dispatcher: usize,
    pub from: f64,
    pub to: f64,
    /// Killed, or only stopped for a while.
    pub died: bool,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Records {
    pub wis: Vec<Wi>,
    pub hos: Vec<Ho>,
    pub births: Vec<Birth>,
    pub words: Vec<Word>,
    pub absences: Vec<Absence>,
    /// Runners out by hand: runner, dispatcher, when its door had said yes, and when the rig began to put it back.
    pub by_hand: Vec<(usize, usize, f64, f64)>,
    /// Runners out by a word at one door that was answered as agreed: from when, and until it was taken back.
    pub banned: Vec<(usize, f64, f64)>,
    /// Caps that were agreed on at a door: when, of which category, how many.
    pub caps: Vec<(f64, usize, u64)>,
    pub beliefs: Vec<Beliefs>,
    /// Dispatchers that ended by themselves: which, when, how.
    pub crashes: Vec<(usize, f64, String)>,
    /// What runners gave as results, by id.
    pub results: HashMap<String, Vec<String>>,
}
