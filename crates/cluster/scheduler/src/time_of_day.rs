//! The filtered time of day for due times. A jump of the system clock that lasts only a few seconds moves no due time.

use sagetrail_protocol::node::Now;

/// The time after which a jump of the clock is followed, in milliseconds.
const JUMP_FOLLOWED_AFTER_MS: u64 = 15_000;
/// The maximum difference from the steady clock that is followed at once, in milliseconds.
const MAX_DRIFT_MS: i64 = 100;

/// The time of day. During a jump of the system clock it is extrapolated with the steady clock.
pub(crate) struct TimeOfDay {
    /// The readings of both clocks when the time of day was last followed.
    anchor: Now,
    /// The readings at which the time of day began to differ from the extrapolated time; `None` outside a jump.
    jumped_at: Option<Now>,
}

impl TimeOfDay {
    /// Creates a filter that starts from these readings of the clocks.
    pub(crate) fn new(now: Now) -> TimeOfDay {
        TimeOfDay {
            anchor: now,
            jumped_at: None,
        }
    }

    /// Returns the filtered time of day, in milliseconds since 1970.
    pub(crate) fn millis(&mut self, now: Now) -> i64 {
        let extrapolated_ms =
            self.anchor.wall_ms + now.steady.millis_since(self.anchor.steady) as i64;
        if (now.wall_ms - extrapolated_ms).abs() <= MAX_DRIFT_MS {
            // The steady clock drifts, so a small difference that is not followed would grow.
            self.follow(now);
            return now.wall_ms;
        }
        let jumped_at = *self.jumped_at.get_or_insert(now);
        if now.steady.millis_since(jumped_at.steady) < JUMP_FOLLOWED_AFTER_MS {
            return extrapolated_ms;
        }
        self.follow(now);
        now.wall_ms
    }

    /// Takes these readings of the clocks as the base of further extrapolation.
    fn follow(&mut self, now: Now) {
        self.anchor = now;
        self.jumped_at = None;
    }
}
