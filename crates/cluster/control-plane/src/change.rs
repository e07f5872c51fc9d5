//! A change of the configuration, as the operator sent it.

use crate::value::{RegisterValue, StoredConfig};
use sagetrail_cluster_config::{patch_unchecked, ConfigDocument, ConfigError, StoredDocument};
use sagetrail_protocol::control::AcceptedChange;
pub(crate) use sagetrail_protocol::control::ChangeKind;
use sagetrail_protocol::Blob;
use sha2::{Digest, Sha256};

/// A change of the configuration as the operator sent it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Change {
    /// Whether `body` is a full configuration or a patch.
    pub kind: ChangeKind,
    /// The configuration's version on which the operator built the change.
    pub base: u64,
    /// The request's body: a document, or a patch of one.
    pub body: Vec<u8>,
    /// SHA-256 of kind and body: two changes are the same where base and digest are.
    pub digest: [u8; 32],
}

impl Change {
    /// A change with its digest.
    pub(crate) fn new(kind: ChangeKind, base: u64, body: Vec<u8>) -> Change {
        let digest = digest(kind, &body);
        Change {
            kind,
            base,
            body,
            digest,
        }
    }

    /// The value with the change put on top of it.
    ///
    /// # Errors
    ///
    /// What the document that results does not keep of the rules for configurations.
    pub(crate) fn applied_to(&self, value: &RegisterValue) -> Result<RegisterValue, ConfigError> {
        let document = self.document(&value.config)?;
        let config = StoredConfig {
            version: document.version,
            document: Blob(document.to_bytes()),
        };
        Ok(self.next_value(value.clone(), config))
    }

    /// The same for a change that its proposer has checked, and whose result will be compared with the proposer's: a
    /// patch is applied without the checks, which take most of the time where there are thousands of routes.
    ///
    /// # Errors
    ///
    /// As [`Change::applied_to`]; what an unchecked patch makes may be invalid.
    pub(crate) fn applied_unchecked(
        &self,
        mut value: RegisterValue,
    ) -> Result<RegisterValue, ConfigError> {
        if self.kind != ChangeKind::Patch || value.config.version == 0 {
            return self.applied_to(&value);
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
