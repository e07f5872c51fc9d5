//! Log lines on long waits: which runners have free capacity, and why others take nothing.

use sagetrail_protocol::node::Now;

use super::Scheduler;
use crate::pending_queue::PendingKey;
use crate::runner::Runner;

/// A step that has been pending for so long is logged, in milliseconds.
const LONG_WAIT_MS: u64 = 4_000;

impl Scheduler {
    /// Logs at the debug level how many tasks are pending in each service and in which state its runners are.
    pub(super) fn log_status(&mut self, now: Now) {
        let is_enabled = log::log_enabled!(log::Level::Debug);
        if !is_enabled || !self.timers.take_status_log(now.steady) {
            return;
        }
        for service in self.pending.services() {
            let pending = self.pending.all(&service);
            log::debug!(
                "scheduler status: term={} service={service} pending={}/{}/{} uncommitted_batches={}: {}",
                self.term,
                self.waiting_tasks(&pending, 0),
                self.waiting_tasks(&pending, 1),
                self.waiting_tasks(&pending, 2),
                self.commits.uncommitted_batches(),
                self.describe_runners(now, &service)
            );
        }
    }

    /// Logs the runners of a service where the first step of its backlog has been pending for long.
    pub(super) fn log_long_waits(&mut self, now: Now) {
        if !self.timers.take_long_wait_log(now.steady) {
            return;
        }
        for service in self.pending.services() {
            let Some(&key) = self.pending.first(&service, 1).first() else {
                continue;
            };
            let (mut racks, limit) = self.racks(now, &service);
            let Some(step) = self.jobs.step(key.step) else {
                continue;
            };
            let since = step.waiting_since.max(self.started_at);
            if now.steady.millis_since(since) < LONG_WAIT_MS {
                continue;
            }
            log::info!(
                "pending for long: term={} job={} service={service} step={:?}: {}",
                self.term,
                key.step.job,
                self.pending_step(now, key, &mut racks, limit),
                self.describe_runners(now, &service)
            );
        }
    }

    /// How many tasks of one priority wait in these steps.
    fn waiting_tasks(&self, pending: &[PendingKey], priority: u32) -> usize {
        let of_priority = pending.iter().filter(|key| key.priority == priority);
        of_priority
            .filter_map(|key| self.jobs.step(key.step))
            .map(|step| step.waiting.len())
            .sum()
    }

    fn describe_runners(&self, now: Now, service: &str) -> String {
        let runners = self.runners.of_service(service);
        let states: Vec<String> = runners.map(|(_, runner)| describe(now, runner)).collect();
        states.join("; ")
    }
}

/// A runner's free capacity, and what keeps work from it.
fn describe(now: Now, runner: &Runner) -> String {
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
