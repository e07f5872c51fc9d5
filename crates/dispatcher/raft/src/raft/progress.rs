//! Progress of the replication to one follower, kept by the leader.

/// Progress of the replication to one follower.
///
/// Invariant: `match_index < next_index`, and `match_index` never decreases while the follower keeps its disk.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// Identifier of the disk that the follower uses, from its replies; 0 before its first reply.
    pub(super) disk: u64,
    /// The highest index up to which the follower's synced log is known to equal the leader's (`matchIndex`).
    pub(super) match_index: u64,
    /// Index of the next entry to send to the follower (`nextIndex`).
    pub(super) next_index: u64,
    /// Number of the last heartbeat round that the follower confirmed.
    pub(super) round: u64,
    /// When the last reply of the follower arrived, seconds.
    pub(super) last_contact_s: f64,
    /// When the unanswered message with entries or a snapshot chunk was sent, seconds. Only one such message is in
    /// flight at a time.
    pub(super) pending_since_s: Option<f64>,
    /// Number of bytes of the serialized snapshot that the follower has.
    pub(super) snapshot_offset_bytes: u64,
}

impl Progress {
    /// Whether the reply to the last message with entries or a snapshot chunk may still arrive.
    pub(super) fn awaits_reply(&self, now_s: f64, retry_s: f64) -> bool {
        self.pending_since_s
            .is_some_and(|sent_s| now_s < sent_s + retry_s)
    }

    /// Records a reply. Returns whether a message with entries or a snapshot chunk was unanswered.
    pub(super) fn record_reply(&mut self, now_s: f64) -> bool {
        self.last_contact_s = now_s;
        self.pending_since_s.take().is_some()
    }

    /// Resets the progress if the follower replies from another disk, because nothing known about the previous disk
    /// applies to it.
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
