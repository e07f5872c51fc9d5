//! A scheduler with simulated runners and clients. Nothing happens on its own: time passes, batches are committed and
//! commands are executed only when a test calls the respective method.

// Each test program uses only some of these items.
#![allow(dead_code)]

mod config;
mod runner;

use sagetrail_protocol::agent::{ActiveRun, RunEnd, RunnerCommands, RunnerReport, MAX_LISTED_ENDS};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::client::{ClientMethod, ClientReply, ClientRequest};
use sagetrail_protocol::node::Now;
use sagetrail_protocol::service::{ConfigInForce, RecordOperation, Restored, Service};
use sagetrail_protocol::{Message, NodeId, Term, Time};
use sagetrail_scheduler::{CoreResources, Scheduler, SchedulerSettings};
use std::collections::BTreeMap;

pub(crate) use config::config;
pub(crate) use runner::SimulatedRunner;

/// The gateway that forwards all client requests.
const GATEWAY: NodeId = NodeId { ip: 1, port: 1 };
/// The seed of the first term.
const FIRST_SEED: u64 = 7;
/// The seed of all later terms.
const LATER_SEED: u64 = 8;
/// The time of day at the start, in milliseconds since 1970.
pub(crate) const START_WALL_MS: i64 = 1_000_000;

/// More resources than the jobs in most tests need.
const AMPLE_RESOURCES: CoreResources = CoreResources {
    memory_mb: 1_024.0,
    disk_mb: None,
};

/// An active run on a simulated runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RunningTask {
    /// The address of the runner's agent.
    pub node: NodeId,
    /// The task's ID.
    pub task: String,
    /// The run's attempt number.
    pub attempt: u64,
}

/// Returns the first attempt of a task, on the first runner.
pub(crate) fn first_run(task: String) -> RunningTask {
    RunningTask {
        node: node(0),
        task,
        attempt: 1,
    }
}

/// A scheduler with all simulated runners, clients and stored records.
pub(crate) struct TestCluster {
    /// The scheduler of the current term.
    pub scheduler: Scheduler,
    /// The time that all clocks show.
    pub now: Now,
    /// The current term.
    pub term: u64,
    /// The runners by the address of their agent.
    pub runners: BTreeMap<NodeId, SimulatedRunner>,
    /// The newest commands of the current term, by agent.
    pub commands: BTreeMap<NodeId, RunnerCommands>,
    /// All answers sent to clients.
    pub replies: Vec<ClientReply>,
    /// The committed records.
    pub records: BTreeMap<Vec<u8>, Vec<u8>>,
    /// The resources of the machine of each core process.
    resources: CoreResources,
    /// The number of the newest client request.
    last_request: u64,
}

/// Creates the scheduler of a term.
pub(crate) fn start_scheduler(now: Now, term: Term, seed: u64, state: &StoredState) -> Scheduler {
    let restored = Restored {
        term,
        node: NodeId { ip: 9, port: 9 },
        records: &state.records,
        config: state.config.clone(),
        seed,
    };
    let settings = SchedulerSettings {
        bounds: Bounds::default(),
        resources: state.resources,
    };
    Scheduler::new(settings, now, restored)
}

/// The stored state from which a term starts.
pub(crate) struct StoredState {
    /// The records, by key.
    pub records: BTreeMap<Vec<u8>, Vec<u8>>,
    /// The configuration in force.
    pub config: Option<ConfigInForce>,
    /// The resources of the machine.
    pub resources: CoreResources,
}

impl Default for StoredState {
    fn default() -> StoredState {
        StoredState {
            records: BTreeMap::new(),
            config: None,
            resources: AMPLE_RESOURCES,
        }
    }
}

/// Returns the address of the agent of the runner with this number.
pub(crate) fn node(number: u32) -> NodeId {
    NodeId {
        ip: 100 + number,
        port: 7,
    }
}

impl TestCluster {
    /// Creates a cluster with `runners` runners of four cores, two in each rack, all of which have reported. `/q/` has
    /// priority 1 and two attempts.
    pub(crate) fn new(runners: u32) -> TestCluster {
        TestCluster::with_config(runners, config(1, 2, 1))
    }

    /// Creates the cluster of `new` with another configuration.
    pub(crate) fn with_config(runners: u32, config: ConfigInForce) -> TestCluster {
        let state = StoredState {
            config: Some(config),
            ..StoredState::default()
        };
        TestCluster::with_state(runners, state)
    }

    /// Creates the cluster of `new` from a stored state.
    pub(crate) fn with_state(runners: u32, state: StoredState) -> TestCluster {
        let now = Now {
            steady: Time(1_000_000),
            wall_ms: START_WALL_MS,
        };
        let mut cluster = TestCluster {
            scheduler: start_scheduler(now, 1, FIRST_SEED, &state),
            now,
            term: 1,
            resources: state.resources,
            runners: (0..runners)
                .map(|number| (node(number), SimulatedRunner::new(number)))
                .collect(),
            commands: BTreeMap::new(),
            replies: Vec::new(),
            records: state.records,
            last_request: 0,
        };
        cluster.report_all();
        cluster.report_all();
        cluster
    }

    /// Starts a new term from the committed records, with this configuration in force.
    pub(crate) fn start_next_term(&mut self, config: ConfigInForce) {
        self.term += 1;
        let state = StoredState {
            records: std::mem::take(&mut self.records),
            config: Some(config),
            resources: self.resources,
        };
        // The former scheduler is gone before the next one starts.
        let nothing = StoredState::default();
        self.scheduler = start_scheduler(self.now, self.term, LATER_SEED, &nothing);
        self.scheduler = start_scheduler(self.now, self.term, LATER_SEED, &state);
        self.records = state.records;
        self.commands.clear();
    }

    /// Advances all clocks and lets the scheduler's timers fire.
    pub(crate) fn advance_ms(&mut self, millis: u64) {
        self.now.steady = self.now.steady.plus_millis(millis);
        self.now.wall_ms += millis as i64;
        self.scheduler.wake(self.now);
        self.deliver_messages();
    }

    /// Delivers the messages that the scheduler has sent.
    pub(crate) fn deliver_messages(&mut self) {
        for (receiver, message) in self.scheduler.take_sends() {
            match message {
                Message::RunnerCommands(commands) => {
                    self.commands.insert(receiver, commands);
                }
                Message::ClientReply(reply) => self.replies.push(reply),
                _ => {}
            }
        }
    }

    /// Commits all batches, as a quorum would, and notifies the scheduler.
    pub(crate) fn commit(&mut self) {
        while let Some(batch) = self.scheduler.take_batch() {
            for operation in batch.operations {
                match operation {
                    // A replica holds a copy, without the capacity that the batch has to spare.
                    RecordOperation::Put { key, value } => self.records.insert(key, value.clone()),
                    RecordOperation::Delete { key } => self.records.remove(&key),
                };
            }
            self.scheduler.committed(self.now, batch.number);
            self.deliver_messages();
        }
        self.deliver_messages();
    }

    /// Sends a client's request. Returns its number.
    pub(crate) fn request(&mut self, method: ClientMethod, path: &str, body: &str) -> u64 {
        self.last_request += 1;
        let request = ClientRequest {
            request: self.last_request,
            method,
            host: "h".into(),
            path: path.into(),
            body: body.as_bytes().to_vec().into(),
            config_version: 0,
            remaining_ms: 3000,
        };
        self.scheduler
            .message(self.now, GATEWAY, Message::ClientRequest(request));
        self.deliver_messages();
        self.last_request
    }

    /// Submits a job to `/q/`. Returns the request's number.
    pub(crate) fn submit(&mut self, id: &str, body: &str) -> u64 {
        self.request(ClientMethod::Submit, &format!("/q/{id}"), body)
    }

    /// Returns the answer to a request; `None` if there is none yet.
    pub(crate) fn reply(&self, request: u64) -> Option<&ClientReply> {
        self.replies.iter().find(|reply| reply.request == request)
    }

    /// Reads a job's state as a client; returns the status as text if it is not 200.
    pub(crate) fn state(&mut self, id: &str) -> String {
        let request = self.request(ClientMethod::Read, &format!("/q/{id}"), "");
        self.commit();
        let reply = self.reply(request).expect("a read is answered");
        if reply.status != 200 {
            return reply.status.to_string();
        }
        let body: serde_json::Value = serde_json::from_slice(&reply.body).expect("a state is JSON");
        body["state"].as_str().expect("a state is text").to_owned()
    }

    /// Sends the next report of a runner's agent.
    pub(crate) fn report(&mut self, node: NodeId) {
        let Some(report) = self.next_report(node) else {
            return;
        };
        self.deliver(node, report);
    }

    /// Delivers a report to the scheduler.
    pub(crate) fn deliver(&mut self, node: NodeId, report: RunnerReport) {
        self.scheduler
            .message(self.now, node, Message::RunnerReport(report));
        self.deliver_messages();
    }

    /// Builds the next report of a runner's agent without sending it.
    pub(crate) fn next_report(&mut self, node: NodeId) -> Option<RunnerReport> {
        let (term, revision) = self
            .commands
            .get(&node)
            .map_or((0, 0), |commands| (commands.term, commands.revision));
        let runner = self.runners.get_mut(&node)?;
        runner.sequence += 1;
        let (percent, checkpoint) = (runner.percent, runner.checkpoint.clone());
        let active = runner.active.iter().map(|(task, &attempt)| ActiveRun {
            task: task.as_str().into(),
            attempt,
            checkpoint: checkpoint.as_str().into(),
            percent,
        });
        Some(RunnerReport {
            agent: runner.agent,
            sequence: runner.sequence,
            sent_at: self.now.steady.0,
            term,
            revision,
            starts_resolved: runner.starts_resolved && term > 0,
            has_runner: true,
            instance: runner.instance.as_str().into(),
            service: "s".into(),
            address: "10.0.0.1:1".into(),
            zone: "z".into(),
            draining: runner.draining,
            remaining_ms: runner.remaining_ms,
            slow_start_remaining_ms: 0,
            capacity: runner.capacity,
            labels: runner
                .labels
                .iter()
                .map(|label| label.as_str().into())
                .collect(),
            active: active.collect(),
            finished: runner
                .finished
                .iter()
                .take(MAX_LISTED_ENDS)
                .cloned()
                .collect(),
            lease_expired: runner.lease_expired,
            since_heartbeat_ms: 0,
        })
    }

    /// Restarts a runner's agent, which loses all its state.
    pub(crate) fn restart_agent(&mut self, node: NodeId, incarnation: u64) {
        self.commands.remove(&node);
        let Some(runner) = self.runners.get_mut(&node) else {
            return;
        };
        runner.agent = incarnation;
        runner.sequence = 0;
    }

    /// Sends a report of every agent and commits the resulting changes.
    pub(crate) fn report_all(&mut self) {
        let nodes: Vec<NodeId> = self.runners.keys().copied().collect();
        nodes.into_iter().for_each(|node| self.report(node));
        self.commit();
    }

    /// Makes every runner execute its newest commands, then sends all reports.
    pub(crate) fn execute_commands(&mut self) {
        for (node, commands) in self.commands.clone() {
            let runner = self
                .runners
                .get_mut(&node)
                .expect("a runner for each agent with commands");
            if commands.instance.0 != runner.instance {
                continue;
            }
            for start in commands.start.iter() {
                runner.start(&start.task, start.attempt);
            }
            for stop in commands.stop.iter() {
                runner.end(&stop.task, RunEnd::Stopped);
            }
            runner.finished.retain(|run| run.number > commands.observed);
        }
        self.report_all();
    }

    /// Ends all active runs with this end, then sends all reports.
    pub(crate) fn end_all_runs(&mut self, end: RunEnd) {
        for runner in self.runners.values_mut() {
            let tasks: Vec<String> = runner.active.keys().cloned().collect();
            tasks.iter().for_each(|task| runner.end(task, end));
        }
        self.report_all();
    }

    /// Returns the active runs of all runners.
    pub(crate) fn running(&self) -> Vec<RunningTask> {
        let runs = |(&node, runner): (&NodeId, &SimulatedRunner)| {
            let run = |(task, &attempt): (&String, &u64)| RunningTask {
                node,
                task: task.clone(),
                attempt,
            };
            runner.active.iter().map(run).collect::<Vec<_>>()
        };
        self.runners.iter().flat_map(runs).collect()
    }
}
