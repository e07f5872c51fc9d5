//! Measures how fast a runner works from the progress of its runs against their estimates, and detects stragglers.
//!
//! The estimate of a run is rough, so a single run is little evidence. The pace of a runner is therefore the estimated
//! work that all its runs have recently done, divided by the time that they took. It is compared with the median pace
//! of the runner's service, as in speculative execution by progress rate (Zaharia et al., "Improving MapReduce
//! Performance in Heterogeneous Environments", OSDI 2008, section 3). A straggler gets no new starts, except for work
//! that finds no other runner, until its evidence is stale; then it is on trial with a few runs.

use sagetrail_protocol::Time;

/// The half-life of evidence, in milliseconds.
const HALF_LIFE_MS: f64 = 400.0;
/// The minimum decayed time of all runs together, in milliseconds, from which a runner's pace is known. It corresponds
/// to about three runs over the half-life.
const MIN_EVIDENCE_MS: f64 = 1_500.0;
/// The minimum interval between two progress samples of a run, in microseconds. Shorter intervals would be too coarse,
/// because progress is reported in percent.
const SAMPLE_INTERVAL_US: u64 = 100_000;
/// The maximum interval between two samples that are compared, in microseconds. After a longer one the agent was out of
/// touch.
const MAX_SAMPLE_US: u64 = 2_000_000;
/// The share of its service's median pace below which a runner becomes a straggler.
const STRAGGLER_BELOW: f64 = 0.35;
/// The share of its service's median pace above which a runner is no longer a straggler.
const NORMAL_ABOVE: f64 = 0.6;
/// The time without recent evidence after which a straggler is put on trial, in milliseconds.
const TRIAL_AFTER_MS: u64 = 1_000;
/// The maximum number of runs at a runner that is on trial.
const TRIAL_RUNS: u32 = 5;
/// The time after which a trial without evidence ends, in milliseconds. The runs there may be of a kind whose progress
/// gives no evidence of the runner's pace.
const TRIAL_MS: u64 = 3_000;
/// The minimum number of runners of known pace from which a service has a median pace.
const MIN_RUNNERS: usize = 4;
/// The number of microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// The progress that a run made between two samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Progress {
    /// The work done, in milliseconds of the run's estimate.
    pub work_ms: f64,
    /// The time that the work took, in milliseconds.
    pub time_ms: f64,
}

/// The progress of a run at one report.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Sample {
    /// The time of the report by the agent's steady clock, in microseconds.
    at_us: u64,
    /// The run's progress, in percent.
    percent: u8,
}

/// The progress of one run, sampled from the reports of its runner's agent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RunProgress {
    /// The time that the run should take at its runner, in milliseconds; 0 if the run's progress gives no evidence of
    /// the runner's pace.
    pub expected_ms: f64,
    /// The newest sample; `None` before the first one.
    sample: Option<Sample>,
}

impl RunProgress {
    /// Creates the state of a run that should take `expected_ms`, before its first sample.
    pub(crate) fn new(expected_ms: f64) -> RunProgress {
        RunProgress {
            expected_ms,
            sample: None,
        }
    }

    /// Takes the progress from a report. Returns the progress since the previous sample; `None` if that sample is too
    /// recent or cannot be compared, or if the run is no evidence of the runner's pace.
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
        // The steady clock starts anew when the agent restarts, so a time that went back cannot be compared.
        let is_comparable = at_us > last.at_us && elapsed_us <= MAX_SAMPLE_US;
        (is_comparable && self.expected_ms > 0.0 && percent < 100).then(|| Progress {
            work_ms: f64::from(percent.saturating_sub(last.percent)) / 100.0 * self.expected_ms,
            time_ms: elapsed_us as f64 / MICROS_PER_MS,
        })
    }
}

/// The classification of a runner by its pace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PaceVerdict {
    /// The runner is not much slower than others, or its pace is unknown.
    #[default]
    Normal,
    /// The runner is much slower than others.
    Straggler,
    /// The runner was a straggler and gets a few runs to find out whether it still is.
    OnTrial,
}

/// The pace of one runner, with the evidence for it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunnerPace {
    /// The work done by the runner's runs, decayed, in milliseconds of their estimates.
    work_ms: f64,
    /// The time that this work took, decayed in the same way, in milliseconds.
    time_ms: f64,
    /// The time of the last decay.
    updated_at: Time,
    /// The time at which there was last enough evidence, or at which the trial began.
    known_at: Time,
    /// The runner's current classification.
    verdict: PaceVerdict,
}

impl RunnerPace {
    /// Adds the progress that a run has made.
    pub(crate) fn record(&mut self, now: Time, progress: Progress) {
        self.decay(now);
        self.work_ms += progress.work_ms;
        self.time_ms += progress.time_ms;
    }

    /// Decays the evidence to its weight at `now`.
    fn decay(&mut self, now: Time) {
        let decay = 0.5f64.powf(now.millis_since(self.updated_at) as f64 / HALF_LIFE_MS);
        self.work_ms *= decay;
        self.time_ms *= decay;
        self.updated_at = now;
    }

    /// Returns the runner's pace, which is estimated work divided by the time it took; `None` without enough evidence.
    pub(crate) fn pace(&self) -> Option<f64> {
        (self.time_ms >= MIN_EVIDENCE_MS).then(|| self.work_ms / self.time_ms)
    }

    /// Classifies the runner by its pace relative to `median`, the median pace of its service; `None` if the service
    /// has no median.
    pub(crate) fn judge(&mut self, now: Time, median: Option<f64>) {
        self.decay(now);
        let relative = self.pace().zip(median).map(|(pace, median)| pace / median);
        let Some(relative) = relative else {
            return self.judge_without_evidence(now);
        };
        self.known_at = now;
        if relative < STRAGGLER_BELOW {
            self.verdict = PaceVerdict::Straggler;
        } else if relative > NORMAL_ABOVE {
            self.verdict = PaceVerdict::Normal;
        }
    }

    /// Puts a straggler on trial once its evidence is stale, and ends a trial that has given no evidence.
    fn judge_without_evidence(&mut self, now: Time) {
        let unknown_ms = now.millis_since(self.known_at);
        match self.verdict {
            PaceVerdict::Straggler if unknown_ms >= TRIAL_AFTER_MS => {
                self.verdict = PaceVerdict::OnTrial;
                self.known_at = now;
            }
            PaceVerdict::OnTrial if unknown_ms >= TRIAL_MS => self.verdict = PaceVerdict::Normal,
            _ => {}
        }
    }

    /// Returns the runner's classification.
    pub(crate) fn verdict(&self) -> PaceVerdict {
        self.verdict
    }

    /// Returns true if the runner is much slower than others.
    pub(crate) fn is_straggler(&self) -> bool {
        self.verdict == PaceVerdict::Straggler
    }

    /// Returns how many more runs the runner's pace allows to start beside the `assigned` ones. A straggler has no
    /// limit, because only work that finds no other runner starts there.
    pub(crate) fn max_starts(&self, assigned: usize) -> u32 {
        match self.verdict {
            PaceVerdict::Normal | PaceVerdict::Straggler => u32::MAX,
            PaceVerdict::OnTrial => TRIAL_RUNS.saturating_sub(assigned as u32),
        }
    }
}

/// Returns the median of the known paces of a service's runners; `None` if there are too few or if the median is zero.
pub(crate) fn median_pace(mut paces: Vec<f64>) -> Option<f64> {
    if paces.len() < MIN_RUNNERS {
        return None;
    }
    paces.sort_by(f64::total_cmp);
    Some(paces[paces.len() / 2]).filter(|median| *median > 0.0)
}
