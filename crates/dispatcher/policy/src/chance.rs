//! The probability with which Algorithm 1 lets a job start at a runner.

/// P = 1 − e^(−mean cost / cost), or 1 where the job costs nothing at this runner. `mean_cost` is the job's mean
/// over the runners with room, `cost` its cost at this one; both in the same unit.
pub fn start_chance(mean_cost: f64, cost: f64) -> f64 {
    if cost <= 0.0 {
        return 1.0;
    }
    1.0 - (-mean_cost / cost).exp()
}
