//! Local health multiplier (Lifeguard, section IV, local health aware probe).

/// Maximum score, at which all time-outs are nine times as long.
const MAX_SCORE: u32 = 8;

/// Health of this member itself, by its own recent probes and by suspicions of it. It is needed because a suspicion is
/// as often due to a slow reporter as to a dead member.
#[derive(Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Score from 0, healthy, to 8, the worst.
    pub(crate) fn score(&self) -> u32 {
        self.score
    }

    /// Factor for intervals and time-outs, from 1 to 9.
    pub(crate) fn multiplier(&self) -> f64 {
        1.0 + f64::from(self.score)
    }

    /// Counts a sign that this member is slow or badly connected.
    pub(crate) fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Counts a probe that was answered.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }
}
