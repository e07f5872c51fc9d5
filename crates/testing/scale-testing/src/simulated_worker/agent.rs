//! A real agent in this process, driven by the daemon's own loop and transport.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use sagetrail_agent::{AgentNode, AgentSettings};
use sagetrail_cluster_node::clocks::Clocks;
use sagetrail_cluster_node::input::Inputs;
use sagetrail_cluster_node::lifecycle::watch_phase;
use sagetrail_cluster_node::process::{Process, ProcessParts};
use sagetrail_cluster_node::transport::Transport;
use sagetrail_protocol::node::{Event, Node, Now, Outbox};
use sagetrail_protocol::Time;

use crate::run_statistics::RunStatistics;

/// An agent that is told to end does so within this.
const GRACE: Duration = Duration::from_secs(1);

/// An agent whose reports are counted for all.
struct CountedAgent {
    agent: AgentNode,
    statistics: Arc<RunStatistics>,
    reports: u64,
}

impl Node for CountedAgent {
    fn handle(&mut self, now: Now, event: Event, outbox: &mut Outbox) {
        self.agent.handle(now, event, outbox);
        let reports = self.agent.counters().reports;
        self.statistics
            .counts
            .reports
            .fetch_add(reports - self.reports, Ordering::Relaxed);
        self.reports = reports;
    }

    fn next_wake(&self) -> Option<Time> {
        self.agent.next_wake()
    }
}

/// An agent's logic, with its reports counted on the board.
pub fn counted(agent: AgentNode, statistics: Arc<RunStatistics>) -> Box<dyn Node> {
    Box::new(CountedAgent {
        agent,
        statistics,
        reports: 0,
    })
}

/// Starts an agent on the current thread; where its events go.
pub(super) fn start(
    settings: AgentSettings,
    statistics: Arc<RunStatistics>,
) -> std::io::Result<Inputs> {
    let (sender, inputs) = mpsc::unbounded_channel();
    let transport = Transport::start(settings.node, settings.incarnation, sender.clone())?;
    let clocks = Clocks::start();
    let (phase, _) = watch_phase();
    let node = settings.node;
    let parts = ProcessParts {
        node,
        clocks,
        inputs,
        transport,
        disk: None,
        health_check_results: Some(sender.clone()),
        phase,
        grace: GRACE,
    };
    let mut outbox = Outbox::default();
    let agent = AgentNode::new(settings, clocks.now(), &mut outbox);
    let mut process = Process::new(counted(agent, statistics), outbox, parts);
    tokio::task::spawn_local(async move { process.run().await });
    Ok(sender)
}
