//! A configuration change of the operator, and its application to a value of the register.

use crate::value::{RegisterValue, StoredConfig};
use sagetrail_cluster_config::{patch_unchecked, ConfigDocument, ConfigError, StoredDocument};
use sagetrail_protocol::collections::MAX_BLOB_BYTES;
use sagetrail_protocol::control::AcceptedChange;
pub(crate) use sagetrail_protocol::control::ChangeKind;
use sagetrail_protocol::Blob;
use sha2::{Digest, Sha256};

/// The longest document that a change may lead to, in bytes. It leaves room for the other parts of a message with the
/// register's value, whose byte strings have a limit as well.
const MAX_DOCUMENT_BYTES: usize = MAX_BLOB_BYTES / 2;

/// A configuration change as the operator sent it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Change {
    /// Whether `body` is a full configuration or a patch.
    pub kind: ChangeKind,
    /// The version of the configuration on which the change is based.
    pub base: u64,
    /// The body of the request: a configuration document or a patch of one.
    pub body: Vec<u8>,
    /// The SHA-256 of kind and body. Two changes are the same if both base and digest are equal.
    pub digest: [u8; 32],
}

impl Change {
    /// Creates a change and computes its digest.
    pub(crate) fn new(kind: ChangeKind, base: u64, body: Vec<u8>) -> Change {
        let digest = digest(kind, &body);
        Change {
            kind,
            base,
            body,
            digest,
        }
    }

    /// Returns the value with the change applied.
    ///
    /// # Errors
    ///
    /// Returns the rule for configurations that the resulting document violates, or its length if it is too long.
    pub(crate) fn apply_to(&self, value: &RegisterValue) -> Result<RegisterValue, ConfigError> {
        let document = self.document(&value.config)?;
        let bytes = document.to_bytes();
        if bytes.len() > MAX_DOCUMENT_BYTES {
            return Err(ConfigError::TooLong {
                bytes: bytes.len(),
                limit: MAX_DOCUMENT_BYTES,
            });
        }
        let config = StoredConfig {
            version: document.version,
            document: Blob(bytes),
        };
        Ok(self.next_value(value.clone(), config))
    }

    /// Returns the value with the change applied, for a change that its proposer has checked and whose result will be
    /// compared with the proposer's. A patch is applied without the checks, which take most of the time if there are
    /// thousands of routes.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Change::apply_to`], except that the result of an unchecked patch may be invalid.
    pub(crate) fn apply_unchecked(
        &self,
        mut value: RegisterValue,
    ) -> Result<RegisterValue, ConfigError> {
        if self.kind != ChangeKind::Patch || value.config.version == 0 {
            return self.apply_to(&value);
        }
        let current = std::mem::take(&mut value.config.document);
        let patched = patch_unchecked(&current, &self.body)?;
        let config = StoredConfig {
            version: patched.version,
            document: Blob(patched.document),
        };
        Ok(self.next_value(value, config))
    }

    fn next_value(&self, mut value: RegisterValue, config: StoredConfig) -> RegisterValue {
        value.push_recent(AcceptedChange {
            base: self.base,
            version: config.version,
            digest: self.digest,
        });
        value.config = config;
        value
    }

    fn document(&self, current: &StoredConfig) -> Result<ConfigDocument, ConfigError> {
        let version = current.version;
        match self.kind {
            ChangeKind::Replace => ConfigDocument::replace(version, &self.body),
            ChangeKind::Patch => {
                let json = &current.document.0;
                let stored = (version > 0).then_some(StoredDocument { version, json });
                ConfigDocument::patch(stored.as_ref(), &self.body)
            }
        }
    }
}

fn digest(kind: ChangeKind, body: &[u8]) -> [u8; 32] {
    let kind_byte = match kind {
        ChangeKind::Replace => 1,
        ChangeKind::Patch => 2,
    };
    Sha256::new()
        .chain_update([kind_byte])
        .chain_update(body)
        .finalize()
        .into()
}
