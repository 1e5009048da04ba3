//! Replication of the worker pool's changes: a record for each change of a request in flight, written before
//! the change takes effect outside the gateway. If a second execution may be harmful, the effect itself
//! (sending an attempt or a response) is held back until the peer has acknowledged the record. The peer
//! therefore never takes over a request without knowing its attempts, and no client receives a response that
//! the peer could contradict. A failure that the peer would report as well, from the records that it already
//! has, is sent at once.
//!
//! A gateway without failover has no replicator; each method then behaves as on a single gateway.
use super::control_messages::VoteRequest;
use super::held_back::{DeferredAction, PendingResponse};
use super::records::{AdmittedRequest, FinalResponse, RecordNames, ReplicationRecord, RequestKey};
use crate::ingress::{Disposition, ReplyHandle, NO_CLIENT};
use crate::timers::TimerToken;
use crate::worker_pool::{LocalResponse, PendingRequest, WorkerPool};
use tidewall_failover::deduplication::RequestLocation;
use tidewall_failover::recovery::fails_at_takeover;
use tidewall_net::{Net, Time};

/// Builds the record of a request in flight, with the time left until its deadline at `now`.
pub(super) fn admitted_request<'a>(
    slot: usize,
    request: &'a PendingRequest,
    function: &'a str,
    now: Time,
) -> AdmittedRequest<'a> {
    let info = request.info();
    AdmittedRequest {
        slot,
        id: request.id,
        class: info.class,
        tenant: info.tenant,
        function,
        lanes: info.lanes,
        memory: info.memory,
        cost_hint: info.cost_hint,
        load_hint: info.load_hint,
        remaining: request.deadline().saturating_sub(now),
        idempotency_key: request.idempotency_key(),
        payload: request.payload(),
    }
}

impl<N: Net> WorkerPool<N> {
    /// Records that a request was admitted to this slot.
    pub(crate) fn replicate_admission(&mut self, slot: usize) {
        let Some(replicator) = &mut self.replicator else {
            return;
        };
        let now = self.net.now();
        let request = &self.requests[slot];
        let info = request.info();
        replicator.load_request_limiter.request_received(now);
        replicator.deduplication.insert_in_flight(
            info.class,
            request.idempotency_key(),
            RequestLocation::Local(slot),
        );
        let function = self.function_names.resolve(info.function);
        replicator.send_record(
            &mut self.net,
            &ReplicationRecord::RequestAdmitted(admitted_request(slot, request, function, now)),
            RecordNames::new(&self.class_names, &self.tenant_names),
        );
    }

    /// Records an attempt before it is sent. The attempt is held back until the record is acknowledged if a
    /// second execution may be harmful, or if two attempts must not be executed concurrently.
    pub(crate) fn replicate_attempt(&mut self, slot: usize, attempt: usize, call: usize) {
        let Some(replicator) = &mut self.replicator else {
            return;
        };
        let request = &mut self.requests[slot];
        request.unproven += 1;
        let worker = self.worker_names.resolve(self.calls[call].worker);
        replicator.send_record(
            &mut self.net,
            &ReplicationRecord::AttemptStarted {
                slot,
                attempt: attempt as u64,
                worker,
            },
            RecordNames::new(&self.class_names, &self.tenant_names),
        );
        let retry_safety = replicator.retry_safety_of(request.info().class);
        let unsafe_unrecorded = !retry_safety.is_safe_to_repeat() || !replicator.allows_hedging;
        if replicator.waits_for_records && unsafe_unrecorded {
            let generation = self.calls[call].generation;
            let now = self.net.now();
            replicator.defer(now, DeferredAction::SendCall { call, generation });
        } else {
            self.assign_connection(call);
        }
    }

    /// Records the end of an attempt. If the outcome proves that it was not executed, a takeover may repeat
    /// it.
    pub(crate) fn replicate_attempt_end(&mut self, slot: usize, attempt: usize) {
        let Some(replicator) = &mut self.replicator else {
            return;
        };
        let request = &mut self.requests[slot];
        let not_executed = request.not_executed[attempt] == Some(true);
        request.unproven -= u32::from(not_executed && request.unproven > 0);
        if request.open {
            replicator.send_record(
                &mut self.net,
                &ReplicationRecord::AttemptEnded {
                    slot,
                    attempt: attempt as u64,
                    not_executed,
                },
                RecordNames::new(&self.class_names, &self.tenant_names),
            );
        }
    }

    /// Records the final response of a request. Returns the response if it may be sent at once; otherwise it
    /// is held back until the record is acknowledged.
    pub(crate) fn replicate_response(
        &mut self,
        response: &LocalResponse,
        payload: &[u8],
    ) -> Option<PendingResponse> {
        let now = self.net.now();
        let replicator = self.replicator.as_mut()?;
        let slot = response.request;
        let request = &mut self.requests[slot];
        let class = request.info().class;
        let (key, disposition) = (request.idempotency_key(), response.disposition);
        replicator.store_response(now, class, key, disposition, payload);
        let request_key = RequestKey {
            class,
            idempotency_key: key,
        };
        let record = FinalResponse {
            slot: Some(slot),
            request: replicator.snapshot_incomplete.then_some(request_key),
            disposition,
            payload,
        };
        replicator.send_record(
            &mut self.net,
            &ReplicationRecord::ResponseRecorded(record),
            RecordNames::new(&self.class_names, &self.tenant_names),
        );
        let mut pending = replicator.new_response();
        pending.request = request.id;
        pending.clients.append(&mut request.waiting_clients);
        if response.reply_handle != NO_CLIENT {
            let client = (response.reply_handle, request.deadline());
            pending.clients.push(client);
        }
        pending.disposition = Some(disposition);
        pending.retry_after = response.retry_after;
        pending.elapsed = response.elapsed;
        pending.payload.extend_from_slice(payload);
        let retry_safety = replicator.retry_safety_of(class);
        let failed_by_both = disposition == Disposition::Failed
            && fails_at_takeover(retry_safety, request.may_have_executed());
        let needs_record = !retry_safety.is_safe_to_repeat() && !failed_by_both;
        if replicator.waits_for_records && needs_record {
            if let Some(at) = replicator.defer_response(now, pending) {
                self.net.set_timer(at, TimerToken::RecordTimeout.pack());
            }
            return None;
        }
        Some(pending)
    }

    /// Records that the client of the request in this slot abandoned it.
    pub(crate) fn replicate_abandonment(&mut self, slot: usize) {
        let now = self.net.now();
        let Some(replicator) = &mut self.replicator else {
            return;
        };
        let request = &self.requests[slot];
        replicator.record_abandonment(
            now,
            request.info().class,
            request.idempotency_key(),
            request.unproven > 0,
        );
        replicator.send_record(
            &mut self.net,
            &ReplicationRecord::RequestAbandoned { slot },
            RecordNames::new(&self.class_names, &self.tenant_names),
        );
    }

    /// Returns whether a load request is within the limit that both gateways share; if so, it is counted and
    /// recorded. A request for 0 instances is not limited.
    pub(crate) fn admit_load_request(&mut self, instances: u32) -> bool {
        let now = self.net.now();
        let Some(replicator) = &mut self.replicator else {
            return true;
        };
        if instances == 0 {
            return true;
        }
        if replicator.epoch == 0 || !replicator.load_request_limiter.has_capacity(now) {
            return false;
        }
        replicator.load_request_limiter.load_requested(now);
        replicator.send_record(
            &mut self.net,
            &ReplicationRecord::LoadRequested { age: 0 },
            RecordNames::new(&self.class_names, &self.tenant_names),
        );
        true
    }

    /// Sends a load request, held back until its record is acknowledged; otherwise the peer's limit might not
    /// count it.
    pub(crate) fn send_when_recorded(&mut self, call: usize, instances: u32) {
        let now = self.net.now();
        match &mut self.replicator {
            Some(replicator) if replicator.waits_for_records && instances > 0 => {
                let generation = self.calls[call].generation;
                replicator.defer(now, DeferredAction::SendCall { call, generation });
            }
            _ => self.assign_connection(call),
        }
    }

    /// Removes one of several clients that wait for the same request; returns false if no other client waits
    /// for it.
    pub(crate) fn remove_waiting_client(&mut self, slot: usize, client: ReplyHandle) -> bool {
        let Some(request) = self.requests.get_mut(slot).filter(|request| request.open) else {
            return false;
        };
        let waiting = &mut request.waiting_clients;
        if let Some(position) = waiting.iter().position(|(handle, _)| *handle == client) {
            waiting.swap_remove(position);
            return true;
        }
        let has_others = request.reply_handle == client && !waiting.is_empty();
        if has_others {
            request.reply_handle = NO_CLIENT;
        }
        has_others
    }

    /// Encodes the vote request of a call into the frame buffer.
    pub(crate) fn encode_vote(&mut self, call_id: u64, ballot: u64, accepting: bool) {
        let Some(replicator) = &self.replicator else {
            return;
        };
        let request = if accepting {
            VoteRequest::Accept {
                call_id,
                ballot,
                leadership: replicator.leadership,
            }
        } else {
            VoteRequest::Prepare { call_id, ballot }
        };
        request.encode(&mut self.frame);
    }
}
