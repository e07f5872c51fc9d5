//! The scenario file: its fields and their checks.

use std::path::Path;

use serde::{Deserialize, Serialize};
use validator::Validate;

/// The largest number of workers that one machine's descriptors and memory bear.
const MAX_WORKERS: u32 = 4_000;
/// No run lasts longer, in seconds.
const MAX_SECONDS: f64 = 1_800.0;

const DEFAULT_DRAIN_S: f64 = 3.0;

fn default_drain_s() -> f64 {
    DEFAULT_DRAIN_S
}

/// What is played.
#[derive(Deserialize, Serialize, Validate, Clone, Debug)]
pub struct Scenario {
    /// The name, also of the files with its results.
    pub name: String,
    /// Seeds the load and everything that is drawn.
    pub seed: u64,
    /// Workers: a runner with its agent each.
    #[validate(range(min = 1, max = MAX_WORKERS))]
    pub workers: u32,
    /// True: each worker's agent is a real `sagetrail-side` process.
    #[serde(default)]
    pub real_sides: bool,
    /// Core processes.
    #[validate(range(min = 1, max = 9))]
    pub cores: u32,
    /// Frontend processes.
    #[validate(range(min = 1, max = 20))]
    pub frontends: u32,
    /// Threads that carry the simulated workers.
    #[validate(range(min = 1, max = 64))]
    pub hollow_threads: u32,
    /// Played, not measured, in seconds.
    #[validate(range(min = 0.0, max = MAX_SECONDS))]
    pub warm_up_s: f64,
    /// Played and measured, in seconds.
    #[validate(range(min = 1.0, max = MAX_SECONDS))]
    pub measured_s: f64,
    /// After the load's end its jobs get so long to end, in seconds.
    #[serde(default = "default_drain_s")]
    #[validate(range(min = 0.0, max = MAX_SECONDS))]
    pub drain_s: f64,
    /// A runner sends a heartbeat about this often unasked, in milliseconds.
    pub heartbeat_ms: u64,
    /// Orders of the operator a second, while measured.
    #[serde(default)]
    pub changes_a_second: f64,
    /// In simulated time.
    #[serde(default)]
    #[validate(nested)]
    pub network: NetworkShape,
    /// What each worker has.
    #[validate(nested)]
    pub worker: WorkerShape,
    /// The kinds of jobs.
    #[serde(default)]
    #[validate(length(min = 1), nested)]
    pub job: Vec<JobShape>,
    /// Faults to inject.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// Regions and delays, in simulated time. Machines are spread over the regions in turn.
#[derive(Deserialize, Serialize, Validate, Clone, Debug)]
#[serde(default)]
pub struct NetworkShape {
    /// Regions.
    #[validate(range(min = 1, max = 9))]
    pub regions: u32,
    /// One way, within a region and between two, in milliseconds.
    #[validate(range(min = 0.0, max = 1000.0))]
    pub near_ms: f64,
    /// Delay between two regions, in milliseconds.
    #[validate(range(min = 0.0, max = 1000.0))]
    pub far_ms: f64,
    /// A sync of a disk, in milliseconds.
    #[validate(range(min = 0.0, max = 1000.0))]
    pub sync_ms: f64,
}

impl Default for NetworkShape {
    fn default() -> NetworkShape {
        NetworkShape {
            regions: 1,
            near_ms: 1.0,
            far_ms: 15.0,
            sync_ms: 6.0,
        }
    }
}

/// What each worker has.
#[derive(Deserialize, Serialize, Validate, Clone, Debug)]
pub struct WorkerShape {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub mem_mb: u64,
    /// Graphics processors.
    #[serde(default)]
    pub gpu: u64,
    /// Workers that share a rack label.
    #[validate(range(min = 1))]
    pub workers_a_rack: u32,
}

/// A kind of job, each with a queue of its own.
#[derive(Deserialize, Serialize, Validate, Clone, Debug)]
pub struct JobShape {
    /// The name, also of its queue.
    pub name: String,
    /// Jobs a second for each 1,000 workers.
    #[validate(range(min = 0.0))]
    pub rate_per_1000: f64,
    /// The priority of its queue.
    pub priority: u32,
    /// Steps, one after the other.
    #[validate(range(min = 1, max = 8))]
    pub steps: u32,
    /// Tasks of each step.
    #[validate(range(min = 1, max = 1024))]
    pub tasks: u32,
    /// What a task asks for: thousandths of a core.
    pub cpu: u64,
    /// Memory of a task, in megabytes.
    pub mem_mb: u64,
    /// Graphics processors of a task.
    #[serde(default)]
    pub gpu: u64,
    /// The mean time of a task, in milliseconds; each job's is drawn from half of it to half more.
    #[validate(range(min = 1))]
    pub work_ms: u64,
    /// Whether the tasks of a step are a gang.
    #[serde(default)]
    pub gang: bool,
    /// Whether a gang is to run in one rack; without meaning for other jobs.
    #[serde(default)]
    pub rack_local: bool,
}

/// What is done to a core process.
#[derive(Deserialize, Serialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// SIGKILL, started again at the end.
    Kill,
    /// SIGSTOP, SIGCONT at the end.
    Freeze,
}

/// Which core process.
#[derive(Deserialize, Serialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "snake_case")]
pub enum FaultTarget {
    /// The core process that is the scheduler.
    Scheduler,
    /// A core process that is not.
    Replica,
    /// All core processes at once.
    All,
}

/// A trouble at a set time.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Fault {
    /// What is done.
    pub kind: FaultKind,
    /// To which process.
    pub target: FaultTarget,
    /// In seconds from the start of the measurement.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
}

impl Scenario {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> anyhow::Result<Scenario> {
        let scenario: Scenario = toml::from_str(&std::fs::read_to_string(path)?)?;
        scenario.validate()?;
        Ok(scenario)
    }

    /// Jobs of a shape a second at this size.
    pub fn rate(&self, shape: &JobShape) -> f64 {
        shape.rate_per_1000 * f64::from(self.workers) / 1000.0
    }

    /// Tasks started a second at this size, when all goes well.
    pub fn starts_a_second(&self) -> f64 {
        self.job
            .iter()
            .map(|shape| self.rate(shape) * f64::from(shape.steps * shape.tasks))
            .sum()
    }
}
