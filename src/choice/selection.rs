//! Selects the placement for the next attempt of a request, and weighs requests by priority.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// Rotates over the first n usable placements, where n is the desired number of instances. Returns the
    /// next one whose instance is loaded and whose lanes and worker are below their limits, the one after it,
    /// and the rotation that follows.
    pub(super) fn select_placements(&self, slot: RequestSlot, weight: f64) -> Option<Selection> {
        let function_id = self.requests[slot].info.function;
        let function = &self.functions[function_id];
        let (n, large_fleet) = (function.desired_instances.max(1), self.config.large_fleet);
        let primary_count = self.usable_placements(function_id).take(n).count().max(1);
        let (mut next, mut beyond, mut least_crowded) = (TwoLowest::default(), None, None::<(usize, f64)>);
        let even_limit = if large_fleet { f64::MAX } else { self.even_in_flight_limit() };
        let mut next_rank = 0;
        for (position, placement) in function.placements.iter().enumerate() {
            if !self.is_usable(function_id, placement) {
                continue;
            }
            let rank = next_rank;
            next_rank += 1;
            // Instances beyond the first n are usually near the start of the order; searching further cost
            // more CPU than it gained.
            let is_found = next.first.is_some() || beyond.is_some();
            if rank >= primary_count.max(2) && is_found || rank >= primary_count + 16 {
                break;
            }
            let may_be_ready = self.may_be_loaded(slot, placement, rank < primary_count);
            if !may_be_ready || !self.may_send_attempt(slot, placement.worker_id) {
                continue;
            }
            let worker = &self.workers[placement.worker_id];
            let instances = if primary_count < n {
                n.saturating_sub(rank).div_ceil(primary_count).max(1) as u32
            } else {
                1
            };
            let lanes = function.lanes * instances;
            let observed_load =
                if large_fleet { self.expected_load(function.class, placement.worker_id) } else { 0.0 };
            let load = if large_fleet { 0.0 } else { f64::from(worker.in_flight) / worker.in_flight_limit };
            let is_below_limits = load < 0.5 + 0.5 * weight && f64::from(worker.in_flight) < even_limit;
            if is_below_limits && observed_load <= FULL_LOAD && placement.in_flight < lanes {
                // Distance from the rotation's present position.
                let distance = (rank + primary_count - function.rotation % primary_count) % primary_count;
                if rank == 1 && primary_count == 1 && next.first.is_some() {
                    next.second = Some((position, 1));
                } else if rank >= primary_count {
                    beyond = beyond.or(Some(position));
                } else {
                    next.offer(position, distance);
                }
            }
            // Departure: if all of the first n are above their limits, a request of high weight may still be
            // sent to the least crowded one; requests of lower weight find no capacity sooner.
            let crowding =
                load.max(observed_load).max(f64::from(placement.in_flight) / f64::from(lanes) / 2.0);
            if rank < primary_count
                && crowding < 0.6 + 0.5 * weight
                && least_crowded.is_none_or(|best| crowding < best.1)
            {
                least_crowded = Some((position, crowding));
            }
        }
        if let Some((first, distance)) = next.first {
            let next_rotation = function.rotation % primary_count + distance + 1;
            let second = next.second.map(|s| s.0);
            return Some(Selection { first, second, next_rotation, is_beyond_desired: false });
        }
        // Departure: instances known to be loaded beyond the first n are used before the first n are
        // overfilled.
        let first = beyond.or(least_crowded.map(|best| best.0))?;
        let is_beyond_desired = beyond.is_some();
        Some(Selection { first, second: None, next_rotation: function.rotation, is_beyond_desired })
    }

    /// Departure: in a large fleet, an instance in unknown state is presumed loaded because other gateways
    /// use it. A miss costs a round trip, and then the design's load request is sent.
    #[inline]
    fn may_be_loaded(&self, slot: RequestSlot, placement: &Placement, is_primary: bool) -> bool {
        let request = &self.requests[slot];
        let confirmed = self.functions[request.info.function].confirmed;
        let missed_before = request.attempt_count != request.retries as usize;
        let is_unknown = placement.instances == InstanceState::Unknown && !missed_before;
        let is_near_start = is_primary || self.config.presume_loaded && self.miss_ratio < 0.1;
        let is_presumed = is_unknown && is_near_start && (self.config.presume_loaded || !confirmed);
        self.config.large_fleet && is_presumed || self.is_loaded(placement) || !self.config.miss_if_absent
    }

    /// Departure: the in-flight limit, which the design leaves open, also covers all functions of a worker
    /// together: it is three quarters of the workers' mean (tried: 1.25, 1, 0.75; more even was better) plus
    /// one, so that small numbers do not restrict. With lane limits alone, the preferred workers of hot
    /// functions jam while others idle.
    fn even_in_flight_limit(&self) -> f64 {
        let (count, sum) = self.workers.active();
        0.75 * f64::from(sum) / f64::from(count.max(1)) + 1.0
    }

    /// Priority weight of a request from 0 to 1, relative to the highest of any class; reduced beyond a
    /// tenant's quota.
    pub(super) fn priority_weight(&mut self, info: &RequestInfo) -> f64 {
        let max_weight = self.classes.iter().fold(0.0, |max, class| class.priority_weight.max(max));
        let class = &self.classes[info.class];
        let mut weight = if max_weight > 0.0 { class.priority_weight / max_weight } else { 1.0 };
        // A request that is unlikely to be answered within its latency objective is weighted as a late
        // answer.
        if class.expected_latency(info) > class.objective_for(info) {
            weight *= class.late_weight;
        }
        if let Some(tenant) = info.tenant.map(|tenant| &mut self.tenants[tenant]) {
            let rate = per_second(tenant.rate.count_and_span(self.now, self.started_at));
            if rate * self.config.gateway_count > tenant.quota {
                weight *= self.config.over_quota_weight;
            }
        }
        weight
    }
}
