//! A runner's heartbeats and its leave.

use super::drain::Drain;
use super::{PendingHeartbeat, Runner, ANSWER_LIMIT};
use crate::actor::{ActorContext, CallTag, OutgoingCall};
use crate::engine::{Micros, MILLISECOND};
use crate::history::ObservedEnd;
use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::node::{HttpEndpoint, HttpRequest, Method};
use serde_json::{json, Value};

/// So many ends are listed at once.
const ENDS_AT_ONCE: usize = 500;

/// The word for an end.
pub(super) fn end_name(end: RunEnd) -> &'static str {
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

fn end_json(end: &ObservedEnd) -> Value {
    json!([
        end.number,
        end.task.to_string(),
        end.attempt,
        end_name(end.end),
        end.saved
    ])
}

impl Runner {
    /// Sends a heartbeat, or waits where it is silent.
    pub(super) fn send_heartbeat(&mut self, now: Micros, context: &mut ActorContext) {
        if now < self.silent_until {
            self.heartbeat_due = self.silent_until;
            return;
        }
        self.sequence += 1;
        let body = self.heartbeat_body(now, context).to_string().into_bytes();
        let path = format!("/v1/instances/{}/heartbeat", self.instance());
        let tag = self.call(path, body, context);
        self.heartbeat = Some(PendingHeartbeat {
            tag,
            sent: now,
            reported_draining: self.reports_draining(),
        });
        self.heartbeat_due = now + self.plan.heartbeat;
    }

    /// Says that it leaves.
    pub(super) fn send_deregister(&mut self, now: Micros, context: &mut ActorContext) {
        let path = format!("/v1/instances/{}/deregister", self.instance());
        self.call(path, Vec::new(), context);
        if let Some(drain) = &mut self.drain {
            drain.deregister_sent = Some(now);
        }
    }

    fn call(&mut self, path: String, body: Vec<u8>, context: &mut ActorContext) -> CallTag {
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
            timeout: ANSWER_LIMIT,
        };
        context.calls.push(call);
        tag
    }

    fn heartbeat_body(&self, now: Micros, context: &ActorContext) -> Value {
        let plan = &self.plan;
        let state = if self.reports_draining() {
            "draining"
        } else {
            "ready"
        };
        let mut body = json!({
            "service": plan.service, "address": format!("10.128.0.{}:8080", plan.number + 1),
            "zone": plan.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
            "capacity": {"cpu": plan.capacity.cpu, "mem_mb": plan.capacity.mem_mb, "gpu": plan.capacity.gpu},
            "labels": plan.labels, "clock_ms": (now - self.up_since) / MILLISECOND, "seq": self.sequence,
            "active": self.active_json(now, context),
            "finished": self.finished.iter().take(ENDS_AT_ONCE).map(end_json).collect::<Value>(),
        });
        if let Some(drain) = self.drain.filter(Drain::is_announced) {
            let left = (drain.began + drain.left).saturating_sub(now) / MILLISECOND;
            body["remaining_ms"] = json!(left);
        }
        body
    }

    fn reports_draining(&self) -> bool {
        self.drain.as_ref().is_some_and(Drain::is_announced)
    }

    fn active_json(&self, now: Micros, context: &ActorContext) -> Value {
        let list = self.active.iter().map(|(key, run)| {
            let saved = run.saved(now, context);
            json!([
                key.task.to_string(),
                key.attempt,
                saved,
                run.percent(now, context)
            ])
        });
        list.collect()
    }
}
