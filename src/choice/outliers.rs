//! Workers that do badly: learned in-flight limits, ejection of outliers, and overload of all.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// Learning the in-flight limit: it grows by one for each limit's worth of good answers while it is used,
    /// and is reduced when latencies near the objective (0.45 did better than 0.6 and 0.7 everywhere).
    pub(super) fn adapt_in_flight_limit(&mut self, worker_id: WorkerId) {
        let worker = &mut self.workers[worker_id];
        let limit = worker.in_flight_limit;
        if worker.latency_ratio > 0.45 {
            self.reduce_in_flight_limit(worker_id);
        } else if f64::from(worker.in_flight + 1) > limit / 2.0 {
            worker.in_flight_limit = (limit + 1.0 / limit).min(self.config.max_in_flight);
        }
    }

    /// Too much is in flight at this worker: a fifth less, once in a quarter second (a round of answers).
    pub(super) fn reduce_in_flight_limit(&mut self, worker_id: WorkerId) {
        // Four in flight from all gateways together keep any worker busy, however slow it has become.
        let (now, least) = (self.now, (4.0 / self.config.gateway_count).max(1.0));
        let worker = &mut self.workers[worker_id];
        if now > worker.limit_reduced_at + SECOND / 4 {
            let used = worker.in_flight_limit.min(f64::from(worker.in_flight + 1));
            worker.in_flight_limit = (used * 0.8).max(least);
            worker.limit_reduced_at = now;
        }
    }

    /// The users' way: a worker is judged by failures in a row. Late answers count, so that slow, hanging,
    /// silent and refusing workers are one symptom. After three it is ejected, each time twice as long; it
    /// comes back on trial. Never more than a third of the workers, and none while the gateway sees overload:
    /// then lateness is not theirs, and ejecting workers makes it worse.
    pub(super) fn record_failure(&mut self, worker_id: WorkerId) {
        let (now, overloaded) = (self.now, self.is_overloaded());
        let count = self.workers.active().0 as usize;
        let ejected = self.workers.ejected(now);
        let worker = &mut self.workers[worker_id];
        worker.failures += u32::from(!overloaded);
        // Two late answers in a row are common, three rare.
        let chance = worker.failures < 3 && worker.ejection_time == 0;
        if !overloaded && !chance && worker.ejected_until <= now && (ejected + 1) * 3 <= count {
            let time = (worker.ejection_time * 2).clamp(SECOND, 8 * SECOND);
            // The trial comes at its own time, or all gateways would try a worker that is still bad together.
            let until = now + self.jitter(time);
            (self.workers[worker_id].ejection_time, self.workers[worker_id].ejected_until) = (time, until);
        }
    }

    /// A tenth of the requests found no capacity: more than chance, less than a jam.
    pub(super) fn is_overloaded(&self) -> bool {
        self.saturation_count.recent(self.now) * 10 > self.arrival_count.recent(self.now).max(20)
    }
}
