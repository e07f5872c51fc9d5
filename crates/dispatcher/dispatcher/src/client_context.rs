//! What all client connections share.

use crate::handover::Handover;
use crate::sockets::Mailbox;
use crate::store::Store;
use sagetrail_dispatch::Figures;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// What all client connections share.
pub(crate) struct ClientContext {
    pub mailbox: Mailbox,
    /// What outlives the process, where there is a store.
    pub store: Option<Rc<Store>>,
    pub categories: Vec<String>,
    pub figures: Rc<Figures>,
    /// The other process at this address, during an upgrade.
    pub handover: Handover,
    pub expiries: Vec<f64>,
    /// The dispatcher has been told to end.
    pub shutting_down: Cell<bool>,
    /// A newer process serves here: clients go there with their next answer.
    pub handing_over: Cell<bool>,
    /// The operators empty it; and which time that was.
    pub drained: Cell<bool>,
    pub drains: Cell<u64>,
    /// It lets its connections go.
    pub closing: watch::Sender<bool>,
    /// It lets clients in.
    pub lets_in: Cell<bool>,
    /// There has been a list, be it an old one.
    pub listed: Rc<Cell<bool>>,
    /// When to come back, for who is turned away at the door; 0 where that is not passed on.
    pub retry_after_s: f64,
    /// How many connections there may be, and how many more to turn work away on.
    pub most: usize,
    pub more: usize,
    pub open: Cell<usize>,
    /// Those that have a place, the closing ones too.
    pub placed: Cell<usize>,
    /// Connections with a request in hand.
    pub busy: Cell<usize>,
    /// Those that a process that ends has to wait for: with a request under way, in hand, or answered and not closed yet.
    pub unsettled: Cell<usize>,
    /// The idle ones, longest idle first; ringing one closes it.
    pub idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
    pub stamps: Cell<u64>,
}

impl ClientContext {
    /// Closes the connection that has been idle longest; false if none is.
    pub(crate) fn spare_one(&self) -> bool {
        let longest = self.idle.borrow_mut().pop_first();
        longest.map(|(_, close)| close.notify_one()).is_some()
    }

    /// Another connection waits for a place, or soon will.
    pub(crate) fn short_of_places(&self) -> bool {
        self.placed.get() >= self.most
    }

    /// Whether a connection is one of those to let go; one that brings runners' news only at the end.
    pub(crate) fn sends_away(&self, callback: bool) -> bool {
        !callback || self.shutting_down.get()
    }

    pub(crate) fn lets_go(&self, callback: bool) -> bool {
        (self.handing_over.get() || *self.closing.borrow()) && self.sends_away(callback)
    }

    /// There is no place for one more work item: all connections are busy.
    pub(crate) fn crowded(&self) -> bool {
        self.open.get() > self.most && !self.spare_one()
    }

    /// The operators empty the dispatcher, or end that; a word said twice is one word.
    pub(crate) fn drain(self: &Rc<Self>, on: bool) {
        if self.drained.replace(on) == on {
            return;
        }
        tracing::info!(
            "{}",
            if on {
                "drained by hand: clients are sent away"
            } else {
                "the drain is over"
            }
        );
        self.drains.set(self.drains.get() + 1);
        if !on {
            self.closing.send_replace(self.shutting_down.get());
            return;
        }
        let (client_context, this) = (self.clone(), self.drains.get());
        spawn_local(async move {
            sleep(Duration::from_secs_f64(LOOKED_S)).await;
            // Guards against an end of the drain, or an end and another drain, in between.
            if client_context.drained.get() && client_context.drains.get() == this {
                client_context.closing.send_replace(true);
            }
        });
    }

    pub(crate) fn stamp(&self) -> u64 {
        self.stamps.set(self.stamps.get() + 1);
        self.stamps.get()
    }
}

/// So long after a drain's begin the front has looked and sends nobody new: it asks every 0.1 s and goes on
/// for 0.2 s, and as much again for a slow look. Who is sent away sooner comes straight back.
const LOOKED_S: f64 = 0.5;
