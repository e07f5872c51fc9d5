//! The way up: whom a process is subscribed to, and when it turns to another.

use crate::tree::mix;
use sagetrail_protocol::distribution::SUBSCRIBE_INTERVAL_MS;
use sagetrail_protocol::{NodeId, Time};

/// A parent that says nothing of use for so long is left, in milliseconds.
pub const SILENCE_MS: u64 = 900;
/// A parent that has yet to answer at all is left after so long, in milliseconds.
pub const TRIAL_MS: u64 = 350;
/// Older knowledge, in milliseconds, is no use.
pub const STALE_MS: u64 = 1_400;
/// An update that is missed is asked for again after so long, in milliseconds.
const REPEAT_MS: u64 = 50;
/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;
/// Away from its best parent, a process tries that again after so long and up to twice that, in milliseconds.
pub const RETURN_INTERVAL_MS: u64 = 5_000;

/// The subscription of a process.
#[derive(Debug)]
pub(crate) struct Parent {
    /// Best first.
    choices: Vec<NodeId>,
    place: usize,
    /// Since when the parent is asked.
    since: Time,
    /// The last answer of use by the parent.
    heard: Option<Time>,
    asked: Option<Time>,
    return_at: Time,
    /// The best parent is asked beside the present one until then.
    trial_until: Option<Time>,
    random: u64,
}

impl Parent {
    /// No parent yet.
    pub(crate) fn new(seed: u64) -> Parent {
        Parent {
            choices: Vec::new(),
            place: 0,
            since: Time(0),
            heard: None,
            asked: None,
            return_at: Time(0),
            trial_until: None,
            random: seed,
        }
    }

    /// Takes the parents to choose from, best first. A present parent that is still among them is kept.
    pub(crate) fn choices(&mut self, choices: Vec<NodeId>) {
        if choices == self.choices {
            return;
        }
        let present = self.current();
        self.choices = choices;
        self.trial_until = None;
        match self
            .choices
            .iter()
            .position(|choice| Some(*choice) == present)
        {
            Some(place) => self.place = place,
            None => self.forget_parent(),
        }
    }

    /// The present parent.
    pub(crate) fn current(&self) -> Option<NodeId> {
        self.choices.get(self.place).copied()
    }

    /// Notes an answer of use.
    pub(crate) fn heard(&mut self, from: NodeId, now: Time) {
        if self.trial_until.is_some() && self.choices.first() == Some(&from) {
            self.trial_until = None;
            self.place = 0;
            self.since = now;
        }
        if self.current() == Some(from) {
            self.heard = Some(now);
        }
    }

    /// An update has not arrived: asks for it again, after the time it may still be on its way.
    pub(crate) fn ask_soon(&mut self, now: Time) {
        let soon = now
            .plus_millis(REPEAT_MS)
            .0
            .saturating_sub(SUBSCRIBE_INTERVAL_MS * MICROS_PER_MS);
        self.asked = self.asked.map(|asked| asked.min(Time(soon)));
    }

    /// Turns to another parent if it is time, and gives whom to ask now.
    pub(crate) fn wake(&mut self, now: Time) -> Vec<NodeId> {
        if self.leave_due().is_some_and(|due| due <= now) {
            self.turn(now);
        }
        self.end_trial(now);
        let mut asked = Vec::new();
        if self.ask_due().is_some_and(|due| due <= now) {
            asked.extend(self.ask(now));
        }
        if self.trial_due().is_some_and(|due| due <= now) {
            asked.extend(self.begin_trial(now));
        }
        asked
    }

    /// When `wake` is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let due = [
            self.leave_due(),
            self.ask_due(),
            self.trial_due(),
            self.trial_until,
        ];
        due.into_iter().flatten().min()
    }

    fn ask(&mut self, now: Time) -> Option<NodeId> {
        if self.asked.is_none() {
            self.since = now;
        }
        self.asked = Some(now);
        self.current()
    }

    fn ask_due(&self) -> Option<Time> {
        self.current()?;
        Some(
            self.asked
                .map_or(Time(0), |asked| asked.plus_millis(SUBSCRIBE_INTERVAL_MS)),
        )
    }

    /// When the parent is left unless it is heard before.
    fn leave_due(&self) -> Option<Time> {
        self.current()?;
        self.asked?;
        Some(
            self.heard
                .map_or(self.since.plus_millis(TRIAL_MS), |heard| {
                    heard.plus_millis(SILENCE_MS)
                }),
        )
    }

    /// The next parent, round and round.
    fn turn(&mut self, now: Time) {
        self.place = (self.place + 1) % self.choices.len();
        self.forget_answers();
        self.since = now;
        self.return_at = self.later(now);
    }

    fn forget_parent(&mut self) {
        self.place = 0;
        self.forget_answers();
    }

    fn forget_answers(&mut self) {
        self.heard = None;
        self.asked = None;
        self.trial_until = None;
    }

    fn trial_due(&self) -> Option<Time> {
        let away = self.place > 0 && self.heard.is_some() && self.trial_until.is_none();
        away.then_some(self.return_at)
    }

    fn begin_trial(&mut self, now: Time) -> Option<NodeId> {
        self.trial_until = Some(now.plus_millis(TRIAL_MS));
        self.choices.first().copied()
    }

    fn end_trial(&mut self, now: Time) {
        if self.trial_until.is_some_and(|until| until <= now) {
            self.trial_until = None;
            self.return_at = self.later(now);
        }
    }

    fn later(&mut self, now: Time) -> Time {
        self.random = mix(self.random);
        now.plus_millis(RETURN_INTERVAL_MS + self.random % RETURN_INTERVAL_MS)
    }
}
