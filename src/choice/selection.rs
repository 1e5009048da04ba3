//! Which placement the next attempt of a request goes to, and how much a request matters.
use super::*;

impl<A: SchedulerActions> Scheduler<A> {
    /// Rotates over the first n: the next one whose instance is loaded, with lanes and worker below their
    /// limits, the one after it, and the rotation that follows.
    pub(super) fn select_placements(&self, slot: RequestSlot, weight: f64) -> Option<Selection> {
        let function_id = self.requests[slot].info.function;
        let function = &self.functions[function_id];
        let (n, large_fleet) = (function.desired_instances.max(1), self.config.large_fleet);
        let heads = self.usable_placements(function_id).take(n).count().max(1);
        let (mut next, mut beyond, mut least) = (TwoLowest::default(), None, None::<(usize, f64)>);
        let even = if large_fleet { f64::MAX } else { self.even_in_flight_limit() };
        let mut next_rank = 0;
        for (position, placement) in function.placements.iter().enumerate() {
            if !self.is_usable(function_id, placement) {
                continue;
            }
            let rank = next_rank;
            next_rank += 1;
            // Instances beyond the first n are near the head; looking further cost more CPU than it found.
            let found = next.first.is_some() || beyond.is_some();
            if rank >= heads.max(2) && found || rank >= heads + 16 {
                break;
            }
            let ready = self.may_be_loaded(slot, placement, rank < heads);
            if !ready || !self.may_send_attempt(slot, placement.worker_id) {
                continue;
            }
            let worker = &self.workers[placement.worker_id];
            let instances = if heads < n { n.saturating_sub(rank).div_ceil(heads).max(1) as u32 } else { 1 };
            let lanes = function.lanes * instances;
            let seen =
                if large_fleet { self.expected_load(function.class, placement.worker_id) } else { 0.0 };
            let load = if large_fleet { 0.0 } else { f64::from(worker.in_flight) / worker.in_flight_limit };
            let below = load < 0.5 + 0.5 * weight && f64::from(worker.in_flight) < even;
            if below && seen <= FULL_LOAD && placement.in_flight < lanes {
                // How far round from the rotation it stands.
                let round = (rank + heads - function.rotation % heads) % heads;
                if rank == 1 && heads == 1 && next.first.is_some() {
                    next.second = Some((position, 1));
                } else if rank >= heads {
                    beyond = beyond.or(Some(position));
                } else {
                    next.offer(position, round);
                }
            }
            // Departure: with all of the first n above their limits, the request of most weight may still go
            // to the least crowded; the others sooner find no capacity.
            let crowd = load.max(seen).max(f64::from(placement.in_flight) / f64::from(lanes) / 2.0);
            if rank < heads && crowd < 0.6 + 0.5 * weight && least.is_none_or(|l| crowd < l.1) {
                least = Some((position, crowd));
            }
        }
        if let Some((first, round)) = next.first {
            let next_rotation = function.rotation % heads + round + 1;
            let second = next.second.map(|s| s.0);
            return Some(Selection { first, second, next_rotation, is_beyond: false });
        }
        // Departure: instances known to be loaded beyond the first n are used before those are overfilled.
        let first = beyond.or(least.map(|l| l.0))?;
        let is_beyond = beyond.is_some();
        Some(Selection { first, second: None, next_rotation: function.rotation, is_beyond })
    }

    /// Departure: in a large fleet an instance of which nothing is known is presumed to be loaded, other
    /// gateways use it; a miss costs a round trip, and then the page's load request goes out.
    #[inline]
    fn may_be_loaded(&self, slot: RequestSlot, placement: &Placement, head: bool) -> bool {
        let request = &self.requests[slot];
        let confirmed = self.functions[request.info.function].confirmed;
        let missed_before = request.attempt_count != request.retries as usize;
        let unknown = placement.instances == InstanceState::Unknown && !missed_before;
        let near = head || self.config.presume_loaded && self.miss_ratio < 0.1;
        let presumed = unknown && near && (self.config.presume_loaded || !confirmed);
        self.config.large_fleet && presumed || self.is_loaded(placement) || !self.config.miss_if_absent
    }

    /// Departure: the in-flight limit that the page leaves open also covers all functions of a worker
    /// together: three quarters of the workers' mean (tried: 1.25, 1, 0.75; evener was better) and one, so
    /// that small numbers do not bind. Lanes alone let the homes of hot functions jam while others idle.
    fn even_in_flight_limit(&self) -> f64 {
        let (count, sum) = self.workers.active();
        0.75 * f64::from(sum) / f64::from(count.max(1)) + 1.0
    }

    /// Priority weight of a request from 0 to 1, against the most of any class; less beyond a tenant's quota.
    pub(super) fn priority_weight(&mut self, info: &RequestInfo) -> f64 {
        let most = self.classes.iter().fold(0.0, |most, class| class.priority_weight.max(most));
        let class = &self.classes[info.class];
        let mut weight = if most > 0.0 { class.priority_weight / most } else { 1.0 };
        // One that will hardly be answered within its latency objective brings what a late answer does.
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
