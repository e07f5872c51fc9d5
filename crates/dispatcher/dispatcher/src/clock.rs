//! Clock of the process: seconds since its start.

use std::future::pending;
use std::time::{Duration, Instant, SystemTime};

#[derive(Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    /// Unix time in seconds at the start.
    pub unix_s: f64,
}

impl Clock {
    /// Starts the clock. `offset_s` is an error of the Unix time in seconds, for tests.
    pub(crate) fn start(offset_s: f64) -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Clock {
            start: Instant::now(),
            unix_s: unix.map_or(0.0, |unix| unix.as_secs_f64()) + offset_s,
        }
    }

    /// Seconds since the start.
    pub(crate) fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Waits until a time in seconds since the start; forever if it cannot be represented.
    pub(crate) async fn sleep_until(&self, at_s: f64) {
        match Duration::try_from_secs_f64(at_s.max(0.0)) {
            Ok(after) => tokio::time::sleep_until((self.start + after).into()).await,
            Err(_) => pending().await,
        }
    }
}
