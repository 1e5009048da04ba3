//! Votes of workers on leadership proposals, and fencing. Some workers are voters: a proposal needs a
//! majority of them. The granted leadership is announced to all workers, and each worker that accepts it
//! rejects from then on calls of the other gateway under an epoch below the fencing floor. Such a worker
//! counts as fenced.
use super::control_messages::VoteReply;
use super::replicator::{MissingVote, VoteRound};
use super::role_actions::GatewayActions;
use super::FailoverState;
use crate::error::ProtocolError;
use crate::protocol::CallName;
use crate::worker_pool::CallKind;
use crate::Gateway;
use tidewall::interface::EndpointState;
use tidewall_failover::leadership::Leadership;
use tidewall_failover::proposal::{epoch_number, ProposerTransport};
use tidewall_net::Net;
use tidewall_wire::Fields;
use tracing::debug;

/// The workers that have accepted this gateway's leadership, by their index.
#[derive(Default)]
pub(super) struct FencedWorkers {
    by_worker: Vec<bool>,
}

impl FencedWorkers {
    pub fn contains(&self, worker: usize) -> bool {
        self.by_worker.get(worker).copied().unwrap_or(false)
    }

    /// Adds a worker; returns false if it was already contained.
    fn insert(&mut self, worker: usize) -> bool {
        if self.by_worker.len() <= worker {
            self.by_worker.resize(worker + 1, false);
        }
        !std::mem::replace(&mut self.by_worker[worker], true)
    }

    pub fn clear(&mut self) {
        self.by_worker.clear();
    }
}

impl<N: Net> GatewayActions<'_, N> {
    /// Sends a vote request to a worker; `voter` is its index among the voters, if it is one.
    fn request_vote(&mut self, worker: usize, voter: Option<usize>, round: VoteRound) {
        let host = &mut self.gateway.context.scheduler.host;
        let expires_at = host.net.now() + self.state.config.silence_limit();
        let kind = CallKind::Vote {
            voter,
            ballot: round.ballot,
            accepting: round.accepting,
        };
        let call = host.start_call(kind, worker, 0, expires_at);
        host.assign_connection(call);
    }

    /// Sends a vote request to a voter. If the voter has no address, its vote is reported to the role state
    /// machine as missing, but only after the current event, as the state machine is in the middle of a step.
    fn request_voter(&mut self, voter: usize, round: VoteRound) {
        let host = &self.gateway.context.scheduler.host;
        let epoch = epoch_number(round.ballot);
        debug!(voter, epoch, phase = ?round.reply_to().phase, "vote requested");
        let worker = host.worker_names.get(&self.state.config.voters[voter]);
        match worker.filter(|worker| host.has_address(*worker)) {
            Some(worker) => self.request_vote(worker, Some(voter), round),
            None => self
                .replicator()
                .missing_votes
                .push_back(MissingVote { voter, round }),
        }
    }

    /// Announces the leadership to all workers that are not fenced yet, not only to the voters.
    pub(super) fn announce_leadership(&mut self, leadership: Leadership) {
        self.replicator().leadership = leadership;
        let round = VoteRound {
            ballot: leadership.epoch,
            accepting: true,
        };
        for worker in 0..self.gateway.context.scheduler.host.workers.len() {
            let has_address = self.gateway.context.scheduler.host.has_address(worker);
            if has_address && !self.state.fenced_workers.contains(worker) {
                self.request_vote(worker, None, round);
            }
        }
    }
}

impl<N: Net> ProposerTransport<Leadership> for GatewayActions<'_, N> {
    fn prepare(&mut self, voter: usize, ballot: u64) {
        let round = VoteRound {
            ballot,
            accepting: false,
        };
        self.request_voter(voter, round);
    }

    fn accept(&mut self, voter: usize, leadership: Leadership) {
        self.replicator().leadership = leadership;
        let round = VoteRound {
            ballot: leadership.epoch,
            accepting: true,
        };
        self.request_voter(voter, round);
    }
}

impl<N: Net> Gateway<N> {
    /// Queues the report that a worker will not reply to a vote request, if it is a voter. The last parameter
    /// is the ballot, and whether the worker was asked to accept.
    pub(crate) fn vote_missing(&mut self, voter: Option<usize>, (ballot, accepting): (u64, bool)) {
        let replicator = &mut self.context.scheduler.host.replicator;
        if let (Some(voter), Some(replicator)) = (voter, replicator) {
            let round = VoteRound { ballot, accepting };
            replicator
                .missing_votes
                .push_back(MissingVote { voter, round });
        }
    }

    /// Notes that a worker rejected this gateway's epoch; the role state machine is informed with the next
    /// deferred outcomes.
    pub(crate) fn epoch_rejected(&mut self) {
        if let Some(replicator) = &mut self.context.scheduler.host.replicator {
            replicator.epoch_rejected = true;
        }
    }

    /// Handles a worker's reply to a vote request. A reply to a call that has already ended still fences the
    /// worker.
    ///
    /// # Errors
    /// The reply is malformed, or refers to a call of another connection.
    pub(crate) fn vote_received(
        &mut self,
        connection: usize,
        worker: usize,
        fields: &Fields,
    ) -> Result<(), ProtocolError> {
        let host = &mut self.context.scheduler.host;
        let call_id = CallName::CallId(VoteReply::decode_call_id(fields)?);
        let Some(key) = host.call_key(call_id, connection)? else {
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
        let ended = host.calls[key].ended;
        let reply = VoteReply::decode(fields)?;
        host.remove_call(key);
        let (granted, acceptor) = (reply.granted, reply.acceptor);
        self.with_role(|role_machine, now, actions| {
            if let Some(voter) = voter.filter(|_| !ended) {
                let round = VoteRound { ballot, accepting }.reply_to();
                let epoch = epoch_number(ballot);
                debug!(voter, epoch, phase = ?round.phase, granted, "vote received");
                role_machine.vote_received(now, actions, voter, round, granted, acceptor);
            }
            let accepted = acceptor.accepted;
            let accepts_this_member =
                accepted.epoch >= role_machine.epoch() && accepted.member == actions.state.member;
            if accepting && granted && accepts_this_member {
                let newly_fenced = actions.state.fenced_workers.insert(worker);
                if newly_fenced && actions.state.recovering {
                    actions.gateway.take_over_requests(actions.state);
                }
            }
        });
        Ok(())
    }

    /// Updates whether all workers are fenced or removed, so that none executes attempts of earlier epochs.
    pub(super) fn update_fencing_complete(&mut self, state: &FailoverState) {
        let host = &mut self.context.scheduler.host;
        let all_fenced = host.workers.iter().enumerate().all(|(index, worker)| {
            worker.state() == EndpointState::Removed || state.fenced_workers.contains(index)
        });
        if let Some(replicator) = &mut host.replicator {
            replicator.all_workers_fenced = all_fenced;
        }
    }
}
