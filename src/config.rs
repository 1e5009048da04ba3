//! Settings in the form in which the scheduler reads them: looking them up by name for each request took most
//! of the time with fleets of full size. Makes no decisions.
use crate::interface::{RequestInfo, Time};
use crate::state::Counter;

/// Settings that are needed for every request, read once. Time spans are in tenths of a millisecond.
#[derive(Default)]
pub struct SchedulerConfig {
    /// Number of gateways that share the workers, including this one.
    pub gateway_count: f64,
    /// Enables the departures for large fleets: there are too many gateways for this one's own rate and its
    /// own requests in flight to be representative.
    pub large_fleet: bool,
    /// In a large fleet: an instance in unknown state is presumed loaded.
    pub presume_loaded: bool,
    /// Load checks are allowed, and their reports contain the load of a worker.
    pub load_checks: bool,
    /// How long an instance stays loaded without a request.
    pub keep_alive: Time,
    /// Resolution of the clock.
    pub tick: Time,
    /// Interval between sweeps over the open requests.
    pub sweep_interval: Time,
    /// How long a request waits for the answer to a load check; 0 where it does not wait.
    pub load_check_timeout: Time,
    /// Load reports give the number of requests in flight.
    pub reports_in_flight: bool,
    /// How workers warm up after a start.
    pub slow_start: SlowStart,
    /// A worker is overloaded by this multiple of the work that it can do, over a window of
    /// `overload_window`.
    pub overload_tolerance: f64,
    /// See `overload_tolerance`.
    pub overload_window: Time,
    /// The endpoint list is only sent on request.
    pub endpoints_on_request: bool,
    /// How long work may still be sent to a worker after it started to drain.
    pub drain_grace: Time,
    /// Health checks are allowed.
    pub may_check_health: bool,
    /// Load requests are allowed.
    pub may_load: bool,
    /// Rate limit of load requests.
    pub load_limit: LoadRequestLimit,
    /// A worker without an instance of the function answers with a miss, and a load request may load one.
    pub miss_if_absent: bool,
    /// Several attempts of one request may be in flight at the same time.
    pub may_hedge: bool,
    /// Attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// Maximum number of requests that a gateway may have in flight.
    pub max_in_flight: f64,
    /// The longest Retry-After; 0 if none may be given.
    pub max_retry_after: Time,
    /// An attempt that has not been sent this long after it was decided is not sent any more.
    pub connect_timeout: Time,
    /// Age at which the endpoint list counts as known to this gateway, whether it requested the list or not.
    pub endpoint_max_age: Time,
    /// Factor on the priority weight of requests beyond their tenant's quota, from 0 to 1.
    pub over_quota_weight: f64,
}

/// How a worker warms up: its capacity rises linearly from a share of it to all of it.
#[derive(Clone, Copy, Default)]
pub struct SlowStart {
    /// Time from the start until it is warm.
    pub duration: Time,
    /// Share of its capacity at the start, from 0 to 1.
    pub initial_share: f64,
}

impl SlowStart {
    /// The least fraction by which a worker of this age is warm, from 0 to 1; None once it is warm.
    pub fn share_at(&self, age: Time) -> Option<f64> {
        let SlowStart { duration, initial_share } = *self;
        (age < duration).then(|| initial_share + (1.0 - initial_share) * age as f64 / duration as f64)
    }
}

/// Rate limit of load requests: in any window, at most `free` plus a share of the requests that arrived in
/// it.
#[derive(Clone, Copy, Default)]
pub struct LoadRequestLimit {
    /// Length of the window; 0 if there is no limit.
    pub window: Time,
    /// Load requests that are allowed without arrivals.
    pub free: f64,
    /// Load requests that each arriving request allows.
    pub per_request: f64,
}

/// Whether a request may be sent again after an attempt that may have been executed.
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

/// The set of workers that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyScope {
    /// All workers.
    All,
    /// Workers of one zone.
    Zone,
    /// Workers of one cell.
    Cell,
}

/// A class of requests: its settings and estimates. Times and costs are in tenths of a millisecond.
#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    /// Latency within which an answer earns its full priority weight.
    pub latency_objective: Time,
    /// The latency objective observed from clients: shorter than the setting if they leave earlier.
    pub observed_objective: f64,
    /// Time after which clients give up.
    pub client_timeout: f64,
    /// The latency objective of a request grows by this factor times its cost.
    pub objective_per_cost: f64,
    /// The value of an answer in time, from 0.
    pub priority_weight: f64,
    /// Factor on `priority_weight` for a late answer, from 0 to 1.
    pub late_weight: f64,
    /// Whether requests may be sent again.
    pub retry_safety: RetrySafety,
    /// Smoothed latency at loaded instances.
    pub warm_latency: f64,
    /// Smoothed cost hint; 0 if costs are unknown.
    pub mean_cost: f64,
}

impl RequestClass {
    /// The usual warm latency of a request, scaled by its cost hint where hints are given.
    pub fn expected_latency(&self, info: &RequestInfo) -> f64 {
        let hinted = self.mean_cost > 0.0 && info.cost_hint > 0;
        self.warm_latency * if hinted { info.cost_hint as f64 / self.mean_cost } else { 1.0 }
    }

    /// The observed latency objective, longer for expensive requests if the settings say so.
    pub fn objective_for(&self, info: &RequestInfo) -> f64 {
        (self.observed_objective + self.objective_per_cost * info.cost_hint as f64).min(self.client_timeout)
    }
}

/// A tenant and the rate of its requests.
#[derive(Default)]
pub struct Tenant {
    /// Allowed requests per second at all gateways together.
    pub quota: f64,
    /// Requests of which an attempt was sent.
    pub rate: Counter,
}
