//! What a runner is told: every run that is wanted and not there, every run that is there and not wanted.

use crate::ids::TaskId;
use crate::runner::{CommandSet, Runner};
use crate::scheduler::Scheduler;
use sagetrail_protocol::agent::{
    RunnerCommands, RunnerReport, StartCommand, StopCommand, AGENT_LEASE_MS,
};
use sagetrail_protocol::node::Now;
use sagetrail_protocol::{List, Message, NodeId};

/// A runner with work sends its next heartbeat after so long, in milliseconds.
const BUSY_RETRY_MS: u64 = 25;
/// A runner without work sends its next heartbeat after so long, in milliseconds.
const IDLE_RETRY_MS: u64 = 60;

impl Scheduler {
    /// Orders to all runners whose orders have changed.
    pub(crate) fn send_changed_commands(&mut self, now: Now) {
        for node in std::mem::take(&mut self.changed) {
            let Some(runner) = self.runners.get(&node).filter(|runner| runner.agent != 0) else {
                continue;
            };
            if self.wanted(runner) != runner.sent_commands {
                self.send_commands(now, node, None);
            }
        }
    }

    /// Orders that answer a report and renew the agent's lease.
    pub(crate) fn answer_report(&mut self, now: Now, node: NodeId, report: &RunnerReport) {
        self.changed.remove(&node);
        self.send_commands(now, node, Some(report));
    }

    fn wanted(&self, runner: &Runner) -> CommandSet {
        let mut wanted = CommandSet {
            instance: runner.instance.clone(),
            observed: runner.observed,
            stop: runner.unknown.clone(),
            ..CommandSet::default()
        };
        for (&task, assignment) in &runner.assigned {
            let attempt = assignment.attempt;
            if assignment.stop && assignment.active {
                wanted.stop.push(StopCommand {
                    task: task.to_string().into(),
                    attempt,
                });
            } else if !assignment.stop
                && !assignment.active
                && self.commit_queue.is_committed(assignment.batch)
            {
                wanted.start.insert((task, attempt));
            }
        }
        wanted
    }

    fn send_commands(&mut self, now: Now, node: NodeId, report: Option<&RunnerReport>) {
        let Some(runner) = self.runners.get(&node) else {
            return;
        };
        let wanted = self.wanted(runner);
        let start = wanted
            .start
            .iter()
            .filter_map(|&(task, attempt)| self.start_order(task, attempt))
            .collect();
        let Some(runner) = self.runners.get_mut(&node) else {
            return;
        };
        if wanted != runner.sent_commands || runner.revision == 0 {
            runner.revision += 1;
            runner.sent_commands = wanted;
        }
        let revision = runner.revision;
        let unwanted = runner
            .assigned
            .values_mut()
            .filter(|assignment| assignment.stop && !assignment.active);
        unwanted.for_each(|assignment| {
            assignment.withdrawn_in.get_or_insert(revision);
        });
        if report.is_some() {
            runner.granted = now.steady;
        }
        let busy = !runner.assigned.is_empty();
        let orders = RunnerCommands {
            term: self.term,
            revision,
            agent: report.map_or(0, |report| report.agent),
            sent_at: report.map_or(0, |report| report.sent_at),
            lease_ms: AGENT_LEASE_MS,
            instance: runner.instance.as_str().into(),
            start,
            stop: runner.sent_commands.stop.clone().into(),
            observed: runner.sent_commands.observed,
            retry_after_ms: if busy { BUSY_RETRY_MS } else { IDLE_RETRY_MS },
        };
        self.commit_queue
            .send(node, Message::RunnerCommands(orders));
    }

    /// At the start of a term: tells every agent that may have runs who schedules now, and withdraws all starts
    /// of earlier terms.
    pub(crate) fn announce_term(&mut self) {
        for (&node, runner) in &self.runners {
            let orders = RunnerCommands {
                term: self.term,
                revision: 0,
                agent: 0,
                sent_at: 0,
                lease_ms: 0,
                instance: runner.instance.as_str().into(),
                start: List::default(),
                stop: List::default(),
                observed: 0,
                retry_after_ms: BUSY_RETRY_MS,
            };
            self.commit_queue
                .send(node, Message::RunnerCommands(orders));
        }
    }

    fn start_order(&self, task: TaskId, attempt: u64) -> Option<StartCommand> {
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.spec.as_ref()?;
        let step = job.step(task.step)?;
        let gang = job.stage(task.step)?.gang;
        let saved = match gang {
            true => step.gang_checkpoint(),
            false => step.tasks.get(task.index as usize)?.checkpoint.clone(),
        };
        Some(StartCommand {
            task: task.to_string().into(),
            attempt,
            spec: spec.spec.as_str().into(),
            checkpoint: saved.into(),
        })
    }
}
