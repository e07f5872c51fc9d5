//! Room kept free for urgent work: as much as it has lately needed at once, less what it holds now.
//!
//! Without it a service that lesser work has filled makes urgent tasks wait for a stop, which is longer than they
//! have.

use crate::pending_queue::PendingKey;
use crate::placement::add;
use crate::runner::Runner;
use crate::scheduler::Scheduler;
use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::node::Now;
use sagetrail_protocol::Time;
use std::collections::BTreeMap;

/// The priority of urgent work.
pub(crate) const URGENT: u32 = 0;
/// The remembered peak falls to a half in so long, in milliseconds.
const PEAK_HALF_LIFE_MS: f64 = 6_000.0;
/// It is reckoned anew at most this often, in milliseconds.
const INTERVAL_MS: u64 = 20;
/// At most this part of a service's capacity is kept, in hundredths.
const MAX_RESERVED_PERCENT: u64 = 40;

/// What urgent work of a service has lately needed at once.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    needed: Resources,
    at: Time,
}

/// The room kept in each service.
#[derive(Default)]
pub(crate) struct ReservedCapacity {
    peaks: BTreeMap<String, Peak>,
    kept: BTreeMap<String, Resources>,
    reckoned_at: Time,
}

impl ReservedCapacity {
    /// The room that lesser work leaves free.
    pub(crate) fn kept(&self, service: &str) -> Resources {
        self.kept.get(service).copied().unwrap_or_default()
    }

    fn note(&mut self, now: Time, service: &str, use_of: Use) {
        let peak = self.peaks.entry(service.to_owned()).or_default();
        let part = 0.5f64.powf(now.millis_since(peak.at) as f64 / PEAK_HALF_LIFE_MS);
        let needed = sum(use_of.running, use_of.waiting);
        peak.needed = map(peak.needed, needed, |former, needed| {
            ((former as f64 * part) as u64).max(needed)
        });
        peak.at = now;
        let missing = map(peak.needed, use_of.running, u64::saturating_sub);
        let most = map(use_of.capacity, Resources::default(), |capacity, _| {
            capacity * MAX_RESERVED_PERCENT / 100
        });
        self.kept
            .insert(service.to_owned(), map(missing, most, u64::min));
    }
}

/// What urgent work of a service uses and waits for.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    running: Resources,
    waiting: Resources,
    capacity: Resources,
}

fn sum(mut a: Resources, b: Resources) -> Resources {
    add(&mut a, b);
    a
}

fn map(a: Resources, b: Resources, join: impl Fn(u64, u64) -> u64) -> Resources {
    Resources {
        cpu: join(a.cpu, b.cpu),
        mem_mb: join(a.mem_mb, b.mem_mb),
        gpu: join(a.gpu, b.gpu),
    }
}

impl Scheduler {
    /// Reckons anew what is kept for urgent work.
    pub(crate) fn update_reserved_capacity(&mut self, now: Now) {
        if now.steady.millis_since(self.reserved_capacity.reckoned_at) < INTERVAL_MS {
            return;
        }
        self.reserved_capacity.reckoned_at = now.steady;
        let mut uses: BTreeMap<String, Use> = BTreeMap::new();
        for runner in self.runners.values().filter(|runner| runner.present) {
            let of = uses.entry(runner.service.clone()).or_default();
            // What takes no new work has no room to keep either.
            if runner.reachable(now.steady) {
                add(&mut of.capacity, runner.capacity);
            }
            for (task, assignment) in &runner.assigned {
                if self
                    .jobs
                    .get(&task.step.job)
                    .is_some_and(|job| job.attributes.priority == URGENT)
                {
                    add(&mut of.running, assignment.resources);
                }
            }
        }
        for (service, use_of) in &mut uses {
            for key in self
                .queue
                .held(service, usize::MAX)
                .iter()
                .take_while(|key| key.priority == URGENT)
            {
                if self.may_run_somewhere(now, service, key) {
                    add(&mut use_of.waiting, self.waiting_of(key));
                }
            }
        }
        for (service, use_of) in uses {
            self.reserved_capacity.note(now.steady, &service, use_of);
        }
    }

    /// Whether any runner that takes new work meets the constraints of a step.
    fn may_run_somewhere(&self, now: Now, service: &str, key: &PendingKey) -> bool {
        let Some(stage) = self
            .jobs
            .get(&key.step.job)
            .and_then(|job| job.stage(key.step))
        else {
            return false;
        };
        let meets = |runner: &Runner| {
            runner.service == service
                && runner.reachable(now.steady)
                && stage.constraints.all_in(&runner.labels)
        };
        self.runners.values().any(meets)
    }

    fn waiting_of(&self, key: &PendingKey) -> Resources {
        let Some(job) = self.jobs.get(&key.step.job) else {
            return Resources::default();
        };
        let (Some(stage), Some(step)) = (job.stage(key.step), job.step(key.step)) else {
            return Resources::default();
        };
        let tasks = step.waiting.len() as u64;
        map(stage.resources(), Resources::default(), |wanted, _| {
            wanted.saturating_mul(tasks)
        })
    }
}
