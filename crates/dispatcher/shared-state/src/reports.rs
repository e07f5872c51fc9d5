//! The last report of each member. The join keeps, for each member, the report with the higher incarnation, then the
//! higher version. It is associative, commutative and idempotent (state-based CRDTs; Shapiro et al., 2011), so that
//! loss, duplication and reordering do no harm. Other members may forward a report; it keeps its origin and its age.

use std::collections::BTreeMap;

use sagetrail_swim::FrameError;
use serde::{Deserialize, Serialize};

use crate::observations::Evidence;

/// Maximum number of categories in one report.
const MAX_CATEGORIES: usize = 256;
/// Maximum number of runners in one report.
const MAX_RUNNERS: usize = 8192;
/// Evidence and running jobs of a report older than this many seconds are dropped; its counts stay.
const MAX_AGE_S: f64 = 60.0;
/// Upper bound, exclusive, of a valid count.
const MAX_COUNT: u64 = 1 << 48;
/// Maximum number of processes of one member whose counts are kept. Beyond it, the counts of the process with the
/// lowest incarnation are removed.
const MAX_PROCESSES_PER_MEMBER: usize = 16;
/// The true count of arrivals stays within the estimate as long as no member exceeds this many times the rate of its
/// busiest second.
const PEAK_FACTOR: f64 = 2.0;

/// Report of one member on its own state. Counts are since its process started. The order of the fields is part of the
/// wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the member.
    pub member: u64,
    /// Random number that identifies the member's process.
    pub process: u64,
    /// Incarnation of the member.
    pub incarnation: u64,
    /// Sequence number of the report, counted up by the member.
    pub version: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u32,
    /// Number of work items accepted, by category.
    pub arrivals: Vec<u64>,
    /// Maximum number of work items accepted within one second, by category.
    pub peaks: Vec<u32>,
    /// Mean number of jobs running during the last second, in sixteenths, with the runner's number, in ascending order
    /// of that number.
    pub running: Vec<(u64, u16)>,
    /// Mean number of jobs running at all runners together during the last second, in sixteenths.
    pub running_all: u32,
    /// The member's own observations of runners.
    pub evidence: Vec<Evidence>,
}

impl Report {
    /// Whether all values are within their bounds, `peaks` has an entry for each category, and `running` is in order.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let is_ascending = self.running.windows(2).all(|two| two[0].0 < two[1].0);
        are_valid_counts(&self.arrivals)
            && self.peaks.len() == self.arrivals.len()
            && self.running.len() <= MAX_RUNNERS
            && self.evidence.len() <= MAX_RUNNERS
            && is_ascending
    }

    /// Key by which the reports of one member are ordered.
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

/// Identifies the report of a member that another member has. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Number of the member.
    pub member: u64,
    /// Incarnation under which the report was made.
    pub incarnation: u64,
    /// Version of the report.
    pub version: u64,
}

/// Count over all members, with the maximum error from arrivals since the last report of each.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalEstimate {
    /// Sum of all reported counts.
    pub sum: u64,
    /// The true count is between `sum` and `sum + max_error`, as long as no member exceeds twice the rate of its
    /// busiest second.
    pub max_error: u64,
    /// Age of the oldest report in seconds.
    pub oldest_s: f64,
    /// Number of members with a report.
    pub members: usize,
}

/// Arrival counts of one process of a member. The order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ArrivalCounts {
    /// Number of the member.
    pub member: u64,
    /// Random number that identifies the process.
    pub process: u64,
    /// Highest incarnation under which the process reported.
    pub incarnation: u64,
    /// Number of work items accepted, by category.
    pub arrivals: Vec<u64>,
}

impl ArrivalCounts {
    /// Sets each count to the larger of the two, because counts only grow.
    fn raise(&mut self, other: &ArrivalCounts) {
        let category_count = self.arrivals.len().max(other.arrivals.len());
        self.arrivals.resize(category_count, 0);
        for (count, reported) in self.arrivals.iter_mut().zip(&other.arrivals) {
            *count = (*count).max(*reported);
        }
        self.incarnation = self.incarnation.max(other.incarnation);
    }
}

/// Counts of one member by process (a grow-only counter; Shapiro et al., 2011). The counts of an ended process no
/// longer change.
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

    /// Whether a count in a report is lower than in an earlier report of the same process.
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
        let count_of = |counts: &ArrivalCounts| counts.arrivals.get(category).copied().unwrap_or(0);
        self.by_process.values().map(count_of).sum()
    }
}

/// Last report of one member and the counts of all its processes.
struct MemberReport {
    report: Report,
    /// Time at which the report was made, in seconds on the caller's clock.
    made_at_s: f64,
    counts: CountsByProcess,
}

impl MemberReport {
    fn new(report: Report, made_at_s: f64) -> Self {
        let mut counts = CountsByProcess::default();
        counts.join(report.arrival_counts());
        MemberReport {
            report,
            made_at_s,
            counts,
        }
    }

    fn age_s(&self, now_s: f64) -> f64 {
        (now_s - self.made_at_s).max(0.0)
    }

    /// Copy of the report with its present age.
    fn aged(&self, now_s: f64) -> Report {
        let age_ms = (self.age_s(now_s) * 1e3).min(f64::from(u32::MAX)) as u32;
        Report {
            age_ms,
            ..self.report.clone()
        }
    }
}

/// Last report of each member by the member's number.
#[derive(Default)]
pub struct ReportTable {
    by_member: BTreeMap<u64, MemberReport>,
}

impl ReportTable {
    /// Joins a report into the table.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::InvalidValue`], and changes nothing, for an invalid value or for a count that is lower
    /// than before within one process: only a fault or a false report can cause that, no join can.
    pub fn join(&mut self, now_s: f64, report: Report) -> Result<(), FrameError> {
        if !report.is_valid() {
            return Err(FrameError::InvalidValue);
        }
        let made_at_s = now_s - f64::from(report.age_ms) / 1e3;
        let Some(known) = self.by_member.get_mut(&report.member) else {
            self.by_member
                .insert(report.member, MemberReport::new(report, made_at_s));
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
            known.made_at_s = made_at_s;
        }
        Ok(())
    }

    /// Counts of all processes of all members. They are exchanged separately, because a report holds only the counts of
    /// its own process.
    #[must_use]
    pub fn counts(&self) -> Vec<ArrivalCounts> {
        self.by_member
            .values()
            .flat_map(|known| known.counts.by_process.values().cloned())
            .collect()
    }

    /// Joins the counts of members that have a report in the table; those of other members are ignored.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::InvalidValue`] if any counts are invalid; valid ones are joined nevertheless.
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

    /// Digest of the reports in the table.
    #[must_use]
    pub fn digest(&self) -> Vec<Digest> {
        let digest = |known: &MemberReport| Digest {
            member: known.report.member,
            incarnation: known.report.incarnation,
            version: known.report.version,
        };
        self.by_member.values().map(digest).collect()
    }

    /// Reports, with their present ages, that are missing at a member with this digest or are older there.
    #[must_use]
    pub fn missing_from(&self, now_s: f64, digest: &[Digest]) -> Vec<Report> {
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
            .map(|known| known.aged(now_s))
            .collect()
    }

    /// Reports that were made within the last `within_s` seconds, each with its age in seconds.
    pub fn fresh(&self, now_s: f64, within_s: f64) -> impl Iterator<Item = (&Report, f64)> {
        self.by_member
            .values()
            .map(move |known| (&known.report, known.age_s(now_s)))
            .filter(move |(_, age_s)| *age_s < within_s)
    }

    /// Age of a member's report in seconds, if there is one.
    #[must_use]
    pub fn age(&self, now_s: f64, member: u64) -> Option<f64> {
        self.by_member.get(&member).map(|known| known.age_s(now_s))
    }

    /// Estimate of the work items of a category that all members accepted since they started.
    #[must_use]
    pub fn arrivals(&self, now_s: f64, category: usize) -> ArrivalEstimate {
        let mut estimate = ArrivalEstimate::default();
        for known in self.by_member.values() {
            let age_s = known.age_s(now_s);
            let peak = known.report.peaks.get(category).copied().unwrap_or(0);
            estimate.sum += known.counts.sum(category);
            estimate.max_error += (PEAK_FACTOR * f64::from(peak.max(1)) * age_s).ceil() as u64;
            estimate.oldest_s = estimate.oldest_s.max(age_s);
            estimate.members += 1;
        }
        estimate
    }

    /// Number of running jobs, in sixteenths, of all members with a report from the last `within_s` seconds, and the
    /// number of those members.
    #[must_use]
    pub fn running(&self, now_s: f64, within_s: f64) -> (u64, usize) {
        self.fresh(now_s, within_s)
            .fold((0, 0), |(jobs, members), (report, _)| {
                (jobs + u64::from(report.running_all), members + 1)
            })
    }

    /// Number of jobs running at one runner, in sixteenths, by the reports from the last `within_s` seconds.
    #[must_use]
    pub fn running_at(&self, now_s: f64, within_s: f64, runner: u64) -> u64 {
        let at_runner = |report: &Report| {
            report
                .running
                .binary_search_by_key(&runner, |(number, _)| *number)
                .map_or(0, |place| u64::from(report.running[place].1))
        };
        self.fresh(now_s, within_s)
            .map(|(report, _)| at_runner(report))
            .sum()
    }

    /// Drops the evidence and the running jobs of old reports; the counts stay.
    pub fn expire(&mut self, now_s: f64) {
        for known in self.by_member.values_mut() {
            if now_s > known.made_at_s + MAX_AGE_S {
                known.report.evidence.clear();
                known.report.running.clear();
                known.report.running_all = 0;
            }
        }
    }
}
