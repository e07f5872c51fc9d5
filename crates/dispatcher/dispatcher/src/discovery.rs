//! Watch on the endpoint list. There is one, opened when the exchange asks for the list; there are two while one list
//! replaces another, or while a list that had a fault is read again.
//!
//! A change must be known 6 s after discovery had it and could be reached. A silent watch is noticed after
//! `SILENCE_TIMEOUT_S`; then follow at once a connection attempt (at most `CONNECT_TIMEOUT_S`) and the response. After
//! a connection attempt that timed out the next one follows at once. A call that failed quickly waits for its turn,
//! which the policy draws (`interface.rs`: 3.5 s, later 1.9 s).

use crate::http::{next, wire, Fault, WatchRequest, Watching, MAX_LINE_BYTES};
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

/// Time in seconds without a line after which the watch has ended: a line comes every 2 s even without a change, so one
/// was missed and another is late. A list that is cut off keeps its connection open and silent. Waiting for two missed
/// lines (4.5 s) left too little of the 6 s.
const SILENCE_TIMEOUT_S: f64 = 3.3;
/// Time-out in seconds for connecting to discovery.
const CONNECT_TIMEOUT_S: f64 = 1.0;
/// Time in seconds after which a list with a fault is read again. It doubles with each further fault up to the maximum.
const REREAD_DELAY_S: f64 = 0.1;
const MAX_REREAD_DELAY_S: f64 = 30.0;

/// An endpoint list: its address and the last version that was read without a fault.
struct ListSource {
    address: SocketAddr,
    /// The last version that was read without a fault.
    version: Cell<u64>,
    /// Notified when an update has been read.
    updated: Notify,
    /// Notified when a line had a fault.
    faulty: Notify,
    /// Number of watches in a row that had a fault.
    fault_count: Cell<i32>,
}

impl ListSource {
    fn new(address: SocketAddr, version: u64) -> Rc<ListSource> {
        Rc::new(ListSource {
            address,
            version: Cell::new(version),
            updated: Notify::new(),
            faulty: Notify::new(),
            fault_count: Cell::new(0),
        })
    }
}

/// The watch on the endpoint list.
pub(crate) struct Watch {
    /// Address of discovery; changes with the configuration.
    pub address: watch::Receiver<SocketAddr>,
    pub names: ListNames,
    pub mailbox: Mailbox,
    /// Notified when the exchange asks for the list.
    pub ask: Rc<Notify>,
    /// Version of the list that the dispatcher starts with.
    pub version: u64,
    /// The list from before the start. It is used only if discovery cannot be reached; `None` once it has been applied
    /// or is superseded.
    pub cached_list: Cell<Option<DiscoveryUpdate>>,
    /// Delay in seconds of this dispatcher after a fault, so that dispatchers that read the same fault do not ask at
    /// once.
    pub reread_offset_s: f64,
    /// Whether the last watch ended and no line has come since.
    pub is_failing: Cell<bool>,
    pub broken: Option<Broken>,
}

/// A watch that is under way; it resolves to the reason of its end.
type OpenWatch<'a> = Pin<Box<dyn Future<Output = Fault> + 'a>>;

/// Waits for the end of a watch; forever if there is none.
async fn watch_ended(open: &mut Option<OpenWatch<'_>>) -> Fault {
    let fault = match open {
        Some(open) => open.await,
        None => pending().await,
    };
    *open = None;
    fault
}

/// Waits until the given time; forever if there is none.
async fn sleep_until_due(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}

/// Collects a change that comes on several lines.
#[derive(Default)]
struct MultilineChange {
    text: Vec<u8>,
    /// Indentation of the first line, in bytes.
    indentation: usize,
}

impl MultilineChange {
    /// Adds a line. Returns the change that ends with it, or `None` while more lines are expected. `Err` stands for a
    /// change that broke off, with the change that this line holds by itself, if any.
    fn add(&mut self, line: &[u8]) -> Option<Result<serde_json::Value, Option<serde_json::Value>>> {
        let indentation = line.iter().take_while(|b| b.is_ascii_whitespace()).count();
        if self.text.is_empty() {
            return match serde_json::from_slice(line) {
                Ok(value) => Some(Ok(value)),
                Err(error) if error.is_eof() => {
                    *self = MultilineChange {
                        text: line.to_vec(),
                        indentation,
                    };
                    None
                }
                Err(_) => Some(Err(None)),
            };
        }
        // Only a line that is not indented further can end the change or be another one. So the text is not parsed
        // again with each line.
        let may_end = indentation <= self.indentation && line.trim_ascii_end().ends_with(b"}");
        let alone = may_end.then(|| serde_json::from_slice(line).ok()).flatten();
        let alone = alone.filter(|value: &serde_json::Value| value.get("generation").is_some());
        self.text.push(b'\n');
        self.text.extend_from_slice(line);
        let read = match (alone, may_end.then(|| serde_json::from_slice(&self.text))) {
            (Some(alone), _) => Err(Some(alone)),
            (_, Some(Ok(value))) => Ok(value),
            (_, Some(Err(error))) if !error.is_eof() => Err(None),
            _ if self.text.len() > MAX_LINE_BYTES => Err(None),
            _ => return None,
        };
        self.text.clear();
        Some(read)
    }

    /// Discards the collected lines; true if there were any.
    fn discard(&mut self) -> bool {
        !std::mem::take(&mut self.text).is_empty()
    }
}

impl Watch {
    /// Keeps a watch open and passes its updates to the exchange, as long as the process lasts.
    pub(crate) async fn run(self) {
        let mut address_changes = self.address.clone();
        let address = *address_changes.borrow_and_update();
        let mut source = ListSource::new(address, self.version);
        let (mut open, mut previous): (Option<OpenWatch>, Option<OpenWatch>) = (None, None);
        let mut reread_at = None;
        loop {
            tokio::select! {
                biased;
                Ok(()) = address_changes.changed() => {
                    // The previous list is read until the new one has been read, so that there is no gap between them.
                    // The new one is read from the beginning, since the versions of two lists are unrelated.
                    previous = previous.or(open);
                    let address = *address_changes.borrow_and_update();
                    (source, reread_at) = (ListSource::new(address, 0), None);
                    open = Some(self.open(source.clone()));
                }
                // A watch that timed out is opened again at once: the time-out has already been waited for, so this
                // dispatcher does not also wait for its turn among all that ask.
                fault = watch_ended(&mut open) => {
                    let timed_out = matches!(&fault, Fault::Broken(error) if error.kind() == ErrorKind::TimedOut);
                    if timed_out {
                        tracing::info!("endpoint list watch timed out, reconnecting");
                        open = Some(self.open(source.clone()));
                    } else if !self.is_failing.replace(true) {
                        tracing::warn!("endpoint list watch ended, keeping the last list: {fault}");
                    }
                    let cached_list = self.cached_list.take();
                    let report_failure = move |exchange: &mut Exchange| {
                        cached_list.into_iter().for_each(|cached| _ = exchange.apply_cached_list(cached));
                        if !timed_out {
                            exchange.discovery_failed();
                        }
                    };
                    self.mailbox.call(report_failure).await;
                }
                () = source.updated.notified() => previous = None,
                _ = watch_ended(&mut previous) => {}
                // The changes that a fault hid are read with a new watch, not only when this one happens to end.
                // Meanwhile this one is read on.
                () = source.faulty.notified() => {
                    let pause_s = (REREAD_DELAY_S * 2f64.powi(source.fault_count.get())).min(MAX_REREAD_DELAY_S);
                    source.fault_count.set((source.fault_count.get() + 1).min(16));
                    reread_at = Some(Instant::now() + Duration::from_secs_f64(self.reread_offset_s + pause_s));
                }
                () = sleep_until_due(reread_at) => {
                    reread_at = None;
                    previous = open.take().or(previous);
                    open = Some(self.open(source.clone()));
                }
                // A request that waits for its response goes on; a new one would lose its turn.
                () = self.ask.notified() => {
                    if open.is_none() {
                        open = Some(self.open(source.clone()));
                    }
                }
            }
        }
    }

    /// Opens a watch and reads it until it ends.
    fn open(&self, source: Rc<ListSource>) -> OpenWatch<'_> {
        Box::pin(async move {
            match self.read_updates(&source).await {
                Err(fault) => fault,
                Ok(()) => Fault::Malformed("the connection was closed"),
            }
        })
    }

    /// Reads updates and passes them to the exchange. `Ok` if discovery closes the connection.
    async fn read_updates(&self, source: &ListSource) -> Result<(), Fault> {
        let timed_out = |_| std::io::Error::from(ErrorKind::TimedOut);
        let dial = timeout(
            Duration::from_secs_f64(CONNECT_TIMEOUT_S),
            TcpStream::connect(source.address),
        );
        let stream = dial.await.map_err(timed_out)??;
        let mut wire = wire(stream, Watching::new(source.address.to_string()));
        wire.send(WatchRequest {
            after: source.version.get(),
        })
        .await?;
        let (mut is_first, mut is_sound, mut multiline) = (true, true, MultilineChange::default());
        loop {
            let line = timeout(Duration::from_secs_f64(SILENCE_TIMEOUT_S), next(&mut wire)).await;
            let Some(line) = line.map_err(timed_out)?.transpose()? else {
                return Ok(());
            };
            let mut update = DiscoveryUpdate::default();
            let is_heartbeat = line.trim_ascii().is_empty();
            if !is_heartbeat {
                let Some(read) = multiline.add(&line) else {
                    continue;
                };
                let broke_off = read.is_err();
                let value = read
                    .map_or_else(|alone| alone, Some)
                    .ok_or("not valid JSON".to_string());
                match value.and_then(|value| DiscoveryUpdate::parse(value, &self.names)) {
                    Ok(read) => update = read,
                    Err(error) => {
                        tracing::warn!("endpoint list line ignored: {error}");
                        update.has_invalid_entries = true;
                    }
                }
                update.has_invalid_entries |= broke_off;
            } else if multiline.discard() {
                tracing::warn!("endpoint list line ignored: a change is incomplete");
                update.has_invalid_entries = true;
            } else if !is_first {
                continue;
            }
            is_first = false;
            // A change in a line that could not be read is not lost: a new watch soon asks for the changes since before
            // it.
            if is_sound && update.has_invalid_entries {
                source.faulty.notify_one();
            }
            is_sound = (is_sound || update.is_full) && !update.has_invalid_entries;
            // A late update of an earlier version may name a runner as ready that drains by now, so its ready entries
            // are dropped.
            if !update.is_full && update.generation < source.version.get() {
                update
                    .entries
                    .retain(|entry| entry.lifecycle != Lifecycle::Ready);
            }
            if is_sound && !is_heartbeat {
                source.fault_count.set(0);
                let before = if update.is_full {
                    0
                } else {
                    source.version.get()
                };
                source.version.set(update.generation.max(before));
                source.updated.notify_one();
            }
            if self.is_failing.take() {
                tracing::info!("endpoint list watch restored");
            }
            self.broken
                .into_iter()
                .for_each(|broken| broken.alter_update(&mut update));
            let cached_list = self.cached_list.take().filter(|_| !update.is_full);
            let apply = move |exchange: &mut Exchange| {
                cached_list
                    .into_iter()
                    .for_each(|cached| _ = exchange.apply_cached_list(cached));
                exchange.apply_update(update);
            };
            self.mailbox.call(apply).await;
        }
    }
}
