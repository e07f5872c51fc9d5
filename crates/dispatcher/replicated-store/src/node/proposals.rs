//! Proposals of this member, which are submitted one at a time, and linearizable reads.

use super::frames::FrameBody;
use super::Node;
use crate::committed_state::{Command, Proposal};
use crate::error::StoreError;

/// Interval at which an uncommitted proposal is submitted again until the host abandons it, seconds.
const RETRY_INTERVAL_S: f64 = 0.2;
/// Largest number of queued proposals of one member.
const MAX_PROPOSALS: usize = 256;

impl Node {
    /// Appends a proposal to the log, if this member leads and the proposal is not committed yet.
    pub(super) fn append_proposal(&mut self, now_s: f64, proposal: &Proposal) {
        let is_committed = self
            .committed
            .outcome(proposal.member, proposal.process, proposal.sequence)
            .is_some();
        if is_committed || self.is_disk_failed {
            return;
        }
        if let Ok(command) = postcard::to_allocvec(proposal) {
            // A member that is not the leader drops the proposal; the proposer submits it again to the leader.
            let _ = self.raft.propose(now_s, command);
            self.process_log();
        }
    }

    /// Proposes a command and returns the number of the proposal. [`proposal_outcome`](Node::proposal_outcome) returns
    /// its outcome.
    ///
    /// # Errors
    ///
    /// [`StoreError::TooManyProposals`] if the queue of proposals is full.
    pub fn propose(&mut self, now_s: f64, command: Command) -> Result<u64, StoreError> {
        if self.proposals.len() >= MAX_PROPOSALS {
            return Err(StoreError::TooManyProposals {
                limit: MAX_PROPOSALS,
            });
        }
        self.last_proposal += 1;
        self.proposals.push_back(Proposal {
            member: self.member,
            process: self.process,
            sequence: self.last_proposal,
            command,
        });
        self.next_submit_s = self.next_submit_s.min(now_s);
        self.submit_next(now_s);
        Ok(self.last_proposal)
    }

    /// Whether a proposal was accepted (`true`) or rejected (`false`). `None` while it is not committed, and after a
    /// later proposal of this member is committed.
    pub fn proposal_outcome(&self, sequence: u64) -> Option<bool> {
        self.committed.outcome(self.member, self.process, sequence)
    }

    /// Stops submitting a proposal. If it was submitted before, it may still be committed.
    pub fn abandon_proposal(&mut self, sequence: u64) {
        self.proposals
            .retain(|proposal| proposal.sequence != sequence);
    }

    /// Submits the first proposal to the leader if it is due.
    pub(super) fn submit_next(&mut self, now_s: f64) {
        self.drop_committed_proposals(now_s);
        if now_s < self.next_submit_s {
            return;
        }
        let Some(first) = self.proposals.front().cloned() else {
            return;
        };
        self.next_submit_s = now_s + RETRY_INTERVAL_S;
        if self.raft.is_leader() {
            self.append_proposal(now_s, &first);
        } else if let Some(leader) = self.raft.leader() {
            self.send(leader, &FrameBody::Propose(first));
        }
    }

    fn drop_committed_proposals(&mut self, now_s: f64) {
        while let Some(first) = self.proposals.front() {
            if self.proposal_outcome(first.sequence).is_none() {
                return;
            }
            self.proposals.pop_front();
            self.next_submit_s = now_s;
        }
    }

    /// Starts a linearizable read and returns its number.
    pub fn read(&mut self, now_s: f64) -> u64 {
        let number = self.raft.read(now_s);
        self.process_log();
        number
    }

    /// Whether the committed state includes all entries that were committed when the read was started.
    pub fn is_read_done(&self, number: u64) -> bool {
        self.raft
            .read_index(number)
            .is_some_and(|index| self.applied_index >= index)
    }
}
