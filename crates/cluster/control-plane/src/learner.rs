//! A learner: a process that receives everything that a member receives but counts in no quorum, until it becomes a
//! member (Ongaro, "Consensus: Bridging Theory and Practice", 2014, 4.2.1).

use sagetrail_protocol::control::{RecordsPosition, RenewAck};
use sagetrail_protocol::{Incarnation, Term, Time};

/// The maximum number of batches by which a learner may lag and still be made a member. Batches that are in flight to
/// it always make it lag somewhat.
const MAX_LAG_BATCHES: u64 = 64;

/// The state that the leader of the term keeps for a learner.
#[derive(Debug)]
pub(crate) struct Learner {
    /// The incarnation of the learner. A learner that was restarted has another one and learns from the beginning.
    pub incarnation: Incarnation,
    /// When the leader began to track this incarnation. The acknowledgement of a renewal that was sent earlier may come
    /// from a former incarnation.
    since: Time,
    /// The newest records position that the learner has reported as synced, while it also holds everything else that a
    /// member holds; `None` if it lacks something or is shutting down.
    synced: Option<RecordsPosition>,
}

impl Learner {
    /// Creates the state of a learner that has not acknowledged anything yet.
    pub(crate) fn new(now: Time, incarnation: Incarnation) -> Learner {
        Learner {
            incarnation,
            since: now,
            synced: None,
        }
    }

    /// Handles the acknowledgement of a renewal; returns false if it may come from a former incarnation.
    pub(crate) fn on_renew_ack(&mut self, ack: &RenewAck) -> bool {
        if Time(ack.sent_at) < self.since {
            return false;
        }
        self.synced = (ack.caught_up && !ack.leaving).then_some(ack.position);
        true
    }

    /// Whether the learner holds the records of this term up to at most [`MAX_LAG_BATCHES`] before the batch `newest`.
    pub(crate) fn holds(&self, term: Term, newest: u64) -> bool {
        self.synced
            .is_some_and(|synced| synced.term == term && synced.number + MAX_LAG_BATCHES >= newest)
    }
}
