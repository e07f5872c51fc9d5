//! The history of accepted configuration changes, by which a repeated change is recognized.

use deku::prelude::*;

use crate::collections::List;

/// A configuration change that was chosen. Between `base` and `version` there never was another version.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
pub struct AcceptedChange {
    /// The version of the configuration on which the change was made; 0 for the first configuration.
    pub base: u64,
    /// The version that resulted; above `base`.
    pub version: u64,
    /// SHA-256 of the change's kind and content.
    pub digest: [u8; 32],
}

/// Asks another core process for the accepted changes whose base is `after` or a later version. Sent by a core
/// process that lacks some; answered by [`ChangesReply`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ChangesRequest {
    /// The lowest base that is wanted, a version of the configuration.
    pub after: u64,
}

/// Accepted changes known to the sender, in order of their base. They are chosen values and never change, so that
/// it doesn't matter which process they come from.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ChangesReply {
    /// As in the request.
    pub after: u64,
    /// The changes, sorted by `base`; cut off at the sender's limit.
    pub changes: List<AcceptedChange>,
    /// Whether the sender knows later ones as well.
    pub more: bool,
}
