//! Connections to workers: decides to which connection a call is assigned, when another connection is
//! opened, and which connections are closed.
use super::answered_requests::AnsweredRequests;
use super::{Call, GatewayLimits, WorkerPool};
use crate::timers::TimerToken;
use std::collections::VecDeque;
use std::net::SocketAddr;
use tidewall::interface::{EndpointState, Outcome};
use tidewall_net::{Conn, Net, Time, TimerId};

/// A connection to a worker, open or being opened.
pub struct WorkerConnection {
    /// The worker's index.
    pub worker: usize,
    pub(super) conn: Conn,
    /// The worker has greeted, or its protocol has no greeting, so that calls may be sent.
    pub ready: bool,
    /// Total number of bytes written to the connection.
    pub written: usize,
    /// Value of `written` after the last attempt or load request.
    pub(super) last_work_offset: usize,
    /// Number of attempts on the connection, sent or waiting.
    pub(super) streams: usize,
    /// The connection leads to an earlier process of the worker, or to an address that the worker has left. It
    /// takes no more calls, and says nothing about the worker.
    pub superseded: bool,
    /// Keys of the calls that wait to be written to the socket.
    pub waiting: Vec<usize>,
    /// Keys of the calls that were sent on the connection.
    pub sent: Vec<usize>,
    /// Ids of requests whose attempts on this connection were abandoned; answers to them may still arrive.
    pub(super) abandoned_requests: VecDeque<u64>,
    /// Requests whose attempts on this connection were answered; a copy of the answer may still arrive.
    pub(super) answered_requests: AnsweredRequests,
    /// Since when an incomplete message has been waiting for its remaining bytes.
    pub partial_since: Option<Time>,
    /// When a call was last sent, or the connection became ready.
    pub(super) last_used: Time,
    last_received: Time,
    /// When the connection became ready.
    pub(super) ready_at: Time,
    /// Fires if the worker has not greeted within the connect timeout.
    greeting_timer: Option<TimerId>,
}

impl WorkerConnection {
    fn new(worker: usize, conn: Conn, now: Time) -> WorkerConnection {
        WorkerConnection {
            worker,
            conn,
            ready: false,
            written: 0,
            last_work_offset: 0,
            streams: 0,
            superseded: false,
            waiting: Vec::new(),
            sent: Vec::new(),
            abandoned_requests: VecDeque::new(),
            answered_requests: AnsweredRequests::default(),
            partial_since: None,
            last_used: now,
            last_received: now,
            ready_at: now,
            greeting_timer: None,
        }
    }

    /// Whether no call waits or awaits an answer on the connection.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.sent.is_empty()
    }

    /// The list of sent calls if `sent`, otherwise the list of waiting calls.
    pub(super) fn calls_mut(&mut self, sent: bool) -> &mut Vec<usize> {
        if sent {
            &mut self.sent
        } else {
            &mut self.waiting
        }
    }
}

impl GatewayLimits {
    /// Maximum number of connections to each of `workers` workers. When a worker is replaced, the old
    /// worker's connections may still be open beside the new one's, so each worker gets half of an equal
    /// share. The share is computed for at least four workers, because the first endpoint lists are short.
    pub(super) fn connections_per_worker_of(&self, workers: usize) -> usize {
        self.connections_per_worker
            .min(self.max_worker_connections / (2 * workers.max(4)))
            .max(1)
    }
}

impl<N: Net> WorkerPool<N> {
    /// Assigns a call to a connection of its worker: a ready one with a free stream, one that is being
    /// opened, or a new one. Without any of these the call's outcome is `AtCapacity`, or `Discarded` if no
    /// descriptor is free.
    pub(crate) fn assign_connection(&mut self, key: usize) {
        let call = self.calls[key];
        let worker = &self.workers[call.worker];
        let address = worker.address;
        let may_open = worker.connections.len() < self.connections_per_worker;
        let has_descriptor = self.connections.len() < self.limits.max_worker_connections;
        let (ready, opening) = self.usable_connections(&call);
        let is_crowded = ready.is_some_and(|connection| {
            self.connections[connection].streams + 1 >= self.limits.spread_threshold
        });
        let opens_additional =
            call.is_attempt() && may_open && has_descriptor && is_crowded && opening.is_none();
        if let Some(address) = address.filter(|_| opens_additional) {
            self.open_connection(call.worker, address);
        }
        let connection = match (ready.or(opening), address) {
            (Some(connection), _) => connection,
            (None, Some(address)) if may_open && (has_descriptor || self.close_longest_idle()) => {
                self.open_connection(call.worker, address)
            }
            // All descriptors are in use, which is no evidence about the worker.
            (None, Some(_)) if may_open => return self.defer_outcome(key, Outcome::Discarded),
            // Neither is an id that no connection may carry again yet.
            _ if self.is_kept_off_by_its_id(&call) => {
                return self.defer_outcome(key, Outcome::Discarded)
            }
            // All streams of all the worker's connections are in use.
            _ => return self.defer_outcome(key, Outcome::AtCapacity),
        };
        self.connections[connection].streams += usize::from(call.is_attempt());
        self.attach(key, connection, false);
        if self.connections[connection].ready {
            self.writable_connections.push(connection);
        }
    }

    /// Returns the best ready connection that can take this call, and the first one that is being opened.
    /// Ready connections are ordered by their number of streams, those with an incomplete message last
    /// because they may be broken.
    fn usable_connections(&self, call: &Call) -> (Option<usize>, Option<usize>) {
        let usable = self.workers[call.worker]
            .connections
            .iter()
            .copied()
            .filter(|connection| self.has_stream_for(*connection, call));
        let load = |connection: &usize| {
            let connection = &self.connections[*connection];
            (connection.partial_since.is_some(), connection.streams)
        };
        let ready = usable
            .clone()
            .filter(|connection| self.connections[*connection].ready)
            .min_by_key(load);
        let opening = usable
            .clone()
            .find(|connection| !self.connections[*connection].ready);
        (ready, opening)
    }

    /// Whether the connection can take this call. Only attempts are limited.
    fn has_stream_for(&self, connection: usize, call: &Call) -> bool {
        if !call.is_attempt() {
            return true;
        }
        self.has_free_stream(connection) && !self.has_carried(connection, call.request_id)
    }

    fn has_free_stream(&self, connection: usize) -> bool {
        self.connections[connection].streams < self.limits.streams_per_connection
    }

    /// Whether an answer to this request may arrive on the connection, now or later. If one connection carried a
    /// request id twice, the two answers could not be told apart.
    fn has_carried(&self, connection: usize, request_id: u64) -> bool {
        if !self.protocol.answers_by_request_id() {
            return false;
        }
        let connection = &self.connections[connection];
        let mut calls = connection.sent.iter().chain(&connection.waiting);
        connection.abandoned_requests.contains(&request_id)
            || calls.any(|key| self.calls[*key].is_attempt_of(request_id))
            || connection
                .answered_requests
                .may_be_answered_again(request_id, self.net.now())
    }

    /// Whether a connection of the worker has a free stream, which this call may not use because of its request
    /// id.
    fn is_kept_off_by_its_id(&self, call: &Call) -> bool {
        let connections = &self.workers[call.worker].connections;
        let mut free = connections
            .iter()
            .filter(|connection| self.has_free_stream(**connection));
        call.is_attempt() && free.any(|connection| self.has_carried(*connection, call.request_id))
    }

    /// Resets the connection that has been idle for longest; returns false if none is idle.
    fn close_longest_idle(&mut self) -> bool {
        let longest_idle = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_idle())
            .min_by_key(|(_, connection)| connection.last_used)
            .map(|(key, connection)| (key, connection.conn, connection.worker));
        let Some((key, conn, worker)) = longest_idle else {
            return false;
        };
        // Reset immediately and not at the end of the wake-up, because its descriptor is needed now. No
        // further event of this connection is delivered.
        self.net.reset(conn);
        let connection = self.connections.remove(key);
        self.cancel_greeting_timer(&connection);
        self.workers[worker]
            .connections
            .retain(|other| *other != key);
        true
    }

    /// Takes the worker's connections out of use, because another process is the worker by now. Calls that were
    /// sent on them may still be answered; idle ones are closed at the next check.
    pub(super) fn supersede_connections(&mut self, worker: usize) {
        for key in std::mem::take(&mut self.workers[worker].connections) {
            self.connections[key].superseded = true;
        }
    }

    /// Recomputes the connection limit per worker after the endpoint list has changed.
    pub fn redistribute_connections(&mut self) {
        let workers = self.workers.iter().filter(|worker| worker.is_known());
        self.connections_per_worker = self.limits.connections_per_worker_of(workers.count());
    }

    fn open_connection(&mut self, worker: usize, address: SocketAddr) -> usize {
        let conn = self.net.connect(address, self.limits.connect_timeout);
        self.counters.connections += 1;
        let now = self.net.now();
        let key = self
            .connections
            .insert(WorkerConnection::new(worker, conn, now));
        if self.protocol.requires_greeting() {
            let until = now + self.limits.connect_timeout;
            let token = TimerToken::Greeting(key).pack();
            self.connections[key].greeting_timer = Some(self.net.set_timer(until, token));
        }
        self.workers[worker].connections.push(key);
        self.opened_connections.push((conn, key));
        key
    }

    /// Marks a connection as ready; its waiting calls are sent at the end of the wake-up.
    pub fn connection_ready(&mut self, connection: usize) {
        let now = self.net.now();
        let entry = &mut self.connections[connection];
        entry.ready = true;
        entry.ready_at = now;
        entry.last_used = now;
        entry.last_received = now;
        if let Some(timer) = entry.greeting_timer.take() {
            self.net.cancel_timer(timer);
        }
        self.writable_connections.push(connection);
    }

    /// The connection's socket accepts more bytes.
    pub fn connection_writable(&mut self, connection: usize) {
        self.writable_connections.push(connection);
    }

    /// Cancels the greeting timer of a connection that is being removed, if it is set.
    pub fn cancel_greeting_timer(&mut self, connection: &WorkerConnection) {
        if let Some(timer) = connection.greeting_timer {
            self.net.cancel_timer(timer);
        }
    }

    /// Returns the connection if its worker has not greeted yet.
    pub fn unready_connection(&self, connection: usize) -> Option<Conn> {
        self.connections
            .get(connection)
            .filter(|entry| !entry.ready)
            .map(|entry| entry.conn)
    }

    /// Records that bytes arrived from the worker.
    pub fn bytes_received(&mut self, connection: usize) {
        let now = self.net.now();
        if let Some(entry) = self.connections.get_mut(connection) {
            entry.last_received = now;
        }
    }

    /// Records whether an incomplete message remains after the connection's complete messages have been
    /// read.
    pub fn set_partial_message(&mut self, connection: usize, partial: bool) {
        let now = self.net.now();
        if let Some(entry) = self.connections.get_mut(connection) {
            entry.partial_since = partial.then_some(now);
        }
    }

    /// Connections on which the rest of an incomplete message has been missing for the protocol's timeout.
    pub fn stalled_connections(&self, now: Time) -> Vec<(usize, Conn)> {
        let timeout = self.protocol.partial_message_timeout();
        self.connections_where(|connection| {
            connection
                .partial_since
                .zip(timeout)
                .is_some_and(|(since, timeout)| now >= since + timeout)
        })
    }

    /// Connections to draining or removed workers with unsent work in their socket buffer that would be
    /// sent after the drain grace period. Connections whose grace period ends before the next check,
    /// `next_check` from now, are included.
    pub fn stalled_after_grace(&self, now: Time, next_check: Time) -> Vec<(usize, Conn)> {
        self.connections_where(|connection| {
            let worker = &self.workers[connection.worker];
            let grace_ends = worker.endpoint.state != EndpointState::Active
                && worker.inactive_since + self.drain_grace <= now + next_check;
            let unsent = self.net.unsent(connection.conn).min(connection.written);
            grace_ends && connection.written - unsent < connection.last_work_offset
        })
    }

    /// Connections to close: idle superseded ones, those that have been idle for longer than the keep-alive time, and those that
    /// have been silent for the silence timeout and either are idle and lead to a removed worker, or carry
    /// only abandoned calls.
    pub fn idle_connections(&mut self, now: Time) -> Vec<(usize, Conn)> {
        let (keep_alive, silence) = (self.limits.keep_alive, self.limits.silence_timeout);
        self.connections_where(|connection| {
            let removed = self.workers[connection.worker].endpoint.state == EndpointState::Removed;
            let is_silent =
                now > connection.last_used + silence && now > connection.last_received + silence;
            if connection.is_idle() {
                return connection.superseded
                    || now > connection.last_used + keep_alive
                    || removed && is_silent;
            }
            let abandoned = connection.waiting.is_empty()
                && connection.sent.iter().all(|key| self.calls[*key].ended);
            abandoned && is_silent
        })
    }

    /// Whether a call on this connection is waiting to be sent, or was sent and still owes the scheduler an
    /// outcome.
    pub fn awaits_answer_on(&self, connection: usize) -> bool {
        let connection = &self.connections[connection];
        let awaited = connection.sent.iter().any(|key| !self.calls[*key].ended);
        awaited || !connection.waiting.is_empty()
    }

    fn connections_where(
        &self,
        condition: impl Fn(&WorkerConnection) -> bool,
    ) -> Vec<(usize, Conn)> {
        self.connections
            .iter()
            .filter(|(_, connection)| condition(connection))
            .map(|(key, connection)| (key, connection.conn))
            .collect()
    }
}
