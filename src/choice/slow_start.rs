//! Slow start: how much work a worker gets while it warms up after a start.
use super::*;
use crate::workers::WarmCapacity;

impl<A: SchedulerActions> Scheduler<A> {
    /// Whether the budget of a worker in slow start has room for an attempt of this class. Its capacity is
    /// not configured: this gateway's share of it is taken to be the work that warm workers complete for this
    /// gateway (not what it sends to them, most of which is rejected in overload), times the least fraction
    /// by which the worker is warm. The worker is overloaded at `overload_tolerance` times that; using 0.6 of
    /// it leaves room for small machines, busy days and uneven gateways. Among hundreds of gateways a share
    /// is far less than one attempt per window. Each gateway rounds it up or down at random, once per start,
    /// so that all together send the right amount. A gateway that has just started knows no rates and sends
    /// nothing to workers in slow start.
    pub(super) fn has_slow_start_capacity(&self, worker_id: WorkerId, class: usize) -> bool {
        const SHARE: f64 = 0.6;
        let worker = &self.workers[worker_id];
        let Some(warm_share) = self.slow_start_share(worker) else { return true };
        // The cost of attempts at this worker is known once the first one ends; until then one is sent at a
        // time.
        if worker.slow_start_cost_ratio == 0.0 && !worker.slow_start_open.is_empty() {
            return false;
        }
        let WarmCapacity { count, ratings, work } =
            self.workers.warm_capacity(self.now, |other| self.warm_at(other));
        // If the warm machines are larger, their work overstates the capacity of this one.
        let relative_size =
            if ratings > 0.0 { (worker.endpoint.rating * count / ratings).min(1.0) } else { 1.0 };
        let cost_ratio = worker.slow_start_cost_ratio.max(1.0);
        let (attempt_cost, window) =
            (cost_ratio * self.classes[class].warm_latency, self.config.overload_window);
        // Attempts sent before are counted at the present cost of their class: if requests turn out
        // expensive, earlier ones count as expensive from then on.
        let sent = worker.slow_start_attempts.iter().filter(|attempt| attempt.0 + window >= self.now);
        let used_budget: f64 = sent.map(|attempt| cost_ratio * self.classes[attempt.1].warm_latency).sum();
        // An open attempt costs at least the time that it has taken so far, which no completed attempt shows
        // yet.
        let open = worker.slow_start_open.iter().filter(|open| open.0 + window >= self.now);
        let excess_cost = |open: &(Time, usize)| {
            (self.now - open.0) as f64 - cost_ratio * self.classes[open.1].warm_latency
        };
        let used_budget = used_budget + open.map(|open| excess_cost(open).max(0.0)).sum::<f64>();
        let share = SHARE * self.config.overload_tolerance * warm_share;
        let budget = share * relative_size * work / f64::max(count, 1.0) * window as f64 / SECOND as f64;
        // An attempt that exceeds all gateways' shares together overloads the worker by itself: long runs,
        // windows of half a second.
        used_budget + worker.slow_start_rounding * attempt_cost <= budget
            && attempt_cost <= budget * self.config.gateway_count
    }

    /// Records the cost of an attempt at a worker in slow start that succeeded after `latency`.
    pub(super) fn record_slow_start_cost(&mut self, worker_id: WorkerId, class: usize, latency: f64) {
        if self.slow_start_share(&self.workers[worker_id]).is_none() {
            return;
        }
        let ratio = latency / self.classes[class].warm_latency.max(1.0);
        let known_ratio = self.workers[worker_id].slow_start_cost_ratio;
        self.workers[worker_id].slow_start_cost_ratio =
            if known_ratio == 0.0 { ratio } else { (known_ratio + ratio) / 2.0 };
    }

    /// The time at which a worker is warm. A start at 0 is long ago.
    pub(super) fn warm_at(&self, worker: &Worker) -> Time {
        match worker.endpoint.started_at {
            0 => 0,
            started_at => started_at + self.config.slow_start.duration,
        }
    }

    /// The least fraction by which a worker is warm, None once it is warm. A start at 0 is long ago.
    pub(super) fn slow_start_share(&self, worker: &Worker) -> Option<f64> {
        let started_at = worker.endpoint.started_at;
        let age = self.now.saturating_sub(started_at);
        self.config.slow_start.share_at(age).filter(|_| started_at > 0)
    }
}
