//! A disk that refuses writes, writes them in part and fails to sync. Guards against writes that are reported as synced
//! although the disk did not keep them, and against a full disk that ends the process.

mod common;

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use redb::StorageBackend;
use tokio::sync::mpsc;

use sagetrail_cluster_node::disk::{Disk, DiskError, DiskFile, LockedFile, Store};
use sagetrail_cluster_node::input::Input;
use sagetrail_protocol::node::{DiskImage, DiskOperation, DiskWrite, Table};

use common::{folder, with_timeout};

/// The faults of a disk.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// The number of writes after which the disk is full; `None` if it never is.
    writes_left: Option<u32>,
    /// Whether the first refused write is written in part.
    tears: bool,
    /// Whether syncs fail.
    syncs_fail: bool,
}

/// The faults of each file, by its path.
static FAULTS: Mutex<BTreeMap<PathBuf, Faults>> = Mutex::new(BTreeMap::new());

fn with_faults<T>(path: &Path, change: impl FnOnce(&mut Faults) -> T) -> T {
    let mut faults = FAULTS.lock().unwrap_or_else(PoisonError::into_inner);
    change(faults.entry(path.to_owned()).or_default())
}

/// A file on a disk with faults.
#[derive(Debug)]
struct FaultyFile {
    path: PathBuf,
    file: LockedFile,
}

impl FaultyFile {
    /// Counts a write, and refuses it if the disk is full. The error says whether the write is to be written in part.
    fn take_write(&self) -> Result<(), bool> {
        with_faults(&self.path, |faults| match &mut faults.writes_left {
            Some(0) => Err(std::mem::take(&mut faults.tears)),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        })
    }
}

impl DiskFile for FaultyFile {
    fn open(path: &Path) -> io::Result<FaultyFile> {
        let file = LockedFile::open(path)?;
        let path = path.to_owned();
        Ok(FaultyFile { path, file })
    }
}

impl StorageBackend for FaultyFile {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read(offset, out)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.take_write().map_err(|_| disk_full_error())?;
        self.file.set_len(length)
    }

    fn sync_data(&self) -> io::Result<()> {
        if with_faults(&self.path, |faults| faults.syncs_fail) {
            return Err(io::Error::other("sync failed"));
        }
        self.file.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        match self.take_write() {
            Ok(()) => self.file.write(offset, data),
            Err(tears) => {
                if tears {
                    self.file.write(offset, &data[..data.len() / 2])?;
                }
                Err(disk_full_error())
            }
        }
    }
}

fn disk_full_error() -> io::Error {
    io::ErrorKind::StorageFull.into()
}

fn file_in(folder: &Path) -> PathBuf {
    folder.join("state.redb")
}

fn open(folder: &Path) -> Store {
    Store::open_in::<FaultyFile>(folder).unwrap().store
}

fn numbered_write(number: u64, bytes: usize) -> DiskWrite {
    DiskWrite {
        operations: vec![DiskOperation::Put {
            table: Table::Records,
            key: number.to_be_bytes().to_vec(),
            value: vec![number as u8; bytes],
        }],
        send_when_synced: Vec::new(),
        token: Some(number),
    }
}

/// Returns the numbers of the rows on disk.
fn rows(folder: &Path) -> Vec<u64> {
    let image: DiskImage = Store::open(folder).unwrap().image;
    let number = |(key, _): &(Vec<u8>, Vec<u8>)| u64::from_be_bytes(key[..].try_into().unwrap());
    image.records.iter().map(number).collect()
}

/// Returns the reported tokens as soon as there are `count` of them.
async fn reported(inputs: &mut mpsc::UnboundedReceiver<Input>, count: usize) -> Vec<u64> {
    let mut tokens = Vec::new();
    while tokens.len() < count {
        match with_timeout(inputs.recv()).await.unwrap() {
            Input::Synced { tokens: more, .. } => tokens.extend(more),
            Input::DiskFailed(error) => panic!("the disk failed: {error}"),
            _ => panic!("expected Input::Synced, got another input"),
        }
    }
    tokens
}

async fn failure(inputs: &mut mpsc::UnboundedReceiver<Input>) -> DiskError {
    match with_timeout(inputs.recv()).await.unwrap() {
        Input::DiskFailed(error) => error,
        _ => panic!("expected Input::DiskFailed, got another input"),
    }
}

#[tokio::test]
async fn writes_to_a_full_disk_are_held_and_synced_in_order_once_it_has_space() {
    let folder = folder("full");
    let store = open(&folder);
    let (sender, mut inputs) = mpsc::unbounded_channel();
    let disk = Disk::start(store, sender).unwrap();
    disk.submit(numbered_write(0, 10));
    assert_eq!(reported(&mut inputs, 1).await, [0]);
    with_faults(&file_in(&folder), |faults| faults.writes_left = Some(0));
    (1..20).for_each(|number| disk.submit(numbered_write(number, 1_000)));
    // Several attempts to write fail during this time.
    let early = tokio::time::timeout(Duration::from_millis(350), inputs.recv()).await;
    assert!(early.is_err(), "reported although the disk is full");
    with_faults(&file_in(&folder), |faults| faults.writes_left = None);
    assert_eq!(
        reported(&mut inputs, 19).await,
        (1..20).collect::<Vec<u64>>()
    );
    drop(disk);
    with_timeout(async { while inputs.recv().await.is_some() {} }).await;
    assert_eq!(rows(&folder), (0..20).collect::<Vec<u64>>());
}

/// Returns the cases of a disk that is full after each of the first writes of a transaction, with and without a write
/// in part.
fn refusal_cases() -> impl Iterator<Item = (u32, bool)> {
    (0..24).flat_map(|writes| [(writes, false), (writes, true)])
}

#[test]
fn a_transaction_refused_at_any_write_is_on_disk_completely_or_not_at_all() {
    for (writes_left, tears) in refusal_cases() {
        let folder = folder(&format!("moment-{writes_left}-{tears}"));
        let store = open(&folder);
        store.write(&[numbered_write(0, 10)]).unwrap();
        with_faults(&file_in(&folder), |faults| {
            faults.writes_left = Some(writes_left);
            faults.tears = tears;
        });
        let written = store.write(&[numbered_write(1, 30_000), numbered_write(2, 30_000)]);
        drop(store);
        let found = rows(&folder);
        if written.is_ok() {
            assert_eq!(found, [0, 1, 2]);
        } else {
            assert!(
                found == [0] || found == [0, 1, 2],
                "{writes_left}: {found:?}"
            );
        }
    }
}

#[test]
fn a_transaction_refused_at_any_write_succeeds_when_retried() {
    for (writes_left, tears) in refusal_cases() {
        let folder = folder(&format!("again-{writes_left}-{tears}"));
        let store = open(&folder);
        store.write(&[numbered_write(0, 10)]).unwrap();
        with_faults(&file_in(&folder), |faults| {
            faults.writes_left = Some(writes_left);
            faults.tears = tears;
        });
        let group = [numbered_write(1, 30_000), numbered_write(2, 30_000)];
        let first = store.write(&group);
        assert!(first.is_ok() || first.is_err_and(|error| error.is_full()));
        let closed = store.close();
        with_faults(&file_in(&folder), |faults| faults.writes_left = None);
        let store = closed.reopen().unwrap();
        store.write(&group).unwrap();
        drop(store);
        assert_eq!(rows(&folder), [0, 1, 2]);
    }
}

#[tokio::test]
async fn a_failed_sync_is_not_retried() {
    let folder = folder("sync");
    let (sender, mut inputs) = mpsc::unbounded_channel();
    let disk = Disk::start(open(&folder), sender).unwrap();
    with_faults(&file_in(&folder), |faults| faults.syncs_fail = true);
    disk.submit(numbered_write(1, 10));
    let error = failure(&mut inputs).await;
    assert!(matches!(error, DiskError::SyncFailed(_)), "{error}");
}

#[tokio::test]
async fn writes_above_the_memory_limit_are_not_held() {
    let folder = folder("much");
    let (sender, mut inputs) = mpsc::unbounded_channel();
    let disk = Disk::start(open(&folder), sender).unwrap();
    with_faults(&file_in(&folder), |faults| faults.writes_left = Some(0));
    (0..34).for_each(|number| disk.submit(numbered_write(number, 1 << 20)));
    let error = failure(&mut inputs).await;
    assert!(matches!(error, DiskError::TooMuchPending { .. }), "{error}");
}

#[tokio::test]
async fn the_thread_ends_when_the_disk_is_dropped_while_writes_are_held() {
    let folder = folder("dropped");
    let (sender, mut inputs) = mpsc::unbounded_channel();
    let disk = Disk::start(open(&folder), sender).unwrap();
    with_faults(&file_in(&folder), |faults| faults.writes_left = Some(0));
    disk.submit(numbered_write(1, 10));
    drop(disk);
    with_timeout(async { while inputs.recv().await.is_some() {} }).await;
    assert!(rows(&folder).is_empty());
}
