//! What is refused first when what remains does not bear all: by payoff for the capacity it costs, lowest first, down
//! to a floor that each category keeps.

/// What a category asks for.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Slots that it would fill, all of it.
    pub slots: f64,
    /// What a slot's second of it pays.
    pub worth: f64,
    /// Said by the plan: those with a lower number are refused first, before any without one.
    pub order: Option<usize>,
}

/// The part of each category that is let in, so that all together fit `capacity` slots. Each keeps `floor` of what it
/// asks for; between equals the same part of each is let in.
pub fn admitted(demands: &[Demand], capacity: f64, floor: f64) -> Vec<f64> {
    let all: f64 = demands.iter().map(|demand| demand.slots).sum();
    if all <= capacity {
        return vec![1.0; demands.len()];
    }
    let mut parts = vec![floor; demands.len()];
    let mut left = (capacity - floor * all).max(0.0);
    // The dearest are filled up first; those in the plan's order come last, the first of it last of all.
    let rank = |n: usize| {
        (
            demands[n].order.map_or(usize::MAX, |order| order),
            demands[n].worth,
        )
    };
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| {
        rank(*b)
            .0
            .cmp(&rank(*a).0)
            .then(rank(*b).1.total_cmp(&rank(*a).1))
    });
    let mut at = 0;
    while at < order.len() && left > 0.0 {
        let alike = order[at..]
            .iter()
            .take_while(|n| rank(**n) == rank(order[at]))
            .count();
        let group = &order[at..at + alike];
        let wants: f64 = group
            .iter()
            .map(|n| (1.0 - floor) * demands[*n].slots)
            .sum();
        let part = if wants > 0.0 {
            (left / wants).min(1.0)
        } else {
            1.0
        };
        group
            .iter()
            .for_each(|n| parts[*n] = floor + (1.0 - floor) * part);
        left -= part * wants;
        at += alike;
    }
    parts
}
