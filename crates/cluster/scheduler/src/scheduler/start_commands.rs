//! Start commands: their content, and which of a runner's starts one set of commands includes.
//!
//! Each start carries the specification of its job and a checkpoint, so the starts for one runner may together be longer
//! than a frame. A set of commands therefore includes only as many as fit, and the others follow as soon as the runner
//! lists these.

use sagetrail_protocol::agent::StartCommand;
use sagetrail_protocol::Time;
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

use super::Scheduler;
use crate::ids::StepId;
use crate::runner::CommandedStart;

/// The maximum size of the start commands in one set, in bytes. A single start may exceed it. It is far below the
/// longest frame, because the set is sent again with each answer to a report until the runner lists the starts.
const MAX_START_BYTES: usize = 1 << 20;
/// The size of a start command without its specification and checkpoint, in bytes.
const START_OVERHEAD_BYTES: usize = 64;
/// A set of at most this many starts is not measured.
const UNMEASURED_STARTS: usize = 8;

/// A start that a runner should be commanded now.
pub(super) struct WantedStart {
    /// The start.
    pub start: CommandedStart,
    /// The time at which the run was assigned.
    pub assigned_at: Time,
}

/// The texts that a start command carries.
struct StartTexts<'a> {
    /// The job's specification.
    spec: &'a str,
    /// The checkpoint to resume from; empty for none.
    checkpoint: Cow<'a, str>,
}

impl StartTexts<'_> {
    fn command_bytes(&self) -> usize {
        START_OVERHEAD_BYTES + self.spec.len() + self.checkpoint.len()
    }
}

impl Scheduler {
    /// Returns the starts that a set of commands includes: all of them if they are at most `MAX_START_BYTES` long,
    /// otherwise as many as that allows, by priority and then by the time of their assignment.
    pub(super) fn select_starts(&self, mut starts: Vec<WantedStart>) -> BTreeSet<CommandedStart> {
        let fits_unmeasured = starts.len() <= UNMEASURED_STARTS;
        if !fits_unmeasured && self.count_fitting(&starts) < starts.len() {
            starts.sort_by_cached_key(|wanted| (self.start_priority(wanted), wanted.assigned_at));
            starts.truncate(self.count_fitting(&starts));
        }
        starts.into_iter().map(|wanted| wanted.start).collect()
    }

    fn start_priority(&self, wanted: &WantedStart) -> u32 {
        let job = self.jobs.get(wanted.start.task.step.job);
        job.map_or(u32::MAX, |job| job.priority())
    }

    /// Returns how many of the first starts fit into one set of commands, at least one.
    fn count_fitting(&self, starts: &[WantedStart]) -> usize {
        let mut gang_bytes: BTreeMap<StepId, usize> = BTreeMap::new();
        let mut total_bytes = 0;
        for (count, wanted) in starts.iter().enumerate() {
            total_bytes += self.command_bytes(wanted.start, &mut gang_bytes);
            if total_bytes > MAX_START_BYTES {
                return count.max(1);
            }
        }
        starts.len()
    }

    /// Returns the size of a start command. All members of a gang have commands of the same size, which `gang_bytes`
    /// holds once it is known.
    fn command_bytes(
        &self,
        start: CommandedStart,
        gang_bytes: &mut BTreeMap<StepId, usize>,
    ) -> usize {
        if let Some(&bytes) = gang_bytes.get(&start.task.step) {
            return bytes;
        }
        let texts = self.start_texts(start);
        let bytes = texts.map_or(0, |texts| texts.command_bytes());
        let stage = self.jobs.stage(start.task.step);
        if stage.is_some_and(|stage| stage.gang) {
            gang_bytes.insert(start.task.step, bytes);
        }
        bytes
    }

    /// Builds a start command with the job's specification and the checkpoint to resume from; `None` if the job has
    /// ended.
    pub(super) fn start_command(&self, start: CommandedStart) -> Option<StartCommand> {
        let texts = self.start_texts(start)?;
        Some(StartCommand {
            task: start.task.to_string().into(),
            attempt: start.attempt,
            spec: texts.spec.into(),
            checkpoint: texts.checkpoint.into_owned().into(),
        })
    }

    fn start_texts(&self, start: CommandedStart) -> Option<StartTexts<'_>> {
        let task = start.task;
        let job = self.jobs.get(task.step.job)?;
        let spec = job.spec.as_ref()?;
        let step = job.step(task.step)?;
        let checkpoint = if job.stage(task.step)?.gang {
            Cow::Owned(step.gang_checkpoint())
        } else {
            Cow::Borrowed(step.tasks.get(task.index as usize)?.checkpoint.as_str())
        };
        Some(StartTexts {
            spec: &spec.spec,
            checkpoint,
        })
    }
}
