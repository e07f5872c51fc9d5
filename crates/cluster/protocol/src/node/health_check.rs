//! Health checks of another process.

use std::net::SocketAddrV4;

/// Names a health check until its result comes; chosen by the logic.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct HealthCheckId(
    /// Unique in one run of a process.
    pub u64,
);

/// A health check of another process: one GET on a connection of its own.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HealthCheck {
    /// Comes back with the result.
    pub id: HealthCheckId,
    /// Where the other process listens.
    pub address: SocketAddrV4,
    /// The path of the GET.
    pub path: String,
}

/// The time-out of a health check, in milliseconds.
pub const HEALTH_CHECK_TIMEOUT_MS: u64 = 300;

/// The result of a health check.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum HealthCheckResult {
    /// The machine is up and nothing listens at the address.
    Refused,
    /// It was answered with this status.
    Status(u16),
    /// No answer in time, or a connection that broke off.
    NoAnswer,
}
