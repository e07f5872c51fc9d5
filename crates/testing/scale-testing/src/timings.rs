//! The times that are taken, as HDR histograms.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// The longest time that is told from longer ones, in microseconds.
const LONGEST_US: u64 = 600_000_000;
const DIGITS: u8 = 3;
const US_IN_MS: f64 = 1_000.0;

/// What is timed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Timing {
    /// A submission left later than drawn: the tool's own delay.
    SendDelay,
    /// A write and sync on the folder of the processes' disks, by this process: the machine's own delay.
    DiskSync,
    /// From the planned time of a submission to its acceptance.
    SubmitToAccept,
    /// From the planned time of a submission to the first start of one of its tasks.
    SubmitToFirstStart,
    /// From the end of a job's last task at its runner until a client reads that the job is completed.
    EndToDone,
    /// From the acceptance of a configuration change until every frontend has it.
    ChangeToInForce,
}

impl Timing {
    /// The name in results.
    pub fn name(self) -> &'static str {
        match self {
            Timing::SendDelay => "send_delay",
            Timing::DiskSync => "disk_sync",
            Timing::SubmitToAccept => "submit_to_accept",
            Timing::SubmitToFirstStart => "submit_to_first_start",
            Timing::EndToDone => "end_to_done",
            Timing::ChangeToInForce => "change_to_in_force",
        }
    }
}

/// All histograms, by what is timed and for whom (a shape's name, or `all`).
#[derive(Default)]
pub struct Timings {
    histograms: Mutex<BTreeMap<(Timing, String), Histogram<u64>>>,
}

/// A histogram in figures, in milliseconds.
#[derive(Serialize, Clone, Debug)]
pub struct TimingRow {
    /// What is timed, by `Timing::name`.
    pub timing: String,
    /// For whom: a shape's name, or `all`.
    pub of: String,
    /// The number of times.
    pub count: u64,
    /// The mean, in milliseconds.
    pub mean_ms: f64,
    /// The median, in milliseconds.
    pub p50_ms: f64,
    /// The 90th percentile, in milliseconds.
    pub p90_ms: f64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// The 99.9th percentile, in milliseconds.
    pub p999_ms: f64,
    /// The maximum, in milliseconds.
    pub max_ms: f64,
}

impl Timings {
    /// Takes one time.
    pub fn record(&self, timing: Timing, of: &str, time: Duration) {
        let mut histograms = self.histograms.lock().expect("no holder panics");
        let histogram = histograms
            .entry((timing, of.to_owned()))
            .or_insert_with(empty);
        histogram.saturating_record((time.as_micros() as u64).max(1));
    }

    /// All histograms in figures.
    pub fn rows(&self) -> Vec<TimingRow> {
        let histograms = self.histograms.lock().expect("no holder panics");
        histograms
            .iter()
            .map(|((timing, of), histogram)| row(*timing, of, histogram))
            .collect()
    }
}

fn empty() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("sound bounds")
}

fn row(timing: Timing, of: &str, histogram: &Histogram<u64>) -> TimingRow {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / US_IN_MS;
    TimingRow {
        timing: timing.name().to_owned(),
        of: of.to_owned(),
        count: histogram.len(),
        mean_ms: histogram.mean() / US_IN_MS,
        p50_ms: at(0.5),
        p90_ms: at(0.9),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        max_ms: histogram.max() as f64 / US_IN_MS,
    }
}
