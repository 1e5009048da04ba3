//! Slow start: how much a worker gets while it warms up after a start.
use super::*;
use crate::workers::WarmCapacity;

impl<A: SchedulerActions> Scheduler<A> {
    /// The budget of a worker in slow start. What it can take is given nowhere: this gateway's own share of
    /// it is what warm workers do for it (not what it sends: in overload most of that is rejected), at the
    /// fraction that the worker is warm by now at the least. It is overloaded at `overload_tolerance` times
    /// that; 0.6 of it leaves room for small machines, busy days and uneven gateways. Among hundreds of
    /// gateways a share is far less than one attempt a window: each rounds it up or down by chance, once a
    /// start, so that all together send what is due. One that just started knows no rates and sends none.
    pub(super) fn has_slow_start_capacity(&self, worker_id: WorkerId, class: usize) -> bool {
        const SHARE: f64 = 0.6;
        let worker = &self.workers[worker_id];
        let Some(part) = self.slow_start_share(worker) else { return true };
        // What attempts cost there shows with the first end: until then one at a time.
        if worker.slow_start_cost_ratio == 0.0 && !worker.slow_start_open.is_empty() {
            return false;
        }
        let WarmCapacity { count, ratings, work } =
            self.workers.warm_capacity(self.now, |other| self.warm_at(other));
        // Warm machines that are larger say too much of what this one can take.
        let size = if ratings > 0.0 { (worker.endpoint.rating * count / ratings).min(1.0) } else { 1.0 };
        let dearer = worker.slow_start_cost_ratio.max(1.0);
        let (weight, window) = (dearer * self.classes[class].warm_latency, self.config.overload_window);
        // At what each class is known to cost by now: requests that turn out dear count as dear from then on.
        let sent = worker.slow_start_attempts.iter().filter(|attempt| attempt.0 + window >= self.now);
        let used: f64 = sent.map(|attempt| dearer * self.classes[attempt.1].warm_latency).sum();
        // One that has not ended costs at least what it has taken so far, which no end tells yet.
        let open = worker.slow_start_open.iter().filter(|open| open.0 + window >= self.now);
        let beyond =
            |open: &(Time, usize)| (self.now - open.0) as f64 - dearer * self.classes[open.1].warm_latency;
        let used = used + open.map(|open| beyond(open).max(0.0)).sum::<f64>();
        let share = SHARE * self.config.overload_tolerance * part;
        let room = share * size * work / f64::max(count, 1.0) * window as f64 / SECOND as f64;
        // One that is more than all shares together overloads it alone: long runs, windows of half a second.
        used + worker.slow_start_rounding * weight <= room && weight <= room * self.config.gateway_count
    }

    /// An attempt at a worker in slow start had a good end after so long.
    pub(super) fn slow_start_cost_seen(&mut self, worker_id: WorkerId, class: usize, latency: f64) {
        if self.slow_start_share(&self.workers[worker_id]).is_none() {
            return;
        }
        let ratio = latency / self.classes[class].warm_latency.max(1.0);
        let known = self.workers[worker_id].slow_start_cost_ratio;
        self.workers[worker_id].slow_start_cost_ratio =
            if known == 0.0 { ratio } else { (known + ratio) / 2.0 };
    }

    /// When a worker is warm; a start at 0 is long ago.
    pub(super) fn warm_at(&self, worker: &Worker) -> Time {
        match worker.endpoint.started_at {
            0 => 0,
            started_at => started_at + self.config.slow_start.duration,
        }
    }

    /// How warm a worker is at the least, None when it is warm; a start at 0 is long ago.
    pub(super) fn slow_start_share(&self, worker: &Worker) -> Option<f64> {
        let started_at = worker.endpoint.started_at;
        let age = self.now.saturating_sub(started_at);
        self.config.slow_start.share_at(age).filter(|_| started_at > 0)
    }
}
