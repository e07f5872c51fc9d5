//! The inputs that sockets, disk, health checks and signals send to the event loop of the process.

use tokio::sync::{mpsc, oneshot};

use sagetrail_protocol::node::{
    HealthCheckId, HealthCheckResult, HttpEndpoint, HttpReply, HttpRequest, HttpRequestId,
};
use sagetrail_protocol::{Message, NodeId};

use crate::disk::DiskError;

/// An input of the event loop.
pub enum Input {
    /// Another process sent a message.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// An HTTP request arrived, with its full body.
    HttpRequest {
        /// The id by which the reply names the request.
        id: HttpRequestId,
        /// The endpoint at which it arrived.
        endpoint: HttpEndpoint,
        /// The request.
        request: HttpRequest,
        /// The channel for the reply. If it is dropped without a reply, the caller gets status 504.
        reply: oneshot::Sender<HttpReply>,
    },
    /// The caller of a request closed its connection before the reply.
    HttpAbandoned {
        /// The id of the request.
        id: HttpRequestId,
    },
    /// A health check has finished.
    HealthChecked {
        /// The id of the health check.
        id: HealthCheckId,
        /// The result of the health check.
        result: HealthCheckResult,
    },
    /// Disk writes are synced.
    Synced {
        /// The messages that may be sent now, each with its receiver.
        send_when_synced: Vec<(NodeId, Message)>,
        /// The tokens of the writes, in the order of the writes.
        tokens: Vec<u64>,
    },
    /// The disk failed; its content is known only after a restart.
    DiskFailed(DiskError),
    /// The settings were read again after SIGHUP; these are the seeds that they name now.
    SeedsChanged(Vec<NodeId>),
    /// SIGTERM or SIGINT was received, and the process has to shut down.
    Terminate,
}

/// The sending side of the event loop's channel. A send fails only while the process is ending.
pub type Inputs = mpsc::UnboundedSender<Input>;
