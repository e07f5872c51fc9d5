//! Reports from agents: which runs are active, which have ended, and which can no longer be running.

use sagetrail_protocol::agent::{may_omit_ends, FinishedRun, RunnerReport, StopCommand};
use sagetrail_protocol::node::Now;
use sagetrail_protocol::NodeId;

use super::run_outcome::EndedRun;
use super::Scheduler;
use crate::agent_session::Admission;
use crate::ids::TaskId;
use crate::runner::{RecordedEnd, Runner};
use crate::step_run::AssignedRun;

const MICROS_PER_MS: u64 = 1_000;

impl Scheduler {
    /// Processes a report and answers it with commands. A report from a newer term or a late one gets no answer. The
    /// report of an agent that may have been replaced is answered and changes nothing else.
    pub(super) fn runner_report(&mut self, now: Now, from: NodeId, report: RunnerReport) {
        if report.term > self.term {
            return;
        }
        let runner = self.runners.get_or_add(from, self.started_at);
        let admission = runner
            .session
            .admit(&report, self.term, &mut runner.revision);
        match admission {
            Admission::Newest => {}
            Admission::NewAgent => runner.state_known = false,
            Admission::Unproven => return self.answer_report(now, from, &report),
            Admission::Late => return,
        }
        runner.last_report_at = now.steady;
        runner.has_runner = report.has_runner;
        if report.has_runner {
            self.update_runner(now, from, &report);
        } else if report.lease_expired {
            self.end_all_runs(now, from);
        }
        self.answer_report(now, from, &report);
        self.placement_due = true;
    }

    /// Updates a runner and its runs from a report.
    fn update_runner(&mut self, now: Now, from: NodeId, report: &RunnerReport) {
        if !self.update_instance(now, from, report) {
            return;
        }
        let Some(runner) = self.runners.get_mut(from) else {
            return;
        };
        update_attributes(runner, report);
        self.update_active_runs(now, from, report);
        self.update_checkpoints(report);
        self.record_finished_runs(now, from, report);
        self.end_absent_runs(now, from, report);
        if let Some(runner) = self.runners.get_mut(from) {
            runner.state_known |= report.term == self.term && report.starts_resolved;
        }
    }

    /// Checks which instance a report describes, and returns true if that is the runner's current instance. A different
    /// instance replaces the current one, and all runs of the replaced instance are over. A restarted agent may have
    /// received a late heartbeat of a dead instance. Therefore a report of a different instance is believed only if it
    /// is of this term and all starts are resolved or no lease is valid any more. Until then the runner's state is
    /// unknown.
    fn update_instance(&mut self, now: Now, node: NodeId, report: &RunnerReport) -> bool {
        let Some(runner) = self.runners.get_mut(node) else {
            return false;
        };
        if runner.instance == *report.instance {
            return true;
        }
        if !runner.instance.is_empty() {
            let is_certain =
                report.term == self.term && (report.starts_resolved || report.lease_expired);
            if !is_certain {
                runner.state_known = false;
                return false;
            }
            self.end_all_runs(now, node);
        }
        if let Some(runner) = self.runners.get_mut(node) {
            runner.replace_instance(&report.instance);
        }
        true
    }

    /// Ends all runs assigned to a runner with `RunEnd::LeaseExpired`.
    pub(super) fn end_all_runs(&mut self, now: Now, node: NodeId) {
        for task in self.runners.assigned_tasks(node) {
            self.commits.close_full_batch();
            self.end_run(now, EndedRun::lease_expired(AssignedRun { task, node }));
        }
    }

    /// Marks the assignments that the report lists as active, and collects active runs that are not assigned, which are
    /// then stopped.
    fn update_active_runs(&mut self, now: Now, from: NodeId, report: &RunnerReport) {
        let Some(runner) = self.runners.get_mut(from) else {
            return;
        };
        runner
            .assigned
            .values_mut()
            .for_each(|assignment| assignment.active = false);
        runner.unknown_runs.clear();
        if report.lease_expired {
            return;
        }
        let mut progresses = Vec::new();
        let heartbeat_us = heartbeat_time_us(report);
        for run in report.active.iter() {
            let task_id = TaskId::parse(&run.task);
            let assignment = task_id.and_then(|task_id| runner.assigned.get_mut(&task_id));
            match assignment.filter(|assignment| assignment.attempt == run.attempt) {
                Some(assignment) => {
                    assignment.set_active(run.percent, now.steady);
                    let progress = assignment.progress.advance(heartbeat_us, run.percent);
                    progresses.extend(progress);
                }
                None => runner.unknown_runs.push(StopCommand {
                    task: run.task.clone(),
                    attempt: run.attempt,
                }),
            }
        }
        // A runner in slow start is slow by design, so its progress is no evidence of a straggler.
        if report.slow_start_remaining_ms == 0 {
            for progress in progresses {
                runner.pace.record(now.steady, progress);
            }
        }
        if !runner.unknown_runs.is_empty() {
            self.runners.set_changed(from);
        }
    }

    /// Writes new checkpoints of active runs to the tasks' records. A checkpoint kept only in memory would be lost when
    /// this process fails.
    fn update_checkpoints(&mut self, report: &RunnerReport) {
        if report.lease_expired {
            return;
        }
        let mut updated = Vec::new();
        for run in report
            .active
            .iter()
            .filter(|run| !run.checkpoint.is_empty())
        {
            let Some(task_id) = TaskId::parse(&run.task) else {
                continue;
            };
            let Some(task) = self.jobs.task_mut(task_id) else {
                continue;
            };
            let is_new = task.attempt == run.attempt && task.checkpoint != run.checkpoint.0;
            if is_new && self.jobs.set_checkpoint(task_id, &run.checkpoint) {
                updated.push(task_id);
            }
        }
        for task_id in updated {
            self.commits.close_full_batch();
            self.write_task(task_id);
        }
    }

    /// Processes the reported ends of runs that are not in a batch yet, in the order of the runner's numbers.
    fn record_finished_runs(&mut self, now: Now, from: NodeId, report: &RunnerReport) {
        let mut finished: Vec<&FinishedRun> = report.finished.iter().collect();
        finished.sort_by_key(|run| run.number);
        for run in finished {
            let Some(runner) = self.runners.get_mut(from) else {
                return;
            };
            if run.number <= runner.last_recorded_end {
                continue;
            }
            runner.last_recorded_end = run.number;
            self.commits.close_full_batch();
            self.end_finished_run(now, from, run);
            let batch = self.commits.newest();
            if let Some(runner) = self.runners.get_mut(from) {
                runner.uncommitted_ends.push_back(RecordedEnd {
                    number: run.number,
                    batch,
                });
            }
            self.runners.wait_for_commit(batch, from);
            self.runners.set_changed(from);
        }
        self.acknowledge_committed_ends(from);
    }

    /// Ends an assigned run as reported. Ignores the end of any other attempt.
    fn end_finished_run(&mut self, now: Now, node: NodeId, finished: &FinishedRun) {
        let Some(task) = TaskId::parse(&finished.task) else {
            return;
        };
        let run = AssignedRun { task, node };
        let assignment = self.runners.assignment(run);
        if assignment.is_some_and(|assignment| assignment.attempt == finished.attempt) {
            let ended = EndedRun {
                run,
                end: finished.end,
                checkpoint: finished.checkpoint.0.clone(),
            };
            self.end_run(now, ended);
        }
    }

    /// Ends assigned runs that the report lists neither as active nor as finished, and that can no longer start or be
    /// active. Other absent runs become unwanted if the runner's lease has expired. While the runner's lease is valid,
    /// nothing follows from a list of ended runs that may be cut short.
    fn end_absent_runs(&mut self, now: Now, from: NodeId, report: &RunnerReport) {
        let is_current_term = report.term == self.term;
        let lists_all_runs = report.starts_resolved && !may_omit_ends(&report.finished);
        let Some(runner) = self.runners.get_mut(from) else {
            return;
        };
        let mut ended = Vec::new();
        let mut has_unwanted = false;
        let inactive = runner.assigned.iter_mut().filter(|(_, run)| !run.active);
        for (&task, assignment) in inactive {
            let is_withdrawn = assignment
                .withdrawn_in_revision
                .is_some_and(|revision| is_current_term && report.revision >= revision);
            let cannot_start = is_withdrawn && (lists_all_runs || report.lease_expired);
            let was_active_and_expired = report.lease_expired && assignment.seen_active;
            if cannot_start || was_active_and_expired {
                ended.push(task);
            } else if report.lease_expired {
                assignment.unwanted = true;
                has_unwanted = true;
            }
        }
        if has_unwanted {
            self.runners.set_changed(from);
        }
        for task in ended {
            let run = AssignedRun { task, node: from };
            self.commits.close_full_batch();
            self.end_run(now, EndedRun::lease_expired(run));
        }
    }

    /// Raises the number up to which a runner's ends are committed, so that the next commands acknowledge them and the
    /// runner may forget them.
    pub(super) fn acknowledge_committed_ends(&mut self, node: NodeId) {
        let Some(runner) = self.runners.get_mut(node) else {
            return;
        };
        let observed_before = runner.last_observed_end;
        let commits = &self.commits;
        runner.observe_ends(|batch| commits.is_committed(batch));
        if runner.last_observed_end != observed_before {
            self.runners.set_changed(node);
        }
    }

    /// Ends the runs of runners that have been unreachable for longer than their last lease can be valid.
    pub(super) fn expire_unreachable_runners(&mut self, now: Now) {
        let has_expired =
            |runner: &Runner| !runner.assigned.is_empty() && runner.is_beyond_lease(now.steady);
        let expired: Vec<NodeId> = self
            .runners
            .iter()
            .filter(|(_, runner)| has_expired(runner))
            .map(|(node, _)| node)
            .collect();
        for node in expired {
            log::warn!(
                "runner unreachable until its lease expired, ending its runs: term={} runner={node}",
                self.term
            );
            self.end_all_runs(now, node);
            if let Some(runner) = self.runners.get_mut(node) {
                runner.state_known = false;
            }
        }
    }
}

/// Returns the time of the runner's heartbeat that a report is based on, by the agent's steady clock, in microseconds.
fn heartbeat_time_us(report: &RunnerReport) -> u64 {
    let since_heartbeat_us = report.since_heartbeat_ms.saturating_mul(MICROS_PER_MS);
    report.sent_at.saturating_sub(since_heartbeat_us)
}

/// Updates the attributes of the runner itself from a report.
fn update_attributes(runner: &mut Runner, report: &RunnerReport) {
    let labels = || report.labels.iter().map(|label| &label.0);
    runner.service = report.service.0.clone();
    if !runner.labels.iter().eq(labels()) {
        runner.labels = labels().cloned().collect();
    }
    runner.capacity = report.capacity;
    // An instance that drains continues to drain until it ends, but a restarted agent may not know that it does.
    runner.draining |= report.draining;
    runner.lease_expired = report.lease_expired;
    runner.drain_remaining_ms = report.remaining_ms;
    runner.since_heartbeat_ms = report.since_heartbeat_ms;
}
