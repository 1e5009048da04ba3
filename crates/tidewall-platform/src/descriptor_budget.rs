//! How many connections of each kind a gateway may hold, from the number of descriptors that it is allowed.

/// The most connections of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Connections of clients.
    pub client_connections: usize,
    /// Connections to all workers together.
    pub worker_connections: usize,
    /// Connections to any one worker.
    pub connections_per_worker: usize,
    /// Attempts in flight on a connection from which on another one is opened, while there may be more.
    pub spread_threshold: usize,
}

/// Descriptors of the process itself: 3 standard streams, poll, signals, listener, 2 to the discovery server, the
/// configuration file while it is read; that many again, rounded up, to spare.
const PROCESS_DESCRIPTORS: usize = 24;

/// Eight connections at the configured streams per connection carry more requests than any worker runs at once.
const CONNECTIONS_PER_WORKER: usize = 8;

impl DescriptorBudget {
    /// Shares out `descriptors`. `connections_cost`: opening a connection to a worker, or holding one, is charged for.
    pub fn new(descriptors: usize, connections_cost: bool) -> DescriptorBudget {
        // Clients' connections usually take a third of all descriptors. Half leaves as many again for those that are
        // only accepted to be closed.
        let client_connections = (descriptors / 2)
            .saturating_sub(PROCESS_DESCRIPTORS / 2)
            .max(1);
        let worker_connections = descriptors
            .saturating_sub(client_connections + PROCESS_DESCRIPTORS)
            .max(1);
        // Where connections are free each attempt has its own as long as the budget allows, so that a connection that
        // fails ends one attempt only.
        let spread_threshold = if connections_cost { usize::MAX } else { 1 };
        DescriptorBudget {
            client_connections,
            worker_connections,
            connections_per_worker: CONNECTIONS_PER_WORKER,
            spread_threshold,
        }
    }
}
