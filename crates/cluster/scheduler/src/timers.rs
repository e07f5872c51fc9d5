//! The timers of the scheduler's recurring work.

use sagetrail_protocol::Time;

/// The interval of the periodic check while jobs are active, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;
/// The interval of the periodic check while all jobs have ended, in milliseconds.
const IDLE_CHECK_INTERVAL_MS: u64 = 500;
/// The interval at which ended jobs are checked for a purge, in milliseconds.
const PURGE_INTERVAL_MS: u64 = 1_000;
/// The interval between log lines about steps that have been pending for long, in milliseconds.
const LONG_WAIT_LOG_INTERVAL_MS: u64 = 5_000;
/// The interval between log lines about the state of all services, in milliseconds.
const STATUS_LOG_INTERVAL_MS: u64 = 500;

/// States whether any job has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Activity {
    /// At least one job has not ended.
    Active,
    /// All jobs have ended.
    Idle,
}

/// The times of the recurring work of one term, by the steady clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timers {
    /// The time of the next periodic check.
    next_check: Time,
    /// The time of the next purge of ended jobs.
    next_purge: Time,
    /// The time at which long waits were last logged.
    long_waits_logged_at: Time,
    /// The time at which the state of all services was last logged.
    status_logged_at: Time,
    /// The time at which the next occurrence of a job becomes due; `None` if no occurrence is outstanding.
    pub next_due: Option<Time>,
}

impl Timers {
    /// Creates the timers at the start of a term; nothing is due at once.
    pub(crate) fn new(now: Time) -> Timers {
        Timers {
            next_check: now.plus_millis(CHECK_INTERVAL_MS),
            next_purge: now.plus_millis(PURGE_INTERVAL_MS),
            long_waits_logged_at: now,
            status_logged_at: now,
            next_due: None,
        }
    }

    /// Returns the time of the next periodic check.
    pub(crate) fn next_check(&self) -> Time {
        self.next_check
    }

    /// Returns true if the periodic check is due; the time of the next one is then set.
    pub(crate) fn take_check(&mut self, now: Time, activity: Activity) -> bool {
        if now < self.next_check {
            return false;
        }
        self.next_check = now.plus_millis(match activity {
            Activity::Active => CHECK_INTERVAL_MS,
            Activity::Idle => IDLE_CHECK_INTERVAL_MS,
        });
        true
    }

    /// Returns true if a purge is due; the time of the next one is then set.
    pub(crate) fn take_purge(&mut self, now: Time) -> bool {
        if now < self.next_purge {
            return false;
        }
        self.next_purge = now.plus_millis(PURGE_INTERVAL_MS);
        true
    }

    /// Returns true if long waits are to be logged; `now` then counts as the time of the log lines.
    pub(crate) fn take_long_wait_log(&mut self, now: Time) -> bool {
        let is_due = now.millis_since(self.long_waits_logged_at) >= LONG_WAIT_LOG_INTERVAL_MS;
        if is_due {
            self.long_waits_logged_at = now;
        }
        is_due
    }

    /// Returns true if the state of all services is to be logged; `now` then counts as the time of the log lines.
    pub(crate) fn take_status_log(&mut self, now: Time) -> bool {
        let is_due = now.millis_since(self.status_logged_at) >= STATUS_LOG_INTERVAL_MS;
        if is_due {
            self.status_logged_at = now;
        }
        is_due
    }
}
