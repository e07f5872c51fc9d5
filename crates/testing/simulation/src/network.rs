//! The network between processes: delay by zone, jitter, loss, duplicates, and cuts, also in one direction.
//! Jitter alone makes messages overtake each other.

use crate::engine::{Chance, Micros, MILLISECOND};
use sagetrail_protocol::NodeId;
use std::collections::{BTreeMap, BTreeSet};

/// How messages travel while nothing is cut.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkQuality {
    /// One way within a zone.
    pub near: Micros,
    /// One way between zones.
    pub far: Micros,
    /// At most so much is added by chance.
    pub jitter: Micros,
    /// The share of messages that are lost.
    pub loss: f64,
    /// The share of messages that come twice.
    pub duplicates: f64,
}

impl Default for LinkQuality {
    fn default() -> Self {
        LinkQuality {
            near: 200,
            far: 1_400,
            jitter: MILLISECOND,
            loss: 0.0005,
            duplicates: 0.0005,
        }
    }
}

/// One direction between two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Direction {
    /// Where messages come from.
    pub from: NodeId,
    /// Where they go.
    pub to: NodeId,
}

/// Which processes reach which, and how fast.
pub struct Network {
    quality: LinkQuality,
    zones: BTreeMap<NodeId, usize>,
    cuts: BTreeMap<Direction, u32>,
    isolated: BTreeSet<NodeId>,
    /// Until then more is lost, and how much.
    storm_until: Micros,
    storm_loss: f64,
}

impl Network {
    /// A network without cuts.
    pub fn new(quality: LinkQuality) -> Network {
        Network {
            quality,
            zones: BTreeMap::new(),
            cuts: BTreeMap::new(),
            isolated: BTreeSet::new(),
            storm_until: 0,
            storm_loss: 0.0,
        }
    }

    /// Places a process in a zone.
    pub fn place(&mut self, node: NodeId, zone: usize) {
        self.zones.insert(node, zone);
    }

    /// Places a process in the zone of another.
    pub fn place_beside(&mut self, neighbour: NodeId, node: NodeId) {
        let zone = self.zones.get(&neighbour).copied().unwrap_or_default();
        self.place(node, zone);
    }

    /// Cuts one direction. Cuts of one direction are counted.
    pub fn cut(&mut self, direction: Direction) {
        *self.cuts.entry(direction).or_insert(0) += 1;
    }

    /// Takes back one cut of a direction.
    pub fn join(&mut self, direction: Direction) {
        if let Some(count) = self.cuts.get_mut(&direction) {
            *count = count.saturating_sub(1);
        }
    }

    /// Cuts a process from all others, or joins it again.
    pub fn isolate(&mut self, node: NodeId, isolated: bool) {
        if isolated {
            self.isolated.insert(node);
        } else {
            self.isolated.remove(&node);
        }
    }

    /// Until `until` the share `loss` of all messages is lost.
    pub fn storm(&mut self, until: Micros, loss: f64) {
        self.storm_until = until;
        self.storm_loss = loss;
    }

    /// True where a message in this direction would pass.
    pub fn passes(&self, direction: Direction) -> bool {
        let cut = self.cuts.get(&direction).is_some_and(|count| *count > 0);
        let isolated =
            self.isolated.contains(&direction.from) || self.isolated.contains(&direction.to);
        direction.from == direction.to || !(cut || isolated)
    }

    /// When a message sent now arrives: never, once, or twice.
    pub fn arrivals(&self, now: Micros, direction: Direction, chance: &mut Chance) -> Vec<Micros> {
        if direction.from == direction.to {
            return vec![now + 1];
        }
        if !self.passes(direction) || chance.happens(self.loss(now)) {
            return Vec::new();
        }
        let mut arrivals = vec![now + self.delay(direction, chance)];
        if chance.happens(self.quality.duplicates) {
            arrivals.push(now + self.delay(direction, chance));
        }
        arrivals
    }

    fn loss(&self, now: Micros) -> f64 {
        if now < self.storm_until {
            return self.storm_loss;
        }
        self.quality.loss
    }

    fn delay(&self, direction: Direction, chance: &mut Chance) -> Micros {
        let same = self.zones.get(&direction.from) == self.zones.get(&direction.to);
        let base = if same {
            self.quality.near
        } else {
            self.quality.far
        };
        base + chance.between(0, self.quality.jitter)
    }
}
