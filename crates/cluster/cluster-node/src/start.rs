//! From the command line to the running process, the same for all three programs.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use tokio::sync::mpsc;

use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::{DiskImage, HttpEndpoint, Node, Now, Outbox};
use sagetrail_protocol::{Incarnation, NodeId, NodeKind};

use crate::arguments::Arguments;
use crate::clocks::Clocks;
use crate::disk::{Disk, DiskError, Opened, Store};
use crate::http::{serve, Room, ServeContext};
use crate::identity::{draw_incarnation, draw_seed, node_id, seed_nodes};
use crate::input::Inputs;
use crate::logs;
use crate::phase::phases;
use crate::process::{Ended, Parts, Process};
use crate::settings::Settings;
use crate::signals;
use crate::transport::Transport;

/// The settings were refused, or the command line.
const BAD_SETTINGS: u8 = 2;
/// Connections have so long to send their last answers.
const CLOSING_TIME: Duration = Duration::from_millis(300);
const CLOSING_STEP: Duration = Duration::from_millis(10);
/// The platform kills at the end of the grace; the process ends by itself before.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// A process whose disk failed waits a little before it starts anew.
const DISK_FAILED_PAUSE: Duration = Duration::from_millis(200);
/// A disk that refuses to open is tried again for so long.
const OPEN_TIME: Duration = Duration::from_secs(30);
const OPEN_PAUSE: Duration = Duration::from_millis(500);
/// An address still in use is tried again for so long.
const BIND_TIME: Duration = Duration::from_secs(5);
const BIND_PAUSE: Duration = Duration::from_millis(100);

/// What the logic of a process is made from.
pub struct Ground {
    pub settings: Settings,
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub seeds: Vec<NodeId>,
    pub bounds: Bounds,
    pub seed: u64,
    /// True only at the first start of the whole system with an empty disk.
    pub bootstrap: bool,
    /// Empty where there is no disk.
    pub image: DiskImage,
}

/// Makes the logic of a process.
pub type Maker = fn(Ground, Now, &mut Outbox) -> Box<dyn Node>;

/// Runs a program of this kind to its end.
pub fn main(kind: NodeKind, maker: Maker) -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("{}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match Settings::load(&arguments.settings_path(), kind) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("settings: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    logs::start(arguments.log);
    match run(settings, arguments.settings_path(), kind, maker) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a process to its end. The seeds are read again from `settings_path` at SIGHUP.
pub fn run(
    settings: Settings,
    settings_path: PathBuf,
    kind: NodeKind,
    maker: Maker,
) -> anyhow::Result<()> {
    let clocks = Clocks::start();
    let opened = match &settings.data_dir {
        Some(folder) if kind == NodeKind::Core => Some(open_patiently(folder)?),
        _ => None,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let ended = runtime.block_on(drive(settings, settings_path, kind, maker, clocks, opened));
    // Connections that hang, or a disk that does, must not hold up the end.
    runtime.shutdown_background();
    ended
}

async fn drive(
    settings: Settings,
    settings_path: PathBuf,
    kind: NodeKind,
    maker: Maker,
    clocks: Clocks,
    opened: Option<Opened>,
) -> anyhow::Result<()> {
    let (sender, inputs) = mpsc::unbounded_channel();
    signals::listen(&sender, settings_path, kind)?;
    let node = node_id(&settings, kind);
    let incarnation = draw_incarnation();
    let transport = bind_patiently(|| Transport::start(node, incarnation, sender.clone()))
        .await
        .with_context(|| format!("listening at {node}"))?;
    let (phase, watch) = phases();
    let room = Room::within(settings.limits.max_fds, settings.limits.memory_mb.0);
    let context = ServeContext {
        inputs: sender.clone(),
        phase: watch,
        room: Arc::clone(&room),
        next_id: Arc::new(AtomicU64::new(1)),
    };
    open_doors(&settings, &context).await?;
    drop(context);
    let grace = Duration::from_secs_f64(settings.bounds.to_bounds().grace_s.min(3600.0));
    let (disk, image, emptied) = split(opened, &sender)?;
    let ground = Ground {
        node,
        incarnation,
        seeds: seed_nodes(&settings),
        bounds: settings.bounds.to_bounds(),
        seed: draw_seed(),
        bootstrap: settings.bootstrap && !emptied,
        image,
        settings,
    };
    log::info!("{} at {node}", ground.settings.node_name);
    let mut outbox = Outbox::default();
    let logic = maker(ground, clocks.now(), &mut outbox);
    let grace = grace.saturating_sub(GRACE_MARGIN);
    let health_check_results = (kind == NodeKind::Side).then_some(sender);
    let transport_used = transport.clone();
    let parts = Parts {
        node,
        clocks,
        inputs,
        transport: transport_used,
        disk,
        health_check_results,
        phase,
        grace,
    };
    let mut process = Process::new(logic, outbox, parts);
    let ended = process.run().await;
    if let Ended::DiskFailed(error) = ended {
        log::error!("{error}");
        tokio::time::sleep(DISK_FAILED_PAUSE).await;
        anyhow::bail!("starts anew to learn what is on disk");
    }
    process.close();
    wait_until_quiet(&transport, &room).await;
    Ok(())
}

fn split(
    opened: Option<Opened>,
    inputs: &Inputs,
) -> Result<(Option<Disk>, DiskImage, bool), DiskError> {
    let Some(opened) = opened else {
        return Ok((None, DiskImage::default(), false));
    };
    let disk = Disk::start(opened.store, inputs.clone())?;
    Ok((Some(disk), opened.image, opened.emptied))
}

/// Opens the file on disk; a disk in trouble, or full, gets some time.
fn open_patiently(folder: &Path) -> Result<Opened, DiskError> {
    let started = Instant::now();
    loop {
        match Store::open(folder) {
            Err(error) if started.elapsed() < OPEN_TIME => {
                log::warn!("{error}; trying again");
                std::thread::sleep(OPEN_PAUSE);
            }
            result => return result,
        }
    }
}

async fn bind_patiently<T>(mut bind: impl FnMut() -> std::io::Result<T>) -> std::io::Result<T> {
    let started = Instant::now();
    loop {
        match bind() {
            Err(_) if started.elapsed() < BIND_TIME => tokio::time::sleep(BIND_PAUSE).await,
            result => return result,
        }
    }
}

async fn open_doors(settings: &Settings, context: &ServeContext) -> anyhow::Result<()> {
    let binds = &settings.bind_addrs;
    let endpoints = [
        (binds.frontend, HttpEndpoint::Frontend),
        (binds.readiness, HttpEndpoint::Readiness),
        (binds.control, HttpEndpoint::Control),
    ];
    for (address, endpoint) in endpoints {
        let Some(address) = address.map(SocketAddr::from) else {
            continue;
        };
        bind_patiently(|| serve(address, endpoint, context.clone()))
            .await
            .with_context(|| format!("listening at {address}"))?;
    }
    Ok(())
}

async fn wait_until_quiet(transport: &Transport, room: &Room) {
    let started = Instant::now();
    while started.elapsed() < CLOSING_TIME {
        tokio::time::sleep(CLOSING_STEP).await;
        if room.taken() == 0 && transport.is_drained() {
            return;
        }
    }
}
