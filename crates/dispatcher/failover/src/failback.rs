//! Paces the failback to a lost site. A site returns in portions of its runners that are the same at every dispatcher.
//! Each step requires successful attempts in the current portion, not only elapsed time, and a site that flaps waits
//! longer before its next return.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// The first portion of a site's runners in use. The portions are an eighth, a quarter, a half and all: a step at most
/// doubles the load, so that fetching keys and cold starts stay a part of the traffic that is already served.
const FIRST_PORTION: f64 = 0.125;
/// A step needs this many successes for each runner in the portion.
const SUCCESSES_PER_RUNNER: f64 = 2.0;
/// A step needs a share of failures that is not above this: one in five.
const MAX_FAILURE_SHARE: f64 = 0.2;
/// A loss within this many seconds after a return counts as a flap. Each flap doubles the wait before the next return.
const FLAP_WINDOW_S: f64 = 30.0;
/// Flaps beyond this number do not lengthen the wait any further.
const MAX_FLAPS: u32 = 5;

/// How far a site has returned to service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailbackStage {
    /// None of its runners is in use, except for the canary of each dispatcher: the one runner that it keeps sending
    /// attempts to, to notice the recovery.
    Lost,
    /// This percentage of its runners is in use.
    Returning(u8),
    /// All of its runners are in use.
    Complete,
}

/// Pace of one site's failback.
#[derive(Clone, Debug)]
pub struct FailbackPacing {
    /// Portion of the runners in use, from 0 to 1.
    portion: f64,
    /// When the portion last changed, in seconds.
    changed_s: f64,
    /// When the site last began to return, in seconds; negative infinity for never.
    returned_s: f64,
    /// 0 until a returning site is lost again; 1 after a loss outside the flap window, and one more, up to
    /// [`MAX_FLAPS`], for each loss within it.
    flaps: u32,
    /// Shortest time in seconds between two steps.
    step_s: f64,
}

impl FailbackPacing {
    /// Starts with a site that was lost at `now_s`. `step_s` is the shortest time in seconds between two steps.
    pub fn new(now_s: f64, step_s: f64) -> FailbackPacing {
        FailbackPacing {
            portion: 0.0,
            changed_s: now_s,
            returned_s: f64::NEG_INFINITY,
            flaps: 0,
            step_s,
        }
    }

    /// The stage that corresponds to the portion in use.
    pub fn stage(&self) -> FailbackStage {
        match self.portion {
            portion if portion <= 0.0 => FailbackStage::Lost,
            portion if portion < 1.0 => FailbackStage::Returning((100.0 * portion) as u8),
            _ => FailbackStage::Complete,
        }
    }

    /// Whether the runner with this id, a hash of its name, is in the portion in use.
    pub fn admits(&self, runner: u64) -> bool {
        let mut hasher = SipHasher13::new();
        hasher.write_u64(runner);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64 <= self.portion && self.portion > 0.0
    }

    /// Wait in seconds between a loss and the next return.
    fn return_wait_s(&self) -> f64 {
        self.step_s * f64::from(1u32 << self.flaps.min(MAX_FLAPS))
    }

    /// Changes the portion if the results allow or demand it, and returns whether it changed. The pair holds the
    /// successes and failures since the last change, `lost` says whether the site looks lost at `now_s`, and
    /// `runners` is the number of its listed runners.
    pub fn step(
        &mut self,
        now_s: f64,
        (successes, failures): (u32, u32),
        lost: bool,
        runners: usize,
    ) -> bool {
        if lost && self.portion > 0.0 {
            self.flaps = if now_s < self.returned_s + FLAP_WINDOW_S {
                (self.flaps + 1).min(MAX_FLAPS)
            } else {
                1
            };
            (self.portion, self.changed_s) = (0.0, now_s);
            return true;
        }
        let has_waited = now_s
            >= self.changed_s
                + if self.portion > 0.0 {
                    self.step_s
                } else {
                    self.return_wait_s()
                };
        let runners_in_portion = (self.portion * runners as f64).ceil().max(1.0);
        // One success of the canary is enough for the first portion; a later step depends on the portion's runners.
        let needed = if self.portion > 0.0 {
            (SUCCESSES_PER_RUNNER * runners_in_portion) as u32
        } else {
            1
        };
        let is_healthy = successes >= needed
            && f64::from(failures) <= MAX_FAILURE_SHARE * f64::from(successes + failures);
        if lost || !has_waited || !is_healthy || self.portion >= 1.0 {
            return false;
        }
        if self.portion <= 0.0 {
            self.returned_s = now_s;
        }
        self.portion = if self.portion > 0.0 {
            (2.0 * self.portion).min(1.0)
        } else {
            FIRST_PORTION
        };
        self.changed_s = now_s;
        true
    }
}
