//! The bodies of frames between members.

use sagetrail_swim::{Message, Update};
use serde::{Deserialize, Serialize};

use crate::budgets::{LeaseGrant, LeaseRequest};
use crate::reports::{ArrivalCounts, Digest, Report};

/// Datagrams to send, each with the receiver's index in the roster.
pub type Datagrams = Vec<(usize, Vec<u8>)>;

/// What a frame holds. The order of the variants is part of the wire format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Body {
    /// A message of the membership protocol.
    Swim(Message),
    /// Requests for leases.
    LeaseRequests(Vec<LeaseRequest>),
    /// Answers to them.
    LeaseGrants(Vec<LeaseGrant>),
    /// The sender's own report.
    Report(Report),
    /// Starts an exchange: what the sender has.
    ExchangeRequest {
        updates: Vec<Update>,
        have: Vec<Digest>,
    },
    /// Answers that: what the receiver lacks, and what the sender has.
    ExchangeReply {
        updates: Vec<Update>,
        have: Vec<Digest>,
        reports: Vec<Report>,
        counts: Vec<ArrivalCounts>,
    },
    /// Ends an exchange: what the receiver lacks.
    ExchangeEnd {
        reports: Vec<Report>,
        counts: Vec<ArrivalCounts>,
    },
}

/// Frames and their bytes since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// How many frames.
    pub frames: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Traffic {
    pub(super) fn count(&mut self, frame: &[u8]) {
        self.frames += 1;
        self.bytes += frame.len() as u64;
    }
}
