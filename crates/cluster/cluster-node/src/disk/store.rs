//! The database file: opens it, reads all rows, and applies many writes in one transaction.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use redb::{
    Database, Durability, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction,
};

use sagetrail_protocol::node::{DiskImage, DiskOperation, DiskWrite, Table};

use super::file::{DiskFile, LockedFile, WatchedFile};
use super::DiskError;

/// The name of the database file in the data folder.
const FILE_NAME: &str = "state.redb";
/// The name of the file that replaces a corrupted one, until it is renamed.
const NEW_FILE_NAME: &str = "state.redb.new";
/// The key of a row that is written to a file that replaces a corrupted one, so that the disk is never taken for a new
/// one at a later start.
const REPLACED_KEY: &[u8] = b"replaced";
/// The size of the database's cache, in bytes. The file is small, and the rows that are read often fit.
const CACHE_BYTES: usize = 4 << 20;

type Definition = TableDefinition<'static, &'static [u8], &'static [u8]>;
type Rows = Vec<(Vec<u8>, Vec<u8>)>;

const CONTROL: Definition = TableDefinition::new("control");
const RECORDS: Definition = TableDefinition::new("records");

/// Opens the database in a file of one type of [`DiskFile`].
type OpenDatabase = fn(&Path) -> Result<OpenFile, DiskError>;

/// The open database file of a data folder.
pub struct Store {
    folder: PathBuf,
    file: OpenFile,
    open: OpenDatabase,
}

/// The open database.
struct OpenFile {
    database: Database,
    /// Whether a sync of the file has failed.
    sync_failed: Arc<AtomicBool>,
}

/// The open file and its rows.
pub struct Opened {
    /// The open file.
    pub store: Store,
    /// All rows at the time of opening; empty for a new file.
    pub image: DiskImage,
    /// Whether a corrupted file was replaced, so that all earlier rows are lost.
    pub emptied: bool,
}

impl Store {
    /// Opens the file in `folder` and creates it if it does not exist. A file that is corrupted beyond repair is
    /// replaced by an empty one, as if the disk had been lost. Blocks the thread until the file is read.
    ///
    /// # Errors
    ///
    /// [`DiskError::Refused`] or [`DiskError::Io`] if the disk can't be used now, or another process has the file open.
    pub fn open(folder: &Path) -> Result<Opened, DiskError> {
        Store::open_in::<LockedFile>(folder)
    }

    /// Does the same as [`Store::open`] with another type of file.
    ///
    /// # Errors
    ///
    /// The errors of [`Store::open`].
    pub fn open_in<F: DiskFile>(folder: &Path) -> Result<Opened, DiskError> {
        let open = open_database::<F>;
        match Store::open_existing(folder, open) {
            Err(error) if error.is_corruption() => {
                log::warn!(
                    "corrupted disk file replaced by an empty one: folder={} error={error}",
                    folder.display()
                );
                let store = Store::replace(folder, open)?;
                Ok(Opened {
                    store,
                    image: DiskImage::default(),
                    emptied: true,
                })
            }
            other => other,
        }
    }

    /// Replaces a corrupted file by a new one. The new file is synced before it is renamed, so that the corrupted file
    /// stays until then.
    fn replace(folder: &Path, open: OpenDatabase) -> Result<Store, DiskError> {
        let path = folder.join(NEW_FILE_NAME);
        match std::fs::remove_file(&path) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => return Err(error.into()),
            _ => {}
        }
        let store = Store {
            folder: folder.to_owned(),
            file: open(&path)?,
            open,
        };
        let table = Table::Control;
        let row = DiskOperation::Put {
            table,
            key: REPLACED_KEY.to_vec(),
            value: Vec::new(),
        };
        store.write(&[DiskWrite {
            operations: vec![row],
            ..DiskWrite::default()
        }])?;
        std::fs::rename(&path, folder.join(FILE_NAME))?;
        sync_folder(folder)?;
        Ok(store)
    }

    fn open_existing(folder: &Path, open: OpenDatabase) -> Result<Opened, DiskError> {
        std::fs::create_dir_all(folder)?;
        let store = Store {
            folder: folder.to_owned(),
            file: open(&folder.join(FILE_NAME))?,
            open,
        };
        let image = match store.read_image()? {
            Some(image) => image,
            None => store.create_tables(folder)?,
        };
        Ok(Opened {
            store,
            image,
            emptied: false,
        })
    }

    fn create_tables(&self, folder: &Path) -> Result<DiskImage, DiskError> {
        self.write(&[])?;
        sync_folder(folder)?;
        Ok(DiskImage::default())
    }

    /// Reads both tables; `None` if they have not been created.
    fn read_image(&self) -> Result<Option<DiskImage>, DiskError> {
        let transaction = self
            .file
            .database
            .begin_read()
            .map_err(DiskError::refused)?;
        let read = |definition| match transaction.open_table(definition) {
            Ok(table) => read_rows(&table).map(Some),
            Err(redb::TableError::TableDoesNotExist(_)) => Ok(None),
            Err(error) => Err(DiskError::from_table(error)),
        };
        let control: Option<Rows> = read(CONTROL)?;
        let records: Option<Rows> = read(RECORDS)?;
        match (control, records) {
            (Some(control), Some(records)) => Ok(Some(DiskImage { control, records })),
            (None, None) => Ok(None),
            // Both are created in one transaction.
            _ => Err(DiskError::TableMissing),
        }
    }

    /// Closes the file, which can be opened again with [`ClosedStore::reopen`].
    pub fn close(self) -> ClosedStore {
        ClosedStore {
            folder: self.folder,
            open: self.open,
        }
    }

    /// Applies all writes in one transaction and syncs it.
    ///
    /// # Errors
    ///
    /// [`DiskError::Refused`]: the file must be opened again before the next write.
    /// [`DiskError::SyncFailed`]: all data written since the last sync may be lost.
    pub fn write(&self, writes: &[DiskWrite]) -> Result<(), DiskError> {
        let written = self.write_transaction(writes);
        let sync_failed = self.file.sync_failed.load(Ordering::Relaxed);
        written.map_err(|error| error.with_failed_sync(sync_failed))
    }

    fn write_transaction(&self, writes: &[DiskWrite]) -> Result<(), DiskError> {
        let mut transaction = self
            .file
            .database
            .begin_write()
            .map_err(DiskError::refused)?;
        transaction
            .set_durability(Durability::Immediate)
            .map_err(DiskError::refused)?;
        apply(&transaction, CONTROL, Table::Control, writes)?;
        apply(&transaction, RECORDS, Table::Records, writes)?;
        transaction.commit().map_err(DiskError::refused)
    }
}

/// A store whose file was closed after a refused write.
pub struct ClosedStore {
    folder: PathBuf,
    open: OpenDatabase,
}

impl ClosedStore {
    /// Opens the file again. It holds all rows that were synced before, and either the whole refused write or no part
    /// of it.
    ///
    /// # Errors
    ///
    /// The errors of [`Store::open`]. A file that cannot be repaired is not replaced here, since this process still
    /// depends on the rows that the file held.
    pub fn reopen(&self) -> Result<Store, DiskError> {
        Ok(Store {
            folder: self.folder.clone(),
            file: (self.open)(&self.folder.join(FILE_NAME))?,
            open: self.open,
        })
    }
}

fn read_rows(table: &impl ReadableTable<&'static [u8], &'static [u8]>) -> Result<Rows, DiskError> {
    let mut rows = Vec::new();
    for row in table.iter().map_err(DiskError::from_storage)? {
        let (key, value) = row.map_err(DiskError::from_storage)?;
        rows.push((key.value().to_vec(), value.value().to_vec()));
    }
    Ok(rows)
}

/// Applies the operations on one table in their order. Operations on different tables do not depend on each other.
fn apply(
    transaction: &WriteTransaction,
    definition: Definition,
    name: Table,
    writes: &[DiskWrite],
) -> Result<(), DiskError> {
    let mut table = transaction
        .open_table(definition)
        .map_err(DiskError::refused)?;
    for operation in writes.iter().flat_map(|write| &write.operations) {
        match operation {
            DiskOperation::Put {
                table: of,
                key,
                value,
            } if *of == name => {
                table
                    .insert(key.as_slice(), value.as_slice())
                    .map_err(DiskError::refused)?;
            }
            DiskOperation::Delete { table: of, key } if *of == name => {
                table.remove(key.as_slice()).map_err(DiskError::refused)?;
            }
            DiskOperation::Clear { table: of } if *of == name => {
                table.retain(|_, _| false).map_err(DiskError::refused)?;
            }
            _ => {}
        }
    }
    Ok(())
}

fn open_database<F: DiskFile>(path: &Path) -> Result<OpenFile, DiskError> {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    let (file, sync_failed) = WatchedFile::<F>::open(path)?;
    let database = builder.create_with_backend(file).map_err(|error| {
        DiskError::from_database(error).with_failed_sync(sync_failed.load(Ordering::Relaxed))
    })?;
    Ok(OpenFile {
        database,
        sync_failed,
    })
}

/// Syncs the folder, so that the name of a created or renamed file is durable.
fn sync_folder(folder: &Path) -> Result<(), DiskError> {
    Ok(File::open(folder)?.sync_all()?)
}
