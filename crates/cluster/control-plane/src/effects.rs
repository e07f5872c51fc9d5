//! What the parts of a core process want done, before it is addressed.

use sagetrail_protocol::control::ControlMessage;
use sagetrail_protocol::node::{DiskOperation, HttpReply, HttpRequestId};
use sagetrail_protocol::{Message, NodeId};

/// Changes on disk, and what is said once they are synced.
#[derive(Debug, Default)]
pub(crate) struct PlannedWrite {
    pub operations: Vec<DiskOperation>,
    pub then: Vec<(NodeId, Message)>,
}

/// Collects sends, writes and replies. A send to the process itself is heard by it.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub sends: Vec<(NodeId, Message)>,
    pub writes: Vec<PlannedWrite>,
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

    /// Writes, and says something to core processes once that is synced.
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

    /// Answers a request of HTTP with a status and no body.
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
