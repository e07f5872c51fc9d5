//! The time of day for due times, steadied: a jump that lasts a few seconds moves no due time.

use sagetrail_protocol::node::Now;

/// A difference from the steady clock that lasts so long is believed, in milliseconds.
const BELIEVED_AFTER_MS: u64 = 15_000;
/// Differences up to this are followed at once, in milliseconds.
const SLACK_MS: i64 = 100;

/// The time of day, carried on by the steady clock past jumps.
pub(crate) struct TimeOfDay {
    anchor: Now,
    /// Since when the time of day has differed.
    differs_since: Option<Now>,
}

impl TimeOfDay {
    /// Anchored at this moment.
    pub(crate) fn new(now: Now) -> TimeOfDay {
        TimeOfDay {
            anchor: now,
            differs_since: None,
        }
    }

    /// The time of day in milliseconds since 1970.
    pub(crate) fn millis(&mut self, now: Now) -> i64 {
        let running_at = self.anchor.wall_ms + now.steady.millis_since(self.anchor.steady) as i64;
        if (now.wall_ms - running_at).abs() <= SLACK_MS {
            // Steady clocks drift, so the difference would grow.
            self.follow(now);
            return now.wall_ms;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.steady.millis_since(since.steady) < BELIEVED_AFTER_MS {
            return running_at;
        }
        self.follow(now);
        now.wall_ms
    }

    fn follow(&mut self, now: Now) {
        self.anchor = now;
        self.differs_since = None;
    }
}
