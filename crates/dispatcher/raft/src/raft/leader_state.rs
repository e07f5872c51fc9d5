//! The volatile state of a leader, which is initialized at the beginning of its term (Raft, figure 2).

use std::collections::BTreeMap;

use super::progress::Progress;
use super::read_index::PendingRead;
use super::snapshot_sender::SerializedSnapshot;
use crate::voter::Voter;

/// The state of a leader.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    /// Progress of the replication to each other member, by the member's identifier.
    pub(super) followers: BTreeMap<u64, Progress>,
    /// Index of the last entry before the first entry of the term.
    pub(super) previous_index: u64,
    /// Number of the last heartbeat round that was sent. Rounds are numbered from 1 in each term.
    pub(super) round: u64,
    /// Reads that wait until a majority has confirmed this leader.
    pub(super) pending_reads: Vec<PendingRead>,
    /// When the next heartbeat is due, seconds.
    pub(super) next_heartbeat_s: f64,
    /// When the term began, seconds.
    pub(super) since_s: f64,
    /// Bytes that may still be resent or sent to lagging followers in this heartbeat interval.
    pub(super) catch_up_bytes_left: usize,
    /// The snapshot that is being sent, in its serialized form.
    pub(super) serialized_snapshot: Option<SerializedSnapshot>,
}

impl LeaderState {
    /// Creates a leader's state at the beginning of its term. `last_index` is the index of the last entry of its log.
    pub(super) fn new(now_s: f64, others: &[u64], last_index: u64) -> LeaderState {
        let progress = Progress {
            next_index: last_index + 1,
            last_contact_s: now_s,
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
            next_heartbeat_s: now_s,
            since_s: now_s,
            catch_up_bytes_left: 0,
            serialized_snapshot: None,
        }
    }

    /// The progress of a voter, if its member still replies from the same disk.
    pub(super) fn progress_of(&self, voter: &Voter) -> Option<&Progress> {
        self.followers
            .get(&voter.member)
            .filter(|progress| progress.disk == voter.disk)
    }
}
