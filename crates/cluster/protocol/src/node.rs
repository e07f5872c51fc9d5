//! The seam between the logic of a process and the world. The logic takes events and fills an outbox; it reads no
//! clock, opens no socket and touches no disk, so that whole clusters run in one process in tests.

mod disk;
mod event;
mod health_check;
mod http;
mod outbox;

pub use disk::{DiskImage, DiskOperation, DiskWrite, Table};
pub use event::Event;
pub use health_check::{HealthCheck, HealthCheckId, HealthCheckResult, HEALTH_CHECK_TIMEOUT_MS};
pub use http::{HttpEndpoint, HttpReply, HttpRequest, HttpRequestId, Method};
pub use outbox::Outbox;

use crate::time::Time;

/// The clocks at an event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Now {
    /// The steady clock.
    pub steady: Time,
    /// The time of day, in milliseconds since 1970; may jump either way.
    pub wall_ms: i64,
}

/// The logic of a process.
pub trait Node {
    /// Takes one event.
    fn handle(&mut self, now: Now, event: Event, outbox: &mut Outbox);

    /// When `Event::Wake` is due next. Asked after each event.
    fn next_wake(&self) -> Option<Time>;
}
