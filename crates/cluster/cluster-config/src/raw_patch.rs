//! Patches a stored document without parsing its items.
//!
//! A document may contain thousands of routes, of which a patch names only a few. The other items are copied unchanged,
//! and only their names are parsed.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap, HashSet};

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;

use crate::error::ConfigError;
use crate::read::{self, Object};

/// The state of one field of the document while a patch is applied.
enum Field<'a> {
    /// The patch does not change the field, or has not reached it yet; it is kept as stored.
    Stored(&'a RawValue),
    /// The patch changes the list; each item is given as JSON text.
    List(Vec<Cow<'a, str>>),
    /// The patch has changed the object or the version.
    Changed(Value),
}

/// The fields of the document by name, in the order in which they are written.
type Fields<'a> = BTreeMap<String, Field<'a>>;

/// The name of an item; the item's other fields are not parsed.
#[derive(Deserialize)]
struct ItemName<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
}

/// Applies `patch` to the stored document `current` and returns the JSON of the result.
///
/// # Errors
///
/// Returns a [`ConfigError`] if the document is not readable or the patch has an invalid form.
pub(crate) fn apply_patch(current: &[u8], patch: &Object) -> Result<Vec<u8>, ConfigError> {
    let stored: BTreeMap<String, &RawValue> =
        serde_json::from_slice(current).map_err(unreadable_error)?;
    let mut fields: Fields = stored
        .into_iter()
        .map(|(key, value)| (key, Field::Stored(value)))
        .collect();
    let version = Value::from(read::version(patch)?);
    fields.insert("version".to_owned(), Field::Changed(version));
    for (key, change) in patch_fields(patch, "remove")? {
        remove_items(&mut fields, key, change)?;
    }
    for (key, change) in patch_fields(patch, "upsert")? {
        upsert(&mut fields, key, change)?;
    }
    write_document(&fields).map_err(unreadable_error)
}

fn unreadable_error(error: serde_json::Error) -> ConfigError {
    ConfigError::Unreadable {
        reason: error.to_string(),
    }
}

/// Returns the fields of the object `key` of a patch, or an empty list if the patch has no such object.
fn patch_fields<'a>(
    patch: &'a Object,
    key: &str,
) -> Result<Vec<(&'a String, &'a Value)>, ConfigError> {
    match patch.get(key) {
        None => Ok(Vec::new()),
        Some(Value::Object(fields)) => Ok(fields.iter().collect()),
        Some(_) => Err(ConfigError::at(key, "must be an object")),
    }
}

fn remove_items(fields: &mut Fields, key: &str, change: &Value) -> Result<(), ConfigError> {
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
    if let Some(items) = fields.get_mut(key).and_then(list_items) {
        items.retain(|item| name_of(item).is_none_or(|name| !removed.contains(&*name)));
    }
    Ok(())
}

fn upsert(fields: &mut Fields, key: &str, change: &Value) -> Result<(), ConfigError> {
    let path = format!("upsert.{key}");
    match change {
        Value::Array(changes) => upsert_items(fields, key, changes, &path),
        Value::Object(changes) => upsert_fields(fields, key, changes, &path),
        _ => Err(ConfigError::at(path, "must be a list of items")),
    }
}

fn upsert_items(
    fields: &mut Fields,
    key: &str,
    changes: &[Value],
    path: &str,
) -> Result<(), ConfigError> {
    let field = fields
        .entry(key.to_owned())
        .or_insert_with(|| Field::List(Vec::new()));
    let items = list_items(field).ok_or_else(|| ConfigError::at(path, "does not change a list"))?;
    let mut positions = positions_by_name(items);
    let mut seen_names = HashSet::with_capacity(changes.len());
    for (position, change) in changes.iter().enumerate() {
        let path = || format!("{path}[{position}]");
        let name = change.get("name").and_then(Value::as_str);
        let name = name.ok_or_else(|| ConfigError::at(path(), "must have a name"))?;
        if !seen_names.insert(name) {
            return Err(ConfigError::at(path(), format!("{name} is there twice")));
        }
        let item = Cow::Owned(change.to_string());
        match positions.remove(name) {
            Some(position) => items[position] = item,
            None => items.push(item),
        }
    }
    Ok(())
}

/// Returns the position of the first item with each name. A patch may contain as many items as the document; a linear
/// search for each of them would take time proportional to the product of both counts.
fn positions_by_name(items: &[Cow<str>]) -> HashMap<String, usize> {
    let mut positions = HashMap::with_capacity(items.len());
    for (position, item) in items.iter().enumerate() {
        if let Some(name) = name_of(item) {
            positions.entry(name.into_owned()).or_insert(position);
        }
    }
    positions
}

/// Sets fields of an object that is not a named item, such as `limits`; its other fields are not changed.
fn upsert_fields(
    fields: &mut Fields,
    key: &str,
    changes: &Object,
    path: &str,
) -> Result<(), ConfigError> {
    let not_an_object = || ConfigError::at(path, "does not change an object");
    let mut target = match fields.get(key) {
        None => Object::new(),
        Some(Field::Stored(raw)) => serde_json::from_str(raw.get()).map_err(|_| not_an_object())?,
        Some(Field::Changed(Value::Object(object))) => object.clone(),
        Some(Field::Changed(_) | Field::List(_)) => return Err(not_an_object()),
    };
    target.extend(changes.clone());
    fields.insert(key.to_owned(), Field::Changed(Value::Object(target)));
    Ok(())
}

/// Converts a stored list to a changeable one and returns its items; returns `None` if the field is not a list.
fn list_items<'f, 'a>(field: &'f mut Field<'a>) -> Option<&'f mut Vec<Cow<'a, str>>> {
    if let Field::Stored(raw) = *field {
        let items: Vec<&RawValue> = serde_json::from_str(raw.get()).ok()?;
        *field = Field::List(items.into_iter().map(|item| item.get().into()).collect());
    }
    match field {
        Field::List(items) => Some(items),
        Field::Stored(_) | Field::Changed(_) => None,
    }
}

fn name_of(item: &str) -> Option<Cow<'_, str>> {
    let item: ItemName = serde_json::from_str(item).ok()?;
    Some(item.name)
}

/// Serializes the document as compact JSON, in the format in which `serde_json` writes a map.
fn write_document(fields: &Fields) -> Result<Vec<u8>, serde_json::Error> {
    let mut json = Vec::new();
    for (key, field) in fields {
        json.push(if json.is_empty() { b'{' } else { b',' });
        serde_json::to_writer(&mut json, key)?;
        json.push(b':');
        match field {
            Field::Stored(raw) => json.extend_from_slice(raw.get().as_bytes()),
            Field::List(items) => write_list(&mut json, items),
            Field::Changed(value) => serde_json::to_writer(&mut json, value)?,
        }
    }
    json.push(b'}');
    Ok(json)
}

fn write_list(json: &mut Vec<u8>, items: &[Cow<str>]) {
    json.push(b'[');
    for (position, item) in items.iter().enumerate() {
        if position > 0 {
            json.push(b',');
        }
        json.extend_from_slice(item.as_bytes());
    }
    json.push(b']');
}
