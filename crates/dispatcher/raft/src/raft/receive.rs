//! Dispatches received messages to their handlers.

use super::{Raft, Role};
use crate::disk_record::DiskWatermark;
use crate::error::RaftError;
use crate::message::{AppendEntries, AppendReply, Message, MessageBody, SnapshotChunk};
use crate::voter::Voter;

impl Raft {
    /// Processes a message from another member. A member with a fault ignores it.
    ///
    /// # Errors
    ///
    /// [`RaftError::UnknownSender`] if the sender is not another member; [`RaftError::BrokenChain`] and
    /// [`RaftError::InvalidSnapshotChunk`] for content that no member can have sent unaltered. That content has no
    /// further effect.
    pub fn receive(&mut self, now_s: f64, from: u64, message: Message) -> Result<(), RaftError> {
        if from == self.id || !self.members.contains(&from) {
            return Err(RaftError::UnknownSender { sender: from });
        }
        if self.fault.is_some() {
            return Ok(());
        }
        let sender = Voter {
            member: from,
            disk: message.disk,
        };
        self.watermarks.raise(DiskWatermark {
            disk: message.disk,
            records_written: message.records_written,
        });
        self.peers.record_message(now_s, sender, &message.body);
        self.dispatch(now_s, sender, message.term, message.body)
    }

    fn dispatch(
        &mut self,
        now_s: f64,
        sender: Voter,
        term: u64,
        body: MessageBody,
    ) -> Result<(), RaftError> {
        let from = sender.member;
        match body {
            MessageBody::DiskQuery { nonce, .. } => self.receive_disk_query(sender, nonce),
            MessageBody::DiskReport {
                nonce,
                records_written,
            } => self.receive_disk_report(from, nonce, records_written),
            MessageBody::VoteRequest(request) => self.receive_vote_request(now_s, from, request),
            MessageBody::VoteReply(reply) => self.receive_vote_reply(now_s, sender, term, reply),
            MessageBody::AppendEntries(request) => {
                return self.receive_append(now_s, from, term, request)
            }
            MessageBody::InstallSnapshot(chunk) => {
                return self.receive_snapshot_chunk(now_s, from, term, chunk)
            }
            MessageBody::AppendReply(reply) => {
                self.raise_term(now_s, term);
                self.receive_append_reply(now_s, sender, term, reply);
            }
            MessageBody::InstallSnapshotReply { position, offset } => {
                self.receive_snapshot_reply(now_s, sender, position, offset);
            }
            MessageBody::ReadIndex { number } => self.start_read(now_s, from, number),
            MessageBody::ReadIndexReply { number, index } => {
                self.receive_read_index_reply(number, index);
            }
        }
        Ok(())
    }

    fn receive_append(
        &mut self,
        now_s: f64,
        from: u64,
        term: u64,
        request: AppendEntries,
    ) -> Result<(), RaftError> {
        if term < self.term {
            let rejection = AppendReply {
                success: false,
                index: 0,
                round: 0,
            };
            self.send(from, MessageBody::AppendReply(rejection));
            return Ok(());
        }
        self.follow(now_s, from, term);
        self.append_entries(from, request)
    }

    fn receive_snapshot_chunk(
        &mut self,
        now_s: f64,
        from: u64,
        term: u64,
        chunk: SnapshotChunk,
    ) -> Result<(), RaftError> {
        if term < self.term {
            return Ok(());
        }
        self.follow(now_s, from, term);
        self.install_snapshot_chunk(from, chunk)
    }

    /// Accepts the sender as the leader of its term (Raft, 5.2).
    fn follow(&mut self, now_s: f64, leader: u64, term: u64) {
        self.raise_term(now_s, term);
        if !matches!(self.role, Role::Follower) || self.leader != Some(leader) {
            self.step_down(now_s, Some(leader));
        }
        self.leader_contact_s = now_s;
        self.reset_election_timer(now_s);
    }
}
