//! What a node is started with, and what it hands to its host.

use sagetrail_raft::{DiskRecord, LogPosition, Timing};

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The fleet's name.
    pub fleet: String,
    /// This member.
    pub me: u64,
    /// All members, this one included.
    pub members: Vec<u64>,
    /// Who votes until it is agreed otherwise.
    pub initial_voters: Vec<u64>,
    /// Heartbeat and election timeout.
    pub timing: Timing,
    /// Grows with each start.
    pub incarnation: u64,
    /// Drawn at each start.
    pub birth: u64,
    /// The disk's identity.
    pub disk: u64,
    /// What the disk holds.
    pub records: Vec<DiskRecord>,
    /// Its records ever.
    pub written: u64,
    /// Marks of what was dropped from merged state are kept for so long, seconds.
    pub marks_s: f64,
    /// Records of hand-offs are kept for so long, seconds.
    pub records_s: f64,
}

/// What goes to the disk, and what may only be sent once it is synced.
#[derive(Clone, Debug)]
pub struct Batch {
    /// In place of all that the file holds.
    pub rewrite: bool,
    /// What is to be written.
    pub bytes: Vec<u8>,
    /// Frames that rest on it, with their receivers.
    pub frames: Vec<(u64, Vec<u8>)>,
    /// The log's last entry with this batch.
    pub position: LogPosition,
}

/// Frames and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// How many.
    pub frames: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Traffic {
    pub(super) fn count(&mut self, frame: &[u8]) {
        self.frames += 1;
        self.bytes += frame.len() as u64;
    }
}
