//! Recovery of a process with an emptied disk: before it takes part again it learns the highest numbers that it may
//! have promised in an earlier incarnation.

use deku::prelude::*;

use super::ProposalNumber;
use crate::id::Term;

/// Asks for the highest promises known. Sent by a recovering core process to all other members; answered by
/// [`RecoverReply`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Recover {
    /// Matches replies with this recovery; replies with another number are dropped.
    pub nonce: u64,
}

/// Answers [`Recover`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecoverReply {
    /// As in the request.
    pub nonce: u64,
    /// The highest proposal number that the sender has promised or accepted.
    pub promised: ProposalNumber,
    /// The highest term that the sender has promised.
    pub term: Term,
}
