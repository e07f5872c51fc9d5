//! Binds the addresses, starts the parts, and at the end settles what is in hand.

use crate::clients;
use crate::clock::Clock;
use crate::console;
use crate::discovery;
use crate::disk;
use crate::door::Door;
use crate::fleet::Fleet;
use crate::handover::Handover;
use crate::learnt;
use crate::links::{self, Links};
use crate::meeting::Meeting;
use crate::runners;
use crate::siting::Siting;
use crate::sockets::{self, Exchange, Mailbox, Sockets};
use crate::start::{self, Source, Start};
use crate::store::Store;
use crate::trial::Broken;
use sagetrail_dispatch::{number, terms, Figures, Parts};
use sagetrail_policy::Dispatcher;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{oneshot, watch, Notify, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Descriptors for the program itself: its streams, the runtime's, the listener, the list are ten in all.
const SPARE: usize = 16;
/// With fewer to share out, a burst would find no place.
const FEWEST: usize = 16;

/// New connections go on coming for up to 0.4 s after the word to end; twice that, for what was slow on the way.
const COMING_S: f64 = 0.8;
/// Connections are kept until so long before all must be settled: alone, as long as anything is taken at all,
/// by the decisions' own margin; with peers, twice what a usual job takes.
const LAST_S: f64 = 0.2;
const MOVE_S: f64 = 2.0;
/// Everything is settled by then: the exchange answers at once or never.
const KEEP: Duration = Duration::from_millis(100);

/// Guards against a predecessor under the same address that has not quite ended.
async fn bind(at: SocketAddr, clock: Clock) -> std::io::Result<TcpListener> {
    loop {
        match TcpListener::bind(at).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse && clock.now() < 3.0 => {
                sleep(Duration::from_millis(20)).await;
            }
            bound => return bound,
        }
    }
}

/// Reads the page again whenever told to; where the list is is all that a running process takes up.
async fn reload(
    mut hup: Signal,
    source: Source,
    ours: Value,
    discovery_at: watch::Sender<SocketAddr>,
    fleet: Option<Rc<Fleet>>,
    store: Option<Rc<Store>>,
) {
    while hup.recv().await.is_some() {
        let agreed = store
            .as_ref()
            .map_or(String::new(), |store| store.settings());
        match source.open_on(&agreed) {
            Ok(page) => {
                if let (Some(fleet), Some(said)) = (&fleet, &page.fleet) {
                    fleet.limits(said, &page.categories);
                }
                let rest = start::needs_restart(&ours, &page.page);
                if !rest.is_empty() {
                    tracing::warn!(
                        "the page changed in what only a restart takes up: {}",
                        rest.join(", ")
                    );
                }
                if discovery_at.send_if_modified(|at| {
                    std::mem::replace(at, page.discovery_at) != page.discovery_at
                }) {
                    tracing::info!("the page names another list, at {}", page.discovery_at);
                }
            }
            Err(why) => tracing::warn!("the page cannot be used, the old one stays: {why}"),
        }
    }
}

/// Lets clients in; where the platform holds their socket, not before this process can serve: until then they
/// are the former one's.
async fn let_in(
    listener: TcpListener,
    door: Rc<Door>,
    meeting: Option<Rc<Meeting>>,
    deployment: u64,
    terms: Rc<Vec<u64>>,
) {
    if let Some(meeting) = meeting {
        while !door.listed.get() {
            sleep(Duration::from_millis(5)).await;
        }
        spawn_local(meeting.keep(door.clone(), deployment, terms));
    }
    door.lets_in.set(true);
    clients::listen(listener, door).await
}

pub(crate) async fn serve(
    mut start: Start,
    source: Source,
    inherited: Option<std::net::TcpListener>,
) -> Result<(), String> {
    let trial = start.trial.take();
    let clock = Clock::start(trial.as_ref().map_or(0.0, |trial| trial.clock_off_s));
    let broken = trial
        .as_ref()
        .and_then(|trial| Broken::named(trial.broken.as_deref()?));
    broken
        .into_iter()
        .for_each(|broken| broken.apply(&mut start));
    // First of all: until someone listens to them, these end the process on the spot.
    let listen_to = |kind| signal(kind).map_err(|error| error.to_string());
    let (hup, mut term) = (
        listen_to(SignalKind::hangup())?,
        listen_to(SignalKind::terminate())?,
    );
    let mut int = listen_to(SignalKind::interrupt())?;
    let spare = SPARE
        + start.console.map_or(0, |_| console::DESCRIPTORS)
        + start.fleet.as_ref().map_or(0, |_| links::DESCRIPTORS)
        // A link to each member, and what they have here; the folder's files.
        + start.store.as_ref().and(start.fleet.as_ref()).map_or(0, |fleet| {
            fleet.members.len() + links::store_streams(fleet.members.len()) + 4
        });
    // Guards against two processes over one limit during an upgrade: neither ever holds more than half.
    let descriptors = if inherited.is_some() {
        start.descriptors / 2
    } else {
        start.descriptors
    };
    let rest = descriptors.saturating_sub(spare);
    if rest < FEWEST {
        return Err(format!(
            "{descriptors} sockets are too few, {} at least",
            spare + FEWEST
        ));
    }
    let (to_runners, more) = (rest / 4, rest / 16);
    let listen_at = async |at| {
        bind(at, clock)
            .await
            .map_err(|error| format!("listening on {at}: {error}"))
    };
    let meeting = inherited
        .as_ref()
        .map(|_| Rc::new(Meeting::new(start.listen)));
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener).map_err(|error| error.to_string())?,
        None => listen_at(start.listen).await?,
    };
    let operators = match start.console {
        Some(at) => Some(listen_at(at).await?),
        None => None,
    };
    let (mailbox, calls) = Mailbox::new();
    let (ask_discovery, has_list) = (Rc::new(Notify::new()), Rc::new(Cell::new(false)));
    let figures = Figures::new(&start.categories);
    let pool = Rc::new(runners::Pool {
        clock,
        figures: figures.clone(),
        permits: Arc::new(Semaphore::new(to_runners)),
        dial_s: start.dial_s,
        idle_s: 0.5 * start.runner_idle_s,
        runners: RefCell::default(),
    });
    let (discovery_at, at) = watch::channel(start.discovery_at);
    let watch = discovery::Watch {
        at,
        names: start.names,
        mailbox: mailbox.clone(),
        ask: ask_discovery.clone(),
        after: start.known.generation,
        // An agent's word goes before the page's, from the first moment.
        known: Cell::new(
            start
                .terms
                .asks_agent
                .then(|| std::mem::take(&mut start.known)),
        ),
        turn_s: start.terms.ask_spread_s() * start.terms.me as f64 / start.terms.replicas as f64,
        failing: Cell::new(false),
        broken,
    };
    let longest = start.expiries.iter().copied().fold(0.0, f64::max);
    let members = start.fleet.take();
    let fleet = members.as_ref().map(|said| {
        let span_s = start.terms.fall_s;
        Fleet::new(
            said,
            &start.categories,
            longest,
            span_s,
            clock.unix,
            clock.now(),
            broken,
        )
    });
    let ill = trial
        .as_ref()
        .map_or(disk::Ill::default(), |trial| disk::Ill {
            slow: Duration::from_secs_f64(trial.disk_slow_s),
            room: trial.disk_full,
        });
    let mut store_parts = None;
    if let (Some(said), Some(members), Some(fleet)) = (start.store.take(), &members, &fleet) {
        let (store, done, queues) = Store::open(
            said,
            members,
            fleet.clone(),
            clock,
            source.clone(),
            discovery_at.clone(),
            (ill, broken),
        )?;
        // What was agreed before goes before the file, where it can be used.
        match source.open_on(&store.settings()) {
            Ok(agreed) => {
                fleet.limits(agreed.fleet.as_ref().unwrap_or(members), &agreed.categories);
                start.plan = agreed.plan;
                discovery_at.send_replace(agreed.discovery_at);
            }
            Err(why) => tracing::warn!(
                "the agreed settings cannot be used: {}",
                why.replace('\n', "; ")
            ),
        }
        store_parts = Some((store, done, queues));
    }
    let store = store_parts.as_ref().map(|(store, ..)| store.clone());
    // A second: places are taken for as long as jobs run, and those take about one.
    let retry_after_s = start.terms.max_retry_after_s.min(1.0);
    let door = Rc::new(Door {
        mailbox: mailbox.clone(),
        store: store.clone(),
        categories: start.categories,
        figures,
        handover: Handover::default(),
        expiries: start.expiries,
        closing: watch::Sender::new(false),
        handing_over: Cell::new(false),
        lets_in: Cell::new(false),
        shutting_down: Cell::new(false),
        drained: Cell::new(false),
        drains: Cell::new(0),
        listed: has_list.clone(),
        retry_after_s,
        most: rest - to_runners - more,
        more,
        open: Cell::new(0),
        placed: Cell::new(0),
        busy: Cell::new(0),
        unsettled: Cell::new(0),
        idle: RefCell::default(),
        stamps: Cell::new(0),
    });
    let alone = start.terms.replicas <= 1;
    if start.probes_allowed {
        tracing::warn!("the page allows probes, this protocol has none: nobody is probed");
    }
    let terms = door
        .categories
        .iter()
        .zip(&start.terms.categories)
        .map(|(name, c)| terms(name, c));
    let (terms, deployment) = (Rc::new(terms.collect::<Vec<u64>>()), start.deployment);
    if let Some(fleet) = &fleet {
        let at = fleet.listen;
        let said = |error| format!("the fleet's links on {at}: {error}");
        let datagrams = UdpSocket::bind(at).await.map_err(said)?;
        let listener = bind(at, clock).await.map_err(said)?;
        spawn_local(links::listen(fleet.clone(), clock, listener, store.clone()));
        spawn_local(
            Links {
                fleet: fleet.clone(),
                clock,
                datagrams,
            }
            .keep(),
        );
        tracing::info!("one of {} members, links on {at}", fleet.at.len());
    }
    let siting = (start.zones.len() > 1 && start.siting).then(|| {
        let who = (number(&start.name), start.terms.zone);
        Siting::new(
            who,
            start.plan,
            start.zones,
            door.categories.clone(),
            fleet.clone(),
            broken,
        )
    });
    let outside = Sockets {
        mailbox: mailbox.clone(),
        pool,
        ask_discovery,
        has_list,
        fleet: fleet.clone(),
        siting,
        broken,
        answered: 0,
    };
    let parts = Parts {
        unix: clock.unix,
        dial_s: start.dial_s,
        drain_s: start.drain_s,
        most_held: start.most_held,
        retry_after_s,
        two_at_once: start.two_at_once,
        may_cancel: start.terms.may_cancel,
    };
    let mut dispatcher = Dispatcher::new(start.terms, start.seed, clock.now());
    dispatcher.begins_anew(clock.now());
    let mut exchange = Exchange::new(dispatcher, outside, parts, clock.now());
    let former = match &meeting {
        Some(meeting) => meeting.find().await,
        None => None,
    };
    if let Some((state, former)) = former {
        door.drain(state.drained);
        exchange.inherit(state, deployment, &terms);
        start.known = Default::default();
        spawn_local(former.keep(door.clone()));
    } else if let Some(path) = &start.learnt {
        match learnt::read(path, deployment) {
            Ok(learnt) => {
                let categories = exchange.take_up(learnt, &terms);
                let runners = exchange.known(std::mem::take(&mut start.known));
                tracing::info!(
                    "took up what was learnt of {categories} categories and {runners} runners"
                );
            }
            Err(why) => tracing::warn!(
                "what was learnt is not taken up from {}: {why}",
                path.display()
            ),
        }
    }
    if !start.known.members.is_empty() {
        exchange.known(start.known);
    }
    if let Some((store, done, queues)) = store_parts {
        for (at, frames) in queues {
            spawn_local(links::send(at, frames));
        }
        spawn_local(store.keep(done, mailbox.clone(), door.clone()));
    }
    tracing::info!("{} serves on {}", start.name, start.listen);
    spawn_local(watch.keep());
    spawn_local(reload(
        hup,
        source,
        start.page,
        discovery_at,
        fleet.clone(),
        store,
    ));
    let lets_in = spawn_local(let_in(
        listener,
        door.clone(),
        meeting.clone(),
        deployment,
        terms.clone(),
    ));
    if let Some(listener) = operators {
        spawn_local(console::listen(
            listener,
            Rc::new(console::Console::new(
                door.clone(),
                fleet.clone(),
                trial.is_some(),
            )),
        ));
    }
    spawn_local(sockets::run(exchange, calls, clock));
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    tracing::info!("told to end; settling what is in hand");
    let told = clock.now();
    door.shutting_down.set(true);
    // The kill comes no sooner than the longest expiry, 3 s at most, and 0.7 s more.
    let end_at = told + longest.min(3.0) + 0.4;
    mailbox.call(move |exchange| exchange.end_by(end_at)).await;
    // A newer process lets clients in at the same socket, which stays open and keeps its queue.
    door.handing_over.set(door.handover.succeeded());
    if door.handing_over.get() {
        lets_in.abort();
    }
    // Guards against turning away whom nobody else serves: clients go on with the connections that they have
    // as long as these stay open. Who has others to go to is sent there while nearly any job still ends here.
    let last_call = if alone && !door.handing_over.get() {
        end_at - LAST_S
    } else {
        end_at - MOVE_S
    };
    while clock.now() < last_call && (clock.now() < told + COMING_S || door.open.get() > 0) {
        sleep(Duration::from_millis(10)).await;
    }
    door.closing.send_replace(true);
    // Guards against a restart in the middle of an upgrade: to the platform both are one dispatcher, which has
    // ended when this process has, and what the one before it still holds is lost.
    let unsettled = || door.unsettled.get() > 0 || door.handover.preceded();
    while clock.now() < told + COMING_S || unsettled() && clock.now() < end_at + 0.2 {
        sleep(Duration::from_millis(10)).await;
    }
    if let Some(path) = &start.learnt {
        let (give, got) = oneshot::channel();
        mailbox
            .call(move |exchange| drop(give.send(exchange.learnt(&terms))))
            .await;
        match timeout(KEEP, got).await.ok().and_then(Result::ok) {
            Some(learnt) => match learnt::write(path, deployment, learnt) {
                Ok(()) => tracing::info!("what was learnt is kept in {}", path.display()),
                Err(why) => {
                    tracing::warn!("what was learnt is not kept in {}: {why}", path.display())
                }
            },
            None => tracing::warn!("what was learnt is not kept"),
        }
    }
    meeting.into_iter().for_each(|meeting| meeting.leave());
    tracing::info!("ends with {} unanswered", door.busy.get());
    // For the last bytes, and for runners that are told to give a job up.
    sleep(Duration::from_millis(50)).await;
    Ok(())
}
