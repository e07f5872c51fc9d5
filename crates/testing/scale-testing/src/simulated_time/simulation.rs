//! A simulated run from start to end.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use sagetrail_protocol::node::{
    Event, HealthCheckResult, HttpEndpoint, HttpReply, HttpRequest, HttpRequestId, Outbox,
};
use sagetrail_protocol::{Message, NodeId, Time};

use super::clients::{configuration, heartbeat, submission};
use super::engine::{Action, Engine};
use super::machine::Machine;
use super::meter::Meter;
use super::startup::start_machines;
use crate::addresses::Addresses;
use crate::faults::{takeovers, InjectedFault};
use crate::machine::describe;
use crate::plan::{draw, PlannedJob};
use crate::results::{CountRow, Results};
use crate::run_statistics::{ExpectedJob, RunStatistics};
use crate::samples::{Role, RoleUsage};
use crate::scenario::{FaultKind, FaultTarget, Scenario};
use crate::simulated_worker::{profile, HeartbeatAnswer, SimulatedRunner, WorkerSettings};
use crate::timings::Timing;

/// From a runner or a client to its process, one way.
const LOCAL: Duration = Duration::from_micros(100);
/// Processes and workers get so long to find each other before the load begins.
const STARTUP_TIME: Duration = Duration::from_secs(8);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const CONFIGURE_PAUSE: Duration = Duration::from_millis(200);
const MAX_ATTEMPTS: u32 = 5;
/// The status of a runner that is well.
const WELL: u16 = 200;
const KB: f64 = 1_000.0;

/// Who waits for an answer of HTTP.
#[derive(Clone, Copy)]
enum Waiting {
    Worker { worker: usize, sent: Time },
    Client { job: usize, attempt: u32 },
    Operator,
}

struct Simulation {
    scenario: Arc<Scenario>,
    engine: Engine,
    machines: Vec<Machine>,
    lost: Vec<bool>,
    machine_at: HashMap<NodeId, usize>,
    runners: Vec<SimulatedRunner>,
    statistics: Arc<RunStatistics>,
    plan: Vec<PlannedJob>,
    load_from: Time,
    callers: BTreeMap<u64, Waiting>,
    last_call: u64,
    scheduler: Option<usize>,
    played: Vec<InjectedFault>,
}

/// Plays a scenario in simulated time.
pub fn play(scenario: Scenario) -> anyhow::Result<Results> {
    let machine = describe();
    let scenario = Arc::new(scenario);
    let (statistics, _over) = RunStatistics::new();
    let settings = WorkerSettings {
        scenario: scenario.clone(),
        addresses: Addresses::of_process(),
        statistics: Arc::new(statistics),
    };
    let mut simulation = Simulation::new(&settings)?;
    let measured_from = Time(simulation.load_from.0 + micros(scenario.warm_up_s));
    let end = Time(measured_from.0 + micros(scenario.measured_s));
    simulation.run_until(measured_from);
    let before = (simulation.meters(), simulation.totals());
    simulation.run_until(end);
    let after = (simulation.meters(), simulation.totals());
    let counts = CountRow {
        seconds: scenario.measured_s,
        open_jobs_at_end: simulation.statistics.open_jobs() as u64,
        ..subtract(&after.1, &before.1)
    };
    Ok(Results {
        program_version: env!("CARGO_PKG_VERSION"),
        machine,
        planned_starts_s: scenario.starts_a_second(),
        scenario: Scenario::clone(&scenario),
        counts,
        timings: simulation.statistics.timings.rows(),
        usage: simulation.usage(&before.0, &after.0),
        takeovers: takeovers(&simulation.played, &simulation.statistics),
        course: Vec::new(),
    })
}

fn micros(seconds: f64) -> u64 {
    Duration::from_secs_f64(seconds).as_micros() as u64
}

impl Simulation {
    fn new(settings: &WorkerSettings) -> anyhow::Result<Simulation> {
        let scenario = settings.scenario.clone();
        let engine = Engine::new();
        let started_machines = start_machines(settings, engine.clocks())?;
        let started = engine.instant(engine.now);
        let runner = |number| {
            SimulatedRunner::new(
                profile(settings, number),
                settings.statistics.clone(),
                started,
            )
        };
        let mut simulation = Simulation {
            load_from: Time(engine.now.0 + STARTUP_TIME.as_micros() as u64),
            lost: vec![false; started_machines.len()],
            machine_at: started_machines
                .iter()
                .enumerate()
                .map(|(at, one)| (one.machine.node, at))
                .collect(),
            runners: (0..scenario.workers).map(runner).collect(),
            statistics: settings.statistics.clone(),
            plan: draw(&scenario),
            callers: BTreeMap::new(),
            last_call: 0,
            scheduler: None,
            played: Vec::new(),
            machines: Vec::new(),
            scenario,
            engine,
        };
        let mut outboxes = Vec::new();
        for one in started_machines {
            simulation.machines.push(one.machine);
            outboxes.push(one.outbox);
        }
        for (at, outbox) in outboxes.into_iter().enumerate() {
            simulation.perform(at, outbox);
        }
        simulation.schedule();
        Ok(simulation)
    }

    fn schedule(&mut self) {
        let workers = self.runners.len();
        let spread = Duration::from_millis(self.scenario.heartbeat_ms) / workers as u32;
        for worker in 0..workers {
            self.engine
                .after(spread * worker as u32, Action::Heartbeat { worker });
        }
        self.engine.after(CONFIGURE_PAUSE, Action::Configure);
        for (job, planned) in self.plan.iter().enumerate() {
            let at = Time(self.load_from.0 + planned.at.as_micros() as u64);
            self.engine.at(at, Action::Submit { job, attempt: 0 });
        }
        let measured_from = Time(self.load_from.0 + micros(self.scenario.warm_up_s));
        for (fault, played) in self.scenario.fault.iter().enumerate() {
            let lost = played.target == FaultTarget::Scheduler && played.kind == FaultKind::Kill;
            if lost {
                let at = Time(measured_from.0 + micros(played.at_s));
                self.engine.at(at, Action::LoseScheduler { fault });
            }
        }
    }

    fn run_until(&mut self, end: Time) {
        while let Some(action) = self.engine.next(end) {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Frame { to, from, frame } => self.drive(to, |machine, now, outbox| {
                machine.receive(now, from, &frame, outbox);
            }),
            Action::Wake { machine } => self.wake(machine),
            Action::Synced { machine, writes } => self.synced(machine, writes),
            Action::Heartbeat { worker } => self.heartbeat(worker),
            Action::HeartbeatAnswer {
                worker,
                sent,
                reply,
            } => self.heartbeat_answer(worker, sent, &reply),
            Action::Submit { job, attempt } => self.submit(job, attempt),
            Action::SubmitAnswer {
                job,
                attempt,
                reply,
            } => self.submit_answer(job, attempt, reply.as_ref()),
            Action::Looked { machine, id } => {
                let result = HealthCheckResult::Status(WELL);
                self.drive(machine, |machine, now, outbox| {
                    machine.handle(now, Event::HealthCheck { id, result }, outbox);
                });
            }
            Action::Configure => {
                let request = configuration(&self.scenario);
                self.call(0, HttpEndpoint::Control, request, Waiting::Operator);
            }
            Action::ConfigureAnswer { reply } if reply.status != 200 => {
                self.engine.after(CONFIGURE_PAUSE, Action::Configure);
            }
            Action::ConfigureAnswer { .. } => {}
            Action::LoseScheduler { fault } => self.lose_scheduler(fault),
        }
    }

    fn lose_scheduler(&mut self, fault: usize) {
        let Some(scheduler) = self.scheduler else {
            return;
        };
        self.lost[scheduler] = true;
        let fault = self.scenario.fault[fault].clone();
        self.played.push(InjectedFault {
            fault,
            at: self.engine.instant(self.engine.now),
        });
    }

    /// Lets a machine do something, and performs what its logic then wants done.
    fn drive(
        &mut self,
        at: usize,
        what: impl FnOnce(&mut Machine, sagetrail_protocol::node::Now, &mut Outbox),
    ) {
        if self.lost[at] {
            return;
        }
        let mut outbox = Outbox::default();
        what(&mut self.machines[at], self.engine.clocks(), &mut outbox);
        self.perform(at, outbox);
    }

    fn wake(&mut self, at: usize) {
        if self.machines[at].wake_at != Some(self.engine.now) {
            return;
        }
        self.machines[at].wake_at = None;
        self.drive(at, |machine, now, outbox| {
            machine.handle(now, Event::Wake, outbox)
        });
    }

    fn perform(&mut self, at: usize, outbox: Outbox) {
        if self.machines[at].write(outbox.writes) {
            self.start_sync(at);
        }
        self.send(at, outbox.sends);
        for (id, reply) in outbox.replies {
            self.answer(id, reply);
        }
        for health_check in outbox.health_checks {
            self.engine.after(
                LOCAL,
                Action::Looked {
                    machine: at,
                    id: health_check.id,
                },
            );
        }
        let due = self.machines[at].next_wake();
        let Some(due) = due.map(|due| due.max(self.engine.now)) else {
            return;
        };
        if self.machines[at]
            .wake_at
            .is_none_or(|scheduled| due < scheduled)
        {
            self.machines[at].wake_at = Some(due);
            self.engine.at(due, Action::Wake { machine: at });
        }
    }

    fn start_sync(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        machine.syncing = true;
        machine.meter.syncs += 1;
        let writes = std::mem::take(&mut machine.waiting);
        let sync = Duration::from_secs_f64(self.scenario.network.sync_ms / 1e3);
        self.engine.after(
            sync,
            Action::Synced {
                machine: at,
                writes,
            },
        );
    }

    fn synced(&mut self, at: usize, writes: Vec<sagetrail_protocol::node::DiskWrite>) {
        self.machines[at].syncing = false;
        for write in writes {
            self.send(at, write.send_when_synced);
            if let Some(token) = write.token {
                self.drive(at, |machine, now, outbox| {
                    machine.handle(now, Event::Synced { token }, outbox)
                });
            }
        }
        if !self.machines[at].syncing && !self.machines[at].waiting.is_empty() {
            self.start_sync(at);
        }
    }

    fn send(&mut self, at: usize, messages: Vec<(NodeId, Message)>) {
        if self.lost[at] || messages.is_empty() {
            return;
        }
        if messages
            .iter()
            .any(|(_, message)| matches!(message, Message::RunnerCommands(_)))
        {
            self.scheduler = Some(at);
        }
        let from = self.machines[at].node;
        for sending in self.machines[at].pack(messages) {
            let Some(&to) = self.machine_at.get(&sending.to) else {
                continue;
            };
            let delay = self.delay(at, to);
            self.engine.after(
                delay,
                Action::Frame {
                    to,
                    from,
                    frame: sending.frame,
                },
            );
        }
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        let network = &self.scenario.network;
        if from == to {
            return Duration::ZERO;
        }
        let near = self.machines[from].region == self.machines[to].region;
        Duration::from_secs_f64(
            if near {
                network.near_ms
            } else {
                network.far_ms
            } / 1e3,
        )
    }

    fn call(&mut self, at: usize, endpoint: HttpEndpoint, request: HttpRequest, waiting: Waiting) {
        self.last_call += 1;
        let id = HttpRequestId(self.last_call);
        self.callers.insert(id.0, waiting);
        self.drive(at, |machine, now, outbox| {
            machine.handle(
                now,
                Event::Http {
                    id,
                    endpoint,
                    request,
                },
                outbox,
            );
        });
    }

    fn answer(&mut self, id: HttpRequestId, reply: HttpReply) {
        let action = match self.callers.remove(&id.0) {
            Some(Waiting::Worker { worker, sent }) => Action::HeartbeatAnswer {
                worker,
                sent,
                reply,
            },
            Some(Waiting::Client { job, attempt }) => Action::SubmitAnswer {
                job,
                attempt,
                reply: Some(reply),
            },
            Some(Waiting::Operator) => Action::ConfigureAnswer { reply },
            None => return,
        };
        self.engine.after(LOCAL, action);
    }

    fn heartbeat(&mut self, worker: usize) {
        let now = self.engine.instant(self.engine.now);
        let runner = &mut self.runners[worker];
        let (path, body) = (runner.path(), runner.heartbeat(now));
        self.statistics
            .counts
            .heartbeats
            .fetch_add(1, Ordering::Relaxed);
        let at = self.machines.len() - self.runners.len() + worker;
        let waiting = Waiting::Worker {
            worker,
            sent: self.engine.now,
        };
        self.call(at, HttpEndpoint::Control, heartbeat(path, body), waiting);
    }

    fn heartbeat_answer(&mut self, worker: usize, sent: Time, reply: &HttpReply) {
        let (sent, now) = (
            self.engine.instant(sent),
            self.engine.instant(self.engine.now),
        );
        if let Ok(orders) = serde_json::from_slice::<HeartbeatAnswer>(&reply.body) {
            self.runners[worker].carry_out(sent, now, orders);
        }
        let due = self.engine.time(self.runners[worker].due());
        self.engine.at(
            due.max(self.engine.now.plus_millis(1)),
            Action::Heartbeat { worker },
        );
    }

    fn submit(&mut self, job: usize, attempt: u32) {
        let planned = self.plan[job].clone();
        let shape = self.scenario.job[planned.shape].clone();
        if attempt == 0 {
            let facts = ExpectedJob {
                due: self.engine.instant(self.engine.now),
                shape: shape.name.clone(),
                measured: self.measured(&planned),
                left: shape.steps * shape.tasks,
                started: false,
            };
            self.statistics.expect(planned.id, facts);
        }
        let frontends = self.scenario.frontends as usize;
        let at = self.scenario.cores as usize
            + (planned.id as usize).wrapping_add(attempt as usize) % frontends;
        let request = submission(&self.scenario, &planned);
        self.call(
            at,
            HttpEndpoint::Frontend,
            request,
            Waiting::Client { job, attempt },
        );
    }

    fn measured(&self, job: &PlannedJob) -> bool {
        job.at.as_secs_f64() >= self.scenario.warm_up_s
    }

    fn submit_answer(&mut self, job: usize, attempt: u32, reply: Option<&HttpReply>) {
        let planned = self.plan[job].clone();
        if reply.is_some_and(|reply| reply.status / 100 == 2) {
            self.statistics
                .counts
                .accepted
                .fetch_add(1, Ordering::Relaxed);
            if self.measured(&planned) {
                let due = self.load_from.0 + planned.at.as_micros() as u64;
                let took = Duration::from_micros(self.engine.now.0 - due);
                let name = &self.scenario.job[planned.shape].name;
                self.statistics
                    .timings
                    .record(Timing::SubmitToAccept, name, took);
            }
        } else if attempt + 1 < MAX_ATTEMPTS {
            self.engine.after(
                RETRY_PAUSE,
                Action::Submit {
                    job,
                    attempt: attempt + 1,
                },
            );
        } else {
            self.statistics
                .counts
                .refused
                .fetch_add(1, Ordering::Relaxed);
        }
    }

    fn meters(&self) -> Vec<Meter> {
        self.machines.iter().map(|machine| machine.meter).collect()
    }

    fn totals(&self) -> CountRow {
        let counts = &self.statistics.counts;
        let of = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
        CountRow {
            accepted: of(&counts.accepted),
            refused: of(&counts.refused),
            starts: of(&counts.starts),
            ends: of(&counts.ends),
            other_ends: of(&counts.other_ends),
            double_starts: of(&counts.double_starts),
            heartbeats: of(&counts.heartbeats),
            reports: of(&counts.reports),
            running_at_end: of(&counts.running),
            terms: self.statistics.terms(),
            ..CountRow::default()
        }
    }

    /// What one machine of each role used between two moments, on average.
    fn usage(&self, before: &[Meter], after: &[Meter]) -> Vec<RoleUsage> {
        let seconds = self.scenario.measured_s;
        let mut roles: BTreeMap<Role, (usize, Meter)> = BTreeMap::new();
        for (at, machine) in self.machines.iter().enumerate() {
            let role = if Some(at) == self.scheduler {
                Role::Scheduler
            } else {
                machine.role
            };
            let (count, sum) = roles.entry(role).or_default();
            *count += 1;
            sum.cpu += after[at].cpu - before[at].cpu;
            sum.sent_bytes += after[at].sent_bytes - before[at].sent_bytes;
            sum.received_bytes += after[at].received_bytes - before[at].received_bytes;
            sum.written_bytes += after[at].written_bytes - before[at].written_bytes;
        }
        roles
            .into_iter()
            .map(|(role, (count, sum))| usage(role, count, &sum, seconds))
            .collect()
    }
}

fn usage(role: Role, processes: usize, sum: &Meter, seconds: f64) -> RoleUsage {
    let each = processes as f64;
    let kb_s = |bytes: u64| bytes as f64 / KB / seconds / each;
    RoleUsage {
        role,
        processes,
        cpu_share: sum.cpu.as_secs_f64() / seconds / each,
        cpu_s: sum.cpu.as_secs_f64() / each,
        memory_mb: None,
        disk_kb_s: kb_s(sum.written_bytes),
        sent_kb_s: Some(kb_s(sum.sent_bytes)),
        received_kb_s: Some(kb_s(sum.received_bytes)),
    }
}

fn subtract(after: &CountRow, before: &CountRow) -> CountRow {
    CountRow {
        accepted: after.accepted - before.accepted,
        refused: after.refused - before.refused,
        starts: after.starts - before.starts,
        ends: after.ends - before.ends,
        other_ends: after.other_ends - before.other_ends,
        double_starts: after.double_starts,
        heartbeats: after.heartbeats - before.heartbeats,
        reports: after.reports - before.reports,
        running_at_end: after.running_at_end,
        terms: after.terms,
        ..CountRow::default()
    }
}
