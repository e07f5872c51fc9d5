//! The processes that have subscribed here.

use sagetrail_protocol::distribution::SUBSCRIPTION_MS;
use sagetrail_protocol::{NodeId, Time};
use std::collections::BTreeMap;

/// The most children of a relay; more go to other parents. A core process takes all.
pub const MAX_CHILDREN: usize = 64;

/// Subscriptions, each until it must have been renewed.
#[derive(Debug, Default)]
pub(crate) struct Children {
    until: BTreeMap<NodeId, Time>,
}

impl Children {
    /// Takes or renews a subscription; false where there are `most` others.
    pub(crate) fn subscribe(&mut self, child: NodeId, now: Time, most: usize) -> bool {
        self.forget_lapsed(now);
        if !self.until.contains_key(&child) && self.until.len() >= most {
            return false;
        }
        self.until.insert(child, now.plus_millis(SUBSCRIPTION_MS));
        true
    }

    /// Those whose subscription lasts.
    pub(crate) fn current(&mut self, now: Time) -> impl Iterator<Item = NodeId> + '_ {
        self.forget_lapsed(now);
        self.until.keys().copied()
    }

    fn forget_lapsed(&mut self, now: Time) {
        self.until.retain(|_, until| *until > now);
    }
}
