//! State that each member writes for itself, and that is replicated to all members by gossip. It is a last-writer-wins
//! map with one writer for each key (Shapiro, Preguiça, Baquero and Zawirski, "Conflict-free Replicated Data Types",
//! SSS 2011).
//!
//! Items are merged by owner, key and stamp. The later stamp wins, and an owner never uses a stamp twice, so the merge
//! is associative, commutative and idempotent. A removed item leaves a tombstone, which is kept until all members have
//! it or its retention time is over. A replica that was disconnected for longer than the retention time drops the items
//! of other members and fetches them again instead of merging.

use std::collections::BTreeMap;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::error::StoreError;

/// Largest number of keys of one owner, including tombstones. Further keys are rejected.
const MAX_KEYS_PER_OWNER: usize = 4096;
/// Largest size of a value, bytes.
const MAX_VALUE_BYTES: usize = 4096;
/// Largest size of the name of a key, bytes.
const MAX_NAME_BYTES: usize = 256;
/// Approximate size of an item in a message without its name and value, bytes.
const ITEM_OVERHEAD_BYTES: usize = 48;
/// Keys of the digests' checksums. They are not secret: the checksums detect differences, not forgery.
const DIGEST_KEYS: (u64, u64) = (0x6d65_7267, 0x6564);

/// Version of an owner's write. Stamps are ordered by the incarnation of the owner's process, then by the number of the
/// write in that process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Incarnation of the owner's process, which increases with each start.
    pub incarnation: u64,
    /// Number of the write in the process.
    pub version: u64,
}

/// The key of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Identifier of the member that writes the item.
    pub owner: u64,
    /// Name that the owner has given to the item.
    pub name: String,
}

/// A value, or the tombstone of a removed value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Stamp of the owner's last write or removal of the item.
    pub stamp: Stamp,
    /// The value; `None` in a tombstone.
    pub value: Option<Vec<u8>>,
}

/// Digest of a replica's items of one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Identifier of the owner.
    pub owner: u64,
    /// The latest stamp that the replica has ever held, including tombstones.
    pub latest: Stamp,
    /// Checksum over the names and stamps of the values that the replica holds now, without tombstones.
    pub checksum: u64,
}

/// The number of items of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemCounts {
    /// Number of all items, including tombstones.
    pub items: usize,
    /// Number of tombstones.
    pub tombstones: usize,
}

/// One member's replica of the merged state. Times are in seconds on the member's own clock.
#[derive(Clone, Debug, Default)]
pub struct MergedState {
    items: BTreeMap<Key, Item>,
    /// When this replica received each tombstone, seconds.
    tombstone_received_s: BTreeMap<Key, f64>,
    /// The latest stamp that this replica has ever held of each owner. An owner's items arrive in ascending order of
    /// their stamps, so an item that is absent here and whose stamp is not later was removed.
    latest: BTreeMap<u64, Stamp>,
    member: u64,
    /// The stamp of this member's last write.
    stamp: Stamp,
    /// The latest stamp of each owner at each other member, from that member's last digest.
    latest_at_peers: BTreeMap<u64, BTreeMap<u64, Stamp>>,
    /// When the last digest of another member arrived, seconds.
    last_digest_s: f64,
    tombstone_retention_s: f64,
    /// Number of received items that were rejected because they or the number of keys exceeded a limit.
    pub rejected: u64,
}

impl MergedState {
    /// Creates an empty replica of a member's process. Tombstones are kept for at most `tombstone_retention_s` seconds.
    pub fn new(
        member: u64,
        incarnation: u64,
        tombstone_retention_s: f64,
        now_s: f64,
    ) -> MergedState {
        let stamp = Stamp {
            incarnation,
            version: 0,
        };
        MergedState {
            member,
            stamp,
            last_digest_s: now_s,
            tombstone_retention_s,
            ..MergedState::default()
        }
    }

    /// Returns the value of an owner's key.
    pub fn get(&self, owner: u64, name: &str) -> Option<&[u8]> {
        let name = name.to_string();
        self.items.get(&Key { owner, name })?.value.as_deref()
    }

    /// Returns all values whose name begins with a prefix, in order of their owners.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a Key, &'a [u8])> {
        let values = self
            .items
            .iter()
            .filter_map(|(key, item)| Some((key, item.value.as_deref()?)));
        values.filter(move |(key, _)| key.name.starts_with(prefix))
    }

    /// Writes a value of this member, or removes it if `value` is `None`. Returns false if that changes nothing or
    /// exceeds a limit.
    pub fn put(&mut self, now_s: f64, name: &str, value: Option<Vec<u8>>) -> bool {
        let key = Key {
            owner: self.member,
            name: name.to_string(),
        };
        let is_known = self.items.contains_key(&key);
        let old_value = self.items.get(&key).and_then(|item| item.value.as_ref());
        let is_unchanged = old_value == value.as_ref();
        let has_room = is_known || self.key_count(self.member) < MAX_KEYS_PER_OWNER;
        if is_unchanged || !has_room || is_too_long(value.as_ref()) {
            return false;
        }
        self.stamp.version += 1;
        let item = Item {
            stamp: self.stamp,
            value,
        };
        self.insert(now_s, key, item);
        true
    }

    fn key_count(&self, owner: u64) -> usize {
        self.items.keys().filter(|key| key.owner == owner).count()
    }

    fn insert(&mut self, now_s: f64, key: Key, item: Item) {
        self.raise_latest(key.owner, item.stamp);
        match item.value {
            None => {
                _ = self
                    .tombstone_received_s
                    .entry(key.clone())
                    .or_insert(now_s)
            }
            Some(_) => _ = self.tombstone_received_s.remove(&key),
        }
        self.items.insert(key, item);
    }

    fn raise_latest(&mut self, owner: u64, stamp: Stamp) {
        let latest = self.latest.entry(owner).or_default();
        *latest = (*latest).max(stamp);
    }

    /// Merges an item of another replica; the later stamp wins. Returns false if the item exceeds a limit.
    pub fn join(&mut self, now_s: f64, key: Key, item: Item) -> bool {
        let exceeds_size_limit =
            is_too_long(item.value.as_ref()) || key.name.len() > MAX_NAME_BYTES;
        let exceeds_key_limit =
            !self.items.contains_key(&key) && self.key_count(key.owner) >= MAX_KEYS_PER_OWNER;
        if exceeds_size_limit || exceeds_key_limit {
            self.rejected += 1;
            return false;
        }
        if key.owner == self.member {
            self.take_over_own_item(now_s, key, item);
            return true;
        }
        match self.items.get(&key) {
            Some(own) if own.stamp >= item.stamp => {}
            // A replica that was disconnected must not bring back a removed item whose tombstone has been collected.
            None if self.has_seen(key.owner, item.stamp) => {}
            _ => self.insert(now_s, key, item),
        }
        true
    }

    /// Takes over an item that an earlier process of this member wrote, and that this process does not have because the
    /// disk was lost. The item gets a new stamp of this process.
    fn take_over_own_item(&mut self, now_s: f64, key: Key, item: Item) {
        let is_earlier = item.stamp.incarnation < self.stamp.incarnation;
        if is_earlier && !self.items.contains_key(&key) {
            self.put(now_s, &key.name, item.value);
        }
    }

    fn has_seen(&self, owner: u64, stamp: Stamp) -> bool {
        self.latest
            .get(&owner)
            .is_some_and(|latest| stamp <= *latest)
    }

    /// Returns the digests of this replica, one for each owner.
    pub fn digest(&self) -> Vec<Digest> {
        let new_hasher = || SipHasher13::new_with_keys(DIGEST_KEYS.0, DIGEST_KEYS.1);
        let mut hashers: BTreeMap<u64, SipHasher13> = self
            .latest
            .keys()
            .map(|owner| (*owner, new_hasher()))
            .collect();
        for (key, item) in self.items.iter().filter(|(_, item)| item.value.is_some()) {
            let Some(hasher) = hashers.get_mut(&key.owner) else {
                continue;
            };
            hasher.write(key.name.as_bytes());
            hasher.write_u64(item.stamp.incarnation);
            hasher.write_u64(item.stamp.version);
        }
        self.latest
            .iter()
            .zip(hashers.values())
            .map(|((owner, latest), hasher)| Digest {
                owner: *owner,
                latest: *latest,
                checksum: hasher.finish(),
            })
            .collect()
    }

    /// Processes another member's digest. If no digest has arrived for longer than tombstones are kept, this replica
    /// drops the items of other members and fetches them again, because it could bring back items that were removed
    /// meanwhile.
    pub fn receive_digest(&mut self, now_s: f64, from: u64, digest: &[Digest]) {
        if now_s > self.last_digest_s + self.tombstone_retention_s {
            self.drop_others();
        }
        self.last_digest_s = now_s;
        let latest = digest
            .iter()
            .map(|digest| (digest.owner, digest.latest))
            .collect();
        self.latest_at_peers.insert(from, latest);
    }

    /// Drops all items of other members.
    pub fn drop_others(&mut self) {
        let member = self.member;
        self.items.retain(|key, _| key.owner == member);
        self.tombstone_received_s
            .retain(|key, _| key.owner == member);
        self.latest.retain(|owner, _| *owner == member);
    }

    /// Returns the items that a replica with this digest lacks, in ascending order of their stamps, up to `max_bytes`.
    pub fn delta(&self, digest: &[Digest], max_bytes: usize) -> Vec<(Key, Item)> {
        let peer_digests: BTreeMap<u64, &Digest> =
            digest.iter().map(|digest| (digest.owner, digest)).collect();
        let mut items: Vec<(&Key, &Item)> = Vec::new();
        for own in self.digest() {
            let other = peer_digests.get(&own.owner).copied();
            if other != Some(&own) {
                items.extend(self.items_for(&own, other));
            }
        }
        items.sort_by_key(|(_, item)| item.stamp);
        let mut bytes_left = max_bytes;
        let fits = |(key, item): &&(&Key, &Item)| {
            bytes_left = bytes_left.saturating_sub(item_bytes(key, item));
            bytes_left > 0
        };
        items
            .iter()
            .take_while(fits)
            .map(|(key, item)| ((*key).clone(), (*item).clone()))
            .collect()
    }

    /// Returns an owner's items for a replica with another digest: the items with later stamps if that replica's latest
    /// stamp is earlier, otherwise all items.
    fn items_for<'a>(
        &'a self,
        own: &Digest,
        other: Option<&Digest>,
    ) -> impl Iterator<Item = (&'a Key, &'a Item)> {
        let owner = own.owner;
        let after = other
            .filter(|other| other.latest < own.latest)
            .map(|other| other.latest);
        self.items.iter().filter(move |(key, item)| {
            key.owner == owner && after.is_none_or(|after| item.stamp > after)
        })
    }

    /// Removes the tombstones that all `others` have, or whose retention time is over.
    pub fn collect_tombstones(&mut self, now_s: f64, others: &[u64]) {
        let expired: Vec<Key> = self
            .tombstone_received_s
            .iter()
            .filter(|(key, received_s)| self.is_collectable(now_s, key, **received_s, others))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.tombstone_received_s.remove(&key);
            self.items.remove(&key);
        }
    }

    fn is_collectable(&self, now_s: f64, key: &Key, received_s: f64, others: &[u64]) -> bool {
        let Some(item) = self.items.get(key) else {
            return false;
        };
        let has_tombstone = |member: &u64| {
            self.latest_at_peers
                .get(member)
                .and_then(|latest| latest.get(&key.owner))
                .is_some_and(|latest| *latest >= item.stamp)
        };
        now_s > received_s + self.tombstone_retention_s || others.iter().all(has_tombstone)
    }

    /// Returns the number of items and tombstones.
    pub fn count(&self) -> ItemCounts {
        ItemCounts {
            items: self.items.len(),
            tombstones: self.tombstone_received_s.len(),
        }
    }

    /// Encodes the replica for the disk.
    pub fn encode(&self) -> Vec<u8> {
        let items: Vec<(&Key, &Item)> = self.items.iter().collect();
        // Serializing to a vector fails only for sequences of unknown length, and the replica contains none.
        postcard::to_allocvec(&(&self.latest, items)).unwrap_or_default()
    }

    /// Merges a saved replica that was saved `age_s` seconds ago. If it is older than the retention time of tombstones,
    /// only this member's own items are merged.
    ///
    /// # Errors
    ///
    /// [`StoreError::InvalidState`] if the bytes cannot be decoded. The replica is unchanged then.
    pub fn restore(&mut self, now_s: f64, bytes: &[u8], age_s: f64) -> Result<(), StoreError> {
        type SavedReplica = (BTreeMap<u64, Stamp>, Vec<(Key, Item)>);
        let (latest, items) =
            postcard::from_bytes::<SavedReplica>(bytes).map_err(|_| StoreError::InvalidState)?;
        let is_recent = (0.0..=self.tombstone_retention_s).contains(&age_s);
        for (key, item) in items {
            if is_recent || key.owner == self.member {
                self.join(now_s, key, item);
            }
        }
        if is_recent {
            for (owner, stamp) in latest {
                self.raise_latest(owner, stamp);
            }
        }
        Ok(())
    }
}

fn is_too_long(value: Option<&Vec<u8>>) -> bool {
    value.is_some_and(|value| value.len() > MAX_VALUE_BYTES)
}

/// Approximate size of an item in a message, bytes.
fn item_bytes(key: &Key, item: &Item) -> usize {
    ITEM_OVERHEAD_BYTES + key.name.len() + item.value.as_ref().map_or(0, Vec::len)
}
