//! Admission of requests, and the part of the gateway's state that ingresses can use.
use crate::error::AdmissionError;
use crate::failover::RetryingClient;
use crate::ingress::{IncomingRequest, ReplyHandle, NO_CLIENT};
use crate::timers::TimerToken;
use crate::worker_pool::{Counters, PendingRequest, WorkerPool};
use std::collections::VecDeque;
use tidewall::choice::Scheduler;
use tidewall::interface::RequestInfo;
use tidewall::interner;
use tidewall_failover::recovery::deadline_margin;
use tidewall_net::{Net, Time};
use tracing::debug;

/// The gateway's interface for its ingresses: they report arriving requests and leaving clients.
pub struct IngressContext<N: Net> {
    pub(crate) scheduler: Scheduler<WorkerPool<N>>,
    /// No request is admitted any more; the process ends once nothing is in flight.
    pub(crate) draining: bool,
    /// Shutdown was requested; requests are still admitted during the grace period.
    pub(crate) shutting_down: bool,
    /// The other member of the failover pair serves.
    pub(crate) standby: bool,
    max_requests: usize,
    /// Retries of requests that the other member has in flight: the request's slot there, and the client
    /// that retries.
    pub(crate) awaited_remote: VecDeque<(usize, RetryingClient)>,
}

impl<N: Net> IngressContext<N> {
    pub(crate) fn new(
        scheduler: Scheduler<WorkerPool<N>>,
        max_requests: usize,
        standby: bool,
    ) -> IngressContext<N> {
        IngressContext {
            scheduler,
            draining: false,
            shutting_down: false,
            standby,
            max_requests,
            awaited_remote: VecDeque::new(),
        }
    }

    /// The network and the clock.
    pub fn net(&mut self) -> &mut N {
        &mut self.scheduler.host.net
    }

    /// The network and the clock, read-only.
    pub fn net_ref(&self) -> &N {
        &self.scheduler.host.net
    }

    /// Names of the request classes; a request's class is an index here.
    pub fn class_names(&self) -> &[String] {
        &self.scheduler.host.class_names
    }

    /// Names of the tenants; a request's tenant is an index here.
    pub fn tenant_names(&self) -> &[String] {
        &self.scheduler.host.tenant_names
    }

    /// The gateway's counters.
    pub fn counters(&mut self) -> &mut Counters {
        &mut self.scheduler.host.counters
    }

    /// Admits a request, which then gets exactly one response. Returns the slot that identifies the request
    /// to `client_abandoned`. The slot is `NO_REQUEST_SLOT` if a request with the same idempotency key is
    /// in flight or answered elsewhere.
    ///
    /// # Errors
    /// If the request is refused; no response follows.
    pub fn admit(&mut self, incoming: &IncomingRequest) -> Result<usize, AdmissionError> {
        if let Some(slot) = self.find_duplicate(incoming) {
            return Ok(slot);
        }
        let pool = &mut self.scheduler.host;
        let table_full = pool
            .replicator
            .as_ref()
            .is_some_and(|replicator| !replicator.deduplication.has_capacity());
        let refusal = if !incoming.is_in_time() {
            AdmissionError::Late
        } else if self.draining || self.standby {
            AdmissionError::Draining
        } else if table_full {
            AdmissionError::DeduplicationTableFull
        } else if pool.in_flight >= self.max_requests {
            AdmissionError::TooManyRequests
        } else if !pool.has_payload_memory(incoming.payload.len()) {
            AdmissionError::PayloadMemoryFull
        } else {
            return Ok(self.start_request(incoming));
        };
        pool.counters.refused += 1;
        debug!(request = incoming.id, reason = %refusal, "request refused");
        Err(refusal)
    }

    /// Registers a request, passes it to the scheduler and returns its slot.
    pub(crate) fn start_request(&mut self, incoming: &IncomingRequest) -> usize {
        let now = self.scheduler.host.net.now();
        let info = self.request_info(incoming, now);
        let slot = self.scheduler.next_request_slot();
        self.scheduler.host.register_request(slot, incoming, &info);
        debug!(
            request = incoming.id,
            slot,
            function = incoming.function,
            remaining = incoming.remaining,
            "request admitted"
        );
        self.scheduler.advance_clock(now);
        self.scheduler.request_arrived(info);
        slot
    }

    /// Converts a request to the scheduler's representation.
    fn request_info(&mut self, incoming: &IncomingRequest, now: Time) -> RequestInfo {
        let pool = &mut self.scheduler.host;
        let margin = pool.replicator.as_ref().map_or(0, |replicator| {
            deadline_margin(
                replicator.retry_safety_of(incoming.class),
                incoming.remaining,
                replicator.silence_timeout,
            )
        });
        // This process's timers may fire late. The scheduler gets a deadline that is earlier by this lag,
        // otherwise a response that is just in time for the scheduler would reach the client too late. The
        // lag is twice the worst lag so far, because the next one may be worse.
        let lag = (2 * pool.net.max_timer_lag()).min(incoming.remaining / 4);
        RequestInfo {
            class: incoming.class,
            tenant: incoming.tenant,
            function: pool.function_names.intern(incoming.function),
            function_hash: interner::fnv1a(incoming.function),
            lanes: incoming.lanes.max(1),
            memory: incoming.memory,
            deadline: now + incoming.remaining - lag - margin,
            cost_hint: incoming.cost_hint,
            load_hint: incoming.load_hint,
            is_retry: incoming.is_retry,
        }
    }

    /// Sets a timer: `Ingress::timer_fired` is called for the ingress with this index after `wait` tenths
    /// of a millisecond.
    pub fn set_ingress_timer(&mut self, ingress: usize, wait: Time) {
        let at = self.net().now() + wait;
        self.net()
            .set_timer(at, TimerToken::Ingress(ingress).pack());
    }

    /// The number of requests in flight, and its limit.
    pub fn in_flight(&self) -> (usize, usize) {
        (self.scheduler.host.in_flight, self.max_requests)
    }

    /// Whether shutdown was requested. Stays true while requests are still admitted and afterwards.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down || self.draining
    }

    /// The longest Retry-After that clients respect, in tenths of a millisecond; 0 if clients are given
    /// none.
    pub fn max_retry_after(&self) -> Time {
        self.scheduler.host.max_retry_after
    }

    /// Whether no request is admitted any more because the gateway is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Handles a client that does not wait for this request any more.
    pub fn client_abandoned(&mut self, slot: usize, handle: ReplyHandle) {
        let now = self.net().now();
        let pool = &mut self.scheduler.host;
        if pool.remove_waiting_client(slot, handle) {
            return;
        }
        if pool.take_reply_handle(slot, Some(handle)).is_some() {
            pool.counters.abandoned += 1;
            pool.replicate_abandonment(slot);
            debug!(request = pool.requests[slot].id, slot, "request abandoned");
            self.scheduler.advance_clock(now);
            self.scheduler.client_abandoned(slot);
        }
    }

    /// Whether an attempt of the request may have been executed.
    pub fn may_have_executed(&self, slot: usize, handle: ReplyHandle) -> bool {
        let request = self.scheduler.host.requests.get(slot);
        request
            .filter(|request| request.open && request.reply_handle == handle)
            .is_some_and(PendingRequest::may_have_executed)
    }

    /// Handles a broken client connection. A member of a failover pair continues with requests that have an
    /// idempotency key, because the client can ask for them again.
    pub fn client_disconnected(&mut self, slot: usize, handle: ReplyHandle) {
        let pool = &mut self.scheduler.host;
        let is_pair = pool.replicator.is_some();
        let resumable = pool.requests.get_mut(slot).filter(|request| {
            request.open
                && request.reply_handle == handle
                && is_pair
                && !request.idempotency_key().is_empty()
        });
        match resumable {
            Some(request) => request.reply_handle = NO_CLIENT,
            None => self.client_abandoned(slot, handle),
        }
    }
}
