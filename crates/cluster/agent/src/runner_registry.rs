//! The instances of the runner on this machine. The registry decides which instance is current and which calls are
//! late.

use std::collections::VecDeque;

use sagetrail_protocol::agent::RUNNER_LEASE_MS;
use sagetrail_protocol::{Text, Time};

use crate::heartbeat::Heartbeat;
use crate::runner::{HeartbeatChange, Runner};
use crate::runner_lease::latest_expiry;

/// The number of replaced instances, and likewise of instances that deregistered early, that are remembered so that
/// late calls from them are recognized.
const REMEMBERED_INSTANCES: usize = 64;
/// A runner without a lease counts as silent after its heartbeat interval plus this margin, in milliseconds.
const SILENCE_MARGIN_MS: u64 = 1_000;

/// The result of the check whether a heartbeat is accepted.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Admission {
    /// The heartbeat is the newest one.
    Accepted {
        /// Whether the heartbeat contains a change that must be reported to the scheduler at once.
        has_change: bool,
    },
    /// The heartbeat is not newer than one accepted before.
    Stale,
    /// The heartbeat is from an unknown instance, perhaps a former one. The instance is accepted once it sends a second
    /// heartbeat with none from the current instance in between.
    Unconfirmed,
    /// The heartbeat is from an instance that another one has replaced.
    Replaced,
}

impl From<HeartbeatChange> for Admission {
    fn from(change: HeartbeatChange) -> Admission {
        match change {
            HeartbeatChange::Stale => Admission::Stale,
            HeartbeatChange::Changed => Admission::Accepted { has_change: true },
            HeartbeatChange::Unchanged => Admission::Accepted { has_change: false },
        }
    }
}

/// The current instance and the remembered other instances.
#[derive(Debug)]
pub(crate) struct RunnerRegistry {
    current: Option<Runner>,
    /// The instances that another one has replaced, oldest first.
    replaced: InstanceList,
    /// The instances that deregistered before their first heartbeat, oldest first.
    deregistered_early: InstanceList,
    /// The time without a heartbeat after which a runner counts as silent, in milliseconds.
    silence_timeout_ms: u64,
    /// An unknown instance that has sent a heartbeat since the last one of the current instance.
    unconfirmed: Option<Text>,
    /// The latest time at which a lease that an earlier agent granted may still be valid.
    former_lease_expires_at: Time,
    /// Whether no runner called before `former_lease_expires_at`.
    has_no_runner: bool,
}

impl RunnerRegistry {
    /// Creates a registry without a runner. Runners send a heartbeat about every `heartbeat_ms`.
    pub(crate) fn new(now: Time, heartbeat_ms: u64) -> RunnerRegistry {
        let silence_timeout_ms = heartbeat_ms
            .saturating_add(SILENCE_MARGIN_MS)
            .min(RUNNER_LEASE_MS);
        RunnerRegistry {
            current: None,
            replaced: InstanceList::default(),
            deregistered_early: InstanceList::default(),
            silence_timeout_ms,
            unconfirmed: None,
            former_lease_expires_at: latest_expiry(now, RUNNER_LEASE_MS),
            has_no_runner: false,
        }
    }

    /// Returns the current instance, if there is one.
    pub(crate) fn current(&self) -> Option<&Runner> {
        self.current.as_ref()
    }

    /// Receives a heartbeat and decides whether it is accepted.
    pub(crate) fn receive(
        &mut self,
        now: Time,
        instance: &str,
        heartbeat: &mut Heartbeat,
    ) -> Admission {
        if self.replaced.contains(instance) {
            return Admission::Replaced;
        }
        if let Some(runner) = self.current_if(instance) {
            let change = runner.receive(now, heartbeat);
            self.unconfirmed = None;
            return Admission::from(change);
        }
        if self.current.is_some() && !self.confirm(instance) {
            return Admission::Unconfirmed;
        }
        self.replace_current(now, instance, heartbeat);
        Admission::Accepted { has_change: true }
    }

    fn current_if(&mut self, instance: &str) -> Option<&mut Runner> {
        self.current
            .as_mut()
            .filter(|runner| &*runner.instance == instance)
    }

    /// Returns whether this is the second heartbeat in a row from an unknown instance. A single one may be late: its
    /// sender may have crashed before its first heartbeat arrived, or only an earlier agent may have known the sender.
    fn confirm(&mut self, instance: &str) -> bool {
        let is_confirmed = self
            .unconfirmed
            .as_ref()
            .is_some_and(|unconfirmed| &**unconfirmed == instance);
        self.unconfirmed = Some(Text::from(instance));
        is_confirmed
    }

    fn replace_current(&mut self, now: Time, instance: &str, heartbeat: &mut Heartbeat) {
        let mut runner = Runner::new(now, instance);
        // The first heartbeat of an instance is never stale.
        let _ = runner.receive(now, heartbeat);
        runner.is_draining |= self.deregistered_early.contains(instance);
        self.unconfirmed = None;
        if let Some(former) = self.current.replace(runner) {
            self.replaced.remember(former.instance);
        }
    }

    /// Receives a deregistration and returns whether it changes the current instance. A runner may continue to serve
    /// after it, for at least `serves_ms`. It starts no more runs, and its runs are over once its lease has expired or
    /// it is found dead.
    pub(crate) fn deregister(&mut self, now: Time, instance: &str, serves_ms: u64) -> bool {
        if self.replaced.contains(instance) {
            return false;
        }
        match &mut self.current {
            Some(runner) if &*runner.instance == instance => runner.deregister(now, serves_ms),
            Some(_) => {
                self.deregistered_early.remember(Text::from(instance));
                false
            }
            None => {
                let mut runner = Runner::new(now, instance);
                runner.deregister(now, serves_ms);
                self.current = Some(runner);
                true
            }
        }
    }

    /// Records a lease that was granted when a heartbeat was received.
    pub(crate) fn grant_lease(&mut self, received: Time, lease_ms: u64) {
        if let Some(runner) = &mut self.current {
            runner.grant_lease(received, lease_ms);
        }
    }

    /// Records that the runner has died. Returns whether this is a change.
    pub(crate) fn record_death(&mut self) -> bool {
        self.current.as_mut().is_some_and(Runner::expire)
    }

    /// Marks the runner's lease as expired if its expiry is due. Returns whether this is a change.
    pub(crate) fn expire_due(&mut self, now: Time) -> bool {
        if self.expiry_due().is_none_or(|due| now < due) {
            return false;
        }
        match &mut self.current {
            Some(runner) => runner.expire(),
            None => !std::mem::replace(&mut self.has_no_runner, true),
        }
    }

    /// Returns whether no runner called before every lease that an earlier agent may have granted had expired.
    pub(crate) fn has_no_runner(&self) -> bool {
        self.has_no_runner
    }

    /// Returns the time at which the runner's lease counts as expired unless a heartbeat arrives before.
    pub(crate) fn expiry_due(&self) -> Option<Time> {
        match &self.current {
            Some(runner) => runner.expiry_due(self.silence_timeout_ms),
            None => (!self.has_no_runner).then_some(self.former_lease_expires_at),
        }
    }
}

/// A bounded list of instance ids. The oldest id is removed when the list is full.
#[derive(Debug, Default)]
struct InstanceList(VecDeque<Text>);

impl InstanceList {
    fn contains(&self, instance: &str) -> bool {
        self.0.iter().any(|known| &**known == instance)
    }

    fn remember(&mut self, instance: Text) {
        if self.contains(&instance) {
            return;
        }
        if self.0.len() == REMEMBERED_INSTANCES {
            self.0.pop_front();
        }
        self.0.push_back(instance);
    }
}
