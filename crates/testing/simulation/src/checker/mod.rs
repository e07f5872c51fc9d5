//! Judges a day by what clients, runners and the operator saw, and by nothing else. Shares no code with the
//! system. Rules with a time bound are judged for machines in touch, those of gangs, of work that runs on and of
//! standstill only while no trouble of anyone is near.

mod calm;
mod cancels;
mod configs;
mod facts;
mod jobs;
mod recover;
mod runs;
mod stalls;
mod starts;

use crate::engine::Micros;
use crate::history::History;
use calm::Calm;
use facts::{Facts, RunFact};
use sagetrail_protocol::bounds::Bounds;
use std::fmt;

/// A rule that can be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Twice,
    Limit,
    Order,
    Budget,
    Unasked,
    Refused,
    Lost,
    Config,
    Gang,
    Route,
    Mixed,
    Drain,
    Recover,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: Rule,
    pub at: Micros,
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "{:>9.3} s {:?}: {}",
            self.at as f64 / 1e6,
            self.rule,
            self.detail
        )
    }
}

/// What the rules leave to the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub bounds: Bounds,
    /// A job is known so long after the acknowledgement.
    pub visible_ms: u64,
    /// So long after the end of the traffic jobs may not stand still any more.
    pub finish_ms: u64,
    /// So long after the machines are back from the final fault requests are served again.
    pub recovery_ms: u64,
    /// True where there is room and time enough for each job to be over at the day's end.
    pub all_must_finish: bool,
}

/// Collects what was broken.
struct Judge<'a> {
    history: &'a History,
    facts: Facts,
    calm: Calm,
    limits: Limits,
    violations: Vec<Violation>,
}

impl Judge<'_> {
    /// Whether the machine that started a run was in touch when it did.
    fn in_touch(&self, run: &RunFact) -> bool {
        self.in_touch_at(run, run.started)
    }

    /// Whether the machine of a run was in touch at an instant.
    fn in_touch_at(&self, run: &RunFact, instant: Micros) -> bool {
        let runner = self.facts.runners.get(&run.instance);
        runner.is_some_and(|runner| self.calm.in_touch(runner.machine, instant))
    }

    fn accuse(&mut self, rule: Rule, at: Micros, detail: String) {
        self.violations.push(Violation { rule, at, detail });
    }
}

/// Every broken rule of a day, by time.
pub fn check(history: &History, limits: Limits) -> Vec<Violation> {
    let facts = Facts::gather(history);
    let calm = Calm::gather(history, limits.bounds.contact_ms);
    let mut judge = Judge {
        history,
        facts,
        calm,
        limits,
        violations: Vec::new(),
    };
    runs::judge(&mut judge);
    starts::judge(&mut judge);
    cancels::judge(&mut judge);
    jobs::judge(&mut judge);
    stalls::judge(&mut judge);
    configs::judge(&mut judge);
    recover::judge(&mut judge);
    let mut violations = judge.violations;
    violations.sort_by(|one, other| one.at.cmp(&other.at).then(one.rule.cmp(&other.rule)));
    violations
}
