//! Guards against messages that grow with the waiting work beyond what their reader accepts.
//!
//! A runner drops a reply of more than 4 MiB, so it would neither start a run nor keep its lease, and would get the same
//! reply again. A heartbeat that is refused for the length of a checkpoint would come again in the same way.

mod common;

use std::collections::BTreeSet;

use serde_json::{json, Value};

use sagetrail_protocol::agent::{RunnerCommands, StartCommand, StopCommand, MAX_LISTED_ENDS};
use sagetrail_protocol::frame;
use sagetrail_protocol::node::HttpReply;
use sagetrail_protocol::{List, Message};

use common::{commands, start, stop, TestAgent, INSTANCE};

/// The longest reply that a runner accepts, in bytes.
const MAX_REPLY_BYTES: usize = 4 << 20;
/// The longest specification of a job, in bytes.
const MAX_SPEC_BYTES: usize = 4_000;
/// The number of small tasks that fit into one runner.
const STARTS: usize = 1_600;

fn task(number: usize) -> String {
    format!("5c0e7a21d94b36f8.0.0.{number}")
}

/// A start of the numbered task with this specification and checkpoint.
fn start_with(number: usize, spec: &str, checkpoint: &str) -> StartCommand {
    StartCommand {
        spec: spec.into(),
        checkpoint: checkpoint.into(),
        ..start(&task(number), 1)
    }
}

fn starts_with(spec: &str, checkpoint: &str) -> RunnerCommands {
    let starts = (0..STARTS).map(|number| start_with(number, spec, checkpoint));
    RunnerCommands {
        start: starts.collect(),
        ..commands(1, 2)
    }
}

/// A runner that starts whatever an accepted reply offers, except for the tasks in `ignored`.
struct Runner {
    agent: TestAgent,
    active: BTreeSet<String>,
    ignored: BTreeSet<String>,
    sequence: u64,
}

impl Runner {
    fn new(commands: RunnerCommands) -> Runner {
        let mut agent = TestAgent::connected();
        agent.receive_answer(commands);
        Runner {
            agent,
            active: BTreeSet::new(),
            ignored: BTreeSet::new(),
            sequence: 2,
        }
    }

    /// Sends a heartbeat that lists the active runs, and returns the reply without acting on it.
    fn call(&mut self) -> HttpReply {
        self.agent.advance(25);
        self.sequence += 1;
        let active = self.active.iter().map(|task| json!([task, 1, "", 0]));
        let active: Vec<Value> = active.collect();
        let reply = self
            .agent
            .heartbeat_of(INSTANCE, self.sequence, json!({ "active": active }));
        assert_eq!(reply.status, 200);
        reply
    }

    /// Sends a heartbeat and starts what the reply offers.
    fn heartbeat(&mut self) {
        let reply = self.call();
        assert!(
            reply.body.len() <= MAX_REPLY_BYTES,
            "a reply of {} bytes",
            reply.body.len()
        );
        for task in offered(&reply) {
            if !self.ignored.contains(&task) {
                self.active.insert(task);
            }
        }
    }
}

/// Returns the tasks that a reply offers to start.
fn offered(reply: &HttpReply) -> Vec<String> {
    let document: Value = serde_json::from_slice(&reply.body).expect("a reply is JSON");
    let rows = document["start"].as_array().cloned().unwrap_or_default();
    let task = |row: &Value| row[0].as_str().expect("a task").to_owned();
    rows.iter().map(task).collect()
}

#[test]
fn large_specs_start_over_several_replies() {
    let mut runner = Runner::new(starts_with(&"x".repeat(MAX_SPEC_BYTES), ""));
    for _ in 0..20 {
        runner.heartbeat();
    }
    assert_eq!(runner.active.len(), STARTS);
}

#[test]
fn specs_that_grow_when_they_are_escaped_start_over_several_replies() {
    let mut runner = Runner::new(starts_with(&"\u{1}".repeat(MAX_SPEC_BYTES), ""));
    for _ in 0..60 {
        runner.heartbeat();
    }
    assert_eq!(runner.active.len(), STARTS);
}

#[test]
fn large_checkpoints_start_over_several_replies() {
    let checkpoint = "c".repeat(64 << 10);
    let mut runner = Runner::new(starts_with("", &checkpoint));
    for _ in 0..120 {
        runner.heartbeat();
    }
    assert_eq!(runner.active.len(), STARTS);
}

#[test]
fn a_reply_that_is_not_taken_is_followed_by_a_shorter_one_with_other_starts() {
    let mut runner = Runner::new(starts_with(&"x".repeat(MAX_SPEC_BYTES), ""));
    let dropped = runner.call();
    let next = runner.call();
    assert!(next.body.len() < dropped.body.len() * 3 / 4);
    let (dropped, next) = (offered(&dropped), offered(&next));
    assert!(next.iter().all(|task| !dropped.contains(task)));
    for _ in 0..30 {
        runner.heartbeat();
    }
    assert_eq!(runner.active.len(), STARTS);
}

/// A runner whose list of ended runs is full may have taken the starts and ended their runs without a place for them.
#[test]
fn a_reply_is_not_followed_by_a_shorter_one_while_ends_may_be_unlisted() {
    let mut runner = Runner::new(starts_with(&"x".repeat(MAX_SPEC_BYTES), ""));
    let first = runner.call();
    runner.agent.advance(25);
    let finished: Vec<Value> = (1..=MAX_LISTED_ENDS)
        .map(|number| {
            json!([
                number,
                format!("5c0e7a21d94b36f8.0.1.{number}"),
                1,
                "done",
                ""
            ])
        })
        .collect();
    let next = runner
        .agent
        .heartbeat_of(INSTANCE, 4, json!({ "finished": finished }));
    assert_eq!(offered(&next).len(), offered(&first).len());
    assert_ne!(offered(&next), offered(&first));
}

#[test]
fn starts_that_a_runner_ignores_do_not_keep_the_others_from_it() {
    let mut runner = Runner::new(starts_with(&"x".repeat(MAX_SPEC_BYTES), ""));
    runner.ignored = (0..STARTS / 2).map(task).collect();
    for _ in 0..200 {
        runner.heartbeat();
    }
    assert_eq!(runner.active.len(), STARTS - STARTS / 2);
}

#[test]
fn many_stops_are_sent_over_several_replies() {
    let names: Vec<String> = (0..16_000).map(|n| format!("{n:0>512}.0.0.0")).collect();
    let stops: Vec<StopCommand> = names.iter().map(|name| stop(name, 1)).collect();
    let mut runner = Runner::new(RunnerCommands {
        stop: List(stops),
        ..commands(1, 2)
    });
    runner.active = names.into_iter().collect();
    while !runner.active.is_empty() {
        let reply = runner.call();
        assert!(reply.body.len() <= MAX_REPLY_BYTES);
        let document: Value = serde_json::from_slice(&reply.body).expect("a reply is JSON");
        let stopped = document["stop"].as_array().expect("stops").clone();
        for row in stopped {
            runner.active.remove(row[0].as_str().expect("a task"));
        }
    }
}

#[test]
fn a_checkpoint_that_is_too_long_is_left_out_and_the_heartbeat_counts() {
    let mut agent = TestAgent::connected();
    let long = "c".repeat(100_000);
    let lists = json!({
        "active": [[task(0), 1, long, 10], [task(1), 1, "short", 20]],
        "finished": [[1, task(2), 1, "stopped", long]],
    });
    let reply = agent.heartbeat(3, lists);
    assert!(reply["hold_ms"].as_u64().is_some());
    agent.advance(1);
    let report = agent.last_report();
    assert_eq!(&*report.active[0].checkpoint, "");
    assert_eq!(&*report.active[1].checkpoint, "short");
    assert_eq!(&*report.finished[0].checkpoint, "");
    assert_eq!(agent.node.counters().dropped_checkpoints, 2);
}

#[test]
fn many_large_checkpoints_make_neither_the_heartbeat_nor_the_report_too_long() {
    let mut agent = TestAgent::connected();
    let checkpoint = "c".repeat(20_000);
    let finished: Vec<Value> = (0..500)
        .map(|n| json!([n + 1, task(n), 1, "stopped", checkpoint]))
        .collect();
    let reply = agent.heartbeat(3, json!({ "finished": finished }));
    assert!(reply["hold_ms"].as_u64().is_some());
    agent.advance(1);
    let report = agent.last_report().clone();
    assert_eq!(report.finished.len(), 500);
    let frame = frame::encode(&Message::RunnerReport(report)).expect("a report fits into a frame");
    assert!(frame.len() <= 4 << 20, "a report of {} bytes", frame.len());
}
