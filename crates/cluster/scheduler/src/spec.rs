//! The specification of a job as a client submits it: its steps and the resources of their tasks, parsed and validated.
//!
//! The names of fields are those of the JSON body. The names of the types reach clients in the messages of the parser.

use sagetrail_protocol::agent::Resources;
use serde::Deserialize;

use crate::error::SchedulerError;
use crate::limits::{MAX_SPEC_BYTES, MAX_STAGES, MAX_TASKS, MAX_TIME_MS};

/// The memory that the allocator needs for a text in addition to its length, in bytes.
const TEXT_OVERHEAD_BYTES: usize = 16;

/// One step of a job: a number of tasks that are alike. Missing fields are zero, empty or false.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Stage {
    /// The number of tasks.
    #[serde(default)]
    pub count: u32,
    /// The CPU capacity that each task needs, in thousandths of a core.
    #[serde(default)]
    pub cpu: u64,
    /// The memory that each task needs, in megabytes.
    #[serde(default)]
    pub mem_mb: u64,
    /// The number of GPUs that each task needs.
    #[serde(default)]
    pub gpu: u64,
    /// The estimated time that one task takes, in milliseconds.
    #[serde(default)]
    pub estimate_ms: f64,
    /// The indexes of the earlier steps that must have ended before this step starts.
    #[serde(default)]
    pub depends_on: Vec<u32>,
    /// The tasks save a checkpoint when they are stopped.
    #[serde(default)]
    pub checkpoints: bool,
    /// The tasks form a gang: they start together, with the same attempt number, and the end of one counts for all.
    #[serde(default)]
    pub gang: bool,
    /// The gang is slower if it runs on several racks.
    #[serde(default)]
    pub rack_local: bool,
    /// The labels that a runner must have to take the tasks.
    #[serde(default)]
    pub constraints: Labels,
    /// The rack that holds the tasks' data; empty if they need no particular rack.
    #[serde(default)]
    pub affinity: String,
    /// The maximum number of the step's tasks at one runner; 0 means no limit.
    #[serde(default)]
    pub anti_affinity: u32,
    /// Copies of a task may run in parallel. The field is accepted but not used.
    #[serde(default)]
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    #[serde(default)]
    pub long_running: bool,
}

impl Stage {
    /// Returns the memory that the step's specification takes, in bytes.
    pub(crate) fn heap_bytes(&self) -> usize {
        size_of::<Stage>()
            + self.depends_on.capacity() * size_of::<u32>()
            + self.constraints.heap_bytes()
            + self.affinity.capacity()
    }

    /// Returns the resources that one task needs.
    pub fn resources(&self) -> Resources {
        Resources {
            cpu: self.cpu,
            mem_mb: self.mem_mb,
            gpu: self.gpu,
        }
    }
}

/// A set of labels, given as one label or as a list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Labels {
    /// A single label; an empty text means no label.
    One(String),
    /// A list of labels; empty texts in it are ignored.
    Several(Vec<String>),
}

impl Default for Labels {
    fn default() -> Labels {
        Labels::Several(Vec::new())
    }
}

impl Labels {
    /// Returns the memory that the labels take in addition to `Labels` itself, in bytes.
    pub(crate) fn heap_bytes(&self) -> usize {
        match self {
            Labels::One(label) => label.capacity(),
            Labels::Several(labels) => {
                let texts = labels
                    .iter()
                    .map(|label| label.capacity() + TEXT_OVERHEAD_BYTES);
                texts.sum::<usize>() + labels.capacity() * size_of::<String>()
            }
        }
    }

    /// Returns true if `labels` contains all labels of this set.
    pub fn all_in(&self, labels: &[String]) -> bool {
        let has = |wanted: &String| wanted.is_empty() || labels.contains(wanted);
        match self {
            Labels::One(label) => has(label),
            Labels::Several(several) => several.iter().all(has),
        }
    }
}

/// The specification of a job as submitted.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct JobSpec {
    /// A text that is passed to each run unchanged; at most `MAX_SPEC_BYTES` long.
    #[serde(default)]
    pub spec: String,
    /// The steps of the job, from 1 to `MAX_STAGES` of them.
    pub stages: Vec<Stage>,
    /// The number of occurrences of the job; 0 means one occurrence that is due at once.
    #[serde(default)]
    pub repeat: u32,
    /// The time at which the first occurrence becomes due, in milliseconds since 1970.
    #[serde(default)]
    pub first_run_ms: f64,
    /// The interval between the due times of two occurrences, in milliseconds.
    #[serde(default)]
    pub interval_ms: f64,
    /// If true, all steps count as `long_running`.
    #[serde(default)]
    long_running: bool,
}

impl JobSpec {
    /// Parses and validates the body of a submission.
    ///
    /// # Errors
    ///
    /// Returns the reason why the body is rejected; its text is sent to the client.
    pub fn parse(body: &[u8]) -> Result<JobSpec, SchedulerError> {
        let mut spec: JobSpec = serde_json::from_slice(body)?;
        spec.validate()?;
        if spec.long_running {
            spec.stages
                .iter_mut()
                .for_each(|stage| stage.long_running = true);
        }
        Ok(spec)
    }

    /// Returns the number of occurrences of the job, at least 1.
    pub fn occurrences(&self) -> u32 {
        self.repeat.max(1)
    }

    /// Returns the time at which an occurrence becomes due, in milliseconds since 1970; `None` if it is due at once.
    pub fn due_ms(&self, occurrence: u32) -> Option<i64> {
        (self.repeat > 0)
            .then(|| (self.first_run_ms + f64::from(occurrence) * self.interval_ms) as i64)
    }

    /// Checks the limits of the job.
    fn validate(&self) -> Result<(), SchedulerError> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(SchedulerError::SpecTooLong(self.spec.len()));
        }
        if self.stages.is_empty() {
            return Err(SchedulerError::NoStages);
        }
        if self.stages.len() > MAX_STAGES {
            return Err(SchedulerError::TooManyStages(self.stages.len()));
        }
        let in_range = |value: f64| (0.0..=MAX_TIME_MS).contains(&value);
        if !in_range(self.first_run_ms) || !in_range(self.interval_ms) {
            return Err(SchedulerError::BadTime);
        }
        self.validate_stages()
    }

    /// Checks the limits of the steps, their dependencies and the total number of tasks.
    fn validate_stages(&self) -> Result<(), SchedulerError> {
        let mut tasks = 0;
        for (index, stage) in self.stages.iter().enumerate() {
            if stage.count == 0 {
                return Err(SchedulerError::EmptyStage(index));
            }
            let dependencies = &stage.depends_on;
            if let Some(&dependency) = dependencies.iter().find(|&&on| on as usize >= index) {
                return Err(SchedulerError::BadDependency {
                    stage: index,
                    dependency,
                });
            }
            tasks += u64::from(stage.count) * u64::from(self.occurrences());
        }
        if tasks > MAX_TASKS {
            return Err(SchedulerError::TooManyTasks(tasks));
        }
        Ok(())
    }
}
