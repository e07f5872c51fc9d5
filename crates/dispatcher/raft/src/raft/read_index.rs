//! Linearizable reads by ReadIndex (thesis, 6.4). The read index is the commit index at the time of the read; it is
//! valid once a majority has confirmed that the leader still leads.

use std::collections::BTreeMap;

use super::replication::Occasion;
use super::{Raft, Role};
use crate::message::MessageBody;
use crate::voter::Voter;

/// Largest number of reads that wait at a leader. Further reads are dropped, and their callers repeat them.
const MAX_PENDING_READS: usize = 256;
/// Largest number of read indexes from a leader that are kept.
const MAX_READ_RESULTS: usize = 64;

/// A read that waits for a majority to confirm the leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    /// Identifier of the member that requested the read.
    member: u64,
    /// Number that the requesting member has given to the read.
    number: u64,
    /// Number of the heartbeat round that a majority has to confirm.
    round: u64,
    /// The commit index at the time when the leader received the request.
    index: u64,
}

/// The reads that this member has requested, and their results.
#[derive(Clone, Debug)]
pub(super) struct ReadResults {
    last_number: u64,
    /// Read indexes, by the number of the read.
    index_by_number: BTreeMap<u64, u64>,
}

impl ReadResults {
    /// Creates an empty set of reads, numbered from `last_number + 1`. `last_number` should differ between processes
    /// of one member, because a reply to an earlier process may still arrive.
    pub(super) fn new(last_number: u64) -> ReadResults {
        ReadResults {
            last_number,
            index_by_number: BTreeMap::new(),
        }
    }
}

impl Raft {
    /// Starts a linearizable read and returns its number. [`read_index`](Raft::read_index) returns the result once a
    /// majority has confirmed the leader. There is no result if this member knows no leader or a message is lost, so
    /// the host repeats the read after a timeout of its own.
    pub fn read(&mut self, now_s: f64) -> u64 {
        self.read_results.last_number += 1;
        let number = self.read_results.last_number;
        match self.leader {
            Some(leader) if leader != self.id => {
                self.send(leader, MessageBody::ReadIndex { number });
            }
            _ => self.start_read(now_s, self.id, number),
        }
        number
    }

    /// The index that the host must have applied before it answers a read. `None` until it is known.
    pub fn read_index(&self, number: u64) -> Option<u64> {
        self.read_results.index_by_number.get(&number).copied()
    }

    /// Registers a read at the leader and starts the heartbeat round that confirms it.
    pub(super) fn start_read(&mut self, now_s: f64, member: u64, number: u64) {
        let index = self.commit_index;
        // Until a leader has committed an entry of its term, it does not know which entries earlier leaders committed.
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
        self.replicate(now_s, Occasion::Heartbeat);
        self.answer_reads();
    }

    /// Answers the reads whose round a majority has confirmed.
    pub(super) fn answer_reads(&mut self) {
        let Some(confirmed_round) = self.confirmed_round() else {
            return;
        };
        let Some(state) = self.leader_state() else {
            return;
        };
        let reads = std::mem::take(&mut state.pending_reads);
        let (confirmed_reads, pending): (Vec<PendingRead>, Vec<PendingRead>) = reads
            .into_iter()
            .partition(|read| read.round <= confirmed_round);
        state.pending_reads = pending;
        for read in confirmed_reads {
            self.answer_read(read);
        }
    }

    /// The highest heartbeat round that a majority has confirmed. `None` if no read is pending or this member does not
    /// lead.
    fn confirmed_round(&self) -> Option<u64> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        if state.pending_reads.is_empty() {
            return None;
        }
        let own_voter = self.own_voter();
        let confirmed_round = |voter: &Voter| match *voter == own_voter {
            true => u64::MAX,
            false => state
                .progress_of(voter)
                .map_or(0, |progress| progress.round),
        };
        self.quorum_value(confirmed_round)
    }

    fn answer_read(&mut self, read: PendingRead) {
        let PendingRead {
            member,
            number,
            index,
            ..
        } = read;
        if member == self.id {
            self.read_results.index_by_number.insert(number, index);
        } else {
            self.send(member, MessageBody::ReadIndexReply { number, index });
        }
    }

    /// Stores a leader's reply to a read.
    pub(super) fn receive_read_index_reply(&mut self, number: u64, index: u64) {
        let results = &mut self.read_results.index_by_number;
        results.insert(number, index);
        while results.len() > MAX_READ_RESULTS {
            results.pop_first();
        }
    }
}
