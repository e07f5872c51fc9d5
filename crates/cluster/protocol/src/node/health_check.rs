//! Health checks of another process.

use std::net::SocketAddrV4;

/// Names a probe until its result comes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct HealthCheckId(pub u64);

/// A look at another process: one GET by a connection of its own.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HealthCheck {
    pub id: HealthCheckId,
    pub address: SocketAddrV4,
    pub path: String,
}

/// So long a probe waits for its answer, in milliseconds.
pub const HEALTH_CHECK_TIMEOUT_MS: u64 = 300;

/// What came of a probe.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum HealthCheckResult {
    /// The machine is up and nothing listens at the address.
    Refused,
    /// It was answered with this status.
    Status(u16),
    /// No answer in time, or a connection that broke off.
    NoAnswer,
}
