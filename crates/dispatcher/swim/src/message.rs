//! Messages between members and the updates that travel on them.

use serde::{Deserialize, Serialize};

/// The state of one member as another sees it. The order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Nothing has been received from it or about it.
    Unknown,
    /// It answers, or another member says so.
    Alive,
    /// It did not answer a probe and has not refuted that yet (SWIM, section 4.2).
    Suspect,
    /// Its suspicion timed out.
    Dead,
}

impl MemberState {
    /// The spelling on the operators' page of members.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Unknown => "unknown",
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
        }
    }

    /// Which of two states at the same incarnation overrides the other: the higher one (SWIM, section 4.2).
    pub(crate) fn precedence(self) -> u8 {
        match self {
            MemberState::Unknown => 0,
            MemberState::Alive => 1,
            MemberState::Suspect => 2,
            MemberState::Dead => 3,
        }
    }
}

/// What one member says of another. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The number of the member that this is about.
    pub member: u64,
    /// The incarnation of that member that this is about.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
    /// The number of the member that says so: independent accusers shorten a suspicion (Lifeguard).
    pub reporter: u64,
}

/// A message of the protocol (SWIM, section 3.1). The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver for an [`Message::Ack`].
    Ping {
        /// Chosen by the sender; the answer repeats it.
        sequence: u32,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Answers a ping, or a ping-req whose target answered.
    Ack {
        /// Of the ping or ping-req.
        sequence: u32,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Asks the receiver to ping `target` for the sender.
    PingReq {
        /// Chosen by the sender; the answer repeats it.
        sequence: u32,
        /// The number of the member to ping.
        target: u64,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Answers a ping-req whose target did not answer: shows that the link to the receiver itself works (Lifeguard).
    Nack {
        /// Of the ping-req.
        sequence: u32,
    },
}

/// Messages to send, each with the receiver's index in the roster.
pub type Outbox = Vec<(usize, Message)>;
