//! Connection limits of a gateway, derived from the number of file descriptors that it may hold.

/// Maximum number of connections of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Connections from clients.
    pub client_connections: usize,
    /// Connections to all workers together.
    pub worker_connections: usize,
    /// Connections to any one worker.
    pub connections_per_worker: usize,
    /// Number of attempts in flight on a connection from which on further attempts open another
    /// connection, as long as the limits allow one.
    pub spread_threshold: usize,
}

/// Descriptors that are not client or worker connections: 3 standard streams, poll, signals,
/// listener, 2 to the discovery server, and the configuration file while it is read. The same
/// number again, rounded up, is reserve.
const PROCESS_DESCRIPTORS: usize = 24;

/// Maximum connections per worker. Eight connections at the configured streams per connection carry
/// more requests than any worker executes concurrently.
const CONNECTIONS_PER_WORKER: usize = 8;

impl DescriptorBudget {
    /// Divides `descriptors` among the kinds of connections. `connections_cost` tells whether
    /// opening or holding a connection to a worker is charged for.
    pub fn new(descriptors: usize, connections_cost: bool) -> DescriptorBudget {
        // Client connections usually take a third of all descriptors. A budget of half
        // leaves room for as many again that are accepted only to be closed.
        let client_connections = (descriptors / 2)
            .saturating_sub(PROCESS_DESCRIPTORS / 2)
            .max(1);
        let worker_connections = descriptors
            .saturating_sub(client_connections + PROCESS_DESCRIPTORS)
            .max(1);
        // If connections are free, each attempt gets its own as long as the limits allow, so that
        // the failure of a connection ends only one attempt.
        let spread_threshold = if connections_cost { usize::MAX } else { 1 };
        DescriptorBudget {
            client_connections,
            worker_connections,
            connections_per_worker: CONNECTIONS_PER_WORKER,
            spread_threshold,
        }
    }
}
