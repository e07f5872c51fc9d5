//! A process that comes back gives up, in public, the term that its former life held or stood for: nobody has to
//! wait for that term's lease.
use crate::node::CoreNode;
use crate::timing::{RENOUNCE_INTERVAL_MS, RENOUNCE_MS};
use sagetrail_protocol::control::{ControlMessage, Resign};
use sagetrail_protocol::{Epoch, Time};

/// A term that is being given up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Renouncing {
    epoch: Epoch,
    until: Time,
    next: Time,
}

impl CoreNode {
    /// At the start, with what the disk says: the newest promise may have been made to this very process.
    pub(crate) fn begin_to_renounce(&mut self) {
        let promise = self.replica.state.promise;
        if promise.epoch == 0 || promise.node != self.settings.node {
            return;
        }
        // Its own grant was made to the life that has ended.
        self.replica.lease_until = self.started;
        self.elections.hasten();
        let until = self.started.plus_millis(RENOUNCE_MS);
        self.renouncing = Some(Renouncing {
            epoch: promise.epoch,
            until,
            next: self.started,
        });
    }

    /// Says it again: others may come back later.
    pub(crate) fn step_renouncing(&mut self, now: Time) {
        let Some(renouncing) = self.renouncing else {
            return;
        };
        let current = self.replica.state.promise.epoch == renouncing.epoch;
        if self.term.is_some() || !current || now >= renouncing.until {
            self.renouncing = None;
            return;
        }
        if now < renouncing.next {
            return;
        }
        let resign = ControlMessage::Resign(Resign {
            epoch: renouncing.epoch,
        });
        self.effects.broadcast(self.knowledge.list.all(), &resign);
        self.renouncing = Some(Renouncing {
            next: now.plus_millis(RENOUNCE_INTERVAL_MS),
            ..renouncing
        });
    }

    /// When it is due.
    pub(crate) fn renouncing_wake(&self) -> Option<Time> {
        self.renouncing.map(|renouncing| renouncing.next)
    }
}
