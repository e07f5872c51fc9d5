//! A process that comes back gives up, in public, the term that its former life held or stood for: nobody has to
//! wait for that term's lease.

use crate::node::CoreNode;
use crate::timing::{RESIGN_FORMER_TERM_MS, RESIGN_INTERVAL_MS};
use sagetrail_protocol::control::{ControlMessage, Resign};
use sagetrail_protocol::{Term, Time};

/// A term that is being given up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FormerTermResignation {
    term: Term,
    until: Time,
    next: Time,
}

impl CoreNode {
    /// At the start, with what the disk says: the newest promise may have been made to this very process.
    pub(crate) fn begin_resigning_former_term(&mut self) {
        let promise = self.replica.state.promise;
        if promise.term == 0 || promise.node != self.settings.node {
            return;
        }
        // Its own grant was made to the life that has ended.
        self.replica.lease_until = self.started;
        self.elections.hasten_next();
        let until = self.started.plus_millis(RESIGN_FORMER_TERM_MS);
        self.former_term_resignation = Some(FormerTermResignation {
            term: promise.term,
            until,
            next: self.started,
        });
    }

    /// Says it again: others may come back later.
    pub(crate) fn resign_former_term(&mut self, now: Time) {
        let Some(former_term_resignation) = self.former_term_resignation else {
            return;
        };
        let current = self.replica.state.promise.term == former_term_resignation.term;
        if self.leadership.is_some() || !current || now >= former_term_resignation.until {
            self.former_term_resignation = None;
            return;
        }
        if now < former_term_resignation.next {
            return;
        }
        let resign = ControlMessage::Resign(Resign {
            term: former_term_resignation.term,
        });
        self.effects
            .broadcast(self.register_view.list.all(), &resign);
        self.former_term_resignation = Some(FormerTermResignation {
            next: now.plus_millis(RESIGN_INTERVAL_MS),
            ..former_term_resignation
        });
    }

    /// When it is due.
    pub(crate) fn former_term_resignation_wake(&self) -> Option<Time> {
        self.former_term_resignation
            .map(|former_term_resignation| former_term_resignation.next)
    }
}
