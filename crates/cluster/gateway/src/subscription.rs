//! The subscription to configurations: this process is a leaf of the relay tree.

use sagetrail_cluster_config::{ConfigSummary, Limits};
use sagetrail_config_distribution::Relay;
use sagetrail_protocol::distribution::{ConfigCurrent, ConfigUpdate};
use sagetrail_protocol::node::Outbox;
use sagetrail_protocol::{NodeId, Time};

/// Time after its last confirmation for which a configuration counts as current, in milliseconds.
const CONFIRMED_MS: u64 = 2500;

/// The configuration this process has, and where it comes from.
#[derive(Debug)]
pub(crate) struct Subscription {
    relay: Relay,
    core: Vec<NodeId>,
    relays: Vec<NodeId>,
    limits: Limits,
    /// When a core process last sent the version that this process has, or a newer one.
    confirmed_by_core_at: Option<Time>,
    /// A configuration that arrives before this time may have waited in a socket, and confirms nothing.
    valid_from: Time,
}

impl Subscription {
    /// Without a configuration or parents.
    pub(crate) fn new(node: NodeId, seed: u64) -> Subscription {
        Subscription {
            relay: Relay::leaf(node, seed),
            core: Vec::new(),
            relays: Vec::new(),
            limits: Limits::default(),
            confirmed_by_core_at: None,
            valid_from: Time::default(),
        }
    }

    /// Sets the processes that make up the relay tree.
    pub(crate) fn set_candidates(&mut self, core: &[NodeId], relays: &[NodeId]) {
        if self.core == core && self.relays == relays {
            return;
        }
        self.core = core.to_vec();
        self.relays = relays.to_vec();
        self.relay.set_candidates(core, relays);
    }

    /// The version of the configuration, 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.relay.newest().map_or(0, |(version, _)| version)
    }

    /// The limits of clients' requests.
    pub(crate) fn limits(&self) -> &Limits {
        &self.limits
    }

    /// True while there is a configuration that was recently confirmed to be the newest.
    pub(crate) fn is_current(&self, now: Time) -> bool {
        let by_core_ms = self.confirmed_by_core_at.map(|at| now.millis_since(at));
        let age_ms = self.relay.age_ms(now).into_iter().chain(by_core_ms).min();
        self.relay.newest().is_some() && age_ms.is_some_and(|age_ms| age_ms <= CONFIRMED_MS)
    }

    /// Takes configurations that arrive before `until` as no confirmation: they may have waited in a socket.
    pub(crate) fn ignore_confirmations_until(&mut self, until: Time) {
        self.valid_from = until;
    }

    /// Receives a configuration; an older one than that of this process is ignored.
    pub(crate) fn receive_update(&mut self, now: Time, from: NodeId, update: ConfigUpdate) {
        let version = self.version();
        if update.version < version {
            return;
        }
        if self.core.contains(&from) && now >= self.valid_from {
            self.confirmed_by_core_at = Some(now);
        }
        if update.version > version {
            self.read_limits(&update);
            self.relay.receive_update(from, update, now);
        }
    }

    /// Receives a parent's message of how old its own knowledge is.
    pub(crate) fn receive_current(&mut self, now: Time, from: NodeId, current: &ConfigCurrent) {
        self.relay.receive_current(from, current, now);
    }

    /// Renews the subscription with the parent where that is due.
    pub(crate) fn send_due(&mut self, now: Time, outbox: &mut Outbox) {
        for (parent, message) in self.relay.wake(now) {
            outbox.send(parent, message);
        }
    }

    /// When `send_due` has something to do.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.relay.next_wake()
    }

    fn read_limits(&mut self, update: &ConfigUpdate) {
        match ConfigSummary::parse(&update.document) {
            Ok(summary) => self.limits = summary.limits,
            Err(error) => log::warn!(
                "configuration cannot be read: version={} error={error}",
                update.version
            ),
        }
    }
}
