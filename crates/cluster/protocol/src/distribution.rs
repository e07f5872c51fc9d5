//! Distribution of configurations from the core to every process through a relay tree.

use deku::prelude::*;

use crate::collections::Blob;

/// Subscribes to configurations newer than `known_version` for [`SUBSCRIPTION_MS`]. A child sends it to its parent
/// every [`SUBSCRIBE_INTERVAL_MS`]; the parent answers with [`ConfigUpdate`] or [`ConfigCurrent`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Subscribe {
    /// The version of the configuration that the child has; 0 if it has none.
    pub known_version: u64,
    /// The child's steady clock when it sent the subscription, in microseconds; the answer returns it.
    pub asked_at: u64,
}

/// The part of a configuration that processes outside the core use. A parent sends it to subscribed children as an
/// answer to [`Subscribe`] and whenever a new version arrives.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ConfigUpdate {
    /// The configuration's version.
    pub version: u64,
    /// JSON with the configuration's version and limits. Routes and services are not included, because only core
    /// processes use them.
    pub document: Blob,
}

/// Answers a subscription whose `known_version` is already the newest: the parent is alive and knows no newer version.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ConfigCurrent {
    /// The newest version that the parent knows.
    pub version: u64,
    /// The age of the parent's information when it answered, in milliseconds, measured from when the information left
    /// the core.
    pub age_ms: u64,
    /// The `asked_at` of the subscription that this answers, in microseconds. The child adds the time since then to the
    /// age, so that the delay of the answer is included.
    pub asked_at: u64,
}

/// The time after which a subscription expires unless it is renewed, in milliseconds.
pub const SUBSCRIPTION_MS: u64 = 2_000;
/// The time between two renewals of a subscription, in milliseconds. It is a small fraction of `config_apply_ms`.
pub const SUBSCRIBE_INTERVAL_MS: u64 = 400;
