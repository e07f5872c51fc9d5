//! The subscription to a parent: the choice of the parent, the renewal, and the replacement by another parent.

use crate::tree::mix;
use sagetrail_protocol::distribution::SUBSCRIBE_INTERVAL_MS;
use sagetrail_protocol::{NodeId, Time};

/// The time without a useful answer after which a parent is replaced by the next one, in milliseconds.
pub const ANSWER_TIMEOUT_MS: u64 = 900;
/// The time after which a parent that has never answered is replaced, in milliseconds.
pub const FIRST_ANSWER_TIMEOUT_MS: u64 = 350;
/// The maximum age of a configuration for which an answer is useful, in milliseconds.
pub const MAX_AGE_MS: u64 = 1_400;
/// The time after which a missing update is requested again, in milliseconds.
const REPEAT_MS: u64 = 50;
/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;
/// A process whose parent is not its best one tries the best one again after a random time between this interval and
/// twice this interval, in milliseconds.
pub const RETURN_INTERVAL_MS: u64 = 5_000;

/// The subscription of one process to a parent.
#[derive(Debug)]
pub(crate) struct Subscription {
    /// The possible parents, best first.
    candidates: Vec<NodeId>,
    /// The index of the current parent in `candidates`.
    position: usize,
    /// The time since which the current parent is in use.
    parent_since: Time,
    /// The time of the parent's last useful answer.
    last_answer: Option<Time>,
    /// The time of the last subscription request to the parent.
    last_request: Option<Time>,
    /// The time of the next attempt to return to the best parent.
    return_at: Time,
    /// The end of the current attempt to return to the best parent, during which both parents are asked.
    trial_until: Option<Time>,
    /// The state of the random numbers that spread the attempts to return.
    random: u64,
}

impl Subscription {
    /// Creates a subscription without a parent.
    pub(crate) fn new(seed: u64) -> Subscription {
        Subscription {
            candidates: Vec::new(),
            position: 0,
            parent_since: Time(0),
            last_answer: None,
            last_request: None,
            return_at: Time(0),
            trial_until: None,
            random: seed,
        }
    }

    /// Sets the possible parents, best first. The current parent is kept if it is among them.
    pub(crate) fn set_candidates(&mut self, candidates: Vec<NodeId>) {
        if candidates == self.candidates {
            return;
        }
        let current = self.current();
        self.candidates = candidates;
        self.trial_until = None;
        match self
            .candidates
            .iter()
            .position(|candidate| Some(*candidate) == current)
        {
            Some(position) => self.position = position,
            None => self.reset_parent(),
        }
    }

    /// Returns the current parent.
    pub(crate) fn current(&self) -> Option<NodeId> {
        self.candidates.get(self.position).copied()
    }

    /// Records a useful answer. An answer of the best parent during an attempt to return makes it the current parent.
    pub(crate) fn record_answer(&mut self, from: NodeId, now: Time) {
        if self.trial_until.is_some() && self.candidates.first() == Some(&from) {
            self.trial_until = None;
            self.position = 0;
            self.parent_since = now;
        }
        if self.current() == Some(from) {
            self.last_answer = Some(now);
        }
    }

    /// Schedules another request for a missing update after [`REPEAT_MS`], during which the update may still arrive.
    pub(crate) fn request_soon(&mut self, now: Time) {
        let last_request_at = now
            .plus_millis(REPEAT_MS)
            .0
            .saturating_sub(SUBSCRIBE_INTERVAL_MS * MICROS_PER_MS);
        self.last_request = self
            .last_request
            .map(|requested_at| requested_at.min(Time(last_request_at)));
    }

    /// Replaces the parent if that is due. Returns the processes to which a subscription must be sent now.
    pub(crate) fn wake(&mut self, now: Time) -> Vec<NodeId> {
        if self.switch_due().is_some_and(|due| due <= now) {
            self.switch_parent(now);
        }
        self.end_trial(now);
        let mut receivers = Vec::new();
        if self.request_due().is_some_and(|due| due <= now) {
            receivers.extend(self.request(now));
        }
        if self.trial_due().is_some_and(|due| due <= now) {
            receivers.extend(self.begin_trial(now));
        }
        receivers
    }

    /// Returns the time at which `wake` must be called next.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let due = [
            self.switch_due(),
            self.request_due(),
            self.trial_due(),
            self.trial_until,
        ];
        due.into_iter().flatten().min()
    }

    fn request(&mut self, now: Time) -> Option<NodeId> {
        if self.last_request.is_none() {
            self.parent_since = now;
        }
        self.last_request = Some(now);
        self.current()
    }

    fn request_due(&self) -> Option<Time> {
        self.current()?;
        Some(self.last_request.map_or(Time(0), |requested_at| {
            requested_at.plus_millis(SUBSCRIBE_INTERVAL_MS)
        }))
    }

    /// Returns the time at which the parent is replaced unless it answers before.
    fn switch_due(&self) -> Option<Time> {
        self.current()?;
        self.last_request?;
        Some(self.last_answer.map_or(
            self.parent_since.plus_millis(FIRST_ANSWER_TIMEOUT_MS),
            |answered_at| answered_at.plus_millis(ANSWER_TIMEOUT_MS),
        ))
    }

    /// Switches to the next parent; the first parent follows the last one.
    fn switch_parent(&mut self, now: Time) {
        self.position = (self.position + 1) % self.candidates.len();
        self.reset_requests();
        self.parent_since = now;
        self.return_at = self.next_return_at(now);
    }

    fn reset_parent(&mut self) {
        self.position = 0;
        self.reset_requests();
    }

    fn reset_requests(&mut self) {
        self.last_answer = None;
        self.last_request = None;
        self.trial_until = None;
    }

    fn trial_due(&self) -> Option<Time> {
        let may_return =
            self.position > 0 && self.last_answer.is_some() && self.trial_until.is_none();
        may_return.then_some(self.return_at)
    }

    fn begin_trial(&mut self, now: Time) -> Option<NodeId> {
        self.trial_until = Some(now.plus_millis(FIRST_ANSWER_TIMEOUT_MS));
        self.candidates.first().copied()
    }

    fn end_trial(&mut self, now: Time) {
        if self.trial_until.is_some_and(|until| until <= now) {
            self.trial_until = None;
            self.return_at = self.next_return_at(now);
        }
    }

    fn next_return_at(&mut self, now: Time) -> Time {
        self.random = mix(self.random);
        now.plus_millis(RETURN_INTERVAL_MS + self.random % RETURN_INTERVAL_MS)
    }
}
