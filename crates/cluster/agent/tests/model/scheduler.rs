//! A scheduler that follows the design: it gives up a run only if the run is certainly over by invariant 3 of the
//! design.

use sagetrail_protocol::agent::{
    RunnerCommands, RunnerReport, StartCommand, StopCommand, AGENT_LEASE_MS,
};
use sagetrail_protocol::List;

/// The time without an extension after which an agent's lease has expired on any clock, in milliseconds.
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

/// The identity of a report, which consists of the agent's incarnation and the report's sequence number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
struct ReportId {
    agent: u64,
    sequence: u64,
}

pub(crate) struct Scheduler {
    pub term: u64,
    revision: u64,
    assignments: Vec<Assignment>,
    /// The runs that the scheduler has given up because they are certainly over.
    pub given_up: Vec<Run>,
    attempts: u64,
    /// The runner's instance in the newest report, empty if there is none.
    instance: String,
    active: Vec<Run>,
    /// The highest reported number of an ended run.
    observed: u64,
    last_extension_ms: u64,
    /// The newest commands.
    newest_commands: Option<RunnerCommands>,
    /// Whether the commands of this term are resolved.
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
            newest_commands: None,
            is_resolved: false,
            newest_report: ReportId::default(),
        }
    }

    /// Elects another process as the scheduler. It knows the assignments but has received no report from the agent.
    pub(crate) fn elect(&mut self, now_ms: u64) {
        self.term += 1;
        self.revision = 0;
        self.newest_commands = None;
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

    /// Marks a run as no longer wanted. The commands without this run get a new revision.
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

    /// Receives a report and returns the commands that answer it. Only a newer report extends the lease.
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
            return; // A new agent may report an instance that no longer exists.
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

    /// Returns the newest commands, which answer no report. Commands that differ from the previous ones get a new
    /// revision.
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
        if self.newest_commands.as_ref() != Some(&commands) {
            self.revision += 1;
            commands.revision = self.revision;
            self.newest_commands = Some(commands.clone());
        }
        commands
    }

    /// Returns start commands for the wanted runs of the instance that are not active.
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

    /// Returns stop commands for the active runs that are not wanted.
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
