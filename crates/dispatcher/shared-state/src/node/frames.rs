//! Bodies of the frames that members send each other.

use sagetrail_swim::{Message, Update};
use serde::{Deserialize, Serialize};

use crate::budgets::{LeaseGrant, LeaseRequest};
use crate::reports::{ArrivalCounts, Digest, Report};

/// Datagrams to send, each with the index of the receiver in the roster.
pub type Datagrams = Vec<(usize, Vec<u8>)>;

/// Body of a frame. The order of the variants is part of the wire format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Body {
    /// A message of the membership protocol.
    Swim(Message),
    /// Requests for leases.
    LeaseRequests(Vec<LeaseRequest>),
    /// Answers to requests for leases.
    LeaseGrants(Vec<LeaseGrant>),
    /// Report of the sender on its own state.
    Report(Report),
    /// Starts an exchange: the sender's view of the membership, and the digest of its reports.
    ExchangeRequest {
        updates: Vec<Update>,
        have: Vec<Digest>,
    },
    /// Answers an exchange request: the sender's view of the membership, the digest of its reports, the reports that
    /// the receiver lacks, and the counts of all processes.
    ExchangeReply {
        updates: Vec<Update>,
        have: Vec<Digest>,
        reports: Vec<Report>,
        counts: Vec<ArrivalCounts>,
    },
    /// Ends an exchange: the reports that the receiver lacks, and the counts of all processes.
    ExchangeEnd {
        reports: Vec<Report>,
        counts: Vec<ArrivalCounts>,
    },
}

/// Number and size of frames since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of frames.
    pub frames: u64,
    /// Total size of the frames in bytes.
    pub bytes: u64,
}

impl Traffic {
    pub(super) fn count(&mut self, frame: &[u8]) {
        self.frames += 1;
        self.bytes += frame.len() as u64;
    }
}
