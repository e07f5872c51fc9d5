//! The clients: they submit jobs, send an ID again as long as its outcome is open, and ask for states.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::cluster::HOST;
use crate::http::{Answer, Connection};
use crate::json::{quoted, Json};
use crate::record::Record;

const DEADLINE: Duration = Duration::from_millis(3_000);

/// A job of one step.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    /// The prefix of the queue's path.
    pub queue: &'static str,
    pub count: u64,
    pub cpu: u64,
    pub mem_mb: u64,
    pub estimate_ms: u64,
    /// The label that the runner must have; empty for none.
    pub constraint: &'static str,
    pub long_running: bool,
    /// The tasks start and end together.
    pub gang: bool,
    pub spec: String,
}

impl Job {
    fn body(&self) -> String {
        let mut step = format!(
            "\"count\":{},\"cpu\":{},\"mem_mb\":{},\"estimate_ms\":{}",
            self.count, self.cpu, self.mem_mb, self.estimate_ms
        );
        if !self.constraint.is_empty() {
            step += &format!(",\"constraints\":{}", quoted(self.constraint));
        }
        if self.gang {
            step += ",\"gang\":true";
        }
        if self.long_running {
            step += ",\"long_running\":true";
        }
        format!(
            "{{\"spec\":{},\"stages\":[{{{step}}}]}}",
            quoted(&self.spec)
        )
    }
}

pub struct Clients {
    frontends: Vec<SocketAddr>,
    record: Arc<Record>,
    turn: usize,
}

impl Clients {
    pub fn new(frontends: Vec<SocketAddr>, record: Arc<Record>) -> Clients {
        Clients {
            frontends,
            record,
            turn: 0,
        }
    }

    fn call(&mut self, method: &str, path: &str, body: &str) -> std::io::Result<Answer> {
        self.turn += 1;
        let frontend = self.frontends[self.turn % self.frontends.len()];
        let headers = format!("Deadline-Ms: {}\r\n", DEADLINE.as_millis());
        Connection::new(frontend).call(method, HOST, path, &headers, body, DEADLINE)
    }

    /// Submits a job until it is accepted or surely not taken. Returns whether it was accepted.
    pub fn submit(&mut self, job: &Job) -> bool {
        let path = format!("{}{}", job.queue, job.id);
        let body = job.body();
        for _ in 0..5 {
            let answer = self.call("POST", &path, &body);
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            self.record.say(&format!(
                "client: POST {path} ({} tasks of {} cpu{}{}) -> {status}",
                job.count,
                job.cpu,
                if job.constraint.is_empty() {
                    ""
                } else {
                    ", needs "
                },
                job.constraint
            ));
            match status {
                200..=299 => return true,
                429 | 503 => std::thread::sleep(Duration::from_millis(1_000)),
                0 | 502 | 504 => std::thread::sleep(Duration::from_millis(200)),
                _ => return false,
            }
        }
        false
    }

    /// Returns the state that is shown for a job, or what was answered instead.
    pub fn state(&mut self, job: &Job) -> String {
        let path = format!("{}{}", job.queue, job.id);
        let answer = self.call("GET", &path, "");
        let state = match answer {
            Ok(answer) if answer.status == 200 => Json::parse(&answer.body)
                .and_then(|body| body.get("state").map(|state| state.text().to_owned()))
                .unwrap_or_default(),
            Ok(answer) => format!("status {}", answer.status),
            Err(error) => format!("no answer ({error})"),
        };
        self.record.say(&format!("client: GET {path} -> {state}"));
        state
    }
}
