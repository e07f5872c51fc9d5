//! Conversion between the types of `hyper` and those of `sagetrail_protocol::node`.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};

use sagetrail_protocol::node::{HttpReply, HttpRequest, Method};

const BASE_VERSION: &str = "base-version";
const DEADLINE_MS: &str = "deadline-ms";
const JSON: HeaderValue = HeaderValue::from_static("application/json");
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Converts a request to the type that the logic takes.
pub(super) fn to_request(parts: &Parts, body: Vec<u8>) -> HttpRequest {
    HttpRequest {
        method: method(&parts.method),
        host: host(parts),
        path: parts.uri.path().to_owned(),
        base_version: numeric_header(parts, BASE_VERSION),
        deadline_ms: numeric_header(parts, DEADLINE_MS),
        body,
    }
}

fn method(method: &hyper::Method) -> Method {
    match *method {
        hyper::Method::GET => Method::Get,
        hyper::Method::POST => Method::Post,
        hyper::Method::DELETE => Method::Delete,
        _ => Method::Other,
    }
}

fn host(parts: &Parts) -> String {
    let header = parts
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok());
    let host = header.or_else(|| parts.uri.authority().map(|authority| authority.as_str()));
    without_port(host.unwrap_or("")).to_owned()
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

fn numeric_header(parts: &Parts, name: &str) -> Option<u64> {
    parts.headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Converts the logic's reply. With `close`, the response asks the caller to reconnect for its next request.
pub(super) fn to_response(reply: HttpReply, close: bool) -> Response<Full<Bytes>> {
    let has_body = !reply.body.is_empty();
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    if has_body {
        headers.insert(CONTENT_TYPE, JSON);
    }
    if let Some(seconds) = reply.retry_after_s {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if close {
        headers.insert(CONNECTION, CLOSE);
    }
    response
}

/// Creates a response of the server itself. It has no body, and the connection is closed after it.
pub(super) fn error_response(status: StatusCode) -> Response<Full<Bytes>> {
    let reply = HttpReply {
        status: status.as_u16(),
        retry_after_s: None,
        body: Vec::new(),
    };
    to_response(reply, true)
}
