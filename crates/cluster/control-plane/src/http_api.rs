//! Requests of HTTP at a core process: which of them is the operator's.

use crate::change::{Change, ChangeKind};
use sagetrail_cluster_config::ConfigDocument;
use sagetrail_protocol::node::{HttpEndpoint, HttpRequest, Method};

const REPLACE_PATH: &str = "/v1/config/replace";
const PATCH_PATH: &str = "/v1/config/patch";
const GET_PATH: &str = "/v1/config/get";
const INSTANCES_PATH: &str = "/v1/instances/";

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const NOT_ALLOWED: u16 = 405;
const UNAVAILABLE: u16 = 503;

/// What a request asks for.
#[derive(Debug)]
pub(crate) enum ApiRequest {
    /// A change of the configuration.
    Change(Change),
    /// The newest configuration.
    ReadBack,
    /// Answered at once with this status.
    Status(u16),
}

/// Reads a request. `founded`: this process knows the core's members.
pub(crate) fn parse_request(
    endpoint: HttpEndpoint,
    request: HttpRequest,
    founded: bool,
) -> ApiRequest {
    match endpoint {
        HttpEndpoint::Control => at_control(request, founded),
        HttpEndpoint::Readiness => ApiRequest::Status(if founded { OK } else { UNAVAILABLE }),
        HttpEndpoint::Frontend => ApiRequest::Status(UNAVAILABLE),
    }
}

fn at_control(request: HttpRequest, founded: bool) -> ApiRequest {
    match (request.method, request.path.as_str()) {
        (Method::Post, REPLACE_PATH) if founded => replace(request),
        (Method::Post, PATCH_PATH) if founded => patch(request),
        (Method::Get, GET_PATH) if founded => ApiRequest::ReadBack,
        (Method::Post, REPLACE_PATH | PATCH_PATH) | (Method::Get, GET_PATH) => {
            ApiRequest::Status(UNAVAILABLE)
        }
        (_, REPLACE_PATH | PATCH_PATH | GET_PATH) => ApiRequest::Status(NOT_ALLOWED),
        (_, path) if path.starts_with(INSTANCES_PATH) => ApiRequest::Status(UNAVAILABLE),
        _ => ApiRequest::Status(NOT_FOUND),
    }
}

/// A whole configuration that does not keep the rules by itself can never have been taken.
fn replace(request: HttpRequest) -> ApiRequest {
    if ConfigDocument::parse(&request.body).is_err() {
        return ApiRequest::Status(BAD_REQUEST);
    }
    change(ChangeKind::Replace, request)
}

fn patch(request: HttpRequest) -> ApiRequest {
    if serde_json::from_slice::<serde::de::IgnoredAny>(&request.body).is_err() {
        return ApiRequest::Status(BAD_REQUEST);
    }
    change(ChangeKind::Patch, request)
}

fn change(kind: ChangeKind, request: HttpRequest) -> ApiRequest {
    match request.base_version {
        Some(base) => ApiRequest::Change(Change::new(kind, base, request.body)),
        None => ApiRequest::Status(BAD_REQUEST),
    }
}
