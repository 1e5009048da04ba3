//! Flow control of AMQP connections, without I/O and without a clock. A connection with too many pending
//! requests is not read. While the queues or the requests in flight in the gateway are close to their limits,
//! all publishers are told to wait (`connection.blocked`); requests in flight close to their limit also lower
//! the number of pending requests at which a connection is not read. An accepted request is never dropped,
//! and a connection is read again once it has few pending requests of its own.

/// The actions that [`FlowControl`] takes on connections.
pub trait FlowControlActions {
    /// Stops or resumes reading from a connection.
    fn set_read_paused(&mut self, connection: usize, paused: bool);
    /// Sends `connection.blocked` with the reason, or `connection.unblocked`.
    fn set_blocked(&mut self, connection: usize, blocked: bool, reason: &'static str);
}

/// The present load of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLoad {
    /// Id of the connection at the AMQP server.
    pub connection: usize,
    /// The tenant that it publishes for; connections without a tenant count as one tenant together.
    pub tenant: usize,
    /// Requests of the connection that have no final answer yet.
    pub pending_requests: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct ConnectionState {
    paused: bool,
    blocked: bool,
}

/// Decides which connections are read and which are told to wait.
pub struct FlowControl {
    /// Pending requests at which a connection is no longer read.
    max_pending_requests: usize,
    /// Limit of the bytes in all queues.
    max_queued_bytes: usize,
    /// By connection id.
    connections: Vec<ConnectionState>,
    /// The queues reached the high watermark and are not yet below the low one.
    queues_full: bool,
    /// The requests in flight reached the high watermark and are not yet below the low one.
    in_flight_full: bool,
    /// Number of connections that are not read.
    paused_count: usize,
}

/// Publishers are blocked from nine tenths of a limit on and unblocked below seven tenths. The distance keeps
/// single messages from switching the state back and forth, and still leaves most of the limit usable.
const HIGH_WATERMARK: (usize, usize) = (9, 10);
const LOW_WATERMARK: (usize, usize) = (7, 10);

/// Connections whose reading resumes at one update. Updates are 10 ms apart while any connection is held
/// back, so a hundred connections resume within a tenth of a second, and not all in the same wake-up.
const MAX_RESUMES_PER_UPDATE: usize = 10;

fn reaches_fraction(value: usize, limit: usize, fraction: (usize, usize)) -> bool {
    value * fraction.1 >= limit * fraction.0
}

impl FlowControl {
    pub fn new(max_pending_requests: usize, max_queued_bytes: usize) -> FlowControl {
        FlowControl {
            max_pending_requests,
            max_queued_bytes,
            connections: Vec::new(),
            queues_full: false,
            in_flight_full: false,
            paused_count: 0,
        }
    }

    fn state_mut(&mut self, connection: usize) -> &mut ConnectionState {
        if self.connections.len() <= connection {
            self.connections
                .resize(connection + 1, ConnectionState::default());
        }
        &mut self.connections[connection]
    }

    /// Resets the state of a connection id that is given to a new connection or no longer used.
    pub fn reset_connection(&mut self, connection: usize) {
        let former = std::mem::take(self.state_mut(connection));
        self.paused_count -= usize::from(former.paused);
    }

    /// Number of connections that are not read.
    pub fn paused_count(&self) -> usize {
        self.paused_count
    }

    /// Whether any connection is not read, or publishers are blocked.
    pub fn is_holding_back(&self) -> bool {
        self.paused_count > 0 || self.queues_full || self.in_flight_full
    }

    /// Number of connections that were sent `connection.blocked`.
    pub fn blocked_count(&self) -> usize {
        self.connections
            .iter()
            .filter(|state| state.blocked)
            .count()
    }

    /// Pauses a connection that was just read, if its own pending requests reach the limit.
    pub fn connection_read(
        &mut self,
        actions: &mut impl FlowControlActions,
        connection: usize,
        pending_requests: usize,
    ) {
        let limit = self.max_pending_requests;
        let state = self.state_mut(connection);
        if !state.paused && pending_requests >= limit {
            state.paused = true;
            self.paused_count += 1;
            actions.set_read_paused(connection, true);
        }
    }

    /// Decides anew for all connections. `in_flight` of at most `max_in_flight` requests are in flight in the
    /// gateway; `queued_bytes` is the size of the messages in all queues.
    pub fn update(
        &mut self,
        actions: &mut impl FlowControlActions,
        loads: &[ConnectionLoad],
        queued_bytes: usize,
        (in_flight, max_in_flight): (usize, usize),
    ) {
        self.queues_full = reaches_fraction(
            queued_bytes,
            self.max_queued_bytes,
            if self.queues_full {
                LOW_WATERMARK
            } else {
                HIGH_WATERMARK
            },
        );
        self.in_flight_full = reaches_fraction(
            in_flight,
            max_in_flight,
            if self.in_flight_full {
                LOW_WATERMARK
            } else {
                HIGH_WATERMARK
            },
        );
        let block = self.queues_full || self.in_flight_full;
        let reason = if self.queues_full {
            "queues are full"
        } else {
            "too many events are in hand"
        };
        // While the requests in flight are close to their limit, each tenant has an equal share of them. The
        // connections of a tenant split its share, so a tenant gains nothing by opening more connections.
        let mut tenants: Vec<(usize, usize)> = Vec::new();
        for load in loads {
            match tenants.iter_mut().find(|entry| entry.0 == load.tenant) {
                Some(entry) => entry.1 += 1,
                None => tenants.push((load.tenant, 1)),
            }
        }
        let tenant_share =
            max_in_flight * HIGH_WATERMARK.0 / HIGH_WATERMARK.1 / tenants.len().max(1);
        let mut resumable: Vec<(usize, usize)> = Vec::new();
        for load in loads {
            let tenant_connections = tenants
                .iter()
                .find(|entry| entry.0 == load.tenant)
                .map_or(1, |entry| entry.1);
            let limit = if self.in_flight_full {
                (tenant_share / tenant_connections)
                    .min(self.max_pending_requests)
                    .max(1)
            } else {
                self.max_pending_requests
            };
            let state = *self.state_mut(load.connection);
            if !state.paused && load.pending_requests >= limit {
                self.state_mut(load.connection).paused = true;
                self.paused_count += 1;
                actions.set_read_paused(load.connection, true);
            } else if state.paused && load.pending_requests < limit.div_ceil(2) {
                resumable.push((load.pending_requests, load.connection));
            }
            if state.blocked != block {
                self.state_mut(load.connection).blocked = block;
                actions.set_blocked(load.connection, block, reason);
            }
        }
        // Reading resumes first where the fewest requests are pending.
        resumable.sort_unstable();
        for (_, connection) in resumable.into_iter().take(MAX_RESUMES_PER_UPDATE) {
            self.state_mut(connection).paused = false;
            self.paused_count -= 1;
            actions.set_read_paused(connection, false);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[derive(Default)]
    struct Calls(Vec<(usize, &'static str)>);

    impl FlowControlActions for Calls {
        fn set_read_paused(&mut self, connection: usize, paused: bool) {
            self.0
                .push((connection, if paused { "pause" } else { "read" }));
        }
        fn set_blocked(&mut self, connection: usize, blocked: bool, _: &'static str) {
            self.0
                .push((connection, if blocked { "block" } else { "unblock" }));
        }
    }

    fn loads(pending_requests: &[usize]) -> Vec<ConnectionLoad> {
        pending_requests
            .iter()
            .enumerate()
            .map(|(connection, pending_requests)| ConnectionLoad {
                connection,
                tenant: connection,
                pending_requests: *pending_requests,
            })
            .collect()
    }

    #[test_case(&[99], 0, 0, &[] ; "below the limit")]
    #[test_case(&[100, 3], 0, 0, &[(0, "pause")] ; "at the limit, the other connection is read")]
    #[test_case(&[1, 1], 900, 0, &[(0, "block"), (1, "block")] ; "queues at the high watermark")]
    #[test_case(&[1, 1], 899, 0, &[] ; "queues just below the high watermark")]
    #[test_case(&[500, 40], 0, 900, &[(0, "pause"), (0, "block"), (1, "block")] ; "too many in flight")]
    fn paused_and_blocked_at_limits(
        pending_requests: &[usize],
        queued_bytes: usize,
        in_flight: usize,
        expected: &[(usize, &str)],
    ) {
        let mut calls = Calls::default();
        FlowControl::new(100, 1000).update(
            &mut calls,
            &loads(pending_requests),
            queued_bytes,
            (in_flight, 1000),
        );
        assert_eq!(calls.0, expected);
    }

    #[test]
    fn resumed_below_half_the_limit_and_fewest_pending_first() {
        let (mut flow_control, mut calls) = (FlowControl::new(100, 1000), Calls::default());
        flow_control.update(&mut calls, &loads(&[100; 15]), 0, (0, 10_000));
        assert_eq!(flow_control.paused_count(), 15);
        calls.0.clear();
        let pending_requests: Vec<usize> =
            (0..15).map(|i| if i == 3 { 50 } else { 49 - i }).collect();
        flow_control.update(&mut calls, &loads(&pending_requests), 0, (0, 10_000));
        let order: Vec<usize> = calls.0.iter().map(|c| c.0).collect();
        assert_eq!(order, [14, 13, 12, 11, 10, 9, 8, 7, 6, 5]);
    }

    #[test]
    fn blocked_until_below_the_low_watermark() {
        let (mut flow_control, mut calls) = (FlowControl::new(100, 1000), Calls::default());
        for (queued_bytes, blocked) in [(900, 1), (800, 1), (701, 1), (699, 0), (800, 0), (900, 1)]
        {
            flow_control.update(&mut calls, &loads(&[1]), queued_bytes, (0, 1000));
            assert_eq!(flow_control.blocked_count(), blocked, "{queued_bytes}");
        }
    }

    /// A tenant with nine connections gets no more than a tenant with one.
    #[test]
    fn more_connections_give_a_tenant_no_larger_share() {
        let (mut flow_control, mut calls) = (FlowControl::new(1000, 1000), Calls::default());
        let mut all_loads: Vec<ConnectionLoad> = (0..9)
            .map(|connection| ConnectionLoad {
                connection,
                tenant: 0,
                pending_requests: 51,
            })
            .collect();
        all_loads.push(ConnectionLoad {
            connection: 9,
            tenant: 1,
            pending_requests: 440,
        });
        flow_control.update(&mut calls, &all_loads, 0, (900, 1000));
        let paused: Vec<usize> = calls
            .0
            .iter()
            .filter(|c| c.1 == "pause")
            .map(|c| c.0)
            .collect();
        assert_eq!(paused, (0..9).collect::<Vec<_>>());
    }

    #[test]
    fn a_reused_connection_id_starts_unpaused() {
        let (mut flow_control, mut calls) = (FlowControl::new(10, 1000), Calls::default());
        flow_control.connection_read(&mut calls, 0, 10);
        flow_control.reset_connection(0);
        flow_control.connection_read(&mut calls, 0, 10);
        assert_eq!(calls.0, [(0, "pause"), (0, "pause")]);
    }
}
