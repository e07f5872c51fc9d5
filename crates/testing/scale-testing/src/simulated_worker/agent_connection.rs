//! The connection of a simulated runner to its agent.

use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::sync::oneshot;

use sagetrail_cluster_node::input::{Input, Inputs};
use sagetrail_protocol::node::{HttpEndpoint, HttpRequest, HttpRequestId, Method};

use crate::call::{Call, Caller};

/// An answer that comes later is dropped.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Where the agent is.
pub(super) enum AgentConnection {
    /// In this process.
    Direct { inputs: Inputs, last_request: u64 },
    /// A real process.
    Http {
        caller: Caller,
        address: SocketAddrV4,
    },
}

impl AgentConnection {
    /// Sends a heartbeat; the body of the answer if its status is 200.
    pub(super) async fn heartbeat(&mut self, path: &str, body: Vec<u8>) -> Option<Vec<u8>> {
        match self {
            AgentConnection::Direct {
                inputs,
                last_request,
            } => {
                *last_request += 1;
                direct(inputs, HttpRequestId(*last_request), path, body).await
            }
            AgentConnection::Http { caller, address } => {
                let path = path.to_owned();
                let call = Call {
                    method: "POST",
                    path,
                    base_version: None,
                    body,
                    timeout: ANSWER_TIMEOUT,
                };
                let answer = caller.call(*address, call).await.ok()?;
                (answer.status == 200).then(|| answer.body.to_vec())
            }
        }
    }
}

async fn direct(inputs: &Inputs, id: HttpRequestId, path: &str, body: Vec<u8>) -> Option<Vec<u8>> {
    let (reply, answer) = oneshot::channel();
    let request = HttpRequest {
        method: Method::Post,
        host: String::new(),
        path: path.to_owned(),
        base_version: None,
        deadline_ms: None,
        body,
    };
    inputs
        .send(Input::HttpRequest {
            id,
            endpoint: HttpEndpoint::Control,
            request,
            reply,
        })
        .ok()?;
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer)
        .await
        .ok()?
        .ok()?;
    (answer.status == 200).then_some(answer.body)
}
