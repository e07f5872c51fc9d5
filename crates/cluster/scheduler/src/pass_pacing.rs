//! How often placement passes run: each one visits every runner and every pending step, so with many of them passes keep a
//! distance, and what came in between is placed together. Without it a service that is full would take up the processor
//! by passes that find no room.

use sagetrail_protocol::Time;

/// Up to this number of runners every event may lead to a pass.
const UNPACED_RUNNERS: usize = 200;
/// The distance of passes for each runner beyond, in microseconds: several times what a pass costs for it.
const DISTANCE_PER_RUNNER_US: u64 = 10;

/// Up to this number of pending steps they do not delay passes.
const UNPACED_STEPS: usize = 16;
/// The distance of passes for each pending step beyond, in microseconds: several times what a pass costs for it.
const DISTANCE_PER_STEP_US: u64 = 10;

/// When the next pass may run.
#[derive(Debug, Default)]
pub(crate) struct PassPacing {
    /// The earliest time of the next pass.
    next: Time,
    /// A pass was wanted earlier.
    delayed: bool,
}

impl PassPacing {
    /// A pass over so many runners and pending steps begins.
    pub(crate) fn pass_started(&mut self, now: Time, runners: usize, steps: usize) {
        let runners_beyond = runners.saturating_sub(UNPACED_RUNNERS) as u64;
        let steps_beyond = steps.saturating_sub(UNPACED_STEPS) as u64;
        let distance_us =
            runners_beyond * DISTANCE_PER_RUNNER_US + steps_beyond * DISTANCE_PER_STEP_US;
        self.next = now + distance_us;
        self.delayed = false;
    }

    /// True where a pass may run now; otherwise one is remembered as delayed.
    pub(crate) fn may_run(&mut self, now: Time) -> bool {
        self.delayed = now < self.next;
        !self.delayed
    }

    /// When a delayed pass may run; `None` where none was delayed.
    pub(crate) fn delayed_until(&self) -> Option<Time> {
        self.delayed.then_some(self.next)
    }
}
