//! The replies to the role state machine's proposals, and the role changes that their outcomes cause.

use super::{Role, RoleActions, RoleStateMachine, PROPOSAL_RETRY_INTERVALS};
use crate::leadership::{Leadership, LeadershipAcceptor};
use crate::proposal::{ProposalOutcome, ProposalRequest, Purpose, ReplyTo};
use crate::Time;

/// The restart reason of a member whose incarnation number is below that of an earlier incarnation.
const STALE_INCARNATION: &str = "the voters know a later incarnation of this member";

impl RoleStateMachine {
    /// The highest incarnation of this member that the voters know, including the current one.
    pub fn newest_own_incarnation(&self) -> u64 {
        self.proposer.newest_own_incarnation()
    }

    /// Handles a worker's rejection of a call that was sent under this member's epoch: a renewal shows
    /// whether the voters still accept this member as the one that serves.
    pub fn epoch_rejected(&mut self, actions: &mut impl RoleActions) {
        if self.role.serves() && !self.proposer.is_proposing() {
            let peer = self.peer.incarnation;
            let synced = peer > 0 && self.granted.synced_incarnations.contains(&peer);
            let request = ProposalRequest {
                purpose: Purpose::Renew,
                synced_peer: synced.then_some(peer),
            };
            self.proposer.propose(actions, request);
        }
    }

    /// Handles a voter's reply to the request `reply_to`: whether the voter agreed, and the state that it
    /// stores.
    pub fn vote_received(
        &mut self,
        now: Time,
        actions: &mut impl RoleActions,
        voter: usize,
        reply_to: ReplyTo,
        agreed: bool,
        acceptor: LeadershipAcceptor,
    ) {
        let outcome = self
            .proposer
            .vote_received(actions, voter, reply_to, agreed, acceptor);
        if let Some(outcome) = outcome {
            self.proposal_ended(now, actions, outcome);
        }
    }

    /// Handles a voter that cannot be reached or did not reply to the request `reply_to`.
    pub fn vote_missing(
        &mut self,
        now: Time,
        actions: &mut impl RoleActions,
        voter: usize,
        reply_to: ReplyTo,
    ) {
        if let Some(outcome) = self.proposer.vote_missing(actions, voter, reply_to) {
            self.proposal_ended(now, actions, outcome);
        }
    }

    fn proposal_ended(
        &mut self,
        now: Time,
        actions: &mut impl RoleActions,
        outcome: ProposalOutcome,
    ) {
        let retry_at = now + PROPOSAL_RETRY_INTERVALS * self.interval;
        match (self.role, outcome) {
            (Role::Proposing | Role::Draining, ProposalOutcome::Granted(leadership)) => {
                self.leadership_granted(now, actions, leadership)
            }
            (_, ProposalOutcome::StaleIncarnation) => self.restart(now, actions, STALE_INCARNATION),
            (Role::Proposing, _) => self.back_off(now, actions),
            (Role::Draining, ProposalOutcome::NoMajority) => self.proposal_retry_at = retry_at,
            (Role::Draining, _) => self.restart(
                now,
                actions,
                "the voters accepted that the other member serves alone",
            ),
            (role, ProposalOutcome::Granted(leadership)) if role.serves() => {
                self.leadership_renewed(now, actions, leadership)
            }
            (role, ProposalOutcome::NoMajority) if role.serves() => {
                self.proposal_retry_at = retry_at;
                if role == Role::Synchronizing {
                    // Restarts the wait for the other member's acknowledgements; when it has caught up again,
                    // the proposal is repeated.
                    actions.set_replication_wait(true);
                }
            }
            (role, _) if role.serves() => self.restart(
                now,
                actions,
                "a majority of voters accepted that the other member serves",
            ),
            _ => {}
        }
    }

    fn leadership_granted(
        &mut self,
        now: Time,
        actions: &mut impl RoleActions,
        leadership: Leadership,
    ) {
        self.granted = leadership;
        let peer_stepped_down = std::mem::take(&mut self.peer_stepped_down);
        (self.peer_drains, self.peer.serves) = (peer_stepped_down, false);
        if peer_stepped_down {
            self.enter(now, Role::Replicating);
            actions.set_replication_wait(true);
            actions.start_serving(leadership, false, false);
            actions.start_replication(true);
            return;
        }
        self.enter(now, Role::Solo);
        actions.set_replication_wait(false);
        let lost_state = self.proposer.has_lost_state();
        self.proposer.lost_state_handled();
        actions.start_serving(leadership, true, lost_state);
        if self.peer.connected {
            self.start_or_defer_replication(now, actions);
        }
    }

    fn leadership_renewed(
        &mut self,
        now: Time,
        actions: &mut impl RoleActions,
        leadership: Leadership,
    ) {
        self.granted = leadership;
        match self.role {
            Role::PeerLost => {
                self.enter(now, Role::Solo);
                let take_over = std::mem::take(&mut self.peer_drains);
                actions.leadership_renewed(leadership, take_over);
                actions.set_replication_wait(false);
                if self.peer.connected {
                    self.start_or_defer_replication(now, actions);
                }
            }
            Role::Synchronizing => {
                self.enter(now, Role::Replicating);
                actions.leadership_renewed(leadership, false);
            }
            _ => actions.leadership_renewed(leadership, false),
        }
    }
}
