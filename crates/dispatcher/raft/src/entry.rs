//! Entries of the log, their places, and snapshots.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Keys of the checksums. They are no secret: the sums find faults, not forgers.
const CHAIN_KEYS: (u64, u64) = (0x7361_6765, 0x7472_6169);
const SNAPSHOT_KEYS: (u64, u64) = (0x7368_6f74, 1);
/// About what an entry without its payload, and a voter, take on a link; bytes.
const ENTRY_OVERHEAD: usize = 32;
const VOTER_SIZE: usize = 20;

/// A member that votes, as one disk of it: what it promised stands there. One that comes with another disk has
/// promised nothing and is another voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    /// The member.
    pub who: u64,
    /// The identity of its disk.
    pub disk: u64,
}

/// A place in the log: the chain is a checksum over all that was agreed up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Index in the log, from 1.
    pub index: u64,
    /// Term of the leader that proposed the entry.
    pub term: u64,
    /// Checksum over all entries up to this one.
    pub chain: u64,
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// What a new leader begins its term with.
    Noop,
    /// Who votes from here on.
    Voters(Vec<Voter>),
    /// The host's own.
    Command(Vec<u8>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub mark: Mark,
    /// What it says.
    pub payload: EntryPayload,
}

impl Entry {
    /// The entry right behind a place.
    pub fn after(before: &Mark, term: u64, payload: EntryPayload) -> Entry {
        let chain = chain(before, term, &payload);
        Entry {
            mark: Mark {
                index: before.index + 1,
                term,
                chain,
            },
            payload,
        }
    }

    /// It is whole, and stands behind this.
    pub fn follows(&self, before: &Mark) -> bool {
        self.mark.index == before.index + 1
            && self.mark.term >= before.term
            && self.mark.chain == chain(before, self.mark.term, &self.payload)
    }

    /// About what it takes on a link, bytes.
    pub fn size(&self) -> usize {
        let payload = match &self.payload {
            EntryPayload::Noop => 0,
            EntryPayload::Voters(voters) => VOTER_SIZE * voters.len(),
            EntryPayload::Command(command) => command.len(),
        };
        ENTRY_OVERHEAD + payload
    }
}

/// The checksum is over what was agreed, not over how it lies on disk.
fn chain(before: &Mark, term: u64, payload: &EntryPayload) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(CHAIN_KEYS.0, CHAIN_KEYS.1);
    hasher.write_u64(before.chain);
    hasher.write_u64(before.index + 1);
    hasher.write_u64(term);
    // Writing to a vector fails only on types without a known length, and none is here.
    hasher.write(&postcard::to_allocvec(payload).unwrap_or_default());
    hasher.finish()
}

/// All that was agreed up to a place, in one piece. The same bytes at every member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The place of the last entry in it.
    pub mark: Mark,
    /// Who votes as of that place.
    pub voters: Vec<Voter>,
    /// The host's state.
    pub state: Vec<u8>,
}

impl Snapshot {
    /// The checksum of a serialized snapshot.
    pub fn sum(bytes: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(SNAPSHOT_KEYS.0, SNAPSHOT_KEYS.1);
        hasher.write(bytes);
        hasher.finish()
    }
}
