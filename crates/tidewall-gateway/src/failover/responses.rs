//! Delivery of responses, and of the other outcomes that failover defers to the end of an event: calls and
//! responses whose records were acknowledged, missing votes, a rejected epoch, an overflowed connection.
use super::held_back::{DeferredAction, PendingResponse};
use super::{RetryingClient, StopReason, FENCING_RETRY_AFTER};
use crate::ingress::{Disposition, Response, LATE_RESPONSE_GRACE, NO_CLIENT};
use crate::timers::TimerToken;
use crate::worker_pool::LocalResponse;
use crate::{Gateway, Owner};
use tidewall_failover::role::Role;
use tidewall_net::{Conn, Net};
use tracing::debug;

impl<N: Net> Gateway<N> {
    /// Sends a request's final response to its client and to all clients that repeated it. With failover it
    /// may be held back until its record is acknowledged. The slot may be reused for another request after
    /// this call.
    pub(crate) fn send_final_response(&mut self, response: &LocalResponse, payload: &[u8]) {
        let host = &mut self.context.scheduler.host;
        if host.replicator.is_some() {
            if let Some(pending) = host.replicate_response(response, payload) {
                self.send_pending_response(pending);
            }
            return;
        }
        self.send_to_client(response, payload);
    }

    /// Sends a response to each of its clients, except those whose deadline passed more than
    /// [`LATE_RESPONSE_GRACE`] ago.
    fn send_pending_response(&mut self, pending: PendingResponse) {
        let host = &mut self.context.scheduler.host;
        let now = host.net.now();
        let response = Response {
            disposition: pending.disposition.unwrap_or(Disposition::Failed),
            retry_after: pending.retry_after,
            reason: "",
            payload: &pending.payload,
            elapsed: pending.elapsed,
        };
        for &(client, deadline) in &pending.clients {
            if client == NO_CLIENT {
                continue;
            }
            let ingress = &mut self.ingresses[client.ingress];
            if now > deadline + LATE_RESPONSE_GRACE {
                host.counters.expired += 1;
                ingress.request_expired(now, client);
            } else {
                ingress.respond(&mut host.net, client, &response);
            }
        }
        if let Some(replicator) = &mut host.replicator {
            replicator.recycle_response(pending);
        }
    }

    /// Delivers one deferred outcome of failover; returns false if none is left. The order in which the kinds
    /// are checked determines the order of writes.
    pub(crate) fn deliver_failover_outcome(&mut self) -> bool {
        let host = &mut self.context.scheduler.host;
        let now = host.net.now();
        let Some(replicator) = &mut host.replicator else {
            return false;
        };
        if let Some(action) = replicator.next_ready_action(now) {
            self.run_deferred_action(action);
        } else if let Some(response) = replicator.ready_responses.pop_front() {
            self.send_pending_response(response);
        } else if let Some(missing) = replicator.missing_votes.pop_front() {
            let round = missing.round.reply_to();
            debug!(voter = missing.voter, phase = ?round.phase, "vote missing");
            self.with_role(|role_machine, now, actions| {
                role_machine.vote_missing(now, actions, missing.voter, round)
            });
        } else if std::mem::take(&mut replicator.epoch_rejected) {
            self.with_role(|role_machine, _, actions| role_machine.epoch_rejected(actions));
        } else if replicator.connection_overflowed {
            if let Some(conn) = replicator.conn {
                self.context.net().reset(conn);
                self.set_owner(conn, Owner::Nobody);
            }
            self.peer_connection_closed();
        } else if let Some((slot, client)) = self.context.awaited_remote.pop_front() {
            self.await_peer_request(slot, client);
        } else {
            self.finish_draining();
            return false;
        }
        true
    }

    /// Gives up responses whose clients cannot wait any longer for the peer's acknowledgement.
    pub(crate) fn give_up_records(&mut self) {
        let host = &mut self.context.scheduler.host;
        let now = host.net.now();
        let Some(replicator) = &mut host.replicator else {
            return;
        };
        let (given_up, next) = replicator.give_up_records(now);
        host.counters.record_timeouts += given_up as u64;
        if let Some(at) = next {
            host.net.set_timer(at, TimerToken::RecordTimeout.pack());
        }
    }

    fn run_deferred_action(&mut self, action: DeferredAction) {
        match action {
            DeferredAction::SendCall { call, generation } => {
                let host = &mut self.context.scheduler.host;
                let still_waiting = host
                    .calls
                    .get(call)
                    .is_some_and(|call| call.generation == generation && !call.ended);
                if still_waiting {
                    host.assign_connection(call);
                }
            }
            DeferredAction::Respond(response) => self.send_pending_response(response),
        }
    }

    /// Lets a client that repeated a request in flight at the peer wait for the response to that request.
    fn await_peer_request(&mut self, slot: usize, client: RetryingClient) {
        let now = self.context.net().now();
        let node = self.failover.as_mut();
        let request = node.and_then(|node| node.state.peer_requests.get_mut(slot));
        let (waiting, disposition, retry_after) = match request {
            Some(request) => {
                let waiting = client.joined_wait(request.deadline);
                if now < waiting.1 {
                    return request.clients.push(waiting);
                }
                (waiting, Disposition::Failed, 0)
            }
            // The request ended in the same wake-up; the client may retry.
            None => (
                client.joined_wait(now),
                Disposition::Rejected,
                FENCING_RETRY_AFTER,
            ),
        };
        let replicator = self.context.expect_replicator();
        let response = replicator.response_to(waiting, disposition, retry_after);
        self.send_pending_response(response);
    }

    /// Informs the role state machine when a gateway that no longer serves has completed all its requests.
    fn finish_draining(&mut self) {
        let Some(node) = &self.failover else {
            return;
        };
        let role = node.role_machine.state();
        let shutting_down = node.state.shutting_down;
        let is_draining = role == Role::Draining || shutting_down && role == Role::Standby;
        if is_draining
            && self.requests_in_flight() == 0
            && self.stop_reason == StopReason::Drained
            && self.unreplicated() == 0
            && !self.has_unread_responses()
        {
            self.with_role(|role_machine, now, actions| role_machine.drained(now, actions));
            if role == Role::Draining && self.role() == Some(Role::Standby) {
                self.close_client_connections();
            }
        }
    }

    /// Aborts the connections of all clients, so that they connect to the gateway that serves.
    fn close_client_connections(&mut self) {
        if let Some(replicator) = &mut self.context.scheduler.host.replicator {
            replicator.epoch = 0;
            replicator.streaming = false;
        }
        for index in 0..self.owners.len() {
            let (generation, owner) = self.owners[index];
            if let Owner::Ingress(_) = owner {
                self.context.net().abort(Conn::new(index, generation));
            }
        }
    }
}
