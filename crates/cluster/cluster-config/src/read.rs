//! Reads typed items from a document's JSON; the errors contain the path of the fault.

use std::collections::HashSet;

use serde::Deserialize;
use serde_json::{Map, Value};
use validator::{Validate, ValidationErrors};

use crate::error::ConfigError;
use crate::item::Limits;

/// A JSON object.
pub(crate) type Object = Map<String, Value>;

/// Parses the JSON object in `body`.
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

/// Returns the field `version` of a document or patch.
pub(crate) fn version(object: &Object) -> Result<u64, ConfigError> {
    let field = object
        .get("version")
        .ok_or_else(|| ConfigError::at("version", "missing"))?;
    field
        .as_u64()
        .ok_or_else(|| ConfigError::at("version", "must be a whole number"))
}

/// Returns the field `limits`, or the default limits if the document has none.
pub(crate) fn limits(object: &Object) -> Result<Limits, ConfigError> {
    match object.get("limits") {
        None => Ok(Limits::default()),
        Some(value) => {
            Limits::deserialize(value).map_err(|error| ConfigError::at("limits", error.to_string()))
        }
    }
}

/// Returns the items of the list `key`; each is parsed and checked without regard to the others.
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

fn item<'a, T>(value: &'a Value, path: &str) -> Result<T, ConfigError>
where
    T: Deserialize<'a> + Validate,
{
    let item = T::deserialize(value).map_err(|error| ConfigError::at(path, error.to_string()))?;
    item.validate()
        .map_err(|errors| first_error(path, &errors))?;
    Ok(item)
}

fn first_error(path: &str, errors: &ValidationErrors) -> ConfigError {
    let fields = errors.field_errors();
    let first = fields.iter().min_by_key(|(field, _)| field.to_string());
    let Some((field, [error, ..])) = first.map(|(field, list)| (field, list.as_slice())) else {
        return ConfigError::at(path, "not valid");
    };
    let reason = error
        .message
        .as_ref()
        .map_or("not valid", |message| message.as_ref());
    ConfigError::at(format!("{path}.{field}"), reason)
}

/// Returns an error if two items of the list `key` have the same name.
pub(crate) fn check_unique_names<'a>(
    key: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), ConfigError> {
    let mut seen_names = HashSet::new();
    for (position, name) in names.enumerate() {
        if !seen_names.insert(name) {
            return Err(ConfigError::at(
                format!("{key}[{position}].name"),
                format!("{name} is there twice"),
            ));
        }
    }
    Ok(())
}
