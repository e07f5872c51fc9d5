//! Evaluates the members' evidence on runners. Members share evidence and not verdicts, because a wrong verdict that is
//! shared makes all members wrong at once. Each member reports only its own observations, so that forwarding does not
//! multiply one report. Reports of others supplement own observations, need several reporters of different sites,
//! expire, and never exclude more than a configured fraction of the runners.

use std::collections::BTreeMap;

use crate::observations::Evidence;

/// Maximum number of failures of one reporter that count towards the weight of a runner's failures.
const MAX_FAILURE_WEIGHT: u16 = 10;
/// Number of sites that are distinguished: each is one bit of a `u64`.
const SITE_BITS: u16 = 64;

/// Result of evaluating the evidence on a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerVerdict {
    /// Attempts of several members at the runner fail.
    Unhealthy,
    /// Attempts of other members at the runner succeed again.
    Healthy,
}

impl RunnerVerdict {
    /// Name of the verdict on the operators' page of runners.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            RunnerVerdict::Unhealthy => "unwell",
            RunnerVerdict::Healthy => "well",
        }
    }
}

/// Evidence of one reporter.
pub struct Witness<'a> {
    /// Index of the reporter's site.
    pub site: u16,
    /// Whether the reporter is this member itself.
    pub is_own: bool,
    /// Age of the report in seconds.
    pub age_s: f64,
    /// The reporter's evidence, one entry for each runner.
    pub evidence: &'a [Evidence],
}

impl Witness<'_> {
    /// Age in seconds of an event that took place `hundredths` hundredths of a second before the report.
    fn ago_s(&self, hundredths: u16) -> f64 {
        self.age_s + f64::from(hundredths) / 100.0
    }
}

/// Evidence that a verdict requires.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceRules {
    /// Number of reporters that must agree.
    pub reporters: usize,
    /// Number of different sites that those reporters must be of; all sites if the roster has fewer.
    pub sites: usize,
    /// Maximum fraction of the known runners that evidence can make unhealthy.
    pub most_out: f64,
    /// A reporter for which more than this fraction of its runners is bad shows a fault of its own, of its links, or of
    /// work that fails on every runner.
    pub own_fault: f64,
    /// Observations older than this many seconds are ignored.
    pub fresh_s: f64,
    /// Minimum number of failures from which on a runner counts as bad for a reporter.
    pub least_bad: u16,
    /// Whether own observations override the reports of others.
    pub own_first: bool,
}

impl Default for EvidenceRules {
    /// Two reporters of two sites are required, so that one cut link, one site or one false reporter never suffices. At
    /// most a quarter of the runners is excluded, because the others can bear the load of a fleet that is three
    /// quarters full. A reporter's own fault is assumed above a third, because two of a reporter's few runners can be
    /// bad by chance.
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

/// All evidence on one runner. Fields that end in `_ago_s` are ages in seconds, infinity for never. "For" and "against"
/// mean that the runner is good or bad for a reporter; "others" are the reporters except this member.
#[derive(Clone, Copy)]
struct RunnerEvidence {
    reporters_against: usize,
    others_against: usize,
    /// Sites of the reporters against the runner, one bit for each.
    sites_against: u64,
    others_for: usize,
    /// Sites of the reporters for the runner, one bit for each.
    sites_for: u64,
    own_success_ago_s: f64,
    own_failure_ago_s: f64,
    /// Sum of the failures of all reporters against the runner, limited for each by `MAX_FAILURE_WEIGHT`.
    failure_weight: f64,
    success_ago_s: f64,
    failure_ago_s: f64,
}

impl RunnerEvidence {
    fn new() -> Self {
        RunnerEvidence {
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

    /// Whether the runner is good for another member, and the last success that counts is newer than the last failure
    /// that counts.
    fn is_healthy(&self) -> bool {
        self.others_for > 0 && self.success_ago_s < self.failure_ago_s
    }
}

/// Evidence of all reporters by the runner's number, and the number of runners of the reporter that used the most.
struct EvidenceSummary {
    by_runner: BTreeMap<u64, RunnerEvidence>,
    max_runners_used: usize,
}

impl EvidenceRules {
    /// Whether a runner is bad for a reporter: it has enough failures, more than twice as many as successes, and the
    /// last failure is fresh and newer than the last success.
    fn is_bad(&self, witness: &Witness, evidence: &Evidence) -> bool {
        evidence.failures >= self.least_bad
            && evidence.failures > 2 * evidence.successes
            && evidence.last_failure_ago < evidence.last_success_ago
            && witness.ago_s(evidence.last_failure_ago) < self.fresh_s
    }

    /// Whether a runner is good for a reporter: its last success is fresh and newer than the last failure.
    fn is_good(&self, witness: &Witness, evidence: &Evidence) -> bool {
        evidence.successes > 0
            && evidence.last_success_ago < evidence.last_failure_ago
            && witness.ago_s(evidence.last_success_ago) < self.fresh_s
    }

    /// Verdicts on runners from the evidence of all witnesses, in ascending order of the runners' numbers. `site_count`
    /// is the number of sites in the roster.
    #[must_use]
    pub fn evaluate(&self, witnesses: &[Witness], site_count: usize) -> Vec<(u64, RunnerVerdict)> {
        let summary = self.summarize(witnesses);
        let unhealthy = self.unhealthy(&summary, site_count);
        let healthy = summary
            .by_runner
            .iter()
            .filter(|(runner, runner_evidence)| {
                runner_evidence.is_healthy() && !unhealthy.contains(runner)
            })
            .map(|(runner, _)| (*runner, RunnerVerdict::Healthy));
        let mut verdicts: Vec<(u64, RunnerVerdict)> = unhealthy
            .iter()
            .map(|runner| (*runner, RunnerVerdict::Unhealthy))
            .chain(healthy)
            .collect();
        verdicts.sort_by_key(|(runner, _)| *runner);
        verdicts
    }

    fn summarize(&self, witnesses: &[Witness]) -> EvidenceSummary {
        let mut summary = EvidenceSummary {
            by_runner: BTreeMap::new(),
            max_runners_used: 0,
        };
        for witness in witnesses {
            let used_runner_count = self.count_used_runners(witness);
            summary.max_runners_used = summary.max_runners_used.max(used_runner_count);
            let is_credible = self.is_credible(witness, used_runner_count);
            let site = 1u64 << (witness.site % SITE_BITS);
            for evidence in witness.evidence {
                let runner_evidence = summary
                    .by_runner
                    .entry(evidence.runner)
                    .or_insert_with(RunnerEvidence::new);
                if witness.is_own {
                    runner_evidence.own_success_ago_s = witness.ago_s(evidence.last_success_ago);
                    runner_evidence.own_failure_ago_s = witness.ago_s(evidence.last_failure_ago);
                }
                if is_credible && self.is_bad(witness, evidence) {
                    runner_evidence.add_against(witness, evidence, site);
                } else if self.is_good(witness, evidence) {
                    runner_evidence.add_for(witness, evidence, site);
                }
            }
        }
        summary
    }

    /// Number of runners on which a reporter has fresh evidence.
    fn count_used_runners(&self, witness: &Witness) -> usize {
        let is_fresh = |one: &&Evidence| self.is_good(witness, one) || self.is_bad(witness, one);
        witness.evidence.iter().filter(is_fresh).count()
    }

    /// Whether the failures of a reporter count. Guards against a cut link, a starved or false reporter, and work that
    /// fails everywhere: if more than the fraction `own_fault` of a reporter's runners is bad, and more than one, none
    /// of its failures count. Its successes still do.
    fn is_credible(&self, witness: &Witness, used_runner_count: usize) -> bool {
        let is_bad = |one: &&Evidence| self.is_bad(witness, one);
        let bad = witness.evidence.iter().filter(is_bad).count();
        bad as f64 <= (self.own_fault * used_runner_count as f64).max(1.0)
    }

    /// Numbers of the unhealthy runners, in descending order of their failures.
    fn unhealthy(&self, summary: &EvidenceSummary, site_count: usize) -> Vec<u64> {
        let needed_sites = self.sites.min(site_count.max(1)) as u32;
        let mut unhealthy: Vec<(f64, u64)> = summary
            .by_runner
            .iter()
            .filter(|(_, runner_evidence)| self.is_unhealthy(runner_evidence, needed_sites))
            .map(|(runner, runner_evidence)| (-runner_evidence.failure_weight, *runner))
            .collect();
        let known = summary.by_runner.len().max(summary.max_runners_used);
        // If too many runners look unhealthy, the fault is a common one, so no single runner is marked unhealthy.
        if unhealthy.len() as f64 > self.own_fault * known as f64 {
            unhealthy.clear();
        }
        unhealthy.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        unhealthy.truncate((self.most_out * known as f64) as usize);
        unhealthy.into_iter().map(|(_, runner)| runner).collect()
    }

    fn is_unhealthy(&self, runner_evidence: &RunnerEvidence, needed_sites: u32) -> bool {
        let succeeds_here = self.own_first
            && runner_evidence.own_success_ago_s < runner_evidence.own_failure_ago_s
            && runner_evidence.own_success_ago_s < self.fresh_s;
        // A runner that is cut off from a part of the fleet still works for the other members.
        let outvoted = self.own_first
            && (runner_evidence.reporters_against <= 2 * runner_evidence.others_for
                || runner_evidence.sites_against.count_ones()
                    <= runner_evidence.sites_for.count_ones());
        !succeeds_here
            && runner_evidence.others_against > 0
            && runner_evidence.reporters_against >= self.reporters
            && runner_evidence.sites_against.count_ones() >= needed_sites
            && !outvoted
    }
}
