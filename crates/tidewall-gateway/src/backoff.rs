//! Backoff: when what failed is tried again. No I/O, no clock.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tidewall_net::Time;

/// Random delays of three to five quarters of a mean: what strikes all gateways of a site at one moment, as the end of the
/// discovery server does, is not to bring them back at one moment, again and again. A quarter each way keeps the mean and
/// spreads half a second over a quarter of it, far more than a connection takes.
pub struct Backoff {
    mean: Time,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Delays around `mean` tenths of a millisecond, drawn from this seed.
    pub fn new(seed: u64, mean: Time) -> Backoff {
        Backoff {
            mean,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Draws the next delay, in tenths of a millisecond.
    pub fn wait(&mut self) -> Time {
        self.mean * 3 / 4 + self.random.random_range(0..=self.mean / 2)
    }
}
