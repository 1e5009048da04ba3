//! One of a pair of gateways behind one address: VRRP datagrams, the link to the other member, the copy of what that one
//! has in hand, and the voters' answers. `tidewall-failover` decides; this carries out.
pub mod replicator;

use crate::error::{ProtocolError, StartError};
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
use tidewall_failover::proposal::{count, ProposerTransport};
use tidewall_failover::recovery::{self, fate, unknown, RecoveryAction, RetrySafety};
use tidewall_failover::role::{self, Role, RoleStateMachine};
use tidewall_net::{Conn, DatagramSocket, Listener, Net, Time, TimerId};
use tidewall_vrrp::packet::{self, Keys, ReplayGuard};
use tidewall_vrrp::{Parameters, Router, CENTISECOND};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame, WireError};
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
    class: usize,
    tenant: Option<usize>,
    function: String,
    lanes: u32,
    memory: f64,
    cost_hint: Time,
    load_hint: Time,
    deadline: Time,
    idempotency_key: Vec<u8>,
    payload: Vec<u8>,
    attempts: Vec<recovery::Attempt>,
    /// Who asked us for it.
    clients: Vec<(ReplyHandle, Time)>,
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
    role_machine: RoleStateMachine,
    state: Parts,
}

impl FailoverNode {
    pub fn member(&self) -> usize {
        self.state.me
    }

    pub fn listener(&self) -> Option<Listener> {
        self.state.listener
    }

    pub fn port(&self) -> Option<DatagramSocket> {
        self.state.port
    }

    pub fn state(&self) -> Role {
        self.role_machine.state()
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
        packet::write(
            &mut out,
            (vrid, priority, interval),
            &[v4(self.at.shared_address)],
            *self.number,
            self.keys,
        );
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
            .context
            .scheduler
            .host
            .replicator
            .as_mut()
            .expect("a pair copies")
    }

    fn ask(&mut self, voter: Option<usize>, wk: Option<usize>, ballot: u64, accepting: bool) {
        let host = &mut self.gw.context.scheduler.host;
        let within = host.net.now() + SILENT * Time::from(self.parts.at.interval) * CENTISECOND;
        match (wk.filter(|wk| host.has_address(*wk)), voter) {
            (Some(wk), _) => {
                let key = host.start_call(
                    CallKind::Vote {
                        voter,
                        ballot,
                        accepting,
                    },
                    wk,
                    0,
                    within,
                );
                host.assign_connection(key);
            }
            (None, Some(voter)) => self
                .copy()
                .missing_votes
                .push_back((voter, (ballot, accepting))),
            _ => {}
        }
    }

    fn voter(&self, voter: usize) -> Option<usize> {
        self.gw
            .context
            .scheduler
            .host
            .worker_names
            .get(&self.parts.at.voters[voter])
    }

    /// All workers hear who serves, not only the voters.
    fn spread(&mut self, claim: Leadership) {
        self.copy().leadership = claim;
        let all = self.gw.context.scheduler.host.workers.len();
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
        self.copy().leadership = claim;
        let wk = self.voter(voter);
        self.ask(Some(voter), wk, claim.epoch, true);
    }
}

impl<N: Net> role::RoleActions for Acting<'_, N> {
    fn set_vrrp_enabled(&mut self, on: bool) {
        let net = &mut self.gw.context.scheduler.host.net;
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
        info!(epoch = count(claim.epoch), adopt, forgot, "serves");
        let now = self.gw.context.net().now();
        let longest = self.parts.at.retention.iter().max().copied().unwrap_or(0);
        self.copy().history_unknown_until = if forgot { now + longest } else { 0 };
        self.copy().epoch = claim.epoch;
        self.gw.context.standby = false;
        self.parts.fenced.clear();
        self.gw.open_listeners(self.parts);
        self.spread(claim);
        if adopt {
            self.parts.adopting = true;
            self.gw.take_over_requests(self.parts);
        }
    }

    fn leadership_renewed(&mut self, claim: Leadership, adopt: bool) {
        info!(epoch = count(claim.epoch), sync = ?claim.synced_incarnations, "claim renewed");
        self.copy().epoch = claim.epoch;
        if claim.fencing_floor == claim.epoch {
            self.parts.fenced.clear();
        }
        self.spread(claim);
        if adopt {
            self.parts.adopting = true;
            self.gw.take_over_requests(self.parts);
        }
    }

    fn stop_accepting(&mut self) {
        info!(held = self.gw.requests_in_flight(), "retires");
        self.gw.context.standby = true;
        self.gw.stop_listening();
    }

    fn set_replication_wait(&mut self, on: bool) {
        let copy = self.copy();
        copy.waits_for_records = on;
        self.parts.began = copy.last_sequence;
    }

    fn start_replication(&mut self, new: bool) {
        let host = &mut self.gw.context.scheduler.host;
        let Some(copy) = &mut host.replicator else {
            return;
        };
        (
            copy.streaming,
            copy.sequence_base,
            copy.acknowledged_sequence,
        ) = (
            true,
            copy.last_sequence - copy.sent_on_connection,
            copy.last_sequence,
        );
        copy.snapshot_incomplete = !new;
        copy.send_record(&mut host.net, kind::COPY, |f| f.flag(Field::On, new).end());
        self.parts.cursor = if new {
            SnapshotCursor::Off
        } else {
            SnapshotCursor::Events(0)
        };
        self.parts.began = copy.last_sequence;
        self.gw.send_pending_snapshot(self.parts);
    }

    fn request_step_down(&mut self) {
        let host = &mut self.gw.context.scheduler.host;
        if let Some(copy) = &mut host.replicator {
            copy.send_control(&mut host.net, kind::YIELD, |f| f.end());
        }
    }

    fn confirm_step_down(&mut self) {
        let host = &mut self.gw.context.scheduler.host;
        if let Some(copy) = &mut host.replicator {
            copy.send_control(&mut host.net, kind::YIELDED, |f| f.end());
        }
    }

    fn restart_process(&mut self, why: &'static str) {
        warn!(why, "starts anew");
        if !self.parts.leaving {
            self.gw.stop_reason = StopReason::Restart;
        }
        self.gw.context.net().stop();
    }

    fn exit_process(&mut self) {
        self.gw.write_endpoint_cache();
        self.gw.context.net().stop();
    }
}

impl<N: Net> IngressContext<N> {
    /// One of a pair may know this event: in hand, here or at the other member, or answered.
    pub(crate) fn find_duplicate(&mut self, event: &IncomingRequest) -> Option<usize> {
        let host = &mut self.scheduler.host;
        let now = host.net.now();
        let copy = host.replicator.as_mut()?;
        let until = now + event.remaining;
        if event.is_retry
            && now < copy.history_unknown_until
            && copy
                .deduplication
                .lookup(now, event.class, event.idempotency_key)
                .is_none()
        {
            let kind = copy.retry_safety_of(event.class);
            if let Some(later) = unknown(kind, copy.allows_hedging, copy.all_workers_fenced) {
                let word = if later {
                    Disposition::Rejected
                } else {
                    Disposition::Failed
                };
                remember(copy, now, event.class, event.idempotency_key, word, &[]);
                let mut due = copy.new_response();
                due.clients.push((event.reply_handle, until));
                (due.disposition, due.retry_after) = (Some(word), UNFENCED);
                copy.ready_responses.push_back(due);
                return Some(usize::MAX);
            }
        }
        if event.idempotency_key.is_empty() {
            return None;
        }
        match copy
            .deduplication
            .lookup(now, event.class, event.idempotency_key)?
        {
            RequestLocation::Local(place) => {
                let place = *place;
                copy.shared_requests.push(place);
                host.requests[place]
                    .waiting_clients
                    .push((event.reply_handle, until));
                Some(place)
            }
            RequestLocation::Remote(at) => {
                self.awaited_remote
                    .push_back((*at, event.reply_handle, until));
                Some(usize::MAX)
            }
            RequestLocation::Responded(number, payload) => {
                let (number, payload) = (*number, payload.clone());
                let mut due = copy.new_response();
                due.clients.push((event.reply_handle, until));
                due.disposition = Some(word(number));
                due.payload.extend_from_slice(&payload);
                copy.ready_responses.push_back(due);
                Some(usize::MAX)
            }
        }
    }

    /// The epoch under which this gateway serves; 0 where it is not one of a pair.
    pub fn epoch(&self) -> u64 {
        self.scheduler
            .host
            .replicator
            .as_ref()
            .map_or(0, |c| c.epoch)
    }
}

impl<N: Net> Gateway<N> {
    pub(crate) fn enable_failover(&mut self, at: FailoverConfig) -> Result<(), StartError> {
        let me = usize::from(at.name > at.peer_name);
        let now = self.context.net().now();
        let parameters = Parameters {
            vrid: at.vrid,
            priority: at.priority,
            interval: at.interval,
            preempt: at.preempt,
            accept: true,
            address: v4(at.vrrp_address),
        };
        let interval = Time::from(at.interval) * CENTISECOND;
        let net = self.context.net();
        let port = net
            .bind_datagram(at.vrrp_address)
            .map_err(|source| StartError::BindDatagrams {
                address: at.vrrp_address,
                source,
            })?
            .0;
        let listener = net
            .listen(at.link_address)
            .map_err(|source| StartError::Listen {
                address: at.link_address,
                source,
            })?
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
        copy.silence_timeout = (SILENT + 1) * interval;
        self.context.scheduler.host.replicator = Some(Box::new(copy));
        let stood = self.context.net().total_stall();
        let parts = Parts {
            me,
            router: Router::new(parameters).map_err(StartError::Vrrp)?,
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
        self.failover = Some(Box::new(FailoverNode {
            role_machine: seat,
            state: parts,
        }));
        Ok(())
    }

    /// What the seat does for one thing that happened, and what VRRP said meanwhile.
    fn with_role(&mut self, f: impl FnOnce(&mut RoleStateMachine, Time, &mut Acting<N>)) {
        let Some(mut pair) = self.failover.take() else {
            return;
        };
        let now = self.context.net().now();
        let FailoverNode {
            role_machine: seat,
            state: parts,
        } = &mut *pair;
        f(seat, now, &mut Acting { gw: self, parts });
        while let Some(on) = parts.wanted.take() {
            if on {
                seat.vrrp_became_active(now, &mut Acting { gw: self, parts });
            } else {
                seat.vrrp_became_backup(now);
            }
        }
        self.failover = Some(pair);
    }

    /// Under which it serves; 0 where it never did.
    pub fn epoch(&self) -> u64 {
        self.context.epoch()
    }

    /// The first setting that the other member has otherwise.
    pub fn settings_mismatch(&self) -> Option<&str> {
        self.failover.as_ref()?.state.disagrees.as_deref()
    }

    /// Advertisements that were ignored as malformed, forged or replayed.
    pub fn rejected_advertisements(&self) -> u64 {
        self.failover.as_ref().map_or(0, |p| p.state.bad)
    }

    /// Launches and answers that wait for the other member's record.
    pub fn unreplicated(&self) -> usize {
        self.context
            .scheduler
            .host
            .replicator
            .as_ref()
            .map_or(0, |c| c.waiting_count())
    }

    /// How this member of a pair stands.
    pub fn role(&self) -> Option<Role> {
        self.failover.as_ref().map(|p| p.state())
    }

    fn open_listeners(&mut self, parts: &mut Parts) {
        parts.unopened = false;
        for door in 0..self.ingresses.len() {
            // The former owner of the address may still hold it: tried again with the next tick.
            if self.listeners[door].is_none() && self.listen(door).is_err() {
                parts.unopened = true;
            }
        }
    }

    pub(crate) fn failover_tick(&mut self) {
        let Some(pair) = &mut self.failover else {
            return;
        };
        let interval = Time::from(pair.state.at.interval) * CENTISECOND;
        let net = &mut self.context.scheduler.host.net;
        let now = net.now();
        net.set_timer(now + interval / TICKS, OF_PAIR);
        let parts = &mut pair.state;
        parts.ticks += 1;
        if parts.ticks % KEYS == 0 {
            parts.keys = (parts.at.keys)();
        }
        // What passed while we stood still says nothing about the other one.
        if net.total_stall() > parts.stood {
            (parts.stood, parts.heard) = (net.total_stall(), now);
        }
        let counts = pair.role_machine.state().serves();
        let silent = now > parts.heard + SILENT * interval;
        let (member, retry) = (parts.me, parts.dialing.is_none());
        let (peer, epoch) = (parts.at.peer_link_address, pair.role_machine.epoch());
        let copy = self
            .context
            .scheduler
            .host
            .replicator
            .as_mut()
            .expect("a pair copies");
        match copy.conn {
            Some(conn) if silent || copy.is_peer_too_slow(now) => {
                warn!(silent, "the other member is silent or too slow");
                pair.role_machine.peer_too_slow(now);
                self.context.scheduler.host.net.reset(conn);
                self.set_owner(conn, Owner::Nobody);
                self.peer_connection_closed();
            }
            Some(_) => {
                let counted = if pair.role_machine.state() == Role::Replicating {
                    pair.role_machine.granted.synced_incarnations[1 - member]
                } else {
                    0
                };
                copy.send_control(&mut self.context.scheduler.host.net, kind::PING, |f| {
                    f.flag(Field::On, counts)
                        .whole(Field::SyncA, counted)
                        .whole(Field::Epoch, epoch)
                        .end()
                });
            }
            None if member == 1 && retry => {
                let conn = self.context.net().connect(peer, interval);
                self.set_owner(conn, Owner::Handshake);
                if let Some(pair) = &mut self.failover {
                    pair.state.dialing = Some(conn);
                }
            }
            None => {}
        }
        self.with_role(|seat, now, act| {
            seat.tick(now, act);
            if act.parts.unopened {
                act.gw.open_listeners(act.parts);
            }
            if seat.state() == Role::Synchronizing {
                let copy = act.copy();
                if copy.acknowledged_sequence >= act.parts.began {
                    seat.replication_caught_up(act);
                }
            }
            act.gw.update_fencing_complete(act.parts);
            let awaits = act.parts.adopting && act.parts.theirs.iter().any(Option::is_some);
            let forgot = now < act.copy().history_unknown_until && !act.copy().all_workers_fenced;
            if seat.state().serves() && (awaits || forgot) {
                if act.parts.ticks % FENCE == 0 {
                    let claim = act.copy().leadership;
                    act.spread(claim);
                }
                act.gw.take_over_requests(act.parts);
            }
            act.gw.send_pending_snapshot(act.parts);
            act.gw.expire_waiting_clients(act.parts);
        });
        if self
            .failover
            .as_ref()
            .is_some_and(|p| p.role_machine.exits_without_peer(now))
            && !self.context.draining
        {
            self.context.draining = true;
            self.stop_listening();
        }
    }

    pub(crate) fn vrrp_timer_fired(&mut self) {
        self.with_role(|_, _, act| {
            act.parts.timer = None;
            let net = &mut act.gw.context.scheduler.host.net;
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

    pub(crate) fn vrrp_datagram_received(&mut self, from: SocketAddr, bytes: &[u8]) {
        self.with_role(|_, now, act| {
            let parts = &mut *act.parts;
            let shared = [v4(parts.at.shared_address)];
            // The hash does not cover who sent it: a packet that was overheard must not come from elsewhere.
            let read = match v4(from) == v4(parts.at.peer_vrrp_address) {
                true => packet::read(bytes, v4(from), &shared, &parts.keys, &mut parts.guard),
                false => Err("from: not the other member"),
            };
            match read {
                Ok((vrid, advertisement)) if vrid == parts.at.vrid => {
                    let net = &mut act.gw.context.scheduler.host.net;
                    parts.vrrp(net, |router, vrrp| {
                        router.advertisement_received(vrrp, advertisement)
                    });
                }
                Ok(_) => {}
                Err(reason) => {
                    parts.bad += 1;
                    if now >= parts.bad_told + BAD || parts.bad_told == 0 {
                        parts.bad_told = now;
                        warn!(reason, %from, so_far = parts.bad, "an advertisement is ignored");
                    }
                }
            }
        });
    }

    /// Told to go. False where it is to end as one gateway would.
    pub(crate) fn begin_failover_shutdown(&mut self) -> bool {
        match &mut self.failover {
            Some(pair) if !pair.state.leaving => pair.state.leaving = true,
            _ => return false,
        }
        let mut waits = false;
        self.with_role(|seat, now, act| waits = seat.shutdown_requested(now, act));
        self.deliver_deferred_outcomes();
        waits
    }

    // The link.

    pub(crate) fn send_peer_greeting(&mut self, conn: Conn) {
        let mut out = Vec::new();
        let Some(pair) = &self.failover else { return };
        let at = &pair.state.at;
        let f = Frame::new(&mut out, kind::HELLO).whole(Field::Version, wire::VERSION);
        let f = f
            .text(Field::Role, "pair")
            .text(Field::Name, &at.name)
            .whole(Field::Life, at.incarnation);
        let f = f
            .flag(Field::On, pair.role_machine.state().serves())
            .whole(Field::Epoch, pair.role_machine.epoch());
        f.bytes(Field::Payload, at.shared_settings.join("\n").as_bytes())
            .end();
        self.context.net().write(conn, &out);
    }

    pub(crate) fn handshake_closed(&mut self, conn: Conn) {
        if let Some(pair) = self
            .failover
            .as_mut()
            .filter(|p| p.state.dialing == Some(conn))
        {
            pair.state.dialing = None;
        }
    }

    /// The first frame of a connection to the link's listener, or of the one that we dialled.
    pub(crate) fn handshake_frame_received(
        &mut self,
        conn: Conn,
        fields: &Fields,
    ) -> Result<(), ProtocolError> {
        match wire::greeted(fields)? {
            "status" => {
                self.send_status(conn);
                return Ok(());
            }
            "pair" => {}
            other => {
                return Err(
                    WireError::invalid(Field::Role, format!("{other} is not heard here")).into(),
                )
            }
        }
        let (name, life) = (fields.text(Field::Name)?, fields.whole(Field::Life)?);
        let (serves, epoch) = (
            fields.flag(Field::On)?,
            fields.upto(Field::Epoch, u64::MAX, 0)?,
        );
        let Some(pair) = &mut self.failover else {
            return Err(WireError::invalid(Field::Role, "no pair here").into());
        };
        if name != pair.state.at.peer_name {
            return Err(
                WireError::invalid(Field::Name, format!("{name} is not the other member")).into(),
            );
        }
        let theirs = String::from_utf8_lossy(fields.bytes(Field::Payload)?).into_owned();
        let differs = disagree(&pair.state.at.shared_settings, &theirs);
        if pair.state.dialing.take().is_none() {
            // They dialled: they hear who we are.
            self.send_peer_greeting(conn);
        }
        if let Some(old) = self
            .context
            .scheduler
            .host
            .replicator
            .as_ref()
            .and_then(|c| c.conn)
        {
            self.context.net().reset(old);
            self.set_owner(old, Owner::Nobody);
            self.peer_connection_closed();
        }
        let now = self.context.net().now();
        self.set_owner(conn, Owner::Peer);
        if let Some(pair) = &mut self.failover {
            (pair.state.got, pair.state.recorded, pair.state.heard) = (0, 0, now);
            // The lower priority keeps off, or the later name.
            let bar = differs.is_some() && pair.state.me == 1;
            if let Some(line) = &differs {
                warn!(
                    setting = line,
                    refuses = bar,
                    "settings disagree with the other member's"
                );
            }
            pair.state.disagrees = differs;
            pair.role_machine.set_barred(bar);
        }
        if let Some(copy) = &mut self.context.scheduler.host.replicator {
            (copy.conn, copy.sent_on_connection) = (Some(conn), 0);
        }
        info!(name, life, serves, "the other member is there");
        self.with_role(|seat, now, act| seat.peer_connected(now, act, life, serves, epoch));
        Ok(())
    }

    pub(crate) fn peer_connection_closed(&mut self) {
        if let Some(copy) = &mut self.context.scheduler.host.replicator {
            (copy.conn, copy.streaming, copy.connection_overflowed) = (None, false, false);
        }
        if let Some(pair) = &mut self.failover {
            pair.state.cursor = SnapshotCursor::Off;
        }
        warn!("the link to the other member is gone");
        self.with_role(|seat, now, act| seat.peer_disconnected(now, act));
    }

    /// Tells the other member how much of what came is recorded.
    pub(crate) fn acknowledge_records(&mut self) {
        let Some(pair) = &mut self.failover else {
            return;
        };
        let parts = &mut pair.state;
        if parts.got > parts.recorded {
            parts.recorded = parts.got;
            let (host, got) = (&mut self.context.scheduler.host, parts.got);
            if let Some(copy) = &mut host.replicator {
                copy.send_control(&mut host.net, kind::RECORDED, |f| {
                    f.whole(Field::Seq, got).end()
                });
            }
        }
    }

    pub(crate) fn peer_frame_received(&mut self, fields: &Fields) -> Result<(), ProtocolError> {
        let now = self.context.net().now();
        let Some(pair) = &mut self.failover else {
            return Ok(());
        };
        pair.state.heard = now;
        match fields.kind()? {
            kind::PING => {
                let counted = fields.upto(Field::SyncA, u64::MAX, 0)?;
                let (serves, counts) = (
                    fields.flag(Field::On)?,
                    counted == pair.state.at.incarnation,
                );
                let epoch = fields.upto(Field::Epoch, u64::MAX, 0)?;
                self.with_role(|seat, now, act| {
                    seat.peer_heartbeat(now, act, serves, counts, epoch)
                });
            }
            kind::RECORDED => {
                let seq = fields.whole(Field::Seq)?;
                let copy = self
                    .context
                    .scheduler
                    .host
                    .replicator
                    .as_mut()
                    .expect("a pair copies");
                if copy.sequence_base + seq > copy.last_sequence {
                    return Err(
                        WireError::invalid(Field::Seq, format!("{seq} was never told")).into(),
                    );
                }
                copy.acknowledged_sequence =
                    copy.acknowledged_sequence.max(copy.sequence_base + seq);
                self.with_role(|seat, now, act| {
                    act.gw.send_pending_snapshot(act.parts);
                    let acked = act.copy().acknowledged_sequence;
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
            kind::YIELD => self.with_role(|seat, now, act| seat.step_down_requested(now, act)),
            kind::YIELDED => self.with_role(|seat, now, act| seat.peer_stepped_down(now, act)),
            _ => {
                pair.state.got += 1;
                return self.apply_record(fields);
            }
        }
        Ok(())
    }

    /// One update of what the other member has in hand.
    fn apply_record(&mut self, fields: &Fields) -> Result<(), ProtocolError> {
        const PLACES: u64 = 1 << 24; // more events than a gateway may hold
        let host = &mut self.context.scheduler.host;
        let now = host.net.now();
        let (Some(pair), Some(copy)) = (&mut self.failover, &mut host.replicator) else {
            return Ok(());
        };
        let parts = &mut pair.state;
        let place = fields.upto(Field::Place, PLACES, PLACES)? as usize;
        let typ = |types: &[String]| -> Result<usize, ProtocolError> {
            let name = fields.text(Field::Type)?;
            types.iter().position(|t| t == name).ok_or_else(|| {
                WireError::invalid(Field::Type, format!("'{name}' is unknown")).into()
            })
        };
        match fields.kind()? {
            kind::COPY => {
                let new = fields.flag(Field::On)?;
                parts.theirs.clear();
                if !new {
                    copy.deduplication.clear_responses();
                }
            }
            kind::TAKEN => {
                let typ = typ(&host.class_names)?;
                let tenant = fields.word(Field::Tenant)?;
                let mark = fields.bytes(Field::Mark)?;
                let kept = ReplicatedRequest {
                    id: fields.whole(Field::Id)?,
                    class: typ,
                    tenant: host.tenant_names.iter().position(|t| t == tenant),
                    function: fields.text(Field::Function)?.to_string(),
                    lanes: fields.upto(Field::Lanes, 1000, 1)? as u32,
                    memory: fields.real(Field::Memory, 0.0)?,
                    cost_hint: fields.upto(Field::Hint, u64::MAX >> 8, 0)?,
                    load_hint: fields.upto(Field::LoadHint, u64::MAX >> 8, 0)?,
                    deadline: now + fields.upto(Field::Left, u64::MAX >> 8, 0)?,
                    idempotency_key: mark.to_vec(),
                    payload: fields.bytes(Field::Payload)?.to_vec(),
                    attempts: Vec::new(),
                    clients: Vec::new(),
                };
                if parts.theirs.len() <= place {
                    parts.theirs.resize_with(place + 1, || None);
                }
                copy.load_request_limiter.request_received(now);
                copy.deduplication
                    .insert_in_flight(typ, mark, RequestLocation::Remote(place));
                parts.theirs[place] = Some(kept);
            }
            kind::LAUNCHED => {
                let wk = host.worker_names.intern(fields.text(Field::Name)?);
                if let Some(kept) = parts.theirs.get_mut(place).and_then(Option::as_mut) {
                    kept.attempts.push(recovery::Attempt {
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
                if let Some(l) = kept.and_then(|k| k.attempts.get_mut(launch)) {
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
                    (Some(kept), false) => {
                        remember(copy, now, kept.class, &kept.idempotency_key, word, payload)
                    }
                    (None, false) => {}
                    _ => remember(
                        copy,
                        now,
                        typ(&host.class_names)?,
                        fields.bytes(Field::Mark)?,
                        word,
                        payload,
                    ),
                }
                if let Some(kept) = kept.filter(|k| !k.clients.is_empty()) {
                    let mut due = copy.new_response();
                    due.clients = kept.clients;
                    due.disposition = Some(word);
                    due.payload.extend_from_slice(payload);
                    copy.ready_responses.push_back(due);
                }
            }
            kind::GONE => {
                if let Some(kept) = parts.theirs.get_mut(place).and_then(Option::take) {
                    let ran = kept
                        .attempts
                        .iter()
                        .any(|l| l.state != recovery::AttemptState::NotExecuted);
                    if ran && copy.retry_safety_of(kept.class) != RetrySafety::Idempotent {
                        remember(
                            copy,
                            now,
                            kept.class,
                            &kept.idempotency_key,
                            Disposition::Failed,
                            &[],
                        );
                    } else {
                        copy.deduplication.remove(kept.class, &kept.idempotency_key);
                    }
                }
            }
            kind::ORDERED => {
                let age = fields.upto(Field::Age, u64::MAX >> 8, 0)?;
                copy.load_request_limiter
                    .load_requested(now.saturating_sub(age));
            }
            kind::COPIED => {}
            other => {
                return Err(
                    WireError::invalid(Field::Kind, format!("{other} is not for a pair")).into(),
                )
            }
        }
        Ok(())
    }

    /// Tells more of the copy, as far as the link takes it.
    fn send_pending_snapshot(&mut self, parts: &mut Parts) {
        let host = &mut self.context.scheduler.host;
        let now = host.net.now();
        let Some(copy) = &mut host.replicator else {
            return;
        };
        let Some(conn) = copy.conn.filter(|_| copy.streaming) else {
            return;
        };
        while host.net.unsent(conn) < COPY_AHEAD && copy.streaming {
            match parts.cursor {
                SnapshotCursor::Events(place) if place < host.requests.len() => {
                    parts.cursor = SnapshotCursor::Events(place + 1);
                    let held = &host.requests[place];
                    if !held.open {
                        continue;
                    }
                    let function = host.function_names.resolve(held.info().function);
                    copy.send_record(&mut host.net, kind::TAKEN, |f| {
                        taken(
                            f,
                            place,
                            held,
                            &host.class_names,
                            &host.tenant_names,
                            function,
                            now,
                        )
                    });
                    // As it stands: so many that may have run, wherever. Their places are those of the launches.
                    for (launch, wk, proven) in host.attempts_of(place) {
                        let name = host.worker_names.resolve(wk).to_string();
                        let copy = host.replicator.as_mut().expect("a pair copies");
                        copy.send_record(&mut host.net, kind::LAUNCHED, |f| {
                            let f = f
                                .whole(Field::Place, place as u64)
                                .whole(Field::Launch, launch as u64);
                            f.text(Field::Name, &name).end();
                        });
                        if let Some(proven) = proven {
                            copy.send_record(&mut host.net, kind::OVER, |f| {
                                let f = f.whole(Field::Place, place as u64);
                                f.whole(Field::Launch, launch as u64)
                                    .flag(Field::On, proven)
                                    .end();
                            });
                        }
                    }
                    return self.send_pending_snapshot(parts);
                }
                SnapshotCursor::Events(_) => parts.cursor = SnapshotCursor::Answers(0),
                SnapshotCursor::Answers(from) => {
                    let copy = &mut **copy;
                    let Some((key, entry)) = copy.deduplication.next(from) else {
                        copy.send_record(&mut host.net, kind::COPIED, |f| f.end());
                        parts.cursor = SnapshotCursor::Finished(copy.last_sequence);
                        copy.snapshot_incomplete = false;
                        return;
                    };
                    parts.cursor = SnapshotCursor::Answers(key + 1);
                    if let RequestLocation::Responded(number, payload) = &entry.location {
                        let (typ, mark, payload) =
                            (entry.class, entry.idempotency_key.clone(), payload.clone());
                        let text = word(*number).wire_text();
                        copy.send_record(&mut host.net, kind::ANSWERED, |f| {
                            let f = f
                                .text(Field::Type, &host.class_names[typ])
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
    fn take_over_requests(&mut self, parts: &mut Parts) {
        let now = self.context.net().now();
        let mut left = false;
        for place in 0..parts.theirs.len() {
            let host = &mut self.context.scheduler.host;
            let (Some(copy), Some(kept)) = (&mut host.replicator, &parts.theirs[place]) else {
                continue;
            };
            let fenced = |wk: usize| {
                let gone = host
                    .workers
                    .get(wk)
                    .is_none_or(|w| w.state() == EndpointState::Removed);
                gone || parts.fenced.get(wk).copied().unwrap_or(false)
            };
            let (kind, two) = (copy.retry_safety_of(kept.class), copy.allows_hedging);
            let fate = fate(kind, two, (now, kept.deadline), &kept.attempts, fenced);
            if fate == RecoveryAction::AwaitFencing {
                left = true;
                continue;
            }
            let kept = parts.theirs[place].take().expect("it was there");
            let word = match fate {
                RecoveryAction::Continue => {
                    self.resume_request(kept);
                    continue;
                }
                RecoveryAction::Fail => Disposition::Failed,
                _ => Disposition::Rejected,
            };
            remember(copy, now, kept.class, &kept.idempotency_key, word, &[]);
            let mut due = copy.new_response();
            (due.clients, due.disposition, due.retry_after) = (kept.clients, Some(word), UNFENCED);
            copy.ready_responses.push_back(due);
        }
        parts.adopting = left;
    }

    /// Whether nothing of former lives is out at any worker.
    fn update_fencing_complete(&mut self, parts: &Parts) {
        let host = &mut self.context.scheduler.host;
        let fenced = |wk: usize| parts.fenced.get(wk).copied().unwrap_or(false);
        let mut wks = host.workers.iter().enumerate();
        let all = wks.all(|(wk, w)| w.state() == EndpointState::Removed || fenced(wk));
        if let Some(copy) = &mut host.replicator {
            copy.all_workers_fenced = all;
        }
    }

    fn resume_request(&mut self, kept: ReplicatedRequest) {
        let now = self.context.net().now();
        let asked = !kept.clients.is_empty();
        self.context.scheduler.host.next_waiting_clients = kept.clients;
        let place = self.context.start_request(&IncomingRequest {
            reply_handle: NO_CLIENT,
            id: kept.id,
            class: kept.class,
            tenant: kept.tenant,
            function: &kept.function,
            lanes: kept.lanes,
            memory: kept.memory,
            cost_hint: kept.cost_hint,
            load_hint: kept.load_hint,
            remaining: kept.deadline - now,
            is_retry: true,
            idempotency_key: &kept.idempotency_key,
            payload: &kept.payload,
        });
        copy_of(&mut self.context)
            .load_request_limiter
            .undo_last_request();
        if asked {
            // Where it has its answer already this is passed by.
            copy_of(&mut self.context).shared_requests.push(place);
        }
    }

    /// Those who asked again and whose time is nearly over get their answer, whatever becomes of the event.
    fn expire_waiting_clients(&mut self, parts: &mut Parts) {
        let host = &mut self.context.scheduler.host;
        let now = host.net.now();
        let Some(copy) = &mut host.replicator else {
            return;
        };
        // It is looked at once a tick.
        let tick = Time::from(parts.at.interval) * CENTISECOND / TICKS;
        let over = |t: &(ReplyHandle, Time)| now + tick + 2 * recovery::LEAST >= t.1;
        let mut late = Vec::new();
        let events = &mut host.requests;
        copy.shared_requests.retain(|place| {
            let held = &mut events[*place];
            if !held.open {
                return false;
            }
            late.extend(held.waiting_clients.iter().filter(|t| over(t)).copied());
            held.waiting_clients.retain(|t| !over(t));
            !held.waiting_clients.is_empty()
        });
        for kept in parts
            .theirs
            .iter_mut()
            .flatten()
            .filter(|k| !k.clients.is_empty())
        {
            late.extend(kept.clients.iter().filter(|t| over(t)).copied());
            kept.clients.retain(|t| !over(t));
        }
        if !late.is_empty() {
            let mut due = copy.new_response();
            (due.clients, due.disposition) = (late, Some(Disposition::Failed));
            copy.ready_responses.push_back(due);
        }
    }

    // Voters and workers.

    pub(crate) fn vote_missing(&mut self, voter: Option<usize>, of: (u64, bool)) {
        if let (Some(voter), Some(copy)) = (voter, &mut self.context.scheduler.host.replicator) {
            copy.missing_votes.push_back((voter, of));
        }
    }

    pub(crate) fn epoch_rejected(&mut self) {
        if let Some(copy) = &mut self.context.scheduler.host.replicator {
            copy.epoch_rejected = true;
        }
    }

    pub(crate) fn vote_received(
        &mut self,
        link: usize,
        wk: usize,
        fields: &Fields,
    ) -> Result<(), ProtocolError> {
        let host = &mut self.context.scheduler.host;
        let Some(key) = host.call_key(CallName::CallId(fields.whole(Field::Id)?), link)? else {
            return Ok(());
        };
        let CallKind::Vote {
            voter,
            ballot,
            accepting,
        } = host.calls[key].kind
        else {
            return Ok(());
        };
        let over = host.calls[key].ended;
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
        host.remove_call(key);
        self.with_role(|seat, now, act| {
            if let Some(voter) = voter.filter(|_| !over) {
                seat.vote_received(now, act, voter, (ballot, accepting), good, promise);
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
                    act.gw.take_over_requests(act.parts);
                }
            }
        });
        Ok(())
    }

    // What is settled after each thing that happened.

    /// The event's answer, which is used up: it goes to whoever waits for it, at once or when it is recorded.
    pub(crate) fn send_final_response(&mut self, given: &LocalResponse, payload: &[u8]) {
        let host = &mut self.context.scheduler.host;
        if host.replicator.is_some() {
            if let Some(due) = host.replicate_response(given, payload) {
                self.send_pending_response(due);
            }
            return;
        }
        let LocalResponse {
            reply_handle: ticket,
            disposition: word,
            retry_after: come_back,
            elapsed: took,
            ..
        } = *given;
        let answer = Response {
            disposition: word,
            retry_after: come_back,
            reason: "",
            payload,
            elapsed: took,
        };
        self.ingresses[ticket.ingress].respond(&mut host.net, ticket, &answer);
    }

    fn send_pending_response(&mut self, due: PendingResponse) {
        let host = &mut self.context.scheduler.host;
        let now = host.net.now();
        let word = due.disposition.unwrap_or(Disposition::Failed);
        for (ticket, until) in due.clients.iter().filter(|t| t.0 != NO_CLIENT) {
            if now > *until {
                host.counters.expired += 1;
                self.ingresses[ticket.ingress].request_expired(now, *ticket);
                continue;
            }
            let (come_back, took) = (due.retry_after, due.elapsed);
            let answer = Response {
                disposition: word,
                retry_after: come_back,
                reason: "",
                payload: &due.payload,
                elapsed: took,
            };
            self.ingresses[ticket.ingress].respond(&mut host.net, *ticket, &answer);
        }
        if let Some(copy) = &mut host.replicator {
            copy.recycle_response(due);
        }
    }

    /// One more thing of the pair's own; false where nothing is left.
    pub(crate) fn deliver_failover_outcome(&mut self) -> bool {
        let host = &mut self.context.scheduler.host;
        let Some(copy) = &mut host.replicator else {
            return false;
        };
        if let Some(later) = copy.next_recorded() {
            match later {
                DeferredAction::Send { key, count } => {
                    if host
                        .calls
                        .get(key)
                        .is_some_and(|o| o.generation == count && !o.ended)
                    {
                        host.assign_connection(key);
                    }
                }
                DeferredAction::Respond(due) => self.send_pending_response(due),
            }
        } else if let Some(due) = copy.ready_responses.pop_front() {
            self.send_pending_response(due);
        } else if let Some((voter, of)) = copy.missing_votes.pop_front() {
            self.with_role(|seat, now, act| seat.vote_missing(now, act, voter, of));
        } else if std::mem::take(&mut copy.epoch_rejected) {
            self.with_role(|seat, _, act| seat.epoch_rejected(act));
        } else if copy.connection_overflowed {
            if let Some(conn) = copy.conn {
                self.context.net().reset(conn);
                self.set_owner(conn, Owner::Nobody);
            }
            self.peer_connection_closed();
        } else if let Some((at, ticket, until)) = self.context.awaited_remote.pop_front() {
            let theirs = self.failover.as_mut().map(|p| &mut p.state.theirs);
            match theirs.and_then(|t| t.get_mut(at)).and_then(Option::as_mut) {
                Some(kept) => kept.clients.push((ticket, until)),
                None => {
                    // It ended in the same wake-up: it is asked for again by whoever still wants it.
                    let mut due = copy_of(&mut self.context).new_response();
                    (due.disposition, due.retry_after) = (Some(Disposition::Rejected), UNFENCED);
                    due.clients.push((ticket, until));
                    self.send_pending_response(due);
                }
            }
        } else {
            let Some(pair) = &self.failover else {
                return false;
            };
            let resting = pair.role_machine.state() == Role::Draining
                || pair.state.leaving && pair.role_machine.state() == Role::Standby;
            if resting
                && self.requests_in_flight() == 0
                && self.stop_reason == StopReason::Drained
                && copy_of(&mut self.context).waiting_count() == 0
                && !self.has_unread_responses()
            {
                let was = self.role();
                self.with_role(|seat, now, act| seat.drained(now, act));
                if was == Some(Role::Draining) && self.role() == Some(Role::Standby) {
                    self.close_client_connections();
                }
            }
            return false;
        }
        true
    }

    /// Clients that are still connected are to find the other member.
    fn close_client_connections(&mut self) {
        if let Some(copy) = &mut self.context.scheduler.host.replicator {
            (copy.epoch, copy.streaming) = (0, false);
        }
        for place in 0..self.owners.len() {
            let (count, owner) = self.owners[place];
            if let Owner::Ingress(_) = owner {
                self.context.net().abort(Conn::new(place, count));
            }
        }
    }

    /// What `tidewall status` asks for.
    fn send_status(&mut self, conn: Conn) {
        let mut out = Vec::new();
        let host = &self.context.scheduler.host;
        let (Some(pair), Some(copy)) = (&self.failover, &host.replicator) else {
            return;
        };
        let f = Frame::new(&mut out, kind::STATUS).text(Field::Name, &pair.state.at.name);
        let f = f
            .text(Field::Word, pair.role_machine.state().text())
            .whole(Field::Epoch, pair.role_machine.epoch());
        let f = f
            .flag(Field::On, copy.conn.is_some())
            .whole(Field::Life, pair.state.at.incarnation);
        let f = f
            .whole(Field::InFlight, host.in_flight as u64)
            .whole(Field::Waiting, copy.waiting_count() as u64);
        let kept = pair.state.theirs.iter().flatten().count() as u64;
        let f = f
            .whole(Field::Copies, kept)
            .whole(Field::Seq, copy.last_sequence - copy.acknowledged_sequence);
        let f = f.whole(Field::Ballot, pair.state.bad);
        f.text(Field::Reason, pair.state.disagrees.as_deref().unwrap_or(""))
            .end();
        self.context.net().write(conn, &out);
    }
}

fn copy_of<N: Net>(core: &mut IngressContext<N>) -> &mut Replicator {
    core.scheduler
        .host
        .replicator
        .as_mut()
        .expect("a pair copies")
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
