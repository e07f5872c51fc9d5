//! The task of one simulated worker: sends heartbeats when they are due, until the run is over.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::watch;

use super::agent_connection::AgentConnection;
use super::messages::HeartbeatAnswer;
use super::runner::SimulatedRunner;
use crate::run_statistics::{Counts, RunStatistics};

/// Sends heartbeats until the run is over.
pub(super) async fn work(
    mut runner: SimulatedRunner,
    mut endpoint: AgentConnection,
    statistics: Arc<RunStatistics>,
    mut over: watch::Receiver<bool>,
) {
    let path = runner.path();
    while !*over.borrow() {
        tokio::select! {
            () = tokio::time::sleep_until(runner.due().into()) => {}
            _ = over.changed() => return,
        }
        let sent = Instant::now();
        let body = runner.heartbeat(sent);
        let answer = endpoint
            .heartbeat(&path, body)
            .await
            .and_then(|body| read(&body));
        Counts::add(&statistics.counts.heartbeats);
        match answer {
            Some(answer) => runner.carry_out(sent, Instant::now(), answer),
            None => Counts::add(&statistics.counts.failed_heartbeats),
        }
    }
}

fn read(body: &[u8]) -> Option<HeartbeatAnswer> {
    serde_json::from_slice(body).ok()
}
