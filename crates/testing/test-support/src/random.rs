//! A small generator (xorshift, Marsaglia 2003, with the shifts 13, 7, 17) and what models draw from it.

/// Spreads neighbouring seeds over the state: 2^64 divided by the golden ratio.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// The low bits of xorshift are the weakest; so many are left out.
const DISCARDED_BITS: u32 = 11;
/// The delay of a message that is neither lost nor late is 1 to this many milliseconds.
const USUAL_DELAY_MS: u64 = 20;
const PERCENT: u64 = 100;

/// How a network treats messages: some are lost, some are late, the rest take 1 to 20 ms.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DelayDistribution {
    /// Share of messages that are lost, in hundredths.
    pub lost_percent: u64,
    /// Share of messages that are late, in hundredths.
    pub late_percent: u64,
    /// The shortest delay of a late message, in milliseconds.
    pub late_min_ms: u64,
    /// The delay of a late message is below `late_min_ms + late_spread_ms`, in milliseconds; at least 1.
    pub late_spread_ms: u64,
}

/// Random numbers by a seed.
#[derive(Clone, Debug)]
pub struct SeededRandom(u64);

impl SeededRandom {
    /// The stream of this seed.
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom(seed.wrapping_mul(SEED_MULTIPLIER) | 1)
    }

    /// The next number; never 0.
    pub fn next_u64(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 up to, not including, `bound`.
    ///
    /// # Panics
    ///
    /// For a `bound` of 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next_u64() >> DISCARDED_BITS) % bound
    }

    /// True with a probability of one in `count`.
    ///
    /// # Panics
    ///
    /// For a `count` of 0.
    pub fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }

    /// The delay of a message in milliseconds, `None` where it is lost.
    pub fn network_delay_ms(&mut self, network: &DelayDistribution) -> Option<u64> {
        let share = self.below(PERCENT);
        if share < network.lost_percent {
            return None;
        }
        Some(if share < network.lost_percent + network.late_percent {
            network.late_min_ms + self.below(network.late_spread_ms)
        } else {
            1 + self.below(USUAL_DELAY_MS)
        })
    }
}
