//! When what failed is tried again. No I/O, no clock.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tidewall_net::Time;

/// Waits of three to five quarters of a span: what strikes all gateways of a site at one moment, as the end of the roster does,
/// is not to bring them back at one moment, again and again. A quarter each way keeps the mean and spreads a span of
/// half a second over a quarter of it, far more than a connection takes.
pub struct Backoff {
    span: Time,
    chance: ChaCha8Rng,
}

impl Backoff {
    pub fn new(seed: u64, span: Time) -> Backoff {
        Backoff {
            span,
            chance: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub fn wait(&mut self) -> Time {
        self.span * 3 / 4 + self.chance.random_range(0..=self.span / 2)
    }
}
