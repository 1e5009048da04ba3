//! A lease's claim as a Paxos round: where its requests go, and what it may propose.
use crate::grantor::{Grant, LeaseOwner};
use crate::lease::LeaseActions;
use crate::proposer::{ProposalRule, ProposerTransport};

/// Connects a round, which knows acceptors only, with the grantors of one task.
pub(crate) struct GrantorTransport<'a, A> {
    pub(crate) actions: &'a mut A,
    pub(crate) task: usize,
    pub(crate) tag: u32,
    /// Whether the round went on to phase 2.
    pub(crate) accept_sent: bool,
}

impl<A: LeaseActions> ProposerTransport<Grant> for GrantorTransport<'_, A> {
    fn prepare(&mut self, acceptor: usize, ballot: u64) {
        self.actions.prepare(acceptor, self.task, ballot);
    }

    fn accept(&mut self, acceptor: usize, grant: Grant) {
        self.accept_sent = true;
        self.actions
            .accept(acceptor, self.task, grant.epoch, self.tag);
    }
}

/// A member proposes itself, unless another one's lease still runs.
pub(crate) struct LeaseRule {
    pub(crate) requester: LeaseOwner,
}

impl ProposalRule<Grant> for LeaseRule {
    type Rejection = Grant;

    /// Another's lease that a majority may have granted, and that still runs at a grantor that reported it, is respected.
    fn propose(&mut self, ballot: u64, accepted: Option<Grant>) -> Result<Grant, Grant> {
        match accepted {
            Some(other) if other.owner() != self.requester => Err(other),
            _ => Ok(Grant {
                epoch: ballot,
                member: self.requester.member,
                incarnation: self.requester.incarnation,
            }),
        }
    }
}
