//! The steady clock as the logic sees it.

use std::ops::Add;

/// An instant of the steady clock, in microseconds since the process started. Never goes back.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Time(
    /// Microseconds since the process started.
    pub u64,
);

impl Time {
    /// Microseconds since `earlier`; zero where `earlier` is later.
    #[must_use]
    pub fn micros_since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Whole milliseconds since `earlier`; zero where `earlier` is later.
    #[must_use]
    pub fn millis_since(self, earlier: Time) -> u64 {
        self.micros_since(earlier) / 1000
    }

    /// The instant `millis` milliseconds later.
    #[must_use]
    pub fn plus_millis(self, millis: u64) -> Time {
        Time(self.0.saturating_add(millis.saturating_mul(1000)))
    }
}

impl Add<u64> for Time {
    type Output = Time;

    /// The instant `micros` microseconds later.
    fn add(self, micros: u64) -> Time {
        Time(self.0.saturating_add(micros))
    }
}
