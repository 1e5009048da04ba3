//! Calls: what was asked of a worker and has one answer. Their table, timers, ids on the wire and place on a connection.
use super::WorkerPool;
use crate::error::ProtocolError;
use crate::protocol::CallName;
use crate::timers::TimerToken;
use tidewall::interface::{Outcome, Question};
use tidewall_net::{Net, Time, TimerId};
use tidewall_wire::{Field, WireError};

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallKind {
    /// An attempt of a request.
    Attempt {
        /// The request's slot.
        request: usize,
        /// The attempt's number, from 0.
        attempt: usize,
    },
    /// A load request: how many instances of a function the worker is to have.
    LoadRequest {
        /// The function's index.
        function: usize,
    },
    /// A health check.
    HealthCheck,
    /// A vote of a failover pair.
    Vote {
        /// The voter's index; none for a worker that only hears of a leadership proposal.
        voter: Option<usize>,
        /// The ballot that is voted on.
        ballot: u64,
        /// Whether this is the accept phase.
        accepting: bool,
    },
}

/// Something asked of a worker that has one answer.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// What is asked.
    pub kind: CallKind,
    /// The worker that is asked.
    pub worker: usize,
    /// Of an attempt: its request's id; else 0.
    pub request_id: u64,
    /// The connection that it waits on or was sent on; none before one is assigned and once it has closed.
    pub connection: Option<usize>,
    /// Its index in its connection's list of waiting or of sent calls.
    list_position: usize,
    /// Tells the successive users of a slab key apart on the wire.
    pub generation: u32,
    /// Of a load request: the instances wanted; else 0.
    pub instances: u32,
    /// Written to its connection: from here on it may have been executed.
    pub sent: bool,
    /// The scheduler has its outcome; only the worker's own answer is still awaited.
    pub ended: bool,
    /// When it was started.
    pub started_at: Time,
    /// The net's total stall at that time.
    pub stall_at_start: Time,
    /// When the gateway stops waiting for its answer.
    pub(super) expires_at: Time,
    timer: Option<TimerId>,
}

impl Call {
    /// Whether this is an attempt of the request with this id.
    pub(super) fn is_attempt_of(&self, request_id: u64) -> bool {
        self.request_id == request_id && self.is_attempt()
    }

    /// What the worker is asked by it; none for a vote.
    pub fn question(&self) -> Option<Question> {
        match self.kind {
            CallKind::Attempt { .. } => Some(Question::Attempt),
            CallKind::LoadRequest { .. } if self.instances > 0 => Some(Question::LoadRequest),
            CallKind::LoadRequest { .. } => Some(Question::InstanceQuery),
            CallKind::HealthCheck => Some(Question::HealthCheck),
            CallKind::Vote { .. } => None,
        }
    }

    /// Whether this is an attempt.
    pub(super) fn is_attempt(&self) -> bool {
        matches!(self.kind, CallKind::Attempt { .. })
    }
}

/// So many abandoned requests of a connection are remembered: far more than a connection's streams, and an answer that
/// crosses a cancellation comes within a round trip.
const MAX_ABANDONED_REQUESTS: usize = 128;

impl<N: Net> WorkerPool<N> {
    /// Adds a call and sets its timer; gives its key. It is not assigned to a connection yet.
    pub(crate) fn start_call(
        &mut self,
        kind: CallKind,
        worker: usize,
        instances: u32,
        expires_at: Time,
    ) -> usize {
        self.call_generation = self.call_generation.wrapping_add(1);
        let started_at = self.net.now();
        let call = Call {
            kind,
            worker,
            request_id: match kind {
                CallKind::Attempt { request, .. } => self.requests[request].id,
                _ => 0,
            },
            connection: None,
            list_position: 0,
            generation: self.call_generation,
            instances,
            sent: false,
            ended: false,
            started_at,
            stall_at_start: self.net.total_stall(),
            expires_at,
            timer: None,
        };
        // What has not left by the time that a connection may take does not leave any more: its request moves on, and what it
        // would take effect with later is what the scheduler counted with.
        let first = match kind {
            CallKind::Vote { .. } => expires_at,
            _ => expires_at.min(started_at + self.limits.connect_timeout),
        };
        let key = self.calls.insert(call);
        self.calls[key].timer = Some(self.net.set_timer(first, TimerToken::Call(key).pack()));
        key
    }

    /// The call that a worker's answer names, if it belongs to this connection and is still the same one.
    ///
    /// # Errors
    /// Where the call was sent on another connection.
    pub fn call_key(
        &self,
        name: CallName,
        connection: usize,
    ) -> Result<Option<usize>, ProtocolError> {
        let id = match name {
            CallName::CallId(id) => id,
            CallName::RequestId(request_id) => {
                let sent = &self.connections[connection].sent;
                return Ok(sent
                    .iter()
                    .copied()
                    .find(|key| self.calls[*key].is_attempt_of(request_id)));
            }
        };
        let (key, generation) = ((id & 0xffff_ffff) as usize, (id >> 32) as u32);
        match self.calls.get(key) {
            Some(call) if call.generation == generation && call.connection != Some(connection) => {
                Err(
                    WireError::invalid(Field::Id, format!("{id} was sent on another connection"))
                        .into(),
                )
            }
            Some(call) if call.generation == generation => Ok(Some(key)),
            _ => Ok(None),
        }
    }

    /// The id that names a call on the wire: its key below, its generation above.
    pub(super) fn wire_call_id(&self, key: usize) -> u64 {
        key as u64 | u64::from(self.calls[key].generation) << 32
    }

    /// The scheduler gets this call's outcome now.
    pub fn finish_call(&mut self, key: usize) {
        self.cancel_call_timer(key);
        self.calls[key].ended = true;
    }

    /// Cancels the call's timer, if it is set.
    pub fn cancel_call_timer(&mut self, key: usize) {
        if let Some(timer) = self.calls[key].timer.take() {
            self.net.cancel_timer(timer);
        }
    }

    /// Removes a call: nothing more is awaited for it.
    pub fn remove_call(&mut self, key: usize) {
        self.cancel_call_timer(key);
        self.detach(key);
        self.calls.remove(key);
    }

    /// Removes a call that ended before it was sent, or of which the worker says nothing more.
    pub fn remove_ended_call(&mut self, key: usize) {
        let Some(call) = self.calls.get(key).filter(|call| call.ended) else {
            return;
        };
        if call.sent && self.protocol.confirms_cancelled() {
            return;
        }
        let (sent, request_id) = (call.sent, call.request_id);
        let connection = call.connection.and_then(|c| self.connections.get_mut(c));
        if let Some(connection) = connection.filter(|_| sent) {
            if connection.abandoned_requests.len() == MAX_ABANDONED_REQUESTS {
                connection.abandoned_requests.pop_front();
            }
            connection.abandoned_requests.push_back(request_id);
        }
        self.remove_call(key);
    }

    /// Tells the worker that nobody waits for this attempt, where it would not hear it by the attempt's own timeout.
    pub fn cancel_expired_call(&mut self, key: usize) {
        let call = self.calls[key];
        if call.sent && !self.protocol.confirms_cancelled() && call.is_attempt() {
            self.frame.clear();
            let id = self.wire_call_id(key);
            self.protocol
                .write_cancel(&mut self.frame, id, call.request_id);
            self.write_frame(call.connection);
        }
    }

    /// The call's timer fired. Gives the key where the call has expired; none where it was sent and there is time for its
    /// answer.
    pub fn call_timer_fired(&mut self, key: usize) -> Option<usize> {
        let now = self.net.now();
        let call = self.calls.get_mut(key).filter(|call| !call.ended)?;
        call.timer = None;
        if call.sent && now < call.expires_at {
            let expires_at = call.expires_at;
            let token = TimerToken::Call(key).pack();
            self.calls[key].timer = Some(self.net.set_timer(expires_at, token));
            return None;
        }
        Some(key)
    }

    /// The outcome is known already; it is delivered once the scheduler's call has returned.
    pub(crate) fn defer_outcome(&mut self, key: usize, outcome: Outcome) {
        let generation = self.calls[key].generation;
        self.deferred_outcomes.push_back((key, generation, outcome));
    }

    /// Puts a call on its connection's list of waiting or of sent calls.
    pub(super) fn attach(&mut self, key: usize, connection: usize, sent: bool) {
        let list = self.connections[connection].calls_mut(sent);
        let call = &mut self.calls[key];
        call.connection = Some(connection);
        call.list_position = list.len();
        call.sent = sent;
        list.push(key);
    }

    /// Takes a call off its connection's list, without a search.
    pub(super) fn detach(&mut self, key: usize) {
        let call = self.calls[key];
        let connection = call.connection.and_then(|c| self.connections.get_mut(c));
        let Some(connection) = connection else {
            return;
        };
        connection.streams -= usize::from(call.is_attempt());
        let list = connection.calls_mut(call.sent);
        list.swap_remove(call.list_position);
        if let Some(moved) = list.get(call.list_position) {
            self.calls[*moved].list_position = call.list_position;
        }
        self.calls[key].connection = None;
    }
}
