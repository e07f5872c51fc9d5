//! The replacement of a dispatcher's process, and the state that the new process takes over.
use super::{History, BEGIN_S, RUNNERS, STEPS, STEP_S};
use rand::Rng;
use sagetrail_policy::Dispatcher;

impl History {
    /// Replaces the dispatcher by a new process. The work items stay with the old process, whose history ends here.
    pub(super) fn hand_over(&mut self) {
        self.record_figures();
        let now = self.host.now;
        let handover: Vec<_> = (0..RUNNERS)
            .map(|r| (r, self.dispatcher.runner_handover(r)))
            .collect();
        let learned: Vec<_> = (0..RUNNERS)
            .filter_map(|r| Some((r, self.dispatcher.learned_runner(r)?)))
            .collect();
        let usual_runs: Vec<_> = (0..4)
            .map(|category| self.dispatcher.usual_run_s(category))
            .collect();
        self.dispatcher = Dispatcher::new(self.mode.config(), self.random.random(), now);
        self.dispatcher.begin_without_history(now);
        self.send_full_list(sagetrail_policy::ListUpdate::Cached);
        for (category, usual_run_s) in usual_runs.into_iter().enumerate() {
            usual_run_s
                .into_iter()
                .for_each(|usual_run_s| self.dispatcher.restore_usual_run(category, usual_run_s));
        }
        for (runner, (_, slots, slowdown)) in learned {
            self.dispatcher.restore_runner(runner, slots, slowdown);
        }
        self.dispatcher.inherit(now, handover);
        self.dispatcher.yield_cold_runners(now, false);
        self.dispatcher
            .set_shutdown_at(BEGIN_S + STEPS as f64 * STEP_S);
        self.held.clear();
        self.pending_events.clear();
        self.host.actions.clear();
        self.host.wake_at_s = Some(now);
        self.machines
            .iter_mut()
            .for_each(|machine| machine.running = 0);
    }

    /// Records the dispatcher's figures on categories, runners and cold runners.
    pub(super) fn record_figures(&mut self) {
        for category in 0..4 {
            let (usual_s, payoff) = self.dispatcher.usual_run_and_worth(category);
            let measured = self.dispatcher.usual_run_s(category).unwrap_or(-1.0);
            self.host.record_figures(&[usual_s, payoff, measured]);
        }
        for runner in 0..RUNNERS {
            let (started_at_s, slots, slowdown) = self
                .dispatcher
                .learned_runner(runner)
                .unwrap_or((-1.0, -1.0, -1.0));
            self.host.record_figures(&[started_at_s, slots, slowdown]);
            let handover = self.dispatcher.runner_handover(runner);
            let times = [
                handover.disabled_at_s,
                handover.enabled_at_s,
                handover.ejected_until_s,
            ]
            .map(|at_s| at_s.unwrap_or(-1.0));
            self.host.record_figures(&[
                times[0],
                times[1],
                times[2],
                handover.evidence,
                handover.ejection_s,
            ]);
            let cold_work: Vec<f64> = handover
                .cold_sends
                .iter()
                .flat_map(|(at_s, size)| [*at_s, *size])
                .collect();
            self.host.record_figures(&cold_work);
        }
        for (runner, cold_work, wanted) in self.dispatcher.cold_usage(self.host.now) {
            self.host
                .record_figures(&[runner as f64, cold_work, f64::from(u8::from(wanted))]);
        }
    }
}
