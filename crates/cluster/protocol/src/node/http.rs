//! HTTP requests and replies in the form that a process's logic handles.

/// The id of an HTTP request until it is answered; it is unique within one run of a process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct HttpRequestId(
    /// The number that the driver has chosen.
    pub u64,
);

/// The listening address at which an HTTP request arrived.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum HttpEndpoint {
    /// The endpoint for clients.
    Frontend,
    /// The endpoint for the platform's readiness check.
    Readiness,
    /// The endpoint for the operator on core machines and for the runner on side machines.
    Control,
}

/// An HTTP method.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum Method {
    /// The method GET.
    Get,
    /// The method POST.
    Post,
    /// The method DELETE.
    Delete,
    /// Any other method.
    Other,
}

/// An HTTP request with its full body.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HttpRequest {
    /// The method of the request.
    pub method: Method,
    /// The `Host` header without a port; empty if the header is missing.
    pub host: String,
    /// The path of the request, without a query.
    pub path: String,
    /// The `Base-Version` header, which is a version of the configuration; `None` if it is missing or not a number.
    pub base_version: Option<u64>,
    /// The `Deadline-Ms` header, in milliseconds; `None` if it is missing or not a number.
    pub deadline_ms: Option<u64>,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

/// An HTTP reply.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HttpReply {
    /// The HTTP status code.
    pub status: u16,
    /// The `Retry-After` header, in whole seconds; `None` if it is not sent. The code that sets it rounds it up.
    pub retry_after_s: Option<u32>,
    /// The body, which is JSON; empty if there is none.
    pub body: Vec<u8>,
}
