//! Troubles at their times, and how long it took until a scheduler was at work again.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde::Serialize;

use crate::cluster::Cluster;
use crate::run_statistics::RunStatistics;
use crate::scenario::{Fault, FaultKind, FaultTarget};

/// What a fault led to. Times in milliseconds from the fault.
#[derive(Serialize, Clone, Debug)]
pub struct Takeover {
    /// What was done.
    pub kind: FaultKind,
    /// To which process.
    pub target: FaultTarget,
    /// When, in seconds from the start of the measurement.
    pub at_s: f64,
    /// The first runner heard of a new term.
    pub first_runner_ms: Option<f64>,
    /// The last runner did.
    pub last_runner_ms: Option<f64>,
    /// Runners that received the new term before the next fault.
    pub runners: u64,
    /// The first task was started under the new term.
    pub first_start_ms: Option<f64>,
}

/// A fault that was played.
pub struct InjectedFault {
    /// The fault as in the scenario.
    pub fault: Fault,
    /// When it was injected.
    pub at: Instant,
}

/// Plays all faults; `measured_from` is where their times count from.
pub async fn play(
    faults: Vec<Fault>,
    cluster: Arc<Mutex<Cluster>>,
    measured_from: Instant,
) -> anyhow::Result<Vec<InjectedFault>> {
    let mut played = Vec::new();
    for fault in faults {
        tokio::time::sleep_until((measured_from + Duration::from_secs_f64(fault.at_s)).into())
            .await;
        let at = Instant::now();
        let addresses = begin(&fault, &cluster);
        tokio::time::sleep(Duration::from_secs_f64(fault.for_s)).await;
        finish(&fault, &cluster, &addresses)?;
        played.push(InjectedFault { fault, at });
    }
    Ok(played)
}

fn begin(fault: &Fault, cluster: &Mutex<Cluster>) -> Vec<usize> {
    let mut cluster = cluster.lock().expect("no holder panics");
    let addresses = targets(fault.target, &cluster);
    for &place in &addresses {
        match fault.kind {
            FaultKind::Kill => cluster.cores[place].kill(),
            FaultKind::Freeze => cluster.cores[place].signal(Signal::SIGSTOP),
        }
    }
    addresses
}

fn finish(fault: &Fault, cluster: &Mutex<Cluster>, addresses: &[usize]) -> anyhow::Result<()> {
    let mut cluster = cluster.lock().expect("no holder panics");
    for &place in addresses {
        match fault.kind {
            FaultKind::Kill => cluster.cores[place].restart()?,
            FaultKind::Freeze => cluster.cores[place].signal(Signal::SIGCONT),
        }
    }
    Ok(())
}

fn targets(target: FaultTarget, cluster: &Cluster) -> Vec<usize> {
    let scheduler = cluster.scheduler();
    let others = (0..cluster.cores.len()).filter(|place| Some(*place) != scheduler);
    match target {
        FaultTarget::Scheduler => scheduler.into_iter().collect(),
        FaultTarget::Replica => others.take(1).collect(),
        FaultTarget::All => (0..cluster.cores.len()).collect(),
    }
}

/// What the played faults led to, by what runners saw, each up to the next one.
pub fn takeovers(played: &[InjectedFault], statistics: &RunStatistics) -> Vec<Takeover> {
    let next = |place: usize| played.get(place + 1).map(|next| next.at);
    played
        .iter()
        .enumerate()
        .map(|(place, fault)| takeover(fault, next(place), statistics))
        .collect()
}

fn takeover(played: &InjectedFault, next: Option<Instant>, statistics: &RunStatistics) -> Takeover {
    let since = |instant: Instant| (instant - played.at).as_secs_f64() * 1_000.0;
    let term = statistics.term_between(played.at, next);
    let seen = term.map(|(_, seen)| seen);
    Takeover {
        kind: played.fault.kind,
        target: played.fault.target,
        at_s: played.fault.at_s,
        first_runner_ms: seen.map(|seen| since(seen.first)),
        last_runner_ms: seen.map(|seen| since(seen.last)),
        runners: seen.map_or(0, |seen| seen.runners),
        first_start_ms: term
            .and_then(|(term, _)| statistics.first_start_of(term))
            .map(since),
    }
}
