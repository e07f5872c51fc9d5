//! A simulated runner: carries out starts and stops, lets time pass instead of working, and reports that in heartbeats.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::{Capacity, Heartbeat, HeartbeatAnswer};
use crate::plan::TaskText;
use crate::run_statistics::{gang_run, RunStatistics};

/// After an end the next heartbeat goes out so soon.
const AFTER_END: Duration = Duration::from_millis(50);
/// A member of a gang waits so long for the others.
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
const VERSION: &str = "v1";
const SLOTS: u32 = 8;
const MAX_PERCENT: u128 = 100;

/// What a runner is.
#[derive(Clone, Debug)]
pub struct RunnerProfile {
    /// Its instance.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// The address on which it accepts calls, `ip:port`.
    pub address: String,
    /// All of its resources.
    pub capacity: Capacity,
    /// What placements may ask for.
    pub labels: Vec<String>,
    /// It sends a heartbeat this often, unless told otherwise.
    pub heartbeat: Duration,
}

/// A run that is active.
struct Run {
    task: String,
    attempt: u64,
    text: TaskText,
    arrived: Instant,
    /// Its work began; `None` for a member of a gang that waits.
    begun: Option<Instant>,
}

/// A run that is over and not observed.
struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

/// The runner's state.
pub struct SimulatedRunner {
    profile: RunnerProfile,
    statistics: Arc<RunStatistics>,
    started: Instant,
    sequence: u64,
    active: Vec<Run>,
    finished: Vec<End>,
    ends: u64,
    fencing_token: u64,
    lease_end: Instant,
    highest_attempt: HashMap<String, u64>,
    next_heartbeat: Instant,
}

impl SimulatedRunner {
    /// A runner that has just started.
    pub fn new(
        profile: RunnerProfile,
        statistics: Arc<RunStatistics>,
        now: Instant,
    ) -> SimulatedRunner {
        SimulatedRunner {
            profile,
            statistics,
            started: now,
            sequence: 0,
            active: Vec::new(),
            finished: Vec::new(),
            ends: 0,
            fencing_token: 0,
            lease_end: now,
            highest_attempt: HashMap::new(),
            next_heartbeat: now,
        }
    }

    /// The path of its heartbeats.
    pub fn path(&self) -> String {
        format!("/v1/instances/{}/heartbeat", self.profile.instance)
    }

    /// When something is due: a heartbeat, or an end.
    pub fn due(&self) -> Instant {
        let ends = self.active.iter().filter_map(|run| run.ends_at());
        ends.map(|end| end + AFTER_END)
            .chain([self.next_heartbeat])
            .min()
            .unwrap_or(self.next_heartbeat)
    }

    /// Lets time pass up to now, and writes a heartbeat.
    pub fn heartbeat(&mut self, now: Instant) -> Vec<u8> {
        self.pass(now);
        self.sequence += 1;
        self.next_heartbeat = now + self.profile.heartbeat;
        let active = self
            .active
            .iter()
            .map(|run| (&*run.task, run.attempt, "", run.percent(now)));
        let finished = self
            .finished
            .iter()
            .map(|end| (end.number, &*end.task, end.attempt, end.how, ""));
        let heartbeat = Heartbeat {
            service: &self.profile.service,
            address: &self.profile.address,
            zone: "loopback",
            version: VERSION,
            slots: SLOTS,
            state: "ready",
            cold_remaining_ms: 0,
            capacity: self.profile.capacity,
            labels: &self.profile.labels,
            clock_ms: (now - self.started).as_millis() as u64,
            seq: self.sequence,
            active: active.collect(),
            finished: finished.collect(),
        };
        serde_json::to_vec(&heartbeat).expect("plain values")
    }

    /// Carries out the answer to a heartbeat that was sent at `sent`. An answer with a lower fencing token is ignored.
    pub fn carry_out(&mut self, sent: Instant, now: Instant, answer: HeartbeatAnswer) {
        if answer.fence_token < self.fencing_token {
            return;
        }
        if answer.fence_token > self.fencing_token {
            self.fencing_token = answer.fence_token;
            self.statistics.record_term(self.fencing_token, now);
        }
        self.finished.retain(|end| end.number > answer.observed);
        for (task, attempt) in answer.stop {
            self.stop(now, &task, attempt);
        }
        if let Some(hold_ms) = answer.hold_ms {
            self.lease_end = self.lease_end.max(sent + Duration::from_millis(hold_ms));
            for (task, attempt, spec, _) in answer.start {
                self.start(now, task, attempt, &spec);
            }
        }
        if let Some(retry_ms) = answer.retry_after_ms {
            self.next_heartbeat = now + Duration::from_millis(retry_ms);
        }
    }

    /// Ends the runs whose time has come; without a lease, all.
    fn pass(&mut self, now: Instant) {
        if now > self.lease_end {
            let lapsed = std::mem::take(&mut self.active);
            lapsed
                .into_iter()
                .for_each(|run| self.end(now, run, "lapsed"));
        }
        for mut run in std::mem::take(&mut self.active) {
            run.begin(&self.statistics);
            match run.how_it_ends(now) {
                Some(how) => self.end(now, run, how),
                None => self.active.push(run),
            }
        }
    }

    fn start(&mut self, now: Instant, task: String, attempt: u64, spec: &str) {
        let highest = self.highest_attempt.entry(task.clone()).or_default();
        if *highest >= attempt {
            return;
        }
        *highest = attempt;
        let Some(text) = TaskText::read(spec) else {
            return;
        };
        self.statistics
            .record_start(&task, attempt, self.fencing_token, now);
        if text.gang > 0 {
            self.statistics
                .record_gang_member(&gang_run(&task, attempt), text.gang, now);
        }
        let mut run = Run {
            task,
            attempt,
            text,
            arrived: now,
            begun: None,
        };
        if text.gang == 0 {
            run.begun = Some(now);
        }
        self.active.push(run);
    }

    fn stop(&mut self, now: Instant, task: &str, attempt: u64) {
        let place = self
            .active
            .iter()
            .position(|run| run.task == task && run.attempt == attempt);
        if let Some(place) = place {
            let run = self.active.swap_remove(place);
            self.end(now, run, "stopped");
        }
    }

    fn end(&mut self, now: Instant, run: Run, how: &'static str) {
        self.statistics
            .record_end(&run.task, run.attempt, how == "done", now);
        if how == "done" {
            self.highest_attempt.remove(&run.task);
        }
        self.ends += 1;
        self.finished.push(End {
            number: self.ends,
            task: run.task,
            attempt: run.attempt,
            how,
        });
    }

    /// Runs that are active.
    pub fn active(&self) -> usize {
        self.active.len()
    }
}

impl Run {
    /// A member of a gang begins once all are there.
    fn begin(&mut self, statistics: &RunStatistics) {
        if self.begun.is_none() {
            self.begun = statistics.complete_since(&gang_run(&self.task, self.attempt));
        }
    }

    fn ends_at(&self) -> Option<Instant> {
        self.begun
            .map(|begun| begun + Duration::from_millis(self.text.work_ms))
    }

    fn how_it_ends(&self, now: Instant) -> Option<&'static str> {
        match self.ends_at() {
            Some(end) => (now >= end).then_some("done"),
            None => (now >= self.arrived + GANG_TIMEOUT).then_some("alone"),
        }
    }

    fn percent(&self, now: Instant) -> u8 {
        let passed = self
            .begun
            .map_or(Duration::ZERO, |begun| now.saturating_duration_since(begun));
        let percent = passed.as_millis() * MAX_PERCENT / u128::from(self.text.work_ms.max(1));
        percent.min(MAX_PERCENT) as u8
    }
}
