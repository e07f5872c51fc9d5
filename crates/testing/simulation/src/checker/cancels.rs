//! UNASKED after a cancelling, and starts after a job was shown as completed (TWICE).

use super::{Judge, Rule};
use crate::engine::{Micros, MILLISECOND, SECOND};
use crate::history::{Observation, ShownState};
use std::collections::BTreeMap;

/// Judges starts and runs of jobs that are over.
pub(super) fn judge(judge: &mut Judge) {
    let completed = first_completed(judge);
    for run in judge.facts.runs.clone() {
        let shown = completed.get(&run.task.job);
        if shown.is_some_and(|at| run.started > at + SECOND) && judge.in_touch(&run) {
            let detail = format!("{} starts after its job was shown as completed", run.task);
            judge.accuse(Rule::Twice, run.started, detail);
        }
        let Some(cancelled) = judge
            .facts
            .submits
            .get(&run.task.job)
            .and_then(|submit| submit.cancelled)
        else {
            continue;
        };
        let last_start = cancelled + judge.limits.bounds.cancel_ms * MILLISECOND;
        let last_end = last_start + judge.limits.bounds.stop_ms * MILLISECOND;
        if run.started > last_start && judge.in_touch(&run) {
            let detail = format!("{} starts after its job was cancelled", run.task);
            judge.accuse(Rule::Unasked, run.started, detail);
        } else if run.over > last_end
            && reached(judge, last_end)
            && judge.calm.during(cancelled, last_end)
        {
            let detail = format!("{} runs on after its job was cancelled", run.task);
            judge.accuse(Rule::Unasked, last_end, detail);
        }
    }
}

fn reached(judge: &Judge, instant: Micros) -> bool {
    judge
        .history
        .observations
        .last()
        .is_some_and(|seen| seen.at >= instant)
}

fn first_completed(judge: &Judge) -> BTreeMap<String, Micros> {
    let mut completed = BTreeMap::new();
    for seen in &judge.history.observations {
        if let Observation::StateRead {
            job,
            state: ShownState::Completed,
            ..
        } = &seen.observation
        {
            completed.entry(job.clone()).or_insert(seen.at);
        }
    }
    completed
}
