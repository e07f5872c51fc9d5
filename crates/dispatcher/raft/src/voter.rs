//! Voting members.

use serde::{Deserialize, Serialize};

/// Approximate size of one voter in a message, bytes.
pub(crate) const VOTER_BYTES: usize = 20;

/// A member that votes, together with the disk that holds its term, vote and log.
///
/// A member whose disk was replaced has lost its votes and acknowledgements. It therefore counts as another voter, and
/// must be added to the voters again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    /// The member's identifier.
    pub member: u64,
    /// Identifier of the member's disk.
    pub disk: u64,
}
