/// A permuted congruential generator (PCG-XSH-RR 64/32).
pub struct Pcg(u64);

impl Pcg {
    pub fn new(seed: u64) -> Self {
        let mut pcg = Pcg(seed.wrapping_add(1442695040888963407));
        pcg.next();
        pcg
    }

    fn next(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    /// A number from 0 up to, but not including, 1.
    pub fn chance(&mut self) -> f64 {
        self.next() as f64 / 4294967296.0
    }

    pub fn below(&mut self, n: usize) -> usize {
        ((self.next() as u64 * n as u64) >> 32) as usize
    }
}
