//! Reference page and JSON schema, made from the table of keys.

use crate::keys::{Key, Kind, KEYS};
use serde_json::{json, Map, Value};
use std::fmt::Write;

fn describe(kind: Kind) -> String {
    match kind {
        Kind::Text => "text".to_string(),
        Kind::OneOf(words) => words.join(" or "),
        Kind::Bool => "true or false".to_string(),
        Kind::Integer(from, to) => format!("whole number, {from} to {to}"),
        Kind::Number(from, to) => format!("number, {from} to {to}"),
        Kind::Duration(from, to) => format!("time as text, {from} to {to} s"),
        Kind::Address => "address and port".to_string(),
        Kind::PrivateAddress => "address and port, loopback or private".to_string(),
        Kind::TextList => "list of text".to_string(),
        Kind::IntegerTable(from, to) => format!("table of whole numbers, {from} to {to}"),
        Kind::Settings => "table".to_string(),
    }
}

/// Reference page in Markdown.
pub fn reference_page() -> String {
    let mut page = String::from(
        "# Configuration\n\nMade by `sagetrail reference`. TOML; a later layer goes before an earlier one: the file, \
         the environment\n(`SAGETRAIL_` and the key in capitals, `__` for a dot), `--set KEY=VALUE`. Times are text \
         with a unit: us, ms, s, m, h.\n`[]` stands for a list of tables (`[[categories]]`). A key that is none is \
         refused with the nearest one.\n\n| key | holds | unless given | what it says |\n|---|---|---|---|\n",
    );
    for Key {
        path,
        kind,
        default,
        what,
    } in KEYS
    {
        let _ = writeln!(
            page,
            "| `{path}` | {} | {} | {what} |",
            describe(*kind),
            if default.is_empty() { "-" } else { default }
        );
    }
    page
}

fn leaf_schema(kind: Kind) -> Value {
    match kind {
        Kind::Text | Kind::Address | Kind::PrivateAddress => json!({"type": "string"}),
        Kind::OneOf(words) => json!({"enum": words}),
        Kind::Bool => json!({"type": "boolean"}),
        Kind::Integer(from, to) => json!({"type": "integer", "minimum": from, "maximum": to}),
        Kind::Number(from, to) => json!({"type": "number", "minimum": from, "maximum": to}),
        Kind::Duration(..) => json!({"type": "string", "pattern": "^[0-9.]+ ?(us|ms|s|m|min|h)$"}),
        Kind::TextList => json!({"type": "array", "items": {"type": "string"}}),
        Kind::IntegerTable(from, to) => json!({
            "type": "object",
            "additionalProperties": {"type": "integer", "minimum": from, "maximum": to},
        }),
        Kind::Settings => json!({"type": "object"}),
    }
}

fn insert(into: &mut Map<String, Value>, path: &str, key: &Key) {
    let (name, rest) = path
        .split_once('.')
        .map_or((path, None), |(name, rest)| (name, Some(rest)));
    let (name, is_list) = name
        .strip_suffix("[]")
        .map_or((name, false), |name| (name, true));
    let Some(rest) = rest else {
        let mut leaf = leaf_schema(key.kind);
        leaf["description"] = json!(key.what);
        into.insert(name.to_string(), leaf);
        return;
    };
    let table = json!({"type": "object", "additionalProperties": false, "properties": {}});
    let new_node = if is_list {
        json!({"type": "array", "items": table})
    } else {
        table
    };
    let child = into.entry(name).or_insert(new_node);
    let child = if is_list { &mut child["items"] } else { child };
    if let Some(properties) = child["properties"].as_object_mut() {
        insert(properties, rest, key);
    }
}

/// JSON schema of the configuration.
pub fn schema() -> Value {
    let mut properties = Map::new();
    KEYS.iter()
        .for_each(|key| insert(&mut properties, key.path, key));
    json!({
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "sagetrail",
        "type": "object",
        "additionalProperties": false,
        "properties": properties,
    })
}
