//! A runner's heartbeat, read from JSON. Unknown fields are passed over, missing ones left out, and every length
//! is bounded.

use crate::lists::{ActiveRow, FinishedRow};
use sagetrail_protocol::agent::{ActiveRun, FinishedRun, Resources, RunEnd};
use sagetrail_protocol::Text;
use serde::Deserialize;
use std::fmt;

/// The longest body of a heartbeat, in bytes.
pub const MAX_HEARTBEAT_BYTES: usize = 4 << 20;
/// The most runs that a heartbeat may list as active.
pub const MAX_ACTIVE_RUNS: usize = 16_384;
/// The most ends that a heartbeat may list.
pub const MAX_FINISHED_RUNS: usize = 16_384;
/// The most labels of a runner.
const MAX_LABELS: usize = 1_024;
/// The longest name in a heartbeat (task, service, address, zone, label), in bytes.
const MAX_NAME_BYTES: usize = 1_024;
/// The longest checkpoint, in bytes.
const MAX_SAVED_BYTES: usize = 64 << 10;
/// All of the work.
const WHOLE_PERCENT: f64 = 100.0;
/// The state of a runner that is about to leave.
const DRAINING: &str = "draining";

/// Why a heartbeat was not taken.
#[derive(Debug)]
pub enum HeartbeatError {
    /// The body is over `MAX_HEARTBEAT_BYTES`.
    TooLong(usize),
    /// The body is not the JSON of a heartbeat.
    Malformed(serde_json::Error),
    /// A list is longer, or a text is, than is taken.
    OverLimit(&'static str),
}

impl fmt::Display for HeartbeatError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            HeartbeatError::TooLong(bytes) => write!(formatter, "a heartbeat of {bytes} bytes"),
            HeartbeatError::Malformed(error) => write!(formatter, "no heartbeat: {error}"),
            HeartbeatError::OverLimit(field) => write!(formatter, "over the limit: {field}"),
        }
    }
}

impl std::error::Error for HeartbeatError {}

/// What a heartbeat says. What a runner is may be left out once said, what it does may not.
#[derive(Clone, PartialEq, Debug, Default)]
pub(crate) struct Heartbeat {
    pub service: Option<Text>,
    pub address: Option<Text>,
    pub zone: Option<Text>,
    pub capacity: Option<Resources>,
    pub labels: Option<Vec<Text>>,
    pub draining: bool,
    pub cold_remaining_ms: u64,
    pub remaining_ms: u64,
    /// Rises with each heartbeat of an instance.
    pub sequence: Option<u64>,
    pub active: Vec<ActiveRun>,
    pub finished: Vec<FinishedRun>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct CapacityDocument {
    cpu: f64,
    mem_mb: f64,
    gpu: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct HeartbeatDocument {
    service: Option<String>,
    address: Option<String>,
    zone: Option<String>,
    state: Option<String>,
    capacity: Option<CapacityDocument>,
    labels: Option<Vec<String>>,
    cold_remaining_ms: Option<f64>,
    remaining_ms: Option<f64>,
    seq: Option<u64>,
    active: Option<Vec<ActiveRow>>,
    finished: Option<Vec<FinishedRow>>,
}

impl Heartbeat {
    /// Reads the body of a heartbeat.
    pub(crate) fn parse(body: &[u8]) -> Result<Heartbeat, HeartbeatError> {
        if body.len() > MAX_HEARTBEAT_BYTES {
            return Err(HeartbeatError::TooLong(body.len()));
        }
        let document: HeartbeatDocument =
            serde_json::from_slice(body).map_err(HeartbeatError::Malformed)?;
        Heartbeat::from_document(document)
    }

    fn from_document(document: HeartbeatDocument) -> Result<Heartbeat, HeartbeatError> {
        Ok(Heartbeat {
            service: optional_name(document.service, "service")?,
            address: optional_name(document.address, "address")?,
            zone: optional_name(document.zone, "zone")?,
            capacity: document.capacity.map(resources),
            labels: document.labels.map(labels).transpose()?,
            draining: document.state.as_deref() == Some(DRAINING),
            cold_remaining_ms: milliseconds(document.cold_remaining_ms),
            remaining_ms: milliseconds(document.remaining_ms),
            sequence: document.seq,
            active: active_runs(document.active.unwrap_or_default())?,
            finished: finished_runs(document.finished.unwrap_or_default())?,
        })
    }

    /// Whether this run is listed, as active or as finished.
    pub(crate) fn lists(&self, task: &str, attempt: u64) -> bool {
        self.lists_active(task, attempt)
            || self
                .finished
                .iter()
                .any(|run| run.attempt == attempt && &*run.task == task)
    }

    /// Whether this run is listed as active.
    pub(crate) fn lists_active(&self, task: &str, attempt: u64) -> bool {
        self.active
            .iter()
            .any(|run| run.attempt == attempt && &*run.task == task)
    }
}

fn resources(document: CapacityDocument) -> Resources {
    Resources {
        cpu: document.cpu as u64,
        mem_mb: document.mem_mb as u64,
        gpu: document.gpu as u64,
    }
}

/// Whole milliseconds; zero where the number is missing, negative or none.
fn milliseconds(number: Option<f64>) -> u64 {
    number.unwrap_or_default() as u64
}

fn bounded(text: String, most: usize, field: &'static str) -> Result<Text, HeartbeatError> {
    if text.len() > most {
        return Err(HeartbeatError::OverLimit(field));
    }
    Ok(Text(text))
}

fn optional_name(
    text: Option<String>,
    field: &'static str,
) -> Result<Option<Text>, HeartbeatError> {
    text.map(|text| bounded(text, MAX_NAME_BYTES, field))
        .transpose()
}

fn labels(labels: Vec<String>) -> Result<Vec<Text>, HeartbeatError> {
    if labels.len() > MAX_LABELS {
        return Err(HeartbeatError::OverLimit("labels"));
    }
    labels
        .into_iter()
        .map(|label| bounded(label, MAX_NAME_BYTES, "label"))
        .collect()
}

fn active_runs(rows: Vec<ActiveRow>) -> Result<Vec<ActiveRun>, HeartbeatError> {
    if rows.len() > MAX_ACTIVE_RUNS {
        return Err(HeartbeatError::OverLimit("active"));
    }
    rows.into_iter().map(active_run).collect()
}

fn active_run(row: ActiveRow) -> Result<ActiveRun, HeartbeatError> {
    Ok(ActiveRun {
        task: bounded(row.task, MAX_NAME_BYTES, "task")?,
        attempt: row.attempt,
        checkpoint: bounded(row.saved, MAX_SAVED_BYTES, "saved")?,
        percent: row.percent.clamp(0.0, WHOLE_PERCENT) as u8,
    })
}

fn finished_runs(rows: Vec<FinishedRow>) -> Result<Vec<FinishedRun>, HeartbeatError> {
    if rows.len() > MAX_FINISHED_RUNS {
        return Err(HeartbeatError::OverLimit("finished"));
    }
    rows.into_iter().map(finished_run).collect()
}

fn finished_run(row: FinishedRow) -> Result<FinishedRun, HeartbeatError> {
    Ok(FinishedRun {
        number: row.number,
        task: bounded(row.task, MAX_NAME_BYTES, "task")?,
        attempt: row.attempt,
        end: run_end(&row.how),
        checkpoint: bounded(row.saved, MAX_SAVED_BYTES, "saved")?,
    })
}

/// How a run ended. A word of a later protocol counts as `Stopped`: over, and no attempt lost.
fn run_end(how: &str) -> RunEnd {
    match how {
        "done" => RunEnd::Done,
        "failed" => RunEnd::Failed,
        "lapsed" => RunEnd::LeaseExpired,
        "broken" => RunEnd::GangMemberEnded,
        "alone" => RunEnd::GangTimedOut,
        "refused" => RunEnd::Rejected,
        _ => RunEnd::Stopped,
    }
}
