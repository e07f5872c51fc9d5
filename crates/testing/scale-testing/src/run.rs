//! A run from start to end: processes, workers, load, faults, samples, results.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Context;
use indicatif::{ProgressBar, ProgressStyle};
use tokio::sync::mpsc;

use crate::addresses::Addresses;
use crate::arguments::Arguments;
use crate::call::Caller;
use crate::cluster::{own_folder, Cluster};
use crate::disk_probe::DiskProbe;
use crate::faults::{play, takeovers, InjectedFault};
use crate::load::Load;
use crate::machine;
use crate::operator::{frontends, Operator};
use crate::plan;
use crate::results::{CountRow, CourseRow, Results};
use crate::run_statistics::{CompletedJob, Counts, RunStatistics};
use crate::samples::{between, sample, ResourceSnapshot, Role, RoleUsage, Sample};
use crate::scenario::Scenario;
use crate::simulated_time;
use crate::simulated_worker::{WorkerFleet, WorkerSettings};
use crate::summary;

/// Processes are sampled at this often.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// All workers must have been heard of by the scheduler within this.
const GATHER_PATIENCE: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const LOAD_THREADS: usize = 2;

/// Plays a run and writes its results.
pub fn run(arguments: &Arguments) -> anyhow::Result<()> {
    let mut scenario = Scenario::load(&arguments.scenario)
        .with_context(|| format!("scenario {}", arguments.scenario.display()))?;
    scenario.workers = arguments.workers.unwrap_or(scenario.workers);
    scenario.seed = arguments.seed.unwrap_or(scenario.seed);
    if arguments.simulated {
        let results = simulated_time::play(scenario)?;
        results.write(&arguments.results)?;
        summary::print(&results);
        return Ok(());
    }
    let programs = arguments.programs.clone().map_or_else(own_folder, Ok)?;
    let results = play_scenario(scenario, &programs, &arguments.disks)?;
    results.write(&arguments.results)?;
    summary::print(&results);
    Ok(())
}

/// Plays a scenario with the programs of a folder.
pub fn play_scenario(scenario: Scenario, programs: &Path, disks: &Path) -> anyhow::Result<Results> {
    let machine = machine::describe();
    let folder = tempfile::tempdir_in(disks)?;
    let addresses = Addresses::of_process();
    let (statistics, over) = RunStatistics::new();
    let statistics = Arc::new(statistics);
    let scenario = Arc::new(scenario);
    let cluster = Arc::new(Mutex::new(Cluster::start(
        &scenario,
        addresses,
        programs,
        folder.path(),
    )?));
    let settings = WorkerSettings {
        scenario: scenario.clone(),
        addresses,
        statistics: statistics.clone(),
    };
    let health_check = DiskProbe::start(folder.path(), statistics.clone())?;
    let fleet = WorkerFleet::start(&settings);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(LOAD_THREADS)
        .enable_all()
        .build()?;
    let stage = Stage {
        scenario: scenario.clone(),
        addresses,
        statistics: statistics.clone(),
        cluster: cluster.clone(),
    };
    let course = runtime.block_on(stage.play(over));
    runtime.shutdown_background();
    let ended = fleet.end();
    health_check.end()?;
    let terms = end_processes(&cluster);
    let mut course = course.map_err(|error| error.context(logs(&cluster)))?;
    ended?;
    course.counts.terms = terms;
    Ok(Results {
        program_version: env!("CARGO_PKG_VERSION"),
        machine,
        planned_starts_s: scenario.starts_a_second(),
        scenario: Scenario::clone(&scenario),
        counts: course.counts,
        timings: statistics.timings.rows(),
        usage: course.usage,
        takeovers: takeovers(&course.played, &statistics),
        course: course.rows,
    })
}

/// Ends all processes; how many terms have begun.
fn end_processes(cluster: &Mutex<Cluster>) -> u64 {
    let mut cluster = cluster.lock().expect("no holder panics");
    cluster.end();
    cluster.terms()
}

/// The last lines of the core processes' logs, for the error that ends a run.
fn logs(cluster: &Mutex<Cluster>) -> String {
    let cluster = cluster.lock().expect("no holder panics");
    let last = |program: &crate::program::Program| {
        let text = std::fs::read_to_string(program.log()).unwrap_or_default();
        text.lines().last().unwrap_or_default().to_owned()
    };
    let lines: Vec<String> = cluster.cores.iter().map(last).collect();
    format!("core processes' last lines: {}", lines.join(" | "))
}

struct Stage {
    scenario: Arc<Scenario>,
    addresses: Addresses,
    statistics: Arc<RunStatistics>,
    cluster: Arc<Mutex<Cluster>>,
}

struct Course {
    rows: Vec<CourseRow>,
    counts: CountRow,
    usage: Vec<RoleUsage>,
    played: Vec<InjectedFault>,
}

impl Stage {
    async fn play(&self, over: mpsc::UnboundedReceiver<CompletedJob>) -> anyhow::Result<Course> {
        let scenario = &self.scenario;
        let mut operator = Operator::new(scenario, self.addresses, self.statistics.clone());
        operator.configure(scenario).await?;
        self.gather().await?;
        let started = Instant::now();
        let measured_from = started + Duration::from_secs_f64(scenario.warm_up_s);
        let end = measured_from + Duration::from_secs_f64(scenario.measured_s);
        let load = Load {
            scenario: scenario.clone(),
            statistics: self.statistics.clone(),
            caller: Caller::default(),
            frontends: Arc::new(frontends(scenario, self.addresses)),
            started,
        };
        tokio::spawn(load.clone().ask_all(over));
        tokio::spawn(load.submit_all(plan::draw(scenario)));
        let faults = tokio::spawn(play(
            scenario.fault.clone(),
            self.cluster.clone(),
            measured_from,
        ));
        let bar = progress(scenario);
        let mut rows = self.sample_until(started, measured_from, &bar).await?;
        let changes = tokio::spawn(change(operator, scenario.changes_a_second, end));
        let before = (self.mark().await, self.totals(), Instant::now());
        rows.extend(self.sample_until(started, end, &bar).await?);
        let after = (self.mark().await, self.totals(), Instant::now());
        let seconds = (after.2 - before.2).as_secs_f64();
        self.drain().await;
        bar.finish_and_clear();
        let played = faults.await??;
        changes.await??;
        Ok(Course {
            rows,
            counts: difference(
                &before.1,
                &after.1,
                seconds,
                self.statistics.open_jobs() as u64,
            ),
            usage: between(&before.0, &after.0, seconds),
            played,
        })
    }

    /// Waits until each runner has heard of a scheduler.
    async fn gather(&self) -> anyhow::Result<()> {
        let started = Instant::now();
        let wanted = u64::from(self.scenario.workers);
        while self.statistics.newest_term_runners() < wanted {
            let heard = self.statistics.newest_term_runners();
            anyhow::ensure!(
                started.elapsed() < GATHER_PATIENCE,
                "{heard} of {wanted} workers are served"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits for the end of all jobs, but not for ever.
    async fn drain(&self) {
        let end = Instant::now() + Duration::from_secs_f64(self.scenario.drain_s);
        while Instant::now() < end && self.statistics.open_jobs() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn mark(&self) -> ResourceSnapshot {
        let cluster = self.cluster.clone();
        let sampled = tokio::task::spawn_blocking(move || {
            ResourceSnapshot::take(&cluster.lock().expect("no panics"))
        });
        sampled.await.unwrap_or_default()
    }

    async fn sample(&self) -> Sample {
        let cluster = self.cluster.clone();
        let sampled =
            tokio::task::spawn_blocking(move || sample(&cluster.lock().expect("no panics")));
        sampled.await.unwrap_or_default()
    }

    async fn sample_until(
        &self,
        started: Instant,
        end: Instant,
        bar: &ProgressBar,
    ) -> anyhow::Result<Vec<CourseRow>> {
        let mut rows = Vec::new();
        let mut former = (self.sample().await, self.totals(), Instant::now());
        while Instant::now() < end {
            tokio::time::sleep_until((Instant::now() + SAMPLE_INTERVAL).min(end).into()).await;
            let newer = (self.sample().await, self.totals(), Instant::now());
            anyhow::ensure!(
                newer.0.memory() < machine::memory_bound(),
                "over half of the machine's memory"
            );
            let at = newer.2 - started;
            bar.set_position(at.as_secs());
            let seconds = (newer.2 - former.2).as_secs_f64();
            rows.push(row(
                at.as_secs_f64(),
                &former.0,
                &newer.0,
                &former.1,
                &newer.1,
                seconds,
            ));
            former = newer;
        }
        Ok(rows)
    }

    fn totals(&self) -> CountRow {
        let counts: &Counts = &self.statistics.counts;
        let of = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CountRow {
            seconds: 0.0,
            accepted: of(&counts.accepted),
            refused: of(&counts.refused),
            starts: of(&counts.starts),
            ends: of(&counts.ends),
            other_ends: of(&counts.other_ends),
            double_starts: of(&counts.double_starts),
            heartbeats: of(&counts.heartbeats),
            failed_heartbeats: of(&counts.failed_heartbeats),
            reports: of(&counts.reports),
            running_at_end: of(&counts.running),
            open_jobs_at_end: 0,
            terms: 0,
        }
    }
}

async fn change(operator: Operator, rate: f64, end: Instant) -> anyhow::Result<()> {
    if rate <= 0.0 {
        return Ok(());
    }
    operator.change_until(rate, end).await
}

fn progress(scenario: &Scenario) -> ProgressBar {
    let bar = ProgressBar::new((scenario.warm_up_s + scenario.measured_s) as u64);
    let style = ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} s");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_message(format!("{} {}", scenario.name, scenario.workers));
    bar
}

fn difference(before: &CountRow, after: &CountRow, seconds: f64, open_jobs: u64) -> CountRow {
    CountRow {
        seconds,
        accepted: after.accepted - before.accepted,
        refused: after.refused - before.refused,
        starts: after.starts - before.starts,
        ends: after.ends - before.ends,
        other_ends: after.other_ends - before.other_ends,
        double_starts: after.double_starts,
        heartbeats: after.heartbeats - before.heartbeats,
        failed_heartbeats: after.failed_heartbeats - before.failed_heartbeats,
        reports: after.reports - before.reports,
        running_at_end: after.running_at_end,
        open_jobs_at_end: open_jobs,
        terms: 0,
    }
}

fn row(
    at_s: f64,
    former: &Sample,
    newer: &Sample,
    before: &CountRow,
    after: &CountRow,
    seconds: f64,
) -> CourseRow {
    let marks = |sample: &Sample| ResourceSnapshot {
        sample: sample.clone(),
        traffic: None,
    };
    let usage = between(&marks(former), &marks(newer), seconds);
    let of = |role: Role| usage.iter().find(|usage| usage.role == role);
    let cpu = |role: Role| of(role).map_or(0.0, |usage| usage.cpu_share);
    let rate = |figure: fn(&CountRow) -> u64| (figure(after) - figure(before)) as f64 / seconds;
    CourseRow {
        at_s,
        running: after.running_at_end,
        starts_s: rate(|counts| counts.starts),
        heartbeats_s: rate(|counts| counts.heartbeats),
        reports_s: rate(|counts| counts.reports),
        scheduler_cpu: cpu(Role::Scheduler),
        replica_cpu: cpu(Role::Replica),
        frontend_cpu: cpu(Role::Frontend),
        side_cpu: cpu(Role::Side),
        hollow_cpu: cpu(Role::Hollow),
        scheduler_mb: of(Role::Scheduler)
            .and_then(|usage| usage.memory_mb)
            .unwrap_or(0.0),
    }
}
