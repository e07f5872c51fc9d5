//! The reasons for which a configuration is rejected.

/// The reason for which a configuration or a change to one is rejected. The texts are sent in the HTTP answers to the
/// operator.
#[derive(thiserror::Error, Clone, PartialEq, Eq, Debug)]
pub enum ConfigError {
    /// The body is not a JSON object, or is truncated.
    #[error("unreadable: {reason}")]
    Unreadable {
        /// The parser's error message.
        reason: String,
    },
    /// A field or an item is invalid or missing.
    #[error("{path}: {reason}")]
    Invalid {
        /// The path of the field or item in the document, for example `routes[1].timeout_ms`.
        path: String,
        /// The rule that the field or item violates.
        reason: String,
    },
    /// The version is not above the current one.
    #[error("version: {version} is not above the current {current}")]
    OldVersion {
        /// The version in the body.
        version: u64,
        /// The version of the current configuration; 0 if there is none.
        current: u64,
    },
    /// The resulting document is longer than a configuration may be.
    #[error("the configuration would have {bytes} bytes, at most {limit}")]
    TooLong {
        /// The length of the document.
        bytes: usize,
        /// The longest document that is accepted.
        limit: usize,
    },
    /// A patch was sent but there is no configuration yet.
    #[error("there is no configuration to patch")]
    NothingToPatch,
}

impl ConfigError {
    /// Builds the error for an invalid field or item at `path`.
    pub(crate) fn at(path: impl Into<String>, reason: impl Into<String>) -> ConfigError {
        ConfigError::Invalid {
            path: path.into(),
            reason: reason.into(),
        }
    }
}
