//! LOST for standstill: a job has nothing running for a while though a task's turn has come and there is room.

use super::facts::RunFact;
use super::jobs::has_failed;
use super::runs::step_done;
use super::{Judge, Rule};
use crate::engine::{Micros, MILLISECOND, SECOND, WALL_START_MS};
use crate::history::{Observation, RunnerFacts, ShownState};
use crate::job::{JobDefinition, StepDefinition};
use sagetrail_protocol::agent::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// A job that stands still for so long once `finish_ms` has passed since the last job was sent is lost.
const STANDSTILL: Micros = 3 * SECOND;
/// Jobs are looked at this often.
const SAMPLE: Micros = 500 * MILLISECOND;

/// Since when jobs stand still, and which were accused.
#[derive(Default)]
struct Idle {
    since: BTreeMap<String, Micros>,
    accused: BTreeSet<String>,
}

/// Judges standstill: for `finish_ms` at any time, for `STANDSTILL` from `finish_ms` after the last job was sent.
pub(super) fn judge(judge: &mut Judge) {
    let Some(end) = judge.facts.day_end else {
        return;
    };
    let sent = || {
        judge
            .facts
            .submits
            .values()
            .filter_map(|submit| submit.first_sent)
    };
    let (Some(first), Some(last)) = (sent().min(), sent().max()) else {
        return;
    };
    let finish = judge.limits.finish_ms * MILLISECOND;
    let ended = first_final(judge);
    let runs = runs_by_job(judge);
    let mut idle = Idle::default();
    let mut at = first;
    while at <= end {
        if !judge.calm.at(at) {
            idle.since.clear();
        }
        for job in open_jobs(judge, at, &ended) {
            let mine = runs.get(job.id.as_str()).map_or(&[][..], Vec::as_slice);
            if !stands_still(judge, &job, mine, at) {
                idle.since.remove(&job.id);
                continue;
            }
            let since = *idle.since.entry(job.id.clone()).or_insert(at);
            let lost = at >= since + finish || at >= since.max(last + finish) + STANDSTILL;
            if lost && idle.accused.insert(job.id.clone()) {
                judge.accuse(
                    Rule::Lost,
                    at,
                    format!("{} stands still though there is room", job.id),
                );
            }
        }
        at += SAMPLE;
    }
}

fn runs_by_job(judge: &Judge) -> BTreeMap<String, Vec<RunFact>> {
    let mut runs: BTreeMap<String, Vec<RunFact>> = BTreeMap::new();
    for run in &judge.facts.runs {
        runs.entry(run.task.job.clone())
            .or_default()
            .push(run.clone());
    }
    runs
}

fn first_final(judge: &Judge) -> BTreeMap<String, Micros> {
    let mut ended = BTreeMap::new();
    for seen in &judge.history.observations {
        if let Observation::StateRead {
            job,
            state: ShownState::Completed | ShownState::Failed,
            ..
        } = &seen.observation
        {
            ended.entry(job.clone()).or_insert(seen.at);
        }
    }
    ended
}

fn open_jobs(judge: &Judge, at: Micros, ended: &BTreeMap<String, Micros>) -> Vec<JobDefinition> {
    let open = |job: &&JobDefinition| {
        let accepted = judge.facts.submits.get(&job.id).is_some_and(|submit| {
            submit.accepted.is_some_and(|accepted| accepted < at) && submit.cancel_sent.is_none()
        });
        accepted && ended.get(&job.id).is_none_or(|end| *end > at)
    };
    judge
        .history
        .jobs
        .jobs
        .values()
        .filter(open)
        .cloned()
        .collect()
}

fn stands_still(judge: &Judge, job: &JobDefinition, runs: &[RunFact], at: Micros) -> bool {
    let is_running = runs.iter().any(|run| run.started <= at && run.over > at);
    if !judge.calm.at(at) || is_running || has_failed(&judge.facts, job, at) {
        return false;
    }
    let runners = runners_of(judge, job, at);
    let free: Vec<Room> = runners
        .iter()
        .map(|runner| room(judge, runner, at))
        .collect();
    if !is_half_empty(&runners, &free) {
        return false;
    }
    waiting_steps(judge, job, at)
        .into_iter()
        .any(|step| has_room_twice(step, &free))
}

fn runners_of(judge: &Judge, job: &JobDefinition, at: Micros) -> Vec<RunnerFacts> {
    let services = judge.facts.services(&job.prefix);
    let up = |runner: &&RunnerFacts| {
        let span = judge.facts.instances.get(&runner.instance);
        let drains = judge.facts.drains.contains_key(&runner.instance);
        span.is_some_and(|span| span.from <= at && span.until > at)
            && !drains
            && services.contains(&runner.service)
    };
    judge.facts.runners.values().filter(up).cloned().collect()
}

/// What is free at a runner with its labels.
struct Room {
    free: Resources,
    labels: Vec<String>,
}

fn room(judge: &Judge, runner: &RunnerFacts, at: Micros) -> Room {
    let mut free = runner.capacity;
    for index in judge
        .facts
        .runs_of_instance
        .get(&runner.instance)
        .into_iter()
        .flatten()
    {
        let run = &judge.facts.runs[*index];
        if run.started <= at && run.over > at {
            let asked = judge
                .history
                .jobs
                .step_of(&run.task)
                .map(StepDefinition::asked)
                .unwrap_or_default();
            free.cpu = free.cpu.saturating_sub(asked.cpu);
            free.mem_mb = free.mem_mb.saturating_sub(asked.mem_mb);
            free.gpu = free.gpu.saturating_sub(asked.gpu);
        }
    }
    Room {
        free,
        labels: runner.labels.clone(),
    }
}

fn is_half_empty(runners: &[RunnerFacts], free: &[Room]) -> bool {
    let whole: u64 = runners.iter().map(|runner| runner.capacity.cpu).sum();
    let left: u64 = free.iter().map(|room| room.free.cpu).sum();
    left * 2 > whole
}

fn waiting_steps<'a>(judge: &Judge, job: &'a JobDefinition, at: Micros) -> Vec<&'a StepDefinition> {
    let wall = WALL_START_MS + (at / MILLISECOND) as i64;
    let due =
        |time: &u64| job.repeat == 0 || job.first_run_ms + (time * job.interval_ms) as i64 <= wall;
    let mut waiting = Vec::new();
    for time in (0..job.times()).filter(due) {
        for (number, step) in job.steps.iter().enumerate() {
            let met = step
                .depends_on
                .iter()
                .all(|earlier| step_done(&judge.facts, job, time, *earlier, at));
            if met && !step_done(&judge.facts, job, time, number, at) {
                waiting.push(step);
            }
        }
    }
    waiting
}

fn has_room_twice(step: &StepDefinition, free: &[Room]) -> bool {
    let wanted = if step.gang { 2 * step.count } else { 2 };
    let asked = step.asked();
    let fitting = free
        .iter()
        .filter(|room| step.constraints.is_empty() || room.labels.contains(&step.constraints));
    let places: u64 = fitting.map(|room| places(room.free, asked)).sum();
    places >= wanted
}

fn places(free: Resources, asked: Resources) -> u64 {
    let by = |free: u64, asked: u64| free.checked_div(asked).unwrap_or(u64::MAX);
    let most = by(free.cpu, asked.cpu)
        .min(by(free.mem_mb, asked.mem_mb))
        .min(by(free.gpu, asked.gpu));
    most.min(u64::from(u16::MAX))
}
