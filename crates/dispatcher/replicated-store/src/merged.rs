//! State that each member writes by itself and all hold: joined by owner, key and stamp. The join takes the later
//! stamp, and stamps of one owner's key are never the same twice, so it is associative, commutative and idempotent.
//! What its owner drops leaves a mark, kept until all have it or a stated time is over; a copy that was away for longer
//! is fetched anew, never merged.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Keys of one owner; more are not kept.
const KEYS_MOST: usize = 4096;
const VALUE_MOST: usize = 4096;

/// When its owner wrote it: the process by its incarnation, then that process's count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    pub incarnation: u64,
    pub version: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    pub owner: u64,
    pub name: String,
}

/// A value, or the mark of one that was dropped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub stamp: Stamp,
    pub value: Option<Vec<u8>>,
}

/// What one has of an owner: the last stamp it ever had, marks and all, and a checksum over what is there now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    pub owner: u64,
    pub last: Stamp,
    pub sum: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Merged {
    items: BTreeMap<Key, Item>,
    /// When this member first had a mark, on its own clock.
    marked: BTreeMap<Key, f64>,
    /// The last stamp of each owner that was ever here. An owner's items come oldest first, so what is not here and
    /// is no later was dropped.
    lasts: BTreeMap<u64, Stamp>,
    me: u64,
    stamp: Stamp,
    /// What each other was last heard to have of each owner.
    have: BTreeMap<u64, BTreeMap<u64, Stamp>>,
    /// When anything was last heard of others' copies.
    heard: f64,
    keep_s: f64,
    pub refused: u64,
}

impl Merged {
    /// `keep_s`: marks are kept for so long at the most, in seconds.
    pub fn new(me: u64, incarnation: u64, keep_s: f64, now: f64) -> Merged {
        let stamp = Stamp {
            incarnation,
            version: 0,
        };
        Merged {
            me,
            stamp,
            heard: now,
            keep_s,
            ..Merged::default()
        }
    }

    pub fn get(&self, owner: u64, name: &str) -> Option<&[u8]> {
        self.items
            .get(&Key {
                owner,
                name: name.to_string(),
            })?
            .value
            .as_deref()
    }

    /// All values whose name begins like this, by owner.
    pub fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a Key, &'a [u8])> {
        let live = self
            .items
            .iter()
            .filter_map(|(key, item)| Some((key, item.value.as_deref()?)));
        live.filter(move |(key, _)| key.name.starts_with(prefix))
    }

    /// Writes a value of this member's own, or drops it. False if nothing changed or there is no room.
    pub fn put(&mut self, now: f64, name: &str, value: Option<Vec<u8>>) -> bool {
        let key = Key {
            owner: self.me,
            name: name.to_string(),
        };
        let before = self.items.get(&key).map(|item| &item.value);
        let room = before.is_some()
            || self.items.keys().filter(|k| k.owner == self.me).count() < KEYS_MOST;
        let same =
            before.is_some_and(|before| *before == value) || before.is_none() && value.is_none();
        if same || !room || value.as_ref().is_some_and(|value| value.len() > VALUE_MOST) {
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

    fn insert(&mut self, now: f64, key: Key, item: Item) {
        let last = self.lasts.entry(key.owner).or_default();
        *last = (*last).max(item.stamp);
        match item.value {
            None => _ = self.marked.entry(key.clone()).or_insert(now),
            Some(_) => _ = self.marked.remove(&key),
        }
        self.items.insert(key, item);
    }

    /// Joins an item from elsewhere; the later stamp stays. False for one that no member can have.
    pub fn join(&mut self, now: f64, key: Key, item: Item) -> bool {
        let long = item
            .value
            .as_ref()
            .is_some_and(|value| value.len() > VALUE_MOST)
            || key.name.len() > 256;
        let more = !self.items.contains_key(&key)
            && self.items.keys().filter(|k| k.owner == key.owner).count() >= KEYS_MOST;
        if long || more {
            self.refused += 1;
            return false;
        }
        if key.owner == self.me {
            // Its own from before its disk was lost: it goes on under this process's stamps.
            if item.stamp.incarnation < self.stamp.incarnation && !self.items.contains_key(&key) {
                self.put(now, &key.name, item.value);
            }
            return true;
        }
        match self.items.get(&key) {
            Some(mine) if mine.stamp >= item.stamp => {}
            // Guards against a copy that was away bringing back what was dropped, marks and all.
            None if self
                .lasts
                .get(&key.owner)
                .is_some_and(|last| item.stamp <= *last) => {}
            _ => self.insert(now, key, item),
        }
        true
    }

    pub fn digest(&self) -> Vec<Digest> {
        let fresh = |(owner, last): (&u64, &Stamp)| {
            (
                *owner,
                (*last, SipHasher13::new_with_keys(0x6d65_7267, 0x6564)),
            )
        };
        let mut all: BTreeMap<u64, (Stamp, SipHasher13)> = self.lasts.iter().map(fresh).collect();
        for (key, item) in self.items.iter().filter(|(_, item)| item.value.is_some()) {
            let Some((_, hasher)) = all.get_mut(&key.owner) else {
                continue;
            };
            hasher.write(key.name.as_bytes());
            hasher.write_u64(item.stamp.incarnation);
            hasher.write_u64(item.stamp.version);
        }
        all.into_iter()
            .map(|(owner, (last, hasher))| Digest {
                owner,
                last,
                sum: hasher.finish(),
            })
            .collect()
    }

    /// What another has, by its digest. Guards against a copy that was away for longer than marks are kept: it would
    /// bring back what was dropped meanwhile. This one's own is dropped then, and fetched anew.
    pub fn heard(&mut self, now: f64, from: u64, digest: &[Digest]) {
        if now > self.heard + self.keep_s {
            self.forget_others();
        }
        self.heard = now;
        let have = digest.iter().map(|d| (d.owner, d.last)).collect();
        self.have.insert(from, have);
    }

    pub fn forget_others(&mut self) {
        let me = self.me;
        self.items.retain(|key, _| key.owner == me);
        self.marked.retain(|key, _| key.owner == me);
        self.lasts.retain(|owner, _| *owner == me);
    }

    /// Items of owners in which that digest differs, oldest stamps first, up to so many bytes.
    pub fn beyond(&self, digest: &[Digest], most: usize) -> Vec<(Key, Item)> {
        let theirs: BTreeMap<u64, &Digest> = digest.iter().map(|d| (d.owner, d)).collect();
        let mine = self.digest();
        let mut items: Vec<(&Key, &Item)> = Vec::new();
        for d in mine
            .iter()
            .filter(|d| theirs.get(&d.owner).is_none_or(|other| other != d))
        {
            // Where they are behind, only what is new; where the last is the same and the sum is not, all.
            let after = theirs
                .get(&d.owner)
                .filter(|other| other.last < d.last)
                .map(|other| other.last);
            let of = self.items.iter().filter(|(key, _)| key.owner == d.owner);
            items.extend(of.filter(|(_, item)| after.is_none_or(|after| item.stamp > after)));
        }
        items.sort_by_key(|(_, item)| item.stamp);
        let mut left = most;
        let fits = |item: &&(&Key, &Item)| {
            let size = 48 + item.0.name.len() + item.1.value.as_ref().map_or(0, Vec::len);
            left = left.saturating_sub(size);
            left > 0
        };
        items
            .iter()
            .take_while(fits)
            .map(|(key, item)| ((*key).clone(), (*item).clone()))
            .collect()
    }

    /// Drops marks that all others have, or whose time is over.
    pub fn sweep(&mut self, now: f64, others: &[u64]) {
        let (items, have, keep_s) = (&self.items, &self.have, self.keep_s);
        let gone = |(key, since): (&Key, &f64)| {
            let stamp = items.get(key).map(|item| item.stamp)?;
            let has = |who: &u64| {
                have.get(who)
                    .and_then(|of| of.get(&key.owner))
                    .is_some_and(|s| *s >= stamp)
            };
            (now > since + keep_s || others.iter().all(has)).then(|| key.clone())
        };
        let gone: Vec<Key> = self.marked.iter().filter_map(gone).collect();
        for key in gone {
            self.marked.remove(&key);
            self.items.remove(&key);
        }
    }

    /// Values and marks held, and how many of them are marks.
    pub fn count(&self) -> (usize, usize) {
        (self.items.len(), self.marked.len())
    }

    // ---- over a restart ----

    pub fn write(&self) -> Vec<u8> {
        let all: Vec<(&Key, &Item)> = self.items.iter().collect();
        postcard::to_allocvec(&(&self.lasts, all)).unwrap_or_default()
    }

    /// Takes up a copy from the disk, `age_s` old; one older than marks are kept brings only this member's own.
    pub fn take_up(&mut self, now: f64, bytes: &[u8], age_s: f64) -> bool {
        type Copy = (BTreeMap<u64, Stamp>, Vec<(Key, Item)>);
        let Ok((lasts, all)) = postcard::from_bytes::<Copy>(bytes) else {
            return false;
        };
        let fresh = (0.0..=self.keep_s).contains(&age_s);
        for (key, item) in all {
            if fresh || key.owner == self.me {
                self.join(now, key, item);
            }
        }
        if fresh {
            for (owner, stamp) in lasts {
                let last = self.lasts.entry(owner).or_default();
                *last = (*last).max(stamp);
            }
        }
        true
    }
}
