//! Gossip of the merged state (anti-entropy; Demers et al., PODC 1987): one other member at a time gets this one's
//! digest, answers with a bounded number of items that this one lacks, and with its own digest.

use rand::Rng;

use super::frames::FrameBody;
use super::Node;
use crate::merged_state::{Digest, Item, Key};

/// Mean interval of exchanges, seconds; each is drawn from half to one and a half of it.
const GOSSIP_INTERVAL_S: f64 = 0.5;
/// Items of one message, bytes: 16 KiB/s at most, so that catching up does not compete with work items.
const MAX_GOSSIP_BYTES: usize = 8 << 10;

impl Node {
    /// Sends the digest to another member, when it is due.
    pub(super) fn gossip(&mut self, now: f64) {
        if now < self.next_gossip {
            return;
        }
        self.next_gossip = now + GOSSIP_INTERVAL_S * (0.5 + self.random.random::<f64>());
        let others = self.others();
        if others.is_empty() {
            return;
        }
        let to = others[self.random.random_range(0..others.len())];
        let body = FrameBody::MergedDigest(self.merged.digest());
        self.send(to, &body);
    }

    /// Answers a digest with the items that its sender lacks, and this member's digest.
    pub(super) fn answer_digest(&mut self, now: f64, from: u64, digest: &[Digest]) {
        self.merged.receive_digest(now, from, digest);
        let items = self.merged.delta(digest, MAX_GOSSIP_BYTES);
        let body = FrameBody::MergedItems {
            digest: self.merged.digest(),
            items,
        };
        self.send(from, &body);
    }

    /// Joins items. Those that come with a digest are answered with what its sender lacks; that answer carries no
    /// digest, so the exchange ends.
    pub(super) fn receive_items(
        &mut self,
        now: f64,
        from: u64,
        digest: &[Digest],
        items: Vec<(Key, Item)>,
    ) {
        for (key, item) in items {
            if self.members.contains(&key.owner) {
                self.changed |= self.merged.join(now, key, item);
            }
        }
        if digest.is_empty() {
            return;
        }
        self.merged.receive_digest(now, from, digest);
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
