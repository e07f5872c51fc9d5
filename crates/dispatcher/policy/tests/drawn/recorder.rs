//! A host that records all calls of the dispatcher as bytes, and queues the actions that the history must perform.
use sagetrail_policy::{Host, WorkItem};
use std::collections::VecDeque;

/// An action that the dispatcher has requested.
pub(crate) enum Action {
    Attempt {
        work_item: WorkItem,
        runner: usize,
        drop_at_s: f64,
    },
    Cancel {
        work_item: WorkItem,
        attempt: u16,
    },
    Probe(usize),
    RequestList,
    ReleaseHandle(WorkItem),
}

/// The kinds of decisions; the numbers are part of the digests.
#[derive(Clone, Copy)]
pub(crate) enum Kind {
    Attempt = 1,
    Defer = 2,
    WriteOff = 3,
    Cancel = 4,
    Probe = 5,
    /// The release of a handle.
    Forget = 6,
    /// The request for a wake-up.
    Wake = 7,
    /// The request for the runner list.
    Watch = 8,
    /// Silence that has been counted against a runner.
    Doubt = 9,
    Log = 10,
    /// A figure that the history has read from the dispatcher.
    Figure = 11,
}
/// The length of an array that is indexed by the numbers of the kinds.
pub(crate) const KINDS: usize = 12;

/// Records decisions, and queues actions.
#[derive(Default)]
pub(crate) struct Recorder {
    /// The present instant in seconds.
    pub(crate) now: f64,
    /// The instant in seconds of the earliest requested wake-up that is still to come.
    pub(crate) wake_at_s: Option<f64>,
    pub(crate) actions: VecDeque<Action>,
    /// Each decision as its kind, its instant and its numbers.
    pub(crate) decisions: Vec<u8>,
    /// The number of decisions of each kind.
    pub(crate) counts: [u64; KINDS],
}

impl Recorder {
    fn record(&mut self, kind: Kind, numbers: &[u64]) {
        self.counts[kind as usize] += 1;
        self.decisions.push(kind as u8);
        self.decisions.extend(self.now.to_bits().to_be_bytes());
        for number in numbers {
            self.decisions.extend(number.to_be_bytes());
        }
    }

    /// Records figures that were read from the dispatcher.
    pub(crate) fn record_figures(&mut self, figures: &[f64]) {
        let bits: Vec<u64> = figures.iter().map(|figure| figure.to_bits()).collect();
        self.record(Kind::Figure, &bits);
    }
}

fn number(work_item: WorkItem) -> u64 {
    u64::from(work_item.0)
}

impl Host for Recorder {
    fn now(&self) -> f64 {
        self.now
    }

    fn send_attempt(
        &mut self,
        work_item: WorkItem,
        runner: usize,
        drop_at_s: f64,
        begin_by_s: f64,
    ) {
        let times = [drop_at_s.to_bits(), begin_by_s.to_bits()];
        let numbers = [number(work_item), runner as u64, times[0], times[1]];
        self.record(Kind::Attempt, &numbers);
        self.actions.push_back(Action::Attempt {
            work_item,
            runner,
            drop_at_s,
        });
    }

    fn defer(&mut self, work_item: WorkItem, retry_after_s: f64) {
        let numbers = [number(work_item), retry_after_s.to_bits()];
        self.record(Kind::Defer, &numbers);
    }

    fn write_off(&mut self, work_item: WorkItem) {
        self.record(Kind::WriteOff, &[number(work_item)]);
    }

    fn cancel(&mut self, work_item: WorkItem, attempt: u16) {
        let numbers = [number(work_item), u64::from(attempt)];
        self.record(Kind::Cancel, &numbers);
        self.actions
            .push_back(Action::Cancel { work_item, attempt });
    }

    fn probe(&mut self, runner: usize) {
        self.record(Kind::Probe, &[runner as u64]);
        self.actions.push_back(Action::Probe(runner));
    }

    fn release_handle(&mut self, work_item: WorkItem) {
        self.record(Kind::Forget, &[number(work_item)]);
        self.actions.push_back(Action::ReleaseHandle(work_item));
    }

    fn wake_in(&mut self, in_s: f64) {
        self.record(Kind::Wake, &[in_s.to_bits()]);
        let wake_at_s = self.now + in_s;
        self.wake_at_s = Some(
            self.wake_at_s
                .map_or(wake_at_s, |earlier| earlier.min(wake_at_s)),
        );
    }

    fn request_list(&mut self) {
        self.record(Kind::Watch, &[]);
        self.actions.push_back(Action::RequestList);
    }

    fn runner_silent(&mut self, runner: usize) {
        self.record(Kind::Doubt, &[runner as u64]);
    }

    /// Records that a line is logged but not its text, which may be reworded.
    fn log(&mut self, runner: usize, _line: &str) {
        self.record(Kind::Log, &[runner as u64]);
    }
}
