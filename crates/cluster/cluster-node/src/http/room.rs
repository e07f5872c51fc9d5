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
pub struct Room {
    most: usize,
    clock: AtomicU64,
    seats: Mutex<BTreeMap<u64, Arc<Seat>>>,
}

/// What is known of one connection.
struct Seat {
    busy: AtomicBool,
    used: AtomicU64,
    evicted: Notify,
}

/// One connection's place, free again when dropped.
pub struct Place {
    room: Arc<Room>,
    number: u64,
    seat: Arc<Seat>,
}

impl Room {
    /// Room within the limits of the deployment.
    pub fn within(max_fds: u32, memory_mb: f64) -> Arc<Room> {
        let by_descriptors = max_fds.saturating_sub(RESERVED_DESCRIPTORS) as usize;
        let by_memory = (memory_mb * 1048576.0 * MEMORY_PART / CONNECTION_BYTES) as usize;
        Room::of(by_descriptors.min(by_memory).max(FEWEST_CONNECTIONS))
    }

    /// Room for so many connections.
    pub fn of(most: usize) -> Arc<Room> {
        Arc::new(Room {
            most,
            clock: AtomicU64::new(0),
            seats: Mutex::default(),
        })
    }

    /// Takes a place for a new connection; `None` where all others are busy.
    pub fn enter(self: &Arc<Room>) -> Option<Place> {
        let number = self.tick();
        let mut seats = self.seats.lock().expect("no holder panics");
        if seats.len() >= self.most {
            let longest_idle = longest_idle(&seats)?;
            let seat = seats.remove(&longest_idle)?;
            seat.evicted.notify_one();
        }
        let seat = Arc::new(Seat {
            busy: AtomicBool::new(false),
            used: AtomicU64::new(number),
            evicted: Notify::new(),
        });
        seats.insert(number, Arc::clone(&seat));
        Some(Place {
            room: Arc::clone(self),
            number,
            seat,
        })
    }

    /// How many connections there are.
    pub fn taken(&self) -> usize {
        self.seats.lock().expect("no holder panics").len()
    }

    fn tick(&self) -> u64 {
        self.clock.fetch_add(1, Ordering::Relaxed)
    }
}

fn longest_idle(seats: &BTreeMap<u64, Arc<Seat>>) -> Option<u64> {
    let idle = seats
        .iter()
        .filter(|(_, seat)| !seat.busy.load(Ordering::Relaxed));
    idle.min_by_key(|(_, seat)| seat.used.load(Ordering::Relaxed))
        .map(|(number, _)| *number)
}

impl Place {
    /// A request has come, or has been answered.
    pub fn set_busy(&self, busy: bool) {
        self.seat.busy.store(busy, Ordering::Relaxed);
        self.seat.used.store(self.room.tick(), Ordering::Relaxed);
    }

    /// True while a request is under way.
    pub fn is_busy(&self) -> bool {
        self.seat.busy.load(Ordering::Relaxed)
    }

    /// Waits until another connection needs the place.
    pub async fn evicted(&self) {
        self.seat.evicted.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.room
            .seats
            .lock()
            .expect("no holder panics")
            .remove(&self.number);
    }
}
