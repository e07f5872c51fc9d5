//! The outbox: the outputs of the logic.

use super::{DiskWrite, HealthCheck, HttpReply, HttpRequestId};
use crate::id::NodeId;
use crate::message::Message;

/// What the logic wants done, performed by the driver after [`Node::handle`](super::Node::handle).
#[derive(Default, Debug)]
pub struct Outbox {
    /// Messages that are sent at once, in this order; each may be lost.
    pub sends: Vec<(NodeId, Message)>,
    /// Replies to HTTP requests.
    pub replies: Vec<(HttpRequestId, HttpReply)>,
    /// Writes to the disk, in this order; only a core process has any.
    pub writes: Vec<DiskWrite>,
    /// Health checks to start.
    pub health_checks: Vec<HealthCheck>,
    /// Whether the process may end, after [`Event::Terminate`](super::Event::Terminate): nothing is in flight.
    pub finished: bool,
}

impl Outbox {
    /// Sends a message at once.
    pub fn send(&mut self, to: NodeId, message: Message) {
        self.sends.push((to, message));
    }

    /// Answers an HTTP request.
    pub fn reply(&mut self, id: HttpRequestId, reply: HttpReply) {
        self.replies.push((id, reply));
    }

    /// Starts a health check; [`Event::HealthCheck`](super::Event::HealthCheck) brings its result.
    pub fn health_check(&mut self, health_check: HealthCheck) {
        self.health_checks.push(health_check);
    }
}
