//! Recovery of a process with an emptied disk.

use super::ProposalNumber;
use crate::id::Term;
use deku::prelude::*;

/// A process with an emptied disk asks for the highest promises known.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Recover {
    pub nonce: u64,
}

/// Answers `Recover`.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecoverReply {
    pub nonce: u64,
    pub promised: ProposalNumber,
    pub term: Term,
}
