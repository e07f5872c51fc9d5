//! The leader's side of `AppendEntries` (Raft, 5.3).

use super::{Raft, Role};
use crate::entry::Entry;
use crate::log_position::LogPosition;
use crate::message::{AppendEntries, AppendReply, MessageBody};
use crate::voter::Voter;

/// Entries of one message, bytes: a frame of the links has room for several of these.
const MAX_MESSAGE_BYTES: usize = 128 << 10;
/// A follower that lacks at least this many entries is catching up: it is served within the catch-up budget.
const CATCH_UP_ENTRIES: u64 = 8;
/// An unanswered message with content is sent again after this many heartbeats.
const RETRY_HEARTBEATS: f64 = 2.0;
/// A follower without an answer for this many retries gets only empty heartbeats: it may not be running at all.
const SILENT_RETRIES: f64 = 10.0;

/// Why the leader sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Occasion {
    /// Every follower gets a message, with or without entries.
    Heartbeat,
    /// Only followers that lack entries get a message.
    NewEntries,
}

/// What a reply changed.
struct ReplyEffect {
    /// A message with content was in flight.
    was_awaited: bool,
    /// The follower still lacks entries.
    lacks_entries: bool,
    /// `match_index` before the reply.
    match_before: u64,
    /// `match_index` after the reply.
    match_index: u64,
}

impl Raft {
    /// Time after which an unanswered message is sent again, seconds.
    pub(super) fn retry_s(&self) -> f64 {
        RETRY_HEARTBEATS * self.timing.heartbeat_s
    }

    /// Sends to all followers.
    pub(super) fn replicate(&mut self, now: f64, occasion: Occasion) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let followers: Vec<u64> = state.followers.keys().copied().collect();
        for member in followers {
            self.replicate_to(now, member, occasion);
        }
    }

    /// Sends to one follower: entries, or the snapshot if it lacks entries that only the snapshot holds.
    fn replicate_to(&mut self, now: f64, member: u64, occasion: Occasion) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let Some(progress) = state.followers.get(&member) else {
            return;
        };
        let next_index = progress.next_index;
        if next_index <= self.log.snapshot_position().index {
            return self.replicate_snapshot(now, member, occasion);
        }
        let Some(previous) = self.log.position_at(next_index - 1) else {
            return;
        };
        let entries = self.entries_for(now, member);
        if occasion == Occasion::Heartbeat || !entries.is_empty() {
            self.send_append(member, previous, entries, self.commit_index);
        }
    }

    fn replicate_snapshot(&mut self, now: f64, member: u64, occasion: Occasion) {
        self.send_snapshot_chunk(now, member);
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

    /// The entries to send to a follower now, within the catch-up budget; none while an answer is awaited.
    fn entries_for(&mut self, now: f64, member: u64) -> Vec<Entry> {
        let retry_s = self.retry_s();
        let last_index = self.log.last_position().index;
        let Role::Leader(state) = &mut self.role else {
            return Vec::new();
        };
        let Some(progress) = state.followers.get_mut(&member) else {
            return Vec::new();
        };
        let is_silent = now > progress.last_contact + SILENT_RETRIES * retry_s;
        let is_complete = progress.next_index > last_index;
        if is_complete || is_silent || progress.awaits_reply(now, retry_s) {
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
            progress.pending_since = Some(now);
        }
        batch.entries
    }

    /// Takes a follower's reply to `AppendEntries`.
    pub(super) fn receive_append_reply(
        &mut self,
        now: f64,
        from: Voter,
        term: u64,
        reply: AppendReply,
    ) {
        if term != self.term {
            return;
        }
        let Some(effect) = self.apply_append_reply(now, from, reply) else {
            return;
        };
        let commit_before = self.commit_index;
        self.advance_commit(now);
        self.answer_reads();
        // A follower that now has entries committed earlier learns of the commit at once, not at the next heartbeat.
        let has_advanced = effect.match_index > effect.match_before;
        let commit_is_new_to_it =
            self.commit_index == commit_before && commit_before > effect.match_before;
        if has_advanced && !effect.lacks_entries && commit_is_new_to_it {
            self.replicate_to(now, from.member, Occasion::Heartbeat);
        }
        if effect.lacks_entries && effect.was_awaited {
            self.continue_catch_up(now, from.member);
        }
    }

    /// Sends more to a lagging follower while the catch-up budget lasts; the rest follows at the next heartbeat.
    pub(super) fn continue_catch_up(&mut self, now: f64, member: u64) {
        let has_budget = self
            .leader_state()
            .is_some_and(|state| state.catch_up_bytes_left > 0);
        if has_budget {
            self.replicate_to(now, member, Occasion::NewEntries);
        }
    }

    fn apply_append_reply(
        &mut self,
        now: f64,
        from: Voter,
        reply: AppendReply,
    ) -> Option<ReplyEffect> {
        let last_index = self.log.last_position().index;
        let progress = self.leader_state()?.followers.get_mut(&from.member)?;
        progress.follow_disk(from.disk, last_index);
        // A duplicated reply must not start another message: each would be answered, and duplicated, again.
        let was_awaited = progress.record_reply(now);
        progress.round = progress.round.max(reply.round);
        let match_before = progress.match_index;
        if reply.success && reply.index <= last_index {
            progress.match_index = progress.match_index.max(reply.index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
        } else if !reply.success {
            // Back to the follower's hint, but never to entries that it is known to have.
            let hint = (reply.index + 1).min(progress.next_index.saturating_sub(1));
            progress.next_index = hint.max(progress.match_index + 1);
        }
        Some(ReplyEffect {
            was_awaited,
            lacks_entries: progress.next_index <= last_index,
            match_before,
            match_index: progress.match_index,
        })
    }
}
