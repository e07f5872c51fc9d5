//! The service that runs on the elected core process: ties jobs, runners, queue and ledger together.

use crate::commit_queue::CommitQueue;
use crate::ids::{JobId, StepId, TaskId};
use crate::job::Job;
use crate::objective::Objective;
use crate::outlier_ejection::FailureRate;
use crate::pass_pacing::PassPacing;
use crate::pending_queue::{DueTime, DueTimes, PendingKey, PendingQueue};
use crate::placement::{fits, AvailableRunner, Pass, PendingStep, Placement};
use crate::preemption::Reservation;
use crate::records::{AssignmentRecord, Key, Outcome, TaskRecord};
use crate::reserved_capacity::ReservedCapacity;
use crate::runner::{Assignment, Runner};
use crate::time_of_day::TimeOfDay;
use crate::uncommitted_runners::UncommittedRunners;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sagetrail_cluster_config::ConfigDocument;
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::Now;
use sagetrail_protocol::service::{Batch, ConfigInForce, Restored, Service};
use sagetrail_protocol::{Message, NodeId, Term, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The timer of the placement, in milliseconds.
const TIMER_MS: u64 = 100;
/// The timer where nothing is held and nothing runs, in milliseconds.
const IDLE_TIMER_MS: u64 = 500;
/// One pass looks at so many held steps of a service.
const PENDING_STEPS_PER_PASS: usize = 256;
/// A task that has waited so long no longer avoids runners at which it failed, in milliseconds.
const FAILED_RUNNER_AVOIDANCE_MS: u64 = 2_500;
/// At most one in so many runners of a service is shut out by evidence.
const MAX_EJECTED_DIVISOR: usize = 3;
/// The state of an ended job is told for so long beyond the bound, in milliseconds.
const RETENTION_MARGIN_MS: u64 = 60_000;
/// Ended jobs are looked through this often, in milliseconds.
const PURGE_INTERVAL_MS: u64 = 1_000;

/// What the deployment says.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings {
    pub bounds: Bounds,
}

/// All jobs and runners for one term.
pub struct Scheduler {
    pub(crate) settings: SchedulerSettings,
    pub(crate) term: Term,
    pub(crate) started_at: Time,
    pub(crate) time_of_day: TimeOfDay,
    /// The time of day at the newest event, in milliseconds since 1970.
    pub(crate) wall_ms: i64,
    pub(crate) random: Pcg64Mcg,
    pub(crate) config: Option<ConfigDocument>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Jobs that have not ended.
    pub(crate) active: BTreeSet<JobId>,
    pub(crate) runners: BTreeMap<NodeId, Runner>,
    pub(crate) queue: PendingQueue,
    pub(crate) due_times: DueTimes,
    pub(crate) commit_queue: CommitQueue,
    pub(crate) next_order: u64,
    /// Runners that may need new orders.
    pub(crate) changed: BTreeSet<NodeId>,
    /// Runners with assignments or ends in batches that are not kept yet.
    pub(crate) uncommitted_runners: UncommittedRunners,
    /// Room that is kept for a step.
    pub(crate) reservations: BTreeMap<NodeId, Reservation>,
    pub(crate) reserved_capacity: ReservedCapacity,
    /// How often work fails, by service.
    pub(crate) failure_rates: BTreeMap<String, FailureRate>,
    /// Room or held steps have changed since the last pass.
    pub(crate) placement_due: bool,
    pass_pacing: PassPacing,
    next_timer: Time,
    next_purge: Time,
    pub(crate) long_waits_logged_at: Time,
    pub(crate) status_logged_at: Time,
    /// When the next time of a job falls due.
    next_due: Option<Time>,
}

impl Scheduler {
    /// Starts a term from the records of earlier ones.
    pub fn new(settings: SchedulerSettings, now: Now, restored: Restored) -> Scheduler {
        let mut scheduler = Scheduler {
            settings,
            term: restored.term,
            started_at: now.steady,
            time_of_day: TimeOfDay::new(now),
            wall_ms: now.wall_ms,
            random: Pcg64Mcg::seed_from_u64(restored.seed),
            config: None,
            jobs: BTreeMap::new(),
            active: BTreeSet::new(),
            runners: BTreeMap::new(),
            queue: PendingQueue::default(),
            due_times: DueTimes::default(),
            commit_queue: CommitQueue::new(),
            next_order: 1,
            changed: BTreeSet::new(),
            uncommitted_runners: UncommittedRunners::default(),
            reservations: BTreeMap::new(),
            reserved_capacity: ReservedCapacity::default(),
            failure_rates: BTreeMap::new(),
            placement_due: true,
            pass_pacing: PassPacing::default(),
            next_timer: now.steady.plus_millis(TIMER_MS),
            next_purge: now.steady.plus_millis(PURGE_INTERVAL_MS),
            long_waits_logged_at: now.steady,
            status_logged_at: now.steady,
            next_due: None,
        };
        scheduler.restore(now, &restored.records);
        if let Some(config) = restored.config {
            scheduler.adopt_config(&config);
        }
        scheduler.enqueue_all_jobs(now);
        scheduler.announce_term();
        scheduler
    }

    /// Takes a newer configuration; queues' services and priorities follow it.
    pub(crate) fn adopt_config(&mut self, config: &ConfigInForce) {
        if self
            .config
            .as_ref()
            .is_some_and(|current| current.version >= config.version)
        {
            return;
        }
        match ConfigDocument::parse(&config.document) {
            Ok(document) => self.config = Some(document),
            Err(error) => {
                log::error!("configuration {} cannot be read: {error}", config.version);
                return;
            }
        }
        let active: Vec<JobId> = self.active.iter().copied().collect();
        active.into_iter().for_each(|id| self.follow_route(id));
        self.placement_due = true;
    }

    fn follow_route(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let routes = self.config.iter().flat_map(|config| &config.routes);
        let Some(route) = routes
            .into_iter()
            .find(|route| route.name == job.attributes.queue)
        else {
            return;
        };
        job.attributes.service = route.service.clone();
        job.attributes.max_attempts = route.max_attempts.max(1);
        job.attributes.priority = route.priority;
        job.attributes.extension = route.extension;
        job.attributes.target_ms = route.target_latency_ms;
        let steps: Vec<StepId> = (0..job.times.len() as u32)
            .flat_map(|time| job.steps_of(time))
            .collect();
        steps.into_iter().for_each(|step| self.refresh_step(step));
    }

    /// Holds every step of every job whose turn has come.
    fn enqueue_all_jobs(&mut self, now: Now) {
        let active: Vec<JobId> = self.active.iter().copied().collect();
        active.into_iter().for_each(|id| self.enqueue_job(now, id));
    }

    /// Holds the steps of a job whose turn has come, and waits for times that are not due.
    pub(crate) fn enqueue_job(&mut self, now: Now, id: JobId) {
        let wall_ms = self.time_of_day.millis(now);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(spec) = job.spec.clone() else { return };
        for time in 0..job.times.len() as u32 {
            match spec.due_ms(time) {
                Some(at_ms) if at_ms > wall_ms => self.due_times.add(DueTime {
                    at_ms,
                    job: id,
                    time,
                }),
                _ => self.open_time(id, time),
            }
        }
    }

    fn open_time(&mut self, id: JobId, time: u32) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.opened.insert(time);
        let steps = job.steps_of(time);
        steps.into_iter().for_each(|step| self.refresh_step(step));
    }

    fn open_due_times(&mut self, now: Now) {
        let wall_ms = self.time_of_day.millis(now);
        self.wall_ms = wall_ms;
        while let Some(due) = self.due_times.take_due(wall_ms) {
            self.open_time(due.job, due.time);
        }
        let wait_ms = self
            .due_times
            .next_ms()
            .map(|at_ms| (at_ms - wall_ms).max(1) as u64);
        self.next_due = wait_ms.map(|wait_ms| now.steady.plus_millis(wait_ms));
    }

    /// Holds a step or releases it, by what is left to start of it.
    pub(crate) fn refresh_step(&mut self, id: StepId) {
        let Some(job) = self.jobs.get(&id.job) else {
            return self.queue.release(id);
        };
        let (Some(stage), Some(step)) = (job.stage(id), job.step(id)) else {
            return self.queue.release(id);
        };
        let whole = !stage.gang || step.waiting.len() == step.tasks.len();
        let turn = !step.waiting.is_empty()
            && whole
            && job.dependencies_met(id)
            && job.opened.contains(&id.time);
        if !turn {
            return self.queue.release(id);
        }
        let objective = Objective::of(job, id, self.wall_ms);
        let key = PendingKey {
            priority: job.attributes.priority,
            expectation: objective.expectation,
            due_ms: objective.due_ms,
            order: job.attributes.order,
            step: id,
        };
        self.queue.hold(&job.attributes.service, key);
        self.placement_due = true;
    }

    /// Held steps move as their time runs out.
    fn reorder_pending_steps(&mut self) {
        for service in self.queue.services() {
            for key in self.queue.held(&service, PENDING_STEPS_PER_PASS) {
                self.refresh_step(key.step);
            }
        }
    }

    /// One pass of the placement for each service with held steps.
    fn place(&mut self, now: Now) {
        self.placement_due = false;
        self.pass_pacing.done(now.steady, self.runners.len());
        self.update_reserved_capacity(now);
        for service in self.queue.services() {
            let runners = self.available_runners(now, &service);
            if runners.is_empty() {
                continue;
            }
            let keys = self.queue.held(&service, PENDING_STEPS_PER_PASS);
            let held: Vec<PendingStep> = keys
                .into_iter()
                .filter_map(|key| self.pending_step(now, key))
                .collect();
            let held = held
                .into_iter()
                .filter(|held| runners.iter().any(|r| fits(held.resources, r.room)));
            let kept = self.reserved_capacity.kept(&service);
            let placements =
                Pass::new(runners.clone(), held.collect(), kept, &mut self.random).run();
            self.assign_all(now, &placements);
        }
    }

    fn available_runners(&self, now: Now, service: &str) -> Vec<AvailableRunner> {
        let reachable =
            |runner: &&Runner| runner.service == service && runner.reachable(now.steady);
        let all: Vec<(&NodeId, &Runner)> = self
            .runners
            .iter()
            .filter(|(_, runner)| reachable(runner))
            .collect();
        let ejected = all
            .iter()
            .filter(|(_, runner)| !runner.health.is_healthy())
            .count();
        // Where many fail at once the cause lies elsewhere: shutting them out would leave too few.
        let ignores_health = ejected * MAX_EJECTED_DIVISOR > all.len();
        let usable = all
            .into_iter()
            .filter(|(_, runner)| ignores_health || runner.health.may_start(now.steady));
        let open = usable.map(|(&node, runner)| AvailableRunner {
            node,
            room: runner.free_capacity(),
            labels: runner.labels.clone(),
            reserved: self
                .reservations
                .get(&node)
                .copied()
                .filter(|held| self.queue.contains(held.step)),
            starts: if ignores_health || runner.health.is_healthy() {
                u32::MAX
            } else {
                1
            },
        });
        open.filter(|open| open.room.cpu > 0).collect()
    }

    pub(crate) fn pending_step(&self, now: Now, key: PendingKey) -> Option<PendingStep> {
        let job = self.jobs.get(&key.step.job)?;
        let (stage, step) = (job.stage(key.step)?, job.step(key.step)?);
        let held_ms = now
            .steady
            .millis_since(step.waiting_since.max(job.accepted_at));
        let mut avoiding = BTreeMap::new();
        if held_ms < FAILED_RUNNER_AVOIDANCE_MS {
            let waiting = step
                .waiting
                .iter()
                .filter_map(|&index| step.tasks.get(index as usize));
            waiting
                .flat_map(|task| &task.failed_at)
                .for_each(|&node| *avoiding.entry(node).or_default() += 1);
        }
        let mut running_at = BTreeMap::new();
        if stage.anti_affinity > 0 {
            step.tasks
                .iter()
                .filter_map(|task| task.runner)
                .for_each(|node| *running_at.entry(node).or_default() += 1);
        }
        Some(PendingStep {
            id: key.step,
            priority: key.priority,
            resources: stage.resources(),
            waiting: step.waiting.len() as u32,
            gang: stage.gang,
            long_running: stage.long_running,
            rack_local: stage.rack_local,
            held_ms,
            affinity: stage.affinity.clone(),
            constraints: stage.constraints.clone(),
            anti_affinity: stage.anti_affinity,
            running_at,
            avoiding,
        })
    }

    fn assign_all(&mut self, now: Now, placements: &[Placement]) {
        let mut gang_attempts: BTreeMap<StepId, u64> = BTreeMap::new();
        for placement in placements {
            let Some(job) = self.jobs.get(&placement.step.job) else {
                continue;
            };
            let Some(step) = job.step(placement.step) else {
                continue;
            };
            if job.stage(placement.step).is_some_and(|stage| stage.gang) {
                gang_attempts
                    .entry(placement.step)
                    .or_insert_with(|| step.next_gang_attempt());
            }
            let avoids = |index: &u32| {
                step.tasks[*index as usize]
                    .failed_at
                    .contains(&placement.runner)
            };
            let calm = step.waiting.iter().copied().find(|index| !avoids(index));
            let Some(index) = calm.or(step.waiting.first().copied()) else {
                continue;
            };
            let attempt = gang_attempts.get(&placement.step).copied();
            self.assign(
                now,
                TaskId {
                    step: placement.step,
                    index,
                },
                placement.runner,
                attempt,
            );
        }
    }

    fn assign(&mut self, now: Now, id: TaskId, node: NodeId, gang_attempt: Option<u64>) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        let Some(resources) = job.stage(id.step).map(|stage| stage.resources()) else {
            return;
        };
        job.has_started = true;
        let Some(step) = job.step_mut(id.step) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(id.index as usize) else {
            return;
        };
        task.attempt = gang_attempt.unwrap_or(task.attempt + 1);
        task.runner = Some(node);
        let attempt = task.attempt;
        step.waiting.remove(&id.index);
        let Some(runner) = self.runners.get_mut(&node) else {
            return;
        };
        runner.health.started();
        let assignment = Assignment {
            attempt,
            resources,
            batch: 0,
            stop: false,
            withdrawn_in: None,
            active: false,
            seen: false,
            since: now.steady,
            percent: 0,
            progressed_at: now.steady,
        };
        runner.assigned.insert(id, assignment);
        let batch = self.write_task(id);
        if let Some(assignment) = self
            .runners
            .get_mut(&node)
            .and_then(|runner| runner.assigned.get_mut(&id))
        {
            assignment.batch = batch;
        }
        self.uncommitted_runners.wait_for(batch, node);
        self.refresh_step(id.step);
    }

    /// Lays a task's record into the open batch and tells its number.
    pub(crate) fn write_task(&mut self, id: TaskId) -> u64 {
        let Some(task) = self
            .jobs
            .get_mut(&id.step.job)
            .and_then(|job| job.task_mut(id))
        else {
            return self.commit_queue.delete(Key::Task(id));
        };
        let runner = task
            .runner
            .and_then(|node| self.runners.get(&node).map(|runner| (node, runner)));
        let assigned =
            runner.and_then(|(node, runner)| runner.assigned.get(&id).map(|a| (node, runner, a)));
        let assignment = assigned.map(|(agent, runner, assignment)| AssignmentRecord {
            agent,
            instance: runner.instance.as_str().into(),
            resources: assignment.resources,
        });
        let record = TaskRecord {
            done: u8::from(task.done),
            attempt: task.attempt,
            failures: task.failures,
            failed_attempt: task.failed_attempt,
            checkpoint: task.checkpoint.as_str().into(),
            assigned: u8::from(assignment.is_some()),
            assignment: assignment.unwrap_or_default(),
        };
        self.commit_queue.put_task(Key::Task(id), &record)
    }

    /// Lays a job's record into the open batch.
    pub(crate) fn write_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.batch = self.commit_queue.put_job(Key::Job(id), &job.record());
    }

    /// After each event: due times, placement, orders.
    fn after_event(&mut self, now: Now) {
        self.open_due_times(now);
        if self.placement_due && !self.queue.is_empty() && self.pass_pacing.may_run(now.steady) {
            self.place(now);
        }
        self.send_changed_commands(now);
    }

    fn purge(&mut self, now: Now) {
        if now.steady < self.next_purge {
            return;
        }
        self.next_purge = now.steady.plus_millis(PURGE_INTERVAL_MS);
        let retention_ms = (self.settings.bounds.status_s * 1000.0) as u64 + RETENTION_MARGIN_MS;
        let over = |job: &&Job| {
            job.ended_at
                .is_some_and(|at| now.steady.millis_since(at) > retention_ms)
        };
        let old: Vec<JobId> = self.jobs.values().filter(over).map(|job| job.id).collect();
        for id in old {
            self.jobs.remove(&id);
            self.commit_queue.delete(Key::Job(id));
        }
    }

    /// Ends a job: nothing of it starts any more, and what runs is stopped unless it ended well.
    pub(crate) fn end_job(&mut self, now: Now, id: JobId, outcome: Outcome) {
        let Some(job) = self
            .jobs
            .get_mut(&id)
            .filter(|job| job.outcome == Outcome::Active)
        else {
            return;
        };
        let steps: Vec<StepId> = (0..job.times.len() as u32)
            .flat_map(|time| job.steps_of(time))
            .collect();
        let mut assigned = Vec::new();
        let mut idle = Vec::new();
        for &step in &steps {
            for (index, task) in job.step(step).iter().flat_map(|run| &run.tasks).enumerate() {
                let task_id = TaskId {
                    step,
                    index: index as u32,
                };
                match task.runner {
                    Some(node) => assigned.push((task_id, node)),
                    None if task.attempt > 0 => idle.push(task_id),
                    None => {}
                }
            }
        }
        job.end(outcome, now.steady);
        self.active.remove(&id);
        steps.into_iter().for_each(|step| self.queue.release(step));
        idle.into_iter().for_each(|task| {
            self.commit_queue.delete(Key::Task(task));
        });
        for (task, node) in assigned {
            // The members of a gang that has ended well end by themselves.
            let active = self
                .runners
                .get(&node)
                .and_then(|runner| runner.assigned.get(&task))
                .map(|a| a.active);
            if outcome != Outcome::Completed || active == Some(false) {
                self.stop(node, task);
            }
        }
        self.write_job(id);
    }

    /// A run is no longer wanted.
    pub(crate) fn stop(&mut self, node: NodeId, id: TaskId) {
        let assignment = self
            .runners
            .get_mut(&node)
            .and_then(|runner| runner.assigned.get_mut(&id));
        if let Some(assignment) = assignment {
            assignment.stop = true;
            self.changed.insert(node);
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
        self.after_event(now);
    }

    fn config(&mut self, now: Now, config: ConfigInForce) {
        self.adopt_config(&config);
        self.after_event(now);
    }

    fn committed(&mut self, now: Now, number: u64) {
        self.commit_queue.commit(number);
        for node in self.uncommitted_runners.take_committed(number) {
            self.changed.insert(node);
            self.observe_ends(node);
        }
        self.after_event(now);
    }

    fn wake(&mut self, now: Now) {
        if now.steady >= self.next_timer {
            let idle = self.active.is_empty();
            self.next_timer = now
                .steady
                .plus_millis(if idle { IDLE_TIMER_MS } else { TIMER_MS });
            self.expire_unreachable_runners(now);
            self.relocate_runs(now);
            self.reorder_pending_steps();
            self.place(now);
            self.queue
                .services()
                .iter()
                .for_each(|service| self.preempt(now, service));
            self.purge(now);
            self.log_long_waits(now);
            self.status(now);
            self.placement_due = true;
        }
        self.after_event(now);
    }

    fn next_wake(&self) -> Option<Time> {
        let pass_due = self
            .pass_pacing
            .delayed_until()
            .filter(|_| self.placement_due && !self.queue.is_empty());
        [self.next_due, pass_due]
            .into_iter()
            .flatten()
            .chain([self.next_timer])
            .min()
    }

    fn take_batch(&mut self) -> Option<Batch> {
        self.commit_queue.take_batch()
    }

    fn take_sends(&mut self) -> Vec<(NodeId, Message)> {
        self.commit_queue.take_sends()
    }
}
