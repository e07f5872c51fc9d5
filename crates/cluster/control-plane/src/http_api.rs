//! The HTTP interface of a core process: parses requests to operations or to an immediate status.

use serde::de::IgnoredAny;

use sagetrail_cluster_config::ConfigDocument;
use sagetrail_protocol::node::{HttpEndpoint, HttpRequest, Method};

use crate::change::{Change, ChangeKind};

const REPLACE_PATH: &str = "/v1/config/replace";
const PATCH_PATH: &str = "/v1/config/patch";
const GET_PATH: &str = "/v1/config/get";
const INSTANCES_PATH: &str = "/v1/instances/";

/// 200: the request succeeded.
pub(crate) const OK: u16 = 200;
/// 400: the request or the change that it contains is not valid.
pub(crate) const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const METHOD_NOT_ALLOWED: u16 = 405;
/// 412: the change's base is not the current version.
pub(crate) const PRECONDITION_FAILED: u16 = 412;
/// 503: the request certainly had no effect and may be sent again.
pub(crate) const SERVICE_UNAVAILABLE: u16 = 503;
/// 504: it is not known whether the change is in force.
pub(crate) const OUTCOME_UNKNOWN: u16 = 504;

/// A parsed HTTP request.
#[derive(Debug)]
pub(crate) enum ApiRequest {
    /// The request is a configuration change.
    Change(Change),
    /// The request reads the newest configuration.
    Read,
    /// The request is answered at once with this status.
    Status(u16),
}

/// Parses a request. `has_members` is true if this process knows the core's members.
pub(crate) fn parse_request(
    endpoint: HttpEndpoint,
    request: HttpRequest,
    has_members: bool,
) -> ApiRequest {
    match endpoint {
        HttpEndpoint::Control => parse_control(request, has_members),
        HttpEndpoint::Readiness if has_members => ApiRequest::Status(OK),
        HttpEndpoint::Readiness | HttpEndpoint::Frontend => ApiRequest::Status(SERVICE_UNAVAILABLE),
    }
}

fn parse_control(request: HttpRequest, has_members: bool) -> ApiRequest {
    match (request.method, request.path.as_str()) {
        (Method::Post, REPLACE_PATH) if has_members => parse_replace(request),
        (Method::Post, PATCH_PATH) if has_members => parse_patch(request),
        (Method::Get, GET_PATH) if has_members => ApiRequest::Read,
        (Method::Post, REPLACE_PATH | PATCH_PATH) | (Method::Get, GET_PATH) => {
            ApiRequest::Status(SERVICE_UNAVAILABLE)
        }
        (_, REPLACE_PATH | PATCH_PATH | GET_PATH) => ApiRequest::Status(METHOD_NOT_ALLOWED),
        (_, path) if path.starts_with(INSTANCES_PATH) => ApiRequest::Status(SERVICE_UNAVAILABLE),
        _ => ApiRequest::Status(NOT_FOUND),
    }
}

/// Parses a request with a full configuration. An invalid configuration is rejected at once: it can never have been
/// accepted, so no earlier outcome of the same change has to be looked up.
fn parse_replace(request: HttpRequest) -> ApiRequest {
    if ConfigDocument::parse(&request.body).is_err() {
        return ApiRequest::Status(BAD_REQUEST);
    }
    parse_change(ChangeKind::Replace, request)
}

fn parse_patch(request: HttpRequest) -> ApiRequest {
    if serde_json::from_slice::<IgnoredAny>(&request.body).is_err() {
        return ApiRequest::Status(BAD_REQUEST);
    }
    parse_change(ChangeKind::Patch, request)
}

fn parse_change(kind: ChangeKind, request: HttpRequest) -> ApiRequest {
    match request.base_version {
        Some(base) => ApiRequest::Change(Change::new(kind, base, request.body)),
        None => ApiRequest::Status(BAD_REQUEST),
    }
}
