//! How fast a runner works, and whether it is a straggler: the progress of its runs against their estimates.
//!
//! A run's estimate is rough, so single runs say little. The pace of a runner is the estimated work that all its runs
//! have done lately over the time that they took; it is compared with the median of its service, as in speculative
//! execution by progress rate (Zaharia et al., "Improving MapReduce Performance in Heterogeneous Environments", OSDI
//! 2008, section 3). A straggler gets no new starts until its evidence has gone stale; then it is tried with a few.

use sagetrail_protocol::Time;

/// Evidence weighs half after so long, in milliseconds.
const HALF_LIFE_MS: f64 = 400.0;
/// Less time of runs than this says nothing of a runner, in milliseconds: some three runs over the half-life.
const MIN_EVIDENCE_MS: f64 = 1_500.0;
/// Progress of a run is taken in at this distance, in microseconds: it is reported in hundredths.
const SAMPLE_INTERVAL_US: u64 = 100_000;
/// Two reports further apart than this are not compared, in microseconds: the agent was out of touch.
const MAX_SAMPLE_US: u64 = 2_000_000;
/// A runner is a straggler below this part of its service's median pace.
const STRAGGLER_BELOW: f64 = 0.35;
/// It is none any more above this part.
const SOUND_ABOVE: f64 = 0.6;
/// A straggler without fresh evidence is tried again after so long, in milliseconds.
const TRIAL_AFTER_MS: u64 = 1_000;
/// How many runs a straggler on trial has at most.
const TRIAL_RUNS: u32 = 5;
/// A trial that brings no evidence ends after so long, in milliseconds: what runs there may tell nothing of its pace.
const TRIAL_MS: u64 = 3_000;
/// With fewer runners of a known pace a service has no median.
const MIN_RUNNERS: usize = 4;
const MICROS_PER_MS: f64 = 1_000.0;

/// What a run did between two reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Progress {
    /// Work by the run's estimate, in milliseconds.
    pub work_ms: f64,
    /// The time that it took, in milliseconds.
    pub time_ms: f64,
}

/// Where a run was at a report.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Sample {
    /// By the agent's steady clock, in microseconds.
    at_us: u64,
    percent: u8,
}

/// The progress of one run as its runner's reports tell it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RunProgress {
    /// How long the run should take at its runner, in milliseconds; 0 where its progress says nothing of the runner.
    pub expected_ms: f64,
    sample: Option<Sample>,
}

impl RunProgress {
    /// A run that should take so long.
    pub(crate) fn new(expected_ms: f64) -> RunProgress {
        RunProgress {
            expected_ms,
            sample: None,
        }
    }

    /// Takes in a report. Returns what was done since the sample before, where that is far enough back.
    pub(crate) fn advance(&mut self, at_us: u64, percent: u8) -> Option<Progress> {
        let next = Sample { at_us, percent };
        let Some(last) = self.sample else {
            self.sample = Some(next);
            return None;
        };
        let elapsed_us = at_us.saturating_sub(last.at_us);
        if at_us >= last.at_us && elapsed_us < SAMPLE_INTERVAL_US {
            return None;
        }
        self.sample = Some(next);
        // Another life of the agent has another clock.
        let is_comparable = at_us > last.at_us && elapsed_us <= MAX_SAMPLE_US;
        (is_comparable && self.expected_ms > 0.0 && percent < 100).then(|| Progress {
            work_ms: f64::from(percent.saturating_sub(last.percent)) / 100.0 * self.expected_ms,
            time_ms: elapsed_us as f64 / MICROS_PER_MS,
        })
    }
}

/// What is made of a runner's pace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PaceVerdict {
    /// As fast as others, or nothing is known of it.
    #[default]
    Sound,
    /// Much slower than others.
    Straggler,
    /// It was a straggler and is tried with a few runs.
    OnTrial,
}

/// The pace of one runner.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunnerPace {
    /// Work done by runs by their estimates, decayed, in milliseconds.
    work_ms: f64,
    /// The time that they took, decayed alike, in milliseconds.
    time_ms: f64,
    updated_at: Time,
    /// When there was last enough evidence, or a trial began.
    known_at: Time,
    verdict: PaceVerdict,
}

impl RunnerPace {
    /// Takes in what a run has done.
    pub(crate) fn record(&mut self, now: Time, progress: Progress) {
        self.decay(now);
        self.work_ms += progress.work_ms;
        self.time_ms += progress.time_ms;
    }

    fn decay(&mut self, now: Time) {
        let decay = 0.5f64.powf(now.millis_since(self.updated_at) as f64 / HALF_LIFE_MS);
        self.work_ms *= decay;
        self.time_ms *= decay;
        self.updated_at = now;
    }

    /// Estimated work for each unit of time; `None` without enough evidence.
    pub(crate) fn pace(&self) -> Option<f64> {
        (self.time_ms >= MIN_EVIDENCE_MS).then(|| self.work_ms / self.time_ms)
    }

    /// Compares the runner with its service; `median` is that service's, where it has one.
    pub(crate) fn judge(&mut self, now: Time, median: Option<f64>) {
        self.decay(now);
        let relative = self.pace().zip(median).map(|(pace, median)| pace / median);
        let Some(relative) = relative else {
            return self.judge_without_evidence(now);
        };
        self.known_at = now;
        if relative < STRAGGLER_BELOW {
            self.verdict = PaceVerdict::Straggler;
        } else if relative > SOUND_ABOVE {
            self.verdict = PaceVerdict::Sound;
        }
    }

    /// A straggler is tried again after a while; a trial without evidence is over after a while.
    fn judge_without_evidence(&mut self, now: Time) {
        let unknown_ms = now.millis_since(self.known_at);
        match self.verdict {
            PaceVerdict::Straggler if unknown_ms >= TRIAL_AFTER_MS => {
                self.verdict = PaceVerdict::OnTrial;
                self.known_at = now;
            }
            PaceVerdict::OnTrial if unknown_ms >= TRIAL_MS => self.verdict = PaceVerdict::Sound,
            _ => {}
        }
    }

    /// What is made of it.
    pub(crate) fn verdict(&self) -> PaceVerdict {
        self.verdict
    }

    /// True where it is much slower than others.
    pub(crate) fn is_straggler(&self) -> bool {
        self.verdict == PaceVerdict::Straggler
    }

    /// How many more runs may start there beside so many, as far as its pace goes. Those at a straggler are for work
    /// that finds no other runner.
    pub(crate) fn max_starts(&self, assigned: usize) -> u32 {
        match self.verdict {
            PaceVerdict::Sound | PaceVerdict::Straggler => u32::MAX,
            PaceVerdict::OnTrial => TRIAL_RUNS.saturating_sub(assigned as u32),
        }
    }
}

/// The median of the paces of a service's runners; `None` where too few are known.
pub(crate) fn median_pace(mut paces: Vec<f64>) -> Option<f64> {
    if paces.len() < MIN_RUNNERS {
        return None;
    }
    paces.sort_by(f64::total_cmp);
    Some(paces[paces.len() / 2]).filter(|median| *median > 0.0)
}
