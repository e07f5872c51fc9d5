//! The archive of accepted changes, which recognizes a change that is sent again, however late.
//!
//! Each entry was part of a chosen value of the register, which no later round can change. The entries form a chain:
//! the version to which one leads is the base of the next. A change that some process has accepted but that is not
//! known to be chosen is never added. The archive receives the recent changes of each chosen value, and the replies of
//! other core processes. It is written to disk in batches, which is safe because the unwritten entries are among the
//! recent changes of the value.

use deku::prelude::*;
use sagetrail_protocol::control::AcceptedChange;
use sagetrail_protocol::node::{DiskOperation, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// The maximum number of changes in the archive. When it is full, the oldest ones are dropped.
pub(crate) const MAX_ACCEPTED_CHANGES: usize = 65_536;
/// Entries are written once this many are unwritten. The number is lower than that of the recent changes in a value,
/// which contain the unwritten entries in the meantime.
const MIN_UNWRITTEN: usize = 16;
/// The maximum number of entries that are written in one batch.
const MAX_WRITES: usize = 1_000;
/// The prefix of the keys of the rows on disk. It is followed by the change's base as eight big-endian bytes.
const KEY_PREFIX: &[u8] = b"change/";

/// A gap in the chain of accepted changes: entries between two versions are missing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Gap {
    /// The last version of the chain before the gap; 0 is the beginning of all versions.
    pub after: u64,
    /// The base of the first known entry after the gap.
    pub before: u64,
}

/// The archive of accepted changes.
#[derive(Debug)]
pub struct AcceptedChanges {
    /// The entries by their base, which is the version on which the change is based.
    by_base: BTreeMap<u64, AcceptedChange>,
    /// The bases of the entries whose predecessor in the chain is missing.
    breaks: BTreeSet<u64>,
    /// The bases of the entries that are not on disk yet.
    unwritten: BTreeSet<u64>,
    /// The bases of the entries that were dropped in memory but are still on disk.
    dropped: BTreeSet<u64>,
    /// The maximum number of entries.
    capacity: usize,
}

impl Default for AcceptedChanges {
    fn default() -> AcceptedChanges {
        AcceptedChanges::with_capacity(MAX_ACCEPTED_CHANGES)
    }
}

impl AcceptedChanges {
    /// Creates an empty archive of at most `capacity` entries.
    pub fn with_capacity(capacity: usize) -> AcceptedChanges {
        AcceptedChanges {
            by_base: BTreeMap::new(),
            breaks: BTreeSet::new(),
            unwritten: BTreeSet::new(),
            dropped: BTreeSet::new(),
            capacity,
        }
    }

    /// Loads the archive from the rows of `Table::Control`. Rows with other keys and malformed rows are skipped.
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

    /// The change that led from version `base`, or from an earlier version past `base`, to a later version.
    pub fn change_covering(&self, base: u64) -> Option<&AcceptedChange> {
        let (_, change) = self.by_base.range(..=base).next_back()?;
        (base < change.version).then_some(change)
    }

    /// Adds entries; returns whether any of them is new.
    pub fn insert_all(&mut self, changes: &[AcceptedChange]) -> bool {
        changes
            .iter()
            .filter(|change| self.insert(**change))
            .count()
            > 0
    }

    /// At most `limit` entries whose base is `after` or higher, in order, and whether there are more.
    pub fn from_base(&self, after: u64, limit: usize) -> (Vec<AcceptedChange>, bool) {
        let mut later = self.by_base.range(after..).map(|(_, change)| *change);
        let changes = later.by_ref().take(limit).collect();
        (changes, later.next().is_some())
    }

    /// The gaps in the chain, oldest first. The entries that a full archive has dropped are no gap.
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

    /// Whether there are enough unwritten entries for a batch.
    pub fn needs_writing(&self) -> bool {
        self.unwritten.len() >= MIN_UNWRITTEN
    }

    /// Takes the disk operations of the next batch: the puts of at most `MAX_WRITES` unwritten entries, and the
    /// deletions of all dropped ones.
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
                "accepted change contradicts the archive and is ignored: base={} version={}",
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

    /// Whether the change leads to a later version and overlaps with no entry.
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
        // The entry whose base is this change's version has its predecessor now.
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
