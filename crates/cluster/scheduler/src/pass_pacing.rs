//! How often the placement passes over all runners: each pass looks at every one of them, so with many runners
//! passes keep a distance, and what came in between is placed together.

use sagetrail_protocol::Time;

/// Up to so many runners every event may lead to a pass.
const UNPACED_RUNNERS: usize = 200;
/// For each runner above, passes are so much farther apart, in microseconds: several times what a pass costs there.
const DISTANCE_PER_RUNNER_US: u64 = 10;

/// Paces the passes.
#[derive(Debug, Default)]
pub(crate) struct PassPacing {
    next: Time,
    delayed: bool,
}

impl PassPacing {
    /// A pass has been made.
    pub(crate) fn done(&mut self, now: Time, runners: usize) {
        let above = runners.saturating_sub(UNPACED_RUNNERS) as u64;
        self.next = now + above * DISTANCE_PER_RUNNER_US;
        self.delayed = false;
    }

    /// Whether a pass may be made now; where not, it is made later.
    pub(crate) fn may_run(&mut self, now: Time) -> bool {
        self.delayed = now < self.next;
        !self.delayed
    }

    /// When a pass that had to wait may be made.
    pub(crate) fn delayed_until(&self) -> Option<Time> {
        self.delayed.then_some(self.next)
    }
}
