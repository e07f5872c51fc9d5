//! What a runner does on the answer to a heartbeat.

use super::run::Run;
use super::{RunKey, Runner};
use crate::actor::{ActorContext, Outcome};
use crate::engine::{Micros, MILLISECOND};
use crate::history::{Observation, ObservedStart};
use crate::job::{StepDefinition, TaskName};
use sagetrail_protocol::agent::{Resources, RunEnd};
use serde_json::Value;

impl Runner {
    /// Takes the answer to the heartbeat that is out.
    pub(super) fn take_answer(
        &mut self,
        now: Micros,
        outcome: Outcome,
        context: &mut ActorContext,
    ) {
        let Some(heartbeat) = self.heartbeat.take() else {
            return;
        };
        let Some(body) = outcome.success_body() else {
            return;
        };
        if heartbeat.reported_draining {
            self.take_drain_acknowledgement(now, context);
        }
        let Ok(answer) = serde_json::from_slice::<Value>(body) else {
            return;
        };
        if let Some(again) = answer.get("retry_after_ms").and_then(Value::as_u64) {
            self.heartbeat_due = self.heartbeat_due.min(now + again * MILLISECOND);
        }
        let fence = answer
            .get("fence_token")
            .and_then(Value::as_u64)
            .unwrap_or(0);
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        if let Some(number) = answer.get("observed").and_then(Value::as_u64) {
            self.take_observed(now, number, context);
        }
        let deferred = self.take_hold(now, heartbeat.sent, &answer, context);
        for stop in items(&answer, "stop") {
            self.take_stop(now, stop, context);
        }
        if deferred {
            for start in items(&answer, "start") {
                self.take_start(now, start, context);
            }
        }
    }

    /// Looks at gangs anew: a member has come or gone somewhere.
    pub fn follow_gangs(&mut self, now: Micros, context: &mut ActorContext) {
        for run in self.active.values_mut() {
            run.follow_gang(context);
        }
        self.check_runs(now, context);
    }

    fn take_drain_acknowledgement(&mut self, now: Micros, context: &mut ActorContext) {
        let instance = self.instance();
        let Some(drain) = &mut self.drain else { return };
        if drain.acknowledged.is_none() {
            drain.acknowledged = Some(now);
            context
                .history
                .note(now, Observation::DrainAcknowledged { instance });
        }
    }

    fn take_observed(&mut self, now: Micros, number: u64, context: &mut ActorContext) {
        self.finished.retain(|end| end.number > number);
        let observation = Observation::Observed {
            instance: self.instance(),
            number,
        };
        context.history.note(now, observation);
    }

    fn take_hold(
        &mut self,
        now: Micros,
        sent: Micros,
        answer: &Value,
        context: &ActorContext,
    ) -> bool {
        let Some(hold_ms) = answer.get("hold_ms").and_then(Value::as_u64) else {
            return false;
        };
        let granted = hold_ms.min(context.bounds.hold_max_ms) * MILLISECOND;
        let until = sent + self.own(granted);
        if until > now {
            self.lease_until = Some(
                self.lease_until
                    .map_or(until, |deferred| deferred.max(until)),
            );
        }
        self.lease_until.is_some()
    }

    fn take_stop(&mut self, now: Micros, stop: &Value, context: &mut ActorContext) {
        let Some(key) = run_key(stop) else { return };
        let took = context
            .chance
            .between(0, context.bounds.stop_ms * MILLISECOND);
        match self.active.get_mut(&key) {
            Some(run) => run.stop_at(now + took),
            None => {
                let highest = self.over.entry(key.task).or_insert(0);
                *highest = (*highest).max(key.attempt);
            }
        }
    }

    fn take_start(&mut self, now: Micros, start: &Value, context: &mut ActorContext) {
        let spec = text_at(start, 2);
        let saved = text_at(start, 3);
        let Some(key) = run_key(start) else {
            self.note_start(now, &text_at(start, 0), 0, spec, saved, context);
            return;
        };
        let listed = self
            .finished
            .iter()
            .any(|end| end.task == key.task && end.attempt == key.attempt);
        if self.active.contains_key(&key) || listed {
            return;
        }
        let stale = self
            .over
            .get(&key.task)
            .is_some_and(|highest| key.attempt <= *highest);
        let asked = context
            .history
            .jobs
            .step_of(&key.task)
            .map(StepDefinition::asked)
            .unwrap_or_default();
        if stale || (self.plan.guards && !self.fits(asked)) {
            self.list_end(now, &key, RunEnd::Rejected, saved, context);
            return;
        }
        let run = Run::start(now, &self.plan, &key.task, key.attempt, &saved, context);
        self.note_start(
            now,
            &key.task.to_string(),
            key.attempt,
            spec,
            saved,
            context,
        );
        self.active.insert(key, run);
    }

    fn note_start(
        &self,
        now: Micros,
        task: &str,
        attempt: u64,
        spec: String,
        saved: String,
        context: &mut ActorContext,
    ) {
        let instance = self.instance();
        let seen = ObservedStart {
            instance,
            task: task.to_owned(),
            attempt,
            spec,
            saved,
        };
        context.history.note(now, Observation::Started(seen));
    }

    fn fits(&self, asked: Resources) -> bool {
        let mut taken = asked;
        for run in self.active.values() {
            taken.cpu += run.asked.cpu;
            taken.mem_mb += run.asked.mem_mb;
            taken.gpu += run.asked.gpu;
        }
        let room = self.plan.capacity;
        taken.cpu <= room.cpu && taken.mem_mb <= room.mem_mb && taken.gpu <= room.gpu
    }
}

fn items<'a>(answer: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> {
    answer
        .get(name)
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
}

fn text_at(list: &Value, index: usize) -> String {
    list.get(index)
        .and_then(Value::as_str)
        .unwrap_or_default()
        .to_owned()
}

fn run_key(list: &Value) -> Option<RunKey> {
    let task = TaskName::parse(list.get(0)?.as_str()?)?;
    let attempt = list.get(1)?.as_u64()?;
    Some(RunKey { task, attempt })
}
