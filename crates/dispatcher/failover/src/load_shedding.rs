//! Load shedding when the remaining capacity does not suffice. The categories with the lowest payoff for the capacity
//! they use are rejected first, down to a floor that each category keeps.

/// Capacity that a category asks for.
#[derive(Clone, Copy, Debug)]
pub struct CategoryDemand {
    /// Slots that the category would occupy if all of it were admitted.
    pub slots: f64,
    /// Payoff of one slot for one second of the category's work.
    pub payoff_per_slot_s: f64,
    /// Position in the plan's order of rejection. Lower positions are rejected first, and all of them before the
    /// categories with `None`, which the plan does not list.
    pub shed_position: Option<usize>,
}

/// The share of each category that is admitted, from 0 to 1, so that all together fit into `capacity` slots. Each
/// category keeps at least the share `floor` of its demand. Categories of equal rank get the same share.
pub fn admitted_fractions(demands: &[CategoryDemand], capacity: f64, floor: f64) -> Vec<f64> {
    let total_slots: f64 = demands.iter().map(|demand| demand.slots).sum();
    if total_slots <= capacity {
        return vec![1.0; demands.len()];
    }
    let mut shares = vec![floor; demands.len()];
    let mut free_slots = (capacity - floor * total_slots).max(0.0);
    // The categories with the highest payoff are filled up first. Those in the plan's order come last, and the first
    // of that order is the very last.
    let rank = |n: usize| {
        (
            demands[n]
                .shed_position
                .map_or(usize::MAX, |position| position),
            demands[n].payoff_per_slot_s,
        )
    };
    let mut by_rank: Vec<usize> = (0..demands.len()).collect();
    by_rank.sort_by(|a, b| {
        rank(*b)
            .0
            .cmp(&rank(*a).0)
            .then(rank(*b).1.total_cmp(&rank(*a).1))
    });
    let mut start = 0;
    while start < by_rank.len() && free_slots > 0.0 {
        let group_len = by_rank[start..]
            .iter()
            .take_while(|n| rank(**n) == rank(by_rank[start]))
            .count();
        let group = &by_rank[start..start + group_len];
        let wanted_slots: f64 = group
            .iter()
            .map(|n| (1.0 - floor) * demands[*n].slots)
            .sum();
        let share = if wanted_slots > 0.0 {
            (free_slots / wanted_slots).min(1.0)
        } else {
            1.0
        };
        group
            .iter()
            .for_each(|n| shares[*n] = floor + (1.0 - floor) * share);
        free_slots -= share * wanted_slots;
        start += group_len;
    }
    shares
}
