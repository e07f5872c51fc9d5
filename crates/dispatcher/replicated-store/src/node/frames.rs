//! Frames between members: how they are written, and dispatch of those received.

use super::Node;
use crate::facts::Proposal;
use crate::merged::{Digest, Item, Key};
use crate::records::{ClaimReply, Ended, Name, Owner, RecordPage};
use sagetrail_raft::Message;
use sagetrail_swim::{Envelope, FrameError};
use serde::{Deserialize, Serialize};

/// Frames of this version say so in their first byte, which tells them from the members' own.
pub const STORE_VERSION: u8 = 0x51;
/// A snapshot's part or a message of entries, with room; bytes.
pub const FRAME_MOST: usize = 512 << 10;

/// What a frame says. The order of the variants is part of the wire format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Body {
    /// A message of the agreed log.
    Log(Message),
    /// To the leader: put this on the log.
    Propose(Proposal),
    /// What the sender has of merged state.
    MergedDigest(Vec<Digest>),
    /// What the receiver lacks of it; `have`: what the sender has, empty in an answer to an answer.
    MergedItems {
        have: Vec<Digest>,
        items: Vec<(Key, Item)>,
    },
    /// A claim of a name.
    Claim { name: Name, no: u64, epoch: u32 },
    /// The answer to that.
    ClaimReply {
        no: u64,
        epoch: u32,
        reply: ClaimReply,
    },
    /// The end of a claim.
    End { name: Name, no: u64, ended: Ended },
    /// Confirms that.
    EndConfirmed { no: u64 },
    /// What one that has just started asks all others: the records that they hold, from behind a name on.
    RecordsRequest { after: Option<Name> },
    /// The answer to that.
    Records(RecordPage),
}

impl Node {
    pub(super) fn frame(&mut self, body: &Body) -> Vec<u8> {
        self.frame_no += 1;
        let envelope = Envelope {
            sender: self.me,
            process: self.birth,
            incarnation: self.incarnation,
            sequence: self.frame_no,
        };
        let frame = self.codec.encode(&envelope, body);
        self.sent.count(&frame);
        frame
    }

    pub(super) fn send(&mut self, to: u64, body: &Body) {
        let frame = self.frame(body);
        self.out.push((to, frame));
    }

    /// A frame has come.
    pub fn receive(&mut self, now: f64, frame: &[u8]) {
        let (envelope, body) = match self.codec.decode::<Body>(frame, FRAME_MOST) {
            Ok(read) => read,
            Err(why) => return self.refuse(why),
        };
        let from = envelope.sender;
        if from == self.me || !self.members.contains(&from) {
            return self.refuse(FrameError::UnknownSender);
        }
        self.received.count(frame);
        self.dispatch(
            now,
            Owner {
                who: from,
                birth: envelope.process,
            },
            body,
        );
    }

    fn dispatch(&mut self, now: f64, sender: Owner, body: Body) {
        let from = sender.who;
        match body {
            Body::Log(message) => self.receive_log(now, from, message),
            Body::Propose(proposal) if proposal.who == from => self.append_proposal(now, &proposal),
            Body::Propose(_) => self.refuse(FrameError::InvalidValue),
            Body::MergedDigest(have) => self.answer_digest(now, from, &have),
            Body::MergedItems { have, items } => self.take_items(now, from, &have, items),
            Body::Claim { name, no, epoch } => {
                let reply = self.holder.claim(now, sender, no, name, epoch);
                self.send(from, &Body::ClaimReply { no, epoch, reply });
            }
            Body::ClaimReply { no, epoch, reply } => {
                self.claims.answered(from, no, epoch, reply);
                self.answered.push(no);
            }
            Body::End { name, no, ended } => {
                self.holder.ended(sender, no, name, ended);
                self.send(from, &Body::EndConfirmed { no });
            }
            Body::EndConfirmed { no } => self.claims.confirmed(from, no),
            Body::RecordsRequest { after } => {
                if let Some(page) = self.holder.page(now, after) {
                    self.send(from, &Body::Records(page));
                }
            }
            Body::Records(page) => {
                let others = self.others();
                self.holder.take_page(now, from, page, &others);
            }
        }
    }

    fn receive_log(&mut self, now: f64, from: u64, message: Message) {
        let received = self.raft.receive(now, from, message);
        self.process_log();
        if received.is_err() {
            self.refuse(FrameError::InvalidValue);
        }
    }

    fn refuse(&mut self, why: FrameError) {
        *self.refused.entry(why).or_default() += 1;
    }
}
