//! HTTP requests and replies as the logic sees them.

/// Names a request of HTTP until it is answered.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct HttpRequestId(pub u64);

/// The listening address by which a request of HTTP came.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum HttpEndpoint {
    /// Clients.
    Frontend,
    /// The platform's readiness check.
    Readiness,
    /// The operator on core machines, the runner on side machines.
    Control,
}

/// A method of HTTP.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum Method {
    Get,
    Post,
    Delete,
    /// Any other.
    Other,
}

/// A request of HTTP, read whole.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HttpRequest {
    pub method: Method,
    /// The `Host` header without a port; empty where there is none.
    pub host: String,
    /// The path without a query.
    pub path: String,
    /// The `Base-Version` header; `None` where it is missing or no number.
    pub base_version: Option<u64>,
    /// The `Deadline-Ms` header.
    pub deadline_ms: Option<u64>,
    pub body: Vec<u8>,
}

/// An answer of HTTP. A body, where there is one, is JSON.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HttpReply {
    pub status: u16,
    /// The `Retry-After` header, in whole seconds, rounded up by whoever sets it.
    pub retry_after_s: Option<u32>,
    pub body: Vec<u8>,
}
