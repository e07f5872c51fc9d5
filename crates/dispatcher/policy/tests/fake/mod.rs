//! One tiny host that writes down what it is asked to do, and short ways to say things to a dispatcher.

use sagetrail_policy::*;

#[derive(Debug, PartialEq, Clone)]
pub(crate) enum Asked {
    Attempt(WorkItem, usize),
    Defer(WorkItem, f64),
    WriteOff(WorkItem),
    Cancel(WorkItem, u16),
    Watch,
    Probe(usize),
}
pub(crate) use Asked::*;

#[derive(Default)]
pub(crate) struct Fake {
    pub now: f64,
    pub asked: Vec<Asked>,
    pub wake: f64,
    pub logged: Vec<String>,
}

impl Host for Fake {
    fn now(&self) -> f64 {
        self.now
    }
    fn send_attempt(&mut self, work_item: WorkItem, runner: usize, _: f64, _: f64) {
        self.asked.push(Attempt(work_item, runner));
    }
    fn defer(&mut self, work_item: WorkItem, retry_after_s: f64) {
        self.asked.push(Defer(work_item, retry_after_s));
    }
    fn write_off(&mut self, work_item: WorkItem) {
        self.asked.push(WriteOff(work_item));
    }
    fn cancel(&mut self, work_item: WorkItem, attempt: u16) {
        self.asked.push(Cancel(work_item, attempt));
    }
    fn probe(&mut self, runner: usize) {
        self.asked.push(Probe(runner));
    }
    fn release_handle(&mut self, _: WorkItem) {}
    fn wake_in(&mut self, in_s: f64) {
        self.wake = self.now + in_s;
    }
    fn request_list(&mut self) {
        self.asked.push(Watch);
    }
    fn log(&mut self, runner: usize, line: &str) {
        self.logged.push(format!("{runner} {line}"));
    }
}

pub(crate) const CATEGORIES: [Repeat; 4] = [
    Repeat::Idempotent,
    Repeat::Keyed(Scope::Cell),
    Repeat::AtMostOnce,
    Repeat::Keyed(Scope::All),
];

pub(crate) fn terms() -> PolicyConfig {
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

pub(crate) fn runner(id: u64) -> ListedRunner {
    ListedRunner {
        id,
        kind: 0,
        started_at_s: f64::NEG_INFINITY,
        cell: id as u16,
        zone: 0,
        ready: true,
    }
}

/// A dispatcher with so many ready runners, each a cell of its own, at 100 s.
pub(crate) fn start(terms: PolicyConfig, runners: usize) -> (Dispatcher, Fake) {
    let mut d = Dispatcher::new(terms.clone(), 7 + terms.dispatcher_index as u64, 100.0);
    let entries: Vec<_> = (0..runners).map(|r| (r, Some(runner(r as u64)))).collect();
    d.update_list(100.0, ListUpdate::Cached, &entries);
    (
        d,
        Fake {
            now: 100.0,
            ..Fake::default()
        },
    )
}

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

impl Fake {
    /// Work of other keys, in pairs whose second takes longer away from home: what a fetch costs is known.
    /// Then all runners are new processes, warm.
    pub(crate) fn learn_fetches(&mut self, d: &mut Dispatcher, runners: usize) {
        for n in 0..64 {
            let both = [0, 0].map(|category| self.take(d, category, 100 + n));
            for (work_item, takes_s) in both.into_iter().zip([0.1, 0.8]) {
                self.now += takes_s;
                self.come(d, work_item, 0, Outcome::Finished);
            }
        }
        self.asked.clear();
        let fresh = |r| {
            (
                r,
                Some(ListedRunner {
                    started_at_s: self.now - 50.0,
                    ..runner(r as u64)
                }),
            )
        };
        d.update_list(
            self.now,
            ListUpdate::Changes,
            &(0..runners).map(fresh).collect::<Vec<_>>(),
        );
    }
    pub(crate) fn take(&mut self, d: &mut Dispatcher, category: usize, key: u32) -> WorkItem {
        let expiry = self.now + 10.0;
        let work_item = d
            .submit(
                self.now,
                Job {
                    expires_at_s: expiry,
                    ..job(category, key)
                },
            )
            .unwrap();
        d.decide(self);
        work_item
    }
    pub(crate) fn come(
        &mut self,
        d: &mut Dispatcher,
        work_item: WorkItem,
        no: u16,
        outcome: Outcome,
    ) {
        work_item.attempt_ended(d, self, no, outcome, outcome == Outcome::Finished);
        d.decide(self);
    }
    pub(crate) fn probed(&mut self, d: &mut Dispatcher, runner: usize, report: &[f32]) {
        d.probe_ended(self.now, runner, Outcome::Finished, report);
        d.decide(self);
    }
    /// Lets time pass in looks.
    pub(crate) fn pass(&mut self, d: &mut Dispatcher, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.1;
            d.decide(self);
        }
    }
    pub(crate) fn sent_to(&self, work_item: WorkItem) -> Vec<usize> {
        let to = |a: &Asked| {
            if let Attempt(w, r) = a {
                (*w == work_item).then_some(*r)
            } else {
                None
            }
        };
        self.asked.iter().filter_map(to).collect()
    }
    pub(crate) fn ends(&self, work_item: WorkItem) -> Vec<Asked> {
        let end = |a: &&Asked| matches!(a, Defer(w, _) | WriteOff(w) if *w == work_item);
        self.asked.iter().filter(end).cloned().collect()
    }
}
