//! State that each member writes for itself and all members hold, spread by gossip: a last-writer-wins map with one
//! writer for each key (Shapiro, Preguiça, Baquero and Zawirski, "Conflict-free Replicated Data Types", SSS 2011).
//!
//! Items are joined by owner, key and stamp: the later stamp wins, and an owner never uses a stamp twice, so the join is
//! associative, commutative and idempotent. A removed item leaves a tombstone, kept until all members have it or its
//! retention is over. A replica that was away for longer than that fetches the state anew instead of merging.

use std::collections::BTreeMap;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::error::StoreError;

/// Keys of one owner, tombstones included; further ones are rejected.
const MAX_KEYS_PER_OWNER: usize = 4096;
/// Largest value, bytes.
const MAX_VALUE_BYTES: usize = 4096;
/// Longest name of a key, bytes.
const MAX_NAME_BYTES: usize = 256;
/// Approximate size of an item without name and value in a message, bytes.
const ITEM_OVERHEAD_BYTES: usize = 48;
/// Keys of the digests' checksums. They are no secret: the checksums find differences, not forgers.
const DIGEST_KEYS: (u64, u64) = (0x6d65_7267, 0x6564);

/// The order of an owner's writes: first its process by its incarnation, then the count of that process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The incarnation of the owner's process; grows with each start.
    pub incarnation: u64,
    /// Count of the process's writes.
    pub version: u64,
}

/// The key of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The member that writes the item.
    pub owner: u64,
    /// The owner's name for it.
    pub name: String,
}

/// A value, or the tombstone of one that was removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// When its owner wrote or removed it.
    pub stamp: Stamp,
    /// The value; `None` in a tombstone.
    pub value: Option<Vec<u8>>,
}

/// Summary of what a replica has of one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The owner.
    pub owner: u64,
    /// The latest stamp that was ever here, tombstones included.
    pub latest: Stamp,
    /// Checksum over the names and stamps of the values that are here now.
    pub checksum: u64,
}

/// The number of items of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemCounts {
    /// All items, tombstones included.
    pub items: usize,
    /// The tombstones among them.
    pub tombstones: usize,
}

/// One member's replica of the merged state. Times are seconds on its own clock.
#[derive(Clone, Debug, Default)]
pub struct MergedState {
    items: BTreeMap<Key, Item>,
    /// When each tombstone came to this replica.
    tombstone_since: BTreeMap<Key, f64>,
    /// The latest stamp of each owner that was ever here. An owner's items come in ascending order, so an item that is
    /// absent and not later was removed.
    latest: BTreeMap<u64, Stamp>,
    member: u64,
    /// The stamp of this member's last write.
    stamp: Stamp,
    /// The latest stamps of each owner at each other member, by its last digest.
    latest_at_peers: BTreeMap<u64, BTreeMap<u64, Stamp>>,
    /// When the last digest came.
    last_digest_at: f64,
    tombstone_retention_s: f64,
    /// Items of others that were rejected as too long or too many.
    pub rejected: u64,
}

impl MergedState {
    /// An empty replica of a member's process. Tombstones are kept for `tombstone_retention_s` at most.
    pub fn new(member: u64, incarnation: u64, tombstone_retention_s: f64, now: f64) -> MergedState {
        let stamp = Stamp {
            incarnation,
            version: 0,
        };
        MergedState {
            member,
            stamp,
            last_digest_at: now,
            tombstone_retention_s,
            ..MergedState::default()
        }
    }

    /// The value of an owner's key.
    pub fn get(&self, owner: u64, name: &str) -> Option<&[u8]> {
        let name = name.to_string();
        self.items.get(&Key { owner, name })?.value.as_deref()
    }

    /// All values whose name begins with a prefix, by owner.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a Key, &'a [u8])> {
        let values = self
            .items
            .iter()
            .filter_map(|(key, item)| Some((key, item.value.as_deref()?)));
        values.filter(move |(key, _)| key.name.starts_with(prefix))
    }

    /// Writes a value of this member, or removes it. False if that changes nothing or exceeds a limit.
    pub fn put(&mut self, now: f64, name: &str, value: Option<Vec<u8>>) -> bool {
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
        self.insert(now, key, item);
        true
    }

    fn key_count(&self, owner: u64) -> usize {
        self.items.keys().filter(|key| key.owner == owner).count()
    }

    fn insert(&mut self, now: f64, key: Key, item: Item) {
        self.raise_latest(key.owner, item.stamp);
        match item.value {
            None => _ = self.tombstone_since.entry(key.clone()).or_insert(now),
            Some(_) => _ = self.tombstone_since.remove(&key),
        }
        self.items.insert(key, item);
    }

    fn raise_latest(&mut self, owner: u64, stamp: Stamp) {
        let latest = self.latest.entry(owner).or_default();
        *latest = (*latest).max(stamp);
    }

    /// Joins an item of another replica; the later stamp wins. False if the item exceeds a limit.
    pub fn join(&mut self, now: f64, key: Key, item: Item) -> bool {
        let is_long = is_too_long(item.value.as_ref()) || key.name.len() > MAX_NAME_BYTES;
        let is_excess =
            !self.items.contains_key(&key) && self.key_count(key.owner) >= MAX_KEYS_PER_OWNER;
        if is_long || is_excess {
            self.rejected += 1;
            return false;
        }
        if key.owner == self.member {
            self.readopt(now, key, item);
            return true;
        }
        match self.items.get(&key) {
            Some(own) if own.stamp >= item.stamp => {}
            // A replica that was away must not bring back what was removed, after its tombstone went.
            None if self.has_seen(key.owner, item.stamp) => {}
            _ => self.insert(now, key, item),
        }
        true
    }

    /// This member's own item from before it lost its disk: it continues under the stamps of this process.
    fn readopt(&mut self, now: f64, key: Key, item: Item) {
        let is_earlier = item.stamp.incarnation < self.stamp.incarnation;
        if is_earlier && !self.items.contains_key(&key) {
            self.put(now, &key.name, item.value);
        }
    }

    fn has_seen(&self, owner: u64, stamp: Stamp) -> bool {
        self.latest
            .get(&owner)
            .is_some_and(|latest| stamp <= *latest)
    }

    /// Summary of this replica, by owner.
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

    /// Takes another member's digest. If none came for longer than tombstones are kept, this replica drops what it has
    /// of others and fetches it anew: it could bring back what was removed meanwhile.
    pub fn receive_digest(&mut self, now: f64, from: u64, digest: &[Digest]) {
        if now > self.last_digest_at + self.tombstone_retention_s {
            self.drop_others();
        }
        self.last_digest_at = now;
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
        self.tombstone_since.retain(|key, _| key.owner == member);
        self.latest.retain(|owner, _| *owner == member);
    }

    /// The items that a replica with that digest lacks, in ascending order of their stamps, up to `max_bytes`.
    pub fn delta(&self, digest: &[Digest], max_bytes: usize) -> Vec<(Key, Item)> {
        let theirs: BTreeMap<u64, &Digest> =
            digest.iter().map(|digest| (digest.owner, digest)).collect();
        let mut items: Vec<(&Key, &Item)> = Vec::new();
        for own in self.digest() {
            let other = theirs.get(&own.owner).copied();
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

    /// An owner's items for a replica with another digest: the later ones if it is behind; all if only the checksum
    /// differs.
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

    /// Removes the tombstones that all `others` have, or whose retention is over.
    pub fn collect_tombstones(&mut self, now: f64, others: &[u64]) {
        let expired: Vec<Key> = self
            .tombstone_since
            .iter()
            .filter(|(key, since)| self.is_collectable(now, key, **since, others))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.tombstone_since.remove(&key);
            self.items.remove(&key);
        }
    }

    fn is_collectable(&self, now: f64, key: &Key, since: f64, others: &[u64]) -> bool {
        let Some(item) = self.items.get(key) else {
            return false;
        };
        let has_it = |member: &u64| {
            self.latest_at_peers
                .get(member)
                .and_then(|latest| latest.get(&key.owner))
                .is_some_and(|latest| *latest >= item.stamp)
        };
        now > since + self.tombstone_retention_s || others.iter().all(has_it)
    }

    /// The number of items and tombstones.
    pub fn count(&self) -> ItemCounts {
        ItemCounts {
            items: self.items.len(),
            tombstones: self.tombstone_since.len(),
        }
    }

    /// The replica as it is saved on disk.
    pub fn encode(&self) -> Vec<u8> {
        let items: Vec<(&Key, &Item)> = self.items.iter().collect();
        // Serializing to a vector fails only for types without a known length, and there is none here.
        postcard::to_allocvec(&(&self.latest, items)).unwrap_or_default()
    }

    /// Takes a saved replica, `age_s` old. Of one that is older than tombstones are kept, only this member's own items
    /// are taken.
    ///
    /// # Errors
    ///
    /// [`StoreError::InvalidState`] if the bytes are no saved replica; nothing is taken then.
    pub fn restore(&mut self, now: f64, bytes: &[u8], age_s: f64) -> Result<(), StoreError> {
        type SavedReplica = (BTreeMap<u64, Stamp>, Vec<(Key, Item)>);
        let (latest, items) =
            postcard::from_bytes::<SavedReplica>(bytes).map_err(|_| StoreError::InvalidState)?;
        let is_recent = (0.0..=self.tombstone_retention_s).contains(&age_s);
        for (key, item) in items {
            if is_recent || key.owner == self.member {
                self.join(now, key, item);
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
