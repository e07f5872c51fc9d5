//! Changes to a configuration: replacing the full document, or patching named items.

use crate::document::ConfigDocument;
use crate::error::ConfigError;
use crate::raw_patch::apply_patch;
use crate::read::{self, Object};

impl ConfigDocument {
    /// Parses the full configuration in `body`, which replaces the one of version `current`; `current` is 0 if there is
    /// none.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::OldVersion`] if its version is not above the current one, otherwise the errors of
    /// [`ConfigDocument::parse`].
    pub fn replace(current: u64, body: &[u8]) -> Result<ConfigDocument, ConfigError> {
        let json = read::object(body)?;
        check_version(current, &json)?;
        ConfigDocument::from_json(json)
    }

    /// Applies the patch in `body` to `current`. The items named under `remove` are removed first; then each item under
    /// `upsert` replaces the item of the same name, or is appended if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::NothingToPatch`] if there is no current configuration, [`ConfigError::Invalid`] for an
    /// invalid patch, otherwise the errors of [`ConfigDocument::replace`].
    pub fn patch(
        current: Option<&StoredDocument>,
        body: &[u8],
    ) -> Result<ConfigDocument, ConfigError> {
        let patch = read::object(body)?;
        check_version(current.map_or(0, |current| current.version), &patch)?;
        let current = current.ok_or(ConfigError::NothingToPatch)?;
        ConfigDocument::parse_stored(&apply_patch(current.json, &patch)?)
    }
}

/// A configuration in its stored form, which is not parsed yet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StoredDocument<'a> {
    /// The version of the configuration; always above 0.
    pub version: u64,
    /// The JSON that [`ConfigDocument::to_bytes`] returned.
    pub json: &'a [u8],
}

/// Applies the patch in `body` to the document in `current` without checking that the result is a valid configuration.
/// It serves a change that another process has checked, where the caller compares the result with that of the other
/// process. The resulting bytes equal those of [`ConfigDocument::patch`].
///
/// # Errors
///
/// Returns a [`ConfigError`] if the document or the patch is not readable JSON, or if the patch has an invalid form.
pub fn patch_unchecked(current: &[u8], body: &[u8]) -> Result<PatchedDocument, ConfigError> {
    let patch = read::object(body)?;
    let version = read::version(&patch)?;
    let document = apply_patch(current, &patch)?;
    Ok(PatchedDocument { version, document })
}

/// The result of [`patch_unchecked`].
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PatchedDocument {
    /// The version that the patch specifies.
    pub version: u64,
    /// The JSON of the patched document.
    pub document: Vec<u8>,
}

fn check_version(current: u64, json: &Object) -> Result<(), ConfigError> {
    let version = read::version(json)?;
    if version <= current {
        return Err(ConfigError::OldVersion { version, current });
    }
    Ok(())
}
