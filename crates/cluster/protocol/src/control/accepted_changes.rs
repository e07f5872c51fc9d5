//! The history of accepted configuration changes, which is used to detect that an operator repeats a change.

use deku::prelude::*;

use crate::collections::List;

/// A configuration change that was chosen. No other version ever existed between `base` and `version`.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
pub struct AcceptedChange {
    /// The version of the configuration to which the change was applied; 0 for the first configuration.
    pub base: u64,
    /// The version of the resulting configuration, which is above `base`.
    pub version: u64,
    /// The SHA-256 digest of the change's kind and content.
    pub digest: [u8; 32],
}

/// Requests the accepted changes whose base is `after` or a later version. A core process that lacks some changes sends
/// it to another core process, which answers with [`ChangesReply`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ChangesRequest {
    /// The lowest requested base, which is a version of the configuration.
    pub after: u64,
}

/// Accepted changes known to the sender, in the order of their base. They are chosen values and never change, so they
/// can be requested from any process. Answers a [`ChangesRequest`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ChangesReply {
    /// The lowest requested base, as in [`ChangesRequest`].
    pub after: u64,
    /// The changes, sorted by `base`; their number is limited by the sender.
    pub changes: List<AcceptedChange>,
    /// True if the sender knows further changes after the last one in `changes`.
    pub more: bool,
}
