//! A line in the log when steps are held for long: who has room, and who is kept out, and why.
use crate::runner::Runner;
use crate::scheduler::Scheduler;
use sagetrail_wire::node::Now;

/// A step held for so long is worth a line, in milliseconds.
const LONG_MS: u64 = 4_000;
/// Lines keep this distance, in milliseconds.
const SURVEY_INTERVAL_MS: u64 = 5_000;

impl Scheduler {
    /// Logs the state of a service's runners where a step of it has been held for long.
    pub(crate) fn survey(&mut self, now: Now) {
        if now.steady.millis_since(self.surveyed_at) < SURVEY_INTERVAL_MS {
            return;
        }
        self.surveyed_at = now.steady;
        for service in self.queue.services() {
            let Some(key) = self.queue.held(&service, 1).first().copied() else { continue };
            let Some(step) = self.jobs.get(&key.step.job).and_then(|job| job.step(key.step)) else {
                continue;
            };
            if now.steady.millis_since(step.waiting_since.max(self.started_at)) < LONG_MS {
                continue;
            }
            let runners = self.runners.values().filter(|runner| runner.service == service);
            let states: Vec<String> = runners.map(|runner| describe(now, runner)).collect();
            let held = self.held_step(now, key);
            log::info!("held for long at {service}: {held:?}: {}", states.join("; "));
        }
    }
}

fn describe(now: Now, runner: &Runner) -> String {
    let room = runner.room();
    let mut state = format!("{} room {}/{}/{}", runner.instance, room.cpu, room.mem_mb, room.gpu);
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
