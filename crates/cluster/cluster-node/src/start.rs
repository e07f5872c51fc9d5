//! Parses the command line, starts the process and runs it to its end; the same for all three programs.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use sagetrail_protocol::node::{DiskImage, HttpEndpoint, Outbox};
use sagetrail_protocol::{Incarnation, NodeId, NodeKind};

use crate::arguments::Arguments;
use crate::clocks::Clocks;
use crate::context::{LogicFactory, ProcessContext};
use crate::disk::{Disk, DiskError, Opened};
use crate::error::ProcessError;
use crate::http::{serve, ConnectionLimit, ServerContext};
use crate::identity::{draw_incarnation, draw_seed, node_id, seed_nodes};
use crate::input::Inputs;
use crate::lifecycle::{watch_phase, PhaseReceiver};
use crate::logs;
use crate::process::{Process, ProcessEnd, ProcessParts};
use crate::retry;
use crate::settings::Settings;
use crate::signals;
use crate::transport::Transport;

/// The exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// The time-out for connections to send their last responses.
const CLOSING_TIMEOUT: Duration = Duration::from_millis(300);
/// The interval at which open connections are checked while closing.
const CLOSING_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The process ends by itself this long before the end of the grace period, at which the platform kills it.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// The maximum grace period that is taken from the settings, in seconds.
const MAX_GRACE_S: f64 = 3600.0;
/// The pause before a process whose disk failed ends, so that restarts do not follow each other without a pause.
const DISK_FAILED_PAUSE: Duration = Duration::from_millis(200);

/// Runs the program for this kind of process to its end. The exit code is 2 for invalid settings, 1 for a failure and 0
/// otherwise.
pub fn main(kind: NodeKind, factory: LogicFactory) -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("{}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match Settings::load(&arguments.settings_path(), kind) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("settings: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    logs::start(arguments.log);
    match run(settings, arguments.settings_path(), kind, factory) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a process to its end. On SIGHUP the seeds are read again from `settings_path`.
///
/// All tasks of the process run on a runtime of its own, which is shut down at the end, so that no task outlives this
/// call. The disk's thread ends by itself once its sender is dropped.
///
/// # Errors
///
/// [`ProcessError`] if the process could not start or its disk failed.
pub fn run(
    settings: Settings,
    settings_path: PathBuf,
    kind: NodeKind,
    factory: LogicFactory,
) -> Result<(), ProcessError> {
    let clocks = Clocks::start();
    let opened = match &settings.data_dir {
        Some(folder) if kind == NodeKind::Core => Some(retry::open_disk(folder)?),
        _ => None,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let launch = Launch {
        settings,
        settings_path,
        kind,
        factory,
        clocks,
        opened,
    };
    let ended = runtime.block_on(launch.run());
    // A connection or a disk that hangs must not delay the end of the process.
    runtime.shutdown_background();
    ended
}

/// A process that is about to run.
struct Launch {
    settings: Settings,
    settings_path: PathBuf,
    kind: NodeKind,
    factory: LogicFactory,
    clocks: Clocks,
    opened: Option<Opened>,
}

impl Launch {
    /// Sets up signals, sockets and the disk's thread, in this order, creates the logic and drives it to its end.
    async fn run(self) -> Result<(), ProcessError> {
        let Launch {
            settings,
            settings_path,
            kind,
            factory,
            clocks,
            opened,
        } = self;
        let (sender, inputs) = mpsc::unbounded_channel();
        signals::listen(&sender, settings_path, kind)?;
        let node = node_id(&settings, kind);
        let incarnation = draw_incarnation();
        let (phase, phase_receiver) = watch_phase();
        let transport = start_transport(node, incarnation, &sender).await?;
        let connection_limit = open_endpoints(&settings, &sender, phase_receiver).await?;
        let OpenDisk {
            disk,
            image,
            emptied,
        } = start_disk(opened, &sender)?;
        let bounds = settings.bounds.to_bounds();
        let grace = Duration::from_secs_f64(bounds.grace_s.min(MAX_GRACE_S));
        let context = ProcessContext {
            node,
            incarnation,
            seeds: seed_nodes(&settings),
            bounds,
            seed: draw_seed(),
            bootstrap: settings.bootstrap && !emptied,
            image,
            settings,
        };
        log::info!(
            "process started: node={node} name={}",
            context.settings.node_name
        );
        let mut outbox = Outbox::default();
        let logic = factory(context, clocks.now(), &mut outbox);
        let parts = ProcessParts {
            node,
            clocks,
            inputs,
            transport: transport.clone(),
            disk,
            health_check_results: (kind == NodeKind::Side).then_some(sender),
            phase,
            grace: grace.saturating_sub(GRACE_MARGIN),
        };
        let mut process = Process::new(logic, outbox, parts);
        if let ProcessEnd::DiskFailed(error) = process.run().await {
            tokio::time::sleep(DISK_FAILED_PAUSE).await;
            return Err(error.into());
        }
        process.close();
        wait_until_drained(&transport, &connection_limit).await;
        Ok(())
    }
}

/// The disk of a process; the default is that of a process without a disk.
#[derive(Default)]
struct OpenDisk {
    disk: Option<Disk>,
    /// All rows at the time of opening.
    image: DiskImage,
    /// Whether a corrupted file was replaced, so that all earlier rows are lost.
    emptied: bool,
}

fn start_disk(opened: Option<Opened>, inputs: &Inputs) -> Result<OpenDisk, DiskError> {
    let Some(opened) = opened else {
        return Ok(OpenDisk::default());
    };
    let disk = Disk::start(opened.store, inputs.clone())?;
    Ok(OpenDisk {
        disk: Some(disk),
        image: opened.image,
        emptied: opened.emptied,
    })
}

async fn start_transport(
    node: NodeId,
    incarnation: Incarnation,
    inputs: &Inputs,
) -> Result<Transport, ProcessError> {
    retry::bind(|| Transport::start(node, incarnation, inputs.clone()))
        .await
        .map_err(|error| ProcessError::Listen {
            address: node.address().into(),
            error,
        })
}

/// Serves all HTTP endpoints for which the settings give an address, within one connection limit.
async fn open_endpoints(
    settings: &Settings,
    inputs: &Inputs,
    phase: PhaseReceiver,
) -> Result<Arc<ConnectionLimit>, ProcessError> {
    let connection_limit =
        ConnectionLimit::within(settings.limits.max_fds, settings.limits.memory_mb.0);
    let context = ServerContext {
        inputs: inputs.clone(),
        phase,
        connection_limit: Arc::clone(&connection_limit),
        next_id: Arc::new(AtomicU64::new(1)),
    };
    let addresses = &settings.bind_addrs;
    let endpoints = [
        (addresses.frontend, HttpEndpoint::Frontend),
        (addresses.readiness, HttpEndpoint::Readiness),
        (addresses.control, HttpEndpoint::Control),
    ];
    for (address, endpoint) in endpoints {
        let Some(address) = address.map(SocketAddr::from) else {
            continue;
        };
        retry::bind(|| serve(address, endpoint, context.clone()))
            .await
            .map_err(|error| ProcessError::Listen { address, error })?;
    }
    Ok(connection_limit)
}

/// Waits until no HTTP connection is open and no frame is queued, but at most for [`CLOSING_TIMEOUT`].
async fn wait_until_drained(transport: &Transport, connection_limit: &ConnectionLimit) {
    let started = Instant::now();
    while started.elapsed() < CLOSING_TIMEOUT {
        tokio::time::sleep(CLOSING_CHECK_INTERVAL).await;
        if connection_limit.open_connections() == 0 && transport.is_drained() {
            return;
        }
    }
}
