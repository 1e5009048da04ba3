//! Carries out what the decisions call for: the `SchedulerActions` on sockets. Launches, orders and probes ride as streams
//! on a few connections to each worker. What is known at once (no room, no time left, called off) is kept in
//! `known` until the decisions' call is over, since they may not be called from within it.
use crate::endpoints::EndpointRecord;
use crate::error::ProtocolError;
use crate::failover::replicator::Replicator;
use crate::ingress::{Disposition, IncomingRequest, ReplyHandle};
use crate::native_protocol::NativeWorkerProtocol;
use crate::protocol::{AttemptMessage, CallName, LoadRequestMessage, WorkerProtocol};
use crate::{OF_CHOICE, OF_GREETING, OF_OUT};
use slab::Slab;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tidewall::choice::MAX_ATTEMPTS;
use tidewall::interface::{Endpoint, EndpointState, Outcome, RequestInfo, SchedulerActions};
use tidewall::interner::{fnv1a, Interner};
use tidewall::settings::{Settings, SettingsReader};
use tidewall_net::{Conn, DatagramSocket, Net, Time, TimerId};
use tidewall_wire::{kind, Field, Frame, WireError};
use tracing::info;

/// Limits of the sockets' side, from the settings.
#[derive(Clone, Debug)]
pub struct GatewayLimits {
    pub max_requests: usize,
    pub connect_timeout: Time,
    pub streams_per_connection: usize,
    pub connections_per_worker: usize,
    /// Connections to all workers together.
    pub max_worker_connections: usize,
    /// With so many launches on each connection another one is made, while there may be more: what breaks one then ends fewer.
    pub spread_threshold: usize,
    pub keep_alive: Time,
    pub health_check_timeout: Time,
    pub load_request_timeout: Time,
    pub silence_timeout: Time,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallKind {
    Attempt {
        request: usize,
        attempt: usize,
    },
    LoadRequest {
        function: usize,
    },
    HealthCheck,
    /// A pair's question to a worker; `voter` is none for one that only hears of a claim.
    Vote {
        voter: Option<usize>,
        ballot: u64,
        accepting: bool,
    },
}

/// Something asked of a worker that has one answer.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub kind: CallKind,
    pub worker: usize,
    /// Of a launch: its event's id.
    pub request_id: u64,
    pub connection: usize,
    /// Its place in its link's list of what waits or of what was sent.
    list_position: usize,
    /// Tells the users of a slab's place apart on the wire.
    pub generation: u32,
    pub instances: u32,
    /// Written to its connection: from here on it may have run.
    pub sent: bool,
    /// The decisions have their outcome; only the worker's own end is still awaited.
    pub ended: bool,
    pub started_at: Time,
    pub stall_at_start: Time,
    /// When it is given up here.
    expires_at: Time,
    timer: Option<TimerId>,
}

impl GatewayLimits {
    /// Connections to one of so many workers. Workers are replaced: the old one's may still stand beside the new one's.
    fn a_worker(&self, workers: usize) -> usize {
        self.connections_per_worker
            .min(self.max_worker_connections / (2 * workers.max(4)))
            .max(1)
    }
}

impl Call {
    fn is_launch_of(&self, event: u64) -> bool {
        self.request_id == event && matches!(self.kind, CallKind::Attempt { .. })
    }
}

#[derive(Default)]
pub struct PendingRequest {
    pub open: bool,
    pub reply_handle: ReplyHandle,
    pub id: u64,
    pub streaming_attempt: Option<usize>,
    received_at: Time,
    /// When its client gives up.
    deadline: Time,
    info: RequestInfo,
    idempotency_key: Vec<u8>,
    payload: Vec<u8>,
    calls: [usize; MAX_ATTEMPTS],
    attempts: usize,
    /// Launches that may have run.
    pub unproven: u32,
    /// Others that asked for the same event, each with the time when it gives up.
    pub waiting_clients: Vec<(ReplyHandle, Time)>,
    /// Where its launches went, and what their ends prove.
    attempt_workers: [usize; MAX_ATTEMPTS],
    pub not_executed: [Option<bool>; MAX_ATTEMPTS],
}

impl PendingRequest {
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    pub fn info(&self) -> &RequestInfo {
        &self.info
    }

    pub fn idempotency_key(&self) -> &[u8] {
        &self.idempotency_key
    }

    pub fn payload(&self) -> &[u8] {
        &self.payload
    }
}

/// An answer of the decisions' own.
pub struct LocalResponse {
    pub request: usize,
    pub reply_handle: ReplyHandle,
    pub disposition: Disposition,
    pub retry_after: Time,
    pub elapsed: Time,
}

#[derive(Default)]
pub struct WorkerEntry {
    address: Option<SocketAddr>,
    endpoint: Endpoint,
    zone: String,
    machine: String,
    incarnation: u64,
    /// It said itself that it drains, and the roster has not noticed yet.
    reported_draining: bool,
    /// When it was told that it drains or is gone.
    removed_at: Time,
    pub connections: Vec<usize>,
}

impl WorkerEntry {
    pub fn is_known(&self) -> bool {
        self.address.is_some()
    }

    pub fn state(&self) -> EndpointState {
        self.endpoint.state
    }
}

pub struct WorkerConnection {
    pub worker: usize,
    conn: Conn,
    pub ready: bool,
    /// Bytes written to it in all, and up to the last that bring work: a launch or an order.
    pub written: usize,
    last_work_offset: usize,
    /// Launches on it, sent or waiting.
    streams: usize,
    pub waiting: Vec<usize>,
    pub sent: Vec<usize>,
    /// Events whose launches on it were given up: an answer may still be on its way.
    abandoned_requests: VecDeque<u64>,
    /// Since when a message has lain there in part.
    pub partial_since: Option<Time>,
    /// When something last came or went.
    last_used: Time,
    last_received: Time,
    /// Until then the worker must have told its name.
    greeting_timer: Option<TimerId>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    pub admitted: u64,
    pub completed: u64,
    pub rejected: u64,
    pub failed: u64,
    pub abandoned: u64,
    pub refused: u64,
    /// Answers that were not sent, since their client had given up: after a standstill of this process.
    pub expired: u64,
    pub malformed: u64,
    pub attempts: u64,
    pub load_requests: u64,
    pub health_checks: u64,
    pub connections: u64,
}

pub struct WorkerPool<N: Net> {
    pub net: N,
    limits: GatewayLimits,
    /// Connections that each worker may have, now that there are so many workers.
    connections_per_worker: usize,
    pub class_names: Vec<String>,
    pub tenant_names: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    pub worker_names: Interner,
    pub workers: Vec<WorkerEntry>,
    pub function_names: Interner,
    /// By function: what an order to load tells of it.
    function_resources: Vec<(u32, f64, Time)>,
    pub requests: Vec<PendingRequest>,
    pub in_flight: usize,
    pub calls: Slab<Call>,
    call_generation: u32,
    pub connections: Slab<WorkerConnection>,
    pub opened_connections: Vec<(Conn, usize)>,
    /// Connections on which something waits to leave at the end of the wake-up, and what leaves on one, with each end.
    writable_connections: Vec<usize>,
    batch: Vec<u8>,
    batch_ends: Vec<(usize, usize)>,
    /// Workers that left or started anew: what waits for them was decided by what they were before.
    pub withdrawn_workers: Vec<usize>,
    /// Who waits for the event that is taken next.
    pub next_waiting_clients: Vec<(ReplyHandle, Time)>,
    drain_grace: Time,
    /// When the last client of all that were ever taken gives up.
    pub last_deadline: Time,
    pub deferred_outcomes: VecDeque<(usize, u32, Outcome)>,
    pub local_responses: VecDeque<LocalResponse>,
    /// Tickets of events whose clients have given up.
    pub expired_clients: VecDeque<ReplyHandle>,
    /// By door: its clients say when they stop waiting.
    pub ingress_accepts_late: Vec<bool>,
    pub discovery_connection: Option<Conn>,
    pub watches_endpoints: bool,
    pub datagram_socket: Option<DatagramSocket>,
    pub peers: Vec<Option<SocketAddr>>,
    pub index: usize,
    pub counters: Counters,
    /// One of a pair: what goes to the other member, and what waits for it.
    pub replicator: Option<Box<Replicator>>,
    pub(crate) frame: Vec<u8>,
    pub protocol: Rc<dyn WorkerProtocol>,
    pub max_retry_after: Time,
}

/// A batch that grew for a burst gives its memory back: a few usual messages.
const BATCH: usize = 16 << 10;

/// So many given-up events of a connection are remembered: far more than a connection's streams, and an answer that crosses
/// comes within a round trip.
const GIVEN_UP: usize = 128;

impl<N: Net> WorkerPool<N> {
    pub fn new(net: N, settings: &Settings, setup: GatewayLimits) -> WorkerPool<N> {
        let named = |list: &str| {
            (0..)
                .map_while(|i| settings.get(&format!("{list}.{i}.name")).cloned())
                .collect()
        };
        let plain = |key: &str| settings.text(key).split(',').map(str::to_string).collect();
        WorkerPool {
            net,
            connections_per_worker: setup.a_worker(0),
            limits: setup,
            class_names: named("classes"),
            tenant_names: named("tenants"),
            zones: plain("zones"),
            kinds: plain("kinds"),
            worker_names: Interner::default(),
            workers: Vec::new(),
            function_names: Interner::default(),
            function_resources: Vec::new(),
            requests: Vec::new(),
            in_flight: 0,
            calls: Slab::new(),
            call_generation: 0,
            connections: Slab::new(),
            opened_connections: Vec::new(),
            writable_connections: Vec::new(),
            batch: Vec::new(),
            batch_ends: Vec::new(),
            withdrawn_workers: Vec::new(),
            next_waiting_clients: Vec::new(),
            drain_grace: settings.duration("rules.drain-grace-ms"),
            last_deadline: 0,
            deferred_outcomes: VecDeque::new(),
            local_responses: VecDeque::new(),
            expired_clients: VecDeque::new(),
            ingress_accepts_late: Vec::new(),
            discovery_connection: None,
            // Where changes come unasked the roster is still told that we are there.
            watches_endpoints: settings.is("discovery", "pushed"),
            datagram_socket: None,
            peers: Vec::new(),
            index: 0,
            counters: Counters::default(),
            replicator: None,
            frame: Vec::new(),
            protocol: Rc::new(NativeWorkerProtocol),
            max_retry_after: settings.duration("allowed.max-retry-after-ms"),
        }
    }

    /// The event's place is in use from now on; its buffers are those of the place's last user.
    pub fn register_request(
        &mut self,
        place: usize,
        event: &IncomingRequest,
        arrival: &RequestInfo,
    ) {
        if self.requests.len() <= place {
            self.requests
                .resize_with(place + 1, PendingRequest::default);
        }
        let img = arrival.function;
        if self.function_resources.len() <= img {
            self.function_resources.resize(img + 1, (1, 0.0, 0));
        }
        self.function_resources[img] = (arrival.lanes, arrival.memory, arrival.load_hint);
        let held = &mut self.requests[place];
        (
            held.open,
            held.reply_handle,
            held.id,
            held.streaming_attempt,
        ) = (true, event.reply_handle, event.id, None);
        let now = self.net.now();
        (held.received_at, held.deadline, held.info, held.attempts) =
            (now, now + event.remaining, *arrival, 0);
        self.last_deadline = self.last_deadline.max(held.deadline);
        held.unproven = 0;
        held.waiting_clients.clear();
        held.waiting_clients.append(&mut self.next_waiting_clients);
        held.idempotency_key.clear();
        held.idempotency_key
            .extend_from_slice(event.idempotency_key);
        held.payload.clear();
        held.payload.extend_from_slice(event.payload);
        self.in_flight += 1;
        self.counters.admitted += 1;
        self.replicate_admission(place);
    }

    /// The one place where an event's answer is used up: whoever gets the ticket gives the answer, and nobody
    /// gets it twice. With a ticket, only where the place still belongs to it.
    pub fn take_reply_handle(
        &mut self,
        place: usize,
        ticket: Option<ReplyHandle>,
    ) -> Option<(ReplyHandle, Time)> {
        let now = self.net.now();
        let held = self.requests.get_mut(place)?;
        if !held.open || ticket.is_some_and(|t| t != held.reply_handle) {
            return None;
        }
        held.open = false;
        self.in_flight -= 1;
        Some((held.reply_handle, now - held.received_at))
    }

    /// Nothing may be sent for this event any more: its client's time has passed, which is all that says when it gives up.
    pub fn is_past_deadline(&self, evt: usize, ticket: ReplyHandle) -> bool {
        let waits_on = self
            .ingress_accepts_late
            .get(ticket.ingress)
            .is_some_and(|w| *w);
        self.net.now() > self.requests[evt].deadline && !waits_on
    }

    fn respond_locally(&mut self, evt: usize, word: Disposition, come_back: Time) {
        if let Some((ticket, took)) = self.take_reply_handle(evt, None) {
            if self.replicator.is_none() && self.is_past_deadline(evt, ticket) {
                // Nothing is sent to a client that has given up.
                self.counters.expired += 1;
                self.expired_clients.push_back(ticket);
                return;
            }
            match word {
                Disposition::Rejected => self.counters.rejected += 1,
                _ => self.counters.failed += 1,
            }
            tracing::debug!(
                event = self.requests[evt].id,
                word = word.wire_text(),
                took,
                "answered"
            );
            let given = LocalResponse {
                request: evt,
                reply_handle: ticket,
                disposition: word,
                retry_after: come_back,
                elapsed: took,
            };
            if self.replicator.is_some() {
                // At once: its place may serve another event before this call of the decisions is over.
                let due = self.replicate_response(&given, &[]);
                if let (Some(copy), Some(due)) = (&mut self.replicator, due) {
                    copy.ready_responses.push_back(due);
                }
                return;
            }
            self.local_responses.push_back(given);
        }
    }

    /// Where the worker stands in the decisions' terms. A start that is known already keeps its time, or each
    /// telling would look like another start.
    pub fn register_endpoint(&mut self, entry: &EndpointRecord) -> (usize, Endpoint) {
        let now = self.net.now();
        let place = |list: &[String], name: &str| {
            list.iter()
                .position(|z| z == name)
                .map_or(u32::MAX, |z| z as u32)
        };
        let (zone, kind) = (
            place(&self.zones, &entry.zone),
            place(&self.kinds, &entry.machine),
        );
        let wk = self.worker_names.intern(&entry.name);
        if self.workers.len() <= wk {
            self.workers.resize_with(wk + 1, WorkerEntry::default);
        }
        let w = &mut self.workers[wk];
        let restarted = entry.incarnation > w.incarnation || w.address.is_none();
        let since = match (restarted, entry.age) {
            (false, _) => w.endpoint.started_at,
            (true, 0) => 0,
            // 0 would mean long ago. A start before our own clock began is as old as that.
            (true, age) => now.saturating_sub(age).max(1),
        };
        // A list that was made before the roster noticed does not bring back one that said that it drains.
        w.reported_draining &=
            entry.state == EndpointState::Active && entry.incarnation <= w.incarnation;
        let standing = if w.reported_draining {
            EndpointState::Draining
        } else {
            entry.state
        };
        let leaves = standing != EndpointState::Active && w.endpoint.state == EndpointState::Active;
        if leaves {
            w.removed_at = now;
        }
        if leaves || restarted {
            self.withdrawn_workers.push(wk);
        }
        w.incarnation = w.incarnation.max(entry.incarnation);
        w.address = Some(entry.address);
        w.endpoint = Endpoint {
            name_hash: fnv1a(&entry.name),
            zone,
            kind,
            cell: entry.cell,
            state: standing,
            rating: entry.rating,
            started_at: since,
        };
        w.zone.clone_from(&entry.zone);
        w.machine.clone_from(&entry.machine);
        (wk, w.endpoint)
    }

    /// A whole list: whoever is not in it is gone.
    pub fn retain_listed(&mut self, entries: &[(usize, Endpoint)]) {
        let now = self.net.now();
        for (wk, w) in self.workers.iter_mut().enumerate() {
            if !entries.iter().any(|e| e.0 == wk) && w.endpoint.state != EndpointState::Removed {
                if w.endpoint.state == EndpointState::Active {
                    w.removed_at = now;
                    self.withdrawn_workers.push(wk);
                }
                (w.endpoint.state, w.reported_draining) = (EndpointState::Removed, false);
            }
        }
    }

    /// Workers that are gone and of which nothing is under way here.
    pub fn removed_idle_workers(&self) -> Vec<usize> {
        let idle = |(wk, w): &(usize, &WorkerEntry)| {
            let gone = w.address.is_some()
                && w.endpoint.state == EndpointState::Removed
                && w.connections.is_empty();
            gone && !self.calls.iter().any(|o| o.1.worker == *wk)
        };
        self.workers
            .iter()
            .enumerate()
            .filter(idle)
            .map(|w| w.0)
            .collect()
    }

    /// Its index may name another from now on.
    pub fn forget_worker(&mut self, wk: usize) {
        self.worker_names.remove(wk);
        self.workers[wk] = WorkerEntry::default();
    }

    /// Whether anything is known of where it answers.
    pub fn has_address(&self, wk: usize) -> bool {
        self.workers.get(wk).is_some_and(|w| w.address.is_some())
    }

    /// An event's launches as they stand: number, worker, and whether its end proves that it has not run.
    pub fn attempts_of(&self, place: usize) -> Vec<(usize, usize, Option<bool>)> {
        let held = &self.requests[place];
        (0..held.attempts)
            .map(|i| (i, held.attempt_workers[i], held.not_executed[i]))
            .collect()
    }

    pub fn incarnation_of(&self, wk: usize) -> Option<u64> {
        Some(self.workers[wk].incarnation)
    }

    pub fn worker_restarted(&mut self, wk: usize, life: u64, age: Time) -> Option<Endpoint> {
        let now = self.net.now();
        let w = &mut self.workers[wk];
        (w.incarnation, w.reported_draining) = (life, false);
        self.withdrawn_workers.push(wk);
        w.endpoint.started_at = now.saturating_sub(age).max(1);
        // One that the roster calls gone stays so until the roster says otherwise.
        (w.endpoint.state == EndpointState::Active).then_some(w.endpoint)
    }

    pub fn worker_draining(&mut self, wk: usize) -> Option<Endpoint> {
        let w = &mut self.workers[wk];
        if w.endpoint.state != EndpointState::Active {
            return None;
        }
        (w.endpoint.state, w.reported_draining, w.removed_at) =
            (EndpointState::Draining, true, self.net.now());
        self.withdrawn_workers.push(wk);
        Some(w.endpoint)
    }

    /// Launches and orders for this worker that have not left: all that is known of them is that nothing has run.
    pub fn unsent_calls(&self, wk: usize) -> Vec<usize> {
        let work = |o: &Call| match o.kind {
            CallKind::Attempt { .. } => true,
            CallKind::LoadRequest { .. } => o.instances > 0,
            CallKind::HealthCheck | CallKind::Vote { .. } => false,
        };
        let waits = |o: &Call| o.worker == wk && !o.sent && !o.ended && work(o);
        self.calls
            .iter()
            .filter(|o| waits(o.1))
            .map(|o| o.0)
            .collect()
    }

    /// Connections on which work for a worker that left still waits for its socket, and would leave after the grace; looked
    /// for again after `look`.
    pub fn stalled_after_grace(&self, now: Time, look: Time) -> Vec<(usize, Conn)> {
        let late = |l: &WorkerConnection| {
            let w = &self.workers[l.worker];
            let ends = w.endpoint.state != EndpointState::Active
                && w.removed_at + self.drain_grace <= now + look;
            ends && l.written - self.net.unsent(l.conn).min(l.written) < l.last_work_offset
        };
        self.connections
            .iter()
            .filter(|l| late(l.1))
            .map(|l| (l.0, l.1.conn))
            .collect()
    }

    /// Writes to a worker; false where its buffer is full or its connection gone.
    fn write_frame(&mut self, link: usize) -> bool {
        let Some(l) = self.connections.get_mut(link) else {
            return false;
        };
        let good = self.net.write(l.conn, &self.frame);
        l.written += if good { self.frame.len() } else { 0 };
        good
    }

    pub fn endpoint_records(&self) -> Vec<EndpointRecord> {
        let now = self.net.now();
        let entry = |(wk, w): (usize, &WorkerEntry)| {
            let since = w.endpoint.started_at;
            Some(EndpointRecord {
                name: self.worker_names.resolve(wk).to_string(),
                address: w.address?,
                zone: w.zone.clone(),
                machine: w.machine.clone(),
                cell: w.endpoint.cell,
                state: w.endpoint.state,
                rating: w.endpoint.rating,
                incarnation: w.incarnation,
                age: if since == 0 { 0 } else { (now - since).max(1) },
            })
        };
        let gone = |w: &WorkerEntry| w.endpoint.state == EndpointState::Removed;
        self.workers
            .iter()
            .enumerate()
            .filter(|w| !gone(w.1))
            .filter_map(entry)
            .collect()
    }

    /// The out that a worker's answer names, if it belongs to this connection and still is the same one.
    pub fn call_key(&self, name: CallName, link: usize) -> Result<Option<usize>, ProtocolError> {
        let id = match name {
            CallName::CallId(id) => id,
            CallName::RequestId(event) => {
                let sent = &self.connections[link].sent;
                return Ok(sent
                    .iter()
                    .copied()
                    .find(|k| self.calls[*k].is_launch_of(event)));
            }
        };
        let (key, count) = ((id & 0xffff_ffff) as usize, (id >> 32) as u32);
        match self.calls.get(key) {
            Some(out) if out.generation == count && out.connection != link => Err(
                WireError::invalid(Field::Id, format!("{id} was sent on another connection"))
                    .into(),
            ),
            Some(out) if out.generation == count => Ok(Some(key)),
            _ => Ok(None),
        }
    }

    fn wire_call_id(&self, key: usize) -> u64 {
        key as u64 | u64::from(self.calls[key].generation) << 32
    }

    /// The decisions get this out's outcome now.
    pub fn finish_call(&mut self, key: usize) {
        self.cancel_call_timer(key);
        self.calls[key].ended = true;
    }

    pub fn cancel_call_timer(&mut self, key: usize) {
        if let Some(d) = self.calls[key].timer.take() {
            self.net.cancel_timer(d);
        }
    }

    /// Nothing more is awaited for it.
    pub fn remove_call(&mut self, key: usize) {
        self.cancel_call_timer(key);
        self.detach(key);
        self.calls.remove(key);
    }

    /// Puts an out on its link's list.
    fn attach(&mut self, key: usize, link: usize, sent: bool) {
        let l = &mut self.connections[link];
        let list = if sent { &mut l.sent } else { &mut l.waiting };
        let out = &mut self.calls[key];
        (out.connection, out.list_position, out.sent) = (link, list.len(), sent);
        list.push(key);
    }

    /// Takes an out off its link's list, without a search.
    fn detach(&mut self, key: usize) {
        let Call {
            connection: link,
            list_position: slot,
            sent,
            kind: task,
            ..
        } = self.calls[key];
        let Some(l) = self.connections.get_mut(link) else {
            return;
        };
        let list = if sent { &mut l.sent } else { &mut l.waiting };
        list.swap_remove(slot);
        if let Some(moved) = list.get(slot) {
            self.calls[*moved].list_position = slot;
        }
        l.streams -= usize::from(matches!(task, CallKind::Attempt { .. }));
        self.calls[key].connection = usize::MAX;
    }

    /// Frees an out that ended before it was sent, or of which the worker says nothing more.
    pub fn remove_ended_call(&mut self, key: usize) {
        let Some(out) = self.calls.get(key).filter(|o| o.ended) else {
            return;
        };
        if out.sent && self.protocol.confirms_cancelled() {
            return;
        }
        let (sent, event, link) = (out.sent, out.request_id, out.connection);
        if let Some(l) = self.connections.get_mut(link).filter(|_| sent) {
            if l.abandoned_requests.len() == GIVEN_UP {
                l.abandoned_requests.pop_front();
            }
            l.abandoned_requests.push_back(event);
        }
        self.remove_call(key);
    }

    /// Tells the worker that nobody waits for this launch, where it would not hear it by the launch's own time.
    pub fn cancel_expired_call(&mut self, key: usize) {
        let out = self.calls[key];
        if out.sent
            && !self.protocol.confirms_cancelled()
            && matches!(out.kind, CallKind::Attempt { .. })
        {
            self.frame.clear();
            let id = self.wire_call_id(key);
            self.protocol
                .write_cancel(&mut self.frame, id, out.request_id);
            self.write_frame(out.connection);
        }
    }

    /// An out whose deadline is due; none where it has left and there is time for its end.
    pub fn call_timer_fired(&mut self, key: usize) -> Option<usize> {
        let now = self.net.now();
        let out = self.calls.get_mut(key).filter(|o| !o.ended)?;
        out.timer = None;
        if out.sent && now < out.expires_at {
            let until = out.expires_at;
            self.calls[key].timer = Some(self.net.set_timer(until, OF_OUT | key as u64));
            return None;
        }
        Some(key)
    }

    /// The worker has told its name: what waited leaves at the end of the wake-up.
    pub fn connection_ready(&mut self, link: usize) {
        let now = self.net.now();
        let l = &mut self.connections[link];
        (l.ready, l.last_used, l.last_received) = (true, now, now);
        if let Some(d) = l.greeting_timer.take() {
            self.net.cancel_timer(d);
        }
        self.writable_connections.push(link);
    }

    /// Its socket takes more.
    pub fn connection_writable(&mut self, link: usize) {
        self.writable_connections.push(link);
    }

    pub fn cancel_greeting_timer(&mut self, link: &WorkerConnection) {
        if let Some(d) = link.greeting_timer {
            self.net.cancel_timer(d);
        }
    }

    pub fn unready_connection(&self, link: usize) -> Option<Conn> {
        self.connections
            .get(link)
            .filter(|l| !l.ready)
            .map(|l| l.conn)
    }

    /// What is left of a connection's bytes once its whole messages are read.
    pub fn set_partial_message(&mut self, link: usize, any: bool) {
        let now = self.net.now();
        if let Some(l) = self.connections.get_mut(link) {
            l.partial_since = any.then_some(now);
        }
    }

    /// Connections on which a message stopped half-way.
    pub fn stalled_connections(&self, now: Time) -> Vec<(usize, Conn)> {
        let rest = self.protocol.partial_message_timeout();
        let stuck = |l: &WorkerConnection| {
            l.partial_since
                .zip(rest)
                .is_some_and(|(since, rest)| now >= since + rest)
        };
        self.connections
            .iter()
            .filter(|l| stuck(l.1))
            .map(|l| (l.0, l.1.conn))
            .collect()
    }

    /// Links to close: idle ones, those to workers that are gone, and those on which only given-up launches
    /// are left and nothing was heard for long.
    pub fn idle_connections(&mut self, now: Time) -> Vec<(usize, Conn)> {
        let (keep, silent) = (self.limits.keep_alive, self.limits.silence_timeout);
        let mut idle = Vec::new();
        for (key, l) in &self.connections {
            let nothing = l.waiting.is_empty() && l.sent.is_empty();
            let gone = self.workers[l.worker].endpoint.state == EndpointState::Removed;
            let given_up = l.waiting.is_empty() && l.sent.iter().all(|k| self.calls[*k].ended);
            let quiet = now > l.last_used + silent && now > l.last_received + silent;
            if nothing && (now > l.last_used + keep || gone && quiet)
                || !nothing && given_up && quiet
            {
                idle.push((key, l.conn));
            }
        }
        idle
    }

    /// Puts an out on a connection of its worker: one with a free stream, one that is being made, or a new one.
    pub(crate) fn assign_connection(&mut self, key: usize) {
        let out = self.calls[key];
        let launch = matches!(out.kind, CallKind::Attempt { .. });
        // An id twice on one connection: the ends of the two could not be told apart.
        let twice = |l: &WorkerConnection| {
            let all = l.sent.iter().chain(&l.waiting);
            self.protocol.answers_by_request_id()
                && (l.abandoned_requests.contains(&out.request_id)
                    || all
                        .into_iter()
                        .any(|k| self.calls[*k].is_launch_of(out.request_id)))
        };
        let room = |l: &WorkerConnection| {
            !launch || l.streams < self.limits.streams_per_connection && !twice(l)
        };
        // One on which an answer stopped half-way may be of no further use.
        let links = self.workers[out.worker]
            .connections
            .iter()
            .copied()
            .filter(|l| room(&self.connections[*l]));
        let least = |l: &usize| {
            (
                self.connections[*l].partial_since.is_some(),
                self.connections[*l].streams,
            )
        };
        let ready = links
            .clone()
            .filter(|l| self.connections[*l].ready)
            .min_by_key(least);
        let coming = links.clone().find(|l| !self.connections[*l].ready);
        let more = self.workers[out.worker].connections.len() < self.connections_per_worker;
        let full =
            ready.is_some_and(|l| self.connections[l].streams + 1 >= self.limits.spread_threshold);
        let free = self.connections.len() < self.limits.max_worker_connections;
        let spare = (launch && more && free && full && coming.is_none())
            .then_some(self.workers[out.worker].address)
            .flatten();
        let (link, at) = (ready.or(coming), self.workers[out.worker].address);
        if let Some(at) = spare {
            self.open_connection(out.worker, at);
        }
        let link = match (link, at) {
            (Some(link), _) => link,
            (None, Some(at)) if more && (free || self.close_longest_idle()) => {
                self.open_connection(out.worker, at)
            }
            // All streams of all connections are taken, or all descriptors are in use.
            _ => {
                return self.defer_outcome(key, Outcome::AtCapacity);
            }
        };
        let l = &mut self.connections[link];
        l.streams += usize::from(launch);
        let greeted = l.ready;
        self.attach(key, link, false);
        if greeted {
            self.writable_connections.push(link);
        }
    }

    /// Ends the connection that has been idle for longest; false where none is.
    fn close_longest_idle(&mut self) -> bool {
        let idle = self
            .connections
            .iter()
            .filter(|l| l.1.waiting.is_empty() && l.1.sent.is_empty());
        let Some((key, conn, wk)) = idle
            .min_by_key(|l| l.1.last_used)
            .map(|l| (l.0, l.1.conn, l.1.worker))
        else {
            return false;
        };
        // At once, not at the end of the wake-up: its descriptor is wanted now. Nothing is heard of it any more.
        self.net.reset(conn);
        let link = self.connections.remove(key);
        self.cancel_greeting_timer(&link);
        self.workers[wk].connections.retain(|l| *l != key);
        true
    }

    /// The list has changed: connections are shared out again.
    pub fn redistribute_connections(&mut self) {
        self.connections_per_worker = self
            .limits
            .a_worker(self.workers.iter().filter(|w| w.is_known()).count());
    }

    fn open_connection(&mut self, wk: usize, at: SocketAddr) -> usize {
        let conn = self.net.connect(at, self.limits.connect_timeout);
        self.counters.connections += 1;
        let now = self.net.now();
        let link = self.connections.insert(WorkerConnection {
            worker: wk,
            conn,
            ready: false,
            written: 0,
            last_work_offset: 0,
            streams: 0,
            waiting: Vec::new(),
            sent: Vec::new(),
            abandoned_requests: VecDeque::new(),
            partial_since: None,
            last_used: now,
            last_received: now,
            greeting_timer: None,
        });
        if self.protocol.requires_greeting() {
            let until = now + self.limits.connect_timeout;
            self.connections[link].greeting_timer =
                Some(self.net.set_timer(until, OF_GREETING | link as u64));
        }
        self.workers[wk].connections.push(link);
        self.opened_connections.push((conn, link));
        link
    }

    /// The outcome is known already; it is told when the decisions' call is over.
    pub(crate) fn defer_outcome(&mut self, key: usize, outcome: Outcome) {
        let count = self.calls[key].generation;
        self.deferred_outcomes.push_back((key, count, outcome));
    }

    /// The wake-up is over: what waits leaves. False once there was nothing.
    pub fn flush(&mut self) -> bool {
        let mut any = false;
        while let Some(link) = self.writable_connections.pop() {
            any = true;
            self.flush_connection(link);
        }
        any
    }

    /// What waits on a connection leaves as far as its socket takes it. The rest goes on waiting, and has provably not run:
    /// of what the net holds of it only the end of one message has not left.
    fn flush_connection(&mut self, link: usize) {
        let Some(l) = self
            .connections
            .get(link)
            .filter(|l| l.ready && !l.waiting.is_empty())
        else {
            return;
        };
        let (conn, now) = (l.conn, self.net.now());
        let (mut batch, mut batched) = (
            std::mem::take(&mut self.batch),
            std::mem::take(&mut self.batch_ends),
        );
        for i in 0..self.connections[link].waiting.len() {
            let key = self.connections[link].waiting[i];
            if !self.calls[key].ended && self.client_still_waiting(key) {
                self.encode_call(key);
                batch.extend_from_slice(&self.frame);
                batched.push((key, batch.len()));
            } else {
                self.defer_outcome(key, Outcome::Discarded);
            }
        }
        let left = self.net.write_available(conn, &batch);
        let mut from = 0;
        for &(key, to) in batched.iter().filter(|_| left > 0) {
            if from >= left {
                break;
            }
            if to > left {
                // Begun: the rest of it has to follow.
                self.net.write(conn, &batch[left..to]);
            }
            self.detach(key);
            self.attach(key, link, true);
            let task = self.calls[key].kind;
            let work = !matches!(task, CallKind::HealthCheck | CallKind::Vote { .. });
            let l = &mut self.connections[link];
            l.streams += usize::from(matches!(task, CallKind::Attempt { .. }));
            (l.last_used, l.written) = (now, l.written + to - from);
            l.last_work_offset = if work { l.written } else { l.last_work_offset };
            from = to;
        }
        batch.clear();
        batch.shrink_to(BATCH);
        batched.clear();
        (self.batch, self.batch_ends) = (batch, batched);
    }

    /// Whether anybody still waits for what this would begin: asked just before its first byte leaves.
    fn client_still_waiting(&self, key: usize) -> bool {
        let CallKind::Attempt { request: evt, .. } = self.calls[key].kind else {
            return true;
        };
        let held = &self.requests[evt];
        held.open && self.net.now() < held.info.deadline
    }

    /// Writes an out's message into `frame`.
    fn encode_call(&mut self, key: usize) {
        let out = self.calls[key];
        let (id, now) = (self.wire_call_id(key), self.net.now());
        let epoch = self.replicator.as_ref().map_or(0, |c| c.epoch);
        self.frame.clear();
        match out.kind {
            CallKind::Attempt {
                request: evt,
                attempt: launch,
            } => {
                let e = &self.requests[evt];
                let a = &e.info;
                let left = a.deadline.saturating_sub(now);
                let launched = AttemptMessage {
                    request_id: e.id,
                    attempt: launch as u64,
                    class: &self.class_names[a.class],
                    function: self.function_names.resolve(a.function),
                    lanes: a.lanes,
                    memory: a.memory,
                    timeout: out.expires_at.saturating_sub(now).min(left),
                    remaining: left,
                    cost_hint: a.cost_hint,
                    idempotency_key: &e.idempotency_key,
                    is_retry: a.is_retry,
                    epoch,
                    payload: &e.payload,
                };
                self.protocol.write_attempt(&mut self.frame, id, &launched);
            }
            CallKind::LoadRequest { function: img } => {
                let (lanes, memory, load_hint) = self
                    .function_resources
                    .get(img)
                    .copied()
                    .unwrap_or((1, 0.0, 0));
                let function = self.function_names.resolve(img);
                let order = LoadRequestMessage {
                    function,
                    instances: out.instances,
                    lanes,
                    memory,
                    load_hint,
                    epoch,
                };
                self.protocol
                    .write_load_request(&mut self.frame, id, &order);
            }
            CallKind::HealthCheck => self.protocol.write_health_check(&mut self.frame, id),
            CallKind::Vote {
                ballot, accepting, ..
            } => self.encode_vote(id, ballot, accepting),
        }
    }

    pub(crate) fn start_call(
        &mut self,
        task: CallKind,
        wk: usize,
        copies: u32,
        until: Time,
    ) -> usize {
        self.call_generation = self.call_generation.wrapping_add(1);
        let (at, stood) = (self.net.now(), self.net.total_stall());
        let event = match task {
            CallKind::Attempt { request: evt, .. } => self.requests[evt].id,
            _ => 0,
        };
        let out = Call {
            kind: task,
            worker: wk,
            request_id: event,
            expires_at: until,
            connection: usize::MAX,
            list_position: 0,
            generation: self.call_generation,
            instances: copies,
            sent: false,
            ended: false,
            started_at: at,
            stall_at_start: stood,
            timer: None,
        };
        // What has not left by the time that a connection may take does not leave any more: its event moves on, and what it
        // would take effect with later is what the decisions counted with.
        let first = match task {
            CallKind::Vote { .. } => until,
            _ => until.min(at + self.limits.connect_timeout),
        };
        let key = self.calls.insert(out);
        self.calls[key].timer = Some(self.net.set_timer(first, OF_OUT | key as u64));
        key
    }

    pub fn bytes_received(&mut self, link: usize) {
        let now = self.net.now();
        if let Some(l) = self.connections.get_mut(link) {
            l.last_received = now;
        }
    }
}

impl<N: Net> SchedulerActions for WorkerPool<N> {
    fn send_attempt(&mut self, evt: usize, wk: usize, time_out: Time) {
        let now = self.net.now();
        let held = &self.requests[evt];
        let (launch, gives_up, open) = (held.attempts, held.info.deadline, held.open);
        let until = if time_out == 0 {
            gives_up
        } else {
            gives_up.min(now + time_out)
        };
        let key = self.start_call(
            CallKind::Attempt {
                request: evt,
                attempt: launch,
            },
            wk,
            0,
            until,
        );
        let held = &mut self.requests[evt];
        held.calls[launch] = key;
        (held.attempt_workers[launch], held.not_executed[launch]) = (wk, None);
        held.attempts += 1;
        self.counters.attempts += 1;
        tracing::debug!(
            event = self.requests[evt].id,
            launch,
            worker = self.worker_names.resolve(wk),
            "launch"
        );
        if !open || now >= gives_up {
            return self.defer_outcome(key, Outcome::Discarded);
        }
        if self.replicator.is_some() {
            return self.replicate_attempt(evt, launch, key);
        }
        self.assign_connection(key);
    }

    fn cancel_attempt(&mut self, evt: usize, launch: usize) {
        let key = self.requests[evt].calls[launch];
        let Some(out) = self.calls.get(key).filter(|o| {
            o.kind
                == CallKind::Attempt {
                    request: evt,
                    attempt: launch,
                }
                && !o.ended
        }) else {
            return;
        };
        if !out.sent {
            return self.defer_outcome(key, Outcome::Discarded);
        }
        let (id, link, event) = (self.wire_call_id(key), out.connection, out.request_id);
        self.frame.clear();
        self.protocol.write_cancel(&mut self.frame, id, event);
        self.write_frame(link);
        self.defer_outcome(key, Outcome::Cancelled);
    }

    fn reject(&mut self, evt: usize, come_back: Time) {
        self.respond_locally(evt, Disposition::Rejected, come_back);
    }

    fn fail(&mut self, evt: usize) {
        self.respond_locally(evt, Disposition::Failed, 0);
    }

    fn release_request(&mut self, evt: usize) {
        let held = &mut self.requests[evt];
        // A place that held a large payload gives its memory back.
        const KEPT: usize = 1024; // a usual event's payload
        held.payload.clear();
        held.payload.shrink_to(KEPT);
        assert!(!held.open, "an event was released without an answer");
    }

    fn set_timer(&mut self, wait: Time, token: u64) {
        let now = self.net.now();
        self.net.set_timer(now + wait, OF_CHOICE | token);
    }

    fn send_health_check(&mut self, wk: usize) {
        self.counters.health_checks += 1;
        let until = self.net.now() + self.limits.health_check_timeout;
        let key = self.start_call(CallKind::HealthCheck, wk, 0, until);
        self.assign_connection(key);
    }

    fn close_idle_connections(&mut self, wk: usize) {
        for i in 0..self.workers[wk].connections.len() {
            let link = &mut self.connections[self.workers[wk].connections[i]];
            if link.waiting.is_empty() && link.sent.is_empty() {
                // The next look at the links closes it.
                link.last_used = 0;
            }
        }
    }

    fn send_load_request(&mut self, img: usize, wk: usize, copies: u32) {
        let refused = !self.admit_load_request(copies);
        let (function, worker) = (
            self.function_names.resolve(img),
            self.worker_names.resolve(wk),
        );
        tracing::debug!(function, worker, copies, "hold");
        self.counters.load_requests += u64::from(copies > 0 && !refused);
        let until = self.net.now() + self.limits.load_request_timeout;
        let key = self.start_call(CallKind::LoadRequest { function: img }, wk, copies, until);
        if refused {
            return self.defer_outcome(key, Outcome::AtCapacity);
        }
        self.send_when_recorded(key, copies);
    }

    fn unload_instances(&mut self, img: usize, wk: usize) {
        let ready = self.workers[wk]
            .connections
            .iter()
            .copied()
            .find(|l| self.connections[*l].ready);
        if let Some(link) = ready {
            self.frame.clear();
            self.protocol
                .write_unload(&mut self.frame, self.function_names.resolve(img));
            self.write_frame(link);
        }
    }

    fn forget_function(&mut self, img: usize) {
        self.function_names.remove(img);
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.watches_endpoints = on;
        if let Some(conn) = self.discovery_connection {
            self.frame.clear();
            Frame::new(&mut self.frame, kind::FOLLOW)
                .flag(Field::On, on)
                .end();
            self.net.write(conn, &self.frame);
        }
    }

    fn poll_endpoints(&mut self) {
        if let Some(conn) = self.discovery_connection {
            self.frame.clear();
            Frame::new(&mut self.frame, kind::LOOK_UP).end();
            self.net.write(conn, &self.frame);
        }
    }

    fn send_to_peers(&mut self, peer: Option<u32>, bytes: &[u8]) {
        let Some(port) = self.datagram_socket else {
            return;
        };
        self.frame.clear();
        self.protocol
            .write_peer_datagram(&mut self.frame, self.index as u64, bytes);
        if self.frame.is_empty() {
            return;
        }
        for (i, at) in self.peers.iter().enumerate() {
            let wanted = i != self.index && peer.is_none_or(|p| p as usize == i);
            if let Some(at) = at.filter(|_| wanted) {
                self.net.send_datagram(port, at, &self.frame);
            }
        }
    }

    fn log_note(&mut self, text: &str) {
        info!(text, "note");
    }
}
