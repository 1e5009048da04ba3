//! What passes between the decisions and whoever runs them: an adapter, a gateway or a test implements
//! `SchedulerActions` and hands in `RequestInfo`, `Endpoint` and `Outcome`. It decides nothing.

/// A point in time or a span, in whole tenths of a millisecond.
pub type Time = u64;

/// A millisecond.
pub const MS: Time = 10;

/// A second.
pub const SECOND: Time = 10_000;

/// Token of the timer of the sweep over the requests in hand.
pub const SWEEP_TIMER: u64 = 0;

/// Token of the timer after which the endpoint list is asked for again.
pub const ENDPOINT_TIMER: u64 = 1;

/// Index of a worker, given by the caller; used again once `Scheduler::forget_worker` says so.
pub type WorkerId = usize;

/// Index of a function, given by the caller; used again after `SchedulerActions::forget_function`.
pub type FunctionId = usize;

/// Index of a request in hand, from `Scheduler::next_request_slot`; used again after
/// `SchedulerActions::release_request`.
pub type RequestSlot = usize;

/// How an attempt, a health check or a load request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker did what was asked.
    Ok,
    /// The worker answered with an error; it may have executed the request.
    Error,
    /// The worker refused for lack of capacity and executed nothing.
    AtCapacity,
    /// No answer came in time; the request may have been executed.
    TimedOut,
    /// No connection came about; nothing was sent.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// It was cancelled from this side.
    Cancelled,
    /// The worker dropped it unexecuted, as it came too late.
    Discarded,
    /// The worker has no instance of the function and executed nothing.
    Miss,
}

/// What a worker was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// To execute a request.
    Attempt,
    /// To load instances of a function.
    LoadRequest,
    /// How many instances of a function it has.
    InstanceQuery,
    /// Whether it is healthy.
    HealthCheck,
}

/// What became of something that a worker was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerAnswer {
    /// What it was asked.
    pub question: Question,
    /// How that ended.
    pub outcome: Outcome,
    /// When it was asked, at the earliest.
    pub asked_at: Time,
    /// Of a query for instances: how many it has; else 0.
    pub instances: u32,
}

/// What a worker's own answers changed while the endpoint list was overdue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceChange {
    /// It denied service, or did not answer: it is passed over.
    Denied,
    /// No connection to it comes about: it is passed over.
    Unreachable,
    /// It is back after it was away, and taken for cold.
    StartPresumed,
}

/// State of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Active,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Not in the list.
    #[default]
    Removed,
}

/// A worker's entry in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Hash of the worker's name, the same at every gateway; 0 where nothing is known of the worker.
    pub name_hash: u64,
    /// Index in the settings' list of zones.
    pub zone: u32,
    /// Index in the settings' list of machine kinds.
    pub kind: u32,
    /// Index of the group of workers within which an idempotency key of scope `Cell` holds.
    pub cell: u32,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Capacity against other workers, as listed.
    pub rating: f64,
    /// When it last started; 0 is long ago.
    pub started_at: Time,
}

/// What is known of a request when it arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestInfo {
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings; None where the deployment has no tenants.
    pub tenant: Option<usize>,
    /// The function that it calls.
    pub function: FunctionId,
    /// A fixed hash of the function's id text, the same at every gateway.
    pub function_hash: u64,
    /// Requests that one instance of the function executes at a time.
    pub lanes: u32,
    /// Memory that an instance takes, as listed.
    pub memory: f64,
    /// When the client gives this try up.
    pub deadline: Time,
    /// Expected work; 0 where it is not known.
    pub cost_hint: Time,
    /// Usual time to load an instance; 0 where it is not known.
    pub load_hint: Time,
    /// Whether the client sends it again.
    pub is_retry: bool,
}

/// How the scheduler acts. Each call is carried out in the order of the calls.
pub trait SchedulerActions {
    /// Sends a request to a worker. Attempts count 0, 1, 2 ... for each request; a timeout of 0 lasts until
    /// the deadline. `Scheduler::attempt_ended` reports the end.
    fn send_attempt(&mut self, request: RequestSlot, worker: WorkerId, timeout: Time);
    /// Cancels an attempt; its end is reported all the same.
    fn cancel_attempt(&mut self, request: RequestSlot, attempt: usize);
    /// Rejects a request, which nothing has executed or which is idempotent, with a Retry-After.
    fn reject(&mut self, request: RequestSlot, retry_after: Time);
    /// Fails a request for good: it may have been executed.
    fn fail(&mut self, request: RequestSlot);
    /// The request has its response and all its attempts have ended; its slot will be used again.
    fn release_request(&mut self, request: RequestSlot);
    /// Calls `Scheduler::timer_fired` with this token after a span.
    fn set_timer(&mut self, delay: Time, token: u64);
    /// Asks a worker for its health and load; `Scheduler::health_check_ended` reports the end.
    fn send_health_check(&mut self, worker: WorkerId);
    /// Closes connections to a worker that carry no request.
    fn close_idle_connections(&mut self, worker: WorkerId);
    /// Asks a worker to hold so many instances of a function, or with 0 how many it holds;
    /// `Scheduler::load_request_ended` reports the end.
    fn send_load_request(&mut self, function: FunctionId, worker: WorkerId, instances: u32);
    /// Lets a worker unload its instances of a function.
    fn unload_instances(&mut self, function: FunctionId, worker: WorkerId);
    /// Nothing is known or pending of this function any more; its index may name another.
    fn forget_function(&mut self, function: FunctionId);
    /// Starts or stops following changes of the endpoint list.
    fn watch_endpoints(&mut self, on: bool);
    /// Asks for the endpoint list once.
    fn poll_endpoints(&mut self);
    /// Sends a message to one gateway of the fleet, or to all.
    fn send_to_peers(&mut self, peer: Option<u32>, bytes: &[u8]);
    /// Attempts and load requests that have not left for a worker by then do not leave: they rest on what
    /// is known of its being in service. Where lists have no age there is nothing to do.
    fn limit_departures(&mut self, _worker: WorkerId, _until: Time) {}
    /// Since when a connection to the worker has stood without a break; `Time::MAX` where none does. A
    /// worker cannot have restarted unnoticed within that time.
    fn connected_since(&self, _worker: WorkerId) -> Time {
        0
    }
    /// What a worker's own answers changed, for the log.
    fn service_changed(&mut self, _worker: WorkerId, _change: ServiceChange) {}
    /// Writes a line to the log.
    fn log_note(&mut self, text: &str);
}
