//! The answer to a heartbeat, as JSON. What is empty or unknown is left out.

use sagetrail_protocol::node::HttpReply;
use serde::ser::{SerializeTuple, Serializer};
use serde::Serialize;

/// The answer to a heartbeat that was taken.
#[derive(Serialize, Default)]
pub(crate) struct Answer<'a> {
    /// The runner's hold from the sending of its heartbeat; without it nothing is held on or started.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hold_ms: Option<u64>,
    /// Ends up to this number may be forgotten.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub observed: Option<u64>,
    /// The term of the newest orders.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fence_token: Option<u64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub start: Vec<Start<'a>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<Stop<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// `[task, run, spec, saved]`.
pub(crate) struct Start<'a> {
    pub task: &'a str,
    pub attempt: u64,
    pub spec: &'a str,
    pub saved: &'a str,
}

/// `[task, run]`.
pub(crate) struct Stop<'a> {
    pub task: &'a str,
    pub attempt: u64,
}

impl Serialize for Start<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut fields = serializer.serialize_tuple(4)?;
        fields.serialize_element(self.task)?;
        fields.serialize_element(&self.attempt)?;
        fields.serialize_element(self.spec)?;
        fields.serialize_element(self.saved)?;
        fields.end()
    }
}

impl Serialize for Stop<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut fields = serializer.serialize_tuple(2)?;
        fields.serialize_element(self.task)?;
        fields.serialize_element(&self.attempt)?;
        fields.end()
    }
}

impl Answer<'_> {
    /// The answer as a reply of HTTP.
    pub(crate) fn into_reply(self) -> HttpReply {
        let body = serde_json::to_vec(&self).unwrap_or_else(|_| EMPTY_DOCUMENT.to_vec());
        HttpReply {
            status: 200,
            retry_after_s: None,
            body,
        }
    }
}

/// A JSON document that says nothing.
const EMPTY_DOCUMENT: &[u8] = b"{}";

/// A reply that says nothing but its status.
pub(crate) fn bare(status: u16) -> HttpReply {
    HttpReply {
        status,
        retry_after_s: None,
        body: EMPTY_DOCUMENT.to_vec(),
    }
}
