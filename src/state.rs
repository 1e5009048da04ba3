//! What is remembered of workers, functions and requests. It decides nothing; all decisions are in `choice`.
//! Times are in tenths of a millisecond; a time of 0 is long ago.
use crate::choice::tuning::{COUNTER_STEP, COUNTER_STEPS, MAX_ATTEMPTS};
use crate::counter::SlidingCounter;
use crate::interface::{Endpoint, EndpointState, Outcome, RequestInfo, Time, WorkerId};
use crate::random::mix_hashes;
use crate::service_evidence::ServiceEvidence;
use std::collections::VecDeque;

/// A count over the window by which the decisions measure rates.
pub type Counter = SlidingCounter<COUNTER_STEP, COUNTER_STEPS>;

/// A worker as this gateway knows it.
#[derive(Default)]
pub struct Worker {
    /// Its entry in the endpoint list.
    pub endpoint: Endpoint,
    /// Attempts that this gateway has in flight there.
    pub in_flight: u32,
    /// Learned limit of `in_flight`, for all functions together.
    pub in_flight_limit: f64,
    /// Smoothed warm latency over the latency objective.
    pub latency_ratio: f64,
    /// When the limit was last reduced.
    pub limit_reduced_at: Time,
    /// Load by its last report: requests in flight for each unit of rating.
    pub reported_load: f64,
    /// When that report came.
    pub reported_at: Time,
    /// When a load check without an answer was sent.
    pub load_check_sent_at: Time,
    /// Failures in a row.
    pub failures: u32,
    /// When a connection to it last broke under an attempt.
    pub connection_lost_at: Time,
    /// Until when it is ejected.
    pub ejected_until: Time,
    /// How long it was ejected the last time; 0 after a good answer.
    pub ejection_time: Time,
    /// Work that it recently completed for this gateway.
    pub completed_work: Counter,
    /// Time and class of the attempts that count for its slow start.
    pub slow_start_attempts: VecDeque<(Time, usize)>,
    /// Those of them that have not ended, in no order.
    pub slow_start_open: Vec<(Time, usize)>,
    /// How much dearer than its class an attempt was there since the worker's start, by those that ended; 0 where none has.
    pub slow_start_cost_ratio: f64,
    /// Where between 0 and 1 this gateway rounds its share of a worker in slow start up.
    pub slow_start_rounding: f64,
    /// What its own answers say of its being in service.
    pub service: ServiceEvidence,
}

impl Worker {
    /// Whether the endpoint list has it as taking requests.
    pub fn is_active(&self) -> bool {
        self.endpoint.state == EndpointState::Active
    }

    /// Counts an attempt, and for its slow start forgets those older than the window.
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

    /// An attempt that was sent then is not in flight any more.
    pub fn slow_start_attempt_ended(&mut self, sent_at: Time, class: usize) {
        if let Some(i) = self.slow_start_open.iter().position(|open| *open == (sent_at, class)) {
            self.slow_start_open.swap_remove(i);
        }
    }
}

/// What is known of a function's instances on one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum InstanceState {
    /// Nothing.
    #[default]
    Unknown,
    /// There is none.
    Absent,
    /// A load request is on its way or being carried out.
    Loading,
    /// There are some, until their keep-alive ends.
    Loaded,
}

/// A function's instances on one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Placement {
    /// The worker.
    pub worker_id: WorkerId,
    /// Its place in the function's order, see `Function::order_weight`.
    pub weight: u64,
    /// Whether instances are loaded there.
    pub instances: InstanceState,
    /// Attempts of the function in flight there.
    pub in_flight: u32,
    /// Load requests that await their end.
    pub pending_loads: u32,
    /// Queries for loaded instances that await their end.
    pub pending_queries: u32,
    /// Smoothed number of requests of the function, from all gateways, that own ones met there.
    pub concurrency: f64,
    /// Last sign that the keep-alive began anew.
    pub renewed_at: Time,
    /// No load request is sent there before.
    pub blocked_until: Time,
}

impl Placement {
    /// The placement after its worker has restarted: empty, with the ends of calls still to come.
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

    /// Counts the end of a query where one is pending, else that of a load request; whether it was a query.
    pub fn end_pending_call(&mut self) -> bool {
        let query = self.pending_queries > 0;
        let pending = if query { &mut self.pending_queries } else { &mut self.pending_loads };
        *pending = pending.saturating_sub(1);
        query
    }

    /// Nothing is in flight or awaited there.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.pending_loads == 0 && self.pending_queries == 0
    }
}

/// A function as this gateway knows it.
#[derive(Default)]
pub struct Function {
    /// Hash of its id text.
    pub hash: u64,
    /// Whether the index names a function.
    pub live: bool,
    /// Class of its requests.
    pub class: usize,
    /// Requests that one instance executes at a time.
    pub lanes: u32,
    /// Smoothed own warm latency; 0 where there is none yet.
    pub warm_latency: f64,
    /// Smoothed time from a load request to its end; 0 where there is none yet.
    pub load_time: f64,
    /// A worker has shown that it knows the function.
    pub confirmed: bool,
    /// An answer came since the count of instances was last reduced.
    pub answered_since_release: bool,
    /// When instances were last added because workers were full.
    pub saturated_at: Time,
    /// Instances that the function should have.
    pub desired_instances: usize,
    /// Where the rotation over its first placements goes on.
    pub rotation: usize,
    /// Requests that arrived.
    pub rate: Counter,
    /// When the last one arrived.
    pub last_request_at: Time,
    /// Requests in hand.
    pub open_requests: u32,
    /// Its placements, in the order that all gateways share.
    pub placements: Vec<Placement>,
    /// The number of the next change of the endpoint list that its placements follow.
    pub changes_seen: u64,
}

impl Function {
    /// Counts a request that arrives now.
    pub fn request_arrived(&mut self, now: Time) {
        self.last_request_at = now;
        self.open_requests += 1;
        self.rate.add(now, 1);
    }

    /// Where a worker stands in the shared order: rendezvous hashing of the id texts of function and worker. The
    /// highest weight is the first; of equal ones the worker of the higher name hash is.
    pub fn order_weight(&self, name_hash: u64) -> u64 {
        mix_hashes(name_hash, self.hash)
    }

    /// Whether a worker of this weight stands behind all placements.
    pub fn is_behind_last(&self, weight: u64) -> bool {
        self.placements.last().is_some_and(|last| weight < last.weight)
    }

    /// Adds a placement in the shared order.
    pub fn insert_placement(&mut self, workers: &[Worker], placement: Placement) {
        let name_hash = |placement: &Placement| workers[placement.worker_id].endpoint.name_hash;
        let (weight, own) = (placement.weight, name_hash(&placement));
        let position = self
            .placements
            .partition_point(|p| p.weight > weight || p.weight == weight && name_hash(p) > own);
        self.placements.insert(position, placement);
    }

    /// The position of the placement on a worker, which stands in the order at `weight`.
    pub fn position_of(&self, worker_id: WorkerId, weight: u64) -> Option<usize> {
        let first = self.placements.partition_point(|p| p.weight > weight);
        let equal = self.placements[first..].iter().take_while(|p| p.weight == weight);
        equal.clone().position(|p| p.worker_id == worker_id).map(|offset| first + offset)
    }

    /// The first `count` of these workers in the shared order, with their weights; and some more, in any order.
    pub fn first_workers(&self, listed: &[(u64, WorkerId)], count: usize) -> Vec<(u64, WorkerId)> {
        let weighed = listed.iter().map(|(name_hash, worker_id)| (self.order_weight(*name_hash), *worker_id));
        if listed.len() <= 2 * count {
            return weighed.collect();
        }
        // Weights are spread evenly: those above the weight that twice `count` of them are expected to pass are
        // nearly always enough, and looking at all of them again would cost more than the rest.
        let least = u64::MAX - u64::MAX / listed.len() as u64 * 2 * count as u64;
        let first: Vec<_> = weighed.clone().filter(|(weight, _)| *weight >= least).collect();
        if first.len() >= count {
            first
        } else {
            weighed.collect()
        }
    }
}

/// Rates that one instance is good for, in requests a second, and the run time behind them in seconds.
pub struct InstanceRates {
    /// Below it there are more instances than needed.
    pub min: f64,
    /// Above it there are too few.
    pub max: f64,
    /// The run time.
    pub run: f64,
}

/// Placements for an attempt, as positions among those of its function.
pub struct Selection {
    /// The placement to use.
    pub first: usize,
    /// The next of the rotation, which may be less full.
    pub second: Option<usize>,
    /// Where the rotation goes on if one of them is used.
    pub next_rotation: usize,
    /// It stands behind those that the function is to have.
    pub is_beyond: bool,
}

/// Where an attempt stands, and after its end whether the request may have been executed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AttemptState {
    /// Sent.
    InFlight,
    /// Late: counted against its worker already.
    Overdue,
    /// Cancelled by us; its end is still to come.
    Cancelled,
    /// It ended and was certainly not executed.
    #[default]
    NotExecuted,
    /// It ended.
    MayHaveExecuted,
    /// Its connection broke, which says little of the worker; it may have been executed.
    ConnectionLost,
}

impl AttemptState {
    /// What the end of an attempt proves of its execution.
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
    /// Load that the worker had reported by then; -1 where that was too old.
    pub reported_load: f64,
    /// How far it is.
    pub state: AttemptState,
}

/// An attempt that has ended.
pub struct EndedAttempt {
    /// The attempt as it was.
    pub attempt: Attempt,
    /// Position of its placement among those of its function.
    pub position: usize,
    /// What is known of its request.
    pub info: RequestInfo,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Time,
    /// What the worker said beside the outcome.
    pub note: AttemptNote,
}

/// A request in hand.
#[derive(Default)]
pub struct Request {
    /// What is known of it.
    pub info: RequestInfo,
    /// When it arrived.
    pub arrived_at: Time,
    /// It has its response, or its client has left.
    pub finished: bool,
    /// Its response has begun.
    pub streaming: bool,
    /// It waits for a placement.
    pub waiting: bool,
    /// The workers for whose load checks it waits.
    pub load_checks: [WorkerId; 2],
    /// It waits for a worker to confirm that it is in service.
    pub awaits_confirmation: bool,
    /// Instances added for it.
    pub instances_added: u32,
    /// When the last one was added.
    pub instance_added_at: Time,
    /// Attempts that followed a failure; the one after a miss is not counted.
    pub retries: u32,
    /// Its attempts, of which the first `attempt_count` were sent.
    pub attempts: [Attempt; MAX_ATTEMPTS],
    /// Attempts that were sent.
    pub attempt_count: usize,
}

impl Request {
    /// The attempts that were sent.
    pub fn sent_attempts(&self) -> &[Attempt] {
        &self.attempts[..self.attempt_count]
    }

    /// Takes in an attempt that is sent now.
    pub fn add_attempt(&mut self, worker_id: WorkerId, sent_at: Time, reported_load: f64) {
        let state = AttemptState::InFlight;
        self.attempts[self.attempt_count] = Attempt { worker_id, sent_at, reported_load, state };
        self.attempt_count += 1;
        self.waiting = false;
    }

    /// Attempts whose end is still to come.
    pub fn outstanding(&self) -> usize {
        self.sent_attempts().iter().filter(|a| a.state.is_outstanding()).count()
    }

    /// No attempt can have been executed.
    pub fn never_executed(&self) -> bool {
        self.sent_attempts().iter().all(|a| a.state == AttemptState::NotExecuted)
    }
}

/// What a worker says beside an outcome. On the wire it is one number: the instance in the lowest three bits
/// (0 unknown, 1 it was loaded, 2 it had to be loaded, 3 it was being loaded, 4 its load failed), concurrency
/// above.
#[derive(Clone, Copy, Debug)]
pub struct AttemptNote(pub u32);

impl AttemptNote {
    /// The latency holds no load, as far as is known.
    pub fn is_warm(self) -> bool {
        self.0 & 7 <= 1
    }

    /// The request failed because its instance could not be loaded.
    pub fn load_failed(self) -> bool {
        self.0 & 7 == 4
    }

    /// Requests of the same function, from all gateways, that were at the worker.
    pub fn concurrency(self) -> f64 {
        f64::from(self.0 >> 3)
    }
}
