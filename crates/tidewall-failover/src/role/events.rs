//! The events of the role state machine other than voters' replies: its timer, VRRP, the link to the other
//! member, and the shutdown of the process.

use super::peer::PeerStatus;
use super::{
    Role, RoleActions, RoleStateMachine, PEER_LOST_TIMEOUT_INTERVALS, STEP_DOWN_TIMEOUT_INTERVALS,
};
use crate::proposal::{ProposalRequest, Purpose};
use crate::Time;

/// The restart reason of a member that serves under an older epoch than the other one.
const SUPERSEDED: &str = "the other member serves under a newer epoch";

// Timer events.
impl RoleStateMachine {
    /// Handles the timer, which fires at least twice in an advertisement interval.
    pub fn tick(&mut self, now: Time, actions: &mut impl RoleActions) {
        match self.role {
            Role::Standby => self.tick_standby(now, actions),
            Role::RequestingStepDown if self.role_outlasts(now, STEP_DOWN_TIMEOUT_INTERVALS) => {
                self.back_off(now, actions)
            }
            Role::Solo if self.peer.connected && self.replication.is_due(now) => {
                self.replication.started();
                actions.start_replication(false);
            }
            Role::PeerLost if self.role_outlasts(now, PEER_LOST_TIMEOUT_INTERVALS) => self.restart(
                now,
                actions,
                "neither the other member nor a majority of voters can be reached",
            ),
            Role::PeerLost if self.may_retry_proposal(now) => {
                self.proposer.propose(actions, ProposalRequest::RENEW_ALONE)
            }
            Role::Draining
                if self.vrrp_active
                    && self.peer_will_not_serve(now)
                    && self.may_retry_proposal(now) =>
            {
                self.take_over(now, actions)
            }
            _ => {}
        }
    }

    fn tick_standby(&mut self, now: Time, actions: &mut impl RoleActions) {
        let peer_reports_us_unsynced =
            self.peer.connected && self.peer.serves && !self.peer.reports_us_synced;
        if !self.vrrp_enabled && self.is_eligible(now) {
            self.vrrp_enabled = true;
            actions.set_vrrp_enabled(true);
        } else if self.vrrp_enabled && peer_reports_us_unsynced {
            // As VRRP's Active router this member would ask the serving one to step down although the voters
            // do not count this one as synchronised.
            self.disable_vrrp(actions);
        } else if self.vrrp_active
            && self.peer_will_not_serve(now)
            && self.shutdown_requested_at.is_none()
        {
            self.take_over(now, actions);
        }
    }

    fn may_retry_proposal(&self, now: Time) -> bool {
        !self.proposer.is_proposing() && now >= self.proposal_retry_at
    }
}

// VRRP events.
impl RoleStateMachine {
    /// Handles VRRP's Active state: this member owns the addresses.
    pub fn vrrp_became_active(&mut self, now: Time, actions: &mut impl RoleActions) {
        self.vrrp_active = true;
        if self.role != Role::Standby {
            return;
        }
        if self.peer.connected && self.peer.serves {
            self.enter(now, Role::RequestingStepDown);
            actions.request_step_down();
        } else {
            self.take_over(now, actions);
        }
    }

    /// Handles VRRP's Backup state: this member does not own the addresses. If it serves, it continues until
    /// the other member asks it to step down.
    pub fn vrrp_became_backup(&mut self, now: Time) {
        self.vrrp_active = false;
        let pending = matches!(self.role, Role::RequestingStepDown | Role::Proposing);
        // If the other member has stepped down in favour of this one, the proposal continues; otherwise
        // neither would serve.
        if pending && !self.peer_stepped_down {
            self.proposer.abandon();
            self.enter(now, Role::Standby);
        }
    }
}

// Events of the link to the other member.
impl RoleStateMachine {
    /// Handles an established link, on which the other member reported its incarnation, whether it serves,
    /// and its epoch.
    pub fn peer_connected(
        &mut self,
        now: Time,
        actions: &mut impl RoleActions,
        incarnation: u64,
        serves: bool,
        epoch: u64,
    ) {
        self.proposer
            .peer_incarnation_ended(incarnation.saturating_sub(1));
        self.peer = PeerStatus {
            connected: true,
            incarnation,
            serves,
            reports_us_synced: false,
        };
        if self.is_superseded_by(serves, epoch) {
            return self.restart(now, actions, SUPERSEDED);
        }
        if serves && self.role == Role::Draining {
            return self.restart(
                now,
                actions,
                "the other member took over before this one had drained",
            );
        }
        if self.role == Role::Solo {
            self.start_or_defer_replication(now, actions);
        }
    }

    /// Handles a link that is about to be closed because acknowledgements of the other member took too long.
    pub fn peer_too_slow(&mut self, now: Time) {
        self.replication.hold_off(now);
    }

    /// Handles the other member's heartbeat: whether it serves, whether it reports that the voters count this
    /// member as synchronised, and its epoch.
    pub fn peer_heartbeat(
        &mut self,
        now: Time,
        actions: &mut impl RoleActions,
        serves: bool,
        reports_us_synced: bool,
        epoch: u64,
    ) {
        (self.peer.serves, self.peer.reports_us_synced) = (serves, reports_us_synced);
        if reports_us_synced {
            // The replica received from a serving member holds all state in flight.
            self.proposer.lost_state_handled();
        }
        if self.is_superseded_by(serves, epoch) {
            self.restart(now, actions, SUPERSEDED);
        }
    }

    fn is_superseded_by(&self, peer_serves: bool, peer_epoch: u64) -> bool {
        peer_serves && self.role.serves() && peer_epoch > self.granted.epoch
    }

    /// Handles a broken link.
    pub fn peer_disconnected(&mut self, now: Time, actions: &mut impl RoleActions) {
        self.peer.connected = false;
        match self.role {
            Role::Replicating | Role::Synchronizing => {
                self.enter(now, Role::PeerLost);
                self.proposer.propose(actions, ProposalRequest::RENEW_ALONE);
            }
            Role::RequestingStepDown => self.take_over(now, actions),
            // The other member stepped down and may have ended since; the voters' replies show whether this
            // one may serve.
            Role::Proposing if self.peer_stepped_down => {
                self.peer_stepped_down = false;
                self.take_over(now, actions);
            }
            _ => {}
        }
    }

    /// Handles the other member's request to step down.
    pub fn step_down_requested(&mut self, now: Time, actions: &mut impl RoleActions) {
        if self.role == Role::Replicating {
            self.proposer.abandon();
            self.enter(now, Role::Draining);
            actions.stop_accepting();
            actions.confirm_step_down();
        }
    }

    /// Handles the other member's confirmation that it has stepped down; the replica holds every request that
    /// it received.
    pub fn peer_stepped_down(&mut self, now: Time, actions: &mut impl RoleActions) {
        // Also in Standby, when this member no longer tries to take over: otherwise neither member would
        // serve.
        if matches!(self.role, Role::RequestingStepDown | Role::Standby) {
            self.peer_stepped_down = true;
            self.take_over(now, actions);
        }
    }

    /// Handles the other member's acknowledgement of the snapshot and of the updates sent up to its end.
    pub fn snapshot_acknowledged(&mut self, now: Time, actions: &mut impl RoleActions) {
        if self.role == Role::Solo && self.peer.connected {
            self.enter(now, Role::Synchronizing);
            actions.set_replication_wait(true);
        }
    }

    /// Handles the other member's acknowledgement of all updates sent before calls and responses began to
    /// wait for it.
    pub fn replication_caught_up(&mut self, actions: &mut impl RoleActions) {
        if self.role == Role::Synchronizing && !self.proposer.is_proposing() {
            let request = ProposalRequest {
                purpose: Purpose::Renew,
                synced_peer: self.peer.connected.then_some(self.peer.incarnation),
            };
            self.proposer.propose(actions, request);
        }
    }
}

// Shutdown of the process.
impl RoleStateMachine {
    /// Handles a requested shutdown. Returns whether the other member can take over; if it cannot, the
    /// process ends like a gateway without a standby.
    pub fn shutdown_requested(&mut self, now: Time, actions: &mut impl RoleActions) -> bool {
        self.shutdown_requested_at = Some(now);
        self.disable_vrrp(actions);
        match self.role {
            Role::Replicating | Role::Draining => true,
            Role::Standby | Role::RequestingStepDown | Role::Proposing => {
                self.proposer.abandon();
                self.enter(now, Role::Standby);
                true
            }
            _ => false,
        }
    }

    /// Handles the end of the last request in flight.
    pub fn drained(&mut self, now: Time, actions: &mut impl RoleActions) {
        if self.role == Role::Draining && !self.proposer.is_proposing() {
            self.enter(now, Role::Standby);
        }
        if self.shutdown_requested_at.is_some() && self.role == Role::Standby {
            actions.exit_process();
        }
    }
}
