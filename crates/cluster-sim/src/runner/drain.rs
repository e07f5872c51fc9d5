//! A runner's planned end: it says so, serves on, and leaves.
use super::Runner;
use crate::actor::Surroundings;
use crate::engine::{Micros, SECOND};

/// Without an acknowledgement a runner that leaves ends after so long.
const LEAVE_WITHOUT_ACK: Micros = 4 * SECOND;

/// A planned end.
#[derive(Clone, Copy)]
pub(super) struct Drain {
    pub began: Micros,
    /// The time that it says is left at least, from its beginning.
    pub left: Micros,
    /// It serves on for so long after the acknowledgement.
    pub serves_on: Micros,
    pub acknowledged: Option<Micros>,
    pub deregister_sent: Option<Micros>,
}

impl Drain {
    fn leaves_at(&self) -> Micros {
        let promised = self.began + self.left;
        match self.acknowledged {
            Some(at) => promised.max(at + self.serves_on),
            None => promised + self.serves_on + LEAVE_WITHOUT_ACK,
        }
    }
}

impl Runner {
    /// Leaves once its time has come.
    pub(super) fn check_drain(&mut self, now: Micros, surroundings: &mut Surroundings) {
        let Some(drain) = self.drain else { return };
        if drain.deregister_sent.is_some_and(|sent| now >= sent + LEAVE_WITHOUT_ACK) {
            self.end_life(now, now + 5 * SECOND, surroundings);
        } else if drain.deregister_sent.is_none() && drain.leaves_at() <= now {
            self.send_deregister(now, surroundings);
        }
    }

    /// When `check_drain` has something to do.
    pub(super) fn drain_wake(&self) -> Option<Micros> {
        let drain = self.drain?;
        match drain.deregister_sent {
            Some(sent) => Some(sent + LEAVE_WITHOUT_ACK),
            None => Some(drain.leaves_at()),
        }
    }
}
