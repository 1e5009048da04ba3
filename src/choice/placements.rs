//! Workers, functions and their placements: on which workers a function may run, in an order that all share.
use super::*;
use crate::endpoint_changes::{ChangeKind, EndpointChange};

impl Function {
    /// How many placements it keeps, but for those with something in flight.
    fn placement_bound(&self) -> usize {
        MAX_PLACEMENTS.max(2 * self.desired_instances)
    }
}

impl<A: SchedulerActions> Scheduler<A> {
    /// New, restarted or back from the dead: nothing that was learned of it holds; it is empty.
    pub(crate) fn start_worker(&mut self, worker_id: WorkerId, endpoint: Endpoint) {
        let known = self.workers[worker_id].endpoint;
        self.workers[worker_id] = Worker {
            endpoint,
            in_flight: self.workers[worker_id].in_flight,
            slow_start_rounding: f64::from(self.random.below(1000) + 1) / 1000.0,
            in_flight_limit: INITIAL_IN_FLIGHT_LIMIT,
            ..Worker::default()
        };
        // One that was here before comes back empty; of a new one nothing is known.
        let instances = if known.name_hash != 0 { InstanceState::Absent } else { InstanceState::Unknown };
        let (name_hash, kind) = (endpoint.name_hash, ChangeKind::Started(instances));
        self.endpoint_changes.push(EndpointChange { worker_id, name_hash, kind });
    }

    /// What the endpoint list changed is taken in by all functions at once where that is little work, else by
    /// each before it is next looked at: at the sweep that checks it, within a second, at the latest.
    pub(crate) fn settle_changes(&mut self, changes: usize) {
        if changes * self.functions.len() <= MAX_CHANGES_AT_ONCE {
            (0..self.functions.len()).for_each(|function_id| self.take_in_changes(function_id));
        }
    }

    /// The function's placements follow what the endpoint list changed since they were last looked at.
    /// Whether a worker takes requests is its own state, and holds at once.
    pub(crate) fn take_in_changes(&mut self, function_id: FunctionId) {
        let end = self.endpoint_changes.end();
        let function = self.functions.get_mut(function_id);
        let Some(function) = function.filter(|f| f.live && f.changes_seen < end) else { return };
        let from = std::mem::replace(&mut function.changes_seen, end);
        let function = &*function;
        let bound = function.placement_bound();
        let changes = self.endpoint_changes.since(from, |change| {
            // Behind the last there is no placement to change, and where the list is full none to add.
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

    /// A watch may have broken: asking anew is always allowed, at the next timer of its own.
    pub fn endpoint_update_failed(&mut self) {
        // Well within the age at which the list counts as known.
        let delay = self.jitter(SECOND.min(self.config.endpoint_max_age / 2).max(MS));
        self.host.set_timer(delay, ENDPOINT_TIMER);
    }

    /// A function is known from its first request on.
    pub(super) fn register_function(&mut self, info: &RequestInfo) {
        let function_id = info.function;
        self.functions.resize_with(self.functions.len().max(function_id + 1), Function::default);
        if self.functions[function_id].live {
            return self.take_in_changes(function_id);
        }
        // Starting the rotation by chance keeps gateways from marching in step.
        let (hash, rotation) = (info.function_hash, self.random.below(64) as usize);
        let (class, lanes) = (info.class, info.lanes.max(1));
        self.functions[function_id] =
            Function { hash, live: true, class, lanes, rotation, ..Function::default() };
        self.functions[function_id].changes_seen = self.endpoint_changes.end();
        self.add_missing_placements(function_id);
        self.query_instances(function_id);
    }

    /// The worker's place in the function's shared order: rendezvous hashing of the two id texts, so every
    /// gateway finds the same order whatever it learned first.
    pub(crate) fn add_placement(
        &mut self,
        function_id: FunctionId,
        worker_id: WorkerId,
        state: InstanceState,
    ) {
        let name_hash = self.workers[worker_id].endpoint.name_hash;
        let function = &mut self.functions[function_id];
        let (bound, weight) = (function.placement_bound(), function.order_weight(name_hash));
        // Behind the last of a full list it would be added and go again; nor is it in the list.
        if function.placements.len() >= bound && function.is_behind_last(weight) {
            return;
        }
        if let Some(position) = function.position_of(worker_id, weight) {
            function.placements[position] = function.placements[position].restarted();
            return;
        }
        let placement = Placement { worker_id, weight, instances: state, ..Placement::default() };
        function.insert_placement(&self.workers, placement);
        let over = function.placements.len() > bound;
        function.placements.pop_if(|last| over && last.is_idle());
    }

    /// Adds placements on the workers that the function has none on, up to the bound of its placements: the
    /// first ones of the shared order.
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
    /// of its order are asked once (tried: all, 12, 8), and instances found are used until the first n are
    /// loaded. A large fleet presumes instances: each gateway sees a function rarely, queries cost more than
    /// requests.
    fn query_instances(&mut self, function_id: FunctionId) {
        if !self.config.may_load || self.config.large_fleet {
            return;
        }
        for position in 0..self.functions[function_id].placements.len().min(12) {
            let worker_id = self.functions[function_id].placements[position].worker_id;
            if self.is_available(worker_id) {
                self.functions[function_id].placements[position].pending_queries += 1;
                self.host.send_load_request(function_id, worker_id, 0);
            }
        }
    }

    /// Positions of the placements that may be used, in the shared order.
    pub(super) fn usable_placements(&self, function_id: FunctionId) -> impl Iterator<Item = usize> + '_ {
        let placements = &self.functions[function_id].placements;
        (0..placements.len()).filter(move |position| self.is_usable(function_id, &placements[*position]))
    }

    /// Departure: in a large fleet a worker without memory for an instance is passed over for a while, and
    /// the next of the order takes its place; each request would miss there once more. So is one in slow
    /// start in which this gateway's share is used up: after a release most are, and no request could go.
    pub(super) fn is_usable(&self, function_id: FunctionId, placement: &Placement) -> bool {
        // Where nobody may request loads, one that lacks the function is passed over too.
        let full = || placement.blocked_until > self.now && placement.instances == InstanceState::Absent;
        let class = || self.functions[function_id].class;
        self.is_available(placement.worker_id)
            && !((self.config.large_fleet || !self.config.may_load) && full())
            && (!self.config.large_fleet || self.has_slow_start_capacity(placement.worker_id, class()))
    }

    /// State stays bounded: a function that nothing asks for is forgotten when its keep-alives have ended.
    pub(super) fn forget_idle(&mut self, function_id: FunctionId) {
        let (now, keep_alive) = (self.now, self.config.keep_alive);
        let (function, workers) = (&mut self.functions[function_id], &self.workers);
        // Guards against machines that are replaced again and again: each would leave a placement behind.
        // Those that drain get nothing either, and would take the places of others in a fleet of thousands.
        let gone = |worker_id: WorkerId| !workers[worker_id].is_active();
        let before = function.placements.len();
        function.placements.retain(|placement| !gone(placement.worker_id) || !placement.is_idle());
        // An answer that is still to come would be taken for one about the index's next user.
        let idle = function.open_requests == 0 && function.placements.iter().all(Placement::is_idle);
        if idle && function.desired_instances == 0 && now > function.last_request_at + 2 * keep_alive {
            (function.live, function.placements) = (false, Vec::new());
            self.host.forget_function(function_id);
        } else if function.placements.len() < before {
            self.add_missing_placements(function_id);
        }
    }
}
