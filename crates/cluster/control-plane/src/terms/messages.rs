//! The handlers of the messages of terms: requests to the replica, and replies to the candidate and the leader.

use sagetrail_protocol::control::{
    FetchSnapshot, RecordBatch, RecordsSynced, Renew, RenewAck, Resign, SnapshotChunk, VoteReply,
    VoteRequest,
};
use sagetrail_protocol::{NodeId, Time};

use super::Terms;
use crate::effects::Effects;
use crate::leadership::{Leadership, TermStatus};
use crate::quorum::MemberList;
use crate::replica::ProcessStatus;

/// Handlers of messages to the replica. Only a process that knows its own promises may answer these messages.
impl Terms {
    /// Handles a candidate's request for a vote. `members_version` is the version of the newest member list that this
    /// process has accepted.
    pub(crate) fn on_vote_request(
        &mut self,
        now: Time,
        from: NodeId,
        request: &VoteRequest,
        members_version: u64,
        effects: &mut Effects,
    ) {
        self.replica
            .on_vote_request(now, from, request, members_version, effects);
    }

    /// Handles a leader's request to renew its lease.
    pub(crate) fn on_renew(
        &mut self,
        now: Time,
        from: NodeId,
        renew: &Renew,
        status: ProcessStatus,
        effects: &mut Effects,
    ) {
        self.replica.on_renew(now, from, renew, status, effects);
    }

    /// Handles the resignation of a leader or of a candidate.
    pub(crate) fn on_resign(&mut self, now: Time, from: NodeId, resign: &Resign) {
        if self.replica.on_resign(now, from, resign.term) {
            self.elections.hasten_next();
        }
    }

    /// Handles a hello of a core process that does not participate yet, which voids the lease of its former
    /// incarnation.
    pub(crate) fn on_hello(&mut self, now: Time, from: NodeId) {
        if self.replica.on_hello_of_lease_holder(now, from) {
            self.elections.hasten_next();
        }
    }

    /// Handles a batch of changes from the leader.
    pub(crate) fn on_batch(&mut self, from: NodeId, batch: RecordBatch, effects: &mut Effects) {
        self.replica.on_batch(from, batch, effects);
    }

    /// Handles another process's request for a chunk of a snapshot.
    pub(crate) fn on_fetch(
        &mut self,
        now: Time,
        from: NodeId,
        fetch: &FetchSnapshot,
        effects: &mut Effects,
    ) {
        self.replica.on_fetch_snapshot(now, from, fetch, effects);
    }

    /// Handles a chunk of the snapshot that this process fetches.
    pub(crate) fn on_chunk(
        &mut self,
        now: Time,
        from: NodeId,
        chunk: SnapshotChunk,
        effects: &mut Effects,
    ) {
        self.replica.on_snapshot_chunk(now, from, chunk, effects);
    }
}

/// Handlers of replies to the candidate and to the leader.
impl Terms {
    /// Handles a member's reply to a request for a vote. If the vote wins the election and `may_lead` is true, this
    /// process leads the term.
    pub(crate) fn on_vote_reply(
        &mut self,
        now: Time,
        from: NodeId,
        reply: &VoteReply,
        may_lead: bool,
        members: &MemberList,
        effects: &mut Effects,
    ) {
        let elected = self
            .elections
            .on_vote_reply(now, from, reply, members, effects);
        if let Some(elected) = elected.filter(|_| may_lead) {
            self.leadership = Some(Leadership::new(self.node, now, elected, members));
        }
    }

    /// Handles a replica's answer to a renewal of the lease.
    pub(crate) fn on_renew_ack(
        &mut self,
        now: Time,
        from: NodeId,
        ack: &RenewAck,
        members: &MemberList,
        effects: &mut Effects,
    ) {
        self.elections.observe_term(ack.promised);
        if from == self.node {
            self.replica.on_leader_synced(ack.term);
        }
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if leadership.on_renew_ack(now, from, ack, members) == TermStatus::Superseded {
            self.step_down(now, members, effects);
        }
    }

    /// Handles the report of a replica that has synced its records up to a position.
    pub(crate) fn on_records_synced(
        &mut self,
        now: Time,
        from: NodeId,
        synced: &RecordsSynced,
        members: &MemberList,
    ) {
        if from == self.node {
            self.replica.on_synced(synced.position);
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.on_records_synced(now, from, synced.position, members);
        }
    }
}
