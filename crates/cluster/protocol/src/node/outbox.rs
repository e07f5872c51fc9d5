//! The outbox, which contains the outputs of a process's logic.

use super::{DiskWrite, HealthCheck, HttpReply, HttpRequestId};
use crate::id::NodeId;
use crate::message::Message;

/// The actions that the logic requests. The driver performs them after [`Node::handle`](super::Node::handle) returns.
#[derive(Default, Debug)]
pub struct Outbox {
    /// The messages that are sent immediately, in this order, each with its receiver; each may be lost.
    pub sends: Vec<(NodeId, Message)>,
    /// The replies to HTTP requests.
    pub replies: Vec<(HttpRequestId, HttpReply)>,
    /// The writes to the disk, in this order; only a core process has a disk.
    pub writes: Vec<DiskWrite>,
    /// The health checks that are started.
    pub health_checks: Vec<HealthCheck>,
    /// True if the process may end after [`Event::Terminate`](super::Event::Terminate), because no work is in flight.
    pub finished: bool,
}

impl Outbox {
    /// Adds a message that is sent immediately.
    pub fn send(&mut self, to: NodeId, message: Message) {
        self.sends.push((to, message));
    }

    /// Adds the reply to an HTTP request.
    pub fn reply(&mut self, id: HttpRequestId, reply: HttpReply) {
        self.replies.push((id, reply));
    }

    /// Adds a health check to start; [`Event::HealthCheck`](super::Event::HealthCheck) returns its result.
    pub fn health_check(&mut self, health_check: HealthCheck) {
        self.health_checks.push(health_check);
    }
}
