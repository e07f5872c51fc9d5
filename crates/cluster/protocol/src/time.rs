//! The steady clock in the form that a process's logic uses.

use std::ops::Add;

/// An instant of the steady clock, in microseconds since the process started. The clock never goes back.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Time(
    /// The microseconds since the process started.
    pub u64,
);

impl Time {
    /// Returns the microseconds since `earlier`, or zero if `earlier` is after this instant.
    #[must_use]
    pub fn micros_since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the whole milliseconds since `earlier`, or zero if `earlier` is after this instant.
    #[must_use]
    pub fn millis_since(self, earlier: Time) -> u64 {
        self.micros_since(earlier) / 1000
    }

    /// Returns the instant `millis` milliseconds later.
    #[must_use]
    pub fn plus_millis(self, millis: u64) -> Time {
        Time(self.0.saturating_add(millis.saturating_mul(1000)))
    }
}

impl Add<u64> for Time {
    type Output = Time;

    /// Returns the instant `micros` microseconds later.
    fn add(self, micros: u64) -> Time {
        Time(self.0.saturating_add(micros))
    }
}
