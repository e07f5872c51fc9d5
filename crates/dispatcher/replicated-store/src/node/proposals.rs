//! Proposals of this member, one at a time, and linearizable reads.

use super::frames::FrameBody;
use super::Node;
use crate::committed_state::{Command, Proposal};
use crate::error::StoreError;

/// Interval at which a proposal that is not committed is submitted again, seconds, as long as the host waits for it.
const RETRY_INTERVAL_S: f64 = 0.2;
/// Proposals of one member that may wait.
const MAX_PROPOSALS: usize = 256;

impl Node {
    /// Appends a proposal to the log, if this member leads and the proposal is not committed yet.
    pub(super) fn append_proposal(&mut self, now: f64, proposal: &Proposal) {
        let is_committed = self
            .committed
            .outcome(proposal.member, proposal.process, proposal.sequence)
            .is_some();
        if is_committed || self.disk_failed {
            return;
        }
        if let Ok(command) = postcard::to_allocvec(proposal) {
            // A member that does not lead drops it: the proposer submits it again, to the leader.
            let _ = self.raft.propose(now, command);
            self.process_log();
        }
    }

    /// Proposes a command, and returns the proposal's number. [`proposal_outcome`](Node::proposal_outcome) says what
    /// came of it.
    ///
    /// # Errors
    ///
    /// [`StoreError::TooManyProposals`] if too many wait already.
    pub fn propose(&mut self, now: f64, command: Command) -> Result<u64, StoreError> {
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
        self.next_submit = self.next_submit.min(now);
        self.submit_next(now);
        Ok(self.last_proposal)
    }

    /// Whether a proposal was accepted or rejected; `None` while it is not committed.
    pub fn proposal_outcome(&self, sequence: u64) -> Option<bool> {
        self.committed.outcome(self.member, self.process, sequence)
    }

    /// Stops submitting a proposal. It may still be committed if it was submitted before.
    pub fn abandon_proposal(&mut self, sequence: u64) {
        self.proposals
            .retain(|proposal| proposal.sequence != sequence);
    }

    /// Submits the first proposal to the leader, when it is due.
    pub(super) fn submit_next(&mut self, now: f64) {
        self.drop_committed_proposals(now);
        if now < self.next_submit {
            return;
        }
        let Some(first) = self.proposals.front().cloned() else {
            return;
        };
        self.next_submit = now + RETRY_INTERVAL_S;
        if self.raft.is_leader() {
            self.append_proposal(now, &first);
        } else if let Some(leader) = self.raft.leader() {
            self.send(leader, &FrameBody::Propose(first));
        }
    }

    fn drop_committed_proposals(&mut self, now: f64) {
        while let Some(first) = self.proposals.front() {
            if self.proposal_outcome(first.sequence).is_none() {
                return;
            }
            self.proposals.pop_front();
            self.next_submit = now;
        }
    }

    /// Starts a linearizable read, and returns its number.
    pub fn read(&mut self, now: f64) -> u64 {
        let number = self.raft.read(now);
        self.process_log();
        number
    }

    /// Whether the committed state holds everything that was committed when the read was started.
    pub fn is_read_done(&self, number: u64) -> bool {
        self.raft
            .read_index(number)
            .is_some_and(|index| self.applied_index >= index)
    }
}
