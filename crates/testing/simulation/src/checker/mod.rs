//! Judges a day by what clients, runners and the operator saw, and by nothing else. Shares no code with the
//! system. Rules with a time bound are judged for machines in touch, those of gangs, of work that runs on and of
//! standstill only while no fault of anyone is near.

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
    /// A task runs twice at a time, or again after it was done.
    Twice,
    /// A runner has more runs than its capacity holds.
    Limit,
    /// A step starts before what it depends on has ended, or an occurrence before it is due.
    Order,
    /// A task is started more often than its queue allows.
    Budget,
    /// A run that no client asked for, with another specification or checkpoint than its own, or after a cancellation
    /// was acknowledged.
    Unasked,
    /// A job starts although all its submissions were rejected.
    Refused,
    /// An accepted job, its end or an acknowledged configuration is lost.
    Lost,
    /// A configuration is in force that was never sent, or an older one after a newer.
    Config,
    /// A member of a gang waited in vain for the others though no fault was near.
    Gang,
    /// A task runs at a runner of another service, without the labels that it asks for, or beside more of its step than
    /// anti-affinity allows.
    Route,
    /// A client reads a state that does not parse or contradicts an earlier one.
    Mixed,
    /// A run starts at a runner whose drain was acknowledged.
    Drain,
    /// Clients are not served in time after the final fault.
    Recover,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// When it was broken.
    pub at: Micros,
    /// What was observed.
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
    /// The bounds that hold between clients, runners and the cluster.
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
