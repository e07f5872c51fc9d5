//! What happens when: simulated time, and all that is to come.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use sagetrail_protocol::node::{DiskWrite, HealthCheckId, HttpReply, Now};
use sagetrail_protocol::{NodeId, Time};

/// The time of day at the start, in milliseconds since 1970.
const DAY_MS: i64 = 1_800_000_000_000;

/// Something that happens. Machines, workers and jobs are told by their places.
pub(super) enum Action {
    Frame {
        to: usize,
        from: NodeId,
        frame: Vec<u8>,
    },
    Wake {
        machine: usize,
    },
    Synced {
        machine: usize,
        writes: Vec<DiskWrite>,
    },
    Heartbeat {
        worker: usize,
    },
    HeartbeatAnswer {
        worker: usize,
        sent: Time,
        reply: HttpReply,
    },
    Submit {
        job: usize,
        attempt: u32,
    },
    SubmitAnswer {
        job: usize,
        attempt: u32,
        reply: Option<HttpReply>,
    },
    /// A look at a runner is answered: simulated runners are well.
    Looked {
        machine: usize,
        id: HealthCheckId,
    },
    Configure,
    ConfigureAnswer {
        reply: HttpReply,
    },
    /// The scheduler's machine is lost for good, by this fault of the scenario.
    LoseScheduler {
        fault: usize,
    },
}

/// Simulated time.
pub(super) struct Engine {
    origin: Instant,
    pub now: Time,
    number: u64,
    coming: BTreeMap<(Time, u64), Action>,
}

impl Engine {
    /// Time zero.
    pub(super) fn new() -> Engine {
        Engine {
            origin: Instant::now(),
            now: Time(1),
            number: 0,
            coming: BTreeMap::new(),
        }
    }

    /// Something happens after a while.
    pub(super) fn after(&mut self, wait: Duration, action: Action) {
        self.at(Time(self.now.0 + wait.as_micros() as u64), action);
    }

    /// Something happens at a time, now at the earliest.
    pub(super) fn at(&mut self, time: Time, action: Action) {
        self.number += 1;
        self.coming
            .insert((time.max(self.now), self.number), action);
    }

    /// The next thing up to `end`; time goes on to it.
    pub(super) fn next(&mut self, end: Time) -> Option<Action> {
        let (&(time, number), _) = self.coming.first_key_value()?;
        if time > end {
            return None;
        }
        self.now = time;
        self.coming.remove(&(time, number))
    }

    /// Both clocks of all machines.
    pub(super) fn clocks(&self) -> Now {
        Now {
            steady: self.now,
            wall_ms: DAY_MS + (self.now.0 / 1_000) as i64,
        }
    }

    /// A time as simulated runners take it.
    pub(super) fn instant(&self, time: Time) -> Instant {
        self.origin + Duration::from_micros(time.0)
    }

    /// The time of an instant.
    pub(super) fn time(&self, instant: Instant) -> Time {
        Time(instant.saturating_duration_since(self.origin).as_micros() as u64)
    }
}
