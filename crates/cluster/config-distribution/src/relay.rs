//! One process's place in the tree: what it knows, whom it asks and whom it tells.

use crate::children::{Children, MAX_CHILDREN};
use crate::parent::{Parent, STALE_MS};
use crate::tree;
use sagetrail_protocol::distribution::{ConfigCurrent, ConfigUpdate, Subscribe};
use sagetrail_protocol::{Blob, Message, NodeId, Time};

/// Told as age by a process that does not know how old its knowledge is.
pub const AGE_UNKNOWN: u64 = u64::MAX;

/// How old knowledge is: `age_ms` at `at`.
#[derive(Clone, Copy, Debug)]
struct Knowledge {
    at: Time,
    age_ms: u64,
}

/// A process of the relay tree. Messages go out as they are returned.
#[derive(Debug)]
pub struct Relay {
    node: NodeId,
    is_core: bool,
    /// Nobody is served by it.
    is_leaf: bool,
    newest: Option<ConfigUpdate>,
    knowledge: Option<Knowledge>,
    parent: Parent,
    children: Children,
}

impl Relay {
    /// A process that knows nothing and nobody. `seed` spreads its attempts to return to its best parent.
    pub fn new(node: NodeId, seed: u64) -> Relay {
        Relay {
            node,
            is_core: false,
            is_leaf: false,
            newest: None,
            knowledge: None,
            parent: Parent::new(seed),
            children: Children::default(),
        }
    }

    /// The same of a process that serves no others.
    pub fn leaf(node: NodeId, seed: u64) -> Relay {
        Relay {
            is_leaf: true,
            ..Relay::new(node, seed)
        }
    }

    /// Takes the processes that make up the tree.
    pub fn candidates(&mut self, core: &[NodeId], relays: &[NodeId]) {
        self.is_core = core.contains(&self.node);
        let parents = if self.is_leaf {
            tree::leaf_parents
        } else {
            tree::parents
        };
        self.parent.choices(parents(self.node, core, relays));
    }

    /// Whom this process asks; `None` for a core process, or before any candidates are known.
    pub fn parent(&self) -> Option<NodeId> {
        self.parent.current()
    }

    /// A core process has read or learnt a version from the register; what goes to its children.
    pub fn publish(&mut self, version: u64, document: &Blob, now: Time) -> Vec<(NodeId, Message)> {
        self.learn(
            ConfigUpdate {
                version,
                document: document.clone(),
            },
            now,
        )
    }

    /// A core process has made sure that it knows the newest version.
    pub fn confirm(&mut self, now: Time) {
        self.knowledge = Some(Knowledge { at: now, age_ms: 0 });
    }

    /// Takes the subscription of a child; what answers it.
    pub fn subscribe(
        &mut self,
        from: NodeId,
        subscribe: Subscribe,
        now: Time,
    ) -> Vec<(NodeId, Message)> {
        let most = self.most_children();
        if from == self.node || !self.children.subscribe(from, now, most) {
            return Vec::new();
        }
        let missed = self
            .newest
            .as_ref()
            .filter(|newest| newest.version > subscribe.known_version);
        let update = missed.map(|newest| (from, Message::ConfigUpdate(newest.clone())));
        let age_ms = self.age_ms(now).unwrap_or(AGE_UNKNOWN);
        let current = ConfigCurrent {
            version: self.version(),
            age_ms,
            asked_at: subscribe.asked_at,
        };
        update
            .into_iter()
            .chain([(from, Message::ConfigCurrent(current))])
            .collect()
    }

    /// Takes a configuration; what goes to the children where it is newer than what was known.
    pub fn update(
        &mut self,
        from: NodeId,
        update: ConfigUpdate,
        now: Time,
    ) -> Vec<(NodeId, Message)> {
        if update.version > self.version() {
            log::debug!("{}: version {} from {from}", self.node, update.version);
            self.parent.heard(from, now);
        }
        self.learn(update, now)
    }

    /// Takes a parent's word that it lives, and of how old its knowledge is.
    pub fn current(&mut self, from: NodeId, current: &ConfigCurrent, now: Time) {
        if current.version < self.version() || current.age_ms > STALE_MS {
            return;
        }
        if current.version > self.version() {
            self.parent.heard(from, now);
            self.parent.ask_soon(now);
            return;
        }
        let (at, age_ms) = (Time(current.asked_at), current.age_ms);
        let younger = |known_ms| age_ms + now.millis_since(at) < known_ms;
        if at <= now && self.age_ms(now).is_none_or(younger) {
            self.knowledge = Some(Knowledge { at, age_ms });
        }
        self.parent.heard(from, now);
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Time) -> Vec<(NodeId, Message)> {
        let have = self.version();
        let asked = self.parent.wake(now).into_iter();
        asked
            .map(|parent| {
                (
                    parent,
                    Message::Subscribe(Subscribe {
                        known_version: have,
                        asked_at: now.0,
                    }),
                )
            })
            .collect()
    }

    /// When `wake` is due.
    pub fn next_wake(&self) -> Option<Time> {
        self.parent.next_wake()
    }

    /// The newest version known, and its document.
    pub fn newest(&self) -> Option<(u64, &Blob)> {
        self.newest
            .as_ref()
            .map(|newest| (newest.version, &newest.document))
    }

    /// How long ago, at most, what is known here was the newest at the core; `None` where that was never told.
    pub fn age_ms(&self, now: Time) -> Option<u64> {
        let knowledge = self.knowledge?;
        Some(
            knowledge
                .age_ms
                .saturating_add(now.millis_since(knowledge.at)),
        )
    }

    fn most_children(&self) -> usize {
        match (self.is_leaf, self.is_core) {
            (true, _) => 0,
            (false, true) => usize::MAX,
            (false, false) => MAX_CHILDREN,
        }
    }

    fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }

    fn learn(&mut self, update: ConfigUpdate, now: Time) -> Vec<(NodeId, Message)> {
        if update.version <= self.version() {
            return Vec::new();
        }
        let children = self.children.current(now);
        let pushed = children
            .map(|child| (child, Message::ConfigUpdate(update.clone())))
            .collect();
        self.newest = Some(update);
        pushed
    }
}
