//! Counts of the work items that this member accepted.

/// Counts work items by category, in total and in the busiest second.
pub(super) struct ArrivalCounter {
    totals: Vec<u64>,
    /// Second on the caller's clock that `in_second` counts.
    second: u64,
    in_second: Vec<u32>,
    peaks: Vec<u32>,
}

impl ArrivalCounter {
    pub(super) fn new(category_count: usize) -> Self {
        ArrivalCounter {
            totals: vec![0; category_count],
            second: 0,
            in_second: vec![0; category_count],
            peaks: vec![0; category_count],
        }
    }

    /// Counts a work item. A work item of an unknown category is ignored.
    pub(super) fn record(&mut self, now_s: f64, category: usize) {
        let Some(total) = self.totals.get_mut(category) else {
            return;
        };
        *total += 1;
        let second = now_s as u64;
        if second != self.second {
            self.second = second;
            self.in_second.fill(0);
        }
        self.in_second[category] += 1;
        self.peaks[category] = self.peaks[category].max(self.in_second[category]);
    }

    /// Number of work items since the start, by category.
    pub(super) fn totals(&self) -> &[u64] {
        &self.totals
    }

    /// Number of work items in the busiest second so far, by category.
    pub(super) fn peaks(&self) -> &[u32] {
        &self.peaks
    }
}
