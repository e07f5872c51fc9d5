//! The statistics of a run, shared by simulated runners, the load and the operator: when jobs were due, when their tasks
//! started and ended, which terms runners have received. One lock guards the state; it is never held across an await.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use tokio::sync::mpsc;

use crate::timings::{Timing, Timings};

/// Counts of a run.
#[derive(Default)]
pub struct Counts {
    /// Runs that started.
    pub starts: AtomicU64,
    /// Runs that ended with their work done.
    pub ends: AtomicU64,
    /// Runs that ended otherwise.
    pub other_ends: AtomicU64,
    /// Starts of a task that was running elsewhere.
    pub double_starts: AtomicU64,
    /// Heartbeats sent.
    pub heartbeats: AtomicU64,
    /// Heartbeats without a good answer.
    pub failed_heartbeats: AtomicU64,
    /// Reports that simulated agents sent.
    pub reports: AtomicU64,
    /// Submissions that were accepted.
    pub accepted: AtomicU64,
    /// Jobs whose submission was accepted in none of its attempts.
    pub refused: AtomicU64,
    /// Runs that are active now.
    pub running: AtomicU64,
}

impl Counts {
    /// Adds one.
    pub fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// A job that is submitted or about to be.
pub struct ExpectedJob {
    /// When it was to be submitted, by the plan.
    pub due: Instant,
    /// The name of its shape.
    pub shape: String,
    /// Whether it is due within the measurement.
    pub measured: bool,
    /// Ends still to come.
    pub left: u32,
    /// Whether one of its tasks has started.
    pub started: bool,
}

/// The members of a gang that have started, and since when the gang is complete.
#[derive(Clone, Copy, Default)]
struct GangMembers {
    present: u32,
    complete_since: Option<Instant>,
}

/// When runners received a term.
#[derive(Clone, Copy, Debug)]
pub struct ObservedTerm {
    /// When the first runner received it.
    pub first: Instant,
    /// When the last runner so far received it.
    pub last: Instant,
    /// Runners that have received it.
    pub runners: u64,
}

#[derive(Default)]
struct State {
    jobs: HashMap<u64, ExpectedJob>,
    running: HashMap<String, u64>,
    gangs: HashMap<String, GangMembers>,
    terms: BTreeMap<u64, ObservedTerm>,
    first_starts: BTreeMap<u64, Instant>,
}

/// Everything that is recorded while a run lasts.
pub struct RunStatistics {
    /// The counts.
    pub counts: Counts,
    /// The times.
    pub timings: Timings,
    state: Mutex<State>,
    over: mpsc::UnboundedSender<CompletedJob>,
}

/// All tasks of a job have ended.
pub struct CompletedJob {
    /// The number of the job.
    pub id: u64,
    /// When its last task ended.
    pub at: Instant,
    /// The name of its shape.
    pub shape: String,
    /// Whether it was due within the measurement.
    pub measured: bool,
}

impl RunStatistics {
    /// Empty statistics; jobs whose tasks have all ended are sent by the channel.
    pub fn new() -> (RunStatistics, mpsc::UnboundedReceiver<CompletedJob>) {
        let (over, receiver) = mpsc::unbounded_channel();
        let statistics = RunStatistics {
            counts: Counts::default(),
            timings: Timings::default(),
            state: Mutex::default(),
            over,
        };
        (statistics, receiver)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Records a job that is about to be submitted.
    pub fn expect(&self, id: u64, facts: ExpectedJob) {
        self.lock().jobs.insert(id, facts);
    }

    /// Records that a runner has started a task under a term.
    pub fn record_start(&self, task: &str, attempt: u64, term: u64, now: Instant) {
        Counts::add(&self.counts.starts);
        Counts::add(&self.counts.running);
        let mut state = self.lock();
        state.first_starts.entry(term).or_insert(now);
        if state.running.insert(task.to_owned(), attempt).is_some() {
            Counts::add(&self.counts.double_starts);
        }
        let Some(job) = job_of(task).and_then(|id| state.jobs.get_mut(&id)) else {
            return;
        };
        if !std::mem::replace(&mut job.started, true) && job.measured {
            self.timings
                .record(Timing::SubmitToFirstStart, &job.shape, now - job.due);
        }
    }

    /// Records that a run has ended; `done` where its work was done.
    pub fn record_end(&self, task: &str, attempt: u64, done: bool, now: Instant) {
        self.counts.running.fetch_sub(1, Ordering::Relaxed);
        Counts::add(if done {
            &self.counts.ends
        } else {
            &self.counts.other_ends
        });
        let mut state = self.lock();
        if state.running.get(task) == Some(&attempt) {
            state.running.remove(task);
        }
        if !done {
            return;
        }
        let Some(id) = job_of(task) else { return };
        let Some(job) = state.jobs.get_mut(&id) else {
            return;
        };
        job.left = job.left.saturating_sub(1);
        if job.left == 0 {
            let job = state.jobs.remove(&id).expect("looked at");
            let over = CompletedJob {
                id,
                at: now,
                shape: job.shape,
                measured: job.measured,
            };
            // An error: the run is over.
            let _ = self.over.send(over);
        }
    }

    /// Records that a member of a gang has started; `members` is the size of the gang.
    pub fn record_gang_member(&self, run: &str, members: u32, now: Instant) {
        let mut state = self.lock();
        let members_present = state.gangs.entry(run.to_owned()).or_default();
        members_present.present += 1;
        if members_present.present >= members {
            members_present.complete_since = Some(now);
        }
    }

    /// Since when the gang is complete; `None` while members are missing.
    pub fn complete_since(&self, run: &str) -> Option<Instant> {
        self.lock()
            .gangs
            .get(run)
            .and_then(|members_present| members_present.complete_since)
    }

    /// Records that a runner has received a term for the first time.
    pub fn record_term(&self, term: u64, now: Instant) {
        let mut state = self.lock();
        let seen = state.terms.entry(term).or_insert(ObservedTerm {
            first: now,
            last: now,
            runners: 0,
        });
        seen.last = now;
        seen.runners += 1;
    }

    /// The number of terms that runners have received.
    pub fn terms(&self) -> u64 {
        self.lock().terms.len() as u64
    }

    /// The number of runners that have received the newest term.
    pub fn newest_term_runners(&self) -> u64 {
        self.lock()
            .terms
            .values()
            .next_back()
            .map_or(0, |seen| seen.runners)
    }

    /// The first term that runners received after an instant and before another.
    pub fn term_between(&self, from: Instant, to: Option<Instant>) -> Option<(u64, ObservedTerm)> {
        let state = self.lock();
        let within = |seen: &ObservedTerm| seen.first > from && to.is_none_or(|to| seen.first < to);
        state
            .terms
            .iter()
            .find(|(_, seen)| within(seen))
            .map(|(&term, &seen)| (term, seen))
    }

    /// The first start under a term.
    pub fn first_start_of(&self, term: u64) -> Option<Instant> {
        self.lock().first_starts.get(&term).copied()
    }

    /// Jobs that were submitted and whose tasks have not all ended.
    pub fn open_jobs(&self) -> usize {
        self.lock().jobs.len()
    }
}

/// The job in a task's name (`ID.K.STEP.INDEX`).
fn job_of(task: &str) -> Option<u64> {
    let (id, _) = task.split_once('.')?;
    u64::from_str_radix(id, 16).ok()
}

/// The run of a gang in a task's name and attempt.
pub fn gang_run(task: &str, attempt: u64) -> String {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    format!("{step} {attempt}")
}
