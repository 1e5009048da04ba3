//! Recovery of the requests that the peer had in flight when this gateway started serving. Each of them is
//! continued like a request that was just received, waits until the workers of its attempts are fenced, or
//! ends as failed or rejected. [`recovery::recovery_action`] decides by the request's retry safety, its
//! deadline and the known outcomes of its attempts.
use super::peer_requests::ReplicatedRequest;
use super::{FailoverState, FENCING_RETRY_AFTER};
use crate::ingress::{Disposition, IncomingRequest, ReplyHandle, NO_CLIENT};
use crate::Gateway;
use tidewall::interface::EndpointState;
use tidewall_failover::recovery::{self, RecoveryAction};
use tidewall_net::{Net, Time};

impl<N: Net> Gateway<N> {
    /// Continues or ends the requests that the peer had in flight, except for those that wait until the
    /// workers of their attempts are fenced.
    pub(super) fn take_over_requests(&mut self, state: &mut FailoverState) {
        let now = self.context.net().now();
        let mut awaits_fencing = false;
        for slot in 0..state.peer_requests.slot_count() {
            let Some(action) = self.recovery_action(state, slot, now) else {
                continue;
            };
            if action == RecoveryAction::AwaitFencing {
                awaits_fencing = true;
                continue;
            }
            let Some(request) = state.peer_requests.take(slot) else {
                continue;
            };
            match action {
                RecoveryAction::Continue => self.resume_request(request),
                RecoveryAction::Fail => self.end_request(request, now, Disposition::Failed),
                _ => self.end_request(request, now, Disposition::Rejected),
            }
        }
        state.recovering = awaits_fencing;
    }

    fn recovery_action(
        &self,
        state: &FailoverState,
        slot: usize,
        now: Time,
    ) -> Option<RecoveryAction> {
        let host = &self.context.scheduler.host;
        let replicator = host.replicator.as_ref()?;
        let request = state.peer_requests.get(slot)?;
        // A removed worker no longer executes attempts.
        let fenced = |worker: usize| {
            let entry = host.workers.get(worker);
            let removed = entry.is_none_or(|entry| entry.state() == EndpointState::Removed);
            removed || state.fenced_workers.contains(worker)
        };
        Some(recovery::recovery_action(
            replicator.retry_safety_of(request.class),
            replicator.allows_hedging,
            now,
            request.deadline,
            &request.attempts,
            fenced,
        ))
    }

    fn resume_request(&mut self, request: ReplicatedRequest) {
        let now = self.context.net().now();
        let has_clients = !request.clients.is_empty();
        self.context.scheduler.host.next_waiting_clients = request.clients;
        let slot = self.context.start_request(&IncomingRequest {
            reply_handle: NO_CLIENT,
            client: None,
            id: request.id,
            class: request.class,
            tenant: request.tenant,
            function: &request.function,
            lanes: request.lanes,
            memory: request.memory,
            cost_hint: request.cost_hint,
            load_hint: request.load_hint,
            remaining: request.deadline - now,
            uncertainty: 0,
            is_retry: true,
            idempotency_key: &request.idempotency_key,
            payload: &request.payload,
        });
        let replicator = self.context.expect_replicator();
        // The request was already counted when its record was received.
        replicator.load_request_limiter.undo_last_request();
        if has_clients {
            // If the request already has its response, `expire_waiting_clients` removes the slot.
            replicator.shared_requests.push(slot);
        }
    }

    fn end_request(&mut self, request: ReplicatedRequest, now: Time, disposition: Disposition) {
        let replicator = self.context.expect_replicator();
        let (class, key) = (request.class, &request.idempotency_key);
        replicator.store_response(now, class, key, disposition, &[]);
        let mut response = replicator.new_response();
        response.clients = request.clients;
        response.disposition = Some(disposition);
        response.retry_after = FENCING_RETRY_AFTER;
        replicator.ready_responses.push_back(response);
    }

    /// Sends a failure to each client that joined a request in flight and whose deadline is near, as the
    /// response to the request might come too late for it.
    pub(super) fn expire_waiting_clients(&mut self, state: &mut FailoverState) {
        let host = &mut self.context.scheduler.host;
        let Some(replicator) = &mut host.replicator else {
            return;
        };
        // This runs once per tick, so the horizon leaves time for one tick and for sending the response.
        let horizon =
            host.net.now() + state.config.tick_interval() + 2 * recovery::MIN_REMAINING_TIME;
        let mut expired = Vec::new();
        let requests = &mut host.requests;
        replicator.shared_requests.retain(|slot| {
            let request = &mut requests[*slot];
            if !request.open {
                return false;
            }
            move_expired(&mut request.waiting_clients, horizon, &mut expired);
            !request.waiting_clients.is_empty()
        });
        for request in state.peer_requests.iter_mut() {
            move_expired(&mut request.clients, horizon, &mut expired);
        }
        if !expired.is_empty() {
            let mut response = replicator.new_response();
            response.clients = expired;
            response.disposition = Some(Disposition::Failed);
            replicator.ready_responses.push_back(response);
        }
    }
}

/// Moves the clients whose deadline is not after `horizon` to `expired`. Both lists keep their order.
fn move_expired(
    clients: &mut Vec<(ReplyHandle, Time)>,
    horizon: Time,
    expired: &mut Vec<(ReplyHandle, Time)>,
) {
    let is_expired = |client: &(ReplyHandle, Time)| horizon >= client.1;
    expired.extend(clients.iter().filter(|client| is_expired(client)).copied());
    clients.retain(|client| !is_expired(client));
}
