//! One of a pair of gateways behind one address: VRRP datagrams, the link to the other member, the copy of what that one
//! has in hand, and the voters' answers. `tidewall-failover` decides; this carries out.
pub mod replicator;

use crate::ingress::{Disposition, IncomingRequest, ReplyHandle, Response, NO_CLIENT};
use crate::protocol::CallName;
use crate::worker_pool::{CallKind, LocalResponse};
use crate::{Gateway, IngressContext, Owner, OF_PAIR, OF_VRRP};
use replicator::{remember, taken, word, DeferredAction, PendingResponse, Replicator};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use tidewall::interface::EndpointState;
use tidewall_failover::deduplication::RequestLocation;
use tidewall_failover::leadership::{Leadership, LeadershipAcceptor};
use tidewall_failover::load_request_limit::LoadRequestLimiter;
use tidewall_failover::proposal::{epoch_number, ProposalPhase, ProposerTransport, ReplyTo};
use tidewall_failover::recovery::{
    self, recovery_action, unrecorded_retry_action, RecoveryAction, RetrySafety,
    UnrecordedRetryAction,
};
use tidewall_failover::role::{self, Role, RoleStateMachine};
use tidewall_net::{Conn, DatagramSocket, Listener, Net, Time, TimerId};
use tidewall_vrrp::packet::{self, AdvertisementPacket, Keys, PacketError, ReplayGuard};
use tidewall_vrrp::{Parameters, Router, CENTISECOND};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame};
use tracing::{info, warn};

/// What a member of a pair is told at start.
pub struct FailoverConfig {
    pub name: String,
    pub peer_name: String,
    /// Rises with each start of this member.
    pub incarnation: u64,
    pub vrid: u8,
    pub priority: u8,
    /// Centiseconds.
    pub interval: u16,
    pub preempt: bool,
    pub vrrp_address: SocketAddr,
    pub peer_vrrp_address: SocketAddr,
    pub link_address: SocketAddr,
    pub peer_link_address: SocketAddr,
    /// The address that clients know.
    pub shared_address: SocketAddr,
    /// Asked again and again, so that keys change without a pause.
    pub keys: Box<dyn Fn() -> Keys>,
    pub voters: Vec<String>,
    pub retry_safety: Vec<RetrySafety>,
    pub retention: Vec<Time>,
    pub allows_hedging: bool,
    /// Window, free orders, and orders for each event taken.
    pub load_request_limit: (Time, f64, f64),
    /// Settings that both must have, a line each.
    pub shared_settings: Vec<String>,
    /// False only where the audit is to notice that nothing goes to the other member.
    pub replicates: bool,
}

/// Why a gateway's net was stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    Drained,
    /// It is to start anew: another member serves.
    Restart,
}

/// An event that the other member has in hand.
struct ReplicatedRequest {
    id: u64,
    typ: usize,
    tenant: Option<usize>,
    function: String,
    lanes: u32,
    memory: f64,
    hint: Time,
    load_hint: Time,
    until: Time,
    mark: Vec<u8>,
    payload: Vec<u8>,
    launches: Vec<recovery::Attempt>,
    /// Who asked us for it.
    tickets: Vec<(ReplyHandle, Time)>,
}

/// How far a copy has come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SnapshotCursor {
    Off,
    Events(usize),
    Answers(usize),
    /// All was told, up to this update.
    Finished(u64),
}

struct Parts {
    at: FailoverConfig,
    me: usize,
    router: Router,
    keys: Keys,
    guard: ReplayGuard,
    port: Option<DatagramSocket>,
    listener: Option<Listener>,
    /// Advertisements sent, for the replay guard of the other one.
    number: u64,
    timer: Option<TimerId>,
    /// What VRRP said meanwhile.
    wanted: Option<bool>,
    dialing: Option<Conn>,
    heard: Time,
    stood: Time,
    vrrp_stood: Time,
    theirs: Vec<Option<ReplicatedRequest>>,
    /// We continue what the other one had: those that still await a fence.
    adopting: bool,
    /// Updates that came over this link, and those that we said are recorded.
    got: u64,
    recorded: u64,
    cursor: SnapshotCursor,
    /// When waiting began, so many updates were on their way.
    began: u64,
    fenced: Vec<bool>,
    /// Doors that could not listen yet.
    unopened: bool,
    ticks: u64,
    bad: u64,
    bad_told: Time,
    disagrees: Option<String>,
    leaving: bool,
}

pub struct FailoverNode {
    seat: RoleStateMachine,
    parts: Parts,
}

impl FailoverNode {
    pub fn member(&self) -> usize {
        self.parts.me
    }

    pub fn listener(&self) -> Option<Listener> {
        self.parts.listener
    }

    pub fn port(&self) -> Option<DatagramSocket> {
        self.parts.port
    }

    pub fn state(&self) -> Role {
        self.seat.state()
    }
}

/// So many ticks in an advertisement interval: what is late by one is late by little.
const TICKS: Time = 4;

/// No word on the link for so many intervals: the other member is gone. As VRRP counts (RFC 9568, 6.1).
const SILENT: Time = 3;

/// So much of a copy may wait in the link's buffer: a quarter of its bound, so that updates find room.
const COPY_AHEAD: usize = 512 << 10;

/// Keys are read again after so many ticks, and unfenced workers are asked again after so many.
const KEYS: u64 = 40;
const FENCE: u64 = 4;

/// Whoever asks for what may still be out somewhere is to come back after this: a few round trips to the workers.
const UNFENCED: Time = 500;

/// Bad advertisements are logged this often at most.
const BAD: Time = 10_000;

/// VRRP's acting: datagrams, one timer, and a word when the addresses come or go.
struct Vrrp<'a, N: Net> {
    net: &'a mut N,
    at: &'a FailoverConfig,
    keys: &'a Keys,
    port: Option<DatagramSocket>,
    number: &'a mut u64,
    timer: &'a mut Option<TimerId>,
    wanted: &'a mut Option<bool>,
}

impl<N: Net> tidewall_vrrp::VrrpActions for Vrrp<'_, N> {
    fn advertise(&mut self, vrid: u8, priority: u8, interval: u16) {
        let Some(port) = self.port else { return };
        *self.number += 1;
        let mut out = Vec::new();
        let addresses = [v4(self.at.shared_address)];
        AdvertisementPacket {
            vrid,
            priority,
            interval,
            addresses: (&addresses[..]).into(),
            sequence: *self.number,
        }
        .encode(self.keys, &mut out);
        self.net
            .send_datagram(port, self.at.peer_vrrp_address, &out);
    }

    fn set_timer(&mut self, _vrid: u8, wait: Time) {
        if let Some(d) = self.timer.take() {
            self.net.cancel_timer(d);
        }
        let at = self.net.now() + wait;
        *self.timer = Some(self.net.set_timer(at, OF_VRRP));
    }

    fn cancel_timer(&mut self, _vrid: u8) {
        if let Some(d) = self.timer.take() {
            self.net.cancel_timer(d);
        }
    }

    fn become_active(&mut self, _vrid: u8, _accept: bool) {
        *self.wanted = Some(true);
    }

    fn become_backup(&mut self, _vrid: u8) {
        *self.wanted = Some(false);
    }
}

fn v4(at: SocketAddr) -> Ipv4Addr {
    match at.ip() {
        IpAddr::V4(ip) => ip,
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    }
}

impl Parts {
    fn vrrp<N: Net>(&mut self, net: &mut N, f: impl FnOnce(&mut Router, &mut Vrrp<N>)) {
        let Parts {
            at,
            router,
            keys,
            port,
            number,
            timer,
            wanted,
            ..
        } = self;
        f(
            router,
            &mut Vrrp {
                net,
                at,
                keys,
                port: *port,
                number,
                timer,
                wanted,
            },
        );
    }
}

/// The seat's acting, on the gateway that it was taken out of.
struct Acting<'a, N: Net> {
    gw: &'a mut Gateway<N>,
    parts: &'a mut Parts,
}

impl<N: Net> Acting<'_, N> {
    fn copy(&mut self) -> &mut Replicator {
        self.gw
            .core
            .choice
            .host
            .copy
            .as_mut()
            .expect("a pair copies")
    }

    fn ask(&mut self, voter: Option<usize>, wk: Option<usize>, ballot: u64, accepting: bool) {
        let host = &mut self.gw.core.choice.host;
        let within = host.net.now() + SILENT * Time::from(self.parts.at.interval) * CENTISECOND;
        match (wk.filter(|wk| host.reachable(*wk)), voter) {
            (Some(wk), _) => {
                let key = host.out(
                    CallKind::Vote {
                        voter,
                        ballot,
                        accepting,
                    },
                    wk,
                    0,
                    within,
                );
                host.ride(key);
            }
            (None, Some(voter)) => self.copy().unheard.push_back((voter, (ballot, accepting))),
            _ => {}
        }
    }

    fn voter(&self, voter: usize) -> Option<usize> {
        self.gw
            .core
            .choice
            .host
            .workers
            .get(&self.parts.at.voters[voter])
    }

    /// All workers hear who serves, not only the voters.
    fn spread(&mut self, claim: Leadership) {
        self.copy().claim = claim;
        let all = self.gw.core.choice.host.wks.len();
        self.parts.fenced.resize(all, false);
        for wk in 0..all {
            if !self.parts.fenced[wk] {
                self.ask(None, Some(wk), claim.epoch, true);
            }
        }
    }
}

impl<N: Net> ProposerTransport<Leadership> for Acting<'_, N> {
    fn prepare(&mut self, voter: usize, ballot: u64) {
        let wk = self.voter(voter);
        self.ask(Some(voter), wk, ballot, false);
    }

    fn accept(&mut self, voter: usize, claim: Leadership) {
        self.copy().claim = claim;
        let wk = self.voter(voter);
        self.ask(Some(voter), wk, claim.epoch, true);
    }
}

impl<N: Net> role::RoleActions for Acting<'_, N> {
    fn set_vrrp_enabled(&mut self, on: bool) {
        let net = &mut self.gw.core.choice.host.net;
        self.parts.vrrp(net, |router, act| {
            if on {
                router.startup(act)
            } else {
                router.shutdown(act)
            }
        });
        if !on {
            // The seat knows already.
            self.parts.wanted = None;
        }
    }

    fn start_serving(&mut self, claim: Leadership, adopt: bool, forgot: bool) {
        info!(epoch = epoch_number(claim.epoch), adopt, forgot, "serves");
        let now = self.gw.core.net().now();
        let longest = self.parts.at.retention.iter().max().copied().unwrap_or(0);
        self.copy().forgot = if forgot { now + longest } else { 0 };
        self.copy().epoch = claim.epoch;
        self.gw.core.standby = false;
        self.parts.fenced.clear();
        self.gw.listen_all(self.parts);
        self.spread(claim);
        if adopt {
            self.parts.adopting = true;
            self.gw.adopt(self.parts);
        }
    }

    fn leadership_renewed(&mut self, claim: Leadership, adopt: bool) {
        info!(epoch = epoch_number(claim.epoch), sync = ?claim.synced_incarnations, "claim renewed");
        self.copy().epoch = claim.epoch;
        if claim.fencing_floor == claim.epoch {
            self.parts.fenced.clear();
        }
        self.spread(claim);
        if adopt {
            self.parts.adopting = true;
            self.gw.adopt(self.parts);
        }
    }

    fn stop_accepting(&mut self) {
        info!(held = self.gw.requests_in_flight(), "retires");
        self.gw.core.standby = true;
        self.gw.unlisten();
    }

    fn set_replication_wait(&mut self, on: bool) {
        let copy = self.copy();
        copy.waits = on;
        self.parts.began = copy.seq;
    }

    fn start_replication(&mut self, new: bool) {
        let host = &mut self.gw.core.choice.host;
        let Some(copy) = &mut host.copy else { return };
        (copy.on, copy.base, copy.acked) = (true, copy.seq - copy.sent, copy.seq);
        copy.unsure = !new;
        copy.tell(&mut host.net, kind::COPY, |f| f.flag(Field::On, new).end());
        self.parts.cursor = if new {
            SnapshotCursor::Off
        } else {
            SnapshotCursor::Events(0)
        };
        self.parts.began = copy.seq;
        self.gw.pump(self.parts);
    }

    fn request_step_down(&mut self) {
        let host = &mut self.gw.core.choice.host;
        if let Some(copy) = &mut host.copy {
            copy.say(&mut host.net, kind::YIELD, |f| f.end());
        }
    }

    fn confirm_step_down(&mut self) {
        let host = &mut self.gw.core.choice.host;
        if let Some(copy) = &mut host.copy {
            copy.say(&mut host.net, kind::YIELDED, |f| f.end());
        }
    }

    fn restart_process(&mut self, why: &'static str) {
        warn!(why, "starts anew");
        if !self.parts.leaving {
            self.gw.ended = StopReason::Restart;
        }
        self.gw.core.net().stop();
    }

    fn exit_process(&mut self) {
        self.gw.save_list();
        self.gw.core.net().stop();
    }
}

impl<N: Net> IngressContext<N> {
    /// One of a pair may know this event: in hand, here or at the other member, or answered.
    pub(crate) fn again(&mut self, event: &IncomingRequest) -> Option<usize> {
        let host = &mut self.choice.host;
        let now = host.net.now();
        let copy = host.copy.as_mut()?;
        let until = now + event.remaining;
        if event.is_retry
            && now < copy.forgot
            && copy
                .known
                .lookup(now, event.class, event.idempotency_key)
                .is_none()
        {
            let kind = copy.kind(event.class);
            let word = match unrecorded_retry_action(kind, copy.two_at_once, copy.fenced_all) {
                UnrecordedRetryAction::Schedule => None,
                UnrecordedRetryAction::Reject => Some(Disposition::Rejected),
                UnrecordedRetryAction::Fail => Some(Disposition::Failed),
            };
            if let Some(word) = word {
                remember(copy, now, event.class, event.idempotency_key, word, &[]);
                let mut due = copy.due();
                due.tickets.push((event.reply_handle, until));
                (due.word, due.come_back) = (Some(word), UNFENCED);
                copy.replays.push_back(due);
                return Some(usize::MAX);
            }
        }
        if event.idempotency_key.is_empty() {
            return None;
        }
        match copy.known.lookup(now, event.class, event.idempotency_key)? {
            RequestLocation::Local(place) => {
                let place = *place;
                copy.joined.push(place);
                host.events[place].more.push((event.reply_handle, until));
                Some(place)
            }
            RequestLocation::Remote(at) => {
                self.there.push_back((*at, event.reply_handle, until));
                Some(usize::MAX)
            }
            RequestLocation::Responded {
                disposition: number,
                payload,
            } => {
                let (number, payload) = (*number, payload.clone());
                let mut due = copy.due();
                due.tickets.push((event.reply_handle, until));
                due.word = Some(word(number));
                due.payload.extend_from_slice(&payload);
                copy.replays.push_back(due);
                Some(usize::MAX)
            }
        }
    }

    /// The epoch under which this gateway serves; 0 where it is not one of a pair.
    pub fn epoch(&self) -> u64 {
        self.choice.host.copy.as_ref().map_or(0, |c| c.epoch)
    }
}

impl<N: Net> Gateway<N> {
    pub(crate) fn pair_up(&mut self, at: FailoverConfig) -> Result<(), String> {
        let me = usize::from(at.name > at.peer_name);
        let now = self.core.net().now();
        let parameters = Parameters {
            vrid: at.vrid,
            priority: at.priority,
            interval: at.interval,
            preempt: at.preempt,
            accept: true,
            address: v4(at.vrrp_address),
        };
        let interval = Time::from(at.interval) * CENTISECOND;
        let net = self.core.net();
        let port = net
            .bind_datagram(at.vrrp_address)
            .map_err(|e| format!("{}: datagrams: {e}", at.vrrp_address))?
            .0;
        let listener = net
            .listen(at.link_address)
            .map_err(|e| format!("{}: {e}", at.link_address))?
            .0;
        net.set_timer(now + interval / TICKS, OF_PAIR);
        let ration = LoadRequestLimiter::new(
            at.load_request_limit.0,
            at.load_request_limit.1,
            at.load_request_limit.2,
        );
        let mut copy = Replicator::new(
            me,
            at.retry_safety.clone(),
            at.allows_hedging,
            at.retention.clone(),
            ration,
            at.replicates,
        );
        copy.silence = (SILENT + 1) * interval;
        self.core.choice.host.copy = Some(Box::new(copy));
        let stood = self.core.net().total_stall();
        let parts = Parts {
            me,
            router: Router::new(parameters)?,
            keys: (at.keys)(),
            guard: ReplayGuard::default(),
            port: Some(port),
            listener: Some(listener),
            // A start's numbers are above those of the one before, so long as lives are told in milliseconds.
            number: at.incarnation << 20,
            timer: None,
            wanted: None,
            dialing: None,
            heard: now,
            stood,
            vrrp_stood: stood,
            theirs: Vec::new(),
            adopting: false,
            got: 0,
            recorded: 0,
            cursor: SnapshotCursor::Off,
            began: 0,
            fenced: Vec::new(),
            unopened: false,
            ticks: 0,
            bad: 0,
            bad_told: 0,
            disagrees: None,
            leaving: false,
            at,
        };
        let seat = RoleStateMachine::new(
            me,
            parts.at.incarnation,
            parts.at.voters.len(),
            interval,
            now,
        );
        self.pair = Some(Box::new(FailoverNode { seat, parts }));
        Ok(())
    }

    /// What the seat does for one thing that happened, and what VRRP said meanwhile.
    fn with_seat(&mut self, f: impl FnOnce(&mut RoleStateMachine, Time, &mut Acting<N>)) {
        let Some(mut pair) = self.pair.take() else {
            return;
        };
        let now = self.core.net().now();
        let FailoverNode { seat, parts } = &mut *pair;
        f(seat, now, &mut Acting { gw: self, parts });
        while let Some(on) = parts.wanted.take() {
            if on {
                seat.vrrp_became_active(now, &mut Acting { gw: self, parts });
            } else {
                seat.vrrp_became_backup(now);
            }
        }
        self.pair = Some(pair);
    }

    /// Under which it serves; 0 where it never did.
    pub fn epoch(&self) -> u64 {
        self.core.epoch()
    }

    /// The first setting that the other member has otherwise.
    pub fn settings_mismatch(&self) -> Option<&str> {
        self.pair.as_ref()?.parts.disagrees.as_deref()
    }

    /// Advertisements that were ignored as malformed, forged or replayed.
    pub fn rejected_advertisements(&self) -> u64 {
        self.pair.as_ref().map_or(0, |p| p.parts.bad)
    }

    /// Launches and answers that wait for the other member's record.
    pub fn unreplicated(&self) -> usize {
        self.core
            .choice
            .host
            .copy
            .as_ref()
            .map_or(0, |c| c.waiting())
    }

    /// How this member of a pair stands.
    pub fn role(&self) -> Option<Role> {
        self.pair.as_ref().map(|p| p.state())
    }

    fn listen_all(&mut self, parts: &mut Parts) {
        parts.unopened = false;
        for door in 0..self.doors.len() {
            // The former owner of the address may still hold it: tried again with the next tick.
            if self.listeners[door].is_none() && self.listen(door).is_err() {
                parts.unopened = true;
            }
        }
    }

    pub(crate) fn pair_tick(&mut self) {
        let Some(pair) = &mut self.pair else { return };
        let interval = Time::from(pair.parts.at.interval) * CENTISECOND;
        let net = &mut self.core.choice.host.net;
        let now = net.now();
        net.set_timer(now + interval / TICKS, OF_PAIR);
        let parts = &mut pair.parts;
        parts.ticks += 1;
        if parts.ticks % KEYS == 0 {
            parts.keys = (parts.at.keys)();
        }
        // What passed while we stood still says nothing about the other one.
        if net.total_stall() > parts.stood {
            (parts.stood, parts.heard) = (net.total_stall(), now);
        }
        let counts = pair.seat.state().serves();
        let silent = now > parts.heard + SILENT * interval;
        let (member, retry) = (parts.me, parts.dialing.is_none());
        let (peer, epoch) = (parts.at.peer_link_address, pair.seat.epoch());
        let copy = self.core.choice.host.copy.as_mut().expect("a pair copies");
        match copy.conn {
            Some(conn) if silent || copy.slow(now) => {
                warn!(silent, "the other member is silent or too slow");
                pair.seat.peer_too_slow(now);
                self.core.choice.host.net.reset(conn);
                self.own(conn, Owner::Nobody);
                self.peer_over();
            }
            Some(_) => {
                let counted = if pair.seat.state() == Role::Replicating {
                    pair.seat.granted.synced_incarnations[1 - member]
                } else {
                    0
                };
                copy.say(&mut self.core.choice.host.net, kind::PING, |f| {
                    f.flag(Field::On, counts)
                        .whole(Field::SyncA, counted)
                        .whole(Field::Epoch, epoch)
                        .end()
                });
            }
            None if member == 1 && retry => {
                let conn = self.core.net().connect(peer, interval);
                self.own(conn, Owner::Handshake);
                if let Some(pair) = &mut self.pair {
                    pair.parts.dialing = Some(conn);
                }
            }
            None => {}
        }
        self.with_seat(|seat, now, act| {
            seat.tick(now, act);
            if act.parts.unopened {
                act.gw.listen_all(act.parts);
            }
            if seat.state() == Role::Synchronizing {
                let copy = act.copy();
                if copy.acked >= act.parts.began {
                    seat.replication_caught_up(act);
                }
            }
            act.gw.all_fenced(act.parts);
            let awaits = act.parts.adopting && act.parts.theirs.iter().any(Option::is_some);
            let forgot = now < act.copy().forgot && !act.copy().fenced_all;
            if seat.state().serves() && (awaits || forgot) {
                if act.parts.ticks % FENCE == 0 {
                    let claim = act.copy().claim;
                    act.spread(claim);
                }
                act.gw.adopt(act.parts);
            }
            act.gw.pump(act.parts);
            act.gw.impatient(act.parts);
        });
        if self
            .pair
            .as_ref()
            .is_some_and(|p| p.seat.exits_without_peer(now))
            && !self.core.draining
        {
            self.core.draining = true;
            self.unlisten();
        }
    }

    pub(crate) fn vrrp_due(&mut self) {
        self.with_seat(|_, _, act| {
            act.parts.timer = None;
            let net = &mut act.gw.core.choice.host.net;
            // What was not heard while we stood still says nothing of the other one.
            let stood =
                net.total_stall() > std::mem::replace(&mut act.parts.vrrp_stood, net.total_stall());
            act.parts.vrrp(net, |router, vrrp| {
                if stood && router.state() == tidewall_vrrp::State::Backup {
                    tidewall_vrrp::VrrpActions::set_timer(vrrp, 0, router.active_down_interval());
                } else {
                    router.timer_fired(vrrp);
                }
            });
        });
    }

    pub(crate) fn advertised(&mut self, from: SocketAddr, bytes: &[u8]) {
        self.with_seat(|_, now, act| {
            let parts = &mut *act.parts;
            let shared = [v4(parts.at.shared_address)];
            // The hash does not cover who sent it: a packet that was overheard must not come from elsewhere.
            let read = match v4(from) == v4(parts.at.peer_vrrp_address) {
                true => packet::receive(bytes, v4(from), &shared, &parts.keys, &mut parts.guard),
                false => Err(PacketError::UnexpectedSender),
            };
            match read {
                Ok(advertisement) if advertisement.vrid == parts.at.vrid => {
                    let net = &mut act.gw.core.choice.host.net;
                    parts.vrrp(net, |router, vrrp| {
                        router.advertisement_received(vrrp, advertisement)
                    });
                }
                Ok(_) => {}
                Err(error) => {
                    parts.bad += 1;
                    if now >= parts.bad_told + BAD || parts.bad_told == 0 {
                        parts.bad_told = now;
                        let reason = error.to_string();
                        warn!(reason, %from, so_far = parts.bad, "an advertisement is ignored");
                    }
                }
            }
        });
    }

    /// Told to go. False where it is to end as one gateway would.
    pub(crate) fn leave(&mut self) -> bool {
        match &mut self.pair {
            Some(pair) if !pair.parts.leaving => pair.parts.leaving = true,
            _ => return false,
        }
        let mut waits = false;
        self.with_seat(|seat, now, act| waits = seat.shutdown_requested(now, act));
        self.settle();
        waits
    }

    // The link.

    pub(crate) fn link_made(&mut self, conn: Conn) {
        let mut out = Vec::new();
        let Some(pair) = &self.pair else { return };
        let at = &pair.parts.at;
        let f = Frame::new(&mut out, kind::HELLO).whole(Field::Version, wire::VERSION);
        let f = f
            .text(Field::Role, "pair")
            .text(Field::Name, &at.name)
            .whole(Field::Life, at.incarnation);
        let f = f
            .flag(Field::On, pair.seat.state().serves())
            .whole(Field::Epoch, pair.seat.epoch());
        f.bytes(Field::Payload, at.shared_settings.join("\n").as_bytes())
            .end();
        self.core.net().write(conn, &out);
    }

    pub(crate) fn guest_over(&mut self, conn: Conn) {
        if let Some(pair) = self.pair.as_mut().filter(|p| p.parts.dialing == Some(conn)) {
            pair.parts.dialing = None;
        }
    }

    /// The first frame of a connection to the link's listener, or of the one that we dialled.
    pub(crate) fn guest_frame(&mut self, conn: Conn, fields: &Fields) -> Result<(), String> {
        match wire::greeted(fields)? {
            "status" => {
                self.status(conn);
                return Ok(());
            }
            "pair" => {}
            other => return Err(format!("field role: {other} is not heard here")),
        }
        let (name, life) = (fields.text(Field::Name)?, fields.whole(Field::Life)?);
        let (serves, epoch) = (
            fields.flag(Field::On)?,
            fields.upto(Field::Epoch, u64::MAX, 0)?,
        );
        let Some(pair) = &mut self.pair else {
            return Err("field role: no pair here".to_string());
        };
        if name != pair.parts.at.peer_name {
            return Err(format!("field name: {name} is not the other member"));
        }
        let theirs = String::from_utf8_lossy(fields.bytes(Field::Payload)?).into_owned();
        let differs = disagree(&pair.parts.at.shared_settings, &theirs);
        if pair.parts.dialing.take().is_none() {
            // They dialled: they hear who we are.
            self.link_made(conn);
        }
        if let Some(old) = self.core.choice.host.copy.as_ref().and_then(|c| c.conn) {
            self.core.net().reset(old);
            self.own(old, Owner::Nobody);
            self.peer_over();
        }
        let now = self.core.net().now();
        self.own(conn, Owner::Peer);
        if let Some(pair) = &mut self.pair {
            (pair.parts.got, pair.parts.recorded, pair.parts.heard) = (0, 0, now);
            // The lower priority keeps off, or the later name.
            let bar = differs.is_some() && pair.parts.me == 1;
            if let Some(line) = &differs {
                warn!(
                    setting = line,
                    refuses = bar,
                    "settings disagree with the other member's"
                );
            }
            pair.parts.disagrees = differs;
            pair.seat.set_ineligible(bar);
        }
        if let Some(copy) = &mut self.core.choice.host.copy {
            (copy.conn, copy.sent) = (Some(conn), 0);
        }
        info!(name, life, serves, "the other member is there");
        self.with_seat(|seat, now, act| seat.peer_connected(now, act, life, serves, epoch));
        Ok(())
    }

    pub(crate) fn peer_over(&mut self) {
        if let Some(copy) = &mut self.core.choice.host.copy {
            (copy.conn, copy.on, copy.broken) = (None, false, false);
        }
        if let Some(pair) = &mut self.pair {
            pair.parts.cursor = SnapshotCursor::Off;
        }
        warn!("the link to the other member is gone");
        self.with_seat(|seat, now, act| seat.peer_disconnected(now, act));
    }

    /// Tells the other member how much of what came is recorded.
    pub(crate) fn record(&mut self) {
        let Some(pair) = &mut self.pair else { return };
        let parts = &mut pair.parts;
        if parts.got > parts.recorded {
            parts.recorded = parts.got;
            let (host, got) = (&mut self.core.choice.host, parts.got);
            if let Some(copy) = &mut host.copy {
                copy.say(&mut host.net, kind::RECORDED, |f| {
                    f.whole(Field::Seq, got).end()
                });
            }
        }
    }

    pub(crate) fn peer_frame(&mut self, fields: &Fields) -> Result<(), String> {
        let now = self.core.net().now();
        let Some(pair) = &mut self.pair else {
            return Ok(());
        };
        pair.parts.heard = now;
        match fields.kind()? {
            kind::PING => {
                let counted = fields.upto(Field::SyncA, u64::MAX, 0)?;
                let (serves, counts) = (
                    fields.flag(Field::On)?,
                    counted == pair.parts.at.incarnation,
                );
                let epoch = fields.upto(Field::Epoch, u64::MAX, 0)?;
                self.with_seat(|seat, now, act| {
                    seat.peer_heartbeat(now, act, serves, counts, epoch)
                });
            }
            kind::RECORDED => {
                let seq = fields.whole(Field::Seq)?;
                let copy = self.core.choice.host.copy.as_mut().expect("a pair copies");
                if copy.base + seq > copy.seq {
                    return Err(format!("field seq: {seq} was never told"));
                }
                copy.acked = copy.acked.max(copy.base + seq);
                self.with_seat(|seat, now, act| {
                    act.gw.pump(act.parts);
                    let acked = act.copy().acked;
                    if let SnapshotCursor::Finished(all) = act.parts.cursor {
                        if acked >= all {
                            act.parts.cursor = SnapshotCursor::Off;
                            seat.snapshot_acknowledged(now, act);
                        }
                    }
                    if seat.state() == Role::Synchronizing && acked >= act.parts.began {
                        seat.replication_caught_up(act);
                    }
                });
            }
            kind::YIELD => self.with_seat(|seat, now, act| seat.step_down_requested(now, act)),
            kind::YIELDED => self.with_seat(|seat, now, act| seat.peer_stepped_down(now, act)),
            _ => {
                pair.parts.got += 1;
                return self.update(fields);
            }
        }
        Ok(())
    }

    /// One update of what the other member has in hand.
    fn update(&mut self, fields: &Fields) -> Result<(), String> {
        const PLACES: u64 = 1 << 24; // more events than a gateway may hold
        let host = &mut self.core.choice.host;
        let now = host.net.now();
        let (Some(pair), Some(copy)) = (&mut self.pair, &mut host.copy) else {
            return Ok(());
        };
        let parts = &mut pair.parts;
        let place = fields.upto(Field::Place, PLACES, PLACES)? as usize;
        let typ = |types: &[String]| -> Result<usize, String> {
            let name = fields.text(Field::Type)?;
            types
                .iter()
                .position(|t| t == name)
                .ok_or_else(|| format!("field type: '{name}' is unknown"))
        };
        match fields.kind()? {
            kind::COPY => {
                let new = fields.flag(Field::On)?;
                parts.theirs.clear();
                if !new {
                    copy.known.retain_local();
                }
            }
            kind::TAKEN => {
                let typ = typ(&host.types)?;
                let tenant = fields.word(Field::Tenant)?;
                let mark = fields.bytes(Field::Mark)?;
                let kept = ReplicatedRequest {
                    id: fields.whole(Field::Id)?,
                    typ,
                    tenant: host.tenants.iter().position(|t| t == tenant),
                    function: fields.text(Field::Function)?.to_string(),
                    lanes: fields.upto(Field::Lanes, 1000, 1)? as u32,
                    memory: fields.real(Field::Memory, 0.0)?,
                    hint: fields.upto(Field::Hint, u64::MAX >> 8, 0)?,
                    load_hint: fields.upto(Field::LoadHint, u64::MAX >> 8, 0)?,
                    until: now + fields.upto(Field::Left, u64::MAX >> 8, 0)?,
                    mark: mark.to_vec(),
                    payload: fields.bytes(Field::Payload)?.to_vec(),
                    launches: Vec::new(),
                    tickets: Vec::new(),
                };
                if parts.theirs.len() <= place {
                    parts.theirs.resize_with(place + 1, || None);
                }
                copy.ration.request_received(now);
                copy.known
                    .insert_in_flight(typ, mark, RequestLocation::Remote(place));
                parts.theirs[place] = Some(kept);
            }
            kind::LAUNCHED => {
                let wk = host.workers.intern(fields.text(Field::Name)?);
                if let Some(kept) = parts.theirs.get_mut(place).and_then(Option::as_mut) {
                    kept.launches.push(recovery::Attempt {
                        worker: wk,
                        sent_at: now,
                        state: recovery::AttemptState::InFlight,
                    });
                }
            }
            kind::OVER => {
                let launch = fields.whole(Field::Launch)? as usize;
                let proven = fields.flag(Field::On)?;
                let kept = parts.theirs.get_mut(place).and_then(Option::as_mut);
                if let Some(l) = kept.and_then(|k| k.launches.get_mut(launch)) {
                    l.state = if proven {
                        recovery::AttemptState::NotExecuted
                    } else {
                        recovery::AttemptState::MayHaveExecuted
                    };
                }
            }
            kind::ANSWERED => {
                let word = Disposition::from_wire(fields.text(Field::Word)?)?;
                let payload = fields.bytes(Field::Payload)?;
                let kept = parts.theirs.get_mut(place).and_then(Option::take);
                match (&kept, fields.has(Field::Type)) {
                    (Some(kept), false) => remember(copy, now, kept.typ, &kept.mark, word, payload),
                    (None, false) => {}
                    _ => remember(
                        copy,
                        now,
                        typ(&host.types)?,
                        fields.bytes(Field::Mark)?,
                        word,
                        payload,
                    ),
                }
                if let Some(kept) = kept.filter(|k| !k.tickets.is_empty()) {
                    let mut due = copy.due();
                    due.tickets = kept.tickets;
                    due.word = Some(word);
                    due.payload.extend_from_slice(payload);
                    copy.replays.push_back(due);
                }
            }
            kind::GONE => {
                if let Some(kept) = parts.theirs.get_mut(place).and_then(Option::take) {
                    let ran = kept
                        .launches
                        .iter()
                        .any(|l| l.state != recovery::AttemptState::NotExecuted);
                    if ran && copy.kind(kept.typ) != RetrySafety::Idempotent {
                        remember(copy, now, kept.typ, &kept.mark, Disposition::Failed, &[]);
                    } else {
                        copy.known.remove(kept.typ, &kept.mark);
                    }
                }
            }
            kind::ORDERED => {
                let age = fields.upto(Field::Age, u64::MAX >> 8, 0)?;
                copy.ration.load_requested(now.saturating_sub(age));
            }
            kind::COPIED => {}
            other => return Err(format!("field kind: {other} is not for a pair")),
        }
        Ok(())
    }

    /// Tells more of the copy, as far as the link takes it.
    fn pump(&mut self, parts: &mut Parts) {
        let host = &mut self.core.choice.host;
        let now = host.net.now();
        let Some(copy) = &mut host.copy else { return };
        let Some(conn) = copy.conn.filter(|_| copy.on) else {
            return;
        };
        while host.net.unsent(conn) < COPY_AHEAD && copy.on {
            match parts.cursor {
                SnapshotCursor::Events(place) if place < host.events.len() => {
                    parts.cursor = SnapshotCursor::Events(place + 1);
                    let held = &host.events[place];
                    if !held.open {
                        continue;
                    }
                    let function = host.functions.resolve(held.arrival().function);
                    copy.tell(&mut host.net, kind::TAKEN, |f| {
                        taken(f, place, held, &host.types, &host.tenants, function, now)
                    });
                    // As it stands: so many that may have run, wherever. Their places are those of the launches.
                    for (launch, wk, proven) in host.launches_of(place) {
                        let name = host.workers.resolve(wk).to_string();
                        let copy = host.copy.as_mut().expect("a pair copies");
                        copy.tell(&mut host.net, kind::LAUNCHED, |f| {
                            let f = f
                                .whole(Field::Place, place as u64)
                                .whole(Field::Launch, launch as u64);
                            f.text(Field::Name, &name).end();
                        });
                        if let Some(proven) = proven {
                            copy.tell(&mut host.net, kind::OVER, |f| {
                                let f = f.whole(Field::Place, place as u64);
                                f.whole(Field::Launch, launch as u64)
                                    .flag(Field::On, proven)
                                    .end();
                            });
                        }
                    }
                    return self.pump(parts);
                }
                SnapshotCursor::Events(_) => parts.cursor = SnapshotCursor::Answers(0),
                SnapshotCursor::Answers(from) => {
                    let copy = &mut **copy;
                    let Some((key, entry)) = copy.known.next_entry_from(from) else {
                        copy.tell(&mut host.net, kind::COPIED, |f| f.end());
                        parts.cursor = SnapshotCursor::Finished(copy.seq);
                        copy.unsure = false;
                        return;
                    };
                    parts.cursor = SnapshotCursor::Answers(key + 1);
                    if let RequestLocation::Responded {
                        disposition: number,
                        payload,
                    } = &entry.location
                    {
                        let (typ, mark, payload) =
                            (entry.class, entry.idempotency_key.clone(), payload.clone());
                        let text = word(*number).wire_text();
                        copy.tell(&mut host.net, kind::ANSWERED, |f| {
                            let f = f
                                .text(Field::Type, &host.types[typ])
                                .bytes(Field::Mark, &mark);
                            f.text(Field::Word, text)
                                .bytes(Field::Payload, &payload)
                                .end();
                        });
                    }
                }
                SnapshotCursor::Finished(_) | SnapshotCursor::Off => return,
            }
        }
    }

    /// Goes on with what the other member had in hand, as far as that may be.
    fn adopt(&mut self, parts: &mut Parts) {
        let now = self.core.net().now();
        let mut left = false;
        for place in 0..parts.theirs.len() {
            let host = &mut self.core.choice.host;
            let (Some(copy), Some(kept)) = (&mut host.copy, &parts.theirs[place]) else {
                continue;
            };
            let fenced = |wk: usize| {
                let gone = host
                    .wks
                    .get(wk)
                    .is_none_or(|w| w.standing() == EndpointState::Removed);
                gone || parts.fenced.get(wk).copied().unwrap_or(false)
            };
            let (kind, two) = (copy.kind(kept.typ), copy.two_at_once);
            let fate = recovery_action(kind, two, now, kept.until, &kept.launches, fenced);
            if fate == RecoveryAction::AwaitFencing {
                left = true;
                continue;
            }
            let kept = parts.theirs[place].take().expect("it was there");
            let word = match fate {
                RecoveryAction::Continue => {
                    self.go_on(kept);
                    continue;
                }
                RecoveryAction::Fail => Disposition::Failed,
                _ => Disposition::Rejected,
            };
            remember(copy, now, kept.typ, &kept.mark, word, &[]);
            let mut due = copy.due();
            (due.tickets, due.word, due.come_back) = (kept.tickets, Some(word), UNFENCED);
            copy.replays.push_back(due);
        }
        parts.adopting = left;
    }

    /// Whether nothing of former lives is out at any worker.
    fn all_fenced(&mut self, parts: &Parts) {
        let host = &mut self.core.choice.host;
        let fenced = |wk: usize| parts.fenced.get(wk).copied().unwrap_or(false);
        let mut wks = host.wks.iter().enumerate();
        let all = wks.all(|(wk, w)| w.standing() == EndpointState::Removed || fenced(wk));
        if let Some(copy) = &mut host.copy {
            copy.fenced_all = all;
        }
    }

    fn go_on(&mut self, kept: ReplicatedRequest) {
        let now = self.core.net().now();
        let asked = !kept.tickets.is_empty();
        self.core.choice.host.heirs = kept.tickets;
        let place = self.core.begin(&IncomingRequest {
            reply_handle: NO_CLIENT,
            id: kept.id,
            class: kept.typ,
            tenant: kept.tenant,
            function: &kept.function,
            lanes: kept.lanes,
            memory: kept.memory,
            cost_hint: kept.hint,
            load_hint: kept.load_hint,
            remaining: kept.until - now,
            is_retry: true,
            idempotency_key: &kept.mark,
            payload: &kept.payload,
        });
        copy_of(&mut self.core).ration.undo_last_request();
        if asked {
            // Where it has its answer already this is passed by.
            copy_of(&mut self.core).joined.push(place);
        }
    }

    /// Those who asked again and whose time is nearly over get their answer, whatever becomes of the event.
    fn impatient(&mut self, parts: &mut Parts) {
        let host = &mut self.core.choice.host;
        let now = host.net.now();
        let Some(copy) = &mut host.copy else { return };
        // It is looked at once a tick.
        let tick = Time::from(parts.at.interval) * CENTISECOND / TICKS;
        let over = |t: &(ReplyHandle, Time)| now + tick + 2 * recovery::MIN_REMAINING_TIME >= t.1;
        let mut late = Vec::new();
        let events = &mut host.events;
        copy.joined.retain(|place| {
            let held = &mut events[*place];
            if !held.open {
                return false;
            }
            late.extend(held.more.iter().filter(|t| over(t)).copied());
            held.more.retain(|t| !over(t));
            !held.more.is_empty()
        });
        for kept in parts
            .theirs
            .iter_mut()
            .flatten()
            .filter(|k| !k.tickets.is_empty())
        {
            late.extend(kept.tickets.iter().filter(|t| over(t)).copied());
            kept.tickets.retain(|t| !over(t));
        }
        if !late.is_empty() {
            let mut due = copy.due();
            (due.tickets, due.word) = (late, Some(Disposition::Failed));
            copy.replays.push_back(due);
        }
    }

    // Voters and workers.

    pub(crate) fn no_vote(&mut self, voter: Option<usize>, of: (u64, bool)) {
        if let (Some(voter), Some(copy)) = (voter, &mut self.core.choice.host.copy) {
            copy.unheard.push_back((voter, of));
        }
    }

    pub(crate) fn fenced(&mut self) {
        if let Some(copy) = &mut self.core.choice.host.copy {
            copy.fenced = true;
        }
    }

    pub(crate) fn promised(
        &mut self,
        link: usize,
        wk: usize,
        fields: &Fields,
    ) -> Result<(), String> {
        let host = &mut self.core.choice.host;
        let Some(key) = host.key(CallName::CallId(fields.whole(Field::Id)?), link)? else {
            return Ok(());
        };
        let CallKind::Vote {
            voter,
            ballot,
            accepting,
        } = host.outs[key].task
        else {
            return Ok(());
        };
        let over = host.outs[key].over;
        let good = fields.flag(Field::On)?;
        let whole = |field| fields.upto(field, u64::MAX, 0);
        let accepted = Leadership {
            epoch: whole(Field::Epoch)?,
            member: fields.upto(Field::Member, 2, 1)?.max(1) as usize - 1,
            synced_incarnations: [whole(Field::SyncA)?, whole(Field::SyncB)?],
            fencing_floor: whole(Field::Floor)?,
        };
        let promise = LeadershipAcceptor {
            promised: whole(Field::Ballot)?,
            accepted,
        };
        host.free(key);
        self.with_seat(|seat, now, act| {
            if let Some(voter) = voter.filter(|_| !over) {
                let request = reply_to((ballot, accepting));
                seat.vote_received(now, act, voter, request, good, promise);
            }
            if accepting
                && good
                && accepted.epoch >= seat.epoch()
                && accepted.member == act.parts.me
            {
                let parts = &mut *act.parts;
                if parts.fenced.len() <= wk {
                    parts.fenced.resize(wk + 1, false);
                }
                if !std::mem::replace(&mut parts.fenced[wk], true) && parts.adopting {
                    act.gw.adopt(act.parts);
                }
            }
        });
        Ok(())
    }

    // What is settled after each thing that happened.

    /// The event's answer, which is used up: it goes to whoever waits for it, at once or when it is recorded.
    pub(crate) fn conclude(&mut self, given: &LocalResponse, payload: &[u8]) {
        let host = &mut self.core.choice.host;
        if host.copy.is_some() {
            if let Some(due) = host.copy_answered(given, payload) {
                self.give(due);
            }
            return;
        }
        let LocalResponse {
            ticket,
            word,
            come_back,
            took,
            ..
        } = *given;
        let answer = Response {
            disposition: word,
            retry_after: come_back,
            reason: "",
            payload,
            elapsed: took,
        };
        self.doors[ticket.ingress].respond(&mut host.net, ticket, &answer);
    }

    fn give(&mut self, due: PendingResponse) {
        let host = &mut self.core.choice.host;
        let now = host.net.now();
        let word = due.word.unwrap_or(Disposition::Failed);
        for (ticket, until) in due.tickets.iter().filter(|t| t.0 != NO_CLIENT) {
            if now > *until {
                host.counts.overdue += 1;
                self.doors[ticket.ingress].request_expired(now, *ticket);
                continue;
            }
            let (come_back, took) = (due.come_back, due.took);
            let answer = Response {
                disposition: word,
                retry_after: come_back,
                reason: "",
                payload: &due.payload,
                elapsed: took,
            };
            self.doors[ticket.ingress].respond(&mut host.net, *ticket, &answer);
        }
        if let Some(copy) = &mut host.copy {
            copy.done(due);
        }
    }

    /// One more thing of the pair's own; false where nothing is left.
    pub(crate) fn settle_pair(&mut self) -> bool {
        let host = &mut self.core.choice.host;
        let Some(copy) = &mut host.copy else {
            return false;
        };
        if let Some(later) = copy.ready() {
            match later {
                DeferredAction::Send { key, count } => {
                    if host
                        .outs
                        .get(key)
                        .is_some_and(|o| o.count == count && !o.over)
                    {
                        host.ride(key);
                    }
                }
                DeferredAction::Respond(due) => self.give(due),
            }
        } else if let Some(due) = copy.replays.pop_front() {
            self.give(due);
        } else if let Some((voter, of)) = copy.unheard.pop_front() {
            let request = reply_to(of);
            self.with_seat(|seat, now, act| seat.vote_missing(now, act, voter, request));
        } else if std::mem::take(&mut copy.fenced) {
            self.with_seat(|seat, _, act| seat.epoch_rejected(act));
        } else if copy.broken {
            if let Some(conn) = copy.conn {
                self.core.net().reset(conn);
                self.own(conn, Owner::Nobody);
            }
            self.peer_over();
        } else if let Some((at, ticket, until)) = self.core.there.pop_front() {
            let theirs = self.pair.as_mut().map(|p| &mut p.parts.theirs);
            match theirs.and_then(|t| t.get_mut(at)).and_then(Option::as_mut) {
                Some(kept) => kept.tickets.push((ticket, until)),
                None => {
                    // It ended in the same wake-up: it is asked for again by whoever still wants it.
                    let mut due = copy_of(&mut self.core).due();
                    (due.word, due.come_back) = (Some(Disposition::Rejected), UNFENCED);
                    due.tickets.push((ticket, until));
                    self.give(due);
                }
            }
        } else {
            let Some(pair) = &self.pair else { return false };
            let resting = pair.seat.state() == Role::Draining
                || pair.parts.leaving && pair.seat.state() == Role::Standby;
            if resting
                && self.requests_in_flight() == 0
                && self.ended == StopReason::Drained
                && copy_of(&mut self.core).waiting() == 0
                && !self.unread()
            {
                let was = self.role();
                self.with_seat(|seat, now, act| seat.drained(now, act));
                if was == Some(Role::Draining) && self.role() == Some(Role::Standby) {
                    self.hang_up();
                }
            }
            return false;
        }
        true
    }

    /// Clients that are still connected are to find the other member.
    fn hang_up(&mut self) {
        if let Some(copy) = &mut self.core.choice.host.copy {
            (copy.epoch, copy.on) = (0, false);
        }
        for place in 0..self.owners.len() {
            let (count, owner) = self.owners[place];
            if let Owner::Ingress(_) = owner {
                self.core.net().abort(Conn::new(place, count));
            }
        }
    }

    /// What `tidewall status` asks for.
    fn status(&mut self, conn: Conn) {
        let mut out = Vec::new();
        let host = &self.core.choice.host;
        let (Some(pair), Some(copy)) = (&self.pair, &host.copy) else {
            return;
        };
        let f = Frame::new(&mut out, kind::STATUS).text(Field::Name, &pair.parts.at.name);
        let f = f
            .text(Field::Word, pair.seat.state().text())
            .whole(Field::Epoch, pair.seat.epoch());
        let f = f
            .flag(Field::On, copy.conn.is_some())
            .whole(Field::Life, pair.parts.at.incarnation);
        let f = f
            .whole(Field::InFlight, host.held as u64)
            .whole(Field::Waiting, copy.waiting() as u64);
        let kept = pair.parts.theirs.iter().flatten().count() as u64;
        let f = f
            .whole(Field::Copies, kept)
            .whole(Field::Seq, copy.seq - copy.acked);
        let f = f.whole(Field::Ballot, pair.parts.bad);
        f.text(Field::Reason, pair.parts.disagrees.as_deref().unwrap_or(""))
            .end();
        self.core.net().write(conn, &out);
    }
}

fn copy_of<N: Net>(core: &mut IngressContext<N>) -> &mut Replicator {
    core.choice.host.copy.as_mut().expect("a pair copies")
}

fn reply_to((ballot, accepting): (u64, bool)) -> ReplyTo {
    let phase = match accepting {
        true => ProposalPhase::Accept,
        false => ProposalPhase::Prepare,
    };
    ReplyTo { ballot, phase }
}

/// The first setting that the other member has otherwise.
fn disagree(ours: &[String], theirs: &str) -> Option<String> {
    let mut theirs: Vec<&str> = theirs.lines().collect();
    theirs.sort_unstable();
    let mut mine: Vec<&str> = ours.iter().map(String::as_str).collect();
    mine.sort_unstable();
    let only = |a: &[&str], b: &[&str]| {
        a.iter()
            .find(|l| b.binary_search(l).is_err())
            .map(|l| l.to_string())
    };
    only(&mine, &theirs).or_else(|| only(&theirs, &mine))
}
