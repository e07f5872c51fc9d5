//! The configuration's way from the core to every process, down a relay tree.

use crate::collections::Blob;
use deku::prelude::*;

/// Asks a parent to send what is newer than `known_version`, now and from now on for `SUBSCRIPTION_MS`.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Subscribe {
    pub known_version: u64,
    /// The child's steady clock at the sending, in microseconds; comes back in the answer.
    pub asked_at: u64,
}

/// A configuration, whole (JSON as the operator reads it).
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ConfigUpdate {
    pub version: u64,
    pub document: Blob,
}

/// Answers a subscription that has the newest version already: the parent is alive and knows no newer one.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ConfigCurrent {
    pub version: u64,
    /// How long ago the parent's knowledge left the core, in milliseconds, when it answered.
    pub age_ms: u64,
    /// The `asked_at` of the subscription that this answers: the child counts the age from there, however long the
    /// answer was on its way.
    pub asked_at: u64,
}

/// A subscription lasts so long unless renewed, in milliseconds.
pub const SUBSCRIPTION_MS: u64 = 2_000;
/// A child renews this often, in milliseconds: a small part of the time a configuration has to get everywhere.
pub const SUBSCRIBE_INTERVAL_MS: u64 = 400;
