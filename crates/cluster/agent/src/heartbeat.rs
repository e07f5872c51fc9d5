//! A runner's heartbeat, read from JSON. Unknown fields are ignored, missing ones left out, and every length is bounded.

use serde::Deserialize;
use thiserror::Error;

use sagetrail_protocol::agent::{ActiveRun, FinishedRun, Resources, RunEnd};
use sagetrail_protocol::Text;

use crate::heartbeat_rows::{ActiveRow, FinishedRow};

/// The longest body of a heartbeat, in bytes.
pub const MAX_HEARTBEAT_BYTES: usize = 4 << 20;
/// The most runs that a heartbeat may list as active.
pub const MAX_ACTIVE_RUNS: usize = 16_384;
/// The most ended runs that a heartbeat may list.
pub const MAX_FINISHED_RUNS: usize = 16_384;
/// The most labels of a runner.
const MAX_LABELS: usize = 1_024;
/// The longest name in a heartbeat (task, service, address, zone, label), in bytes.
const MAX_NAME_BYTES: usize = 1_024;
/// The longest checkpoint, in bytes.
const MAX_CHECKPOINT_BYTES: usize = 64 << 10;
/// The progress of a run whose work is done, in hundredths.
const MAX_PERCENT: f64 = 100.0;
/// The state of a runner that shuts down.
const DRAINING: &str = "draining";

/// Why a heartbeat is rejected.
#[derive(Debug, Error)]
pub enum HeartbeatError {
    /// The body is over [`MAX_HEARTBEAT_BYTES`].
    #[error("heartbeat too long: {bytes} bytes")]
    TooLong {
        /// The length of the body.
        bytes: usize,
    },
    /// The body is not the JSON of a heartbeat.
    #[error("not a heartbeat: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A list or a text is longer than its limit.
    #[error("over the limit: {field}")]
    OverLimit {
        /// The field, as in the JSON.
        field: &'static str,
    },
}

/// The content of a heartbeat. What a runner is may be left out once it was named, what it does may not.
#[derive(Clone, PartialEq, Debug, Default)]
pub(crate) struct Heartbeat {
    /// The service whose runner it is.
    pub(crate) service: Option<Text>,
    /// The address on which it accepts calls, `ip:port`.
    pub(crate) address: Option<Text>,
    /// Its failure domain.
    pub(crate) zone: Option<Text>,
    /// All of its resources, used or free.
    pub(crate) capacity: Option<Resources>,
    /// What placements may ask for.
    pub(crate) labels: Option<Vec<Text>>,
    /// It shuts down and starts nothing any more.
    pub(crate) is_draining: bool,
    /// The rest of its slow start, in milliseconds.
    pub(crate) slow_start_remaining_ms: u64,
    /// While it drains: the time it has left, in milliseconds.
    pub(crate) remaining_ms: u64,
    /// Its number, which rises with each heartbeat of an instance.
    pub(crate) sequence: Option<u64>,
    /// The runs that are active.
    pub(crate) active: Vec<ActiveRun>,
    /// The ends that the scheduler has not observed.
    pub(crate) finished: Vec<FinishedRun>,
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
    ///
    /// # Errors
    ///
    /// For a body that is too long or is not the JSON of a heartbeat, and for a list or text over its limit.
    pub(crate) fn parse(body: &[u8]) -> Result<Heartbeat, HeartbeatError> {
        if body.len() > MAX_HEARTBEAT_BYTES {
            return Err(HeartbeatError::TooLong { bytes: body.len() });
        }
        let document: HeartbeatDocument = serde_json::from_slice(body)?;
        Heartbeat::try_from(document)
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

impl TryFrom<HeartbeatDocument> for Heartbeat {
    type Error = HeartbeatError;

    fn try_from(document: HeartbeatDocument) -> Result<Heartbeat, HeartbeatError> {
        Ok(Heartbeat {
            service: optional_name(document.service, "service")?,
            address: optional_name(document.address, "address")?,
            zone: optional_name(document.zone, "zone")?,
            capacity: document.capacity.map(resources),
            labels: document.labels.map(labels).transpose()?,
            is_draining: document.state.as_deref() == Some(DRAINING),
            slow_start_remaining_ms: milliseconds(document.cold_remaining_ms),
            remaining_ms: milliseconds(document.remaining_ms),
            sequence: document.seq,
            active: active_runs(document.active.unwrap_or_default())?,
            finished: finished_runs(document.finished.unwrap_or_default())?,
        })
    }
}

fn resources(document: CapacityDocument) -> Resources {
    Resources {
        cpu: document.cpu as u64,
        mem_mb: document.mem_mb as u64,
        gpu: document.gpu as u64,
    }
}

/// Whole milliseconds; 0 where the number is missing, negative or not a number.
fn milliseconds(number: Option<f64>) -> u64 {
    number.unwrap_or_default() as u64
}

fn bounded(text: String, max_bytes: usize, field: &'static str) -> Result<Text, HeartbeatError> {
    if text.len() > max_bytes {
        return Err(HeartbeatError::OverLimit { field });
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
        return Err(HeartbeatError::OverLimit { field: "labels" });
    }
    labels
        .into_iter()
        .map(|label| bounded(label, MAX_NAME_BYTES, "label"))
        .collect()
}

fn active_runs(rows: Vec<ActiveRow>) -> Result<Vec<ActiveRun>, HeartbeatError> {
    if rows.len() > MAX_ACTIVE_RUNS {
        return Err(HeartbeatError::OverLimit { field: "active" });
    }
    rows.into_iter().map(active_run).collect()
}

fn active_run(row: ActiveRow) -> Result<ActiveRun, HeartbeatError> {
    Ok(ActiveRun {
        task: bounded(row.task, MAX_NAME_BYTES, "task")?,
        attempt: row.attempt,
        checkpoint: bounded(row.checkpoint, MAX_CHECKPOINT_BYTES, "saved")?,
        percent: row.percent.clamp(0.0, MAX_PERCENT) as u8,
    })
}

fn finished_runs(rows: Vec<FinishedRow>) -> Result<Vec<FinishedRun>, HeartbeatError> {
    if rows.len() > MAX_FINISHED_RUNS {
        return Err(HeartbeatError::OverLimit { field: "finished" });
    }
    rows.into_iter().map(finished_run).collect()
}

fn finished_run(row: FinishedRow) -> Result<FinishedRun, HeartbeatError> {
    Ok(FinishedRun {
        number: row.number,
        task: bounded(row.task, MAX_NAME_BYTES, "task")?,
        attempt: row.attempt,
        end: run_end(&row.end),
        checkpoint: bounded(row.checkpoint, MAX_CHECKPOINT_BYTES, "saved")?,
    })
}

/// How a run ended. A value of a later protocol counts as `Stopped`: over, and no attempt lost.
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
