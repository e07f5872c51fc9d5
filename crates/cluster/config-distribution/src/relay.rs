//! One process of the relay tree: its newest configuration, its parent and its children.

use crate::children::{Children, MAX_CHILDREN};
use crate::subscription::{Subscription, MAX_AGE_MS};
use crate::tree;
use sagetrail_protocol::distribution::{ConfigCurrent, ConfigUpdate, Subscribe};
use sagetrail_protocol::{Blob, Message, NodeId, Time};

/// The age in an answer of a process that does not know how old its configuration is.
pub const UNKNOWN_AGE_MS: u64 = u64::MAX;

/// That the newest version known here was the newest at the core `age_ms` before `at`.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    at: Time,
    age_ms: u64,
}

/// A process of the relay tree. Messages go out as they are returned.
#[derive(Debug)]
pub struct Relay {
    node: NodeId,
    is_core: bool,
    /// It serves no children.
    is_leaf: bool,
    newest: Option<ConfigUpdate>,
    confirmation: Option<Confirmation>,
    subscription: Subscription,
    children: Children,
}

impl Relay {
    /// A process without configuration or parents. `seed` spreads its attempts to return to its best parent.
    pub fn new(node: NodeId, seed: u64) -> Relay {
        Relay {
            node,
            is_core: false,
            is_leaf: false,
            newest: None,
            confirmation: None,
            subscription: Subscription::new(seed),
            children: Children::default(),
        }
    }

    /// The same for a process that serves no children.
    pub fn leaf(node: NodeId, seed: u64) -> Relay {
        Relay {
            is_leaf: true,
            ..Relay::new(node, seed)
        }
    }

    /// Sets the processes that make up the tree.
    pub fn set_candidates(&mut self, core: &[NodeId], relays: &[NodeId]) {
        self.is_core = core.contains(&self.node);
        let parents = if self.is_leaf {
            tree::leaf_parents
        } else {
            tree::parents
        };
        self.subscription
            .set_choices(parents(self.node, core, relays));
    }

    /// The current parent; `None` for a core process, or before any candidates are known.
    pub fn parent(&self) -> Option<NodeId> {
        self.subscription.current()
    }

    /// A core process has read a version from the register. The messages for its children.
    pub fn publish(&mut self, version: u64, document: &Blob, now: Time) -> Vec<(NodeId, Message)> {
        self.accept(
            ConfigUpdate {
                version,
                document: document.clone(),
            },
            now,
        )
    }

    /// A core process has confirmed that it knows the newest version.
    pub fn confirm(&mut self, now: Time) {
        self.confirmation = Some(Confirmation { at: now, age_ms: 0 });
    }

    /// Takes or renews the subscription of a child. The messages that answer it; none when there are too many others.
    pub fn receive_subscribe(
        &mut self,
        from: NodeId,
        subscribe: Subscribe,
        now: Time,
    ) -> Vec<(NodeId, Message)> {
        let max_children = self.max_children();
        if from == self.node || !self.children.subscribe(from, now, max_children) {
            return Vec::new();
        }
        let newer = self
            .newest
            .as_ref()
            .filter(|newest| newest.version > subscribe.known_version);
        let update = newer.map(|newest| (from, Message::ConfigUpdate(newest.clone())));
        let age_ms = self.age_ms(now).unwrap_or(UNKNOWN_AGE_MS);
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

    /// Takes a configuration. The messages for the children, if it is newer than the one known.
    pub fn receive_update(
        &mut self,
        from: NodeId,
        update: ConfigUpdate,
        now: Time,
    ) -> Vec<(NodeId, Message)> {
        if update.version > self.version() {
            log::debug!("{}: version {} from {from}", self.node, update.version);
            self.subscription.record_answer(from, now);
        }
        self.accept(update, now)
    }

    /// Takes a parent's answer: its version, and how old that is.
    pub fn receive_current(&mut self, from: NodeId, current: &ConfigCurrent, now: Time) {
        if current.version < self.version() || current.age_ms > MAX_AGE_MS {
            return;
        }
        if current.version > self.version() {
            self.subscription.record_answer(from, now);
            self.subscription.request_soon(now);
            return;
        }
        let (at, age_ms) = (Time(current.asked_at), current.age_ms);
        let younger = |known_ms| age_ms + now.millis_since(at) < known_ms;
        if at <= now && self.age_ms(now).is_none_or(younger) {
            self.confirmation = Some(Confirmation { at, age_ms });
        }
        self.subscription.record_answer(from, now);
    }

    /// Does what is due by now. The messages to send.
    pub fn wake(&mut self, now: Time) -> Vec<(NodeId, Message)> {
        let known_version = self.version();
        self.subscription
            .wake(now)
            .into_iter()
            .map(|parent| {
                (
                    parent,
                    Message::Subscribe(Subscribe {
                        known_version,
                        asked_at: now.0,
                    }),
                )
            })
            .collect()
    }

    /// When [`Relay::wake`] is to be called next.
    pub fn next_wake(&self) -> Option<Time> {
        self.subscription.next_wake()
    }

    /// The newest version known, and its document.
    pub fn newest(&self) -> Option<(u64, &Blob)> {
        self.newest
            .as_ref()
            .map(|newest| (newest.version, &newest.document))
    }

    /// How many milliseconds ago, at most, the version known here was the newest at the core; `None` if unknown.
    pub fn age_ms(&self, now: Time) -> Option<u64> {
        let confirmation = self.confirmation?;
        Some(
            confirmation
                .age_ms
                .saturating_add(now.millis_since(confirmation.at)),
        )
    }

    fn max_children(&self) -> usize {
        match (self.is_leaf, self.is_core) {
            (true, _) => 0,
            (false, true) => usize::MAX,
            (false, false) => MAX_CHILDREN,
        }
    }

    fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }

    fn accept(&mut self, update: ConfigUpdate, now: Time) -> Vec<(NodeId, Message)> {
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
