//! Distribution of configurations from the core to every process, down a relay tree.

use deku::prelude::*;

use crate::collections::Blob;

/// Subscribes to configurations newer than `known_version` for [`SUBSCRIPTION_MS`]. Sent by a child to its parent
/// every [`SUBSCRIBE_INTERVAL_MS`]; answered by [`ConfigUpdate`] or [`ConfigCurrent`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Subscribe {
    /// The version that the child holds; 0 for none.
    pub known_version: u64,
    /// The child's steady clock at the sending, in microseconds; comes back in the answer.
    pub asked_at: u64,
}

/// A configuration, as far as processes outside the core use it. Sent by a parent to subscribed children: as an answer,
/// and on each new version.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ConfigUpdate {
    /// The configuration's version.
    pub version: u64,
    /// JSON with the configuration's version and limits; routes and services are used on the core alone.
    pub document: Blob,
}

/// Answers a subscription that names the newest version already: the parent is alive and knows no newer one.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ConfigCurrent {
    /// The newest version that the parent knows.
    pub version: u64,
    /// How long ago the parent's knowledge left the core, in milliseconds, when it answered.
    pub age_ms: u64,
    /// `asked_at` of the subscription that this answers: the child counts the age from there, so that the answer's
    /// own delay is included.
    pub asked_at: u64,
}

/// The time after which a subscription ends unless renewed, in milliseconds.
pub const SUBSCRIPTION_MS: u64 = 2_000;
/// The time between two renewals of a subscription, in milliseconds: a small part of `config_apply_ms`.
pub const SUBSCRIBE_INTERVAL_MS: u64 = 400;
