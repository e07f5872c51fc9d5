//! A runner by the protocol's page: one heartbeat at a time, holds on its own slow clock, fencing tokens.

use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Its clock is slow: a hold lasts so much longer, in hundredths.
const CLOCK_PERCENT: u64 = 102;
/// An answer that is later is dropped.
const PATIENCE_MS: u64 = 1000;

pub(crate) struct Outstanding {
    pub sequence: u64,
    pub sent_ms: u64,
    draining: bool,
}

/// Its planned end: it deregisters first and serves on.
pub(crate) struct Departure {
    pub ends_ms: u64,
    /// When it deregisters next; `None` once that was acknowledged.
    deregisters_ms: Option<u64>,
}

pub(crate) struct Runner {
    pub number: u64,
    /// Its port is dead before.
    pub up_ms: u64,
    pub running: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    ended: BTreeMap<String, u64>,
    next_end: u64,
    fence: u64,
    held_until_ms: u64,
    sequence: u64,
    pub outstanding: Option<Outstanding>,
    pub next_heartbeat_ms: u64,
    pub draining: bool,
    /// It has sent a notice of leaving that was acknowledged.
    noticed: bool,
    pub started_after_notice: bool,
    pub starts: u64,
    pub departure: Option<Departure>,
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
            fence: 0,
            held_until_ms: 0,
            sequence: 0,
            outstanding: None,
            next_heartbeat_ms: now_ms,
            draining: false,
            noticed: false,
            started_after_notice: false,
            starts: 0,
            departure: None,
        }
    }

    /// Begins to leave without ever saying `draining`.
    pub(crate) fn depart(&mut self, now_ms: u64, serves_on_ms: u64) {
        let ends_ms = now_ms + serves_on_ms;
        self.departure.get_or_insert(Departure {
            ends_ms,
            deregisters_ms: Some(now_ms),
        });
    }

    /// True where it deregisters now; it does so again until that is acknowledged.
    pub(crate) fn deregisters(&mut self, now_ms: u64) -> bool {
        let Some(departure) = &mut self.departure else {
            return false;
        };
        let due = departure
            .deregisters_ms
            .is_some_and(|at_ms| now_ms >= at_ms);
        if due {
            departure.deregisters_ms = Some(now_ms + PATIENCE_MS);
        }
        due
    }

    pub(crate) fn deregistered(&mut self) {
        if let Some(departure) = &mut self.departure {
            departure.deregisters_ms = None;
        }
    }

    pub(crate) fn instance(&self) -> String {
        format!("i-{}", self.number)
    }

    /// Ends what is no longer held, and a heartbeat that waited too long.
    pub(crate) fn tick(&mut self, now_ms: u64) {
        if now_ms >= self.held_until_ms {
            let tasks: Vec<String> = self.running.keys().cloned().collect();
            tasks.iter().for_each(|task| self.end(task, "lapsed"));
        }
        if self
            .outstanding
            .as_ref()
            .is_some_and(|waiting| now_ms > waiting.sent_ms + PATIENCE_MS)
        {
            self.outstanding = None;
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

    /// The next heartbeat, where one is due.
    pub(crate) fn heartbeat(&mut self, now_ms: u64) -> Option<Vec<u8>> {
        if self.outstanding.is_some() || now_ms < self.next_heartbeat_ms {
            return None;
        }
        self.sequence += 1;
        let draining = self.draining;
        self.outstanding = Some(Outstanding {
            sequence: self.sequence,
            sent_ms: now_ms,
            draining,
        });
        let active: Vec<Value> = self
            .running
            .iter()
            .map(|(task, run)| json!([task, run, "", 0]))
            .collect();
        let state = if draining { "draining" } else { "ready" };
        let document = json!({"seq": self.sequence, "state": state, "active": active,
            "finished": self.finished, "service": "s", "capacity": {"cpu": 1000}});
        Some(serde_json::to_vec(&document).unwrap())
    }

    /// Takes an answer to the heartbeat that waits for one.
    pub(crate) fn answer(&mut self, now_ms: u64, sequence: u64, body: &[u8]) {
        let waiting = self
            .outstanding
            .take_if(|waiting| waiting.sequence == sequence);
        let Some(waiting) = waiting else { return };
        let answer: Value = serde_json::from_slice(body).unwrap();
        self.next_heartbeat_ms = now_ms + answer["retry_after_ms"].as_u64().unwrap_or(1500);
        if answer["fence_token"].as_u64().unwrap_or(0) < self.fence {
            return;
        }
        self.fence = answer["fence_token"].as_u64().unwrap_or(0);
        let observed = answer["observed"].as_u64().unwrap_or(0);
        self.finished.retain(|end| end.0 > observed);
        if let Some(hold_ms) = answer["hold_ms"].as_u64() {
            let end_ms = waiting.sent_ms + hold_ms * CLOCK_PERCENT / 100;
            self.held_until_ms = self.held_until_ms.max(end_ms);
        }
        self.noticed |= waiting.draining;
        self.obey(now_ms, &answer);
    }

    fn obey(&mut self, now_ms: u64, answer: &Value) {
        for stop in answer["stop"].as_array().into_iter().flatten() {
            let task = stop[0].as_str().unwrap();
            if self.running.get(task) == stop[1].as_u64().as_ref() {
                self.end(task, "stopped");
            }
        }
        for start in answer["start"].as_array().into_iter().flatten() {
            let (task, run) = (start[0].as_str().unwrap(), start[1].as_u64().unwrap());
            let past = self.ended.get(task).copied().unwrap_or(0);
            if now_ms < self.held_until_ms && run > past && !self.running.contains_key(task) {
                self.started_after_notice |= self.noticed;
                self.running.insert(task.to_owned(), run);
                self.starts += 1;
            }
        }
    }
}
