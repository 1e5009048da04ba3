//! The fourth rule: no worker that is warming up is overloaded, by all gateways together.
use crate::rows::Row;
use crate::{Audit, Rule, Time};
use std::collections::VecDeque;

/// A worker since its last start: what it can do, and the work that reached it within the window.
pub(crate) struct WarmingWorker {
    started_at: Time,
    /// Work in a tenth of a millisecond, in tenths, once it is warm.
    capacity: f64,
    /// Share of its capacity that it has at first.
    initial_share: f64,
    /// How long it warms up.
    duration: Time,
    recent: VecDeque<Work>,
    /// Sum of the recent work.
    sum: f64,
    /// Whether it was sent too much since it started.
    overloaded: bool,
}

/// Work that reached a worker.
struct Work {
    at: Time,
    /// In tenths of a millisecond of one core.
    amount: f64,
}

impl WarmingWorker {
    fn new(row: &Row) -> WarmingWorker {
        WarmingWorker {
            started_at: row.time,
            capacity: row.capacity,
            initial_share: row.from,
            duration: row.left,
            recent: VecDeque::new(),
            sum: 0.0,
            overloaded: false,
        }
    }

    fn add(&mut self, at: Time, amount: f64, window: Time) {
        self.recent.push_back(Work { at, amount });
        self.sum += amount;
        while self
            .recent
            .front()
            .is_some_and(|work| work.at + window < at)
        {
            self.sum -= self.recent.pop_front().map_or(0.0, |work| work.amount);
        }
    }

    /// Part of its capacity that it has at an age.
    fn share_at(&self, age: Time) -> f64 {
        self.initial_share + (1.0 - self.initial_share) * age as f64 / self.duration.max(1) as f64
    }
}

impl Audit {
    pub(crate) fn worker_started(&mut self, row: &Row) {
        self.warming_workers
            .insert(row.worker, WarmingWorker::new(row));
    }

    pub(crate) fn worker_fell_over(&mut self, row: &Row) {
        self.count_case(Rule::SlowStart);
        let text = format!("worker {} fell over", row.worker);
        self.breach(Rule::SlowStart, row.time, text);
    }

    /// Work that reaches a worker that warms up, against what makes it fall over. A start has one breach at most.
    pub(crate) fn check_slow_start(&mut self, row: &Row) {
        let (now, window, multiple) = (row.time, self.rules.fall, self.rules.fall_multiple);
        let Some(worker) = self.warming_workers.get_mut(&row.worker) else {
            return;
        };
        let age = now - worker.started_at;
        if age >= worker.duration {
            return;
        }
        worker.add(now, row.work, window);
        let limit = multiple * worker.share_at(age) * worker.capacity * window as f64;
        let (sum, exceeds) = (worker.sum, worker.sum > limit);
        let first = exceeds && !worker.overloaded;
        worker.overloaded |= exceeds;
        self.count_case(Rule::SlowStart);
        if first {
            let text = format!(
                "worker {} was sent {:.0} ms of work, {:.0} ms tips it",
                row.worker,
                sum / 10.0,
                limit / 10.0
            );
            self.breach(Rule::SlowStart, now, text);
        }
    }
}
