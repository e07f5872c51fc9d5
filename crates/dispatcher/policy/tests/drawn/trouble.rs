//! Trouble, and what other dispatchers and operators do.
use super::{machine, History, News, Way, RUNNERS};
use rand::Rng;
use sagetrail_policy::ListedRunner;

impl History {
    pub(super) fn trouble(&mut self) {
        if !self.chance(0.004) {
            return;
        }
        let runner = self.random.random_range(0..RUNNERS);
        let now = self.host.now;
        match self.random.random_range(0..6) {
            0 | 1 => self.machines[runner].silent_until = now + 2.0,
            2 | 3 => self.restart(runner),
            4 => self.drain(runner),
            _ => self
                .dispatcher
                .set_disabled(now, runner, self.step.is_multiple_of(2)),
        }
    }

    /// It is gone, and back a little later as a new process; the list tells of both late.
    fn restart(&mut self, index: usize) {
        self.list(index, None);
        let fresh = ListedRunner {
            started_at_s: self.host.now,
            ..machine(index).listed.unwrap()
        };
        self.list(index, Some(fresh));
    }

    fn drain(&mut self, index: usize) {
        let ready = machine(index).listed.unwrap();
        self.list(
            index,
            Some(ListedRunner {
                ready: false,
                ..ready
            }),
        );
    }

    fn list(&mut self, index: usize, listed: Option<ListedRunner>) {
        self.machines[index].listed = listed;
        let late = self.span(0.1, 1.5);
        self.expect(late, News::Listed(index, listed));
    }

    pub(super) fn share(&mut self) {
        if self.way != Way::Shared || !self.step.is_multiple_of(50) {
            return;
        }
        let now = self.host.now;
        let draws: [f64; 4] = std::array::from_fn(|_| self.random.random());
        self.dispatcher
            .set_remaining_budgets(&[20.0 * draws[0], 9.0, 9.0, 9.0], 5.0 * draws[1]);
        self.dispatcher
            .set_admission(&[1.0, 0.5 + draws[2], 1.0, 1.0]);
        self.dispatcher.set_fleet_max_running(4.0 * draws[3]);
        let away: &[usize] = if self.step.is_multiple_of(1_500) {
            &[7, 8]
        } else {
            &[]
        };
        self.dispatcher.set_unreachable(now, away);
        for runner in 0..RUNNERS {
            let part = (self.step / 1_000 % 2 == 1).then_some(draws[runner % 4]);
            self.dispatcher.set_cold_share(runner, part);
        }
    }
}
