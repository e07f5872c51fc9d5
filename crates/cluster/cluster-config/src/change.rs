//! Changes of a configuration: a replacement, or a patch of named items.

use std::collections::{HashMap, HashSet};

use serde_json::Value;

use crate::document::ConfigDocument;
use crate::error::ConfigError;
use crate::read::{self, Object};

impl ConfigDocument {
    /// Parses the full configuration in `body`, which replaces `current`.
    ///
    /// # Errors
    ///
    /// [`ConfigError::OldVersion`] where its version is not above the current one, otherwise as [`ConfigDocument::parse`].
    pub fn replace(
        current: Option<&ConfigDocument>,
        body: &[u8],
    ) -> Result<ConfigDocument, ConfigError> {
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
        current: Option<&ConfigDocument>,
        body: &[u8],
    ) -> Result<ConfigDocument, ConfigError> {
        let patch = read::object(body)?;
        check_version(current, &patch)?;
        let json = current.ok_or(ConfigError::NothingToPatch)?.json().clone();
        ConfigDocument::from_json(patched(json, &patch)?)
    }
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
    let json = patched(read::object(current)?, &patch)?;
    let document = serde_json::to_vec(&json).unwrap_or_default();
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

fn patched(mut json: Object, patch: &Object) -> Result<Object, ConfigError> {
    json.insert("version".to_owned(), Value::from(read::version(patch)?));
    for (key, change) in section(patch, "remove")? {
        remove(&mut json, key, change)?;
    }
    for (key, change) in section(patch, "upsert")? {
        upsert(&mut json, key, change)?;
    }
    Ok(json)
}

fn check_version(current: Option<&ConfigDocument>, json: &Object) -> Result<u64, ConfigError> {
    let version = read::version(json)?;
    let current = current.map_or(0, |document| document.version);
    if version <= current {
        return Err(ConfigError::OldVersion { version, current });
    }
    Ok(version)
}

/// The fields of the object `key` of a patch; empty where it is missing.
fn section<'a>(patch: &'a Object, key: &str) -> Result<Vec<(&'a String, &'a Value)>, ConfigError> {
    match patch.get(key) {
        None => Ok(Vec::new()),
        Some(Value::Object(fields)) => Ok(fields.iter().collect()),
        Some(_) => Err(ConfigError::at(key, "must be an object")),
    }
}

fn remove(json: &mut Object, key: &str, change: &Value) -> Result<(), ConfigError> {
    let path = format!("remove.{key}");
    let names = change
        .as_array()
        .ok_or_else(|| ConfigError::at(&path, "must be a list of names"))?;
    let mut removed = HashSet::with_capacity(names.len());
    for (position, name) in names.iter().enumerate() {
        let name = name
            .as_str()
            .ok_or_else(|| ConfigError::at(format!("{path}[{position}]"), "must be a name"))?;
        removed.insert(name);
    }
    if let Some(Value::Array(items)) = json.get_mut(key) {
        items.retain(|item| name_of(item).is_none_or(|name| !removed.contains(name)));
    }
    Ok(())
}

fn upsert(json: &mut Object, key: &str, change: &Value) -> Result<(), ConfigError> {
    let path = format!("upsert.{key}");
    match change {
        Value::Array(changes) => upsert_items(json, key, changes, &path),
        Value::Object(changes) => upsert_fields(json, key, changes, &path),
        _ => Err(ConfigError::at(path, "must be a list of items")),
    }
}

fn upsert_items(
    json: &mut Object,
    key: &str,
    changes: &[Value],
    path: &str,
) -> Result<(), ConfigError> {
    let list = json.entry(key).or_insert_with(|| Value::Array(Vec::new()));
    let items = list
        .as_array_mut()
        .ok_or_else(|| ConfigError::at(path, "does not change a list"))?;
    let mut positions = positions_by_name(items);
    let mut seen = HashSet::with_capacity(changes.len());
    for (position, change) in changes.iter().enumerate() {
        let path = || format!("{path}[{position}]");
        let name = name_of(change).ok_or_else(|| ConfigError::at(path(), "must have a name"))?;
        if !seen.insert(name) {
            return Err(ConfigError::at(path(), format!("{name} is there twice")));
        }
        match positions.remove(name) {
            Some(position) => items[position] = change.clone(),
            None => items.push(change.clone()),
        }
    }
    Ok(())
}

/// The position of the first item of each name: a patch may hold as many items as the document, and a search of the list
/// for each would take as long as the product of both.
fn positions_by_name(items: &[Value]) -> HashMap<String, usize> {
    let mut positions = HashMap::with_capacity(items.len());
    for (position, item) in items.iter().enumerate() {
        if let Some(name) = name_of(item) {
            positions.entry(name.to_owned()).or_insert(position);
        }
    }
    positions
}

/// Sets fields of an object without a name, such as `limits`; the others stay.
fn upsert_fields(
    json: &mut Object,
    key: &str,
    changes: &Object,
    path: &str,
) -> Result<(), ConfigError> {
    let target = json
        .entry(key)
        .or_insert_with(|| Value::Object(Object::new()));
    let fields = target
        .as_object_mut()
        .ok_or_else(|| ConfigError::at(path, "does not change an object"))?;
    for (name, value) in changes {
        fields.insert(name.clone(), value.clone());
    }
    Ok(())
}

fn name_of(item: &Value) -> Option<&str> {
    item.get("name")?.as_str()
}
