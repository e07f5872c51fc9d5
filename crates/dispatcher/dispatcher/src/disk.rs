//! The store's folder. One thread writes what it is handed, in order, and makes it last; the loop never waits for it.

use sagetrail_replicated_store::{decode_journal, encode_header, Journal, StoreError};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc as queue;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;

/// More than this is no log of ours: it is put into a snapshot long before.
const MOST_BYTES: u64 = 256 << 20;

pub(crate) enum Job {
    /// Behind what the log holds; with nothing to write it only keeps its turn.
    Append(Vec<u8>),
    /// In place of all that the log holds.
    Anew(Vec<u8>),
    /// The log is put aside for study, and begun anew with this.
    Aside(Vec<u8>),
    /// Merged state, beside the log.
    Merged(Vec<u8>),
}

/// A disk that is slow or full: for tests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ill {
    pub slow: Duration,
    /// Bytes that it still takes.
    pub room: Option<u64>,
}

impl Ill {
    fn takes(&mut self, bytes: usize) -> io::Result<()> {
        match &mut self.room {
            Some(room) if *room < bytes as u64 => Err(io::ErrorKind::StorageFull.into()),
            Some(room) => {
                *room -= bytes as u64;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

/// What became of jobs on the log: so many last, or why none does any more.
pub(crate) type Done = Result<usize, String>;

pub(crate) struct Disk {
    jobs: queue::Sender<Job>,
}

fn log(folder: &Path) -> PathBuf {
    folder.join("log")
}

fn unix() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |unix| unix.as_secs())
}

/// Written whole under another name, made to last, then moved into place: who reads it finds the old or the new one.
fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = path.with_extension("new");
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&new, path)?;
    path.parent()
        .map_or(Ok(()), |folder| File::open(folder)?.sync_all())
}

fn aside(path: &Path) -> io::Result<()> {
    if path.exists() {
        let name = (0..).map(|n| path.with_extension(format!("aside-{}-{n}", unix())));
        let free = name.into_iter().find(|path| !path.exists());
        free.map_or(Ok(()), |name| fs::rename(path, name))?;
    }
    Ok(())
}

/// What was found in a folder.
pub(crate) struct Found {
    pub disk: u64,
    pub records: Vec<sagetrail_raft::DiskRecord>,
    pub records_written: u64,
    /// Merged state, and how old it is in seconds.
    pub merged: Option<(Vec<u8>, f64)>,
}

/// Reads the folder, and puts aside what cannot be used; `fresh`: a number for a new disk.
pub(crate) fn find(folder: &Path, fleet: u32, me: u64, fresh: u64) -> Result<Found, String> {
    let said = |error: io::Error| format!("store.folder {}: {error}", folder.display());
    fs::create_dir_all(folder).map_err(said)?;
    let path = log(folder);
    let size = fs::metadata(&path).map_or(0, |data| data.len());
    if size > MOST_BYTES {
        return Err(format!(
            "{}: {size} bytes are no log of ours",
            path.display()
        ));
    }
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
        Err(error) => return Err(said(error)),
    };
    let merged = fs::read(folder.join("merged")).ok();
    let age = fs::metadata(folder.join("merged"))
        .and_then(|data| data.modified())
        .ok();
    let age_s = age
        .and_then(|at| SystemTime::now().duration_since(at).ok())
        .map_or(0.0, |age| age.as_secs_f64());
    let begun = |why: Option<StoreError>| -> Result<Found, String> {
        if let Some(why) = why {
            tracing::warn!(
                "the log in {} is put aside: {why}; begins as a new member",
                folder.display()
            );
            aside(&path).map_err(said)?;
            aside(&folder.join("merged")).map_err(said)?;
        }
        replace(&path, &encode_header(fleet, me, fresh, 0)).map_err(said)?;
        Ok(Found {
            disk: fresh,
            records: Vec::new(),
            records_written: 0,
            merged: None,
        })
    };
    match decode_journal(&bytes, fleet, me) {
        Ok(None) => begun(None),
        Err(why) => begun(Some(why)),
        Ok(Some(Journal {
            disk,
            records,
            records_written,
            valid_bytes,
        })) => {
            if valid_bytes < bytes.len() {
                tracing::warn!(
                    "the log in {} ends with what was never promised: cut",
                    folder.display()
                );
                let file = OpenOptions::new().write(true).open(&path).map_err(said)?;
                file.set_len(valid_bytes as u64)
                    .and_then(|()| file.sync_all())
                    .map_err(said)?;
            }
            Ok(Found {
                disk,
                records,
                records_written,
                merged: merged.map(|bytes| (bytes, age_s)),
            })
        }
    }
}

impl Disk {
    /// Begins the thread that writes. What becomes of jobs on the log comes back in order.
    pub(crate) fn start(
        folder: PathBuf,
        ill: Ill,
    ) -> io::Result<(Disk, mpsc::UnboundedReceiver<Done>)> {
        let (jobs, queue) = queue::channel();
        let (tell, told) = mpsc::unbounded_channel();
        let name = "store".to_string();
        std::thread::Builder::new()
            .name(name)
            .spawn(move || write(&folder, ill, &queue, &tell))?;
        Ok((Disk { jobs }, told))
    }

    pub(crate) fn put(&self, job: Job) {
        let _ = self.jobs.send(job);
    }
}

fn write(
    folder: &Path,
    mut ill: Ill,
    jobs: &queue::Receiver<Job>,
    tell: &mpsc::UnboundedSender<Done>,
) {
    let path = log(folder);
    let mut file = None;
    while let Ok(first) = jobs.recv() {
        // Those that wait behind it are made to last together.
        let mut all = vec![first];
        all.extend(std::iter::from_fn(|| jobs.try_recv().ok()).take(255));
        let mut done = 0;
        let work = || -> io::Result<()> {
            let mut unsynced = false;
            for job in all {
                match job {
                    Job::Append(bytes) => {
                        ill.takes(bytes.len())?;
                        if !bytes.is_empty() {
                            let file = match &mut file {
                                Some(file) => file,
                                None => file.insert(OpenOptions::new().append(true).open(&path)?),
                            };
                            file.write_all(&bytes)?;
                            unsynced = true;
                        }
                        done += 1;
                    }
                    Job::Anew(bytes) => {
                        file = None;
                        ill.takes(bytes.len())?;
                        replace(&path, &bytes)?;
                        unsynced = false;
                        done += 1;
                    }
                    Job::Aside(bytes) => {
                        file = None;
                        aside(&path)?;
                        replace(&path, &bytes)?;
                        unsynced = false;
                    }
                    // Of use, but nobody hangs on it.
                    Job::Merged(bytes) => drop(replace(&folder.join("merged"), &bytes)),
                }
            }
            match &mut file {
                Some(file) if unsynced => {
                    std::thread::sleep(ill.slow);
                    file.sync_data()
                }
                _ => Ok(()),
            }
        };
        let said = work().map(|()| done).map_err(|error| error.to_string());
        // A write or sync that failed has lost what it stood for: no later one makes up for it.
        let over = said.is_err();
        if tell.send(said).is_err() || over {
            return;
        }
    }
}
