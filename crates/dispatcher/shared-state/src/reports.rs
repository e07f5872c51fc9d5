//! The last report of each member. The join keeps, by member, the report of the higher incarnation, then version: it is
//! associative, commutative and idempotent (state-based CRDTs; Shapiro et al., 2011), so that loss, duplication and
//! reordering do no harm. Reports may come by way of other members, under their maker's name and age.

use std::collections::BTreeMap;

use sagetrail_swim::FrameError;
use serde::{Deserialize, Serialize};

use crate::observations::Evidence;

/// Categories in one report.
const MAX_CATEGORIES: usize = 256;
/// Runners in one report.
const MAX_RUNNERS: usize = 8192;
/// Evidence and running jobs of an older report are dropped, in seconds; its counts stay.
const MAX_AGE_S: f64 = 60.0;
/// No member counts more than this.
const MAX_COUNT: u64 = 1 << 48;
/// Processes of one name whose counts are told apart; of more, those of the lowest incarnation are left out.
const MAX_PROCESSES_PER_MEMBER: usize = 16;
/// The true count of arrivals stays within the estimate as long as no member exceeds this many times its busiest
/// second.
const PEAK_FACTOR: f64 = 2.0;

/// What one member says of itself; counts are since its process started. The order of the fields is part of the wire
/// format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The member's number.
    pub member: u64,
    /// The number that its process drew.
    pub process: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// Counts its reports.
    pub version: u64,
    /// How long ago it was made, in milliseconds.
    pub age_ms: u32,
    /// Work items taken, by category.
    pub arrivals: Vec<u64>,
    /// The most work items within a second, by category.
    pub peaks: Vec<u32>,
    /// Jobs running in the mean of the last second, in sixteenths, by the runner's number in ascending order.
    pub running: Vec<(u64, u16)>,
    /// The same at all runners together.
    pub running_all: u32,
    /// What it observed of runners itself.
    pub evidence: Vec<Evidence>,
}

impl Report {
    /// Whether all values are possible.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let is_ascending = self.running.windows(2).all(|two| two[0].0 < two[1].0);
        are_valid_counts(&self.arrivals)
            && self.peaks.len() == self.arrivals.len()
            && self.running.len() <= MAX_RUNNERS
            && self.evidence.len() <= MAX_RUNNERS
            && is_ascending
    }

    /// The order of one member's reports.
    fn order(&self) -> (u64, u64) {
        (self.incarnation, self.version)
    }

    fn arrival_counts(&self) -> ArrivalCounts {
        ArrivalCounts {
            member: self.member,
            process: self.process,
            incarnation: self.incarnation,
            arrivals: self.arrivals.clone(),
        }
    }
}

fn are_valid_counts(counts: &[u64]) -> bool {
    counts.len() <= MAX_CATEGORIES && counts.iter().all(|count| *count < MAX_COUNT)
}

/// Which report of a member is at hand. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The member's number.
    pub member: u64,
    /// Of the report.
    pub incarnation: u64,
    /// Of the report.
    pub version: u64,
}

/// A count over all members, and how far off it may be by what came since each was last received.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalEstimate {
    /// The sum of all reported counts.
    pub sum: u64,
    /// The true count is between `sum` and `sum + max_error`, as long as no member exceeds twice its busiest second.
    pub max_error: u64,
    /// The age of the oldest report, in seconds.
    pub oldest_s: f64,
    /// Members with a report.
    pub members: usize,
}

/// The counts of one process of a member. The order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ArrivalCounts {
    /// The member's number.
    pub member: u64,
    /// The number that the process drew.
    pub process: u64,
    /// The highest incarnation that it reported under.
    pub incarnation: u64,
    /// Work items taken, by category.
    pub arrivals: Vec<u64>,
}

impl ArrivalCounts {
    /// Raises each count to the larger of both: counts only grow.
    fn raise(&mut self, other: &ArrivalCounts) {
        let category_count = self.arrivals.len().max(other.arrivals.len());
        self.arrivals.resize(category_count, 0);
        for (count, reported) in self.arrivals.iter_mut().zip(&other.arrivals) {
            *count = (*count).max(*reported);
        }
        self.incarnation = self.incarnation.max(other.incarnation);
    }
}

/// Counts of one member by process (a grow-only counter; Shapiro et al., 2011): those of a former process stay what they
/// were.
#[derive(Default)]
struct CountsByProcess {
    by_process: BTreeMap<u64, ArrivalCounts>,
}

impl CountsByProcess {
    fn join(&mut self, reported: ArrivalCounts) {
        self.by_process
            .entry(reported.process)
            .and_modify(|counts| counts.raise(&reported))
            .or_insert(reported);
        if self.by_process.len() > MAX_PROCESSES_PER_MEMBER {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .by_process
            .values()
            .map(|counts| (counts.incarnation, counts.process))
            .min();
        if let Some((_, process)) = oldest {
            self.by_process.remove(&process);
        }
    }

    /// Whether a report of this process counts less than an earlier one did.
    fn would_go_back(&self, report: &Report) -> bool {
        let Some(known) = self.by_process.get(&report.process) else {
            return false;
        };
        let mut counts = known.arrivals.iter().enumerate();
        counts.any(|(category, count)| {
            report
                .arrivals
                .get(category)
                .is_none_or(|reported| reported < count)
        })
    }

    fn sum(&self, category: usize) -> u64 {
        let of = |counts: &ArrivalCounts| counts.arrivals.get(category).copied().unwrap_or(0);
        self.by_process.values().map(of).sum()
    }
}

/// What is at hand of one member.
struct MemberReport {
    report: Report,
    /// When the report was made, in seconds of this member's clock.
    made_at: f64,
    counts: CountsByProcess,
}

impl MemberReport {
    fn new(report: Report, made_at: f64) -> Self {
        let mut counts = CountsByProcess::default();
        counts.join(report.arrival_counts());
        MemberReport {
            report,
            made_at,
            counts,
        }
    }

    fn age_s(&self, now: f64) -> f64 {
        (now - self.made_at).max(0.0)
    }

    /// The report with its age as of now.
    fn aged(&self, now: f64) -> Report {
        let age_ms = (self.age_s(now) * 1e3).min(f64::from(u32::MAX)) as u32;
        Report {
            age_ms,
            ..self.report.clone()
        }
    }
}

/// The last report of each member, by its number.
#[derive(Default)]
pub struct ReportTable {
    by_member: BTreeMap<u64, MemberReport>,
}

impl ReportTable {
    /// Joins a report.
    ///
    /// # Errors
    ///
    /// [`FrameError::InvalidValue`] for an impossible value, or a count that goes back within one process: no join makes
    /// that, only a fault or a false report. Nothing is changed then.
    pub fn join(&mut self, now: f64, report: Report) -> Result<(), FrameError> {
        if !report.is_valid() {
            return Err(FrameError::InvalidValue);
        }
        let made_at = now - f64::from(report.age_ms) / 1e3;
        let Some(known) = self.by_member.get_mut(&report.member) else {
            self.by_member
                .insert(report.member, MemberReport::new(report, made_at));
            return Ok(());
        };
        let is_newer = report.order() > known.report.order();
        let is_same_process = report.process == known.report.process;
        if is_newer && is_same_process && known.counts.would_go_back(&report) {
            return Err(FrameError::InvalidValue);
        }
        known.counts.join(report.arrival_counts());
        if is_newer {
            known.report = report;
            known.made_at = made_at;
        }
        Ok(())
    }

    /// All counts by process: a report carries only those of its own process.
    #[must_use]
    pub fn counts(&self) -> Vec<ArrivalCounts> {
        self.by_member
            .values()
            .flat_map(|known| known.counts.by_process.values().cloned())
            .collect()
    }

    /// Joins the counts of members that have a report here.
    ///
    /// # Errors
    ///
    /// [`FrameError::InvalidValue`] for impossible counts; the others are joined nevertheless.
    pub fn join_counts(&mut self, counts: Vec<ArrivalCounts>) -> Result<(), FrameError> {
        let mut joined = Ok(());
        for reported in counts {
            if !are_valid_counts(&reported.arrivals) {
                joined = Err(FrameError::InvalidValue);
            } else if let Some(known) = self.by_member.get_mut(&reported.member) {
                known.counts.join(reported);
            }
        }
        joined
    }

    /// Which reports are at hand.
    #[must_use]
    pub fn digest(&self) -> Vec<Digest> {
        let digest = |known: &MemberReport| Digest {
            member: known.report.member,
            incarnation: known.report.incarnation,
            version: known.report.version,
        };
        self.by_member.values().map(digest).collect()
    }

    /// The reports that another member lacks which has these; their ages are as of now.
    #[must_use]
    pub fn missing_from(&self, now: f64, digest: &[Digest]) -> Vec<Report> {
        let known_there: BTreeMap<u64, (u64, u64)> = digest
            .iter()
            .map(|digest| (digest.member, (digest.incarnation, digest.version)))
            .collect();
        let is_missing = |known: &&MemberReport| {
            known_there
                .get(&known.report.member)
                .is_none_or(|order| *order < known.report.order())
        };
        self.by_member
            .values()
            .filter(is_missing)
            .map(|known| known.aged(now))
            .collect()
    }

    /// Reports made within the last `within_s` seconds, each with its age in seconds.
    pub fn fresh(&self, now: f64, within_s: f64) -> impl Iterator<Item = (&Report, f64)> {
        self.by_member
            .values()
            .map(move |known| (&known.report, known.age_s(now)))
            .filter(move |(_, age_s)| *age_s < within_s)
    }

    /// The age of a member's report in seconds, if there is one.
    #[must_use]
    pub fn age(&self, now: f64, member: u64) -> Option<f64> {
        self.by_member.get(&member).map(|known| known.age_s(now))
    }

    /// Work items of a category that all members took since each started.
    #[must_use]
    pub fn arrivals(&self, now: f64, category: usize) -> ArrivalEstimate {
        let mut estimate = ArrivalEstimate::default();
        for known in self.by_member.values() {
            let age_s = known.age_s(now);
            let peak = known.report.peaks.get(category).copied().unwrap_or(0);
            estimate.sum += known.counts.sum(category);
            estimate.max_error += (PEAK_FACTOR * f64::from(peak.max(1)) * age_s).ceil() as u64;
            estimate.oldest_s = estimate.oldest_s.max(age_s);
            estimate.members += 1;
        }
        estimate
    }

    /// Jobs that run of all members with a report of the last `within_s` seconds, in sixteenths, and how many members
    /// those are.
    #[must_use]
    pub fn running(&self, now: f64, within_s: f64) -> (u64, usize) {
        self.fresh(now, within_s)
            .fold((0, 0), |(jobs, members), (report, _)| {
                (jobs + u64::from(report.running_all), members + 1)
            })
    }

    /// The same at one runner.
    #[must_use]
    pub fn running_at(&self, now: f64, within_s: f64, runner: u64) -> u64 {
        let at_runner = |report: &Report| {
            report
                .running
                .binary_search_by_key(&runner, |(number, _)| *number)
                .map_or(0, |place| u64::from(report.running[place].1))
        };
        self.fresh(now, within_s)
            .map(|(report, _)| at_runner(report))
            .sum()
    }

    /// Drops evidence and running jobs of old reports; the counts stay.
    pub fn expire(&mut self, now: f64) {
        for known in self.by_member.values_mut() {
            if now > known.made_at + MAX_AGE_S {
                known.report.evidence.clear();
                known.report.running.clear();
                known.report.running_all = 0;
            }
        }
    }
}
