//! Load checks and load reports: the part of a worker's load that this gateway's own requests do not show.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// Returns the placement to use for the request, None if the request has to wait. Departure: in a large
    /// fleet, own requests in flight do not show a worker's load. So the next two placements of the rotation
    /// are checked, and the second is used if the first is clearly fuller. A report is used for a fifth of a
    /// second (reports are no more recent than that). A worker that takes over 20 ms to answer counts as
    /// full, so a silent or jammed worker delays a request by no more than that.
    pub(super) fn check_load(&mut self, slot: RequestSlot, selection: &Selection) -> Option<usize> {
        let first = selection.first;
        if !self.config.load_checks || self.report_mismatch_ratio > MAX_REPORT_MISMATCH_RATIO {
            self.report_mismatch_ratio *= 0.99; // halves over seventy requests; then reports are used again
            return Some(first);
        }
        let second = selection.second.unwrap_or(first);
        let function = &self.functions[self.requests[slot].info.function];
        let class = function.class;
        let checked = [first, second].map(|position| function.placements[position].worker_id);
        if self.request_recent_reports(checked) {
            self.requests[slot].load_checks = checked;
            return None;
        }
        let [first_load, second_load] = checked.map(|worker_id| self.expected_load(class, worker_id));
        let use_second = first_load > 1.5 * second_load + 0.1;
        let (position, is_full) =
            if use_second { (second, second_load > FULL_LOAD) } else { (first, first_load > FULL_LOAD) };
        if is_full && self.add_instance(slot) {
            return None;
        }
        let wait_until = self.requests[slot].instance_added_at + self.config.load_check_timeout;
        (!is_full || self.now >= wait_until).then_some(position)
    }

    /// Sends load checks to workers without a recent report. Returns whether a request should wait for an
    /// answer.
    fn request_recent_reports(&mut self, worker_ids: [WorkerId; 2]) -> bool {
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

    /// Departure: the rate bounds consider one instance alone. If the workers of the first n placements are
    /// full, R exceeds what they can do, and instances are added, up to three per request. The request waits
    /// briefly in case they are already loaded. None are added while attempts miss: memory is short, and a
    /// load would evict another instance.
    fn add_instance(&mut self, slot: RequestSlot) -> bool {
        let (now, function_id) = (self.now, self.requests[slot].info.function);
        let limit = self.max_instances(function_id);
        let function = &mut self.functions[function_id];
        let request = &mut self.requests[slot];
        let may_add = self.miss_ratio < 0.1 && function.desired_instances < limit;
        if !may_add || request.instances_added >= 3 {
            return false;
        }
        request.instances_added += 1;
        request.instance_added_at = now;
        function.saturated_at = now;
        function.desired_instances += 1;
        self.request_loads(function_id);
        true
    }

    /// The worker's observed load, as a fraction of a request's latency objective.
    pub(super) fn expected_load(&self, class: usize, worker_id: WorkerId) -> f64 {
        let (worker, class) = (&self.workers[worker_id], &self.classes[class]);
        let mean_work =
            if class.mean_cost > 0.0 { class.mean_cost } else { class.latency_objective as f64 / 10.0 };
        let is_unanswered = worker.load_check_sent_at > worker.reported_at;
        if is_unanswered && self.now >= worker.load_check_sent_at + LOAD_CHECK_TIMEOUT {
            return 1e6;
        }
        let is_trusted = self.report_mismatch_ratio <= MAX_REPORT_MISMATCH_RATIO;
        let is_recent = self.now < worker.reported_at + REPORT_LIFETIME && is_trusted;
        let recent_latency_ratio =
            if worker.completed_work.recent(self.now) > 0 { worker.latency_ratio } else { 0.0 };
        let capacity = self.capacity_per_rating * class.observed_objective;
        recent_latency_ratio.max(indicator(is_recent) * worker.reported_load * mean_work / capacity)
    }

    /// Records a load report: requests in flight, and the fraction of the worker's cores that is busy. 0
    /// means that the value is not reported.
    pub fn load_reported(&mut self, worker_id: WorkerId, in_flight: f64, busy: f64) {
        let worker = &mut self.workers[worker_id];
        // The fraction of busy cores says little near 1. By queueing theory, busy / (1 - busy) requests are
        // then in the system; 1.05 instead of 1 allows for noise in the reports.
        let queue_estimate = busy / (1.05 - busy.min(1.0));
        let rating = worker.endpoint.rating.max(0.1);
        worker.reported_load = if in_flight > 0.0 { in_flight / rating } else { queue_estimate };
        worker.reported_at = self.now;
    }

    /// Records the end of a health check. A load report that came with it was passed in before.
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
