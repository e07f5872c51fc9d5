//! LIMIT, ROUTE, UNASKED, REFUSED and DRAIN: what a start says by itself.

use super::facts::RunFact;
use super::{Judge, Rule};
use crate::engine::{Micros, MILLISECOND};
use crate::history::{Observation, ObservedStart};
use crate::job::{JobDefinition, StepDefinition, TaskName};
use sagetrail_protocol::agent::Resources;

/// Judges all starts.
pub(super) fn judge(judge: &mut Judge) {
    let history = judge.history;
    for seen in &history.observations {
        if let Observation::Started(start) = &seen.observation {
            asked(judge, seen.at, start);
        }
    }
    for run in judge.facts.runs.clone() {
        let Some(job) = history.jobs.jobs.get(&run.task.job) else {
            continue;
        };
        let Some(step) = job.step_of(&run.task) else {
            continue;
        };
        limit(judge, &run);
        route(judge, &run, job, step);
        refused(judge, &run);
        drain(judge, &run);
    }
}

fn asked(judge: &mut Judge, at: Micros, start: &ObservedStart) {
    let history = judge.history;
    let task = TaskName::parse(&start.task);
    let job = task
        .as_ref()
        .and_then(|task| history.jobs.jobs.get(&task.job));
    let known = task
        .as_ref()
        .zip(job)
        .filter(|(task, job)| job.step_of(task).is_some());
    let Some((task, job)) = known else {
        return judge.accuse(
            Rule::Unasked,
            at,
            format!("{} is no task of any job", start.task),
        );
    };
    let sent = judge
        .facts
        .submits
        .get(&task.job)
        .and_then(|submit| submit.first_sent);
    if sent.is_none_or(|sent| sent > at) {
        judge.accuse(
            Rule::Unasked,
            at,
            format!("{task} starts before its job was sent"),
        );
    }
    if start.spec != job.spec {
        judge.accuse(
            Rule::Unasked,
            at,
            format!("{task} starts with another spec"),
        );
    }
    if !start.saved.is_empty() && !checkpoint_fits(job, task, &start.saved) {
        judge.accuse(
            Rule::Unasked,
            at,
            format!("{task} starts with {:?}, not its checkpoint", start.saved),
        );
    }
}

/// A checkpoint names its task or, for a gang, its step after the digits of its progress.
fn checkpoint_fits(job: &JobDefinition, task: &TaskName, saved: &str) -> bool {
    let gang = job.step_of(task).is_some_and(|step| step.gang);
    let owner = if gang {
        format!("{:?}", task.step_name())
    } else {
        task.to_string()
    };
    saved
        .split_once('-')
        .is_some_and(|(_, named)| named == owner)
}

fn limit(judge: &mut Judge, run: &RunFact) {
    let Some(runner) = judge.facts.runners.get(&run.instance).cloned() else {
        return;
    };
    if runner.guards {
        return;
    }
    let mut taken = Resources::default();
    for going in judge.facts.going_at(&run.instance, run) {
        let asked = judge
            .history
            .jobs
            .step_of(&going.task)
            .map(StepDefinition::asked)
            .unwrap_or_default();
        taken.cpu += asked.cpu;
        taken.mem_mb += asked.mem_mb;
        taken.gpu += asked.gpu;
    }
    let room = runner.capacity;
    if taken.cpu > room.cpu || taken.mem_mb > room.mem_mb || taken.gpu > room.gpu {
        let detail = format!(
            "{} on {} takes it to {taken:?} of {room:?}",
            run.task, run.instance
        );
        judge.accuse(Rule::Limit, run.started, detail);
    }
}

fn route(judge: &mut Judge, run: &RunFact, job: &JobDefinition, step: &StepDefinition) {
    let Some(runner) = judge.facts.runners.get(&run.instance).cloned() else {
        return;
    };
    if !judge.facts.services(&job.prefix).contains(&runner.service) {
        let detail = format!(
            "{} runs on {} of {}",
            run.task, run.instance, runner.service
        );
        judge.accuse(Rule::Route, run.started, detail);
    }
    if !step.constraints.is_empty() && !runner.labels.contains(&step.constraints) {
        let detail = format!(
            "{} on {} lacks {}",
            run.task, run.instance, step.constraints
        );
        judge.accuse(Rule::Route, run.started, detail);
    }
    let going = judge.facts.going_at(&run.instance, run);
    let alike = going
        .into_iter()
        .filter(|other| other.task.step_name() == run.task.step_name())
        .count() as u64;
    if step.anti_affinity > 0 && alike > step.anti_affinity {
        let detail = format!(
            "{} is number {alike} of its step on {}",
            run.task, run.instance
        );
        judge.accuse(Rule::Route, run.started, detail);
    }
}

fn refused(judge: &mut Judge, run: &RunFact) {
    let Some(submit) = judge.facts.submits.get(&run.task.job) else {
        return;
    };
    if submit.attempts > 0 && submit.rejections == submit.attempts {
        let detail = format!(
            "{} starts on {}, all tries were rejected",
            run.task, run.instance
        );
        judge.accuse(Rule::Refused, run.started, detail);
    }
}

fn drain(judge: &mut Judge, run: &RunFact) {
    let Some(acknowledged) = judge.facts.drains.get(&run.instance).copied() else {
        return;
    };
    let last = acknowledged + judge.limits.bounds.drain_ms * MILLISECOND;
    if run.started > last && judge.in_touch_at(run, acknowledged) && judge.in_touch(run) {
        let detail = format!("{} starts on {}, which drains", run.task, run.instance);
        judge.accuse(Rule::Drain, run.started, detail);
    }
}
