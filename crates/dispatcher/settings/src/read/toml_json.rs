//! Converts TOML values to JSON.

use serde_json::{json, Value};
use toml::de::{DeInteger, DeTable, DeValue};

/// Converts a value; numbers that do not fit become null.
pub(super) fn to_json(value: &DeValue) -> Value {
    match value {
        DeValue::String(text) => json!(text),
        DeValue::Integer(number) => integer(number),
        DeValue::Float(number) => number
            .as_str()
            .parse::<f64>()
            .map_or(json!(null), |n| json!(n)),
        DeValue::Boolean(flag) => json!(flag),
        DeValue::Datetime(at) => json!(at.to_string()),
        DeValue::Array(items) => items.iter().map(|item| to_json(item.get_ref())).collect(),
        DeValue::Table(table) => object(table),
    }
}

/// Parses a single TOML value; `None` if `text` is none.
pub(super) fn parse_value(text: &str) -> Option<Value> {
    let document = format!("v = {text}");
    let table = DeTable::parse(&document).ok()?;
    let value = table.get_ref().get("v")?;
    Some(to_json(value.get_ref()))
}

fn integer(number: &DeInteger) -> Value {
    let digits = number.as_str().replace('_', "");
    i64::from_str_radix(&digits, number.radix()).map_or(json!(null), |n| json!(n))
}

fn object(table: &DeTable) -> Value {
    let field = |name: &str, value: &DeValue| (name.to_string(), to_json(value));
    let fields = table
        .iter()
        .map(|(name, value)| field(name.get_ref(), value.get_ref()));
    Value::Object(fields.collect())
}
