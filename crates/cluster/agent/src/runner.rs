//! What the agent knows of its runner: its newest heartbeat, and until when a hold may last.

use crate::heartbeat::Heartbeat;
use sagetrail_protocol::agent::{ActiveRun, FinishedRun, Resources, RUNNER_LEASE_MS};
use sagetrail_protocol::{Text, Time};
use std::collections::VecDeque;

/// Ids of former instances, and of those that leave, that are kept, so that late calls of theirs are known.
const KEPT_INSTANCES: usize = 64;
/// A runner's steady clock, against the agent's, may stretch a hold to so many hundredths.
const HOLD_STRETCH_PERCENT: u64 = 103;
/// Added to each hold before it counts as over, in milliseconds.
const HOLD_MARGIN_MS: u64 = 50;
/// Microseconds in a hundredth of a millisecond.
const MICROS_PER_PERCENT_MS: u64 = 10;
/// A runner without a hold is silent after its heartbeat interval and so many milliseconds.
const SILENCE_MARGIN_MS: u64 = 1_000;

/// What a runner is.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct Profile {
    pub service: Text,
    pub address: Text,
    pub zone: Text,
    pub capacity: Resources,
    pub labels: Vec<Text>,
}

/// A runner that was heard.
#[derive(Clone, Debug)]
pub(crate) struct Runner {
    pub instance: Text,
    pub profile: Profile,
    pub draining: bool,
    pub remaining_ms: u64,
    pub cold_remaining_ms: u64,
    pub active: Vec<ActiveRun>,
    pub finished: Vec<FinishedRun>,
    /// Silent beyond every hold, or found dead.
    pub lapsed: bool,
    pub last_heartbeat: Time,
    /// It has deregistered, and serves on until then at least.
    serves_until: Option<Time>,
    sequence: Option<u64>,
    hold_end: Time,
}

/// What came of a heartbeat.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Admission {
    /// It is the newest; `changed` where the scheduler is to hear of it at once.
    Accepted { changed: bool },
    /// It is not newer than one taken before.
    Stale,
    /// It is of an unknown instance, perhaps a former one: it must come again, with none of the present one between.
    Unconfirmed,
    /// It is of an instance that another has replaced.
    Replaced,
}

/// The runner of this machine, through all its instances.
#[derive(Debug)]
pub(crate) struct RunnerRegister {
    current: Option<Runner>,
    retired: VecDeque<Text>,
    /// Instances that deregistered before they were known.
    leaving: VecDeque<Text>,
    silence_ms: u64,
    /// An unknown instance heard since the last heartbeat of the present one.
    unconfirmed: Option<Text>,
    /// Until then a hold may last that an agent before this one granted.
    former_hold_end: Time,
    /// No runner was heard before that.
    silent: bool,
}

impl RunnerRegister {
    /// A register that knows of no runner yet. Runners send a heartbeat about every `heartbeat_ms`.
    pub(crate) fn new(now: Time, heartbeat_ms: u64) -> RunnerRegister {
        let silence_ms = heartbeat_ms
            .saturating_add(SILENCE_MARGIN_MS)
            .min(RUNNER_LEASE_MS);
        RunnerRegister {
            current: None,
            retired: VecDeque::new(),
            leaving: VecDeque::new(),
            silence_ms,
            unconfirmed: None,
            former_hold_end: hold_end(now, RUNNER_LEASE_MS),
            silent: false,
        }
    }

    /// The runner, if one is known.
    pub(crate) fn current(&self) -> Option<&Runner> {
        self.current.as_ref()
    }

    /// Takes a heartbeat.
    pub(crate) fn heartbeat(
        &mut self,
        now: Time,
        instance: &str,
        heartbeat: &mut Heartbeat,
    ) -> Admission {
        if self.is_retired(instance) {
            return Admission::Replaced;
        }
        if let Some(runner) = self
            .current
            .as_mut()
            .filter(|runner| &*runner.instance == instance)
        {
            self.unconfirmed = None;
            return runner.heartbeat(now, heartbeat);
        }
        if self.current.is_some() && !self.confirm(instance) {
            return Admission::Unconfirmed;
        }
        let mut runner = Runner::new(now, instance);
        runner.heartbeat(now, heartbeat);
        runner.draining |= holds(&self.leaving, instance);
        self.replace(runner);
        Admission::Accepted { changed: true }
    }

    /// True at the second heartbeat in a row of an unknown instance. A single one may be late: sent by an instance
    /// that crashed before it was ever heard, or known to a former agent only.
    fn confirm(&mut self, instance: &str) -> bool {
        let known = self
            .unconfirmed
            .as_ref()
            .is_some_and(|unconfirmed| &**unconfirmed == instance);
        self.unconfirmed = Some(Text::from(instance));
        known
    }

    /// Takes a deregistration; true where it changes what is known. A runner may serve on after it, for `serves_ms` at
    /// least: it starts nothing any more, and what it runs is over when its hold is, or when it is found dead.
    pub(crate) fn deregister(&mut self, now: Time, instance: &str, serves_ms: u64) -> bool {
        if self.is_retired(instance) {
            return false;
        }
        match &mut self.current {
            Some(runner) if &*runner.instance == instance => runner.leave(now, serves_ms),
            Some(_) => {
                keep(&mut self.leaving, Text::from(instance));
                false
            }
            None => {
                let mut runner = Runner::new(now, instance);
                runner.leave(now, serves_ms);
                self.current = Some(runner);
                true
            }
        }
    }

    /// Notes a hold that was granted at the receipt of a heartbeat.
    pub(crate) fn granted(&mut self, received: Time, hold_ms: u64) {
        if let Some(runner) = &mut self.current {
            runner.hold_end = runner.hold_end.max(hold_end(received, hold_ms));
        }
    }

    /// Notes that the runner has died; true where that is news.
    pub(crate) fn died(&mut self) -> bool {
        self.current.as_mut().is_some_and(Runner::lapse)
    }

    /// Notes that the runner's holds are over; true where that is news.
    pub(crate) fn check_lapse(&mut self, now: Time) -> bool {
        if self.lapse_due().is_none_or(|due| now < due) {
            return false;
        }
        match &mut self.current {
            Some(runner) => runner.lapse(),
            None => !std::mem::replace(&mut self.silent, true),
        }
    }

    /// True where no runner was heard until every hold was over that an agent before this one can have granted.
    pub(crate) fn is_silent(&self) -> bool {
        self.silent
    }

    /// When the runner counts as silent beyond every hold, unless it is heard before.
    pub(crate) fn lapse_due(&self) -> Option<Time> {
        let Some(runner) = &self.current else {
            return (!self.silent).then_some(self.former_hold_end);
        };
        if runner.lapsed {
            return None;
        }
        Some(
            runner
                .hold_end
                .max(runner.last_heartbeat.plus_millis(self.silence_ms)),
        )
    }

    fn replace(&mut self, runner: Runner) {
        self.unconfirmed = None;
        let former = self.current.replace(runner);
        if let Some(former) = former {
            self.retire(former.instance);
        }
    }

    fn retire(&mut self, instance: Text) {
        keep(&mut self.retired, instance);
    }

    fn is_retired(&self, instance: &str) -> bool {
        holds(&self.retired, instance)
    }
}

fn holds(instances: &VecDeque<Text>, instance: &str) -> bool {
    instances.iter().any(|known| &**known == instance)
}

/// Adds an instance; the oldest one gives way.
fn keep(instances: &mut VecDeque<Text>, instance: Text) {
    if holds(instances, &instance) {
        return;
    }
    if instances.len() == KEPT_INSTANCES {
        instances.pop_front();
    }
    instances.push_back(instance);
}

/// The last instant at which a hold granted at `received` may still last.
fn hold_end(received: Time, hold_ms: u64) -> Time {
    let stretched_micros = hold_ms * HOLD_STRETCH_PERCENT * MICROS_PER_PERCENT_MS;
    (received + stretched_micros).plus_millis(HOLD_MARGIN_MS)
}

impl Runner {
    /// A runner at its first call. An agent that went before may have granted it a whole hold until now.
    fn new(now: Time, instance: &str) -> Runner {
        Runner {
            instance: Text::from(instance),
            profile: Profile::default(),
            draining: false,
            remaining_ms: 0,
            cold_remaining_ms: 0,
            active: Vec::new(),
            finished: Vec::new(),
            lapsed: false,
            last_heartbeat: now,
            serves_until: None,
            sequence: None,
            hold_end: hold_end(now, RUNNER_LEASE_MS),
        }
    }

    fn heartbeat(&mut self, now: Time, heartbeat: &mut Heartbeat) -> Admission {
        if self.is_stale(heartbeat) {
            return Admission::Stale;
        }
        self.sequence = heartbeat.sequence.or(self.sequence);
        self.last_heartbeat = now;
        self.remaining_ms = heartbeat.remaining_ms.max(self.serves_on_ms(now));
        self.cold_remaining_ms = heartbeat.cold_remaining_ms;
        let changed = [
            std::mem::take(&mut self.lapsed),
            self.note_draining(heartbeat.draining),
            self.note_profile(heartbeat),
            self.note_active(&heartbeat.active),
            self.note_finished(&heartbeat.finished),
        ];
        Admission::Accepted {
            changed: changed.contains(&true),
        }
    }

    fn is_stale(&self, heartbeat: &Heartbeat) -> bool {
        match (heartbeat.sequence, self.sequence) {
            (Some(sequence), Some(last)) => sequence <= last,
            _ => false,
        }
    }

    /// It has deregistered; true where that is news. One that has said `draining` has told its time already.
    fn leave(&mut self, now: Time, serves_ms: u64) -> bool {
        if self.draining {
            return false;
        }
        self.draining = true;
        self.serves_until = Some(now.plus_millis(serves_ms));
        self.remaining_ms = serves_ms.saturating_add(now.millis_since(self.last_heartbeat));
        true
    }

    fn serves_on_ms(&self, now: Time) -> u64 {
        self.serves_until.map_or(0, |until| until.millis_since(now))
    }

    /// Once it drains, a runner drains until its end.
    fn note_draining(&mut self, draining: bool) -> bool {
        let changed = draining && !self.draining;
        self.draining |= draining;
        changed
    }

    fn note_profile(&mut self, heartbeat: &mut Heartbeat) -> bool {
        let changed = [
            note(&mut self.profile.service, heartbeat.service.take()),
            note(&mut self.profile.address, heartbeat.address.take()),
            note(&mut self.profile.zone, heartbeat.zone.take()),
            note(&mut self.profile.capacity, heartbeat.capacity.take()),
            note(&mut self.profile.labels, heartbeat.labels.take()),
        ];
        changed.contains(&true)
    }

    fn note_active(&mut self, active: &[ActiveRun]) -> bool {
        let changed = !same_runs(&self.active, active);
        if changed {
            self.active = active.to_vec();
            return true;
        }
        for (known, told) in self.active.iter_mut().zip(active) {
            known.percent = told.percent;
        }
        false
    }

    fn note_finished(&mut self, finished: &[FinishedRun]) -> bool {
        let changed = self.finished != finished;
        if changed {
            self.finished = finished.to_vec();
        }
        changed
    }

    /// Whatever it ran is over; true where that is news.
    fn lapse(&mut self) -> bool {
        self.active.clear();
        !std::mem::replace(&mut self.lapsed, true)
    }
}

/// Keeps what was told; true where it differs from what was known.
fn note<T: PartialEq>(known: &mut T, told: Option<T>) -> bool {
    match told {
        Some(told) if told != *known => {
            *known = told;
            true
        }
        _ => false,
    }
}

/// Whether two lists differ in nothing but how far the runs are.
fn same_runs(known: &[ActiveRun], told: &[ActiveRun]) -> bool {
    known.len() == told.len()
        && known.iter().zip(told).all(|(known, told)| {
            known.attempt == told.attempt
                && known.task == told.task
                && known.checkpoint == told.checkpoint
        })
}
