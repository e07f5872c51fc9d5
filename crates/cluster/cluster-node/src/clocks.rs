//! The clocks that the logic of a process reads.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sagetrail_protocol::node::Now;
use sagetrail_protocol::Time;

/// The monotonic clock, counted from the start of the process, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clocks {
    started: Instant,
}

impl Clocks {
    /// Starts the monotonic clock at zero.
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

    /// Converts a time of the logic into an instant, at most [`MAX_WAIT_S`] ahead of now.
    pub fn instant(&self, time: Time) -> Instant {
        let max_wait = Duration::from_secs(MAX_WAIT_S);
        self.started + Duration::from_micros(time.0).min(self.started.elapsed() + max_wait)
    }
}

/// The longest wait for a wake, in seconds. The logic may be woken before the time that it asked for.
const MAX_WAIT_S: u64 = 3600;

fn wall_ms() -> i64 {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since_epoch) => since_epoch.as_millis() as i64,
        Err(before_epoch) => -(before_epoch.duration().as_millis() as i64),
    }
}
