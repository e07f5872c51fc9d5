//! Linearizable reads: the commit index, once a majority has confirmed that the leader still is one.

use super::progress::PendingRead;
use super::{Raft, Role};
use crate::message::MessageBody;
use crate::voter::Voter;

/// Reads waiting at a leader at once.
const MAX_PENDING_READS: usize = 256;
/// Answers of a leader that are kept.
const MAX_READ_RESULTS: usize = 64;

impl Raft {
    /// Asks up to where all was agreed when it is asked; `read_index` has the answer once a majority has confirmed
    /// that the leader still is one.
    pub fn read(&mut self, now: f64) -> u64 {
        self.read_number += 1;
        let number = self.read_number;
        match self.leader {
            Some(leader) if leader != self.id => {
                self.send(leader, MessageBody::ReadIndex { number })
            }
            _ => self.start_read(now, self.id, number),
        }
        number
    }

    /// The answer to a read, if it has come.
    pub fn read_index(&self, number: u64) -> Option<u64> {
        self.read_results.get(&number).copied()
    }

    /// A leader's part: notes the read and asks all to confirm.
    pub(super) fn start_read(&mut self, now: f64, member: u64, number: u64) {
        let index = self.commit_index;
        // Before this term has agreed on something, a leader does not know what was agreed before.
        let knows_commit = self.is_of_own_term(index);
        let Some(state) = self.leader_state() else {
            return;
        };
        if !knows_commit || state.reads.len() >= MAX_PENDING_READS {
            return;
        }
        state.round += 1;
        let round = state.round;
        state.reads.push(PendingRead {
            member,
            number,
            round,
            index,
        });
        self.replicate(now, true);
        self.answer_reads();
    }

    /// Answers the reads that a majority has confirmed this leader after.
    pub(super) fn answer_reads(&mut self) {
        let Some(confirmed) = self.confirmed_round() else {
            return;
        };
        let Some(state) = self.leader_state() else {
            return;
        };
        let reads = std::mem::take(&mut state.reads);
        let (done, waiting): (Vec<PendingRead>, Vec<PendingRead>) =
            reads.into_iter().partition(|read| read.round <= confirmed);
        state.reads = waiting;
        done.into_iter().for_each(|read| self.answer_read(read));
    }

    /// The highest round that a majority has answered. `None` if no read waits.
    fn confirmed_round(&self) -> Option<u64> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        if state.reads.is_empty() {
            return None;
        }
        let own_voter = self.own_voter();
        let answered = |voter: &Voter| match *voter == own_voter {
            true => u64::MAX,
            false => state
                .progress_of(voter)
                .map_or(0, |progress| progress.round),
        };
        self.quorum_value(answered)
    }

    fn answer_read(&mut self, read: PendingRead) {
        let PendingRead {
            member,
            number,
            index,
            ..
        } = read;
        if member == self.id {
            self.read_results.insert(number, index);
        } else {
            self.send(member, MessageBody::ReadIndexReply { number, index });
        }
    }

    /// A leader has answered.
    pub(super) fn receive_read_index_reply(&mut self, number: u64, index: u64) {
        self.read_results.insert(number, index);
        while self.read_results.len() > MAX_READ_RESULTS {
            self.read_results.pop_first();
        }
    }
}
