//! When the leader was last in contact, and what follows from its silence.

use sagetrail_protocol::Time;

/// Silence on the direct connection after which messages to the leader also go through a relay, and the leader is
/// sought among all core processes, in milliseconds.
const DIRECT_SILENCE_MS: u64 = 700;
/// Silence after which new jobs are rejected, in milliseconds.
const UNRESPONSIVE_MS: u64 = 1500;
/// Time after its last message for which the leader counts as answering, for readiness, in milliseconds.
const ANSWERING_MS: u64 = 2500;

/// The way by which a message came.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Route {
    /// From its author over a connection of its own.
    Direct,
    /// Through a third process.
    Relayed,
}

/// The contact with one leader.
#[derive(Debug)]
pub(crate) struct LeaderContact {
    /// When this leader was adopted: its silence counts from here until its first message.
    adopted_at: Time,
    /// The last message of the leader, by any route.
    received_at: Option<Time>,
    /// The last message of the leader by the direct route.
    received_directly_at: Option<Time>,
    /// A message that arrives before this time may have waited in a socket, and proves nothing.
    valid_from: Time,
}

impl LeaderContact {
    /// No contact yet.
    pub(crate) fn new(now: Time) -> LeaderContact {
        LeaderContact {
            adopted_at: now,
            received_at: None,
            received_directly_at: None,
            valid_from: now,
        }
    }

    /// Begins anew for a leader that was adopted at `now`.
    pub(crate) fn adopt(&mut self, now: Time) {
        self.adopted_at = now;
        self.forget();
    }

    /// Forgets the messages of a leader that has resigned.
    pub(crate) fn forget(&mut self) {
        self.received_at = None;
        self.received_directly_at = None;
    }

    /// Ignores messages that arrive before `until`.
    pub(crate) fn ignore_until(&mut self, until: Time) {
        self.valid_from = until;
    }

    /// Records a message of the leader.
    pub(crate) fn record(&mut self, now: Time, route: Route) {
        if now < self.valid_from {
            return;
        }
        self.received_at = Some(now);
        if route == Route::Direct {
            self.received_directly_at = Some(now);
        }
    }

    /// True while the leader has not been silent for too long to be given a new job.
    pub(crate) fn is_responsive(&self, now: Time) -> bool {
        self.silent_ms(now, self.received_at) <= UNRESPONSIVE_MS
    }

    /// True while the leader has sent a message recently enough for readiness.
    pub(crate) fn is_answering(&self, now: Time) -> bool {
        self.received_at
            .is_some_and(|received| now.millis_since(received) <= ANSWERING_MS)
    }

    /// True once the direct connection has been silent for too long.
    pub(crate) fn is_directly_silent(&self, now: Time) -> bool {
        self.silent_ms(now, self.received_directly_at) > DIRECT_SILENCE_MS
    }

    /// When the direct connection counts as silent unless a message comes before.
    pub(crate) fn directly_silent_from(&self) -> Time {
        self.received_directly_at
            .unwrap_or(self.adopted_at)
            .plus_millis(DIRECT_SILENCE_MS + 1)
    }

    fn silent_ms(&self, now: Time, received: Option<Time>) -> u64 {
        now.millis_since(received.unwrap_or(self.adopted_at))
    }
}
