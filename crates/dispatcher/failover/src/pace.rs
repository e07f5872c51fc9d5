//! How a lost site comes back: in portions of its runners, the same at every dispatcher, each step earned by what was
//! served in the last and not by the clock alone, and damped where it flaps.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// An eighth, a quarter, a half, all: each step at the most doubles what is sent there, so that fetching keys and cold
/// starts stay a part of what is already served.
const FIRST: f64 = 0.125;
/// A step needs so many served for each runner in the portion, and under one in five bad.
const SERVED_EACH: f64 = 2.0;
const BAD: f64 = 0.2;
/// A return that was followed by another loss within this is a flap; each doubles the wait before the next return.
const FLAP_S: f64 = 30.0;
const MOST_FLAPS: u32 = 5;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    Lost,
    /// This part of its runners is in use, in hundredths.
    Returning(u8),
    Whole,
}

#[derive(Clone, Debug)]
pub struct Pace {
    portion: f64,
    stepped: f64,
    returned: f64,
    flaps: u32,
    step_s: f64,
}

impl Pace {
    pub fn new(now: f64, step_s: f64) -> Pace {
        Pace {
            portion: 0.0,
            stepped: now,
            returned: f64::NEG_INFINITY,
            flaps: 0,
            step_s,
        }
    }

    pub fn stage(&self) -> Stage {
        match self.portion {
            portion if portion <= 0.0 => Stage::Lost,
            portion if portion < 1.0 => Stage::Returning((100.0 * portion) as u8),
            _ => Stage::Whole,
        }
    }

    /// Whether a runner is in the portion.
    pub fn admits(&self, runner: u64) -> bool {
        let mut hasher = SipHasher13::new();
        hasher.write_u64(runner);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64 <= self.portion && self.portion > 0.0
    }

    fn wait_s(&self) -> f64 {
        self.step_s * f64::from(1u32 << self.flaps.min(MOST_FLAPS))
    }

    /// What was served (good, bad) since the last step, whether it looks lost again, and how many runners it has.
    /// True if the portion changed.
    pub fn step(&mut self, now: f64, (good, bad): (u32, u32), lost: bool, runners: usize) -> bool {
        if lost && self.portion > 0.0 {
            self.flaps = if now < self.returned + FLAP_S {
                (self.flaps + 1).min(MOST_FLAPS)
            } else {
                1
            };
            (self.portion, self.stepped) = (0.0, now);
            return true;
        }
        let waited = now
            >= self.stepped
                + if self.portion > 0.0 {
                    self.step_s
                } else {
                    self.wait_s()
                };
        let in_portion = (self.portion * runners as f64).ceil().max(1.0);
        // A scout that served is enough to begin; from then on it is the portion's runners.
        let needed = if self.portion > 0.0 {
            (SERVED_EACH * in_portion) as u32
        } else {
            1
        };
        let well = good >= needed && f64::from(bad) <= BAD * f64::from(good + bad);
        if lost || !waited || !well || self.portion >= 1.0 {
            return false;
        }
        if self.portion <= 0.0 {
            self.returned = now;
        }
        self.portion = if self.portion > 0.0 {
            (2.0 * self.portion).min(1.0)
        } else {
            FIRST
        };
        self.stepped = now;
        true
    }
}
