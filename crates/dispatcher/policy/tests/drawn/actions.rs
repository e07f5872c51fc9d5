//! The actions that the dispatcher requests, and their results.
use super::recorder::Action;
use super::{AttemptRef, Event, History, ItemRef, Mode, SLOTS, STEP_S};
use rand::Rng;
use sagetrail_policy::{Outcome, WorkItem};

impl History {
    /// Performs the queued actions and schedules the events that result from them.
    pub(super) fn perform_actions(&mut self) {
        while let Some(action) = self.host.actions.pop_front() {
            match action {
                Action::Attempt {
                    work_item,
                    runner,
                    drop_at_s,
                } => self.run_attempt(work_item, runner, drop_at_s),
                Action::Cancel { work_item, attempt } => self.end_cancelled(work_item, attempt),
                Action::Probe(runner) => self.answer_probe(runner),
                Action::RequestList => self.answer_list_request(),
                Action::ReleaseHandle(work_item) => {
                    self.held.remove(&work_item.0);
                }
            }
        }
    }

    /// Draws how an attempt goes on and schedules its events.
    fn run_attempt(&mut self, work_item: WorkItem, runner: usize, drop_at_s: f64) {
        let held = self.held.get_mut(&work_item.0).unwrap();
        let (attempt, number) = (held.attempt_count, held.number);
        held.attempt_count += 1;
        held.in_flight = Some((attempt, runner));
        let attempt_ref = AttemptRef {
            item: ItemRef { work_item, number },
            attempt,
        };
        let steps_to_drop = ((drop_at_s - self.host.now) / STEP_S).max(1.0) as u64;
        let (outcome, after_steps) = self.draw_outcome(runner);
        if after_steps > steps_to_drop {
            return self.schedule(
                steps_to_drop,
                Event::AttemptEnded(attempt_ref, Outcome::Timeout),
            );
        }
        if outcome == Outcome::Finished {
            self.schedule_run_events(attempt_ref, after_steps);
        }
        self.schedule(after_steps, Event::AttemptEnded(attempt_ref, outcome));
    }

    /// Draws the outcome of an attempt and the number of steps until it ends.
    fn draw_outcome(&mut self, runner: usize) -> (Outcome, u64) {
        let machine = &self.machines[runner];
        if machine.silent_until_s > self.host.now {
            return (Outcome::Timeout, u64::MAX);
        }
        if machine.listing.is_none() {
            return (Outcome::NoConnection, 3);
        }
        let (run_factor, full) = (machine.run_factor, machine.running >= SLOTS);
        if full && self.chance(0.5) {
            return (Outcome::Full, 1);
        }
        let failure_probability = if runner == 1 { 0.2 } else { 0.03 };
        let run = self.draw_steps(0.05, 1.2 * run_factor);
        if self.chance(failure_probability) {
            let failures = [
                Outcome::Error,
                Outcome::Reset,
                Outcome::StaleConnection,
                Outcome::NoConnection,
                Outcome::NotSent,
                Outcome::MaybeFull,
            ];
            return (
                failures[self.random.random_range(0..failures.len())],
                1 + run / 4,
            );
        }
        (Outcome::Finished, 2 + run)
    }

    /// Schedules the reports of a run that ends after this many steps: acceptance, start and half of the progress.
    fn schedule_run_events(&mut self, attempt_ref: AttemptRef, after_steps: u64) {
        if self.mode == Mode::Shared {
            self.schedule(1, Event::Accepted(attempt_ref));
        }
        let starts_after_steps = 1 + after_steps / 8;
        self.schedule(starts_after_steps, Event::Started(attempt_ref));
        self.schedule(after_steps / 2 + 1, Event::Progressed(attempt_ref, 0.5));
    }

    /// Ends a cancelled attempt one step later.
    fn end_cancelled(&mut self, work_item: WorkItem, attempt: u16) {
        let Some(held) = self.held.get(&work_item.0) else {
            return;
        };
        let item = ItemRef {
            work_item,
            number: held.number,
        };
        let attempt_ref = AttemptRef { item, attempt };
        self.schedule(1, Event::AttemptEnded(attempt_ref, Outcome::Cancelled));
    }

    /// Schedules the answer to a load probe, which fails if the runner hangs or is gone.
    fn answer_probe(&mut self, runner: usize) {
        let machine = &self.machines[runner];
        let silent = machine.silent_until_s > self.host.now || machine.listing.is_none();
        let free = SLOTS.saturating_sub(machine.running) as f32;
        let after_steps = self.draw_steps(0.01, 0.06);
        let event = match silent {
            true => Event::ProbeEnded(runner, Outcome::NoConnection, [0.0; 3]),
            false => Event::ProbeEnded(runner, Outcome::Finished, [free, 2.0 * free, 0.5]),
        };
        self.schedule(after_steps, event);
    }

    /// Schedules the answer to a list request, which fails with a probability of 0.3.
    fn answer_list_request(&mut self) {
        let after_steps = self.draw_steps(0.02, 0.5);
        let event = match self.chance(0.3) {
            true => Event::ListFailed,
            false => Event::FullList,
        };
        self.schedule(after_steps, event);
    }
}
