//! The part of a configuration that processes outside the core use.

use serde::{Deserialize, Serialize};

use crate::error::ConfigError;
use crate::item::Limits;

/// The part of a configuration that frontends and agents use: its version and the limits on clients' requests.
///
/// Routes and services are not sent to these processes, because only the scheduler routes requests. A document with
/// thousands of routes would occupy a frontend's low-bandwidth link for longer than a configuration may take to come
/// into force.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct ConfigSummary {
    /// The configuration's version.
    pub version: u64,
    /// The limits on clients' requests.
    #[serde(default)]
    pub limits: Limits,
}

impl ConfigSummary {
    /// Parses a summary from its own JSON, or from the JSON of a full document, whose other fields are ignored.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::Unreadable`] if the bytes are not JSON or the version is missing.
    pub fn parse(body: &[u8]) -> Result<ConfigSummary, ConfigError> {
        serde_json::from_slice(body).map_err(|error| ConfigError::Unreadable {
            reason: error.to_string(),
        })
    }

    /// Returns the summary as JSON.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
