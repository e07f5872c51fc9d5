//! Evidence about a runner: ends of work, counted against what other runners make of theirs.
use sagetrail_wire::Time;

/// So many failures in a row make a runner suspect.
const SUSPECT_AFTER: u32 = 3;
/// A suspect runner is tried again after this, doubled with each failed trial, in milliseconds.
const FIRST_REST_MS: u64 = 1_000;
/// The longest rest, in milliseconds.
const LONGEST_REST_MS: u64 = 8_000;

/// What is known of a runner's work.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures_in_row: u32,
    rest_ms: u64,
    rests_until: Time,
    /// A single run tries a suspect runner.
    on_trial: bool,
}

impl Health {
    /// A run ended well: whatever was suspected is over.
    pub fn succeeded(&mut self) {
        *self = Health::default();
    }

    /// A run failed here that had not failed elsewhere before.
    pub fn failed(&mut self, now: Time) {
        self.failures_in_row += 1;
        self.on_trial = false;
        if self.failures_in_row < SUSPECT_AFTER {
            return;
        }
        self.rest_ms = (self.rest_ms * 2).clamp(FIRST_REST_MS, LONGEST_REST_MS);
        self.rests_until = now.plus_millis(self.rest_ms);
    }

    /// True where nothing speaks against the runner.
    pub fn is_well(&self) -> bool {
        self.failures_in_row < SUSPECT_AFTER
    }

    /// True where a start may be tried now.
    pub fn may_start(&self, now: Time) -> bool {
        self.is_well() || (now >= self.rests_until && !self.on_trial)
    }

    /// A start is tried: a suspect runner gets no further one before this one's end.
    pub fn started(&mut self) {
        self.on_trial = !self.is_well();
    }

    /// A run is over, however it ended: another may be tried.
    pub fn trial_over(&mut self) {
        self.on_trial = false;
    }
}
