//! The processes that are subscribed to this one.

use sagetrail_protocol::distribution::SUBSCRIPTION_MS;
use sagetrail_protocol::{NodeId, Time};
use std::collections::BTreeMap;

/// The most children of a relay; more go to other parents. A core process takes all.
pub const MAX_CHILDREN: usize = 64;

/// Subscriptions of children.
#[derive(Debug, Default)]
pub(crate) struct Children {
    /// When each subscription ends unless it is renewed.
    expires_at: BTreeMap<NodeId, Time>,
}

impl Children {
    /// Takes or renews a subscription; false if there are `max_children` others.
    pub(crate) fn subscribe(&mut self, child: NodeId, now: Time, max_children: usize) -> bool {
        self.remove_expired(now);
        if !self.expires_at.contains_key(&child) && self.expires_at.len() >= max_children {
            return false;
        }
        self.expires_at
            .insert(child, now.plus_millis(SUBSCRIPTION_MS));
        true
    }

    /// The children with a subscription.
    pub(crate) fn current(&mut self, now: Time) -> impl Iterator<Item = NodeId> + '_ {
        self.remove_expired(now);
        self.expires_at.keys().copied()
    }

    fn remove_expired(&mut self, now: Time) {
        self.expires_at.retain(|_, expires_at| *expires_at > now);
    }
}
