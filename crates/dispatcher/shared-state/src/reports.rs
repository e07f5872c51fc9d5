//! What each member last said of itself. The join keeps, by member, the report of the higher incarnation, then
//! version: associative, commutative, idempotent, so that loss, doubling and reordering do nothing. ReportTable may come
//! by way of others, under their maker's name and age.

use crate::evidence::Evidence;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Categories, runners and sights in one report.
const MOST_CATEGORIES: usize = 256;
const MOST_RUNNERS: usize = 8192;
/// What is older says nothing and is dropped; its sums stay.
const MOST_AGE_S: f64 = 60.0;
/// No member counts more than this.
const MOST_COUNT: u64 = 1 << 48;

/// One member of itself, cumulative since the process of its process where it is a sum.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub member: u64,
    pub process: u64,
    pub incarnation: u64,
    pub version: u64,
    /// How long ago it was made, in milliseconds.
    pub age_ms: u32,
    /// Work items taken, by category; and the most in any second.
    pub arrivals: Vec<u64>,
    pub peaks: Vec<u32>,
    /// Jobs running at runners in the mean of the last second, in sixteenths, by runner and in all.
    pub running: Vec<(u64, u16)>,
    pub running_all: u32,
    pub evidence: Vec<Evidence>,
}

/// Which versions one has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    pub member: u64,
    pub incarnation: u64,
    pub version: u64,
}

/// A figure over all members, and how far off it may be: what may have come since each was last heard.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalEstimate {
    pub sum: u64,
    /// The true figure is between `sum` and `sum + max_error`, as long as nobody exceeds twice its busiest second.
    pub max_error: u64,
    /// How long ago the member heard of least was heard of, of those heard of at all; seconds.
    pub oldest_s: f64,
    pub members: usize,
}

/// The sums of one process of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ArrivalCounts {
    pub member: u64,
    pub process: u64,
    pub incarnation: u64,
    pub arrivals: Vec<u64>,
}

struct Kept {
    report: Report,
    made: f64,
    /// ArrivalCounts by process under this name, the largest of each ever told: an old one's stay what they were.
    sums: BTreeMap<u64, ArrivalCounts>,
}

/// Processes under one name whose sums are told apart; of more, those of the lowest incarnation are left out.
const MOST_BIRTHS: usize = 16;

fn raise(sums: &mut BTreeMap<u64, ArrivalCounts>, told: ArrivalCounts) {
    let most = told.arrivals.len();
    let kept = sums.entry(told.process).or_insert_with(|| ArrivalCounts {
        arrivals: vec![0; most],
        ..told.clone()
    });
    kept.arrivals.resize(most.max(kept.arrivals.len()), 0);
    kept.arrivals
        .iter_mut()
        .zip(&told.arrivals)
        .for_each(|(kept, told)| *kept = (*kept).max(*told));
    kept.incarnation = kept.incarnation.max(told.incarnation);
    if sums.len() > MOST_BIRTHS {
        let oldest = sums.values().map(|s| (s.incarnation, s.process)).min();
        oldest
            .into_iter()
            .for_each(|(_, process)| drop(sums.remove(&process)));
    }
}

#[derive(Default)]
pub struct ReportTable {
    kept: BTreeMap<u64, Kept>,
}

impl Report {
    /// Figures that a member can have.
    pub fn sound(&self) -> bool {
        let ordered = self.running.windows(2).all(|two| two[0].0 < two[1].0);
        self.arrivals.len() <= MOST_CATEGORIES
            && self.peaks.len() == self.arrivals.len()
            && self.arrivals.iter().all(|n| *n < MOST_COUNT)
            && self.running.len() <= MOST_RUNNERS
            && self.evidence.len() <= MOST_RUNNERS
            && ordered
    }
}

impl ReportTable {
    /// Takes up a report; false for one that cannot be: a sum that runs backwards in one process.
    pub fn join(&mut self, now: f64, report: Report) -> bool {
        if !report.sound() {
            return false;
        }
        let made = now - f64::from(report.age_ms) / 1e3;
        let Report {
            member,
            process,
            incarnation,
            ..
        } = report;
        let sums = ArrivalCounts {
            member,
            process,
            incarnation,
            arrivals: report.arrivals.clone(),
        };
        let Some(kept) = self.kept.get_mut(&member) else {
            let sums = [(process, sums)].into();
            self.kept.insert(member, Kept { report, made, sums });
            return true;
        };
        let order = |report: &Report| (report.incarnation, report.version);
        let newer = order(&report) > order(&kept.report);
        // Guards against a sum that runs backwards in one process: no join can make that, only a fault or a lie.
        let had = kept.sums.get(&process).map_or(&[][..], |had| &had.arrivals);
        let back = had
            .iter()
            .enumerate()
            .any(|(n, had)| report.arrivals.get(n).is_none_or(|told| told < had));
        if newer && process == kept.report.process && back {
            return false;
        }
        raise(&mut kept.sums, sums);
        if newer {
            (kept.report, kept.made) = (report, made);
        }
        true
    }

    /// All sums, by process: a report carries only its own process's.
    pub fn counts(&self) -> Vec<ArrivalCounts> {
        self.kept
            .values()
            .flat_map(|kept| kept.sums.values().cloned())
            .collect()
    }

    /// Takes up such sums of members that are known.
    pub fn join_counts(&mut self, sums: Vec<ArrivalCounts>) -> bool {
        let mut sound = true;
        for sums in sums {
            if sums.arrivals.len() > MOST_CATEGORIES
                || sums.arrivals.iter().any(|n| *n >= MOST_COUNT)
            {
                sound = false;
            } else if let Some(kept) = self.kept.get_mut(&sums.member) {
                raise(&mut kept.sums, sums);
            }
        }
        sound
    }

    pub fn digest(&self) -> Vec<Digest> {
        let digest = |r: &Report| Digest {
            member: r.member,
            incarnation: r.incarnation,
            version: r.version,
        };
        self.kept
            .values()
            .map(|kept| digest(&kept.report))
            .collect()
    }

    /// What another lacks that has this digest; ages as of now.
    pub fn missing_from(&self, now: f64, digest: &[Digest]) -> Vec<Report> {
        let has: BTreeMap<u64, (u64, u64)> = digest
            .iter()
            .map(|d| (d.member, (d.incarnation, d.version)))
            .collect();
        let lacks = |kept: &&Kept| {
            let order = (kept.report.incarnation, kept.report.version);
            has.get(&kept.report.member).is_none_or(|had| *had < order)
        };
        let aged = |kept: &Kept| {
            let age_ms = ((now - kept.made).max(0.0) * 1e3).min(f64::from(u32::MAX)) as u32;
            Report {
                age_ms,
                ..kept.report.clone()
            }
        };
        self.kept.values().filter(lacks).map(aged).collect()
    }

    /// ReportTable made lately, with the age of each.
    pub fn fresh(&self, now: f64, within_s: f64) -> impl Iterator<Item = (&Report, f64)> {
        self.kept
            .values()
            .map(move |kept| (&kept.report, (now - kept.made).max(0.0)))
            .filter(move |(_, age_s)| *age_s < within_s)
    }

    pub fn age(&self, now: f64, who: u64) -> Option<f64> {
        self.kept.get(&who).map(|kept| (now - kept.made).max(0.0))
    }

    /// Work items that all members took of a category, since each began.
    pub fn arrivals(&self, now: f64, category: usize) -> ArrivalEstimate {
        let mut told = ArrivalEstimate::default();
        for kept in self.kept.values() {
            let age_s = (now - kept.made).max(0.0);
            let of = |sums: &ArrivalCounts| sums.arrivals.get(category).copied().unwrap_or(0);
            told.sum += kept.sums.values().map(of).sum::<u64>();
            let peak = kept.report.peaks.get(category).copied().unwrap_or(0);
            told.max_error += (2.0 * f64::from(peak.max(1)) * age_s).ceil() as u64;
            told.oldest_s = told.oldest_s.max(age_s);
            told.members += 1;
        }
        told
    }

    /// Jobs of all members that run, as far as each was heard of within the last seconds.
    pub fn running(&self, now: f64, within_s: f64) -> (u64, usize) {
        let of = self
            .fresh(now, within_s)
            .map(|(report, _)| u64::from(report.running_all));
        of.fold((0, 0), |(sum, members), running| {
            (sum + running, members + 1)
        })
    }

    /// The same at one runner.
    pub fn running_at(&self, now: f64, within_s: f64, runner: u64) -> u64 {
        let at = |report: &Report| {
            let place = report.running.binary_search_by_key(&runner, |(of, _)| *of);
            place.map_or(0, |place| u64::from(report.running[place].1))
        };
        self.fresh(now, within_s)
            .map(|(report, _)| at(report))
            .sum()
    }

    /// Observations and gauges of the long unheard say nothing any more; the sums are kept.
    pub fn expire(&mut self, now: f64) {
        for kept in self
            .kept
            .values_mut()
            .filter(|kept| now > kept.made + MOST_AGE_S)
        {
            kept.report.evidence.clear();
            kept.report.running.clear();
            kept.report.running_all = 0;
        }
    }
}
