//! A simulated runner with its agent: it does what its commands say when the test says so.

use sagetrail_protocol::agent::{FinishedRun, Resources, RunEnd};
use std::collections::BTreeMap;

/// A runner and what its agent reports of it. Tests change the fields as they need.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedRunner {
    /// The runner's id.
    pub instance: String,
    /// Its labels; the last one is its rack.
    pub labels: Vec<String>,
    /// All that it has.
    pub capacity: Resources,
    /// The active runs' attempts, by task.
    pub active: BTreeMap<String, u64>,
    /// Ends that have not been observed.
    pub finished: Vec<FinishedRun>,
    /// The number of its newest end.
    pub last_end_number: u64,
    /// The newest attempt of each task that has ended in this instance.
    pub ended_attempts: BTreeMap<String, u64>,
    /// It shuts down.
    pub draining: bool,
    /// While it drains: the time that is left, in milliseconds.
    pub remaining_ms: u64,
    /// Its agent reports that whatever it ran is over.
    pub lease_expired: bool,
    /// Its agent's reports resolve all starts once they are under commands of a term.
    pub starts_resolved: bool,
    /// The progress of all its runs, in hundredths.
    pub percent: u8,
    /// The checkpoint of all its active runs.
    pub checkpoint: String,
    /// The sequence number of its agent's newest report.
    pub sequence: u64,
    /// The incarnation of its agent.
    pub agent: u64,
}

impl SimulatedRunner {
    /// A runner of four cores without work; two of them share a rack.
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

    /// True where this run or a later one of the task has ended here.
    pub(crate) fn has_ended(&self, task: &str, attempt: u64) -> bool {
        self.ended_attempts
            .get(task)
            .is_some_and(|&ended| attempt <= ended)
    }

    /// Ends an active run; its end is reported until it is observed.
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
