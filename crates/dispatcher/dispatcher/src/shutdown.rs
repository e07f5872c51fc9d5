//! Graceful shutdown: clients are moved to other dispatchers, accepted work items are answered, and learned state is
//! saved.

use crate::client_context::ClientContext;
use crate::clock::Clock;
use crate::learned_state;
use crate::sockets::Mailbox;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Time in seconds for which new connections may still arrive: up to 0.4 s after SIGTERM, doubled for delays in the
/// network.
const LATE_CONNECTIONS_S: f64 = 0.8;
/// Upper bound in seconds on the expiry that is waited for. SIGKILL comes no earlier than the longest expiry, at most
/// this, plus 0.7 s.
const LONGEST_EXPIRY_S: f64 = 3.0;
/// All work items are answered within this many seconds after the longest expiry.
const ANSWERED_AFTER_S: f64 = 0.4;
/// A dispatcher without peers keeps connections until this many seconds before all work items must be answered, which
/// is the margin of the policy.
const CLOSE_ALONE_S: f64 = 0.2;
/// A dispatcher with peers closes connections this many seconds before that: twice the duration of a usual job.
const CLOSE_WITH_PEERS_S: f64 = 2.0;
/// Unsettled connections are waited for until this many seconds after all work items must be answered.
const UNSETTLED_GRACE_S: f64 = 0.2;
/// Interval at which a condition is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time-out for the learned state: the exchange answers immediately or never.
const LEARNED_STATE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for the last bytes to be sent, and for requests that cancel jobs at runners.
const LAST_BYTES: Duration = Duration::from_millis(50);

/// Shutdown of the process after SIGTERM or SIGINT.
pub(crate) struct Shutdown {
    pub clock: Clock,
    pub client_context: Rc<ClientContext>,
    pub mailbox: Mailbox,
    /// Whether no other dispatcher serves these clients.
    pub has_no_peers: bool,
    /// The longest expiry of a category, in seconds.
    pub longest_expiry_s: f64,
    /// The task that accepts clients, until it is aborted.
    pub accept_task: JoinHandle<()>,
}

impl Shutdown {
    /// Answers the accepted work items and closes the connections of clients. Returns when no connection is unsettled,
    /// or after the time for that.
    pub(crate) async fn settle(&self) {
        let started_at_s = self.clock.now();
        self.client_context.shutting_down.set(true);
        let end_at_s =
            started_at_s + self.longest_expiry_s.min(LONGEST_EXPIRY_S) + ANSWERED_AFTER_S;
        self.mailbox
            .call(move |exchange| exchange.shut_down_by(end_at_s))
            .await;
        self.hand_over();
        self.wait_for_clients(started_at_s, end_at_s).await;
        self.client_context.closing.send_replace(true);
        self.wait_for_unsettled(started_at_s, end_at_s).await;
    }

    /// Stops accepting if a newer process accepts clients at the same socket, which stays open and keeps its queue.
    fn hand_over(&self) {
        let client_context = &self.client_context;
        client_context
            .handing_over
            .set(client_context.handover.has_successor());
        if client_context.handing_over.get() {
            self.accept_task.abort();
        }
    }

    /// Waits for clients to disconnect. Clients without another dispatcher are not rejected: they keep their
    /// connections as long as possible. Clients that have another dispatcher are moved there while nearly every job can
    /// still finish here.
    async fn wait_for_clients(&self, started_at_s: f64, end_at_s: f64) {
        let close_at_s = if self.has_no_peers && !self.client_context.handing_over.get() {
            end_at_s - CLOSE_ALONE_S
        } else {
            end_at_s - CLOSE_WITH_PEERS_S
        };
        let may_accept_late = || self.clock.now() < started_at_s + LATE_CONNECTIONS_S;
        while self.clock.now() < close_at_s
            && (may_accept_late() || self.client_context.open.get() > 0)
        {
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits for unsettled connections, and during an upgrade for the predecessor: to the platform both processes are
    /// one dispatcher that ends with this process, so what the predecessor has in flight would be lost.
    async fn wait_for_unsettled(&self, started_at_s: f64, end_at_s: f64) {
        let unsettled = || {
            self.client_context.unsettled.get() > 0
                || self.client_context.handover.has_predecessor()
        };
        while self.clock.now() < started_at_s + LATE_CONNECTIONS_S
            || unsettled() && self.clock.now() < end_at_s + UNSETTLED_GRACE_S
        {
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Writes the learned state to `path`. `terms` has a hash of the terms of each category.
    pub(crate) async fn save_learned_state(
        &self,
        path: &Path,
        deployment: u64,
        terms: Rc<Vec<u64>>,
    ) {
        let (sender, receiver) = oneshot::channel();
        self.mailbox
            .call(move |exchange| drop(sender.send(exchange.learned_state(&terms))))
            .await;
        let learned = timeout(LEARNED_STATE_TIMEOUT, receiver)
            .await
            .ok()
            .and_then(Result::ok);
        let Some(learned) = learned else {
            return tracing::warn!("learned state is not kept: the exchange did not answer");
        };
        match learned_state::write(path, deployment, learned) {
            Ok(()) => tracing::info!("learned state is kept in {}", path.display()),
            Err(why) => tracing::warn!("learned state is not kept in {}: {why}", path.display()),
        }
    }

    /// Logs the end and waits for the last bytes.
    pub(crate) async fn finish(&self) {
        tracing::info!(
            "ends with {} unanswered requests",
            self.client_context.busy.get()
        );
        sleep(LAST_BYTES).await;
    }
}
