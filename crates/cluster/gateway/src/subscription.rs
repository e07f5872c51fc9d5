//! The subscription to configuration updates, in which this process is a leaf of the relay tree.

use sagetrail_cluster_config::{ConfigSummary, Limits};
use sagetrail_config_distribution::Relay;
use sagetrail_protocol::distribution::{ConfigCurrent, ConfigUpdate};
use sagetrail_protocol::node::Outbox;
use sagetrail_protocol::{NodeId, Time};

/// Time after its last confirmation, in milliseconds, for which a configuration is treated as current.
const CONFIRMATION_VALID_MS: u64 = 2500;

/// The configuration that this process has, and the relay-tree parents from which it is received.
#[derive(Debug)]
pub(crate) struct Subscription {
    relay: Relay,
    core: Vec<NodeId>,
    relays: Vec<NodeId>,
    limits: Limits,
    /// When a core process last sent the version that this process has, or a newer version.
    confirmed_by_core_at: Option<Time>,
    /// A configuration that arrives before this time is not counted as a confirmation, because it may have been queued
    /// in a socket while this process was suspended.
    counted_from: Time,
}

impl Subscription {
    /// Creates a subscription without a configuration and without parents.
    pub(crate) fn new(node: NodeId, seed: u64) -> Subscription {
        Subscription {
            relay: Relay::leaf(node, seed),
            core: Vec::new(),
            relays: Vec::new(),
            limits: Limits::default(),
            confirmed_by_core_at: None,
            counted_from: Time::default(),
        }
    }

    /// Sets the core processes and the relays from which the parent is chosen.
    pub(crate) fn set_candidates(&mut self, core: &[NodeId], relays: &[NodeId]) {
        if self.core == core && self.relays == relays {
            return;
        }
        self.core = core.to_vec();
        self.relays = relays.to_vec();
        self.relay.set_candidates(core, relays);
    }

    /// Returns the version of the configuration, or 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.relay.newest().map_or(0, |(version, _)| version)
    }

    /// Returns the limits on clients' requests.
    pub(crate) fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns whether there is a configuration that was recently confirmed to be the newest.
    pub(crate) fn is_current(&self, now: Time) -> bool {
        let by_core_ms = self.confirmed_by_core_at.map(|at| now.millis_since(at));
        let age_ms = self.relay.age_ms(now).into_iter().chain(by_core_ms).min();
        self.relay.newest().is_some()
            && age_ms.is_some_and(|age_ms| age_ms <= CONFIRMATION_VALID_MS)
    }

    /// Stops configurations that arrive before `until` from counting as confirmations, because they may have been
    /// queued in a socket.
    pub(crate) fn ignore_confirmations_until(&mut self, until: Time) {
        self.counted_from = until;
    }

    /// Receives a configuration; one that is older than the configuration of this process is ignored.
    pub(crate) fn receive_update(&mut self, now: Time, from: NodeId, update: ConfigUpdate) {
        let version = self.version();
        if update.version < version {
            return;
        }
        if self.core.contains(&from) && now >= self.counted_from {
            self.confirmed_by_core_at = Some(now);
        }
        if update.version > version {
            self.read_limits(&update);
            self.relay.receive_update(from, update, now);
        }
    }

    /// Receives a parent's message that states how long ago its own configuration was confirmed.
    pub(crate) fn receive_current(&mut self, now: Time, from: NodeId, current: &ConfigCurrent) {
        self.relay.receive_current(from, current, now);
    }

    /// Sends the subscription messages to the parent that are due.
    pub(crate) fn send_due(&mut self, now: Time, outbox: &mut Outbox) {
        for (parent, message) in self.relay.wake(now) {
            outbox.send(parent, message);
        }
    }

    /// Returns the time at which `send_due` must be called next.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.relay.next_wake()
    }

    fn read_limits(&mut self, update: &ConfigUpdate) {
        match ConfigSummary::parse(&update.document) {
            Ok(summary) => self.limits = summary.limits,
            Err(error) => log::warn!(
                "configuration parse failed: version={} error={error}",
                update.version
            ),
        }
    }
}
