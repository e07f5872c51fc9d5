//! A runner beside its agent, as the protocol describes it.

mod beat;
mod drain;
mod orders;
mod run;

use crate::actor::{Actor, CallTag, Outcome, Surroundings};
use crate::engine::{Micros, MILLISECOND, SECOND};
use crate::history::{EndSeen, RunnerFacts, Sight};
use crate::job::TaskName;
use drain::Drain;
use run::Run;
use sagetrail_protocol::agent::{Resources, RunEnd};
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;

/// A heartbeat follows an end after so long.
const BEAT_AFTER_END: Micros = 50 * MILLISECOND;
/// An answer later than this is dropped.
const ANSWER_LIMIT: Micros = SECOND;

/// What a runner is.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerPlan {
    /// Its place in the cluster.
    pub number: usize,
    /// The process beside it.
    pub agent: NodeId,
    pub service: String,
    pub zone: String,
    pub capacity: Resources,
    pub labels: Vec<String>,
    /// True where it refuses what does not fit.
    pub guards: bool,
    /// Its work takes so many hundredths of the usual time.
    pub slowness_percent: u64,
    /// How much slower its clock runs, in millionths.
    pub clock_slow_ppm: u64,
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

struct Beat {
    tag: CallTag,
    sent: Micros,
    said_draining: bool,
}

/// A runner.
pub struct Runner {
    plan: RunnerPlan,
    up: bool,
    back_at: Option<Micros>,
    lives: u64,
    up_since: Micros,
    sequence: u64,
    fence: u64,
    hold_until: Option<Micros>,
    active: BTreeMap<RunKey, Run>,
    /// The highest attempt of each task that stopped or ended here.
    over: BTreeMap<TaskName, u64>,
    finished: Vec<EndSeen>,
    next_number: u64,
    beat: Option<Beat>,
    beat_due: Micros,
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
            lives: 0,
            up_since: at,
            sequence: 0,
            fence: 0,
            hold_until: None,
            active: BTreeMap::new(),
            over: BTreeMap::new(),
            finished: Vec::new(),
            next_number: 1,
            beat: None,
            beat_due: at,
            next_tag: 1,
            drain: None,
            silent_until: 0,
        }
    }

    /// Its id in this life.
    pub fn instance(&self) -> String {
        format!("i-{:02}-{:03}", self.plan.number, self.lives)
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

    /// It dies without a word, and returns after `back_after` with a new id.
    pub fn crash(&mut self, now: Micros, back_after: Micros, surroundings: &mut Surroundings) {
        if self.up {
            self.end_life(now, now + back_after, surroundings);
        }
    }

    /// Its end is planned: it says so, serves on and leaves.
    pub fn start_drain(&mut self, now: Micros, left: Micros, serves_on: Micros) {
        if self.up && self.drain.is_none() {
            self.drain = Some(Drain::new(now, left, serves_on));
            self.beat_due = self.beat_due.min(now);
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

    fn begin_life(&mut self, now: Micros, surroundings: &mut Surroundings) {
        self.lives += 1;
        self.up = true;
        self.back_at = None;
        self.up_since = now;
        self.sequence = 0;
        self.fence = 0;
        self.next_number = 1;
        self.beat_due = now;
        let facts = RunnerFacts {
            instance: self.instance(),
            machine: self.plan.agent,
            service: self.plan.service.clone(),
            capacity: self.plan.capacity,
            labels: self.plan.labels.clone(),
            guards: self.plan.guards,
        };
        surroundings.history.note(now, Sight::RunnerUp(facts));
    }

    fn end_life(&mut self, now: Micros, back_at: Micros, surroundings: &mut Surroundings) {
        for run in std::mem::take(&mut self.active).into_values() {
            run.leave_gang(now, surroundings);
        }
        surroundings.history.note(
            now,
            Sight::RunnerDown {
                instance: self.instance(),
            },
        );
        self.up = false;
        self.back_at = Some(back_at);
        self.hold_until = None;
        self.over.clear();
        self.finished.clear();
        self.beat = None;
        self.drain = None;
    }

    /// True time for a span of its own clock.
    fn own(&self, span: Micros) -> Micros {
        span + span * self.plan.clock_slow_ppm / 1_000_000
    }

    fn check_hold(&mut self, now: Micros, surroundings: &mut Surroundings) {
        if self.hold_until.is_none_or(|until| until > now) {
            return;
        }
        self.hold_until = None;
        surroundings.history.note(
            now,
            Sight::HoldLapsed {
                instance: self.instance(),
            },
        );
        let keys: Vec<RunKey> = self.active.keys().cloned().collect();
        for key in keys {
            self.end_run(now, &key, RunEnd::LeaseExpired, surroundings);
        }
    }

    fn check_runs(&mut self, now: Micros, surroundings: &mut Surroundings) {
        let keys: Vec<RunKey> = self.active.keys().cloned().collect();
        for key in keys {
            let end = self
                .active
                .get(&key)
                .and_then(|run| run.end_by(now, surroundings));
            if let Some(end) = end {
                self.end_run(now, &key, end, surroundings);
            }
        }
    }

    fn end_run(&mut self, now: Micros, key: &RunKey, end: RunEnd, surroundings: &mut Surroundings) {
        let Some(run) = self.active.remove(key) else {
            return;
        };
        run.leave_gang(now, surroundings);
        let saved = run.saved_at_end(now, end, surroundings);
        self.list_end(now, key, end, saved, surroundings);
    }

    fn list_end(
        &mut self,
        now: Micros,
        key: &RunKey,
        end: RunEnd,
        saved: String,
        surroundings: &mut Surroundings,
    ) {
        let highest = self.over.entry(key.task.clone()).or_insert(0);
        *highest = (*highest).max(key.attempt);
        let seen = EndSeen {
            instance: self.instance(),
            number: self.next_number,
            task: key.task.clone(),
            attempt: key.attempt,
            end,
            saved,
        };
        self.next_number += 1;
        self.finished.push(seen.clone());
        surroundings.history.note(now, Sight::Ended(seen));
        self.beat_due = self.beat_due.min(now + BEAT_AFTER_END);
    }
}

impl Actor for Runner {
    fn wake(&mut self, now: Micros, surroundings: &mut Surroundings) {
        if !self.up {
            if self.back_at.is_some_and(|at| at <= now) {
                self.begin_life(now, surroundings);
            } else {
                return;
            }
        }
        self.check_hold(now, surroundings);
        self.check_runs(now, surroundings);
        self.check_drain(now, surroundings);
        if self.up && self.beat.is_none() && self.beat_due <= now {
            self.send_beat(now, surroundings);
        }
    }

    fn outcome(
        &mut self,
        now: Micros,
        tag: CallTag,
        outcome: Outcome,
        surroundings: &mut Surroundings,
    ) {
        if !self.up {
            return;
        }
        self.check_hold(now, surroundings);
        self.check_runs(now, surroundings);
        if self.beat.as_ref().is_some_and(|beat| beat.tag == tag) {
            self.take_answer(now, outcome, surroundings);
        } else if outcome.success_body().is_some() {
            self.take_deregistered(now, surroundings);
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        if !self.up {
            return self.back_at;
        }
        let beat = self.beat.is_none().then_some(self.beat_due);
        let ends = self.active.values().filter_map(Run::next_check).min();
        [beat, ends, self.hold_until, self.drain_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}
