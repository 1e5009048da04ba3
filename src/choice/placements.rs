//! Workers, functions and their placements: the workers on which a function may run, in an order that all
//! gateways share.
use super::*;
use crate::endpoint_changes::{ChangeKind, EndpointChange};

impl Function {
    /// Maximum number of placements that are kept, apart from those with something in flight.
    fn placement_bound(&self) -> usize {
        MAX_PLACEMENTS.max(2 * self.desired_instances)
    }
}

impl<A: SchedulerActions> Scheduler<A> {
    /// Resets a worker that is new, has restarted or is listed again: nothing learned about it holds any
    /// more, and it has no instances.
    pub(crate) fn start_worker(&mut self, worker_id: WorkerId, endpoint: Endpoint) {
        let known = self.workers[worker_id].endpoint;
        self.workers[worker_id] = Worker {
            endpoint,
            in_flight: self.workers[worker_id].in_flight,
            slow_start_rounding: f64::from(self.random.below(1000) + 1) / 1000.0,
            in_flight_limit: INITIAL_IN_FLIGHT_LIMIT,
            ..Worker::default()
        };
        // A known worker comes back without instances. Nothing is known about the instances of a new one.
        let instances = if known.name_hash != 0 { InstanceState::Absent } else { InstanceState::Unknown };
        let (name_hash, kind) = (endpoint.name_hash, ChangeKind::Started(instances));
        self.endpoint_changes.push(EndpointChange { worker_id, name_hash, kind });
    }

    /// Applies new endpoint changes to all functions at once if that is little work. Otherwise each function
    /// applies them before it is next used, at the latest in the sweep that checks it, within a second.
    pub(crate) fn apply_changes_if_few(&mut self, changes: usize) {
        if changes * self.functions.len() <= MAX_CHANGES_AT_ONCE {
            (0..self.functions.len()).for_each(|function_id| self.apply_endpoint_changes(function_id));
        }
    }

    /// Applies the endpoint changes since the last call to the function's placements. Whether a worker takes
    /// requests is part of the worker's own state and takes effect at once.
    pub(crate) fn apply_endpoint_changes(&mut self, function_id: FunctionId) {
        let end = self.endpoint_changes.end();
        let function = self.functions.get_mut(function_id);
        let Some(function) = function.filter(|f| f.live && f.changes_seen < end) else { return };
        let from = std::mem::replace(&mut function.changes_seen, end);
        let function = &*function;
        let bound = function.placement_bound();
        let changes = self.endpoint_changes.since(from, |change| {
            // A worker ordered after the last placement has none to change, and where the list is full none
            // is added.
            let is_added = matches!(change.kind, ChangeKind::Started(_)) && function.placements.len() < bound;
            is_added || !function.is_behind_last(function.order_weight(change.name_hash))
        });
        for EndpointChange { worker_id, name_hash, kind } in changes {
            match kind {
                ChangeKind::Started(instances) => self.add_placement(function_id, worker_id, instances),
                ChangeKind::Withdrawn => {
                    let function = &mut self.functions[function_id];
                    let weight = function.order_weight(name_hash);
                    if let Some(position) = function.position_of(worker_id, weight) {
                        function.placements[position].instances = InstanceState::Unknown;
                    }
                }
            }
        }
    }

    /// The watch of the endpoint list has failed. Asking for the list again is always allowed; it happens
    /// when a timer of its own fires.
    pub fn endpoint_update_failed(&mut self) {
        // Well within the age at which the list counts as known to this gateway.
        let delay = self.jitter(SECOND.min(self.config.endpoint_max_age / 2).max(MS));
        self.host.set_timer(delay, ENDPOINT_TIMER);
    }

    /// Adds the function at its first request, and applies pending endpoint changes at later ones.
    pub(super) fn register_function(&mut self, info: &RequestInfo) {
        let function_id = info.function;
        self.functions.resize_with(self.functions.len().max(function_id + 1), Function::default);
        if self.functions[function_id].live {
            return self.apply_endpoint_changes(function_id);
        }
        self.make_room_for_function();
        // A random start of the rotation keeps gateways from choosing the same workers in step.
        let (hash, rotation) = (info.function_hash, self.random.below(64) as usize);
        let (class, lanes) = (info.class, info.lanes.max(1));
        self.functions[function_id] =
            Function { hash, live: true, class, lanes, rotation, ..Function::default() };
        self.functions[function_id].changes_seen = self.endpoint_changes.end();
        self.functions[function_id].registration = self.unconfirmed.add(function_id);
        self.add_missing_placements(function_id);
        self.query_instances(function_id);
    }

    /// Adds a placement on the worker to the function's shared order: rendezvous hashing of the two id texts,
    /// so every gateway computes the same order, whatever it learned first.
    pub(crate) fn add_placement(
        &mut self,
        function_id: FunctionId,
        worker_id: WorkerId,
        state: InstanceState,
    ) {
        let name_hash = self.workers[worker_id].endpoint.name_hash;
        let function = &mut self.functions[function_id];
        let (bound, weight) = (function.placement_bound(), function.order_weight(name_hash));
        // After the last of a full list it would be added and dropped again; nor can it be in the list
        // already.
        if function.placements.len() >= bound && function.is_behind_last(weight) {
            return;
        }
        if let Some(position) = function.position_of(worker_id, weight) {
            function.placements[position] = function.placements[position].restarted();
            return;
        }
        let placement = Placement { worker_id, weight, instances: state, ..Placement::default() };
        function.insert_placement(&self.workers, placement);
        let is_over_bound = function.placements.len() > bound;
        function.placements.pop_if(|last| is_over_bound && last.is_idle());
    }

    /// Adds placements on the workers where the function has none, up to the bound: the first ones of the
    /// shared order.
    pub(super) fn add_missing_placements(&mut self, function_id: FunctionId) {
        let active = self.workers.active_names();
        let function = &self.functions[function_id];
        let mut first = function.first_workers(&active, function.placement_bound());
        let mut placed = vec![false; self.workers.len()];
        function.placements.iter().for_each(|placement| placed[placement.worker_id] = true);
        first.retain(|(_, worker_id)| !placed[*worker_id]);
        for (_, worker_id) in first {
            self.add_placement(function_id, worker_id, InstanceState::Unknown);
        }
    }

    /// Departure: a function unknown to this gateway may be loaded anywhere (after a restart of the gateway,
    /// at its start, or by load requests of other gateways). Queries have no rate limit, so the first twelve
    /// workers of the function's order are queried once (tried: all, 12, 8), and instances that are found are
    /// used until the first n are loaded. In a large fleet instances are presumed loaded instead: each
    /// gateway rarely sees a function, and queries would cost more than requests.
    fn query_instances(&mut self, function_id: FunctionId) {
        if !self.config.may_load || self.config.large_fleet {
            return;
        }
        for position in 0..self.functions[function_id].placements.len().min(QUERIED_WORKERS) {
            let worker_id = self.functions[function_id].placements[position].worker_id;
            if self.is_available(worker_id) && self.may_query(function_id) {
                self.functions[function_id].placements[position].pending_queries += 1;
                self.count_call(function_id, true);
                self.host.send_load_request(function_id, worker_id, 0);
            }
        }
    }

    /// Positions of the usable placements, in the shared order.
    pub(super) fn usable_placements(&self, function_id: FunctionId) -> impl Iterator<Item = usize> + '_ {
        let placements = &self.functions[function_id].placements;
        (0..placements.len()).filter(move |position| self.is_usable(function_id, &placements[*position]))
    }

    /// Departure: in a large fleet a worker without memory for an instance is skipped for a while, and the
    /// next of the order replaces it; otherwise each further request would miss there again. A worker in slow
    /// start is skipped while this gateway's share of it is used up: after a release most workers are in slow
    /// start, and no request could be sent.
    pub(super) fn is_usable(&self, function_id: FunctionId, placement: &Placement) -> bool {
        // Where load requests are not allowed, a worker that lacks the function is skipped too.
        let is_blocked =
            || placement.blocked_until > self.now && placement.instances == InstanceState::Absent;
        let class = || self.functions[function_id].class;
        self.is_available(placement.worker_id)
            && !((self.config.large_fleet || !self.config.may_load) && is_blocked())
            && (!self.config.large_fleet || self.has_slow_start_capacity(placement.worker_id, class()))
    }

    /// Drops idle placements on workers that are not active, and forgets a function without requests once its
    /// keep-alives have ended, so that state stays bounded.
    pub(super) fn forget_idle(&mut self, function_id: FunctionId) {
        let (now, keep_alive) = (self.now, self.config.keep_alive);
        let (function, workers) = (&mut self.functions[function_id], &self.workers);
        // Where machines are replaced again and again, each would leave a placement behind. Draining workers
        // get no work either, and in a fleet of thousands their placements would displace those on other
        // workers.
        let is_inactive = |worker_id: WorkerId| !workers[worker_id].is_active();
        let count_before = function.placements.len();
        function.placements.retain(|placement| !is_inactive(placement.worker_id) || !placement.is_idle());
        // A pending answer would be attributed to the next function that uses the index.
        let is_unused = function.desired_instances == 0 && now > function.last_request_at + 2 * keep_alive;
        if is_unused && function.is_idle() {
            self.forget_function(function_id);
        } else if function.placements.len() < count_before {
            self.add_missing_placements(function_id);
        }
    }
}
