//! A process that holds all that a member holds, and counts in no quorum, until it takes a member's place.

use sagetrail_protocol::control::{RecordsPosition, RenewAck};
use sagetrail_protocol::{Incarnation, Term, Time};

/// So many batches a learner may lag behind and still be made a member: they are on their way to it.
const MAX_LAG: u64 = 64;

/// What the leader of the term knows of a learner.
#[derive(Debug)]
pub(crate) struct Learner {
    pub incarnation: Incarnation,
    /// An acknowledgement of a renewal sent before this moment may be of a former life.
    since: Time,
    /// The newest state that it said it had synced, together with everything else a member holds; `None` also where it was
    /// asked to end.
    held: Option<RecordsPosition>,
}

impl Learner {
    /// A learner that has not been heard yet.
    pub(crate) fn new(now: Time, incarnation: Incarnation) -> Learner {
        Learner {
            incarnation,
            since: now,
            held: None,
        }
    }

    /// It acknowledged a renewal. False where its former life may have done so.
    pub(crate) fn hear(&mut self, ack: &RenewAck) -> bool {
        if Time(ack.sent_at) < self.since {
            return false;
        }
        self.held = (ack.caught_up && !ack.leaving).then_some(ack.position);
        true
    }

    /// Whether it holds the records of this term up to about the newest batch.
    pub(crate) fn holds(&self, term: Term, newest: u64) -> bool {
        self.held
            .is_some_and(|held| held.term == term && held.number + MAX_LAG >= newest)
    }
}
