//! Folder of the store, and the thread that writes it. Jobs are carried out in order and synced before they are
//! reported; the event loop never waits for the disk.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc as std_mpsc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::mpsc;

use sagetrail_raft::DiskRecord;
use sagetrail_replicated_store::{decode_journal, encode_header, Journal, StoreError};

use crate::store::DiskError;

/// Largest journal in bytes that is read. It is compacted long before.
const MAX_JOURNAL_BYTES: u64 = 256 << 20;
/// Number of jobs, besides the first, that are synced together.
const MAX_FURTHER_JOBS: usize = 255;
const JOURNAL_FILE: &str = "log";
const MERGED_STATE_FILE: &str = "merged";

/// A job for the writing thread.
pub(crate) enum WriteJob {
    /// Appends to the journal. A job without bytes only keeps its place in the order.
    AppendToJournal(Vec<u8>),
    /// Replaces the journal.
    ReplaceJournal(Vec<u8>),
    /// Renames the journal so that it can be examined, and begins a new one with these bytes.
    PutJournalAside(Vec<u8>),
    /// Saves the merged state. Nothing is acknowledged on its account.
    SaveMergedState(Vec<u8>),
}

/// A slow or full disk, for tests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DiskDefect {
    /// Delay of each sync.
    pub sync_delay: Duration,
    /// Bytes that the disk still accepts; `None` for no limit.
    pub free_bytes: Option<u64>,
}

impl DiskDefect {
    fn take_space(&mut self, bytes: usize) -> io::Result<()> {
        match &mut self.free_bytes {
            Some(free) if *free < bytes as u64 => Err(io::ErrorKind::StorageFull.into()),
            Some(free) => {
                *free -= bytes as u64;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

/// Number of further journal jobs that are synced, or the error after which no more will be.
pub(crate) type WriteOutcome = Result<usize, DiskError>;

/// A saved copy of the merged state.
pub(crate) struct SavedMergedState {
    /// Encoded state.
    pub bytes: Vec<u8>,
    /// Time in seconds since it was saved.
    pub age_s: f64,
}

/// The content of a folder.
pub(crate) struct FolderContent {
    /// Identity of the disk.
    pub disk: u64,
    /// Records of the journal.
    pub records: Vec<DiskRecord>,
    /// Number of records ever written to the disk.
    pub records_written: u64,
    /// Merged state, if it was saved.
    pub merged: Option<SavedMergedState>,
}

/// Reads the folder and creates it if it does not exist. A journal that cannot be used is renamed. `new_disk` is the
/// identity for a blank disk.
///
/// # Errors
///
/// [`DiskError::Folder`] and [`DiskError::JournalTooLarge`].
pub(crate) fn open_folder(
    folder: &Path,
    fleet: u32,
    member: u64,
    new_disk: u64,
) -> Result<FolderContent, DiskError> {
    let folder_error = |source: io::Error| DiskError::Folder {
        folder: folder.to_path_buf(),
        source,
    };
    fs::create_dir_all(folder).map_err(folder_error)?;
    let path = folder.join(JOURNAL_FILE);
    let size_bytes = fs::metadata(&path).map_or(0, |data| data.len());
    if size_bytes > MAX_JOURNAL_BYTES {
        return Err(DiskError::JournalTooLarge { path, size_bytes });
    }
    let bytes = read_or_empty(&path).map_err(folder_error)?;
    let new_header = encode_header(fleet, member, new_disk, 0);
    match decode_journal(&bytes, fleet, member) {
        Ok(Some(journal)) => {
            cut_off_incomplete(folder, &journal, bytes.len()).map_err(folder_error)?;
            Ok(FolderContent {
                disk: journal.disk,
                records: journal.records,
                records_written: journal.records_written,
                merged: saved_merged_state(folder),
            })
        }
        Ok(None) => {
            replace(&path, &new_header).map_err(folder_error)?;
            Ok(blank(new_disk))
        }
        Err(error) => {
            put_folder_aside(folder, error).map_err(folder_error)?;
            replace(&path, &new_header).map_err(folder_error)?;
            Ok(blank(new_disk))
        }
    }
}

fn blank(disk: u64) -> FolderContent {
    FolderContent {
        disk,
        records: Vec::new(),
        records_written: 0,
        merged: None,
    }
}

fn read_or_empty(path: &Path) -> io::Result<Vec<u8>> {
    match fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        result => result,
    }
}

fn saved_merged_state(folder: &Path) -> Option<SavedMergedState> {
    let path = folder.join(MERGED_STATE_FILE);
    let bytes = fs::read(&path).ok()?;
    let saved_at = fs::metadata(&path).and_then(|data| data.modified()).ok();
    let age_s = saved_at
        .and_then(|at| SystemTime::now().duration_since(at).ok())
        .map_or(0.0, |age| age.as_secs_f64());
    Some(SavedMergedState { bytes, age_s })
}

/// Cuts off an incomplete record at the end of the journal.
fn cut_off_incomplete(folder: &Path, journal: &Journal, journal_bytes: usize) -> io::Result<()> {
    if journal.valid_bytes == journal_bytes {
        return Ok(());
    }
    tracing::warn!(
        "journal truncated at an incomplete record: folder={}",
        folder.display()
    );
    let file = OpenOptions::new()
        .write(true)
        .open(folder.join(JOURNAL_FILE))?;
    file.set_len(journal.valid_bytes as u64)?;
    file.sync_all()
}

fn put_folder_aside(folder: &Path, error: StoreError) -> io::Result<()> {
    tracing::warn!(
        "journal cannot be used, it is renamed and this member rejoins without state: folder={}: {error}",
        folder.display()
    );
    put_aside(&folder.join(JOURNAL_FILE))?;
    put_aside(&folder.join(MERGED_STATE_FILE))
}

/// Renames a file to a free name beside it. A file that does not exist is ignored.
fn put_aside(path: &Path) -> io::Result<()> {
    if !path.exists() {
        return Ok(());
    }
    let unix_s = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |unix| unix.as_secs());
    let free_name = (0..)
        .map(|number| path.with_extension(format!("aside-{unix_s}-{number}")))
        .find(|path| !path.exists());
    free_name.map_or(Ok(()), |name| fs::rename(path, name))
}

/// Replaces a file atomically: the content is written under another name, synced and renamed, so that a reader finds
/// the old or the new file.
fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = path.with_extension("new");
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&new, path)?;
    path.parent()
        .map_or(Ok(()), |folder| File::open(folder)?.sync_all())
}

/// Handle of the writing thread. The thread ends when the handle is dropped, or after a failed write.
pub(crate) struct Disk {
    jobs: std_mpsc::Sender<WriteJob>,
}

impl Disk {
    /// Starts the thread. The outcomes of jobs on the journal are returned in order.
    ///
    /// # Errors
    ///
    /// [`DiskError::Thread`].
    pub(crate) fn start(
        folder: PathBuf,
        defect: DiskDefect,
    ) -> Result<(Disk, mpsc::UnboundedReceiver<WriteOutcome>), DiskError> {
        let (jobs, queue) = std_mpsc::channel();
        let (outcomes, outcome_receiver) = mpsc::unbounded_channel();
        std::thread::Builder::new()
            .name("store".to_string())
            .spawn(move || write_jobs(&folder, defect, &queue, &outcomes))
            .map_err(DiskError::Thread)?;
        Ok((Disk { jobs }, outcome_receiver))
    }

    /// Queues a job. After a failed write the thread has ended, and jobs are dropped.
    pub(crate) fn submit(&self, job: WriteJob) {
        let _ = self.jobs.send(job);
    }
}

/// Writes jobs until the handle is dropped or a write fails: the data of a failed sync is lost, and no later sync makes
/// up for that.
fn write_jobs(
    folder: &Path,
    defect: DiskDefect,
    queue: &std_mpsc::Receiver<WriteJob>,
    outcomes: &mpsc::UnboundedSender<WriteOutcome>,
) {
    let mut writer = FolderWriter::new(folder, defect);
    while let Ok(first) = queue.recv() {
        // Jobs that are already queued are synced together with the first.
        let further = std::iter::from_fn(|| queue.try_recv().ok()).take(MAX_FURTHER_JOBS);
        let mut jobs = vec![first];
        jobs.extend(further);
        let outcome = writer.write(jobs).map_err(DiskError::from);
        let has_failed = outcome.is_err();
        if outcomes.send(outcome).is_err() || has_failed {
            return;
        }
    }
}

/// Writes the files of a folder.
struct FolderWriter {
    journal_path: PathBuf,
    merged_state_path: PathBuf,
    /// The journal, open for appending.
    journal: Option<File>,
    /// Whether the journal has appended bytes that are not synced.
    is_unsynced: bool,
    defect: DiskDefect,
}

impl FolderWriter {
    fn new(folder: &Path, defect: DiskDefect) -> FolderWriter {
        FolderWriter {
            journal_path: folder.join(JOURNAL_FILE),
            merged_state_path: folder.join(MERGED_STATE_FILE),
            journal: None,
            is_unsynced: false,
            defect,
        }
    }

    /// Writes jobs and syncs the journal once. Returns the number of batches that are synced by this.
    fn write(&mut self, jobs: Vec<WriteJob>) -> io::Result<usize> {
        let mut batches = 0;
        for job in jobs {
            match job {
                WriteJob::AppendToJournal(bytes) => {
                    self.append(&bytes)?;
                    batches += 1;
                }
                WriteJob::ReplaceJournal(bytes) => {
                    self.defect.take_space(bytes.len())?;
                    self.replace_journal(&bytes)?;
                    batches += 1;
                }
                WriteJob::PutJournalAside(bytes) => {
                    put_aside(&self.journal_path)?;
                    self.replace_journal(&bytes)?;
                }
                // The state can be fetched from other members, so this failure does not count as a failure of the disk.
                WriteJob::SaveMergedState(bytes) => drop(replace(&self.merged_state_path, &bytes)),
            }
        }
        self.sync()?;
        Ok(batches)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.defect.take_space(bytes.len())?;
        if bytes.is_empty() {
            return Ok(());
        }
        let journal = match &mut self.journal {
            Some(journal) => journal,
            None => {
                let file = OpenOptions::new().append(true).open(&self.journal_path)?;
                self.journal.insert(file)
            }
        };
        journal.write_all(bytes)?;
        self.is_unsynced = true;
        Ok(())
    }

    /// Replaces the journal by a new one that is synced.
    fn replace_journal(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.journal = None;
        replace(&self.journal_path, bytes)?;
        self.is_unsynced = false;
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        match &mut self.journal {
            Some(journal) if self.is_unsynced => {
                std::thread::sleep(self.defect.sync_delay);
                journal.sync_data()?;
                self.is_unsynced = false;
                Ok(())
            }
            _ => Ok(()),
        }
    }
}
