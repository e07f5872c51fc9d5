//! Gangs at work: members start once all of one run are present, and end jointly.

use crate::engine::Micros;
use crate::job::StepName;
use std::collections::{BTreeMap, BTreeSet};

/// One run of one gang.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GangRun {
    /// The step.
    pub step: StepName,
    /// The run's attempt number.
    pub attempt: u64,
}

/// How a gang ends once it is at work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GangCourse {
    /// When it began.
    pub from: Micros,
    /// When it ends unless it is broken before.
    pub ends: Micros,
    /// True where it then fails, by the fault of member 0.
    pub fails: bool,
}

/// What becomes of a gang that has all its members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GangPlan {
    /// How many members the gang has.
    pub members: u64,
    /// From the last member's coming to the end.
    pub lasts: Micros,
    /// True where it then fails.
    pub fails: bool,
}

#[derive(Default)]
struct Gang {
    present: BTreeSet<u64>,
    course: Option<GangCourse>,
    broken: bool,
}

/// All gangs of a day.
#[derive(Default)]
pub struct GangTable {
    gangs: BTreeMap<GangRun, Gang>,
    changed: bool,
}

impl GangTable {
    /// A member has come.
    pub fn join(&mut self, now: Micros, run: &GangRun, index: u64, plan: GangPlan) {
        let gang = self.gangs.entry(run.clone()).or_default();
        gang.present.insert(index);
        if gang.course.is_none() && !gang.broken && gang.present.len() as u64 == plan.members {
            gang.course = Some(GangCourse {
                from: now,
                ends: now + plan.lasts,
                fails: plan.fails,
            });
            self.changed = true;
        }
    }

    /// A member has gone before the joint end: the others are broken.
    pub fn leave(&mut self, now: Micros, run: &GangRun) {
        let Some(gang) = self.gangs.get_mut(run) else {
            return;
        };
        let over = gang.course.is_some_and(|course| course.ends <= now);
        if !over && !gang.broken {
            gang.broken = true;
            self.changed = true;
        }
    }

    /// When and how it ends, once all have come.
    pub fn course(&self, run: &GangRun) -> Option<GangCourse> {
        self.gangs.get(run)?.course
    }

    /// True once a member has gone.
    pub fn is_broken(&self, run: &GangRun) -> bool {
        self.gangs.get(run).is_some_and(|gang| gang.broken)
    }

    /// True where anything changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }
}
