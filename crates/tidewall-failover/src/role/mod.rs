//! The role state machine of one member: which one of the two serves, and when.
//!
//! VRRP says which member the address points at, a majority of voters says which one may serve, and the link between the
//! members says what the other one holds. A member that was superseded restarts its process, without state.
//!
//! | role | meaning | leaves it for |
//! | --- | --- | --- |
//! | `Standby` | does not serve | `Proposing` when VRRP makes it active, or the peer stepped down; `RequestingStepDown` when VRRP makes it active while the peer serves |
//! | `RequestingStepDown` | asked the peer to step down | `Proposing` when the peer did, or its link broke; `Standby` after a timeout or when VRRP makes it backup |
//! | `Proposing` | proposes its leadership | `Solo` when granted; `Replicating` when granted after the peer stepped down; `Standby` when not granted |
//! | `Solo` | serves alone | `Synchronizing` when the peer acknowledged a snapshot |
//! | `Synchronizing` | serves, the peer catches up | `Replicating` when the voters accepted the peer as synchronised; `PeerLost` when the link breaks |
//! | `Replicating` | serves with a synchronised standby | `Draining` when asked to step down; `PeerLost` when the link breaks |
//! | `PeerLost` | serves, but calls and responses wait | `Solo` when the voters accepted a leadership without the peer; `Stopped` after a timeout |
//! | `Draining` | completes what it received | `Standby` when nothing is in flight; `Solo` when nobody else serves and the voters grant it leadership |
//! | `Stopped` | restarts the process | |
//!
//! Each role that serves, and `Draining`, is left for `Stopped` when the other member turns out to serve under a newer
//! epoch.

mod actions;
mod events;
mod peer;
mod state;
mod votes;

pub use actions::RoleActions;
pub use state::Role;

use crate::flap_damping::FlapDamping;
use crate::leadership::Leadership;
use crate::proposal::{LeadershipProposer, ProposalRequest, Purpose};
use crate::Time;
use peer::{PeerStatus, ReplicationGate};

/// Decides the role of one member. It keeps no clock: each event brings the time, which never goes back.
pub struct RoleStateMachine {
    role: Role,
    role_since: Time,
    /// VRRP's advertisement interval.
    interval: Time,
    proposer: LeadershipProposer,
    /// The leadership under which this member serves, or served last.
    pub granted: Leadership,
    peer: PeerStatus,
    vrrp_enabled: bool,
    /// VRRP made this member active.
    vrrp_active: bool,
    flap_damping: FlapDamping,
    held_off_until: Time,
    replication: ReplicationGate,
    proposal_retry_at: Time,
    /// The leadership that is proposed was given up by the other member in favour of this one.
    peer_stepped_down: bool,
    /// The other member stepped down and completes requests that are not continued here while it lives.
    peer_drains: bool,
    shutdown_requested_at: Option<Time>,
    ineligible: bool,
}

/// A proposal without a majority is made again after this many advertisement intervals: long against a round trip to the
/// voters, short against the timeouts below.
const PROPOSAL_RETRY_INTERVALS: Time = 1;

/// A member that was asked to step down is waited for so many intervals: about three times as long as VRRP waits for an
/// Active router.
const STEP_DOWN_TIMEOUT_INTERVALS: Time = 10;

/// A member that lost the other one and finds no majority either gives up after so many intervals: by then the other one
/// may serve (three intervals and the skew time), and clients should find it.
const PEER_LOST_TIMEOUT_INTERVALS: Time = 10;

/// A member that just started waits so many intervals for the link before it does without: longer than the three after
/// which VRRP takes a silent router for gone.
const PEER_CONNECT_TIMEOUT_INTERVALS: Time = 5;

/// The first hold-off after a failed takeover and the longest one, in advertisement intervals: half a second to half a
/// minute at the usual interval of a tenth of a second.
const INITIAL_HOLD_OFF_INTERVALS: Time = 5;
const MAX_HOLD_OFF_INTERVALS: Time = 300;

impl RoleStateMachine {
    /// `member` is 0 or 1, `voters` is the number of voters, and `interval` is VRRP's advertisement interval.
    pub fn new(
        member: usize,
        incarnation: u64,
        voters: usize,
        interval: Time,
        now: Time,
    ) -> RoleStateMachine {
        RoleStateMachine {
            role: Role::Standby,
            role_since: now,
            interval,
            proposer: LeadershipProposer::new(member, incarnation, voters),
            granted: Leadership::default(),
            peer: PeerStatus::default(),
            vrrp_enabled: false,
            vrrp_active: false,
            flap_damping: FlapDamping::new(
                INITIAL_HOLD_OFF_INTERVALS * interval,
                MAX_HOLD_OFF_INTERVALS * interval,
            ),
            held_off_until: now,
            replication: ReplicationGate::new(interval),
            proposal_retry_at: 0,
            peer_stepped_down: false,
            peer_drains: false,
            shutdown_requested_at: None,
            ineligible: false,
        }
    }

    /// The present role.
    pub fn state(&self) -> Role {
        self.role
    }

    /// The epoch under which this member serves, or served last; 0 before the first one.
    pub fn epoch(&self) -> u64 {
        self.granted.epoch
    }

    /// Whether the other member's attempts and responses are fenced: it may still write records, which would let it act once
    /// they were acknowledged. One that stepped down in favour of this member completes what it received.
    pub fn fences_peer(&self) -> bool {
        self.role.serves() && !self.peer_drains
    }

    /// Whether this member may not take over, because its settings differ from the other member's.
    pub fn set_ineligible(&mut self, ineligible: bool) {
        self.ineligible = ineligible;
    }

    /// Whether a shutdown was requested and nobody takes over: the process ends as a gateway without a standby would.
    pub fn exits_without_peer(&self, now: Time) -> bool {
        let Some(requested_at) = self.shutdown_requested_at else {
            return false;
        };
        let timed_out = now > requested_at + STEP_DOWN_TIMEOUT_INTERVALS * self.interval;
        self.role == Role::Solo || self.role == Role::Replicating && timed_out
    }

    fn enter(&mut self, now: Time, role: Role) {
        (self.role, self.role_since) = (role, now);
    }

    /// Whether this role has lasted longer than so many advertisement intervals.
    fn role_outlasts(&self, now: Time, intervals: Time) -> bool {
        now > self.role_since + intervals * self.interval
    }

    fn restart(&mut self, now: Time, actions: &mut impl RoleActions, reason: &'static str) {
        self.proposer.abandon();
        self.enter(now, Role::Stopped);
        actions.restart_process(reason);
    }

    fn take_over(&mut self, now: Time, actions: &mut impl RoleActions) {
        if self.role != Role::Draining {
            self.enter(now, Role::Proposing);
        }
        let request = ProposalRequest {
            purpose: Purpose::TakeOver,
            synced_peer: self.peer_stepped_down.then_some(self.peer.incarnation),
        };
        self.proposer.propose(actions, request);
    }

    /// Gives up a takeover: VRRP is shut down and started again after the hold-off.
    fn back_off(&mut self, now: Time, actions: &mut impl RoleActions) {
        self.proposer.abandon();
        (self.peer_stepped_down, self.vrrp_active) = (false, false);
        self.disable_vrrp(actions);
        self.held_off_until = self.flap_damping.next_hold_off(now);
        if self.role != Role::Draining {
            self.enter(now, Role::Standby);
        }
    }

    fn disable_vrrp(&mut self, actions: &mut impl RoleActions) {
        (self.vrrp_enabled, self.vrrp_active) = (false, false);
        actions.set_vrrp_enabled(false);
    }

    /// Whether it may be a candidate: where the other member serves, it must count this one as synchronised.
    fn is_eligible(&self, now: Time) -> bool {
        let peer_permits = match self.peer.connected {
            true => !self.peer.serves || self.peer.counts_us_synced,
            false => now >= self.role_since + PEER_CONNECT_TIMEOUT_INTERVALS * self.interval,
        };
        peer_permits
            && now >= self.held_off_until
            && self.shutdown_requested_at.is_none()
            && !self.ineligible
    }

    /// Whether the other member will not serve: it is gone, or it requested a step-down and did not take over in time.
    fn peer_will_not_serve(&self, now: Time) -> bool {
        !self.peer.connected
            || !self.peer.serves && self.role_outlasts(now, STEP_DOWN_TIMEOUT_INTERVALS)
    }

    fn start_or_defer_replication(&mut self, now: Time, actions: &mut impl RoleActions) {
        if self.replication.start_or_defer(now) {
            actions.start_replication(false);
        }
    }
}
