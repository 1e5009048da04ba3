//! What one scheduler remembers, and lookups in it. Its decisions are in `choice`.
use crate::config::{RequestClass, SchedulerConfig, Tenant};
use crate::interface::{EndpointState, FunctionId, RequestSlot, SchedulerActions, Time, WorkerId};
use crate::load_history::LoadHistory;
use crate::random::RandomGenerator;
use crate::state::{Counter, Function, InstanceState, Placement, Request, Worker};
use slab::Slab;
use std::collections::VecDeque;

/// Decides for one gateway which worker gets which request, and which instances are loaded where.
///
/// It is made by `new` with the actions, the clock, a seed and the settings. Before each thing that happens
/// `advance_clock` is called, and then one method for that: `update_endpoints`, `endpoint_update_failed`,
/// `request_arrived` (after `next_request_slot` named the request's slot), `response_started`,
/// `attempt_ended`, `client_abandoned`, `timer_fired`, `load_reported` (before the end of the health check or
/// attempt that it came with), `health_check_ended`, `load_request_ended`, `peer_message_received`. It acts
/// by `SchedulerActions` and knows no wire.
pub struct Scheduler<A> {
    /// Carries out what is decided.
    pub host: A,
    pub(crate) now: Time,
    pub(crate) started_at: Time,
    pub(crate) random: RandomGenerator,
    pub(crate) config: SchedulerConfig,
    pub(crate) classes: Vec<RequestClass>,
    pub(crate) tenants: Vec<Tenant>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) functions: Vec<Function>,
    pub(crate) requests: Slab<Request>,
    /// Requests that wait for a placement, oldest first; some no longer do.
    pub(crate) waiting: VecDeque<RequestSlot>,
    pub(crate) load_history: LoadHistory,
    /// The sweep, counted from time 0, up to which the counts of instances were checked.
    pub(crate) last_sweep: Time,
    pub(crate) arrival_count: Counter,
    /// Requests and attempts that found no capacity.
    pub(crate) saturation_count: Counter,
    /// Smoothed share of attempts that end with a miss, from 0 to 1.
    pub(crate) miss_ratio: f64,
    /// Smoothed share of answers that contradict the worker's report, from 0 to 1.
    pub(crate) report_distrust: f64,
    /// Standard cores that a unit of rating stands for, as busy workers' answers show.
    pub(crate) capacity_per_rating: f64,
}

impl<A> Scheduler<A> {
    /// A scheduler that knows no worker and no function.
    pub(crate) fn empty(
        host: A,
        now: Time,
        random: RandomGenerator,
        config: SchedulerConfig,
        (classes, tenants): (Vec<RequestClass>, Vec<Tenant>),
    ) -> Scheduler<A> {
        Scheduler {
            host,
            now,
            started_at: now,
            random,
            config,
            classes,
            tenants,
            workers: Vec::new(),
            functions: Vec::new(),
            requests: Slab::new(),
            waiting: VecDeque::new(),
            load_history: LoadHistory::default(),
            last_sweep: 0,
            arrival_count: Counter::default(),
            saturation_count: Counter::default(),
            miss_ratio: 0.0,
            report_distrust: 0.0,
            capacity_per_rating: 1.0,
        }
    }

    /// Sets the clock, before each other call; it never goes back.
    pub fn advance_clock(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    /// The slot that the next request to arrive will have.
    pub fn next_request_slot(&self) -> RequestSlot {
        self.requests.vacant_key()
    }

    /// Whether nothing is known or pending of this worker any more; then its index may name another. Guards
    /// against machines that are replaced by new ones again and again.
    pub fn forget_worker(&mut self, worker_id: WorkerId) -> bool {
        let Some(worker) = self.workers.get(worker_id) else { return true };
        let placed = |f: &Function| f.placements.iter().any(|p| p.worker_id == worker_id);
        let used = |r: &Request| {
            r.load_checks.contains(&worker_id) || r.sent_attempts().iter().any(|a| a.worker_id == worker_id)
        };
        let gone = worker.endpoint.state == EndpointState::Removed && worker.in_flight == 0;
        let free = gone && !self.functions.iter().any(placed) && !self.requests.iter().any(|r| used(r.1));
        if free {
            self.workers[worker_id] = Worker::default();
        }
        free
    }

    /// Takes in a message of another gateway. Nothing is decided by it today.
    pub fn peer_message_received(&mut self, _peer: u32, _bytes: &[u8]) {}

    /// Position of a worker among a function's placements.
    pub(crate) fn placement_on(&self, function_id: FunctionId, worker_id: WorkerId) -> Option<usize> {
        self.functions.get(function_id)?.placements.iter().position(|p| p.worker_id == worker_id)
    }

    /// Listed as active, and not ejected.
    pub(crate) fn is_available(&self, worker_id: WorkerId) -> bool {
        self.workers[worker_id].is_active() && self.workers[worker_id].ejected_until <= self.now
    }

    /// An instance is loaded as far as is known: a sign of it is young enough.
    pub(crate) fn is_loaded(&self, placement: &Placement) -> bool {
        let young = || self.now < placement.renewed_at + self.config.keep_alive;
        placement.instances == InstanceState::Loaded && (placement.in_flight > 0 || young())
    }

    /// The workers that the endpoint list has as taking requests.
    pub(crate) fn active_workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter().filter(|worker| worker.is_active())
    }
}

impl<A: SchedulerActions> Scheduler<A> {
    /// Adds a function's placements on all workers that it has none on; those last in the order may go again.
    pub(crate) fn add_missing_placements(&mut self, function_id: FunctionId) {
        for worker_id in 0..self.workers.len() {
            let listed = self.workers[worker_id].endpoint.state != EndpointState::Removed;
            if listed && self.placement_on(function_id, worker_id).is_none() {
                self.add_placement(function_id, worker_id, InstanceState::Unknown);
            }
        }
    }
}
