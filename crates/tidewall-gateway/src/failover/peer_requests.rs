//! The peer's requests in flight, built from its replication records. They are stored until this gateway
//! starts serving; then `takeover` continues or ends them.
use super::records::{AdmittedRequest, FinalResponse, RecordNames, ReplicationRecord, NO_SLOT};
use super::replicator::Replicator;
use crate::error::ProtocolError;
use crate::ingress::ReplyHandle;
use crate::Gateway;
use tidewall_failover::deduplication::RequestLocation;
use tidewall_failover::recovery::{Attempt, AttemptState};
use tidewall_net::{Net, Time};
use tidewall_wire::Fields;

/// A request that the peer has in flight.
pub(super) struct ReplicatedRequest {
    pub id: u64,
    pub class: usize,
    pub tenant: Option<usize>,
    pub function: String,
    pub lanes: u32,
    pub memory: f64,
    pub cost_hint: Time,
    pub load_hint: Time,
    /// When its client stops waiting, by this gateway's clock.
    pub deadline: Time,
    pub idempotency_key: Vec<u8>,
    pub payload: Vec<u8>,
    /// The attempts, in the order of their numbers.
    pub attempts: Vec<Attempt>,
    /// Clients that repeated the request to this gateway, each with the time at which it stops waiting.
    pub clients: Vec<(ReplyHandle, Time)>,
}

impl ReplicatedRequest {
    fn new(request: &AdmittedRequest, now: Time) -> ReplicatedRequest {
        ReplicatedRequest {
            id: request.id,
            class: request.class,
            tenant: request.tenant,
            function: request.function.to_string(),
            lanes: request.lanes,
            memory: request.memory,
            cost_hint: request.cost_hint,
            load_hint: request.load_hint,
            deadline: now + request.remaining,
            idempotency_key: request.idempotency_key.to_vec(),
            payload: request.payload.to_vec(),
            attempts: Vec::new(),
            clients: Vec::new(),
        }
    }

    fn may_have_executed(&self) -> bool {
        let not_executed = |attempt: &Attempt| attempt.state == AttemptState::NotExecuted;
        !self.attempts.iter().all(not_executed)
    }
}

/// The peer's requests in flight, by their slots at the peer.
#[derive(Default)]
pub(super) struct PeerRequests {
    slots: Vec<Option<ReplicatedRequest>>,
}

impl PeerRequests {
    /// One more than the highest slot that was in use since the last snapshot began.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// The number of requests.
    pub fn len(&self) -> usize {
        self.slots.iter().flatten().count()
    }

    pub fn is_empty(&self) -> bool {
        self.slots.iter().all(Option::is_none)
    }

    pub fn get(&self, slot: usize) -> Option<&ReplicatedRequest> {
        self.slots.get(slot)?.as_ref()
    }

    pub fn get_mut(&mut self, slot: usize) -> Option<&mut ReplicatedRequest> {
        self.slots.get_mut(slot)?.as_mut()
    }

    pub fn take(&mut self, slot: usize) -> Option<ReplicatedRequest> {
        self.slots.get_mut(slot)?.take()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut ReplicatedRequest> {
        self.slots.iter_mut().flatten()
    }

    fn insert(&mut self, slot: usize, request: ReplicatedRequest) {
        if self.slots.len() <= slot {
            self.slots.resize_with(slot + 1, || None);
        }
        self.slots[slot] = Some(request);
    }

    fn attempt_started(&mut self, slot: usize, worker: usize, now: Time) {
        if let Some(request) = self.get_mut(slot) {
            request.attempts.push(Attempt {
                worker,
                sent_at: now,
                state: AttemptState::InFlight,
            });
        }
    }

    fn attempt_ended(&mut self, slot: usize, attempt: usize, state: AttemptState) {
        let attempts = self.get_mut(slot).map(|request| &mut request.attempts);
        if let Some(attempt) = attempts.and_then(|attempts| attempts.get_mut(attempt)) {
            attempt.state = state;
        }
    }

    /// Stores the response of a request and queues it for the clients that repeated the request to this
    /// gateway.
    fn record_response(
        &mut self,
        replicator: &mut Replicator,
        now: Time,
        response: &FinalResponse,
    ) {
        let request = self.take(response.slot.unwrap_or(NO_SLOT));
        let from_slot = request
            .as_ref()
            .map(|request| (request.class, &*request.idempotency_key));
        // The record contains class and key if its sender could not be sure that this gateway knows the slot.
        let from_record = response
            .request
            .map(|request| (request.class, request.idempotency_key));
        if let Some((class, key)) = from_record.or(from_slot) {
            replicator.store_response(now, class, key, response.disposition, response.payload);
        }
        if let Some(request) = request.filter(|request| !request.clients.is_empty()) {
            let mut pending = replicator.new_response();
            pending.clients = request.clients;
            pending.disposition = Some(response.disposition);
            pending.payload.extend_from_slice(response.payload);
            replicator.ready_responses.push_back(pending);
        }
    }
}

impl<N: Net> Gateway<N> {
    /// Decodes and applies one replication record of the peer.
    pub(super) fn apply_record(&mut self, fields: &Fields) -> Result<(), ProtocolError> {
        let host = &mut self.context.scheduler.host;
        let now = host.net.now();
        let (Some(node), Some(replicator)) = (&mut self.failover, &mut host.replicator) else {
            return Ok(());
        };
        let requests = &mut node.state.peer_requests;
        let names = RecordNames::new(&host.class_names, &host.tenant_names);
        match ReplicationRecord::decode(fields, names)? {
            ReplicationRecord::SnapshotStarted {
                only_changes,
                history_unknown,
            } => {
                replicator.history_unknown_for(now, history_unknown);
                requests.slots.clear();
                if !only_changes {
                    replicator.deduplication.retain_local();
                }
            }
            ReplicationRecord::RequestAdmitted(admitted) => {
                let (class, key) = (admitted.class, admitted.idempotency_key);
                let location = RequestLocation::Remote(admitted.slot);
                replicator.load_request_limiter.request_received(now);
                replicator
                    .deduplication
                    .insert_in_flight(class, key, location);
                requests.insert(admitted.slot, ReplicatedRequest::new(&admitted, now));
            }
            ReplicationRecord::AttemptStarted { slot, worker, .. } => {
                let worker = host.worker_names.intern(worker);
                requests.attempt_started(slot, worker, now);
            }
            ReplicationRecord::AttemptEnded {
                slot,
                attempt,
                not_executed,
            } => {
                let state = match not_executed {
                    true => AttemptState::NotExecuted,
                    false => AttemptState::MayHaveExecuted,
                };
                requests.attempt_ended(slot, attempt as usize, state);
            }
            ReplicationRecord::ResponseRecorded(response) => {
                requests.record_response(replicator, now, &response);
            }
            ReplicationRecord::RequestAbandoned { slot } => {
                if let Some(request) = requests.take(slot) {
                    let (class, key) = (request.class, &request.idempotency_key);
                    let may_have_executed = request.may_have_executed();
                    replicator.record_abandonment(now, class, key, may_have_executed);
                }
            }
            ReplicationRecord::LoadRequested { age } => {
                let requested_at = now.saturating_sub(age);
                replicator.load_request_limiter.load_requested(requested_at);
            }
            ReplicationRecord::SnapshotCompleted => {}
        }
        Ok(())
    }
}
