//! One process of the relay tree, with its newest configuration, its parent and its children.

use crate::children::{Children, MAX_CHILDREN};
use crate::subscription::{Subscription, MAX_AGE_MS};
use crate::tree;
use sagetrail_protocol::distribution::{ConfigCurrent, ConfigUpdate, Subscribe};
use sagetrail_protocol::{Blob, Message, NodeId, Time};

/// The age, in milliseconds, that a process sends if it does not know how old its configuration is.
pub const UNKNOWN_AGE_MS: u64 = u64::MAX;

/// A confirmation that the newest version known here was the newest at the core `age_ms` milliseconds before `at`.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    at: Time,
    age_ms: u64,
}

/// A process of the relay tree. The caller sends the messages that its methods return.
#[derive(Debug)]
pub struct Relay {
    node: NodeId,
    is_core: bool,
    /// Whether the process serves no children.
    is_leaf: bool,
    newest: Option<ConfigUpdate>,
    confirmation: Option<Confirmation>,
    subscription: Subscription,
    children: Children,
}

impl Relay {
    /// Creates a process that has no configuration and no parents. `seed` spreads its attempts to return to its best
    /// parent over time.
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

    /// Creates a process that has no configuration and no parents and serves no children. `seed` is as in
    /// [`Relay::new`].
    pub fn leaf(node: NodeId, seed: u64) -> Relay {
        Relay {
            is_leaf: true,
            ..Relay::new(node, seed)
        }
    }

    /// Sets the core processes and relays that make up the tree.
    pub fn set_candidates(&mut self, core: &[NodeId], relays: &[NodeId]) {
        self.is_core = core.contains(&self.node);
        let parents = if self.is_leaf {
            tree::leaf_parents
        } else {
            tree::parents
        };
        self.subscription
            .set_candidates(parents(self.node, core, relays));
    }

    /// Returns the current parent; `None` for a core process, or while no candidates are known.
    pub fn parent(&self) -> Option<NodeId> {
        self.subscription.current()
    }

    /// Records a version that a core process has read from the replicated register. Returns the messages for its
    /// children.
    pub fn publish(&mut self, version: u64, document: &Blob, now: Time) -> Vec<(NodeId, Message)> {
        self.accept(
            ConfigUpdate {
                version,
                document: document.clone(),
            },
            now,
        )
    }

    /// Records that a core process has confirmed that it knows the newest version.
    pub fn confirm(&mut self, now: Time) {
        self.confirmation = Some(Confirmation { at: now, age_ms: 0 });
    }

    /// Accepts or renews the subscription of a child. Returns the answers; none if there are already too many children.
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

    /// Receives a configuration. Returns the messages for the children if it is newer than the known one.
    pub fn receive_update(
        &mut self,
        from: NodeId,
        update: ConfigUpdate,
        now: Time,
    ) -> Vec<(NodeId, Message)> {
        if update.version > self.version() {
            log::debug!(
                "configuration received: node={} version={} sender={from}",
                self.node,
                update.version
            );
            self.subscription.record_answer(from, now);
        }
        self.accept(update, now)
    }

    /// Receives a parent's answer with the parent's version and the age of that version.
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
        let is_younger = |known_age_ms| age_ms + now.millis_since(at) < known_age_ms;
        if at <= now && self.age_ms(now).is_none_or(is_younger) {
            self.confirmation = Some(Confirmation { at, age_ms });
        }
        self.subscription.record_answer(from, now);
    }

    /// Renews the subscription or changes the parent if that is due. Returns the messages to send.
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

    /// Returns the time at which [`Relay::wake`] must be called next.
    pub fn next_wake(&self) -> Option<Time> {
        self.subscription.next_wake()
    }

    /// Returns the newest known version and its document.
    pub fn newest(&self) -> Option<(u64, &Blob)> {
        self.newest
            .as_ref()
            .map(|newest| (newest.version, &newest.document))
    }

    /// Returns the maximum time, in milliseconds, since the version known here was the newest at the core; `None` if
    /// this is unknown.
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
