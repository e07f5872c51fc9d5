//! The history of accepted configuration changes.

use crate::collections::List;
use deku::prelude::*;

/// A change of the configuration that was taken: between `base` and `version` there never was another version.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
pub struct AcceptedChange {
    pub base: u64,
    pub version: u64,
    /// SHA-256 of the change's kind and content.
    pub digest: [u8; 32],
}

/// Asks for the accepted changes whose base is `after` or a later version.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ChangesRequest {
    pub after: u64,
}

/// Accepted changes known to the sender, in order of their base. They are facts, whoever tells them.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ChangesReply {
    /// As in the request.
    pub after: u64,
    pub changes: List<AcceptedChange>,
    /// Whether the sender knows later ones as well.
    pub more: bool,
}
