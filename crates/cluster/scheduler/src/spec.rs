//! What a client hands in: a job's steps and what their tasks ask for, read and checked.

use sagetrail_protocol::agent::Resources;
use serde::Deserialize;
use std::fmt;

/// The longest `spec`, in bytes.
pub const MAX_SPEC_BYTES: usize = 4_000;
/// The most steps a job may have.
pub const MAX_STAGES: usize = 256;
/// The most tasks a job may have, over all its steps and times.
pub const MAX_TASKS: u64 = 20_000;

/// A step: tasks that are alike.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Stage {
    /// How many tasks.
    #[serde(default)]
    pub count: u32,
    /// Thousandths of a core for each task.
    #[serde(default)]
    pub cpu: u64,
    #[serde(default)]
    pub mem_mb: u64,
    #[serde(default)]
    pub gpu: u64,
    /// A rough guess of how long a task takes, in milliseconds.
    #[serde(default)]
    pub estimate_ms: f64,
    /// Earlier steps that must have ended.
    #[serde(default)]
    pub depends_on: Vec<u32>,
    /// The tasks save their progress.
    #[serde(default)]
    pub checkpoints: bool,
    /// The tasks run only together.
    #[serde(default)]
    pub gang: bool,
    /// Spread over more than one rack, the tasks of a gang are slower.
    #[serde(default)]
    pub rack_local: bool,
    /// Labels that the runner must have.
    #[serde(default)]
    pub constraints: Labels,
    /// The rack that holds the data; empty for none.
    #[serde(default)]
    pub affinity: String,
    /// One runner carries at most so many tasks of the step; 0 for any number.
    #[serde(default)]
    pub anti_affinity: u32,
    /// Copies may run in parallel.
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
    One(String),
    Several(Vec<String>),
}

impl Default for Labels {
    fn default() -> Labels {
        Labels::Several(Vec::new())
    }
}

impl Labels {
    /// True where `labels` has all of these.
    pub fn all_in(&self, labels: &[String]) -> bool {
        let has = |wanted: &String| wanted.is_empty() || labels.contains(wanted);
        match self {
            Labels::One(label) => has(label),
            Labels::Several(several) => several.iter().all(has),
        }
    }
}

/// A job as handed in.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct JobSpec {
    #[serde(default)]
    pub spec: String,
    pub stages: Vec<Stage>,
    /// How many times the steps run; 0 for once, at once.
    #[serde(default)]
    pub repeat: u32,
    /// When the first time falls due, in milliseconds since 1970.
    #[serde(default)]
    pub first_run_ms: f64,
    /// From one time to the next, in milliseconds.
    #[serde(default)]
    pub interval_ms: f64,
    /// The same as in each step.
    #[serde(default)]
    long_running: bool,
}

/// Why a job is not taken.
#[derive(Clone, Debug, PartialEq)]
pub enum SpecError {
    /// The body is not JSON of the right shape.
    Unreadable(String),
    /// `spec` is longer than `MAX_SPEC_BYTES`.
    SpecTooLong(usize),
    NoStages,
    TooManyStages(usize),
    /// A step without tasks.
    EmptyStage(usize),
    TooManyTasks(u64),
    /// A step waits for itself, a later one or none at all.
    BadDependency {
        stage: usize,
        on: u32,
    },
    /// A time that is no number within range.
    BadTime,
}

impl fmt::Display for SpecError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SpecError::Unreadable(why) => write!(formatter, "unreadable: {why}"),
            SpecError::SpecTooLong(bytes) => {
                write!(formatter, "spec: {bytes} bytes, at most {MAX_SPEC_BYTES}")
            }
            SpecError::NoStages => write!(formatter, "stages: none"),
            SpecError::TooManyStages(count) => {
                write!(formatter, "stages: {count}, at most {MAX_STAGES}")
            }
            SpecError::EmptyStage(stage) => {
                write!(formatter, "stages[{stage}].count: must be above 0")
            }
            SpecError::TooManyTasks(count) => {
                write!(formatter, "{count} tasks, at most {MAX_TASKS}")
            }
            SpecError::BadDependency { stage, on } => {
                write!(
                    formatter,
                    "stages[{stage}].depends_on: {on} is no earlier step"
                )
            }
            SpecError::BadTime => write!(formatter, "first_run_ms or interval_ms: out of range"),
        }
    }
}

impl std::error::Error for SpecError {}

/// The latest time of day taken, in milliseconds since 1970.
const MAX_TIME_MS: f64 = 1e14;

impl JobSpec {
    /// Reads and checks a body.
    pub fn parse(body: &[u8]) -> Result<JobSpec, SpecError> {
        let mut spec: JobSpec = serde_json::from_slice(body)
            .map_err(|error| SpecError::Unreadable(error.to_string()))?;
        spec.check()?;
        if spec.long_running {
            spec.stages
                .iter_mut()
                .for_each(|stage| stage.long_running = true);
        }
        Ok(spec)
    }

    /// How many times the steps run.
    pub fn times(&self) -> u32 {
        self.repeat.max(1)
    }

    /// When a time falls due, in milliseconds since 1970; `None` for at once.
    pub fn due_ms(&self, time: u32) -> Option<i64> {
        (self.repeat > 0).then(|| (self.first_run_ms + f64::from(time) * self.interval_ms) as i64)
    }

    fn check(&self) -> Result<(), SpecError> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(SpecError::SpecTooLong(self.spec.len()));
        }
        if self.stages.is_empty() {
            return Err(SpecError::NoStages);
        }
        if self.stages.len() > MAX_STAGES {
            return Err(SpecError::TooManyStages(self.stages.len()));
        }
        let in_range = |value: f64| (0.0..=MAX_TIME_MS).contains(&value);
        if !in_range(self.first_run_ms) || !in_range(self.interval_ms) {
            return Err(SpecError::BadTime);
        }
        let mut tasks = 0;
        for (number, stage) in self.stages.iter().enumerate() {
            if stage.count == 0 {
                return Err(SpecError::EmptyStage(number));
            }
            if let Some(&on) = stage.depends_on.iter().find(|&&on| on as usize >= number) {
                return Err(SpecError::BadDependency { stage: number, on });
            }
            tasks += u64::from(stage.count) * u64::from(self.times());
        }
        if tasks > MAX_TASKS {
            return Err(SpecError::TooManyTasks(tasks));
        }
        Ok(())
    }
}
