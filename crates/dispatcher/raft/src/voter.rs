//! Voting members.

use serde::{Deserialize, Serialize};

/// Approximate size of a voter in a message, bytes.
pub(crate) const VOTER_BYTES: usize = 20;

/// A member that votes, together with the disk that holds its term, vote and log.
///
/// A member whose disk was replaced has lost what it promised, so it is another voter and must be added anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    /// The member's identifier.
    pub member: u64,
    /// The identity of its disk.
    pub disk: u64,
}
