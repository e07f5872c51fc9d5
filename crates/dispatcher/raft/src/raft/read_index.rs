//! Linearizable reads by ReadIndex (thesis, 6.4): the commit index at the time of the read, once a majority has
//! confirmed that the leader still leads.

use std::collections::BTreeMap;

use super::replication::Occasion;
use super::{Raft, Role};
use crate::message::MessageBody;
use crate::voter::Voter;

/// Reads that may wait at a leader at once; further ones are dropped, and their callers ask again.
const MAX_PENDING_READS: usize = 256;
/// Read indexes received from a leader that are kept.
const MAX_READ_RESULTS: usize = 64;

/// A read that waits for a majority to confirm the leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    /// The member that asked.
    member: u64,
    /// The asker's number of the read.
    number: u64,
    /// The heartbeat round that a majority has to confirm.
    round: u64,
    /// The commit index when the read was asked.
    index: u64,
}

/// The reads that this member asked for.
#[derive(Clone, Debug)]
pub(super) struct ReadResults {
    last_number: u64,
    /// Read indexes by number.
    index_by_number: BTreeMap<u64, u64>,
}

impl ReadResults {
    /// No reads yet; numbers go on from `last_number`. It should differ between processes of one member: an answer
    /// to an earlier process may still arrive.
    pub(super) fn new(last_number: u64) -> ReadResults {
        ReadResults {
            last_number,
            index_by_number: BTreeMap::new(),
        }
    }
}

impl Raft {
    /// Starts a linearizable read and returns its number. [`read_index`](Raft::read_index) has the result once a
    /// majority has confirmed the leader. There is none if this member knows no leader or a message is lost: the host
    /// asks again after a time-out of its own.
    pub fn read(&mut self, now: f64) -> u64 {
        self.reads.last_number += 1;
        let number = self.reads.last_number;
        match self.leader {
            Some(leader) if leader != self.id => {
                self.send(leader, MessageBody::ReadIndex { number });
            }
            _ => self.start_read(now, self.id, number),
        }
        number
    }

    /// The index that the host must have applied before it answers a read; `None` until it is known.
    pub fn read_index(&self, number: u64) -> Option<u64> {
        self.reads.index_by_number.get(&number).copied()
    }

    /// Registers a read at the leader, and starts the round that confirms it.
    pub(super) fn start_read(&mut self, now: f64, member: u64, number: u64) {
        let index = self.commit_index;
        // Before a leader has committed an entry of its term, it does not know what was committed before.
        let knows_commit_index = self.is_of_current_term(index);
        let Some(state) = self.leader_state() else {
            return;
        };
        if !knows_commit_index || state.pending_reads.len() >= MAX_PENDING_READS {
            return;
        }
        state.round += 1;
        let round = state.round;
        state.pending_reads.push(PendingRead {
            member,
            number,
            round,
            index,
        });
        self.replicate(now, Occasion::Heartbeat);
        self.answer_reads();
    }

    /// Answers the reads whose round a majority has confirmed.
    pub(super) fn answer_reads(&mut self) {
        let Some(confirmed) = self.confirmed_round() else {
            return;
        };
        let Some(state) = self.leader_state() else {
            return;
        };
        let reads = std::mem::take(&mut state.pending_reads);
        let (done, pending): (Vec<PendingRead>, Vec<PendingRead>) =
            reads.into_iter().partition(|read| read.round <= confirmed);
        state.pending_reads = pending;
        for read in done {
            self.answer_read(read);
        }
    }

    /// The highest round that a majority has confirmed. `None` if no read waits.
    fn confirmed_round(&self) -> Option<u64> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        if state.pending_reads.is_empty() {
            return None;
        }
        let own_voter = self.own_voter();
        let confirmed = |voter: &Voter| match *voter == own_voter {
            true => u64::MAX,
            false => state
                .progress_of(voter)
                .map_or(0, |progress| progress.round),
        };
        self.quorum_value(confirmed)
    }

    fn answer_read(&mut self, read: PendingRead) {
        let PendingRead {
            member,
            number,
            index,
            ..
        } = read;
        if member == self.id {
            self.reads.index_by_number.insert(number, index);
        } else {
            self.send(member, MessageBody::ReadIndexReply { number, index });
        }
    }

    /// Keeps a leader's answer.
    pub(super) fn receive_read_index_reply(&mut self, number: u64, index: u64) {
        let results = &mut self.reads.index_by_number;
        results.insert(number, index);
        while results.len() > MAX_READ_RESULTS {
            results.pop_first();
        }
    }
}
