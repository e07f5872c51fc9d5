//! Anti-entropy of the merged state by gossip (Demers et al., PODC 1987). This member sends its digest to one other
//! member at a time, which replies with its own digest and a bounded number of the items that this member lacks.

use rand::Rng;

use super::frames::FrameBody;
use super::Node;
use crate::merged_state::{Digest, Item, Key};

/// Mean interval between two exchanges, seconds. Each interval is drawn between 0.5 and 1.5 times this value.
const GOSSIP_INTERVAL_S: f64 = 0.5;
/// Largest size of the items in one message, bytes. At one exchange in 0.5 s this is at most 16 KiB/s, so that catching
/// up does not compete with work items.
const MAX_GOSSIP_BYTES: usize = 8 << 10;

impl Node {
    /// Sends this member's digest to a random other member if an exchange is due.
    pub(super) fn gossip(&mut self, now_s: f64) {
        if now_s < self.next_gossip_s {
            return;
        }
        self.next_gossip_s = now_s + GOSSIP_INTERVAL_S * (0.5 + self.random.random::<f64>());
        let others = self.others();
        if others.is_empty() {
            return;
        }
        let to = others[self.random.random_range(0..others.len())];
        let body = FrameBody::MergedDigest(self.merged.digest());
        self.send(to, &body);
    }

    /// Replies to a digest with the items that its sender lacks, and with this member's digest.
    pub(super) fn answer_digest(&mut self, now_s: f64, from: u64, digest: &[Digest]) {
        self.merged.receive_digest(now_s, from, digest);
        let items = self.merged.delta(digest, MAX_GOSSIP_BYTES);
        let body = FrameBody::MergedItems {
            digest: self.merged.digest(),
            items,
        };
        self.send(from, &body);
    }

    /// Merges received items. If they come with a digest, this member replies with the items that their sender lacks.
    /// That reply carries no digest, which ends the exchange.
    pub(super) fn receive_items(
        &mut self,
        now_s: f64,
        from: u64,
        digest: &[Digest],
        items: Vec<(Key, Item)>,
    ) {
        for (key, item) in items {
            if self.members.contains(&key.owner) {
                self.changed |= self.merged.join(now_s, key, item);
            }
        }
        if digest.is_empty() {
            return;
        }
        self.merged.receive_digest(now_s, from, digest);
        let items = self.merged.delta(digest, MAX_GOSSIP_BYTES);
        if !items.is_empty() {
            let body = FrameBody::MergedItems {
                digest: Vec::new(),
                items,
            };
            self.send(from, &body);
        }
    }
}
