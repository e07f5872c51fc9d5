//! Messages between members and the updates that are piggybacked on them.

use serde::{Deserialize, Serialize};

/// State of one member as known to another. The order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Nothing has been received from the member or about it.
    Unknown,
    /// The member answers, or another member reports that it does.
    Alive,
    /// The member did not answer a probe and has not refuted the suspicion yet (SWIM, section 4.2).
    Suspect,
    /// The suspicion of the member timed out.
    Dead,
}

impl MemberState {
    /// Name of the state on the operators' page of members.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Unknown => "unknown",
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
        }
    }

    /// Precedence of the state: of two states at the same incarnation, the one with the higher precedence overrides the
    /// other (SWIM, section 4.2).
    pub(crate) fn precedence(self) -> u8 {
        match self {
            MemberState::Unknown => 0,
            MemberState::Alive => 1,
            MemberState::Suspect => 2,
            MemberState::Dead => 3,
        }
    }
}

/// Report of one member on the state of another. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Number of the member that the update is about.
    pub member: u64,
    /// Incarnation of that member to which the update applies.
    pub incarnation: u64,
    /// State of that member.
    pub state: MemberState,
    /// Number of the member that reports the state: independent reporters shorten a suspicion (Lifeguard).
    pub reporter: u64,
}

/// A message of the protocol (SWIM, section 3.1). The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver for a [`Message::Ack`].
    Ping {
        /// Sequence number chosen by the sender and repeated in the answer.
        sequence: u32,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Answers a ping, or a ping-req (a request for an indirect ping) whose target answered.
    Ack {
        /// Sequence number of the ping or ping-req.
        sequence: u32,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Asks the receiver to ping `target` for the sender.
    PingReq {
        /// Sequence number chosen by the sender and repeated in the answer.
        sequence: u32,
        /// Number of the member to ping.
        target: u64,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Answers a ping-req whose target did not answer. It shows that the link between requester and helper works
    /// (Lifeguard).
    Nack {
        /// Sequence number of the ping-req.
        sequence: u32,
    },
}

/// Messages to send, each with the receiver's index in the roster.
pub type Outbox = Vec<(usize, Message)>;
