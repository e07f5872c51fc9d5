//! The effects of an event: the messages, disk writes and HTTP replies of the parts of a core process, before the
//! router addresses them.
//!
//! Effects of the same kind keep their order. A message that depends on a write is sent once that write has been
//! synced.

use sagetrail_protocol::control::ControlMessage;
use sagetrail_protocol::node::{DiskOperation, HttpReply, HttpRequestId};
use sagetrail_protocol::{Message, NodeId};

/// A write to the disk, and the messages that are sent once it is synced.
#[derive(Debug, Default)]
pub(crate) struct PlannedWrite {
    /// The operations, which are applied together. They are empty if the messages wait only for the sync of earlier
    /// writes.
    pub operations: Vec<DiskOperation>,
    /// The messages to send after the sync, in this order.
    pub send_when_synced: Vec<(NodeId, Message)>,
}

/// The collected messages, writes and replies. A message of the process to itself is handled before the next event.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    /// The messages to send at once.
    pub sends: Vec<(NodeId, Message)>,
    /// The writes, in order.
    pub writes: Vec<PlannedWrite>,
    /// The replies to HTTP requests.
    pub replies: Vec<(HttpRequestId, HttpReply)>,
}

impl Effects {
    /// Sends a control message to a core process.
    pub(crate) fn send_control(&mut self, to: NodeId, message: ControlMessage) {
        self.sends.push((to, Message::Control(message)));
    }

    /// Sends the same control message to several core processes.
    pub(crate) fn broadcast(
        &mut self,
        to: impl IntoIterator<Item = NodeId>,
        message: &ControlMessage,
    ) {
        for node in to {
            self.send_control(node, message.clone());
        }
    }

    /// Writes to the disk and sends control messages once the write is synced.
    pub(crate) fn write(
        &mut self,
        operations: Vec<DiskOperation>,
        send_when_synced: Vec<(NodeId, ControlMessage)>,
    ) {
        let send_when_synced = send_when_synced
            .into_iter()
            .map(|(to, message)| (to, Message::Control(message)))
            .collect();
        self.writes.push(PlannedWrite {
            operations,
            send_when_synced,
        });
    }

    /// Answers an HTTP request with a status and an empty body.
    pub(crate) fn reply_status(&mut self, id: HttpRequestId, status: u16) {
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
