//! A scheduler by the design note: it gives a run up only when invariant 3 says that it is over for sure.

use sagetrail_protocol::agent::{
    RunnerCommands, RunnerReport, StartCommand, StopCommand, AGENT_LEASE_MS,
};
use sagetrail_protocol::List;

/// After so long without an extension an agent's lease is over by any clock, in milliseconds.
const LEASE_OVER_MS: u64 = AGENT_LEASE_MS * 103 / 100 + 500;

pub(crate) struct Assignment {
    pub task: String,
    pub attempt: u64,
    pub instance: String,
    pub wanted: bool,
}

pub(crate) struct Scheduler {
    pub term: u64,
    revision: u64,
    pub assignments: Vec<Assignment>,
    /// Runs that are over for sure: (task, attempt).
    pub over: Vec<(String, u64)>,
    pub attempts: u64,
    instance: String,
    active: Vec<(String, u64)>,
    observed: u64,
    last_extension_ms: u64,
    content: Option<RunnerCommands>,
    settled: bool,
    newest: (u64, u64),
}

impl Scheduler {
    pub(crate) fn new() -> Scheduler {
        Scheduler {
            term: 1,
            revision: 0,
            assignments: Vec::new(),
            over: Vec::new(),
            attempts: 0,
            instance: String::new(),
            active: Vec::new(),
            observed: 0,
            last_extension_ms: 0,
            content: None,
            settled: false,
            newest: (0, 0),
        }
    }

    /// Another process is elected: it knows the assignments and nothing of the agent.
    pub(crate) fn elect(&mut self, now_ms: u64) {
        self.term += 1;
        self.revision = 0;
        self.content = None;
        self.settled = false;
        self.last_extension_ms = now_ms;
        self.active.clear();
        self.observed = 0;
    }

    pub(crate) fn assign(&mut self, task: &str) {
        let taken = self
            .assignments
            .iter()
            .any(|assignment| assignment.task == task);
        if taken || !self.settled || self.instance.is_empty() {
            return;
        }
        self.attempts += 1;
        let instance = self.instance.clone();
        let task = task.to_owned();
        self.assignments.push(Assignment {
            task,
            attempt: self.attempts,
            instance,
            wanted: true,
        });
    }

    /// A run is no longer wanted; orders without it get a revision of their own.
    pub(crate) fn withdraw(&mut self, task: &str) {
        let runs = self.assignments.iter_mut().filter(|run| run.task == task);
        runs.for_each(|run| run.wanted = false);
        self.orders();
    }

    pub(crate) fn tick(&mut self, now_ms: u64) {
        if now_ms > self.last_extension_ms + LEASE_OVER_MS {
            self.give_up(|_| true);
        }
    }

    fn give_up(&mut self, is_over: impl Fn(&Assignment) -> bool) {
        let over = self
            .assignments
            .extract_if(.., |assignment| is_over(assignment));
        self.over
            .extend(over.map(|assignment| (assignment.task, assignment.attempt)));
    }

    /// Takes a report; what answers it.
    pub(crate) fn report(&mut self, now_ms: u64, report: &RunnerReport) -> RunnerCommands {
        let name = (report.agent, report.sequence);
        let newer = name > self.newest;
        if newer {
            self.newest = name;
            self.learn(report);
        }
        let mut orders = self.orders();
        if newer {
            orders.agent = report.agent;
            orders.sent_at = report.sent_at;
            self.last_extension_ms = now_ms;
        }
        orders
    }

    fn learn(&mut self, report: &RunnerReport) {
        if !report.has_runner {
            if report.lease_expired {
                self.give_up(|_| true);
            }
            return;
        }
        let instance = report.instance.to_string();
        let other = !self.instance.is_empty() && instance != self.instance;
        let current = report.term == self.term && (report.starts_resolved || report.lease_expired);
        if other && !current {
            return; // A new agent may have been told by an instance that is no more.
        }
        if instance != self.instance {
            self.observed = 0;
        }
        self.instance = instance.clone();
        self.active = report
            .active
            .iter()
            .map(|run| (run.task.to_string(), run.attempt))
            .collect();
        self.give_up(|assignment| assignment.instance != instance);
        for end in report.finished.iter() {
            self.give_up(|run| *run.task == *end.task && run.attempt == end.attempt);
            self.observed = self.observed.max(end.number);
        }
        if report.lease_expired {
            self.give_up(|_| true);
        }
        self.settled = report.starts_resolved && report.term == self.term;
        if self.settled && report.revision == self.revision {
            let active = self.active.clone();
            let listed = |run: &Assignment| active.contains(&(run.task.clone(), run.attempt));
            self.give_up(|assignment| !assignment.wanted && !listed(assignment));
        }
    }

    /// The newest orders, unasked.
    pub(crate) fn orders(&mut self) -> RunnerCommands {
        let listed = |run: &&Assignment| self.active.contains(&(run.task.clone(), run.attempt));
        let wanted = self
            .assignments
            .iter()
            .filter(|run| run.wanted && run.instance == self.instance);
        let start = wanted.filter(|run| !listed(run)).map(|run| StartCommand {
            task: run.task.clone().into(),
            attempt: run.attempt,
            spec: "".into(),
            checkpoint: "".into(),
        });
        let kept = |task: &str, attempt: u64| {
            self.assignments
                .iter()
                .any(|run| run.task == task && run.attempt == attempt && run.wanted)
        };
        let stop = self
            .active
            .iter()
            .filter(|(task, attempt)| !kept(task, *attempt));
        let stop = stop.map(|(task, attempt)| StopCommand {
            task: task.clone().into(),
            attempt: *attempt,
        });
        let mut orders = RunnerCommands {
            term: self.term,
            revision: self.revision,
            agent: 0,
            sent_at: 0,
            lease_ms: AGENT_LEASE_MS,
            instance: self.instance.clone().into(),
            start: List(start.collect()),
            stop: List(stop.collect()),
            observed: self.observed,
            retry_after_ms: 0,
        };
        if self.content.as_ref() != Some(&orders) {
            self.revision += 1;
            orders.revision = self.revision;
            self.content = Some(orders.clone());
        }
        orders
    }
}
