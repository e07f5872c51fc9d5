//! Calls of HTTP, with kept connections.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// The host of all queues.
pub const HOST: &str = "scale.example";

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The configuration version that a change is based on, if it is one.
    pub base_version: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
    /// Time that the answer is waited for.
    pub timeout: Duration,
}

/// Its answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// Why there is none.
#[derive(Debug)]
pub enum CallError {
    /// Nothing came in time.
    Silence,
    /// The connection failed.
    Broken,
}

/// Makes calls.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Caller {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Caller {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }
}

impl Caller {
    /// Calls and waits for the whole answer.
    pub async fn call(&self, address: SocketAddrV4, call: Call) -> Result<Answer, CallError> {
        let timeout = call.timeout;
        let whole = tokio::time::timeout(timeout, self.exchange(address, call));
        whole.await.map_err(|_| CallError::Silence)?
    }

    async fn exchange(&self, address: SocketAddrV4, call: Call) -> Result<Answer, CallError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{address}{}", call.path))
            .header("Host", HOST)
            .header("Content-Type", "application/json")
            .header("Deadline-Ms", call.timeout.as_millis().to_string());
        if let Some(base) = call.base_version {
            request = request.header("Base-Version", base.to_string());
        }
        let request = request
            .body(Full::from(call.body))
            .map_err(|_| CallError::Broken)?;
        let answer = self
            .client
            .request(request)
            .await
            .map_err(|_| CallError::Broken)?;
        let status = answer.status().as_u16();
        let body = answer
            .into_body()
            .collect()
            .await
            .map_err(|_| CallError::Broken)?
            .to_bytes();
        Ok(Answer { status, body })
    }
}
