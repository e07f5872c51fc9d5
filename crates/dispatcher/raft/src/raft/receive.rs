//! Dispatch of received messages.

use super::disk_check::Peer;
use super::{Raft, Role};
use crate::entry::Voter;
use crate::message::{AppendEntries, AppendReply, Message, MessageBody, SnapshotPart};

/// A member with one disk is forgotten when it was not heard of for so long, seconds.
const FORGET_VOTER_S: f64 = 30.0;

impl Raft {
    /// A message has come from a member. False for one that no member can have written.
    pub fn receive(&mut self, now: f64, from: u64, message: Message) -> bool {
        if from == self.me || !self.members.contains(&from) {
            return false;
        }
        if self.fault.is_some() {
            return true;
        }
        let sender = Voter {
            who: from,
            disk: message.disk,
        };
        self.note_written(message.disk, message.written);
        self.note_sender(now, sender, &message.body);
        self.dispatch(now, sender, message.term, message.body)
    }

    fn note_sender(&mut self, now: f64, sender: Voter, body: &MessageBody) {
        let Voter { who, disk } = sender;
        let known = self.peers.get(&who).filter(|peer| peer.disk == disk);
        let blank = match body {
            MessageBody::DiskQuery { blank, .. } => *blank,
            MessageBody::AppendEntries(_) | MessageBody::InstallSnapshot(_) => false,
            MessageBody::VoteRequest(_) => false,
            _ => known.is_some_and(|peer| peer.blank),
        };
        self.peers.insert(
            who,
            Peer {
                disk,
                heard: now,
                blank,
            },
        );
        self.voter_heard.insert(sender, now);
        self.voter_heard.retain(|_, at| now < *at + FORGET_VOTER_S);
    }

    fn dispatch(&mut self, now: f64, sender: Voter, term: u64, body: MessageBody) -> bool {
        let from = sender.who;
        match body {
            MessageBody::DiskQuery { nonce, .. } => self.answer_disk_query(sender, nonce),
            MessageBody::DiskReport { nonce, written } => {
                self.take_disk_report(from, nonce, written)
            }
            MessageBody::VoteRequest(request) => self.answer_vote_request(now, from, request),
            MessageBody::VoteReply(reply) => self.take_vote(now, sender, term, reply),
            MessageBody::AppendEntries(request) => {
                return self.receive_append(now, from, term, request)
            }
            MessageBody::InstallSnapshot(part) => {
                return self.receive_snapshot_part(now, from, term, part)
            }
            MessageBody::AppendReply(reply) => self.receive_append_reply(now, sender, term, reply),
            MessageBody::InstallSnapshotReply { mark, offset } => {
                self.take_snapshot_reply(now, sender, mark, offset);
            }
            MessageBody::ReadIndex { number } => self.start_read(now, from, number),
            MessageBody::ReadIndexReply { number, index } => self.keep_read_index(number, index),
        }
        true
    }

    fn receive_append(&mut self, now: f64, from: u64, term: u64, request: AppendEntries) -> bool {
        if term < self.term {
            let refusal = AppendReply {
                success: false,
                index: 0,
                round: 0,
            };
            self.send(from, MessageBody::AppendReply(refusal));
            return true;
        }
        self.follow(now, from, term);
        self.append_entries(from, request)
    }

    fn receive_append_reply(&mut self, now: f64, from: Voter, term: u64, reply: AppendReply) {
        self.raise_term(now, term);
        self.take_append_reply(now, from, term, reply);
    }

    fn receive_snapshot_part(
        &mut self,
        now: f64,
        from: u64,
        term: u64,
        part: SnapshotPart,
    ) -> bool {
        if term < self.term {
            return true;
        }
        self.follow(now, from, term);
        self.take_snapshot_part(from, part)
    }

    fn follow(&mut self, now: f64, leader: u64, term: u64) {
        self.raise_term(now, term);
        if !matches!(self.role, Role::Follower) || self.leader != Some(leader) {
            self.step_down(now, Some(leader));
        }
        self.leader_heard = now;
        self.reset_election_timer(now);
    }
}
