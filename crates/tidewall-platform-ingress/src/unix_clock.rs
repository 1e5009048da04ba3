//! Unix time as the gateway uses it. The machine's wall clock may be stepped while it runs, by seconds or by an hour: it is read
//! once, and from then on time is what the monotonic clock says has passed.
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A host that a change of the list names for the first time has started lately: the page's slowest notice comes after 12 s.
/// One that seems older is taken for one that has just started, as the clock that says so must be wrong.
const MAX_NOTICE_DELAY_MS: u64 = 15_000;

/// Unix time from one reading of the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct UnixClock {
    read_at: Instant,
    unix_ms: u64,
}

impl UnixClock {
    /// Reads the wall clock.
    pub fn read() -> UnixClock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixClock::at(unix.map_or(0, |unix| unix.as_millis() as u64))
    }

    /// A clock by which it is this Unix time now, in milliseconds.
    pub fn at(unix_ms: u64) -> UnixClock {
        UnixClock {
            read_at: Instant::now(),
            unix_ms,
        }
    }

    /// Unix time in milliseconds. Never goes back.
    pub fn now_ms(&self) -> u64 {
        self.unix_ms + self.read_at.elapsed().as_millis() as u64
    }

    /// How long ago something started, in milliseconds; 0 where its clock is ahead of ours. `is_change`: a change of the list
    /// named it, so that it has not been there for long.
    pub fn age_ms(&self, started_ms: u64, is_change: bool) -> u64 {
        let age = self.now_ms().saturating_sub(started_ms);
        if is_change && age > MAX_NOTICE_DELAY_MS {
            0
        } else {
            age
        }
    }
}
