//! Sending: at the end of a wake-up the waiting calls of each connection are sent in one write.
use super::{Call, CallKind, WorkerPool};
use crate::effect_policy::{
    permit_attempt, permit_load, AttemptFacts, AttemptPermit, ClientInput, LoadPermit, Refusal,
    UnprovenAttempt, Violation, MAX_POSTPONEMENT,
};
use crate::protocol::{AttemptMessage, LoadRequestMessage};
use crate::timers::TimerToken;
use tidewall::interface::Outcome;
use tidewall_net::{Net, Time};
use tracing::debug;

/// Capacity that the batch buffer keeps after a burst: 16 KiB, which holds a few usual messages.
const MAX_KEPT_BATCH: usize = 16 << 10;

impl<N: Net> WorkerPool<N> {
    /// Sends the waiting calls of all writable connections. Returns false if there was no such connection.
    pub fn flush(&mut self) -> bool {
        let mut any = false;
        while let Some(connection) = self.writable_connections.pop() {
            any = true;
            self.flush_connection(connection);
        }
        any
    }

    /// Sends a connection's waiting calls as far as its socket accepts them. The others keep waiting and
    /// certainly were not executed: the net buffers at most the rest of one message that was partly
    /// accepted.
    fn flush_connection(&mut self, connection: usize) {
        let waiting = self
            .connections
            .get(connection)
            .filter(|entry| entry.ready && !entry.waiting.is_empty());
        let Some(conn) = waiting.map(|entry| entry.conn) else {
            return;
        };
        let now = self.net.now();
        let mut batch = std::mem::take(&mut self.batch);
        let mut ends = std::mem::take(&mut self.batch_ends);
        self.encode_waiting(connection, &mut batch, &mut ends);
        let accepted = self.net.write_available(conn, &batch);
        let mut start = 0;
        for &(key, end) in ends.iter().filter(|_| accepted > 0) {
            if start >= accepted {
                break;
            }
            if end > accepted {
                // The socket accepted a part of this message, so the rest has to follow.
                self.net.write(conn, &batch[accepted..end]);
            }
            self.mark_sent(key, connection, end - start, now);
            start = end;
        }
        batch.clear();
        batch.shrink_to(MAX_KEPT_BATCH);
        ends.clear();
        (self.batch, self.batch_ends) = (batch, ends);
    }

    /// Encodes the connection's waiting calls that may be sent into the batch, with the end offset of each.
    /// Calls that may not be sent any more are discarded; calls that need their client's input to be read
    /// first keep waiting.
    fn encode_waiting(
        &mut self,
        connection: usize,
        batch: &mut Vec<u8>,
        ends: &mut Vec<(usize, usize)>,
    ) {
        let mut must_postpone = false;
        for index in 0..self.connections[connection].waiting.len() {
            let key = self.connections[connection].waiting[index];
            match self.encode_call(key) {
                Ok(()) => {
                    batch.extend_from_slice(&self.frame);
                    ends.push((key, batch.len()));
                }
                Err(refusal) if refusal.is_resolved_by_reading() => must_postpone = true,
                Err(_) => self.defer_outcome(key, Outcome::Discarded),
            }
        }
        if must_postpone {
            self.postpone_connection(connection);
        }
    }

    /// Retries this connection's waiting calls in the next wake-up, which reads the sockets first.
    fn postpone_connection(&mut self, connection: usize) {
        if self.postponed_connections.is_empty() {
            let now = self.net.now();
            self.net.set_timer(now, TimerToken::PostponedSends.pack());
        }
        self.postponed_connections.push(connection);
    }

    /// Called after the sockets were read: the postponed calls are retried at the end of this wake-up.
    pub(crate) fn resume_postponed(&mut self) {
        let postponed = std::mem::take(&mut self.postponed_connections);
        self.writable_connections.extend(postponed);
    }

    /// Marks a call as sent. At least the first byte of its message, which has `length` bytes, was written.
    fn mark_sent(&mut self, key: usize, connection: usize, length: usize, now: Time) {
        self.detach(key);
        self.attach(key, connection, true);
        let call = self.calls[key];
        let is_work = !matches!(call.kind, CallKind::HealthCheck | CallKind::Vote { .. });
        if let CallKind::Attempt { request, attempt } = call.kind {
            self.requests[request].sent_at[attempt] = now;
            debug!(
                request = call.request_id,
                attempt,
                worker = self.worker_names.resolve(call.worker),
                connection,
                waited = now - call.started_at,
                input_age = self.net.current_time() - self.net.polled_at(),
                "attempt sent"
            );
        }
        let entry = &mut self.connections[connection];
        entry.streams += usize::from(call.is_attempt());
        entry.last_used = now;
        entry.written += length;
        if is_work {
            entry.last_work_offset = entry.written;
        }
    }

    /// Encodes a call's message into `frame` if it may be sent now.
    fn encode_call(&mut self, key: usize) -> Result<(), Refusal> {
        self.frame.clear();
        let Call {
            kind,
            instances,
            worker,
            expires_at,
            ended,
            ..
        } = self.calls[key];
        if ended {
            return Err(Refusal::AttemptExpired);
        }
        match kind {
            CallKind::Attempt { request, attempt } => {
                let permit = self.obtain_attempt_permit(key, request, attempt)?;
                self.encode_attempt(key, request, attempt, &permit);
            }
            CallKind::LoadRequest { function } => {
                let entry = &self.workers[worker];
                let known = (entry.state(), entry.send_allowed_until);
                let permit = permit_load(instances, known, self.net.current_time(), expires_at);
                let permit = permit.inspect_err(|refusal| self.effects.refused(*refusal))?;
                self.encode_load_request(key, function, &permit);
            }
            CallKind::HealthCheck => {
                let id = self.wire_call_id(key);
                self.protocol.write_health_check(&mut self.frame, id);
            }
            CallKind::Vote {
                ballot, accepting, ..
            } => self.encode_vote(self.wire_call_id(key), ballot, accepting),
        }
        Ok(())
    }

    /// Asks [`permit_attempt`] whether an attempt may be sent now. An attempt that was postponed for too long
    /// is sent on old input, which counts as a violation.
    fn obtain_attempt_permit(
        &mut self,
        key: usize,
        request: usize,
        attempt: usize,
    ) -> Result<AttemptPermit, Refusal> {
        let unproven = self.unproven_attempts(request, attempt);
        let (now, pending) = (self.net.current_time(), &self.requests[request]);
        let mut facts = AttemptFacts {
            now,
            request_open: pending.open,
            deadline: pending.info.deadline,
            expires_at: self.calls[key].expires_at,
            client: ClientInput {
                age: now - self.net.polled_at(),
                unread: pending
                    .client
                    .is_some_and(|conn| self.net.has_known_input(conn)),
                postponed: pending.postponed_since.map_or(0, |since| now - since),
            },
            endpoint: self.workers[self.calls[key].worker].endpoint,
            send_allowed_until: self.workers[self.calls[key].worker].send_allowed_until,
            retry_safety: self.retry_safety[pending.info.class],
            unproven: &unproven,
        };
        let mut decision = permit_attempt(&facts);
        if decision == Err(Refusal::InputTooOld) && facts.client.postponed > MAX_POSTPONEMENT {
            self.effects.violated(Violation::AttemptByOldInput);
            facts.client = ClientInput::default();
            decision = permit_attempt(&facts);
        }
        let is_postponed = matches!(&decision, Err(refusal) if refusal.is_resolved_by_reading());
        let postponed_since = &mut self.requests[request].postponed_since;
        *postponed_since = is_postponed.then(|| postponed_since.unwrap_or(now));
        if let Err(refusal) = &decision {
            self.effects.refused(*refusal);
            let request = self.requests[request].id;
            debug!(request, attempt, ?refusal, "attempt refused");
        }
        decision
    }

    /// Earlier attempts of a request that may have been executed.
    fn unproven_attempts(&self, request: usize, attempt: usize) -> Vec<UnprovenAttempt> {
        let pending = &self.requests[request];
        let is_unproven = |earlier: &usize| {
            *earlier != attempt
                && pending.sent_at[*earlier] > 0
                && pending.not_executed[*earlier] != Some(true)
        };
        (0..pending.attempts)
            .filter(is_unproven)
            .map(|earlier| UnprovenAttempt {
                endpoint: self.workers[pending.attempt_workers[earlier]].endpoint,
                sent_at: pending.sent_at[earlier],
            })
            .collect()
    }

    /// The epoch under which this gateway serves; 0 if it is not a member of a failover pair.
    fn serving_epoch(&self) -> u64 {
        self.replicator
            .as_ref()
            .map_or(0, |replicator| replicator.epoch)
    }

    fn encode_attempt(
        &mut self,
        key: usize,
        request: usize,
        attempt: usize,
        permit: &AttemptPermit,
    ) {
        let (id, epoch) = (self.wire_call_id(key), self.serving_epoch());
        let request = &self.requests[request];
        let info = &request.info;
        let message = AttemptMessage {
            request_id: request.id,
            attempt: attempt as u64,
            class: &self.class_names[info.class],
            function: self.function_names.resolve(info.function),
            lanes: info.lanes,
            memory: info.memory,
            timeout: permit.timeout(),
            remaining: permit.remaining(),
            cost_hint: info.cost_hint,
            idempotency_key: &request.idempotency_key,
            is_retry: info.is_retry,
            epoch,
            payload: &request.payload,
        };
        self.protocol.write_attempt(&mut self.frame, id, &message);
    }

    fn encode_load_request(&mut self, key: usize, function: usize, _permit: &LoadPermit) {
        let (id, epoch) = (self.wire_call_id(key), self.serving_epoch());
        let (lanes, memory, load_hint) = self
            .function_resources
            .get(function)
            .copied()
            .unwrap_or((1, 0.0, 0));
        let message = LoadRequestMessage {
            function: self.function_names.resolve(function),
            instances: self.calls[key].instances,
            lanes,
            memory,
            load_hint,
            epoch,
        };
        self.protocol
            .write_load_request(&mut self.frame, id, &message);
    }

    /// Writes `frame` to a worker. Returns false if the connection's buffer is full or the connection is
    /// closed.
    pub(super) fn write_frame(&mut self, connection: Option<usize>) -> bool {
        let Some(entry) = connection.and_then(|key| self.connections.get_mut(key)) else {
            return false;
        };
        let accepted = self.net.write(entry.conn, &self.frame);
        entry.written += if accepted { self.frame.len() } else { 0 };
        accepted
    }
}
