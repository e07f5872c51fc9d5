//! A learner: a process that receives all that a member receives, and counts in no quorum, until it takes a member's
//! place (Ongaro, "Consensus: Bridging Theory and Practice", 2014, 4.2.1).

use sagetrail_protocol::control::{RecordsPosition, RenewAck};
use sagetrail_protocol::{Incarnation, Term, Time};

/// The most batches that a learner may lag behind and still be made a member: they are in flight to it.
const MAX_LAG_BATCHES: u64 = 64;

/// What the leader of the term knows of a learner.
#[derive(Debug)]
pub(crate) struct Learner {
    /// A learner that has started anew has another one, and learns from the beginning.
    pub incarnation: Incarnation,
    /// An acknowledgement of a renewal sent before this moment may be of a former incarnation.
    since: Time,
    /// The newest position that it has reported as synced, together with everything else a member holds; `None` also
    /// where it is about to end.
    synced: Option<RecordsPosition>,
}

impl Learner {
    /// A learner that has not acknowledged anything yet.
    pub(crate) fn new(now: Time, incarnation: Incarnation) -> Learner {
        Learner {
            incarnation,
            since: now,
            synced: None,
        }
    }

    /// It acknowledged a renewal. False where its former incarnation may have done so.
    pub(crate) fn on_renew_ack(&mut self, ack: &RenewAck) -> bool {
        if Time(ack.sent_at) < self.since {
            return false;
        }
        self.synced = (ack.caught_up && !ack.leaving).then_some(ack.position);
        true
    }

    /// Whether it holds the records of this term up to about the newest batch.
    pub(crate) fn holds(&self, term: Term, newest: u64) -> bool {
        self.synced
            .is_some_and(|synced| synced.term == term && synced.number + MAX_LAG_BATCHES >= newest)
    }
}
