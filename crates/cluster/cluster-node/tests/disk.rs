//! The disk: synced rows are read again in the order of their keys, each write is reported once and in order, and a
//! corrupted file is replaced by an empty one.

mod common;

use std::path::Path;

use tokio::sync::mpsc;

use sagetrail_cluster_node::disk::{Disk, DiskError, Store};
use sagetrail_cluster_node::input::Input;
use sagetrail_protocol::node::{DiskImage, DiskOperation, DiskWrite, Table};
use sagetrail_protocol::NodeId;

use common::{folder, numbered, with_timeout};

fn put(table: Table, key: &[u8], value: &[u8]) -> DiskOperation {
    DiskOperation::Put {
        table,
        key: key.to_vec(),
        value: value.to_vec(),
    }
}

fn write(operations: Vec<DiskOperation>) -> DiskWrite {
    DiskWrite {
        operations,
        ..DiskWrite::default()
    }
}

fn image(folder: &Path) -> DiskImage {
    Store::open(folder).unwrap().image
}

#[test]
fn a_new_disk_is_empty_and_stays_empty_when_opened_again() {
    let folder = folder("new");
    assert_eq!(image(&folder), DiskImage::default());
    assert_eq!(image(&folder), DiskImage::default());
    assert!(!Store::open(&folder).unwrap().emptied);
}

#[test]
fn written_rows_are_read_in_the_order_of_their_keys() {
    let folder = folder("again");
    let opened = Store::open(&folder).unwrap();
    let first = write(vec![
        put(Table::Records, b"b", b"2"),
        put(Table::Control, b"c", b"0"),
    ]);
    let second = write(vec![
        put(Table::Records, b"a", b"1"),
        put(Table::Records, b"b", b"3"),
    ]);
    opened.store.write(&[first, second]).unwrap();
    drop(opened);
    let expected = DiskImage {
        control: vec![(b"c".to_vec(), b"0".to_vec())],
        records: vec![
            (b"a".to_vec(), b"1".to_vec()),
            (b"b".to_vec(), b"3".to_vec()),
        ],
    };
    assert_eq!(image(&folder), expected);
}

#[test]
fn deletes_and_clears_apply_in_order_and_only_to_their_table() {
    let folder = folder("clear");
    let opened = Store::open(&folder).unwrap();
    let rows = (0..1000u32)
        .map(|row| put(Table::Records, &row.to_be_bytes(), b"x"))
        .collect();
    opened.store.write(&[write(rows)]).unwrap();
    let kept = vec![
        put(Table::Control, b"c", b"0"),
        put(Table::Control, b"d", b"0"),
    ];
    opened.store.write(&[write(kept)]).unwrap();
    let change = vec![
        put(Table::Records, b"before", b"x"),
        DiskOperation::Clear {
            table: Table::Records,
        },
        put(Table::Records, b"after", b"y"),
        DiskOperation::Delete {
            table: Table::Control,
            key: b"d".to_vec(),
        },
        DiskOperation::Delete {
            table: Table::Control,
            key: b"never".to_vec(),
        },
    ];
    opened.store.write(&[write(change)]).unwrap();
    drop(opened);
    let expected = DiskImage {
        control: vec![(b"c".to_vec(), b"0".to_vec())],
        records: vec![(b"after".to_vec(), b"y".to_vec())],
    };
    assert_eq!(image(&folder), expected);
}

#[test]
fn a_corrupted_file_is_replaced_by_an_empty_one() {
    let folder = folder("torn");
    let opened = Store::open(&folder).unwrap();
    opened
        .store
        .write(&[write(vec![put(Table::Control, b"c", b"0")])])
        .unwrap();
    drop(opened);
    let file = std::fs::read_dir(&folder)
        .unwrap()
        .next()
        .unwrap()
        .unwrap()
        .path();
    let length = std::fs::metadata(&file).unwrap().len() as usize;
    std::fs::write(&file, vec![0x5a; length]).unwrap();
    let opened = Store::open(&folder).unwrap();
    assert!(opened.emptied);
    assert_eq!(opened.image, DiskImage::default());
}

#[test]
fn a_truncated_file_is_replaced_by_an_empty_one() {
    let folder = folder("short");
    drop(Store::open(&folder).unwrap());
    let path = std::fs::read_dir(&folder)
        .unwrap()
        .next()
        .unwrap()
        .unwrap()
        .path();
    let file = std::fs::OpenOptions::new().write(true).open(path).unwrap();
    file.set_len(file.metadata().unwrap().len() / 2).unwrap();
    drop(file);
    let opened = Store::open(&folder).unwrap();
    assert!(opened.emptied);
    assert_eq!(opened.image, DiskImage::default());
}

#[test]
fn a_file_that_is_already_open_is_not_opened_and_keeps_its_rows() {
    let folder = folder("locked");
    let opened = Store::open(&folder).unwrap();
    opened
        .store
        .write(&[write(vec![put(Table::Control, b"c", b"0")])])
        .unwrap();
    assert!(matches!(Store::open(&folder), Err(DiskError::Io(_))));
    drop(opened);
    assert_eq!(image(&folder).control.len(), 1);
}

#[tokio::test]
async fn every_write_is_reported_once_and_in_order() {
    let folder = folder("report");
    let (sender, mut inputs) = mpsc::unbounded_channel();
    let disk = Disk::start(Store::open(&folder).unwrap().store, sender).unwrap();
    let to = NodeId { ip: 1, port: 1 };
    for number in 0..200u64 {
        let operations = vec![put(Table::Records, &number.to_be_bytes(), b"x")];
        let messages = vec![(to, numbered(number))];
        disk.submit(DiskWrite {
            operations,
            send_when_synced: messages,
            token: Some(number),
        });
    }
    let mut sent = Vec::new();
    let mut reported = Vec::new();
    while reported.len() < 200 {
        match with_timeout(inputs.recv()).await.unwrap() {
            Input::Synced {
                send_when_synced,
                tokens,
            } => {
                sent.extend(send_when_synced);
                reported.extend(tokens);
            }
            _ => panic!("expected Input::Synced, got another input"),
        }
    }
    assert_eq!(reported, (0..200).collect::<Vec<u64>>());
    let expected: Vec<_> = (0..200).map(|number| (to, numbered(number))).collect();
    assert_eq!(sent, expected);
    drop(disk);
    with_timeout(async { while inputs.recv().await.is_some() {} }).await;
    assert_eq!(image(&folder).records.len(), 200);
}
