//! A host that records the calls of a dispatcher, and helpers that pass events to the dispatcher.

use sagetrail_policy::*;

/// A call of the dispatcher to its host.
#[derive(Debug, PartialEq, Clone)]
pub(crate) enum HostCall {
    /// The work item and the index of the runner that it is sent to.
    Attempt(WorkItem, usize),
    /// The work item and the seconds after which the client may retry.
    Defer(WorkItem, f64),
    WriteOff(WorkItem),
    /// The work item and its attempt, counted from 0.
    Cancel(WorkItem, u16),
    /// A request for the runner list.
    RequestList,
    /// A load probe to the runner with this index.
    Probe(usize),
}
pub(crate) use HostCall::*;

/// Records the calls of a dispatcher. Its clock moves only when a test moves it.
#[derive(Default)]
pub(crate) struct RecordingHost {
    /// The present instant in seconds.
    pub now: f64,
    /// The calls in their order, since a test last cleared them.
    pub calls: Vec<HostCall>,
    /// The instant of the last requested wake-up, in seconds.
    pub wake_at_s: f64,
    /// The logged lines, each after the index of its runner.
    pub logged: Vec<String>,
}

impl Host for RecordingHost {
    fn now(&self) -> f64 {
        self.now
    }
    fn send_attempt(&mut self, work_item: WorkItem, runner: usize, _: f64, _: f64) {
        self.calls.push(Attempt(work_item, runner));
    }
    fn defer(&mut self, work_item: WorkItem, retry_after_s: f64) {
        self.calls.push(Defer(work_item, retry_after_s));
    }
    fn write_off(&mut self, work_item: WorkItem) {
        self.calls.push(WriteOff(work_item));
    }
    fn cancel(&mut self, work_item: WorkItem, attempt: u16) {
        self.calls.push(Cancel(work_item, attempt));
    }
    fn probe(&mut self, runner: usize) {
        self.calls.push(Probe(runner));
    }
    fn release_handle(&mut self, _: WorkItem) {}
    fn wake_in(&mut self, in_s: f64) {
        self.wake_at_s = self.now + in_s;
    }
    fn request_list(&mut self) {
        self.calls.push(RequestList);
    }
    fn log(&mut self, runner: usize, line: &str) {
        self.logged.push(format!("{runner} {line}"));
    }
}

/// How the work of each category may be repeated; the index is the category.
pub(crate) const CATEGORIES: [Repeat; 4] = [
    Repeat::Idempotent,
    Repeat::Keyed(Scope::Cell),
    Repeat::AtMostOnce,
    Repeat::Keyed(Scope::All),
];

/// One dispatcher and four categories, which differ in `Category::repeat` only.
pub(crate) fn default_config() -> PolicyConfig {
    let category = |repeat| Category {
        due_s: 0.5,
        stretch: 3.0,
        payoff: 1.0,
        tardy: 0.2,
        repeat,
        window_s: 3.0,
        placement: Placement::default(),
    };
    PolicyConfig {
        dispatcher_count: 1,
        reports_start: true,
        progress_interval_s: 1.0,
        may_cancel: true,
        max_retry_after_s: 2.0,
        max_attempts: 3,
        slow_start_fraction: 0.1,
        warm_up_s: 20.0,
        overload_multiple: 3.0,
        overload_window_s: 1.0,
        list_request_limit_s: 10.0,
        categories: CATEGORIES.map(category).to_vec(),
        ..PolicyConfig::default()
    }
}

/// A ready, warm runner of kind 0 and zone 0 in a cell of its own.
pub(crate) fn listed_runner(id: u64) -> ListedRunner {
    ListedRunner {
        id,
        kind: 0,
        started_at_s: f64::NEG_INFINITY,
        cell: id as u16,
        zone: 0,
        ready: true,
    }
}

/// Starts a dispatcher at 100 s that knows `runners` ready runners, each in a cell of its own.
pub(crate) fn start_dispatcher(
    config: PolicyConfig,
    runners: usize,
) -> (Dispatcher, RecordingHost) {
    let mut dispatcher = Dispatcher::new(config.clone(), 7 + config.dispatcher_index as u64, 100.0);
    let entries: Vec<_> = (0..runners)
        .map(|runner| (runner, Some(listed_runner(runner as u64))))
        .collect();
    dispatcher.update_list(100.0, ListUpdate::Cached, &entries);
    (
        dispatcher,
        RecordingHost {
            now: 100.0,
            ..RecordingHost::default()
        },
    )
}

/// A job of one slot and unknown size that expires at 110 s.
pub(crate) fn job(category: usize, key: u32) -> Job {
    Job {
        category,
        key,
        expires_at_s: 110.0,
        hint_s: 0.0,
        slots: 1.0,
        memory: 0.0,
    }
}

impl RecordingHost {
    /// Lets the dispatcher learn the cost of a fetch: pairs of work items of the keys 100 to 163 run, of which the
    /// second one takes 0.8 s instead of 0.1 s. Afterwards every runner is listed as a new process that is warm
    /// already.
    pub(crate) fn learn_fetch_cost(&mut self, dispatcher: &mut Dispatcher, runners: usize) {
        for n in 0..64 {
            let pair = [0, 0].map(|category| self.submit(dispatcher, category, 100 + n));
            for (work_item, run_s) in pair.into_iter().zip([0.1, 0.8]) {
                self.now += run_s;
                self.end_attempt(dispatcher, work_item, 0, Outcome::Finished);
            }
        }
        self.calls.clear();
        let restarted = |runner| {
            (
                runner,
                Some(ListedRunner {
                    started_at_s: self.now - 50.0,
                    ..listed_runner(runner as u64)
                }),
            )
        };
        dispatcher.update_list(
            self.now,
            ListUpdate::Changes,
            &(0..runners).map(restarted).collect::<Vec<_>>(),
        );
    }
    /// Submits a work item that expires in 10 s and lets the dispatcher decide.
    pub(crate) fn submit(
        &mut self,
        dispatcher: &mut Dispatcher,
        category: usize,
        key: u32,
    ) -> WorkItem {
        let expiry = self.now + 10.0;
        let work_item = dispatcher
            .submit(
                self.now,
                Job {
                    expires_at_s: expiry,
                    ..job(category, key)
                },
            )
            .unwrap();
        dispatcher.decide(self);
        work_item
    }
    /// Ends an attempt, counted from 0, with the outcome and lets the dispatcher decide.
    pub(crate) fn end_attempt(
        &mut self,
        dispatcher: &mut Dispatcher,
        work_item: WorkItem,
        attempt: u16,
        outcome: Outcome,
    ) {
        work_item.attempt_ended(
            dispatcher,
            self,
            attempt,
            outcome,
            outcome == Outcome::Finished,
        );
        dispatcher.decide(self);
    }
    /// Answers a load probe with the report and lets the dispatcher decide.
    pub(crate) fn answer_probe(
        &mut self,
        dispatcher: &mut Dispatcher,
        runner: usize,
        report: &[f32],
    ) {
        dispatcher.probe_ended(self.now, runner, Outcome::Finished, report);
        dispatcher.decide(self);
    }
    /// Advances the clock in steps of 0.1 s and lets the dispatcher decide after each.
    pub(crate) fn advance(&mut self, dispatcher: &mut Dispatcher, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.1;
            dispatcher.decide(self);
        }
    }
    /// The runners that a work item was sent to, in the order of its attempts.
    pub(crate) fn attempted_runners(&self, work_item: WorkItem) -> Vec<usize> {
        let runner_of = |call: &HostCall| {
            if let Attempt(item, runner) = call {
                (*item == work_item).then_some(*runner)
            } else {
                None
            }
        };
        self.calls.iter().filter_map(runner_of).collect()
    }
    /// The answers that the client of a work item got: `Defer` or `WriteOff`.
    pub(crate) fn final_answers(&self, work_item: WorkItem) -> Vec<HostCall> {
        let is_answer = |call: &&HostCall| matches!(call, Defer(item, _) | WriteOff(item) if *item == work_item);
        self.calls.iter().filter(is_answer).cloned().collect()
    }
}
