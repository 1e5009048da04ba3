//! A count over a sliding window, and running means: arithmetic without any tuned value.
use crate::interface::Time;

/// A count over the last `STEPS` steps of `STEP` tenths of a millisecond each.
#[derive(Clone)]
pub struct SlidingCounter<const STEP: Time, const STEPS: usize> {
    steps: [u32; STEPS],
    /// Number of the step, counted from time 0, up to which `steps` is up to date.
    last_step: Time,
    sum: u32,
}

impl<const STEP: Time, const STEPS: usize> Default for SlidingCounter<STEP, STEPS> {
    fn default() -> Self {
        SlidingCounter { steps: [0; STEPS], last_step: 0, sum: 0 }
    }
}

impl<const STEP: Time, const STEPS: usize> SlidingCounter<STEP, STEPS> {
    /// Length of the window, in tenths of a millisecond.
    pub const SPAN: Time = STEP * STEPS as Time;

    /// Drops the steps that have left the window.
    fn advance(&mut self, now: Time) {
        let (step, len) = (now / STEP, STEPS as Time);
        for s in self.last_step + 1..=step.min(self.last_step + len) {
            self.sum -= std::mem::take(&mut self.steps[(s % len) as usize]);
        }
        self.last_step = self.last_step.max(step);
    }

    /// Adds `n` at `now`.
    pub fn add(&mut self, now: Time, n: u32) {
        self.advance(now);
        self.steps[(self.last_step % STEPS as Time) as usize] += n;
        self.sum += n;
    }

    /// Whether the count was zero after the last addition.
    pub fn is_empty(&self) -> bool {
        self.sum == 0
    }

    /// The count in the window that ends at `now`, correct even if nothing was added for a while.
    pub fn recent(&self, now: Time) -> u32 {
        let (step, len) = (now / STEP, STEPS as Time);
        let expired = self.last_step + 1..=step.min(self.last_step + len);
        self.sum - expired.map(|s| self.steps[(s % len) as usize]).sum::<u32>()
    }

    /// Returns the count, and the length of the part of the window since `started_at`.
    pub fn count_and_span(&mut self, now: Time, started_at: Time) -> (f64, Time) {
        self.advance(now);
        (f64::from(self.sum), (now - started_at).min(Self::SPAN))
    }
}

/// Moves a running mean towards a sample by one part in `parts` of the difference.
pub fn update_mean(mean: &mut f64, sample: f64, parts: f64) {
    *mean += (sample - *mean) / parts;
}

/// 1 for true and 0 for false, as a sample of a ratio.
pub fn indicator(value: bool) -> f64 {
    f64::from(u8::from(value))
}

/// The two positions of lowest rank among those offered. Of equal ranks, the one offered first comes first.
#[derive(Default)]
pub struct TwoLowest {
    /// Position and rank of the lowest.
    pub first: Option<(usize, usize)>,
    /// Position and rank of the second lowest.
    pub second: Option<(usize, usize)>,
}

impl TwoLowest {
    /// Offers a position of this rank.
    pub fn offer(&mut self, position: usize, rank: usize) {
        if self.first.is_none_or(|lowest| rank < lowest.1) {
            self.second = self.first.replace((position, rank));
        } else if self.second.is_none_or(|next| rank < next.1) {
            self.second = Some((position, rank));
        }
    }
}
