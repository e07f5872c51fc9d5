//! Reads typed items out of a document's JSON, and says where it fails.

use std::collections::HashSet;

use serde::Deserialize;
use serde_json::{Map, Value};
use validator::{Validate, ValidationErrors};

use crate::error::ConfigError;
use crate::item::Limits;

/// An object of JSON.
pub(crate) type Object = Map<String, Value>;

/// The object that `body` holds.
pub(crate) fn object(body: &[u8]) -> Result<Object, ConfigError> {
    let value: Value = serde_json::from_slice(body).map_err(|error| ConfigError::Unreadable {
        reason: error.to_string(),
    })?;
    match value {
        Value::Object(object) => Ok(object),
        _ => Err(ConfigError::Unreadable {
            reason: "not an object".to_owned(),
        }),
    }
}

/// The field `version`.
pub(crate) fn version(object: &Object) -> Result<u64, ConfigError> {
    let field = object
        .get("version")
        .ok_or_else(|| ConfigError::at("version", "missing"))?;
    field
        .as_u64()
        .ok_or_else(|| ConfigError::at("version", "must be a whole number"))
}

/// The field `limits`, or what holds without it.
pub(crate) fn limits(object: &Object) -> Result<Limits, ConfigError> {
    match object.get("limits") {
        None => Ok(Limits::default()),
        Some(value) => {
            Limits::deserialize(value).map_err(|error| ConfigError::at("limits", error.to_string()))
        }
    }
}

/// The items of the list `key`, each read and checked by itself.
pub(crate) fn items<'a, T>(object: &'a Object, key: &str) -> Result<Vec<T>, ConfigError>
where
    T: Deserialize<'a> + Validate,
{
    let list = object
        .get(key)
        .ok_or_else(|| ConfigError::at(key, "missing"))?;
    let list = list
        .as_array()
        .ok_or_else(|| ConfigError::at(key, "must be a list"))?;
    list.iter()
        .enumerate()
        .map(|(position, value)| item(value, &format!("{key}[{position}]")))
        .collect()
}

fn item<'a, T>(value: &'a Value, place: &str) -> Result<T, ConfigError>
where
    T: Deserialize<'a> + Validate,
{
    let item = T::deserialize(value).map_err(|error| ConfigError::at(place, error.to_string()))?;
    item.validate()
        .map_err(|errors| first_error(place, &errors))?;
    Ok(item)
}

fn first_error(place: &str, errors: &ValidationErrors) -> ConfigError {
    let fields = errors.field_errors();
    let first = fields.iter().min_by_key(|(field, _)| field.to_string());
    let Some((field, [error, ..])) = first.map(|(field, list)| (field, list.as_slice())) else {
        return ConfigError::at(place, "not valid");
    };
    let reason = error
        .message
        .as_ref()
        .map_or("not valid", |message| message.as_ref());
    ConfigError::at(format!("{place}.{field}"), reason)
}

/// Refuses a list in which two items share their name.
pub(crate) fn unique_names<'a>(
    key: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), ConfigError> {
    let mut seen = HashSet::new();
    for (position, name) in names.enumerate() {
        if !seen.insert(name) {
            return Err(ConfigError::at(
                format!("{key}[{position}].name"),
                format!("{name} is there twice"),
            ));
        }
    }
    Ok(())
}
