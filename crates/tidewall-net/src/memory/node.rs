//! Nodes: one process's timers, clock and state.
use super::event::Event;
use crate::wheel::Wheel;
use crate::Time;
use std::collections::VecDeque;

/// One simulated process.
#[derive(Default)]
pub(super) struct Node {
    /// Its timers, by its own clock.
    pub(super) timers: Wheel,
    pub(super) dead: bool,
    /// Since when it is stalled.
    pub(super) stalled_since: Option<Time>,
    pub(super) total_stall: Time,
    /// The end and the duration of its last stall.
    pub(super) last_stall: Stall,
    /// What happened during the stall, to be delivered after it.
    pub(super) backlog: VecDeque<Event>,
    /// Its clock runs faster by so many millionths.
    pub(super) skew_ppm: i64,
    /// Its app was called in this wake-up, whose end is still to be reported.
    pub(super) awake: bool,
    /// No file descriptor is left: attempts to connect fail, and none is accepted until there are descriptors again.
    pub(super) out_of_descriptors: bool,
}

/// A stall that has ended.
#[derive(Clone, Copy, Default)]
pub(super) struct Stall {
    pub(super) ended_at: Time,
    pub(super) duration: Time,
}

impl Node {
    /// Whether it handles events.
    pub(super) fn is_running(&self) -> bool {
        !self.dead && self.stalled_since.is_none()
    }

    /// What its clock shows at a time of the world.
    pub(super) fn local_time(&self, at: Time) -> Time {
        (at as i128 + at as i128 * self.skew_ppm as i128 / 1_000_000) as Time
    }

    /// The first time of the world at which its clock shows `local`.
    pub(super) fn world_time(&self, local: Time) -> Time {
        if self.skew_ppm == 0 {
            return local;
        }
        let mut at = (local as i128 * 1_000_000 / (1_000_000 + self.skew_ppm as i128)) as Time;
        while self.local_time(at) < local {
            at += 1;
        }
        at
    }

    /// When its next timer expires, as a time of the world.
    pub(super) fn next_expiry(&self) -> Option<Time> {
        Some(self.world_time(self.timers.next_expiry()?))
    }
}
