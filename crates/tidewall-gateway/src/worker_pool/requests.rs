//! Requests in flight: their table, and the reply handle that makes sure that each gets one response.
use super::WorkerPool;
use crate::effect_policy::{Violation, LATE_RESPONSE};
use crate::ingress::{Disposition, IncomingRequest, ReplyHandle, LATE_RESPONSE_GRACE};
use tidewall::choice::MAX_ATTEMPTS;
use tidewall::interface::{Outcome, RequestInfo};
use tidewall_net::{Conn, Net, Time};
use tracing::warn;

/// The state of a request slot. A slot is reused once the scheduler has released it, and keeps its buffers.
#[derive(Default)]
pub struct PendingRequest {
    /// The response is still owed.
    pub open: bool,
    /// Whom the response goes to.
    pub reply_handle: ReplyHandle,
    /// The connection on which the client says that it leaves; none where it has none of its own.
    pub client: Option<Conn>,
    /// The client's own id, for logs and workers.
    pub id: u64,
    /// The attempt whose response has begun to be forwarded.
    pub streaming_attempt: Option<usize>,
    received_at: Time,
    /// Until when the client certainly waits.
    deadline: Time,
    /// Until when it may wait at the latest: later where the request may have lain unread.
    latest_deadline: Time,
    pub(super) info: RequestInfo,
    pub(super) idempotency_key: Vec<u8>,
    pub(super) payload: Vec<u8>,
    /// By attempt: the key of its call.
    pub(super) calls: [usize; MAX_ATTEMPTS],
    /// Attempts that were started.
    pub(super) attempts: usize,
    /// Attempts that may have been executed.
    pub unproven: u32,
    /// Further clients that asked for the same request, each with its deadline.
    pub waiting_clients: Vec<(ReplyHandle, Time)>,
    /// By attempt: the worker it was sent to.
    pub(super) attempt_workers: [usize; MAX_ATTEMPTS],
    /// By attempt: when its first byte left; 0 while none has.
    pub(super) sent_at: [Time; MAX_ATTEMPTS],
    /// By attempt: whether its end proves that it was not executed; none while it has not ended.
    pub not_executed: [Option<bool>; MAX_ATTEMPTS],
    /// How often an attempt was put off until the client's input was read.
    pub(super) put_off: u32,
}

impl PendingRequest {
    /// When the client stops waiting, in the net's time.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Whether an attempt was sent that may have been executed. Where a second execution may do harm, the peer knows of it: the
    /// attempt was on record before it was sent, or is part of the snapshot without which the peer may not take over.
    pub fn may_have_executed(&self) -> bool {
        (0..self.attempts)
            .any(|attempt| self.sent_at[attempt] > 0 && self.not_executed[attempt] != Some(true))
    }

    /// What the scheduler was told of the request.
    pub fn info(&self) -> &RequestInfo {
        &self.info
    }

    /// The idempotency key; empty where the request has none.
    pub fn idempotency_key(&self) -> &[u8] {
        &self.idempotency_key
    }

    /// The payload, until the scheduler releases the slot.
    pub fn payload(&self) -> &[u8] {
        &self.payload
    }
}

/// A response that the scheduler itself decided, or that is about to leave.
#[derive(Clone, Copy)]
pub struct LocalResponse {
    /// The slot of the request.
    pub request: usize,
    /// Whom the response goes to.
    pub reply_handle: ReplyHandle,
    /// The final disposition.
    pub disposition: Disposition,
    /// Retry-After, in tenths of a millisecond; 0 where none is given.
    pub retry_after: Time,
    /// How long the request was in flight here, in tenths of a millisecond.
    pub elapsed: Time,
    /// Until when the client certainly waits.
    pub deadline: Time,
}

impl<N: Net> WorkerPool<N> {
    /// Takes the slot into use; its buffers are those of the slot's previous request.
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
        request.put_off = 0;
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
        self.last_deadline = self.last_deadline.max(request.deadline);
        self.in_flight += 1;
        self.counters.admitted += 1;
        self.replicate_admission(slot);
    }

    /// The one place where the right to respond is used up: whoever gets the reply handle sends the response, and
    /// nobody gets it twice. With `expected`, only where the slot still belongs to that handle. Also gives the time
    /// that the request was in flight.
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

    /// Whether nothing may be sent for this request any more: the latest deadline that its client may have has passed, and at
    /// its ingress the deadline is all that says when the client stops waiting.
    pub fn is_past_deadline(&self, slot: usize, handle: ReplyHandle) -> bool {
        let accepts_late = self
            .ingress_accepts_late
            .get(handle.ingress)
            .is_some_and(|accepts| *accepts);
        let latest = self.requests[slot].latest_deadline + LATE_RESPONSE_GRACE;
        self.net.now() > latest && !accepts_late
    }

    /// A response that the scheduler decided: rejected with Retry-After, or failed.
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
        self.note_response_time(slot);
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
            // At once: the slot may serve another request before this call of the scheduler returns.
            let ready = self.replicate_response(&response, &[]);
            if let (Some(replicator), Some(ready)) = (&mut self.replicator, ready) {
                replicator.ready_responses.push_back(ready);
            }
            return;
        }
        self.local_responses.push_back(response);
    }

    /// A request's response leaves now: one that is far too late is a violation.
    pub(crate) fn note_response_time(&mut self, slot: usize) {
        let request = &self.requests[slot];
        let late = self.net.current_time().saturating_sub(request.deadline);
        if late >= LATE_RESPONSE {
            warn!(
                request = request.id,
                late, "response left long after its deadline"
            );
            self.effects.violated(Violation::LateResponse);
        }
    }

    /// An attempt ended: whether that proves that it was not executed.
    pub(crate) fn note_attempt_end(&mut self, slot: usize, attempt: usize, outcome: Outcome) {
        let not_executed = matches!(
            outcome,
            Outcome::AtCapacity | Outcome::ConnectFailed | Outcome::Discarded | Outcome::Miss
        );
        self.requests[slot].not_executed[attempt] = Some(not_executed);
    }

    /// A request's attempts as they stand: number, worker, and whether its end proves that it was not executed.
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
