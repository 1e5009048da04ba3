//! Load requests: which instances workers are asked to load, and the rate limit of asking.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// The first n placements are to have their instances, and instances in use are renewed.
    pub(crate) fn request_loads(&mut self, function_id: FunctionId) {
        let n = self.functions[function_id].desired_instances;
        let (heads, half) = (self.usable_placements(function_id).take(n).count(), self.config.keep_alive / 2);
        let mut rank = 0;
        for position in 0..self.functions[function_id].placements.len() {
            let placement = self.functions[function_id].placements[position];
            if rank == heads {
                break;
            }
            if !self.is_usable(function_id, &placement) {
                continue;
            }
            let instances = (n - rank).div_ceil(heads);
            rank += 1;
            // Half the keep-alive: one renewal lost still leaves time for another. Use renews by itself.
            let in_use = self.now < self.functions[function_id].last_request_at + half;
            let aged = self.now > placement.renewed_at + half && in_use;
            let presumed = self.config.presume_loaded && rank <= 1;
            let unknown = placement.instances == InstanceState::Unknown && !presumed;
            let missing = unknown || placement.instances == InstanceState::Absent;
            let renew = aged && placement.instances == InstanceState::Loaded;
            if placement.pending_loads == 0 && (missing || renew) {
                self.load_instances(function_id, position, instances as u32, missing);
            }
        }
    }

    /// Every load request passes here: drains, the rate limit, and one at a time for a placement.
    pub(super) fn load_instances(
        &mut self,
        function_id: FunctionId,
        position: usize,
        instances: u32,
        missing: bool,
    ) -> bool {
        let (now, placement) = (self.now, self.functions[function_id].placements[position]);
        // In a large fleet the first attempt shows whether there is such a function, before any load request.
        let confirmed = self.functions[function_id].confirmed || !self.config.presume_loaded;
        let open = self.workers[placement.worker_id].is_active() && placement.blocked_until <= now;
        let open = open && self.is_confirmed(placement.worker_id);
        if !self.config.may_load || !open || !confirmed || placement.pending_loads > 0 {
            return false;
        }
        if self.config.load_limit.window > 0 && !self.take_load_allowance(missing) {
            return false;
        }
        if self.config.load_limit.window > 0 {
            self.load_history.load_sent(now, placement.worker_id);
        }
        let placement = &mut self.functions[function_id].placements[position];
        placement.pending_loads += 1;
        if placement.instances != InstanceState::Loaded {
            placement.instances = InstanceState::Loading;
        }
        placement.renewed_at = now;
        let worker_id = placement.worker_id;
        self.host.limit_departures(worker_id, self.confirmed_until(worker_id));
        self.host.send_load_request(function_id, worker_id, instances.clamp(1, 16));
        true
    }

    /// The rate limit of load requests: whether one more is within it, which is then counted.
    fn take_load_allowance(&mut self, missing: bool) -> bool {
        let limit = self.config.load_limit;
        self.expire_load_history(limit.window);
        let delayed =
            self.load_history.delayed_loads(self.now, limit.window, self.load_window_margin(limit.window));
        // Those of a life before a restart may still count, so the free ones come only after a window.
        let free_now = if self.now > self.started_at + limit.window { limit.free } else { 0.0 };
        // Renewals leave half the allowance to instances that are missing.
        let part = if missing { 1.0 } else { 0.5 };
        // It holds from each load request on: one that arrives late (a silent worker heals), or in a next
        // life, finds requests gone that paid for those before, and what is left must do.
        let (history, count) = (&self.load_history, self.load_history.sent.len() + delayed + 1);
        let over = |earlier, since, free| {
            let paid = limit.per_request * history.arrivals_since(since) as f64;
            (count - earlier) as f64 > (free + paid) * part
        };
        let mut sent = history.sent.iter().enumerate();
        !(over(0, 0, free_now) || sent.any(|(i, sent_at)| over(i, *sent_at, limit.free)))
    }

    /// Load requests as old as the window still count, requests must be younger: the safe way for both.
    pub(super) fn expire_load_history(&mut self, window: Time) {
        self.load_history.expire(self.now, window, self.load_window_margin(window));
    }

    /// A sweep, as load requests take different times to their workers, or what clocks may differ by over a
    /// long window.
    fn load_window_margin(&self, window: Time) -> Time {
        MAX_SWEEP_INTERVAL.max(window / CLOCK_RATE_TOLERANCE)
    }

    /// A call to a worker has ended: where the worker itself ended it, what had been sent to it a sweep before
    /// has come. What was sent since then may lie unread behind the answer.
    pub(super) fn worker_heard(&mut self, worker_id: WorkerId, outcome: Outcome) {
        if matches!(outcome, Outcome::Ok | Outcome::Miss | Outcome::AtCapacity | Outcome::Error) {
            let until = self.now.saturating_sub(MAX_SWEEP_INTERVAL);
            self.load_history.worker_received(self.now, worker_id, until);
        }
    }

    /// A worker has shown that it knows this function: its requests count for the rate limit from now on, and
    /// those in hand as of when they came. Guards against calls of unknown functions by the hundred,
    /// cancelled or rejected at once: the users count none, and a few of them would buy a load request.
    pub(super) fn confirm_function(&mut self, function_id: FunctionId, outcome: Outcome) {
        let shows = matches!(outcome, Outcome::Ok | Outcome::Miss);
        if !shows || std::mem::replace(&mut self.functions[function_id].confirmed, true) {
            return;
        }
        for (_, request) in self.requests.iter().filter(|r| r.1.info.function == function_id) {
            self.load_history.add_past_arrival(request.arrived_at);
        }
    }

    /// A load request, or a query, has ended; `instances` are loaded at the worker now.
    pub fn load_request_ended(
        &mut self,
        function_id: FunctionId,
        worker_id: WorkerId,
        outcome: Outcome,
        instances: u32,
    ) {
        let now = self.now;
        self.worker_heard(worker_id, outcome);
        self.take_in_changes(function_id);
        let Some(position) = self.placement_on(function_id, worker_id) else { return };
        self.confirm_function(function_id, outcome);
        // No memory or a failed load: the same load request at once would fail again.
        let blocked_until = now + self.jitter(if self.config.large_fleet { 4 * SECOND } else { SECOND / 2 });
        let function = &mut self.functions[function_id];
        let placement = &mut function.placements[position];
        // An end does not say whether it is a query's or a load request's; queries go first and are answered
        // at once. Each end counts once, so neither stays out for good, whatever a worker says.
        let query = placement.end_pending_call();
        if !query && outcome != Outcome::TimedOut {
            self.load_history.worker_received(now, worker_id, now);
        }
        if query && outcome == Outcome::Ok && instances == 0 {
            return;
        }
        let stays = placement.instances == InstanceState::Loaded
            && matches!(outcome, Outcome::TimedOut | Outcome::Ok);
        if instances > 0 {
            // How long its loads take: rises at once, falls slowly, as one that others requested seems short.
            if !query && placement.instances == InstanceState::Loading {
                let took = (now - placement.renewed_at) as f64;
                function.load_time = smooth(function.load_time, took).max(took);
            }
            (placement.instances, placement.renewed_at) = (InstanceState::Loaded, now);
        } else {
            if !stays && (!query || placement.pending_loads == 0) {
                placement.instances = InstanceState::Absent;
            }
            placement.blocked_until = blocked_until;
        }
        if matches!(outcome, Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut) {
            self.record_failure(worker_id);
        }
        if instances > 0 {
            self.retry_waiting(|request| request.info.function == function_id);
        }
    }
}
