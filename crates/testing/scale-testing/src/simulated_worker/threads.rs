//! The threads that carry simulated workers, and their start and end.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::Context;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::LocalSet;

use sagetrail_agent::AgentSettings;
use sagetrail_protocol::bounds::Bounds;

use super::agent::start;
use super::agent_connection::AgentConnection;
use super::heartbeat_loop::work;
use super::messages::Capacity;
use super::runner::{RunnerProfile, SimulatedRunner};
use crate::addresses::Addresses;
use crate::call::Caller;
use crate::operator::SERVICE;
use crate::run_statistics::RunStatistics;
use crate::scenario::Scenario;

/// A worker starts so long after the one before it on the same thread, so that heartbeats are spread.
const START_GAP: Duration = Duration::from_micros(700);

const WELL: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// What simulated workers are started with.
#[derive(Clone)]
pub struct WorkerSettings {
    /// What is played.
    pub scenario: Arc<Scenario>,
    /// The addresses.
    pub addresses: Addresses,
    /// Where workers record what they do.
    pub statistics: Arc<RunStatistics>,
}

/// All simulated workers.
pub struct WorkerFleet {
    over: watch::Sender<bool>,
    threads: Vec<JoinHandle<anyhow::Result<()>>>,
}

impl WorkerFleet {
    /// Starts the threads and their workers.
    pub fn start(settings: &WorkerSettings) -> WorkerFleet {
        let (over, watch) = watch::channel(false);
        let threads = (0..settings.scenario.hollow_threads).map(|number| {
            let (settings, watch) = (settings.clone(), watch.clone());
            std::thread::spawn(move || run_thread(&settings, number, watch))
        });
        WorkerFleet {
            threads: threads.collect(),
            over,
        }
    }

    /// Ends all workers; an error where one could not be started.
    pub fn end(self) -> anyhow::Result<()> {
        self.over.send_replace(true);
        for thread in self.threads {
            thread
                .join()
                .map_err(|_| anyhow::anyhow!("a thread of hollow workers has failed"))??;
        }
        Ok(())
    }
}

fn run_thread(
    settings: &WorkerSettings,
    thread: u32,
    over: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    let result = runtime.block_on(local.run_until(start_all(settings, thread, over)));
    runtime.shutdown_background();
    result
}

async fn start_all(
    settings: &WorkerSettings,
    thread: u32,
    mut over: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    let scenario = &settings.scenario;
    let caller = Caller::default();
    for number in (thread..scenario.workers).step_by(scenario.hollow_threads as usize) {
        let endpoint = endpoint(settings, number, &caller)?;
        tokio::task::spawn_local(answer_health_checks(
            listen(settings.addresses.runner(number)).await?,
        ));
        let runner = SimulatedRunner::new(
            profile(settings, number),
            settings.statistics.clone(),
            Instant::now(),
        );
        tokio::task::spawn_local(work(
            runner,
            endpoint,
            settings.statistics.clone(),
            over.clone(),
        ));
        tokio::time::sleep(START_GAP).await;
    }
    // An error: the run is over.
    let _ = over.wait_for(|over| *over).await;
    Ok(())
}

fn endpoint(
    settings: &WorkerSettings,
    number: u32,
    caller: &Caller,
) -> anyhow::Result<AgentConnection> {
    let ip = settings.addresses.worker_ip(number);
    if settings.scenario.real_sides {
        return Ok(AgentConnection::Http {
            caller: caller.clone(),
            address: Addresses::control(ip),
        });
    }
    let inputs = start(
        agent_settings(settings, number),
        settings.statistics.clone(),
    )?;
    Ok(AgentConnection::Direct {
        inputs,
        last_request: 0,
    })
}

async fn listen(address: SocketAddrV4) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("listening at {address}"))
}

/// A simulated runner is well: looks at it are answered so.
async fn answer_health_checks(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        // An error: whoever looked has gone.
        let _ = stream.write_all(WELL).await;
    }
}

/// What a worker's agent is started with.
pub fn agent_settings(settings: &WorkerSettings, number: u32) -> AgentSettings {
    let scenario = &settings.scenario;
    let seeds = (0..scenario.cores)
        .map(|core| settings.addresses.core_node(core))
        .collect();
    AgentSettings {
        node: settings.addresses.agent_node(number),
        incarnation: u64::from(number) + 1,
        seeds,
        bounds: Bounds::default(),
        heartbeat_ms: scenario.heartbeat_ms,
        runner_address: Some(settings.addresses.runner(number)),
        seed: scenario.seed.wrapping_add(u64::from(number)),
    }
}

/// What a worker's runner is.
pub fn profile(settings: &WorkerSettings, number: u32) -> RunnerProfile {
    let shape = &settings.scenario.worker;
    let rack = number / shape.workers_a_rack;
    RunnerProfile {
        instance: format!("i-{number:08x}"),
        service: SERVICE.to_owned(),
        address: settings.addresses.runner(number).to_string(),
        capacity: Capacity {
            cpu: shape.cpu,
            mem_mb: shape.mem_mb,
            gpu: shape.gpu,
        },
        labels: vec!["a".to_owned(), format!("rack-{rack}")],
        heartbeat: Duration::from_millis(settings.scenario.heartbeat_ms),
    }
}
