//! Corrupted disk files. Guards against a file that replaced a corrupted one and is taken for a new disk at a later
//! start, and against a transaction that is in the file only in part after a loss of power.

mod common;

use std::path::{Path, PathBuf};

use redb::{Database, TableDefinition};

use sagetrail_cluster_node::disk::Store;
use sagetrail_protocol::node::{DiskImage, DiskOperation, DiskWrite, Table};

use common::folder;

const FILE_NAME: &str = "state.redb";
const NEW_FILE_NAME: &str = "state.redb.new";

/// Creates a folder with a disk file that holds a row in each table.
fn used_folder(name: &str) -> PathBuf {
    let folder = folder(name);
    let opened = Store::open(&folder).unwrap();
    let put = |table| DiskOperation::Put {
        table,
        key: b"key".to_vec(),
        value: vec![7; 100],
    };
    let operations = vec![put(Table::Control), put(Table::Records)];
    opened
        .store
        .write(&[DiskWrite {
            operations,
            ..DiskWrite::default()
        }])
        .unwrap();
    folder
}

/// Overwrites the whole disk file with invalid data.
fn corrupt(folder: &Path) {
    let path = folder.join(FILE_NAME);
    let length = std::fs::metadata(&path).unwrap().len() as usize;
    std::fs::write(path, vec![0x5a; length]).unwrap();
}

#[test]
fn after_a_corrupted_file_the_disk_is_not_taken_for_a_new_one_at_later_starts() {
    let folder = used_folder("later");
    corrupt(&folder);
    assert!(Store::open(&folder).unwrap().emptied);
    for _ in 0..3 {
        let image = Store::open(&folder).unwrap().image;
        assert_ne!(image, DiskImage::default());
        assert!(image.records.is_empty());
    }
}

#[test]
fn an_unfinished_earlier_replacement_is_discarded() {
    let folder = used_folder("left");
    corrupt(&folder);
    std::fs::write(folder.join(NEW_FILE_NAME), vec![0x33; 5_000]).unwrap();
    assert!(Store::open(&folder).unwrap().emptied);
    assert_ne!(Store::open(&folder).unwrap().image, DiskImage::default());
    assert!(!folder.join(NEW_FILE_NAME).exists());
}

#[test]
fn a_file_with_only_one_table_is_corrupted() {
    let folder = folder("one");
    let definition: TableDefinition<&[u8], &[u8]> = TableDefinition::new("control");
    let database = Database::create(folder.join(FILE_NAME)).unwrap();
    let transaction = database.begin_write().unwrap();
    transaction
        .open_table(definition)
        .unwrap()
        .insert(b"key".as_slice(), b"value".as_slice())
        .unwrap();
    transaction.commit().unwrap();
    drop(database);
    assert!(Store::open(&folder).unwrap().emptied);
    assert_ne!(Store::open(&folder).unwrap().image, DiskImage::default());
}

#[test]
fn a_transaction_interrupted_by_a_loss_of_power_is_on_disk_completely_or_not_at_all() {
    let folder = folder("together");
    let opened = Store::open(&folder).unwrap();
    let path = folder.join(FILE_NAME);
    for number in 1..=20u64 {
        let put = |table, key: &[u8]| {
            let value = number.to_be_bytes().to_vec();
            DiskOperation::Put {
                table,
                key: key.to_vec(),
                value,
            }
        };
        let records = (0..200u64).map(|row| put(Table::Records, &row.to_be_bytes()));
        let operations = records.chain([put(Table::Control, b"state")]).collect();
        let before = std::fs::read(&path).unwrap();
        opened
            .store
            .write(&[DiskWrite {
                operations,
                ..DiskWrite::default()
            }])
            .unwrap();
        let after = std::fs::read(&path).unwrap();
        for seed in 0..10 {
            check_partly_written(&before, &after, number, seed);
        }
    }
}

/// Checks a file in which only some of the blocks that a write changed have their new content, as after a power loss.
fn check_partly_written(before: &[u8], after: &[u8], number: u64, seed: u64) {
    const BLOCK: usize = 512;
    let folder = folder("mixed");
    let mut mixed = after.to_vec();
    let blocks = before.len().min(after.len()) / BLOCK;
    for block in 0..blocks {
        let hash = (block as u64 + 1)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15 ^ (seed << 17))
            .rotate_left(23);
        let range = block * BLOCK..(block + 1) * BLOCK;
        if hash.is_multiple_of(2) {
            mixed[range.clone()].copy_from_slice(&before[range]);
        }
    }
    std::fs::write(folder.join(FILE_NAME), mixed).unwrap();
    let opened = Store::open(&folder).unwrap();
    assert!(
        !opened.emptied,
        "write {number}, seed {seed}: corrupted by a write that was not synced"
    );
    let image = opened.image;
    let state = image
        .control
        .iter()
        .find(|row| row.0 == b"state")
        .map(|row| row.1.clone());
    let expected = state.unwrap_or_default();
    let state_number = expected.as_slice().try_into().map_or(0, u64::from_be_bytes);
    assert!(
        state_number == number || state_number + 1 == number,
        "write {number}, seed {seed}: state {state_number}"
    );
    let rows = if state_number == 0 { 0 } else { 200 };
    assert_eq!(image.records.len(), rows, "write {number}, seed {seed}");
    assert!(
        image.records.iter().all(|row| row.1 == expected),
        "write {number}, seed {seed}: records of different writes"
    );
    drop(opened.store);
    let _ = std::fs::remove_dir_all(folder);
}
