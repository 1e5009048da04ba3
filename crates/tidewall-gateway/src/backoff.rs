//! Randomised retry delays. No I/O, no clock.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tidewall_net::Time;

/// Random delays between three and five quarters of a mean. An event that hits all gateways of a site at
/// the same moment, such as a crash of the discovery server, must not make all of them retry at the same
/// moment, again and again. A quarter each way keeps the mean, and spreads retries with a mean of half a
/// second over a quarter of a second, which is far longer than a connect takes.
pub struct Backoff {
    mean: Time,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Creates delays around `mean` tenths of a millisecond, drawn with this seed.
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
