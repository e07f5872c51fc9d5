//! A simulated runner with its agent. It executes its commands only when a test calls for it.

use sagetrail_protocol::agent::{FinishedRun, Resources, RunEnd};
use std::collections::BTreeMap;

/// A runner and the state that its agent reports. Tests set the fields directly.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedRunner {
    /// The runner's ID, a new one for each instance.
    pub instance: String,
    /// Its labels; the last one is its rack.
    pub labels: Vec<String>,
    /// Its total capacity.
    pub capacity: Resources,
    /// The attempt numbers of its active runs, by task.
    pub active: BTreeMap<String, u64>,
    /// Ended runs whose end the scheduler has not acknowledged yet.
    pub finished: Vec<FinishedRun>,
    /// The number of its newest end.
    pub last_end_number: u64,
    /// The newest attempt of each task that has ended in this instance.
    pub ended_attempts: BTreeMap<String, u64>,
    /// Whether it is shutting down.
    pub draining: bool,
    /// The time left while it drains, in milliseconds.
    pub remaining_ms: u64,
    /// Whether its agent reports that its lease has expired and all its runs are over.
    pub lease_expired: bool,
    /// Whether its agent's reports resolve all starts, as soon as the agent has commands of a term.
    pub starts_resolved: bool,
    /// The progress of all its active runs, in hundredths.
    pub percent: u8,
    /// The checkpoint of all its active runs.
    pub checkpoint: String,
    /// The sequence number of its agent's newest report.
    pub sequence: u64,
    /// The incarnation of its agent.
    pub agent: u64,
}

impl SimulatedRunner {
    /// Creates an idle runner of four cores. Runners 2n and 2n + 1 share a rack.
    pub(crate) fn new(number: u32) -> SimulatedRunner {
        SimulatedRunner {
            instance: format!("i-{number}"),
            labels: vec!["a".to_owned(), format!("r1-{}", number / 2)],
            capacity: Resources {
                cpu: 4000,
                mem_mb: 8000,
                gpu: 0,
            },
            active: BTreeMap::new(),
            finished: Vec::new(),
            last_end_number: 0,
            ended_attempts: BTreeMap::new(),
            draining: false,
            remaining_ms: 0,
            lease_expired: false,
            starts_resolved: true,
            percent: 0,
            checkpoint: String::new(),
            sequence: 0,
            agent: 50 + u64::from(number),
        }
    }

    /// Returns true if this attempt or a later one of the task has ended on this instance.
    pub(crate) fn has_ended(&self, task: &str, attempt: u64) -> bool {
        self.ended_attempts
            .get(task)
            .is_some_and(|&ended| attempt <= ended)
    }

    /// Starts a run, unless it has ended here. The agent of a draining runner offers no starts.
    pub(crate) fn start(&mut self, task: &str, attempt: u64) {
        if !self.draining && !self.has_ended(task, attempt) {
            self.active.insert(task.to_owned(), attempt);
        }
    }

    /// Ends an active run. The end is reported until the scheduler acknowledges it.
    pub(crate) fn end(&mut self, task: &str, end: RunEnd) {
        let Some(attempt) = self.active.remove(task) else {
            return;
        };
        self.ended_attempts.insert(task.to_owned(), attempt);
        self.last_end_number += 1;
        self.finished.push(FinishedRun {
            number: self.last_end_number,
            task: task.into(),
            attempt,
            end,
            checkpoint: "".into(),
        });
    }
}
