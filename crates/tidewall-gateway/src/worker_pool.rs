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
    Launch {
        evt: usize,
        launch: usize,
    },
    Hold {
        img: usize,
    },
    Probe,
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
    pub task: CallKind,
    pub wk: usize,
    /// Of a launch: its event's id.
    pub event: u64,
    pub link: usize,
    /// Its place in its link's list of what waits or of what was sent.
    slot: usize,
    /// Tells the users of a slab's place apart on the wire.
    pub count: u32,
    pub copies: u32,
    /// Written to its connection: from here on it may have run.
    pub sent: bool,
    /// The decisions have their outcome; only the worker's own end is still awaited.
    pub over: bool,
    pub at: Time,
    pub stood: Time,
    /// When it is given up here.
    until: Time,
    deadline: Option<TimerId>,
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
        self.event == event && matches!(self.task, CallKind::Launch { .. })
    }
}

#[derive(Default)]
pub struct PendingRequest {
    pub open: bool,
    pub ticket: ReplyHandle,
    pub id: u64,
    pub begun: Option<usize>,
    came: Time,
    /// When its client gives up.
    until: Time,
    arrival: RequestInfo,
    mark: Vec<u8>,
    payload: Vec<u8>,
    outs: [usize; MAX_ATTEMPTS],
    count: usize,
    /// Launches that may have run.
    pub unproven: u32,
    /// Others that asked for the same event, each with the time when it gives up.
    pub more: Vec<(ReplyHandle, Time)>,
    /// Where its launches went, and what their ends prove.
    sent_to: [usize; MAX_ATTEMPTS],
    pub ends: [Option<bool>; MAX_ATTEMPTS],
}

impl PendingRequest {
    pub fn until(&self) -> Time {
        self.until
    }

    pub fn arrival(&self) -> &RequestInfo {
        &self.arrival
    }

    pub fn mark(&self) -> &[u8] {
        &self.mark
    }

    pub fn payload(&self) -> &[u8] {
        &self.payload
    }
}

/// An answer of the decisions' own.
pub struct LocalResponse {
    pub evt: usize,
    pub ticket: ReplyHandle,
    pub word: Disposition,
    pub come_back: Time,
    pub took: Time,
}

#[derive(Default)]
pub struct WorkerEntry {
    at: Option<SocketAddr>,
    listed: Endpoint,
    zone: String,
    machine: String,
    life: u64,
    /// It said itself that it drains, and the roster has not noticed yet.
    drains: bool,
    /// When it was told that it drains or is gone.
    left: Time,
    pub links: Vec<usize>,
}

impl WorkerEntry {
    pub fn known(&self) -> bool {
        self.at.is_some()
    }

    pub fn standing(&self) -> EndpointState {
        self.listed.state
    }
}

pub struct WorkerConnection {
    pub wk: usize,
    conn: Conn,
    pub greeted: bool,
    /// Bytes written to it in all, and up to the last that bring work: a launch or an order.
    pub written: usize,
    work: usize,
    /// Launches on it, sent or waiting.
    streams: usize,
    pub waiting: Vec<usize>,
    pub sent: Vec<usize>,
    /// Events whose launches on it were given up: an answer may still be on its way.
    given_up: VecDeque<u64>,
    /// Since when a message has lain there in part.
    pub partial: Option<Time>,
    /// When something last came or went.
    used: Time,
    heard: Time,
    /// Until then the worker must have told its name.
    greeting: Option<TimerId>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    pub taken: u64,
    pub handled: u64,
    pub deferred: u64,
    pub dead_lettered: u64,
    pub lapsed: u64,
    pub turned_away: u64,
    /// Answers that were not sent, since their client had given up: after a standstill of this process.
    pub overdue: u64,
    pub malformed: u64,
    pub launches: u64,
    pub orders: u64,
    pub probes: u64,
    pub connections: u64,
}

pub struct WorkerPool<N: Net> {
    pub net: N,
    setup: GatewayLimits,
    /// Connections that each worker may have, now that there are so many workers.
    a_worker: usize,
    pub types: Vec<String>,
    pub tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    pub workers: Interner,
    pub wks: Vec<WorkerEntry>,
    pub functions: Interner,
    /// By function: what an order to load tells of it.
    images: Vec<(u32, f64, Time)>,
    pub events: Vec<PendingRequest>,
    pub held: usize,
    pub outs: Slab<Call>,
    turn: u32,
    pub links: Slab<WorkerConnection>,
    pub opened: Vec<(Conn, usize)>,
    /// Connections on which something waits to leave at the end of the wake-up, and what leaves on one, with each end.
    due: Vec<usize>,
    batch: Vec<u8>,
    batched: Vec<(usize, usize)>,
    /// Workers that left or started anew: what waits for them was decided by what they were before.
    pub withdrawn: Vec<usize>,
    /// Who waits for the event that is taken next.
    pub heirs: Vec<(ReplyHandle, Time)>,
    grace: Time,
    /// When the last client of all that were ever taken gives up.
    pub last_until: Time,
    pub known: VecDeque<(usize, u32, Outcome)>,
    pub given: VecDeque<LocalResponse>,
    /// Tickets of events whose clients have given up.
    pub gone: VecDeque<ReplyHandle>,
    /// By door: its clients say when they stop waiting.
    pub waits_on: Vec<bool>,
    pub roster: Option<Conn>,
    pub follows: bool,
    pub port: Option<DatagramSocket>,
    pub peers: Vec<Option<SocketAddr>>,
    pub me: usize,
    pub counts: Counters,
    /// One of a pair: what goes to the other member, and what waits for it.
    pub copy: Option<Box<Replicator>>,
    pub(crate) frame: Vec<u8>,
    pub way: Rc<dyn WorkerProtocol>,
    pub most_come_back: Time,
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
            a_worker: setup.a_worker(0),
            setup,
            types: named("classes"),
            tenants: named("tenants"),
            zones: plain("zones"),
            kinds: plain("kinds"),
            workers: Interner::default(),
            wks: Vec::new(),
            functions: Interner::default(),
            images: Vec::new(),
            events: Vec::new(),
            held: 0,
            outs: Slab::new(),
            turn: 0,
            links: Slab::new(),
            opened: Vec::new(),
            due: Vec::new(),
            batch: Vec::new(),
            batched: Vec::new(),
            withdrawn: Vec::new(),
            heirs: Vec::new(),
            grace: settings.duration("rules.drain-grace-ms"),
            last_until: 0,
            known: VecDeque::new(),
            given: VecDeque::new(),
            gone: VecDeque::new(),
            waits_on: Vec::new(),
            roster: None,
            // Where changes come unasked the roster is still told that we are there.
            follows: settings.is("discovery", "pushed"),
            port: None,
            peers: Vec::new(),
            me: 0,
            counts: Counters::default(),
            copy: None,
            frame: Vec::new(),
            way: Rc::new(NativeWorkerProtocol),
            most_come_back: settings.duration("allowed.max-retry-after-ms"),
        }
    }

    /// The event's place is in use from now on; its buffers are those of the place's last user.
    pub fn open(&mut self, place: usize, event: &IncomingRequest, arrival: &RequestInfo) {
        if self.events.len() <= place {
            self.events.resize_with(place + 1, PendingRequest::default);
        }
        let img = arrival.function;
        if self.images.len() <= img {
            self.images.resize(img + 1, (1, 0.0, 0));
        }
        self.images[img] = (arrival.lanes, arrival.memory, arrival.load_hint);
        let held = &mut self.events[place];
        (held.open, held.ticket, held.id, held.begun) = (true, event.reply_handle, event.id, None);
        let now = self.net.now();
        (held.came, held.until, held.arrival, held.count) =
            (now, now + event.remaining, *arrival, 0);
        self.last_until = self.last_until.max(held.until);
        held.unproven = 0;
        held.more.clear();
        held.more.append(&mut self.heirs);
        held.mark.clear();
        held.mark.extend_from_slice(event.idempotency_key);
        held.payload.clear();
        held.payload.extend_from_slice(event.payload);
        self.held += 1;
        self.counts.taken += 1;
        self.copy_taken(place);
    }

    /// The one place where an event's answer is used up: whoever gets the ticket gives the answer, and nobody
    /// gets it twice. With a ticket, only where the place still belongs to it.
    pub fn close(
        &mut self,
        place: usize,
        ticket: Option<ReplyHandle>,
    ) -> Option<(ReplyHandle, Time)> {
        let now = self.net.now();
        let held = self.events.get_mut(place)?;
        if !held.open || ticket.is_some_and(|t| t != held.ticket) {
            return None;
        }
        held.open = false;
        self.held -= 1;
        Some((held.ticket, now - held.came))
    }

    /// Nothing may be sent for this event any more: its client's time has passed, which is all that says when it gives up.
    pub fn too_late_for(&self, evt: usize, ticket: ReplyHandle) -> bool {
        let waits_on = self.waits_on.get(ticket.ingress).is_some_and(|w| *w);
        self.net.now() > self.events[evt].until && !waits_on
    }

    fn own_answer(&mut self, evt: usize, word: Disposition, come_back: Time) {
        if let Some((ticket, took)) = self.close(evt, None) {
            if self.copy.is_none() && self.too_late_for(evt, ticket) {
                // Nothing is sent to a client that has given up.
                self.counts.overdue += 1;
                self.gone.push_back(ticket);
                return;
            }
            match word {
                Disposition::Rejected => self.counts.deferred += 1,
                _ => self.counts.dead_lettered += 1,
            }
            tracing::debug!(
                event = self.events[evt].id,
                word = word.wire_text(),
                took,
                "answered"
            );
            let given = LocalResponse {
                evt,
                ticket,
                word,
                come_back,
                took,
            };
            if self.copy.is_some() {
                // At once: its place may serve another event before this call of the decisions is over.
                let due = self.copy_answered(&given, &[]);
                if let (Some(copy), Some(due)) = (&mut self.copy, due) {
                    copy.replays.push_back(due);
                }
                return;
            }
            self.given.push_back(given);
        }
    }

    /// Where the worker stands in the decisions' terms. A start that is known already keeps its time, or each
    /// telling would look like another start.
    pub fn listed(&mut self, entry: &EndpointRecord) -> (usize, Endpoint) {
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
        let wk = self.workers.intern(&entry.name);
        if self.wks.len() <= wk {
            self.wks.resize_with(wk + 1, WorkerEntry::default);
        }
        let w = &mut self.wks[wk];
        let restarted = entry.incarnation > w.life || w.at.is_none();
        let since = match (restarted, entry.age) {
            (false, _) => w.listed.started_at,
            (true, 0) => 0,
            // 0 would mean long ago. A start before our own clock began is as old as that.
            (true, age) => now.saturating_sub(age).max(1),
        };
        // A list that was made before the roster noticed does not bring back one that said that it drains.
        w.drains &= entry.state == EndpointState::Active && entry.incarnation <= w.life;
        let standing = if w.drains {
            EndpointState::Draining
        } else {
            entry.state
        };
        let leaves = standing != EndpointState::Active && w.listed.state == EndpointState::Active;
        if leaves {
            w.left = now;
        }
        if leaves || restarted {
            self.withdrawn.push(wk);
        }
        w.life = w.life.max(entry.incarnation);
        w.at = Some(entry.address);
        w.listed = Endpoint {
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
        (wk, w.listed)
    }

    /// A whole list: whoever is not in it is gone.
    pub fn only(&mut self, entries: &[(usize, Endpoint)]) {
        let now = self.net.now();
        for (wk, w) in self.wks.iter_mut().enumerate() {
            if !entries.iter().any(|e| e.0 == wk) && w.listed.state != EndpointState::Removed {
                if w.listed.state == EndpointState::Active {
                    w.left = now;
                    self.withdrawn.push(wk);
                }
                (w.listed.state, w.drains) = (EndpointState::Removed, false);
            }
        }
    }

    /// Workers that are gone and of which nothing is under way here.
    pub fn gone(&self) -> Vec<usize> {
        let idle = |(wk, w): &(usize, &WorkerEntry)| {
            let gone =
                w.at.is_some() && w.listed.state == EndpointState::Removed && w.links.is_empty();
            gone && !self.outs.iter().any(|o| o.1.wk == *wk)
        };
        self.wks
            .iter()
            .enumerate()
            .filter(idle)
            .map(|w| w.0)
            .collect()
    }

    /// Its index may name another from now on.
    pub fn forget_worker(&mut self, wk: usize) {
        self.workers.remove(wk);
        self.wks[wk] = WorkerEntry::default();
    }

    /// Whether anything is known of where it answers.
    pub fn reachable(&self, wk: usize) -> bool {
        self.wks.get(wk).is_some_and(|w| w.at.is_some())
    }

    /// An event's launches as they stand: number, worker, and whether its end proves that it has not run.
    pub fn launches_of(&self, place: usize) -> Vec<(usize, usize, Option<bool>)> {
        let held = &self.events[place];
        (0..held.count)
            .map(|i| (i, held.sent_to[i], held.ends[i]))
            .collect()
    }

    pub fn known_life(&self, wk: usize) -> Option<u64> {
        Some(self.wks[wk].life)
    }

    pub fn restarted(&mut self, wk: usize, life: u64, age: Time) -> Option<Endpoint> {
        let now = self.net.now();
        let w = &mut self.wks[wk];
        (w.life, w.drains) = (life, false);
        self.withdrawn.push(wk);
        w.listed.started_at = now.saturating_sub(age).max(1);
        // One that the roster calls gone stays so until the roster says otherwise.
        (w.listed.state == EndpointState::Active).then_some(w.listed)
    }

    pub fn drains(&mut self, wk: usize) -> Option<Endpoint> {
        let w = &mut self.wks[wk];
        if w.listed.state != EndpointState::Active {
            return None;
        }
        (w.listed.state, w.drains, w.left) = (EndpointState::Draining, true, self.net.now());
        self.withdrawn.push(wk);
        Some(w.listed)
    }

    /// Launches and orders for this worker that have not left: all that is known of them is that nothing has run.
    pub fn not_sent(&self, wk: usize) -> Vec<usize> {
        let work = |o: &Call| match o.task {
            CallKind::Launch { .. } => true,
            CallKind::Hold { .. } => o.copies > 0,
            CallKind::Probe | CallKind::Vote { .. } => false,
        };
        let waits = |o: &Call| o.wk == wk && !o.sent && !o.over && work(o);
        self.outs
            .iter()
            .filter(|o| waits(o.1))
            .map(|o| o.0)
            .collect()
    }

    /// Connections on which work for a worker that left still waits for its socket, and would leave after the grace; looked
    /// for again after `look`.
    pub fn too_late(&self, now: Time, look: Time) -> Vec<(usize, Conn)> {
        let late = |l: &WorkerConnection| {
            let w = &self.wks[l.wk];
            let ends = w.listed.state != EndpointState::Active && w.left + self.grace <= now + look;
            ends && l.written - self.net.unsent(l.conn).min(l.written) < l.work
        };
        self.links
            .iter()
            .filter(|l| late(l.1))
            .map(|l| (l.0, l.1.conn))
            .collect()
    }

    /// Writes to a worker; false where its buffer is full or its connection gone.
    fn put(&mut self, link: usize) -> bool {
        let Some(l) = self.links.get_mut(link) else {
            return false;
        };
        let good = self.net.write(l.conn, &self.frame);
        l.written += if good { self.frame.len() } else { 0 };
        good
    }

    pub fn entries(&self) -> Vec<EndpointRecord> {
        let now = self.net.now();
        let entry = |(wk, w): (usize, &WorkerEntry)| {
            let since = w.listed.started_at;
            Some(EndpointRecord {
                name: self.workers.resolve(wk).to_string(),
                address: w.at?,
                zone: w.zone.clone(),
                machine: w.machine.clone(),
                cell: w.listed.cell,
                state: w.listed.state,
                rating: w.listed.rating,
                incarnation: w.life,
                age: if since == 0 { 0 } else { (now - since).max(1) },
            })
        };
        let gone = |w: &WorkerEntry| w.listed.state == EndpointState::Removed;
        self.wks
            .iter()
            .enumerate()
            .filter(|w| !gone(w.1))
            .filter_map(entry)
            .collect()
    }

    /// The out that a worker's answer names, if it belongs to this connection and still is the same one.
    pub fn key(&self, name: CallName, link: usize) -> Result<Option<usize>, ProtocolError> {
        let id = match name {
            CallName::CallId(id) => id,
            CallName::RequestId(event) => {
                let sent = &self.links[link].sent;
                return Ok(sent
                    .iter()
                    .copied()
                    .find(|k| self.outs[*k].is_launch_of(event)));
            }
        };
        let (key, count) = ((id & 0xffff_ffff) as usize, (id >> 32) as u32);
        match self.outs.get(key) {
            Some(out) if out.count == count && out.link != link => Err(WireError::invalid(
                Field::Id,
                format!("{id} was sent on another connection"),
            )
            .into()),
            Some(out) if out.count == count => Ok(Some(key)),
            _ => Ok(None),
        }
    }

    fn wire_id(&self, key: usize) -> u64 {
        key as u64 | u64::from(self.outs[key].count) << 32
    }

    /// The decisions get this out's outcome now.
    pub fn finish(&mut self, key: usize) {
        self.no_deadline(key);
        self.outs[key].over = true;
    }

    pub fn no_deadline(&mut self, key: usize) {
        if let Some(d) = self.outs[key].deadline.take() {
            self.net.cancel_timer(d);
        }
    }

    /// Nothing more is awaited for it.
    pub fn free(&mut self, key: usize) {
        self.no_deadline(key);
        self.off(key);
        self.outs.remove(key);
    }

    /// Puts an out on its link's list.
    fn on(&mut self, key: usize, link: usize, sent: bool) {
        let l = &mut self.links[link];
        let list = if sent { &mut l.sent } else { &mut l.waiting };
        let out = &mut self.outs[key];
        (out.link, out.slot, out.sent) = (link, list.len(), sent);
        list.push(key);
    }

    /// Takes an out off its link's list, without a search.
    fn off(&mut self, key: usize) {
        let Call {
            link,
            slot,
            sent,
            task,
            ..
        } = self.outs[key];
        let Some(l) = self.links.get_mut(link) else {
            return;
        };
        let list = if sent { &mut l.sent } else { &mut l.waiting };
        list.swap_remove(slot);
        if let Some(moved) = list.get(slot) {
            self.outs[*moved].slot = slot;
        }
        l.streams -= usize::from(matches!(task, CallKind::Launch { .. }));
        self.outs[key].link = usize::MAX;
    }

    /// Frees an out that ended before it was sent, or of which the worker says nothing more.
    pub fn unsent_over(&mut self, key: usize) {
        let Some(out) = self.outs.get(key).filter(|o| o.over) else {
            return;
        };
        if out.sent && self.way.confirms_cancelled() {
            return;
        }
        let (sent, event, link) = (out.sent, out.event, out.link);
        if let Some(l) = self.links.get_mut(link).filter(|_| sent) {
            if l.given_up.len() == GIVEN_UP {
                l.given_up.pop_front();
            }
            l.given_up.push_back(event);
        }
        self.free(key);
    }

    /// Tells the worker that nobody waits for this launch, where it would not hear it by the launch's own time.
    pub fn give_up(&mut self, key: usize) {
        let out = self.outs[key];
        if out.sent && !self.way.confirms_cancelled() && matches!(out.task, CallKind::Launch { .. })
        {
            self.frame.clear();
            let id = self.wire_id(key);
            self.way.write_cancel(&mut self.frame, id, out.event);
            self.put(out.link);
        }
    }

    /// An out whose deadline is due; none where it has left and there is time for its end.
    pub fn late(&mut self, key: usize) -> Option<usize> {
        let now = self.net.now();
        let out = self.outs.get_mut(key).filter(|o| !o.over)?;
        out.deadline = None;
        if out.sent && now < out.until {
            let until = out.until;
            self.outs[key].deadline = Some(self.net.set_timer(until, OF_OUT | key as u64));
            return None;
        }
        Some(key)
    }

    /// The worker has told its name: what waited leaves at the end of the wake-up.
    pub fn greeted(&mut self, link: usize) {
        let now = self.net.now();
        let l = &mut self.links[link];
        (l.greeted, l.used, l.heard) = (true, now, now);
        if let Some(d) = l.greeting.take() {
            self.net.cancel_timer(d);
        }
        self.due.push(link);
    }

    /// Its socket takes more.
    pub fn drained(&mut self, link: usize) {
        self.due.push(link);
    }

    pub fn no_greeting(&mut self, link: &WorkerConnection) {
        if let Some(d) = link.greeting {
            self.net.cancel_timer(d);
        }
    }

    pub fn ungreeted(&self, link: usize) -> Option<Conn> {
        self.links.get(link).filter(|l| !l.greeted).map(|l| l.conn)
    }

    /// What is left of a connection's bytes once its whole messages are read.
    pub fn left_over(&mut self, link: usize, any: bool) {
        let now = self.net.now();
        if let Some(l) = self.links.get_mut(link) {
            l.partial = any.then_some(now);
        }
    }

    /// Connections on which a message stopped half-way.
    pub fn stuck(&self, now: Time) -> Vec<(usize, Conn)> {
        let rest = self.way.partial_message_timeout();
        let stuck = |l: &WorkerConnection| {
            l.partial
                .zip(rest)
                .is_some_and(|(since, rest)| now >= since + rest)
        };
        self.links
            .iter()
            .filter(|l| stuck(l.1))
            .map(|l| (l.0, l.1.conn))
            .collect()
    }

    /// Links to close: idle ones, those to workers that are gone, and those on which only given-up launches
    /// are left and nothing was heard for long.
    pub fn idle(&mut self, now: Time) -> Vec<(usize, Conn)> {
        let (keep, silent) = (self.setup.keep_alive, self.setup.silence_timeout);
        let mut idle = Vec::new();
        for (key, l) in &self.links {
            let nothing = l.waiting.is_empty() && l.sent.is_empty();
            let gone = self.wks[l.wk].listed.state == EndpointState::Removed;
            let given_up = l.waiting.is_empty() && l.sent.iter().all(|k| self.outs[*k].over);
            let quiet = now > l.used + silent && now > l.heard + silent;
            if nothing && (now > l.used + keep || gone && quiet) || !nothing && given_up && quiet {
                idle.push((key, l.conn));
            }
        }
        idle
    }

    /// Puts an out on a connection of its worker: one with a free stream, one that is being made, or a new one.
    pub(crate) fn ride(&mut self, key: usize) {
        let out = self.outs[key];
        let launch = matches!(out.task, CallKind::Launch { .. });
        // An id twice on one connection: the ends of the two could not be told apart.
        let twice = |l: &WorkerConnection| {
            let all = l.sent.iter().chain(&l.waiting);
            self.way.answers_by_request_id()
                && (l.given_up.contains(&out.event)
                    || all
                        .into_iter()
                        .any(|k| self.outs[*k].is_launch_of(out.event)))
        };
        let room = |l: &WorkerConnection| {
            !launch || l.streams < self.setup.streams_per_connection && !twice(l)
        };
        // One on which an answer stopped half-way may be of no further use.
        let links = self.wks[out.wk]
            .links
            .iter()
            .copied()
            .filter(|l| room(&self.links[*l]));
        let least = |l: &usize| (self.links[*l].partial.is_some(), self.links[*l].streams);
        let ready = links
            .clone()
            .filter(|l| self.links[*l].greeted)
            .min_by_key(least);
        let coming = links.clone().find(|l| !self.links[*l].greeted);
        let more = self.wks[out.wk].links.len() < self.a_worker;
        let full = ready.is_some_and(|l| self.links[l].streams + 1 >= self.setup.spread_threshold);
        let free = self.links.len() < self.setup.max_worker_connections;
        let spare = (launch && more && free && full && coming.is_none())
            .then_some(self.wks[out.wk].at)
            .flatten();
        let (link, at) = (ready.or(coming), self.wks[out.wk].at);
        if let Some(at) = spare {
            self.open_link(out.wk, at);
        }
        let link = match (link, at) {
            (Some(link), _) => link,
            (None, Some(at)) if more && (free || self.end_idle()) => self.open_link(out.wk, at),
            // All streams of all connections are taken, or all descriptors are in use.
            _ => {
                return self.at_once(key, Outcome::AtCapacity);
            }
        };
        let l = &mut self.links[link];
        l.streams += usize::from(launch);
        let greeted = l.greeted;
        self.on(key, link, false);
        if greeted {
            self.due.push(link);
        }
    }

    /// Ends the connection that has been idle for longest; false where none is.
    fn end_idle(&mut self) -> bool {
        let idle = self
            .links
            .iter()
            .filter(|l| l.1.waiting.is_empty() && l.1.sent.is_empty());
        let Some((key, conn, wk)) = idle
            .min_by_key(|l| l.1.used)
            .map(|l| (l.0, l.1.conn, l.1.wk))
        else {
            return false;
        };
        // At once, not at the end of the wake-up: its descriptor is wanted now. Nothing is heard of it any more.
        self.net.reset(conn);
        let link = self.links.remove(key);
        self.no_greeting(&link);
        self.wks[wk].links.retain(|l| *l != key);
        true
    }

    /// The list has changed: connections are shared out again.
    pub fn share_out(&mut self) {
        self.a_worker = self
            .setup
            .a_worker(self.wks.iter().filter(|w| w.known()).count());
    }

    fn open_link(&mut self, wk: usize, at: SocketAddr) -> usize {
        let conn = self.net.connect(at, self.setup.connect_timeout);
        self.counts.connections += 1;
        let now = self.net.now();
        let link = self.links.insert(WorkerConnection {
            wk,
            conn,
            greeted: false,
            written: 0,
            work: 0,
            streams: 0,
            waiting: Vec::new(),
            sent: Vec::new(),
            given_up: VecDeque::new(),
            partial: None,
            used: now,
            heard: now,
            greeting: None,
        });
        if self.way.requires_greeting() {
            let until = now + self.setup.connect_timeout;
            self.links[link].greeting = Some(self.net.set_timer(until, OF_GREETING | link as u64));
        }
        self.wks[wk].links.push(link);
        self.opened.push((conn, link));
        link
    }

    /// The outcome is known already; it is told when the decisions' call is over.
    pub(crate) fn at_once(&mut self, key: usize, outcome: Outcome) {
        let count = self.outs[key].count;
        self.known.push_back((key, count, outcome));
    }

    /// The wake-up is over: what waits leaves. False once there was nothing.
    pub fn leave(&mut self) -> bool {
        let mut any = false;
        while let Some(link) = self.due.pop() {
            any = true;
            self.leave_on(link);
        }
        any
    }

    /// What waits on a connection leaves as far as its socket takes it. The rest goes on waiting, and has provably not run:
    /// of what the net holds of it only the end of one message has not left.
    fn leave_on(&mut self, link: usize) {
        let Some(l) = self
            .links
            .get(link)
            .filter(|l| l.greeted && !l.waiting.is_empty())
        else {
            return;
        };
        let (conn, now) = (l.conn, self.net.now());
        let (mut batch, mut batched) = (
            std::mem::take(&mut self.batch),
            std::mem::take(&mut self.batched),
        );
        for i in 0..self.links[link].waiting.len() {
            let key = self.links[link].waiting[i];
            if !self.outs[key].over && self.waited_for(key) {
                self.encode(key);
                batch.extend_from_slice(&self.frame);
                batched.push((key, batch.len()));
            } else {
                self.at_once(key, Outcome::Discarded);
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
            self.off(key);
            self.on(key, link, true);
            let task = self.outs[key].task;
            let work = !matches!(task, CallKind::Probe | CallKind::Vote { .. });
            let l = &mut self.links[link];
            l.streams += usize::from(matches!(task, CallKind::Launch { .. }));
            (l.used, l.written) = (now, l.written + to - from);
            l.work = if work { l.written } else { l.work };
            from = to;
        }
        batch.clear();
        batch.shrink_to(BATCH);
        batched.clear();
        (self.batch, self.batched) = (batch, batched);
    }

    /// Whether anybody still waits for what this would begin: asked just before its first byte leaves.
    fn waited_for(&self, key: usize) -> bool {
        let CallKind::Launch { evt, .. } = self.outs[key].task else {
            return true;
        };
        let held = &self.events[evt];
        held.open && self.net.now() < held.arrival.deadline
    }

    /// Writes an out's message into `frame`.
    fn encode(&mut self, key: usize) {
        let out = self.outs[key];
        let (id, now) = (self.wire_id(key), self.net.now());
        let epoch = self.copy.as_ref().map_or(0, |c| c.epoch);
        self.frame.clear();
        match out.task {
            CallKind::Launch { evt, launch } => {
                let e = &self.events[evt];
                let a = &e.arrival;
                let left = a.deadline.saturating_sub(now);
                let launched = AttemptMessage {
                    request_id: e.id,
                    attempt: launch as u64,
                    class: &self.types[a.class],
                    function: self.functions.resolve(a.function),
                    lanes: a.lanes,
                    memory: a.memory,
                    timeout: out.until.saturating_sub(now).min(left),
                    remaining: left,
                    cost_hint: a.cost_hint,
                    idempotency_key: &e.mark,
                    is_retry: a.is_retry,
                    epoch,
                    payload: &e.payload,
                };
                self.way.write_attempt(&mut self.frame, id, &launched);
            }
            CallKind::Hold { img } => {
                let (lanes, memory, load_hint) =
                    self.images.get(img).copied().unwrap_or((1, 0.0, 0));
                let function = self.functions.resolve(img);
                let order = LoadRequestMessage {
                    function,
                    instances: out.copies,
                    lanes,
                    memory,
                    load_hint,
                    epoch,
                };
                self.way.write_load_request(&mut self.frame, id, &order);
            }
            CallKind::Probe => self.way.write_health_check(&mut self.frame, id),
            CallKind::Vote {
                ballot, accepting, ..
            } => self.vote(id, ballot, accepting),
        }
    }

    pub(crate) fn out(&mut self, task: CallKind, wk: usize, copies: u32, until: Time) -> usize {
        self.turn = self.turn.wrapping_add(1);
        let (at, stood) = (self.net.now(), self.net.total_stall());
        let event = match task {
            CallKind::Launch { evt, .. } => self.events[evt].id,
            _ => 0,
        };
        let out = Call {
            task,
            wk,
            event,
            until,
            link: usize::MAX,
            slot: 0,
            count: self.turn,
            copies,
            sent: false,
            over: false,
            at,
            stood,
            deadline: None,
        };
        // What has not left by the time that a connection may take does not leave any more: its event moves on, and what it
        // would take effect with later is what the decisions counted with.
        let first = match task {
            CallKind::Vote { .. } => until,
            _ => until.min(at + self.setup.connect_timeout),
        };
        let key = self.outs.insert(out);
        self.outs[key].deadline = Some(self.net.set_timer(first, OF_OUT | key as u64));
        key
    }

    pub fn heard(&mut self, link: usize) {
        let now = self.net.now();
        if let Some(l) = self.links.get_mut(link) {
            l.heard = now;
        }
    }
}

impl<N: Net> SchedulerActions for WorkerPool<N> {
    fn send_attempt(&mut self, evt: usize, wk: usize, time_out: Time) {
        let now = self.net.now();
        let held = &self.events[evt];
        let (launch, gives_up, open) = (held.count, held.arrival.deadline, held.open);
        let until = if time_out == 0 {
            gives_up
        } else {
            gives_up.min(now + time_out)
        };
        let key = self.out(CallKind::Launch { evt, launch }, wk, 0, until);
        let held = &mut self.events[evt];
        held.outs[launch] = key;
        (held.sent_to[launch], held.ends[launch]) = (wk, None);
        held.count += 1;
        self.counts.launches += 1;
        tracing::debug!(
            event = self.events[evt].id,
            launch,
            worker = self.workers.resolve(wk),
            "launch"
        );
        if !open || now >= gives_up {
            return self.at_once(key, Outcome::Discarded);
        }
        if self.copy.is_some() {
            return self.copy_launched(evt, launch, key);
        }
        self.ride(key);
    }

    fn cancel_attempt(&mut self, evt: usize, launch: usize) {
        let key = self.events[evt].outs[launch];
        let Some(out) = self
            .outs
            .get(key)
            .filter(|o| o.task == CallKind::Launch { evt, launch } && !o.over)
        else {
            return;
        };
        if !out.sent {
            return self.at_once(key, Outcome::Discarded);
        }
        let (id, link, event) = (self.wire_id(key), out.link, out.event);
        self.frame.clear();
        self.way.write_cancel(&mut self.frame, id, event);
        self.put(link);
        self.at_once(key, Outcome::Cancelled);
    }

    fn reject(&mut self, evt: usize, come_back: Time) {
        self.own_answer(evt, Disposition::Rejected, come_back);
    }

    fn fail(&mut self, evt: usize) {
        self.own_answer(evt, Disposition::Failed, 0);
    }

    fn release_request(&mut self, evt: usize) {
        let held = &mut self.events[evt];
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
        self.counts.probes += 1;
        let until = self.net.now() + self.setup.health_check_timeout;
        let key = self.out(CallKind::Probe, wk, 0, until);
        self.ride(key);
    }

    fn close_idle_connections(&mut self, wk: usize) {
        for i in 0..self.wks[wk].links.len() {
            let link = &mut self.links[self.wks[wk].links[i]];
            if link.waiting.is_empty() && link.sent.is_empty() {
                // The next look at the links closes it.
                link.used = 0;
            }
        }
    }

    fn send_load_request(&mut self, img: usize, wk: usize, copies: u32) {
        let refused = !self.may_order(copies);
        let (function, worker) = (self.functions.resolve(img), self.workers.resolve(wk));
        tracing::debug!(function, worker, copies, "hold");
        self.counts.orders += u64::from(copies > 0 && !refused);
        let until = self.net.now() + self.setup.load_request_timeout;
        let key = self.out(CallKind::Hold { img }, wk, copies, until);
        if refused {
            return self.at_once(key, Outcome::AtCapacity);
        }
        self.order_recorded(key, copies);
    }

    fn unload_instances(&mut self, img: usize, wk: usize) {
        let ready = self.wks[wk]
            .links
            .iter()
            .copied()
            .find(|l| self.links[*l].greeted);
        if let Some(link) = ready {
            self.frame.clear();
            self.way
                .write_unload(&mut self.frame, self.functions.resolve(img));
            self.put(link);
        }
    }

    fn forget_function(&mut self, img: usize) {
        self.functions.remove(img);
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.follows = on;
        if let Some(conn) = self.roster {
            self.frame.clear();
            Frame::new(&mut self.frame, kind::FOLLOW)
                .flag(Field::On, on)
                .end();
            self.net.write(conn, &self.frame);
        }
    }

    fn poll_endpoints(&mut self) {
        if let Some(conn) = self.roster {
            self.frame.clear();
            Frame::new(&mut self.frame, kind::LOOK_UP).end();
            self.net.write(conn, &self.frame);
        }
    }

    fn send_to_peers(&mut self, peer: Option<u32>, bytes: &[u8]) {
        let Some(port) = self.port else { return };
        self.frame.clear();
        self.way
            .write_peer_datagram(&mut self.frame, self.me as u64, bytes);
        if self.frame.is_empty() {
            return;
        }
        for (i, at) in self.peers.iter().enumerate() {
            let wanted = i != self.me && peer.is_none_or(|p| p as usize == i);
            if let Some(at) = at.filter(|_| wanted) {
                self.net.send_datagram(port, at, &self.frame);
            }
        }
    }

    fn log_note(&mut self, text: &str) {
        info!(text, "note");
    }
}
