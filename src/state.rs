//! What is remembered of workers, functions and events. It decides nothing; all decisions are in `choice`.
use crate::choice::{COUNTER_STEP, MAX_ATTEMPTS};
use crate::interface::{Endpoint, RequestInfo, Time};
use std::collections::VecDeque;

/// Settings that every event asks for, read once: looking them up by name took most of the time at full size.
#[derive(Default)]
pub struct SchedulerConfig {
    pub gateway_count: f64,
    /// Departures for large fleets act with more gateways than this one's own rate and own events in flight
    /// can speak for (the limit lies well between the fleets seen, of 3 and of 20 and more).
    pub large_fleet: bool,
    /// Among many: a copy of which nothing is known is presumed to stand.
    pub presume_loaded: bool,
    /// Probes are allowed and their reports tell how full a worker is.
    pub load_checks: bool,
    pub keep_alive: Time,
    pub tick: Time,
    /// How often what is in hand is looked at.
    pub sweep_interval: Time,
    /// How long an event waits for a probe's answer.
    pub load_check_timeout: Time,
    /// Reports tell events in flight.
    pub reports_in_flight: bool,
    /// How long a worker is cold, and the part that it starts with; it tips over so many times that, for so long.
    pub cold: (Time, f64),
    pub overload_tolerance: f64,
    pub overload_window: Time,
    /// Lists come only where they are asked for.
    pub endpoints_on_request: bool,
    pub may_load: bool,
    /// Of orders: window, free ones, share of the events.
    pub ration: (Time, f64, f64),
    /// A worker without the function answers with a miss, and an order may change that.
    pub miss_if_absent: bool,
    pub may_hedge: bool,
    pub may_cancel: bool,
    pub max_attempts: usize,
    /// Events that a gateway may hold.
    pub max_in_flight: f64,
    /// The longest time to come back that a deferral may tell; 0 where none may be told.
    pub max_retry_after: Time,
    /// A launch that has not left so long after it was decided does not leave any more.
    pub connect_timeout: Time,
    /// A list that is older than this counts as told, asked for or not.
    pub endpoint_max_age: Time,
}

/// What may be done again once a launch may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RetrySafety {
    Idempotent,
    IdempotencyKey(KeyScope, Time),
    #[default]
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    pub latency_objective: Time,
    /// The target time as clients show it: less where they leave before the told times.
    pub observed_objective: f64,
    /// After which clients give up, and by how many times its work the target time of an event is longer.
    pub client_timeout: f64,
    pub objective_per_cost: f64,
    pub priority_weight: f64,
    pub late_weight: f64,
    pub retry_safety: RetrySafety,
    /// Smoothed own warm latency and hint of cost, in tenths of a millisecond.
    pub warm_latency: f64,
    pub mean_cost: f64,
}

#[derive(Default)]
pub struct Tenant {
    pub quota: f64,
    pub rate: SlidingCounter,
}

/// A count that slides over twenty steps.
#[derive(Clone, Default)]
pub struct SlidingCounter {
    pub steps: [u32; 20],
    pub at: Time,
    pub sum: u32,
}

impl SlidingCounter {
    pub fn advance(&mut self, now: Time) {
        let (step, len) = (now / COUNTER_STEP, self.steps.len() as Time);
        for s in self.at + 1..=step.min(self.at + len) {
            self.sum -= std::mem::take(&mut self.steps[(s % len) as usize]);
        }
        self.at = self.at.max(step);
    }

    pub fn add(&mut self, now: Time, n: u32) {
        self.advance(now);
        self.steps[(self.at % self.steps.len() as Time) as usize] += n;
        self.sum += n;
    }

    /// The sum by now, where nothing was added for a while.
    pub fn recent(&self, now: Time) -> u32 {
        let (step, len) = (now / COUNTER_STEP, self.steps.len() as Time);
        let gone = (self.at + 1..=step.min(self.at + len)).map(|s| self.steps[(s % len) as usize]);
        self.sum - gone.sum::<u32>()
    }

    /// How many there were, and over which part of the span since `started` they were counted.
    pub fn count_and_span(&mut self, now: Time, started: Time) -> (f64, Time) {
        self.advance(now);
        (f64::from(self.sum), (now - started).min(COUNTER_STEP * self.steps.len() as Time))
    }
}

#[derive(Default)]
pub struct Worker {
    pub endpoint: Endpoint,
    pub in_flight: u32,
    /// The in-flight bound that the page leaves open, for the worker as a whole; learned.
    pub in_flight_limit: f64,
    /// Smoothed warm latency over the target time.
    pub latency_ratio: f64,
    pub limit_reduced_at: Time,
    /// How full its last report showed it, when that came, and when a probe without answer went out.
    pub reported_load: f64,
    pub reported_at: Time,
    pub load_check_sent_at: Time,
    /// Failures in a row, and how long it is left out for them.
    pub failures: u32,
    /// When a connection to it last broke under a launch.
    pub connection_lost_at: Time,
    pub ejected_until: Time,
    pub ejection_time: Time,
    /// Mean work that it did of late, and the launches that a cold start's budget counts.
    pub completed_work: SlidingCounter,
    pub slow_start_attempts: VecDeque<(Time, usize)>,
    /// Where between 0 and 1 this gateway rounds its share of a cold worker up.
    pub slow_start_rounding: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum InstanceState {
    #[default]
    Unknown,
    Absent,
    Loading,
    Loaded,
}

/// A function's copies on one worker. A function has a seat for every worker, in the shared order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Placement {
    pub worker: usize,
    pub instances: InstanceState,
    pub in_flight: u32,
    /// Orders that await their end, and asks that do.
    pub pending_loads: u32,
    pub pending_queries: u32,
    /// Company that own events met there, smoothed.
    pub concurrency: f64,
    /// Last sign that the copy's idle time began anew.
    pub renewed_at: Time,
    pub blocked_until: Time,
}

impl Placement {
    /// Nothing is out or awaited there.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.pending_loads == 0 && self.pending_queries == 0
    }
}

#[derive(Default)]
pub struct Function {
    pub hash: u64,
    pub live: bool,
    pub class: usize,
    pub lanes: u32,
    /// Smoothed own warm latency; 0 where there is none yet.
    pub warm_latency: f64,
    /// Smoothed time from an order to its copy; 0 where there is none yet.
    pub load_time: f64,
    /// A worker has shown that it knows it.
    pub confirmed: bool,
    /// An answer came since the last release of a copy.
    pub answered_since_release: bool,
    pub saturated_at: Time,
    pub desired_instances: usize,
    pub rotation: usize,
    pub rate: SlidingCounter,
    pub last_request_at: Time,
    pub open_requests: u32,
    pub placements: Vec<Placement>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AttemptState {
    InFlight,
    /// Cancelled by us or late beyond patience: counted against its worker already.
    Overdue,
    Cancelled,
    #[default]
    NotExecuted,
    MayHaveExecuted,
    /// May have run; its connection broke, which says little of the worker.
    ConnectionLost,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Attempt {
    pub worker: usize,
    pub sent_at: Time,
    /// How full the worker was seen to be.
    pub reported_load: f64,
    pub state: AttemptState,
}

#[derive(Default)]
pub struct Request {
    pub info: RequestInfo,
    pub arrived_at: Time,
    pub finished: bool,
    pub streaming: bool,
    pub waiting: bool,
    /// The workers whose probes it waits for.
    pub load_checks: [usize; 2],
    /// Instances added for it, and when last.
    pub instances_added: u32,
    pub instance_added_at: Time,
    /// Launches that followed a failure; the move after a miss is not one.
    pub retries: u32,
    pub attempts: [Attempt; MAX_ATTEMPTS],
    pub attempt_count: usize,
}

impl Request {
    pub fn sent_attempts(&self) -> &[Attempt] {
        &self.attempts[..self.attempt_count]
    }

    pub fn outstanding(&self) -> usize {
        self.sent_attempts().iter().filter(|l| is_out(l.state)).count()
    }

    pub fn never_executed(&self) -> bool {
        self.sent_attempts().iter().all(|l| l.state == AttemptState::NotExecuted)
    }
}

pub fn is_out(state: AttemptState) -> bool {
    matches!(state, AttemptState::InFlight | AttemptState::Overdue | AttemptState::Cancelled)
}
