//! The subscription to a parent: which one, when it is renewed, and when another parent takes its place.

use crate::tree::mix;
use sagetrail_protocol::distribution::SUBSCRIBE_INTERVAL_MS;
use sagetrail_protocol::{NodeId, Time};

/// A parent without a useful answer for this long is replaced by the next, in milliseconds.
pub const ANSWER_TIMEOUT_MS: u64 = 900;
/// A parent that has not answered at all is replaced after this long, in milliseconds.
pub const FIRST_ANSWER_TIMEOUT_MS: u64 = 350;
/// Answers about older configurations are not useful, in milliseconds.
pub const MAX_AGE_MS: u64 = 1_400;
/// A missing update is requested again after this long, in milliseconds.
const REPEAT_MS: u64 = 50;
/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;
/// A process whose parent is not its best tries that again after this long and up to twice that, in milliseconds.
pub const RETURN_INTERVAL_MS: u64 = 5_000;

/// The subscription of one process to a parent.
#[derive(Debug)]
pub(crate) struct Subscription {
    /// Best first.
    choices: Vec<NodeId>,
    position: usize,
    /// Since when this parent is in use.
    parent_since: Time,
    /// When the parent gave a useful answer last.
    last_answer: Option<Time>,
    last_request: Option<Time>,
    return_at: Time,
    /// Until then the best parent is asked beside the current one.
    trial_until: Option<Time>,
    random: u64,
}

impl Subscription {
    /// No parent yet.
    pub(crate) fn new(seed: u64) -> Subscription {
        Subscription {
            choices: Vec::new(),
            position: 0,
            parent_since: Time(0),
            last_answer: None,
            last_request: None,
            return_at: Time(0),
            trial_until: None,
            random: seed,
        }
    }

    /// Sets the parents to choose from, best first. The current parent is kept if it is among them.
    pub(crate) fn set_choices(&mut self, choices: Vec<NodeId>) {
        if choices == self.choices {
            return;
        }
        let current = self.current();
        self.choices = choices;
        self.trial_until = None;
        match self
            .choices
            .iter()
            .position(|choice| Some(*choice) == current)
        {
            Some(position) => self.position = position,
            None => self.reset_parent(),
        }
    }

    /// The current parent.
    pub(crate) fn current(&self) -> Option<NodeId> {
        self.choices.get(self.position).copied()
    }

    /// Records a useful answer.
    pub(crate) fn record_answer(&mut self, from: NodeId, now: Time) {
        if self.trial_until.is_some() && self.choices.first() == Some(&from) {
            self.trial_until = None;
            self.position = 0;
            self.parent_since = now;
        }
        if self.current() == Some(from) {
            self.last_answer = Some(now);
        }
    }

    /// Requests a missing update again, after the time in which it may still arrive.
    pub(crate) fn request_soon(&mut self, now: Time) {
        let soon = now
            .plus_millis(REPEAT_MS)
            .0
            .saturating_sub(SUBSCRIBE_INTERVAL_MS * MICROS_PER_MS);
        self.last_request = self.last_request.map(|asked| asked.min(Time(soon)));
    }

    /// Replaces the parent if it is time. The processes to send a subscription to now.
    pub(crate) fn wake(&mut self, now: Time) -> Vec<NodeId> {
        if self.leave_due().is_some_and(|due| due <= now) {
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

    /// When `wake` is to be called next.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let due = [
            self.leave_due(),
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
        Some(
            self.last_request
                .map_or(Time(0), |asked| asked.plus_millis(SUBSCRIBE_INTERVAL_MS)),
        )
    }

    /// When the parent is replaced unless it answers before.
    fn leave_due(&self) -> Option<Time> {
        self.current()?;
        self.last_request?;
        Some(self.last_answer.map_or(
            self.parent_since.plus_millis(FIRST_ANSWER_TIMEOUT_MS),
            |answered_at| answered_at.plus_millis(ANSWER_TIMEOUT_MS),
        ))
    }

    /// Takes the next parent; after the last one the first.
    fn switch_parent(&mut self, now: Time) {
        self.position = (self.position + 1) % self.choices.len();
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
        let away = self.position > 0 && self.last_answer.is_some() && self.trial_until.is_none();
        away.then_some(self.return_at)
    }

    fn begin_trial(&mut self, now: Time) -> Option<NodeId> {
        self.trial_until = Some(now.plus_millis(FIRST_ANSWER_TIMEOUT_MS));
        self.choices.first().copied()
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
