//! The simulation's model of clients, gateways and workers.
use super::super::help::*;
use super::super::*;

/// An attempt that was sent, its outcome, and whether its end is still to come.
#[derive(Clone, Copy)]
pub(super) struct SentAttempt {
    pub(super) worker_id: WorkerId,
    pub(super) sent_at: Time,
    pub(super) outcome: Outcome,
    pub(super) outstanding: bool,
}

/// The final outcome of a request for its client.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Response {
    Completed,
    Rejected,
    Failed,
    /// No response, because the client has left.
    Abandoned,
}

/// Whether this outcome proves that the worker has not executed the attempt.
pub(super) fn never_executed(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::AtCapacity | Outcome::ConnectFailed | Outcome::Miss | Outcome::Discarded)
}

/// A request from its client's point of view.
pub(super) struct ClientRequest {
    pub(super) slot: usize,
    pub(super) function_id: usize,
    pub(super) arrived_at: Time,
    pub(super) deadline: Time,
    pub(super) attempts: Vec<SentAttempt>,
    pub(super) response: Option<Response>,
    /// Since when it has no attempt in flight.
    pub(super) idle_since: Time,
}

/// A gateway from one start to the next.
pub(super) struct GatewayRun {
    pub(super) scheduler: TestScheduler,
    pub(super) incarnation: u32,
    pub(super) requests: Vec<ClientRequest>,
    /// State and start time of each worker in the gateway's endpoint list.
    pub(super) endpoints: Vec<(EndpointState, Time)>,
    /// Times of the load requests and arrivals that count for the rate limit.
    pub(super) load_requests: Vec<Time>,
    pub(super) arrivals: Vec<Time>,
    pub(super) pending_loads: Vec<(usize, usize)>,
    /// Time of the next sweep. Sweeps scheduled for other times are ignored.
    pub(super) next_sweep: Time,
}

/// A simulated worker.
#[derive(Clone, Default)]
pub(super) struct SimulatedWorker {
    pub(super) cores: f64,
    pub(super) in_flight: u32,
    /// By function: when its instance is loaded, and until when it stays loaded.
    pub(super) instances: Vec<(Time, Time)>,
    pub(super) state: EndpointState,
    pub(super) started_at: Time,
    pub(super) silent_until: Time,
    /// Work that it received from gateways that knew of its start.
    pub(super) slow_start_work: Vec<(Time, f64)>,
}
