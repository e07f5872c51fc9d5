//! Proposals of this member, one at a time, and reads.

use super::frames::Body;
use super::Node;
use crate::facts::{Op, Proposal};

/// A proposal that is not agreed is handed in again so often, seconds, as long as the host waits for it.
const RETRY_INTERVAL_S: f64 = 0.2;
/// Proposals that wait for agreement, at one member.
const MAX_PROPOSALS: usize = 256;

impl Node {
    /// Puts a proposal on the log, if this member leads and it is new.
    pub(super) fn append_proposal(&mut self, now: f64, proposal: &Proposal) {
        let known = self
            .facts
            .done(proposal.who, proposal.birth, proposal.no)
            .is_some();
        if known || self.disk_failed {
            return;
        }
        if let Ok(command) = postcard::to_allocvec(proposal) {
            // One that does not lead drops it: its proposer sends it again to the leader.
            let _ = self.raft.propose(now, command);
            self.process_log();
        }
    }

    /// Asks for something to be agreed; its number. `done` says whether it was taken.
    pub fn propose(&mut self, now: f64, op: Op) -> Option<u64> {
        if self.proposals.len() >= MAX_PROPOSALS {
            return None;
        }
        self.proposal_no += 1;
        let proposal = Proposal {
            who: self.me,
            birth: self.birth,
            no: self.proposal_no,
            op,
        };
        self.proposals.push_back(proposal);
        self.next_propose = self.next_propose.min(now);
        self.hand_in(now);
        Some(self.proposal_no)
    }

    /// Whether a proposal was taken or refused; `None` while it is not agreed.
    pub fn done(&self, no: u64) -> Option<bool> {
        self.facts.done(self.me, self.birth, no)
    }

    /// No longer waited for. What is on its way may still be agreed.
    pub fn give_up(&mut self, no: u64) {
        self.proposals.retain(|proposal| proposal.no != no);
    }

    /// Hands the first proposal in, when it is due.
    pub(super) fn hand_in(&mut self, now: f64) {
        self.drop_done_proposals(now);
        if now < self.next_propose {
            return;
        }
        let Some(first) = self.proposals.front().cloned() else {
            return;
        };
        self.next_propose = now + RETRY_INTERVAL_S;
        if self.raft.is_leader() {
            self.append_proposal(now, &first);
        } else if let Some(leader) = self.raft.leader() {
            self.send(leader, &Body::Propose(first));
        }
    }

    fn drop_done_proposals(&mut self, now: f64) {
        while let Some(first) = self.proposals.front() {
            if self.done(first.no).is_none() {
                return;
            }
            self.proposals.pop_front();
            self.next_propose = now;
        }
    }

    /// Asks up to where all is agreed now.
    pub fn read(&mut self, now: f64) -> u64 {
        let no = self.raft.read(now);
        self.process_log();
        no
    }

    /// All that was agreed when it was asked is here.
    pub fn read_done(&mut self, no: u64) -> bool {
        self.raft
            .read_index(no)
            .is_some_and(|index| self.at >= index)
    }
}
