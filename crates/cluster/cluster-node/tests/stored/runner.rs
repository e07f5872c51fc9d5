//! A runner with its agent, as the scheduler hears of it.

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

/// A runner that does what it is told and ends its runs when the test says so.
pub(crate) struct PlayedRunner {
    pub node: NodeId,
    instance: String,
    /// Attempt and checkpoint of each active run.
    pub active: BTreeMap<String, (u64, String)>,
    finished: Vec<FinishedRun>,
    ends: u64,
    sequence: u64,
    /// The newest orders.
    pub orders: Option<RunnerCommands>,
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
            orders: None,
        }
    }

    /// Reports, and takes the orders that come.
    pub(crate) fn report(&mut self, core: &mut LoneCore) {
        let report = self.next_report(core.steady_us());
        core.sent.clear();
        core.event(sagetrail_protocol::node::Event::Message {
            from: self.node,
            message: Message::RunnerReport(report),
        });
        core.run(200);
        for (to, message) in &core.sent {
            if let (true, Message::RunnerCommands(orders)) = (*to == self.node, message) {
                self.orders = Some(orders.clone());
            }
        }
    }

    /// Starts and stops what the newest orders say.
    pub(crate) fn obey(&mut self) {
        let Some(orders) = self.orders.clone() else {
            return;
        };
        for start in orders.start.iter() {
            self.active.insert(
                start.task.0.clone(),
                (start.attempt, start.checkpoint.0.clone()),
            );
        }
        for stop in orders.stop.iter() {
            self.end(&stop.task, RunEnd::Stopped);
        }
        self.finished.retain(|run| run.number > orders.observed);
    }

    /// An active run ends so.
    pub(crate) fn end(&mut self, task: &str, end: RunEnd) {
        let Some((attempt, saved)) = self.active.remove(task) else {
            return;
        };
        self.ends += 1;
        self.finished.push(FinishedRun {
            number: self.ends,
            task: task.into(),
            attempt,
            end,
            checkpoint: saved.into(),
        });
    }

    fn next_report(&mut self, sent_at: u64) -> RunnerReport {
        self.sequence += 1;
        let sequence = self.sequence;
        let orders = self.orders.as_ref();
        let (term, revision) = orders.map_or((0, 0), |orders| (orders.term, orders.revision));
        let active = self
            .active
            .iter()
            .map(|(task, (attempt, saved))| ActiveRun {
                task: task.as_str().into(),
                attempt: *attempt,
                checkpoint: saved.as_str().into(),
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
