//! Processes of a relay tree on a simulated network, by a seed.

#![allow(dead_code)]
use sagetrail_config_distribution::Relay;
use sagetrail_protocol::{Blob, Message, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The network's time goes in steps of so many milliseconds.
const TICK_MS: u64 = 4;

pub(crate) struct Chance(pub u64);

impl Chance {
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

struct Letter {
    at: Time,
    from: NodeId,
    to: NodeId,
    message: Message,
}

pub(crate) struct Network {
    pub now: Time,
    pub chance: Chance,
    pub relays: BTreeMap<NodeId, Relay>,
    pub dead: BTreeSet<NodeId>,
    pub core: Vec<NodeId>,
    /// One message in so many is lost; 0: none.
    pub lost_one_in: u64,
    pub confirmed: bool,
    versions: BTreeMap<NodeId, u64>,
    letters: Vec<Letter>,
    pub sent: u64,
}

impl Network {
    /// `core` core processes and so many others that each may be asked to relay.
    pub(crate) fn new(seed: u64, core: u32, others: u32) -> Network {
        let mut network = Network {
            now: Time(1),
            chance: Chance(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            relays: BTreeMap::new(),
            dead: BTreeSet::new(),
            core: nodes(0..core),
            lost_one_in: 0,
            confirmed: true,
            versions: BTreeMap::new(),
            letters: Vec::new(),
            sent: 0,
        };
        for name in nodes(0..core + others) {
            let mut relay = Relay::new(name, network.chance.below(1 << 40));
            relay.set_candidates(&network.core, &nodes(core..core + others));
            network.relays.insert(name, relay);
        }
        network
    }

    /// A core process learns a version.
    pub(crate) fn publish(&mut self, at: NodeId, version: u64) {
        let now = self.now;
        let document = Blob(version.to_be_bytes().to_vec());
        let out = self
            .relays
            .get_mut(&at)
            .unwrap()
            .publish(version, &document, now);
        self.post(at, out);
    }

    pub(crate) fn play(&mut self, millis: u64) {
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
            .filter(|name| self.confirmed && !dead.contains(name));
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
                    "a wake that does nothing"
                );
            }
        }
        out.into_iter()
            .for_each(|(name, messages)| self.post(name, messages));
    }

    fn post(&mut self, from: NodeId, out: Vec<(NodeId, Message)>) {
        for (to, message) in out {
            self.sent += 1;
            if self.lost_one_in > 0 && self.chance.below(self.lost_one_in) == 0 {
                continue;
            }
            let at = self.now.plus_millis(1 + self.chance.below(30));
            self.letters.push(Letter {
                at,
                from,
                to,
                message,
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due: Vec<Letter> = self
            .letters
            .extract_if(.., |letter| letter.at <= now)
            .collect();
        due.retain(|letter| !self.dead.contains(&letter.to));
        for letter in due {
            let relay = self.relays.get_mut(&letter.to).unwrap();
            let out = match letter.message {
                Message::Subscribe(subscribe) => {
                    relay.receive_subscribe(letter.from, subscribe, now)
                }
                Message::ConfigUpdate(update) => relay.receive_update(letter.from, update, now),
                Message::ConfigCurrent(current) => {
                    relay.receive_current(letter.from, &current, now);
                    Vec::new()
                }
                _ => panic!("no message of the relay tree"),
            };
            self.post(letter.to, out);
        }
    }

    /// No version goes back, and each document is its version's.
    fn check(&mut self) {
        for (name, relay) in &self.relays {
            let Some((version, document)) = relay.newest() else {
                continue;
            };
            let last = self.versions.insert(*name, version).unwrap_or(0);
            assert!(version >= last, "{name} went back from {last} to {version}");
            assert_eq!(document.0, version.to_be_bytes());
        }
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = (&NodeId, &Relay)> {
        self.relays
            .iter()
            .filter(|(name, _)| !self.dead.contains(name))
    }

    /// Live processes that do not hold `version`.
    pub(crate) fn behind(&self, version: u64) -> Vec<NodeId> {
        let behind = self
            .live()
            .filter(|(_, relay)| relay.newest().is_none_or(|newest| newest.0 < version));
        behind.map(|(name, _)| *name).collect()
    }

    /// Relays by how many live processes ask them, most first.
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
