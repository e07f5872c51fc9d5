//! Names of jobs and tasks.

use std::fmt;

/// A job's ID: 16 hex digits chosen by the client.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct JobId(pub u64);

/// Digits of a job's ID.
const ID_DIGITS: usize = 16;

impl JobId {
    /// The ID that a text holds; `None` where it is not 16 lower-case hex digits.
    pub fn parse(text: &str) -> Option<JobId> {
        let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != ID_DIGITS || !text.bytes().all(digit) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(JobId)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A step of a job, of one of its times.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct StepId {
    pub job: JobId,
    /// Which time of a job that runs several times; 0 otherwise.
    pub time: u32,
    pub step: u32,
}

/// A task: `ID.K.STEP.INDEX` on the wire.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    pub step: StepId,
    pub index: u32,
}

impl TaskId {
    /// The task that a text names.
    pub fn parse(text: &str) -> Option<TaskId> {
        let mut parts = text.split('.');
        let job = JobId::parse(parts.next()?)?;
        let time = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        if parts.next().is_some() {
            return None;
        }
        Some(TaskId {
            step: StepId { job, time, step },
            index,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let StepId { job, time, step } = self.step;
        write!(formatter, "{job}.{time}.{step}.{}", self.index)
    }
}
