//! Load checks and load reports: how full workers are, as far as this gateway's own requests do not show it.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// Departure: in a large fleet own requests in flight do not show how full a worker is, so the next two
    /// of the rotation are checked, and it moves on where the next is clearly fuller. A report holds for a
    /// fifth of a second (reports are no newer); one that takes over 20 ms counts as full: silent and jammed
    /// workers cost a request no more.
    pub(super) fn check_load(&mut self, slot: RequestSlot, selection: &Selection) -> Option<usize> {
        let first = selection.first;
        if !self.config.load_checks || self.report_distrust > MAX_REPORT_DISTRUST {
            self.report_distrust *= 0.99; // halved in seventy requests, then reports are tried again
            return Some(first);
        }
        let second = selection.second.unwrap_or(first);
        let function = &self.functions[self.requests[slot].info.function];
        let class = function.class;
        let checked = [first, second].map(|position| function.placements[position].worker_id);
        if self.awaits_report(checked) {
            self.requests[slot].load_checks = checked;
            return None;
        }
        let [load, other] = checked.map(|worker_id| self.expected_load(class, worker_id));
        let moves = load > 1.5 * other + 0.1;
        let (position, full) = if moves { (second, other > FULL_LOAD) } else { (first, load > FULL_LOAD) };
        if full && self.add_instance(slot) {
            return None;
        }
        let waited = self.requests[slot].instance_added_at + self.config.load_check_timeout;
        (!full || self.now >= waited).then_some(position)
    }

    /// Sends load checks to workers without a recent report; whether a request should wait for one of them.
    fn awaits_report(&mut self, worker_ids: [WorkerId; 2]) -> bool {
        let (now, mut wait) = (self.now, false);
        for worker_id in worker_ids {
            let worker = &mut self.workers[worker_id];
            if now >= worker.reported_at + REPORT_LIFETIME {
                if worker.load_check_sent_at <= worker.reported_at {
                    worker.load_check_sent_at = now;
                    self.host.send_health_check(worker_id);
                }
                wait |= now < worker.load_check_sent_at + self.config.load_check_timeout;
            }
        }
        wait
    }

    /// Departure: the bounds go by an instance alone; where the workers of the first n are full, R exceeds
    /// what they can do, and instances are added: up to three for a request, which waits a moment for those
    /// that are loaded already. Not while attempts miss: memory is short, and a load would push out another.
    fn add_instance(&mut self, slot: RequestSlot) -> bool {
        let (now, function_id) = (self.now, self.requests[slot].info.function);
        let limit = self.max_instances(function_id);
        let function = &mut self.functions[function_id];
        let request = &mut self.requests[slot];
        let more = self.miss_ratio < 0.1 && function.desired_instances < limit;
        if !more || request.instances_added >= 3 {
            return false;
        }
        request.instances_added += 1;
        request.instance_added_at = now;
        function.saturated_at = now;
        function.desired_instances += 1;
        self.request_loads(function_id);
        true
    }

    /// What a worker was seen to have in flight, as a part of a request's latency objective.
    pub(super) fn expected_load(&self, class: usize, worker_id: WorkerId) -> f64 {
        let (worker, class) = (&self.workers[worker_id], &self.classes[class]);
        let work =
            if class.mean_cost > 0.0 { class.mean_cost } else { class.latency_objective as f64 / 10.0 };
        let unanswered = worker.load_check_sent_at > worker.reported_at;
        if unanswered && self.now >= worker.load_check_sent_at + LOAD_CHECK_TIMEOUT {
            return 1e6;
        }
        let trusted = self.report_distrust <= MAX_REPORT_DISTRUST;
        let fresh = self.now < worker.reported_at + REPORT_LIFETIME && trusted;
        let lately = if worker.completed_work.recent(self.now) > 0 { worker.latency_ratio } else { 0.0 };
        let capacity = self.capacity_per_rating * class.observed_objective;
        lately.max(indicator(fresh) * worker.reported_load * work / capacity)
    }

    /// A load report: requests in flight and the part of its cores that is busy, 0 where they are not given.
    pub fn load_reported(&mut self, worker_id: WorkerId, in_flight: f64, busy: f64) {
        let worker = &mut self.workers[worker_id];
        // Busy cores alone say little near one; queueing theory has so many there (1.05: reports are noisy).
        let waits = busy / (1.05 - busy.min(1.0));
        let rating = worker.endpoint.rating.max(0.1);
        worker.reported_load = if in_flight > 0.0 { in_flight / rating } else { waits };
        worker.reported_at = self.now;
    }

    /// A health check has ended; a load report that came with it was handed in before.
    pub fn health_check_ended(&mut self, worker_id: WorkerId, outcome: Outcome) {
        let worker = &mut self.workers[worker_id];
        (worker.reported_at, worker.load_check_sent_at) = (self.now, 0);
        if outcome != Outcome::Ok {
            worker.reported_load = 1e6;
            self.record_failure(worker_id);
        }
        self.retry_waiting(|request| request.load_checks.contains(&worker_id));
    }
}
