//! Chance by a seed.

pub(crate) struct Chance(u64);

impl Chance {
    pub(crate) fn new(seed: u64) -> Chance {
        Chance(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 11) % bound
    }

    /// True once in `times`.
    pub(crate) fn once_in(&mut self, times: u64) -> bool {
        self.below(times) == 0
    }

    /// How long something is on its way: mostly short, at times beyond a second, `None` where it is lost.
    pub(crate) fn way_ms(&mut self) -> Option<u64> {
        match self.below(100) {
            0..=5 => None,
            6..=15 => Some(200 + self.below(1400)),
            _ => Some(1 + self.below(20)),
        }
    }
}
