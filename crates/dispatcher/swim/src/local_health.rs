//! The local health multiplier (Lifeguard, section IV, local health aware probe).

/// The highest score: all time-outs are then nine times as long.
const MAX_SCORE: u32 = 8;

/// How well this member itself has done of late: a slow accuser is as common as a dead accused.
#[derive(Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// 0 when well, 8 at the worst.
    pub(crate) fn score(&self) -> u32 {
        self.score
    }

    /// What intervals and time-outs are multiplied by, 1 to 9.
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
