//! The interface between the logic of a process and its driver.
//!
//! A process is a [`Node`]: a state machine that handles one [`Event`] at a time, given the clocks at that time
//! ([`Now`]), and writes the actions to perform to an [`Outbox`]. It reads no clock, opens no socket and accesses no
//! disk. The driver performs these actions and turns their results into further events. The driver in `cluster-node`
//! uses sockets and a disk; the simulation uses its own network, clock and disk, so that whole clusters run in one
//! process.
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
//! The driver calls [`Node::handle`] for one event after the other and calls [`Node::next_wake`] after each.

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

/// The clocks at the time of an event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Now {
    /// The steady clock, which never goes back.
    pub steady: Time,
    /// The wall clock, in milliseconds since 1970; it may jump forwards or backwards.
    pub wall_ms: i64,
}

/// The logic of a process, driven by events.
pub trait Node {
    /// Handles one event and adds the actions to perform to `outbox`. It never blocks. The driver performs each action
    /// once.
    fn handle(&mut self, now: Now, event: Event, outbox: &mut Outbox);

    /// Returns the time at which the next [`Event::Wake`] is due, or `None` if none is. The driver calls this after
    /// each event.
    fn next_wake(&self) -> Option<Time>;
}
