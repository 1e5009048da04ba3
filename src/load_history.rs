//! What the rate limit of load requests counts: arithmetic on times, without any value of its own.
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
    /// Those of them after which nothing was heard of their worker.
    unconfirmed: Vec<UnconfirmedLoad>,
    /// Those whose worker was heard of only after some time.
    delayed: Vec<DelayedLoad>,
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

    /// Counts a load request that is sent now.
    pub fn load_sent(&mut self, now: Time, worker_id: WorkerId) {
        self.sent.push_back(now);
        self.unconfirmed.push(UnconfirmedLoad { worker_id, sent_at: now });
    }

    /// The worker has received by now what was sent to it by the time `until`.
    pub fn worker_received(&mut self, now: Time, worker_id: WorkerId, until: Time) {
        let received = |load: &mut UnconfirmedLoad| load.worker_id == worker_id && load.sent_at <= until;
        let received = self.unconfirmed.extract_if(.., received);
        let delayed = received.map(|load| DelayedLoad { sent_at: load.sent_at, received_by: now });
        self.delayed.extend(delayed);
    }

    /// How many load requests are out of the window by their sending, but may have been received within it: a worker that
    /// hung, or a connection that was opened for them, delayed them. One whose worker is not heard of may be received for
    /// another window.
    pub fn delayed_loads(&mut self, now: Time, window: Time, margin: Time) -> usize {
        self.unconfirmed.retain(|load| load.sent_at + 2 * window + margin >= now);
        self.delayed.retain(|load| load.received_by + window + margin >= now);
        let sent = self.unconfirmed.iter().map(|load| load.sent_at);
        let sent = sent.chain(self.delayed.iter().map(|load| load.sent_at));
        sent.filter(|sent_at| sent_at + window + margin < now).count()
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
