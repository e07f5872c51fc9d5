//! Seconds since the start, and what Unix time that was.

use std::future::pending;
use std::time::{Duration, Instant, SystemTime};

#[derive(Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    pub unix: f64,
}

impl Clock {
    /// `off_s`: how far Unix time is off, in a trial.
    pub(crate) fn start(off_s: f64) -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Clock {
            start: Instant::now(),
            unix: unix.map_or(0.0, |unix| unix.as_secs_f64()) + off_s,
        }
    }

    pub(crate) fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub(crate) async fn sleep_until(&self, at: f64) {
        match Duration::try_from_secs_f64(at.max(0.0)) {
            Ok(after) => tokio::time::sleep_until((self.start + after).into()).await,
            Err(_) => pending().await,
        }
    }
}
