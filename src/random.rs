//! Random numbers that are reproducible for a seed, and a function that mixes hashes. Makes no decisions.

/// A multiply-with-carry generator (lag 1, 32-bit words).
pub struct RandomGenerator(u64);

impl RandomGenerator {
    /// Creates a generator; the same seed gives the same numbers.
    pub fn new(seed: u64) -> RandomGenerator {
        // The state must be neither 0 nor the multiplier's own fixed point. Mixing separates seeds that are
        // close.
        let mixed = (seed ^ (seed >> 29)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        RandomGenerator((mixed >> 2) | 1)
    }

    /// Returns the next number, out of all 32-bit values.
    pub fn next_u32(&mut self) -> u32 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        self.0 as u32
    }

    /// Returns a number from 0 up to, but not including, `n`.
    pub fn below(&mut self, n: u32) -> u32 {
        ((u64::from(self.next_u32()) * u64::from(n)) >> 32) as u32
    }
}

/// Mixes two hashes in a fixed way, the same at every gateway.
pub fn mix_hashes(a: u64, b: u64) -> u64 {
    let x = (a ^ b.rotate_left(32)).wrapping_mul(0x9fb2_1c65_1e98_df25);
    let x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x ^ (x >> 29)
}
