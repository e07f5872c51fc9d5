//! The typed items of a configuration. The field names are the keys of the document's JSON; fields that are unknown
//! here remain in that JSON only.

use serde::{Deserialize, Serialize};
use validator::Validate;

/// The `max_attempts` of a route that does not specify it.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;
/// The `extension` of a route that does not specify it.
const DEFAULT_EXTENSION: f64 = 2.0;
/// The `target_latency_ms` of a route that does not specify it, in milliseconds.
const DEFAULT_TARGET_LATENCY_MS: f64 = 3000.0;
/// The `max_body_bytes` of limits that do not specify it, in bytes.
const DEFAULT_MAX_BODY_BYTES: u64 = 262_144;
/// The `max_header_bytes` of limits that do not specify it, in bytes.
const DEFAULT_MAX_HEADER_BYTES: u64 = 16_384;
/// The `header_timeout_ms` of limits that do not specify it, in milliseconds.
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 3000;
/// The `idle_timeout_ms` of limits that do not specify it, in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// A route, which directs clients' requests for a host and path prefix to a queue of jobs.
#[derive(Deserialize, Validate, Clone, PartialEq, Debug)]
pub struct Route {
    /// The name of the route; unique among the routes.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub name: String,
    /// The host that must equal the request's `Host` header without its port.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub host: String,
    /// The prefix with which the request's path must start; the longest matching prefix takes precedence.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub path_prefix: String,
    /// A label that the operator gives the route; it is not interpreted.
    #[serde(default)]
    pub kind: String,
    /// The time-out of a request, in milliseconds; must be above 0.
    #[validate(range(min = 1, message = "must be above 0"))]
    pub timeout_ms: u64,
    /// The time that a job may take in addition to `extension` times its longest chain of work, in milliseconds.
    #[serde(default = "default_target_latency_ms")]
    pub target_latency_ms: f64,
    /// The priority of the route's jobs; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// The name of the service whose runners run the tasks.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub service: String,
    /// The number of failed runs after which a task fails.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// The factor by which the duration of a job's longest chain of work is multiplied to obtain the time that the job
    /// may take, before `target_latency_ms` is added.
    #[serde(default = "default_extension")]
    pub extension: f64,
}

/// A service; a runner belongs to the service whose name it registers with.
#[derive(Deserialize, Validate, Clone, PartialEq, Debug)]
pub struct ServiceEntry {
    /// The name of the service; unique among the services.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub name: String,
    /// True if the service's runners reject a start that does not fit; this crate does not interpret it.
    #[serde(default)]
    pub preconditions: bool,
}

/// Limits on clients' requests.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(default)]
pub struct Limits {
    /// The longest request header that is accepted, in bytes.
    pub max_header_bytes: u64,
    /// The longest request body that is accepted, in bytes.
    pub max_body_bytes: u64,
    /// The time within which a request's header must be received, in milliseconds.
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
