/// A permuted congruential generator (PCG-XSH-RR 64/32).
pub(crate) struct Pcg(u64);

impl Pcg {
    pub(crate) fn new(seed: u64) -> Self {
        let mut pcg = Pcg(seed.wrapping_add(1442695040888963407));
        pcg.next();
        pcg
    }

    fn next(&mut self) -> u32 {
        let old = self.0;
        self.0 = old
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    /// Draws a uniformly distributed number from 0 (included) to 1 (excluded).
    pub(crate) fn uniform(&mut self) -> f64 {
        self.next() as f64 / 4294967296.0
    }

    /// Draws a uniformly distributed index below `bound`.
    pub(crate) fn index_below(&mut self, bound: usize) -> usize {
        ((self.next() as u64 * bound as u64) >> 32) as usize
    }
}

/// The rendezvous hash of a pair, such as a key and a runner's id. Every dispatcher computes the same value.
pub(crate) fn pair_hash(key: u64, id: u64) -> u64 {
    let mixed = (key ^ id.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    (mixed ^ (mixed >> 31)).wrapping_mul(0x94D0_49BB_1331_11EB)
}
