//! Writes to the disk of a core process, and what it holds at the start.

use crate::id::NodeId;
use crate::message::Message;

/// A table on disk.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub enum Table {
    /// The control plane's own state: promises, accepted values, members.
    Control,
    /// The replicated records of the scheduler.
    Records,
}

/// A change of one table on disk.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum DiskOperation {
    /// Sets a row, whether it was there or not.
    Put {
        /// The row's table.
        table: Table,
        /// The row's key.
        key: Vec<u8>,
        /// Its new value.
        value: Vec<u8>,
    },
    /// Removes a row; no error where there is none.
    Delete {
        /// The row's table.
        table: Table,
        /// The row's key.
        key: Vec<u8>,
    },
    /// Removes all rows of a table.
    Clear {
        /// The table.
        table: Table,
    },
}

/// An atomic write, and what waits until it is synced. Writes of one process reach the disk in the order of the
/// outboxes; the driver may sync several at once.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct DiskWrite {
    /// The changes, applied in this order.
    pub operations: Vec<DiskOperation>,
    /// Messages that are sent once the changes are synced: promises that must survive a crash.
    pub send_when_synced: Vec<(NodeId, Message)>,
    /// Comes back in [`Event::Synced`](super::Event::Synced) once the changes are synced.
    pub token: Option<u64>,
}

/// What was on disk when the process started.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct DiskImage {
    /// The rows of [`Table::Control`] as (key, value), sorted by key.
    pub control: Vec<(Vec<u8>, Vec<u8>)>,
    /// The rows of [`Table::Records`] as (key, value), sorted by key.
    pub records: Vec<(Vec<u8>, Vec<u8>)>,
}
