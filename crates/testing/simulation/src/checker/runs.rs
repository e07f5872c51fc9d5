//! TWICE, BUDGET, ORDER and GANG: what the runs of a task say of each other.

use super::facts::{Facts, RunFact};
use super::{Judge, Rule};
use crate::engine::{Micros, MILLISECOND, SECOND, WALL_START_MS};
use crate::job::{JobDefinition, StepDefinition, StepName, TaskName};
use sagetrail_protocol::agent::RunEnd;
use std::collections::BTreeSet;

/// On days on which clocks jump a start may come so much earlier still, in milliseconds.
const JUMP_ALLOWANCE_MS: i64 = 5_000;

/// Judges all runs.
pub(super) fn judge(judge: &mut Judge) {
    let runs = judge.facts.runs.clone();
    for run in &runs {
        let Some(job) = judge.history.jobs.jobs.get(&run.task.job).cloned() else {
            continue;
        };
        let Some(step) = job.step_of(&run.task).cloned() else {
            continue;
        };
        if !step.speculative {
            overlap(judge, run);
        }
        if !job.long_running {
            after_done(judge, run, &step);
            budget(judge, run, &job, &step);
        }
        order(judge, run, &job, &step);
        alone(judge, run);
    }
}

fn overlap(judge: &mut Judge, run: &RunFact) {
    let earlier = judge
        .facts
        .of_task(&run.task)
        .filter(|other| place(other) < place(run));
    let overlapping = earlier
        .into_iter()
        .find(|other| other.over > run.started)
        .cloned();
    if let Some(other) = overlapping {
        let detail = format!(
            "{} run {} on {} starts while run {} goes on on {}",
            run.task, run.attempt, run.instance, other.attempt, other.instance
        );
        judge.accuse(Rule::Twice, run.started, detail);
    }
}

/// Sorts runs by their starts.
fn place(run: &RunFact) -> (Micros, &str, u64) {
    (run.started, &run.instance, run.attempt)
}

/// The runs whose `done` counts for a task: its own or, for a gang, those of any member.
fn counting<'a>(facts: &'a Facts, task: &TaskName, step: &StepDefinition) -> Vec<&'a RunFact> {
    if step.gang {
        return facts.of_step(&task.step_name()).collect();
    }
    facts.of_task(task).collect()
}

fn after_done(judge: &mut Judge, run: &RunFact, step: &StepDefinition) {
    let done = |other: &&RunFact| other.end == Some(RunEnd::Done) && other.over < run.started;
    let ends: Vec<RunFact> = counting(&judge.facts, &run.task, step)
        .into_iter()
        .filter(done)
        .cloned()
        .collect();
    for end in ends {
        let Some(noted) = end.noted else { continue };
        let late = run.started > noted + SECOND && judge.in_touch(run);
        if !step.speculative || late {
            let detail = format!(
                "{} run {} starts on {} after run {} ended done at {:.3} s",
                run.task,
                run.attempt,
                run.instance,
                end.attempt,
                end.over as f64 / 1e6
            );
            judge.accuse(Rule::Twice, run.started, detail);
            return;
        }
    }
}

fn budget(judge: &mut Judge, run: &RunFact, job: &JobDefinition, step: &StepDefinition) {
    let failed = |other: &&RunFact| {
        let in_time = !step.speculative
            || other
                .noted
                .is_some_and(|noted| noted + SECOND < run.started);
        other.end == Some(RunEnd::Failed)
            && other.over <= run.started
            && other.noted.is_some()
            && in_time
    };
    let relevant = counting(&judge.facts, &run.task, step)
        .into_iter()
        .filter(failed);
    let attempts: BTreeSet<u64> = relevant.map(|other| other.attempt).collect();
    if attempts.len() as u64 >= judge.facts.max_attempts(&job.prefix) {
        let detail = format!(
            "{} run {} starts after runs {attempts:?} failed",
            run.task, run.attempt
        );
        judge.accuse(Rule::Budget, run.started, detail);
    }
}

fn order(judge: &mut Judge, run: &RunFact, job: &JobDefinition, step: &StepDefinition) {
    for earlier in &step.depends_on {
        if !step_done(&judge.facts, job, run.task.time, *earlier, run.started) {
            let detail = format!(
                "{} run {} starts before step {earlier} is done",
                run.task, run.attempt
            );
            judge.accuse(Rule::Order, run.started, detail);
        }
    }
    if job.repeat > 0 {
        due(judge, run, job);
    }
}

fn due(judge: &mut Judge, run: &RunFact, job: &JobDefinition) {
    let due = job.first_run_ms + (run.task.time * job.interval_ms) as i64;
    let allowance = if judge.calm.clocks_jump {
        JUMP_ALLOWANCE_MS
    } else {
        0
    };
    let earliest = due - judge.limits.bounds.early_ms as i64 - allowance;
    let started = WALL_START_MS + (run.started / MILLISECOND) as i64;
    if started < earliest {
        let detail = format!("{} starts {} ms before its time", run.task, due - started);
        judge.accuse(Rule::Order, run.started, detail);
    }
}

/// True where each task of a step had ended `done` by an instant.
pub(super) fn step_done(
    facts: &Facts,
    job: &JobDefinition,
    time: u64,
    step: usize,
    by: Micros,
) -> bool {
    let done = |run: &RunFact| run.end == Some(RunEnd::Done) && run.over <= by;
    let Some(definition) = job.steps.get(step) else {
        return false;
    };
    if definition.gang {
        let name = StepName {
            job: job.id.clone(),
            time,
            step,
        };
        return facts.of_step(&name).any(done);
    }
    job.tasks(time, step)
        .iter()
        .all(|task| facts.of_task(task).any(done))
}

fn alone(judge: &mut Judge, run: &RunFact) {
    if run.end != Some(RunEnd::GangTimedOut) {
        return;
    }
    let cancelled = judge
        .facts
        .submits
        .get(&run.task.job)
        .and_then(|submit| submit.cancel_sent);
    let from = run
        .started
        .saturating_sub(judge.limits.bounds.gang_ms * MILLISECOND);
    if cancelled.is_none_or(|at| at > run.over) && judge.calm.during(from, run.over) {
        let detail = format!(
            "{} run {} on {} waited in vain",
            run.task, run.attempt, run.instance
        );
        judge.accuse(Rule::Gang, run.over, detail);
    }
}
