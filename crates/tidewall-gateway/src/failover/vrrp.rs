//! VRRP on the gateway: its advertisements, its one timer, and its transitions to Active and Backup. The
//! protocol is implemented in `tidewall-vrrp`; transitions are passed to the role state machine, which alone
//! decides whether this gateway serves.
//!
//! Advertisements are authenticated and numbered, because a forged one could move the shared address to
//! another host.
use super::{FailoverConfig, FailoverState};
use crate::error::StartError;
use crate::timers::TimerToken;
use crate::Gateway;
use std::mem;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use tidewall_net::{DatagramSocket, Net, Time, TimerId};
use tidewall_vrrp::packet::{self, AdvertisementPacket, Keys, PacketError, ReplayGuard};
use tidewall_vrrp::{Parameters, Router, VrrpActions};
use tracing::warn;

/// The minimum time between log messages about rejected advertisements (1 s), so that forged packets cannot
/// flood the log.
const REJECTION_LOG_INTERVAL: Time = 10_000;

/// Advertisements are numbered from the incarnation, shifted left by this many bits. An incarnation is a time
/// in milliseconds, so the numbers after a restart are higher than those before it.
const INCARNATION_SHIFT: u32 = 20;

/// A transition of the VRRP router, caused by received or missing advertisements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VrrpTransition {
    /// This gateway should serve.
    Active,
    /// The peer should serve.
    Backup,
}

/// The VRRP state of this gateway.
pub(super) struct VrrpState {
    router: Router,
    keys: Keys,
    replay_guard: ReplayGuard,
    pub socket: DatagramSocket,
    /// The sequence number of the last advertisement sent, for the peer's replay guard.
    advertisement_number: u64,
    timer: Option<TimerId>,
    /// A transition that has not been passed to the role state machine yet.
    pub pending_transition: Option<VrrpTransition>,
    /// The total stall of the process when the timer fired last.
    total_stall: Time,
    /// The number of rejected advertisements.
    pub rejected: u64,
    /// When a rejected advertisement was logged last.
    rejection_logged_at: Time,
}

impl VrrpState {
    pub fn new(
        config: &FailoverConfig,
        socket: DatagramSocket,
        total_stall: Time,
    ) -> Result<VrrpState, StartError> {
        let parameters = Parameters {
            vrid: config.vrid,
            priority: config.priority,
            interval: config.interval,
            preempt: config.preempt,
            accept: true,
            address: ipv4_of(config.vrrp_address),
        };
        Ok(VrrpState {
            router: Router::new(parameters).map_err(StartError::Vrrp)?,
            keys: (config.keys)(),
            replay_guard: ReplayGuard::default(),
            socket,
            advertisement_number: config.incarnation << INCARNATION_SHIFT,
            timer: None,
            pending_transition: None,
            total_stall,
            rejected: 0,
            rejection_logged_at: 0,
        })
    }

    pub fn reload_keys(&mut self, config: &FailoverConfig) {
        self.keys = (config.keys)();
    }

    /// Runs `act` on the router, which may send advertisements, set its timer and store a transition.
    pub fn with_router<N: Net>(
        &mut self,
        config: &FailoverConfig,
        net: &mut N,
        act: impl FnOnce(&mut Router, &mut RouterActions<N>),
    ) {
        let mut actions = RouterActions {
            net,
            config,
            keys: &self.keys,
            socket: self.socket,
            advertisement_number: &mut self.advertisement_number,
            timer: &mut self.timer,
            pending_transition: &mut self.pending_transition,
        };
        act(&mut self.router, &mut actions);
    }

    fn timer_fired<N: Net>(&mut self, config: &FailoverConfig, net: &mut N) {
        self.timer = None;
        let total_stall = net.total_stall();
        // During a stall the process received no advertisements, which says nothing about the peer.
        let stalled = total_stall > mem::replace(&mut self.total_stall, total_stall);
        self.with_router(config, net, |router, actions| {
            if stalled && router.state() == tidewall_vrrp::State::Backup {
                actions.set_timer(0, router.active_down_interval());
            } else {
                router.timer_fired(actions);
            }
        });
    }

    fn datagram_received<N: Net>(
        &mut self,
        config: &FailoverConfig,
        net: &mut N,
        from: SocketAddr,
        bytes: &[u8],
    ) {
        let shared = [ipv4_of(config.shared_address)];
        let sender = ipv4_of(from);
        // The hash does not cover the sender's address, so a captured packet could be sent from another
        // address.
        let received = if sender == ipv4_of(config.peer_vrrp_address) {
            packet::receive(bytes, sender, &shared, &self.keys, &mut self.replay_guard)
        } else {
            Err(PacketError::UnexpectedSender)
        };
        match received {
            Ok(advertisement) if advertisement.vrid == config.vrid => {
                self.with_router(config, net, |router, actions| {
                    router.advertisement_received(actions, advertisement)
                });
            }
            Ok(_) => {}
            Err(error) => {
                self.rejected += 1;
                let now = net.now();
                let next_log = self.rejection_logged_at + REJECTION_LOG_INTERVAL;
                if now >= next_log || self.rejection_logged_at == 0 {
                    self.rejection_logged_at = now;
                    let reason = error.to_string();
                    warn!(reason, %from, total = self.rejected, "advertisement rejected");
                }
            }
        }
    }
}

/// The actions of the router, with the parts of the gateway that they use.
pub(super) struct RouterActions<'a, N: Net> {
    net: &'a mut N,
    config: &'a FailoverConfig,
    keys: &'a Keys,
    socket: DatagramSocket,
    advertisement_number: &'a mut u64,
    timer: &'a mut Option<TimerId>,
    pending_transition: &'a mut Option<VrrpTransition>,
}

impl<N: Net> VrrpActions for RouterActions<'_, N> {
    fn advertise(&mut self, vrid: u8, priority: u8, interval: u16) {
        *self.advertisement_number += 1;
        let mut datagram = Vec::new();
        let addresses = [ipv4_of(self.config.shared_address)];
        AdvertisementPacket {
            vrid,
            priority,
            interval,
            addresses: (&addresses[..]).into(),
            sequence: *self.advertisement_number,
        }
        .encode(self.keys, &mut datagram);
        self.net
            .send_datagram(self.socket, self.config.peer_vrrp_address, &datagram);
    }

    fn set_timer(&mut self, vrid: u8, delay: Time) {
        self.cancel_timer(vrid);
        let at = self.net.now() + delay;
        *self.timer = Some(self.net.set_timer(at, TimerToken::Vrrp.pack()));
    }

    fn cancel_timer(&mut self, _vrid: u8) {
        if let Some(timer) = self.timer.take() {
            self.net.cancel_timer(timer);
        }
    }

    fn become_active(&mut self, _vrid: u8, _accept: bool) {
        *self.pending_transition = Some(VrrpTransition::Active);
    }

    fn become_backup(&mut self, _vrid: u8) {
        *self.pending_transition = Some(VrrpTransition::Backup);
    }
}

/// The IPv4 address without its port; unspecified for IPv6, which the validation of settings rejects.
pub(super) fn ipv4_of(address: SocketAddr) -> Ipv4Addr {
    match address.ip() {
        IpAddr::V4(address) => address,
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    }
}

impl FailoverState {
    /// Starts or shuts down the VRRP router. An Active router advertises priority 0 to the peer when it shuts
    /// down.
    pub(super) fn set_vrrp_enabled<N: Net>(&mut self, net: &mut N, enabled: bool) {
        self.vrrp.with_router(&self.config, net, |router, actions| {
            if enabled {
                router.startup(actions)
            } else {
                router.shutdown(actions)
            }
        });
        if !enabled {
            // The role state machine requested the shutdown, so it needs no report of the transition.
            self.vrrp.pending_transition = None;
        }
    }
}

impl<N: Net> Gateway<N> {
    pub(crate) fn vrrp_timer_fired(&mut self) {
        self.with_role(|_, _, actions| {
            let net = &mut actions.gateway.context.scheduler.host.net;
            let state = &mut *actions.state;
            state.vrrp.timer_fired(&state.config, net);
        });
    }

    pub(crate) fn vrrp_datagram_received(&mut self, from: SocketAddr, bytes: &[u8]) {
        self.with_role(|_, _, actions| {
            let net = &mut actions.gateway.context.scheduler.host.net;
            let state = &mut *actions.state;
            state
                .vrrp
                .datagram_received(&state.config, net, from, bytes);
        });
    }

    /// The number of VRRP advertisements that were rejected as malformed, forged or replayed.
    pub fn rejected_advertisements(&self) -> u64 {
        self.failover
            .as_ref()
            .map_or(0, |node| node.state.vrrp.rejected)
    }
}
