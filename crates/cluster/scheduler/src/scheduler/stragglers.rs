//! Runners that work much slower than others: told apart by the pace of their runs, and relieved of runs that end sooner
//! where they begin anew elsewhere.

use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::node::Now;
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;

use super::Scheduler;
use crate::capacity::{add, fits, subtract};
use crate::runner::{Assignment, Runner};
use crate::runner_pace::median_pace;
use crate::spec::Stage;
use crate::step_run::AssignedRun;

/// A run moves where it would take this many times as long to its end as it takes anew elsewhere.
const MOVE_GAIN: f64 = 1.5;
/// What a move takes beside the stop and the work, in milliseconds: two heartbeats and the commit of a record.
const MOVE_MS: f64 = 150.0;
/// The slowest pace that is told from a standstill, as a part of the median.
const MIN_RELATIVE_PACE: f64 = 0.01;

/// The runners of one service, as far as their pace goes.
#[derive(Debug, Default)]
struct ServicePaces {
    known: Vec<f64>,
    median: Option<f64>,
    /// Free capacity of sound runners, less that of the runs that move.
    free: Resources,
}

impl Scheduler {
    /// Judges all runners by the median pace of their service.
    pub(super) fn judge_paces(&mut self, now: Now) {
        let medians = self.median_paces(now);
        let nodes: Vec<NodeId> = self.runners.iter().map(|(node, _)| node).collect();
        for node in nodes {
            let Some(runner) = self.runners.get_mut(node) else {
                continue;
            };
            let median = medians.get(&runner.service).copied();
            let before = runner.pace.verdict();
            runner.pace.judge(now.steady, median);
            let verdict = runner.pace.verdict();
            if verdict != before {
                log::info!(
                    "runner pace: term={} runner={node} verdict={verdict:?} pace={:?} median={median:?}",
                    self.term,
                    runner.pace.pace()
                );
            }
        }
    }

    /// The median pace of each service that has one.
    fn median_paces(&self, now: Now) -> BTreeMap<String, f64> {
        let mut known: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for (_, runner) in self.runners.iter() {
            if let Some(pace) = runner
                .pace
                .pace()
                .filter(|_| runner.is_reachable(now.steady))
            {
                known.entry(&runner.service).or_default().push(pace);
            }
        }
        let median = |(service, paces): (&str, Vec<f64>)| {
            median_pace(paces).map(|median| (service.to_owned(), median))
        };
        known.into_iter().filter_map(median).collect()
    }

    /// The runs at stragglers that end sooner elsewhere, as far as sound runners have free capacity.
    pub(super) fn runs_to_move_from_stragglers(&self, now: Now) -> Vec<AssignedRun> {
        let has_stragglers = self
            .runners
            .iter()
            .any(|(_, runner)| runner.pace.is_straggler());
        if !has_stragglers {
            return Vec::new();
        }
        let mut services = self.service_paces(now);
        let mut runs = Vec::new();
        for (node, runner) in self.runners.iter() {
            let service = services.get_mut(runner.service.as_str());
            let Some(service) = service.filter(|_| runner.pace.is_straggler()) else {
                continue;
            };
            for (&task, assignment) in &runner.assigned {
                let stage = self.jobs.get_active(task.step.job);
                let Some(stage) = stage.and_then(|job| job.stage(task.step)) else {
                    continue;
                };
                if !fits(assignment.resources, service.free) {
                    continue;
                }
                if self.ends_sooner_elsewhere(runner, assignment, stage, service.median) {
                    subtract(&mut service.free, assignment.resources);
                    runs.push(AssignedRun { task, node });
                }
            }
        }
        runs
    }

    fn service_paces(&self, now: Now) -> BTreeMap<&str, ServicePaces> {
        let mut services: BTreeMap<&str, ServicePaces> = BTreeMap::new();
        for (_, runner) in self.runners.iter() {
            let service = services.entry(&runner.service).or_default();
            if !runner.is_usable(now.steady) {
                continue;
            }
            service.known.extend(runner.pace.pace());
            if !runner.pace.is_straggler() {
                add(&mut service.free, runner.free_capacity());
            }
        }
        for service in services.values_mut() {
            service.median = median_pace(std::mem::take(&mut service.known));
        }
        services
    }

    /// True where a run at a straggler would take much longer to its end than begun anew at a runner of median pace.
    fn ends_sooner_elsewhere(
        &self,
        runner: &Runner,
        assignment: &Assignment,
        stage: &Stage,
        median: Option<f64>,
    ) -> bool {
        let (Some(pace), Some(median)) = (runner.pace.pace(), median) else {
            return false;
        };
        let expected_ms = assignment.progress.expected_ms;
        if !assignment.active || assignment.unwanted || expected_ms <= 0.0 {
            return false;
        }
        let bounds = &self.settings.bounds;
        let left = f64::from(100 - assignment.percent.min(100)) / 100.0;
        let relative_pace = (pace / median).max(MIN_RELATIVE_PACE);
        let here_ms = expected_ms * left / relative_pace;
        let work_ms = if stage.checkpoints {
            stage.estimate_ms * left + bounds.restore_ms as f64
        } else {
            stage.estimate_ms
        };
        let elsewhere_ms = work_ms + bounds.stop_ms as f64 + MOVE_MS;
        here_ms > MOVE_GAIN * elsewhere_ms
    }
}

/// How long a run of the step should take at the runner, in milliseconds; 0 where its progress says nothing of the
/// runner's pace: members of gangs wait for each other, lasting tasks have none.
pub(super) fn expected_run_ms(stage: &Stage, runner: &Runner, far_x: f64) -> f64 {
    if stage.gang || stage.long_running {
        return 0.0;
    }
    let is_near = stage.affinity.is_empty() || runner.labels.contains(&stage.affinity);
    if is_near {
        stage.estimate_ms
    } else {
        stage.estimate_ms * far_x.max(1.0)
    }
}
