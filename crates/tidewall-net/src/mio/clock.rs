//! The event loop's clock, and how late the loop runs by it.
use crate::Time;
use std::time::Instant;

/// A wake-up that comes this much later than it was due, or lasts this long, counts as a stall of this process: well
/// above the scheduling latency of a busy machine, well below any timeout by which a worker is judged.
pub(super) const STALL_THRESHOLD: Time = 1_000;

/// Length of a window of [`LoopClock::max_lag`]: a second.
const LAG_WINDOW: Time = 10_000;

/// A clock that is read once in each step of the loop, so that all of a step sees the same time.
pub(super) struct LoopClock {
    origin: Instant,
    /// Runs faster than real time by so many millionths.
    skew_ppm: i64,
    now: Time,
    /// Greatest lag of the current window and of the one before.
    window_lags: [Time; 2],
    window_start: Time,
}

impl LoopClock {
    /// A clock that counts from now, at real time's rate.
    pub(super) fn new() -> LoopClock {
        LoopClock {
            origin: Instant::now(),
            skew_ppm: 0,
            now: 1,
            window_lags: [0; 2],
            window_start: 0,
        }
    }

    /// Counts from another origin and at another rate from the next update on.
    pub(super) fn set_origin(&mut self, origin: Instant, skew_ppm: i64) {
        (self.origin, self.skew_ppm) = (origin, skew_ppm);
    }

    /// The time of the last update.
    pub(super) fn now(&self) -> Time {
        self.now
    }

    /// Reads the system's clock: whole tenths since the origin, rounded down, plus 1, as 0 means "long ago" to the
    /// apps. Never goes back.
    pub(super) fn update(&mut self) {
        self.now = self.current();
    }

    /// The time of the system's clock, without an update.
    pub(super) fn current(&self) -> Time {
        let elapsed = (self.origin.elapsed().as_micros() / 100) as i128;
        let skewed = elapsed + elapsed * i128::from(self.skew_ppm) / 1_000_000;
        self.now.max(skewed as Time + 1)
    }

    /// Records how late or how long a wake-up was. Stalls are left out.
    pub(super) fn record_lag(&mut self, lag: Time) {
        if self.now >= self.window_start + LAG_WINDOW {
            let adjacent = self.now < self.window_start + 2 * LAG_WINDOW;
            let previous = if adjacent { self.window_lags[0] } else { 0 };
            self.window_lags = [0, previous];
            self.window_start = self.now;
        }
        if lag <= STALL_THRESHOLD {
            self.window_lags[0] = self.window_lags[0].max(lag);
        }
    }

    /// The greatest lag of the current window and of the one before.
    pub(super) fn max_lag(&self) -> Time {
        self.window_lags[0].max(self.window_lags[1])
    }
}
