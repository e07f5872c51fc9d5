//! The scheduler's state of one runner: the content of its agent's reports, the runs assigned to it, and the commands
//! sent last.

use sagetrail_protocol::agent::{Resources, StopCommand, AGENT_LEASE_MS, MAX_ACTIVE_RUNS};
use sagetrail_protocol::Time;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::agent_session::AgentSession;
use crate::capacity;
use crate::ids::TaskId;
use crate::outlier_ejection::RunnerHealth;
use crate::runner_pace::{RunProgress, RunnerPace};

/// The maximum drift between two steady clocks, as a share of the measured time.
const MAX_CLOCK_DRIFT: f64 = 0.03;
/// The time added to the length of a lease for messages in flight, in milliseconds.
const LEASE_MARGIN_MS: u64 = 300;
/// The time without a report from its agent after which a runner gets no new starts, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 1_600;
/// The time without a heartbeat to its agent after which a runner gets no new starts, in milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 900;

/// The time after the last grant of a lease after which every run of an unreachable runner is over, in milliseconds. It
/// allows for clock drift and for messages in flight.
pub(crate) const LEASE_EXPIRY_MS: u64 =
    AGENT_LEASE_MS + (AGENT_LEASE_MS as f64 * MAX_CLOCK_DRIFT) as u64 + LEASE_MARGIN_MS;

/// The assignment of a run to a runner: the run is active there, or may be.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    /// The run's attempt number.
    pub attempt: u64,
    /// The resources that count as in use while the run may be at the runner.
    pub resources: Resources,
    /// The number of the batch that holds the assignment's record. The start is commanded once this batch is committed.
    pub batch: u64,
    /// The run is no longer wanted: it is being stopped, or its start withdrawn.
    pub unwanted: bool,
    /// The first revision of commands that no longer contains the run's start; `None` if the start is not withdrawn.
    pub withdrawn_in_revision: Option<u64>,
    /// The newest report lists the run as active.
    pub active: bool,
    /// At least one report has listed the run as active.
    pub seen_active: bool,
    /// The time at which the run was assigned, or at which the assignment was restored in this term.
    pub assigned_at: Time,
    /// The run's progress as reported by the runner, in percent.
    pub percent: u8,
    /// The time at which `percent` last changed.
    pub progressed_at: Time,
    /// The run's progress between reports, from which the runner's pace is measured.
    pub progress: RunProgress,
}

impl Assignment {
    /// Creates an assignment made now, whose record is not in a batch yet.
    pub(crate) fn new(attempt: u64, resources: Resources, now: Time) -> Assignment {
        Assignment {
            attempt,
            resources,
            batch: 0,
            unwanted: false,
            withdrawn_in_revision: None,
            active: false,
            seen_active: false,
            assigned_at: now,
            percent: 0,
            progressed_at: now,
            progress: RunProgress::default(),
        }
    }

    /// Records that a report lists the run as active, with its progress in percent.
    pub(crate) fn set_active(&mut self, percent: u8, now: Time) {
        self.active = true;
        self.seen_active = true;
        if self.percent != percent {
            self.percent = percent;
            self.progressed_at = now;
        }
    }
}

/// The start of a run, as commanded to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CommandedStart {
    /// The task to run.
    pub task: TaskId,
    /// The run's attempt number.
    pub attempt: u64,
}

/// The complete set of commands to a runner. A set that differs from the one sent last gets a new revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct CommandSet {
    /// The runs to start.
    pub start: BTreeSet<CommandedStart>,
    /// The runs to stop.
    pub stop: Vec<StopCommand>,
    /// The number up to which the ends of the runner's runs are committed, so that the runner may forget them.
    pub observed: u64,
    /// The ID of the runner's instance that the commands are for.
    pub instance: String,
}

/// The end of a run whose record has been put into a batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordedEnd {
    /// The number that the runner gave to the end.
    pub number: u64,
    /// The number of the batch that holds the record.
    pub batch: u64,
}

/// One runner. It is identified by the address of its agent.
#[derive(Clone, Debug)]
pub(crate) struct Runner {
    /// The incarnation of the runner's agent that reports are accepted from.
    pub session: AgentSession,
    /// The agent had a runner at its newest report.
    pub has_runner: bool,
    /// The ID of the runner's instance, which changes after each crash of the runner; empty before the first instance.
    pub instance: String,
    /// The name of the service that the runner belongs to.
    pub service: String,
    /// The runner's labels; the last one names its rack.
    pub labels: Arc<[String]>,
    /// The runner's total capacity, in use or free.
    pub capacity: Resources,
    /// The runner is shutting down gracefully and gets no new starts.
    pub draining: bool,
    /// The newest report says that every lease of the runner has expired or that the runner is dead, so all its runs
    /// are over.
    pub lease_expired: bool,
    /// The minimum time until a draining runner shuts down, in milliseconds, by the newest report.
    pub drain_remaining_ms: u64,
    /// A report with all starts resolved has arrived for this instance in this term, so all runs that may be active at
    /// the runner are known.
    pub state_known: bool,
    /// The time at which the newest report arrived.
    pub last_report_at: Time,
    /// The time since the runner's last heartbeat to its agent, in milliseconds, by the newest report.
    pub since_heartbeat_ms: u64,
    /// The time at which a lease was last granted, or may have been granted by an earlier scheduler.
    pub lease_granted_at: Time,
    /// The revision of `sent_commands`; 0 before the first commands.
    pub revision: u64,
    /// The commands that were sent last.
    pub sent_commands: CommandSet,
    /// The runs that are, or may be, active at the runner.
    pub assigned: BTreeMap<TaskId, Assignment>,
    /// Active runs that are not assigned to the runner; they are to be stopped.
    pub unknown_runs: Vec<StopCommand>,
    /// The highest number of an end of a run whose record has been put into a batch.
    pub last_recorded_end: u64,
    /// The ends of runs whose batches are not committed yet, in the order of their numbers.
    pub uncommitted_ends: VecDeque<RecordedEnd>,
    /// The number up to which the ends of runs are committed, so that the runner may forget them.
    pub last_observed_end: u64,
    /// The evidence that the runner is unhealthy, and its ejections.
    pub health: RunnerHealth,
    /// How fast the runner works compared with the estimates of its runs.
    pub pace: RunnerPace,
}

impl Runner {
    /// Creates a runner of which nothing is known but its agent's address. `lease_granted_at` is the latest time at
    /// which a lease may have been granted to the agent.
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
            drain_remaining_ms: 0,
            state_known: false,
            last_report_at: Time::default(),
            since_heartbeat_ms: 0,
            lease_granted_at,
            revision: 0,
            sent_commands: CommandSet::default(),
            assigned: BTreeMap::new(),
            unknown_runs: Vec::new(),
            last_recorded_end: 0,
            uncommitted_ends: VecDeque::new(),
            last_observed_end: 0,
            health: RunnerHealth::default(),
            pace: RunnerPace::default(),
        }
    }

    /// Returns true if runs may start at the runner, apart from its free capacity.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.is_reachable(now) && self.health.may_start(now)
    }

    /// Returns true if the runner's state is known and recent, it runs nothing unassigned, and it neither drains nor
    /// has an expired lease. Its health is not considered.
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

    /// Returns the runner's capacity less the resources of the runs that may be active there.
    pub(crate) fn free_capacity(&self) -> Resources {
        let mut free = self.capacity;
        self.assigned
            .values()
            .for_each(|assignment| capacity::subtract(&mut free, assignment.resources));
        free
    }

    /// Returns how many more runs may be assigned, so that heartbeats can still list all of them.
    pub(crate) fn free_run_slots(&self) -> u32 {
        MAX_ACTIVE_RUNS.saturating_sub(self.assigned.len()) as u32
    }

    /// Returns the CPU capacity of all assigned runs, in thousandths of a core.
    pub(crate) fn assigned_cpu(&self) -> u64 {
        let assigned = self.assigned.values();
        assigned.map(|assignment| assignment.resources.cpu).sum()
    }

    /// Returns true if no run can be active at the runner any more, because every lease must have expired.
    pub(crate) fn is_beyond_lease(&self, now: Time) -> bool {
        now.millis_since(self.lease_granted_at) > LEASE_EXPIRY_MS
    }

    /// Returns the runner's rack, which is its last label; empty if it has no labels.
    pub(crate) fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }

    /// Marks the ends of runs whose batches are committed as observed, up to the first one that is not committed.
    pub(crate) fn observe_ends(&mut self, is_committed: impl Fn(u64) -> bool) {
        while let Some(end) = self
            .uncommitted_ends
            .front()
            .filter(|end| is_committed(end.batch))
        {
            self.last_observed_end = self.last_observed_end.max(end.number);
            self.uncommitted_ends.pop_front();
        }
    }

    /// Replaces the runner's instance by a new one and resets the state that belonged to the former instance.
    pub(crate) fn replace_instance(&mut self, instance: &str) {
        self.instance = instance.to_owned();
        self.state_known = false;
        self.lease_expired = false;
        self.draining = false;
        self.last_recorded_end = 0;
        self.last_observed_end = 0;
        self.uncommitted_ends.clear();
        self.unknown_runs.clear();
        self.health = RunnerHealth::default();
        self.pace = RunnerPace::default();
    }
}
