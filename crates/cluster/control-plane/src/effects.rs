//! The effects of an event: what the parts of a core process want sent, stored and answered, before it is addressed.
//!
//! Effects of one kind keep their order. A message that depends on a write is sent once that write has been synced.

use sagetrail_protocol::control::ControlMessage;
use sagetrail_protocol::node::{DiskOperation, HttpReply, HttpRequestId};
use sagetrail_protocol::{Message, NodeId};

/// Changes on disk, and the messages that are sent once they are synced.
#[derive(Debug, Default)]
pub(crate) struct PlannedWrite {
    /// Applied together; none where only the sync of earlier writes is awaited.
    pub operations: Vec<DiskOperation>,
    /// Sent after the sync, in this order.
    pub then: Vec<(NodeId, Message)>,
}

/// Collects sends, writes and replies. A message to the process itself is handled by it before the next event.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    /// Messages to be sent at once.
    pub sends: Vec<(NodeId, Message)>,
    /// Writes, in order.
    pub writes: Vec<PlannedWrite>,
    /// Replies to HTTP requests.
    pub replies: Vec<(HttpRequestId, HttpReply)>,
}

impl Effects {
    /// Sends to a core process.
    pub(crate) fn control(&mut self, to: NodeId, message: ControlMessage) {
        self.sends.push((to, Message::Control(message)));
    }

    /// Sends the same to several core processes.
    pub(crate) fn broadcast(
        &mut self,
        to: impl IntoIterator<Item = NodeId>,
        message: &ControlMessage,
    ) {
        for node in to {
            self.control(node, message.clone());
        }
    }

    /// Writes, and sends to core processes once that is synced.
    pub(crate) fn write(
        &mut self,
        operations: Vec<DiskOperation>,
        then: Vec<(NodeId, ControlMessage)>,
    ) {
        let then = then
            .into_iter()
            .map(|(to, message)| (to, Message::Control(message)))
            .collect();
        self.writes.push(PlannedWrite { operations, then });
    }

    /// Answers an HTTP request with a status and no body.
    pub(crate) fn status(&mut self, id: HttpRequestId, status: u16) {
        self.replies.push((
            id,
            HttpReply {
                status,
                retry_after_s: None,
                body: Vec::new(),
            },
        ));
    }
}
