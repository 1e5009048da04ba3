//! Workers, functions and their placements: on which workers a function may run, in an order that all share.
use super::*;

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
        (0..self.functions.len()).for_each(|f| self.add_placement(f, worker_id, instances));
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
            return;
        }
        // Starting the rotation by chance keeps gateways from marching in step.
        let (hash, rotation) = (info.function_hash, self.random.below(64) as usize);
        let (class, lanes) = (info.class, info.lanes.max(1));
        self.functions[function_id] =
            Function { hash, live: true, class, lanes, rotation, ..Function::default() };
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
        let function = &mut self.functions[function_id];
        if !function.live {
            return;
        }
        if let Some(placement) = function.placements.iter_mut().find(|p| p.worker_id == worker_id) {
            *placement = placement.restarted();
            return;
        }
        let placement = Placement { worker_id, instances: state, ..Placement::default() };
        function.insert_placement(&self.workers, placement);
        let over = function.placements.len() > MAX_PLACEMENTS.max(2 * function.desired_instances);
        function.placements.pop_if(|last| over && last.is_idle());
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
        let gone = |worker_id: WorkerId| workers[worker_id].endpoint.state == EndpointState::Removed;
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
