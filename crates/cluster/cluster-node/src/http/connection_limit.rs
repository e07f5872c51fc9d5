//! How many connections are kept. Where there is no room the one idle for longest gives way.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use tokio::sync::Notify;

/// Descriptors kept back for files and for other processes.
const RESERVED_DESCRIPTORS: u32 = 400;
/// What a connection costs in memory at most while it is idle.
const CONNECTION_BYTES: f64 = 32.0 * 1024.0;
/// The part of the memory that idle connections may take.
const MEMORY_PART: f64 = 0.25;
const FEWEST_CONNECTIONS: usize = 16;

/// The connections of all listening addresses.
pub struct ConnectionLimit {
    limit: usize,
    clock: AtomicU64,
    connections: Mutex<BTreeMap<u64, Arc<Connection>>>,
}

/// What is known of one connection.
struct Connection {
    busy: AtomicBool,
    used: AtomicU64,
    evicted: Notify,
}

/// One connection's place, free again when dropped.
pub struct ConnectionSlot {
    connection_limit: Arc<ConnectionLimit>,
    number: u64,
    connection: Arc<Connection>,
}

impl ConnectionLimit {
    /// Room within the limits of the deployment.
    pub fn within(max_fds: u32, memory_mb: f64) -> Arc<ConnectionLimit> {
        let by_descriptors = max_fds.saturating_sub(RESERVED_DESCRIPTORS) as usize;
        let by_memory = (memory_mb * 1048576.0 * MEMORY_PART / CONNECTION_BYTES) as usize;
        ConnectionLimit::of(by_descriptors.min(by_memory).max(FEWEST_CONNECTIONS))
    }

    /// Room for so many connections.
    pub fn of(limit: usize) -> Arc<ConnectionLimit> {
        Arc::new(ConnectionLimit {
            limit,
            clock: AtomicU64::new(0),
            connections: Mutex::default(),
        })
    }

    /// Takes a place for a new connection; `None` where all others are busy.
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

    /// How many connections there are.
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
    /// A request has come, or has been answered.
    pub fn set_busy(&self, busy: bool) {
        self.connection.busy.store(busy, Ordering::Relaxed);
        self.connection
            .used
            .store(self.connection_limit.tick(), Ordering::Relaxed);
    }

    /// True while a request is under way.
    pub fn is_busy(&self) -> bool {
        self.connection.busy.load(Ordering::Relaxed)
    }

    /// Waits until another connection needs the place.
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
