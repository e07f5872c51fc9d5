//! A runner that follows the protocol: it has one heartbeat in flight at a time, measures its lease on its own slow
//! clock and checks fencing tokens.

use std::collections::BTreeMap;

use serde_json::{json, Value};

/// The time that a lease lasts on the runner's slow clock, in percent of the granted time.
const CLOCK_PERCENT: u64 = 102;
/// The time after which an answer is dropped, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1000;

/// A heartbeat that has not been answered yet.
pub(crate) struct PendingHeartbeat {
    pub sequence: u64,
    pub sent_ms: u64,
    is_draining: bool,
}

/// A planned end of the runner, which first deregisters and continues to serve.
struct Departure {
    ends_ms: u64,
    /// The time of the next deregistration call; `None` once a call has been acknowledged.
    deregisters_ms: Option<u64>,
}

pub(crate) struct Runner {
    pub number: u64,
    /// The time before which the runner's machine refuses connections.
    pub up_ms: u64,
    pub running: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    ended: BTreeMap<String, u64>,
    next_end: u64,
    fencing_token: u64,
    lease_end_ms: u64,
    sequence: u64,
    pub pending: Option<PendingHeartbeat>,
    pub next_heartbeat_ms: u64,
    pub is_draining: bool,
    /// Whether a heartbeat with `draining` has been acknowledged.
    has_announced_draining: bool,
    /// Whether a run was started after a heartbeat with `draining` had been acknowledged.
    pub started_while_draining: bool,
    pub starts: u64,
    departure: Option<Departure>,
}

impl Runner {
    pub(crate) fn new(number: u64, now_ms: u64) -> Runner {
        Runner {
            number,
            up_ms: now_ms,
            running: BTreeMap::new(),
            finished: Vec::new(),
            ended: BTreeMap::new(),
            next_end: 1,
            fencing_token: 0,
            lease_end_ms: 0,
            sequence: 0,
            pending: None,
            next_heartbeat_ms: now_ms,
            is_draining: false,
            has_announced_draining: false,
            started_while_draining: false,
            starts: 0,
            departure: None,
        }
    }

    /// Begins to shut down without sending `draining` in any heartbeat.
    pub(crate) fn depart(&mut self, now_ms: u64, serves_on_ms: u64) {
        let ends_ms = now_ms + serves_on_ms;
        self.departure.get_or_insert(Departure {
            ends_ms,
            deregisters_ms: Some(now_ms),
        });
    }

    /// Returns whether the runner deregisters now. It repeats the call until one is acknowledged.
    pub(crate) fn deregisters(&mut self, now_ms: u64) -> bool {
        let Some(departure) = &mut self.departure else {
            return false;
        };
        let due = departure
            .deregisters_ms
            .is_some_and(|at_ms| now_ms >= at_ms);
        if due {
            departure.deregisters_ms = Some(now_ms + ANSWER_TIMEOUT_MS);
        }
        due
    }

    /// Returns whether the planned end has been reached.
    pub(crate) fn has_departed(&self, now_ms: u64) -> bool {
        self.departure
            .as_ref()
            .is_some_and(|departure| now_ms >= departure.ends_ms)
    }

    pub(crate) fn receive_deregistered(&mut self) {
        if let Some(departure) = &mut self.departure {
            departure.deregisters_ms = None;
        }
    }

    pub(crate) fn instance(&self) -> String {
        format!("i-{}", self.number)
    }

    /// Ends all runs once the lease has expired, and drops a pending heartbeat that has timed out.
    pub(crate) fn tick(&mut self, now_ms: u64) {
        if now_ms >= self.lease_end_ms {
            let tasks: Vec<String> = self.running.keys().cloned().collect();
            tasks.iter().for_each(|task| self.end(task, "lapsed"));
        }
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| now_ms > pending.sent_ms + ANSWER_TIMEOUT_MS)
        {
            self.pending = None;
            self.next_heartbeat_ms = now_ms + 50;
        }
    }

    pub(crate) fn end(&mut self, task: &str, how: &'static str) {
        let Some(attempt) = self.running.remove(task) else {
            return;
        };
        self.ended.insert(task.to_owned(), attempt);
        self.finished
            .push((self.next_end, task.to_owned(), attempt, how));
        self.next_end += 1;
    }

    /// Returns the body of the next heartbeat if one is due.
    pub(crate) fn heartbeat(&mut self, now_ms: u64) -> Option<Vec<u8>> {
        if self.pending.is_some() || now_ms < self.next_heartbeat_ms {
            return None;
        }
        self.sequence += 1;
        self.pending = Some(PendingHeartbeat {
            sequence: self.sequence,
            sent_ms: now_ms,
            is_draining: self.is_draining,
        });
        let active: Vec<Value> = self
            .running
            .iter()
            .map(|(task, run)| json!([task, run, "", 0]))
            .collect();
        let state = if self.is_draining {
            "draining"
        } else {
            "ready"
        };
        let document = json!({"seq": self.sequence, "state": state, "active": active,
            "finished": self.finished, "service": "s", "capacity": {"cpu": 1000}});
        Some(serde_json::to_vec(&document).unwrap())
    }

    /// Receives an answer; ignores it if it does not answer the pending heartbeat.
    pub(crate) fn receive_answer(&mut self, now_ms: u64, sequence: u64, body: &[u8]) {
        let answered = self.pending.take_if(|pending| pending.sequence == sequence);
        let Some(answered) = answered else { return };
        let answer: Value = serde_json::from_slice(body).unwrap();
        self.next_heartbeat_ms = now_ms + answer["retry_after_ms"].as_u64().unwrap_or(1500);
        if answer["fence_token"].as_u64().unwrap_or(0) < self.fencing_token {
            return;
        }
        self.fencing_token = answer["fence_token"].as_u64().unwrap_or(0);
        let observed = answer["observed"].as_u64().unwrap_or(0);
        self.finished.retain(|end| end.0 > observed);
        if let Some(lease_ms) = answer["hold_ms"].as_u64() {
            let end_ms = answered.sent_ms + lease_ms * CLOCK_PERCENT / 100;
            self.lease_end_ms = self.lease_end_ms.max(end_ms);
        }
        self.has_announced_draining |= answered.is_draining;
        self.execute_commands(now_ms, &answer);
    }

    fn execute_commands(&mut self, now_ms: u64, answer: &Value) {
        for stop in answer["stop"].as_array().into_iter().flatten() {
            let task = stop[0].as_str().unwrap();
            if self.running.get(task) == stop[1].as_u64().as_ref() {
                self.end(task, "stopped");
            }
        }
        for start in answer["start"].as_array().into_iter().flatten() {
            let (task, run) = (start[0].as_str().unwrap(), start[1].as_u64().unwrap());
            let last_ended = self.ended.get(task).copied().unwrap_or(0);
            if now_ms < self.lease_end_ms && run > last_ended && !self.running.contains_key(task) {
                self.started_while_draining |= self.has_announced_draining;
                self.running.insert(task.to_owned(), run);
                self.starts += 1;
            }
        }
    }
}
