//! Nodes: the timers, the clock and the state of a process.
use super::event::Event;
use crate::wheel::Wheel;
use crate::Time;
use std::collections::VecDeque;

/// One simulated process.
#[derive(Default)]
pub(super) struct Node {
    /// The app's timers, in times of the node's own clock.
    pub(super) timers: Wheel,
    pub(super) dead: bool,
    /// The world's time at which the current stall began; `None` where the node is not stalled.
    pub(super) stalled_since: Option<Time>,
    pub(super) total_stall: Time,
    /// The last stall that has ended.
    pub(super) last_stall: Stall,
    /// Events of the current stall, which are delivered after it.
    pub(super) backlog: VecDeque<Event>,
    /// By how many parts per million the node's clock runs faster than the world's.
    pub(super) skew_ppm: i64,
    /// The app was called in the current wake-up, and `App::wakeup_ended` must still follow.
    pub(super) awake: bool,
    /// No file descriptor is free: outgoing connections fail, and incoming ones are not accepted until some
    /// are free.
    pub(super) out_of_descriptors: bool,
}

/// A stall that has ended.
#[derive(Clone, Copy, Default)]
pub(super) struct Stall {
    pub(super) ended_at: Time,
    pub(super) duration: Time,
}

impl Node {
    /// Whether the node handles events: it is neither dead nor stalled.
    pub(super) fn is_running(&self) -> bool {
        !self.dead && self.stalled_since.is_none()
    }

    /// The time of the node's clock at a time of the world.
    pub(super) fn local_time(&self, at: Time) -> Time {
        (at as i128 + at as i128 * self.skew_ppm as i128 / 1_000_000) as Time
    }

    /// The first time of the world at which the node's clock has reached `local`.
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

    /// A lower bound of the node's next timer expiry, as a time of the world.
    pub(super) fn next_expiry(&self) -> Option<Time> {
        Some(self.world_time(self.timers.next_expiry()?))
    }
}
