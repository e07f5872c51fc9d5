//! The scheduler of one term: owns all state and processes one event after the other.
//!
//! Its data structures are independent of each other. Logic that needs several of them is in the submodules, one for
//! each concern.

mod client_requests;
mod configuration;
mod diagnostics;
mod drain_reservation;
mod future_slots;
mod job_lifecycle;
mod pending_steps;
mod placement_round;
mod preemption;
mod record_writes;
mod restore;
mod run_outcome;
mod run_relocation;
mod runner_commands;
mod runner_reports;
mod start_commands;
mod stragglers;
mod trials;
mod urgent_demand;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sagetrail_cluster_config::ConfigDocument;
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::Now;
use sagetrail_protocol::service::{Batch, ConfigInForce, Restored, Service};
use sagetrail_protocol::{Message, NodeId, Term, Time};

use crate::commit_queue::CommitQueue;
use crate::due_times::DueTimes;
use crate::job_budget::{CoreResources, JobBudget};
use crate::job_table::JobTable;
use crate::outlier_ejection::FailureRates;
use crate::pass_pacing::PassPacing;
use crate::pending_queue::PendingQueue;
use crate::reservation::Reservations;
use crate::reserved_capacity::ReservedCapacity;
use crate::runner_table::RunnerTable;
use crate::time_of_day::TimeOfDay;
use crate::timers::{Activity, Timers};

/// The number of pending steps of a service that one placement pass considers, from the front of its backlog. Steps of
/// classes that no runner can take are not counted.
const PENDING_STEPS_PER_PASS: usize = 256;
/// The number of pending steps of each class that one placement pass considers, even if many steps of other classes
/// are in front of them.
const PENDING_STEPS_PER_CLASS: usize = 4;

/// Settings of the deployment that the scheduler needs.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings {
    /// Time limits and other bounds that clients, runners and the cluster agree on.
    pub bounds: Bounds,
    /// The resources of the machine of each core process.
    pub resources: CoreResources,
}

/// Schedules all jobs on all runners during one term.
pub struct Scheduler {
    settings: SchedulerSettings,
    term: Term,
    /// When the term began, by the steady clock.
    started_at: Time,
    random: Pcg64Mcg,
    /// The wall clock with short jumps filtered out.
    time_of_day: TimeOfDay,
    /// The filtered time of day at the newest event, in milliseconds since 1970.
    wall_ms: i64,
    /// The configuration in force; `None` until the first one arrives.
    config: Option<ConfigDocument>,
    jobs: JobTable,
    runners: RunnerTable,
    /// Steps with tasks that wait for a runner.
    pending: PendingQueue,
    /// The next occurrence of each job that has occurrences left to start.
    due_times: DueTimes,
    /// Record changes on their way to a quorum, and messages that wait until these are committed.
    commits: CommitQueue,
    reservations: Reservations,
    reserved_capacity: ReservedCapacity,
    /// The rate of failed runs in each service.
    failure_rates: FailureRates,
    /// Whether free capacity or pending steps have changed since the last placement pass.
    placement_due: bool,
    pass_pacing: PassPacing,
    /// The number of jobs that the budget did not allow to accept since this was last logged.
    rejected_by_budget: u64,
    timers: Timers,
}

impl Scheduler {
    /// Creates the scheduler of a new term from the records of earlier terms.
    pub fn new(settings: SchedulerSettings, now: Now, restored: Restored<'_>) -> Scheduler {
        let mut scheduler = Scheduler {
            settings,
            term: restored.term,
            started_at: now.steady,
            random: Pcg64Mcg::seed_from_u64(restored.seed),
            time_of_day: TimeOfDay::new(now),
            wall_ms: now.wall_ms,
            config: None,
            jobs: JobTable::new(JobBudget::new(settings.resources)),
            runners: RunnerTable::default(),
            pending: PendingQueue::default(),
            due_times: DueTimes::default(),
            commits: CommitQueue::new(),
            reservations: Reservations::default(),
            reserved_capacity: ReservedCapacity::default(),
            failure_rates: FailureRates::default(),
            placement_due: true,
            pass_pacing: PassPacing::default(),
            rejected_by_budget: 0,
            timers: Timers::new(now.steady),
        };
        scheduler.restore_records(now, restored.records);
        if let Some(config) = restored.config {
            scheduler.adopt_config(&config);
        }
        scheduler.schedule_all_jobs(now);
        scheduler.announce_term();
        scheduler
    }

    /// Completes the handling of an event: starts due occurrences, places pending steps and sends commands.
    fn finish_event(&mut self, now: Now) {
        self.commits.close_full_batch();
        self.start_due_occurrences(now);
        let is_pass_needed = self.placement_due && !self.pending.is_empty();
        if is_pass_needed && self.pass_pacing.may_run(now.steady) {
            self.place_pending_steps(now);
        }
        self.commits.close_full_batch();
        self.send_changed_commands(now);
    }

    /// Handles everything that changes with time alone, at the interval of the periodic check.
    fn run_periodic_check(&mut self, now: Now) {
        self.expire_unreachable_runners(now);
        self.update_pace_verdicts(now);
        self.relocate_runs(now);
        self.end_passed_trials(now);
        self.reorder_pending_steps();
        self.place_pending_steps(now);
        for service in self.pending.services() {
            self.preempt_for_pending_steps(now, &service);
        }
        self.purge_ended_jobs(now);
        self.due_times.retry_delayed();
        self.log_long_waits(now);
        self.log_status(now);
        self.placement_due = true;
    }

    /// Updates the positions of pending steps in the backlog, which depend on the time left until they are due.
    fn reorder_pending_steps(&mut self) {
        for service in self.pending.services() {
            let window = self.pending.window(
                &service,
                PENDING_STEPS_PER_PASS,
                PENDING_STEPS_PER_CLASS,
                |_| true,
            );
            for key in window {
                self.refresh_step(key.step);
            }
        }
    }
}

impl Service for Scheduler {
    fn message(&mut self, now: Now, from: NodeId, message: Message) {
        match message {
            Message::ClientRequest(request) => self.client_request(now, from, request),
            Message::RunnerReport(report) => self.runner_report(now, from, report),
            _ => {}
        }
        self.finish_event(now);
    }

    fn config(&mut self, now: Now, config: ConfigInForce) {
        self.adopt_config(&config);
        self.finish_event(now);
    }

    fn committed(&mut self, now: Now, number: u64) {
        self.commits.commit(number);
        for node in self.runners.take_committed(number) {
            self.runners.set_changed(node);
            self.acknowledge_committed_ends(node);
        }
        self.finish_event(now);
    }

    fn wake(&mut self, now: Now) {
        let activity = if self.jobs.all_ended() {
            Activity::Idle
        } else {
            Activity::Active
        };
        if self.timers.take_check(now.steady, activity) {
            self.run_periodic_check(now);
        }
        self.finish_event(now);
    }

    fn next_wake(&self) -> Option<Time> {
        let is_pass_needed = self.placement_due && !self.pending.is_empty();
        let delayed_pass = self.pass_pacing.delayed_until().filter(|_| is_pass_needed);
        [self.timers.next_due, delayed_pass]
            .into_iter()
            .flatten()
            .chain([self.timers.next_check()])
            .min()
    }

    fn take_batch(&mut self) -> Option<Batch> {
        self.commits.take_batch()
    }

    fn take_sends(&mut self) -> Vec<(NodeId, Message)> {
        self.commits.take_sends()
    }
}
