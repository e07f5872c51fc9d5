//! What a node is started with, and what it hands to its host.

use sagetrail_raft::{DiskRecord, LogPosition, Timing};

/// The settings of one member, and what its disk holds.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The fleet's name.
    pub fleet: String,
    /// This member.
    pub member: u64,
    /// All members, this one included.
    pub members: Vec<u64>,
    /// The members that vote until the log says otherwise.
    pub initial_voters: Vec<u64>,
    /// Heartbeat interval and election timeout of the log.
    pub timing: Timing,
    /// Number of this process that grows with each start, as in SWIM.
    pub incarnation: u64,
    /// Random number of this process, drawn at the start.
    pub process: u64,
    /// The identity of the disk.
    pub disk: u64,
    /// The records that the disk holds.
    pub records: Vec<DiskRecord>,
    /// Number of records that the disk has ever held.
    pub records_written: u64,
    /// Longest time for which tombstones of the merged state are kept, seconds.
    pub tombstone_retention_s: f64,
    /// Time for which records of work items are kept, seconds.
    pub record_retention_s: f64,
}

/// A frame with its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundFrame {
    /// The member that receives the frame.
    pub to: u64,
    /// The encoded frame.
    pub bytes: Vec<u8>,
}

/// Bytes for the disk, and the frames that may be sent only once these are synced.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The bytes replace the journal; otherwise they are appended.
    pub rewrite: bool,
    /// The bytes to write.
    pub bytes: Vec<u8>,
    /// Frames that acknowledge what is written.
    pub frames: Vec<OutboundFrame>,
    /// The log's last entry with this batch; the argument of [`Node::persisted`](crate::Node::persisted).
    pub position: LogPosition,
}

/// Number of frames and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Frames.
    pub frames: u64,
    /// Their size, bytes.
    pub bytes: u64,
}

impl Traffic {
    pub(super) fn count(&mut self, frame: &[u8]) {
        self.frames += 1;
        self.bytes += frame.len() as u64;
    }
}
