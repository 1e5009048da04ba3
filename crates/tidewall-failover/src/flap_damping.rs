//! Flap damping: exponential backoff of a member that lost leadership or failed to obtain it, so that an
//! intermittent fault does not move the shared address back and forth.

use crate::Time;

/// A backoff delay that doubles with each failure up to a maximum and is reset after a period without
/// failures.
pub struct FlapDamping {
    initial_delay: Time,
    max_delay: Time,
    next_delay: Time,
    /// The end of the last hold-off, past or future.
    held_off_until: Time,
}

impl FlapDamping {
    /// The first hold-off lasts `initial_delay`; no hold-off lasts longer than `max_delay`.
    pub fn new(initial_delay: Time, max_delay: Time) -> FlapDamping {
        FlapDamping {
            initial_delay,
            max_delay,
            next_delay: initial_delay,
            held_off_until: 0,
        }
    }

    /// Counts a failure and returns the time until which to hold off. The delay is reset to its initial value
    /// if the last hold-off ended more than `max_delay` ago.
    pub fn next_hold_off(&mut self, now: Time) -> Time {
        if now > self.held_off_until + self.max_delay {
            self.next_delay = self.initial_delay;
        }
        self.held_off_until = now + self.next_delay;
        self.next_delay = (2 * self.next_delay).min(self.max_delay);
        self.held_off_until
    }
}
