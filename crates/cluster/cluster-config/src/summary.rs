//! The part of a configuration that processes outside the core use.

use serde::{Deserialize, Serialize};

use crate::error::ConfigError;
use crate::item::Limits;

/// What frontends and agents use of a configuration: its version and the limits on clients' requests.
///
/// Requests are routed by the scheduler, so that routes and services stay on the core: a document of thousands of routes
/// would fill the thin link of a frontend for longer than the configuration may take to be in force.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct ConfigSummary {
    /// The configuration's version.
    pub version: u64,
    /// Limits on clients' requests.
    #[serde(default)]
    pub limits: Limits,
}

impl ConfigSummary {
    /// Reads the summary from its own JSON or from that of a full document, whose other fields are skipped.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Unreadable`] where the bytes are not JSON, or the version is missing.
    pub fn parse(body: &[u8]) -> Result<ConfigSummary, ConfigError> {
        serde_json::from_slice(body).map_err(|error| ConfigError::Unreadable {
            reason: error.to_string(),
        })
    }

    /// The summary as JSON.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
