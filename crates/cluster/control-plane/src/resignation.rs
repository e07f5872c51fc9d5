//! A restarted process gives up the term that its former incarnation led or stood for: nobody has to wait for that term's
//! lease to expire.

use crate::persisted::TermPromise;
use crate::timing::{RESIGN_FORMER_TERM_MS, RESIGN_INTERVAL_MS};
use sagetrail_protocol::control::Resign;
use sagetrail_protocol::{NodeId, Term, Time};

/// A term that is being given up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FormerTermResignation {
    term: Term,
    until: Time,
    next: Time,
}

impl FormerTermResignation {
    /// At the start, with the promise on disk: it may have been made to this very process.
    pub(crate) fn of(
        promise: TermPromise,
        node: NodeId,
        started: Time,
    ) -> Option<FormerTermResignation> {
        (promise.term > 0 && promise.node == node).then(|| FormerTermResignation {
            term: promise.term,
            until: started.plus_millis(RESIGN_FORMER_TERM_MS),
            next: started,
        })
    }

    /// Whether there is nothing to give up any more, with `promised` as the highest term known.
    pub(crate) fn is_over(&self, now: Time, promised: Term) -> bool {
        promised != self.term || now >= self.until
    }

    /// The message, where it is due. It is repeated: other processes may restart later.
    pub(crate) fn due(&mut self, now: Time) -> Option<Resign> {
        if now < self.next {
            return None;
        }
        self.next = now.plus_millis(RESIGN_INTERVAL_MS);
        Some(Resign { term: self.term })
    }

    /// When the message is due.
    pub(crate) fn next_wake(&self) -> Time {
        self.next
    }
}
