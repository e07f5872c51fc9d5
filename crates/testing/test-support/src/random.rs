//! A small random number generator (xorshift, Marsaglia 2003, with the shifts 13, 7, 17) and the distribution of
//! network delays.

/// The factor that spreads neighbouring seeds over the state: 2^64 divided by the golden ratio.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// The number of low bits that are discarded, because the low bits of xorshift are the weakest.
const DISCARDED_BITS: u32 = 11;
/// The maximum delay of a message that is neither lost nor late, in milliseconds; the minimum is 1.
const USUAL_DELAY_MS: u64 = 20;
const PERCENT: u64 = 100;

/// The distribution of network delays: some messages are lost, some are late, and the rest take 1 to 20 ms.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DelayDistribution {
    /// The share of messages that are lost, in percent.
    pub lost_percent: u64,
    /// The share of messages that are late, in percent.
    pub late_percent: u64,
    /// The minimum delay of a late message, in milliseconds.
    pub late_min_ms: u64,
    /// The range of the delays of late messages, in milliseconds: a delay is below `late_min_ms + late_spread_ms`. The
    /// range must be at least 1.
    pub late_spread_ms: u64,
}

/// A random number generator with a seed.
#[derive(Clone, Debug)]
pub struct SeededRandom(u64);

impl SeededRandom {
    /// Creates the generator of the stream that `seed` determines.
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom(seed.wrapping_mul(SEED_MULTIPLIER) | 1)
    }

    /// Returns the next number, which is never 0.
    pub fn next_u64(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Returns a number from 0 up to, but not including, `bound`.
    ///
    /// # Panics
    ///
    /// Panics if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next_u64() >> DISCARDED_BITS) % bound
    }

    /// Returns true with a probability of one in `count`.
    ///
    /// # Panics
    ///
    /// Panics if `count` is 0.
    pub fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }

    /// Draws the delay of a message in milliseconds; `None` if the message is lost.
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
