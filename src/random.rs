//! Random numbers that repeat for a seed, and a mixture of hashes. It decides nothing.

/// A multiply-with-carry generator (lag 1, 32-bit words).
pub struct RandomGenerator(u64);

impl RandomGenerator {
    /// A generator that gives the same numbers for the same seed.
    pub fn new(seed: u64) -> RandomGenerator {
        // Neither 0 nor the multiplier's own fixed point may be the start; mixing keeps near seeds apart.
        let mixed = (seed ^ (seed >> 29)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        RandomGenerator((mixed >> 2) | 1)
    }

    /// The next number, any of 32 bits.
    pub fn next_u32(&mut self) -> u32 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        self.0 as u32
    }

    /// A number from 0 up to, not including, `n`.
    pub fn below(&mut self, n: u32) -> u32 {
        ((u64::from(self.next_u32()) * u64::from(n)) >> 32) as u32
    }
}

/// A fixed mixture of two hashes, the same everywhere.
pub fn mix_hashes(a: u64, b: u64) -> u64 {
    let x = (a ^ b.rotate_left(32)).wrapping_mul(0x9fb2_1c65_1e98_df25);
    let x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x ^ (x >> 29)
}
