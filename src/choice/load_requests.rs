//! Load requests: which instances workers are asked to load, and the rate limit of load requests.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// Requests missing instances for the first n usable placements, where n is the desired number of
    /// instances, and renews instances that are in use.
    pub(crate) fn request_loads(&mut self, function_id: FunctionId) {
        let n = self.functions[function_id].desired_instances;
        let (primary_count, renewal_age) =
            (self.usable_placements(function_id).take(n).count(), self.config.keep_alive / 2);
        let mut rank = 0;
        for position in 0..self.functions[function_id].placements.len() {
            let placement = self.functions[function_id].placements[position];
            if rank == primary_count {
                break;
            }
            if !self.is_usable(function_id, &placement) {
                continue;
            }
            let instances = (n - rank).div_ceil(primary_count);
            rank += 1;
            // Renewal starts at half the keep-alive, so that one lost renewal leaves time for another.
            // Requests renew an instance by themselves.
            let in_use = self.now < self.functions[function_id].last_request_at + renewal_age;
            let is_due = self.now > placement.renewed_at + renewal_age && in_use;
            let presumed = self.config.presume_loaded && rank <= 1;
            let unknown = placement.instances == InstanceState::Unknown && !presumed;
            let missing = unknown || placement.instances == InstanceState::Absent;
            let renew = is_due && placement.instances == InstanceState::Loaded;
            if placement.pending_loads == 0 && (missing || renew) {
                self.load_instances(function_id, position, instances as u32, missing);
            }
        }
    }

    /// Sends a load request unless the worker drains, the rate limit is reached, or one is already pending
    /// for the placement. Every load request passes these checks.
    pub(super) fn load_instances(
        &mut self,
        function_id: FunctionId,
        position: usize,
        instances: u32,
        missing: bool,
    ) -> bool {
        let (now, placement) = (self.now, self.functions[function_id].placements[position]);
        // In a large fleet, a first attempt shows whether the function exists before any load request is
        // sent.
        let is_confirmed_function = self.functions[function_id].confirmed || !self.config.presume_loaded;
        let may_send = self.workers[placement.worker_id].is_active() && placement.blocked_until <= now;
        let may_send = may_send && self.is_confirmed(placement.worker_id);
        if !self.config.may_load || !may_send || !is_confirmed_function || placement.pending_loads > 0 {
            return false;
        }
        if !self.may_call(function_id) {
            return false;
        }
        if self.config.load_limit.window > 0 && !self.admit_load_request(missing) {
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
        self.count_call(function_id, false);
        self.host.limit_departures(worker_id, self.confirmed_until(worker_id));
        self.host.send_load_request(function_id, worker_id, instances.clamp(1, 16));
        true
    }

    /// Whether the rate limit admits one more load request.
    fn admit_load_request(&mut self, missing: bool) -> bool {
        let limit = self.config.load_limit;
        self.expire_load_history(limit.window);
        let delayed =
            self.load_history.delayed_loads(self.now, limit.window, self.load_window_margin(limit.window));
        // Load requests sent before a restart of this gateway may still count, so the free ones are only used
        // after a full window.
        let free_now = if self.now > self.started_at + limit.window { limit.free } else { 0.0 };
        // Renewals may use at most half of the allowance; the rest is kept for missing instances.
        let fraction = if missing { 1.0 } else { 0.5 };
        // The limit is checked from each earlier load request on. A load request that arrives late (at a
        // silent worker that recovers, or after a restart of this gateway) may find that the requests which
        // admitted those before it have left the window. What remains in the window must be within the limit
        // by itself.
        let (history, count) = (&self.load_history, self.load_history.sent.len() + delayed + 1);
        let exceeds = |earlier, since, free| {
            let earned = limit.per_request * history.arrivals_since(since) as f64;
            (count - earlier) as f64 > (free + earned) * fraction
        };
        let mut sent = history.sent.iter().enumerate();
        !(exceeds(0, 0, free_now) || sent.any(|(i, sent_at)| exceeds(i, *sent_at, limit.free)))
    }

    /// Drops old entries, conservatively in both directions: a load request as old as the window still
    /// counts, an arrival must be more recent than the window.
    pub(super) fn expire_load_history(&mut self, window: Time) {
        self.load_history.expire(self.now, window, self.load_window_margin(window));
    }

    /// The margin of the window: the sweep interval, as load requests take different times to reach their
    /// workers, or the clock drift over a long window.
    fn load_window_margin(&self, window: Time) -> Time {
        MAX_SWEEP_INTERVAL.max(window / CLOCK_RATE_TOLERANCE)
    }

    /// A call to a worker has ended. If the worker itself ended it, the worker has received what was sent to
    /// it more than a sweep interval ago. Anything sent since then may still be unread behind the answer.
    pub(super) fn record_worker_response(&mut self, worker_id: WorkerId, outcome: Outcome) {
        if matches!(outcome, Outcome::Ok | Outcome::Miss | Outcome::AtCapacity | Outcome::Error) {
            let until = self.now.saturating_sub(MAX_SWEEP_INTERVAL);
            self.load_history.worker_received(self.now, worker_id, until);
        }
    }

    /// Marks the function as confirmed if the outcome shows that the worker knows it. From then on its
    /// requests count for the rate limit, and its open requests count as of their arrival. Without this,
    /// hundreds of calls of unknown functions that are cancelled or rejected at once would admit load
    /// requests, although such calls do not count for the limit that the operators require.
    pub(super) fn confirm_function(&mut self, function_id: FunctionId, outcome: Outcome) {
        let is_known = matches!(outcome, Outcome::Ok | Outcome::Miss);
        if !is_known || std::mem::replace(&mut self.functions[function_id].confirmed, true) {
            return;
        }
        self.uncount_calls(function_id);
        for (_, request) in self.requests.iter().filter(|r| r.1.info.function == function_id) {
            self.load_history.add_past_arrival(request.arrived_at);
        }
    }

    /// A load request or a query has ended; the worker now has `instances` loaded.
    pub fn load_request_ended(
        &mut self,
        function_id: FunctionId,
        worker_id: WorkerId,
        outcome: Outcome,
        instances: u32,
    ) {
        let now = self.now;
        self.record_worker_response(worker_id, outcome);
        self.apply_endpoint_changes(function_id);
        let Some(position) = self.placement_on(function_id, worker_id) else { return };
        let placement = &mut self.functions[function_id].placements[position];
        let was_pending = placement.pending_loads + placement.pending_queries > 0;
        // The result does not say whether it belongs to a query or a load request. Queries are sent first and
        // answered at once. Each result is counted once, so neither count stays above zero, whatever a worker
        // answers.
        let is_query = placement.end_pending_call();
        if was_pending {
            self.count_ended_call(function_id);
        }
        self.confirm_function(function_id, outcome);
        // After a lack of memory or a failed load, the same load request would fail again if it were sent at
        // once.
        let blocked_until = now + self.jitter(if self.config.large_fleet { 4 * SECOND } else { SECOND / 2 });
        let function = &mut self.functions[function_id];
        let placement = &mut function.placements[position];
        if !is_query && outcome != Outcome::TimedOut {
            self.load_history.worker_received(now, worker_id, now);
        }
        if is_query && outcome == Outcome::Ok && instances == 0 {
            return;
        }
        let stays_loaded = placement.instances == InstanceState::Loaded
            && matches!(outcome, Outcome::TimedOut | Outcome::Ok);
        if instances > 0 {
            // The load time estimate rises at once and falls slowly, because a load that another gateway
            // requested earlier seems short.
            if !is_query && placement.instances == InstanceState::Loading {
                let elapsed = (now - placement.renewed_at) as f64;
                function.load_time = smooth(function.load_time, elapsed).max(elapsed);
            }
            (placement.instances, placement.renewed_at) = (InstanceState::Loaded, now);
        } else {
            if !stays_loaded && (!is_query || placement.pending_loads == 0) {
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
