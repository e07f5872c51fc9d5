//! One hollow worker at work: heartbeats when they are due, until the run is over.

use super::document::Orders;
use super::endpoint::AgentDoor;
use super::runner::HollowRunner;
use crate::board::{Board, Counts};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::watch;

/// Sends heartbeats until the run is over.
pub(super) async fn work(
    mut runner: HollowRunner,
    mut endpoint: AgentDoor,
    board: Arc<Board>,
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
        let orders = endpoint
            .heartbeat(&path, body)
            .await
            .and_then(|body| read(&body));
        Counts::add(&board.counts.heartbeats);
        match orders {
            Some(orders) => runner.obey(sent, Instant::now(), orders),
            None => Counts::add(&board.counts.failed_heartbeats),
        }
    }
}

fn read(body: &[u8]) -> Option<Orders> {
    serde_json::from_slice(body).ok()
}
