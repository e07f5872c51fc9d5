//! A runner's heartbeat, parsed from JSON. Unknown fields are ignored, missing fields are allowed, and every length is
//! bounded.

use std::collections::HashSet;

use serde::Deserialize;
use thiserror::Error;

use sagetrail_protocol::agent::{
    may_omit_ends, ActiveRun, FinishedRun, Resources, RunEnd, MAX_ACTIVE_RUNS,
};
use sagetrail_protocol::Text;

use crate::checkpoint_budget::CheckpointBudget;
use crate::heartbeat_rows::{ActiveRow, FinishedRow};

/// The maximum length of a heartbeat's body, in bytes. A runner chooses the length of its checkpoints, so a heartbeat
/// may be much longer than the report that follows from it.
pub const MAX_HEARTBEAT_BYTES: usize = 16 << 20;
/// The maximum number of ended runs that a heartbeat may list.
pub const MAX_FINISHED_RUNS: usize = 16_384;
/// The maximum number of labels of a runner.
const MAX_LABELS: usize = 1_024;
/// The maximum length of a name in a heartbeat (task, service, address, zone, label), in bytes.
const MAX_NAME_BYTES: usize = 1_024;
/// The progress of a run whose work is complete, in percent.
const MAX_PERCENT: f64 = 100.0;
/// The `state` value of a runner that is shutting down.
const DRAINING: &str = "draining";

/// The reason why a heartbeat is rejected.
#[derive(Debug, Error)]
pub enum HeartbeatError {
    /// The body is longer than [`MAX_HEARTBEAT_BYTES`].
    #[error("heartbeat too long: got {bytes} bytes, limit is {MAX_HEARTBEAT_BYTES}")]
    TooLong {
        /// The length of the body.
        bytes: usize,
    },
    /// The body is not the JSON document of a heartbeat.
    #[error("body is not the JSON document of a heartbeat: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A list or a string is longer than its limit.
    #[error("heartbeat field exceeds its length limit: {field}")]
    OverLimit {
        /// The name of the field in the JSON document.
        field: &'static str,
    },
}

/// The content of a heartbeat. The optional fields describe the runner and may be left out once an earlier heartbeat
/// has given them. The state and the lists of runs are needed in every heartbeat: a missing list counts as empty.
#[derive(Clone, PartialEq, Debug, Default)]
pub(crate) struct Heartbeat {
    /// The service to which the runner belongs.
    pub(crate) service: Option<Text>,
    /// The address on which the runner accepts calls, `ip:port`.
    pub(crate) address: Option<Text>,
    /// The failure domain of the runner.
    pub(crate) zone: Option<Text>,
    /// All resources of the runner, used or free.
    pub(crate) capacity: Option<Resources>,
    /// The labels that placement constraints may require.
    pub(crate) labels: Option<Vec<Text>>,
    /// Whether the runner is shutting down and starts no more runs.
    pub(crate) is_draining: bool,
    /// The remaining time of the runner's slow start, in milliseconds.
    pub(crate) slow_start_remaining_ms: u64,
    /// The remaining time of a draining runner until it ends, in milliseconds.
    pub(crate) remaining_ms: u64,
    /// The sequence number, which increases with each heartbeat of an instance.
    pub(crate) sequence: Option<u64>,
    /// The active runs.
    pub(crate) active: Vec<ActiveRun>,
    /// The ended runs whose ends the scheduler has not yet observed.
    pub(crate) finished: Vec<FinishedRun>,
    /// The number of checkpoints that were left out because they are too long.
    pub(crate) dropped_checkpoints: u64,
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
    /// Parses the body of a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long or is not the JSON document of a heartbeat, or if a list or a string
    /// exceeds its limit.
    pub(crate) fn parse(body: &[u8]) -> Result<Heartbeat, HeartbeatError> {
        if body.len() > MAX_HEARTBEAT_BYTES {
            return Err(HeartbeatError::TooLong { bytes: body.len() });
        }
        let document: HeartbeatDocument = serde_json::from_slice(body)?;
        Heartbeat::try_from(document)
    }

    /// Returns the listed runs, for look-ups.
    pub(crate) fn listed_runs(&self) -> ListedRuns<'_> {
        let active = self.active.iter().map(|run| (&*run.task, run.attempt));
        let finished = self.finished.iter().map(|run| (&*run.task, run.attempt));
        ListedRuns {
            active: active.collect(),
            finished: finished.collect(),
            may_omit_ends: may_omit_ends(&self.finished),
        }
    }
}

/// The runs that a heartbeat lists, each by its task and attempt.
#[derive(Debug, Default)]
pub(crate) struct ListedRuns<'a> {
    active: HashSet<(&'a str, u64)>,
    finished: HashSet<(&'a str, u64)>,
    may_omit_ends: bool,
}

impl ListedRuns<'_> {
    /// Returns whether the run is listed as active or as finished.
    pub(crate) fn contains(&self, task: &str, attempt: u64) -> bool {
        self.contains_active(task, attempt) || self.finished.contains(&(task, attempt))
    }

    /// Returns whether the heartbeat may have had no room for further ended runs.
    pub(crate) fn may_omit_ends(&self) -> bool {
        self.may_omit_ends
    }

    /// Returns whether the run is listed as active.
    pub(crate) fn contains_active(&self, task: &str, attempt: u64) -> bool {
        self.active.contains(&(task, attempt))
    }
}

impl TryFrom<HeartbeatDocument> for Heartbeat {
    type Error = HeartbeatError;

    fn try_from(document: HeartbeatDocument) -> Result<Heartbeat, HeartbeatError> {
        let mut checkpoints = CheckpointBudget::default();
        // The checkpoint of an ended run is its last one, so it takes precedence.
        let finished = finished_runs(document.finished.unwrap_or_default(), &mut checkpoints)?;
        let active = active_runs(document.active.unwrap_or_default(), &mut checkpoints)?;
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
            active,
            finished,
            dropped_checkpoints: checkpoints.dropped(),
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

/// Converts to whole milliseconds; returns 0 if the number is missing, negative or NaN.
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

fn active_runs(
    rows: Vec<ActiveRow>,
    checkpoints: &mut CheckpointBudget,
) -> Result<Vec<ActiveRun>, HeartbeatError> {
    if rows.len() > MAX_ACTIVE_RUNS {
        return Err(HeartbeatError::OverLimit { field: "active" });
    }
    rows.into_iter()
        .map(|row| active_run(row, checkpoints))
        .collect()
}

fn active_run(
    row: ActiveRow,
    checkpoints: &mut CheckpointBudget,
) -> Result<ActiveRun, HeartbeatError> {
    Ok(ActiveRun {
        task: bounded(row.task, MAX_NAME_BYTES, "task")?,
        attempt: row.attempt,
        checkpoint: checkpoints.admit(row.checkpoint),
        percent: row.percent.clamp(0.0, MAX_PERCENT) as u8,
    })
}

fn finished_runs(
    rows: Vec<FinishedRow>,
    checkpoints: &mut CheckpointBudget,
) -> Result<Vec<FinishedRun>, HeartbeatError> {
    if rows.len() > MAX_FINISHED_RUNS {
        return Err(HeartbeatError::OverLimit { field: "finished" });
    }
    rows.into_iter()
        .map(|row| finished_run(row, checkpoints))
        .collect()
}

fn finished_run(
    row: FinishedRow,
    checkpoints: &mut CheckpointBudget,
) -> Result<FinishedRun, HeartbeatError> {
    Ok(FinishedRun {
        number: row.number,
        task: bounded(row.task, MAX_NAME_BYTES, "task")?,
        attempt: row.attempt,
        end: run_end(&row.end),
        checkpoint: checkpoints.admit(row.checkpoint),
    })
}

/// Converts the outcome of a run. An unknown value, perhaps of a later protocol version, counts as `Stopped`: the run
/// is over, and no attempt is used up.
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
