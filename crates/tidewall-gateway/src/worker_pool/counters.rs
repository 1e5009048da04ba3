//! Counters of the gateway's activity since the process started.

/// Totals since the process started. They are logged regularly and read by tests and reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Admitted requests.
    pub admitted: u64,
    /// Requests whose response is `Completed`.
    pub completed: u64,
    /// Admitted requests whose response is `Rejected`.
    pub rejected: u64,
    /// Requests whose response is `Failed`.
    pub failed: u64,
    /// Requests whose client stopped waiting.
    pub abandoned: u64,
    /// Requests that were not admitted.
    pub refused: u64,
    /// Responses that were not sent because their client's deadline had passed, for example after a stall
    /// of this process.
    pub expired: u64,
    /// Clients that received a failure because the record of their response was not acknowledged in time.
    pub record_timeouts: u64,
    /// Malformed messages and datagrams.
    pub malformed: u64,
    /// Attempts that the scheduler started.
    pub attempts: u64,
    /// Load requests for at least one instance that were not rate limited.
    pub load_requests: u64,
    /// Health checks that were started.
    pub health_checks: u64,
    /// Cases of a worker that denied service, or was unreachable, while the endpoint list was overdue.
    pub service_denials: u64,
    /// Cases of a worker that came back while the endpoint list was overdue and was presumed to have
    /// restarted, so that it is treated as cold.
    pub presumed_starts: u64,
    /// Connections opened to workers.
    pub connections: u64,
}
