//! Tracks when the leader last sent a message, and derives from its silence whether it is reachable.

use sagetrail_protocol::Time;

/// Time without a message on the direct connection, in milliseconds, after which messages to the leader also go through
/// a relay and hellos go to all known core processes.
const DIRECT_SILENCE_TIMEOUT_MS: u64 = 700;
/// Time without any message of the leader, in milliseconds, after which new jobs are rejected.
const UNRESPONSIVE_TIMEOUT_MS: u64 = 1500;
/// Time after its last message, in milliseconds, for which the readiness check treats the leader as answering.
const ANSWERING_TIMEOUT_MS: u64 = 2500;

/// The route by which a message arrived.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Route {
    /// The author sent the message over its own connection to this process.
    Direct,
    /// A third process relayed the message.
    Relayed,
}

/// The times of the last messages from the current leader.
#[derive(Debug)]
pub(crate) struct LeaderContact {
    /// When this leader was adopted; its silence is measured from this time until its first message arrives.
    adopted_at: Time,
    /// When the last message of the leader arrived by any route.
    last_message_at: Option<Time>,
    /// When the last message of the leader arrived by the direct route.
    last_direct_message_at: Option<Time>,
    /// A message that arrives before this time is not counted as contact, because it may have been queued in a socket
    /// while this process was suspended.
    counted_from: Time,
}

impl LeaderContact {
    /// Creates a record without any message from a leader that is adopted at `now`.
    pub(crate) fn new(now: Time) -> LeaderContact {
        LeaderContact {
            adopted_at: now,
            last_message_at: None,
            last_direct_message_at: None,
            counted_from: now,
        }
    }

    /// Discards the recorded messages and starts to track a leader that is adopted at `now`.
    pub(crate) fn adopt(&mut self, now: Time) {
        self.adopted_at = now;
        self.forget();
    }

    /// Discards the recorded messages of a leader that has resigned.
    pub(crate) fn forget(&mut self) {
        self.last_message_at = None;
        self.last_direct_message_at = None;
    }

    /// Excludes messages that arrive before `until` from contact tracking.
    pub(crate) fn ignore_until(&mut self, until: Time) {
        self.counted_from = until;
    }

    /// Records that a message of the leader arrived at `now`.
    pub(crate) fn record(&mut self, now: Time, route: Route) {
        if now < self.counted_from {
            return;
        }
        self.last_message_at = Some(now);
        if route == Route::Direct {
            self.last_direct_message_at = Some(now);
        }
    }

    /// Returns whether the leader has sent a message, or was adopted, recently enough to be given a new job.
    pub(crate) fn is_responsive(&self, now: Time) -> bool {
        self.silence_ms(now, self.last_message_at) <= UNRESPONSIVE_TIMEOUT_MS
    }

    /// Returns whether the leader has sent a message recently enough for this process to be ready.
    pub(crate) fn is_answering(&self, now: Time) -> bool {
        self.last_message_at
            .is_some_and(|received| now.millis_since(received) <= ANSWERING_TIMEOUT_MS)
    }

    /// Returns whether no message has arrived on the direct connection for too long.
    pub(crate) fn is_directly_silent(&self, now: Time) -> bool {
        self.silence_ms(now, self.last_direct_message_at) > DIRECT_SILENCE_TIMEOUT_MS
    }

    /// Returns the time from which the direct connection is treated as silent unless a direct message arrives earlier.
    pub(crate) fn directly_silent_from(&self) -> Time {
        self.last_direct_message_at
            .unwrap_or(self.adopted_at)
            .plus_millis(DIRECT_SILENCE_TIMEOUT_MS + 1)
    }

    fn silence_ms(&self, now: Time, received: Option<Time>) -> u64 {
        now.millis_since(received.unwrap_or(self.adopted_at))
    }
}
