//! The running gateway. `Gateway` is an app of `tidewall-net`: it hears what happens on connections and
//! deadlines, tells the decisions, and settles what they called for. `carrier` implements the decisions'
//! `Host`, `native` is the door that speaks the native frames, `list` keeps the last list of workers. It
//! decides nothing.
pub mod backoff;
pub mod config;
pub mod endpoints;
pub mod failover;
pub mod ingress;
pub mod native_ingress;
pub mod native_protocol;
pub mod protocol;
pub mod worker_pool;

use backoff::Backoff;
use endpoints::{EndpointCache, EndpointRecord};
use failover::{FailoverConfig, FailoverNode, StopReason};
use ingress::{Disposition, IncomingRequest, Ingress, ReplyHandle, NO_CLIENT};
use native_protocol::{NativeDiscovery, NativeWorkerProtocol};
use protocol::{
    CallName, DiscoverySource, LocalIdentity, ReceivedUpdates, WorkerEvents, WorkerProtocol,
};
use std::net::SocketAddr;
use std::rc::Rc;
use tidewall::choice::Scheduler;
use tidewall::interface::{Endpoint, EndpointState, Outcome, RequestInfo};
use tidewall::interner;
use tidewall::settings::Settings;
use tidewall_failover::recovery::deadline_margin;
use tidewall_net::{App, CloseReason, Conn, DatagramSocket, Listener, Net, Time, TimerId};
use tidewall_wire::{self as wire, Fields};
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
    choice: Scheduler<WorkerPool<N>>,
    draining: bool,
    /// Told to stop; what comes is still taken for a while.
    leaving: bool,
    /// Another member of the pair serves.
    standby: bool,
    most_held: usize,
    /// Asked for again while the other member has them: its place, who asks, until when.
    there: std::collections::VecDeque<(usize, ReplyHandle, Time)>,
}

impl<N: Net> IngressContext<N> {
    pub fn net(&mut self) -> &mut N {
        &mut self.choice.host.net
    }

    pub fn net_ref(&self) -> &N {
        &self.choice.host.net
    }

    pub fn class_names(&self) -> &[String] {
        &self.choice.host.types
    }

    pub fn tenant_names(&self) -> &[String] {
        &self.choice.host.tenants
    }

    pub fn counters(&mut self) -> &mut Counters {
        &mut self.choice.host.counts
    }

    /// Takes an event, which gets its one answer from now on, or turns it away with a word why. The place that
    /// it gives back names the event to `left`.
    pub fn admit(&mut self, event: &IncomingRequest) -> Result<usize, &'static str> {
        if let Some(place) = self.again(event) {
            return Ok(place);
        }
        let host = &mut self.choice.host;
        let full = host.copy.as_ref().is_some_and(|c| !c.known.has_capacity());
        if self.draining || self.standby || host.held >= self.most_held || full {
            host.counts.turned_away += 1;
            return Err(match (self.draining || self.standby, full) {
                (true, _) => "draining",
                (_, true) => "most-remembered",
                _ => "most-held",
            });
        }
        Ok(self.begin(event))
    }

    fn begin(&mut self, event: &IncomingRequest) -> usize {
        let host = &mut self.choice.host;
        let now = host.net.now();
        let margin = host.copy.as_ref().map_or(0, |c| {
            deadline_margin(c.kind(event.class), event.remaining, c.silence)
        });
        let function = host.functions.intern(event.function);
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
        let place = self.choice.next_request_slot();
        self.choice.host.open(place, event, &arrival);
        debug!(
            event = event.id,
            place,
            function = event.function,
            left = event.remaining,
            "taken"
        );
        self.choice.advance_clock(now);
        self.choice.request_arrived(arrival);
        place
    }

    /// `Ingress::due` follows for the door at this place.
    pub fn set_ingress_timer(&mut self, door: usize, wait: Time) {
        let at = self.net().now() + wait;
        self.net().set_timer(at, OF_DOOR | door as u64);
    }

    /// Events in hand, and how many there may be.
    pub fn in_flight(&self) -> (usize, usize) {
        (self.choice.host.held, self.most_held)
    }

    /// Whether this gateway is on its way out, taking or not.
    pub fn is_shutting_down(&self) -> bool {
        self.leaving || self.draining
    }

    /// The longest time to come back that clients go by; 0 where they are told none.
    pub fn max_retry_after(&self) -> Time {
        self.choice.host.most_come_back
    }

    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// The client does not wait for this event any more.
    pub fn client_abandoned(&mut self, place: usize, ticket: ReplyHandle) {
        let now = self.net().now();
        let host = &mut self.choice.host;
        if host.one_less(place, ticket) {
            return;
        }
        if host.close(place, Some(ticket)).is_some() {
            host.counts.lapsed += 1;
            host.copy_lapsed(place);
            debug!(event = host.events[place].id, place, "lapsed");
            self.choice.advance_clock(now);
            self.choice.client_abandoned(place);
        }
    }

    /// The client's connection broke. One of a pair goes on with what can be asked for again.
    pub fn client_disconnected(&mut self, place: usize, ticket: ReplyHandle) {
        let host = &mut self.choice.host;
        let held = host
            .events
            .get_mut(place)
            .filter(|h| h.open && h.ticket == ticket);
        match held.filter(|h| host.copy.is_some() && !h.mark().is_empty()) {
            Some(held) => held.ticket = NO_CLIENT,
            None => self.client_abandoned(place, ticket),
        }
    }
}

pub struct Gateway<N: Net> {
    core: IngressContext<N>,
    doors: Vec<Box<dyn Ingress<N>>>,
    owners: Vec<(u32, Owner)>,
    listeners: Vec<Option<Listener>>,
    /// Those that are over: what they had accepted by then is still told.
    former: Vec<(Listener, usize)>,
    addresses: Vec<SocketAddr>,
    me: u64,
    roster: DiscoveryClient,
    /// Between the signal to stop and the end of taking: what a front still sends is taken.
    linger: Time,
    /// Before this it does not end.
    rests: Time,
    /// When something malformed was last named.
    complained: Option<Time>,
    shelf: Box<dyn EndpointCache>,
    unsaved: bool,
    port: Option<DatagramSocket>,
    name: String,
    pair: Option<Box<FailoverNode>>,
    ended: StopReason,
    /// Since when nothing is held, once that is asked for.
    empty: Option<Time>,
    watch: Option<EndpointWatcher>,
    /// The list changed and whoever watches it could not hear it.
    unheard: bool,
}

/// Hears of each change of the list of workers; false where it cannot now, and is told again later.
pub type EndpointWatcher = Box<dyn FnMut(&[EndpointRecord]) -> bool + Send>;

/// Where the list comes from, and the connection to it.
struct DiscoveryClient {
    feed: Box<dyn DiscoverySource>,
    conn: Option<Conn>,
    within: Time,
    attempts: u64,
    /// Something is asked of it that it owes an answer to by then.
    silence: Option<TimerId>,
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
    ) -> Result<Gateway<N>, String> {
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
    ) -> Result<Gateway<N>, String> {
        let now = net.now();
        // Where we listen may be another address than the one that others know us by.
        let at = start
            .peer_listen
            .or(start.peers.get(start.index).copied().flatten());
        let port = match at {
            None => None,
            Some(at) => Some(
                net.bind_datagram(at)
                    .map_err(|e| format!("{at}: datagrams: {e}"))?
                    .0,
            ),
        };
        let most_held = start.limits.max_requests;
        net.set_timer(now + LINKS, OF_LINKS);
        net.set_timer(now + COUNTS, OF_COUNTS);
        let mut carrier = WorkerPool::new(net, &start.settings, start.limits);
        (carrier.port, carrier.peers, carrier.me) = (port, start.peers, start.index);
        carrier.way = way;
        let choice = Scheduler::new(carrier, now, start.seed, start.settings)?;
        let roster = DiscoveryClient {
            feed,
            conn: None,
            within: start.discovery_retry,
            attempts: 0,
            silence: None,
        };
        let mut gateway = Gateway {
            core: IngressContext {
                choice,
                draining: false,
                leaving: false,
                standby: start.failover.is_some(),
                most_held,
                there: Default::default(),
            },
            doors: Vec::new(),
            owners: Vec::new(),
            listeners: Vec::new(),
            former: Vec::new(),
            addresses: Vec::new(),
            me: start.index as u64,
            roster,
            linger: 0,
            rests: 0,
            complained: None,
            shelf,
            unsaved: false,
            port,
            name: start.name,
            pair: None,
            ended: StopReason::Drained,
            empty: None,
            watch: None,
            unheard: false,
        };
        gateway.last_list();
        gateway.ask_roster();
        if let Some(peering) = start.failover {
            gateway.pair_up(peering)?;
        }
        Ok(gateway)
    }

    /// Opens a door; fails with a line that names the address.
    pub fn add_ingress(
        &mut self,
        at: SocketAddr,
        door: Box<dyn Ingress<N>>,
    ) -> Result<SocketAddr, String> {
        self.core
            .choice
            .host
            .waits_on
            .push(door.accepts_late_response());
        self.doors.push(door);
        self.addresses.push(at);
        self.listeners.push(None);
        let last = self.doors.len() - 1;
        // One of a pair listens when it serves.
        if self.pair.is_none() {
            self.listen(last).map_err(|e| format!("{at}: {e}"))?;
        }
        self.doors[last].started(&mut self.core);
        Ok(self.addresses[last])
    }

    fn listen(&mut self, door: usize) -> std::io::Result<()> {
        let (listener, at) = self.core.net().listen(self.addresses[door])?;
        (self.listeners[door], self.addresses[door]) = (Some(listener), at);
        info!(gateway = self.name, %at, "listens");
        Ok(())
    }

    /// Listens no more; what is connected stays.
    fn unlisten(&mut self) {
        self.former.clear();
        for (door, listener) in self.listeners.iter_mut().enumerate() {
            if let Some(listener) = listener.take() {
                self.core.choice.host.net.stop_listening(listener);
                self.former.push((listener, door));
            }
        }
    }

    /// Why the net was stopped.
    pub fn stop_reason(&self) -> StopReason {
        self.ended
    }

    pub fn counters(&self) -> &Counters {
        &self.core.choice.host.counts
    }

    /// How often it was tried to reach the roster.
    pub fn discovery_attempts(&self) -> u64 {
        self.roster.attempts
    }

    pub fn requests_in_flight(&self) -> usize {
        self.core.choice.host.held
    }

    /// Launches, orders and probes of which a worker's end is still awaited.
    pub fn calls_in_flight(&self) -> usize {
        self.core.choice.host.outs.len()
    }

    /// Connections to workers that stand or are being made.
    pub fn worker_connections(&self) -> usize {
        self.core.choice.host.links.len()
    }

    /// Takes no new events; when what is held has its answers the net is stopped. The second time it stops at
    /// once.
    pub fn drain(&mut self) {
        if self.leave() {
            return;
        }
        if std::mem::replace(&mut self.core.draining, true) {
            warn!(held = self.requests_in_flight(), "ends at once");
            return self.core.net().stop();
        }
        info!(held = self.requests_in_flight(), "drains");
        self.unlisten();
        self.rests = self.core.net().now() + REST;
        let at = self.rests;
        self.core.net().set_timer(at, OF_REST);
        self.rest();
    }

    fn rest(&mut self) {
        if self.requests_in_flight() > 0 {
            self.empty = None;
        }
        let rested = self.core.draining && self.core.net().now() >= self.rests;
        if rested && self.requests_in_flight() == 0 && !self.unread() {
            info!(counts = ?self.counters(), "drained");
            self.save_list();
            self.core.net().stop();
        }
    }

    /// Whether answers still wait to be read by clients that have not given up.
    pub(crate) fn unread(&mut self) -> bool {
        let now = self.core.net().now();
        let since = *self.empty.get_or_insert(now);
        let until = self.core.choice.host.last_until.min(since + LAST);
        let waits = |(place, (count, owner)): (usize, &(u32, Owner))| {
            matches!(owner, Owner::Ingress(_))
                && self.core.net_ref().unacknowledged(Conn::new(place, *count)) > 0
        };
        now < until && self.owners.iter().enumerate().any(waits)
    }

    fn own(&mut self, conn: Conn, owner: Owner) {
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
    fn settle(&mut self) {
        loop {
            let host = &mut self.core.choice.host;
            if let Some((conn, link)) = host.opened.pop() {
                self.own(conn, Owner::Worker(link));
            } else if let Some((key, count, outcome)) = host.known.pop_front() {
                // Its place may belong to another by now.
                if host.outs.get(key).is_some_and(|o| o.count == count) {
                    self.done(key, outcome, 0);
                    self.core.choice.host.unsent_over(key);
                }
            } else if let Some(given) = host.given.pop_front() {
                self.conclude(&given, &[]);
            } else if let Some(wk) = host.withdrawn.pop() {
                self.take_back(wk);
            } else if self.settle_pair() {
                // One more thing was done.
            } else if let Some(ticket) = self.core.choice.host.gone.pop_front() {
                let now = self.core.net().now();
                self.doors[ticket.ingress].request_expired(now, ticket);
            } else {
                break;
            }
        }
        self.rest();
    }

    /// A worker left or started anew: what has not left for it is to be decided again.
    fn take_back(&mut self, wk: usize) {
        for key in self.core.choice.host.not_sent(wk) {
            self.done(key, Outcome::Discarded, 0);
            self.core.choice.host.unsent_over(key);
        }
        self.cut_late(0);
    }

    /// Nothing leaves for a worker after the grace: its socket takes no more, so the connection ends instead.
    fn cut_late(&mut self, look: Time) {
        let now = self.core.net().now();
        for (link, conn) in self.core.choice.host.too_late(now, look) {
            warn!(
                worker = self
                    .core
                    .choice
                    .host
                    .workers
                    .resolve(self.core.choice.host.links[link].wk),
                "cut off: it drains and reads nothing"
            );
            self.core.net().reset(conn);
            self.own(conn, Owner::Nobody);
            self.link_over(link, CloseReason::Reset);
        }
    }

    /// One launch, order or probe is over.
    fn done(&mut self, key: usize, outcome: Outcome, count: u32) {
        let host = &mut self.core.choice.host;
        let Some(out) = host.outs.get_mut(key).filter(|o| !o.over) else {
            return;
        };
        let Call {
            task,
            wk,
            at,
            stood,
            ..
        } = *out;
        let now = host.net.now();
        // What passed while this process stood still is no evidence about a worker.
        let took = (now - at).saturating_sub(host.net.total_stall() - stood);
        host.finish(key);
        self.core.choice.advance_clock(now);
        match task {
            CallKind::Launch { evt, launch } => {
                let over = !self.core.choice.host.events[evt].open;
                let host = &self.core.choice.host;
                let worker = host.workers.resolve(wk);
                debug!(
                    event = host.events[evt].id,
                    launch,
                    worker,
                    ?outcome,
                    took,
                    "ended"
                );
                self.core.choice.host.copy_over(evt, launch, outcome);
                self.core
                    .choice
                    .attempt_ended(evt, launch, (outcome, took), over, count);
            }
            CallKind::Hold { img } => {
                let host = &self.core.choice.host;
                let (function, worker) = (host.functions.resolve(img), host.workers.resolve(wk));
                debug!(function, worker, ?outcome, count, took, "held");
                self.core.choice.load_request_ended(img, wk, outcome, count);
            }
            CallKind::Probe => self.core.choice.health_check_ended(wk, outcome),
            CallKind::Vote {
                voter,
                ballot,
                accepting,
            } => self.no_vote(voter, (ballot, accepting)),
        }
    }

    /// An answer that is not the decisions' own: handled, or the break of an answer that had begun.
    fn answer(&mut self, evt: usize, word: Disposition, payload: &[u8]) {
        let host = &mut self.core.choice.host;
        let Some((ticket, took)) = host.close(evt, None) else {
            return;
        };
        let past = host.too_late_for(evt, ticket) && host.events[evt].begun.is_none();
        if past && host.copy.is_none() {
            host.counts.overdue += 1;
            let now = host.net.now();
            return self.doors[ticket.ingress].request_expired(now, ticket);
        }
        match word {
            Disposition::Completed => host.counts.handled += 1,
            _ => host.counts.dead_lettered += 1,
        }
        debug!(
            event = host.events[evt].id,
            word = word.wire_text(),
            "answered"
        );
        self.conclude(
            &LocalResponse {
                evt,
                ticket,
                word,
                come_back: 0,
                took,
            },
            payload,
        );
    }

    /// An answer that had begun comes to no end: its launch was the event's last one, and nobody else may answer.
    fn broke_off(&mut self, task: CallKind) {
        if let CallKind::Launch { evt, launch } = task {
            if self.core.choice.host.events[evt].begun == Some(launch) {
                self.answer(evt, Disposition::Failed, &[]);
            }
        }
    }

    fn link_over(&mut self, link: usize, why: CloseReason) {
        let host = &mut self.core.choice.host;
        let gone = host.links.remove(link);
        let wk = gone.wk;
        host.wks[wk].links.retain(|l| *l != link);
        host.no_greeting(&gone);
        // The place may serve another connection before the last of these is over.
        gone.waiting
            .iter()
            .chain(&gone.sent)
            .for_each(|key| host.outs[*key].link = usize::MAX);
        if !gone.greeted {
            debug!(
                worker = host.workers.resolve(wk),
                ?why,
                waiting = gone.waiting.len(),
                "no connection"
            );
        }
        for key in gone.waiting {
            // Never sent: proven not run.
            self.done(key, Outcome::ConnectFailed, 0);
            self.core.choice.host.free(key);
        }
        for key in gone.sent {
            let out = self.core.choice.host.outs[key];
            if !out.over {
                self.broke_off(out.task);
            }
            self.done(key, Outcome::Reset, 0);
            self.core.choice.host.free(key);
        }
    }

    /// One message of a worker; none while it is not whole.
    fn heard(&mut self, link: usize, bytes: &[u8]) -> Result<Option<usize>, String> {
        let way = self.core.choice.host.way.clone();
        way.read_message(bytes, &mut Ears { gw: self, link })
    }

    /// One message of the list's source. What it asks next leaves with it.
    fn list_told(&mut self, conn: Conn, bytes: &[u8]) -> Result<Option<usize>, String> {
        let mut news = ReceivedUpdates::default();
        let read = self.roster.feed.read_message(bytes, &mut news)?;
        news.updates
            .iter()
            .for_each(|(entries, whole)| self.update_endpoints(entries, *whole));
        if read.is_some() {
            let mut out = Vec::new();
            if !self.roster.feed.write_next_poll(&mut out) {
                self.core.net().close(conn);
                self.own(conn, Owner::Nobody);
                self.quiet();
                self.ask_roster();
            } else if !out.is_empty() {
                self.core.net().write(conn, &out);
                self.listen_for();
            }
        }
        Ok(read)
    }

    /// Workers that are gone for good are forgotten, so that replaced machines do not add up. A pair's records name
    /// workers by their index, so there none is.
    fn forget_workers(&mut self) {
        if self.pair.is_some() {
            return;
        }
        for wk in self.core.choice.host.gone() {
            if self.core.choice.forget_worker(wk) {
                self.core.choice.host.forget_worker(wk);
            }
        }
    }

    /// Workers of which something is known.
    pub fn known_workers(&self) -> usize {
        self.core
            .choice
            .host
            .wks
            .iter()
            .filter(|w| w.known())
            .count()
    }

    /// Takes a list over, or changes of one.
    pub fn update_endpoints(&mut self, entries: &[EndpointRecord], whole: bool) {
        let host = &mut self.core.choice.host;
        let now = host.net.now();
        let entries: Vec<(usize, Endpoint)> = entries.iter().map(|e| host.listed(e)).collect();
        self.core.choice.advance_clock(now);
        self.core.choice.update_endpoints(&entries, whole);
        if whole {
            self.core.choice.host.only(&entries);
        }
        self.core.choice.host.share_out();
        self.unsaved();
        self.tell_list();
        // What is decided from now on knows the list: nothing of it is to be taken back for what the list said.
        self.settle();
    }

    /// The list is told from now on.
    pub fn watch_endpoints(&mut self, watch: EndpointWatcher) {
        self.watch = Some(watch);
        self.tell_list();
    }

    fn tell_list(&mut self) {
        if let Some(watch) = &mut self.watch {
            self.unheard = !watch(&self.core.choice.host.entries());
        }
    }

    /// The source of the list owes an answer from now on.
    fn listen_for(&mut self) {
        self.quiet();
        if let Some(patience) = self.roster.feed.silence_timeout() {
            let at = self.core.net().now() + patience;
            self.roster.silence = Some(self.core.net().set_timer(at, OF_SILENT));
        }
    }

    fn quiet(&mut self) {
        if let Some(d) = self.roster.silence.take() {
            self.core.net().cancel_timer(d);
        }
    }

    fn ask_roster(&mut self) {
        let (at, within) = (self.roster.feed.address(), self.roster.within);
        self.roster.attempts += 1;
        let conn = self.core.net().connect(at, within);
        self.own(conn, Owner::Discovery);
        self.roster.conn = Some(conn);
    }

    /// The last list holds; the decisions hear that news may be missing, and it is asked for anew.
    fn roster_over(&mut self, why: CloseReason) {
        warn!(?why, at = %self.roster.feed.address(), "no roster");
        self.roster.conn = None;
        self.quiet();
        self.core.choice.host.roster = None;
        let now = self.core.net().now();
        let wait = self.roster.feed.retry_delay();
        self.core.net().set_timer(now + wait, OF_ROSTER);
        self.core.choice.advance_clock(now);
        self.core.choice.endpoint_update_failed();
    }

    fn unsaved(&mut self) {
        if !std::mem::replace(&mut self.unsaved, true) {
            let now = self.core.net().now();
            self.core.net().set_timer(now + SHELF, OF_SHELF);
        }
    }

    fn save_list(&mut self) {
        if std::mem::take(&mut self.unsaved) {
            let entries = self.core.choice.host.entries();
            if let Err(e) = self.shelf.write(&endpoints::encode(&entries)) {
                warn!(error = %e, "the last list was not kept");
                // A disk that was full may have room by then.
                self.unsaved = true;
                let again = self.core.net().now() + 10 * SHELF;
                self.core.net().set_timer(again, OF_SHELF);
            }
        }
    }

    fn last_list(&mut self) {
        let entries = match self.shelf.read() {
            Ok(None) => Vec::new(),
            Ok(Some((bytes, age))) => endpoints::decode(&bytes, age).unwrap_or_else(|e| {
                warn!(error = e, "the last list is not used");
                Vec::new()
            }),
            Err(e) => {
                warn!(error = %e, "the last list cannot be read");
                Vec::new()
            }
        };
        let host = &mut self.core.choice.host;
        let listed: Vec<_> = entries
            .iter()
            .map(|e: &EndpointRecord| host.listed(e))
            .collect();
        info!(workers = listed.len(), "last list");
        self.core.choice.update_endpoints(&listed, true);
    }

    /// Reads messages and hands each on; a malformed one ends the connection with a word why.
    fn frames(&mut self, conn: Conn, bytes: &[u8], owner: Owner) -> usize {
        let mut used = 0;
        while self.owner(conn) == owner {
            let rest = &bytes[used..];
            let told = match owner {
                Owner::Worker(link) => self.heard(link, rest),
                Owner::Discovery => self.list_told(conn, rest),
                _ => wire::frame(rest).and_then(|frame| {
                    let Some((body, len)) = frame else {
                        return Ok(None);
                    };
                    let fields = Fields::read(body)?;
                    match owner {
                        Owner::Peer => self.peer_frame(&fields)?,
                        _ => self.guest_frame(conn, &fields)?,
                    }
                    Ok(Some(len))
                }),
            };
            match told {
                Ok(None) => break,
                Ok(Some(len)) => used += len,
                Err(reason) => {
                    self.complain(
                        &reason,
                        match owner {
                            Owner::Worker(_) => "worker",
                            Owner::Discovery => "list",
                            _ => "gateway",
                        },
                    );
                    let mut out = Vec::new();
                    match owner {
                        Owner::Worker(_) => {
                            self.core.choice.host.way.write_error(&mut out, &reason)
                        }
                        Owner::Discovery => self.roster.feed.write_error(&mut out, &reason),
                        _ => wire::error(&mut out, &reason),
                    }
                    let host = &mut self.core.choice.host;
                    host.counts.malformed += 1;
                    host.net.write(conn, &out);
                    host.net.close(conn);
                    self.own(conn, Owner::Nobody);
                    match owner {
                        Owner::Worker(link) => self.link_over(link, CloseReason::Reset),
                        Owner::Peer => self.peer_over(),
                        Owner::Handshake => {}
                        _ => self.roster_over(CloseReason::Reset),
                    }
                    return bytes.len();
                }
            }
            self.settle();
        }
        used
    }

    /// Names something malformed: one line a second at most, however fast it comes; the counts tell the rest.
    fn complain(&mut self, reason: &str, what: &str) {
        const APART: Time = 10_000;
        let now = self.core.net().now();
        if self.complained.is_none_or(|at| now >= at + APART) {
            self.complained = Some(now);
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
        self.linger = span;
    }
}

/// What a worker says on one of its connections, as the gateway hears it.
struct Ears<'a, N: Net> {
    gw: &'a mut Gateway<N>,
    link: usize,
}

impl<N: Net> Ears<'_, N> {
    fn host(&mut self) -> &mut WorkerPool<N> {
        &mut self.gw.core.choice.host
    }

    fn wk(&self) -> usize {
        self.gw.core.choice.host.links[self.link].wk
    }
}

impl<N: Net> WorkerEvents for Ears<'_, N> {
    fn has_greeted(&self) -> bool {
        self.gw.core.choice.host.links[self.link].greeted
    }

    fn greeted(&mut self, role: &str, name: &str, life: u64, age: Time) -> Result<(), String> {
        let wk = self.wk();
        let host = self.host();
        let now = host.net.now();
        if role != "worker" || name != host.workers.resolve(wk) {
            // Another one has come to live at this address: nothing was sent, so nothing has run.
            return Err(format!(
                "field name: {role} {name} answers for {}",
                host.workers.resolve(wk)
            ));
        }
        let known = host.known_life(wk);
        if known.is_some_and(|k| life > k) {
            // It restarted before the roster told.
            debug!(worker = name, life, age, "started anew");
            if let Some(entry) = host.restarted(wk, life, age) {
                self.gw.core.choice.advance_clock(now);
                self.gw.core.choice.update_endpoints(&[(wk, entry)], false);
            }
            while let Some(wk) = self.host().withdrawn.pop() {
                self.gw.take_back(wk);
            }
        }
        let link = self.link;
        self.host().greeted(link);
        Ok(())
    }

    fn response_started(&mut self, name: CallName, payload: &[u8]) -> Result<(), String> {
        let link = self.link;
        let host = self.host();
        let now = host.net.now();
        let Some(key) = host.key(name, link)? else {
            return Ok(());
        };
        let CallKind::Launch { evt, launch } = host.outs[key].task else {
            return Ok(());
        };
        if host.outs[key].over || !host.events[evt].open || host.events[evt].begun.is_some() {
            return Ok(());
        }
        host.events[evt].begun = Some(launch);
        let ticket = host.events[evt].ticket;
        let gw = &mut *self.gw;
        if let Some(door) = gw.doors.get_mut(ticket.ingress) {
            door.response_started(&mut gw.core.choice.host.net, ticket, payload);
        }
        gw.core.choice.advance_clock(now);
        gw.core.choice.response_started(evt, launch);
        Ok(())
    }

    fn attempt_ended(
        &mut self,
        name: CallName,
        outcome: Outcome,
        note: u32,
        payload: &[u8],
    ) -> Result<(), String> {
        let link = self.link;
        let host = self.host();
        let Some(key) = host.key(name, link)? else {
            return Ok(());
        };
        if let CallKind::Launch { evt, .. } = host.outs[key].task {
            if !host.outs[key].over && outcome == Outcome::Ok {
                // The first good answer is the client's at once.
                self.gw.answer(evt, Disposition::Completed, payload);
            }
            self.gw.done(key, outcome, note);
            self.host().free(key);
        }
        Ok(())
    }

    fn load_request_ended(
        &mut self,
        name: CallName,
        outcome: Outcome,
        copies: u32,
    ) -> Result<(), String> {
        let link = self.link;
        let host = self.host();
        let Some(key) = host.key(name, link)? else {
            return Ok(());
        };
        if matches!(host.outs[key].task, CallKind::Hold { .. }) {
            self.gw.done(key, outcome, copies);
            self.host().free(key);
        }
        Ok(())
    }

    fn health_check_ended(&mut self, name: CallName, well: bool) -> Result<(), String> {
        let link = self.link;
        let host = self.host();
        let Some(key) = host.key(name, link)? else {
            return Ok(());
        };
        if matches!(host.outs[key].task, CallKind::Probe) {
            self.gw
                .done(key, if well { Outcome::Ok } else { Outcome::Error }, 0);
            self.host().free(key);
        }
        Ok(())
    }

    fn load_reported(&mut self, in_flight: f64, busy: f64) {
        let wk = self.wk();
        let now = self.host().net.now();
        self.gw.core.choice.advance_clock(now);
        self.gw.core.choice.load_reported(wk, in_flight, busy);
    }

    fn vote_received(&mut self, fields: &Fields) -> Result<(), String> {
        let wk = self.wk();
        self.gw.promised(self.link, wk, fields)
    }

    fn epoch_rejected(&mut self) {
        self.gw.fenced();
    }

    fn draining(&mut self) {
        let wk = self.wk();
        let host = self.host();
        let now = host.net.now();
        debug!(worker = host.workers.resolve(wk), "drains");
        if let Some(entry) = host.drains(wk) {
            self.gw.core.choice.advance_clock(now);
            self.gw.core.choice.update_endpoints(&[(wk, entry)], false);
            self.gw.unsaved();
        }
    }

    fn error_reported(&mut self, reason: &str) {
        let wk = self.wk();
        warn!(worker = self.host().workers.resolve(wk), reason, "told");
    }
}

impl<N: Net> App for Gateway<N> {
    type Net = N;

    fn net(&mut self) -> &mut N {
        self.core.net()
    }

    fn accepted(&mut self, listener: Listener, conn: Conn, _from: SocketAddr) {
        let door = self.listeners.iter().position(|l| *l == Some(listener));
        let former = || self.former.iter().find(|f| f.0 == listener).map(|f| f.1);
        if let Some(door) = door.or_else(former) {
            self.own(conn, Owner::Ingress(door));
            self.doors[door].accepted(&mut self.core, conn);
        } else if self
            .pair
            .as_ref()
            .is_some_and(|p| p.listener() == Some(listener))
        {
            self.own(conn, Owner::Handshake);
        }
    }

    fn connected(&mut self, conn: Conn) {
        if self.owner(conn) == Owner::Handshake {
            return self.link_made(conn);
        }
        let mut out = Vec::new();
        let member = self.pair.as_ref().map_or(0, |p| p.member() as u64 + 1);
        let me = LocalIdentity {
            name: &self.name,
            index: self.me,
            failover_member: member,
        };
        let host = &mut self.core.choice.host;
        if self.roster.conn == Some(conn) {
            if self.roster.feed.is_native() {
                host.roster = Some(conn);
            }
            self.roster
                .feed
                .write_subscription(&mut out, &me, host.follows);
            host.net.write(conn, &out);
            self.listen_for();
        } else if let Owner::Worker(link) = self.owner(conn) {
            let host = &mut self.core.choice.host;
            host.way.write_greeting(&mut out, &me);
            if !out.is_empty() {
                host.net.write(conn, &out);
                host.links[link].written += out.len();
            }
            if !host.way.requires_greeting() {
                host.greeted(link);
                self.settle();
            }
        }
    }

    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let used = match self.owner(conn) {
            Owner::Nobody => bytes.len(),
            Owner::Ingress(door) => self.doors[door].received(&mut self.core, conn, bytes),
            owner => {
                if let Owner::Worker(link) = owner {
                    self.core.choice.host.heard(link);
                }
                let used = self.frames(conn, bytes, owner);
                if let Owner::Worker(link) = self.owner(conn) {
                    self.core.choice.host.left_over(link, used < bytes.len());
                }
                if owner == Owner::Peer {
                    self.record();
                }
                used
            }
        };
        self.settle();
        used
    }

    fn writable(&mut self, conn: Conn) {
        match self.owner(conn) {
            Owner::Ingress(door) => self.doors[door].writable(&mut self.core, conn),
            Owner::Worker(link) => {
                self.core.choice.host.drained(link);
                self.wakeup_ended();
            }
            _ => {}
        }
    }

    fn wakeup_ended(&mut self) {
        while self.core.choice.host.leave() {
            self.settle();
        }
    }

    fn closed(&mut self, conn: Conn, why: CloseReason) {
        match self.owner(conn) {
            Owner::Nobody => {}
            Owner::Ingress(door) => self.doors[door].closed(&mut self.core, conn),
            Owner::Worker(link) => self.link_over(link, why),
            Owner::Discovery => self.roster_over(why),
            Owner::Peer => self.peer_over(),
            Owner::Handshake => self.guest_over(conn),
        }
        self.own(conn, Owner::Nobody);
        self.settle();
    }

    fn datagram_received(&mut self, port: DatagramSocket, from: SocketAddr, bytes: &[u8]) {
        if self.pair.as_ref().is_some_and(|p| p.port() == Some(port)) {
            self.advertised(from, bytes);
            return self.settle();
        }
        if self.port != Some(port) {
            return;
        }
        let host = &mut self.core.choice.host;
        let from = host
            .peers
            .iter()
            .position(|p| *p == Some(from))
            .map(|p| p as u32);
        match host.way.clone().read_peer_datagram(from, bytes) {
            Ok((peer, payload)) => {
                let now = host.net.now();
                self.core.choice.advance_clock(now);
                self.core.choice.peer_message_received(peer, payload);
                self.settle();
            }
            Err(reason) => {
                host.counts.malformed += 1;
                self.complain(&reason, "datagram");
            }
        }
    }

    fn timer_fired(&mut self, token: u64) {
        let now = self.core.net().now();
        match token & OF_WHAT {
            OF_CHOICE => {
                self.core.choice.advance_clock(now);
                self.core.choice.timer_fired(token & !OF_WHAT);
            }
            OF_OUT => {
                if let Some(key) = self.core.choice.host.late((token & !OF_WHAT) as usize) {
                    let Call { sent, task, .. } = self.core.choice.host.outs[key];
                    self.broke_off(task);
                    self.core.choice.host.give_up(key);
                    // What still waited for a connection is proven not run.
                    self.done(
                        key,
                        if sent {
                            Outcome::TimedOut
                        } else {
                            Outcome::ConnectFailed
                        },
                        0,
                    );
                    self.core.choice.host.unsent_over(key);
                }
            }
            OF_ROSTER if self.roster.conn.is_none() => self.ask_roster(),
            // It was asked meanwhile.
            OF_ROSTER => {}
            OF_SILENT => {
                self.roster.silence = None;
                if let Some(conn) = self.roster.conn {
                    self.core.net().reset(conn);
                    self.own(conn, Owner::Nobody);
                    self.roster_over(CloseReason::TimedOut);
                }
            }
            OF_LEAVE => self.drain(),
            // What is owed by then is looked at behind each wake-up.
            OF_REST => {}
            OF_GREETING => {
                // It accepts and says nothing, as a hung process does: no connection in time.
                let link = (token & !OF_WHAT) as usize;
                if let Some(conn) = self.core.choice.host.ungreeted(link) {
                    self.core.net().reset(conn);
                    self.own(conn, Owner::Nobody);
                    self.link_over(link, CloseReason::TimedOut);
                }
            }
            OF_LINKS => {
                self.core.net().set_timer(now + LINKS, OF_LINKS);
                if self.unheard {
                    self.tell_list();
                }
                self.cut_late(LINKS);
                for (link, conn) in self.core.choice.host.stuck(now) {
                    warn!(link, "cut off: an answer stopped half-way");
                    self.core.net().reset(conn);
                    self.own(conn, Owner::Nobody);
                    self.link_over(link, CloseReason::Reset);
                }
                for (link, conn) in self.core.choice.host.idle(now) {
                    self.core.net().close(conn);
                    self.own(conn, Owner::Nobody);
                    self.link_over(link, CloseReason::Ended);
                }
            }
            OF_DOOR => {
                if let Some(door) = self.doors.get_mut((token & !OF_WHAT) as usize) {
                    door.timer_fired(&mut self.core);
                }
            }
            OF_SHELF => self.save_list(),
            OF_PAIR => self.pair_tick(),
            OF_VRRP => self.vrrp_due(),
            OF_COUNTS => {
                self.forget_workers();
                self.core.net().set_timer(now + COUNTS, OF_COUNTS);
                info!(counts = ?self.counters(), held = self.requests_in_flight(), "counts");
            }
            _ => error!(token, "a deadline of nobody"),
        }
        self.settle();
    }

    fn signal_received(&mut self, signal: i32) {
        if signal == HANG_UP {
            if self.roster.feed.reload() {
                info!(at = %self.roster.feed.address(), "the list comes from elsewhere now");
                if let Some(conn) = self.roster.conn.take() {
                    self.core.net().reset(conn);
                    self.own(conn, Owner::Nobody);
                }
                self.quiet();
                self.ask_roster();
            }
            return;
        }
        if self.linger > 0 && !self.core.is_shutting_down() {
            self.core.leaving = true;
            info!(held = self.requests_in_flight(), "told to stop");
            let at = self.core.net().now() + self.linger;
            self.core.net().set_timer(at, OF_LEAVE);
            return;
        }
        self.drain();
    }
}

/// The number of SIGHUP (POSIX: 1 on every system of today).
const HANG_UP: i32 = 1;

/// Where an entry's standing is told by a word.
pub(crate) fn standing(word: &str) -> Result<EndpointState, String> {
    Ok(match word {
        "on" => EndpointState::Active,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Removed,
        other => return Err(format!("field standing: '{other}' is no standing")),
    })
}
