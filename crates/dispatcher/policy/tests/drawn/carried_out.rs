//! What the dispatcher wants, and what comes of it.
use super::recorder::Wanted;
use super::{History, News, Owed, Sent, Way, SLOTS, STEP_S};
use rand::Rng;
use sagetrail_policy::{Outcome, WorkItem};

impl History {
    pub(super) fn carry_out(&mut self) {
        while let Some(wanted) = self.host.wanted.pop_front() {
            match wanted {
                Wanted::Attempt {
                    work_item,
                    runner,
                    drop_at,
                } => self.attempt(work_item, runner, drop_at),
                Wanted::Cancel { work_item, attempt } => self.cancel(work_item, attempt),
                Wanted::Probe(runner) => self.probe(runner),
                Wanted::Watch => self.watch(),
                Wanted::Forget(work_item) => {
                    self.held.remove(&work_item.0);
                }
            }
        }
    }

    fn attempt(&mut self, work_item: WorkItem, runner: usize, drop_at: f64) {
        let held = self.held.get_mut(&work_item.0).unwrap();
        let (no, number) = (held.made, held.number);
        held.made += 1;
        held.out = Some((no, runner));
        let sent = Sent {
            owed: Owed { work_item, number },
            no,
        };
        let dropped = ((drop_at - self.host.now) / STEP_S).max(1.0) as u64;
        let (outcome, after) = self.draw_outcome(runner);
        if after > dropped {
            return self.expect(dropped, News::Came(sent, Outcome::Timeout));
        }
        if outcome == Outcome::Finished {
            self.expect_steps_of_run(sent, after);
        }
        self.expect(after, News::Came(sent, outcome));
    }

    /// What comes of an attempt, and after how many steps.
    fn draw_outcome(&mut self, runner: usize) -> (Outcome, u64) {
        let machine = &self.machines[runner];
        if machine.silent_until > self.host.now {
            return (Outcome::Timeout, u64::MAX);
        }
        if machine.listed.is_none() {
            return (Outcome::NoConnection, 3);
        }
        let (pace, full) = (machine.pace, machine.running >= SLOTS);
        if full && self.chance(0.5) {
            return (Outcome::Full, 1);
        }
        let failing = if runner == 1 { 0.2 } else { 0.03 };
        let run = self.span(0.05, 1.2 * pace);
        if self.chance(failing) {
            let bad = [
                Outcome::Error,
                Outcome::Reset,
                Outcome::StaleConnection,
                Outcome::NoConnection,
                Outcome::NotSent,
                Outcome::MaybeFull,
            ];
            return (bad[self.random.random_range(0..bad.len())], 1 + run / 4);
        }
        (Outcome::Finished, 2 + run)
    }

    fn expect_steps_of_run(&mut self, sent: Sent, after: u64) {
        if self.way == Way::Shared {
            self.expect(1, News::Accepted(sent));
        }
        let starts = 1 + after / 8;
        self.expect(starts, News::Started(sent));
        self.expect(after / 2 + 1, News::Progressed(sent, 0.5));
    }

    fn cancel(&mut self, work_item: WorkItem, attempt: u16) {
        let Some(held) = self.held.get(&work_item.0) else {
            return;
        };
        let owed = Owed {
            work_item,
            number: held.number,
        };
        let sent = Sent { owed, no: attempt };
        self.expect(1, News::Came(sent, Outcome::Cancelled));
    }

    fn probe(&mut self, runner: usize) {
        let machine = &self.machines[runner];
        let silent = machine.silent_until > self.host.now || machine.listed.is_none();
        let free = SLOTS.saturating_sub(machine.running) as f32;
        let after = self.span(0.01, 0.06);
        let news = match silent {
            true => News::Probed(runner, Outcome::NoConnection, [0.0; 3]),
            false => News::Probed(runner, Outcome::Finished, [free, 2.0 * free, 0.5]),
        };
        self.expect(after, news);
    }

    fn watch(&mut self) {
        let after = self.span(0.02, 0.5);
        let news = match self.chance(0.3) {
            true => News::ListFailed,
            false => News::WholeList,
        };
        self.expect(after, news);
    }
}
