//! Writes to the disk of a core process, and the contents of that disk when the process starts.

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

/// A change to one table on disk.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum DiskOperation {
    /// Sets a row, whether or not it exists.
    Put {
        /// The row's table.
        table: Table,
        /// The row's key.
        key: Vec<u8>,
        /// The row's new value.
        value: Vec<u8>,
    },
    /// Removes a row; it is no error if the row does not exist.
    Delete {
        /// The row's table.
        table: Table,
        /// The row's key.
        key: Vec<u8>,
    },
    /// Removes all rows of a table.
    Clear {
        /// The table whose rows are removed.
        table: Table,
    },
}

/// An atomic write, and the actions that wait until it is synced. The writes of one process reach the disk in the order
/// in which the outboxes contain them; the driver may sync several writes at once.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct DiskWrite {
    /// The changes, applied in this order.
    pub operations: Vec<DiskOperation>,
    /// The messages that are sent once the changes are synced. They contain promises that must survive a crash.
    pub send_when_synced: Vec<(NodeId, Message)>,
    /// The token that [`Event::Synced`](super::Event::Synced) returns once the changes are synced; `None` if no event
    /// is needed.
    pub token: Option<u64>,
}

/// The contents of the disk when the process started.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct DiskImage {
    /// The rows of [`Table::Control`] as (key, value), sorted by key.
    pub control: Vec<(Vec<u8>, Vec<u8>)>,
    /// The rows of [`Table::Records`] as (key, value), sorted by key.
    pub records: Vec<(Vec<u8>, Vec<u8>)>,
}
