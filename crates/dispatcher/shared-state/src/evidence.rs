//! What members see of runners, told as counts and weighed by each for itself. Evidence is shared, not verdicts: a
//! verdict shared makes all wrong at once. Each member tells only what it saw itself, so that one report does not
//! become a hundred; what is heard counts beside own sights, needs several reporters of different sites, ages, and
//! never takes more than a stated part of the runners out.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Observations are kept so long: several runs and probes of a runner, and less than troubles last.
const KEPT_S: f64 = 3.0;
/// In buckets of this length.
const BUCKET_S: f64 = 0.5;
const BUCKETS: usize = (KEPT_S / BUCKET_S) as usize;

/// One member's sights of one runner within the last 3 s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The runner's number.
    pub runner: u64,
    pub successes: u16,
    pub failures: u16,
    /// How long ago the last of each was, in hundredths of a second, at the report's making; the largest for never.
    pub last_success_ago: u16,
    pub last_failure_ago: u16,
}

#[derive(Clone, Copy, Default)]
struct Sight {
    good: [u16; BUCKETS],
    bad: [u16; BUCKETS],
    at: u64,
    last_good: Option<f64>,
    last_bad: Option<f64>,
}

impl Sight {
    fn turn(&mut self, bucket: u64) {
        let passed = bucket.saturating_sub(self.at).min(BUCKETS as u64);
        for n in 1..=passed {
            let place = ((self.at + n) % BUCKETS as u64) as usize;
            (self.good[place], self.bad[place]) = (0, 0);
        }
        self.at = self.at.max(bucket);
    }
}

/// What this member saw itself.
#[derive(Default)]
pub struct Observations {
    seen: BTreeMap<u64, Sight>,
}

fn bucket(now: f64) -> u64 {
    (now.max(0.0) / BUCKET_S) as u64
}

impl Observations {
    /// Runners kept at once: more than any list here names.
    const MOST: usize = 8192;

    pub fn record(&mut self, now: f64, of: u64, good: bool) {
        if self.seen.len() >= Observations::MOST && !self.seen.contains_key(&of) {
            self.seen
                .retain(|_, sight| sight.at + BUCKETS as u64 > bucket(now));
            if self.seen.len() >= Observations::MOST {
                return;
            }
        }
        let sight = self.seen.entry(of).or_default();
        sight.turn(bucket(now));
        let place = (sight.at % BUCKETS as u64) as usize;
        let (counts, last) = match good {
            true => (&mut sight.good, &mut sight.last_good),
            false => (&mut sight.bad, &mut sight.last_bad),
        };
        counts[place] = counts[place].saturating_add(1);
        *last = Some(now);
    }

    /// What there is to tell, the latest trouble first.
    pub fn evidence(&mut self, now: f64) -> Vec<Evidence> {
        self.seen.retain(|_, sight| {
            sight.turn(bucket(now));
            sight.good.iter().chain(&sight.bad).any(|n| *n > 0)
        });
        let ago = |at: Option<f64>| {
            at.map_or(u16::MAX, |at| {
                ((now - at).max(0.0) * 100.0).min(65_534.0) as u16
            })
        };
        let tell = |(of, sight): (&u64, &Sight)| Evidence {
            runner: *of,
            successes: sight
                .good
                .iter()
                .fold(0, |all, n| u16::saturating_add(all, *n)),
            failures: sight
                .bad
                .iter()
                .fold(0, |all, n| u16::saturating_add(all, *n)),
            last_success_ago: ago(sight.last_good),
            last_failure_ago: ago(sight.last_bad),
        };
        let mut told: Vec<Evidence> = self.seen.iter().map(tell).collect();
        told.sort_by_key(|evidence| {
            (
                evidence.last_failure_ago,
                evidence.last_success_ago,
                evidence.runner,
            )
        });
        told
    }
}

/// What is heard of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerVerdict {
    Unhealthy,
    /// It works for others again.
    Healthy,
}

impl RunnerVerdict {
    /// The spelling on the operators' page of runners.
    pub fn as_str(self) -> &'static str {
        match self {
            RunnerVerdict::Unhealthy => "unwell",
            RunnerVerdict::Healthy => "well",
        }
    }
}

/// One reporter's sights, and how long ago they were made.
pub struct Witness<'a> {
    pub site: u16,
    /// This member itself.
    pub is_own: bool,
    pub age_s: f64,
    pub evidence: &'a [Evidence],
}

/// How much it takes. A broken variant differs here.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceRules {
    /// So many reporters, of so many sites where there are as many.
    pub reporters: usize,
    pub sites: usize,
    /// Of the runners that any reporter used, at most this part is out by what is heard.
    pub most_out: f64,
    /// A reporter to whom more than this part of its runners looks bad speaks of itself, its links, or of work
    /// that fails anywhere.
    pub own_fault: f64,
    /// Observations older than this say nothing.
    pub fresh_s: f64,
    /// Bad sights of one reporter that count as trouble.
    pub least_bad: u16,
    /// Own sights go before what is heard.
    pub own_first: bool,
}

impl Default for EvidenceRules {
    /// Two of two sites: one cut link, one site, one liar are never enough. A quarter: what remains bears the
    /// rest at three in four full. A third: of a reporter's few runners two may be bad by chance.
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

#[derive(Default, Clone, Copy)]
struct Case {
    against: usize,
    by_others: usize,
    sites: u64,
    good_by_others: usize,
    good_sites: u64,
    own_good_ago: f64,
    own_bad_ago: f64,
    weight: f64,
    good_ago: f64,
    bad_ago: f64,
}

impl EvidenceRules {
    /// Bad sights count as trouble from some number on, when they outnumber the good, and the last good was before.
    fn bad(&self, evidence: &Evidence, age_s: f64) -> bool {
        let ago = |hundredths: u16| age_s + f64::from(hundredths) / 100.0;
        evidence.failures >= self.least_bad
            && evidence.failures > 2 * evidence.successes
            && evidence.last_failure_ago < evidence.last_success_ago
            && ago(evidence.last_failure_ago) < self.fresh_s
    }

    fn good(&self, evidence: &Evidence, age_s: f64) -> bool {
        let ago = age_s + f64::from(evidence.last_success_ago) / 100.0;
        evidence.successes > 0
            && evidence.last_success_ago < evidence.last_failure_ago
            && ago < self.fresh_s
    }

    /// What the witnesses together say of each runner; `sites` is how many the roster has.
    pub fn evaluate(&self, witnesses: &[Witness], sites: usize) -> Vec<(u64, RunnerVerdict)> {
        let mut cases: BTreeMap<u64, Case> = BTreeMap::new();
        let mut used = 0usize;
        for witness in witnesses {
            let fresh = |e: &&Evidence| self.good(e, witness.age_s) || self.bad(e, witness.age_s);
            let (all, bad) = witness
                .evidence
                .iter()
                .filter(fresh)
                .fold((0, 0), |(all, bad), e| {
                    (all + 1, bad + usize::from(self.bad(e, witness.age_s)))
                });
            // Guards against a cut link, a starved or lying member, and work that fails everywhere: who finds
            // most runners bad, or all of two or more, is believed of none of them. Good sights of its count.
            let believed = bad as f64 <= (self.own_fault * all as f64).max(1.0);
            used = used.max(all);
            for evidence in witness.evidence {
                let age = |hundredths: u16| witness.age_s + f64::from(hundredths) / 100.0;
                let case = cases.entry(evidence.runner).or_insert(Case {
                    own_good_ago: f64::INFINITY,
                    own_bad_ago: f64::INFINITY,
                    good_ago: f64::INFINITY,
                    bad_ago: f64::INFINITY,
                    ..Case::default()
                });
                let site = 1u64 << (witness.site % 64);
                if witness.is_own {
                    (case.own_good_ago, case.own_bad_ago) = (
                        age(evidence.last_success_ago),
                        age(evidence.last_failure_ago),
                    );
                }
                if self.bad(evidence, witness.age_s) && believed {
                    case.against += 1;
                    case.by_others += usize::from(!witness.is_own);
                    case.sites |= site;
                    case.weight += f64::from(evidence.failures.min(10));
                    case.bad_ago = case.bad_ago.min(age(evidence.last_failure_ago));
                } else if self.good(evidence, witness.age_s) {
                    case.good_by_others += usize::from(!witness.is_own);
                    case.good_sites |= site;
                    case.good_ago = case.good_ago.min(age(evidence.last_success_ago));
                }
            }
        }
        let needed = self.sites.min(sites.max(1)) as u32;
        let unwell = |case: &Case| {
            // Own evidence goes before what is heard.
            let own_good = self.own_first
                && case.own_good_ago < case.own_bad_ago
                && case.own_good_ago < self.fresh_s;
            !own_good
                && case.by_others > 0
                && case.against >= self.reporters
                && case.sites.count_ones() >= needed
                // Guards against one cut from a part of the fleet: elsewhere it works as ever.
                && (!self.own_first
                    || case.against > 2 * case.good_by_others
                        && case.sites.count_ones() > case.good_sites.count_ones())
        };
        let mut out: Vec<(f64, u64)> = cases
            .iter()
            .filter(|(_, case)| unwell(case))
            .map(|(of, case)| (-case.weight, *of))
            .collect();
        let known = cases.len().max(used);
        // Guards against a trouble of all being taken for that of each: then nothing is blamed.
        if out.len() as f64 > self.own_fault * known as f64 {
            out.clear();
        }
        out.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        out.truncate((self.most_out * known as f64) as usize);
        let mut heard: Vec<(u64, RunnerVerdict)> = out
            .iter()
            .map(|(_, of)| (*of, RunnerVerdict::Unhealthy))
            .collect();
        let well = |case: &Case| case.good_by_others > 0 && case.good_ago < case.bad_ago;
        heard.extend(
            cases
                .iter()
                .filter(|(of, case)| well(case) && !out.iter().any(|(_, bad)| bad == *of))
                .map(|(of, _)| (*of, RunnerVerdict::Healthy)),
        );
        heard.sort_by_key(|(of, _)| *of);
        heard
    }
}
