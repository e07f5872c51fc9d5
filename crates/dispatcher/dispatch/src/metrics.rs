//! Metrics for operators: counters since the start of this process, and the number of open requests.

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

const PREFIX: &str = "edge_relay";

/// Answered requests of one category by outcome.
#[derive(Default)]
struct OutcomeCounts {
    finished: Cell<u64>,
    deferred: Cell<u64>,
    written_off: Cell<u64>,
}

/// Counters and gauges of this process.
#[derive(Default)]
pub struct Metrics {
    /// Name and counters of each category.
    categories: Vec<(String, OutcomeCounts)>,
    /// Number of attempts that were written completely to runners.
    pub relayed: Cell<u64>,
    open: Cell<u64>,
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// A request of a client that has been read and whose reply has not been written. It is no longer counted as open when
/// this value is dropped, so that neither a panic nor a client that disconnects leaves it open for ever.
pub struct OpenRequest {
    metrics: Rc<Metrics>,
    category: usize,
}

impl OpenRequest {
    /// Counts a request of a category as open.
    pub fn new(metrics: &Rc<Metrics>, category: usize) -> OpenRequest {
        increment(&metrics.open);
        OpenRequest {
            metrics: metrics.clone(),
            category,
        }
    }

    /// Counts the request's outcome by the HTTP status of its reply, which has been written.
    pub fn answered(self, status: u16) {
        let (_, counts) = &self.metrics.categories[self.category];
        increment(match status {
            200 => &counts.finished,
            429 | 503 => &counts.deferred,
            _ => &counts.written_off,
        });
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open = &self.metrics.open;
        open.set(open.get() - 1);
    }
}

impl Metrics {
    /// Metrics with all values 0, for the categories of these names.
    pub fn new(categories: &[String]) -> Rc<Metrics> {
        let categories = categories
            .iter()
            .map(|name| (name.clone(), OutcomeCounts::default()))
            .collect();
        Rc::new(Metrics {
            categories,
            ..Metrics::default()
        })
    }

    /// Counts an attempt that was written completely to a runner.
    pub fn count_relayed(&self) {
        increment(&self.relayed);
    }

    /// All metrics in the statsd format, one on each line. `listed` is the number of runners in the endpoint list, and
    /// `avoided` is how many of them get no attempts now.
    pub fn render(&self, listed: usize, avoided: usize) -> String {
        let mut lines = String::new();
        for (name, counts) in &self.categories {
            let counts = [&counts.finished, &counts.deferred, &counts.written_off];
            for (outcome, count) in ["fulfilled", "throttled", "faulted"].iter().zip(counts) {
                let _ = writeln!(
                    lines,
                    "{PREFIX}.operations.{name}.{outcome}:{}|c",
                    count.get()
                );
            }
        }
        let _ = writeln!(lines, "{PREFIX}.relayed:{}|c", self.relayed.get());
        let _ = writeln!(lines, "{PREFIX}.open_requests:{}|g", self.open.get());
        let _ = writeln!(lines, "{PREFIX}.registry_entries:{listed}|g");
        let _ = writeln!(lines, "{PREFIX}.out_of_rotation:{avoided}|g");
        lines
    }
}
