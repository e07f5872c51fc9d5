//! Checks a value against the kind of its key.

use crate::keys::Kind;
use crate::units;
use serde_json::{json, Value};
use std::net::{IpAddr, SocketAddr};

/// Longest text in bytes that is accepted.
const MAX_TEXT_BYTES: usize = 1024;

/// Returns the value in its normal form (durations in seconds, addresses as parsed), or why it is rejected.
pub(super) fn check(kind: Kind, value: &Value) -> Result<Value, String> {
    match kind {
        Kind::Text => check_text(value),
        Kind::OneOf(words) => check_one_of(value, words),
        Kind::Bool => check_bool(value),
        Kind::Integer(from, to) => check_integer(value, from, to),
        Kind::Number(from, to) => check_number(value, from, to),
        Kind::Duration(from, to) => check_duration(value, from, to),
        Kind::Address => Ok(json!(address(value)?.to_string())),
        Kind::PrivateAddress => check_private_address(value),
        Kind::TextList => check_text_list(value),
        Kind::IntegerTable(from, to) => check_integer_table(value, from, to),
        Kind::Settings => check_settings(value),
    }
}

fn text(value: &Value) -> Result<&str, String> {
    value.as_str().ok_or_else(|| format!("{value} is not text"))
}

fn check_text(value: &Value) -> Result<Value, String> {
    match text(value)? {
        "" => Err("it is empty".to_string()),
        text if text.len() > MAX_TEXT_BYTES => Err("it is too long".to_string()),
        text => Ok(json!(text)),
    }
}

fn check_one_of(value: &Value, words: &[&str]) -> Result<Value, String> {
    match words.iter().find(|word| Ok(**word) == text(value)) {
        Some(word) => Ok(json!(word)),
        None => Err(format!("{value} is none of {}", words.join(", "))),
    }
}

fn check_bool(value: &Value) -> Result<Value, String> {
    match value.as_bool() {
        Some(flag) => Ok(json!(flag)),
        None => Err(format!("{value} is not true or false")),
    }
}

fn check_integer(value: &Value, from: u64, to: u64) -> Result<Value, String> {
    match value.as_u64().filter(|number| (from..=to).contains(number)) {
        Some(number) => Ok(json!(number)),
        None => Err(format!("{value} is not a whole number from {from} to {to}")),
    }
}

fn check_number(value: &Value, from: f64, to: f64) -> Result<Value, String> {
    let number = value
        .as_f64()
        .ok_or_else(|| format!("{value} is not a number"))?;
    in_range(value, number, from, to)
}

fn check_duration(value: &Value, from: f64, to: f64) -> Result<Value, String> {
    match units::parse_seconds(text(value)?) {
        Some(seconds) => {
            in_range(value, seconds, from, to).map_err(|reason| format!("{reason} seconds"))
        }
        None => Err(format!("{value} is no length of time, such as \"250ms\"")),
    }
}

fn in_range(value: &Value, number: f64, from: f64, to: f64) -> Result<Value, String> {
    match (from..=to).contains(&number) {
        true => Ok(json!(number)),
        false => Err(format!("{value} is not from {from} to {to}")),
    }
}

fn address(value: &Value) -> Result<SocketAddr, String> {
    text(value)?
        .parse()
        .map_err(|_| format!("{value} is not an address and port"))
}

fn check_private_address(value: &Value) -> Result<Value, String> {
    let address = address(value)?;
    match is_private(&address) {
        true => Ok(json!(address.to_string())),
        false => Err(format!(
            "{value} is neither loopback nor a private address, and the links have no sign-in"
        )),
    }
}

/// Whether an address is of loopback or a private range. The links between members have no authentication and no
/// encryption.
fn is_private(address: &SocketAddr) -> bool {
    match address.ip() {
        IpAddr::V4(ip) => ip.is_loopback() || ip.is_private(),
        IpAddr::V6(ip) => ip.is_loopback() || ip.is_unique_local(),
    }
}

fn check_text_list(value: &Value) -> Result<Value, String> {
    let items = value
        .as_array()
        .ok_or_else(|| format!("{value} is not a list"))?;
    match items.iter().all(Value::is_string) {
        true => Ok(value.clone()),
        false => Err(format!("{value} holds what is not text")),
    }
}

fn check_integer_table(value: &Value, from: u64, to: u64) -> Result<Value, String> {
    let fields = value
        .as_object()
        .ok_or_else(|| format!("{value} is not a table"))?;
    for (name, number) in fields {
        check_integer(number, from, to).map_err(|reason| format!("{name}: {reason}"))?;
    }
    Ok(value.clone())
}

fn check_settings(value: &Value) -> Result<Value, String> {
    match value.is_object() {
        true => Ok(value.clone()),
        false => Err("it is not a table".to_string()),
    }
}
