//! The IDs of jobs, steps and tasks, and their text form.

use std::fmt;

/// The number of hexadecimal digits in the text of a job's ID.
const ID_DIGITS: usize = 16;

/// A job's ID, chosen by the client. Its text is 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses the text of a job's ID; returns `None` unless it is 16 lower-case hexadecimal digits.
    pub fn parse(text: &str) -> Option<JobId> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != ID_DIGITS || !text.bytes().all(is_digit) {
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

/// The ID of one step of a job, in one of the job's occurrences.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct StepId {
    /// The job that the step is part of.
    pub job: JobId,
    /// The index of the job's occurrence, from 0; always 0 for a job that runs once.
    pub occurrence: u32,
    /// The step's index in the job's `stages`.
    pub step: u32,
}

/// The ID of one task of a step. Its text, also on the wire, is `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    /// The step that the task is part of.
    pub step: StepId,
    /// The task's index within the step.
    pub index: u32,
}

impl TaskId {
    /// Parses the text of a task's ID; returns `None` if it is malformed.
    pub fn parse(text: &str) -> Option<TaskId> {
        let mut parts = text.split('.');
        let job = JobId::parse(parts.next()?)?;
        let occurrence = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        if parts.next().is_some() {
            return None;
        }
        Some(TaskId {
            step: StepId {
                job,
                occurrence,
                step,
            },
            index,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let StepId {
            job,
            occurrence,
            step,
        } = self.step;
        write!(formatter, "{job}.{occurrence}.{step}.{}", self.index)
    }
}
