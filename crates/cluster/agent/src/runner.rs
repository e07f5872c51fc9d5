//! One instance of the runner: what its newest heartbeat says, and until when its lease may last.

use sagetrail_protocol::agent::{ActiveRun, FinishedRun, Resources, RUNNER_LEASE_MS};
use sagetrail_protocol::{Text, Time};

use crate::heartbeat::Heartbeat;
use crate::runner_lease::latest_expiry;

/// What a runner is; named once, it may be left out of later heartbeats.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct Profile {
    /// The service whose runner it is.
    pub(crate) service: Text,
    /// The address on which it accepts calls, `ip:port`.
    pub(crate) address: Text,
    /// Its failure domain.
    pub(crate) zone: Text,
    /// All of its resources, used or free.
    pub(crate) capacity: Resources,
    /// What placements may ask for.
    pub(crate) labels: Vec<Text>,
}

/// The outcome of a heartbeat of a known instance.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum HeartbeatChange {
    /// It is not newer than one received before, and ignored.
    Stale,
    /// It changes something that the scheduler is to receive at once.
    Changed,
    /// It changes nothing but the progress of runs.
    Unchanged,
}

/// An instance of the runner.
#[derive(Clone, Debug)]
pub(crate) struct Runner {
    /// Its id; a new one after each crash.
    pub(crate) instance: Text,
    /// What it is.
    pub(crate) profile: Profile,
    /// It shuts down and starts nothing any more; never reset.
    pub(crate) is_draining: bool,
    /// While it drains: the time it has left at `last_heartbeat`, in milliseconds.
    pub(crate) remaining_ms: u64,
    /// The rest of its slow start at `last_heartbeat`, in milliseconds.
    pub(crate) slow_start_remaining_ms: u64,
    /// The runs that it lists as active; empty once its lease has expired.
    pub(crate) active: Vec<ActiveRun>,
    /// The ends that it lists.
    pub(crate) finished: Vec<FinishedRun>,
    /// Silent beyond its lease, or found dead: everything it ran is over.
    pub(crate) lease_expired: bool,
    /// When its newest heartbeat came.
    pub(crate) last_heartbeat: Time,
    /// It has deregistered, and serves on until this time at least.
    serves_until: Option<Time>,
    /// The number of its newest heartbeat, if it numbers them.
    sequence: Option<u64>,
    /// The latest time at which a lease granted to it may last.
    lease_expires_at: Time,
}

impl Runner {
    /// An instance at its first call. An earlier agent may have granted it a complete lease until now.
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

    /// Receives a heartbeat; takes the profile out of it.
    pub(crate) fn receive(&mut self, now: Time, heartbeat: &mut Heartbeat) -> HeartbeatChange {
        if self.is_stale(heartbeat) {
            return HeartbeatChange::Stale;
        }
        self.sequence = heartbeat.sequence.or(self.sequence);
        self.last_heartbeat = now;
        self.remaining_ms = heartbeat.remaining_ms.max(self.serves_on_ms(now));
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

    /// Records its deregistration, after which it serves on for `serves_ms`; true where that is new. One that drains
    /// already has named the time it has left.
    pub(crate) fn deregister(&mut self, now: Time, serves_ms: u64) -> bool {
        if self.is_draining {
            return false;
        }
        self.is_draining = true;
        self.serves_until = Some(now.plus_millis(serves_ms));
        self.remaining_ms = serves_ms.saturating_add(now.millis_since(self.last_heartbeat));
        true
    }

    /// Records a lease that was granted at the receipt of a heartbeat.
    pub(crate) fn grant_lease(&mut self, received: Time, lease_ms: u64) {
        let expiry = latest_expiry(received, lease_ms);
        self.lease_expires_at = self.lease_expires_at.max(expiry);
    }

    /// When its lease counts as expired, unless a heartbeat comes before: at its latest expiry, and not before
    /// `silence_timeout_ms` without a heartbeat. `None` once it has expired.
    pub(crate) fn expiry_due(&self, silence_timeout_ms: u64) -> Option<Time> {
        let silent_at = self.last_heartbeat.plus_millis(silence_timeout_ms);
        (!self.lease_expired).then(|| self.lease_expires_at.max(silent_at))
    }

    /// Ends everything it ran; true where that is new.
    pub(crate) fn expire(&mut self) -> bool {
        self.active.clear();
        !std::mem::replace(&mut self.lease_expired, true)
    }

    fn serves_on_ms(&self, now: Time) -> u64 {
        self.serves_until.map_or(0, |until| until.millis_since(now))
    }

    /// Once it drains, a runner drains until its end.
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

/// Takes over a value that is given; true where it differs from the known one.
fn update<T: PartialEq>(known: &mut T, given: Option<T>) -> bool {
    match given {
        Some(given) if given != *known => {
            *known = given;
            true
        }
        _ => false,
    }
}

/// Whether two lists differ in nothing but the progress of the runs.
fn are_same_runs(known: &[ActiveRun], reported: &[ActiveRun]) -> bool {
    known.len() == reported.len()
        && known.iter().zip(reported).all(|(known, reported)| {
            known.attempt == reported.attempt
                && known.task == reported.task
                && known.checkpoint == reported.checkpoint
        })
}
