//! Suspicion timers (SWIM, section 4.2), shortened by independent reporters (Lifeguard, section IV, local health
//! aware suspicion).

use std::collections::BTreeMap;

/// The shortest suspicion lasts this number times log10(n) probe intervals, where n is the number of members
/// (Lifeguard's alpha).
const MIN_TIMEOUT_FACTOR: f64 = 4.0;
/// A suspicion with one reporter lasts this many times as long as the shortest (Lifeguard's beta).
const MAX_TIMEOUT_FACTOR: f64 = 6.0;
/// With this many reporters in addition to the first, a suspicion has its shortest duration (Lifeguard's K).
const MAX_CONFIRMATIONS: usize = 3;

/// Suspicion of one member. Times are in seconds on the caller's clock.
struct Suspicion {
    started_at_s: f64,
    deadline_s: f64,
    /// Numbers of the members that reported the suspicion.
    reporters: Vec<u64>,
}

/// Suspicions that have not ended, by the suspected member's index in the roster.
pub(crate) struct SuspicionTimers {
    /// Shortest duration of a suspicion at the best local health, in seconds.
    min_timeout_s: f64,
    running: BTreeMap<usize, Suspicion>,
}

impl SuspicionTimers {
    pub(crate) fn new(member_count: usize, probe_interval_s: f64) -> Self {
        let log_n = (member_count as f64).log10().max(1.0);
        SuspicionTimers {
            min_timeout_s: MIN_TIMEOUT_FACTOR * log_n * probe_interval_s,
            running: BTreeMap::new(),
        }
    }

    /// Starts a suspicion with its first reporter.
    pub(crate) fn start(
        &mut self,
        now_s: f64,
        member: usize,
        reporter: u64,
        health_multiplier: f64,
    ) {
        let suspicion = Suspicion {
            started_at_s: now_s,
            deadline_s: f64::INFINITY,
            reporters: Vec::new(),
        };
        self.running.insert(member, suspicion);
        self.add_reporter(member, reporter, health_multiplier);
    }

    /// Adds a reporter: the more reporters there are, the sooner the suspicion ends. Returns false if nothing changed.
    pub(crate) fn add_reporter(
        &mut self,
        member: usize,
        reporter: u64,
        health_multiplier: f64,
    ) -> bool {
        let Some(suspicion) = self.running.get_mut(&member) else {
            return false;
        };
        let is_full = suspicion.reporters.len() > MAX_CONFIRMATIONS;
        if is_full || suspicion.reporters.contains(&reporter) {
            return false;
        }
        suspicion.reporters.push(reporter);
        let min_s = self.min_timeout_s * health_multiplier;
        let max_s = MAX_TIMEOUT_FACTOR * min_s;
        let confirmations = (suspicion.reporters.len() - 1) as f64;
        let fraction = (confirmations + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
        let timeout_s = (max_s - (max_s - min_s) * fraction).max(min_s);
        suspicion.deadline_s = suspicion.started_at_s + timeout_s;
        true
    }

    /// Ends a suspicion. Returns false if there was none.
    pub(crate) fn cancel(&mut self, member: usize) -> bool {
        self.running.remove(&member).is_some()
    }

    /// Postpones all suspicions by the time in which this process did not run.
    pub(crate) fn postpone(&mut self, delay_s: f64) {
        for suspicion in self.running.values_mut() {
            suspicion.deadline_s += delay_s;
            suspicion.started_at_s += delay_s;
        }
    }

    /// Members whose suspicion has timed out.
    pub(crate) fn expired(&self, now_s: f64) -> Vec<usize> {
        self.running
            .iter()
            .filter(|(_, suspicion)| suspicion.deadline_s <= now_s)
            .map(|(member, _)| *member)
            .collect()
    }

    /// Earliest deadline of all suspicions; infinity without one.
    pub(crate) fn next_deadline(&self) -> f64 {
        self.running
            .values()
            .map(|suspicion| suspicion.deadline_s)
            .fold(f64::INFINITY, f64::min)
    }
}
