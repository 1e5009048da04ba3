//! The state kept about workers, functions and requests. All decisions are in `choice`. Times are in tenths
//! of a millisecond; a time of 0 means long ago.
use crate::choice::tuning::{COUNTER_STEP, COUNTER_STEPS, MAX_ATTEMPTS};
use crate::counter::SlidingCounter;
use crate::interface::{Endpoint, EndpointState, Outcome, RequestInfo, RequestSlot, Time, WorkerId};
use crate::random::mix_hashes;
use crate::service_evidence::ServiceEvidence;
use std::collections::VecDeque;

/// A count over the window that is used to measure rates.
pub type Counter = SlidingCounter<COUNTER_STEP, COUNTER_STEPS>;

/// A worker, as this gateway knows it.
#[derive(Default)]
pub struct Worker {
    /// Its entry in the endpoint list.
    pub endpoint: Endpoint,
    /// Attempts that this gateway has in flight at the worker.
    pub in_flight: u32,
    /// Learned limit of `in_flight`, for all functions together.
    pub in_flight_limit: f64,
    /// Smoothed ratio of the warm latency to the latency objective.
    pub latency_ratio: f64,
    /// When `in_flight_limit` was last reduced.
    pub limit_reduced_at: Time,
    /// Load by the last report: requests in flight per unit of rating.
    pub reported_load: f64,
    /// When that report arrived.
    pub reported_at: Time,
    /// When the load check was sent that has not been answered.
    pub load_check_sent_at: Time,
    /// Consecutive failures.
    pub failures: u32,
    /// When a connection with an attempt on it last broke.
    pub connection_lost_at: Time,
    /// Time until which it is ejected.
    pub ejected_until: Time,
    /// Duration of the last ejection; 0 after a good answer.
    pub ejection_duration: Time,
    /// Work that it recently completed for this gateway.
    pub completed_work: Counter,
    /// Time and class of the attempts that count against its slow-start budget.
    pub slow_start_attempts: VecDeque<(Time, usize)>,
    /// Those of the slow-start attempts that have not ended, in no order.
    pub slow_start_open: Vec<(Time, usize)>,
    /// Ratio of the cost of ended attempts at this worker since its start to the usual cost of their class; 0
    /// if none has ended.
    pub slow_start_cost_ratio: f64,
    /// Threshold between 0 and 1 above which this gateway rounds its share of a worker in slow start up.
    pub slow_start_rounding: f64,
    /// Evidence from its own answers that it is in service.
    pub service: ServiceEvidence,
}

impl Worker {
    /// Whether the endpoint list says that it takes requests.
    pub fn is_active(&self) -> bool {
        self.endpoint.state == EndpointState::Active
    }

    /// Counts an attempt. During slow start it also drops attempts older than the window from the budget.
    pub fn attempt_sent(&mut self, now: Time, class: usize, window: Time) {
        self.in_flight += 1;
        if self.endpoint.started_at > 0 {
            while self.slow_start_attempts.front().is_some_and(|a| a.0 + window < now) {
                self.slow_start_attempts.pop_front();
            }
            self.slow_start_attempts.push_back((now, class));
            self.slow_start_open.push((now, class));
        }
    }

    /// Removes an attempt that was sent at `sent_at` from the open slow-start attempts.
    pub fn slow_start_attempt_ended(&mut self, sent_at: Time, class: usize) {
        if let Some(i) = self.slow_start_open.iter().position(|open| *open == (sent_at, class)) {
            self.slow_start_open.swap_remove(i);
        }
    }
}

/// What is known about a function's instances on one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum InstanceState {
    /// Nothing is known.
    #[default]
    Unknown,
    /// No instance is loaded.
    Absent,
    /// A load request is on its way or being carried out.
    Loading,
    /// Instances are loaded, until their keep-alive ends.
    Loaded,
}

/// A function's instances on one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Placement {
    /// The worker.
    pub worker_id: WorkerId,
    /// Its weight in the function's order, see `Function::order_weight`.
    pub weight: u64,
    /// Whether instances are loaded there.
    pub instances: InstanceState,
    /// Attempts of the function in flight there.
    pub in_flight: u32,
    /// Load requests whose end is still to come.
    pub pending_loads: u32,
    /// Queries for loaded instances whose end is still to come.
    pub pending_queries: u32,
    /// Smoothed number of requests of the function, from all gateways, that this gateway's requests found
    /// there.
    pub concurrency: f64,
    /// When the keep-alive is last known to have restarted.
    pub renewed_at: Time,
    /// No load request is sent there before this time.
    pub blocked_until: Time,
}

impl Placement {
    /// Returns the placement after a restart of its worker: without instances, but with the calls that have
    /// not ended.
    pub fn restarted(&self) -> Placement {
        let Placement { worker_id, weight, in_flight, pending_loads, pending_queries, .. } = *self;
        let instances = InstanceState::Absent;
        Placement {
            worker_id,
            weight,
            in_flight,
            pending_loads,
            pending_queries,
            instances,
            ..Placement::default()
        }
    }

    /// Counts the end of a query if one is pending, otherwise that of a load request. Returns whether it was
    /// a query.
    pub fn end_pending_call(&mut self) -> bool {
        let query = self.pending_queries > 0;
        let pending = if query { &mut self.pending_queries } else { &mut self.pending_loads };
        *pending = pending.saturating_sub(1);
        query
    }

    /// Whether nothing is in flight or pending there.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.pending_loads == 0 && self.pending_queries == 0
    }
}

/// A function, as this gateway knows it.
#[derive(Default)]
pub struct Function {
    /// Hash of its id text.
    pub hash: u64,
    /// Whether the index is in use for a function.
    pub live: bool,
    /// Class of its requests.
    pub class: usize,
    /// Number of requests that one instance executes at a time.
    pub lanes: u32,
    /// Smoothed warm latency of this gateway's own requests; 0 if there is none yet.
    pub warm_latency: f64,
    /// Smoothed time from a load request to its end; 0 if there is none yet.
    pub load_time: f64,
    /// Number of its registration.
    pub registration: u64,
    /// Whether a worker has shown that it knows the function.
    pub confirmed: bool,
    /// Whether an answer came since the number of instances was last reduced.
    pub answered_since_release: bool,
    /// When instances were last added because workers were full.
    pub saturated_at: Time,
    /// Number of instances that the function should have.
    pub desired_instances: usize,
    /// Present position of the rotation over the first placements.
    pub rotation: usize,
    /// Requests that arrived.
    pub rate: Counter,
    /// When the last request arrived.
    pub last_request_at: Time,
    /// Open requests.
    pub open_requests: u32,
    /// Load requests and queries whose end is still to come.
    pub pending_calls: u32,
    /// Its placements, in the order that all gateways share.
    pub placements: Vec<Placement>,
    /// Number of the next endpoint change to apply to the placements.
    pub changes_seen: u64,
}

impl Function {
    /// Counts a request that arrives now.
    pub fn request_arrived(&mut self, now: Time) {
        self.last_request_at = now;
        self.open_requests += 1;
        self.rate.add(now, 1);
    }

    /// Whether it has no request, and nothing is in flight or pending for it.
    pub fn is_idle(&self) -> bool {
        self.open_requests == 0 && self.placements.iter().all(Placement::is_idle)
    }

    /// The weight of a worker in the shared order: rendezvous hashing of the id texts of function and worker.
    /// The highest weight comes first; of equal weights, the worker with the higher name hash comes first.
    pub fn order_weight(&self, name_hash: u64) -> u64 {
        mix_hashes(name_hash, self.hash)
    }

    /// Whether a worker of this weight comes after all placements.
    pub fn is_behind_last(&self, weight: u64) -> bool {
        self.placements.last().is_some_and(|last| weight < last.weight)
    }

    /// Inserts a placement at its position in the shared order.
    pub fn insert_placement(&mut self, workers: &[Worker], placement: Placement) {
        let name_hash = |placement: &Placement| workers[placement.worker_id].endpoint.name_hash;
        let (weight, own) = (placement.weight, name_hash(&placement));
        let position = self
            .placements
            .partition_point(|p| p.weight > weight || p.weight == weight && name_hash(p) > own);
        self.placements.insert(position, placement);
    }

    /// The position of the placement on a worker whose weight in the order is `weight`.
    pub fn position_of(&self, worker_id: WorkerId, weight: u64) -> Option<usize> {
        let first = self.placements.partition_point(|p| p.weight > weight);
        let equal = self.placements[first..].iter().take_while(|p| p.weight == weight);
        equal.clone().position(|p| p.worker_id == worker_id).map(|offset| first + offset)
    }

    /// Returns the first `count` of these workers in the shared order, with their weights. The result may
    /// contain more workers, and is in no particular order.
    pub fn first_workers(&self, listed: &[(u64, WorkerId)], count: usize) -> Vec<(u64, WorkerId)> {
        let weighed = listed.iter().map(|(name_hash, worker_id)| (self.order_weight(*name_hash), *worker_id));
        if listed.len() <= 2 * count {
            return weighed.collect();
        }
        // Weights are distributed uniformly. The threshold is chosen so that twice `count` workers are
        // expected to exceed it, which is nearly always enough. Processing all of them again would cost more
        // than the rest.
        let least = u64::MAX - u64::MAX / listed.len() as u64 * 2 * count as u64;
        let first: Vec<_> = weighed.clone().filter(|(weight, _)| *weight >= least).collect();
        if first.len() >= count {
            first
        } else {
            weighed.collect()
        }
    }
}

/// Rate bounds of one instance, in requests per second, and the run time that they are computed from, in
/// seconds.
pub struct InstanceRates {
    /// Below this rate per instance there are more instances than needed.
    pub min: f64,
    /// Above this rate per instance there are too few instances.
    pub max: f64,
    /// The run time of a request.
    pub run_time: f64,
}

/// Placements selected for an attempt, as positions in the function's list.
pub struct Selection {
    /// The placement to use.
    pub first: usize,
    /// The next placement of the rotation, which may be less loaded.
    pub second: Option<usize>,
    /// Position of the rotation after one of them is used.
    pub next_rotation: usize,
    /// Whether it comes after the placements that the function should have.
    pub is_beyond_desired: bool,
}

/// State of an attempt and, after its end, whether the request may have been executed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AttemptState {
    /// It was sent and is not overdue.
    InFlight,
    /// It is late and has been counted as a failure of its worker.
    Overdue,
    /// Cancelled by this gateway; its end is still to come.
    Cancelled,
    /// It ended and was certainly not executed.
    #[default]
    NotExecuted,
    /// It ended and may have been executed.
    MayHaveExecuted,
    /// Its connection broke, which says little about the worker; it may have been executed.
    ConnectionLost,
}

impl AttemptState {
    /// Returns the state after an outcome: what the outcome proves about the execution.
    pub fn after(outcome: Outcome) -> AttemptState {
        use Outcome::{AtCapacity, ConnectFailed, Discarded, Miss, Reset};
        match outcome {
            Reset => AttemptState::ConnectionLost,
            AtCapacity | ConnectFailed | Discarded | Miss => AttemptState::NotExecuted,
            _ => AttemptState::MayHaveExecuted,
        }
    }

    /// Whether its end is still to come.
    pub fn is_outstanding(self) -> bool {
        matches!(self, AttemptState::InFlight | AttemptState::Overdue | AttemptState::Cancelled)
    }
}

/// A request sent to a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempt {
    /// The worker.
    pub worker_id: WorkerId,
    /// When it was sent.
    pub sent_at: Time,
    /// Load that the worker had last reported when it was sent; -1 if that report was too old.
    pub reported_load: f64,
    /// Its state.
    pub state: AttemptState,
}

/// An attempt that has ended.
pub struct EndedAttempt {
    /// The attempt before its end.
    pub attempt: Attempt,
    /// Position of its placement in the function's list.
    pub position: usize,
    /// What is known about its request.
    pub info: RequestInfo,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub elapsed: Time,
    /// What the worker reported beside the outcome.
    pub note: AttemptNote,
}

/// An open request.
#[derive(Default)]
pub struct Request {
    /// What is known about it.
    pub info: RequestInfo,
    /// When it arrived.
    pub arrived_at: Time,
    /// Whether it has its response or its client has disconnected.
    pub finished: bool,
    /// Whether its response has started.
    pub streaming: bool,
    /// Number of its entry in the list of waiting requests while it waits for a placement.
    pub waiting_entry: Option<u64>,
    /// The workers whose load checks it waits for.
    pub load_checks: [WorkerId; 2],
    /// Whether it waits for a worker to confirm that it is in service.
    pub awaits_confirmation: bool,
    /// Number of instances added for it.
    pub instances_added: u32,
    /// When the last instance was added for it.
    pub instance_added_at: Time,
    /// Number of attempts that followed a failure; attempts after a miss are not counted.
    pub retries: u32,
    /// Its attempts; the first `attempt_count` have been sent.
    pub attempts: [Attempt; MAX_ATTEMPTS],
    /// Number of attempts that were sent.
    pub attempt_count: usize,
}

impl Request {
    /// The attempts that were sent.
    pub fn sent_attempts(&self) -> &[Attempt] {
        &self.attempts[..self.attempt_count]
    }

    /// Records an attempt that is sent now.
    pub fn add_attempt(&mut self, worker_id: WorkerId, sent_at: Time, reported_load: f64) {
        let state = AttemptState::InFlight;
        self.attempts[self.attempt_count] = Attempt { worker_id, sent_at, reported_load, state };
        self.attempt_count += 1;
        self.waiting_entry = None;
    }

    /// Number of attempts whose end is still to come.
    pub fn outstanding(&self) -> usize {
        self.sent_attempts().iter().filter(|a| a.state.is_outstanding()).count()
    }

    /// Whether no attempt can have been executed.
    pub fn never_executed(&self) -> bool {
        self.sent_attempts().iter().all(|a| a.state == AttemptState::NotExecuted)
    }
}

/// An entry in the list of requests that wait for a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingEntry {
    /// The request's slot, which may have been reused since.
    pub slot: RequestSlot,
    /// Number of the entry. It is valid while the request in the slot has this number.
    pub number: u64,
}

/// What a worker reports beside an outcome. On the wire it is one number. The lowest three bits describe the
/// instance (0 unknown, 1 it was loaded, 2 it had to be loaded, 3 it was being loaded, 4 its load failed),
/// the higher bits contain the concurrency.
#[derive(Clone, Copy, Debug)]
pub struct AttemptNote(pub u32);

impl AttemptNote {
    /// Whether the latency includes no load, as far as is known.
    pub fn is_warm(self) -> bool {
        self.0 & 7 <= 1
    }

    /// Whether the request failed because its instance could not be loaded.
    pub fn load_failed(self) -> bool {
        self.0 & 7 == 4
    }

    /// Number of requests of the same function, from all gateways, at the worker.
    pub fn concurrency(self) -> f64 {
        f64::from(self.0 >> 3)
    }
}
