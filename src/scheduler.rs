//! The state of one scheduler, and lookups in it. The decisions are in `choice`.
use crate::config::{RequestClass, SchedulerConfig, Tenant};
use crate::endpoint_changes::EndpointChanges;
use crate::interface::{EndpointState, FunctionId, RequestSlot, Time, WorkerId};
use crate::load_history::LoadHistory;
use crate::random::RandomGenerator;
use crate::service_evidence::EndpointListAge;
use crate::state::{Counter, Function, InstanceState, Placement, Request, WaitingEntry, Worker};
use crate::unconfirmed_functions::UnconfirmedFunctions;
use crate::workers::Workers;
use slab::Slab;
use std::collections::VecDeque;

/// Decides for one gateway which worker gets which request, and which instances are loaded where.
///
/// It is created by `new` with the actions, the present time, a seed and the settings. Before each event the
/// caller calls `advance_clock`, and then one method for the event: `update_endpoints`,
/// `endpoint_update_failed`, `request_arrived` (after `next_request_slot` returned the request's slot),
/// `response_started`, `attempt_ended`, `client_abandoned`, `timer_fired`, `load_reported` (before the end of
/// the health check or attempt that it came with), `health_check_ended`, `load_request_ended`,
/// `peer_message_received`. It acts through `SchedulerActions` and is independent of any wire protocol.
pub struct Scheduler<A> {
    /// Carries out the decisions.
    pub host: A,
    pub(crate) now: Time,
    pub(crate) started_at: Time,
    pub(crate) random: RandomGenerator,
    pub(crate) config: SchedulerConfig,
    pub(crate) classes: Vec<RequestClass>,
    pub(crate) tenants: Vec<Tenant>,
    pub(crate) workers: Workers,
    /// How recent the endpoint list is.
    pub(crate) endpoint_list: EndpointListAge,
    /// Changes of the endpoint list that some functions have not applied yet.
    pub(crate) endpoint_changes: EndpointChanges,
    pub(crate) functions: Vec<Function>,
    pub(crate) unconfirmed: UnconfirmedFunctions,
    /// How many bytes the state of unconfirmed functions may take.
    pub(crate) unconfirmed_memory: usize,
    pub(crate) requests: Slab<Request>,
    /// Requests that wait for a placement, oldest first; includes some that do not wait any more.
    pub(crate) waiting: VecDeque<WaitingEntry>,
    /// Number of the last entry in the list of waiting requests.
    pub(crate) last_waiting_entry: u64,
    pub(crate) load_history: LoadHistory,
    /// Number of the sweep, counted from time 0, up to which instance counts have been checked.
    pub(crate) last_sweep: Time,
    pub(crate) arrival_count: Counter,
    /// Requests and attempts that found no capacity.
    pub(crate) saturation_count: Counter,
    /// Smoothed share of attempts that end with a miss, from 0 to 1.
    pub(crate) miss_ratio: f64,
    /// Smoothed share of answers that contradict the worker's load report, from 0 to 1.
    pub(crate) report_mismatch_ratio: f64,
    /// Standard cores per unit of rating, estimated from the answers of busy workers.
    pub(crate) capacity_per_rating: f64,
}

/// Numbers of functions and of their placements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FunctionCounts {
    /// Functions with state.
    pub live: usize,
    /// Those of them that no worker has shown to know.
    pub unconfirmed: usize,
    /// Placements of all of them.
    pub placements: usize,
}

impl<A> Scheduler<A> {
    /// Creates a scheduler that knows no workers or functions.
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
            workers: Workers::default(),
            endpoint_list: EndpointListAge::default(),
            endpoint_changes: EndpointChanges::default(),
            functions: Vec::new(),
            unconfirmed: UnconfirmedFunctions::default(),
            unconfirmed_memory: usize::MAX,
            requests: Slab::new(),
            waiting: VecDeque::new(),
            last_waiting_entry: 0,
            load_history: LoadHistory::default(),
            last_sweep: 0,
            arrival_count: Counter::default(),
            saturation_count: Counter::default(),
            miss_ratio: 0.0,
            report_mismatch_ratio: 0.0,
            capacity_per_rating: 1.0,
        }
    }

    /// Sets the clock before each other call. It never goes back.
    pub fn advance_clock(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    /// Returns the slot that the next arriving request will have.
    pub fn next_request_slot(&self) -> RequestSlot {
        self.requests.vacant_key()
    }

    /// Forgets the worker if nothing is known about it or pending for it any more, and returns whether it
    /// did; its index may then be reused. Without this, state would grow where machines are replaced by new
    /// ones again and again.
    pub fn forget_worker(&mut self, worker_id: WorkerId) -> bool {
        self.forget_workers(&[worker_id]) == [worker_id]
    }

    /// Forgets those of the workers about which nothing is known or pending any more, and returns them. Their
    /// indices may be reused.
    pub fn forget_workers(&mut self, worker_ids: &[WorkerId]) -> Vec<WorkerId> {
        let end = self.endpoint_changes.end();
        if self.functions.iter().any(|function| function.live && function.changes_seen < end) {
            // A pending endpoint change may refer to one of the workers.
            return Vec::new();
        }
        let mut in_use = vec![false; self.workers.len()];
        let placements = self.functions.iter().flat_map(|function| &function.placements);
        placements.for_each(|placement| in_use[placement.worker_id] = true);
        for (_, request) in &self.requests {
            let attempted = request.sent_attempts().iter().map(|attempt| attempt.worker_id);
            for worker_id in attempted.chain(request.load_checks) {
                if let Some(used) = in_use.get_mut(worker_id) {
                    *used = true;
                }
            }
        }
        let mut forgotten = Vec::new();
        for &worker_id in worker_ids {
            let known = self.workers.get(worker_id);
            let gone = known.is_none_or(|worker| {
                worker.endpoint.state == EndpointState::Removed && worker.in_flight == 0 && !in_use[worker_id]
            });
            if gone && known.is_some() {
                self.workers[worker_id] = Worker::default();
            }
            forgotten.extend(gone.then_some(worker_id));
        }
        forgotten
    }

    /// Counts the functions with state, for the log.
    pub fn function_counts(&self) -> FunctionCounts {
        let live = || self.functions.iter().filter(|function| function.live);
        FunctionCounts {
            live: live().count(),
            unconfirmed: live().filter(|function| !function.confirmed).count(),
            placements: live().map(|function| function.placements.len()).sum(),
        }
    }

    /// Number of slots for requests, used or not, for the log.
    pub fn request_slots(&self) -> usize {
        self.requests.capacity()
    }

    /// Number of entries in the list of waiting requests, for the log.
    pub fn waiting_entries(&self) -> usize {
        self.waiting.len()
    }

    /// Receives a message from another gateway. It has no effect at present.
    pub fn peer_message_received(&mut self, _peer: u32, _bytes: &[u8]) {}

    /// Position of the placement on a worker in a function's list.
    pub(crate) fn placement_on(&self, function_id: FunctionId, worker_id: WorkerId) -> Option<usize> {
        let function = self.functions.get(function_id)?;
        let name_hash = self.workers.get(worker_id)?.endpoint.name_hash;
        function.position_of(worker_id, function.order_weight(name_hash))
    }

    /// Whether the worker is listed as active and not ejected.
    pub(crate) fn is_listed_available(&self, worker_id: WorkerId) -> bool {
        self.workers[worker_id].is_active() && self.workers[worker_id].ejected_until <= self.now
    }

    /// Whether an instance is loaded as far as is known: one was used or renewed recently enough.
    pub(crate) fn is_loaded(&self, placement: &Placement) -> bool {
        let young = || self.now < placement.renewed_at + self.config.keep_alive;
        placement.instances == InstanceState::Loaded && (placement.in_flight > 0 || young())
    }
}
