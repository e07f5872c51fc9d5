//! Snapshots of the replicated state.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::log_position::LogPosition;
use crate::voter::Voter;

/// Keys of the checksum of a serialized snapshot. They are not secret: the checksum detects corruption, not forgery.
const SNAPSHOT_KEYS: (u64, u64) = (0x7368_6f74, 1);

/// The state after all entries up to a position (Raft, 7). Every member has the same bytes for the same position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The position of the last entry that the snapshot covers.
    pub position: LogPosition,
    /// The voters as of that position.
    pub voters: Vec<Voter>,
    /// The host's state, serialized by the host.
    pub state: Vec<u8>,
}

impl Snapshot {
    /// Returns the checksum of a serialized snapshot.
    pub fn checksum(bytes: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(SNAPSHOT_KEYS.0, SNAPSHOT_KEYS.1);
        hasher.write(bytes);
        hasher.finish()
    }
}
