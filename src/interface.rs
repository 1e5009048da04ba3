//! The interface between the scheduler and its caller: an adapter, a gateway or a test implements
//! `SchedulerActions` and passes in `RequestInfo`, `Endpoint` and `Outcome`. Makes no decisions.

/// A point in time or a span, in whole tenths of a millisecond.
pub type Time = u64;

/// One millisecond.
pub const MS: Time = 10;

/// One second.
pub const SECOND: Time = 10_000;

/// Token of the timer for the sweep over the open requests.
pub const SWEEP_TIMER: u64 = 0;

/// Token of the timer after which the endpoint list is requested again.
pub const ENDPOINT_TIMER: u64 = 1;

/// Index of a worker, assigned by the caller. Reused once `Scheduler::forget_worker` allows it.
pub type WorkerId = usize;

/// Index of a function, assigned by the caller. Reused after `SchedulerActions::forget_function`.
pub type FunctionId = usize;

/// Index of an open request, from `Scheduler::next_request_slot`. Reused after
/// `SchedulerActions::release_request`.
pub type RequestSlot = usize;

/// How an attempt, a health check or a load request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker did what was asked.
    Ok,
    /// The worker answered with an error; it may have executed the request.
    Error,
    /// The worker rejected it for lack of capacity and executed nothing.
    AtCapacity,
    /// No answer came in time; the request may have been executed.
    TimedOut,
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// It was cancelled by this gateway.
    Cancelled,
    /// The worker discarded it without executing it, because it arrived too late.
    Discarded,
    /// The worker has no instance of the function and executed nothing.
    Miss,
}

/// A kind of call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// To execute a request.
    Attempt,
    /// To load instances of a function.
    LoadRequest,
    /// To report how many instances of a function it has.
    InstanceQuery,
    /// To report whether it is healthy.
    HealthCheck,
}

/// The end of a call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerAnswer {
    /// The kind of the call.
    pub question: Question,
    /// How the call ended.
    pub outcome: Outcome,
    /// When the worker was called, at the earliest.
    pub asked_at: Time,
    /// The number of instances, in answers to instance queries; otherwise 0.
    pub instances: u32,
}

/// A change of a worker's service state, by its own answers, while the endpoint list was overdue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceChange {
    /// It denied service or did not answer, and is skipped.
    Denied,
    /// No connection to it can be opened, and it is skipped.
    Unreachable,
    /// It came back after an absence and is treated as cold.
    StartPresumed,
}

/// State of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Active,
    /// It finishes the requests that it has and takes no new ones.
    Draining,
    /// It is not in the list.
    #[default]
    Removed,
}

/// A worker's entry in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Hash of the worker's name, the same at every gateway; 0 if nothing is known of the worker.
    pub name_hash: u64,
    /// Index in the settings' list of zones.
    pub zone: u32,
    /// Index in the settings' list of machine kinds.
    pub kind: u32,
    /// Index of the group of workers within which an idempotency key of scope `Cell` holds.
    pub cell: u32,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Capacity relative to other workers, as listed.
    pub rating: f64,
    /// When it last started; 0 means long ago.
    pub started_at: Time,
}

/// What is known of a request when it arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestInfo {
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings; None if the deployment has no tenants.
    pub tenant: Option<usize>,
    /// The function that it calls.
    pub function: FunctionId,
    /// A fixed hash of the function's id text, the same at every gateway.
    pub function_hash: u64,
    /// Number of requests that one instance of the function executes at a time.
    pub lanes: u32,
    /// Memory that an instance uses, as listed.
    pub memory: f64,
    /// When the client gives up this try.
    pub deadline: Time,
    /// Expected work; 0 if unknown.
    pub cost_hint: Time,
    /// Usual time to load an instance; 0 if unknown.
    pub load_hint: Time,
    /// Whether the client has sent it before.
    pub is_retry: bool,
}

/// The actions of the scheduler. They are carried out in the order of the calls.
pub trait SchedulerActions {
    /// Sends a request to a worker. The attempts of each request are numbered 0, 1, 2 and so on. With a
    /// timeout of 0, the attempt may last until the deadline. `Scheduler::attempt_ended` reports the end.
    fn send_attempt(&mut self, request: RequestSlot, worker: WorkerId, timeout: Time);
    /// Cancels an attempt. Its end is still reported.
    fn cancel_attempt(&mut self, request: RequestSlot, attempt: usize);
    /// Rejects a request with a Retry-After. No worker has executed the request, or it is idempotent.
    fn reject(&mut self, request: RequestSlot, retry_after: Time);
    /// Fails a request permanently, because it may have been executed.
    fn fail(&mut self, request: RequestSlot);
    /// The request has its response and all its attempts have ended. Its slot will be reused.
    fn release_request(&mut self, request: RequestSlot);
    /// Arranges a call of `Scheduler::timer_fired` with this token after a delay.
    fn set_timer(&mut self, delay: Time, token: u64);
    /// Asks a worker for its health and load. `Scheduler::health_check_ended` reports the end.
    fn send_health_check(&mut self, worker: WorkerId);
    /// Closes connections to a worker that carry no request.
    fn close_idle_connections(&mut self, worker: WorkerId);
    /// Asks a worker to have this many instances of a function loaded or, with 0, how many it has loaded.
    /// `Scheduler::load_request_ended` reports the end.
    fn send_load_request(&mut self, function: FunctionId, worker: WorkerId, instances: u32);
    /// Allows a worker to unload its instances of a function.
    fn unload_instances(&mut self, function: FunctionId, worker: WorkerId);
    /// Nothing is known about this function or pending for it any more. Its index may be reused.
    fn forget_function(&mut self, function: FunctionId);
    /// Starts or stops watching the endpoint list for changes.
    fn watch_endpoints(&mut self, on: bool);
    /// Requests the endpoint list once.
    fn poll_endpoints(&mut self);
    /// Sends a message to one gateway of the fleet, or to all.
    fn send_to_peers(&mut self, peer: Option<u32>, bytes: &[u8]);
    /// Attempts and load requests that have not been sent to the worker by then must not be sent: they depend
    /// on evidence that the worker is in service. Nothing needs to be done where endpoint lists have no age.
    fn limit_departures(&mut self, _worker: WorkerId, _until: Time) {}
    /// The time since which a connection to the worker has stood without a break, or `Time::MAX` if there is
    /// none. A worker cannot have restarted unnoticed since then.
    fn connected_since(&self, _worker: WorkerId) -> Time {
        0
    }
    /// Reports a change of a worker's service state, for the log.
    fn service_changed(&mut self, _worker: WorkerId, _change: ServiceChange) {}
    /// Writes a line to the log.
    fn log_note(&mut self, text: &str);
}
