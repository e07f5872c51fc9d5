//! Why a configuration is refused.

use std::fmt;

/// A configuration or a change of one that is refused: where it is wrong, and why.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ConfigError {
    /// No JSON, or cut short.
    Unreadable { reason: String },
    /// A field or an item does not hold what it must.
    Invalid { place: String, reason: String },
    /// Its version is not above the one in force.
    OldVersion { version: u64, current: u64 },
    /// A patch, and there is nothing to change.
    NothingToPatch,
}

impl ConfigError {
    /// An error at `place`.
    pub(crate) fn at(place: impl Into<String>, reason: impl Into<String>) -> ConfigError {
        ConfigError::Invalid {
            place: place.into(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConfigError::Unreadable { reason } => write!(formatter, "unreadable: {reason}"),
            ConfigError::Invalid { place, reason } => write!(formatter, "{place}: {reason}"),
            ConfigError::OldVersion { version, current } => {
                write!(
                    formatter,
                    "version: {version} is not above the current {current}"
                )
            }
            ConfigError::NothingToPatch => write!(formatter, "there is no configuration to patch"),
        }
    }
}

impl std::error::Error for ConfigError {}
