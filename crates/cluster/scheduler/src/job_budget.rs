//! The memory and the disk that accepted jobs may take, and how much each of them takes.
//!
//! Every core process holds the records of all jobs in memory and on disk, and the leader holds the jobs' state in
//! addition. Jobs are rejected before these would outgrow a core machine, because each later leader would have to hold
//! the same jobs.

use std::ops::{Add, Sub};

use crate::spec::{JobSpec, Stage};

const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// The memory that a core process needs without any job, in bytes: the program, connections, messages under way and
/// batches that other replicas lack.
const FIXED_MEMORY_BYTES: f64 = 64.0 * BYTES_PER_MB;
/// The share of the remaining memory that jobs may take. The rest is for copies of the records: a snapshot that is sent,
/// or one that is received and written to the disk.
const MEMORY_SHARE: f64 = 0.5;
/// The share of a small memory that jobs may take although the fixed part leaves less.
const MIN_MEMORY_SHARE: f64 = 0.125;
/// The share of the disk that records may take. The database file is up to twice as long as its records, and longer
/// while all of them are replaced.
const DISK_SHARE: f64 = 0.25;
/// The share of the budget up to which jobs are accepted. The rest is for occurrences that fall due while earlier ones
/// are in progress, and for checkpoints.
const ACCEPT_SHARE: f64 = 0.75;

/// The size of a job without the parts that vary, in bytes.
const JOB_SIZE: JobSize = JobSize {
    memory: 1_000,
    record: 100,
};
/// The size of an ended job, which is kept for a while, without the names, in bytes.
const ENDED_JOB_SIZE: JobSize = JobSize {
    memory: 600,
    record: 100,
};
/// The size of a step in one occurrence, without its tasks, in bytes.
const STEP_SIZE: JobSize = JobSize {
    memory: 700,
    record: 0,
};
/// The size of a task, in bytes. It allows for all that a task gains until it is done: its record, its assignment and its
/// place in the queue.
const TASK_SIZE: JobSize = JobSize {
    memory: 700,
    record: 150,
};
/// The copies in memory of the names of a job's queue and service: in its state, in its record and in the queue of
/// pending steps.
const NAME_COPIES: usize = 4;
/// The copies in memory of a step's labels for each occurrence, in the queue of pending steps.
const CLASS_COPIES: usize = 2;
/// The copies in memory of a checkpoint: in the state, in the record and in start commands.
const CHECKPOINT_COPIES: usize = 3;

/// What a job takes, or a part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct JobSize {
    /// The memory for its state and its records at the leader, in bytes.
    pub memory: usize,
    /// The length of its records, in bytes.
    pub record: usize,
}

impl JobSize {
    /// Returns true if no part of this size exceeds that part of a limit.
    pub(crate) fn fits(self, limit: JobSize) -> bool {
        self.memory <= limit.memory && self.record <= limit.record
    }

    fn times(self, count: usize) -> JobSize {
        JobSize {
            memory: self.memory * count,
            record: self.record * count,
        }
    }
}

impl Add for JobSize {
    type Output = JobSize;

    fn add(self, other: JobSize) -> JobSize {
        JobSize {
            memory: self.memory + other.memory,
            record: self.record + other.record,
        }
    }
}

impl Sub for JobSize {
    type Output = JobSize;

    fn sub(self, other: JobSize) -> JobSize {
        JobSize {
            memory: self.memory - other.memory,
            record: self.record - other.record,
        }
    }
}

/// The resources of the machine of each core process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CoreResources {
    /// The memory that the process may use, in megabytes.
    pub memory_mb: f64,
    /// The disk that the process may use, in megabytes; `None` if it has no limit.
    pub disk_mb: Option<f64>,
}

/// The limits of what all jobs together may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct JobBudget {
    /// The size of all jobs up to which jobs are accepted.
    pub accept: JobSize,
    /// The size of all jobs up to which further occurrences start and checkpoints are kept.
    pub total: JobSize,
}

impl JobBudget {
    /// Returns the budget on machines with these resources.
    pub(crate) fn new(resources: CoreResources) -> JobBudget {
        let memory = resources.memory_mb * BYTES_PER_MB;
        let beside_fixed = (memory - FIXED_MEMORY_BYTES) * MEMORY_SHARE;
        let memory = beside_fixed.max(memory * MIN_MEMORY_SHARE);
        let disk = resources
            .disk_mb
            .map_or(f64::INFINITY, |disk_mb| disk_mb * BYTES_PER_MB * DISK_SHARE);
        JobBudget {
            accept: whole_bytes(memory * ACCEPT_SHARE, disk * ACCEPT_SHARE),
            total: whole_bytes(memory, disk),
        }
    }
}

fn whole_bytes(memory: f64, record: f64) -> JobSize {
    JobSize {
        memory: memory as usize,
        record: record as usize,
    }
}

/// The sizes of the parts of one job, from which its size at any time follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct JobParts {
    /// The size without occurrences and checkpoints.
    base: JobSize,
    /// The size of one occurrence in progress.
    occurrence: JobSize,
}

impl JobParts {
    /// Returns the parts of a job that has been submitted with a body of `body_bytes`. `name_bytes` is the length of the
    /// names of its queue and its service.
    pub(crate) fn of(spec: &JobSpec, body_bytes: usize, name_bytes: usize) -> JobParts {
        let stages: usize = spec.stages.iter().map(Stage::heap_bytes).sum();
        let texts = JobSize {
            memory: body_bytes + spec.spec.len() + stages,
            record: body_bytes,
        };
        let names = names_size(name_bytes);
        let steps = spec.stages.iter().map(|stage| step_size(stage, names));
        JobParts {
            base: JOB_SIZE + names + texts,
            occurrence: steps.fold(JobSize::default(), JobSize::add),
        }
    }

    /// Returns the parts of a job that has ended.
    pub(crate) fn ended(name_bytes: usize) -> JobParts {
        JobParts {
            base: ENDED_JOB_SIZE + names_size(name_bytes),
            occurrence: JobSize::default(),
        }
    }

    /// Returns the size with this many occurrences in progress. One is always counted, so that it can start when it is
    /// due.
    pub(crate) fn with_occurrences(&self, in_progress: usize) -> JobSize {
        self.base + self.occurrence.times(in_progress.max(1))
    }
}

fn names_size(name_bytes: usize) -> JobSize {
    JobSize {
        memory: NAME_COPIES * name_bytes,
        record: name_bytes,
    }
}

/// Returns the size of a step and its tasks in one occurrence.
fn step_size(stage: &Stage, names: JobSize) -> JobSize {
    let class = JobSize {
        memory: CLASS_COPIES * stage.constraints.heap_bytes() + names.memory,
        record: 0,
    };
    STEP_SIZE + class + TASK_SIZE.times(stage.count as usize)
}

/// Returns the size that a checkpoint adds to its job.
pub(crate) fn checkpoint_size(checkpoint: &str) -> JobSize {
    JobSize {
        memory: CHECKPOINT_COPIES * checkpoint.len(),
        record: checkpoint.len(),
    }
}
