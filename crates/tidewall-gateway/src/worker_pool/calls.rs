//! Calls: the messages to a worker that each have one answer. Holds their table, timers, ids on the wire
//! and assignment to connections.
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
    /// A load request: sets the number of instances of a function on the worker.
    LoadRequest {
        /// The function's index.
        function: usize,
    },
    /// A health check.
    HealthCheck,
    /// A vote for a failover pair.
    Vote {
        /// The voter's index; none if the worker is not a voter and is only informed of a leadership
        /// proposal.
        voter: Option<usize>,
        /// The ballot that is voted on.
        ballot: u64,
        /// Whether this is the accept phase.
        accepting: bool,
    },
}

/// A message to a worker that has one answer.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// What the call asks for.
    pub kind: CallKind,
    /// Index of the worker that is called.
    pub worker: usize,
    /// For an attempt: the request's id; otherwise 0.
    pub request_id: u64,
    /// The connection that the call waits on or was sent on; none before one is assigned and after it has
    /// closed.
    pub connection: Option<usize>,
    /// The call's index in its connection's list of waiting or sent calls.
    list_position: usize,
    /// Distinguishes successive calls with the same slab key on the wire.
    pub generation: u32,
    /// For a load request: the number of instances requested; otherwise 0.
    pub instances: u32,
    /// The call was written to its connection and may have been executed.
    pub sent: bool,
    /// The scheduler has the call's outcome; only the worker's own answer is still awaited.
    pub ended: bool,
    /// When the call was started.
    pub started_at: Time,
    /// The net's total stall time when the call was started.
    pub stall_at_start: Time,
    /// When the gateway stops waiting for the answer.
    pub(super) expires_at: Time,
    timer: Option<TimerId>,
}

impl Call {
    /// Whether this is an attempt of the request with this id.
    pub(super) fn is_attempt_of(&self, request_id: u64) -> bool {
        self.request_id == request_id && self.is_attempt()
    }

    /// The question that the call puts to the worker; none for a vote.
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

/// Number of abandoned requests remembered per connection. This is far more than a connection's streams,
/// and an answer that crosses a cancellation arrives within a round trip.
const MAX_ABANDONED_REQUESTS: usize = 128;

impl<N: Net> WorkerPool<N> {
    /// Adds a call, sets its timer and returns its key. The call is not assigned to a connection yet.
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
        // A call that is not sent within the connect timeout is not sent any more: its request is tried
        // elsewhere. If the call were sent later, it would take effect at a time that the scheduler did not
        // plan for.
        let timer_at = match kind {
            CallKind::Vote { .. } => expires_at,
            _ => expires_at.min(started_at + self.limits.connect_timeout),
        };
        let key = self.calls.insert(call);
        self.calls[key].timer = Some(self.net.set_timer(timer_at, TimerToken::Call(key).pack()));
        key
    }

    /// Finds the call that a worker's answer names. Returns `None` if no current call has that id.
    ///
    /// # Errors
    /// If the call was sent on another connection.
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

    /// The call's id on the wire: its key in the lower 32 bits, its generation in the upper 32.
    pub(super) fn wire_call_id(&self, key: usize) -> u64 {
        key as u64 | u64::from(self.calls[key].generation) << 32
    }

    /// Marks the call as ended because the scheduler now receives its outcome.
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

    /// Removes a call for which no answer is awaited any more.
    pub fn remove_call(&mut self, key: usize) {
        self.cancel_call_timer(key);
        self.detach(key);
        self.calls.remove(key);
    }

    /// Remembers that the worker has answered an attempt, on the connection that carries it.
    pub fn remember_answer(&mut self, key: usize) {
        if !self.protocol.answers_by_request_id() {
            return;
        }
        let (now, call) = (self.net.now(), self.calls[key]);
        if let Some(connection) = call.connection.and_then(|c| self.connections.get_mut(c)) {
            connection.answered_requests.remember(call.request_id, now);
        }
    }

    /// Removes an ended call that was never sent, or whose cancellation the worker does not confirm.
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

    /// Cancels an expired attempt at its worker, which might not learn from the attempt's own timeout that
    /// nobody waits for it. Sent only in protocols that do not confirm cancellations.
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

    /// Handles the call's timer. Returns the key if the call has expired; returns `None` and sets the timer
    /// again if the call was sent and its time for an answer has not passed.
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

    /// Queues an outcome that is known already; it is delivered once the scheduler's call has returned.
    pub(crate) fn defer_outcome(&mut self, key: usize, outcome: Outcome) {
        let generation = self.calls[key].generation;
        self.deferred_outcomes.push_back((key, generation, outcome));
    }

    /// Adds a call to its connection's list of waiting or sent calls.
    pub(super) fn attach(&mut self, key: usize, connection: usize, sent: bool) {
        let list = self.connections[connection].calls_mut(sent);
        let call = &mut self.calls[key];
        call.connection = Some(connection);
        call.list_position = list.len();
        call.sent = sent;
        list.push(key);
    }

    /// Removes a call from its connection's list in constant time.
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
