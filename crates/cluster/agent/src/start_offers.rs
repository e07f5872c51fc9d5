//! Selects the starts that one reply to a heartbeat offers, so that the runner accepts the reply.
//!
//! A runner drops a reply that is longer than 4 MiB and one that takes longer than a second. A dropped reply starts
//! nothing and extends no lease, and the same reply would be dropped again. Therefore a reply offers only a limited
//! amount of starts, the amount is halved while the runner lists none of what it was offered, and the next reply offers
//! first the starts that found no place.

use sagetrail_protocol::Text;

use crate::heartbeat::ListedRuns;
use crate::heartbeat_reply::{take_within, StartRow};

/// The maximum size of the starts in one reply, in bytes of JSON. It is a quarter of the longest reply that a runner
/// accepts, so that a slow machine can send the reply within a second.
const MAX_OFFER_BYTES: usize = 1 << 20;
/// The size down to which an unsuccessful offer is reduced, in bytes of JSON. A single start may exceed it.
const MIN_OFFER_BYTES: usize = 64 << 10;

/// The starts that a reply offered.
#[derive(Debug)]
struct Offer {
    first_task: Text,
    first_attempt: u64,
    /// The number of offered starts.
    count: usize,
    /// Further starts were outstanding.
    is_partial: bool,
}

/// The amount of starts to offer in the next reply, and the commanded start with which it begins.
#[derive(Debug)]
pub(crate) struct StartOffers {
    /// The maximum size of the next offer, in bytes of JSON.
    max_bytes: usize,
    /// The position in the list of outstanding starts at which the next offer begins; it wraps around.
    position: usize,
    /// The offer in the newest reply; `None` if that reply offered nothing.
    last_offer: Option<Offer>,
}

impl Default for StartOffers {
    fn default() -> StartOffers {
        StartOffers {
            max_bytes: MAX_OFFER_BYTES,
            position: 0,
            last_offer: None,
        }
    }
}

impl StartOffers {
    /// Adapts the next offer to the outcome of the last one, by the heartbeat that follows it.
    pub(crate) fn record_heartbeat(&mut self, listed: &ListedRuns<'_>) {
        let Some(offer) = self.last_offer.take() else {
            return;
        };
        if listed.contains(&offer.first_task, offer.first_attempt) {
            // The starts that were taken are no longer outstanding, so the same position is that of the next ones.
            self.max_bytes = (self.max_bytes * 2).min(MAX_OFFER_BYTES);
            return;
        }
        // A run that was taken may have ended already without a place in the list.
        if !listed.may_omit_ends() {
            self.max_bytes = (self.max_bytes / 2).max(MIN_OFFER_BYTES);
        }
        if offer.is_partial {
            self.position = self.position.wrapping_add(offer.count);
        }
    }

    /// Selects from the outstanding starts those that the next reply offers.
    pub(crate) fn select<'a>(&mut self, mut outstanding: Vec<StartRow<'a>>) -> Vec<StartRow<'a>> {
        if !outstanding.is_empty() {
            let first = self.position % outstanding.len();
            outstanding.rotate_left(first);
        }
        let outstanding_count = outstanding.len();
        let offered = take_within(outstanding, self.max_bytes);
        self.last_offer = offered.first().map(|first| Offer {
            first_task: first.task.into(),
            first_attempt: first.attempt,
            count: offered.len(),
            is_partial: offered.len() < outstanding_count,
        });
        offered
    }
}
