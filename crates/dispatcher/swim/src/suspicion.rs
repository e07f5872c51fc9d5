//! Suspicion timers (SWIM, section 4.2), shortened by independent accusers (Lifeguard, section IV, local health
//! aware suspicion).

use std::collections::BTreeMap;

/// The shortest suspicion lasts this many times log10(n) probe intervals (Lifeguard's alpha).
const MIN_TIMEOUT_FACTOR: f64 = 4.0;
/// A suspicion with one accuser lasts this many times the shortest (Lifeguard's beta).
const MAX_TIMEOUT_FACTOR: f64 = 6.0;
/// With this many accusers beside the first, a suspicion is shortest (Lifeguard's K).
const MAX_CONFIRMATIONS: usize = 3;

struct Suspicion {
    started_at: f64,
    deadline: f64,
    /// Numbers of the members that accuse.
    accusers: Vec<u64>,
}

/// The running suspicions, by the suspected member's index in the roster.
pub(crate) struct SuspicionTimers {
    /// The shortest suspicion at best local health, in seconds.
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

    /// Starts a suspicion with its first accuser.
    pub(crate) fn start(&mut self, now: f64, member: usize, accuser: u64, health_multiplier: f64) {
        let suspicion = Suspicion {
            started_at: now,
            deadline: f64::INFINITY,
            accusers: Vec::new(),
        };
        self.running.insert(member, suspicion);
        self.accuse(member, accuser, health_multiplier);
    }

    /// Counts another accuser: the more there are, the sooner the suspicion ends. False when it changes nothing.
    pub(crate) fn accuse(&mut self, member: usize, accuser: u64, health_multiplier: f64) -> bool {
        let Some(suspicion) = self.running.get_mut(&member) else {
            return false;
        };
        let full = suspicion.accusers.len() > MAX_CONFIRMATIONS;
        if full || suspicion.accusers.contains(&accuser) {
            return false;
        }
        suspicion.accusers.push(accuser);
        let min_s = self.min_timeout_s * health_multiplier;
        let max_s = MAX_TIMEOUT_FACTOR * min_s;
        let confirmations = (suspicion.accusers.len() - 1) as f64;
        let part = (confirmations + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
        let timeout_s = (max_s - (max_s - min_s) * part).max(min_s);
        suspicion.deadline = suspicion.started_at + timeout_s;
        true
    }

    /// Ends a suspicion; false when there was none.
    pub(crate) fn cancel(&mut self, member: usize) -> bool {
        self.running.remove(&member).is_some()
    }

    /// Moves all suspicions on by a time in which this process did not run.
    pub(crate) fn postpone(&mut self, by_s: f64) {
        for suspicion in self.running.values_mut() {
            suspicion.deadline += by_s;
            suspicion.started_at += by_s;
        }
    }

    /// Members whose suspicion has timed out.
    pub(crate) fn expired(&self, now: f64) -> Vec<usize> {
        self.running
            .iter()
            .filter(|(_, suspicion)| suspicion.deadline <= now)
            .map(|(member, _)| *member)
            .collect()
    }

    /// The first deadline; infinity without one.
    pub(crate) fn next_deadline(&self) -> f64 {
        self.running
            .values()
            .map(|suspicion| suspicion.deadline)
            .fold(f64::INFINITY, f64::min)
    }
}
