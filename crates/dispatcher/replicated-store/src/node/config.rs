//! The configuration of a node, and the types of its output to the host.

use sagetrail_raft::{DiskRecord, LogPosition, Timing};

/// Configuration of one member, and the content of its disk.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name of the fleet.
    pub fleet: String,
    /// Identifier of this member.
    pub member: u64,
    /// Identifiers of all members, including this member.
    pub members: Vec<u64>,
    /// Identifiers of the members that vote until an entry of the log sets other voters.
    pub initial_voters: Vec<u64>,
    /// Heartbeat interval and election timeout of the log.
    pub timing: Timing,
    /// Incarnation of this process: a number that increases with each start, as in SWIM.
    pub incarnation: u64,
    /// Random number that identifies this process, drawn at its start.
    pub process: u64,
    /// Identifier of the disk.
    pub disk: u64,
    /// The records that the disk holds, in order.
    pub records: Vec<DiskRecord>,
    /// Number of records written to the disk since it was blank.
    pub records_written: u64,
    /// Longest time for which tombstones of the merged state are kept, seconds.
    pub tombstone_retention_s: f64,
    /// Time for which records of work items are kept, seconds.
    pub record_retention_s: f64,
}

/// A frame with its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundFrame {
    /// Identifier of the member that receives the frame.
    pub to: u64,
    /// The encoded frame.
    pub bytes: Vec<u8>,
}

/// Bytes to write to the disk, and the frames that may be sent only after the bytes are synced.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Whether the bytes replace the journal; otherwise they are appended to it.
    pub rewrite: bool,
    /// The bytes to write.
    pub bytes: Vec<u8>,
    /// Frames to send after the sync, some of which acknowledge the written records.
    pub frames: Vec<OutboundFrame>,
    /// Position of the log's last entry as of this batch: the argument of [`Node::persisted`](crate::Node::persisted).
    pub position: LogPosition,
}

/// Number and size of frames.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of frames.
    pub frames: u64,
    /// Total size of the frames, bytes.
    pub bytes: u64,
}

impl Traffic {
    pub(super) fn count(&mut self, frame: &[u8]) {
        self.frames += 1;
        self.bytes += frame.len() as u64;
    }
}
