//! Health checks that a process performs on another process.

use std::net::SocketAddrV4;

/// The id of a health check until its result arrives. The logic chooses it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct HealthCheckId(
    /// A number that is unique within one run of a process.
    pub u64,
);

/// A health check of another process, which consists of one GET request on a separate connection.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HealthCheck {
    /// The id that is returned with the result.
    pub id: HealthCheckId,
    /// The address at which the other process listens.
    pub address: SocketAddrV4,
    /// The path of the GET request.
    pub path: String,
}

/// The time-out of a health check, in milliseconds.
pub const HEALTH_CHECK_TIMEOUT_MS: u64 = 300;

/// The result of a health check.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum HealthCheckResult {
    /// The connection was refused: the machine is up, but no process listens at the address.
    Refused,
    /// The other process answered with this HTTP status.
    Status(u16),
    /// No answer arrived within the time-out, or the connection was closed before one.
    NoAnswer,
}
