//! The gateway's Unix time. The system clock may be stepped while the gateway runs, by seconds or
//! by an hour. It is therefore read only once, and from then on the monotonic clock measures the
//! elapsed time.
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Maximum plausible age of a host that a change of the list names for the first time: according to
/// the platform's specification, the slowest notice comes after 12 s. A host that seems older is
/// assumed to have just started, as one of the clocks must be wrong.
const MAX_NOTICE_DELAY_MS: u64 = 15_000;

/// Unix time, derived from one reading of the system clock.
#[derive(Clone, Copy, Debug)]
pub struct UnixClock {
    read_at: Instant,
    unix_ms: u64,
}

impl UnixClock {
    /// Reads the system clock.
    pub fn read() -> UnixClock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixClock::at(unix.map_or(0, |unix| unix.as_millis() as u64))
    }

    /// Creates a clock whose current Unix time is `unix_ms`, in milliseconds.
    pub fn at(unix_ms: u64) -> UnixClock {
        UnixClock {
            read_at: Instant::now(),
            unix_ms,
        }
    }

    /// Current Unix time in milliseconds. Never goes backwards.
    pub fn now_ms(&self) -> u64 {
        self.unix_ms + self.read_at.elapsed().as_millis() as u64
    }

    /// Returns the age of something that started at `started_ms`, in milliseconds; 0 if that is in
    /// the future by this clock. `is_change` tells that a change of the list named it, so it cannot
    /// be old.
    pub fn age_ms(&self, started_ms: u64, is_change: bool) -> u64 {
        let age = self.now_ms().saturating_sub(started_ms);
        if is_change && age > MAX_NOTICE_DELAY_MS {
            0
        } else {
            age
        }
    }
}
