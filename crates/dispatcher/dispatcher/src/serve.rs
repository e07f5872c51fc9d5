//! Starts the parts of the dispatcher in order, and ends them.

use crate::admin_api;
use crate::client_context::{ClientContext, ClientContextParts};
use crate::clients;
use crate::clock::Clock;
use crate::descriptors::DescriptorBudget;
use crate::discovery;
use crate::disk;
use crate::fleet::Fleet;
use crate::handover_socket::HandoverSocket;
use crate::learned_state;
use crate::links::{self, Links};
use crate::runners;
use crate::shutdown::Shutdown;
use crate::site_failover::SiteFailover;
use crate::sockets::{self, Exchange, Mailbox, Sockets};
use crate::start::{self, Source, Start};
use crate::store::{OpenStore, Store, StoreParts};
use crate::trial::Broken;
use sagetrail_dispatch::{category_terms_hash, name_hash, ExchangeConfig, Metrics};
use sagetrail_policy::Dispatcher;
use sagetrail_settings::{Fleet as FleetSettings, Trial};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{watch, Notify, Semaphore};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

/// Interval at which binding an address is retried while a predecessor still holds it.
const BIND_RETRY: Duration = Duration::from_millis(20);
/// Time in seconds after the start for which binding is retried.
const BIND_TIMEOUT_S: f64 = 3.0;
/// Interval at which is checked whether clients can be accepted.
const ACCEPT_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Longest retry time in seconds given to a rejected client: capacity is occupied for as long as jobs run, which is
/// about one second.
const MAX_RETRY_AFTER_S: f64 = 1.0;

/// Binds an address. It is retried while a predecessor at the same address is still ending.
async fn bind(at: SocketAddr, clock: Clock) -> std::io::Result<TcpListener> {
    loop {
        match TcpListener::bind(at).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse && clock.now() < BIND_TIMEOUT_S => {
                sleep(BIND_RETRY).await;
            }
            bound => return bound,
        }
    }
}

/// Reads the configuration again at each SIGHUP. A running process applies the address of discovery and the limits of
/// the fleet; other changes need a restart. `running_page` is the configuration of this process.
async fn reload(
    mut hangup: Signal,
    source: Source,
    running_page: Value,
    discovery_at: watch::Sender<SocketAddr>,
    fleet: Option<Rc<Fleet>>,
    store: Option<Rc<Store>>,
) {
    while hangup.recv().await.is_some() {
        let agreed = store
            .as_ref()
            .map_or(String::new(), |store| store.settings());
        match source.open_on(&agreed) {
            Ok(start) => {
                if let (Some(fleet), Some(settings)) = (&fleet, &start.fleet) {
                    fleet.set_limits(settings, &start.categories);
                }
                let changed = start::needs_restart(&running_page, &start.page);
                if !changed.is_empty() {
                    tracing::warn!(
                        "configuration change needs a restart: keys={}",
                        changed.join(", ")
                    );
                }
                if discovery_at.send_if_modified(|at| {
                    std::mem::replace(at, start.discovery_at) != start.discovery_at
                }) {
                    tracing::info!("discovery address changed: address={}", start.discovery_at);
                }
            }
            Err(error) => {
                tracing::warn!("configuration cannot be used, the old one stays: {error}")
            }
        }
    }
}

/// Accepts clients. If the platform holds their socket, this begins only when this process has endpoints; until then
/// its predecessor serves them.
async fn accept_clients(
    listener: TcpListener,
    client_context: Rc<ClientContext>,
    handover_socket: Option<Rc<HandoverSocket>>,
    deployment: u64,
    terms: Rc<Vec<u64>>,
) {
    if let Some(handover_socket) = handover_socket {
        while !client_context.has_endpoints.get() {
            sleep(ACCEPT_CHECK_INTERVAL).await;
        }
        spawn_local(handover_socket.serve(client_context.clone(), deployment, terms));
    }
    client_context.accepts_clients.set(true);
    clients::listen(listener, client_context).await
}

/// The signals that the program handles. Before they are registered, each of them ends the process at once.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn listen() -> Result<Signals, String> {
        let listen_to = |kind| signal(kind).map_err(|error| error.to_string());
        Ok(Signals {
            hangup: listen_to(SignalKind::hangup())?,
            terminate: listen_to(SignalKind::terminate())?,
            interrupt: listen_to(SignalKind::interrupt())?,
        })
    }
}

/// The listeners for clients and operators.
struct Listeners {
    clients: TcpListener,
    /// Listener of the admin API, if it is configured.
    operators: Option<TcpListener>,
    /// Socket by which the two processes of an upgrade find each other; only if the platform holds the socket of the
    /// clients.
    handover_socket: Option<Rc<HandoverSocket>>,
}

impl Listeners {
    async fn bind(
        start: &Start,
        inherited: Option<std::net::TcpListener>,
        clock: Clock,
    ) -> Result<Listeners, String> {
        let handover_socket = inherited
            .as_ref()
            .map(|_| Rc::new(HandoverSocket::new(start.listen)));
        let clients = match inherited {
            Some(listener) => TcpListener::from_std(listener).map_err(|error| error.to_string())?,
            None => listen_at(start.listen, clock).await?,
        };
        let operators = match start.console {
            Some(at) => Some(listen_at(at, clock).await?),
            None => None,
        };
        Ok(Listeners {
            clients,
            operators,
            handover_socket,
        })
    }
}

async fn listen_at(at: SocketAddr, clock: Clock) -> Result<TcpListener, String> {
    bind(at, clock)
        .await
        .map_err(|error| format!("listening on {at}: {error}"))
}

/// Faults that the settings for tests inject.
struct TestSettings {
    broken: Option<Broken>,
    disk: disk::DiskDefect,
}

impl TestSettings {
    fn new(trial: Option<&Trial>) -> TestSettings {
        TestSettings {
            broken: trial.and_then(|trial| Broken::from_name(trial.broken.as_deref()?)),
            disk: trial.map_or(disk::DiskDefect::default(), |trial| disk::DiskDefect {
                sync_delay: Duration::from_secs_f64(trial.sync_delay_s),
                free_bytes: trial.free_disk_bytes,
            }),
        }
    }
}

/// Runs the dispatcher until SIGTERM or SIGINT, and then until its accepted work items are answered.
///
/// # Errors
///
/// One line if the start fails, because of descriptors, addresses or the store.
pub(crate) async fn serve(
    mut start: Start,
    source: Source,
    inherited: Option<std::net::TcpListener>,
) -> Result<(), String> {
    let trial = start.trial.take();
    let clock = Clock::start(trial.as_ref().map_or(0.0, |trial| trial.clock_off_s));
    let test_settings = TestSettings::new(trial.as_ref());
    let broken = test_settings.broken;
    if let Some(broken) = broken {
        broken.apply(&mut start);
    }
    let mut signals = Signals::listen()?;
    let budget = DescriptorBudget::share_out(&start, inherited.is_some())?;
    let listeners = Listeners::bind(&start, inherited, clock).await?;
    let (mailbox, calls) = Mailbox::new();
    let (ask_discovery, has_endpoints) = (Rc::new(Notify::new()), Rc::new(Cell::new(false)));
    let metrics = Metrics::new(&start.categories);
    let pool = runner_pool(&start, clock, metrics.clone(), budget);
    let (discovery_at, at) = watch::channel(start.discovery_at);
    let discovery = discovery_watch(&mut start, at, &mailbox, &ask_discovery, broken);
    let longest_expiry_s = start.expiries_s.iter().copied().fold(0.0, f64::max);
    let members = start.fleet.take();
    let fleet = members
        .as_ref()
        .map(|settings| join_fleet(settings, &start, longest_expiry_s, clock, broken));
    let open_store = open_store(
        &mut start,
        members.as_ref().zip(fleet.as_ref()),
        clock,
        &source,
        &discovery_at,
        test_settings,
    )?;
    let store = open_store.as_ref().map(|open| open.store.clone());
    let client_context = client_context(
        &mut start,
        budget,
        mailbox.clone(),
        store.clone(),
        metrics,
        has_endpoints.clone(),
    );
    if start.probes_allowed {
        tracing::warn!("load probes are enabled, but this protocol has none: no runner is probed");
    }
    let (terms, deployment) = (
        Rc::new(term_hashes(&client_context, &start)),
        start.deployment,
    );
    if let Some(fleet) = &fleet {
        open_links(fleet, clock, store.clone()).await?;
    }
    let host = Sockets {
        mailbox: mailbox.clone(),
        pool,
        ask_discovery,
        has_endpoints,
        fleet: fleet.clone(),
        site_failover: failover(&mut start, &client_context, fleet.as_ref(), broken),
        broken,
        answered: 0,
    };
    let has_no_peers = start.policy.dispatcher_count <= 1;
    let mut exchange = new_exchange(&mut start, host, client_context.retry_after_s, clock);
    apply_earlier_state(
        &mut exchange,
        &mut start,
        listeners.handover_socket.as_deref(),
        &client_context,
        &terms,
    )
    .await;
    if let Some(open) = open_store {
        run_store(open, &mailbox, &client_context);
    }
    tracing::info!("{} serves on {}", start.name, start.listen);
    spawn_local(discovery.run());
    spawn_local(reload(
        signals.hangup,
        source,
        start.page,
        discovery_at,
        fleet.clone(),
        store,
    ));
    let accept_task = spawn_local(accept_clients(
        listeners.clients,
        client_context.clone(),
        listeners.handover_socket.clone(),
        deployment,
        terms.clone(),
    ));
    if let Some(listener) = listeners.operators {
        serve_operators(listener, &client_context, fleet, trial.is_some());
    }
    spawn_local(sockets::run(exchange, calls, clock));
    tokio::select! {
        _ = signals.terminate.recv() => {}
        _ = signals.interrupt.recv() => {}
    }
    tracing::info!("SIGTERM or SIGINT received: shutting down");
    let shutdown = Shutdown {
        clock,
        client_context,
        mailbox,
        has_no_peers,
        longest_expiry_s,
        accept_task,
    };
    shutdown.settle().await;
    if let Some(path) = &start.learned_state_path {
        shutdown.save_learned_state(path, deployment, terms).await;
    }
    if let Some(handover_socket) = listeners.handover_socket {
        handover_socket.remove();
    }
    shutdown.finish().await;
    Ok(())
}

/// Creates the pool of connections to runners. Its idle time-out is half that of the runners, so that they do not close
/// a connection first.
fn runner_pool(
    start: &Start,
    clock: Clock,
    metrics: Rc<Metrics>,
    budget: DescriptorBudget,
) -> Rc<runners::Pool> {
    Rc::new(runners::Pool {
        clock,
        metrics,
        permits: Arc::new(Semaphore::new(budget.runners)),
        connect_timeout_s: start.connect_timeout_s,
        idle_timeout_s: 0.5 * start.runner_idle_s,
        runners: RefCell::default(),
    })
}

fn discovery_watch(
    start: &mut Start,
    at: watch::Receiver<SocketAddr>,
    mailbox: &Mailbox,
    ask: &Rc<Notify>,
    broken: Option<Broken>,
) -> discovery::Watch {
    let terms = &start.policy;
    discovery::Watch {
        address: at,
        names: start.names.clone(),
        mailbox: mailbox.clone(),
        ask: ask.clone(),
        version: start.known_endpoints.generation,
        reread_offset_s: terms.list_request_spread_s() * terms.dispatcher_index as f64
            / terms.dispatcher_count as f64,
        // A list from an agent takes precedence over the configuration's endpoints from the start.
        cached_list: Cell::new(
            terms
                .list_from_agent
                .then(|| std::mem::take(&mut start.known_endpoints)),
        ),
        is_failing: Cell::new(false),
        broken,
    }
}

fn join_fleet(
    settings: &FleetSettings,
    start: &Start,
    longest_expiry_s: f64,
    clock: Clock,
    broken: Option<Broken>,
) -> Rc<Fleet> {
    Fleet::new(
        settings,
        &start.categories,
        longest_expiry_s,
        start.policy.overload_window_s,
        clock.unix_s,
        clock.now(),
        broken,
    )
}

/// Opens the store if it and a fleet are configured. Settings that all dispatchers have agreed on take precedence over
/// the configuration file, if they can be used.
fn open_store(
    start: &mut Start,
    fleet: Option<(&FleetSettings, &Rc<Fleet>)>,
    clock: Clock,
    source: &Source,
    discovery_at: &watch::Sender<SocketAddr>,
    test_settings: TestSettings,
) -> Result<Option<OpenStore>, String> {
    let (Some(settings), Some((members, fleet))) = (start.store.take(), fleet) else {
        return Ok(None);
    };
    let parts = StoreParts {
        config: settings,
        members,
        fleet: fleet.clone(),
        clock,
        source: source.clone(),
        discovery_at: discovery_at.clone(),
        disk_defect: test_settings.disk,
        broken: test_settings.broken,
    };
    let open = Store::open(parts).map_err(|error| error.to_string())?;
    match source.open_on(&open.store.settings()) {
        Ok(agreed) => {
            fleet.set_limits(agreed.fleet.as_ref().unwrap_or(members), &agreed.categories);
            start.plan = agreed.plan;
            discovery_at.send_replace(agreed.discovery_at);
        }
        Err(error) => tracing::warn!(
            "agreed settings cannot be used, using the configuration file: {}",
            error.replace('\n', "; ")
        ),
    }
    Ok(Some(open))
}

fn client_context(
    start: &mut Start,
    budget: DescriptorBudget,
    mailbox: Mailbox,
    store: Option<Rc<Store>>,
    metrics: Rc<Metrics>,
    has_endpoints: Rc<Cell<bool>>,
) -> Rc<ClientContext> {
    ClientContext::new(ClientContextParts {
        mailbox,
        store,
        categories: std::mem::take(&mut start.categories),
        metrics,
        expiries_s: std::mem::take(&mut start.expiries_s),
        has_endpoints,
        retry_after_s: start.policy.max_retry_after_s.min(MAX_RETRY_AFTER_S),
        budget,
    })
}

/// A hash of the terms of each category, by which values that were learned under other terms are recognized.
fn term_hashes(client_context: &ClientContext, start: &Start) -> Vec<u64> {
    client_context
        .categories
        .iter()
        .zip(&start.policy.categories)
        .map(|(name, category)| category_terms_hash(name, category))
        .collect()
}

/// Opens the links to the other members and serves them in tasks that last as long as the process.
async fn open_links(
    fleet: &Rc<Fleet>,
    clock: Clock,
    store: Option<Rc<Store>>,
) -> Result<(), String> {
    let at = fleet.listen;
    let failed = |error| format!("cannot listen for the fleet on {at}: {error}");
    let datagrams = UdpSocket::bind(at).await.map_err(failed)?;
    let listener = bind(at, clock).await.map_err(failed)?;
    spawn_local(links::listen(fleet.clone(), clock, listener, store));
    let links = Links {
        fleet: fleet.clone(),
        clock,
        datagrams,
    };
    spawn_local(links.run());
    tracing::info!(
        "listens for the fleet: members={} address={at}",
        fleet.addresses.len()
    );
    Ok(())
}

/// Host of the failover logic, if there are several zones and it is enabled.
fn failover(
    start: &mut Start,
    client_context: &ClientContext,
    fleet: Option<&Rc<Fleet>>,
    broken: Option<Broken>,
) -> Option<SiteFailover> {
    let is_enabled = start.zones.len() > 1 && start.detects_site_loss;
    is_enabled.then(|| {
        SiteFailover::new(
            (name_hash(&start.name), start.policy.zone),
            std::mem::take(&mut start.plan),
            std::mem::take(&mut start.zones),
            client_context.categories.clone(),
            fleet.cloned(),
            broken,
        )
    })
}

fn new_exchange(start: &mut Start, host: Sockets, retry_after_s: f64, clock: Clock) -> Exchange {
    let config = ExchangeConfig {
        unix_at_zero_s: clock.unix_s,
        connect_timeout_s: start.connect_timeout_s,
        drain_grace_s: start.drain_grace_s,
        max_open_work_items: start.max_open_work_items,
        retry_after_s,
        allow_concurrent_attempts: start.allow_concurrent_attempts,
        may_cancel: start.policy.may_cancel,
    };
    let mut dispatcher = Dispatcher::new(start.policy.clone(), start.seed, clock.now());
    dispatcher.begin_without_history(clock.now());
    Exchange::new(dispatcher, host, config, clock.now())
}

/// Applies the state that a running predecessor passes on, or otherwise the learned state that an earlier process saved
/// in a file.
async fn apply_earlier_state(
    exchange: &mut Exchange,
    start: &mut Start,
    handover_socket: Option<&HandoverSocket>,
    client_context: &Rc<ClientContext>,
    terms: &[u64],
) {
    let predecessor = match handover_socket {
        Some(handover_socket) => handover_socket.find().await,
        None => None,
    };
    if let Some((state, predecessor)) = predecessor {
        client_context.drain(state.is_draining);
        exchange.inherit(state, start.deployment, terms);
        start.known_endpoints = Default::default();
        spawn_local(predecessor.serve(client_context.clone()));
    } else if let Some(path) = start.learned_state_path.clone() {
        match learned_state::read(&path, start.deployment) {
            Ok(learned) => {
                let categories = exchange.restore_learned_state(learned, terms);
                let runners =
                    exchange.apply_cached_list(std::mem::take(&mut start.known_endpoints));
                tracing::info!(
                    "took up learned state of {categories} categories and {runners} runners"
                );
            }
            Err(error) => tracing::warn!(
                "learned state is not taken up from {}: {error}",
                path.display()
            ),
        }
    }
    if !start.known_endpoints.entries.is_empty() {
        exchange.apply_cached_list(std::mem::take(&mut start.known_endpoints));
    }
}

/// Starts the store's tasks; they last as long as the process.
fn run_store(open: OpenStore, mailbox: &Mailbox, client_context: &Rc<ClientContext>) {
    for (at, frames) in open.queues {
        spawn_local(links::send_frames(at, frames));
    }
    spawn_local(
        open.store
            .run(open.write_outcomes, mailbox.clone(), client_context.clone()),
    );
}

/// Serves the admin API.
fn serve_operators(
    listener: TcpListener,
    client_context: &Rc<ClientContext>,
    fleet: Option<Rc<Fleet>>,
    trial: bool,
) -> JoinHandle<()> {
    let api = admin_api::AdminApi::new(client_context.clone(), fleet, trial);
    spawn_local(admin_api::listen(listener, Rc::new(api)))
}
