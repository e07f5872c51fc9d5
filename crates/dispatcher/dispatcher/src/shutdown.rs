//! The graceful shutdown: clients are sent elsewhere, what has been taken is answered, what was learned is kept.

use crate::client_context::ClientContext;
use crate::clock::Clock;
use crate::learnt;
use crate::sockets::Mailbox;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// New connections go on coming for up to 0.4 s after the request to end; twice that, for what was slow on the way.
const LATE_CONNECTIONS_S: f64 = 0.8;
/// The kill comes no sooner than the longest expiry, at most this, and 0.7 s more.
const LONGEST_EXPIRY_S: f64 = 3.0;
/// Everything is answered so long after the longest expiry.
const ANSWERED_AFTER_S: f64 = 0.4;
/// A dispatcher without peers keeps connections until so long before all must be answered, the decisions' own margin.
const CLOSE_ALONE_S: f64 = 0.2;
/// One with peers closes them so long before that: twice what a usual job takes.
const CLOSE_WITH_PEERS_S: f64 = 2.0;
/// What is unsettled is waited for until so long after all must be answered.
const UNSETTLED_GRACE_S: f64 = 0.2;
/// How often a condition is looked at again.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The exchange answers at once or never.
const LEARNED_STATE_TIMEOUT: Duration = Duration::from_millis(100);
/// For the last bytes, and for runners that are told to give a job up.
const LAST_BYTES: Duration = Duration::from_millis(50);

/// The shutdown of one process, from SIGTERM or SIGINT on.
pub(crate) struct Shutdown {
    pub clock: Clock,
    pub client_context: Rc<ClientContext>,
    pub mailbox: Mailbox,
    /// No other dispatcher serves these clients.
    pub alone: bool,
    /// The longest expiry of a category, in seconds.
    pub longest_expiry_s: f64,
    /// Accepts clients until it is aborted.
    pub accept_task: JoinHandle<()>,
}

impl Shutdown {
    /// Answers what has been taken and closes the clients' connections. Returns once nothing is unsettled, or when the
    /// time for that is over.
    pub(crate) async fn settle(&self) {
        let since = self.clock.now();
        self.client_context.shutting_down.set(true);
        let end_at = since + self.longest_expiry_s.min(LONGEST_EXPIRY_S) + ANSWERED_AFTER_S;
        self.mailbox
            .call(move |exchange| exchange.shut_down_by(end_at))
            .await;
        self.hand_over();
        self.wait_for_clients(since, end_at).await;
        self.client_context.closing.send_replace(true);
        self.wait_for_unsettled(since, end_at).await;
    }

    /// A newer process accepts clients at the same socket, which stays open and keeps its queue.
    fn hand_over(&self) {
        let client_context = &self.client_context;
        client_context
            .handing_over
            .set(client_context.handover.succeeded());
        if client_context.handing_over.get() {
            self.accept_task.abort();
        }
    }

    /// Guards against rejecting clients whom nobody else serves: they go on with the connections that they have as long
    /// as these stay open. Clients that have others to go to are sent there while nearly any job still ends here.
    async fn wait_for_clients(&self, since: f64, end_at: f64) {
        let last_call = if self.alone && !self.client_context.handing_over.get() {
            end_at - CLOSE_ALONE_S
        } else {
            end_at - CLOSE_WITH_PEERS_S
        };
        let connections_may_come = || self.clock.now() < since + LATE_CONNECTIONS_S;
        while self.clock.now() < last_call
            && (connections_may_come() || self.client_context.open.get() > 0)
        {
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Guards against a restart in the middle of an upgrade: to the platform both processes are one dispatcher, which has
    /// ended when this process has, and what the one before it has in flight would be lost.
    async fn wait_for_unsettled(&self, since: f64, end_at: f64) {
        let unsettled =
            || self.client_context.unsettled.get() > 0 || self.client_context.handover.preceded();
        while self.clock.now() < since + LATE_CONNECTIONS_S
            || unsettled() && self.clock.now() < end_at + UNSETTLED_GRACE_S
        {
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Writes what was learned to `path`; `terms` are the numbers of the categories' terms.
    pub(crate) async fn keep_learned_state(
        &self,
        path: &Path,
        deployment: u64,
        terms: Rc<Vec<u64>>,
    ) {
        let (give, got) = oneshot::channel();
        self.mailbox
            .call(move |exchange| drop(give.send(exchange.learned_state(&terms))))
            .await;
        let learned = timeout(LEARNED_STATE_TIMEOUT, got)
            .await
            .ok()
            .and_then(Result::ok);
        let Some(learned) = learned else {
            return tracing::warn!("learned state is not kept: the exchange did not answer");
        };
        match learnt::write(path, deployment, learned) {
            Ok(()) => tracing::info!("learned state is kept in {}", path.display()),
            Err(why) => tracing::warn!("learned state is not kept in {}: {why}", path.display()),
        }
    }

    /// The end, once all else is done.
    pub(crate) async fn finish(&self) {
        tracing::info!(
            "ends with {} unanswered requests",
            self.client_context.busy.get()
        );
        sleep(LAST_BYTES).await;
    }
}
