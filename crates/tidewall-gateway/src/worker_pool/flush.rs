//! Sending: at the end of a wake-up the waiting calls of each connection leave in one write.
use super::{Call, CallKind, WorkerPool};
use crate::effect_policy::{
    permit_attempt, permit_load, AttemptFacts, AttemptPermit, ClientInput, LoadPermit, Refusal,
    UnprovenAttempt, Violation,
};
use crate::protocol::{AttemptMessage, LoadRequestMessage};
use crate::timers::TimerToken;
use tidewall::interface::Outcome;
use tidewall_net::{Net, Time};
use tracing::debug;

/// A batch that grew for a burst gives its memory back: 16 KiB, a few usual messages.
const MAX_KEPT_BATCH: usize = 16 << 10;

/// Attempts of a request are put off so often at most. Each time the sockets are read, 64 KiB of each connection: a client that
/// has sent more than half a megabyte behind its request is not waited for.
const MAX_PUT_OFF: u32 = 8;

impl<N: Net> WorkerPool<N> {
    /// The wake-up is over: what waits leaves. False once there was nothing.
    pub fn flush(&mut self) -> bool {
        let mut any = false;
        while let Some(connection) = self.writable_connections.pop() {
            any = true;
            self.flush_connection(connection);
        }
        any
    }

    /// What waits on a connection leaves as far as its socket takes it. The rest goes on waiting and provably was not
    /// executed: of what the net holds of it only the end of one message has not left.
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
                // Begun: the rest of it has to follow.
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

    /// Writes the messages of a connection's waiting calls that may leave, and the end of each, to the batch. What may not
    /// leave any more is discarded; what waits for its client's input to be read goes on waiting.
    fn encode_waiting(
        &mut self,
        connection: usize,
        batch: &mut Vec<u8>,
        ends: &mut Vec<(usize, usize)>,
    ) {
        let mut puts_off = false;
        for index in 0..self.connections[connection].waiting.len() {
            let key = self.connections[connection].waiting[index];
            match self.encode_call(key) {
                Ok(()) => {
                    batch.extend_from_slice(&self.frame);
                    ends.push((key, batch.len()));
                }
                Err(refusal) if refusal.is_cured_by_reading() => puts_off = true,
                Err(_) => self.defer_outcome(key, Outcome::Discarded),
            }
        }
        if puts_off {
            self.put_off(connection);
        }
    }

    /// What waits on this connection is looked at again in the next wake-up, which reads the sockets first.
    fn put_off(&mut self, connection: usize) {
        if self.put_off_connections.is_empty() {
            let now = self.net.now();
            self.net.set_timer(now, TimerToken::PutOffSends.pack());
        }
        self.put_off_connections.push(connection);
    }

    /// The sockets were read: what was put off is looked at at the end of this wake-up.
    pub(crate) fn resume_put_off(&mut self) {
        let put_off = std::mem::take(&mut self.put_off_connections);
        self.writable_connections.extend(put_off);
    }

    /// A call's message of `length` bytes has begun to leave.
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

    /// Writes a call's message into `frame`, where it may leave now.
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
                let permit = self.ask_for_attempt(key, request, attempt)?;
                self.encode_attempt(key, request, attempt, &permit);
            }
            CallKind::LoadRequest { function } => {
                let entry = &self.workers[worker];
                let known = (entry.state(), entry.departures_until);
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

    /// Asks whether an attempt may leave now. One that was put off too often leaves, which is a violation.
    fn ask_for_attempt(
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
            },
            endpoint: self.workers[self.calls[key].worker].endpoint,
            departures_until: self.workers[self.calls[key].worker].departures_until,
            retry_safety: self.retry_safety[pending.info.class],
            unproven: &unproven,
        };
        let mut decision = permit_attempt(&facts);
        let cured = |decision: &Result<AttemptPermit, Refusal>| {
            decision
                .as_ref()
                .is_err_and(|refusal| refusal.is_cured_by_reading())
        };
        if cured(&decision) && pending.put_off >= MAX_PUT_OFF {
            self.effects.violated(Violation::AttemptByOldInput);
            facts.client = ClientInput::default();
            decision = permit_attempt(&facts);
        }
        self.requests[request].put_off += u32::from(cured(&decision));
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

    /// The epoch under which this gateway serves; 0 where it is not one of a pair.
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

    /// Writes `frame` to a worker; false where its buffer is full or its connection closed.
    pub(super) fn write_frame(&mut self, connection: Option<usize>) -> bool {
        let Some(entry) = connection.and_then(|key| self.connections.get_mut(key)) else {
            return false;
        };
        let accepted = self.net.write(entry.conn, &self.frame);
        entry.written += if accepted { self.frame.len() } else { 0 };
        accepted
    }
}
