//! State that all client connections share: limits on connections, a drain or shutdown, idle connections.

use crate::descriptors::DescriptorBudget;
use crate::handover::Handover;
use crate::sockets::Mailbox;
use crate::store::Store;
use sagetrail_dispatch::Metrics;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Time after the beginning of a drain when the platform has noticed it and sends no new clients: its health check runs
/// every 0.1 s and clients keep coming for another 0.2 s, and as much again is added for a slow check. A client that is
/// moved earlier comes straight back.
const DRAIN_SEEN_AFTER: Duration = Duration::from_millis(500);

/// State that all client connections share. Their tasks read and write it on one thread.
pub(crate) struct ClientContext {
    /// Queue of calls on the exchange.
    pub mailbox: Mailbox,
    /// The store, if one is configured.
    pub store: Option<Rc<Store>>,
    /// Names of the categories, in the order of the configuration.
    pub categories: Vec<String>,
    /// Counters.
    pub metrics: Rc<Metrics>,
    /// The other process at this address, during an upgrade.
    pub handover: Handover,
    /// Longest time in seconds that a client of each category waits, unless its request says otherwise.
    pub expiries_s: Vec<f64>,
    /// Whether SIGTERM or SIGINT was received.
    pub shutting_down: Cell<bool>,
    /// Whether a newer process serves at this address. Clients move there after their next reply.
    pub handing_over: Cell<bool>,
    /// Whether an operator drains this dispatcher.
    pub drained: Cell<bool>,
    /// Number of beginnings and ends of drains so far.
    drain_changes: Cell<u64>,
    /// Whether client connections are being closed.
    pub closing: watch::Sender<bool>,
    /// Whether clients are accepted.
    pub accepts_clients: Cell<bool>,
    /// Whether there is an endpoint list, be it an old one.
    pub has_endpoints: Rc<Cell<bool>>,
    /// Retry time in seconds for a rejected client; 0 to give none.
    pub retry_after_s: f64,
    /// Limits on the number of open connections.
    pub budget: DescriptorBudget,
    /// Number of connections on which clients are served.
    pub open: Cell<usize>,
    /// Number of connections that count towards the budget, including those that are closing.
    pub placed: Cell<usize>,
    /// Number of connections with a request in flight.
    pub busy: Cell<usize>,
    /// Number of connections that a shutdown waits for: a request is being received or in flight, or has been answered
    /// and the connection is not closed yet.
    pub unsettled: Cell<usize>,
    /// Idle connections, the one that has been idle longest first. Notifying one closes it.
    pub idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
    /// Key of the connection that became idle last.
    last_idle_key: Cell<u64>,
}

/// Parts from which a client context is made.
pub(crate) struct ClientContextParts {
    pub mailbox: Mailbox,
    pub store: Option<Rc<Store>>,
    pub categories: Vec<String>,
    pub metrics: Rc<Metrics>,
    pub expiries_s: Vec<f64>,
    pub has_endpoints: Rc<Cell<bool>>,
    pub retry_after_s: f64,
    pub budget: DescriptorBudget,
}

impl ClientContext {
    /// Creates a context without connections, which does not accept clients yet.
    pub(crate) fn new(parts: ClientContextParts) -> Rc<ClientContext> {
        Rc::new(ClientContext {
            mailbox: parts.mailbox,
            store: parts.store,
            categories: parts.categories,
            metrics: parts.metrics,
            handover: Handover::default(),
            expiries_s: parts.expiries_s,
            shutting_down: Cell::new(false),
            handing_over: Cell::new(false),
            drained: Cell::new(false),
            drain_changes: Cell::new(0),
            closing: watch::Sender::new(false),
            accepts_clients: Cell::new(false),
            has_endpoints: parts.has_endpoints,
            retry_after_s: parts.retry_after_s,
            budget: parts.budget,
            open: Cell::new(0),
            placed: Cell::new(0),
            busy: Cell::new(0),
            unsettled: Cell::new(0),
            idle: RefCell::default(),
            last_idle_key: Cell::new(0),
        })
    }

    /// Closes the connection that has been idle longest; false if none is idle.
    pub(crate) fn close_longest_idle(&self) -> bool {
        let longest = self.idle.borrow_mut().pop_first();
        longest.map(|(_, close)| close.notify_one()).is_some()
    }

    /// Whether the limit of connections is reached, so that another connection may wait for a permit.
    pub(crate) fn is_full(&self) -> bool {
        self.placed.get() >= self.budget.clients
    }

    /// Whether a drain or handover closes this connection. A connection for callbacks (`for_callbacks`) is closed only
    /// by a shutdown.
    pub(crate) fn may_close(&self, for_callbacks: bool) -> bool {
        !for_callbacks || self.shutting_down.get()
    }

    /// Whether the connection is to be closed after its next reply.
    pub(crate) fn closes_after_answer(&self, for_callbacks: bool) -> bool {
        (self.handing_over.get() || *self.closing.borrow()) && self.may_close(for_callbacks)
    }

    /// Whether there is no capacity for another work item, because all connections are busy. An idle connection is
    /// closed otherwise.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.open.get() > self.budget.clients && !self.close_longest_idle()
    }

    /// Begins a drain (`on`) or ends it. Repeating a command has no further effect.
    pub(crate) fn drain(self: &Rc<Self>, on: bool) {
        if self.drained.replace(on) == on {
            return;
        }
        let change = self.drain_changes.get() + 1;
        self.drain_changes.set(change);
        if !on {
            tracing::info!("operator drain ended");
            self.closing.send_replace(self.shutting_down.get());
            return;
        }
        tracing::info!("operator drain started, client connections will be closed");
        spawn_local(self.clone().close_once_seen(change));
    }

    /// Closes connections once the platform has noticed the drain, unless the drain has ended in between. `change` is
    /// the number of the drain, which tells it from a later one.
    async fn close_once_seen(self: Rc<Self>, change: u64) {
        sleep(DRAIN_SEEN_AFTER).await;
        if self.drained.get() && self.drain_changes.get() == change {
            self.closing.send_replace(true);
        }
    }

    /// Key for a connection that becomes idle, higher than all earlier ones.
    pub(crate) fn next_idle_key(&self) -> u64 {
        self.last_idle_key.set(self.last_idle_key.get() + 1);
        self.last_idle_key.get()
    }
}
