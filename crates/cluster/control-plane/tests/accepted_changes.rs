//! Compares the archive of accepted changes with a sorted list as its model: entries, gaps, capacity, paging and the
//! rows that it writes to disk.

use proptest::prelude::*;
use sagetrail_control_plane::{AcceptedChanges, Gap};
use sagetrail_protocol::control::AcceptedChange;
use sagetrail_protocol::node::DiskOperation;
use std::collections::BTreeMap;

/// A chain of changes whose versions increase by these steps. Each digest contains the low byte of the change's base.
fn chain(steps: &[u64]) -> Vec<AcceptedChange> {
    let mut base = 0;
    let link = |step: &u64| {
        let change = AcceptedChange {
            base,
            version: base + step,
            digest: [base as u8; 32],
        };
        base = change.version;
        change
    };
    steps.iter().map(link).collect()
}

/// The model of the archive: the newest `capacity` entries, oldest first.
struct Model {
    entries: Vec<AcceptedChange>,
    capacity: usize,
}

impl Model {
    fn insert(&mut self, change: AcceptedChange) -> bool {
        if self.entries.contains(&change) {
            return false;
        }
        self.entries.push(change);
        self.entries.sort_by_key(|entry| entry.base);
        let surplus = self.entries.len().saturating_sub(self.capacity);
        self.entries.drain(..surplus);
        self.entries.contains(&change)
    }

    fn change_covering(&self, base: u64) -> Option<&AcceptedChange> {
        self.entries
            .iter()
            .find(|entry| (entry.base..entry.version).contains(&base))
    }

    fn gaps(&self) -> Vec<Gap> {
        let mut gaps = Vec::new();
        if let Some(oldest) = self.entries.first().filter(|oldest| oldest.base > 0) {
            if self.entries.len() < self.capacity {
                gaps.push(Gap {
                    after: 0,
                    before: oldest.base,
                });
            }
        }
        for pair in self
            .entries
            .windows(2)
            .filter(|pair| pair[0].version != pair[1].base)
        {
            gaps.push(Gap {
                after: pair[0].version,
                before: pair[1].base,
            });
        }
        gaps
    }
}

fn apply(disk: &mut BTreeMap<Vec<u8>, Vec<u8>>, operations: Vec<DiskOperation>) {
    for operation in operations {
        match operation {
            DiskOperation::Put { key, value, .. } => {
                disk.insert(key, value);
            }
            DiskOperation::Delete { key, .. } => {
                disk.remove(&key);
            }
            DiskOperation::Clear { .. } => {
                panic!("the table must not be cleared: it holds other rows as well")
            }
        }
    }
}

fn all_entries(changes: &AcceptedChanges) -> Vec<AcceptedChange> {
    changes.from_base(0, usize::MAX).0
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn archive_equals_its_model(
        steps in prop::collection::vec(1u64..4, 1..40),
        insertions in prop::collection::vec((any::<prop::sample::Index>(), 1usize..8, any::<bool>()), 1..40),
        capacity in 1usize..50,
    ) {
        let chain = chain(&steps);
        let newest = chain.last().unwrap().version;
        let mut changes = AcceptedChanges::with_capacity(capacity);
        let mut model = Model { entries: Vec::new(), capacity };
        let mut disk = BTreeMap::new();
        for (start, count, write) in insertions {
            let first = start.index(chain.len());
            let chunk = &chain[first..chain.len().min(first + count)];
            let new = chunk.iter().filter(|change| model.insert(**change)).count() > 0;
            prop_assert_eq!(changes.insert_all(chunk), new);
            prop_assert_eq!(all_entries(&changes), &model.entries[..]);
            prop_assert_eq!(changes.gaps().collect::<Vec<_>>(), model.gaps());
            for base in 0..newest + 2 {
                prop_assert_eq!(changes.change_covering(base), model.change_covering(base));
            }
            if write {
                apply(&mut disk, changes.take_writes());
                let rows: Vec<_> = disk.clone().into_iter().collect();
                prop_assert_eq!(all_entries(&AcceptedChanges::load(&rows)), &model.entries[..]);
            }
        }
    }

    #[test]
    fn pages_of_the_archive_contain_each_entry_once(steps in prop::collection::vec(1u64..4, 1..60), limit in 1usize..20) {
        let chain = chain(&steps);
        let mut changes = AcceptedChanges::default();
        changes.insert_all(&chain);
        let mut listed = Vec::new();
        loop {
            let after = listed.last().map_or(0, |change: &AcceptedChange| change.version);
            let (chunk, more) = changes.from_base(after, limit);
            prop_assert!(chunk.len() <= limit);
            listed.extend(chunk);
            prop_assert_eq!(more, listed.len() < chain.len());
            if !more {
                break;
            }
        }
        prop_assert_eq!(listed, chain);
    }
}

#[test]
fn changes_that_contradict_the_archive_are_rejected() {
    let mut changes = AcceptedChanges::default();
    let known = [
        AcceptedChange {
            base: 0,
            version: 5,
            digest: [1; 32],
        },
        AcceptedChange {
            base: 9,
            version: 12,
            digest: [1; 32],
        },
    ];
    assert!(changes.insert_all(&known));
    for (base, version) in [
        (0, 5),
        (0, 6),
        (3, 5),
        (4, 8),
        (5, 10),
        (9, 13),
        (10, 11),
        (7, 7),
        (8, 6),
    ] {
        let other = AcceptedChange {
            base,
            version,
            digest: [2; 32],
        };
        assert!(!changes.insert_all(&[other]), "{base} -> {version}");
    }
    assert_eq!(all_entries(&changes), known);
}

#[test]
fn writes_are_batched_and_bounded() {
    let mut changes = AcceptedChanges::default();
    let chain = chain(&[1; 2_500]);
    changes.insert_all(&chain[..10]);
    assert!(!changes.needs_writing());
    changes.insert_all(&chain);
    let mut written = 0;
    while changes.needs_writing() {
        let operations = changes.take_writes();
        assert!(operations.len() <= 1_000);
        written += operations.len();
    }
    assert_eq!(written, 2_500);
}
