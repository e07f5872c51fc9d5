//! A runner's heartbeats and its leave.

use super::drain::Drain;
use super::{Beat, Runner, ANSWER_LIMIT};
use crate::actor::{CallTag, OutgoingCall, Surroundings};
use crate::engine::{Micros, MILLISECOND};
use crate::history::EndSeen;
use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::node::{HttpEndpoint, HttpRequest, Method};
use serde_json::{json, Value};

/// So many ends are listed at once.
const ENDS_AT_ONCE: usize = 500;

/// The word for an end.
pub(super) fn end_word(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Done => "done",
        RunEnd::Failed => "failed",
        RunEnd::Stopped => "stopped",
        RunEnd::LeaseExpired => "lapsed",
        RunEnd::GangMemberEnded => "broken",
        RunEnd::GangTimedOut => "alone",
        RunEnd::Rejected => "refused",
    }
}

fn end_json(end: &EndSeen) -> Value {
    json!([
        end.number,
        end.task.to_string(),
        end.attempt,
        end_word(end.end),
        end.saved
    ])
}

impl Runner {
    /// Sends a heartbeat, or waits where it is silent.
    pub(super) fn send_beat(&mut self, now: Micros, surroundings: &mut Surroundings) {
        if now < self.silent_until {
            self.beat_due = self.silent_until;
            return;
        }
        self.sequence += 1;
        let body = self.beat_body(now, surroundings).to_string().into_bytes();
        let path = format!("/v1/instances/{}/heartbeat", self.instance());
        let tag = self.call(path, body, surroundings);
        self.beat = Some(Beat {
            tag,
            sent: now,
            said_draining: self.says_draining(),
        });
        self.beat_due = now + self.plan.heartbeat;
    }

    /// Says that it leaves.
    pub(super) fn send_deregister(&mut self, now: Micros, surroundings: &mut Surroundings) {
        let path = format!("/v1/instances/{}/deregister", self.instance());
        self.call(path, Vec::new(), surroundings);
        if let Some(drain) = &mut self.drain {
            drain.deregister_sent = Some(now);
        }
    }

    fn call(&mut self, path: String, body: Vec<u8>, surroundings: &mut Surroundings) -> CallTag {
        let tag = self.next_tag;
        self.next_tag += 1;
        let request = HttpRequest {
            method: Method::Post,
            host: String::new(),
            path,
            base_version: None,
            deadline_ms: None,
            body,
        };
        let call = OutgoingCall {
            tag,
            to: self.plan.agent,
            endpoint: HttpEndpoint::Control,
            request,
            patience: ANSWER_LIMIT,
        };
        surroundings.calls.push(call);
        tag
    }

    fn beat_body(&self, now: Micros, surroundings: &Surroundings) -> Value {
        let plan = &self.plan;
        let state = if self.says_draining() {
            "draining"
        } else {
            "ready"
        };
        let mut body = json!({
            "service": plan.service, "address": format!("10.128.0.{}:8080", plan.number + 1),
            "zone": plan.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
            "capacity": {"cpu": plan.capacity.cpu, "mem_mb": plan.capacity.mem_mb, "gpu": plan.capacity.gpu},
            "labels": plan.labels, "clock_ms": (now - self.up_since) / MILLISECOND, "seq": self.sequence,
            "active": self.active_json(now, surroundings),
            "finished": self.finished.iter().take(ENDS_AT_ONCE).map(end_json).collect::<Value>(),
        });
        if let Some(drain) = self.drain.filter(Drain::is_said) {
            let left = (drain.began + drain.left).saturating_sub(now) / MILLISECOND;
            body["remaining_ms"] = json!(left);
        }
        body
    }

    fn says_draining(&self) -> bool {
        self.drain.as_ref().is_some_and(Drain::is_said)
    }

    fn active_json(&self, now: Micros, surroundings: &Surroundings) -> Value {
        let list = self.active.iter().map(|(key, run)| {
            let saved = run.saved(now, surroundings);
            json!([
                key.task.to_string(),
                key.attempt,
                saved,
                run.percent(now, surroundings)
            ])
        });
        list.collect()
    }
}
