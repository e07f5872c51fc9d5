//! A leader's view of one replica: the batches it has synced, the batches in flight to it, and its grants of the lease.
//!
//! `matched` and `next` are Raft's `matchIndex` and `nextIndex` (Ongaro and Ousterhout, 2014, figure 2), with the
//! difference that a replica has no `matched` batch before it has the state on which the term builds.

use crate::batch_window::BatchWindow;
use crate::effects::Effects;
use crate::timing::RESEND_MS;
use sagetrail_protocol::control::{ControlMessage, RenewAck};
use sagetrail_protocol::{NodeId, Time};

/// The maximum number of batches in flight to one replica.
const MAX_IN_FLIGHT: u64 = 64;

/// The progress of one replica in one term.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// The newest batch that the replica has synced in this term; `None` until it has the term's base.
    matched: Option<u64>,
    /// The number of the next batch to send, which is always greater than `matched`.
    next: u64,
    /// When `matched` last increased, or when no batch was in flight for the last time.
    progressed_at: Time,
    /// When the newest lease that the replica granted was requested, in microseconds of the leader's steady clock.
    lease_sent_at: Option<u64>,
    /// When the last message of the replica arrived.
    pub last_active: Time,
    /// Whether the replica has reported that it is about to end.
    pub leaving: bool,
}

impl Progress {
    /// Creates the progress of a replica whose state is not known yet. `lease_sent_at` is the time, in microseconds of
    /// the leader's steady clock, of the request with which the replica granted a lease, if it granted one.
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

    /// Handles the report that the replica has synced the term's records up to batch `number`.
    pub(crate) fn on_synced(&mut self, now: Time, number: u64) {
        if Some(number) <= self.matched {
            return;
        }
        self.matched = Some(number);
        self.next = self.next.max(number + 1);
        self.progressed_at = now;
    }

    /// Handles a grant of the lease by the replica.
    pub(crate) fn on_lease_granted(&mut self, ack: &RenewAck) {
        self.lease_sent_at = self.lease_sent_at.max(Some(ack.sent_at));
        self.leaving = ack.leaving;
    }

    /// Returns when the newest lease that the replica granted was requested, in microseconds of the leader's steady
    /// clock, or 0 if it granted none.
    pub(crate) fn lease_sent_at(&self) -> u64 {
        self.lease_sent_at.unwrap_or_default()
    }

    /// Returns the number of states of the term that the replica has synced. The base and each batch count as one
    /// state.
    pub(crate) fn synced_states(&self) -> u64 {
        self.matched.map_or(0, |number| number + 1)
    }

    /// Returns the number of the first batch that the replica may lack.
    pub(crate) fn first_missing(&self) -> u64 {
        self.matched.map_or(1, |matched| matched + 1)
    }

    /// Returns when the batches in flight are sent again, or `None` if no batch is in flight.
    pub(crate) fn resend_at(&self) -> Option<Time> {
        self.has_in_flight()
            .then(|| self.progressed_at.plus_millis(RESEND_MS))
    }

    fn has_in_flight(&self) -> bool {
        self.matched.is_some_and(|matched| self.next > matched + 1)
    }

    /// Sends `replica` the batches of `window` that it lacks, with at most `MAX_IN_FLIGHT` batches in flight.
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
            effects.send_control(replica, ControlMessage::RecordBatch(batch.clone()));
            self.next += 1;
        }
    }
}
