//! A runner as the scheduler sees it: what its agent reported, what is assigned to it, what was commanded last.

use sagetrail_protocol::agent::{Resources, StopCommand, AGENT_LEASE_MS};
use sagetrail_protocol::Time;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::agent_session::AgentSession;
use crate::capacity;
use crate::ids::TaskId;
use crate::outlier_ejection::RunnerHealth;
use crate::runner_pace::{RunProgress, RunnerPace};

/// How much faster one steady clock may run than another, as a part of the time measured.
const MAX_CLOCK_DRIFT: f64 = 0.03;
/// Beyond the lease, for messages on their way, in milliseconds.
const LEASE_MARGIN_MS: u64 = 300;
/// Without a report of its agent for so long a runner gets no new starts, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 1_600;
/// Without a heartbeat to its agent for so long a runner gets no new starts, in milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 900;

/// How long after the last grant of a lease every run of an unreachable runner is over, in milliseconds.
pub(crate) const LEASE_EXPIRY_MS: u64 =
    AGENT_LEASE_MS + (AGENT_LEASE_MS as f64 * MAX_CLOCK_DRIFT) as u64 + LEASE_MARGIN_MS;

/// A run that is, or may be, on a runner.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    /// The run's attempt number.
    pub attempt: u64,
    /// What it uses while it may be there.
    pub resources: Resources,
    /// The batch with its record; its start is commanded once that is committed.
    pub batch: u64,
    /// It is no longer wanted: it is stopped, or its start withdrawn.
    pub unwanted: bool,
    /// The first revision of commands without its start.
    pub withdrawn_in: Option<u64>,
    /// The newest report lists it as active.
    pub active: bool,
    /// Some report has listed it as active.
    pub seen_active: bool,
    /// When it was assigned, or restored in this term.
    pub assigned_at: Time,
    /// Its progress as reported by the runner, in hundredths.
    pub percent: u8,
    /// When its progress last changed.
    pub progressed_at: Time,
    /// Its progress from report to report.
    pub progress: RunProgress,
}

impl Assignment {
    /// An assignment made now, with no batch yet.
    pub(crate) fn new(attempt: u64, resources: Resources, now: Time) -> Assignment {
        Assignment {
            attempt,
            resources,
            batch: 0,
            unwanted: false,
            withdrawn_in: None,
            active: false,
            seen_active: false,
            assigned_at: now,
            percent: 0,
            progressed_at: now,
            progress: RunProgress::default(),
        }
    }

    /// Takes over that a report lists the run as active.
    pub(crate) fn set_active(&mut self, percent: u8, now: Time) {
        self.active = true;
        self.seen_active = true;
        if self.percent != percent {
            self.percent = percent;
            self.progressed_at = now;
        }
    }
}

/// A start that was commanded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CommandedStart {
    /// The task.
    pub task: TaskId,
    /// The run's attempt number.
    pub attempt: u64,
}

/// The commands to a runner, complete; a difference makes a new revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct CommandSet {
    /// Runs to start.
    pub start: BTreeSet<CommandedStart>,
    /// Runs to stop.
    pub stop: Vec<StopCommand>,
    /// Ends up to this number are committed.
    pub observed: u64,
    /// The runner's instance that is meant.
    pub instance: String,
}

/// An end of a run that was put into a batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordedEnd {
    /// The runner's number of the end.
    pub number: u64,
    /// The batch with its record.
    pub batch: u64,
}

/// One runner; its name is its agent's address.
#[derive(Clone, Debug)]
pub(crate) struct Runner {
    /// Which incarnation of its agent is believed.
    pub session: AgentSession,
    /// The newest report knows a runner.
    pub has_runner: bool,
    /// The runner's id, a new one after each of its crashes; empty before the first.
    pub instance: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its labels; the last one is its rack.
    pub labels: Arc<[String]>,
    /// All that it has, in use or free.
    pub capacity: Resources,
    /// It shuts down gracefully, and gets no new starts.
    pub draining: bool,
    /// By the newest report, whatever it ran is over.
    pub lease_expired: bool,
    /// While it drains: the time that is left at least, in milliseconds.
    pub remaining_ms: u64,
    /// A report with all starts resolved has come in this term for this instance: all that may run there is known.
    pub state_known: bool,
    /// When the newest report came.
    pub last_report_at: Time,
    /// Time since its last heartbeat, by the newest report, in milliseconds.
    pub since_heartbeat_ms: u64,
    /// When a lease was last granted, or may have been by an earlier scheduler.
    pub lease_granted_at: Time,
    /// The revision of `sent_commands`; 0 before the first.
    pub revision: u64,
    /// The commands sent last.
    pub sent_commands: CommandSet,
    /// The runs that are, or may be, there.
    pub assigned: BTreeMap<TaskId, Assignment>,
    /// Active runs that nobody assigned.
    pub unknown_runs: Vec<StopCommand>,
    /// Ends up to this number are in batches.
    pub recorded_to: u64,
    /// Ends in batches that are not committed yet, by number.
    pub uncommitted_ends: VecDeque<RecordedEnd>,
    /// Ends up to this number are committed: the runner may forget them.
    pub observed: u64,
    /// Evidence for or against it.
    pub health: RunnerHealth,
    /// How fast it works.
    pub pace: RunnerPace,
}

impl Runner {
    /// A runner of which only the name is known, and when a lease may last have been granted to its agent.
    pub(crate) fn new(lease_granted_at: Time) -> Runner {
        Runner {
            session: AgentSession::default(),
            has_runner: false,
            instance: String::new(),
            service: String::new(),
            labels: Arc::from([]),
            capacity: Resources::default(),
            draining: false,
            lease_expired: false,
            remaining_ms: 0,
            state_known: false,
            last_report_at: Time::default(),
            since_heartbeat_ms: 0,
            lease_granted_at,
            revision: 0,
            sent_commands: CommandSet::default(),
            assigned: BTreeMap::new(),
            unknown_runs: Vec::new(),
            recorded_to: 0,
            uncommitted_ends: VecDeque::new(),
            observed: 0,
            health: RunnerHealth::default(),
            pace: RunnerPace::default(),
        }
    }

    /// True where runs may be started there, free capacity aside.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.is_reachable(now) && self.health.may_start(now)
    }

    /// True where its state is known and fresh and it neither drains nor has an expired lease; its health is left aside.
    pub(crate) fn is_reachable(&self, now: Time) -> bool {
        let recently_reported = now.millis_since(self.last_report_at) < REPORT_TIMEOUT_MS
            && self.since_heartbeat_ms < HEARTBEAT_TIMEOUT_MS;
        self.has_runner
            && self.state_known
            && recently_reported
            && !self.draining
            && !self.lease_expired
            && self.unknown_runs.is_empty()
    }

    /// Its capacity less what may be running there.
    pub(crate) fn free_capacity(&self) -> Resources {
        let mut free = self.capacity;
        self.assigned
            .values()
            .for_each(|assignment| capacity::subtract(&mut free, assignment.resources));
        free
    }

    /// Thousandths of a core that are assigned.
    pub(crate) fn assigned_cpu(&self) -> u64 {
        let assigned = self.assigned.values();
        assigned.map(|assignment| assignment.resources.cpu).sum()
    }

    /// True where nothing can be running there any more, because no lease can still last.
    pub(crate) fn is_beyond_lease(&self, now: Time) -> bool {
        now.millis_since(self.lease_granted_at) > LEASE_EXPIRY_MS
    }

    /// The rack among its labels: the last one; empty without labels.
    pub(crate) fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }

    /// Ends in committed batches are observed.
    pub(crate) fn observe_ends(&mut self, is_committed: impl Fn(u64) -> bool) {
        while let Some(end) = self
            .uncommitted_ends
            .front()
            .filter(|end| is_committed(end.batch))
        {
            self.observed = self.observed.max(end.number);
            self.uncommitted_ends.pop_front();
        }
    }

    /// Another instance runs there now: what belonged to the former one is forgotten.
    pub(crate) fn replace_instance(&mut self, instance: &str) {
        self.instance = instance.to_owned();
        self.state_known = false;
        self.lease_expired = false;
        self.draining = false;
        self.recorded_to = 0;
        self.observed = 0;
        self.uncommitted_ends.clear();
        self.unknown_runs.clear();
        self.health = RunnerHealth::default();
        self.pace = RunnerPace::default();
    }
}
