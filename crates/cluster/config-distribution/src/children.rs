//! The child processes that are subscribed to this process.

use sagetrail_protocol::distribution::SUBSCRIPTION_MS;
use sagetrail_protocol::{NodeId, Time};
use std::collections::BTreeMap;

/// The maximum number of children of a relay. Further children subscribe to other parents. A core process accepts any
/// number of children.
pub const MAX_CHILDREN: usize = 64;

/// The subscriptions of the children.
#[derive(Debug, Default)]
pub(crate) struct Children {
    /// The time at which each subscription expires unless it is renewed.
    expires_at: BTreeMap<NodeId, Time>,
}

impl Children {
    /// Accepts or renews a subscription. Returns false if there are already `max_children` others.
    pub(crate) fn subscribe(&mut self, child: NodeId, now: Time, max_children: usize) -> bool {
        self.remove_expired(now);
        if !self.expires_at.contains_key(&child) && self.expires_at.len() >= max_children {
            return false;
        }
        self.expires_at
            .insert(child, now.plus_millis(SUBSCRIPTION_MS));
        true
    }

    /// Returns the children whose subscription has not expired.
    pub(crate) fn current(&mut self, now: Time) -> impl Iterator<Item = NodeId> + '_ {
        self.remove_expired(now);
        self.expires_at.keys().copied()
    }

    fn remove_expired(&mut self, now: Time) {
        self.expires_at.retain(|_, expires_at| *expires_at > now);
    }
}
