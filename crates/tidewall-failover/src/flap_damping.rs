//! Flap damping: exponential backoff of a member that lost leadership or could not get it, so that a fault that comes and
//! goes does not move the address back and forth.

use crate::Time;

/// A backoff that doubles with each failure up to a bound, and starts over after a quiet period.
pub struct FlapDamping {
    initial_delay: Time,
    max_delay: Time,
    next_delay: Time,
    /// When the last hold-off ends or ended.
    held_off_until: Time,
}

impl FlapDamping {
    /// The first hold-off takes `initial_delay`, none takes longer than `max_delay`.
    pub fn new(initial_delay: Time, max_delay: Time) -> FlapDamping {
        FlapDamping {
            initial_delay,
            max_delay,
            next_delay: initial_delay,
            held_off_until: 0,
        }
    }

    /// Counts a failure and returns the time until which to hold off. The delay starts over where the last hold-off ended
    /// more than `max_delay` ago.
    pub fn next_hold_off(&mut self, now: Time) -> Time {
        if now > self.held_off_until + self.max_delay {
            self.next_delay = self.initial_delay;
        }
        self.held_off_until = now + self.next_delay;
        self.next_delay = (2 * self.next_delay).min(self.max_delay);
        self.held_off_until
    }
}
