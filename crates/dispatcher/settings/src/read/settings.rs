//! Settings of the platform, made from the keys of the configuration.

use super::categories::{categories, Categories};
use super::reader::Reader;
use serde_json::{json, Value};

const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// Prefixes of keys whose values are also in the platform's settings.
const SETTINGS_PREFIXES: [&str; 9] = [
    "categories",
    "cold.",
    "runners.",
    "drain.",
    "list.",
    "zone",
    "kinds",
    "me",
    "dispatchers",
];
const CONTRADICTION: &str =
    "it contradicts 'settings', which says the same in the platform's words";

/// Converts seconds to whole microseconds, the unit of the platform.
pub(super) fn microseconds(seconds: f64) -> Value {
    json!((seconds * MICROSECONDS_PER_SECOND).round() as u64)
}

/// The settings of the platform: given as they are, or made from the other keys.
pub(super) fn settings(reader: &mut Reader) -> Value {
    match reader.get("settings").cloned() {
        Some(settings) => {
            refuse_contradictions(reader);
            settings
        }
        None => from_keys(reader),
    }
}

fn refuse_contradictions(reader: &mut Reader) {
    let paths: Vec<String> = reader
        .values
        .keys()
        .filter(|path| is_of_settings(path))
        .cloned()
        .collect();
    for path in paths {
        reader.fault_at(&path, CONTRADICTION);
    }
}

fn is_of_settings(path: &str) -> bool {
    let of_limits = path.starts_with("limits.") && path != "limits.sockets";
    of_limits
        || SETTINGS_PREFIXES
            .iter()
            .any(|prefix| path.starts_with(prefix))
}

fn from_keys(reader: &mut Reader) -> Value {
    let zones = reader.texts("zones");
    let kinds = reader.texts("kinds");
    let zone = reader.index_in("zone", &zones, "zones").unwrap_or(0);
    let all = categories(reader, &kinds);
    json!({
        "Categories": all.categories,
        "Dcs": zones,
        "Kinds": kinds,
        "Zone": zone,
        "Discovery": "on_request",
        "Domain": domain(reader, &all),
        "Report": {"Fields": [], "How": "off"},
        "Me": reader.number("me", 0.0) as u64,
        "ReplicasOfMe": reader.number("dispatchers", 1.0) as u64,
        "Limits": limits(reader),
        "Safety": safety(reader),
    })
}

fn domain(reader: &Reader, all: &Categories) -> Value {
    json!({
        "ClassKind": all.kinds,
        "ClassStretch": all.stretches,
        "ProgressUs": microseconds(reader.number("runners.progress", 0.0)),
        "TellsStart": reader.flag("runners.tells_start", true),
    })
}

fn limits(reader: &Reader) -> Value {
    let retry_after = reader.number("limits.come_back", 2.0);
    json!({
        "ConnIdleUs": microseconds(reader.number("limits.idle", 10.0)),
        "DialTimeoutUs": microseconds(reader.number("limits.dial", 0.25)),
        "MaxRetryAfterUs": microseconds(retry_after),
        "RetryAfter": retry_after > 0.0,
        "MayCancel": reader.flag("limits.may_cancel", true),
        "MayDuplicate": reader.flag("limits.two_at_once", false),
        "MostHandOffs": reader.number("limits.hand_offs", 3.0) as u64,
        "MostHeld": reader.number("limits.held", 10_000.0) as u64,
    })
}

fn safety(reader: &Reader) -> Value {
    json!({
        "ColdFrom": reader.number("cold.from", 0.2),
        "ColdUs": microseconds(reader.number("cold.time", 20.0)),
        "FallMultiple": reader.number("cold.multiple", 3.0),
        "OverloadForUs": microseconds(reader.number("cold.span", 1.0)),
        "ReadyMarginUs": microseconds(reader.number("cold.start_off", 0.0)),
        "MustAskInUs": microseconds(reader.number("list.must_ask", 10.0)),
        "StopSendingWithinUs": microseconds(reader.number("drain.grace", 0.3)),
    })
}
