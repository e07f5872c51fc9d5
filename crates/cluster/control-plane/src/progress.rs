//! What a leader knows of one replica: how far its records go, what is on its way to it, and its grants of the lease.
//!
//! `matched` and `next` are Raft's `matchIndex` and `nextIndex` (Ongaro and Ousterhout, 2014, figure 2), with the
//! difference that a replica has no `matched` batch before it has the state on which the term builds.

use crate::batch_window::BatchWindow;
use crate::effects::Effects;
use crate::timing::RESEND_MS;
use sagetrail_protocol::control::{ControlMessage, RenewAck};
use sagetrail_protocol::{NodeId, Time};

/// So many batches are in flight to one replica at once.
const MAX_IN_FLIGHT: u64 = 64;

/// The progress of one replica in one term.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// The newest batch that it has synced in this term; `None` before it has the term's base.
    matched: Option<u64>,
    /// The next batch to send; always greater than `matched`.
    next: u64,
    /// When `matched` last grew, or the last time that nothing was in flight.
    progressed_at: Time,
    /// When the newest lease that it granted was requested, in microseconds of the leader's steady clock.
    lease_sent_at: Option<u64>,
    /// When its last message arrived.
    pub last_active: Time,
    /// It has said that it is about to end.
    pub leaving: bool,
}

impl Progress {
    /// Of a replica whose state is not known yet.
    pub(crate) fn new(now: Time, lease_sent_at: Option<u64>) -> Progress {
        Progress {
            matched: None,
            next: 1,
            progressed_at: now,
            lease_sent_at,
            last_active: now,
            leaving: false,
        }
    }

    /// It has synced the term's records up to this batch.
    pub(crate) fn on_synced(&mut self, now: Time, number: u64) {
        if Some(number) <= self.matched {
            return;
        }
        self.matched = Some(number);
        self.next = self.next.max(number + 1);
        self.progressed_at = now;
    }

    /// It has granted the lease.
    pub(crate) fn on_lease_granted(&mut self, ack: &RenewAck) {
        self.lease_sent_at = self.lease_sent_at.max(Some(ack.sent_at));
        self.leaving = ack.leaving;
    }

    /// When the newest lease that it granted was requested; 0 where it granted none.
    pub(crate) fn lease_sent_at(&self) -> u64 {
        self.lease_sent_at.unwrap_or_default()
    }

    /// How many states of the term it has synced: the base and each batch count as one.
    pub(crate) fn synced_states(&self) -> u64 {
        self.matched.map_or(0, |number| number + 1)
    }

    /// The first batch that it may lack.
    pub(crate) fn first_missing(&self) -> u64 {
        self.matched.map_or(1, |matched| matched + 1)
    }

    /// When batches that are in flight are sent again; `None` where there are none.
    pub(crate) fn resend_at(&self) -> Option<Time> {
        self.has_in_flight()
            .then(|| self.progressed_at.plus_millis(RESEND_MS))
    }

    fn has_in_flight(&self) -> bool {
        self.matched.is_some_and(|matched| self.next > matched + 1)
    }

    /// Sends the batches of `window` that `replica` lacks, as far as may be in flight at once.
    pub(crate) fn send_missing(
        &mut self,
        now: Time,
        replica: NodeId,
        window: &BatchWindow,
        effects: &mut Effects,
    ) {
        let (Some(matched), Some(first)) = (self.matched, window.first()) else {
            return;
        };
        if self.resend_at().is_some_and(|resend_at| now >= resend_at) {
            self.next = matched + 1;
            self.progressed_at = now;
        }
        if !self.has_in_flight() {
            self.progressed_at = now;
        }
        while self.next >= first && self.next <= matched + MAX_IN_FLIGHT {
            let Some(batch) = window.get(self.next) else {
                break;
            };
            effects.control(replica, ControlMessage::RecordBatch(batch.clone()));
            self.next += 1;
        }
    }
}
