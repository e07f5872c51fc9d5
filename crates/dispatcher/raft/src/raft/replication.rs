//! The leader's side of `AppendEntries` (Raft, 5.3).

use super::{Raft, Role};
use crate::entry::Entry;
use crate::log_position::LogPosition;
use crate::message::{AppendEntries, AppendReply, MessageBody};
use crate::voter::Voter;

/// Largest size of the entries in one message, bytes, unless a single entry is larger. A frame of the links between
/// members has room for several such messages.
const MAX_MESSAGE_BYTES: usize = 128 << 10;
/// A follower that lacks more entries than this is catching up, and its entries count against the catch-up budget.
const CATCH_UP_ENTRIES: u64 = 8;
/// An unanswered message with entries or a snapshot chunk is sent again after this many heartbeat intervals.
const RETRY_HEARTBEATS: f64 = 2.0;
/// A follower that has sent no reply for this many retry intervals gets only empty heartbeats, because it may not be
/// running.
const SILENT_RETRIES: f64 = 10.0;

/// The occasion for which the leader sends messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Occasion {
    /// Every follower gets a message, with or without entries.
    Heartbeat,
    /// Only followers that lack entries get a message.
    NewEntries,
}

/// The effect of a reply on the follower's progress.
struct ReplyEffect {
    /// Whether a message with entries or a snapshot chunk was unanswered before the reply.
    was_reply_pending: bool,
    /// Whether the follower still lacks entries after the reply.
    lacks_entries: bool,
    /// `match_index` before the reply.
    match_index_before: u64,
    /// `match_index` after the reply.
    match_index: u64,
}

impl Raft {
    /// Time after which an unanswered message is sent again, seconds.
    pub(super) fn retry_s(&self) -> f64 {
        RETRY_HEARTBEATS * self.timing.heartbeat_s
    }

    /// Sends each follower the messages that the occasion requires.
    pub(super) fn replicate(&mut self, now_s: f64, occasion: Occasion) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let followers: Vec<u64> = state.followers.keys().copied().collect();
        for member in followers {
            self.replicate_to(now_s, member, occasion);
        }
    }

    /// Sends entries to one follower, or the snapshot if the follower lacks entries that only the snapshot covers.
    fn replicate_to(&mut self, now_s: f64, member: u64, occasion: Occasion) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let Some(progress) = state.followers.get(&member) else {
            return;
        };
        let next_index = progress.next_index;
        if next_index <= self.log.snapshot_position().index {
            return self.replicate_snapshot(now_s, member, occasion);
        }
        let Some(previous) = self.log.position_at(next_index - 1) else {
            return;
        };
        let entries = self.entries_for(now_s, member);
        if occasion == Occasion::Heartbeat || !entries.is_empty() {
            self.send_append(member, previous, entries, self.commit_index);
        }
    }

    fn replicate_snapshot(&mut self, now_s: f64, member: u64, occasion: Occasion) {
        self.send_snapshot_chunk(now_s, member);
        if occasion == Occasion::Heartbeat {
            self.send_append(member, self.log.snapshot_position(), Vec::new(), 0);
        }
    }

    fn send_append(
        &mut self,
        to: u64,
        previous: LogPosition,
        entries: Vec<Entry>,
        leader_commit: u64,
    ) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let round = state.round;
        let watermarks = self.voters_watermarks();
        let request = AppendEntries {
            previous,
            entries,
            leader_commit,
            round,
            watermarks,
        };
        self.send(to, MessageBody::AppendEntries(request));
    }

    /// Returns the entries to send to a follower now, within the catch-up budget; none while a reply is outstanding.
    fn entries_for(&mut self, now_s: f64, member: u64) -> Vec<Entry> {
        let retry_s = self.retry_s();
        let last_index = self.log.last_position().index;
        let Role::Leader(state) = &mut self.role else {
            return Vec::new();
        };
        let Some(progress) = state.followers.get_mut(&member) else {
            return Vec::new();
        };
        let is_silent = now_s > progress.last_contact_s + SILENT_RETRIES * retry_s;
        let is_complete = progress.next_index > last_index;
        if is_complete || is_silent || progress.awaits_reply(now_s, retry_s) {
            return Vec::new();
        }
        let is_catching_up = last_index - progress.next_index >= CATCH_UP_ENTRIES;
        let max_bytes = match is_catching_up {
            true => MAX_MESSAGE_BYTES.min(state.catch_up_bytes_left),
            false => MAX_MESSAGE_BYTES,
        };
        let at_least_one = !is_catching_up || state.catch_up_bytes_left > 0;
        let batch = self.log.batch(progress.next_index, max_bytes, at_least_one);
        if is_catching_up {
            state.catch_up_bytes_left = state.catch_up_bytes_left.saturating_sub(batch.bytes);
        }
        if !batch.entries.is_empty() {
            progress.pending_since_s = Some(now_s);
        }
        batch.entries
    }

    /// Processes a follower's reply to `AppendEntries`.
    pub(super) fn receive_append_reply(
        &mut self,
        now_s: f64,
        from: Voter,
        term: u64,
        reply: AppendReply,
    ) {
        if term != self.term {
            return;
        }
        let Some(effect) = self.apply_append_reply(now_s, from, reply) else {
            return;
        };
        let commit_before = self.commit_index;
        self.advance_commit(now_s);
        self.answer_reads();
        // A follower that now holds entries that were committed earlier is told the commit index immediately instead
        // of with the next heartbeat.
        let has_advanced = effect.match_index > effect.match_index_before;
        let is_commit_unknown_to_follower =
            self.commit_index == commit_before && commit_before > effect.match_index_before;
        if has_advanced && !effect.lacks_entries && is_commit_unknown_to_follower {
            self.replicate_to(now_s, from.member, Occasion::Heartbeat);
        }
        if effect.lacks_entries && effect.was_reply_pending {
            self.continue_catch_up(now_s, from.member);
        }
    }

    /// Sends more entries or the next chunk to a lagging follower if the catch-up budget is not used up; the rest
    /// follows with the next heartbeat.
    pub(super) fn continue_catch_up(&mut self, now_s: f64, member: u64) {
        let has_budget = self
            .leader_state()
            .is_some_and(|state| state.catch_up_bytes_left > 0);
        if has_budget {
            self.replicate_to(now_s, member, Occasion::NewEntries);
        }
    }

    fn apply_append_reply(
        &mut self,
        now_s: f64,
        from: Voter,
        reply: AppendReply,
    ) -> Option<ReplyEffect> {
        let last_index = self.log.last_position().index;
        let progress = self.leader_state()?.followers.get_mut(&from.member)?;
        progress.follow_disk(from.disk, last_index);
        // A duplicated reply must not trigger another message: each such message would be answered, and its reply
        // duplicated, again.
        let was_reply_pending = progress.record_reply(now_s);
        progress.round = progress.round.max(reply.round);
        let match_index_before = progress.match_index;
        if reply.success && reply.index <= last_index {
            progress.match_index = progress.match_index.max(reply.index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
        } else if !reply.success {
            // Goes back to the follower's hint, but never to entries that the follower is known to have.
            let hint = (reply.index + 1).min(progress.next_index.saturating_sub(1));
            progress.next_index = hint.max(progress.match_index + 1);
        }
        Some(ReplyEffect {
            was_reply_pending,
            lacks_entries: progress.next_index <= last_index,
            match_index_before,
            match_index: progress.match_index,
        })
    }
}
