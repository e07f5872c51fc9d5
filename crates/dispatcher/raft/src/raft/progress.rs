//! A leader's state, and how far each of the others is.

use crate::log_position::LogPosition;
use crate::voter::Voter;
use std::collections::BTreeMap;
use std::rc::Rc;

/// How far one other is.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// The disk it answers from; 0 before it has.
    pub(super) disk: u64,
    /// Up to here its log and this one's are known to be the same.
    pub(super) match_index: u64,
    /// The next index to send.
    pub(super) next_index: u64,
    /// The last heartbeat round that it answered.
    pub(super) round: u64,
    pub(super) last_contact: f64,
    /// Something with entries went out then, and nothing has come back since.
    pub(super) pending_since: Option<f64>,
    /// Of the snapshot, how much it has.
    pub(super) snapshot_offset: u64,
}

impl Progress {
    /// An answer to what went out last is still awaited.
    pub(super) fn awaits_reply(&self, now: f64, retry_s: f64) -> bool {
        self.pending_since.is_some_and(|at| now < at + retry_s)
    }

    /// Notes that something came from it; whether an answer was awaited.
    pub(super) fn record_reply(&mut self, now: f64) -> bool {
        self.last_contact = now;
        self.pending_since.take().is_some()
    }
}

/// A read that waits for a majority to confirm the leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    pub(super) member: u64,
    pub(super) number: u64,
    /// The round that has to be answered.
    pub(super) round: u64,
    /// The commit index when it was asked.
    pub(super) index: u64,
}

/// A snapshot as it is sent.
#[derive(Clone, Debug)]
pub(super) struct SerializedSnapshot {
    pub(super) position: LogPosition,
    pub(super) bytes: Rc<Vec<u8>>,
    pub(super) checksum: u64,
}

/// A leader's state.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    pub(super) followers: BTreeMap<u64, Progress>,
    /// The index before the term's first entry.
    pub(super) previous_index: u64,
    pub(super) round: u64,
    pub(super) reads: Vec<PendingRead>,
    pub(super) next_heartbeat: f64,
    pub(super) began: f64,
    /// What may still be sent again or caught up with in this heartbeat, bytes.
    pub(super) catch_up_left: usize,
    pub(super) serialized: Option<SerializedSnapshot>,
}

impl LeaderState {
    pub(super) fn new(now: f64, others: &[u64], last: u64) -> LeaderState {
        let progress = Progress {
            next_index: last + 1,
            last_contact: now,
            ..Progress::default()
        };
        LeaderState {
            followers: others
                .iter()
                .map(|member| (*member, progress.clone()))
                .collect(),
            previous_index: last,
            round: 0,
            reads: Vec::new(),
            next_heartbeat: now,
            began: now,
            catch_up_left: 0,
            serialized: None,
        }
    }

    /// The progress of a voter, if its member still answers from the same disk.
    pub(super) fn progress_of(&self, voter: &Voter) -> Option<&Progress> {
        self.followers
            .get(&voter.member)
            .filter(|progress| progress.disk == voter.disk)
    }
}
