//! Failover: two gateways run as an active/standby pair behind one shared address.
//!
//! The role of a gateway depends on three inputs. VRRP selects the gateway that should serve (`vrrp`). A
//! majority of the voters, which are workers that act as acceptors of leadership proposals, decides which
//! gateway may serve, and under which epoch (`voting`). The connection to the peer reports the peer's state
//! (`peer_link`). `RoleStateMachine` of the crate `tidewall-failover` decides the role from them; this module
//! carries its decisions out inside the gateway's event loop (`role_actions`).
//!
//! These rules make a takeover safe:
//!
//! 1. The serving gateway writes a replication record (`records`) for each change of its requests in flight
//!    before the change takes effect outside the gateway (`replication`).
//! 2. If a second execution may be harmful, an attempt is sent to its worker, and a response to its client,
//!    only after the peer has acknowledged the record (`replicator`, `held_back`). The peer therefore knows
//!    each attempt that may have been executed, and no client receives a response that the peer could
//!    contradict. A client that would stop waiting before the acknowledgement is told that its request
//!    failed, which remains correct after a takeover.
//! 3. A newly connected peer receives a snapshot of all requests in flight and all stored responses
//!    (`snapshot`). Until it has acknowledged the snapshot, it is not reported to the voters as synchronised
//!    and must not take over.
//! 4. The peer applies the records to its table of the serving gateway's requests (`peer_requests`). When it
//!    starts serving, it continues each of them, waits until a worker is fenced, or ends the request
//!    (`takeover`).
//! 5. Workers reject calls of the other gateway under an epoch below the fencing floor of the leadership that
//!    they accepted. A gateway that was paused while its peer took over therefore cannot have attempts
//!    executed, and restarts without state.
//!
//! A client that lost its connection may send its request again to either gateway; `duplicates` finds the
//! request in flight or its response.
//!
//! All times are whole tenths of a millisecond, except for the VRRP interval, which is in centiseconds as in
//! the packet.
pub mod control_messages;
mod duplicates;
mod held_back;
mod peer_link;
mod peer_requests;
pub mod records;
mod replication;
pub mod replicator;
mod responses;
mod role_actions;
mod snapshot;
mod status;
mod takeover;
mod voting;
mod vrrp;

use crate::error::StartError;
use crate::timers::TimerToken;
use crate::{Gateway, IngressContext};
pub(crate) use duplicates::RetryingClient;
use peer_link::PeerLink;
use peer_requests::PeerRequests;
use replicator::Replicator;
use role_actions::GatewayActions;
use std::net::SocketAddr;
use tidewall_failover::recovery::RetrySafety;
use tidewall_failover::role::{Role, RoleStateMachine};
use tidewall_net::{DatagramSocket, Listener, Net, Time};
use tidewall_vrrp::packet::Keys;
use tidewall_vrrp::CENTISECOND;
use voting::FencedWorkers;
use vrrp::{VrrpState, VrrpTransition};

/// The number of ticks in an advertisement interval. Each tick sends a heartbeat, so one missing or late
/// heartbeat does not let the silence limit expire.
const TICKS_PER_INTERVAL: Time = 4;

/// A healthy peer acknowledges within this many ticks (50 ms at the usual interval), even after a long
/// wake-up.
const USUAL_WAIT_TICKS: Time = 2;

/// The peer counts as lost after this many advertisement intervals without a message, like VRRP's Active
/// router (RFC 9568, 6.1).
const SILENT_INTERVALS: Time = 3;

/// The authentication keys are reloaded after this many ticks: each second at the default interval of 10
/// centiseconds.
const KEY_RELOAD_TICKS: u64 = 40;

/// The leadership is announced again to workers that are not fenced yet after this many ticks: once in an
/// advertisement interval.
const FENCING_RETRY_TICKS: u64 = 4;

/// The Retry-After of a request whose outcome is unknown until workers are fenced: a few round trips to the
/// workers.
const FENCING_RETRY_AFTER: Time = 500;

/// The settings of one gateway of a pair.
pub struct FailoverConfig {
    /// This gateway's name.
    pub name: String,
    /// The other gateway's name.
    pub peer_name: String,
    /// Rises with each start of this gateway: the wall clock's time in milliseconds, so that no storage is
    /// needed.
    pub incarnation: u64,
    /// VRRP's virtual router identifier, 1 to 255, equal on both gateways.
    pub vrid: u8,
    /// VRRP's priority, 1 to 255: if both gateways may serve, the one with the higher priority does.
    pub priority: u8,
    /// VRRP's advertisement interval in centiseconds.
    pub interval: u16,
    /// Whether a gateway of higher priority takes over from one of lower priority that serves.
    pub preempt: bool,
    /// The address on which this gateway receives advertisements.
    pub vrrp_address: SocketAddr,
    /// The address on which the peer receives advertisements.
    pub peer_vrrp_address: SocketAddr,
    /// The address on which this gateway listens for its peer and for `tidewall status`.
    pub link_address: SocketAddr,
    /// The address on which the peer listens.
    pub peer_link_address: SocketAddr,
    /// The address to which clients connect, which moves with the leadership.
    pub shared_address: SocketAddr,
    /// Loads the keys of advertisements. Called periodically, so that keys can change without a restart.
    pub keys: Box<dyn Fn() -> Keys>,
    /// The names of the workers that are voters; an odd number.
    pub voters: Vec<String>,
    /// By request class: whether a request may be executed again.
    pub retry_safety: Vec<RetrySafety>,
    /// By request class: how long a response is stored for clients that repeat the request.
    pub retention: Vec<Time>,
    /// Whether two attempts of one request may be executed concurrently.
    pub allows_hedging: bool,
    /// The limit of load requests: its window, the base allowance within it, and the additional allowance for
    /// each client request received within it.
    pub load_request_limit: (Time, f64, f64),
    /// The settings that must be equal on both gateways, one per line.
    pub shared_settings: Vec<String>,
    /// Whether records of requests are replicated. False only in a test which checks that an audit detects
    /// missing replication.
    pub replicates: bool,
}

impl FailoverConfig {
    /// VRRP's advertisement interval.
    fn advertisement_interval(&self) -> Time {
        Time::from(self.interval) * CENTISECOND
    }

    /// The time from one failover tick to the next.
    fn tick_interval(&self) -> Time {
        self.advertisement_interval() / TICKS_PER_INTERVAL
    }

    /// How long the peer may send nothing before it counts as lost.
    fn silence_limit(&self) -> Time {
        SILENT_INTERVALS * self.advertisement_interval()
    }
}

/// Why a gateway's event loop was stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// It was requested to stop and has no requests in flight.
    Drained,
    /// The process has to restart: its leadership was superseded or could not be confirmed.
    Restart,
}

/// The failover state of this gateway, except for the role state machine.
struct FailoverState {
    config: FailoverConfig,
    /// This gateway's position in the pair, 0 or 1: the one whose name sorts first is 0.
    member: usize,
    vrrp: VrrpState,
    link: PeerLink,
    peer_requests: PeerRequests,
    /// This gateway took over the peer's requests, and some of them wait until their workers are fenced.
    recovering: bool,
    fenced_workers: FencedWorkers,
    /// At least one ingress could not listen on its address yet.
    listeners_pending: bool,
    ticks: u64,
    /// A shutdown was requested.
    shutting_down: bool,
}

/// One gateway of a pair: its role state machine, and the state on which its role depends.
pub struct FailoverNode {
    role_machine: RoleStateMachine,
    state: FailoverState,
}

impl FailoverNode {
    /// This gateway's position in the pair, 0 or 1: the one whose name sorts first is 0.
    pub fn member(&self) -> usize {
        self.state.member
    }

    /// The listener for the peer and `tidewall status`.
    pub fn listener(&self) -> Option<Listener> {
        Some(self.state.link.listener)
    }

    /// The socket that receives advertisements.
    pub fn port(&self) -> Option<DatagramSocket> {
        Some(self.state.vrrp.socket)
    }

    /// The gateway's role.
    pub fn state(&self) -> Role {
        self.role_machine.state()
    }
}

impl<N: Net> IngressContext<N> {
    /// The epoch under which this gateway serves; 0 without failover.
    pub fn epoch(&self) -> u64 {
        let replicator = self.scheduler.host.replicator.as_ref();
        replicator.map_or(0, |replicator| replicator.epoch)
    }

    /// The replicator; panics without failover.
    fn expect_replicator(&mut self) -> &mut Replicator {
        let replicator = self.scheduler.host.replicator.as_mut();
        replicator.expect("a gateway with a failover node has a replicator")
    }
}

impl<N: Net> Gateway<N> {
    /// Makes this gateway a member of a pair, initially as the standby.
    ///
    /// # Errors
    /// An address cannot be bound, or a VRRP parameter is out of range.
    pub(crate) fn enable_failover(&mut self, config: FailoverConfig) -> Result<(), StartError> {
        let member = usize::from(config.name > config.peer_name);
        let interval = config.advertisement_interval();
        let net = self.context.net();
        let now = net.now();
        let address = config.vrrp_address;
        let (socket, _) = net
            .bind_datagram(address)
            .map_err(|source| StartError::BindDatagrams { address, source })?;
        let address = config.link_address;
        let (listener, _) = net
            .listen(address)
            .map_err(|source| StartError::Listen { address, source })?;
        net.set_timer(
            now + config.tick_interval(),
            TimerToken::FailoverTick.pack(),
        );
        // An action that waits for its record gets one interval more than the silence limit of the link.
        let silence_timeout = config.silence_limit() + interval;
        let usual_wait = USUAL_WAIT_TICKS * config.tick_interval();
        let replicator = Replicator::new(member, &config, silence_timeout, usual_wait);
        self.context.scheduler.host.replicator = Some(Box::new(replicator));
        let total_stall = self.context.net().total_stall();
        let state = FailoverState {
            member,
            vrrp: VrrpState::new(&config, socket, total_stall)?,
            link: PeerLink::new(listener, now, total_stall),
            peer_requests: PeerRequests::default(),
            recovering: false,
            fenced_workers: FencedWorkers::default(),
            listeners_pending: false,
            ticks: 0,
            shutting_down: false,
            config,
        };
        let voters = state.config.voters.len();
        let incarnation = state.config.incarnation;
        let role_machine = RoleStateMachine::new(member, incarnation, voters, interval, now);
        self.failover = Some(Box::new(FailoverNode {
            role_machine,
            state,
        }));
        Ok(())
    }

    /// Lets the role state machine handle one event, and then any VRRP transition that the event caused. Does
    /// nothing without failover.
    fn with_role(
        &mut self,
        handle_event: impl FnOnce(&mut RoleStateMachine, Time, &mut GatewayActions<N>),
    ) {
        // The node is taken out so that the role's actions can borrow the whole gateway.
        let Some(mut node) = self.failover.take() else {
            return;
        };
        let now = self.context.net().now();
        let FailoverNode {
            role_machine,
            state,
        } = &mut *node;
        let mut actions = GatewayActions {
            gateway: self,
            state,
        };
        handle_event(role_machine, now, &mut actions);
        while let Some(transition) = actions.state.vrrp.pending_transition.take() {
            match transition {
                VrrpTransition::Active => role_machine.vrrp_became_active(now, &mut actions),
                VrrpTransition::Backup => role_machine.vrrp_became_backup(now),
            }
        }
        self.failover = Some(node);
    }

    /// The epoch under which this gateway serves or served last; 0 if it never served.
    pub fn epoch(&self) -> u64 {
        self.context.epoch()
    }

    /// The first setting that differs from the peer's.
    pub fn settings_mismatch(&self) -> Option<&str> {
        let node = self.failover.as_ref()?;
        node.state.link.settings_mismatch.as_deref()
    }

    /// The number of attempts, load requests and responses that wait for the peer's acknowledgement.
    pub fn unreplicated(&self) -> usize {
        let replicator = self.context.scheduler.host.replicator.as_ref();
        replicator.map_or(0, |replicator| replicator.waiting_count())
    }

    /// The gateway's role; `None` without failover.
    pub fn role(&self) -> Option<Role> {
        self.failover.as_ref().map(|node| node.state())
    }

    /// Handles the failover timer, which fires several times in an advertisement interval, and checks every
    /// condition that no other event reports.
    pub(crate) fn failover_tick(&mut self) {
        let Some(node) = &mut self.failover else {
            return;
        };
        let state = &mut node.state;
        let net = &mut self.context.scheduler.host.net;
        let now = net.now();
        net.set_timer(
            now + state.config.tick_interval(),
            TimerToken::FailoverTick.pack(),
        );
        state.ticks += 1;
        if state.ticks.is_multiple_of(KEY_RELOAD_TICKS) {
            state.vrrp.reload_keys(&state.config);
        }
        state.link.note_stall(now, net.total_stall());
        self.give_up_records();
        self.check_peer_connection(now);
        self.with_role(|role_machine, now, actions| {
            role_machine.tick(now, actions);
            actions.after_tick(role_machine, now);
        });
        let exits_without_peer = |node: &FailoverNode| node.role_machine.exits_without_peer(now);
        if self.failover.as_deref().is_some_and(exits_without_peer) && !self.context.draining {
            self.context.draining = true;
            self.stop_listening();
        }
    }

    /// Handles a requested shutdown. Returns false if the gateway has to end like one without failover:
    /// failover is not configured, this is the second request, or the peer cannot take over.
    pub(crate) fn begin_failover_shutdown(&mut self) -> bool {
        match &mut self.failover {
            Some(node) if !node.state.shutting_down => node.state.shutting_down = true,
            _ => return false,
        }
        let mut waits_for_peer = false;
        self.with_role(|role_machine, now, actions| {
            waits_for_peer = role_machine.shutdown_requested(now, actions);
        });
        self.deliver_deferred_outcomes();
        waits_for_peer
    }
}
