//! Outlier detection: learned in-flight limits, ejection of failing workers, and detection of overload.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// Adapts the in-flight limit. While the limit is used, it grows by one for every `limit` good answers.
    /// It is reduced when latencies approach the objective (0.45 did better than 0.6 and 0.7 everywhere).
    pub(super) fn adapt_in_flight_limit(&mut self, worker_id: WorkerId) {
        let worker = &mut self.workers[worker_id];
        let limit = worker.in_flight_limit;
        if worker.latency_ratio > 0.45 {
            self.reduce_in_flight_limit(worker_id);
        } else if f64::from(worker.in_flight + 1) > limit / 2.0 {
            worker.in_flight_limit = (limit + 1.0 / limit).min(self.config.max_in_flight);
        }
    }

    /// Reduces the in-flight limit of a worker by a fifth, at most once in a quarter second (a round of
    /// answers).
    pub(super) fn reduce_in_flight_limit(&mut self, worker_id: WorkerId) {
        // Four requests in flight from all gateways together keep any worker busy, however slow it has
        // become.
        let (now, min_limit) = (self.now, (4.0 / self.config.gateway_count).max(1.0));
        let worker = &mut self.workers[worker_id];
        if now > worker.limit_reduced_at + SECOND / 4 {
            let used = worker.in_flight_limit.min(f64::from(worker.in_flight + 1));
            worker.in_flight_limit = (used * 0.8).max(min_limit);
            worker.limit_reduced_at = now;
        }
    }

    /// Counts a failure of a worker. As the operators require, a worker is judged by consecutive failures.
    /// Late answers count, so slow, hanging, silent and refusing workers are treated alike. After three
    /// failures it is ejected, each time for twice as long, and returns on trial. Never more than a third of
    /// the workers are ejected, and none while the gateway sees overload: lateness is not the worker's fault
    /// then, and ejection makes the overload worse.
    pub(super) fn record_failure(&mut self, worker_id: WorkerId) {
        let (now, overloaded) = (self.now, self.is_overloaded());
        let count = self.workers.active().0 as usize;
        let ejected = self.workers.ejected(now);
        let worker = &mut self.workers[worker_id];
        worker.failures += u32::from(!overloaded);
        // Two late answers in a row are common, three are rare.
        let is_tolerated = worker.failures < 3 && worker.ejection_duration == 0;
        if !overloaded && !is_tolerated && worker.ejected_until <= now && (ejected + 1) * 3 <= count {
            let duration = (worker.ejection_duration * 2).clamp(SECOND, 8 * SECOND);
            // The end of the ejection is jittered: otherwise all gateways would try a worker that still fails
            // together.
            let until = now + self.jitter(duration);
            (self.workers[worker_id].ejection_duration, self.workers[worker_id].ejected_until) =
                (duration, until);
        }
    }

    /// Whether more than a tenth of the requests found no capacity: more than chance, less than a complete
    /// jam.
    pub(super) fn is_overloaded(&self) -> bool {
        self.saturation_count.recent(self.now) * 10 > self.arrival_count.recent(self.now).max(20)
    }
}
