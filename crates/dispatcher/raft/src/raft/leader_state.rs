//! The state of a leader; it begins with each term (Raft, figure 2).

use std::collections::BTreeMap;

use super::progress::Progress;
use super::read_index::PendingRead;
use super::snapshot_sender::SerializedSnapshot;
use crate::voter::Voter;

/// The state of a leader.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    /// Replication to each other member.
    pub(super) followers: BTreeMap<u64, Progress>,
    /// The index before the term's first entry.
    pub(super) previous_index: u64,
    /// The last heartbeat round that was sent; rounds count from 1 in each term.
    pub(super) round: u64,
    /// Reads that wait for a majority to confirm this leader.
    pub(super) pending_reads: Vec<PendingRead>,
    /// When the next heartbeat is due, seconds.
    pub(super) next_heartbeat: f64,
    /// When the term began, seconds.
    pub(super) since: f64,
    /// Bytes that may still be resent or sent to lagging followers in this heartbeat interval.
    pub(super) catch_up_bytes_left: usize,
    /// The snapshot that is being sent.
    pub(super) serialized_snapshot: Option<SerializedSnapshot>,
}

impl LeaderState {
    /// A leader's state at the beginning of its term; `last_index` is that of its log.
    pub(super) fn new(now: f64, others: &[u64], last_index: u64) -> LeaderState {
        let progress = Progress {
            next_index: last_index + 1,
            last_contact: now,
            ..Progress::default()
        };
        LeaderState {
            followers: others
                .iter()
                .map(|member| (*member, progress.clone()))
                .collect(),
            previous_index: last_index,
            round: 0,
            pending_reads: Vec::new(),
            next_heartbeat: now,
            since: now,
            catch_up_bytes_left: 0,
            serialized_snapshot: None,
        }
    }

    /// The progress of a voter, if its member still answers from the same disk.
    pub(super) fn progress_of(&self, voter: &Voter) -> Option<&Progress> {
        self.followers
            .get(&voter.member)
            .filter(|progress| progress.disk == voter.disk)
    }
}
