//! The role state machine of one member, which decides whether this member serves.
//!
//! VRRP selects the member that the address points at, a majority of voters grants one member the permission
//! to serve, and the link between the members reports what state the other one holds. A member that was
//! superseded restarts its process without state.
//!
//! | role | meaning | leaves it for |
//! | --- | --- | --- |
//! | `Standby` | does not serve | `Proposing` when VRRP makes it active, or the peer stepped down; `RequestingStepDown` when VRRP makes it active while the peer serves |
//! | `RequestingStepDown` | asked the peer to step down | `Proposing` when the peer stepped down, or its link broke; `Standby` after a timeout or when VRRP makes it backup |
//! | `Proposing` | proposes its leadership | `Solo` when granted; `Replicating` when granted after the peer stepped down; `Standby` when not granted |
//! | `Solo` | serves alone | `Synchronizing` when the peer acknowledged a snapshot |
//! | `Synchronizing` | serves, the peer catches up | `Replicating` when the voters accepted the peer as synchronised; `PeerLost` when the link breaks |
//! | `Replicating` | serves with a synchronised standby | `Draining` when asked to step down; `PeerLost` when the link breaks |
//! | `PeerLost` | serves, but calls and responses wait | `Solo` when the voters accepted a leadership without the peer; `Stopped` after a timeout |
//! | `Draining` | completes the requests that it received | `Standby` when no request is in flight; `Solo` when the peer does not serve and the voters grant it leadership |
//! | `Stopped` | restarts the process | |
//!
//! Each serving role, and `Draining`, changes to `Stopped` when the other member is found to serve under a
//! newer epoch.

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

/// Decides the role of one member. It reads no clock: each event carries the time, which never goes back.
pub struct RoleStateMachine {
    role: Role,
    role_since: Time,
    /// VRRP's advertisement interval.
    interval: Time,
    proposer: LeadershipProposer,
    /// The leadership under which this member serves or served last.
    pub granted: Leadership,
    peer: PeerStatus,
    vrrp_enabled: bool,
    /// Whether VRRP made this member active.
    vrrp_active: bool,
    flap_damping: FlapDamping,
    held_off_until: Time,
    replication: ReplicationGate,
    proposal_retry_at: Time,
    /// The other member stepped down in favour of this one, which proposes its leadership.
    peer_stepped_down: bool,
    /// The other member stepped down and completes the requests that it received. This member continues them
    /// only if the other one is lost.
    peer_drains: bool,
    shutdown_requested_at: Option<Time>,
    ineligible: bool,
}

/// A proposal without a majority is repeated after this many advertisement intervals: much longer than a
/// round trip to the voters, much shorter than the timeouts below.
const PROPOSAL_RETRY_INTERVALS: Time = 1;

/// How many advertisement intervals to wait for the other member to step down: about three times as long as
/// VRRP waits for a silent Active router.
const STEP_DOWN_TIMEOUT_INTERVALS: Time = 10;

/// A member that has lost the other one and reaches no majority restarts after this many advertisement
/// intervals. By then the other member may serve, as VRRP lets it take over after three intervals and the
/// skew time, and clients should connect to that one.
const PEER_LOST_TIMEOUT_INTERVALS: Time = 10;

/// How many advertisement intervals a member that just started waits for the link before it may take over
/// without it: longer than the three intervals after which VRRP considers a silent router gone.
const PEER_CONNECT_TIMEOUT_INTERVALS: Time = 5;

/// The initial and the maximum hold-off after a failed takeover, in advertisement intervals: half a second
/// and half a minute at the usual interval of a tenth of a second.
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

    /// The current role.
    pub fn state(&self) -> Role {
        self.role
    }

    /// The epoch under which this member serves or served last; 0 if it never served.
    pub fn epoch(&self) -> u64 {
        self.granted.epoch
    }

    /// Whether the other member's attempts and responses are fenced. Its records must then not be
    /// acknowledged, as it would send the attempts and responses that wait for the acknowledgement. A member
    /// that stepped down in favour of this one is not fenced: it completes the requests that it received.
    pub fn fences_peer(&self) -> bool {
        self.role.serves() && !self.peer_drains
    }

    /// Sets whether this member must not take over, because its settings differ from the other member's.
    pub fn set_ineligible(&mut self, ineligible: bool) {
        self.ineligible = ineligible;
    }

    /// Whether a shutdown was requested and the other member does not take over: the process then ends like a
    /// gateway without a standby.
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

    /// Whether the current role has lasted longer than this many advertisement intervals.
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

    /// Gives up a takeover: shuts down VRRP until the hold-off ends.
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

    /// Whether this member may take part in VRRP: if the other member serves, it must report this one as
    /// synchronised.
    fn is_eligible(&self, now: Time) -> bool {
        let peer_permits = match self.peer.connected {
            true => !self.peer.serves || self.peer.reports_us_synced,
            false => now >= self.role_since + PEER_CONNECT_TIMEOUT_INTERVALS * self.interval,
        };
        peer_permits
            && now >= self.held_off_until
            && self.shutdown_requested_at.is_none()
            && !self.ineligible
    }

    /// Whether the other member is not expected to serve: its link is down, or it does not serve and did not
    /// start to within the step-down timeout.
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
