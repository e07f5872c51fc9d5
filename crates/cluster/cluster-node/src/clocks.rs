//! The clocks as the logic sees them.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sagetrail_protocol::node::Now;
use sagetrail_protocol::Time;

/// The steady clock, counted from the start of the process, and the time of day.
#[derive(Clone, Copy, Debug)]
pub struct Clocks {
    started: Instant,
}

impl Clocks {
    /// The steady clock starts now.
    pub fn start() -> Clocks {
        Clocks {
            started: Instant::now(),
        }
    }

    /// Reads both clocks.
    pub fn now(&self) -> Now {
        Now {
            steady: Time(self.started.elapsed().as_micros() as u64),
            wall_ms: wall_ms(),
        }
    }

    /// The instant that the logic calls `time`.
    pub fn instant(&self, time: Time) -> Instant {
        let farthest = Duration::from_secs(FARTHEST_WAKE_S);
        self.started + Duration::from_micros(time.0).min(self.started.elapsed() + farthest)
    }
}

/// Farther ahead nothing is waited for; a wake in between does no harm.
const FARTHEST_WAKE_S: u64 = 3600;

fn wall_ms() -> i64 {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since) => since.as_millis() as i64,
        Err(before) => -(before.duration().as_millis() as i64),
    }
}
