//! The list of runners: one watch, opened when the decisions ask for it; two while one list takes over from
//! another, or while one that had a flaw is asked again.
//!
//! The budget: a change counts as told 6 s after discovery had it and could be reached. A silent watch: `SILENT_S`,
//! then at once a dial (`DIAL_S` at the most) and the answer. A dial that timed out has waited already: at once again.
//! A call that failed quickly waits for its turn, which the decisions draw (`interface.rs`: 3.5 s, later 1.9 s).

use crate::http::{next, wire, AskList, Fault, Watching, LINE_MOST};
use crate::sockets::{Exchange, Mailbox};
use crate::trial::Broken;
use futures_util::SinkExt;
use sagetrail_dispatch::{DiscoveryUpdate, Lifecycle, ListNames};
use std::cell::Cell;
use std::future::{pending, Future};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep_until, timeout, Instant};

/// A line comes every 2 s even if nothing changes; one missed, and most of another, are the end of the watch. Guards
/// against a list cut off, whose connection stays open and silent; two missed (4.5 s) left too little of the 6 s.
const SILENT_S: f64 = 3.3;
const DIAL_S: f64 = 1.0;
/// After a flaw the list is asked again so soon; twice as late after each further one, up to the most.
const MEND_S: f64 = 0.1;
const MEND_MOST_S: f64 = 30.0;

/// One list: where it is, and the last of its versions that was read without a flaw.
struct Place {
    at: SocketAddr,
    after: Cell<u64>,
    /// Rung when it has told of runners.
    spoke: Notify,
    /// Rung when a line had a flaw; and how many watches in a row had one.
    flawed: Notify,
    flaws: Cell<i32>,
}

impl Place {
    fn new(at: SocketAddr, after: u64) -> Rc<Place> {
        Rc::new(Place {
            at,
            after: Cell::new(after),
            spoke: Notify::new(),
            flawed: Notify::new(),
            flaws: Cell::new(0),
        })
    }
}

pub(crate) struct Watch {
    /// Changes when the dispatcher is told of another list.
    pub at: watch::Receiver<SocketAddr>,
    pub names: ListNames,
    pub mailbox: Mailbox,
    /// Rung when the decisions ask for the list.
    pub ask: Rc<Notify>,
    /// The version that the dispatcher starts from.
    pub after: u64,
    /// The list of before the start, where it holds only if nobody can be asked.
    pub known: Cell<Option<DiscoveryUpdate>>,
    /// This dispatcher's turn among all that have read the same flaw.
    pub turn_s: f64,
    pub failing: Cell<bool>,
    pub broken: Option<Broken>,
}

type Open<'a> = Pin<Box<dyn Future<Output = Fault> + 'a>>;

async fn ended(open: &mut Option<Open<'_>>) -> Fault {
    let fault = match open {
        Some(open) => open.await,
        None => pending().await,
    };
    *open = None;
    fault
}

async fn due(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}

/// What is read of a change that comes on several lines.
#[derive(Default)]
struct Indented {
    text: Vec<u8>,
    margin: usize,
}

impl Indented {
    /// The change that ends with this line; `None` while more is to come. `Err` of one that broke off, with what this
    /// line says by itself.
    fn add(&mut self, line: &[u8]) -> Option<Result<serde_json::Value, Option<serde_json::Value>>> {
        let margin = line.iter().take_while(|b| b.is_ascii_whitespace()).count();
        if self.text.is_empty() {
            return match serde_json::from_slice(line) {
                Ok(value) => Some(Ok(value)),
                Err(error) if error.is_eof() => {
                    *self = Indented {
                        text: line.to_vec(),
                        margin,
                    };
                    None
                }
                Err(_) => Some(Err(None)),
            };
        }
        // Only a line that is no further in can be its last, or another change: it is not parsed again with each.
        let ends = margin <= self.margin && line.trim_ascii_end().ends_with(b"}");
        let alone = ends.then(|| serde_json::from_slice(line).ok()).flatten();
        let alone = alone.filter(|value: &serde_json::Value| value.get("generation").is_some());
        self.text.push(b'\n');
        self.text.extend_from_slice(line);
        let read = match (alone, ends.then(|| serde_json::from_slice(&self.text))) {
            (Some(alone), _) => Err(Some(alone)),
            (_, Some(Ok(value))) => Ok(value),
            (_, Some(Err(error))) if !error.is_eof() => Err(None),
            _ if self.text.len() > LINE_MOST => Err(None),
            _ => return None,
        };
        self.text.clear();
        Some(read)
    }

    /// It ends here; true if it had begun.
    fn breaks_off(&mut self) -> bool {
        !std::mem::take(&mut self.text).is_empty()
    }
}

impl Watch {
    pub(crate) async fn keep(self) {
        let mut told = self.at.clone();
        let at = *told.borrow_and_update();
        let mut place = Place::new(at, self.after);
        let (mut open, mut predecessor): (Option<Open>, Option<Open>) = (None, None);
        let mut mend_at = None;
        loop {
            tokio::select! {
                biased;
                Ok(()) = told.changed() => {
                    // Guards against a gap between two lists: the one that spoke last is read on until the
                    // new one has spoken. Asked from the beginning, since their versions are not alike.
                    predecessor = predecessor.or(open);
                    let at = *told.borrow_and_update();
                    (place, mend_at) = (Place::new(at, 0), None);
                    open = Some(self.open(place.clone()));
                }
                // Guards against waiting twice for what was missed: until silence is noticed, and then for this
                // dispatcher's turn among all that ask.
                fault = ended(&mut open) => {
                    let waited = matches!(&fault, Fault::Broken(error) if error.kind() == ErrorKind::TimedOut);
                    if waited {
                        tracing::info!("the list says nothing; it is asked anew");
                        open = Some(self.open(place.clone()));
                    } else if !self.failing.replace(true) {
                        tracing::warn!("the list's watch ended, the last list holds: {fault}");
                    }
                    let known = self.known.take();
                    let failed = move |exchange: &mut Exchange| {
                        known.into_iter().for_each(|known| _ = exchange.apply_cached_list(known));
                        if !waited {
                            exchange.discovery_failed();
                        }
                    };
                    self.mailbox.call(failed).await;
                }
                () = place.spoke.notified() => predecessor = None,
                _ = ended(&mut predecessor) => {}
                // Guards against what a flaw kept from us until the watch happens to end. It is read on meanwhile.
                () = place.flawed.notified() => {
                    let pause_s = (MEND_S * 2f64.powi(place.flaws.get())).min(MEND_MOST_S);
                    place.flaws.set((place.flaws.get() + 1).min(16));
                    mend_at = Some(Instant::now() + Duration::from_secs_f64(self.turn_s + pause_s));
                }
                () = due(mend_at) => {
                    mend_at = None;
                    predecessor = open.take().or(predecessor);
                    open = Some(self.open(place.clone()));
                }
                // A call that waits for its answer goes on: given up, it would lose its turn.
                () = self.ask.notified() => {
                    if open.is_none() {
                        open = Some(self.open(place.clone()));
                    }
                }
            }
        }
    }

    /// One watch, until it ends.
    fn open(&self, place: Rc<Place>) -> Open<'_> {
        Box::pin(async move {
            match self.lines(&place).await {
                Err(fault) => fault,
                Ok(()) => Fault::Malformed("it was closed"),
            }
        })
    }

    async fn lines(&self, place: &Place) -> Result<(), Fault> {
        let late = |_| std::io::Error::from(ErrorKind::TimedOut);
        let dial = timeout(
            Duration::from_secs_f64(DIAL_S),
            TcpStream::connect(place.at),
        );
        let stream = dial.await.map_err(late)??;
        let mut wire = wire(stream, Watching::new(place.at.to_string()));
        wire.send(AskList {
            after: place.after.get(),
        })
        .await?;
        let (mut first, mut sound, mut indented) = (true, true, Indented::default());
        loop {
            let line = timeout(Duration::from_secs_f64(SILENT_S), next(&mut wire)).await;
            let Some(line) = line.map_err(late)?.transpose()? else {
                return Ok(());
            };
            let mut told = DiscoveryUpdate::default();
            let beat = line.trim_ascii().is_empty();
            if !beat {
                let Some(read) = indented.add(&line) else {
                    continue;
                };
                let broke_off = read.is_err();
                let value = read
                    .map_or_else(|alone| alone, Some)
                    .ok_or("it is broken".to_string());
                match value.and_then(|value| DiscoveryUpdate::parse(value, &self.names)) {
                    Ok(read) => told = read,
                    Err(why) => {
                        tracing::warn!("a line of the list is passed over: {why}");
                        told.has_invalid_entries = true;
                    }
                }
                told.has_invalid_entries |= broke_off;
            } else if indented.breaks_off() {
                tracing::warn!("a line of the list is passed over: it breaks off");
                told.has_invalid_entries = true;
            } else if !first {
                continue;
            }
            first = false;
            // Guards against a change lost with a bad line: the next watch asks from before it, and soon.
            if sound && told.has_invalid_entries {
                place.flawed.notify_one();
            }
            sound = (sound || told.is_full) && !told.has_invalid_entries;
            // Guards against late word of before: what it still names as ready may drain by now.
            if !told.is_full && told.generation < place.after.get() {
                told.entries
                    .retain(|entry| entry.lifecycle != Lifecycle::Ready);
            }
            if sound && !beat {
                place.flaws.set(0);
                let before = if told.is_full { 0 } else { place.after.get() };
                place.after.set(told.generation.max(before));
                place.spoke.notify_one();
            }
            if self.failing.take() {
                tracing::info!("the list is watched again");
            }
            self.broken
                .into_iter()
                .for_each(|broken| broken.hears(&mut told));
            let known = self.known.take().filter(|_| !told.is_full);
            let listed = move |exchange: &mut Exchange| {
                known
                    .into_iter()
                    .for_each(|known| _ = exchange.apply_cached_list(known));
                exchange.apply_update(told);
            };
            self.mailbox.call(listed).await;
        }
    }
}
