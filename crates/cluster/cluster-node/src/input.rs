//! What reaches the loop that drives the logic, from sockets, disk and signals.

use tokio::sync::{mpsc, oneshot};

use sagetrail_protocol::node::{
    HealthCheckId, HealthCheckResult, HttpEndpoint, HttpReply, HttpRequest, HttpRequestId,
};
use sagetrail_protocol::{Message, NodeId};

use crate::disk::DiskError;

/// One thing that happened.
pub enum Input {
    /// Another process sent a message.
    Message { from: NodeId, message: Message },
    /// A request of HTTP came, read whole.
    Request {
        id: HttpRequestId,
        endpoint: HttpEndpoint,
        request: HttpRequest,
        reply: oneshot::Sender<HttpReply>,
    },
    /// The caller of a request has gone.
    Abandoned { id: HttpRequestId },
    /// What came of a probe.
    Probed {
        id: HealthCheckId,
        result: HealthCheckResult,
    },
    /// Disk writes are synced: what waited for them.
    Synced {
        then: Vec<(NodeId, Message)>,
        tokens: Vec<u64>,
    },
    /// The disk failed; what it holds is known only after a restart.
    DiskFailed(DiskError),
    /// The settings name other seeds.
    Seeds(Vec<NodeId>),
    /// The platform wants the process to end.
    Terminate,
}

/// Where sockets, disk and signals put what happened. Only a process that is ending no longer takes it.
pub type Inputs = mpsc::UnboundedSender<Input>;
