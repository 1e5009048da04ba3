//! One of a pair of gateways behind one address: VRRP datagrams, the link to the other member, the copy of what that one
//! has in hand, and the voters' answers. `tidewall-failover` decides; this carries out.
mod apply;
mod duplicates;
mod peer_link;
pub mod replicator;
mod responses;
mod role_actions;
mod snapshot;
mod status;
mod takeover;
mod voting;
mod vrrp;

use crate::error::{ProtocolError, StartError};
use crate::ingress::{Disposition, IncomingRequest, ReplyHandle, Response, NO_CLIENT};
use crate::protocol::CallName;
use crate::worker_pool::{CallKind, LocalResponse};
use crate::{Gateway, IngressContext, Owner, OF_PAIR, OF_VRRP};
use replicator::{remember, taken, word, DeferredAction, PendingResponse, Replicator};
use role_actions::Acting;
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
use vrrp::v4;

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
}

fn copy_of<N: Net>(core: &mut IngressContext<N>) -> &mut Replicator {
    core.scheduler
        .host
        .replicator
        .as_mut()
        .expect("a pair copies")
}
