//! The interface between the logic of a process and its driver.
//!
//! A process is a [`Node`]: a state machine that takes one [`Event`] at a time, with the clocks at that moment
//! ([`Now`]), and fills an [`Outbox`] with what it wants done. It reads no clock, opens no socket and touches no disk.
//! The driver performs the outbox and turns what comes of it into further events: `cluster-node` with sockets and a
//! disk, the simulation with a network, clock and disk of its own, so that whole clusters run in one process.
//!
//! ```text
//!            Event, Now                              sends, replies
//!  driver  ------------->  Node::handle  -> Outbox   writes, health checks  ->  driver
//!     ^                                                                           |
//!     |   Message (from another process)    Http, HttpAbandoned    Synced         |
//!     +-- HealthCheck (result)    Wake (at Node::next_wake)    SeedsChanged  <----+
//!         Terminate
//! ```
//!
//! The driver calls [`Node::handle`] for one event after the other and asks for [`Node::next_wake`] after each.

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
    /// The steady clock; never goes back.
    pub steady: Time,
    /// The time of day, in milliseconds since 1970; may jump either way.
    pub wall_ms: i64,
}

/// The logic of a process, driven by events.
pub trait Node {
    /// Takes one event and adds to `outbox` what is to be done. Never blocks. The driver performs each entry once.
    fn handle(&mut self, now: Now, event: Event, outbox: &mut Outbox);

    /// When [`Event::Wake`] is due next; `None` for never. Read after each event.
    fn next_wake(&self) -> Option<Time>;
}
