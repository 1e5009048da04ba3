//! The ration of load orders over both lives: what the old master ordered and took within the window counts for the new
//! one as well, or each takeover would bring a fresh ration. The decisions keep their own; this one only refuses.
use crate::Time;
use std::collections::VecDeque;

pub struct LoadRequestLimiter {
    window: Time,
    free: f64,
    share: f64,
    orders: VecDeque<Time>,
    taken: VecDeque<Time>,
}

impl LoadRequestLimiter {
    /// A window of 0 rations nothing.
    pub fn new(window: Time, free: f64, share: f64) -> LoadRequestLimiter {
        LoadRequestLimiter {
            window,
            free,
            share,
            orders: VecDeque::new(),
            taken: VecDeque::new(),
        }
    }

    fn forget(&mut self, now: Time) {
        let window = self.window;
        let old = |at: Option<&Time>| at.is_some_and(|at| at + window <= now);
        while old(self.taken.front()) {
            self.taken.pop_front();
        }
        while old(self.orders.front()) {
            self.orders.pop_front();
        }
    }

    pub fn request_received(&mut self, now: Time) {
        if self.window > 0 {
            self.forget(now);
            self.taken.push_back(now);
        }
    }

    /// What was counted last had been counted before: an event that the other member took and we go on with.
    pub fn undo_last_request(&mut self) {
        self.taken.pop_back();
    }

    pub fn load_requested(&mut self, now: Time) {
        if self.window > 0 {
            self.forget(now);
            self.orders.push_back(now);
        }
    }

    /// Whether one more order is within the ration.
    pub fn has_capacity(&mut self, now: Time) -> bool {
        self.forget(now);
        self.window == 0
            || (self.orders.len() + 1) as f64 <= self.free + self.share * self.taken.len() as f64
    }
}
