//! The gateway's handling of connections to workers: greeting, timeouts, and the consequences of a
//! connection's end.
use crate::connection_owners::Owner;
use crate::effect_policy::{permit_close, ClosePermit};
use crate::protocol::LocalIdentity;
use crate::Gateway;
use tidewall::interface::Outcome;
use tidewall_net::{CloseReason, Conn, Net, Time};
use tracing::{debug, warn};

impl<N: Net> Gateway<N> {
    /// Handles a newly opened connection to a worker.
    pub(crate) fn worker_connected(&mut self, conn: Conn, connection: usize) {
        let mut greeting = Vec::new();
        let protocol = self.context.scheduler.host.protocol.clone();
        let identity = LocalIdentity {
            name: &self.name,
            index: self.index,
            failover_member: self.failover_member(),
        };
        protocol.write_greeting(&mut greeting, &identity);
        let pool = &mut self.context.scheduler.host;
        if !greeting.is_empty() {
            pool.net.write(conn, &greeting);
            pool.connections[connection].written += greeting.len();
        }
        if !protocol.requires_greeting() {
            pool.connection_ready(connection);
            self.deliver_deferred_outcomes();
        }
    }

    /// Handles the end of a connection to a worker that this gateway did not close.
    pub(crate) fn worker_connection_lost(&mut self, connection: usize, reason: CloseReason) {
        let pool = &self.context.scheduler.host;
        let (now, worker) = (pool.net.now(), pool.connections[connection].worker);
        if pool.connections[connection].superseded {
            return self.worker_connection_closed(connection, reason);
        }
        let scheduler = &mut self.context.scheduler;
        scheduler.advance_clock(now);
        match reason {
            CloseReason::Reset | CloseReason::Ended => scheduler.worker_connection_lost(worker),
            CloseReason::Refused | CloseReason::TimedOut => scheduler.worker_unreachable(worker),
            // A lack of resources on this machine is not the worker's fault.
            CloseReason::NoResources => {}
        }
        self.worker_connection_closed(connection, reason);
    }

    /// Removes a closed connection to a worker and ends its calls. Unsent calls certainly were not
    /// executed; sent ones may have been.
    pub(crate) fn worker_connection_closed(&mut self, connection: usize, reason: CloseReason) {
        let pool = &mut self.context.scheduler.host;
        let closed = pool.connections.remove(connection);
        pool.workers[closed.worker]
            .connections
            .retain(|other| *other != connection);
        pool.cancel_greeting_timer(&closed);
        // The key may be reused for another connection before the last of these calls has ended.
        for key in closed.waiting.iter().chain(&closed.sent) {
            pool.calls[*key].connection = None;
        }
        let message = if closed.ready {
            "worker connection closed"
        } else {
            "worker connection failed"
        };
        debug!(
            worker = pool.worker_names.resolve(closed.worker),
            connection,
            ?reason,
            waiting = closed.waiting.len(),
            in_flight = closed.sent.len(),
            "{message}"
        );
        // A lack of resources on this machine is not the worker's fault.
        let outcome = match reason {
            CloseReason::NoResources => Outcome::Discarded,
            _ => Outcome::ConnectFailed,
        };
        for key in closed.waiting {
            self.call_ended(key, outcome, 0);
            self.context.scheduler.host.remove_call(key);
        }
        for key in closed.sent {
            let call = self.context.scheduler.host.calls[key];
            if !call.ended {
                self.partial_response_lost(call.kind);
            }
            self.call_ended(key, Outcome::Reset, 0);
            self.context.scheduler.host.remove_call(key);
        }
    }

    /// The worker accepted the connection but did not greet in time, as a hung process does: the connection
    /// counts as failed.
    pub(crate) fn greeting_timed_out(&mut self, connection: usize) {
        if let Some(conn) = self.context.scheduler.host.unready_connection(connection) {
            self.reset_worker_connection(connection, conn, CloseReason::TimedOut);
        }
    }

    /// Closes connections that are idle, and resets those that are stalled.
    pub(crate) fn close_unused_connections(&mut self, now: Time, next_check: Time) {
        self.reset_stalled_after_grace(next_check);
        for (connection, conn) in self.context.scheduler.host.stalled_connections(now) {
            warn!(
                connection,
                "worker connection reset: rest of an incomplete message did not arrive"
            );
            self.reset_worker_connection(connection, conn, CloseReason::Reset);
        }
        for (connection, conn) in self.context.scheduler.host.idle_connections(now) {
            self.close_idle_connection(connection, conn);
        }
    }

    /// Closes an unused connection unless it has unread input from the worker.
    fn close_idle_connection(&mut self, connection: usize, conn: Conn) {
        let pool = &mut self.context.scheduler.host;
        let has_unread = pool.net.has_unread(conn);
        let permit = permit_close(pool.awaits_answer_on(connection), has_unread);
        match permit {
            Ok(permit) => {
                self.close_worker_connection(connection, conn, &permit);
            }
            Err(refusal) => pool.effects.refused(refusal),
        }
    }

    fn close_worker_connection(&mut self, connection: usize, conn: Conn, _permit: &ClosePermit) {
        self.context.net().close(conn);
        self.set_owner(conn, Owner::Nobody);
        self.worker_connection_closed(connection, CloseReason::Ended);
    }

    /// Resets connections whose unsent work would otherwise be sent to a draining or removed worker after
    /// the drain grace period.
    fn reset_stalled_after_grace(&mut self, next_check: Time) {
        let now = self.context.net().now();
        let pool = &self.context.scheduler.host;
        for (connection, conn) in pool.stalled_after_grace(now, next_check) {
            let pool = &self.context.scheduler.host;
            warn!(
                worker = pool
                    .worker_names
                    .resolve(pool.connections[connection].worker),
                "worker connection reset: worker is no longer active and does not read"
            );
            self.reset_worker_connection(connection, conn, CloseReason::Reset);
        }
    }

    fn reset_worker_connection(&mut self, connection: usize, conn: Conn, reason: CloseReason) {
        self.context.net().reset(conn);
        self.set_owner(conn, Owner::Nobody);
        self.worker_connection_closed(connection, reason);
    }

    /// Ends the unsent calls to workers that left or restarted, so that the scheduler decides again.
    pub(crate) fn withdraw_unsent_calls(&mut self) {
        let pool = &mut self.context.scheduler.host;
        let withdrawn = pool.take_withdrawn_workers();
        for (key, generation) in pool.unsent_calls(&withdrawn) {
            let call = self.context.scheduler.host.calls.get(key);
            // The key may belong to another call by now.
            if call.is_some_and(|call| call.generation == generation) {
                self.call_ended(key, Outcome::Discarded, 0);
                self.context.scheduler.host.remove_ended_call(key);
            }
        }
        self.reset_stalled_after_grace(0);
    }

    /// Deletes the entries of removed workers, so that entries of replaced machines do not accumulate. A
    /// failover pair's records name workers by their index, so a member of a pair deletes none.
    pub(crate) fn forget_removed_workers(&mut self) {
        if self.failover.is_some() {
            return;
        }
        let removed = self.context.scheduler.host.removed_idle_workers();
        for worker in self.context.scheduler.forget_workers(&removed) {
            self.context.scheduler.host.forget_worker(worker);
        }
    }
}
