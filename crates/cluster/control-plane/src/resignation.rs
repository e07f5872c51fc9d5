//! The resignation of a term by a restarted process. It resigns the term in which its former incarnation was the leader
//! or a candidate, so that no other process has to wait until the lease of that term expires.

use sagetrail_protocol::control::Resign;
use sagetrail_protocol::{NodeId, Term, Time};

use crate::persisted::TermPromise;
use crate::timing::{RESIGN_FORMER_TERM_MS, RESIGN_INTERVAL_MS};

/// The resignation of a former incarnation's term.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FormerTermResignation {
    /// The term that is resigned.
    term: Term,
    /// When the process stops sending resignations.
    ends_at: Time,
    /// When the next resignation is sent.
    send_at: Time,
}

impl FormerTermResignation {
    /// Creates the resignation of the promised term that was on disk at the start of the process. Returns `None` if the
    /// promise was not made to this process.
    pub(crate) fn of_promise(
        promise: TermPromise,
        node: NodeId,
        started: Time,
    ) -> Option<FormerTermResignation> {
        (promise.term > 0 && promise.node == node).then(|| FormerTermResignation {
            term: promise.term,
            ends_at: started.plus_millis(RESIGN_FORMER_TERM_MS),
            send_at: started,
        })
    }

    /// Returns whether no further resignation has to be sent. `promised` is the highest term that this process knows.
    pub(crate) fn is_over(&self, now: Time, promised: Term) -> bool {
        promised != self.term || now >= self.ends_at
    }

    /// Returns the message if it is due. It is sent repeatedly because other processes may restart later.
    pub(crate) fn take_due(&mut self, now: Time) -> Option<Resign> {
        if now < self.send_at {
            return None;
        }
        self.send_at = now.plus_millis(RESIGN_INTERVAL_MS);
        Some(Resign { term: self.term })
    }

    /// Returns when the next message is due.
    pub(crate) fn next_wake(&self) -> Time {
        self.send_at
    }
}
