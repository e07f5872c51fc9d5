//! A runner as the scheduler knows it: what its agent reported, what is assigned to it, what it is to be told.

use crate::ids::TaskId;
use crate::outlier_ejection::RunnerHealth;
use sagetrail_protocol::agent::{Resources, StopCommand, AGENT_LEASE_MS};
use sagetrail_protocol::{Incarnation, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Steady clocks may differ by this share.
const MAX_CLOCK_DRIFT: f64 = 0.03;
/// Beyond the lease, for messages on their way, in milliseconds.
const LEASE_MARGIN_MS: u64 = 300;
/// Without a report for so long a runner gets no new starts, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 1_600;
/// A runner silent towards its agent for so long gets no new starts, in milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 900;

/// How long after the last grant of a lease every run of an unreachable runner is over, in milliseconds.
pub(crate) const LEASE_EXPIRY_MS: u64 =
    AGENT_LEASE_MS + (AGENT_LEASE_MS as f64 * MAX_CLOCK_DRIFT) as u64 + LEASE_MARGIN_MS;

/// A run that may be on the runner.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub attempt: u64,
    pub resources: Resources,
    /// The batch that keeps it; it is ordered only then.
    pub batch: u64,
    /// It is no longer wanted.
    pub stop: bool,
    /// The first revision of orders without its start.
    pub withdrawn_in: Option<u64>,
    /// The newest report lists it as active.
    pub active: bool,
    /// A report has listed it as active.
    pub seen: bool,
    pub since: Time,
    /// Its progress, by the runner's word, and when that last moved.
    pub percent: u8,
    pub progressed_at: Time,
}

/// What was last sent as orders; a difference makes a new revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct CommandSet {
    pub start: BTreeSet<(TaskId, u64)>,
    pub stop: Vec<StopCommand>,
    pub observed: u64,
    pub instance: String,
}

/// An end that was laid into a batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordedEnd {
    pub number: u64,
    pub batch: u64,
}

/// An agent that has reported and may be one that is no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub agent: Incarnation,
    /// The revision of the orders that its first report was answered with: only a living agent can report under it.
    pub revision: u64,
}

/// A runner, named by its agent.
#[derive(Clone, Debug)]
pub(crate) struct Runner {
    /// The agent that is believed; 0 before any was in this term.
    pub agent: Incarnation,
    /// Another one that is not believed yet.
    pub candidate: Option<Candidate>,
    /// Incarnations of the agent that have been replaced.
    pub replaced: Vec<Incarnation>,
    pub sequence: u64,
    pub present: bool,
    pub instance: String,
    pub service: String,
    pub labels: Arc<[String]>,
    pub capacity: Resources,
    pub draining: bool,
    pub lapsed: bool,
    /// While it drains: the time that is left at least, in milliseconds.
    pub remaining_ms: u64,
    /// A settled report has come in this term for this instance: all that may run there is known.
    pub known: bool,
    pub last_report_at: Time,
    pub silent_ms: u64,
    /// When a lease was last granted, or could have been by an earlier scheduler.
    pub granted: Time,
    pub revision: u64,
    pub sent_commands: CommandSet,
    pub assigned: BTreeMap<TaskId, Assignment>,
    /// Active runs that nobody assigned.
    pub unknown: Vec<StopCommand>,
    /// Ends up to this number are in batches.
    pub last_recorded_end: u64,
    pub ends: VecDeque<RecordedEnd>,
    pub observed: u64,
    pub health: RunnerHealth,
}

impl Runner {
    /// A runner of which only the name is known. `granted`: when a lease may last have been granted.
    pub(crate) fn new(granted: Time) -> Runner {
        Runner {
            agent: 0,
            candidate: None,
            replaced: Vec::new(),
            sequence: 0,
            present: false,
            instance: String::new(),
            service: String::new(),
            labels: Arc::from([]),
            capacity: Resources::default(),
            draining: false,
            lapsed: false,
            remaining_ms: 0,
            known: false,
            last_report_at: Time::default(),
            silent_ms: 0,
            granted,
            revision: 0,
            sent_commands: CommandSet::default(),
            assigned: BTreeMap::new(),
            unknown: Vec::new(),
            last_recorded_end: 0,
            ends: VecDeque::new(),
            observed: 0,
            health: RunnerHealth::default(),
        }
    }

    /// True where runs may be started there, room aside.
    pub(crate) fn usable(&self, now: Time) -> bool {
        self.reachable(now) && self.health.may_start(now)
    }

    /// True where it is present, known, well and heard of.
    pub(crate) fn reachable(&self, now: Time) -> bool {
        let recently_reported = now.millis_since(self.last_report_at) < REPORT_TIMEOUT_MS
            && self.silent_ms < HEARTBEAT_TIMEOUT_MS;
        self.present
            && self.known
            && recently_reported
            && !self.draining
            && !self.lapsed
            && self.unknown.is_empty()
    }

    /// Its capacity less what may be running there.
    pub(crate) fn free_capacity(&self) -> Resources {
        let mut room = self.capacity;
        for assignment in self.assigned.values() {
            let used = assignment.resources;
            room.cpu = room.cpu.saturating_sub(used.cpu);
            room.mem_mb = room.mem_mb.saturating_sub(used.mem_mb);
            room.gpu = room.gpu.saturating_sub(used.gpu);
        }
        room
    }

    /// True where nothing can be running there any more, because no lease can still last.
    pub(crate) fn lease_expired(&self, now: Time) -> bool {
        now.millis_since(self.granted) > LEASE_EXPIRY_MS
    }

    /// The rack among its labels: the last one.
    pub(crate) fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }

    /// Notes that batches up to `committed` are kept: ends in them are observed.
    pub(crate) fn observe(&mut self, kept: impl Fn(u64) -> bool) {
        while let Some(end) = self.ends.front().filter(|end| kept(end.batch)) {
            self.observed = self.observed.max(end.number);
            self.ends.pop_front();
        }
    }

    /// Forgets what belongs to one instance.
    pub(crate) fn replace_instance(&mut self, instance: &str) {
        self.instance = instance.to_owned();
        self.known = false;
        self.lapsed = false;
        self.draining = false;
        self.last_recorded_end = 0;
        self.observed = 0;
        self.ends.clear();
        self.unknown.clear();
        self.health = RunnerHealth::default();
    }
}
