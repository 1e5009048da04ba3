//! The event loop's clock, and the measurement of how late the loop runs.
use crate::Time;
use std::time::Instant;

/// A wake-up that begins more than this (100 ms) after it was due, or takes longer than this, counts as a
/// stall of this process. The value is well above the scheduling latency of a busy machine, and well below
/// any timeout after which a worker is considered failed.
pub(super) const STALL_THRESHOLD: Time = 1_000;

/// Length of a window of [`LoopClock::max_lag`]: one second.
const LAG_WINDOW: Time = 10_000;

/// A clock that is read at fixed points of a wake-up, so that everything between them sees the same time.
pub(super) struct LoopClock {
    origin: Instant,
    /// By how many parts per million the clock runs faster than real time.
    skew_ppm: i64,
    now: Time,
    /// Maximum lag in the current window and in the one before.
    window_lags: [Time; 2],
    window_start: Time,
}

impl LoopClock {
    /// Creates a clock that counts from the moment of the call, at the rate of real time.
    pub(super) fn new() -> LoopClock {
        LoopClock {
            origin: Instant::now(),
            skew_ppm: 0,
            now: 1,
            window_lags: [0; 2],
            window_start: 0,
        }
    }

    /// Sets the origin and the rate of the clock, effective from the next update on.
    pub(super) fn set_origin(&mut self, origin: Instant, skew_ppm: i64) {
        (self.origin, self.skew_ppm) = (origin, skew_ppm);
    }

    /// The time of the last update.
    pub(super) fn now(&self) -> Time {
        self.now
    }

    /// Reads the system's clock: tenths of a millisecond since the origin, rounded down, plus 1, because apps
    /// use 0 for "long ago". The time never goes back.
    pub(super) fn update(&mut self) {
        self.now = self.current();
    }

    /// The current time by the system's clock; does not update [`LoopClock::now`].
    pub(super) fn current(&self) -> Time {
        let elapsed = (self.origin.elapsed().as_micros() / 100) as i128;
        let skewed = elapsed + elapsed * i128::from(self.skew_ppm) / 1_000_000;
        self.now.max(skewed as Time + 1)
    }

    /// Records by how much a wake-up was late, or how long it took. Stalls are ignored.
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

    /// The maximum lag in the current window and in the one before.
    pub(super) fn max_lag(&self) -> Time {
        self.window_lags[0].max(self.window_lags[1])
    }
}
