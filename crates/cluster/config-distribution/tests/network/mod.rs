//! A simulated network of processes of a relay tree. A seed determines delays and losses.

#![allow(dead_code)]
use sagetrail_config_distribution::Relay;
use sagetrail_protocol::{Blob, Message, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The step of the simulated time, in milliseconds.
const TICK_MS: u64 = 4;

/// A small random number generator (xorshift).
pub(crate) struct TestRandom(pub u64);

impl TestRandom {
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }
}

pub(crate) fn node(number: u32) -> NodeId {
    NodeId {
        ip: 0x0a00_0000 + number,
        port: 7380,
    }
}

pub(crate) fn nodes(numbers: std::ops::Range<u32>) -> Vec<NodeId> {
    numbers.map(node).collect()
}

/// A message in transit.
struct InTransit {
    at: Time,
    from: NodeId,
    to: NodeId,
    message: Message,
}

pub(crate) struct Network {
    pub now: Time,
    pub random: TestRandom,
    pub relays: BTreeMap<NodeId, Relay>,
    pub dead: BTreeSet<NodeId>,
    pub core: Vec<NodeId>,
    /// One message in `lost_one_in` is lost; 0 means that none is lost.
    pub lost_one_in: u64,
    /// Whether the core processes confirm that they know the newest version.
    pub is_core_confirming: bool,
    /// The last seen version of each process.
    versions: BTreeMap<NodeId, u64>,
    in_transit: Vec<InTransit>,
    /// The number of sent messages, including lost ones.
    pub sent: u64,
}

impl Network {
    /// Creates a network of core processes and relays.
    pub(crate) fn new(seed: u64, core_count: u32, relay_count: u32) -> Network {
        let mut network = Network {
            now: Time(1),
            random: TestRandom(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            relays: BTreeMap::new(),
            dead: BTreeSet::new(),
            core: nodes(0..core_count),
            lost_one_in: 0,
            is_core_confirming: true,
            versions: BTreeMap::new(),
            in_transit: Vec::new(),
            sent: 0,
        };
        for name in nodes(0..core_count + relay_count) {
            let mut relay = Relay::new(name, network.random.below(1 << 40));
            relay.set_candidates(&network.core, &nodes(core_count..core_count + relay_count));
            network.relays.insert(name, relay);
        }
        network
    }

    /// Publishes a version at one core process.
    pub(crate) fn publish(&mut self, at: NodeId, version: u64) {
        let now = self.now;
        let document = Blob(version.to_be_bytes().to_vec());
        let out = self
            .relays
            .get_mut(&at)
            .unwrap()
            .publish(version, &document, now);
        self.send(at, out);
    }

    /// Advances the simulated time by `millis`.
    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis / TICK_MS {
            self.now = self.now.plus_millis(TICK_MS);
            self.confirm();
            self.wake();
            self.deliver();
            self.check();
        }
    }

    fn confirm(&mut self) {
        let dead = &self.dead;
        let live = self
            .core
            .iter()
            .filter(|name| self.is_core_confirming && !dead.contains(name));
        for name in live {
            self.relays.get_mut(name).unwrap().confirm(self.now);
        }
    }

    fn wake(&mut self) {
        let now = self.now;
        let mut out = Vec::new();
        for (name, relay) in self
            .relays
            .iter_mut()
            .filter(|(name, _)| !self.dead.contains(name))
        {
            if relay.next_wake().is_some_and(|due| due <= now) {
                out.push((*name, relay.wake(now)));
                assert!(
                    relay.next_wake().is_none_or(|due| due > now),
                    "a wake-up left its cause pending"
                );
            }
        }
        out.into_iter()
            .for_each(|(name, messages)| self.send(name, messages));
    }

    fn send(&mut self, from: NodeId, out: Vec<(NodeId, Message)>) {
        for (to, message) in out {
            self.sent += 1;
            if self.lost_one_in > 0 && self.random.below(self.lost_one_in) == 0 {
                continue;
            }
            let at = self.now.plus_millis(1 + self.random.below(30));
            self.in_transit.push(InTransit {
                at,
                from,
                to,
                message,
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due: Vec<InTransit> = self
            .in_transit
            .extract_if(.., |transmission| transmission.at <= now)
            .collect();
        due.retain(|transmission| !self.dead.contains(&transmission.to));
        for transmission in due {
            let relay = self.relays.get_mut(&transmission.to).unwrap();
            let out = match transmission.message {
                Message::Subscribe(subscribe) => {
                    relay.receive_subscribe(transmission.from, subscribe, now)
                }
                Message::ConfigUpdate(update) => {
                    relay.receive_update(transmission.from, update, now)
                }
                Message::ConfigCurrent(current) => {
                    relay.receive_current(transmission.from, &current, now);
                    Vec::new()
                }
                _ => panic!("expected a message of the relay tree"),
            };
            self.send(transmission.to, out);
        }
    }

    /// Checks that no process returns to an older version and that each document belongs to its version.
    fn check(&mut self) {
        for (name, relay) in &self.relays {
            let Some((version, document)) = relay.newest() else {
                continue;
            };
            let last = self.versions.insert(*name, version).unwrap_or(0);
            assert!(
                version >= last,
                "{name} returned from version {last} to {version}"
            );
            assert_eq!(document.0, version.to_be_bytes());
        }
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = (&NodeId, &Relay)> {
        self.relays
            .iter()
            .filter(|(name, _)| !self.dead.contains(name))
    }

    /// Returns the live processes whose version is older than `version`.
    pub(crate) fn outdated(&self, version: u64) -> Vec<NodeId> {
        let outdated = self
            .live()
            .filter(|(_, relay)| relay.newest().is_none_or(|newest| newest.0 < version));
        outdated.map(|(name, _)| *name).collect()
    }

    /// Returns the relays with live children, those with the most children first.
    pub(crate) fn inner(&self) -> Vec<NodeId> {
        let mut children: BTreeMap<NodeId, usize> = BTreeMap::new();
        for parent in self.live().filter_map(|(_, relay)| relay.parent()) {
            *children.entry(parent).or_default() += 1;
        }
        let mut inner: Vec<(usize, NodeId)> = children
            .into_iter()
            .map(|(name, count)| (count, name))
            .collect();
        inner.retain(|(_, name)| !self.core.contains(name));
        inner.sort_unstable_by(|left, right| right.cmp(left));
        inner.into_iter().map(|(_, name)| name).collect()
    }
}
