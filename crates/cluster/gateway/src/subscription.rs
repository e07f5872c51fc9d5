//! The configuration's way to this process: the relay tree, in which a gateway serves nobody.

use sagetrail_cluster_config::{ConfigDocument, Limits};
use sagetrail_config_distribution::Relay;
use sagetrail_protocol::distribution::{ConfigCurrent, ConfigUpdate};
use sagetrail_protocol::{Message, NodeId, Time};

/// A configuration counts as current for so long after it was last confirmed.
const CONFIRMED_MS: u64 = 2500;

/// The configuration held, and the way it comes.
#[derive(Debug)]
pub(crate) struct Subscription {
    relay: Relay,
    core: Vec<NodeId>,
    relays: Vec<NodeId>,
    limits: Limits,
    /// When a core process last sent the version that is held.
    told_by_core_at: Option<Time>,
    /// No configuration that comes confirms what is held before.
    distrusted_until: Time,
}

impl Subscription {
    /// Holds nothing and knows nobody.
    pub(crate) fn new(node: NodeId, seed: u64) -> Subscription {
        Subscription {
            relay: Relay::leaf(node, seed),
            core: Vec::new(),
            relays: Vec::new(),
            limits: Limits::default(),
            told_by_core_at: None,
            distrusted_until: Time::default(),
        }
    }

    /// Takes the processes that make up the tree.
    pub(crate) fn candidates(&mut self, core: &[NodeId], relays: &[NodeId]) {
        if self.core == core && self.relays == relays {
            return;
        }
        self.core = core.to_vec();
        self.relays = relays.to_vec();
        self.relay.candidates(core, relays);
    }

    /// The version held.
    pub(crate) fn held(&self) -> Option<u64> {
        self.relay.newest().map(|(version, _)| version)
    }

    /// The bounds of clients' requests.
    pub(crate) fn limits(&self) -> &Limits {
        &self.limits
    }

    /// True while a configuration is held that was the newest not long ago.
    pub(crate) fn is_current(&self, now: Time) -> bool {
        let told_ms = self.told_by_core_at.map(|at| now.millis_since(at));
        let age_ms = self.relay.age_ms(now).into_iter().chain(told_ms).min();
        self.held().is_some() && age_ms.is_some_and(|age_ms| age_ms <= CONFIRMED_MS)
    }

    /// Configurations that come before `until` may have waited for long, and confirm nothing.
    pub(crate) fn distrust(&mut self, until: Time) {
        self.distrusted_until = until;
    }

    /// Takes a configuration, unless a newer one is held.
    pub(crate) fn take_update(&mut self, now: Time, from: NodeId, update: ConfigUpdate) {
        let held = self.held().unwrap_or(0);
        if update.version < held {
            return;
        }
        if self.core.contains(&from) && now >= self.distrusted_until {
            self.told_by_core_at = Some(now);
        }
        if update.version > held {
            self.read_limits(&update);
            self.relay.update(from, update, now);
        }
    }

    /// Takes a parent's word of how old its knowledge is.
    pub(crate) fn take_current(&mut self, now: Time, from: NodeId, current: &ConfigCurrent) {
        self.relay.current(from, current, now);
    }

    /// What is to be sent now.
    pub(crate) fn wake(&mut self, now: Time) -> Vec<(NodeId, Message)> {
        self.relay.wake(now)
    }

    /// When `wake` is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.relay.next_wake()
    }

    fn read_limits(&mut self, update: &ConfigUpdate) {
        match ConfigDocument::parse(&update.document) {
            Ok(document) => self.limits = document.limits,
            Err(error) => log::warn!("configuration {} cannot be read: {error}", update.version),
        }
    }
}
