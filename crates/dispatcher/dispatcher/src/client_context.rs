//! What all client connections share: limits on connections, the state of a drain or shutdown, idle connections.

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

/// So long after the begin of a drain the platform's health check has seen it and sends nobody new: it asks every 0.1 s and
/// goes on for 0.2 s, and as much again for a slow check. A client that is sent away sooner comes straight back.
const DRAIN_SEEN_AFTER: Duration = Duration::from_millis(500);

/// What all client connections share. One task each reads and writes it, on one thread.
pub(crate) struct ClientContext {
    /// Where calls to the dispatch state are put.
    pub mailbox: Mailbox,
    /// State that outlives the process, where there is a store.
    pub store: Option<Rc<Store>>,
    /// Names of the categories, in the order of the configuration.
    pub categories: Vec<String>,
    /// Counters.
    pub metrics: Rc<Metrics>,
    /// The other process at this address, during an upgrade.
    pub handover: Handover,
    /// How long a client of each category waits at the most where it does not say, in seconds.
    pub expiries: Vec<f64>,
    /// SIGTERM or SIGINT was received.
    pub shutting_down: Cell<bool>,
    /// A newer process serves here: clients move there with their next answer.
    pub handing_over: Cell<bool>,
    /// The operators drain this dispatcher.
    pub drained: Cell<bool>,
    /// Rises with each begin and end of a drain.
    drain_changes: Cell<u64>,
    /// Connections are being closed.
    pub closing: watch::Sender<bool>,
    /// Clients are accepted.
    pub accepts_clients: Cell<bool>,
    /// Discovery has named endpoints, be it in an old list.
    pub has_endpoints: Rc<Cell<bool>>,
    /// When a rejected client should come back, in seconds; 0 where clients are not told.
    pub retry_after_s: f64,
    /// Numbers of connections that may be open.
    pub budget: DescriptorBudget,
    /// Connections on which clients are served.
    pub open: Cell<usize>,
    /// Connections that count against the budget, closing ones too.
    pub placed: Cell<usize>,
    /// Connections with a request in flight.
    pub busy: Cell<usize>,
    /// Connections that a shutdown waits for: with a request under way or in flight, or answered and not closed yet.
    pub unsettled: Cell<usize>,
    /// Idle connections, longest idle first; notifying one closes it.
    pub idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
    /// The key of the connection that turned idle last.
    last_idle_key: Cell<u64>,
}

/// What a client context is made of; the rest begins empty.
pub(crate) struct ClientContextParts {
    pub mailbox: Mailbox,
    pub store: Option<Rc<Store>>,
    pub categories: Vec<String>,
    pub metrics: Rc<Metrics>,
    pub expiries: Vec<f64>,
    pub has_endpoints: Rc<Cell<bool>>,
    pub retry_after_s: f64,
    pub budget: DescriptorBudget,
}

impl ClientContext {
    /// Without any connection, not accepting clients yet.
    pub(crate) fn new(parts: ClientContextParts) -> Rc<ClientContext> {
        Rc::new(ClientContext {
            mailbox: parts.mailbox,
            store: parts.store,
            categories: parts.categories,
            metrics: parts.metrics,
            handover: Handover::default(),
            expiries: parts.expiries,
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

    /// Whether another connection waits for capacity, or soon will.
    pub(crate) fn is_full(&self) -> bool {
        self.placed.get() >= self.budget.clients
    }

    /// Whether a drain or handover concerns a connection; one that brings runners' callbacks (`callback`) only at the end.
    pub(crate) fn may_close(&self, callback: bool) -> bool {
        !callback || self.shutting_down.get()
    }

    /// Whether a connection is to be closed with its next answer.
    pub(crate) fn closes_after_answer(&self, callback: bool) -> bool {
        (self.handing_over.get() || *self.closing.borrow()) && self.may_close(callback)
    }

    /// Whether there is no capacity for one more work item: all connections are busy.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.open.get() > self.budget.clients && !self.close_longest_idle()
    }

    /// The operators begin a drain (`on`) or end it. A command that is repeated has no second effect.
    pub(crate) fn drain(self: &Rc<Self>, on: bool) {
        if self.drained.replace(on) == on {
            return;
        }
        let change = self.drain_changes.get() + 1;
        self.drain_changes.set(change);
        if !on {
            tracing::info!("drain by an operator is over");
            self.closing.send_replace(self.shutting_down.get());
            return;
        }
        tracing::info!("drain by an operator: clients are sent elsewhere");
        spawn_local(self.clone().close_once_seen(change));
    }

    /// Closes connections once the platform has seen the drain. Guards against an end of the drain, or an end and another
    /// drain, in between: `change` is the drain's number.
    async fn close_once_seen(self: Rc<Self>, change: u64) {
        sleep(DRAIN_SEEN_AFTER).await;
        if self.drained.get() && self.drain_changes.get() == change {
            self.closing.send_replace(true);
        }
    }

    /// A key for a connection that turns idle, higher than all before.
    pub(crate) fn next_idle_key(&self) -> u64 {
        self.last_idle_key.set(self.last_idle_key.get() + 1);
        self.last_idle_key.get()
    }
}
