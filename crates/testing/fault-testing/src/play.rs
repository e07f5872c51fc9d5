//! Runs a scenario: starts the processes, relays and stand-ins, sends the requests, injects the faults and collects
//! the records.

use crate::checker::{find_violations, RunInputs, Violation};
use crate::clients::{self, Pool};
use crate::links::Links;
use crate::list::{self, Lifecycle, List};
use crate::names::{Node, Participants};
use crate::processes::{http_call, http_call_with_body, Addresses, Dispatcher};
use crate::records::{Absence, Beliefs, Records};
use crate::relay::{Clock, Relays, Trace};
use crate::runners::{self, ReportConnection, Runner};
use crate::scenario::{Bad, Scenario};
use crate::schedule::{schedule, ScheduledFault};
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};
use tokio::net::TcpListener;

/// The options of a run.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The seed to use instead of the one in the scenario.
    pub seed: Option<u64>,
    /// The number of dispatchers to use instead of the one in the scenario.
    pub processes: Option<usize>,
    /// The name of a broken variant of the program to run.
    pub broken: Option<String>,
    /// The path of the program to run.
    pub program: Option<PathBuf>,
    /// Further settings for all dispatchers as `key=value`, also those of `fleet.`.
    pub set: Vec<String>,
    /// The folder to which the logs of the dispatchers are written.
    pub logs: Option<PathBuf>,
}

/// The result of a run.
pub struct Outcome {
    pub scenario: Scenario,
    pub seed: u64,
    pub schedule: Vec<ScheduledFault>,
    pub records: Records,
    pub breaks: Vec<Violation>,
    pub version: String,
}

#[derive(Clone, Copy)]
pub(crate) struct Spec {
    pub category: usize,
    pub work_s: f64,
    pub key: u64,
}

/// The state that all stand-ins and relays share.
pub(crate) struct Shared {
    pub scenario: Scenario,
    pub seed: u64,
    pub participants: Participants,
    pub addresses: Addresses,
    pub clock: Clock,
    pub relays: Relays,
    pub list: List,
    pub records: Mutex<Records>,
    pub specs: Mutex<HashMap<String, Spec>>,
    pub pool: Pool,
    report_connections: Mutex<HashMap<(usize, usize), Arc<ReportConnection>>>,
    failing: Mutex<HashMap<usize, f64>>,
    /// Dispatchers that were killed, and when. A client does not resend automatically what it had sent to them.
    killed: Mutex<Vec<(usize, f64)>>,
    handle: tokio::runtime::Handle,
}

impl Shared {
    pub(crate) fn spec(&self, id: &str) -> Option<(usize, f64, u64)> {
        self.specs
            .lock()
            .unwrap()
            .get(id)
            .map(|spec| (spec.category, spec.work_s, spec.key))
    }

    /// Returns a number from 0 to 1 for a request, the same at every hand-off of it.
    pub(crate) fn draw(&self, id: &str) -> f64 {
        let hash = id.bytes().fold(self.seed ^ 0x9E37_79B9, |hash, byte| {
            (hash.rotate_left(5) ^ u64::from(byte)).wrapping_mul(0x51_7C_C1_B7_27_22_0A_95)
        });
        (hash >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(crate) fn fails(&self, category: usize) -> f64 {
        self.failing
            .lock()
            .unwrap()
            .get(&category)
            .copied()
            .unwrap_or(0.0)
    }

    pub(crate) fn killed_since(&self, dispatcher: usize, at: f64) -> bool {
        self.killed
            .lock()
            .unwrap()
            .iter()
            .any(|(who, when)| *who == dispatcher && *when >= at)
    }

    pub(crate) fn report_connection(
        &self,
        runner: usize,
        dispatcher: usize,
    ) -> Arc<ReportConnection> {
        self.report_connections
            .lock()
            .unwrap()
            .entry((runner, dispatcher))
            .or_default()
            .clone()
    }

    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.handle.spawn(task);
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |unix| unix.as_millis() as u64)
}

/// The path of the program to run: the one that the options name, or the one built beside this test program.
fn program(options: &Options) -> Result<PathBuf, Bad> {
    if let Some(program) = &options.program {
        return Ok(program.clone());
    }
    let here = std::env::current_exe().map_err(|error| Bad(error.to_string()))?;
    let beside = here
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("sagetrail"));
    let found = beside.into_iter().find(|path| path.is_file());
    found.ok_or_else(|| {
        Bad(
            "no program `sagetrail` was found beside this test program; name one with --program"
                .to_string(),
        )
    })
}

/// Returns the scenario with the changes that the options make.
pub(crate) fn adapted(scenario: &Scenario, options: &Options) -> Result<Scenario, Bad> {
    let mut scenario = scenario.clone();
    scenario.processes = options.processes.unwrap_or(scenario.processes);
    for set in &options.set {
        let (key, value) = set
            .split_once('=')
            .ok_or_else(|| Bad(format!("'{set}' is not KEY=VALUE")))?;
        let read = format!("v = {value}")
            .parse::<toml::Table>()
            .ok()
            .and_then(|mut table| table.remove("v"));
        let value = read.unwrap_or_else(|| toml::Value::String(value.to_string()));
        match (key, value.as_bool()) {
            ("fleet.sharing", Some(sharing)) => scenario.fleet.sharing = sharing,
            _ => _ = scenario.set.insert(key.to_string(), value),
        }
    }
    if let Some(broken) = &options.broken {
        if !sagetrail_settings::BROKEN_VARIANTS
            .iter()
            .any(|(name, ..)| name == broken)
        {
            let names = sagetrail_settings::BROKEN_VARIANTS
                .iter()
                .map(|(name, ..)| *name);
            let hint = sagetrail_settings::nearest(broken, names)
                .map(|hint| format!("; did you mean '{hint}'?"));
            return Err(Bad(format!(
                "'{broken}' is not a broken variant{}",
                hint.unwrap_or_default()
            )));
        }
        scenario.set.insert(
            "trial.break".to_string(),
            toml::Value::String(broken.clone()),
        );
    }
    scenario.check()?;
    Ok(scenario)
}

/// Runs a scenario once and checks its records.
pub fn play(scenario: &Scenario, options: &Options) -> Result<Outcome, Bad> {
    let scenario = adapted(scenario, options)?;
    let seed = options.seed.unwrap_or(scenario.seed);
    let program = program(options)?;
    let schedule = schedule(&scenario, seed)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| Bad(error.to_string()))?;
    let (records, version) =
        runtime.block_on(run(&scenario, seed, &schedule, &program, options))?;
    runtime.shutdown_background();
    let participants = scenario.participants();
    let breaks = find_violations(
        &RunInputs {
            scenario: &scenario,
            participants: &participants,
            schedule: &schedule,
        },
        &records,
    );
    Ok(Outcome {
        scenario,
        seed,
        schedule,
        records,
        breaks,
        version,
    })
}

/// The time in seconds between the moment when all dispatchers are ready and the begin of the run. It is long enough
/// for the budgets that dispatchers hold back after a start to become available.
fn warm_up(scenario: &Scenario) -> f64 {
    let (fleet, longest) = (
        &scenario.fleet,
        scenario
            .categories
            .iter()
            .map(|c| c.expiry.0)
            .fold(0.0, f64::max),
    );
    let hold = if fleet.caps.is_empty() {
        scenario.cold.span.0.max(1.0)
    } else {
        longest
    };
    let shared = if fleet.sharing {
        (fleet.lease.0 + hold) * 1.02 + 0.4
    } else {
        0.5
    };
    // Dispatchers accept recorded work once all records from before a start would have ended. The store is founded
    // within two seconds.
    let keeps = |c: &crate::scenario::Category| match c.repeat.as_str() {
        "ticketed" => c.expiry.0 + c.expiry.0.max(c.window.0),
        _ => 2.0 * c.expiry.0,
    };
    let recorded = scenario
        .categories
        .iter()
        .filter(|c| c.record > 0)
        .map(keeps)
        .fold(0.0, f64::max);
    match &scenario.store {
        Some(_) => shared.max(1.02 * recorded + 0.4).max(2.0),
        None => shared,
    }
}

async fn run(
    scenario: &Scenario,
    seed: u64,
    schedule: &[ScheduledFault],
    program: &PathBuf,
    options: &Options,
) -> Result<(Records, String), Bad> {
    let bad = |context: &str| {
        let context = context.to_string();
        move |error: std::io::Error| Bad(format!("{context}: {error}"))
    };
    let addresses = Addresses::new().map_err(bad("addresses"))?;
    let participants = scenario.participants();
    let clock = Clock::new(Instant::now());
    let traces: Arc<Mutex<HashMap<SocketAddr, Arc<Trace>>>> = Arc::default();
    let relays = Relays {
        links: Links::default(),
        clock: clock.clone(),
        seed,
        traces,
    };
    let shared = Arc::new(Shared {
        scenario: scenario.clone(),
        seed,
        participants: participants.clone(),
        addresses,
        clock: clock.clone(),
        relays: relays.clone(),
        list: List::new(),
        records: Mutex::default(),
        specs: Mutex::default(),
        pool: Pool::new(participants.dispatchers),
        report_connections: Mutex::default(),
        failing: Mutex::default(),
        killed: Mutex::default(),
        handle: tokio::runtime::Handle::current(),
    });
    let addresses = &shared.addresses;
    let listen = async |node: Node| {
        TcpListener::bind(addresses.listen_address(node))
            .await
            .map_err(bad("a stand-in"))
    };
    let mut runners = Vec::new();
    for n in 0..participants.runners {
        let runner = Arc::new(Runner::new(n));
        tokio::spawn(runners::serve(
            shared.clone(),
            runner.clone(),
            listen(Node::Runner(n)).await?,
        ));
        runners.push(runner);
    }
    tokio::spawn(list::serve(shared.clone(), listen(Node::List).await?));
    for n in 0..participants.dispatchers {
        let me = Node::Dispatcher(n);
        let link = |from: Node, to: Node| {
            tokio::spawn(relays.clone().relay_streams(
                addresses.relay_address(from, to),
                addresses.listen_address(to),
                from,
                to,
            ))
        };
        link(me, Node::List);
        link(Node::Clients, me);
        for r in 0..participants.runners {
            link(me, Node::Runner(r));
            link(Node::Runner(r), me);
        }
        for other in (0..participants.dispatchers).filter(|other| *other != n) {
            let (at, to) = (
                addresses.fleet_relay_address(n, other),
                addresses.fleet_address(other),
            );
            tokio::spawn(
                relays
                    .clone()
                    .relay_streams(at, to, me, Node::Dispatcher(other)),
            );
            tokio::spawn(
                relays
                    .clone()
                    .relay_datagrams(at, to, me, Node::Dispatcher(other)),
            );
        }
    }
    // All runners start warm here. In a scenario with cold runners, they are restarted cold when the run begins.
    for runner in &runners {
        runner.start_process(&shared, false);
        shared.list.update(runner.n, |_| {});
    }
    let folder = tempfile::tempdir().map_err(bad("a folder"))?;
    let mut dispatchers = Vec::new();
    for n in 0..participants.dispatchers {
        let dispatcher = Dispatcher::new(n, folder.path(), program).map_err(bad("a folder"))?;
        for fault in schedule
            .iter()
            .filter(|fault| fault.nodes.contains(&Node::Dispatcher(n)))
        {
            // The admin call that moves the clock exists only in a process that was started with a trial setting.
            if ["clock-off", "clock-jump"].contains(&fault.kind) {
                let off = if fault.kind == "clock-off" {
                    fault.by
                } else {
                    0.0
                };
                dispatcher.set(&[("trial.clock_off".to_string(), toml::Value::Float(off))].into());
            }
            if fault.kind == "disk-slow" {
                let delay = format!("{:.3}ms", fault.delay_s * 1e3);
                dispatcher
                    .set(&[("trial.disk_slow".to_string(), toml::Value::String(delay))].into());
            }
            if fault.kind == "disk-full" {
                let bytes = toml::Value::Integer(fault.by as i64);
                dispatcher.set(&[("trial.disk_full".to_string(), bytes)].into());
            }
        }
        dispatcher
            .start(addresses, scenario, &participants)
            .map_err(bad("the program"))?;
        dispatchers.push(Arc::new(dispatcher));
    }
    for dispatcher in &dispatchers {
        if !dispatcher.ready(addresses).await {
            let log = dispatcher.log();
            let last = log.lines().last().unwrap_or("its log is empty").to_string();
            return Err(Bad(format!(
                "{} is not ready: {last}",
                Node::Dispatcher(dispatcher.n).name()
            )));
        }
    }
    let crowd = |at: f64| {
        let now =
            |fault: &&ScheduledFault| fault.kind == "crowd" && fault.from <= at && at < fault.to;
        schedule
            .iter()
            .filter(now)
            .map(|fault| fault.by)
            .product::<f64>()
    };
    let plans = clients::plan(&shared, crowd);
    let running = Arc::new(RunningNodes {
        shared: shared.clone(),
        runners,
        dispatchers,
    });
    tokio::time::sleep(Duration::from_secs_f64(warm_up(scenario))).await;
    clock.begin();
    if scenario.runners.cold {
        for runner in &running.runners {
            runner.end_process(&shared, false);
            running.start_runner(runner.n, true);
        }
    }
    let mut tasks = Vec::new();
    for (no, fault) in schedule.iter().enumerate() {
        let (running, fault) = (running.clone(), fault.clone());
        tasks.push(tokio::spawn(
            async move { running.run_fault(no, fault).await },
        ));
    }
    tasks.push(tokio::spawn(watch_dispatchers(running.clone())));
    clients::send(shared.clone(), plans, 0.0).await;
    // Waits for the last reports of the runners and for hand-offs that are still being given up.
    tokio::time::sleep(Duration::from_millis(300)).await;
    running.record_crashes();
    tasks.iter().for_each(|task| task.abort());
    let now = clock.now();
    for dispatcher in &running.dispatchers {
        dispatcher.resume();
        dispatcher.kill();
        let mut open = dispatcher.absences.lock().unwrap();
        open.iter_mut()
            .filter(|absence| absence.to.is_infinite())
            .for_each(|absence| absence.to = now + 60.0);
        shared
            .records
            .lock()
            .unwrap()
            .absences
            .extend(open.drain(..));
        if let Some(logs) = &options.logs {
            std::fs::create_dir_all(logs).map_err(bad("logs"))?;
            let name = logs.join(format!("{}.log", Node::Dispatcher(dispatcher.n).name()));
            std::fs::write(name, dispatcher.log()).map_err(bad("logs"))?;
        }
    }
    let version = std::process::Command::new(program)
        .arg("--version")
        .output();
    let version = version
        .map(|out| String::from_utf8_lossy(&out.stdout).trim().to_string())
        .unwrap_or_default();
    let mut records = std::mem::take(&mut *shared.records.lock().unwrap());
    for ho in &mut records.hos {
        let Some((from, answered)) = ho.came_by else {
            continue;
        };
        let Some(trace) = relays.trace(from) else {
            continue;
        };
        let told = trace.given_by(answered).unwrap_or(f64::INFINITY);
        ho.closed = trace.closed_at().filter(|closed| *closed < told);
    }
    Ok((records, version))
}

/// The running dispatchers and runners, on which faults are injected.
struct RunningNodes {
    shared: Arc<Shared>,
    runners: Vec<Arc<Runner>>,
    dispatchers: Vec<Arc<Dispatcher>>,
}

impl RunningNodes {
    /// Starts the next process of a runner and adds it to the list.
    fn start_runner(&self, n: usize, cold: bool) {
        let cold = cold && self.shared.scenario.cold.time.0 > 0.0;
        let process = self.runners[n].start_process(&self.shared, cold);
        self.shared.list.update(n, |entry| {
            (entry.lifecycle, entry.process) = (Lifecycle::Ready, process);
            entry.started_ms = if cold { unix_ms() } else { 0 };
        });
    }

    /// Records the dispatchers that exited unexpectedly.
    fn record_crashes(&self) {
        for dispatcher in &self.dispatchers {
            if let Some((false, how)) = dispatcher.ended() {
                let at = self.shared.clock.now();
                self.shared
                    .records
                    .lock()
                    .unwrap()
                    .crashes
                    .push((dispatcher.n, at, how));
            }
        }
    }

    fn begin_absence(&self, n: usize, died: bool) {
        let from = self.shared.clock.now();
        if died {
            self.shared.killed.lock().unwrap().push((n, from));
        }
        let absence = Absence {
            dispatcher: n,
            from,
            to: f64::INFINITY,
            died,
        };
        self.dispatchers[n].absences.lock().unwrap().push(absence);
    }

    fn end_absence(&self, n: usize) {
        let now = self.shared.clock.now();
        let mut absences = self.dispatchers[n].absences.lock().unwrap();
        absences
            .iter_mut()
            .filter(|absence| absence.to.is_infinite())
            .for_each(|absence| absence.to = now);
    }

    /// Sets the disk and the clock with which a dispatcher is restarted.
    fn prepare_restart(&self, n: usize, fault: &ScheduledFault) {
        self.dispatchers[n].give_disk(&fault.with);
        if let Some(off) = fault.off {
            self.dispatchers[n]
                .set(&[("trial.clock_off".to_string(), toml::Value::Float(off))].into());
        }
    }

    async fn start_dispatcher(&self, n: usize) {
        let (shared, dispatcher) = (&self.shared, &self.dispatchers[n]);
        if dispatcher
            .start(&shared.addresses, &shared.scenario, &shared.participants)
            .is_ok()
        {
            dispatcher.ready(&shared.addresses).await;
        }
        self.end_absence(n);
    }

    /// Runs an action concurrently for the number of each dispatcher or runner that a fault affects.
    async fn for_each_target<F: Future<Output = ()>>(
        &self,
        fault: &ScheduledFault,
        act: impl Fn(usize) -> F,
    ) {
        let number = |node: &Node| match node {
            Node::Dispatcher(n) | Node::Runner(n) => Some(*n),
            _ => None,
        };
        futures_util::future::join_all(fault.nodes.iter().filter_map(number).map(act)).await;
    }

    fn set_runner_faults(
        &self,
        fault: &ScheduledFault,
        change: impl Fn(&mut runners::RunnerFaults),
    ) {
        for node in &fault.nodes {
            if let Node::Runner(n) = node {
                self.runners[*n].faults.send_modify(&change);
            }
        }
    }

    async fn run_fault(self: Arc<Self>, no: usize, fault: ScheduledFault) {
        let clock = &self.shared.clock;
        clock.until(fault.from).await;
        self.begin_fault(no, &fault).await;
        if fault.to.is_finite() {
            clock.until(fault.to).await;
            self.end_fault(no, &fault).await;
        }
    }

    async fn begin_fault(&self, no: usize, fault: &ScheduledFault) {
        let shared = &self.shared;
        if !fault.links.is_empty() {
            return shared.relays.links.begin(no, fault);
        }
        let (p, by) = (fault.p, fault.by);
        match fault.kind {
            "hang" => self.set_runner_faults(fault, |faults| faults.hang = true),
            "fail" => self.set_runner_faults(fault, |faults| faults.fail = p),
            "slow" => self.set_runner_faults(fault, |faults| faults.slow = by),
            "full" => self.set_runner_faults(fault, |faults| faults.full = true),
            "mute" => self.set_runner_faults(fault, |faults| faults.mute = true),
            "crash" | "vanish" => {
                let links = fault
                    .nodes
                    .iter()
                    .flat_map(|n| shared.participants.links(&n.name()).unwrap_or_default());
                let cut = ScheduledFault {
                    kind: "cut",
                    links: links.collect(),
                    ..fault.clone()
                };
                if fault.kind == "vanish" {
                    shared.relays.links.begin(no, &cut);
                }
                self.set_runner_faults(fault, |faults| faults.dead = true);
                let told = fault.kind == "crash";
                self.for_each_target(fault, |n| async move {
                    self.runners[n].end_process(shared, told)
                })
                .await;
                // The list learns of the crash from the agent, or later of a lost machine from the agent's silence.
                tokio::time::sleep(Duration::from_millis(if told { 500 } else { 2000 })).await;
                if shared.clock.now() < fault.to {
                    self.for_each_target(fault, |n| async move {
                        shared
                            .list
                            .update(n, |entry| entry.lifecycle = Lifecycle::Gone)
                    })
                    .await;
                }
            }
            "new" => {
                self.for_each_target(fault, |n| async move {
                    self.runners[n].end_process(shared, true);
                    self.start_runner(n, true);
                })
                .await;
            }
            "drain" => {
                self.for_each_target(fault, |n| async move {
                    shared.list.update(n, |e| e.lifecycle = Lifecycle::Draining)
                })
                .await
            }
            "gone" => {
                self.for_each_target(fault, |n| async move {
                    shared.list.update(n, |e| e.lifecycle = Lifecycle::Gone)
                })
                .await
            }
            "by-hand" => self.for_each_target(fault, |n| self.by_hand(n, true)).await,
            "ban" => {
                self.for_each_target(fault, |n| self.ban(n, &fault.with, true))
                    .await
            }
            "propose" => {
                self.for_each_target(fault, |n| self.propose(n, fault))
                    .await
            }
            "say" => {
                self.for_each_target(fault, |n| async move {
                    let (method, path) = fault.with.split_once(' ').unwrap_or(("GET", "/store"));
                    let _ = http_call(shared.addresses.admin_address(n), method, path).await;
                })
                .await;
            }
            "fail-category" => {
                let category = shared
                    .scenario
                    .categories
                    .iter()
                    .position(|c| c.name == fault.with);
                category.map(|category| shared.failing.lock().unwrap().insert(category, p));
            }
            "kill" => {
                self.for_each_target(fault, |n| async move {
                    self.begin_absence(n, true);
                    self.dispatchers[n].kill();
                })
                .await;
            }
            "restart" => {
                self.for_each_target(fault, |n| async move {
                    self.begin_absence(n, true);
                    self.dispatchers[n].kill();
                    self.prepare_restart(n, fault);
                    self.start_dispatcher(n).await;
                })
                .await;
            }
            "term" => {
                for node in &fault.nodes {
                    if let Node::Dispatcher(n) = node {
                        self.dispatchers[*n].term();
                    }
                }
                self.for_each_target(fault, |n| self.restart_after_term(n, fault))
                    .await;
            }
            "pause" => {
                self.for_each_target(fault, |n| async move {
                    self.begin_absence(n, false);
                    self.dispatchers[n].pause();
                })
                .await;
            }
            "clock-jump" => {
                self.for_each_target(fault, |n| async move {
                    let path = format!("/trial/clock/{by}");
                    let _ = http_call(shared.addresses.admin_address(n), "POST", &path).await;
                })
                .await;
            }
            "reload" => {
                self.for_each_target(fault, |n| async move {
                    self.dispatchers[n].set(&fault.set);
                    if self.dispatchers[n]
                        .write(&shared.addresses, &shared.scenario, &shared.participants)
                        .is_ok()
                    {
                        self.dispatchers[n].reload();
                    }
                })
                .await;
            }
            "drain-by-hand" => {
                self.for_each_target(fault, |n| async move {
                    let _ = http_call(
                        shared.addresses.admin_address(n),
                        "POST",
                        "/healthcheck/fail",
                    )
                    .await;
                })
                .await;
            }
            _ => {}
        }
    }

    async fn end_fault(&self, no: usize, fault: &ScheduledFault) {
        let shared = &self.shared;
        if !fault.links.is_empty() {
            return shared.relays.links.end(no);
        }
        match fault.kind {
            "hang" => self.set_runner_faults(fault, |faults| faults.hang = false),
            "fail" => self.set_runner_faults(fault, |faults| faults.fail = 0.0),
            "slow" => self.set_runner_faults(fault, |faults| faults.slow = 1.0),
            "full" => self.set_runner_faults(fault, |faults| faults.full = false),
            "mute" => self.set_runner_faults(fault, |faults| faults.mute = false),
            "crash" | "vanish" => {
                self.set_runner_faults(fault, |faults| faults.dead = false);
                shared.relays.links.end(no);
                self.for_each_target(fault, |n| async move { self.start_runner(n, true) })
                    .await;
            }
            "drain" | "gone" => {
                self.for_each_target(fault, |n| async move {
                    shared.list.update(n, |e| e.lifecycle = Lifecycle::Ready)
                })
                .await;
            }
            "by-hand" => {
                self.for_each_target(fault, |n| self.by_hand(n, false))
                    .await
            }
            "ban" => {
                self.for_each_target(fault, |n| self.ban(n, &fault.with, false))
                    .await
            }
            "fail-category" => {
                let category = shared
                    .scenario
                    .categories
                    .iter()
                    .position(|c| c.name == fault.with);
                category.map(|category| shared.failing.lock().unwrap().remove(&category));
            }
            "kill" => {
                let starts = fault.nodes.iter().filter_map(|node| match node {
                    Node::Dispatcher(n) => Some(*n),
                    _ => None,
                });
                for n in starts.clone() {
                    self.prepare_restart(n, fault);
                    let (shared, dispatcher) = (&self.shared, &self.dispatchers[n]);
                    let _ =
                        dispatcher.start(&shared.addresses, &shared.scenario, &shared.participants);
                }
                for n in starts {
                    self.dispatchers[n].ready(&shared.addresses).await;
                    self.end_absence(n);
                }
            }
            "pause" => {
                self.for_each_target(fault, |n| async move {
                    self.dispatchers[n].resume();
                    self.end_absence(n);
                })
                .await;
            }
            "drain-by-hand" => {
                self.for_each_target(fault, |n| async move {
                    let _ = http_call(shared.addresses.admin_address(n), "POST", "/healthcheck/ok")
                        .await;
                })
                .await;
            }
            _ => {}
        }
    }

    async fn restart_after_term(&self, n: usize, fault: &ScheduledFault) {
        let began = self.shared.clock.now();
        loop {
            if self.dispatchers[n].ended().is_some() {
                break;
            }
            // Like the platform, kills the process only after the grace of 6 s.
            if self.shared.clock.now() > began + 6.0 {
                self.begin_absence(n, true);
                self.dispatchers[n].kill();
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.begin_absence(n, true);
        self.prepare_restart(n, fault);
        self.start_dispatcher(n).await;
    }

    /// Bans a runner, or lifts the ban, by an admin call to one dispatcher. A ban counts from the answer that
    /// confirms that it was agreed.
    async fn ban(&self, runner: usize, with: &str, out: bool) {
        let shared = &self.shared;
        let door = shared
            .participants
            .select(with)
            .ok()
            .and_then(|nodes| nodes.first().copied());
        let Some(Node::Dispatcher(n)) = door else {
            return;
        };
        let path = format!(
            "/runners/{}/{}",
            Node::Runner(runner).name(),
            if out { "maint" } else { "ready" }
        );
        if !out {
            let now = shared.clock.now();
            let mut records = shared.records.lock().unwrap();
            records
                .banned
                .iter_mut()
                .filter(|b| b.0 == runner && b.2.is_infinite())
                .for_each(|b| b.2 = now);
        }
        let said = http_call(shared.addresses.admin_address(n), "POST", &path).await;
        if out && matches!(said, Ok((200, _))) {
            let now = shared.clock.now();
            shared
                .records
                .lock()
                .unwrap()
                .banned
                .push((runner, now, f64::INFINITY));
        }
    }

    async fn propose(&self, n: usize, fault: &ScheduledFault) {
        let shared = &self.shared;
        let mut table = toml::Table::new();
        fault
            .set
            .iter()
            .for_each(|(path, value)| crate::processes::set_key(&mut table, path, value.clone()));
        let text = toml::to_string(&table).unwrap_or_default();
        let said = http_call_with_body(
            shared.addresses.admin_address(n),
            "POST",
            "/store/propose",
            &text,
        )
        .await;
        let caps = table
            .get("fleet")
            .and_then(|fleet| fleet.get("caps"))
            .and_then(|caps| caps.as_table());
        if let (Ok((200, _)), Some(caps)) = (said, caps) {
            let now = shared.clock.now();
            let of = |name: &str| {
                shared
                    .scenario
                    .categories
                    .iter()
                    .position(|c| c.name == name)
            };
            let caps = caps
                .iter()
                .filter_map(|(name, cap)| Some((now, of(name)?, cap.as_integer()? as u64)));
            shared.records.lock().unwrap().caps.extend(caps);
        }
    }

    async fn by_hand(&self, runner: usize, out: bool) {
        let (shared, name) = (&self.shared, Node::Runner(runner).name());
        let path = format!("/runners/{name}/{}", if out { "maint" } else { "ready" });
        if !out {
            let now = shared.clock.now();
            let mut records = shared.records.lock().unwrap();
            records
                .by_hand
                .iter_mut()
                .filter(|b| b.0 == runner && b.3.is_infinite())
                .for_each(|b| b.3 = now);
        }
        for n in 0..self.dispatchers.len() {
            let said = http_call(shared.addresses.admin_address(n), "POST", &path).await;
            if out && matches!(said, Ok((200, _))) {
                let word = (runner, n, shared.clock.now(), f64::INFINITY);
                shared.records.lock().unwrap().by_hand.push(word);
            }
        }
    }
}

/// Every second records the dispatchers that exited unexpectedly and the member states that each dispatcher reports.
/// In the third second it copies each disk, for restarts with an old copy.
async fn watch_dispatchers(running: Arc<RunningNodes>) {
    let mut n = 0;
    loop {
        running.record_crashes();
        for dispatcher in &running.dispatchers {
            if n == 2 {
                dispatcher.copy_disk();
            }
            let said = http_call(
                running.shared.addresses.admin_address(dispatcher.n),
                "GET",
                "/members",
            )
            .await;
            let Ok((200, said)) = said else { continue };
            let lives: BTreeMap<&str, &str> = said
                .lines()
                .filter_map(|line| {
                    let mut words = line.split(' ');
                    let name = words.next()?;
                    Some((name, words.nth(1)?))
                })
                .collect();
            let life = |n: usize| {
                lives
                    .get(Node::Dispatcher(n).name().as_str())
                    .map_or(String::new(), |life| life.to_string())
            };
            let lives = (0..running.dispatchers.len()).map(life).collect();
            let at = running.shared.clock.now();
            running
                .shared
                .records
                .lock()
                .unwrap()
                .beliefs
                .push(Beliefs {
                    at,
                    dispatcher: dispatcher.n,
                    lives,
                });
        }
        n += 1;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}
