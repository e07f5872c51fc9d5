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

/// A change of what is on disk.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum DiskOperation {
    Put {
        table: Table,
        key: Vec<u8>,
        value: Vec<u8>,
    },
    Delete {
        table: Table,
        key: Vec<u8>,
    },
    /// Empties a table.
    Clear {
        table: Table,
    },
}

/// Changes that reach the disk together or not at all, and what waits for that. Writes of one process reach the
/// disk in the order in which they were asked for; the world may sync several at once.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct DiskWrite {
    pub operations: Vec<DiskOperation>,
    /// Sent once the changes are synced.
    pub send_when_synced: Vec<(NodeId, Message)>,
    /// Told back as `Event::Synced` once the changes are synced.
    pub token: Option<u64>,
}

/// What was on disk when the process started.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct DiskImage {
    pub control: Vec<(Vec<u8>, Vec<u8>)>,
    pub records: Vec<(Vec<u8>, Vec<u8>)>,
}
