//! Recovery of a process that has lost the contents of its disk. Before it participates again, it learns the highest
//! numbers that it may have promised in an earlier incarnation.

use deku::prelude::*;

use super::ProposalNumber;
use crate::id::Term;

/// Requests the highest promises known. A recovering core process sends it to all other members, which answer with
/// [`RecoverReply`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Recover {
    /// A number that matches replies to this recovery; replies with a different number are dropped.
    pub nonce: u64,
}

/// The highest numbers that the sender has promised. Answers a [`Recover`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecoverReply {
    /// The nonce of the request.
    pub nonce: u64,
    /// The highest proposal number that the sender has promised or accepted.
    pub promised: ProposalNumber,
    /// The highest term that the sender has promised.
    pub term: Term,
}
