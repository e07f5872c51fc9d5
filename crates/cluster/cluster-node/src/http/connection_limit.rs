//! The limit on open connections. At the limit the connection idle for longest is evicted for a new one.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use tokio::sync::Notify;

/// Descriptors reserved for files and for connections with other processes.
const RESERVED_DESCRIPTORS: u32 = 400;
/// The most memory that an idle connection takes, in bytes.
const CONNECTION_BYTES: f64 = 32.0 * 1024.0;
/// Bytes in a megabyte of the settings.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// The share of the memory that idle connections may take.
const MEMORY_SHARE: f64 = 0.25;
/// The least limit, whatever the settings say.
const MIN_CONNECTIONS: usize = 16;

/// The open connections of all listening addresses, and their limit. The lock is never held across an await.
pub struct ConnectionLimit {
    limit: usize,
    clock: AtomicU64,
    connections: Mutex<BTreeMap<u64, Arc<Connection>>>,
}

/// The state of one connection.
struct Connection {
    busy: AtomicBool,
    used: AtomicU64,
    evicted: Notify,
}

/// One open connection; frees its slot when dropped.
pub struct ConnectionSlot {
    connection_limit: Arc<ConnectionLimit>,
    number: u64,
    connection: Arc<Connection>,
}

impl ConnectionLimit {
    /// The limit by file descriptors and memory, in megabytes.
    pub fn within(max_fds: u32, memory_mb: f64) -> Arc<ConnectionLimit> {
        let by_descriptors = max_fds.saturating_sub(RESERVED_DESCRIPTORS) as usize;
        let by_memory = (memory_mb * BYTES_PER_MB * MEMORY_SHARE / CONNECTION_BYTES) as usize;
        ConnectionLimit::of(by_descriptors.min(by_memory).max(MIN_CONNECTIONS))
    }

    /// A limit of this number of connections.
    pub fn of(limit: usize) -> Arc<ConnectionLimit> {
        Arc::new(ConnectionLimit {
            limit,
            clock: AtomicU64::new(0),
            connections: Mutex::default(),
        })
    }

    /// Admits a new connection, evicting an idle one at the limit; `None` where all others are busy.
    pub fn admit_connection(self: &Arc<ConnectionLimit>) -> Option<ConnectionSlot> {
        let number = self.tick();
        let mut connections = self.connections.lock().expect("no holder panics");
        if connections.len() >= self.limit {
            let longest_idle = longest_idle(&connections)?;
            let connection = connections.remove(&longest_idle)?;
            connection.evicted.notify_one();
        }
        let connection = Arc::new(Connection {
            busy: AtomicBool::new(false),
            used: AtomicU64::new(number),
            evicted: Notify::new(),
        });
        connections.insert(number, Arc::clone(&connection));
        Some(ConnectionSlot {
            connection_limit: Arc::clone(self),
            number,
            connection,
        })
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.lock().expect("no holder panics").len()
    }

    fn tick(&self) -> u64 {
        self.clock.fetch_add(1, Ordering::Relaxed)
    }
}

fn longest_idle(connections: &BTreeMap<u64, Arc<Connection>>) -> Option<u64> {
    let idle = connections
        .iter()
        .filter(|(_, connection)| !connection.busy.load(Ordering::Relaxed));
    idle.min_by_key(|(_, connection)| connection.used.load(Ordering::Relaxed))
        .map(|(number, _)| *number)
}

impl ConnectionSlot {
    /// Marks the begin or the end of a request.
    pub fn set_busy(&self, busy: bool) {
        self.connection.busy.store(busy, Ordering::Relaxed);
        self.connection
            .used
            .store(self.connection_limit.tick(), Ordering::Relaxed);
    }

    /// Whether a request is in progress.
    pub fn is_busy(&self) -> bool {
        self.connection.busy.load(Ordering::Relaxed)
    }

    /// Waits until the connection is evicted.
    ///
    /// # Cancel safety
    ///
    /// Cancel safe: an eviction is remembered until it is awaited.
    pub async fn evicted(&self) {
        self.connection.evicted.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.connection_limit
            .connections
            .lock()
            .expect("no holder panics")
            .remove(&self.number);
    }
}
