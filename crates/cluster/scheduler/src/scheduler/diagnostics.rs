//! Log lines that explain long waits: the free capacity of each runner, and the conditions that keep work from it.

use sagetrail_protocol::node::Now;

use super::Scheduler;
use crate::pending_queue::PendingKey;
use crate::runner::Runner;

/// The first step of a backlog is logged after it has been pending for this time, in milliseconds.
const LONG_WAIT_MS: u64 = 4_000;

impl Scheduler {
    /// Logs, at debug level, the number of pending tasks with priority 0, 1 and 2 in each service and the state of its
    /// runners.
    pub(super) fn log_status(&mut self, now: Now) {
        let is_enabled = log::log_enabled!(log::Level::Debug);
        if !is_enabled || !self.timers.take_status_log(now.steady) {
            return;
        }
        for service in self.pending.services() {
            let pending = self.pending.all(&service);
            log::debug!(
                "scheduler status: term={} service={service} pending={}/{}/{} uncommitted_batches={} runners=[{}]",
                self.term,
                self.count_waiting_tasks(&pending, 0),
                self.count_waiting_tasks(&pending, 1),
                self.count_waiting_tasks(&pending, 2),
                self.commits.uncommitted_batches(),
                self.describe_runners(now, &service)
            );
        }
    }

    /// Logs how many jobs were rejected for lack of memory or disk and, for each service whose first pending step has
    /// waited for `LONG_WAIT_MS`, that step and all runners.
    pub(super) fn log_long_waits(&mut self, now: Now) {
        if !self.timers.take_long_wait_log(now.steady) {
            return;
        }
        self.log_rejected_by_budget();
        for service in self.pending.services() {
            let Some(key) = self.pending.first(&service) else {
                continue;
            };
            let (mut racks, hold_limit) = self.racks_and_hold_limit(now, &service);
            let Some(step) = self.jobs.step(key.step) else {
                continue;
            };
            let pending_since = step.waiting_since.max(self.started_at);
            if now.steady.millis_since(pending_since) < LONG_WAIT_MS {
                continue;
            }
            log::info!(
                "step pending for a long time: term={} job={} service={service} step={:?} runners=[{}]",
                self.term,
                key.step.job,
                self.pending_step(now, key, &mut racks, hold_limit),
                self.describe_runners(now, &service)
            );
        }
    }

    fn log_rejected_by_budget(&mut self) {
        let rejected = std::mem::take(&mut self.rejected_by_budget);
        if rejected > 0 {
            log::warn!(
                "jobs rejected for lack of memory or disk: term={} rejected={rejected} jobs={} size={:?}",
                self.term,
                self.jobs.len(),
                self.jobs.size()
            );
        }
    }

    /// Counts the waiting tasks of these steps that have the given priority.
    fn count_waiting_tasks(&self, pending: &[PendingKey], priority: u32) -> usize {
        let of_priority = pending.iter().filter(|key| key.priority == priority);
        of_priority
            .filter_map(|key| self.jobs.step(key.step))
            .map(|step| step.waiting.len())
            .sum()
    }

    fn describe_runners(&self, now: Now, service: &str) -> String {
        let runners = self.runners.of_service(service);
        let states: Vec<String> = runners
            .map(|(_, runner)| describe_runner(now, runner))
            .collect();
        states.join("; ")
    }
}

/// Describes a runner's free capacity and every condition that keeps new work from it.
fn describe_runner(now: Now, runner: &Runner) -> String {
    let free = runner.free_capacity();
    let conditions = [
        (!runner.has_runner, "absent"),
        (!runner.state_known, "unknown"),
        (runner.draining, "draining"),
        (runner.lease_expired, "lease expired"),
        (!runner.unknown_runs.is_empty(), "unassigned runs"),
        (!runner.health.may_start(now.steady), "ejected"),
        (!runner.is_reachable(now.steady), "unreachable"),
    ];
    let mut state = format!(
        "{} free {}/{}/{}",
        runner.instance, free.cpu, free.mem_mb, free.gpu
    );
    for (_, condition) in conditions.iter().filter(|(applies, _)| *applies) {
        state.push(' ');
        state.push_str(condition);
    }
    state
}
