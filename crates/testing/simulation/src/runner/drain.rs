//! A runner's planned end: it says so, serves on, and leaves.

use super::Runner;
use crate::actor::ActorContext;
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
    /// It never says `draining`: it deregisters first, and serves on after that.
    pub deregisters_first: bool,
    /// When its word, or its deregistration where that comes first, was acknowledged.
    pub acknowledged: Option<Micros>,
    pub deregister_sent: Option<Micros>,
}

impl Drain {
    /// A planned end that is said first.
    pub(super) fn new(began: Micros, left: Micros, serves_on: Micros) -> Drain {
        let (deregisters_first, acknowledged, deregister_sent) = (false, None, None);
        Drain {
            began,
            left,
            serves_on,
            deregisters_first,
            acknowledged,
            deregister_sent,
        }
    }

    /// True where it says in its heartbeats that it drains.
    pub(super) fn is_announced(&self) -> bool {
        !self.deregisters_first
    }

    /// When it ends, once it has deregistered.
    fn ends_at(&self, deregistered: Micros) -> Micros {
        match self.acknowledged {
            Some(at) if self.deregisters_first => at + self.serves_on,
            _ if self.deregisters_first => deregistered + self.serves_on + LEAVE_WITHOUT_ACK,
            _ => deregistered + LEAVE_WITHOUT_ACK,
        }
    }

    /// When it deregisters.
    fn deregisters_at(&self) -> Micros {
        if self.deregisters_first {
            self.began
        } else {
            self.leaves_at()
        }
    }

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
    pub(super) fn check_drain(&mut self, now: Micros, context: &mut ActorContext) {
        let Some(drain) = self.drain else { return };
        if drain
            .deregister_sent
            .is_some_and(|sent| now >= drain.ends_at(sent))
        {
            self.end_incarnation(now, now + 5 * SECOND, context);
        } else if drain.deregister_sent.is_none() && drain.deregisters_at() <= now {
            self.send_deregister(now, context);
        }
    }

    /// Its deregistration was acknowledged.
    pub(super) fn take_deregistered(&mut self, now: Micros, context: &mut ActorContext) {
        let Some(drain) = self
            .drain
            .as_mut()
            .filter(|drain| drain.deregister_sent.is_some())
        else {
            return;
        };
        if drain.deregisters_first {
            drain.acknowledged.get_or_insert(now);
        } else {
            self.end_incarnation(now, now + 5 * SECOND, context);
        }
    }

    /// When `check_drain` has something to do.
    pub(super) fn drain_wake(&self) -> Option<Micros> {
        let drain = self.drain?;
        match drain.deregister_sent {
            Some(sent) => Some(drain.ends_at(sent)),
            None => Some(drain.deregisters_at()),
        }
    }
}
