//! Stragglers: detects runners that work much slower than others by the pace of their runs, and selects the runs to
//! move away from them because they end sooner when restarted elsewhere.

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

/// A run is moved if its remaining time here is more than this multiple of the time that a new run takes elsewhere.
const MOVE_GAIN: f64 = 1.5;
/// The time that a move takes in addition to the stop and the work, in milliseconds: two heartbeats and the commit of a
/// record.
const MOVE_OVERHEAD_MS: f64 = 150.0;
/// The lower bound of a runner's pace, as a part of the median. It keeps the remaining time finite for stalled runs.
const MIN_RELATIVE_PACE: f64 = 0.01;

/// The paces and the free capacity of the runners of one service.
#[derive(Debug, Default)]
struct ServicePaces {
    /// The paces of the usable runners with enough evidence.
    known: Vec<f64>,
    /// The median of these; `None` if too few are known.
    median: Option<f64>,
    /// Free capacity of the runners that are no stragglers, less that of the runs selected to move.
    free: Resources,
}

impl Scheduler {
    /// Updates the pace verdict of all runners by the median pace of their service, and logs changes.
    pub(super) fn update_pace_verdicts(&mut self, now: Now) {
        let medians = self.compute_median_paces(now);
        let nodes: Vec<NodeId> = self.runners.iter().map(|(node, _)| node).collect();
        for node in nodes {
            let Some(runner) = self.runners.get_mut(node) else {
                continue;
            };
            let median = medians.get(&runner.service).copied();
            let previous_verdict = runner.pace.verdict();
            runner.pace.judge(now.steady, median);
            let verdict = runner.pace.verdict();
            if verdict != previous_verdict {
                log::info!(
                    "pace verdict changed: term={} runner={node} verdict={verdict:?} pace={:?} median={median:?}",
                    self.term,
                    runner.pace.pace()
                );
            }
        }
    }

    /// Returns the median pace of each service; services with too few known paces are left out.
    fn compute_median_paces(&self, now: Now) -> BTreeMap<String, f64> {
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

    /// Selects the runs on stragglers that would end sooner elsewhere, up to the free capacity of the other runners.
    pub(super) fn select_runs_to_move_from_stragglers(&self, now: Now) -> Vec<AssignedRun> {
        let has_stragglers = self
            .runners
            .iter()
            .any(|(_, runner)| runner.pace.is_straggler());
        if !has_stragglers {
            return Vec::new();
        }
        let mut services = self.collect_service_paces(now);
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

    /// Collects the paces and the free capacity of each service's usable runners.
    fn collect_service_paces(&self, now: Now) -> BTreeMap<&str, ServicePaces> {
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

    /// Returns true if a run on a straggler would take more than `MOVE_GAIN` times as long to its end as a new run on a
    /// runner of median pace.
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
        let remaining_share = f64::from(100 - assignment.percent.min(100)) / 100.0;
        let relative_pace = (pace / median).max(MIN_RELATIVE_PACE);
        let remaining_ms = expected_ms * remaining_share / relative_pace;
        let work_ms = if stage.checkpoints {
            stage.estimate_ms * remaining_share + bounds.restore_ms as f64
        } else {
            stage.estimate_ms
        };
        let elsewhere_ms = work_ms + bounds.stop_ms as f64 + MOVE_OVERHEAD_MS;
        remaining_ms > MOVE_GAIN * elsewhere_ms
    }
}

/// Returns how long a run of the step should take on the runner, in milliseconds; 0 if its progress is no evidence of
/// the runner's pace: members of a gang wait for each other, and long-running tasks report no progress.
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
