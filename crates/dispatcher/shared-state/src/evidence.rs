//! Evaluates the members' evidence on runners. Evidence is shared, not verdicts: a shared verdict makes all members
//! wrong at once. Each member reports only what it observed itself, so that one report does not become a hundred. What
//! others report counts beside own observations, needs several reporters of different sites, ages, and never excludes
//! more than a stated part of the runners.

use std::collections::BTreeMap;

use crate::observations::Evidence;

/// Failures of one reporter beyond this weigh no more.
const MAX_FAILURE_WEIGHT: u16 = 10;
/// Sites are told apart by the bits of a word.
const SITE_BITS: u16 = 64;

/// What evidence says of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerVerdict {
    /// It fails at several members.
    Unhealthy,
    /// It works for others again.
    Healthy,
}

impl RunnerVerdict {
    /// The spelling on the operators' page of runners.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            RunnerVerdict::Unhealthy => "unwell",
            RunnerVerdict::Healthy => "well",
        }
    }
}

/// One reporter's evidence.
pub struct Witness<'a> {
    /// The index of its site.
    pub site: u16,
    /// Whether it is this member itself.
    pub is_own: bool,
    /// How long ago the report was made, in seconds.
    pub age_s: f64,
    /// By runner.
    pub evidence: &'a [Evidence],
}

impl Witness<'_> {
    /// How long ago something was, in seconds, which was so many hundredths of a second before the report.
    fn ago_s(&self, hundredths: u16) -> f64 {
        self.age_s + f64::from(hundredths) / 100.0
    }
}

/// How much evidence a verdict takes.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceRules {
    /// How many reporters must agree.
    pub reporters: usize,
    /// Of how many sites, where there are as many.
    pub sites: usize,
    /// Of the runners that any reporter used, at most this part is unhealthy by evidence.
    pub most_out: f64,
    /// A reporter that finds more than this part of its runners bad speaks of itself, its links, or of work that fails
    /// anywhere.
    pub own_fault: f64,
    /// Older observations are ignored, in seconds.
    pub fresh_s: f64,
    /// From how many failures on a reporter finds a runner bad.
    pub least_bad: u16,
    /// Whether own observations override what others report.
    pub own_first: bool,
}

impl Default for EvidenceRules {
    /// Two reporters of two sites: one cut link, one site, one false reporter never suffice. A quarter: the remaining
    /// runners bear the load at three quarters full. A third: of a reporter's few runners two may be bad by chance.
    fn default() -> Self {
        EvidenceRules {
            reporters: 2,
            sites: 2,
            most_out: 0.25,
            own_fault: 0.34,
            fresh_s: 2.0,
            least_bad: 2,
            own_first: true,
        }
    }
}

/// All evidence on one runner. Times are ages in seconds, infinity for never.
#[derive(Clone, Copy)]
struct Case {
    reporters_against: usize,
    others_against: usize,
    sites_against: u64,
    others_for: usize,
    sites_for: u64,
    own_success_ago_s: f64,
    own_failure_ago_s: f64,
    failure_weight: f64,
    success_ago_s: f64,
    failure_ago_s: f64,
}

impl Case {
    fn new() -> Self {
        Case {
            reporters_against: 0,
            others_against: 0,
            sites_against: 0,
            others_for: 0,
            sites_for: 0,
            own_success_ago_s: f64::INFINITY,
            own_failure_ago_s: f64::INFINITY,
            failure_weight: 0.0,
            success_ago_s: f64::INFINITY,
            failure_ago_s: f64::INFINITY,
        }
    }

    fn add_against(&mut self, witness: &Witness, evidence: &Evidence, site: u64) {
        self.reporters_against += 1;
        self.others_against += usize::from(!witness.is_own);
        self.sites_against |= site;
        self.failure_weight += f64::from(evidence.failures.min(MAX_FAILURE_WEIGHT));
        let ago_s = witness.ago_s(evidence.last_failure_ago);
        self.failure_ago_s = self.failure_ago_s.min(ago_s);
    }

    fn add_for(&mut self, witness: &Witness, evidence: &Evidence, site: u64) {
        self.others_for += usize::from(!witness.is_own);
        self.sites_for |= site;
        let ago_s = witness.ago_s(evidence.last_success_ago);
        self.success_ago_s = self.success_ago_s.min(ago_s);
    }

    /// Whether it works for others again.
    fn is_healthy(&self) -> bool {
        self.others_for > 0 && self.success_ago_s < self.failure_ago_s
    }
}

/// Cases by the runner's number, and how many runners the reporter with the most used.
struct Cases {
    by_runner: BTreeMap<u64, Case>,
    most_used: usize,
}

impl EvidenceRules {
    /// Whether a reporter finds a runner bad: enough failures, which outnumber the successes and are newer.
    fn is_bad(&self, witness: &Witness, evidence: &Evidence) -> bool {
        evidence.failures >= self.least_bad
            && evidence.failures > 2 * evidence.successes
            && evidence.last_failure_ago < evidence.last_success_ago
            && witness.ago_s(evidence.last_failure_ago) < self.fresh_s
    }

    fn is_good(&self, witness: &Witness, evidence: &Evidence) -> bool {
        evidence.successes > 0
            && evidence.last_success_ago < evidence.last_failure_ago
            && witness.ago_s(evidence.last_success_ago) < self.fresh_s
    }

    /// What the witnesses together say of each runner, by its number in ascending order; `site_count` is that of the
    /// roster.
    #[must_use]
    pub fn evaluate(&self, witnesses: &[Witness], site_count: usize) -> Vec<(u64, RunnerVerdict)> {
        let cases = self.cases(witnesses);
        let unhealthy = self.unhealthy(&cases, site_count);
        let healthy = cases
            .by_runner
            .iter()
            .filter(|(runner, case)| case.is_healthy() && !unhealthy.contains(runner))
            .map(|(runner, _)| (*runner, RunnerVerdict::Healthy));
        let mut verdicts: Vec<(u64, RunnerVerdict)> = unhealthy
            .iter()
            .map(|runner| (*runner, RunnerVerdict::Unhealthy))
            .chain(healthy)
            .collect();
        verdicts.sort_by_key(|(runner, _)| *runner);
        verdicts
    }

    fn cases(&self, witnesses: &[Witness]) -> Cases {
        let mut cases = Cases {
            by_runner: BTreeMap::new(),
            most_used: 0,
        };
        for witness in witnesses {
            let used = self.used(witness);
            cases.most_used = cases.most_used.max(used);
            let is_believed = self.is_believed(witness, used);
            let site = 1u64 << (witness.site % SITE_BITS);
            for evidence in witness.evidence {
                let case = cases
                    .by_runner
                    .entry(evidence.runner)
                    .or_insert_with(Case::new);
                if witness.is_own {
                    case.own_success_ago_s = witness.ago_s(evidence.last_success_ago);
                    case.own_failure_ago_s = witness.ago_s(evidence.last_failure_ago);
                }
                if is_believed && self.is_bad(witness, evidence) {
                    case.add_against(witness, evidence, site);
                } else if self.is_good(witness, evidence) {
                    case.add_for(witness, evidence, site);
                }
            }
        }
        cases
    }

    /// How many runners a reporter has fresh observations of.
    fn used(&self, witness: &Witness) -> usize {
        let is_fresh = |one: &&Evidence| self.is_good(witness, one) || self.is_bad(witness, one);
        witness.evidence.iter().filter(is_fresh).count()
    }

    /// Guards against a cut link, a starved or false reporter, and work that fails everywhere: a reporter that finds
    /// most of its runners bad, or all of two or more, is believed of none of them. Its successes count.
    fn is_believed(&self, witness: &Witness, used: usize) -> bool {
        let is_bad = |one: &&Evidence| self.is_bad(witness, one);
        let bad = witness.evidence.iter().filter(is_bad).count();
        bad as f64 <= (self.own_fault * used as f64).max(1.0)
    }

    /// The numbers of the runners found unhealthy, the one with the most failures first.
    fn unhealthy(&self, cases: &Cases, site_count: usize) -> Vec<u64> {
        let needed_sites = self.sites.min(site_count.max(1)) as u32;
        let mut unhealthy: Vec<(f64, u64)> = cases
            .by_runner
            .iter()
            .filter(|(_, case)| self.is_unhealthy(case, needed_sites))
            .map(|(runner, case)| (-case.failure_weight, *runner))
            .collect();
        let known = cases.by_runner.len().max(cases.most_used);
        // Guards against a fault of all being taken for that of each: then none is blamed.
        if unhealthy.len() as f64 > self.own_fault * known as f64 {
            unhealthy.clear();
        }
        unhealthy.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        unhealthy.truncate((self.most_out * known as f64) as usize);
        unhealthy.into_iter().map(|(_, runner)| runner).collect()
    }

    fn is_unhealthy(&self, case: &Case, needed_sites: u32) -> bool {
        let works_here = self.own_first
            && case.own_success_ago_s < case.own_failure_ago_s
            && case.own_success_ago_s < self.fresh_s;
        // Guards against a runner cut off from a part of the fleet: elsewhere it works as ever.
        let outvoted = self.own_first
            && (case.reporters_against <= 2 * case.others_for
                || case.sites_against.count_ones() <= case.sites_for.count_ones());
        !works_here
            && case.others_against > 0
            && case.reporters_against >= self.reporters
            && case.sites_against.count_ones() >= needed_sites
            && !outvoted
    }
}
