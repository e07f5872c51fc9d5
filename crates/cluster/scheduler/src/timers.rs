//! What is due by the clock alone, and when.

use sagetrail_protocol::Time;

/// The interval of the periodic check while jobs are active, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;
/// The interval of the periodic check while all jobs have ended, in milliseconds.
const IDLE_CHECK_INTERVAL_MS: u64 = 500;
/// Ended jobs are looked through for a purge this often, in milliseconds.
const PURGE_INTERVAL_MS: u64 = 1_000;
/// Log lines on long waits keep this distance, in milliseconds.
const LONG_WAIT_LOG_INTERVAL_MS: u64 = 5_000;
/// Log lines on the state of all services keep this distance, in milliseconds.
const STATUS_LOG_INTERVAL_MS: u64 = 500;

/// Whether any job has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Activity {
    /// Some job has not.
    Active,
    /// All have.
    Idle,
}

/// The times of a term's recurring work, by the steady clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timers {
    next_check: Time,
    next_purge: Time,
    long_waits_logged_at: Time,
    status_logged_at: Time,
    /// When the next occurrence of a job falls due; `None` where none is to come.
    pub next_due: Option<Time>,
}

impl Timers {
    /// The timers at the start of a term: nothing is due at once.
    pub(crate) fn new(now: Time) -> Timers {
        Timers {
            next_check: now.plus_millis(CHECK_INTERVAL_MS),
            next_purge: now.plus_millis(PURGE_INTERVAL_MS),
            long_waits_logged_at: now,
            status_logged_at: now,
            next_due: None,
        }
    }

    /// When the next periodic check is due.
    pub(crate) fn next_check(&self) -> Time {
        self.next_check
    }

    /// True where the periodic check is due; the next one is then set.
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

    /// True where a purge is due; the next one is then set.
    pub(crate) fn take_purge(&mut self, now: Time) -> bool {
        if now < self.next_purge {
            return false;
        }
        self.next_purge = now.plus_millis(PURGE_INTERVAL_MS);
        true
    }

    /// True where long waits are to be logged; the next time is then set.
    pub(crate) fn take_long_wait_log(&mut self, now: Time) -> bool {
        let is_due = now.millis_since(self.long_waits_logged_at) >= LONG_WAIT_LOG_INTERVAL_MS;
        if is_due {
            self.long_waits_logged_at = now;
        }
        is_due
    }

    /// True where the state of all services is to be logged; the next time is then set.
    pub(crate) fn take_status_log(&mut self, now: Time) -> bool {
        let is_due = now.millis_since(self.status_logged_at) >= STATUS_LOG_INTERVAL_MS;
        if is_due {
            self.status_logged_at = now;
        }
        is_due
    }
}
