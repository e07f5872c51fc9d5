//! The stand-in of the list: one service for all dispatchers, which each reach it through their own relay.

use crate::http::Reader;
use crate::names::Node;
use crate::play::Shared;
use crate::records::ListUpdate;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// The interval of empty lines while nothing changes.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Lifecycle {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy)]
pub(crate) struct Entry {
    pub lifecycle: Lifecycle,
    pub started_ms: u64,
    pub process: u32,
    changed: u64,
}

/// The entries of the list. A change of the version wakes the connections that watch it.
pub(crate) struct List {
    entries: std::sync::Mutex<(u64, BTreeMap<usize, Entry>)>,
    version: watch::Sender<u64>,
}

impl List {
    pub(crate) fn new() -> List {
        List {
            entries: std::sync::Mutex::new((1, BTreeMap::new())),
            version: watch::Sender::new(1),
        }
    }

    /// Changes the entry of a runner and wakes the connections that watch the list.
    pub(crate) fn update(&self, runner: usize, change: impl FnOnce(&mut Entry)) {
        let mut entries = self.entries.lock().unwrap();
        entries.0 += 1;
        let version = entries.0;
        let fresh = Entry {
            lifecycle: Lifecycle::Ready,
            started_ms: 0,
            process: 0,
            changed: version,
        };
        let entry = entries.1.entry(runner).or_insert(fresh);
        change(entry);
        entry.changed = version;
        self.version.send_replace(version);
    }

    /// The present version and the entries that changed after `version`.
    fn changes_since(&self, version: u64) -> (u64, Vec<(usize, Entry)>) {
        let entries = self.entries.lock().unwrap();
        let changed = entries
            .1
            .iter()
            .filter(|(_, entry)| entry.changed > version);
        (
            entries.0,
            changed.map(|(runner, entry)| (*runner, *entry)).collect(),
        )
    }
}

pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    while let Ok((stream, from)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let _ = watch(shared, stream, from).await;
        });
    }
}

fn update_line(
    shared: &Shared,
    dispatcher: usize,
    version: u64,
    whole: bool,
    entries: &[(usize, Entry)],
) -> String {
    let instance = |(runner, entry): &(usize, Entry)| {
        let node = Node::Runner(*runner);
        json!({
            "instanceId": node.name(),
            "hostPort": shared.addresses.relay_address(Node::Dispatcher(dispatcher), node).to_string(),
            "zone": shared.participants.sites[shared.participants.site_of(node).unwrap_or(0)],
            "machineType": "k",
            "cell": shared.participants.site_of(node).unwrap_or(0),
            "lifecycle": match entry.lifecycle {
                Lifecycle::Ready => "Ready",
                Lifecycle::Draining => "Terminating",
                Lifecycle::Gone => "Gone",
            },
            "weight": 1.0,
            "startedAtMs": entry.started_ms,
        })
    };
    let instances: Vec<_> = entries.iter().map(instance).collect();
    json!({"generation": version, "reset": whole, "instances": instances}).to_string()
}

async fn watch(shared: Arc<Shared>, stream: TcpStream, from: SocketAddr) -> std::io::Result<()> {
    let Some(Node::Dispatcher(dispatcher)) = shared.addresses.node_of_connection(from) else {
        return Ok(());
    };
    let (read, mut write) = stream.into_split();
    let mut reader = Reader::new(read);
    let Some(call) = reader.next().await? else {
        return Ok(());
    };
    let (_, target) = call.method_and_target();
    let index = target
        .split("index=")
        .nth(1)
        .and_then(|index| index.parse().ok())
        .unwrap_or(0);
    write
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await?;
    let mut written = 46u64;
    let mut version = shared.list.version.subscribe();
    let (mut had, mut first) = (index, true);
    loop {
        version.borrow_and_update();
        let (now, entries) = shared.list.changes_since(if first { 0 } else { had });
        // Sends the whole list first, because the dispatcher may know entries of an earlier run.
        let text = update_line(&shared, dispatcher, now, first, &entries);
        let chunk = match entries.is_empty() && !first {
            true => "1\r\n\n\r\n".to_string(),
            false => format!("{:x}\r\n{text}\n\r\n", text.len() + 1),
        };
        write.write_all(chunk.as_bytes()).await?;
        written += chunk.len() as u64;
        if !entries.is_empty() {
            tokio::spawn(record_delivery(
                shared.clone(),
                from,
                written,
                dispatcher,
                entries,
            ));
        }
        (had, first) = (now, false);
        let closed = async {
            let _ = reader.next().await;
        };
        tokio::select! {
            _ = timeout(EMPTY_LINE_INTERVAL, version.changed()) => {}
            () = closed => return Ok(()),
        }
    }
}

/// Records when an update of the list was delivered to its dispatcher. Stops waiting after 30 s.
async fn record_delivery(
    shared: Arc<Shared>,
    from: SocketAddr,
    offset: u64,
    dispatcher: usize,
    entries: Vec<(usize, Entry)>,
) {
    for _ in 0..3000 {
        let at = shared
            .relays
            .trace(from)
            .and_then(|trace| trace.given_by(offset));
        if let Some(at) = at {
            let word = |(runner, entry): &(usize, Entry)| ListUpdate {
                at,
                dispatcher,
                runner: *runner,
                ready: entry.lifecycle == Lifecycle::Ready,
                process: entry.process,
            };
            shared
                .records
                .lock()
                .unwrap()
                .words
                .extend(entries.iter().map(word));
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
}
