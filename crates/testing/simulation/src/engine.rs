//! The queue of what is to happen, by time and then by the order of asking, and the cluster's chance.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// True time in microseconds since the cluster began.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MILLISECOND: Micros = 1_000;
/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;
/// The time of day at which the cluster begins, in milliseconds since 1970.
pub const WALL_START_MS: i64 = 1_700_000_000_000;

struct Entry<E> {
    at: Micros,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at
            .cmp(&other.at)
            .then(self.sequence.cmp(&other.sequence))
    }
}

/// Events by time; those of one instant in the order in which they were asked for.
pub struct Queue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    sequence: u64,
    now: Micros,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Queue {
            heap: BinaryHeap::new(),
            sequence: 0,
            now: 0,
        }
    }
}

impl<E> Queue<E> {
    /// The present instant.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Lets `event` happen at `at`, or now where that has passed.
    pub fn schedule(&mut self, at: Micros, event: E) {
        self.sequence += 1;
        let entry = Entry {
            at: at.max(self.now),
            sequence: self.sequence,
            event,
        };
        self.heap.push(Reverse(entry));
    }

    /// The next event up to `until`; time moves on to it.
    pub fn next_until(&mut self, until: Micros) -> Option<E> {
        if self.heap.peek()?.0.at > until {
            return None;
        }
        let entry = self.heap.pop()?.0;
        self.now = entry.at;
        Some(entry.event)
    }
}

/// The cluster's chance.
pub struct Chance(Pcg64Mcg);

impl Chance {
    /// The chance of a seed.
    pub fn new(seed: u64) -> Chance {
        Chance(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A number from `low` up to, not including, `high`; `low` where there is none.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        if high <= low {
            return low;
        }
        self.0.random_range(low..high)
    }

    /// True with probability `share`.
    pub fn happens(&mut self, share: f64) -> bool {
        share > 0.0 && self.0.random::<f64>() < share
    }

    /// An index below `length`, which is not zero.
    pub fn index(&mut self, length: usize) -> usize {
        self.between(0, length as u64) as usize
    }

    /// Any number but zero.
    pub fn nonzero(&mut self) -> u64 {
        self.0.random::<u64>() | 1
    }
}
