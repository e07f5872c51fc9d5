//! What the logic of a process wants done.

use super::{DiskWrite, HealthCheck, HttpReply, HttpRequestId};
use crate::id::NodeId;
use crate::message::Message;

/// What the logic wants done.
#[derive(Default, Debug)]
pub struct Outbox {
    /// Sent at once.
    pub sends: Vec<(NodeId, Message)>,
    pub replies: Vec<(HttpRequestId, HttpReply)>,
    pub writes: Vec<DiskWrite>,
    pub health_checks: Vec<HealthCheck>,
    /// True: everything is settled and the process may end (after `Event::Terminate`).
    pub finished: bool,
}

impl Outbox {
    /// Sends a message at once.
    pub fn send(&mut self, to: NodeId, message: Message) {
        self.sends.push((to, message));
    }

    /// Answers a request of HTTP.
    pub fn reply(&mut self, id: HttpRequestId, reply: HttpReply) {
        self.replies.push((id, reply));
    }

    /// Looks at another process; `Event::HealthCheck` tells what came of it.
    pub fn health_check(&mut self, health_check: HealthCheck) {
        self.health_checks.push(health_check);
    }
}
