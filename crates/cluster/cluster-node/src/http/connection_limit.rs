//! The limit on open connections. At the limit, the connection that has been idle for longest is evicted for a new one.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use tokio::sync::Notify;

/// The file descriptors that are reserved for files and for connections with other processes.
const RESERVED_DESCRIPTORS: u32 = 400;
/// The upper bound on the memory of an idle connection, in bytes.
const CONNECTION_BYTES: f64 = 32.0 * 1024.0;
/// The number of bytes in a megabyte as the settings count it.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// The fraction of the process's memory that idle connections may use.
const MEMORY_SHARE: f64 = 0.25;
/// The smallest limit; it also applies where the settings would give a smaller one.
const MIN_CONNECTIONS: usize = 16;

/// The open connections of all listening addresses, and their limit. The lock is never held across an await.
pub struct ConnectionLimit {
    limit: usize,
    /// A logical clock that advances with each new connection and with each begin and end of a request.
    clock: AtomicU64,
    /// The open connections by their number.
    connections: Mutex<BTreeMap<u64, Arc<Connection>>>,
}

/// The state of one connection.
struct Connection {
    /// Whether a request is in progress.
    is_busy: AtomicBool,
    /// The logical time of the last begin or end of a request, or of the accept.
    last_used: AtomicU64,
    /// Notified when the connection is evicted.
    evicted: Notify,
}

/// The slot of one open connection, which is freed when this is dropped.
pub struct ConnectionSlot {
    connection_limit: Arc<ConnectionLimit>,
    number: u64,
    connection: Arc<Connection>,
}

impl ConnectionLimit {
    /// Creates the limit that fits the file descriptors and the memory, in megabytes, of the process.
    pub fn within(max_fds: u32, memory_mb: f64) -> Arc<ConnectionLimit> {
        let by_descriptors = max_fds.saturating_sub(RESERVED_DESCRIPTORS) as usize;
        let by_memory = (memory_mb * BYTES_PER_MB * MEMORY_SHARE / CONNECTION_BYTES) as usize;
        ConnectionLimit::of(by_descriptors.min(by_memory).max(MIN_CONNECTIONS))
    }

    /// Creates a limit of this number of connections.
    pub fn of(limit: usize) -> Arc<ConnectionLimit> {
        Arc::new(ConnectionLimit {
            limit,
            clock: AtomicU64::new(0),
            connections: Mutex::default(),
        })
    }

    /// Admits a new connection and, at the limit, evicts an idle one for it. Returns `None` if all others are busy.
    pub fn admit_connection(self: &Arc<ConnectionLimit>) -> Option<ConnectionSlot> {
        let number = self.advance_clock();
        let mut connections = self.connections.lock().expect("no holder panics");
        if connections.len() >= self.limit {
            let longest_idle = find_longest_idle(&connections)?;
            let connection = connections.remove(&longest_idle)?;
            connection.evicted.notify_one();
        }
        let connection = Arc::new(Connection {
            is_busy: AtomicBool::new(false),
            last_used: AtomicU64::new(number),
            evicted: Notify::new(),
        });
        connections.insert(number, Arc::clone(&connection));
        Some(ConnectionSlot {
            connection_limit: Arc::clone(self),
            number,
            connection,
        })
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.lock().expect("no holder panics").len()
    }

    /// Advances the logical clock and returns its earlier value.
    fn advance_clock(&self) -> u64 {
        self.clock.fetch_add(1, Ordering::Relaxed)
    }
}

fn find_longest_idle(connections: &BTreeMap<u64, Arc<Connection>>) -> Option<u64> {
    let idle = connections
        .iter()
        .filter(|(_, connection)| !connection.is_busy.load(Ordering::Relaxed));
    idle.min_by_key(|(_, connection)| connection.last_used.load(Ordering::Relaxed))
        .map(|(number, _)| *number)
}

impl ConnectionSlot {
    /// Marks the begin or the end of a request.
    pub fn set_busy(&self, busy: bool) {
        self.connection.is_busy.store(busy, Ordering::Relaxed);
        self.connection
            .last_used
            .store(self.connection_limit.advance_clock(), Ordering::Relaxed);
    }

    /// Whether a request is in progress.
    pub fn is_busy(&self) -> bool {
        self.connection.is_busy.load(Ordering::Relaxed)
    }

    /// Waits until the connection is evicted.
    ///
    /// # Cancel safety
    ///
    /// Cancel safe: the notification of an eviction is stored until a later call receives it.
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
