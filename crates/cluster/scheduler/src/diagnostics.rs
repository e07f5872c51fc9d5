//! A line in the log when steps are held for long: who has room, and who is kept out, and why.

use crate::runner::Runner;
use crate::scheduler::Scheduler;
use sagetrail_protocol::node::Now;

/// A step held for so long is worth a line, in milliseconds.
const LONG_WAIT_MS: u64 = 4_000;
/// Lines on long waits keep this distance, in milliseconds.
const LONG_WAIT_LOG_INTERVAL_MS: u64 = 5_000;
/// Lines on the state of all keep this distance, in milliseconds; only at the level of debugging.
const STATUS_LOG_INTERVAL_MS: u64 = 500;

impl Scheduler {
    /// Logs how many steps are held, how many runs are assigned, and which runners are kept out.
    pub(crate) fn status(&mut self, now: Now) {
        let wanted = log::log_enabled!(log::Level::Debug);
        if !wanted || now.steady.millis_since(self.status_logged_at) < STATUS_LOG_INTERVAL_MS {
            return;
        }
        self.status_logged_at = now.steady;
        for service in self.queue.services() {
            let held = self.queue.held(&service, usize::MAX);
            let waits = |priority: u32| {
                let of = held.iter().filter(|key| key.priority == priority);
                let steps = of.filter_map(|key| {
                    self.jobs
                        .get(&key.step.job)
                        .and_then(|job| job.step(key.step))
                });
                steps.map(|step| step.waiting.len()).sum::<usize>()
            };
            let out: Vec<String> = self
                .runners
                .values()
                .filter(|runner| runner.service == service)
                .map(|runner| describe(now, runner))
                .collect();
            log::debug!(
                "{service}: tasks held {}/{}/{}; {} batches open; {}",
                waits(0),
                waits(1),
                waits(2),
                self.commit_queue.outstanding(),
                out.join("; ")
            );
        }
    }

    /// Logs the state of a service's runners where a step of it has been held for long.
    pub(crate) fn log_long_waits(&mut self, now: Now) {
        if now.steady.millis_since(self.long_waits_logged_at) < LONG_WAIT_LOG_INTERVAL_MS {
            return;
        }
        self.long_waits_logged_at = now.steady;
        for service in self.queue.services() {
            let Some(key) = self.queue.held(&service, 1).first().copied() else {
                continue;
            };
            let Some(step) = self
                .jobs
                .get(&key.step.job)
                .and_then(|job| job.step(key.step))
            else {
                continue;
            };
            if now
                .steady
                .millis_since(step.waiting_since.max(self.started_at))
                < LONG_WAIT_MS
            {
                continue;
            }
            let runners = self
                .runners
                .values()
                .filter(|runner| runner.service == service);
            let states: Vec<String> = runners.map(|runner| describe(now, runner)).collect();
            let held = self.pending_step(now, key);
            log::info!(
                "held for long at {service}: {held:?}: {}",
                states.join("; ")
            );
        }
    }
}

fn describe(now: Now, runner: &Runner) -> String {
    let room = runner.free_capacity();
    let mut state = format!(
        "{} room {}/{}/{}",
        runner.instance, room.cpu, room.mem_mb, room.gpu
    );
    let marks = [
        (!runner.present, "absent"),
        (!runner.known, "unknown"),
        (runner.draining, "draining"),
        (runner.lapsed, "lapsed"),
        (!runner.unknown.is_empty(), "runs what nobody assigned"),
        (!runner.health.may_start(now.steady), "resting"),
        (!runner.reachable(now.steady), "not reachable"),
    ];
    marks.iter().filter(|(is, _)| *is).for_each(|(_, mark)| {
        state.push(' ');
        state.push_str(mark);
    });
    state
}
