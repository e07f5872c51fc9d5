//! The reply to a heartbeat, as JSON. Empty and unknown fields are left out.

use std::io;

use serde::ser::{SerializeTuple, Serializer};
use serde::Serialize;

use sagetrail_protocol::node::HttpReply;

const OK: u16 = 200;
/// A JSON document without fields.
const EMPTY_DOCUMENT: &[u8] = b"{}";
const START_FIELDS: usize = 4;
const STOP_FIELDS: usize = 2;
/// The size of the comma between two rows, in bytes.
const SEPARATOR_BYTES: usize = 1;

/// The reply to a heartbeat that was accepted.
#[derive(Serialize, Default)]
pub(crate) struct HeartbeatReply<'a> {
    /// The runner's lease in milliseconds, counted from the time at which the runner sent its heartbeat. A reply
    /// without this field extends no lease and starts nothing.
    #[serde(rename = "hold_ms", skip_serializing_if = "Option::is_none")]
    pub(crate) lease_ms: Option<u64>,
    /// The runner may forget the ended runs up to this number.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) observed: Option<u64>,
    /// The term of the adopted commands; the runner ignores replies with a lower one.
    #[serde(rename = "fence_token", skip_serializing_if = "Option::is_none")]
    pub(crate) fencing_token: Option<u64>,
    /// The runs to start.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) start: Vec<StartRow<'a>>,
    /// The runs to stop.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) stop: Vec<StopRow<'a>>,
    /// The delay until the next heartbeat, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) retry_after_ms: Option<u64>,
}

/// A run to start: `[task, run, spec, saved]`.
pub(crate) struct StartRow<'a> {
    /// The name of the task, in the form `ID.K.STEP.INDEX`.
    pub(crate) task: &'a str,
    /// The attempt, `run` on the wire.
    pub(crate) attempt: u64,
    /// The unmodified text of the job's specification.
    pub(crate) spec: &'a str,
    /// The checkpoint from which the run resumes, `saved` on the wire; empty if there is none.
    pub(crate) checkpoint: &'a str,
}

/// A run to stop: `[task, run]`.
pub(crate) struct StopRow<'a> {
    /// The name of the task, in the form `ID.K.STEP.INDEX`.
    pub(crate) task: &'a str,
    /// The attempt, `run` on the wire.
    pub(crate) attempt: u64,
}

impl Serialize for StartRow<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut fields = serializer.serialize_tuple(START_FIELDS)?;
        fields.serialize_element(self.task)?;
        fields.serialize_element(&self.attempt)?;
        fields.serialize_element(self.spec)?;
        fields.serialize_element(self.checkpoint)?;
        fields.end()
    }
}

impl Serialize for StopRow<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut fields = serializer.serialize_tuple(STOP_FIELDS)?;
        fields.serialize_element(self.task)?;
        fields.serialize_element(&self.attempt)?;
        fields.end()
    }
}

/// Counts the bytes that are written to it.
#[derive(Default)]
struct ByteCounter(usize);

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the first rows whose JSON is together at most `max_bytes` long, and at least one row if there is any.
pub(crate) fn take_within<T: Serialize>(mut rows: Vec<T>, max_bytes: usize) -> Vec<T> {
    let mut written = ByteCounter::default();
    let fits = |row: &&T| {
        // The counter accepts every write, and the rows consist only of numbers and strings.
        let _ = serde_json::to_writer(&mut written, row);
        written.0 += SEPARATOR_BYTES;
        written.0 <= max_bytes
    };
    let fitting = rows.iter().take_while(fits).count();
    rows.truncate(fitting.max(1));
    rows
}

impl From<HeartbeatReply<'_>> for HttpReply {
    fn from(reply: HeartbeatReply<'_>) -> HttpReply {
        // Serialization cannot fail, because the reply consists only of numbers, strings and lists of these.
        let body = serde_json::to_vec(&reply).unwrap_or_else(|_| EMPTY_DOCUMENT.to_vec());
        HttpReply {
            status: OK,
            retry_after_s: None,
            body,
        }
    }
}

/// Builds a reply with the given status and an empty JSON document.
pub(crate) fn empty(status: u16) -> HttpReply {
    HttpReply {
        status,
        retry_after_s: None,
        body: EMPTY_DOCUMENT.to_vec(),
    }
}
