//! The archive of accepted changes: by it a change is recognized when it is sent again, however late.
//!
//! Each entry was part of a chosen value of the register, which no later round can change. Together the entries form a
//! chain: the version to which one leads is the base of the next. What was only accepted by some process never enters.
//! The archive grows by the recent changes of each chosen value and by replies of other core processes. It is written
//! in batches, since what is not yet written is among the value's recent changes.

use deku::prelude::*;
use sagetrail_protocol::control::AcceptedChange;
use sagetrail_protocol::node::{DiskOperation, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// The archive holds so many changes; the oldest are dropped.
pub(crate) const MAX_ACCEPTED_CHANGES: usize = 65_536;
/// Entries are written once so many are unwritten. Fewer than the recent changes of a value, in which they are
/// meanwhile.
const MIN_UNWRITTEN: usize = 16;
/// So many entries are written at once at most.
const MAX_WRITES: usize = 1_000;
const KEY_PREFIX: &[u8] = b"change/";

/// Versions of which it is not known how one led to the other.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Gap {
    /// The version up to which the chain below is known; 0 is the beginning.
    pub after: u64,
    /// The base of the next entry known.
    pub before: u64,
}

/// Accepted changes by the version they build on.
#[derive(Debug)]
pub struct AcceptedChanges {
    by_base: BTreeMap<u64, AcceptedChange>,
    /// Bases of the entries before which the chain is broken.
    breaks: BTreeSet<u64>,
    /// Bases of entries that are not on disk yet.
    unwritten: BTreeSet<u64>,
    /// Bases of entries that were dropped here but not yet on disk.
    dropped: BTreeSet<u64>,
    capacity: usize,
}

impl Default for AcceptedChanges {
    fn default() -> AcceptedChanges {
        AcceptedChanges::with_capacity(MAX_ACCEPTED_CHANGES)
    }
}

impl AcceptedChanges {
    /// An empty archive of at most `capacity` entries.
    pub fn with_capacity(capacity: usize) -> AcceptedChanges {
        AcceptedChanges {
            by_base: BTreeMap::new(),
            breaks: BTreeSet::new(),
            unwritten: BTreeSet::new(),
            dropped: BTreeSet::new(),
            capacity,
        }
    }

    /// The archive on disk, from the entries of `Table::Control`.
    pub fn load(entries: &[(Vec<u8>, Vec<u8>)]) -> AcceptedChanges {
        let mut changes = AcceptedChanges::default();
        for (_, value) in entries
            .iter()
            .filter(|(key, _)| key.starts_with(KEY_PREFIX))
        {
            if let Ok((_, change)) = AcceptedChange::from_bytes((value, 0)) {
                changes.insert(change);
                changes.unwritten.clear();
            }
        }
        changes
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.by_base.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.by_base.is_empty()
    }

    /// The change that led from `base`, or over it, to a later version.
    pub fn change_over(&self, base: u64) -> Option<&AcceptedChange> {
        let (_, change) = self.by_base.range(..=base).next_back()?;
        (base < change.version).then_some(change)
    }

    /// Adds entries; true where one of them is new.
    pub fn insert_all(&mut self, changes: &[AcceptedChange]) -> bool {
        changes
            .iter()
            .filter(|change| self.insert(**change))
            .count()
            > 0
    }

    /// At most `limit` entries from base `after` on, and whether there are more.
    pub fn from_base(&self, after: u64, limit: usize) -> (Vec<AcceptedChange>, bool) {
        let mut later = self.by_base.range(after..).map(|(_, change)| *change);
        let changes = later.by_ref().take(limit).collect();
        (changes, later.next().is_some())
    }

    /// Where entries are missing, oldest first. What a full archive has dropped is not missing.
    pub fn gaps(&self) -> impl Iterator<Item = Gap> + '_ {
        let full = self.by_base.len() >= self.capacity;
        self.breaks
            .iter()
            .filter_map(move |before| match self.previous(*before) {
                Some(previous) => Some(Gap {
                    after: previous.version,
                    before: *before,
                }),
                None if full => None,
                None => Some(Gap {
                    after: 0,
                    before: *before,
                }),
            })
    }

    /// Whether enough entries are unwritten to write them.
    pub fn needs_writing(&self) -> bool {
        self.unwritten.len() >= MIN_UNWRITTEN
    }

    /// The operations that bring the disk up to date, or nearer to that where there are many.
    pub fn take_writes(&mut self) -> Vec<DiskOperation> {
        let mut operations = Vec::new();
        for _ in 0..MAX_WRITES {
            let Some(base) = self.unwritten.pop_first() else {
                break;
            };
            operations.extend(self.by_base.get(&base).map(put));
        }
        operations.extend(std::mem::take(&mut self.dropped).into_iter().map(delete));
        operations
    }

    fn insert(&mut self, change: AcceptedChange) -> bool {
        if self.by_base.get(&change.base) == Some(&change)
            || self.is_older_than_archive(change.base)
        {
            return false;
        }
        if !self.fits_chain(&change) {
            log::error!(
                "accepted change {} -> {} contradicts the archive",
                change.base,
                change.version
            );
            return false;
        }
        self.by_base.insert(change.base, change);
        self.unwritten.insert(change.base);
        self.dropped.remove(&change.base);
        self.update_breaks(&change);
        self.drop_surplus();
        true
    }

    fn is_older_than_archive(&self, base: u64) -> bool {
        let oldest = self.by_base.keys().next();
        self.by_base.len() >= self.capacity && oldest.is_none_or(|oldest| base < *oldest)
    }

    /// Whether the change overlaps with no other one.
    fn fits_chain(&self, change: &AcceptedChange) -> bool {
        let after_previous = self
            .previous(change.base)
            .is_none_or(|previous| previous.version <= change.base);
        let before_next = self
            .next(change.base)
            .is_none_or(|next| change.version <= next.base);
        let is_new = !self.by_base.contains_key(&change.base);
        is_new && change.base < change.version && after_previous && before_next
    }

    fn update_breaks(&mut self, change: &AcceptedChange) {
        let follows = self
            .previous(change.base)
            .is_some_and(|previous| previous.version == change.base);
        if !follows && change.base > 0 {
            self.breaks.insert(change.base);
        }
        // An entry that begins where this one ends has its predecessor now.
        self.breaks.remove(&change.version);
    }

    fn drop_surplus(&mut self) {
        while self.by_base.len() > self.capacity {
            let Some((base, oldest)) = self.by_base.pop_first() else {
                return;
            };
            self.breaks.remove(&base);
            if !self.unwritten.remove(&base) {
                self.dropped.insert(base);
            }
            if self.by_base.contains_key(&oldest.version) {
                self.breaks.insert(oldest.version);
            }
        }
    }

    fn previous(&self, base: u64) -> Option<&AcceptedChange> {
        self.by_base
            .range(..base)
            .next_back()
            .map(|(_, change)| change)
    }

    fn next(&self, base: u64) -> Option<&AcceptedChange> {
        let later = (Bound::Excluded(base), Bound::Unbounded);
        self.by_base.range(later).next().map(|(_, change)| change)
    }
}

fn key(base: u64) -> Vec<u8> {
    [KEY_PREFIX, &base.to_be_bytes()].concat()
}

fn put(change: &AcceptedChange) -> DiskOperation {
    let value = change.to_bytes().unwrap_or_default();
    DiskOperation::Put {
        table: Table::Control,
        key: key(change.base),
        value,
    }
}

fn delete(base: u64) -> DiskOperation {
    DiskOperation::Delete {
        table: Table::Control,
        key: key(base),
    }
}
