//! LOST and MIXED: what clients read of their jobs.

use super::facts::{Facts, RunFact, SubmitFact};
use super::runs::step_done;
use super::{Judge, Rule};
use crate::engine::{Micros, MILLISECOND};
use crate::history::{Observation, ShownState};
use crate::job::{JobDefinition, StepName};
use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::NodeId;
use std::collections::{BTreeMap, BTreeSet};

/// Judges all that clients read.
pub(super) fn judge(judge: &mut Judge) {
    let history = judge.history;
    let mut last: BTreeMap<String, ShownState> = BTreeMap::new();
    for seen in &history.observations {
        let Observation::StateRead {
            job,
            sent,
            state,
            gateway,
        } = &seen.observation
        else {
            continue;
        };
        let Some(definition) = history.jobs.jobs.get(job) else {
            continue;
        };
        let submit = judge.facts.submits.get(job).cloned().unwrap_or_default();
        let check = PendingHealthCheck {
            at: seen.at,
            sent: *sent,
            gateway: *gateway,
            state,
        };
        read(judge, &check, definition, &submit, last.get(job));
        last.insert(job.clone(), state.clone());
    }
    if let Some(end) = judge.facts.day_end {
        day_end(judge, end, &last);
    }
}

/// A look of a client at a job.
struct PendingHealthCheck<'a> {
    at: Micros,
    sent: Micros,
    gateway: NodeId,
    state: &'a ShownState,
}

fn read(
    judge: &mut Judge,
    check: &PendingHealthCheck,
    job: &JobDefinition,
    submit: &SubmitFact,
    before: Option<&ShownState>,
) {
    let (at, state) = (check.at, check.state);
    match state {
        ShownState::Unreadable => {
            judge.accuse(Rule::Mixed, at, format!("{}: unreadable state", job.id))
        }
        ShownState::Completed => completed(judge, at, job),
        ShownState::Failed if !has_failed(&judge.facts, job, at) => {
            judge.accuse(
                Rule::Lost,
                at,
                format!("{} is shown as failed without cause", job.id),
            );
        }
        ShownState::Cancelled if submit.cancel_sent.is_none() => {
            judge.accuse(
                Rule::Lost,
                at,
                format!("{} is shown as cancelled without cause", job.id),
            );
        }
        ShownState::Gone => gone(judge, check, job, submit),
        _ => (),
    }
    let regressed = before == Some(&ShownState::Completed) && is_open(state);
    if regressed {
        judge.accuse(
            Rule::Mixed,
            at,
            format!("{} was completed and is now {state:?}", job.id),
        );
    }
}

fn is_open(state: &ShownState) -> bool {
    matches!(state, ShownState::Queued | ShownState::Running)
}

fn completed(judge: &mut Judge, at: Micros, job: &JobDefinition) {
    for time in 0..job.times() {
        for step in 0..job.steps.len() {
            if !step_done(&judge.facts, job, time, step, at) {
                let detail = format!(
                    "{} is shown as completed, {time}.{step} has not ended so",
                    job.id
                );
                return judge.accuse(Rule::Mixed, at, detail);
            }
        }
    }
}

fn gone(judge: &mut Judge, check: &PendingHealthCheck, job: &JobDefinition, submit: &SubmitFact) {
    let sent = check.sent;
    let visible = judge.limits.visible_ms * MILLISECOND;
    let known = submit
        .accepted
        .is_some_and(|accepted| sent > accepted + visible);
    if known && submit.cancel_sent.is_none() && judge.calm.in_touch(check.gateway, sent) {
        judge.accuse(
            Rule::Lost,
            sent,
            format!("{} was accepted and is unknown", job.id),
        );
    }
}

/// True where some task, or gang, has failed as often as its queue allows.
pub(super) fn has_failed(facts: &Facts, job: &JobDefinition, by: Micros) -> bool {
    let most = facts.max_attempts(&job.prefix) as usize;
    let failed = |run: &&RunFact| run.end == Some(RunEnd::Failed) && run.over <= by;
    for time in 0..job.times() {
        for (step, definition) in job.steps.iter().enumerate() {
            let name = StepName {
                job: job.id.clone(),
                time,
                step,
            };
            if definition.gang {
                let attempts: BTreeSet<u64> = facts
                    .of_step(&name)
                    .filter(failed)
                    .map(|run| run.attempt)
                    .collect();
                if attempts.len() >= most {
                    return true;
                }
            } else if job
                .tasks(time, step)
                .iter()
                .any(|task| facts.of_task(task).filter(failed).count() >= most)
            {
                return true;
            }
        }
    }
    false
}

fn day_end(judge: &mut Judge, end: Micros, last: &BTreeMap<String, ShownState>) {
    let must = judge.limits.all_must_finish;
    let submits = judge.facts.submits.clone();
    for (id, submit) in submits {
        if submit.accepted.is_none() || submit.cancel_sent.is_some() {
            continue;
        }
        let Some(job) = judge.history.jobs.jobs.get(&id) else {
            continue;
        };
        let shown = last.get(&id);
        if job.long_running {
            if !all_at_work(&judge.facts, job, end) {
                judge.accuse(
                    Rule::Lost,
                    end,
                    format!("{id} lasts, and not all its tasks run; shown {shown:?}"),
                );
            }
        } else if must && !matches!(shown, Some(ShownState::Completed | ShownState::Failed)) {
            judge.accuse(
                Rule::Lost,
                end,
                format!("{id} is not over at the day's end; shown {shown:?}"),
            );
        }
    }
}

fn all_at_work(facts: &Facts, job: &JobDefinition, at: Micros) -> bool {
    let going = |run: &RunFact| run.started <= at && run.over > at;
    let tasks = (0..job.steps.len()).flat_map(|step| job.tasks(0, step));
    let waiting = tasks.filter(|task| !facts.of_task(task).any(going)).count();
    // One may be between two runs.
    waiting <= 1
}
