//! Exchange of merged state: one other is asked at a time, and gives a bounded part.

use super::frames::Body;
use super::Node;
use crate::merged::{Digest, Item, Key};
use rand::Rng;

/// One other is asked so often, seconds, and gives so many bytes at once. 16 KiB a second at the most, so that
/// catching up never competes with work items.
const GOSSIP_INTERVAL_S: f64 = 0.5;
const MAX_GOSSIP_BYTES: usize = 8 << 10;

impl Node {
    /// Sends what is here to one other, when it is due.
    pub(super) fn gossip(&mut self, now: f64) {
        if now < self.next_merge {
            return;
        }
        self.next_merge = now + GOSSIP_INTERVAL_S * (0.5 + self.random.random::<f64>());
        let others = self.others();
        if others.is_empty() {
            return;
        }
        let to = others[self.random.random_range(0..others.len())];
        let body = Body::MergedDigest(self.merged.digest());
        self.send(to, &body);
    }

    pub(super) fn answer_digest(&mut self, now: f64, from: u64, have: &[Digest]) {
        self.merged.heard(now, from, have);
        let items = self.merged.beyond(have, MAX_GOSSIP_BYTES);
        let body = Body::MergedItems {
            have: self.merged.digest(),
            items,
        };
        self.send(from, &body);
    }

    /// The answer to a question brings what the asker lacks, and asks for what it has beyond; the answer to that says
    /// no more.
    pub(super) fn take_items(
        &mut self,
        now: f64,
        from: u64,
        have: &[Digest],
        items: Vec<(Key, Item)>,
    ) {
        for (key, item) in items {
            if self.members.contains(&key.owner) {
                self.changed |= self.merged.join(now, key, item);
            }
        }
        if have.is_empty() {
            return;
        }
        self.merged.heard(now, from, have);
        let items = self.merged.beyond(have, MAX_GOSSIP_BYTES);
        if !items.is_empty() {
            self.send(
                from,
                &Body::MergedItems {
                    have: Vec::new(),
                    items,
                },
            );
        }
    }
}
