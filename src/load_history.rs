//! What the rate limit of load requests counts: arithmetic on times, without any value of its own.
use crate::interface::Time;
use std::collections::VecDeque;

/// Load requests that were sent and arrivals that allow them, each oldest first.
#[derive(Default)]
pub struct LoadHistory {
    /// When load requests were sent.
    pub sent: VecDeque<Time>,
    /// When requests arrived that count for the rate limit.
    pub arrivals: VecDeque<Time>,
}

impl LoadHistory {
    /// Drops load requests older than `window` and a margin, and arrivals older than `window` less the
    /// margin.
    pub fn expire(&mut self, now: Time, window: Time, margin: Time) {
        self.sent.drain(..self.sent.partition_point(|sent_at| sent_at + window + margin < now));
        let old = self.arrivals.partition_point(|arrival| arrival + window <= now + margin);
        self.arrivals.drain(..old);
    }

    /// Counts an arrival that came earlier than others that are counted already.
    pub fn add_past_arrival(&mut self, arrived_at: Time) {
        let position = self.arrivals.partition_point(|arrival| *arrival <= arrived_at);
        self.arrivals.insert(position, arrived_at);
    }

    /// Arrivals at `time` or later.
    pub fn arrivals_since(&self, time: Time) -> usize {
        self.arrivals.len() - self.arrivals.partition_point(|arrival| *arrival < time)
    }
}
