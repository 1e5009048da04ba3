//! What the rate limit of load requests counts: arithmetic on times, without any value of its own.
use crate::interface::{FunctionId, Time, WorkerId};
use std::collections::VecDeque;

/// A load request by the time at which it may have come whole to its worker.
struct LoadArrival {
    function_id: FunctionId,
    worker_id: WorkerId,
    sent_at: Time,
    /// At the latest: when it ended, or until that is known a bound.
    latest: Time,
    ended: bool,
}

/// Load requests that were sent and arrivals that allow them, each oldest first.
#[derive(Default)]
pub struct LoadHistory {
    /// When load requests were sent.
    pub sent: VecDeque<Time>,
    /// The same load requests, as long as they may have come within the window.
    load_arrivals: Vec<LoadArrival>,
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

    /// Counts a load request that is sent now. One whose end is never told may come for another window.
    pub fn load_sent(&mut self, now: Time, window: Time, function_id: FunctionId, worker_id: WorkerId) {
        self.sent.push_back(now);
        let latest = now + window;
        self.load_arrivals.push(LoadArrival { function_id, worker_id, sent_at: now, latest, ended: false });
    }

    /// The oldest load request for this function at this worker has come by now.
    pub fn load_ended(&mut self, now: Time, function_id: FunctionId, worker_id: WorkerId) {
        let mut open = self.load_arrivals.iter_mut().filter(|load| !load.ended);
        let ended = open.find(|load| (load.function_id, load.worker_id) == (function_id, worker_id));
        if let Some(load) = ended {
            (load.latest, load.ended) = (load.latest.min(now), true);
        }
    }

    /// How many load requests are out of the window by their sending, but may have come within it: a worker that
    /// hung, or a connection that was opened for them, delayed them.
    pub fn delayed_loads(&mut self, now: Time, window: Time, margin: Time) -> usize {
        self.load_arrivals.retain(|load| load.latest + window + margin >= now);
        let loads = self.load_arrivals.iter();
        loads.filter(|load| load.sent_at + window + margin < now).count()
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
