//! Positions in the log.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::entry::EntryPayload;

/// Keys of the chained checksum. They are not secret: the checksum detects corruption, not forgery.
const CHAIN_KEYS: (u64, u64) = (0x7361_6765, 0x7472_6169);

/// The position of an entry: index and term as in Raft, and a checksum that covers all entries up to it.
///
/// Two logs with the same position at one index hold the same entries up to it. Raft derives this from index and term
/// alone (the Log Matching Property, 5.3). The checksum verifies it, so that a corrupted or diverged log is detected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// Index of the entry in the log. The first entry has index 1; 0 stands for the position before it.
    pub index: u64,
    /// Term of the leader that proposed the entry.
    pub term: u64,
    /// Chained checksum over all entries up to this one.
    pub chain: u64,
}

impl LogPosition {
    /// Returns the position of an entry with this term and payload that directly follows this position.
    pub(crate) fn next(&self, term: u64, payload: &EntryPayload) -> LogPosition {
        LogPosition {
            index: self.index + 1,
            term,
            chain: self.next_chain(term, payload),
        }
    }

    /// Returns the chained checksum of the next entry. It covers the content of the entries, not their form on disk.
    fn next_chain(&self, term: u64, payload: &EntryPayload) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(CHAIN_KEYS.0, CHAIN_KEYS.1);
        hasher.write_u64(self.chain);
        hasher.write_u64(self.index + 1);
        hasher.write_u64(term);
        // Serializing to a vector fails only for sequences of unknown length, and the payload contains none.
        hasher.write(&postcard::to_allocvec(payload).unwrap_or_default());
        hasher.finish()
    }
}
