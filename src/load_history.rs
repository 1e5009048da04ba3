//! The history that the rate limit of load requests is computed from: arithmetic on times, without any tuned
//! value.
use crate::interface::{Time, WorkerId};
use std::collections::VecDeque;

/// A load request that its worker may not have received yet.
struct UnconfirmedLoad {
    worker_id: WorkerId,
    sent_at: Time,
}

/// A load request that its worker may have received later than it was sent.
struct DelayedLoad {
    sent_at: Time,
    received_by: Time,
}

/// Load requests that were sent and arrivals that allow them, each oldest first.
#[derive(Default)]
pub struct LoadHistory {
    /// When load requests were sent.
    pub sent: VecDeque<Time>,
    /// Load requests since which nothing was received from their worker.
    unconfirmed: Vec<UnconfirmedLoad>,
    /// Load requests whose worker answered only some time after they were sent.
    delayed: Vec<DelayedLoad>,
    /// Arrival times of the requests that count for the rate limit.
    pub arrivals: VecDeque<Time>,
}

impl LoadHistory {
    /// Drops load requests older than `window` plus the margin, and arrivals older than `window` minus the
    /// margin.
    pub fn expire(&mut self, now: Time, window: Time, margin: Time) {
        self.sent.drain(..self.sent.partition_point(|sent_at| sent_at + window + margin < now));
        let old = self.arrivals.partition_point(|arrival| arrival + window <= now + margin);
        self.arrivals.drain(..old);
    }

    /// Records a load request that is sent now.
    pub fn load_sent(&mut self, now: Time, worker_id: WorkerId) {
        self.sent.push_back(now);
        self.unconfirmed.push(UnconfirmedLoad { worker_id, sent_at: now });
    }

    /// Records that the worker has received, by `now`, everything sent to it up to `until`.
    pub fn worker_received(&mut self, now: Time, worker_id: WorkerId, until: Time) {
        let received = |load: &mut UnconfirmedLoad| load.worker_id == worker_id && load.sent_at <= until;
        let received = self.unconfirmed.extract_if(.., received);
        let delayed = received.map(|load| DelayedLoad { sent_at: load.sent_at, received_by: now });
        self.delayed.extend(delayed);
    }

    /// Number of load requests that were sent before the window, but may have been received within it because
    /// a hanging worker or the opening of a connection delayed them. As long as nothing is received from its
    /// worker, a load request may still be received for another window.
    pub fn delayed_loads(&mut self, now: Time, window: Time, margin: Time) -> usize {
        self.unconfirmed.retain(|load| load.sent_at + 2 * window + margin >= now);
        self.delayed.retain(|load| load.received_by + window + margin >= now);
        let sent = self.unconfirmed.iter().map(|load| load.sent_at);
        let sent = sent.chain(self.delayed.iter().map(|load| load.sent_at));
        sent.filter(|sent_at| sent_at + window + margin < now).count()
    }

    /// Inserts an arrival that is earlier than others already recorded.
    pub fn add_past_arrival(&mut self, arrived_at: Time) {
        let position = self.arrivals.partition_point(|arrival| *arrival <= arrived_at);
        self.arrivals.insert(position, arrived_at);
    }

    /// Number of arrivals at `time` or later.
    pub fn arrivals_since(&self, time: Time) -> usize {
        self.arrivals.len() - self.arrivals.partition_point(|arrival| *arrival < time)
    }
}
