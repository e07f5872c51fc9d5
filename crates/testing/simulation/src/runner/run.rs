//! One run at a runner.

use super::RunnerPlan;
use crate::actor::ActorContext;
use crate::engine::{Micros, MILLISECOND, SECOND};
use crate::gang::{GangPlan, GangRun};
use crate::job::TaskName;
use sagetrail_protocol::agent::{Resources, RunEnd};

/// A task that nobody sent works so long.
const UNKNOWN_WORK: Micros = SECOND;
/// Digits of the progress in a checkpoint.
const PROGRESS_DIGITS: usize = 10;

/// The checkpoint of a task, or of its gang, after so much work.
pub(crate) fn checkpoint(owner: &str, progress: Micros) -> String {
    format!(
        "{:0width$}-{owner}",
        progress / MILLISECOND,
        width = PROGRESS_DIGITS
    )
}

/// How much work a checkpoint holds.
pub(crate) fn progress_of(saved: &str) -> Micros {
    saved
        .get(..PROGRESS_DIGITS)
        .and_then(|digits| digits.parse::<u64>().ok())
        .unwrap_or(0)
        * MILLISECOND
}

/// Work that goes on.
pub(crate) struct Run {
    pub asked: Resources,
    gang: Option<GangRun>,
    index: u64,
    owner: String,
    checkpoints: bool,
    joined: Micros,
    gang_until: Micros,
    work: Micros,
    slowness_percent: u64,
    restore: Micros,
    restored: Micros,
    saved: String,
    save_every: Micros,
    /// When it ends by itself; `None`: never, or with its gang.
    ends: Option<Micros>,
    fails: bool,
    stop_at: Option<Micros>,
}

impl Run {
    /// Starts the work of a task.
    pub(crate) fn start(
        now: Micros,
        plan: &RunnerPlan,
        task: &TaskName,
        attempt: u64,
        saved: &str,
        context: &mut ActorContext,
    ) -> Run {
        let job = context
            .history
            .jobs
            .jobs
            .get(&task.job)
            .cloned()
            .unwrap_or_default();
        let step = job.step_of(task).cloned().unwrap_or_default();
        let work = if step.count == 0 {
            UNKNOWN_WORK
        } else {
            step.work
        };
        let gang = step.gang.then(|| GangRun {
            step: task.step_name(),
            attempt,
        });
        let owner = if step.gang {
            format!("{:?}", task.step_name())
        } else {
            task.to_string()
        };
        let fails = context.chance.happens(job.failing + plan.failing);
        let restored = progress_of(saved).min(work);
        let restore = if saved.is_empty() {
            0
        } else {
            context.bounds.restore_ms * MILLISECOND
        };
        let mut run = Run {
            asked: step.asked(),
            gang,
            index: task.index,
            owner,
            checkpoints: step.checkpoints,
            joined: now,
            gang_until: now + context.bounds.gang_ms * MILLISECOND,
            work,
            slowness_percent: plan.slowness_percent,
            restore,
            restored,
            saved: saved.to_owned(),
            save_every: ((context.bounds.save_s * SECOND as f64) as Micros).max(MILLISECOND),
            ends: None,
            fails,
            stop_at: None,
        };
        let lasts = run.lasts(fails, context);
        match run.gang.clone() {
            Some(gang) => {
                let plan = GangPlan {
                    members: step.count,
                    lasts,
                    fails,
                };
                context.gangs.join(now, &gang, task.index, plan);
            }
            None if job.long_running && !fails => (),
            None => run.ends = Some(now + lasts),
        }
        run
    }

    fn lasts(&self, fails: bool, context: &mut ActorContext) -> Micros {
        let left = (self.work - self.restored) * self.slowness_percent / 100;
        let part = if fails {
            context.chance.between(5, 100)
        } else {
            100
        };
        (self.restore + left * part / 100).max(MILLISECOND)
    }

    /// It is to stop at `at`.
    pub(crate) fn stop_at(&mut self, at: Micros) {
        self.stop_at.get_or_insert(at);
    }

    /// How it has ended by now.
    pub(crate) fn end_by(&self, now: Micros, context: &ActorContext) -> Option<RunEnd> {
        let own = if self.fails {
            RunEnd::Failed
        } else {
            RunEnd::Done
        };
        if let Some(gang) = &self.gang {
            let course = context.gangs.course(gang);
            if let Some(course) = course.filter(|course| course.ends <= now) {
                let failed = if self.index == 0 {
                    RunEnd::Failed
                } else {
                    RunEnd::GangMemberEnded
                };
                return Some(if course.fails { failed } else { RunEnd::Done });
            }
            if context.gangs.is_broken(gang) {
                return Some(RunEnd::GangMemberEnded);
            }
            if course.is_none() && self.gang_until <= now {
                return Some(RunEnd::GangTimedOut);
            }
        }
        if self.stop_at.is_some_and(|at| at <= now) {
            return Some(RunEnd::Stopped);
        }
        self.ends.is_some_and(|at| at <= now).then_some(own)
    }

    /// When its end is to be looked at next.
    pub(crate) fn next_check(&self) -> Option<Micros> {
        let gang = self.gang.as_ref().map(|_| self.gang_until);
        [self.ends, self.stop_at, gang].into_iter().flatten().min()
    }

    /// The wait for the other members is over; looks at the joint end from now on.
    pub(crate) fn follow_gang(&mut self, context: &ActorContext) {
        if let Some(course) = self
            .gang
            .as_ref()
            .and_then(|gang| context.gangs.course(gang))
        {
            self.gang_until = course.ends;
        }
    }

    /// The others learn that it is over.
    pub(crate) fn leave_gang(&self, now: Micros, context: &mut ActorContext) {
        if let Some(gang) = &self.gang {
            context.gangs.leave(now, gang);
        }
    }

    fn progress(&self, now: Micros, context: &ActorContext) -> Micros {
        let from = match &self.gang {
            Some(gang) => context.gangs.course(gang).map(|course| course.from),
            None => Some(self.joined),
        };
        let Some(from) = from else {
            return self.restored;
        };
        let worked = now.saturating_sub(from + self.restore) * 100 / self.slowness_percent.max(1);
        (self.restored + worked).min(self.work)
    }

    /// Hundredths of its work that are done.
    pub(crate) fn percent(&self, now: Micros, context: &ActorContext) -> u64 {
        (self.progress(now, context) * 100 / self.work.max(1)).min(99)
    }

    /// Its newest checkpoint.
    pub(crate) fn saved(&self, now: Micros, context: &ActorContext) -> String {
        let full = self.progress(now, context) / self.save_every * self.save_every;
        if !self.checkpoints || full <= self.restored {
            return self.saved.clone();
        }
        checkpoint(&self.owner, full)
    }

    /// Its checkpoint after an end.
    pub(crate) fn saved_at_end(&self, now: Micros, end: RunEnd, context: &ActorContext) -> String {
        let progress = self.progress(now, context);
        if end == RunEnd::Stopped && self.checkpoints && progress > self.restored {
            return checkpoint(&self.owner, progress);
        }
        self.saved(now, context)
    }
}
