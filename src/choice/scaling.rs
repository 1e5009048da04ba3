//! The number of instances that a function should have, by its request rate.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// The design's rate bounds of one instance, Rmin and Rmax.
    pub(super) fn instance_rates(&self, function_id: FunctionId) -> InstanceRates {
        let (function, second) = (&self.functions[function_id], SECOND as f64);
        let class = &self.classes[function.class];
        let objective = class.latency_objective as f64 + class.objective_per_cost * class.mean_cost;
        let objective = objective.min(class.client_timeout) / second;
        let warm_latency = function.warm_latency;
        let run_time = if warm_latency > 0.0 { warm_latency / second } else { objective / 10.0 };
        // A run takes at least a tenth of a millisecond, the resolution of the clock, and the objective may
        // be as short.
        let (run_time, lanes) = (run_time.max(1e-4).min(objective / 2.0), f64::from(function.lanes));
        let (min, max) = (1.0 / (objective - run_time), 1.0 / run_time);
        // Departure: where the rounded bounds cross (runs of about a second and more) they are not rounded.
        // The floor would be 0 there, and one instance would count for any rate.
        let (min, max) = if max.floor() < min.ceil() { (min, max) } else { (min.ceil(), max.floor()) };
        InstanceRates { min: min * lanes, max: max * lanes, run_time }
    }

    /// R: the request rate of the function, per second, that determines the number of instances.
    fn request_rate(&mut self, function_id: FunctionId, run_time: f64) -> f64 {
        let (now, started_at) = (self.now, self.started_at);
        let first = self.usable_placements(function_id).take(self.functions[function_id].desired_instances);
        let concurrency: f64 = first.map(|p| self.functions[function_id].placements[p].concurrency).sum();
        let function = &mut self.functions[function_id];
        let counted_rate = per_second(function.rate.count_and_span(now, started_at));
        // Departure: where a run is longer than the window of R, R is computed from the open requests by
        // Little's law. Otherwise one request in two seconds would add an instance for every two seconds of
        // its run.
        let is_long_run = run_time * SECOND as f64 > Counter::SPAN as f64;
        let rate = if is_long_run { f64::from(function.open_requests) / run_time } else { counted_rate };
        if !self.config.large_fleet || function.warm_latency <= 0.0 {
            return rate;
        }
        // Departure: R of all gateways, by Little's law from the concurrency that own requests found at the
        // first n placements, less one request, which may be chance. It is doubled while few attempts miss
        // (tried: 1, 1.5, 2, 3): requests wait for lanes long before all lanes are taken, and there is memory
        // for more instances.
        let headroom = if self.miss_ratio < 0.1 { 2.0 } else { 1.0 };
        rate.max((headroom * concurrency - 1.0) * SECOND as f64 / function.warm_latency)
    }

    /// Sets the number of instances by the design's rule: above Rmax it grows by the excess, inside the alpha
    /// band it stays, and below the band one instance is released per check, but never the last while
    /// requests arrive.
    pub(super) fn scale(&mut self, function_id: FunctionId, check: bool) {
        const ALPHA: f64 = 0.8; // from the design
        let InstanceRates { min, max, run_time } = self.instance_rates(function_id);
        let rate = self.request_rate(function_id, run_time);
        let (now, keep_alive) = (self.now, self.config.keep_alive);
        let function = &mut self.functions[function_id];
        let is_unused = now > function.last_request_at + keep_alive;
        // With few own requests, a check counts only if an answer has come since the last release.
        let is_settled = function.answered_since_release && now > function.saturated_at + keep_alive;
        let check = check && (!self.config.large_fleet || is_settled || is_unused);
        let n = function.desired_instances as f64;
        if rate > n * max {
            let limit = self.max_instances(function_id);
            let (placements, desired) =
                (self.functions[function_id].placements.len(), ((rate / max).ceil() as usize).min(limit));
            self.functions[function_id].desired_instances = desired;
            if placements >= MAX_PLACEMENTS && 2 * desired > placements {
                self.add_missing_placements(function_id); // it needs more workers than it has placements
            }
        } else if check && rate < ALPHA * n * min + (1.0 - ALPHA) * n * max && function.desired_instances > 1
        {
            function.desired_instances -= 1;
            function.answered_since_release = false;
        } else if check && function.desired_instances == 1 && is_unused {
            function.desired_instances = 0;
        }
        self.request_loads(function_id);
    }

    /// Upper bound of instances. Where workers add no instances by themselves, one may have to hold several
    /// (16 at most).
    pub(super) fn max_instances(&self, function_id: FunctionId) -> usize {
        self.usable_placements(function_id).count().max(1) * 4
    }
}
