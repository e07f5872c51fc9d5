//! Subscriptions to configurations. A process sends a configuration only if a majority has recently confirmed that it
//! is the newest one, together with the age of that confirmation. A process that cannot reach the majority sends
//! nothing, and its subscribers turn to another process. The configuration is sent as its summary, whose size does not
//! grow with the number of routes, unlike that of the document.

use crate::effects::Effects;
use crate::register_view::RegisterView;
use crate::timing::MAX_DISTRIBUTED_VIEW_AGE_MS;
use sagetrail_cluster_config::ConfigSummary;
use sagetrail_protocol::distribution::{ConfigCurrent, ConfigUpdate, Subscribe, SUBSCRIPTION_MS};
use sagetrail_protocol::service::ConfigInForce;
use sagetrail_protocol::{Blob, Message, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of subscribed processes.
const MAX_SUBSCRIBERS: usize = 4096;

/// The subscription of one process.
#[derive(Debug)]
struct Subscription {
    /// The newest version that the subscriber has or was sent.
    known_version: u64,
    /// When the subscription expires, unless it is renewed.
    expires_at: Time,
    /// The subscriber's time at its last request, which is returned with the answer.
    asked_at: u64,
}

/// All subscriptions at this process.
#[derive(Debug, Default)]
pub(crate) struct Subscribers {
    /// The subscriptions, by subscriber.
    subscriptions: BTreeMap<NodeId, Subscription>,
    /// The subscribers whose last request has not been answered yet.
    unanswered: BTreeSet<NodeId>,
    /// The newest version that was sent to all subscribers.
    published_version: u64,
    /// The newest configuration in the form in which it is sent.
    newest: Option<ConfigUpdate>,
}

impl Subscribers {
    /// Handles a request for a configuration that is newer than the subscriber's.
    pub(crate) fn on_subscribe(&mut self, now: Time, from: NodeId, subscribe: &Subscribe) {
        self.subscriptions
            .retain(|_, subscription| subscription.expires_at > now);
        let expires_at = now.plus_millis(SUBSCRIPTION_MS);
        let subscribed = self.subscriptions.contains_key(&from);
        if subscribed || self.subscriptions.len() < MAX_SUBSCRIBERS {
            self.subscriptions.insert(
                from,
                Subscription {
                    known_version: subscribe.known_version,
                    expires_at,
                    asked_at: subscribe.asked_at,
                },
            );
            self.unanswered.insert(from);
        }
    }

    /// Answers requests and sends a newer configuration to all subscribers, if the register view is fresh enough.
    pub(crate) fn serve(&mut self, now: Time, register_view: &RegisterView, effects: &mut Effects) {
        let Some(age_ms) = register_view
            .age_ms(now)
            .filter(|age_ms| *age_ms <= MAX_DISTRIBUTED_VIEW_AGE_MS)
        else {
            return;
        };
        self.summarize(register_view.config());
        for node in std::mem::take(&mut self.unanswered) {
            self.answer(node, age_ms, effects);
        }
        self.publish(now, effects);
    }

    /// Summarizes the configuration in force, once for each version.
    fn summarize(&mut self, config: Option<&ConfigInForce>) {
        let Some(config) = config.filter(|config| config.version > self.version()) else {
            return;
        };
        match ConfigSummary::parse(&config.document) {
            Ok(summary) => {
                self.newest = Some(ConfigUpdate {
                    version: config.version,
                    document: Blob(summary.to_bytes()),
                });
            }
            Err(error) => log::error!(
                "configuration cannot be summarized: version={} error={error}",
                config.version
            ),
        }
    }

    /// Returns the version that is sent, or 0 before the first configuration.
    fn version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }

    /// Answers a request with the newest configuration, or with a confirmation if the subscriber has that one.
    fn answer(&mut self, node: NodeId, age_ms: u64, effects: &mut Effects) {
        let version = self.version();
        let Some(subscription) = self.subscriptions.get_mut(&node) else {
            return;
        };
        let asked_at = subscription.asked_at;
        let newer = self
            .newest
            .as_ref()
            .filter(|newest| newest.version > subscription.known_version);
        let answer = match newer {
            Some(newest) => Message::ConfigUpdate(newest.clone()),
            None => Message::ConfigCurrent(ConfigCurrent {
                version,
                age_ms,
                asked_at,
            }),
        };
        subscription.known_version = subscription.known_version.max(version);
        effects.sends.push((node, answer));
    }

    /// Sends the newest configuration to all subscribers that do not have it, once.
    fn publish(&mut self, now: Time, effects: &mut Effects) {
        let Some(newest) = self
            .newest
            .as_ref()
            .filter(|newest| newest.version > self.published_version)
        else {
            return;
        };
        self.published_version = newest.version;
        for (node, subscription) in &mut self.subscriptions {
            if subscription.expires_at > now && subscription.known_version < newest.version {
                subscription.known_version = newest.version;
                effects
                    .sends
                    .push((*node, Message::ConfigUpdate(newest.clone())));
            }
        }
    }
}
