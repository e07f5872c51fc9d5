//! The time of day for due times, filtered: a jump of the clock that lasts a few seconds moves no due time.

use sagetrail_protocol::node::Now;

/// A jump that has lasted so long is followed, in milliseconds.
const JUMP_FOLLOWED_AFTER_MS: u64 = 15_000;
/// Differences from the steady clock up to this are followed at once, in milliseconds.
const DRIFT_MS: i64 = 100;

/// The time of day, extrapolated by the steady clock past jumps.
pub(crate) struct TimeOfDay {
    /// When both clocks were last compared and followed.
    anchor: Now,
    /// Since when the time of day has differed from what the steady clock says.
    jumped_at: Option<Now>,
}

impl TimeOfDay {
    /// A clock that follows this reading.
    pub(crate) fn new(now: Now) -> TimeOfDay {
        TimeOfDay {
            anchor: now,
            jumped_at: None,
        }
    }

    /// The filtered time of day, in milliseconds since 1970.
    pub(crate) fn millis(&mut self, now: Now) -> i64 {
        let extrapolated = self.anchor.wall_ms + now.steady.millis_since(self.anchor.steady) as i64;
        if (now.wall_ms - extrapolated).abs() <= DRIFT_MS {
            // Steady clocks drift: a difference that is not followed would grow.
            self.follow(now);
            return now.wall_ms;
        }
        let since = *self.jumped_at.get_or_insert(now);
        if now.steady.millis_since(since.steady) < JUMP_FOLLOWED_AFTER_MS {
            return extrapolated;
        }
        self.follow(now);
        now.wall_ms
    }

    fn follow(&mut self, now: Now) {
        self.anchor = now;
        self.jumped_at = None;
    }
}
