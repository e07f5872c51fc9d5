//! Commands to runners: start every assigned run whose record is committed and that is not active yet, stop every
//! active run that is not wanted.

use sagetrail_protocol::agent::{RunnerCommands, RunnerReport, StopCommand, AGENT_LEASE_MS};
use sagetrail_protocol::node::Now;
use sagetrail_protocol::{List, Message, NodeId};

use super::start_commands::WantedStart;
use super::Scheduler;
use crate::runner::{CommandSet, CommandedStart, Runner};

/// The time until the next heartbeat of a runner with assigned runs, in milliseconds.
const BUSY_HEARTBEAT_MS: u64 = 25;
/// The time until the next heartbeat of a runner without assigned runs, in milliseconds.
const IDLE_HEARTBEAT_MS: u64 = 60;

impl Scheduler {
    /// Sends commands to all runners whose wanted commands differ from those sent last.
    pub(super) fn send_changed_commands(&mut self, now: Now) {
        for node in self.runners.take_changed() {
            let Some(runner) = self.runners.get(node) else {
                continue;
            };
            let has_session = runner.session.is_established();
            if has_session && self.wanted_commands(runner) != runner.sent_commands {
                self.send_commands(now, node, None);
            }
        }
    }

    /// Answers a report with commands. The answer renews the agent's lease.
    pub(super) fn answer_report(&mut self, now: Now, node: NodeId, report: &RunnerReport) {
        self.runners.clear_changed(node);
        self.send_commands(now, node, Some(report));
    }

    /// Returns the commands that a runner should have now, by its assignments and its newest report.
    fn wanted_commands(&self, runner: &Runner) -> CommandSet {
        let mut wanted = CommandSet {
            instance: runner.instance.clone(),
            observed: runner.last_observed_end,
            stop: runner.unknown_runs.clone(),
            ..CommandSet::default()
        };
        let mut starts = Vec::new();
        for (&task, assignment) in &runner.assigned {
            let attempt = assignment.attempt;
            match (assignment.unwanted, assignment.active) {
                (true, true) => wanted.stop.push(StopCommand {
                    task: task.to_string().into(),
                    attempt,
                }),
                (false, false) if self.commits.is_committed(assignment.batch) => {
                    starts.push(WantedStart {
                        start: CommandedStart { task, attempt },
                        assigned_at: assignment.assigned_at,
                    });
                }
                _ => {}
            }
        }
        wanted.start = self.select_starts(starts);
        wanted
    }

    /// Sends the complete set of a runner's commands. `report` is the report that they answer; only an answer renews
    /// the lease.
    fn send_commands(&mut self, now: Now, node: NodeId, report: Option<&RunnerReport>) {
        let Some(runner) = self.runners.get(node) else {
            return;
        };
        let wanted = self.wanted_commands(runner);
        let start = wanted
            .start
            .iter()
            .filter_map(|&start| self.start_command(start))
            .collect();
        let Some(runner) = self.runners.get_mut(node) else {
            return;
        };
        let revision = store_commands(runner, wanted);
        if report.is_some() {
            runner.lease_granted_at = now.steady;
        }
        let commands = RunnerCommands {
            term: self.term,
            revision,
            agent: report.map_or(0, |report| report.agent),
            sent_at: report.map_or(0, |report| report.sent_at),
            lease_ms: AGENT_LEASE_MS,
            instance: runner.instance.as_str().into(),
            start,
            stop: runner.sent_commands.stop.clone().into(),
            observed: runner.sent_commands.observed,
            retry_after_ms: if runner.assigned.is_empty() {
                IDLE_HEARTBEAT_MS
            } else {
                BUSY_HEARTBEAT_MS
            },
        };
        self.commits.send(node, Message::RunnerCommands(commands));
    }

    /// Called at the start of a term: tells every agent that may have runs which process is the scheduler now, and
    /// withdraws all starts commanded in earlier terms.
    pub(super) fn announce_term(&mut self) {
        for (node, runner) in self.runners.iter() {
            let commands = RunnerCommands {
                term: self.term,
                revision: 0,
                agent: 0,
                sent_at: 0,
                lease_ms: 0,
                instance: runner.instance.as_str().into(),
                start: List::default(),
                stop: List::default(),
                observed: 0,
                retry_after_ms: BUSY_HEARTBEAT_MS,
            };
            self.commits.send(node, Message::RunnerCommands(commands));
        }
    }
}

/// Stores the commands as the runner's newest and returns their revision. Marks unwanted runs that are not active as
/// withdrawn in this revision, unless they were withdrawn earlier.
fn store_commands(runner: &mut Runner, wanted: CommandSet) -> u64 {
    if wanted != runner.sent_commands || runner.revision == 0 {
        runner.revision += 1;
        runner.sent_commands = wanted;
    }
    let revision = runner.revision;
    for assignment in runner.assigned.values_mut() {
        if assignment.unwanted && !assignment.active {
            assignment.withdrawn_in_revision.get_or_insert(revision);
        }
    }
    revision
}
