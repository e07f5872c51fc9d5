//! Replication to one follower, as the leader sees it.

/// Replication to one follower.
///
/// Invariant: `match_index < next_index`, and `match_index` never decreases while the follower keeps its disk.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// The disk that the follower answers from; 0 before its first answer.
    pub(super) disk: u64,
    /// The highest index up to which its log is known to equal the leader's, synced (`matchIndex`).
    pub(super) match_index: u64,
    /// The next index to send (`nextIndex`).
    pub(super) next_index: u64,
    /// The last heartbeat round that it confirmed.
    pub(super) round: u64,
    /// When its last answer came, seconds.
    pub(super) last_contact: f64,
    /// When entries or a chunk were sent that are not answered yet, seconds: one such message is in flight at a time.
    pub(super) pending_since: Option<f64>,
    /// Bytes of the snapshot that it has.
    pub(super) snapshot_offset: u64,
}

impl Progress {
    /// Whether the answer to the last message with content may still come.
    pub(super) fn awaits_reply(&self, now: f64, retry_s: f64) -> bool {
        self.pending_since.is_some_and(|at| now < at + retry_s)
    }

    /// Records an answer; true if one was awaited.
    pub(super) fn record_reply(&mut self, now: f64) -> bool {
        self.last_contact = now;
        self.pending_since.take().is_some()
    }

    /// Starts anew when the follower answers from another disk: nothing known of the former one holds.
    pub(super) fn follow_disk(&mut self, disk: u64, last_index: u64) {
        if self.disk != disk {
            *self = Progress {
                disk,
                next_index: last_index + 1,
                ..Progress::default()
            };
        }
    }
}
