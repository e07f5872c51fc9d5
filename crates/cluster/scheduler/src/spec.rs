//! What a client submits: a job's steps and what their tasks ask for, parsed and validated.
//!
//! Field names are those of the JSON body. The names of the types reach clients in the parser's messages.

use sagetrail_protocol::agent::Resources;
use serde::Deserialize;

use crate::error::SchedulerError;
use crate::limits::{MAX_SPEC_BYTES, MAX_STAGES, MAX_TASKS, MAX_TIME_MS};

/// A step: tasks that are alike. Missing fields are zero, empty or false.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Stage {
    /// How many tasks.
    #[serde(default)]
    pub count: u32,
    /// Thousandths of a core for each task.
    #[serde(default)]
    pub cpu: u64,
    /// Megabytes of memory for each task.
    #[serde(default)]
    pub mem_mb: u64,
    /// Graphics processors for each task.
    #[serde(default)]
    pub gpu: u64,
    /// An estimate of how long a task takes, in milliseconds.
    #[serde(default)]
    pub estimate_ms: f64,
    /// Indexes of earlier steps that must have ended.
    #[serde(default)]
    pub depends_on: Vec<u32>,
    /// The tasks save a checkpoint when they are stopped.
    #[serde(default)]
    pub checkpoints: bool,
    /// The tasks start together, with one attempt number, and one end counts for all.
    #[serde(default)]
    pub gang: bool,
    /// The gang is slower when it is spread over racks.
    #[serde(default)]
    pub rack_local: bool,
    /// Labels that a runner must have.
    #[serde(default)]
    pub constraints: Labels,
    /// The rack that holds the data; empty for none.
    #[serde(default)]
    pub affinity: String,
    /// The most tasks of the step at one runner; 0 for any number.
    #[serde(default)]
    pub anti_affinity: u32,
    /// Copies may run in parallel. Accepted, and not used.
    #[serde(default)]
    pub speculative: bool,
    /// The tasks go on until the job is cancelled.
    #[serde(default)]
    pub long_running: bool,
}

impl Stage {
    /// What one task asks for.
    pub fn resources(&self) -> Resources {
        Resources {
            cpu: self.cpu,
            mem_mb: self.mem_mb,
            gpu: self.gpu,
        }
    }
}

/// One label, or several.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Labels {
    /// A single label; an empty one is no label.
    One(String),
    /// A list of labels.
    Several(Vec<String>),
}

impl Default for Labels {
    fn default() -> Labels {
        Labels::Several(Vec::new())
    }
}

impl Labels {
    /// True where `labels` holds all of these.
    pub fn all_in(&self, labels: &[String]) -> bool {
        let has = |wanted: &String| wanted.is_empty() || labels.contains(wanted);
        match self {
            Labels::One(label) => has(label),
            Labels::Several(several) => several.iter().all(has),
        }
    }
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct JobSpec {
    /// Handed to each run as it is, at most `MAX_SPEC_BYTES` long.
    #[serde(default)]
    pub spec: String,
    /// The steps, 1 to `MAX_STAGES`.
    pub stages: Vec<Stage>,
    /// How many occurrences the job has; 0 for one, at once.
    #[serde(default)]
    pub repeat: u32,
    /// When the first occurrence falls due, in milliseconds since 1970.
    #[serde(default)]
    pub first_run_ms: f64,
    /// From one occurrence to the next, in milliseconds.
    #[serde(default)]
    pub interval_ms: f64,
    /// True for all steps at once.
    #[serde(default)]
    long_running: bool,
}

impl JobSpec {
    /// Parses and validates a body.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the body; the text is for the client.
    pub fn parse(body: &[u8]) -> Result<JobSpec, SchedulerError> {
        let mut spec: JobSpec = serde_json::from_slice(body)?;
        spec.check()?;
        if spec.long_running {
            spec.stages
                .iter_mut()
                .for_each(|stage| stage.long_running = true);
        }
        Ok(spec)
    }

    /// How many occurrences the job has, at least 1.
    pub fn occurrences(&self) -> u32 {
        self.repeat.max(1)
    }

    /// When an occurrence falls due, in milliseconds since 1970; `None` for at once.
    pub fn due_ms(&self, occurrence: u32) -> Option<i64> {
        (self.repeat > 0)
            .then(|| (self.first_run_ms + f64::from(occurrence) * self.interval_ms) as i64)
    }

    fn check(&self) -> Result<(), SchedulerError> {
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
        self.check_stages()
    }

    fn check_stages(&self) -> Result<(), SchedulerError> {
        let mut tasks = 0;
        for (index, stage) in self.stages.iter().enumerate() {
            if stage.count == 0 {
                return Err(SchedulerError::EmptyStage(index));
            }
            if let Some(&on) = stage.depends_on.iter().find(|&&on| on as usize >= index) {
                return Err(SchedulerError::BadDependency { stage: index, on });
            }
            tasks += u64::from(stage.count) * u64::from(self.occurrences());
        }
        if tasks > MAX_TASKS {
            return Err(SchedulerError::TooManyTasks(tasks));
        }
        Ok(())
    }
}
