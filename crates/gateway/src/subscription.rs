//! The configuration's way to this process: a subscription to one parent at a time.
use sagetrail_config::{ConfigDocument, Limits};
use sagetrail_wire::distribution::{ConfigCurrent, ConfigUpdate, SUBSCRIBE_INTERVAL_MS};
use sagetrail_wire::{NodeId, Time};

/// Another parent is asked after so long without a use of this one.
const PARENT_SILENCE_MS: u64 = 900;
/// A parent whose own knowledge is older is of no use.
const PARENT_AGE_MS: u64 = 1500;
/// A configuration counts as current for so long after it was last confirmed.
const CONFIRMED_MS: u64 = 2500;
/// A process without a configuration asks this often.
const EMPTY_INTERVAL_MS: u64 = 200;

/// What a subscription is to send.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) struct Renewal {
    pub(crate) parent: NodeId,
    pub(crate) have: u64,
}

/// The configuration held, and whom it comes from.
#[derive(Debug)]
pub(crate) struct Subscription {
    held: Option<u64>,
    limits: Limits,
    confirmed_at: Option<Time>,
    parent: Option<NodeId>,
    turn: usize,
    /// When the parent was last of use, or taken.
    useful_at: Time,
    next_renewal: Time,
}

impl Subscription {
    /// Holds nothing; the first parent is drawn by `seed`.
    pub(crate) fn new(seed: u64, now: Time) -> Subscription {
        Subscription {
            held: None,
            limits: Limits::default(),
            confirmed_at: None,
            parent: None,
            turn: (seed % (1 << 16)) as usize,
            useful_at: now,
            next_renewal: now,
        }
    }

    /// The version held.
    pub(crate) fn held(&self) -> Option<u64> {
        self.held
    }

    /// The bounds of clients' requests.
    pub(crate) fn limits(&self) -> &Limits {
        &self.limits
    }

    /// True while a configuration is held that was the newest not long ago.
    pub(crate) fn is_current(&self, now: Time) -> bool {
        let confirmed = self.confirmed_at.is_some_and(|at| now.millis_since(at) <= CONFIRMED_MS);
        self.held.is_some() && confirmed
    }

    /// Takes a configuration, unless a newer one is held.
    pub(crate) fn take_update(&mut self, now: Time, from: NodeId, update: &ConfigUpdate) {
        let held = self.held.unwrap_or(0);
        if update.version < held {
            return;
        }
        if update.version > held {
            self.held = Some(update.version);
            self.read_limits(update);
        }
        self.confirm(now, from, now);
    }

    /// Takes a parent's word that there is nothing newer.
    pub(crate) fn take_current(&mut self, now: Time, from: NodeId, current: &ConfigCurrent) {
        if current.version != self.held.unwrap_or(0) || current.age_ms > PARENT_AGE_MS {
            return;
        }
        let left_core_at = Time(now.0.saturating_sub(current.age_ms.saturating_mul(1000)));
        self.confirm(now, from, left_core_at);
    }

    /// When the next renewal is due.
    pub(crate) fn next_renewal(&self) -> Time {
        self.next_renewal
    }

    /// What to send now; `None` where nothing is due or there is no one to ask.
    pub(crate) fn renew(&mut self, now: Time, candidates: &[NodeId]) -> Option<Renewal> {
        if now < self.next_renewal {
            return None;
        }
        self.choose_parent(now, candidates);
        let interval = if self.held.is_some() { SUBSCRIBE_INTERVAL_MS } else { EMPTY_INTERVAL_MS };
        let silent_at = self.useful_at.plus_millis(PARENT_SILENCE_MS);
        self.next_renewal = now.plus_millis(interval).min(silent_at);
        let parent = self.parent?;
        Some(Renewal { parent, have: self.held.unwrap_or(0) })
    }

    fn choose_parent(&mut self, now: Time, candidates: &[NodeId]) {
        let known = self.parent.is_some_and(|parent| candidates.contains(&parent));
        let silent = now.millis_since(self.useful_at) >= PARENT_SILENCE_MS;
        if known && !silent {
            return;
        }
        self.turn = self.turn.wrapping_add(1);
        self.parent = candidates.get(self.turn % candidates.len().max(1)).copied();
        self.useful_at = now;
    }

    fn confirm(&mut self, now: Time, from: NodeId, at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        if self.parent == Some(from) {
            self.useful_at = now;
        }
    }

    fn read_limits(&mut self, update: &ConfigUpdate) {
        match ConfigDocument::parse(&update.document) {
            Ok(document) => self.limits = document.limits,
            Err(error) => log::warn!("configuration {} cannot be read: {error}", update.version),
        }
    }
}
