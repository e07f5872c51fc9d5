//! The typed items of a configuration. Unknown fields are in the document's JSON only; field names are its keys.

use serde::{Deserialize, Serialize};
use validator::Validate;

/// `max_attempts` of a route without one.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;
/// `extension` of a route without one.
const DEFAULT_EXTENSION: f64 = 2.0;
/// `target_latency_ms` of a route without one.
const DEFAULT_TARGET_LATENCY_MS: f64 = 3000.0;
/// `max_body_bytes` where the limits name none.
const DEFAULT_MAX_BODY_BYTES: u64 = 262_144;
/// `max_header_bytes` where the limits name none.
const DEFAULT_MAX_HEADER_BYTES: u64 = 16_384;
/// `header_timeout_ms` where the limits name none.
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 3000;
/// `idle_timeout_ms` where the limits name none.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// A route of clients' requests to a queue of jobs.
#[derive(Deserialize, Validate, Clone, PartialEq, Debug)]
pub struct Route {
    /// Unique among the routes.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub name: String,
    /// Matched with the `Host` header without a port.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub host: String,
    /// Matched with the start of the path; the longest match wins.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub path_prefix: String,
    /// The operator's label of the route; not interpreted.
    #[serde(default)]
    pub kind: String,
    /// The time-out of a request, in milliseconds; above 0.
    #[validate(range(min = 1, message = "must be above 0"))]
    pub timeout_ms: u64,
    /// The time that a job may take beyond `extension` times its longest chain of work, in milliseconds.
    #[serde(default = "default_target_latency_ms")]
    pub target_latency_ms: f64,
    /// The priority of the jobs; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// The service whose runners run the tasks.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub service: String,
    /// The number of failed runs at which a task fails.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// The factor on a job's longest chain of work that it may take.
    #[serde(default = "default_extension")]
    pub extension: f64,
}

/// A service, to which runners belong by its name.
#[derive(Deserialize, Validate, Clone, PartialEq, Debug)]
pub struct ServiceEntry {
    /// Unique among the services.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub name: String,
    /// Whether its runners reject a start that does not fit; not interpreted in this crate.
    #[serde(default)]
    pub preconditions: bool,
}

/// Limits on clients' requests.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(default)]
pub struct Limits {
    /// The longest header, in bytes.
    pub max_header_bytes: u64,
    /// The longest body, in bytes.
    pub max_body_bytes: u64,
    /// The time-out of a request's header, in milliseconds.
    pub header_timeout_ms: u64,
    /// The time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: DEFAULT_MAX_HEADER_BYTES,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            header_timeout_ms: DEFAULT_HEADER_TIMEOUT_MS,
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
        }
    }
}

fn default_max_attempts() -> u32 {
    DEFAULT_MAX_ATTEMPTS
}

fn default_extension() -> f64 {
    DEFAULT_EXTENSION
}

fn default_target_latency_ms() -> f64 {
    DEFAULT_TARGET_LATENCY_MS
}
