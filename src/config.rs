//! Settings in the form in which the decisions read them: looking them up by name for each request took most
//! of the time at full size. It decides nothing.
use crate::interface::{RequestInfo, Time};
use crate::state::Counter;

/// Settings that every request asks for, read once. Spans are in tenths of a millisecond.
#[derive(Default)]
pub struct SchedulerConfig {
    /// Gateways that share the workers, this one among them.
    pub gateway_count: f64,
    /// Departures for large fleets act with more gateways than this one's own rate and own requests in flight
    /// can speak for.
    pub large_fleet: bool,
    /// In a large fleet: an instance of which nothing is known is presumed to be loaded.
    pub presume_loaded: bool,
    /// Load checks are allowed and their reports show how full a worker is.
    pub load_checks: bool,
    /// How long an instance stays loaded without a request.
    pub keep_alive: Time,
    /// Resolution of the clock.
    pub tick: Time,
    /// Interval between sweeps over the requests in hand.
    pub sweep_interval: Time,
    /// How long a request waits for the answer to a load check; 0 where it does not wait.
    pub load_check_timeout: Time,
    /// Load reports give the number of requests in flight.
    pub reports_in_flight: bool,
    /// How workers warm up after a start.
    pub slow_start: SlowStart,
    /// A worker is overloaded at so many times what it can do, for as long as `overload_window`.
    pub overload_tolerance: f64,
    /// See `overload_tolerance`.
    pub overload_window: Time,
    /// The endpoint list comes only on request.
    pub endpoints_on_request: bool,
    /// How long after a worker began to drain work may still go to it.
    pub drain_grace: Time,
    /// Health checks are allowed.
    pub may_check_health: bool,
    /// Load requests are allowed.
    pub may_load: bool,
    /// Rate limit of load requests.
    pub load_limit: LoadRequestLimit,
    /// A worker without the function answers with a miss, and a load request may change that.
    pub miss_if_absent: bool,
    /// Several attempts of one request may be in flight together.
    pub may_hedge: bool,
    /// Attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Attempts of one request.
    pub max_attempts: usize,
    /// Requests that a gateway may have in flight.
    pub max_in_flight: f64,
    /// The longest Retry-After; 0 where none may be given.
    pub max_retry_after: Time,
    /// An attempt that has not left so long after it was decided does not leave any more.
    pub connect_timeout: Time,
    /// Age at which the endpoint list counts as known to this gateway, whether it asked for it or not.
    pub endpoint_max_age: Time,
    /// Factor on the priority weight of requests beyond their tenant's quota, from 0 to 1.
    pub over_quota_weight: f64,
}

/// How a worker warms up: its capacity rises evenly from a share of it to all of it.
#[derive(Clone, Copy, Default)]
pub struct SlowStart {
    /// Time from the start until it is warm.
    pub duration: Time,
    /// Share of its capacity at the start, from 0 to 1.
    pub initial_share: f64,
}

impl SlowStart {
    /// How warm a worker is at the least at this age, from 0 to 1; None when it is warm.
    pub fn share_at(&self, age: Time) -> Option<f64> {
        let SlowStart { duration, initial_share } = *self;
        (age < duration).then(|| initial_share + (1.0 - initial_share) * age as f64 / duration as f64)
    }
}

/// Rate limit of load requests: in any window at most `free` and a share of the requests that arrived in it.
#[derive(Clone, Copy, Default)]
pub struct LoadRequestLimit {
    /// Length of the window; 0 where there is no limit.
    pub window: Time,
    /// Load requests that need no arrivals.
    pub free: f64,
    /// Load requests for each request that arrived.
    pub per_request: f64,
}

/// Whether a request may be sent again once an attempt may have been executed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RetrySafety {
    /// It may be executed any number of times.
    Idempotent,
    /// Workers within the scope deduplicate it by its key for this long after the first attempt was sent.
    IdempotencyKey(KeyScope, Time),
    /// It must not be executed twice.
    #[default]
    NonIdempotent,
}

/// Workers that share what they know of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyScope {
    /// All workers.
    All,
    /// Workers of one zone.
    Zone,
    /// Workers of one cell.
    Cell,
}

/// A class of requests: what the settings say of it and what was learned. Times and costs are in tenths of a
/// millisecond.
#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    /// Latency within which an answer brings its full priority weight.
    pub latency_objective: Time,
    /// The latency objective as clients show it: less where they leave earlier than the settings say.
    pub observed_objective: f64,
    /// After which clients give up.
    pub client_timeout: f64,
    /// By how many times its cost the latency objective of a request is longer.
    pub objective_per_cost: f64,
    /// What an answer in time brings, from 0.
    pub priority_weight: f64,
    /// Factor on that for a late answer, from 0 to 1.
    pub late_weight: f64,
    /// Whether requests may be sent again.
    pub retry_safety: RetrySafety,
    /// Smoothed latency at loaded instances.
    pub warm_latency: f64,
    /// Smoothed cost hint; 0 where costs are not known.
    pub mean_cost: f64,
}

impl RequestClass {
    /// The usual warm latency of a request of this cost, where costs are hinted.
    pub fn expected_latency(&self, info: &RequestInfo) -> f64 {
        let hinted = self.mean_cost > 0.0 && info.cost_hint > 0;
        self.warm_latency * if hinted { info.cost_hint as f64 / self.mean_cost } else { 1.0 }
    }

    /// The latency objective as clients show it, longer for much work where the settings say so.
    pub fn objective_for(&self, info: &RequestInfo) -> f64 {
        (self.observed_objective + self.objective_per_cost * info.cost_hint as f64).min(self.client_timeout)
    }
}

/// A tenant and its recent attempts.
#[derive(Default)]
pub struct Tenant {
    /// Requests a second at all gateways together.
    pub quota: f64,
    /// Requests of which an attempt was sent.
    pub rate: Counter,
}
