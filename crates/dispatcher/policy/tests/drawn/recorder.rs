//! A host that keeps all that it is told as bytes, and hands on what must be carried out.
use sagetrail_policy::{Host, WorkItem};
use std::collections::VecDeque;

/// What the dispatcher wants carried out.
pub(crate) enum Wanted {
    Attempt {
        work_item: WorkItem,
        runner: usize,
        drop_at: f64,
    },
    Cancel {
        work_item: WorkItem,
        attempt: u16,
    },
    Probe(usize),
    Watch,
    Forget(WorkItem),
}

/// The kinds of decisions; the numbers are part of the digests.
#[derive(Clone, Copy)]
pub(crate) enum Kind {
    Attempt = 1,
    Defer = 2,
    WriteOff = 3,
    Cancel = 4,
    Probe = 5,
    Forget = 6,
    Wake = 7,
    Watch = 8,
    Doubt = 9,
    Log = 10,
    /// A figure that a dispatcher tells when asked.
    Figure = 11,
}
pub(crate) const KINDS: usize = 12;

#[derive(Default)]
pub(crate) struct Recorder {
    pub(crate) now: f64,
    /// The earliest wake asked for and not yet come.
    pub(crate) wake_at: Option<f64>,
    pub(crate) wanted: VecDeque<Wanted>,
    pub(crate) decisions: Vec<u8>,
    /// How many of each kind there were.
    pub(crate) counts: [u64; KINDS],
}

impl Recorder {
    fn decision(&mut self, kind: Kind, numbers: &[u64]) {
        self.counts[kind as usize] += 1;
        self.decisions.push(kind as u8);
        self.decisions.extend(self.now.to_bits().to_be_bytes());
        for number in numbers {
            self.decisions.extend(number.to_be_bytes());
        }
    }

    /// Keeps what the dispatcher said of itself.
    pub(crate) fn figures(&mut self, figures: &[f64]) {
        let bits: Vec<u64> = figures.iter().map(|figure| figure.to_bits()).collect();
        self.decision(Kind::Figure, &bits);
    }
}

fn number(work_item: WorkItem) -> u64 {
    u64::from(work_item.0)
}

impl Host for Recorder {
    fn now(&self) -> f64 {
        self.now
    }

    fn send_attempt(&mut self, work_item: WorkItem, runner: usize, drop_at: f64, begin_by: f64) {
        let times = [drop_at.to_bits(), begin_by.to_bits()];
        let numbers = [number(work_item), runner as u64, times[0], times[1]];
        self.decision(Kind::Attempt, &numbers);
        self.wanted.push_back(Wanted::Attempt {
            work_item,
            runner,
            drop_at,
        });
    }

    fn defer(&mut self, work_item: WorkItem, retry_after_s: f64) {
        let numbers = [number(work_item), retry_after_s.to_bits()];
        self.decision(Kind::Defer, &numbers);
    }

    fn write_off(&mut self, work_item: WorkItem) {
        self.decision(Kind::WriteOff, &[number(work_item)]);
    }

    fn cancel(&mut self, work_item: WorkItem, attempt: u16) {
        let numbers = [number(work_item), u64::from(attempt)];
        self.decision(Kind::Cancel, &numbers);
        self.wanted.push_back(Wanted::Cancel { work_item, attempt });
    }

    fn probe(&mut self, runner: usize) {
        self.decision(Kind::Probe, &[runner as u64]);
        self.wanted.push_back(Wanted::Probe(runner));
    }

    fn release_handle(&mut self, work_item: WorkItem) {
        self.decision(Kind::Forget, &[number(work_item)]);
        self.wanted.push_back(Wanted::Forget(work_item));
    }

    fn wake_in(&mut self, in_s: f64) {
        self.decision(Kind::Wake, &[in_s.to_bits()]);
        let at = self.now + in_s;
        self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
    }

    fn request_list(&mut self) {
        self.decision(Kind::Watch, &[]);
        self.wanted.push_back(Wanted::Watch);
    }

    fn runner_silent(&mut self, runner: usize) {
        self.decision(Kind::Doubt, &[runner as u64]);
    }

    /// A line is for people and may be worded anew; that there is one is a decision.
    fn log(&mut self, runner: usize, _line: &str) {
        self.decision(Kind::Log, &[runner as u64]);
    }
}
