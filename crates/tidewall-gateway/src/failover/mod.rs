//! Failover: two gateways run as an active/standby pair behind one shared address.
//!
//! Three parties have a say. VRRP tells which of the two wants to serve (`vrrp`). A majority of the workers, as
//! acceptors of leadership proposals, tells which of them may, and under which epoch (`voting`). The connection to the
//! peer tells what the other one knows (`peer_link`). The crate `tidewall-failover` weighs them
//! (`RoleStateMachine`); this module carries its decisions out inside the gateway's event loop (`role_actions`).
//!
//! What makes a takeover safe is the order of things:
//!
//! 1. The serving gateway writes a replication record (`records`) of each change of its requests in flight before the
//!    change has an effect outside (`replication`).
//! 2. Where a second execution may do harm, an attempt is sent to its worker, and a response to its client, only after the
//!    peer has acknowledged the record (`replicator`, `held_back`). So the peer knows of each attempt that may have been
//!    executed, and no client holds a response that the peer could contradict. A client that would stop waiting before that
//!    is told that its request failed, which promises nothing.
//! 3. A peer that has just connected gets a snapshot of all that is in flight or remembered (`snapshot`). Until it has
//!    acknowledged that, it is not told to the voters as synchronized, and may not take over.
//! 4. The peer applies the records to its table of the other's requests (`peer_requests`). When it serves, it continues
//!    each of them, waits until a worker is fenced, or ends it (`takeover`).
//! 5. Workers refuse what the other gateway sends under an epoch below the fencing floor of the leadership that they
//!    accepted: a gateway that was paused while its peer took over can do no harm, and restarts knowing nothing.
//!
//! A client whose connection was lost may send its request again to either gateway; `duplicates` finds what became of it.
//!
//! All times are whole tenths of a millisecond, but for the VRRP interval, which is in centiseconds as on its wire.
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
use vrrp::{VrrpState, VrrpVerdict};

/// Ticks, and with them heartbeats, in an advertisement interval: a tick that is late by one matters little.
const TICKS_PER_INTERVAL: Time = 4;

/// A peer that is well acknowledges within so many ticks (50 ms at the usual interval), also behind a long wake-up.
const USUAL_WAIT_TICKS: Time = 2;

/// The peer is lost after so many advertisement intervals without a message, as VRRP counts (RFC 9568, 6.1).
const SILENT_INTERVALS: Time = 3;

/// The authentication keys are read again every so many ticks: each second at the default interval of 10 centiseconds.
const KEY_RELOAD_TICKS: u64 = 40;

/// Workers that are not fenced yet are asked again every so many ticks: once in an advertisement interval.
const FENCING_RETRY_TICKS: u64 = 4;

/// The Retry-After of a request that cannot be decided before workers are fenced: a few round trips to the workers.
const FENCING_RETRY_AFTER: Time = 500;

/// The settings of one gateway of a pair.
pub struct FailoverConfig {
    /// This gateway's name.
    pub name: String,
    /// The other gateway's name.
    pub peer_name: String,
    /// Rises with each start of this gateway: the clock's milliseconds, so that it needs no storage.
    pub incarnation: u64,
    /// VRRP's virtual router identifier, 1 to 255, the same at both.
    pub vrid: u8,
    /// VRRP's priority, 1 to 255: the higher one serves where both may.
    pub priority: u8,
    /// VRRP's advertisement interval in centiseconds.
    pub interval: u16,
    /// Whether a higher priority takes over from a lower one that serves.
    pub preempt: bool,
    /// Where this gateway receives advertisements.
    pub vrrp_address: SocketAddr,
    /// Where the peer receives advertisements.
    pub peer_vrrp_address: SocketAddr,
    /// Where this gateway listens for its peer and for `tidewall status`.
    pub link_address: SocketAddr,
    /// Where the peer listens.
    pub peer_link_address: SocketAddr,
    /// The address that clients know, which moves with the leadership.
    pub shared_address: SocketAddr,
    /// Gives the keys of advertisements. Called again and again, so that keys change without a restart.
    pub keys: Box<dyn Fn() -> Keys>,
    /// The names of the workers that vote; an odd number.
    pub voters: Vec<String>,
    /// By request class: what a second execution may do.
    pub retry_safety: Vec<RetrySafety>,
    /// By request class: how long a response is remembered for clients that ask again.
    pub retention: Vec<Time>,
    /// Whether two attempts of one request may be executed at once.
    pub allows_hedging: bool,
    /// The limit of load requests: its window, the load requests that are free in it, and how many each request received
    /// in it adds.
    pub load_request_limit: (Time, f64, f64),
    /// Settings that both must have, a line each.
    pub shared_settings: Vec<String>,
    /// False only in an audit that is to notice that nothing is replicated.
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
    /// It was asked to stop and has no requests in flight.
    Drained,
    /// The process is to start again: its leadership was superseded, or could not be confirmed.
    Restart,
}

/// What this gateway knows besides its role.
struct FailoverState {
    config: FailoverConfig,
    /// This gateway's position in the pair, 0 or 1: the one whose name sorts first is 0.
    member: usize,
    vrrp: VrrpState,
    link: PeerLink,
    peer_requests: PeerRequests,
    /// The peer's requests are ours, and some of them wait for their workers to be fenced.
    recovering: bool,
    fenced_workers: FencedWorkers,
    /// Some ingress could not listen yet.
    listeners_pending: bool,
    ticks: u64,
    /// A shutdown was requested.
    shutting_down: bool,
}

/// One gateway of a pair: its role, and what its role depends on.
pub struct FailoverNode {
    role_machine: RoleStateMachine,
    state: FailoverState,
}

impl FailoverNode {
    /// This gateway's position in the pair, 0 or 1: the one whose name sorts first is 0.
    pub fn member(&self) -> usize {
        self.state.member
    }

    /// Where the peer and `tidewall status` connect.
    pub fn listener(&self) -> Option<Listener> {
        Some(self.state.link.listener)
    }

    /// Where advertisements come.
    pub fn port(&self) -> Option<DatagramSocket> {
        Some(self.state.vrrp.socket)
    }

    /// The gateway's role.
    pub fn state(&self) -> Role {
        self.role_machine.state()
    }
}

impl<N: Net> IngressContext<N> {
    /// The epoch under which this gateway serves; 0 where it is not one of a pair.
    pub fn epoch(&self) -> u64 {
        let replicator = self.scheduler.host.replicator.as_ref();
        replicator.map_or(0, |replicator| replicator.epoch)
    }

    /// The replicator of a gateway that is known to be one of a pair.
    fn expect_replicator(&mut self) -> &mut Replicator {
        let replicator = self.scheduler.host.replicator.as_mut();
        replicator.expect("a gateway with a failover node has a replicator")
    }
}

impl<N: Net> Gateway<N> {
    /// Makes this gateway one of a pair, standby at first.
    ///
    /// # Errors
    /// An address cannot be bound, or VRRP refuses a parameter.
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
        // An attempt that waits for its record gets one interval more than the link's silence.
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

    /// Lets the role state machine react to one event, and then to what VRRP concluded meanwhile. Without failover
    /// nothing happens.
    fn with_role(
        &mut self,
        react: impl FnOnce(&mut RoleStateMachine, Time, &mut GatewayActions<N>),
    ) {
        // Taken out, so that the role's actions may borrow all of the gateway.
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
        react(role_machine, now, &mut actions);
        while let Some(verdict) = actions.state.vrrp.verdict.take() {
            match verdict {
                VrrpVerdict::Active => role_machine.vrrp_became_active(now, &mut actions),
                VrrpVerdict::Backup => role_machine.vrrp_became_backup(now),
            }
        }
        self.failover = Some(node);
    }

    /// The epoch under which this gateway serves or served last; 0 where it never did.
    pub fn epoch(&self) -> u64 {
        self.context.epoch()
    }

    /// The first setting that the peer has otherwise.
    pub fn settings_mismatch(&self) -> Option<&str> {
        let node = self.failover.as_ref()?;
        node.state.link.settings_mismatch.as_deref()
    }

    /// Attempts, load requests and responses that wait for the peer's acknowledgement.
    pub fn unreplicated(&self) -> usize {
        let replicator = self.context.scheduler.host.replicator.as_ref();
        replicator.map_or(0, |replicator| replicator.waiting_count())
    }

    /// The gateway's role; none without failover.
    pub fn role(&self) -> Option<Role> {
        self.failover.as_ref().map(|node| node.state())
    }

    /// The failover timer fired: several times in an advertisement interval, all is looked after that no event would tell.
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
        state.link.excuse_stall(now, net.total_stall());
        self.give_up_records();
        self.check_peer_connection(now);
        self.with_role(|role_machine, now, actions| {
            role_machine.tick(now, actions);
            actions.after_tick(role_machine, now);
        });
        let exits = |node: &FailoverNode| node.role_machine.exits_without_peer(now);
        if self.failover.as_deref().is_some_and(exits) && !self.context.draining {
            self.context.draining = true;
            self.stop_listening();
        }
    }

    /// A shutdown is requested. False where the gateway is to end as one without failover would: there is none, or this
    /// is the second request.
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
