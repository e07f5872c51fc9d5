//! A leader's part of `AppendEntries`.

use super::progress::Progress;
use super::{Raft, Role};
use crate::entry::Entry;
use crate::log_position::LogPosition;
use crate::message::{AppendEntries, AppendReply, MessageBody};
use crate::voter::Voter;

/// Entries of one message, bytes: a link's frame has room for several of these.
const MAX_MESSAGE_BYTES: usize = 128 << 10;
/// Who lacks fewer entries than this is not catching up.
const CATCH_UP_ENTRIES: u64 = 8;
/// What is not answered is sent again after so many heartbeats.
const RETRY_HEARTBEATS: f64 = 2.0;
/// Who has not answered for so many retries gets empty heartbeats only.
const SILENT_RETRIES: f64 = 10.0;

/// What an answer changed.
struct ReplyEffect {
    /// It was awaited.
    awaited: bool,
    /// The follower lacks entries still.
    lacks: bool,
    /// Up to where the logs were known to be the same before, and are now.
    match_before: u64,
    match_index: u64,
}

impl Raft {
    /// What is not answered for so long is sent again, seconds.
    pub(super) fn retry_s(&self) -> f64 {
        RETRY_HEARTBEATS * self.timing.heartbeat_s
    }

    /// Sends each what it lacks; at a heartbeat everybody something.
    pub(super) fn replicate(&mut self, now: f64, heartbeat: bool) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let others: Vec<u64> = state.followers.keys().copied().collect();
        for member in others {
            self.replicate_to(now, member, heartbeat);
        }
    }

    pub(super) fn replicate_to(&mut self, now: f64, member: u64, heartbeat: bool) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let Some(progress) = state.followers.get(&member) else {
            return;
        };
        let (next, base) = (progress.next_index, self.log.snapshot_position());
        if next <= base.index {
            return self.replicate_snapshot(now, member, heartbeat);
        }
        let Some(previous) = self.log.position_at(next - 1) else {
            return;
        };
        let entries = self.entries_for(now, member);
        if heartbeat || !entries.is_empty() {
            let leader_commit = self.commit_index;
            self.send_append(member, previous, entries, leader_commit);
        }
    }

    /// What stands in the snapshot alone goes in parts.
    fn replicate_snapshot(&mut self, now: f64, member: u64, heartbeat: bool) {
        self.send_snapshot_chunk(now, member);
        if heartbeat {
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

    /// The entries to send to one now, within what is left for catching up.
    fn entries_for(&mut self, now: f64, member: u64) -> Vec<Entry> {
        let retry_s = self.retry_s();
        let last = self.log.last_position().index;
        let Role::Leader(state) = &mut self.role else {
            return Vec::new();
        };
        let Some(progress) = state.followers.get_mut(&member) else {
            return Vec::new();
        };
        // Not known to be there: only asked whether, with nothing to carry.
        let silent = now > progress.last_contact + SILENT_RETRIES * retry_s;
        if progress.next_index > last || silent || progress.awaits_reply(now, retry_s) {
            return Vec::new();
        }
        let catching_up = last - progress.next_index >= CATCH_UP_ENTRIES;
        let max_bytes = match catching_up {
            true => MAX_MESSAGE_BYTES.min(state.catch_up_left),
            false => MAX_MESSAGE_BYTES,
        };
        let at_least_one = !catching_up || state.catch_up_left > 0;
        let batch = self.log.batch(progress.next_index, max_bytes, at_least_one);
        if catching_up {
            state.catch_up_left = state.catch_up_left.saturating_sub(batch.bytes);
        }
        if !batch.entries.is_empty() {
            progress.pending_since = Some(now);
        }
        batch.entries
    }

    /// A follower has answered `AppendEntries`.
    pub(super) fn apply_append_reply(
        &mut self,
        now: f64,
        from: Voter,
        term: u64,
        reply: AppendReply,
    ) {
        if term != self.term {
            return;
        }
        let Some(effect) = self.apply_reply(now, from, reply) else {
            return;
        };
        let commit = self.commit_index;
        self.advance_commit(now);
        self.answer_reads();
        // What was agreed before this one had it is told at once, not at the next heartbeat.
        let advanced = effect.match_index > effect.match_before;
        let commit_is_news = self.commit_index == commit && commit > effect.match_before;
        if advanced && !effect.lacks && commit_is_news {
            self.replicate_to(now, from.member, true);
        }
        if effect.lacks && effect.awaited {
            self.send_more(now, from.member);
        }
    }

    /// More at once while the heartbeat's share lasts; the rest at the next.
    pub(super) fn send_more(&mut self, now: f64, member: u64) {
        if self
            .leader_state()
            .is_some_and(|state| state.catch_up_left > 0)
        {
            self.replicate_to(now, member, false);
        }
    }

    fn apply_reply(&mut self, now: f64, from: Voter, reply: AppendReply) -> Option<ReplyEffect> {
        let last = self.log.last_position().index;
        let progress = self.leader_state()?.followers.get_mut(&from.member)?;
        if progress.disk != from.disk {
            // Another disk: nothing that was known of it holds.
            *progress = Progress {
                disk: from.disk,
                next_index: last + 1,
                ..Progress::default()
            };
        }
        // Guards against messages without end: what comes twice is answered once.
        let awaited = progress.record_reply(now);
        progress.round = progress.round.max(reply.round);
        let match_before = progress.match_index;
        if reply.success && reply.index <= last {
            progress.match_index = progress.match_index.max(reply.index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
        } else if !reply.success {
            // Back by what it says; never before what is known to be the same.
            let back = (reply.index + 1).min(progress.next_index.saturating_sub(1));
            progress.next_index = back.max(progress.match_index + 1);
        }
        let lacks = progress.next_index <= last;
        Some(ReplyEffect {
            awaited,
            lacks,
            match_before,
            match_index: progress.match_index,
        })
    }
}
