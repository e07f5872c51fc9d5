//! Why a configuration is rejected.

/// Why a configuration or a change of one is rejected. The texts are part of the operator's HTTP answers.
#[derive(thiserror::Error, Clone, PartialEq, Eq, Debug)]
pub enum ConfigError {
    /// The body is not JSON, or is cut off.
    #[error("unreadable: {reason}")]
    Unreadable {
        /// What the parser reports.
        reason: String,
    },
    /// A field or an item is invalid or missing.
    #[error("{path}: {reason}")]
    Invalid {
        /// Where it is in the document, as in `routes[1].timeout_ms`.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The version is not above the current one.
    #[error("version: {version} is not above the current {current}")]
    OldVersion {
        /// The version in the body.
        version: u64,
        /// The version of the current configuration; 0 where there is none.
        current: u64,
    },
    /// A patch, and there is no configuration yet.
    #[error("there is no configuration to patch")]
    NothingToPatch,
}

impl ConfigError {
    /// A field or item at `path` is invalid.
    pub(crate) fn at(path: impl Into<String>, reason: impl Into<String>) -> ConfigError {
        ConfigError::Invalid {
            path: path.into(),
            reason: reason.into(),
        }
    }
}
