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

    /// A number from 0 up to, but not including, 1.
    pub(crate) fn chance(&mut self) -> f64 {
        self.next() as f64 / 4294967296.0
    }

    pub(crate) fn below(&mut self, n: usize) -> usize {
        ((self.next() as u64 * n as u64) >> 32) as usize
    }
}

/// A number drawn for a pair, the same wherever it is drawn.
pub(crate) fn draw(key: u64, id: u64) -> u64 {
    let mixed = (key ^ id.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    (mixed ^ (mixed >> 31)).wrapping_mul(0x94D0_49BB_1331_11EB)
}
