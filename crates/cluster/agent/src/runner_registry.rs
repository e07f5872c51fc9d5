//! The runner of this machine through all its instances: which one is current, and which calls are late.

use std::collections::VecDeque;

use sagetrail_protocol::agent::RUNNER_LEASE_MS;
use sagetrail_protocol::{Text, Time};

use crate::heartbeat::Heartbeat;
use crate::runner::{HeartbeatChange, Runner};
use crate::runner_lease::latest_expiry;

/// The number of former instances, and of those that deregistered early, that are remembered, so that late calls of
/// theirs are recognized.
const REMEMBERED_INSTANCES: usize = 64;
/// A runner without a lease counts as silent after its heartbeat interval and this margin, in milliseconds.
const SILENCE_MARGIN_MS: u64 = 1_000;

/// Whether a heartbeat is accepted.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Admission {
    /// It is the newest.
    Accepted {
        /// The scheduler is to receive it at once.
        has_change: bool,
    },
    /// It is not newer than one accepted before.
    Stale,
    /// It is of an unknown instance, perhaps a former one: another must follow without one of the current instance
    /// between.
    Unconfirmed,
    /// It is of an instance that another has replaced.
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

/// The current instance, and the others as far as they are remembered.
#[derive(Debug)]
pub(crate) struct RunnerRegistry {
    current: Option<Runner>,
    /// Instances that another has replaced, oldest first.
    replaced: InstanceList,
    /// Instances that deregistered before their first heartbeat, oldest first.
    deregistered_early: InstanceList,
    /// Time without a heartbeat after which a runner counts as silent, in milliseconds.
    silence_timeout_ms: u64,
    /// An unknown instance that has sent a heartbeat since the last one of the current instance.
    unconfirmed: Option<Text>,
    /// The latest time at which a lease may last that an earlier agent granted.
    former_lease_expires_at: Time,
    /// No runner called before `former_lease_expires_at`.
    has_no_runner: bool,
}

impl RunnerRegistry {
    /// Without a runner. Runners send a heartbeat about every `heartbeat_ms`.
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

    /// The current instance, if there is one.
    pub(crate) fn current(&self) -> Option<&Runner> {
        self.current.as_ref()
    }

    /// Receives a heartbeat.
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

    /// True at the second heartbeat in a row of an unknown instance. A single one may be late: sent by an instance that
    /// crashed before its first one arrived, or known to an earlier agent only.
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

    /// Receives a deregistration; true where it changes what is known. A runner may serve on after it, for `serves_ms`
    /// at least: it starts nothing any more, and its runs are over when its lease has expired or it is found dead.
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

    /// Records a lease that was granted at the receipt of a heartbeat.
    pub(crate) fn grant_lease(&mut self, received: Time, lease_ms: u64) {
        if let Some(runner) = &mut self.current {
            runner.grant_lease(received, lease_ms);
        }
    }

    /// Records that the runner has died; true where that is new.
    pub(crate) fn record_death(&mut self) -> bool {
        self.current.as_mut().is_some_and(Runner::expire)
    }

    /// Lets the runner's lease expire where that is due; true where that is new.
    pub(crate) fn expire_due(&mut self, now: Time) -> bool {
        if self.expiry_due().is_none_or(|due| now < due) {
            return false;
        }
        match &mut self.current {
            Some(runner) => runner.expire(),
            None => !std::mem::replace(&mut self.has_no_runner, true),
        }
    }

    /// True where no runner called until every lease had expired that an earlier agent may have granted.
    pub(crate) fn has_no_runner(&self) -> bool {
        self.has_no_runner
    }

    /// When the runner's lease counts as expired, unless a heartbeat comes before.
    pub(crate) fn expiry_due(&self) -> Option<Time> {
        match &self.current {
            Some(runner) => runner.expiry_due(self.silence_timeout_ms),
            None => (!self.has_no_runner).then_some(self.former_lease_expires_at),
        }
    }
}

/// Ids of instances; the oldest gives way.
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
