//! How many instances a function should have, by the rate of its requests.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// The page's bounds of one instance, Rmin and Rmax.
    pub(super) fn instance_rates(&self, function_id: FunctionId) -> InstanceRates {
        let (function, second) = (&self.functions[function_id], SECOND as f64);
        let class = &self.classes[function.class];
        let objective = class.latency_objective as f64 + class.objective_per_cost * class.mean_cost;
        let objective = objective.min(class.client_timeout) / second;
        let warm = function.warm_latency;
        let run = if warm > 0.0 { warm / second } else { objective / 10.0 };
        // A run is a tenth of a millisecond at the least, the clock's step, and so may the objective be.
        let (run, lanes) = (run.max(1e-4).min(objective / 2.0), f64::from(function.lanes));
        let (min, max) = (1.0 / (objective - run), 1.0 / run);
        // Departure: where the whole numbers cross (runs of about a second and more) they stay unrounded. The
        // floor would be 0 there, and one instance would count for any rate.
        let (min, max) = if max.floor() < min.ceil() { (min, max) } else { (min.ceil(), max.floor()) };
        InstanceRates { min: min * lanes, max: max * lanes, run }
    }

    /// R: the function's requests a second that the count of instances goes by.
    fn request_rate(&mut self, function_id: FunctionId, run: f64) -> f64 {
        let (now, started_at) = (self.now, self.started_at);
        let first = self.usable_placements(function_id).take(self.functions[function_id].desired_instances);
        let concurrency: f64 = first.map(|p| self.functions[function_id].placements[p].concurrency).sum();
        let function = &mut self.functions[function_id];
        let counted = per_second(function.rate.count_and_span(now, started_at));
        // Departure: where a run is longer than the span of R, R is that of the requests in hand, by Little's
        // law; one request in two seconds would buy an instance for every two seconds of its run.
        let long = run * SECOND as f64 > Counter::SPAN as f64;
        let rate = if long { f64::from(function.open_requests) / run } else { counted };
        if !self.config.large_fleet || function.warm_latency <= 0.0 {
            return rate;
        }
        // Departure: R of all gateways, by Little's law from the concurrency that own requests met at the
        // first n; one less, which may be chance. Counted double while few attempts miss (tried: 1, 1.5, 2,
        // 3): requests wait for lanes long before all are taken, and there is memory for more.
        let spare = if self.miss_ratio < 0.1 { 2.0 } else { 1.0 };
        rate.max((spare * concurrency - 1.0) * SECOND as f64 / function.warm_latency)
    }

    /// The page's count of instances: above Rmax grow for the excess, inside the alpha band stay, below it
    /// give up one at a check, never the last while requests come.
    pub(super) fn scale(&mut self, function_id: FunctionId, check: bool) {
        const ALPHA: f64 = 0.8; // the page's
        let InstanceRates { min, max, run } = self.instance_rates(function_id);
        let rate = self.request_rate(function_id, run);
        let (now, keep_alive) = (self.now, self.config.keep_alive);
        let function = &mut self.functions[function_id];
        let unused = now > function.last_request_at + keep_alive;
        // With few own requests a check counts only where an answer has come since the last release.
        let settled = function.answered_since_release && now > function.saturated_at + keep_alive;
        let check = check && (!self.config.large_fleet || settled || unused);
        let n = function.desired_instances as f64;
        if rate > n * max {
            let limit = self.max_instances(function_id);
            let (placements, wanted) =
                (self.functions[function_id].placements.len(), ((rate / max).ceil() as usize).min(limit));
            self.functions[function_id].desired_instances = wanted;
            if placements >= MAX_PLACEMENTS && 2 * wanted > placements {
                self.add_missing_placements(function_id); // it needs more of the fleet than a function has
            }
        } else if check && rate < ALPHA * n * min + (1.0 - ALPHA) * n * max && function.desired_instances > 1
        {
            function.desired_instances -= 1;
            function.answered_since_release = false;
        } else if check && function.desired_instances == 1 && unused {
            function.desired_instances = 0;
        }
        self.request_loads(function_id);
    }

    /// On hosts that add no instances by themselves a worker may have to hold several (16 at most).
    pub(super) fn max_instances(&self, function_id: FunctionId) -> usize {
        self.usable_placements(function_id).count().max(1) * 4
    }
}
