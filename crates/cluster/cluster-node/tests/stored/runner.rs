//! A simulated runner with its agent, which sends reports to the scheduler.

use std::collections::BTreeMap;

use sagetrail_protocol::agent::{
    ActiveRun, FinishedRun, Resources, RunEnd, RunnerCommands, RunnerReport,
};
use sagetrail_protocol::{Message, NodeId};

use super::LoneCore;

const CAPACITY: Resources = Resources {
    cpu: 4_000,
    mem_mb: 8_000,
    gpu: 2,
};

/// A runner that starts and stops runs by the scheduler's commands, and ends runs when the test calls
/// [`PlayedRunner::end`].
pub(crate) struct PlayedRunner {
    pub node: NodeId,
    instance: String,
    /// The attempt and the checkpoint of each active run, by its task.
    pub active: BTreeMap<String, (u64, String)>,
    finished: Vec<FinishedRun>,
    ends: u64,
    sequence: u64,
    /// The latest commands received.
    pub commands: Option<RunnerCommands>,
}

impl PlayedRunner {
    pub(crate) fn new(number: u32) -> PlayedRunner {
        PlayedRunner {
            node: NodeId {
                ip: 0x0a00_0100 + number,
                port: 7100,
            },
            instance: format!("instance-{number}"),
            active: BTreeMap::new(),
            finished: Vec::new(),
            ends: 0,
            sequence: 0,
            commands: None,
        }
    }

    /// Sends a report and receives the commands that are sent in response.
    pub(crate) fn report(&mut self, core: &mut LoneCore) {
        let report = self.next_report(core.steady_us());
        core.sent.clear();
        core.event(sagetrail_protocol::node::Event::Message {
            from: self.node,
            message: Message::RunnerReport(report),
        });
        core.run(200);
        for (to, message) in &core.sent {
            if let (true, Message::RunnerCommands(commands)) = (*to == self.node, message) {
                self.commands = Some(commands.clone());
            }
        }
    }

    /// Starts and stops runs by the latest commands, and forgets the finished runs that they acknowledge.
    pub(crate) fn apply_commands(&mut self) {
        let Some(commands) = self.commands.clone() else {
            return;
        };
        for start in commands.start.iter() {
            self.active.insert(
                start.task.0.clone(),
                (start.attempt, start.checkpoint.0.clone()),
            );
        }
        for stop in commands.stop.iter() {
            self.end(&stop.task, RunEnd::Stopped);
        }
        self.finished.retain(|run| run.number > commands.observed);
    }

    /// Ends the run of a task, if it is active, with this result.
    pub(crate) fn end(&mut self, task: &str, end: RunEnd) {
        let Some((attempt, checkpoint)) = self.active.remove(task) else {
            return;
        };
        self.ends += 1;
        self.finished.push(FinishedRun {
            number: self.ends,
            task: task.into(),
            attempt,
            end,
            checkpoint: checkpoint.into(),
        });
    }

    fn next_report(&mut self, sent_at: u64) -> RunnerReport {
        self.sequence += 1;
        let sequence = self.sequence;
        let commands = self.commands.as_ref();
        let (term, revision) =
            commands.map_or((0, 0), |commands| (commands.term, commands.revision));
        let active = self
            .active
            .iter()
            .map(|(task, (attempt, checkpoint))| ActiveRun {
                task: task.as_str().into(),
                attempt: *attempt,
                checkpoint: checkpoint.as_str().into(),
                percent: (sequence % 100) as u8,
            });
        RunnerReport {
            agent: u64::from(self.node.ip),
            sequence: self.sequence,
            sent_at,
            term,
            revision,
            starts_resolved: term > 0,
            has_runner: true,
            instance: self.instance.as_str().into(),
            service: "s".into(),
            address: "10.0.0.9:80".into(),
            zone: "z".into(),
            draining: false,
            remaining_ms: 0,
            slow_start_remaining_ms: 0,
            capacity: CAPACITY,
            labels: vec!["a".into(), "r1-1".into()].into(),
            active: active.collect(),
            finished: self.finished.clone().into(),
            lease_expired: false,
            since_heartbeat_ms: 0,
        }
    }
}
