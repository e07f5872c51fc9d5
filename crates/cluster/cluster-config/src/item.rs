//! The typed view of what a configuration holds. Unknown fields are in the document's JSON only.

use serde::Deserialize;
use validator::Validate;

/// Starts of a task that may fail, where the route names no other number.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;
/// How many times its longest chain of work a job may take, where the route names no other factor.
const DEFAULT_EXTENSION: f64 = 2.0;
/// What a job may take besides, in milliseconds, where the route names nothing else.
const DEFAULT_TARGET_LATENCY_MS: f64 = 3000.0;
/// The longest body taken from a client, in bytes, where the limits name no other.
const DEFAULT_MAX_BODY_BYTES: u64 = 262_144;
/// The longest header taken from a client, in bytes, where the limits name no other.
const DEFAULT_MAX_HEADER_BYTES: u64 = 16_384;
/// How long a client may take over its header, in milliseconds, where the limits name no other.
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 3000;
/// How long a connection may rest, in milliseconds, where the limits name no other.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// A queue of jobs.
#[derive(Deserialize, Validate, Clone, PartialEq, Debug)]
pub struct Route {
    #[validate(length(min = 1, message = "must not be empty"))]
    pub name: String,
    /// Matched with the `Host` header without a port.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub host: String,
    /// Matched with the begin of the path; the longest one counts.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub path_prefix: String,
    #[serde(default)]
    pub kind: String,
    #[validate(range(min = 1, message = "must be above 0"))]
    pub timeout_ms: u64,
    /// What a job may take besides `extension` times its longest chain of work, in milliseconds.
    #[serde(default = "default_target_latency_ms")]
    pub target_latency_ms: f64,
    /// 0 comes first.
    #[serde(default)]
    pub priority: u32,
    /// Whose runners run the tasks.
    #[validate(length(min = 1, message = "must not be empty"))]
    pub service: String,
    /// A task fails for good once so many of its runs have failed.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// How many times its longest chain of work a job may take.
    #[serde(default = "default_extension")]
    pub extension: f64,
}

/// A service, to which runners belong by its name.
#[derive(Deserialize, Validate, Clone, PartialEq, Debug)]
pub struct ServiceEntry {
    #[validate(length(min = 1, message = "must not be empty"))]
    pub name: String,
    /// True where its runners refuse whatever does not fit.
    #[serde(default)]
    pub preconditions: bool,
}

/// Bounds on clients' requests.
#[derive(Deserialize, Clone, PartialEq, Debug)]
#[serde(default)]
pub struct Limits {
    pub max_header_bytes: u64,
    pub max_body_bytes: u64,
    pub header_timeout_ms: u64,
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
