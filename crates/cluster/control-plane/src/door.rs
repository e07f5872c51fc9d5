//! Requests of HTTP at a core process: which of them is the operator's.
use crate::change::{Change, ChangeKind};
use sagetrail_cluster_config::ConfigDocument;
use sagetrail_protocol::node::{Door, HttpRequest, Method};

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
pub enum Asked {
    /// A change of the configuration.
    Change(Change),
    /// The newest configuration.
    ReadBack,
    /// Answered at once with this status.
    Status(u16),
}

/// Reads a request. `founded`: this process knows the core's members.
pub fn asked(door: Door, request: HttpRequest, founded: bool) -> Asked {
    match door {
        Door::Control => at_control(request, founded),
        Door::Readiness => Asked::Status(if founded { OK } else { UNAVAILABLE }),
        Door::Frontend => Asked::Status(UNAVAILABLE),
    }
}

fn at_control(request: HttpRequest, founded: bool) -> Asked {
    match (request.method, request.path.as_str()) {
        (Method::Post, REPLACE_PATH) if founded => replace(request),
        (Method::Post, PATCH_PATH) if founded => patch(request),
        (Method::Get, GET_PATH) if founded => Asked::ReadBack,
        (Method::Post, REPLACE_PATH | PATCH_PATH) | (Method::Get, GET_PATH) => {
            Asked::Status(UNAVAILABLE)
        }
        (_, REPLACE_PATH | PATCH_PATH | GET_PATH) => Asked::Status(NOT_ALLOWED),
        (_, path) if path.starts_with(INSTANCES_PATH) => Asked::Status(UNAVAILABLE),
        _ => Asked::Status(NOT_FOUND),
    }
}

/// A whole configuration that does not keep the rules by itself can never have been taken.
fn replace(request: HttpRequest) -> Asked {
    if ConfigDocument::parse(&request.body).is_err() {
        return Asked::Status(BAD_REQUEST);
    }
    change(ChangeKind::Replace, request)
}

fn patch(request: HttpRequest) -> Asked {
    if serde_json::from_slice::<serde::de::IgnoredAny>(&request.body).is_err() {
        return Asked::Status(BAD_REQUEST);
    }
    change(ChangeKind::Patch, request)
}

fn change(kind: ChangeKind, request: HttpRequest) -> Asked {
    match request.base_version {
        Some(base) => Asked::Change(Change::new(kind, base, request.body)),
        None => Asked::Status(BAD_REQUEST),
    }
}
