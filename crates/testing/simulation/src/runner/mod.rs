//! A runner beside its agent, as the protocol describes it.

mod commands;
mod drain;
mod heartbeat;
mod run;

use crate::actor::{Actor, ActorContext, CallTag, Outcome};
use crate::engine::{Micros, MILLISECOND, SECOND};
use crate::history::{Observation, ObservedEnd, RunnerFacts};
use crate::job::TaskName;
use drain::Drain;
use run::Run;
use sagetrail_protocol::agent::{Resources, RunEnd};
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;

/// A heartbeat follows an end after so long.
const HEARTBEAT_AFTER_END: Micros = 50 * MILLISECOND;
/// An answer later than this is dropped.
const ANSWER_LIMIT: Micros = SECOND;

/// What a runner is.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerPlan {
    /// Its place in the cluster.
    pub number: usize,
    /// The process beside it.
    pub agent: NodeId,
    /// The service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// All that it has.
    pub capacity: Resources,
    /// Its labels; the last one is its rack.
    pub labels: Vec<String>,
    /// True where it refuses what does not fit.
    pub guards: bool,
    /// Its work takes so many hundredths of the usual time.
    pub slowness_percent: u64,
    /// How much slower its clock runs, in millionths.
    pub clock_slow_ppm: u64,
    /// The interval of its heartbeats.
    pub heartbeat: Micros,
    /// The share of all runs that fail by the runner's fault.
    pub failing: f64,
}

/// Names a run at one runner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunKey {
    task: TaskName,
    attempt: u64,
}

struct PendingHeartbeat {
    tag: CallTag,
    sent: Micros,
    reported_draining: bool,
}

/// A runner.
pub struct Runner {
    plan: RunnerPlan,
    up: bool,
    back_at: Option<Micros>,
    incarnation: u64,
    up_since: Micros,
    sequence: u64,
    fence: u64,
    lease_until: Option<Micros>,
    active: BTreeMap<RunKey, Run>,
    /// The highest attempt of each task that stopped or ended here.
    over: BTreeMap<TaskName, u64>,
    finished: Vec<ObservedEnd>,
    next_number: u64,
    heartbeat: Option<PendingHeartbeat>,
    heartbeat_due: Micros,
    next_tag: CallTag,
    drain: Option<Drain>,
    silent_until: Micros,
}

impl Runner {
    /// A runner that comes up at `at`.
    pub fn new(plan: RunnerPlan, at: Micros) -> Runner {
        Runner {
            plan,
            up: false,
            back_at: Some(at),
            incarnation: 0,
            up_since: at,
            sequence: 0,
            fence: 0,
            lease_until: None,
            active: BTreeMap::new(),
            over: BTreeMap::new(),
            finished: Vec::new(),
            next_number: 1,
            heartbeat: None,
            heartbeat_due: at,
            next_tag: 1,
            drain: None,
            silent_until: 0,
        }
    }

    /// Its id in this incarnation.
    pub fn instance(&self) -> String {
        format!("i-{:02}-{:03}", self.plan.number, self.incarnation)
    }

    /// The process beside it.
    pub fn agent(&self) -> NodeId {
        self.plan.agent
    }

    /// True while it is up.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// How many runs it carries.
    pub fn load(&self) -> usize {
        self.active.len()
    }

    /// It dies without notice, and returns after `back_after` with a new id.
    pub fn crash(&mut self, now: Micros, back_after: Micros, context: &mut ActorContext) {
        if self.up {
            self.end_incarnation(now, now + back_after, context);
        }
    }

    /// Its end is planned: it says so, serves on and leaves.
    pub fn start_drain(&mut self, now: Micros, left: Micros, serves_on: Micros) {
        if self.up && self.drain.is_none() {
            self.drain = Some(Drain::new(now, left, serves_on));
            self.heartbeat_due = self.heartbeat_due.min(now);
        }
    }

    /// It deregisters without saying that it drains, and serves on.
    pub fn start_deregister(&mut self, now: Micros, serves_on: Micros) {
        if self.up && self.drain.is_none() {
            self.drain = Some(Drain {
                deregisters_first: true,
                ..Drain::new(now, 0, serves_on)
            });
        }
    }

    /// Its heartbeats stop until `until`, while it works on.
    pub fn fall_silent(&mut self, until: Micros) {
        self.silent_until = until;
    }

    fn start_incarnation(&mut self, now: Micros, context: &mut ActorContext) {
        self.incarnation += 1;
        self.up = true;
        self.back_at = None;
        self.up_since = now;
        self.sequence = 0;
        self.fence = 0;
        self.next_number = 1;
        self.heartbeat_due = now;
        let facts = RunnerFacts {
            instance: self.instance(),
            machine: self.plan.agent,
            service: self.plan.service.clone(),
            capacity: self.plan.capacity,
            labels: self.plan.labels.clone(),
            guards: self.plan.guards,
        };
        context.history.note(now, Observation::RunnerUp(facts));
    }

    fn end_incarnation(&mut self, now: Micros, back_at: Micros, context: &mut ActorContext) {
        for run in std::mem::take(&mut self.active).into_values() {
            run.leave_gang(now, context);
        }
        context.history.note(
            now,
            Observation::RunnerDown {
                instance: self.instance(),
            },
        );
        self.up = false;
        self.back_at = Some(back_at);
        self.lease_until = None;
        self.over.clear();
        self.finished.clear();
        self.heartbeat = None;
        self.drain = None;
    }

    /// True time for a span of its own clock.
    fn own(&self, span: Micros) -> Micros {
        span + span * self.plan.clock_slow_ppm / 1_000_000
    }

    fn check_lease(&mut self, now: Micros, context: &mut ActorContext) {
        if self.lease_until.is_none_or(|until| until > now) {
            return;
        }
        self.lease_until = None;
        context.history.note(
            now,
            Observation::LeaseExpired {
                instance: self.instance(),
            },
        );
        let keys: Vec<RunKey> = self.active.keys().cloned().collect();
        for key in keys {
            self.end_run(now, &key, RunEnd::LeaseExpired, context);
        }
    }

    fn check_runs(&mut self, now: Micros, context: &mut ActorContext) {
        let keys: Vec<RunKey> = self.active.keys().cloned().collect();
        for key in keys {
            let end = self
                .active
                .get(&key)
                .and_then(|run| run.end_by(now, context));
            if let Some(end) = end {
                self.end_run(now, &key, end, context);
            }
        }
    }

    fn end_run(&mut self, now: Micros, key: &RunKey, end: RunEnd, context: &mut ActorContext) {
        let Some(run) = self.active.remove(key) else {
            return;
        };
        run.leave_gang(now, context);
        let saved = run.saved_at_end(now, end, context);
        self.list_end(now, key, end, saved, context);
    }

    fn list_end(
        &mut self,
        now: Micros,
        key: &RunKey,
        end: RunEnd,
        saved: String,
        context: &mut ActorContext,
    ) {
        let highest = self.over.entry(key.task.clone()).or_insert(0);
        *highest = (*highest).max(key.attempt);
        let seen = ObservedEnd {
            instance: self.instance(),
            number: self.next_number,
            task: key.task.clone(),
            attempt: key.attempt,
            end,
            saved,
        };
        self.next_number += 1;
        self.finished.push(seen.clone());
        context.history.note(now, Observation::Ended(seen));
        self.heartbeat_due = self.heartbeat_due.min(now + HEARTBEAT_AFTER_END);
    }
}

impl Actor for Runner {
    fn wake(&mut self, now: Micros, context: &mut ActorContext) {
        if !self.up {
            if self.back_at.is_some_and(|at| at <= now) {
                self.start_incarnation(now, context);
            } else {
                return;
            }
        }
        self.check_lease(now, context);
        self.check_runs(now, context);
        self.check_drain(now, context);
        if self.up && self.heartbeat.is_none() && self.heartbeat_due <= now {
            self.send_heartbeat(now, context);
        }
    }

    fn outcome(&mut self, now: Micros, tag: CallTag, outcome: Outcome, context: &mut ActorContext) {
        if !self.up {
            return;
        }
        self.check_lease(now, context);
        self.check_runs(now, context);
        if self
            .heartbeat
            .as_ref()
            .is_some_and(|heartbeat| heartbeat.tag == tag)
        {
            self.take_answer(now, outcome, context);
        } else if outcome.success_body().is_some() {
            self.take_deregistered(now, context);
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        if !self.up {
            return self.back_at;
        }
        let heartbeat = self.heartbeat.is_none().then_some(self.heartbeat_due);
        let ends = self.active.values().filter_map(Run::next_check).min();
        [heartbeat, ends, self.lease_until, self.drain_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}
