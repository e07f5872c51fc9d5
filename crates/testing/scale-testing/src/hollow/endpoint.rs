//! The way from a hollow runner to its agent.

use crate::call::{Call, Caller};
use sagetrail_cluster_node::input::{Input, Inputs};
use sagetrail_protocol::node::{HttpEndpoint, HttpRequest, HttpRequestId, Method};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::oneshot;

/// An answer that comes later is dropped.
const PATIENCE: Duration = Duration::from_secs(1);

/// Where the agent is.
pub(super) enum AgentDoor {
    /// In this process.
    Direct { inputs: Inputs, last_request: u64 },
    /// A real process.
    Http {
        caller: Caller,
        address: SocketAddrV4,
    },
}

impl AgentDoor {
    /// Hands a heartbeat over; the body of the answer, where it is a good one.
    pub(super) async fn heartbeat(&mut self, path: &str, body: Vec<u8>) -> Option<Vec<u8>> {
        match self {
            AgentDoor::Direct {
                inputs,
                last_request,
            } => {
                *last_request += 1;
                direct(inputs, HttpRequestId(*last_request), path, body).await
            }
            AgentDoor::Http { caller, address } => {
                let path = path.to_owned();
                let call = Call {
                    method: "POST",
                    path,
                    base_version: None,
                    body,
                    patience: PATIENCE,
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
    let answer = tokio::time::timeout(PATIENCE, answer).await.ok()?.ok()?;
    (answer.status == 200).then_some(answer.body)
}
