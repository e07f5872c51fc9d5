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

    /// The instant of a time of the logic, at most [`MAX_WAIT_S`] ahead.
    pub fn instant(&self, time: Time) -> Instant {
        let longest = Duration::from_secs(MAX_WAIT_S);
        self.started + Duration::from_micros(time.0).min(self.started.elapsed() + longest)
    }
}

/// The longest wait, in seconds; an early wake is allowed.
const MAX_WAIT_S: u64 = 3600;

fn wall_ms() -> i64 {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since) => since.as_millis() as i64,
        Err(before) => -(before.duration().as_millis() as i64),
    }
}
