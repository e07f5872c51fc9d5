//! The end of a process: what it says of itself, and what the next one takes up.
use super::{History, BEGIN_S, RUNNERS, STEPS, STEP_S};
use rand::Rng;
use sagetrail_policy::Dispatcher;

impl History {
    /// A new process takes over; work in hand stays with the one before, which is not played on.
    pub(super) fn hand_over(&mut self) {
        self.note_figures();
        let now = self.host.now;
        let kept: Vec<_> = (0..RUNNERS)
            .map(|r| (r, self.dispatcher.runner_handover(r)))
            .collect();
        let learnt: Vec<_> = (0..RUNNERS)
            .filter_map(|r| Some((r, self.dispatcher.learned_runner(r)?)))
            .collect();
        let usual: Vec<_> = (0..4)
            .map(|category| self.dispatcher.usual_run_s(category))
            .collect();
        self.dispatcher = Dispatcher::new(self.way.terms(), self.random.random(), now);
        self.dispatcher.begin_without_history(now);
        self.tell_whole_list(sagetrail_policy::ListUpdate::Cached);
        for (category, seconds) in usual.into_iter().enumerate() {
            seconds
                .into_iter()
                .for_each(|seconds| self.dispatcher.restore_usual_run(category, seconds));
        }
        for (runner, (_, slots, pace)) in learnt {
            self.dispatcher.restore_runner(runner, slots, pace);
        }
        self.dispatcher.inherit(now, kept);
        self.dispatcher.yield_cold_runners(now, false);
        self.dispatcher
            .set_shutdown_at(BEGIN_S + STEPS as f64 * STEP_S);
        self.held.clear();
        self.coming.clear();
        self.host.wanted.clear();
        self.host.wake_at = Some(now);
        self.machines
            .iter_mut()
            .for_each(|machine| machine.running = 0);
    }

    /// Keeps what the dispatcher says of categories, runners and cold runners.
    pub(super) fn note_figures(&mut self) {
        for category in 0..4 {
            let (usual_s, payoff) = self.dispatcher.usual_run_and_worth(category);
            let measured = self.dispatcher.usual_run_s(category).unwrap_or(-1.0);
            self.host.figures(&[usual_s, payoff, measured]);
        }
        for runner in 0..RUNNERS {
            let (born, slots, pace) = self
                .dispatcher
                .learned_runner(runner)
                .unwrap_or((-1.0, -1.0, -1.0));
            self.host.figures(&[born, slots, pace]);
            let kept = self.dispatcher.runner_handover(runner);
            let times = [kept.disabled_at_s, kept.enabled_at_s, kept.ejected_until_s]
                .map(|at| at.unwrap_or(-1.0));
            self.host
                .figures(&[times[0], times[1], times[2], kept.evidence, kept.ejection_s]);
            let spent: Vec<f64> = kept
                .cold_sends
                .iter()
                .flat_map(|(at, size)| [*at, *size])
                .collect();
            self.host.figures(&spent);
        }
        for (runner, spent, wanted) in self.dispatcher.cold_usage(self.host.now) {
            self.host
                .figures(&[runner as f64, spent, f64::from(u8::from(wanted))]);
        }
    }
}
