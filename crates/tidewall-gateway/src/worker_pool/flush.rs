//! Sending: at the end of a wake-up the waiting calls of each connection leave in one write.
use super::{CallKind, WorkerPool};
use crate::protocol::{AttemptMessage, LoadRequestMessage};
use tidewall::interface::Outcome;
use tidewall_net::{Net, Time};
use tracing::debug;

/// A batch that grew for a burst gives its memory back: 16 KiB, a few usual messages.
const MAX_KEPT_BATCH: usize = 16 << 10;

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

    /// Writes the messages of a connection's waiting calls, and the end of each, to the batch. Calls that nobody waits for
    /// are discarded.
    fn encode_waiting(
        &mut self,
        connection: usize,
        batch: &mut Vec<u8>,
        ends: &mut Vec<(usize, usize)>,
    ) {
        for index in 0..self.connections[connection].waiting.len() {
            let key = self.connections[connection].waiting[index];
            if !self.calls[key].ended && self.client_still_waiting(key) {
                self.encode_call(key);
                batch.extend_from_slice(&self.frame);
                ends.push((key, batch.len()));
            } else {
                self.defer_outcome(key, Outcome::Discarded);
            }
        }
    }

    /// A call's message of `length` bytes has begun to leave.
    fn mark_sent(&mut self, key: usize, connection: usize, length: usize, now: Time) {
        self.detach(key);
        self.attach(key, connection, true);
        let call = &self.calls[key];
        let is_work = !matches!(call.kind, CallKind::HealthCheck | CallKind::Vote { .. });
        if let CallKind::Attempt { attempt, .. } = call.kind {
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

    /// Whether anybody still waits for what this call would begin: asked just before its first byte leaves.
    fn client_still_waiting(&self, key: usize) -> bool {
        let CallKind::Attempt { request, .. } = self.calls[key].kind else {
            return true;
        };
        let request = &self.requests[request];
        request.open && self.net.now() < request.info.deadline
    }

    /// Writes a call's message into `frame`.
    fn encode_call(&mut self, key: usize) {
        self.frame.clear();
        match self.calls[key].kind {
            CallKind::Attempt { request, attempt } => self.encode_attempt(key, request, attempt),
            CallKind::LoadRequest { function } => self.encode_load_request(key, function),
            CallKind::HealthCheck => {
                let id = self.wire_call_id(key);
                self.protocol.write_health_check(&mut self.frame, id);
            }
            CallKind::Vote {
                ballot, accepting, ..
            } => self.encode_vote(self.wire_call_id(key), ballot, accepting),
        }
    }

    /// The epoch under which this gateway serves; 0 where it is not one of a pair.
    fn serving_epoch(&self) -> u64 {
        self.replicator
            .as_ref()
            .map_or(0, |replicator| replicator.epoch)
    }

    fn encode_attempt(&mut self, key: usize, request: usize, attempt: usize) {
        let (id, now, epoch) = (self.wire_call_id(key), self.net.now(), self.serving_epoch());
        let request = &self.requests[request];
        let info = &request.info;
        let remaining = info.deadline.saturating_sub(now);
        let message = AttemptMessage {
            request_id: request.id,
            attempt: attempt as u64,
            class: &self.class_names[info.class],
            function: self.function_names.resolve(info.function),
            lanes: info.lanes,
            memory: info.memory,
            timeout: self.calls[key]
                .expires_at
                .saturating_sub(now)
                .min(remaining),
            remaining,
            cost_hint: info.cost_hint,
            idempotency_key: &request.idempotency_key,
            is_retry: info.is_retry,
            epoch,
            payload: &request.payload,
        };
        self.protocol.write_attempt(&mut self.frame, id, &message);
    }

    fn encode_load_request(&mut self, key: usize, function: usize) {
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
