//! A scheduler as designed: it gives a run up only when invariant 3 of the design says that it is over for sure.

use sagetrail_protocol::agent::{
    RunnerCommands, RunnerReport, StartCommand, StopCommand, AGENT_LEASE_MS,
};
use sagetrail_protocol::List;

/// Time without an extension after which an agent's lease has expired by any clock, in milliseconds.
const LEASE_EXPIRY_MS: u64 = AGENT_LEASE_MS * 103 / 100 + 500;

/// An attempt at a task.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Run {
    pub task: String,
    pub attempt: u64,
}

/// A run that is assigned to an instance of the runner.
struct Assignment {
    run: Run,
    instance: String,
    is_wanted: bool,
}

/// Identifies a report: the agent's incarnation, and the report's number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
struct ReportId {
    agent: u64,
    sequence: u64,
}

pub(crate) struct Scheduler {
    pub term: u64,
    revision: u64,
    assignments: Vec<Assignment>,
    /// Runs that are over for sure.
    pub given_up: Vec<Run>,
    attempts: u64,
    /// The runner's instance by the newest report, empty for none.
    instance: String,
    active: Vec<Run>,
    /// The highest number of an end that was reported.
    observed: u64,
    last_extension_ms: u64,
    /// The newest commands.
    content: Option<RunnerCommands>,
    /// The agent's commands of this term are resolved.
    is_resolved: bool,
    newest_report: ReportId,
}

impl Scheduler {
    pub(crate) fn new() -> Scheduler {
        Scheduler {
            term: 1,
            revision: 0,
            assignments: Vec::new(),
            given_up: Vec::new(),
            attempts: 0,
            instance: String::new(),
            active: Vec::new(),
            observed: 0,
            last_extension_ms: 0,
            content: None,
            is_resolved: false,
            newest_report: ReportId::default(),
        }
    }

    /// Another process is elected: it knows the assignments and nothing of the agent.
    pub(crate) fn elect(&mut self, now_ms: u64) {
        self.term += 1;
        self.revision = 0;
        self.content = None;
        self.is_resolved = false;
        self.last_extension_ms = now_ms;
        self.active.clear();
        self.observed = 0;
    }

    pub(crate) fn assign(&mut self, task: &str) {
        let is_assigned = self
            .assignments
            .iter()
            .any(|assignment| assignment.run.task == task);
        if is_assigned || !self.is_resolved || self.instance.is_empty() {
            return;
        }
        self.attempts += 1;
        self.assignments.push(Assignment {
            run: Run {
                task: task.to_owned(),
                attempt: self.attempts,
            },
            instance: self.instance.clone(),
            is_wanted: true,
        });
    }

    /// A run is no longer wanted; commands without it get a revision of their own.
    pub(crate) fn withdraw(&mut self, task: &str) {
        for assignment in &mut self.assignments {
            if assignment.run.task == task {
                assignment.is_wanted = false;
            }
        }
        self.commands();
    }

    pub(crate) fn tick(&mut self, now_ms: u64) {
        if now_ms > self.last_extension_ms + LEASE_EXPIRY_MS {
            self.give_up(|_| true);
        }
    }

    fn give_up(&mut self, is_over: impl Fn(&Assignment) -> bool) {
        let over = self
            .assignments
            .extract_if(.., |assignment| is_over(assignment));
        self.given_up.extend(over.map(|assignment| assignment.run));
    }

    /// Receives a report; the commands that answer it. Only a newer report extends the lease.
    pub(crate) fn answer(&mut self, now_ms: u64, report: &RunnerReport) -> RunnerCommands {
        let id = ReportId {
            agent: report.agent,
            sequence: report.sequence,
        };
        let is_newer = id > self.newest_report;
        if is_newer {
            self.newest_report = id;
            self.learn(report);
        }
        let mut commands = self.commands();
        if is_newer {
            commands.agent = report.agent;
            commands.sent_at = report.sent_at;
            self.last_extension_ms = now_ms;
        }
        commands
    }

    fn learn(&mut self, report: &RunnerReport) {
        if !report.has_runner {
            if report.lease_expired {
                self.give_up(|_| true);
            }
            return;
        }
        let instance = report.instance.to_string();
        let is_other = !self.instance.is_empty() && instance != self.instance;
        let is_current =
            report.term == self.term && (report.starts_resolved || report.lease_expired);
        if is_other && !is_current {
            return; // A new agent may know of an instance that is no more.
        }
        if instance != self.instance {
            self.observed = 0;
        }
        self.learn_runs(instance, report);
        if report.lease_expired {
            self.give_up(|_| true);
        }
        self.is_resolved = report.starts_resolved && report.term == self.term;
        if self.is_resolved && report.revision == self.revision {
            let active = self.active.clone();
            self.give_up(|assignment| !assignment.is_wanted && !active.contains(&assignment.run));
        }
    }

    fn learn_runs(&mut self, instance: String, report: &RunnerReport) {
        let active = report.active.iter().map(|run| Run {
            task: run.task.to_string(),
            attempt: run.attempt,
        });
        self.active = active.collect();
        self.give_up(|assignment| assignment.instance != instance);
        self.instance = instance;
        for end in report.finished.iter() {
            self.give_up(|assignment| {
                *assignment.run.task == *end.task && assignment.run.attempt == end.attempt
            });
            self.observed = self.observed.max(end.number);
        }
    }

    /// The newest commands, unasked; a change gets a new revision.
    pub(crate) fn commands(&mut self) -> RunnerCommands {
        let mut commands = RunnerCommands {
            term: self.term,
            revision: self.revision,
            agent: 0,
            sent_at: 0,
            lease_ms: AGENT_LEASE_MS,
            instance: self.instance.clone().into(),
            start: List(self.starts()),
            stop: List(self.stops()),
            observed: self.observed,
            retry_after_ms: 0,
        };
        if self.content.as_ref() != Some(&commands) {
            self.revision += 1;
            commands.revision = self.revision;
            self.content = Some(commands.clone());
        }
        commands
    }

    /// The wanted runs of the instance that are not active.
    fn starts(&self) -> Vec<StartCommand> {
        let wanted = self.assignments.iter().filter(|assignment| {
            assignment.is_wanted
                && assignment.instance == self.instance
                && !self.active.contains(&assignment.run)
        });
        wanted
            .map(|assignment| StartCommand {
                task: assignment.run.task.clone().into(),
                attempt: assignment.run.attempt,
                spec: "".into(),
                checkpoint: "".into(),
            })
            .collect()
    }

    /// The active runs that are not wanted.
    fn stops(&self) -> Vec<StopCommand> {
        let is_wanted = |run: &Run| {
            self.assignments
                .iter()
                .any(|assignment| assignment.is_wanted && assignment.run == *run)
        };
        let unwanted = self.active.iter().filter(|run| !is_wanted(run));
        unwanted
            .map(|run| StopCommand {
                task: run.task.clone().into(),
                attempt: run.attempt,
            })
            .collect()
    }
}
