//! Encodes frames, and dispatches received frames to their handlers.

use serde::{Deserialize, Serialize};

use sagetrail_raft::Message;
use sagetrail_swim::{Envelope, FrameError};

use super::{Node, OutboundFrame};
use crate::committed_state::Proposal;
use crate::merged_state::{Digest, Item, Key};
use crate::records::{ClaimReply, Completion, Owner, RecordPage, WorkItemName};

/// Version of the store's frames. It is their first byte, and distinguishes them from frames of the membership
/// protocol.
pub const STORE_VERSION: u8 = 0x51;
/// Largest size of a frame, bytes. It is several times the size of a snapshot chunk or of a message with entries.
pub const MAX_FRAME_BYTES: usize = 512 << 10;

/// The content of a frame. The order of the variants is part of the wire format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum FrameBody {
    /// A message of the replicated log.
    Log(Message),
    /// Asks the leader to append a proposal of the sender.
    Propose(Proposal),
    /// The sender's digest of the merged state.
    MergedDigest(Vec<Digest>),
    /// The items that the receiver lacks.
    MergedItems {
        /// The sender's digest; empty in the reply to `MergedItems`, which ends the exchange.
        digest: Vec<Digest>,
        items: Vec<(Key, Item)>,
    },
    /// A claim of a work item's name.
    Claim {
        name: WorkItemName,
        number: u64,
        epoch: u32,
    },
    /// The reply to `Claim`.
    ClaimReply {
        number: u64,
        epoch: u32,
        reply: ClaimReply,
    },
    /// The end of a claimed work item.
    End {
        name: WorkItemName,
        number: u64,
        completion: Completion,
    },
    /// The reply to `End`.
    EndConfirmed { number: u64 },
    /// A member that has just started asks for the receiver's records after a name.
    RecordsRequest { after: Option<WorkItemName> },
    /// The reply to `RecordsRequest`.
    Records(RecordPage),
}

impl Node {
    pub(super) fn encode_frame(&mut self, body: &FrameBody) -> Vec<u8> {
        self.frame_sequence += 1;
        let envelope = Envelope {
            sender: self.member,
            process: self.process,
            incarnation: self.incarnation,
            sequence: self.frame_sequence,
        };
        let frame = self.codec.encode(&envelope, body);
        self.sent.count(&frame);
        frame
    }

    pub(super) fn send(&mut self, to: u64, body: &FrameBody) {
        let bytes = self.encode_frame(body);
        self.outbound.push(OutboundFrame { to, bytes });
    }

    /// Processes a received frame. An invalid frame is counted in [`Node::rejected`] and has no effect.
    pub fn receive(&mut self, now_s: f64, frame: &[u8]) {
        let (envelope, body) = match self.codec.decode::<FrameBody>(frame, MAX_FRAME_BYTES) {
            Ok(decoded) => decoded,
            Err(error) => return self.reject(error),
        };
        if envelope.sender == self.member || !self.members.contains(&envelope.sender) {
            return self.reject(FrameError::UnknownSender);
        }
        self.received.count(frame);
        let sender = Owner {
            member: envelope.sender,
            process: envelope.process,
        };
        self.dispatch(now_s, sender, body);
    }

    fn dispatch(&mut self, now_s: f64, sender: Owner, body: FrameBody) {
        let from = sender.member;
        match body {
            FrameBody::Log(message) => self.receive_log_message(now_s, from, message),
            FrameBody::Propose(proposal) if proposal.member == from => {
                self.append_proposal(now_s, &proposal);
            }
            FrameBody::Propose(_) => self.reject(FrameError::InvalidValue),
            FrameBody::MergedDigest(digest) => self.answer_digest(now_s, from, &digest),
            FrameBody::MergedItems { digest, items } => {
                self.receive_items(now_s, from, &digest, items);
            }
            FrameBody::Claim {
                name,
                number,
                epoch,
            } => self.answer_claim(now_s, sender, number, name, epoch),
            FrameBody::ClaimReply {
                number,
                epoch,
                reply,
            } => {
                self.claims.receive_reply(from, number, epoch, reply);
                self.answered_claims.push(number);
            }
            FrameBody::End {
                name,
                number,
                completion,
            } => {
                self.record_replica
                    .complete(sender, number, name, completion);
                self.send(from, &FrameBody::EndConfirmed { number });
            }
            FrameBody::EndConfirmed { number } => self.claims.receive_confirmation(from, number),
            FrameBody::RecordsRequest { after } => {
                if let Some(page) = self.record_replica.page(now_s, after) {
                    self.send(from, &FrameBody::Records(page));
                }
            }
            FrameBody::Records(page) => {
                let others = self.others();
                self.record_replica.receive_page(now_s, from, page, &others);
            }
        }
    }

    fn receive_log_message(&mut self, now_s: f64, from: u64, message: Message) {
        let received = self.raft.receive(now_s, from, message);
        self.process_log();
        if received.is_err() {
            self.reject(FrameError::InvalidValue);
        }
    }

    fn answer_claim(
        &mut self,
        now_s: f64,
        sender: Owner,
        number: u64,
        name: WorkItemName,
        epoch: u32,
    ) {
        let reply = self
            .record_replica
            .claim(now_s, sender, number, name, epoch);
        let body = FrameBody::ClaimReply {
            number,
            epoch,
            reply,
        };
        self.send(sender.member, &body);
    }

    fn reject(&mut self, error: FrameError) {
        *self.rejected.entry(error).or_default() += 1;
    }
}
