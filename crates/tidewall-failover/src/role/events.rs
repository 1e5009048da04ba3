//! The events of the role state machine that are no replies of voters: its timer, VRRP, the link to the other member, and
//! the end of the process.

use super::peer::PeerStatus;
use super::{
    Role, RoleActions, RoleStateMachine, PEER_LOST_TIMEOUT_INTERVALS, STEP_DOWN_TIMEOUT_INTERVALS,
};
use crate::proposal::{ProposalRequest, Purpose};
use crate::Time;

/// Why a process restarts that serves under an older epoch than the other member.
const SUPERSEDED: &str = "the other member serves under a newer epoch";

// The timer.
impl RoleStateMachine {
    /// Time passed. Called at least twice in an advertisement interval.
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
        let peer_does_not_count_us =
            self.peer.connected && self.peer.serves && !self.peer.counts_us_synced;
        if !self.vrrp_enabled && self.is_eligible(now) {
            self.vrrp_enabled = true;
            actions.set_vrrp_enabled(true);
        } else if self.vrrp_enabled && peer_does_not_count_us {
            // As VRRP's Active router it would ask a member to step down that does not count it as synchronised.
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

// VRRP.
impl RoleStateMachine {
    /// VRRP: this member owns the addresses.
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

    /// VRRP: this member does not own the addresses. Whoever serves goes on until it is asked to step down.
    pub fn vrrp_became_backup(&mut self, now: Time) {
        self.vrrp_active = false;
        let pending = matches!(self.role, Role::RequestingStepDown | Role::Proposing);
        // Where the other member stepped down in our favour the proposal goes on, or nobody would serve.
        if pending && !self.peer_stepped_down {
            self.proposer.abandon();
            self.enter(now, Role::Standby);
        }
    }
}

// The link to the other member.
impl RoleStateMachine {
    /// The link is established, and the other member reported its incarnation, whether it serves, and its epoch.
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
            counts_us_synced: false,
        };
        if self.is_superseded_by(serves, epoch) {
            return self.restart(now, actions, SUPERSEDED);
        }
        if serves && self.role == Role::Draining {
            return self.restart(now, actions, "the other member went on without us");
        }
        if self.role == Role::Solo {
            self.start_or_defer_replication(now, actions);
        }
    }

    /// The link is about to be closed: what waits for the other member has waited too long.
    pub fn peer_too_slow(&mut self, now: Time) {
        self.replication.hold_off(now);
    }

    /// The other member's heartbeat: whether it serves, whether the voters count us as synchronised with it, its epoch.
    pub fn peer_heartbeat(
        &mut self,
        now: Time,
        actions: &mut impl RoleActions,
        serves: bool,
        counts_us_synced: bool,
        epoch: u64,
    ) {
        (self.peer.serves, self.peer.counts_us_synced) = (serves, counts_us_synced);
        if counts_us_synced {
            // All state in flight came from a member that serves.
            self.proposer.lost_state_handled();
        }
        if self.is_superseded_by(serves, epoch) {
            self.restart(now, actions, SUPERSEDED);
        }
    }

    fn is_superseded_by(&self, peer_serves: bool, peer_epoch: u64) -> bool {
        peer_serves && self.role.serves() && peer_epoch > self.granted.epoch
    }

    /// The link broke.
    pub fn peer_disconnected(&mut self, now: Time, actions: &mut impl RoleActions) {
        self.peer.connected = false;
        match self.role {
            Role::Replicating | Role::Synchronizing => {
                self.enter(now, Role::PeerLost);
                self.proposer.propose(actions, ProposalRequest::RENEW_ALONE);
            }
            Role::RequestingStepDown => self.take_over(now, actions),
            // It stepped down; whether it has ended by now the voters' replies show.
            Role::Proposing if self.peer_stepped_down => {
                self.peer_stepped_down = false;
                self.take_over(now, actions);
            }
            _ => {}
        }
    }

    /// The other member asks this one to step down.
    pub fn step_down_requested(&mut self, now: Time, actions: &mut impl RoleActions) {
        if self.role == Role::Replicating {
            self.proposer.abandon();
            self.enter(now, Role::Draining);
            actions.stop_accepting();
            actions.confirm_step_down();
        }
    }

    /// The other member has stepped down; all that it received is in the replica here.
    pub fn peer_stepped_down(&mut self, now: Time, actions: &mut impl RoleActions) {
        // In Standby too, where this member no longer wants to serve: nobody else does.
        if matches!(self.role, Role::RequestingStepDown | Role::Standby) {
            self.peer_stepped_down = true;
            self.take_over(now, actions);
        }
    }

    /// The other member recorded the snapshot and the updates up to now.
    pub fn snapshot_acknowledged(&mut self, now: Time, actions: &mut impl RoleActions) {
        if self.role == Role::Solo && self.peer.connected {
            self.enter(now, Role::Synchronizing);
            actions.set_replication_wait(true);
        }
    }

    /// The other member also recorded what was under way when calls and responses began to wait for it.
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

// The end of the process.
impl RoleStateMachine {
    /// A shutdown was requested: the other member takes over where it can. False where it cannot: the process ends as a
    /// gateway without a standby would.
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

    /// Nothing is in flight.
    pub fn drained(&mut self, now: Time, actions: &mut impl RoleActions) {
        if self.role == Role::Draining && !self.proposer.is_proposing() {
            self.enter(now, Role::Standby);
        }
        if self.shutdown_requested_at.is_some() && self.role == Role::Standby {
            actions.exit_process();
        }
    }
}
