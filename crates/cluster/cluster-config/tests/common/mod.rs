//! Builders of configuration documents for the tests.

use serde_json::{json, Value};

/// Builds a route with only the mandatory fields.
pub(crate) fn route(name: &str, host: &str, prefix: &str, service: &str) -> Value {
    json!({"name": name, "host": host, "path_prefix": prefix, "service": service, "timeout_ms": 3000})
}

/// Builds a service with typical fields, two of which have no type in the crate.
pub(crate) fn service(name: &str) -> Value {
    json!({"name": name, "health_path": "/healthz", "max_conns": 64})
}

/// Builds a configuration of two routes and two services.
pub(crate) fn document(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [route("r-one", "a.example", "/one/", "one"), route("r-two", "a.example", "/two/", "two")],
        "services": [service("one"), service("two")],
        "limits": {"max_body_bytes": 262144},
    })
}

/// Serializes `value` as an HTTP body.
pub(crate) fn body(value: &Value) -> Vec<u8> {
    serde_json::to_vec(value).unwrap()
}
