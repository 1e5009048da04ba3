//! Handles messages from workers: the implementation of `WorkerEvents` for one connection.
use crate::error::ProtocolError;
use crate::ingress::Disposition;
use crate::protocol::{CallName, WorkerEvents};
use crate::worker_pool::{CallKind, WorkerPool};
use crate::Gateway;
use tidewall::interface::{Outcome, Time};
use tidewall_net::Net;
use tidewall_wire::{Field, Fields, WireError};
use tracing::{debug, warn};

/// Handles the messages that a worker sends on one connection.
pub(crate) struct WorkerEventHandler<'a, N: Net> {
    gateway: &'a mut Gateway<N>,
    connection: usize,
}

impl<'a, N: Net> WorkerEventHandler<'a, N> {
    pub(crate) fn new(gateway: &'a mut Gateway<N>, connection: usize) -> Self {
        WorkerEventHandler {
            gateway,
            connection,
        }
    }

    fn pool(&mut self) -> &mut WorkerPool<N> {
        &mut self.gateway.context.scheduler.host
    }

    fn worker(&self) -> usize {
        self.gateway.context.scheduler.host.connections[self.connection].worker
    }

    /// The call that an answer names, with its kind; none if the call has ended and was removed.
    fn call(&mut self, name: CallName) -> Result<Option<(usize, CallKind)>, ProtocolError> {
        let connection = self.connection;
        let pool = self.pool();
        let key = pool.call_key(name, connection)?;
        Ok(key.map(|key| (key, pool.calls[key].kind)))
    }

    /// Ends a call with the worker's own answer: reports the outcome and removes the call.
    fn end_call(&mut self, key: usize, outcome: Outcome, number: u32) {
        self.gateway.call_ended(key, outcome, number);
        self.pool().remove_call(key);
    }

    /// Handles a worker that is a later incarnation than the endpoint list says: it restarted before the
    /// discovery server noticed.
    fn restarted(&mut self, worker: usize, incarnation: u64, age: Time) {
        let pool = self.pool();
        let now = pool.net.now();
        let name = pool.worker_names.resolve(worker);
        debug!(worker = name, incarnation, age, "worker restarted");
        if let Some(endpoint) = pool.worker_restarted(worker, incarnation, age) {
            let scheduler = &mut self.gateway.context.scheduler;
            scheduler.advance_clock(now);
            scheduler.update_endpoints(&[(worker, endpoint)], false);
        }
        if !self.pool().withdrawn_workers.is_empty() {
            self.gateway.withdraw_unsent_calls();
        }
    }
}

impl<N: Net> WorkerEvents for WorkerEventHandler<'_, N> {
    fn has_greeted(&self) -> bool {
        self.gateway.context.scheduler.host.connections[self.connection].ready
    }

    fn greeted(
        &mut self,
        role: &str,
        name: &str,
        incarnation: u64,
        age: Time,
    ) -> Result<(), ProtocolError> {
        let worker = self.worker();
        let pool = self.pool();
        let expected = pool.worker_names.resolve(worker);
        if role != "worker" || name != expected {
            // Another process uses this address by now. Nothing was sent to it, so nothing was executed.
            let reason = format!("{role} {name} answers for {expected}");
            return Err(WireError::invalid(Field::Name, reason).into());
        }
        if incarnation > pool.incarnation_of(worker) {
            self.restarted(worker, incarnation, age);
        }
        let connection = self.connection;
        self.pool().connection_ready(connection);
        Ok(())
    }

    fn response_started(&mut self, name: CallName, payload: &[u8]) -> Result<(), ProtocolError> {
        let Some((key, CallKind::Attempt { request, attempt })) = self.call(name)? else {
            return Ok(());
        };
        let pool = self.pool();
        let now = pool.net.now();
        let ended = pool.calls[key].ended;
        let pending = &mut pool.requests[request];
        if ended || !pending.open || pending.streaming_attempt.is_some() {
            return Ok(());
        }
        pending.streaming_attempt = Some(attempt);
        let handle = pending.reply_handle;
        let gateway = &mut *self.gateway;
        let scheduler = &mut gateway.context.scheduler;
        if let Some(ingress) = gateway.ingresses.get_mut(handle.ingress) {
            ingress.response_started(&mut scheduler.host.net, handle, payload);
        }
        scheduler.advance_clock(now);
        scheduler.response_started(request, attempt);
        Ok(())
    }

    fn attempt_ended(
        &mut self,
        name: CallName,
        outcome: Outcome,
        note: u32,
        payload: &[u8],
    ) -> Result<(), ProtocolError> {
        if let Some((key, CallKind::Attempt { request, .. })) = self.call(name)? {
            if !self.pool().calls[key].ended && outcome == Outcome::Ok {
                // The first successful answer is sent to the client immediately.
                self.gateway
                    .respond(request, Disposition::Completed, payload);
            }
            self.pool().remember_answer(key);
            self.end_call(key, outcome, note);
        }
        Ok(())
    }

    fn load_request_ended(
        &mut self,
        name: CallName,
        outcome: Outcome,
        instances: u32,
    ) -> Result<(), ProtocolError> {
        if let Some((key, CallKind::LoadRequest { .. })) = self.call(name)? {
            self.end_call(key, outcome, instances);
        }
        Ok(())
    }

    fn health_check_ended(&mut self, name: CallName, healthy: bool) -> Result<(), ProtocolError> {
        if let Some((key, CallKind::HealthCheck)) = self.call(name)? {
            let outcome = if healthy { Outcome::Ok } else { Outcome::Error };
            self.end_call(key, outcome, 0);
        }
        Ok(())
    }

    fn load_reported(&mut self, in_flight: f64, busy: f64) {
        let worker = self.worker();
        let now = self.pool().net.now();
        let scheduler = &mut self.gateway.context.scheduler;
        scheduler.advance_clock(now);
        scheduler.load_reported(worker, in_flight, busy);
    }

    fn vote_received(&mut self, fields: &Fields) -> Result<(), ProtocolError> {
        let worker = self.worker();
        self.gateway.vote_received(self.connection, worker, fields)
    }

    fn epoch_rejected(&mut self) {
        self.gateway.epoch_rejected();
    }

    fn draining(&mut self) {
        let worker = self.worker();
        let pool = self.pool();
        let now = pool.net.now();
        let name = pool.worker_names.resolve(worker);
        debug!(worker = name, "worker draining");
        if let Some(endpoint) = pool.worker_draining(worker) {
            let scheduler = &mut self.gateway.context.scheduler;
            scheduler.advance_clock(now);
            scheduler.update_endpoints(&[(worker, endpoint)], false);
            self.gateway.schedule_cache_write();
        }
    }

    fn error_reported(&mut self, reason: &str) {
        let worker = self.worker();
        let name = self.pool().worker_names.resolve(worker);
        warn!(worker = name, reason, "worker reported an error");
    }
}
