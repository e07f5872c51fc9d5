//! The file: opening it, reading it whole, writing many changes at once.

use std::fs::File;
use std::path::Path;

use redb::{
    Database, Durability, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction,
};

use sagetrail_protocol::node::{DiskImage, DiskOperation, DiskWrite, Table};

use super::file::LockedFile;
use super::DiskError;

const FILE_NAME: &str = "state.redb";
/// A file on its way into the place of a torn one.
const NEW_FILE_NAME: &str = "state.redb.new";
/// A row that says that the file took the place of a torn one, so that the disk never counts as fresh again.
const REPLACED_KEY: &[u8] = b"replaced";
/// The file is small; what it needs often fits in this.
const CACHE_BYTES: usize = 4 << 20;

type Definition = TableDefinition<'static, &'static [u8], &'static [u8]>;
type Rows = Vec<(Vec<u8>, Vec<u8>)>;

const CONTROL: Definition = TableDefinition::new("control");
const RECORDS: Definition = TableDefinition::new("records");

/// The open file.
pub struct Store {
    database: Database,
}

/// The open file and what was in it.
pub struct Opened {
    pub store: Store,
    pub image: DiskImage,
    /// A torn file was removed: whatever the disk held is forgotten.
    pub emptied: bool,
}

impl Store {
    /// Opens the file in `folder`, or makes it. One torn beyond repair is replaced, as if the disk had been lost.
    pub fn open(folder: &Path) -> Result<Opened, DiskError> {
        match Store::open_existing(folder) {
            Err(DiskError::Torn(reason)) => {
                log::warn!("torn file replaced: {reason}");
                let store = Store::replace(folder)?;
                Ok(Opened {
                    store,
                    image: DiskImage::default(),
                    emptied: true,
                })
            }
            other => other,
        }
    }

    /// Puts a new file in the place of a torn one. Until it is whole and says so, the torn one stays.
    fn replace(folder: &Path) -> Result<Store, DiskError> {
        let path = folder.join(NEW_FILE_NAME);
        match std::fs::remove_file(&path) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                return Err(DiskError::refused(error))
            }
            _ => {}
        }
        let store = Store {
            database: open_database(&path)?,
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
        std::fs::rename(&path, folder.join(FILE_NAME)).map_err(DiskError::refused)?;
        sync_folder(folder)?;
        Ok(store)
    }

    fn open_existing(folder: &Path) -> Result<Opened, DiskError> {
        std::fs::create_dir_all(folder).map_err(DiskError::refused)?;
        let store = Store {
            database: open_database(&folder.join(FILE_NAME))?,
        };
        let image = match store.read_image()? {
            Some(image) => image,
            None => store.make_tables(folder)?,
        };
        Ok(Opened {
            store,
            image,
            emptied: false,
        })
    }

    fn make_tables(&self, folder: &Path) -> Result<DiskImage, DiskError> {
        self.write(&[])?;
        sync_folder(folder)?;
        Ok(DiskImage::default())
    }

    /// Both tables, or nothing where they have not been made.
    fn read_image(&self) -> Result<Option<DiskImage>, DiskError> {
        let transaction = self.database.begin_read().map_err(DiskError::refused)?;
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
            // Both are made at once.
            _ => Err(DiskError::Torn("one table is missing".to_owned())),
        }
    }

    /// Brings all writes to the disk together, and syncs.
    pub fn write(&self, writes: &[DiskWrite]) -> Result<(), DiskError> {
        let mut transaction = self.database.begin_write().map_err(DiskError::refused)?;
        transaction
            .set_durability(Durability::Immediate)
            .map_err(DiskError::refused)?;
        apply(&transaction, CONTROL, Table::Control, writes)?;
        apply(&transaction, RECORDS, Table::Records, writes)?;
        transaction.commit().map_err(DiskError::refused)
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

/// Applies the operations on one table, in their order. Tables do not depend on each other.
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

fn open_database(path: &Path) -> Result<Database, DiskError> {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    let file = LockedFile::open(path).map_err(DiskError::refused)?;
    builder
        .create_with_backend(file)
        .map_err(DiskError::from_database)
}

/// A name lasts once its folder is synced.
fn sync_folder(folder: &Path) -> Result<(), DiskError> {
    let folder = File::open(folder).map_err(DiskError::refused)?;
    folder.sync_all().map_err(DiskError::refused)
}
