//! HTTP requests and replies as the logic sees them.

/// Names an HTTP request until it is answered; unique in one run of a process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct HttpRequestId(
    /// Chosen by the driver.
    pub u64,
);

/// The listening address at which an HTTP request arrived.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum HttpEndpoint {
    /// For clients.
    Frontend,
    /// For the platform's readiness check.
    Readiness,
    /// For the operator on core machines, for the runner on side machines.
    Control,
}

/// An HTTP method.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum Method {
    /// GET.
    Get,
    /// POST.
    Post,
    /// DELETE.
    Delete,
    /// Any other.
    Other,
}

/// An HTTP request with its full body.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The `Host` header without a port; empty where there is none.
    pub host: String,
    /// The path without a query.
    pub path: String,
    /// The `Base-Version` header, a version of the configuration; `None` where it is missing or no number.
    pub base_version: Option<u64>,
    /// The `Deadline-Ms` header, in milliseconds; `None` where it is missing or no number.
    pub deadline_ms: Option<u64>,
    /// The body; empty where there is none.
    pub body: Vec<u8>,
}

/// An HTTP reply.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HttpReply {
    /// The status code.
    pub status: u16,
    /// The `Retry-After` header, in whole seconds, rounded up by whoever sets it.
    pub retry_after_s: Option<u32>,
    /// JSON; empty for no body.
    pub body: Vec<u8>,
}
