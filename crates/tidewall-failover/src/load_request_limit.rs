//! The rate limit of load requests (requests to a worker to load a function), continued across a takeover:
//! load requests sent and client requests received by the former active member within the window count for
//! the new one as well. Otherwise each takeover would grant a full new allowance. The scheduler applies its
//! own limit; this one only refuses load requests that exceed it.

use crate::Time;
use std::collections::VecDeque;

/// A sliding-window limit: a base allowance of load requests, plus an allowance for each client request
/// received.
pub struct LoadRequestLimiter {
    window: Time,
    base_allowance: f64,
    allowance_per_request: f64,
    load_requests: VecDeque<Time>,
    requests: VecDeque<Time>,
}

impl LoadRequestLimiter {
    /// Within `window` there may be `base_allowance` load requests plus `allowance_per_request` for each
    /// client request. A window of 0 disables the limit.
    pub fn new(
        window: Time,
        base_allowance: f64,
        allowance_per_request: f64,
    ) -> LoadRequestLimiter {
        LoadRequestLimiter {
            window,
            base_allowance,
            allowance_per_request,
            load_requests: VecDeque::new(),
            requests: VecDeque::new(),
        }
    }

    fn remove_expired(&mut self, now: Time) {
        let window = self.window;
        let expired = |at: Option<&Time>| at.is_some_and(|at| at + window <= now);
        while expired(self.requests.front()) {
            self.requests.pop_front();
        }
        while expired(self.load_requests.front()) {
            self.load_requests.pop_front();
        }
    }

    /// Counts a client request.
    pub fn request_received(&mut self, now: Time) {
        if self.window > 0 {
            self.remove_expired(now);
            self.requests.push_back(now);
        }
    }

    /// Removes the last client request from the count: this member took it over from the other one, and it
    /// was already counted when the other one received it.
    pub fn undo_last_request(&mut self) {
        self.requests.pop_back();
    }

    /// Counts a load request sent by this or the other member.
    pub fn load_requested(&mut self, now: Time) {
        if self.window > 0 {
            self.remove_expired(now);
            self.load_requests.push_back(now);
        }
    }

    /// Whether one more load request is within the limit.
    pub fn has_capacity(&mut self, now: Time) -> bool {
        self.remove_expired(now);
        let allowance =
            self.base_allowance + self.allowance_per_request * self.requests.len() as f64;
        self.window == 0 || (self.load_requests.len() + 1) as f64 <= allowance
    }
}
