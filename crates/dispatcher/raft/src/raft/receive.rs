//! Dispatch of received messages.

use super::{Raft, Role};
use crate::disk_record::DiskWatermark;
use crate::error::RaftError;
use crate::message::{AppendEntries, AppendReply, Message, MessageBody, SnapshotChunk};
use crate::voter::Voter;

impl Raft {
    /// Takes a message from another member. A member with a fault ignores it.
    ///
    /// # Errors
    ///
    /// [`RaftError::UnknownSender`]; [`RaftError::BrokenChain`] and [`RaftError::InvalidSnapshotChunk`] for content
    /// that no member can have sent unaltered. The message has no further effect then.
    pub fn receive(&mut self, now: f64, from: u64, message: Message) -> Result<(), RaftError> {
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
        self.peers.record_message(now, sender, &message.body);
        self.dispatch(now, sender, message.term, message.body)
    }

    fn dispatch(
        &mut self,
        now: f64,
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
            MessageBody::VoteRequest(request) => self.receive_vote_request(now, from, request),
            MessageBody::VoteReply(reply) => self.receive_vote_reply(now, sender, term, reply),
            MessageBody::AppendEntries(request) => {
                return self.receive_append(now, from, term, request)
            }
            MessageBody::InstallSnapshot(chunk) => {
                return self.receive_snapshot_chunk(now, from, term, chunk)
            }
            MessageBody::AppendReply(reply) => {
                self.raise_term(now, term);
                self.receive_append_reply(now, sender, term, reply);
            }
            MessageBody::InstallSnapshotReply { position, offset } => {
                self.receive_snapshot_reply(now, sender, position, offset);
            }
            MessageBody::ReadIndex { number } => self.start_read(now, from, number),
            MessageBody::ReadIndexReply { number, index } => {
                self.receive_read_index_reply(number, index);
            }
        }
        Ok(())
    }

    fn receive_append(
        &mut self,
        now: f64,
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
        self.follow(now, from, term);
        self.append_entries(from, request)
    }

    fn receive_snapshot_chunk(
        &mut self,
        now: f64,
        from: u64,
        term: u64,
        chunk: SnapshotChunk,
    ) -> Result<(), RaftError> {
        if term < self.term {
            return Ok(());
        }
        self.follow(now, from, term);
        self.install_snapshot_chunk(from, chunk)
    }

    /// Acknowledges the sender as the leader of its term (Raft, 5.2).
    fn follow(&mut self, now: f64, leader: u64, term: u64) {
        self.raise_term(now, term);
        if !matches!(self.role, Role::Follower) || self.leader != Some(leader) {
            self.step_down(now, Some(leader));
        }
        self.leader_contact_at = now;
        self.reset_election_timer(now);
    }
}
