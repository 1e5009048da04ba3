//! The table of requests in flight, and the reply handle that ensures that each request gets exactly one
//! response.
use super::WorkerPool;
use crate::effect_policy::{Violation, LATE_RESPONSE_THRESHOLD};
use crate::ingress::{Disposition, IncomingRequest, ReplyHandle, LATE_RESPONSE_GRACE};
use tidewall::choice::MAX_ATTEMPTS;
use tidewall::interface::{Outcome, RequestInfo};
use tidewall_net::{Conn, Net, Time};
use tracing::warn;

/// Payload capacity that a released slot keeps: 1 KiB, a usual request's payload.
const MAX_KEPT_PAYLOAD: usize = 1024;

/// The state of a request slot. A slot is reused, with its buffers, once the scheduler has released it.
#[derive(Default)]
pub struct PendingRequest {
    /// The request has not had its response.
    pub open: bool,
    /// Identifies the client that gets the response.
    pub reply_handle: ReplyHandle,
    /// The connection on which the client reports that it abandons the request; none if the client has no
    /// connection of its own.
    pub client: Option<Conn>,
    /// The client's id for the request, for logs and workers.
    pub id: u64,
    /// The attempt whose response is being forwarded to the client.
    pub streaming_attempt: Option<usize>,
    received_at: Time,
    /// Until when the client certainly waits.
    deadline: Time,
    /// The latest time until which the client may wait: after `deadline` if the request may have been
    /// unread for some time when it was received.
    latest_deadline: Time,
    pub(super) info: RequestInfo,
    pub(super) idempotency_key: Vec<u8>,
    pub(super) payload: Vec<u8>,
    /// By attempt: the key of its call.
    pub(super) calls: [usize; MAX_ATTEMPTS],
    /// Number of attempts started.
    pub(super) attempts: usize,
    /// Number of attempts that may have been executed.
    pub unproven: u32,
    /// Further clients that sent the same request, each with its deadline.
    pub waiting_clients: Vec<(ReplyHandle, Time)>,
    /// By attempt: the index of its worker.
    pub(super) attempt_workers: [usize; MAX_ATTEMPTS],
    /// By attempt: when its first byte was sent; 0 if none has been.
    pub(super) sent_at: [Time; MAX_ATTEMPTS],
    /// By attempt: whether its outcome proves that it was not executed; none while it has not ended.
    pub not_executed: [Option<bool>; MAX_ATTEMPTS],
    /// Since when an attempt has been postponed until the client's input has been read.
    pub(super) postponed_since: Option<Time>,
}

impl PendingRequest {
    /// When the client stops waiting, on the net's clock.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Whether an attempt was sent that may have been executed. Where a second execution may do harm, the
    /// peer knows of the attempt: it was recorded there before it was sent, or it is part of the snapshot
    /// without which the peer may not take over.
    pub fn may_have_executed(&self) -> bool {
        (0..self.attempts)
            .any(|attempt| self.sent_at[attempt] > 0 && self.not_executed[attempt] != Some(true))
    }

    /// The request's properties as passed to the scheduler.
    pub fn info(&self) -> &RequestInfo {
        &self.info
    }

    /// The idempotency key; empty if the request has none.
    pub fn idempotency_key(&self) -> &[u8] {
        &self.idempotency_key
    }

    /// The payload; valid until the scheduler releases the slot.
    pub fn payload(&self) -> &[u8] {
        &self.payload
    }
}

/// A response that the scheduler decided, or that is about to be sent.
#[derive(Clone, Copy)]
pub struct LocalResponse {
    /// The slot of the request.
    pub request: usize,
    /// Identifies the client that gets the response.
    pub reply_handle: ReplyHandle,
    /// The final disposition.
    pub disposition: Disposition,
    /// Retry-After, in tenths of a millisecond; 0 if none is given.
    pub retry_after: Time,
    /// How long the request was in flight at this gateway, in tenths of a millisecond.
    pub elapsed: Time,
    /// Until when the client certainly waits.
    pub deadline: Time,
}

impl<N: Net> WorkerPool<N> {
    /// Initialises a slot for a new request, reusing the buffers of the slot's previous request.
    pub fn register_request(
        &mut self,
        slot: usize,
        incoming: &IncomingRequest,
        info: &RequestInfo,
    ) {
        if self.requests.len() <= slot {
            self.requests.resize_with(slot + 1, PendingRequest::default);
        }
        let function = info.function;
        if self.function_resources.len() <= function {
            self.function_resources.resize(function + 1, (1, 0.0, 0));
        }
        self.function_resources[function] = (info.lanes, info.memory, info.load_hint);
        let now = self.net.now();
        let request = &mut self.requests[slot];
        request.open = true;
        request.reply_handle = incoming.reply_handle;
        request.client = incoming.client;
        request.id = incoming.id;
        request.streaming_attempt = None;
        request.received_at = now;
        request.deadline = now + incoming.remaining;
        request.latest_deadline = request.deadline + incoming.uncertainty;
        request.info = *info;
        request.attempts = 0;
        request.unproven = 0;
        request.postponed_since = None;
        request.waiting_clients.clear();
        request
            .waiting_clients
            .append(&mut self.next_waiting_clients);
        request.idempotency_key.clear();
        request
            .idempotency_key
            .extend_from_slice(incoming.idempotency_key);
        request.payload.clear();
        request.payload.extend_from_slice(incoming.payload);
        self.held_payload += incoming.payload.len();
        self.last_deadline = self.last_deadline.max(request.deadline);
        self.in_flight += 1;
        self.counters.admitted += 1;
        self.replicate_admission(slot);
    }

    /// Sets how many bytes the payloads of all requests may take.
    pub fn set_payload_memory(&mut self, bytes: usize) {
        self.payload_memory = bytes;
    }

    /// Whether one more payload of this length may be held.
    pub fn has_payload_memory(&self, length: usize) -> bool {
        self.held_payload + length <= self.payload_memory
    }

    /// Releases the payload of a request whose slot will be reused.
    pub(super) fn release_payload(&mut self, slot: usize) {
        let payload = &mut self.requests[slot].payload;
        self.held_payload -= payload.len();
        payload.clear();
        payload.shrink_to(MAX_KEPT_PAYLOAD);
    }

    /// Closes the request and returns its reply handle with the time that the request was in flight. The
    /// caller that gets the handle sends the response; the handle is returned only once per request. If
    /// `expected` is given, returns the handle only if the slot still belongs to `expected`.
    pub fn take_reply_handle(
        &mut self,
        slot: usize,
        expected: Option<ReplyHandle>,
    ) -> Option<(ReplyHandle, Time)> {
        let now = self.net.now();
        let request = self.requests.get_mut(slot)?;
        if !request.open || expected.is_some_and(|handle| handle != request.reply_handle) {
            return None;
        }
        request.open = false;
        self.in_flight -= 1;
        Some((request.reply_handle, now - request.received_at))
    }

    /// Whether nothing may be sent for this request any more: the latest possible deadline of its client
    /// has passed, and the clients of its ingress do not tell the gateway when they stop waiting.
    pub fn is_past_deadline(&self, slot: usize, handle: ReplyHandle) -> bool {
        let accepts_late = self
            .ingress_accepts_late
            .get(handle.ingress)
            .is_some_and(|accepts| *accepts);
        let latest = self.requests[slot].latest_deadline + LATE_RESPONSE_GRACE;
        self.net.now() > latest && !accepts_late
    }

    /// Responds to a request as the scheduler decided: rejected with Retry-After, or failed.
    pub(super) fn respond_locally(
        &mut self,
        slot: usize,
        disposition: Disposition,
        retry_after: Time,
    ) {
        let Some((reply_handle, elapsed)) = self.take_reply_handle(slot, None) else {
            return;
        };
        if self.replicator.is_none() && self.is_past_deadline(slot, reply_handle) {
            // Nothing is sent to a client that has stopped waiting.
            self.counters.expired += 1;
            self.expired_clients.push_back(reply_handle);
            return;
        }
        self.check_response_lateness(slot);
        match disposition {
            Disposition::Rejected => self.counters.rejected += 1,
            _ => self.counters.failed += 1,
        }
        tracing::debug!(
            request = self.requests[slot].id,
            disposition = disposition.wire_text(),
            elapsed,
            "request finished"
        );
        let response = LocalResponse {
            request: slot,
            reply_handle,
            disposition,
            retry_after,
            elapsed,
            deadline: self.requests[slot].deadline,
        };
        if self.replicator.is_some() {
            // Replicated immediately: the slot may hold another request before this scheduler call returns.
            let ready = self.replicate_response(&response, &[]);
            if let (Some(replicator), Some(ready)) = (&mut self.replicator, ready) {
                replicator.ready_responses.push_back(ready);
            }
            return;
        }
        self.local_responses.push_back(response);
    }

    /// Called when a request's response is sent. Counts a violation if it is sent
    /// [`LATE_RESPONSE_THRESHOLD`] or more after the deadline.
    pub(crate) fn check_response_lateness(&mut self, slot: usize) {
        let request = &self.requests[slot];
        let late = self.net.current_time().saturating_sub(request.deadline);
        if late >= LATE_RESPONSE_THRESHOLD {
            warn!(
                request = request.id,
                late, "response left long after its deadline"
            );
            self.effects.violated(Violation::LateResponse);
        }
    }

    /// Records whether the outcome of an attempt proves that it was not executed.
    pub(crate) fn record_attempt_outcome(&mut self, slot: usize, attempt: usize, outcome: Outcome) {
        let not_executed = matches!(
            outcome,
            Outcome::AtCapacity | Outcome::ConnectFailed | Outcome::Discarded | Outcome::Miss
        );
        self.requests[slot].not_executed[attempt] = Some(not_executed);
    }

    /// The request's attempts: number, worker, and whether the outcome proves that the attempt was not
    /// executed.
    pub fn attempts_of(&self, slot: usize) -> Vec<(usize, usize, Option<bool>)> {
        let request = &self.requests[slot];
        (0..request.attempts)
            .map(|attempt| {
                (
                    attempt,
                    request.attempt_workers[attempt],
                    request.not_executed[attempt],
                )
            })
            .collect()
    }
}
