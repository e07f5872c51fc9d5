//! Changes of a configuration: a replacement, or a patch of named items.

use crate::document::ConfigDocument;
use crate::error::ConfigError;
use crate::raw_patch::patched;
use crate::read::{self, Object};

impl ConfigDocument {
    /// Parses the full configuration in `body`, which replaces one of version `current`; 0 for none.
    ///
    /// # Errors
    ///
    /// [`ConfigError::OldVersion`] where its version is not above the current one, otherwise as [`ConfigDocument::parse`].
    pub fn replace(current: u64, body: &[u8]) -> Result<ConfigDocument, ConfigError> {
        let json = read::object(body)?;
        check_version(current, &json)?;
        ConfigDocument::from_json(json)
    }

    /// Applies the patch in `body` to `current`: first the items under `remove` are removed, then those under `upsert`
    /// replace the items of the same name, or are appended.
    ///
    /// # Errors
    ///
    /// [`ConfigError::NothingToPatch`] without a current configuration, [`ConfigError::Invalid`] for an invalid patch,
    /// otherwise as [`ConfigDocument::replace`].
    pub fn patch(
        current: Option<&StoredDocument>,
        body: &[u8],
    ) -> Result<ConfigDocument, ConfigError> {
        let patch = read::object(body)?;
        check_version(current.map_or(0, |current| current.version), &patch)?;
        let current = current.ok_or(ConfigError::NothingToPatch)?;
        ConfigDocument::parse_stored(&patched(current.json, &patch)?)
    }
}

/// A configuration as it is stored, not parsed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StoredDocument<'a> {
    /// Its version, above 0.
    pub version: u64,
    /// The JSON that [`ConfigDocument::to_bytes`] made.
    pub json: &'a [u8],
}

/// Applies the patch in `body` to the document in `current`, without the checks of a valid configuration: for a change
/// that was checked elsewhere and whose result is compared with what came of it there. The same bytes as those of
/// [`ConfigDocument::patch`].
///
/// # Errors
///
/// [`ConfigError`] where either is not readable, or the patch has another form.
pub fn patch_unchecked(current: &[u8], body: &[u8]) -> Result<PatchedDocument, ConfigError> {
    let patch = read::object(body)?;
    let version = read::version(&patch)?;
    let document = patched(current, &patch)?;
    Ok(PatchedDocument { version, document })
}

/// What [`patch_unchecked`] makes.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PatchedDocument {
    /// The version that the patch names.
    pub version: u64,
    /// The document's JSON.
    pub document: Vec<u8>,
}

fn check_version(current: u64, json: &Object) -> Result<(), ConfigError> {
    let version = read::version(json)?;
    if version <= current {
        return Err(ConfigError::OldVersion { version, current });
    }
    Ok(())
}
