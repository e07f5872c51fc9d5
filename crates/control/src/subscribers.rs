//! Who is sent each new configuration.
use crate::effects::Effects;
use sagetrail_wire::distribution::{ConfigCurrent, ConfigUpdate, Subscribe, SUBSCRIPTION_MS};
use sagetrail_wire::service::ConfigInForce;
use sagetrail_wire::{Blob, Message, NodeId, Time};
use std::collections::BTreeMap;

/// So many processes are served at once.
const MAX_SUBSCRIBERS: usize = 4096;

#[derive(Debug)]
struct Subscription {
    have: u64,
    expires: Time,
}

/// All subscriptions at this process.
#[derive(Debug, Default)]
pub struct Subscribers {
    subscriptions: BTreeMap<NodeId, Subscription>,
}

impl Subscribers {
    /// A process asks for what is newer than it has.
    pub fn subscribe(
        &mut self, now: Time, from: NodeId, subscribe: &Subscribe, config: Option<&ConfigInForce>,
        effects: &mut Effects,
    ) {
        self.subscriptions.retain(|_, subscription| subscription.expires > now);
        let expires = now.plus_millis(SUBSCRIPTION_MS);
        let known = self.subscriptions.contains_key(&from);
        if known || self.subscriptions.len() < MAX_SUBSCRIBERS {
            self.subscriptions.insert(from, Subscription { have: subscribe.have, expires });
        }
        let version = config.map_or(0, |config| config.version);
        match config.filter(|config| config.version > subscribe.have) {
            Some(config) => effects.sends.push((from, update(config))),
            None => effects.sends.push((from, Message::ConfigCurrent(ConfigCurrent { version, age_ms: 0 }))),
        }
    }

    /// A newer configuration is in force.
    pub fn push(&mut self, now: Time, config: &ConfigInForce, effects: &mut Effects) {
        for (node, subscription) in &mut self.subscriptions {
            if subscription.expires > now && subscription.have < config.version {
                subscription.have = config.version;
                effects.sends.push((*node, update(config)));
            }
        }
    }
}

fn update(config: &ConfigInForce) -> Message {
    let document = Blob(config.document.to_vec());
    Message::ConfigUpdate(ConfigUpdate { version: config.version, document })
}
