//! Agents' reports: what runs, what has ended, what can no longer be running.

use crate::ids::TaskId;
use crate::run_outcome::EndedRun;
use crate::runner::{Candidate, RecordedEnd, Runner};
use crate::scheduler::Scheduler;
use sagetrail_protocol::agent::{RunEnd, RunnerReport, StopCommand};
use sagetrail_protocol::node::Now;
use sagetrail_protocol::{NodeId, Term};

/// Incarnations of an agent that are remembered as replaced.
const MAX_REPLACED_AGENTS: usize = 16;

impl Scheduler {
    /// Takes a report and answers it with orders.
    pub(crate) fn runner_report(&mut self, now: Now, from: NodeId, report: RunnerReport) {
        if report.term > self.term {
            return;
        }
        let (started_at, term) = (self.started_at, self.term);
        let runner = self
            .runners
            .entry(from)
            .or_insert_with(|| Runner::new(started_at));
        match admit(runner, &report, term) {
            Admission::Newest => {}
            Admission::Unproven => return self.answer_report(now, from, &report),
            Admission::Late => return,
        }
        runner.last_report_at = now.steady;
        runner.present = report.has_runner;
        if report.has_runner {
            self.update_from_report(now, from, &report);
        } else if report.lease_expired {
            self.end_all_runs(now, from);
        }
        self.answer_report(now, from, &report);
        self.placement_due = true;
    }

    fn update_from_report(&mut self, now: Now, from: NodeId, report: &RunnerReport) {
        if !self.take_instance(now, from, report) {
            return;
        }
        let Some(runner) = self.runners.get_mut(&from) else {
            return;
        };
        runner.service = report.service.0.clone();
        if !runner
            .labels
            .iter()
            .eq(report.labels.iter().map(|label| &label.0))
        {
            runner.labels = report.labels.iter().map(|label| label.0.clone()).collect();
        }
        runner.capacity = report.capacity;
        // Once it drains, an instance drains until its end; an agent that started anew may not know.
        runner.draining |= report.draining;
        runner.lapsed = report.lease_expired;
        runner.remaining_ms = report.remaining_ms;
        runner.silent_ms = report.since_heartbeat_ms;
        self.update_active_runs(now, from, report);
        self.record_finished_runs(now, from, report);
        self.end_absent_runs(now, from, report);
        let Some(runner) = self.runners.get_mut(&from) else {
            return;
        };
        runner.known |= report.term == self.term && report.starts_resolved;
    }

    /// True where the report is about the instance that runs now. With another instance on the machine whatever the
    /// former one ran is over, but an agent that started anew may have been told by one that is no more: it is settled,
    /// or no hold lasts, before that counts.
    fn take_instance(&mut self, now: Now, node: NodeId, report: &RunnerReport) -> bool {
        let Some(runner) = self.runners.get_mut(&node) else {
            return false;
        };
        if runner.instance == *report.instance {
            return true;
        }
        if !runner.instance.is_empty() {
            let certain =
                report.term == self.term && (report.starts_resolved || report.lease_expired);
            if !certain {
                runner.known = false;
                return false;
            }
            self.end_all_runs(now, node);
        }
        if let Some(runner) = self.runners.get_mut(&node) {
            runner.replace_instance(&report.instance);
        }
        true
    }

    /// Everything assigned to the runner is over.
    pub(crate) fn end_all_runs(&mut self, now: Now, node: NodeId) {
        let Some(runner) = self.runners.get(&node) else {
            return;
        };
        let tasks: Vec<TaskId> = runner.assigned.keys().copied().collect();
        tasks
            .into_iter()
            .for_each(|task| self.end_lapsed_run(now, node, task));
    }

    fn end_lapsed_run(&mut self, now: Now, node: NodeId, task: TaskId) {
        self.end_run(
            now,
            EndedRun {
                node,
                task,
                end: RunEnd::LeaseExpired,
                checkpoint: String::new(),
            },
        );
    }

    fn update_active_runs(&mut self, now: Now, from: NodeId, report: &RunnerReport) {
        let Some(runner) = self.runners.get_mut(&from) else {
            return;
        };
        runner
            .assigned
            .values_mut()
            .for_each(|assignment| assignment.active = false);
        runner.unknown.clear();
        let mut progressed = Vec::new();
        let listed = if report.lease_expired {
            &[][..]
        } else {
            &report.active[..]
        };
        for run in listed {
            let id = TaskId::parse(&run.task);
            let assignment = id.and_then(|id| runner.assigned.get_mut(&id));
            match assignment.filter(|assignment| assignment.attempt == run.attempt) {
                Some(assignment) => {
                    assignment.active = true;
                    assignment.seen = true;
                    if assignment.percent != run.percent {
                        assignment.percent = run.percent;
                        assignment.progressed_at = now.steady;
                    }
                }
                None => runner.unknown.push(StopCommand {
                    task: run.task.clone(),
                    attempt: run.attempt,
                }),
            }
            let task = id.and_then(|id| {
                self.jobs
                    .get_mut(&id.step.job)
                    .and_then(|job| job.task_mut(id))
            });
            let task =
                task.filter(|task| !run.checkpoint.is_empty() && task.attempt == run.attempt);
            if let (Some(task), Some(id)) = (task, id) {
                if task.checkpoint != run.checkpoint.0 {
                    task.checkpoint = run.checkpoint.0.clone();
                    progressed.push(id);
                }
            }
        }
        if !runner.unknown.is_empty() {
            self.changed.insert(from);
        }
        // A checkpoint that only this process knows would be lost with it.
        progressed.into_iter().for_each(|id| {
            self.write_task(id);
        });
    }

    fn record_finished_runs(&mut self, now: Now, from: NodeId, report: &RunnerReport) {
        let mut finished: Vec<_> = report.finished.iter().collect();
        finished.sort_by_key(|run| run.number);
        for run in finished {
            let Some(runner) = self.runners.get_mut(&from) else {
                return;
            };
            if run.number <= runner.last_recorded_end {
                continue;
            }
            runner.last_recorded_end = run.number;
            let id = TaskId::parse(&run.task);
            let assigned = id.and_then(|id| runner.assigned.get(&id));
            if let Some(task) = id.filter(|_| assigned.is_some_and(|a| a.attempt == run.attempt)) {
                let saved = run.checkpoint.0.clone();
                self.end_run(
                    now,
                    EndedRun {
                        node: from,
                        task,
                        end: run.end,
                        checkpoint: saved,
                    },
                );
            }
            let batch = self.commit_queue.current();
            if let Some(runner) = self.runners.get_mut(&from) {
                runner.ends.push_back(RecordedEnd {
                    number: run.number,
                    batch,
                });
            }
            self.uncommitted_runners.wait_for(batch, from);
            self.changed.insert(from);
        }
        self.observe_ends(from);
    }

    /// What is neither active nor finished, and can no longer start, is over.
    fn end_absent_runs(&mut self, now: Now, from: NodeId, report: &RunnerReport) {
        let own = report.term == self.term;
        let Some(runner) = self.runners.get_mut(&from) else {
            return;
        };
        let mut over = Vec::new();
        for (&task, assignment) in runner
            .assigned
            .iter_mut()
            .filter(|(_, assignment)| !assignment.active)
        {
            let withdrawn_in = assignment
                .withdrawn_in
                .is_some_and(|revision| own && report.revision >= revision);
            if withdrawn_in && (report.starts_resolved || report.lease_expired)
                || report.lease_expired && assignment.seen
            {
                over.push(task);
            } else if report.lease_expired {
                assignment.stop = true;
                self.changed.insert(from);
            }
        }
        over.into_iter()
            .for_each(|task| self.end_lapsed_run(now, from, task));
    }

    /// Ends of a runner whose batches are kept may be observed.
    pub(crate) fn observe_ends(&mut self, node: NodeId) {
        let Some(runner) = self.runners.get_mut(&node) else {
            return;
        };
        let before = runner.observed;
        let commit_queue = &self.commit_queue;
        runner.observe(|batch| commit_queue.is_committed(batch));
        if runner.observed != before {
            self.changed.insert(node);
        }
    }

    /// Runs of runners that cannot have been allowed to go on are over.
    pub(crate) fn expire_unreachable_runners(&mut self, now: Now) {
        let over =
            |runner: &Runner| !runner.assigned.is_empty() && runner.lease_expired(now.steady);
        let nodes: Vec<NodeId> = self
            .runners
            .iter()
            .filter(|(_, runner)| over(runner))
            .map(|(&node, _)| node)
            .collect();
        for node in nodes {
            log::warn!(
                "runner at {node} is out of reach for longer than its lease: its runs are over"
            );
            self.end_all_runs(now, node);
            if let Some(runner) = self.runners.get_mut(&node) {
                runner.known = false;
            }
        }
    }
}

/// What a report is worth.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Admission {
    /// It is newer than any before, of the agent that runs now.
    Newest,
    /// Its agent may be one that is no more; it is answered, and nothing is concluded.
    Unproven,
    /// A newer one has come, or its agent was replaced.
    Late,
}

fn admit(runner: &mut Runner, report: &RunnerReport, term: Term) -> Admission {
    if runner.agent == report.agent {
        let newer = report.sequence > runner.sequence;
        runner.sequence = runner.sequence.max(report.sequence);
        return if newer {
            Admission::Newest
        } else {
            Admission::Late
        };
    }
    if runner.replaced.contains(&report.agent) {
        return Admission::Late;
    }
    if !is_proven_live(runner, report, term) {
        return Admission::Unproven;
    }
    let former = std::mem::replace(&mut runner.agent, report.agent);
    runner.replaced.push(former);
    if runner.replaced.len() > MAX_REPLACED_AGENTS {
        runner.replaced.remove(0);
    }
    runner.candidate = None;
    runner.sequence = report.sequence;
    runner.known = false;
    Admission::Newest
}

/// True where the report was sent under orders that its agent was first answered with. A report that comes late, of an
/// agent that is no more, cannot have been.
fn is_proven_live(runner: &mut Runner, report: &RunnerReport, term: Term) -> bool {
    if let Some(candidate) = runner
        .candidate
        .filter(|candidate| candidate.agent == report.agent)
    {
        return report.term == term && report.revision >= candidate.revision;
    }
    runner.revision += 1;
    runner.candidate = Some(Candidate {
        agent: report.agent,
        revision: runner.revision,
    });
    false
}
