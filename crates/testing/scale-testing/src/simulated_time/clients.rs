//! Clients' and the operator's requests in simulated time.

use sagetrail_protocol::node::{HttpRequest, Method};

use crate::call::HOST;
use crate::load::document;
use crate::operator::first_configuration;
use crate::plan::PlannedJob;
use crate::scenario::Scenario;

/// Clients wait so long, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// The submission of a job.
pub(super) fn submission(scenario: &Scenario, job: &PlannedJob) -> HttpRequest {
    let shape = &scenario.job[job.shape];
    HttpRequest {
        method: Method::Post,
        host: HOST.to_owned(),
        path: format!("/{}/{:016x}", shape.name, job.id),
        base_version: None,
        deadline_ms: Some(DEADLINE_MS),
        body: document(shape, job.work_ms).to_string().into_bytes(),
    }
}

/// The first configuration.
pub(super) fn configuration(scenario: &Scenario) -> HttpRequest {
    HttpRequest {
        method: Method::Post,
        host: String::new(),
        path: "/v1/config/replace".to_owned(),
        base_version: Some(0),
        deadline_ms: None,
        body: first_configuration(scenario).to_string().into_bytes(),
    }
}

/// A runner's heartbeat.
pub(super) fn heartbeat(path: String, body: Vec<u8>) -> HttpRequest {
    HttpRequest {
        method: Method::Post,
        host: String::new(),
        path,
        base_version: None,
        deadline_ms: None,
        body,
    }
}
