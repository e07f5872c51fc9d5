//! Pacing: limits how often placement passes run.
//!
//! Each pass visits every runner and every pending step. With many of them, passes keep a minimum interval, and the
//! next pass places all work that arrived in the meantime. Without this limit a full service would use up the CPU with
//! passes that find no free capacity.

use sagetrail_protocol::Time;

/// The number of runners up to which runners add nothing to the interval between passes, so every event may start a
/// pass.
const UNPACED_RUNNERS: usize = 200;
/// The interval between passes for each runner above `UNPACED_RUNNERS`, in microseconds. It is several times the CPU
/// time that a pass takes for one runner.
const INTERVAL_PER_RUNNER_US: u64 = 10;

/// The number of pending steps up to which pending steps add nothing to the interval between passes.
const UNPACED_STEPS: usize = 16;
/// The interval between passes for each pending step above `UNPACED_STEPS`, in microseconds. It is several times the
/// CPU time that a pass takes for one pending step.
const INTERVAL_PER_STEP_US: u64 = 10;

/// The time at which the next pass may run.
#[derive(Debug, Default)]
pub(crate) struct PassPacing {
    /// The earliest time of the next pass.
    next_pass_at: Time,
    /// True if a pass was requested before it was allowed.
    is_delayed: bool,
}

impl PassPacing {
    /// Records that a pass over these numbers of runners and pending steps begins now.
    pub(crate) fn start_pass(&mut self, now: Time, runners: usize, steps: usize) {
        let paced_runners = runners.saturating_sub(UNPACED_RUNNERS) as u64;
        let paced_steps = steps.saturating_sub(UNPACED_STEPS) as u64;
        let interval_us =
            paced_runners * INTERVAL_PER_RUNNER_US + paced_steps * INTERVAL_PER_STEP_US;
        self.next_pass_at = now + interval_us;
        self.is_delayed = false;
    }

    /// Returns true if a pass may run now; otherwise remembers that a pass is delayed.
    pub(crate) fn may_run(&mut self, now: Time) -> bool {
        self.is_delayed = now < self.next_pass_at;
        !self.is_delayed
    }

    /// Returns the time at which a delayed pass may run; `None` if no pass is delayed.
    pub(crate) fn delayed_until(&self) -> Option<Time> {
        self.is_delayed.then_some(self.next_pass_at)
    }
}
