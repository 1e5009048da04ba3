//! The running gateway. `Gateway` is an app of `tidewall-net`: it hears what happens on connections and
//! deadlines, tells the decisions, and settles what they called for. `carrier` implements the decisions'
//! `Host`, `native` is the door that speaks the native frames, `list` keeps the last list of workers. It
//! decides nothing.
pub mod backoff;
pub mod config;
pub mod endpoints;
pub mod error;
pub mod failover;
pub mod ingress;
pub mod native_ingress;
pub mod native_protocol;
pub mod protocol;
pub mod worker_pool;

use backoff::Backoff;
use endpoints::{EndpointCache, EndpointRecord};
use error::{ProtocolError, StartError};
use failover::{FailoverConfig, FailoverNode, StopReason};
use ingress::{Disposition, IncomingRequest, Ingress, ReplyHandle, NO_CLIENT};
use native_protocol::{NativeDiscovery, NativeWorkerProtocol};
use protocol::{
    CallName, DiscoverySource, LocalIdentity, ReceivedUpdates, WorkerEvents, WorkerProtocol,
};
use std::net::SocketAddr;
use std::rc::Rc;
use tidewall::choice::Scheduler;
use tidewall::interface::{Endpoint, Outcome, RequestInfo};
use tidewall::interner;
use tidewall::settings::Settings;
use tidewall_failover::recovery::margin;
use tidewall_net::{App, CloseReason, Conn, DatagramSocket, Listener, Net, Time, TimerId};
use tidewall_wire::{self as wire, Field, Fields, WireError};
use tracing::{debug, error, info, warn};
use worker_pool::{Call, CallKind, Counters, GatewayLimits, LocalResponse, WorkerPool};

/// What a deadline's token stands for; the rest of it is the kind's own.
pub(crate) const OF_CHOICE: u64 = 1 << 56;
pub(crate) const OF_OUT: u64 = 2 << 56;
const OF_ROSTER: u64 = 3 << 56;
const OF_LINKS: u64 = 4 << 56;
const OF_SHELF: u64 = 5 << 56;
const OF_COUNTS: u64 = 6 << 56;
pub(crate) const OF_GREETING: u64 = 7 << 56;
const OF_DOOR: u64 = 8 << 56;
const OF_PAIR: u64 = 9 << 56;
const OF_VRRP: u64 = 10 << 56;
const OF_SILENT: u64 = 11 << 56;
const OF_LEAVE: u64 = 12 << 56;
const OF_REST: u64 = 13 << 56;
const OF_WHAT: u64 = 0xff << 56;

/// How often links are looked at for being idle or silent: a tenth of a second is fine against times of
/// seconds and costs nothing.
const LINKS: Time = 1_000;

/// A changed list is written this much later, so that many changes at once are one write.
const SHELF: Time = 2_000;

/// Answers that clients do not read hold a drain up so long at most: a usual max age.
const LAST: Time = 50_000;

/// How long a gateway that is told to stop takes what still comes, where its settings or page name no other time: a front
/// notices late, and the platform's still sends for 0.6 s. What comes later is turned away.
pub const DRAIN_GRACE: Time = 8_000;

/// Once it takes nothing more it goes on for so long at least: what had been accepted by then is read and answered. Several
/// wake-ups.
const REST: Time = 200;

/// Counts are logged this often.
const COUNTS: Time = 600_000;

/// Whom a connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Owner {
    Nobody,
    Ingress(usize),
    Worker(usize),
    Discovery,
    /// The link to the other member of a pair, and a connection that may become it.
    Peer,
    Handshake,
}

/// Events on their way, as the doors see it: they tell what comes and who leaves.
pub struct IngressContext<N: Net> {
    scheduler: Scheduler<WorkerPool<N>>,
    draining: bool,
    /// Told to stop; what comes is still taken for a while.
    shutting_down: bool,
    /// Another member of the pair serves.
    standby: bool,
    max_requests: usize,
    /// Asked for again while the other member has them: its place, who asks, until when.
    awaited_remote: std::collections::VecDeque<(usize, ReplyHandle, Time)>,
}

impl<N: Net> IngressContext<N> {
    pub fn net(&mut self) -> &mut N {
        &mut self.scheduler.host.net
    }

    pub fn net_ref(&self) -> &N {
        &self.scheduler.host.net
    }

    pub fn class_names(&self) -> &[String] {
        &self.scheduler.host.class_names
    }

    pub fn tenant_names(&self) -> &[String] {
        &self.scheduler.host.tenant_names
    }

    pub fn counters(&mut self) -> &mut Counters {
        &mut self.scheduler.host.counters
    }

    /// Takes an event, which gets its one answer from now on, or turns it away with a word why. The place that
    /// it gives back names the event to `left`.
    pub fn admit(&mut self, event: &IncomingRequest) -> Result<usize, &'static str> {
        if let Some(place) = self.find_duplicate(event) {
            return Ok(place);
        }
        let host = &mut self.scheduler.host;
        let full = host
            .replicator
            .as_ref()
            .is_some_and(|c| !c.deduplication.has_capacity());
        if self.draining || self.standby || host.in_flight >= self.max_requests || full {
            host.counters.refused += 1;
            return Err(match (self.draining || self.standby, full) {
                (true, _) => "draining",
                (_, true) => "most-remembered",
                _ => "most-held",
            });
        }
        Ok(self.start_request(event))
    }

    fn start_request(&mut self, event: &IncomingRequest) -> usize {
        let host = &mut self.scheduler.host;
        let now = host.net.now();
        let margin = host.replicator.as_ref().map_or(0, |c| {
            margin(
                c.retry_safety_of(event.class),
                event.remaining,
                c.silence_timeout,
            )
        });
        let function = host.function_names.intern(event.function);
        let arrival = RequestInfo {
            class: event.class,
            tenant: event.tenant,
            function,
            function_hash: interner::fnv1a(event.function),
            lanes: event.lanes.max(1),
            memory: event.memory,
            // A deadline of ours may be met late by our own lag: told to the decisions as if the client gave up so
            // much earlier, or an answer that is just in time for them would come too late for it.
            // Twice the worst of late, as the next may be worse.
            deadline: now + event.remaining
                - (2 * host.net.max_timer_lag()).min(event.remaining / 4)
                - margin,
            cost_hint: event.cost_hint,
            load_hint: event.load_hint,
            is_retry: event.is_retry,
        };
        let place = self.scheduler.next_request_slot();
        self.scheduler.host.register_request(place, event, &arrival);
        debug!(
            event = event.id,
            place,
            function = event.function,
            left = event.remaining,
            "taken"
        );
        self.scheduler.advance_clock(now);
        self.scheduler.request_arrived(arrival);
        place
    }

    /// `Ingress::due` follows for the door at this place.
    pub fn set_ingress_timer(&mut self, door: usize, wait: Time) {
        let at = self.net().now() + wait;
        self.net().set_timer(at, OF_DOOR | door as u64);
    }

    /// Events in hand, and how many there may be.
    pub fn in_flight(&self) -> (usize, usize) {
        (self.scheduler.host.in_flight, self.max_requests)
    }

    /// Whether this gateway is on its way out, taking or not.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down || self.draining
    }

    /// The longest time to come back that clients go by; 0 where they are told none.
    pub fn max_retry_after(&self) -> Time {
        self.scheduler.host.max_retry_after
    }

    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// The client does not wait for this event any more.
    pub fn client_abandoned(&mut self, place: usize, ticket: ReplyHandle) {
        let now = self.net().now();
        let host = &mut self.scheduler.host;
        if host.remove_waiting_client(place, ticket) {
            return;
        }
        if host.take_reply_handle(place, Some(ticket)).is_some() {
            host.counters.abandoned += 1;
            host.replicate_abandonment(place);
            debug!(event = host.requests[place].id, place, "lapsed");
            self.scheduler.advance_clock(now);
            self.scheduler.client_abandoned(place);
        }
    }

    /// The client's connection broke. One of a pair goes on with what can be asked for again.
    pub fn client_disconnected(&mut self, place: usize, ticket: ReplyHandle) {
        let host = &mut self.scheduler.host;
        let held = host
            .requests
            .get_mut(place)
            .filter(|h| h.open && h.reply_handle == ticket);
        match held.filter(|h| host.replicator.is_some() && !h.idempotency_key().is_empty()) {
            Some(held) => held.reply_handle = NO_CLIENT,
            None => self.client_abandoned(place, ticket),
        }
    }
}

pub struct Gateway<N: Net> {
    context: IngressContext<N>,
    ingresses: Vec<Box<dyn Ingress<N>>>,
    owners: Vec<(u32, Owner)>,
    listeners: Vec<Option<Listener>>,
    /// Those that are over: what they had accepted by then is still told.
    closed_listeners: Vec<(Listener, usize)>,
    addresses: Vec<SocketAddr>,
    index: u64,
    discovery: DiscoveryClient,
    /// Between the signal to stop and the end of taking: what a front still sends is taken.
    drain_grace: Time,
    /// Before this it does not end.
    exit_not_before: Time,
    /// When something malformed was last named.
    last_complaint: Option<Time>,
    endpoint_cache: Box<dyn EndpointCache>,
    cache_outdated: bool,
    datagram_socket: Option<DatagramSocket>,
    name: String,
    failover: Option<Box<FailoverNode>>,
    stop_reason: StopReason,
    /// Since when nothing is held, once that is asked for.
    idle_since: Option<Time>,
    endpoint_watcher: Option<EndpointWatcher>,
    /// The list changed and whoever watches it could not hear it.
    watcher_outdated: bool,
}

/// Hears of each change of the list of workers; false where it cannot now, and is told again later.
pub type EndpointWatcher = Box<dyn FnMut(&[EndpointRecord]) -> bool + Send>;

/// Where the list comes from, and the connection to it.
struct DiscoveryClient {
    source: Box<dyn DiscoverySource>,
    conn: Option<Conn>,
    connect_timeout: Time,
    attempts: u64,
    /// Something is asked of it that it owes an answer to by then.
    response_timer: Option<TimerId>,
}

/// What a gateway is told at start, besides its settings.
pub struct GatewayConfig {
    pub name: String,
    pub index: usize,
    pub seed: u64,
    pub settings: Settings,
    pub discovery: SocketAddr,
    pub discovery_retry: Time,
    pub peers: Vec<Option<SocketAddr>>,
    pub peer_listen: Option<SocketAddr>,
    pub limits: GatewayLimits,
    pub failover: Option<FailoverConfig>,
}

impl<N: Net> Gateway<N> {
    pub fn new(
        net: N,
        start: GatewayConfig,
        shelf: Box<dyn EndpointCache>,
    ) -> Result<Gateway<N>, StartError> {
        let feed = NativeDiscovery::new(
            start.discovery,
            Backoff::new(start.seed, start.discovery_retry),
        );
        Gateway::with_protocols(
            net,
            start,
            shelf,
            Rc::new(NativeWorkerProtocol),
            Box::new(feed),
        )
    }

    /// With workers and a list that speak other protocols than the native one.
    pub fn with_protocols(
        mut net: N,
        start: GatewayConfig,
        shelf: Box<dyn EndpointCache>,
        way: Rc<dyn WorkerProtocol>,
        feed: Box<dyn DiscoverySource>,
    ) -> Result<Gateway<N>, StartError> {
        let now = net.now();
        // Where we listen may be another address than the one that others know us by.
        let at = start
            .peer_listen
            .or(start.peers.get(start.index).copied().flatten());
        let port = match at {
            None => None,
            Some(at) => Some(
                net.bind_datagram(at)
                    .map_err(|source| StartError::BindDatagrams {
                        address: at,
                        source,
                    })?
                    .0,
            ),
        };
        let most_held = start.limits.max_requests;
        net.set_timer(now + LINKS, OF_LINKS);
        net.set_timer(now + COUNTS, OF_COUNTS);
        let mut carrier = WorkerPool::new(net, &start.settings, start.limits);
        (carrier.datagram_socket, carrier.peers, carrier.index) = (port, start.peers, start.index);
        carrier.protocol = way;
        let choice = Scheduler::new(carrier, now, start.seed, start.settings)
            .map_err(StartError::Settings)?;
        let roster = DiscoveryClient {
            source: feed,
            conn: None,
            connect_timeout: start.discovery_retry,
            attempts: 0,
            response_timer: None,
        };
        let mut gateway = Gateway {
            context: IngressContext {
                scheduler: choice,
                draining: false,
                shutting_down: false,
                standby: start.failover.is_some(),
                max_requests: most_held,
                awaited_remote: Default::default(),
            },
            ingresses: Vec::new(),
            owners: Vec::new(),
            listeners: Vec::new(),
            closed_listeners: Vec::new(),
            addresses: Vec::new(),
            index: start.index as u64,
            discovery: roster,
            drain_grace: 0,
            exit_not_before: 0,
            last_complaint: None,
            endpoint_cache: shelf,
            cache_outdated: false,
            datagram_socket: port,
            name: start.name,
            failover: None,
            stop_reason: StopReason::Drained,
            idle_since: None,
            endpoint_watcher: None,
            watcher_outdated: false,
        };
        gateway.load_endpoint_cache();
        gateway.connect_discovery();
        if let Some(peering) = start.failover {
            gateway.enable_failover(peering)?;
        }
        Ok(gateway)
    }

    /// Opens a door; fails with a line that names the address.
    pub fn add_ingress(
        &mut self,
        at: SocketAddr,
        door: Box<dyn Ingress<N>>,
    ) -> Result<SocketAddr, StartError> {
        self.context
            .scheduler
            .host
            .ingress_accepts_late
            .push(door.accepts_late_response());
        self.ingresses.push(door);
        self.addresses.push(at);
        self.listeners.push(None);
        let last = self.ingresses.len() - 1;
        // One of a pair listens when it serves.
        if self.failover.is_none() {
            self.listen(last).map_err(|source| StartError::Listen {
                address: at,
                source,
            })?;
        }
        self.ingresses[last].started(&mut self.context);
        Ok(self.addresses[last])
    }

    fn listen(&mut self, door: usize) -> std::io::Result<()> {
        let (listener, at) = self.context.net().listen(self.addresses[door])?;
        (self.listeners[door], self.addresses[door]) = (Some(listener), at);
        info!(gateway = self.name, %at, "listens");
        Ok(())
    }

    /// Listens no more; what is connected stays.
    fn stop_listening(&mut self) {
        self.closed_listeners.clear();
        for (door, listener) in self.listeners.iter_mut().enumerate() {
            if let Some(listener) = listener.take() {
                self.context.scheduler.host.net.stop_listening(listener);
                self.closed_listeners.push((listener, door));
            }
        }
    }

    /// Why the net was stopped.
    pub fn stop_reason(&self) -> StopReason {
        self.stop_reason
    }

    pub fn counters(&self) -> &Counters {
        &self.context.scheduler.host.counters
    }

    /// How often it was tried to reach the roster.
    pub fn discovery_attempts(&self) -> u64 {
        self.discovery.attempts
    }

    pub fn requests_in_flight(&self) -> usize {
        self.context.scheduler.host.in_flight
    }

    /// Launches, orders and probes of which a worker's end is still awaited.
    pub fn calls_in_flight(&self) -> usize {
        self.context.scheduler.host.calls.len()
    }

    /// Connections to workers that stand or are being made.
    pub fn worker_connections(&self) -> usize {
        self.context.scheduler.host.connections.len()
    }

    /// Takes no new events; when what is held has its answers the net is stopped. The second time it stops at
    /// once.
    pub fn drain(&mut self) {
        if self.begin_failover_shutdown() {
            return;
        }
        if std::mem::replace(&mut self.context.draining, true) {
            warn!(held = self.requests_in_flight(), "ends at once");
            return self.context.net().stop();
        }
        info!(held = self.requests_in_flight(), "drains");
        self.stop_listening();
        self.exit_not_before = self.context.net().now() + REST;
        let at = self.exit_not_before;
        self.context.net().set_timer(at, OF_REST);
        self.exit_when_drained();
    }

    fn exit_when_drained(&mut self) {
        if self.requests_in_flight() > 0 {
            self.idle_since = None;
        }
        let rested = self.context.draining && self.context.net().now() >= self.exit_not_before;
        if rested && self.requests_in_flight() == 0 && !self.has_unread_responses() {
            info!(counts = ?self.counters(), "drained");
            self.write_endpoint_cache();
            self.context.net().stop();
        }
    }

    /// Whether answers still wait to be read by clients that have not given up.
    pub(crate) fn has_unread_responses(&mut self) -> bool {
        let now = self.context.net().now();
        let since = *self.idle_since.get_or_insert(now);
        let until = self.context.scheduler.host.last_deadline.min(since + LAST);
        let waits = |(place, (count, owner)): (usize, &(u32, Owner))| {
            matches!(owner, Owner::Ingress(_))
                && self
                    .context
                    .net_ref()
                    .unacknowledged(Conn::new(place, *count))
                    > 0
        };
        now < until && self.owners.iter().enumerate().any(waits)
    }

    fn set_owner(&mut self, conn: Conn, owner: Owner) {
        if self.owners.len() <= conn.index() {
            self.owners.resize(conn.index() + 1, (0, Owner::Nobody));
        }
        self.owners[conn.index()] = (conn.generation(), owner);
    }

    fn owner(&self, conn: Conn) -> Owner {
        let owner = self
            .owners
            .get(conn.index())
            .filter(|o| o.0 == conn.generation());
        owner.map_or(Owner::Nobody, |o| o.1)
    }

    /// Hands over what the decisions' last calls left behind: outcomes that were known at once, the
    /// gateway's own answers, and connections that were asked for.
    fn deliver_deferred_outcomes(&mut self) {
        loop {
            let host = &mut self.context.scheduler.host;
            if let Some((conn, link)) = host.opened_connections.pop() {
                self.set_owner(conn, Owner::Worker(link));
            } else if let Some((key, count, outcome)) = host.deferred_outcomes.pop_front() {
                // Its place may belong to another by now.
                if host.calls.get(key).is_some_and(|o| o.generation == count) {
                    self.call_ended(key, outcome, 0);
                    self.context.scheduler.host.remove_ended_call(key);
                }
            } else if let Some(given) = host.local_responses.pop_front() {
                self.send_final_response(&given, &[]);
            } else if let Some(wk) = host.withdrawn_workers.pop() {
                self.withdraw_unsent_calls(wk);
            } else if self.deliver_failover_outcome() {
                // One more thing was done.
            } else if let Some(ticket) = self.context.scheduler.host.expired_clients.pop_front() {
                let now = self.context.net().now();
                self.ingresses[ticket.ingress].request_expired(now, ticket);
            } else {
                break;
            }
        }
        self.exit_when_drained();
    }

    /// A worker left or started anew: what has not left for it is to be decided again.
    fn withdraw_unsent_calls(&mut self, wk: usize) {
        for key in self.context.scheduler.host.unsent_calls(wk) {
            self.call_ended(key, Outcome::Discarded, 0);
            self.context.scheduler.host.remove_ended_call(key);
        }
        self.reset_stalled_after_grace(0);
    }

    /// Nothing leaves for a worker after the grace: its socket takes no more, so the connection ends instead.
    fn reset_stalled_after_grace(&mut self, look: Time) {
        let now = self.context.net().now();
        for (link, conn) in self.context.scheduler.host.stalled_after_grace(now, look) {
            warn!(
                worker = self
                    .context
                    .scheduler
                    .host
                    .worker_names
                    .resolve(self.context.scheduler.host.connections[link].worker),
                "cut off: it drains and reads nothing"
            );
            self.context.net().reset(conn);
            self.set_owner(conn, Owner::Nobody);
            self.worker_connection_closed(link, CloseReason::Reset);
        }
    }

    /// One launch, order or probe is over.
    fn call_ended(&mut self, key: usize, outcome: Outcome, count: u32) {
        let host = &mut self.context.scheduler.host;
        let Some(out) = host.calls.get_mut(key).filter(|o| !o.ended) else {
            return;
        };
        let Call {
            kind: task,
            worker: wk,
            started_at: at,
            stall_at_start: stood,
            ..
        } = *out;
        let now = host.net.now();
        // What passed while this process stood still is no evidence about a worker.
        let took = (now - at).saturating_sub(host.net.total_stall() - stood);
        host.finish_call(key);
        self.context.scheduler.advance_clock(now);
        match task {
            CallKind::Attempt {
                request: evt,
                attempt: launch,
            } => {
                let over = !self.context.scheduler.host.requests[evt].open;
                let host = &self.context.scheduler.host;
                let worker = host.worker_names.resolve(wk);
                debug!(
                    event = host.requests[evt].id,
                    launch,
                    worker,
                    ?outcome,
                    took,
                    "ended"
                );
                self.context
                    .scheduler
                    .host
                    .replicate_attempt_end(evt, launch, outcome);
                self.context
                    .scheduler
                    .attempt_ended(evt, launch, (outcome, took), over, count);
            }
            CallKind::LoadRequest { function: img } => {
                let host = &self.context.scheduler.host;
                let (function, worker) = (
                    host.function_names.resolve(img),
                    host.worker_names.resolve(wk),
                );
                debug!(function, worker, ?outcome, count, took, "held");
                self.context
                    .scheduler
                    .load_request_ended(img, wk, outcome, count);
            }
            CallKind::HealthCheck => self.context.scheduler.health_check_ended(wk, outcome),
            CallKind::Vote {
                voter,
                ballot,
                accepting,
            } => self.vote_missing(voter, (ballot, accepting)),
        }
    }

    /// An answer that is not the decisions' own: handled, or the break of an answer that had begun.
    fn respond(&mut self, evt: usize, word: Disposition, payload: &[u8]) {
        let host = &mut self.context.scheduler.host;
        let Some((ticket, took)) = host.take_reply_handle(evt, None) else {
            return;
        };
        let past =
            host.is_past_deadline(evt, ticket) && host.requests[evt].streaming_attempt.is_none();
        if past && host.replicator.is_none() {
            host.counters.expired += 1;
            let now = host.net.now();
            return self.ingresses[ticket.ingress].request_expired(now, ticket);
        }
        match word {
            Disposition::Completed => host.counters.completed += 1,
            _ => host.counters.failed += 1,
        }
        debug!(
            event = host.requests[evt].id,
            word = word.wire_text(),
            "answered"
        );
        self.send_final_response(
            &LocalResponse {
                request: evt,
                reply_handle: ticket,
                disposition: word,
                retry_after: 0,
                elapsed: took,
            },
            payload,
        );
    }

    /// An answer that had begun comes to no end: its launch was the event's last one, and nobody else may answer.
    fn partial_response_lost(&mut self, task: CallKind) {
        if let CallKind::Attempt {
            request: evt,
            attempt: launch,
        } = task
        {
            if self.context.scheduler.host.requests[evt].streaming_attempt == Some(launch) {
                self.respond(evt, Disposition::Failed, &[]);
            }
        }
    }

    fn worker_connection_closed(&mut self, link: usize, why: CloseReason) {
        let host = &mut self.context.scheduler.host;
        let gone = host.connections.remove(link);
        let wk = gone.worker;
        host.workers[wk].connections.retain(|l| *l != link);
        host.cancel_greeting_timer(&gone);
        // The place may serve another connection before the last of these is over.
        gone.waiting
            .iter()
            .chain(&gone.sent)
            .for_each(|key| host.calls[*key].connection = usize::MAX);
        if !gone.ready {
            debug!(
                worker = host.worker_names.resolve(wk),
                ?why,
                waiting = gone.waiting.len(),
                "no connection"
            );
        }
        for key in gone.waiting {
            // Never sent: proven not run.
            self.call_ended(key, Outcome::ConnectFailed, 0);
            self.context.scheduler.host.remove_call(key);
        }
        for key in gone.sent {
            let out = self.context.scheduler.host.calls[key];
            if !out.ended {
                self.partial_response_lost(out.kind);
            }
            self.call_ended(key, Outcome::Reset, 0);
            self.context.scheduler.host.remove_call(key);
        }
    }

    /// One message of a worker; none while it is not whole.
    fn read_worker_message(
        &mut self,
        link: usize,
        bytes: &[u8],
    ) -> Result<Option<usize>, ProtocolError> {
        let way = self.context.scheduler.host.protocol.clone();
        way.read_message(bytes, &mut Ears { gw: self, link })
    }

    /// One message of the list's source. What it asks next leaves with it.
    fn read_discovery_message(
        &mut self,
        conn: Conn,
        bytes: &[u8],
    ) -> Result<Option<usize>, ProtocolError> {
        let mut news = ReceivedUpdates::default();
        let read = self.discovery.source.read_message(bytes, &mut news)?;
        news.updates
            .iter()
            .for_each(|(entries, whole)| self.update_endpoints(entries, *whole));
        if read.is_some() {
            let mut out = Vec::new();
            if !self.discovery.source.write_next_poll(&mut out) {
                self.context.net().close(conn);
                self.set_owner(conn, Owner::Nobody);
                self.cancel_discovery_timeout();
                self.connect_discovery();
            } else if !out.is_empty() {
                self.context.net().write(conn, &out);
                self.arm_discovery_timeout();
            }
        }
        Ok(read)
    }

    /// Workers that are gone for good are forgotten, so that replaced machines do not add up. A pair's records name
    /// workers by their index, so there none is.
    fn forget_removed_workers(&mut self) {
        if self.failover.is_some() {
            return;
        }
        for wk in self.context.scheduler.host.removed_idle_workers() {
            if self.context.scheduler.forget_worker(wk) {
                self.context.scheduler.host.forget_worker(wk);
            }
        }
    }

    /// Workers of which something is known.
    pub fn known_workers(&self) -> usize {
        self.context
            .scheduler
            .host
            .workers
            .iter()
            .filter(|w| w.is_known())
            .count()
    }

    /// Takes a list over, or changes of one.
    pub fn update_endpoints(&mut self, entries: &[EndpointRecord], whole: bool) {
        let host = &mut self.context.scheduler.host;
        let now = host.net.now();
        let entries: Vec<(usize, Endpoint)> =
            entries.iter().map(|e| host.register_endpoint(e)).collect();
        self.context.scheduler.advance_clock(now);
        self.context.scheduler.update_endpoints(&entries, whole);
        if whole {
            self.context.scheduler.host.retain_listed(&entries);
        }
        self.context.scheduler.host.redistribute_connections();
        self.schedule_cache_write();
        self.notify_endpoint_watcher();
        // What is decided from now on knows the list: nothing of it is to be taken back for what the list said.
        self.deliver_deferred_outcomes();
    }

    /// The list is told from now on.
    pub fn watch_endpoints(&mut self, watch: EndpointWatcher) {
        self.endpoint_watcher = Some(watch);
        self.notify_endpoint_watcher();
    }

    fn notify_endpoint_watcher(&mut self) {
        if let Some(watch) = &mut self.endpoint_watcher {
            self.watcher_outdated = !watch(&self.context.scheduler.host.endpoint_records());
        }
    }

    /// The source of the list owes an answer from now on.
    fn arm_discovery_timeout(&mut self) {
        self.cancel_discovery_timeout();
        if let Some(patience) = self.discovery.source.silence_timeout() {
            let at = self.context.net().now() + patience;
            self.discovery.response_timer = Some(self.context.net().set_timer(at, OF_SILENT));
        }
    }

    fn cancel_discovery_timeout(&mut self) {
        if let Some(d) = self.discovery.response_timer.take() {
            self.context.net().cancel_timer(d);
        }
    }

    fn connect_discovery(&mut self) {
        let (at, within) = (
            self.discovery.source.address(),
            self.discovery.connect_timeout,
        );
        self.discovery.attempts += 1;
        let conn = self.context.net().connect(at, within);
        self.set_owner(conn, Owner::Discovery);
        self.discovery.conn = Some(conn);
    }

    /// The last list holds; the decisions hear that news may be missing, and it is asked for anew.
    fn discovery_connection_closed(&mut self, why: CloseReason) {
        warn!(?why, at = %self.discovery.source.address(), "no roster");
        self.discovery.conn = None;
        self.cancel_discovery_timeout();
        self.context.scheduler.host.discovery_connection = None;
        let now = self.context.net().now();
        let wait = self.discovery.source.retry_delay();
        self.context.net().set_timer(now + wait, OF_ROSTER);
        self.context.scheduler.advance_clock(now);
        self.context.scheduler.endpoint_update_failed();
    }

    fn schedule_cache_write(&mut self) {
        if !std::mem::replace(&mut self.cache_outdated, true) {
            let now = self.context.net().now();
            self.context.net().set_timer(now + SHELF, OF_SHELF);
        }
    }

    fn write_endpoint_cache(&mut self) {
        if std::mem::take(&mut self.cache_outdated) {
            let entries = self.context.scheduler.host.endpoint_records();
            if let Err(e) = self.endpoint_cache.write(&endpoints::encode(&entries)) {
                warn!(error = %e, "the last list was not kept");
                // A disk that was full may have room by then.
                self.cache_outdated = true;
                let again = self.context.net().now() + 10 * SHELF;
                self.context.net().set_timer(again, OF_SHELF);
            }
        }
    }

    fn load_endpoint_cache(&mut self) {
        let entries = match self.endpoint_cache.read() {
            Ok(None) => Vec::new(),
            Ok(Some((bytes, age))) => endpoints::decode(&bytes, age).unwrap_or_else(|e| {
                warn!(error = %e, "the last list is not used");
                Vec::new()
            }),
            Err(e) => {
                warn!(error = %e, "the last list cannot be read");
                Vec::new()
            }
        };
        let host = &mut self.context.scheduler.host;
        let listed: Vec<_> = entries
            .iter()
            .map(|e: &EndpointRecord| host.register_endpoint(e))
            .collect();
        info!(workers = listed.len(), "last list");
        self.context.scheduler.update_endpoints(&listed, true);
    }

    /// Reads one frame of another gateway; returns its length, none while it is incomplete.
    fn read_gateway_frame(
        &mut self,
        conn: Conn,
        owner: Owner,
        bytes: &[u8],
    ) -> Result<Option<usize>, ProtocolError> {
        let Some((body, len)) = wire::frame(bytes)? else {
            return Ok(None);
        };
        let fields = Fields::read(body)?;
        match owner {
            Owner::Peer => self.peer_frame_received(&fields)?,
            _ => self.handshake_frame_received(conn, &fields)?,
        }
        Ok(Some(len))
    }

    /// Reads messages and hands each on; a malformed one ends the connection with a word why.
    fn read_messages(&mut self, conn: Conn, bytes: &[u8], owner: Owner) -> usize {
        let mut used = 0;
        while self.owner(conn) == owner {
            let rest = &bytes[used..];
            let told = match owner {
                Owner::Worker(link) => self.read_worker_message(link, rest),
                Owner::Discovery => self.read_discovery_message(conn, rest),
                _ => self.read_gateway_frame(conn, owner, rest),
            };
            match told {
                Ok(None) => break,
                Ok(Some(len)) => used += len,
                Err(error) => {
                    let reason = error.to_string();
                    self.log_malformed(
                        &reason,
                        match owner {
                            Owner::Worker(_) => "worker",
                            Owner::Discovery => "list",
                            _ => "gateway",
                        },
                    );
                    let mut out = Vec::new();
                    match owner {
                        Owner::Worker(_) => self
                            .context
                            .scheduler
                            .host
                            .protocol
                            .write_error(&mut out, &reason),
                        Owner::Discovery => self.discovery.source.write_error(&mut out, &reason),
                        _ => wire::error(&mut out, &reason),
                    }
                    let host = &mut self.context.scheduler.host;
                    host.counters.malformed += 1;
                    host.net.write(conn, &out);
                    host.net.close(conn);
                    self.set_owner(conn, Owner::Nobody);
                    match owner {
                        Owner::Worker(link) => {
                            self.worker_connection_closed(link, CloseReason::Reset)
                        }
                        Owner::Peer => self.peer_connection_closed(),
                        Owner::Handshake => {}
                        _ => self.discovery_connection_closed(CloseReason::Reset),
                    }
                    return bytes.len();
                }
            }
            self.deliver_deferred_outcomes();
        }
        used
    }

    /// Names something malformed: one line a second at most, however fast it comes; the counts tell the rest.
    fn log_malformed(&mut self, reason: &str, what: &str) {
        const APART: Time = 10_000;
        let now = self.context.net().now();
        if self.last_complaint.is_none_or(|at| now >= at + APART) {
            self.last_complaint = Some(now);
            warn!(
                reason,
                what,
                so_far = self.counters().malformed + 1,
                "malformed"
            );
        } else {
            debug!(reason, what, "malformed");
        }
    }

    /// Goes on taking what comes for so long after the first signal to stop, as a front notices late.
    pub fn set_drain_grace(&mut self, span: Time) {
        self.drain_grace = span;
    }
}

/// What a worker says on one of its connections, as the gateway hears it.
struct Ears<'a, N: Net> {
    gw: &'a mut Gateway<N>,
    link: usize,
}

impl<N: Net> Ears<'_, N> {
    fn host(&mut self) -> &mut WorkerPool<N> {
        &mut self.gw.context.scheduler.host
    }

    fn wk(&self) -> usize {
        self.gw.context.scheduler.host.connections[self.link].worker
    }
}

impl<N: Net> WorkerEvents for Ears<'_, N> {
    fn has_greeted(&self) -> bool {
        self.gw.context.scheduler.host.connections[self.link].ready
    }

    fn greeted(
        &mut self,
        role: &str,
        name: &str,
        life: u64,
        age: Time,
    ) -> Result<(), ProtocolError> {
        let wk = self.wk();
        let host = self.host();
        let now = host.net.now();
        if role != "worker" || name != host.worker_names.resolve(wk) {
            // Another one has come to live at this address: nothing was sent, so nothing has run.
            let expected = host.worker_names.resolve(wk);
            let reason = format!("{role} {name} answers for {expected}");
            return Err(WireError::invalid(Field::Name, reason).into());
        }
        let known = host.incarnation_of(wk);
        if known.is_some_and(|k| life > k) {
            // It restarted before the roster told.
            debug!(worker = name, life, age, "started anew");
            if let Some(entry) = host.worker_restarted(wk, life, age) {
                self.gw.context.scheduler.advance_clock(now);
                self.gw
                    .context
                    .scheduler
                    .update_endpoints(&[(wk, entry)], false);
            }
            while let Some(wk) = self.host().withdrawn_workers.pop() {
                self.gw.withdraw_unsent_calls(wk);
            }
        }
        let link = self.link;
        self.host().connection_ready(link);
        Ok(())
    }

    fn response_started(&mut self, name: CallName, payload: &[u8]) -> Result<(), ProtocolError> {
        let link = self.link;
        let host = self.host();
        let now = host.net.now();
        let Some(key) = host.call_key(name, link)? else {
            return Ok(());
        };
        let CallKind::Attempt {
            request: evt,
            attempt: launch,
        } = host.calls[key].kind
        else {
            return Ok(());
        };
        if host.calls[key].ended
            || !host.requests[evt].open
            || host.requests[evt].streaming_attempt.is_some()
        {
            return Ok(());
        }
        host.requests[evt].streaming_attempt = Some(launch);
        let ticket = host.requests[evt].reply_handle;
        let gw = &mut *self.gw;
        if let Some(door) = gw.ingresses.get_mut(ticket.ingress) {
            door.response_started(&mut gw.context.scheduler.host.net, ticket, payload);
        }
        gw.context.scheduler.advance_clock(now);
        gw.context.scheduler.response_started(evt, launch);
        Ok(())
    }

    fn attempt_ended(
        &mut self,
        name: CallName,
        outcome: Outcome,
        note: u32,
        payload: &[u8],
    ) -> Result<(), ProtocolError> {
        let link = self.link;
        let host = self.host();
        let Some(key) = host.call_key(name, link)? else {
            return Ok(());
        };
        if let CallKind::Attempt { request: evt, .. } = host.calls[key].kind {
            if !host.calls[key].ended && outcome == Outcome::Ok {
                // The first good answer is the client's at once.
                self.gw.respond(evt, Disposition::Completed, payload);
            }
            self.gw.call_ended(key, outcome, note);
            self.host().remove_call(key);
        }
        Ok(())
    }

    fn load_request_ended(
        &mut self,
        name: CallName,
        outcome: Outcome,
        copies: u32,
    ) -> Result<(), ProtocolError> {
        let link = self.link;
        let host = self.host();
        let Some(key) = host.call_key(name, link)? else {
            return Ok(());
        };
        if matches!(host.calls[key].kind, CallKind::LoadRequest { .. }) {
            self.gw.call_ended(key, outcome, copies);
            self.host().remove_call(key);
        }
        Ok(())
    }

    fn health_check_ended(&mut self, name: CallName, well: bool) -> Result<(), ProtocolError> {
        let link = self.link;
        let host = self.host();
        let Some(key) = host.call_key(name, link)? else {
            return Ok(());
        };
        if matches!(host.calls[key].kind, CallKind::HealthCheck) {
            self.gw
                .call_ended(key, if well { Outcome::Ok } else { Outcome::Error }, 0);
            self.host().remove_call(key);
        }
        Ok(())
    }

    fn load_reported(&mut self, in_flight: f64, busy: f64) {
        let wk = self.wk();
        let now = self.host().net.now();
        self.gw.context.scheduler.advance_clock(now);
        self.gw.context.scheduler.load_reported(wk, in_flight, busy);
    }

    fn vote_received(&mut self, fields: &Fields) -> Result<(), ProtocolError> {
        let wk = self.wk();
        self.gw.vote_received(self.link, wk, fields)
    }

    fn epoch_rejected(&mut self) {
        self.gw.epoch_rejected();
    }

    fn draining(&mut self) {
        let wk = self.wk();
        let host = self.host();
        let now = host.net.now();
        debug!(worker = host.worker_names.resolve(wk), "drains");
        if let Some(entry) = host.worker_draining(wk) {
            self.gw.context.scheduler.advance_clock(now);
            self.gw
                .context
                .scheduler
                .update_endpoints(&[(wk, entry)], false);
            self.gw.schedule_cache_write();
        }
    }

    fn error_reported(&mut self, reason: &str) {
        let wk = self.wk();
        warn!(
            worker = self.host().worker_names.resolve(wk),
            reason, "told"
        );
    }
}

impl<N: Net> App for Gateway<N> {
    type Net = N;

    fn net(&mut self) -> &mut N {
        self.context.net()
    }

    fn accepted(&mut self, listener: Listener, conn: Conn, _from: SocketAddr) {
        let door = self.listeners.iter().position(|l| *l == Some(listener));
        let former = || {
            self.closed_listeners
                .iter()
                .find(|f| f.0 == listener)
                .map(|f| f.1)
        };
        if let Some(door) = door.or_else(former) {
            self.set_owner(conn, Owner::Ingress(door));
            self.ingresses[door].accepted(&mut self.context, conn);
        } else if self
            .failover
            .as_ref()
            .is_some_and(|p| p.listener() == Some(listener))
        {
            self.set_owner(conn, Owner::Handshake);
        }
    }

    fn connected(&mut self, conn: Conn) {
        if self.owner(conn) == Owner::Handshake {
            return self.send_peer_greeting(conn);
        }
        let mut out = Vec::new();
        let member = self.failover.as_ref().map_or(0, |p| p.member() as u64 + 1);
        let me = LocalIdentity {
            name: &self.name,
            index: self.index,
            failover_member: member,
        };
        let host = &mut self.context.scheduler.host;
        if self.discovery.conn == Some(conn) {
            if self.discovery.source.is_native() {
                host.discovery_connection = Some(conn);
            }
            self.discovery
                .source
                .write_subscription(&mut out, &me, host.watches_endpoints);
            host.net.write(conn, &out);
            self.arm_discovery_timeout();
        } else if let Owner::Worker(link) = self.owner(conn) {
            let host = &mut self.context.scheduler.host;
            host.protocol.write_greeting(&mut out, &me);
            if !out.is_empty() {
                host.net.write(conn, &out);
                host.connections[link].written += out.len();
            }
            if !host.protocol.requires_greeting() {
                host.connection_ready(link);
                self.deliver_deferred_outcomes();
            }
        }
    }

    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let used = match self.owner(conn) {
            Owner::Nobody => bytes.len(),
            Owner::Ingress(door) => self.ingresses[door].received(&mut self.context, conn, bytes),
            owner => {
                if let Owner::Worker(link) = owner {
                    self.context.scheduler.host.bytes_received(link);
                }
                let used = self.read_messages(conn, bytes, owner);
                if let Owner::Worker(link) = self.owner(conn) {
                    self.context
                        .scheduler
                        .host
                        .set_partial_message(link, used < bytes.len());
                }
                if owner == Owner::Peer {
                    self.acknowledge_records();
                }
                used
            }
        };
        self.deliver_deferred_outcomes();
        used
    }

    fn writable(&mut self, conn: Conn) {
        match self.owner(conn) {
            Owner::Ingress(door) => self.ingresses[door].writable(&mut self.context, conn),
            Owner::Worker(link) => {
                self.context.scheduler.host.connection_writable(link);
                self.wakeup_ended();
            }
            _ => {}
        }
    }

    fn wakeup_ended(&mut self) {
        while self.context.scheduler.host.flush() {
            self.deliver_deferred_outcomes();
        }
    }

    fn closed(&mut self, conn: Conn, why: CloseReason) {
        match self.owner(conn) {
            Owner::Nobody => {}
            Owner::Ingress(door) => self.ingresses[door].closed(&mut self.context, conn),
            Owner::Worker(link) => self.worker_connection_closed(link, why),
            Owner::Discovery => self.discovery_connection_closed(why),
            Owner::Peer => self.peer_connection_closed(),
            Owner::Handshake => self.handshake_closed(conn),
        }
        self.set_owner(conn, Owner::Nobody);
        self.deliver_deferred_outcomes();
    }

    fn datagram_received(&mut self, port: DatagramSocket, from: SocketAddr, bytes: &[u8]) {
        if self
            .failover
            .as_ref()
            .is_some_and(|p| p.port() == Some(port))
        {
            self.vrrp_datagram_received(from, bytes);
            return self.deliver_deferred_outcomes();
        }
        if self.datagram_socket != Some(port) {
            return;
        }
        let host = &mut self.context.scheduler.host;
        let from = host
            .peers
            .iter()
            .position(|p| *p == Some(from))
            .map(|p| p as u32);
        match host.protocol.clone().read_peer_datagram(from, bytes) {
            Ok((peer, payload)) => {
                let now = host.net.now();
                self.context.scheduler.advance_clock(now);
                self.context.scheduler.peer_message_received(peer, payload);
                self.deliver_deferred_outcomes();
            }
            Err(reason) => {
                host.counters.malformed += 1;
                self.log_malformed(&reason.to_string(), "datagram");
            }
        }
    }

    fn timer_fired(&mut self, token: u64) {
        let now = self.context.net().now();
        match token & OF_WHAT {
            OF_CHOICE => {
                self.context.scheduler.advance_clock(now);
                self.context.scheduler.timer_fired(token & !OF_WHAT);
            }
            OF_OUT => {
                if let Some(key) = self
                    .context
                    .scheduler
                    .host
                    .call_timer_fired((token & !OF_WHAT) as usize)
                {
                    let Call {
                        sent, kind: task, ..
                    } = self.context.scheduler.host.calls[key];
                    self.partial_response_lost(task);
                    self.context.scheduler.host.cancel_expired_call(key);
                    // What still waited for a connection is proven not run.
                    self.call_ended(
                        key,
                        if sent {
                            Outcome::TimedOut
                        } else {
                            Outcome::ConnectFailed
                        },
                        0,
                    );
                    self.context.scheduler.host.remove_ended_call(key);
                }
            }
            OF_ROSTER if self.discovery.conn.is_none() => self.connect_discovery(),
            // It was asked meanwhile.
            OF_ROSTER => {}
            OF_SILENT => {
                self.discovery.response_timer = None;
                if let Some(conn) = self.discovery.conn {
                    self.context.net().reset(conn);
                    self.set_owner(conn, Owner::Nobody);
                    self.discovery_connection_closed(CloseReason::TimedOut);
                }
            }
            OF_LEAVE => self.drain(),
            // What is owed by then is looked at behind each wake-up.
            OF_REST => {}
            OF_GREETING => {
                // It accepts and says nothing, as a hung process does: no connection in time.
                let link = (token & !OF_WHAT) as usize;
                if let Some(conn) = self.context.scheduler.host.unready_connection(link) {
                    self.context.net().reset(conn);
                    self.set_owner(conn, Owner::Nobody);
                    self.worker_connection_closed(link, CloseReason::TimedOut);
                }
            }
            OF_LINKS => {
                self.context.net().set_timer(now + LINKS, OF_LINKS);
                if self.watcher_outdated {
                    self.notify_endpoint_watcher();
                }
                self.reset_stalled_after_grace(LINKS);
                for (link, conn) in self.context.scheduler.host.stalled_connections(now) {
                    warn!(link, "cut off: an answer stopped half-way");
                    self.context.net().reset(conn);
                    self.set_owner(conn, Owner::Nobody);
                    self.worker_connection_closed(link, CloseReason::Reset);
                }
                for (link, conn) in self.context.scheduler.host.idle_connections(now) {
                    self.context.net().close(conn);
                    self.set_owner(conn, Owner::Nobody);
                    self.worker_connection_closed(link, CloseReason::Ended);
                }
            }
            OF_DOOR => {
                if let Some(door) = self.ingresses.get_mut((token & !OF_WHAT) as usize) {
                    door.timer_fired(&mut self.context);
                }
            }
            OF_SHELF => self.write_endpoint_cache(),
            OF_PAIR => self.failover_tick(),
            OF_VRRP => self.vrrp_timer_fired(),
            OF_COUNTS => {
                self.forget_removed_workers();
                self.context.net().set_timer(now + COUNTS, OF_COUNTS);
                info!(counts = ?self.counters(), held = self.requests_in_flight(), "counts");
            }
            _ => error!(token, "a deadline of nobody"),
        }
        self.deliver_deferred_outcomes();
    }

    fn signal_received(&mut self, signal: i32) {
        if signal == HANG_UP {
            if self.discovery.source.reload() {
                info!(at = %self.discovery.source.address(), "the list comes from elsewhere now");
                if let Some(conn) = self.discovery.conn.take() {
                    self.context.net().reset(conn);
                    self.set_owner(conn, Owner::Nobody);
                }
                self.cancel_discovery_timeout();
                self.connect_discovery();
            }
            return;
        }
        if self.drain_grace > 0 && !self.context.is_shutting_down() {
            self.context.shutting_down = true;
            info!(held = self.requests_in_flight(), "told to stop");
            let at = self.context.net().now() + self.drain_grace;
            self.context.net().set_timer(at, OF_LEAVE);
            return;
        }
        self.drain();
    }
}

/// The number of SIGHUP (POSIX: 1 on every system of today).
const HANG_UP: i32 = 1;
