//! One instance of the runner: the content of its newest heartbeat and the latest expiry of its lease.

use sagetrail_protocol::agent::{ActiveRun, FinishedRun, Resources, RUNNER_LEASE_MS};
use sagetrail_protocol::{Text, Time};

use crate::heartbeat::Heartbeat;
use crate::runner_lease::latest_expiry;

/// The description of a runner. Once given, its fields may be left out of later heartbeats.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct Profile {
    /// The service to which the runner belongs.
    pub(crate) service: Text,
    /// The address on which the runner accepts calls, `ip:port`.
    pub(crate) address: Text,
    /// The failure domain of the runner.
    pub(crate) zone: Text,
    /// All resources of the runner, used or free.
    pub(crate) capacity: Resources,
    /// The labels that placement constraints may require.
    pub(crate) labels: Vec<Text>,
}

/// The effect of a heartbeat from a known instance.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum HeartbeatChange {
    /// The heartbeat is not newer than one received before and is ignored.
    Stale,
    /// The heartbeat contains a change that must be reported to the scheduler at once.
    Changed,
    /// The heartbeat changes at most the progress of runs.
    Unchanged,
}

/// An instance of the runner.
#[derive(Clone, Debug)]
pub(crate) struct Runner {
    /// The id of the instance; a runner has a new id after each crash.
    pub(crate) instance: Text,
    /// The description of the runner.
    pub(crate) profile: Profile,
    /// Whether the runner is shutting down and starts no more runs; never reset.
    pub(crate) is_draining: bool,
    /// The remaining time of a draining runner until it ends, as of `last_heartbeat`, in milliseconds.
    pub(crate) remaining_ms: u64,
    /// The remaining time of the runner's slow start, as of `last_heartbeat`, in milliseconds.
    pub(crate) slow_start_remaining_ms: u64,
    /// The runs that the newest heartbeat lists as active; empty once the lease has expired.
    pub(crate) active: Vec<ActiveRun>,
    /// The ended runs that the newest heartbeat lists.
    pub(crate) finished: Vec<FinishedRun>,
    /// Whether all runs are over, because the runner sent no heartbeat until its lease had expired or was found dead.
    pub(crate) lease_expired: bool,
    /// The time at which the newest heartbeat was received.
    pub(crate) last_heartbeat: Time,
    /// The earliest time at which a deregistered runner stops serving; `None` if it has not deregistered.
    serves_until: Option<Time>,
    /// The sequence number of the newest heartbeat; `None` if the heartbeats have none.
    sequence: Option<u64>,
    /// The latest time at which a granted lease may still be valid.
    lease_expires_at: Time,
}

impl Runner {
    /// Creates an instance at its first call. Its lease counts as granted in full at `now`, because an earlier agent
    /// may have done so.
    pub(crate) fn new(now: Time, instance: &str) -> Runner {
        Runner {
            instance: Text::from(instance),
            profile: Profile::default(),
            is_draining: false,
            remaining_ms: 0,
            slow_start_remaining_ms: 0,
            active: Vec::new(),
            finished: Vec::new(),
            lease_expired: false,
            last_heartbeat: now,
            serves_until: None,
            sequence: None,
            lease_expires_at: latest_expiry(now, RUNNER_LEASE_MS),
        }
    }

    /// Receives a heartbeat and moves the profile out of it.
    pub(crate) fn receive(&mut self, now: Time, heartbeat: &mut Heartbeat) -> HeartbeatChange {
        if self.is_stale(heartbeat) {
            return HeartbeatChange::Stale;
        }
        self.sequence = heartbeat.sequence.or(self.sequence);
        self.last_heartbeat = now;
        self.remaining_ms = heartbeat.remaining_ms.max(self.serving_remaining_ms(now));
        self.slow_start_remaining_ms = heartbeat.slow_start_remaining_ms;
        let changes = [
            std::mem::take(&mut self.lease_expired),
            self.update_draining(heartbeat.is_draining),
            self.update_profile(heartbeat),
            self.update_active(&heartbeat.active),
            self.update_finished(&heartbeat.finished),
        ];
        if changes.contains(&true) {
            HeartbeatChange::Changed
        } else {
            HeartbeatChange::Unchanged
        }
    }

    fn is_stale(&self, heartbeat: &Heartbeat) -> bool {
        match (heartbeat.sequence, self.sequence) {
            (Some(sequence), Some(last)) => sequence <= last,
            _ => false,
        }
    }

    /// Records the deregistration of the runner, after which it continues to serve for `serves_ms`. Returns whether
    /// this is a change: a runner that drains already has reported its remaining time.
    pub(crate) fn deregister(&mut self, now: Time, serves_ms: u64) -> bool {
        if self.is_draining {
            return false;
        }
        self.is_draining = true;
        self.serves_until = Some(now.plus_millis(serves_ms));
        self.remaining_ms = serves_ms.saturating_add(now.millis_since(self.last_heartbeat));
        true
    }

    /// Records a lease that was granted when a heartbeat was received.
    pub(crate) fn grant_lease(&mut self, received: Time, lease_ms: u64) {
        let expiry = latest_expiry(received, lease_ms);
        self.lease_expires_at = self.lease_expires_at.max(expiry);
    }

    /// Returns the time at which the lease counts as expired unless a heartbeat arrives before: the latest expiry of
    /// the lease, but not before `silence_timeout_ms` have passed without a heartbeat. Returns `None` once it has
    /// expired.
    pub(crate) fn expiry_due(&self, silence_timeout_ms: u64) -> Option<Time> {
        let silent_at = self.last_heartbeat.plus_millis(silence_timeout_ms);
        (!self.lease_expired).then(|| self.lease_expires_at.max(silent_at))
    }

    /// Marks the lease as expired and all runs as ended. Returns whether this is a change.
    pub(crate) fn expire(&mut self) -> bool {
        self.active.clear();
        !std::mem::replace(&mut self.lease_expired, true)
    }

    fn serving_remaining_ms(&self, now: Time) -> u64 {
        self.serves_until.map_or(0, |until| until.millis_since(now))
    }

    /// Records that the runner drains, which it does until its end. Returns whether this is a change.
    fn update_draining(&mut self, is_draining: bool) -> bool {
        let has_changed = is_draining && !self.is_draining;
        self.is_draining |= is_draining;
        has_changed
    }

    fn update_profile(&mut self, heartbeat: &mut Heartbeat) -> bool {
        let changes = [
            update(&mut self.profile.service, heartbeat.service.take()),
            update(&mut self.profile.address, heartbeat.address.take()),
            update(&mut self.profile.zone, heartbeat.zone.take()),
            update(&mut self.profile.capacity, heartbeat.capacity.take()),
            update(&mut self.profile.labels, heartbeat.labels.take()),
        ];
        changes.contains(&true)
    }

    fn update_active(&mut self, active: &[ActiveRun]) -> bool {
        if !are_same_runs(&self.active, active) {
            self.active = active.to_vec();
            return true;
        }
        for (known, reported) in self.active.iter_mut().zip(active) {
            known.percent = reported.percent;
        }
        false
    }

    fn update_finished(&mut self, finished: &[FinishedRun]) -> bool {
        let has_changed = self.finished != finished;
        if has_changed {
            self.finished = finished.to_vec();
        }
        has_changed
    }
}

/// Replaces the known value by a given one. Returns whether the two differ.
fn update<T: PartialEq>(known: &mut T, given: Option<T>) -> bool {
    match given {
        Some(given) if given != *known => {
            *known = given;
            true
        }
        _ => false,
    }
}

/// Returns whether two lists differ at most in the progress of their runs.
fn are_same_runs(known: &[ActiveRun], reported: &[ActiveRun]) -> bool {
    known.len() == reported.len()
        && known.iter().zip(reported).all(|(known, reported)| {
            known.attempt == reported.attempt
                && known.task == reported.task
                && known.checkpoint == reported.checkpoint
        })
}
