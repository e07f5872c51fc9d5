//! Faults of runners, and actions of operators and of other dispatchers.
use super::{machine, Event, History, Mode, RUNNERS};
use rand::Rng;
use sagetrail_policy::ListedRunner;

impl History {
    /// With a probability of 0.4 % a step, one runner hangs for 2 s, restarts or drains, or an operator disables or
    /// enables it.
    pub(super) fn inject_faults(&mut self) {
        if !self.chance(0.004) {
            return;
        }
        let runner = self.random.random_range(0..RUNNERS);
        let now = self.host.now;
        match self.random.random_range(0..6) {
            0 | 1 => self.machines[runner].silent_until_s = now + 2.0,
            2 | 3 => self.restart(runner),
            4 => self.drain(runner),
            _ => self
                .dispatcher
                .set_disabled(now, runner, self.step.is_multiple_of(2)),
        }
    }

    /// Restarts a runner, which is a new process at once. The list reports late that the old one is gone and that the
    /// new one is ready.
    fn restart(&mut self, index: usize) {
        self.change_list(index, None);
        let restarted = ListedRunner {
            started_at_s: self.host.now,
            ..machine(index).listing.unwrap()
        };
        self.change_list(index, Some(restarted));
    }

    fn drain(&mut self, index: usize) {
        let ready = machine(index).listing.unwrap();
        self.change_list(
            index,
            Some(ListedRunner {
                ready: false,
                ..ready
            }),
        );
    }

    /// Changes the listing of a runner, which the dispatcher learns 0.1 to 1.5 s later.
    fn change_list(&mut self, index: usize, listing: Option<ListedRunner>) {
        self.machines[index].listing = listing;
        let delay_steps = self.draw_steps(0.1, 1.5);
        self.schedule(delay_steps, Event::ListChanged(index, listing));
    }

    /// Passes the dispatcher new shares of the fleet's budgets, every 50 steps in a `Mode::Shared` history.
    pub(super) fn share_fleet_state(&mut self) {
        if self.mode != Mode::Shared || !self.step.is_multiple_of(50) {
            return;
        }
        let now = self.host.now;
        let draws: [f64; 4] = std::array::from_fn(|_| self.random.random());
        self.dispatcher
            .set_remaining_budgets(&[20.0 * draws[0], 9.0, 9.0, 9.0], 5.0 * draws[1]);
        self.dispatcher
            .set_admission(&[1.0, 0.5 + draws[2], 1.0, 1.0]);
        self.dispatcher.set_fleet_max_running(4.0 * draws[3]);
        let unreachable: &[usize] = if self.step.is_multiple_of(1_500) {
            &[7, 8]
        } else {
            &[]
        };
        self.dispatcher.set_unreachable(now, unreachable);
        for runner in 0..RUNNERS {
            let cold_share = (self.step / 1_000 % 2 == 1).then_some(draws[runner % 4]);
            self.dispatcher.set_cold_share(runner, cold_share);
        }
    }
}
