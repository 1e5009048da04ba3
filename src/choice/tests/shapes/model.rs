//! What the simulation knows of clients, gateways and workers.
use super::super::help::*;
use super::super::*;

/// An attempt as it was sent, how it ends, and whether that is still to come.
#[derive(Clone, Copy)]
pub(super) struct SentAttempt {
    pub(super) worker_id: WorkerId,
    pub(super) sent_at: Time,
    pub(super) outcome: Outcome,
    pub(super) outstanding: bool,
}

/// What the client hears last.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Response {
    Completed,
    Rejected,
    Failed,
    /// Nothing: it has left.
    Abandoned,
}

/// Whether a worker that ends an attempt so has certainly not executed it.
pub(super) fn never_executed(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::AtCapacity | Outcome::ConnectFailed | Outcome::Miss | Outcome::Discarded)
}

/// A request as its client has it.
pub(super) struct ClientRequest {
    pub(super) slot: usize,
    pub(super) function_id: usize,
    pub(super) arrived_at: Time,
    pub(super) deadline: Time,
    pub(super) attempts: Vec<SentAttempt>,
    pub(super) response: Option<Response>,
    /// Since when nothing of it is out.
    pub(super) idle_since: Time,
}

/// A gateway from one start to the next.
pub(super) struct GatewayRun {
    pub(super) scheduler: TestScheduler,
    pub(super) incarnation: u32,
    pub(super) requests: Vec<ClientRequest>,
    /// State and start of each worker as its endpoint list has them.
    pub(super) endpoints: Vec<(EndpointState, Time)>,
    /// What counts for the rate limit of load requests.
    pub(super) load_requests: Vec<Time>,
    pub(super) arrivals: Vec<Time>,
    pub(super) pending_loads: Vec<(usize, usize)>,
    /// When its next sweep comes; a later one that was planned is passed over.
    pub(super) next_sweep: Time,
}

/// A worker.
#[derive(Clone, Default)]
pub(super) struct SimulatedWorker {
    pub(super) cores: f64,
    pub(super) in_flight: u32,
    /// By function: when its instance is loaded, and until when it stays.
    pub(super) instances: Vec<(Time, Time)>,
    pub(super) state: EndpointState,
    pub(super) started_at: Time,
    pub(super) silent_until: Time,
    /// Work that reached it from gateways that knew of its start.
    pub(super) slow_start_work: Vec<(Time, f64)>,
}
