//! Runs the claim of a lease as a Paxos round: defines where the requests go and what may be proposed.
use crate::grantor::{Grant, LeaseOwner};
use crate::lease::LeaseActions;
use crate::proposer::{ProposalRule, ProposerTransport};

/// Connects a round, which addresses acceptors by number, to the grantors of one task.
pub(crate) struct GrantorTransport<'a, A> {
    pub(crate) actions: &'a mut A,
    pub(crate) task: usize,
    pub(crate) tag: u32,
    /// Whether the round sent its phase 2 requests.
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

/// A member proposes itself as the holder unless the lease of another member may still be running.
pub(crate) struct LeaseRule {
    pub(crate) requester: LeaseOwner,
}

impl ProposalRule<Grant> for LeaseRule {
    type Rejection = Grant;

    /// Rejects the proposal if a majority may have granted a lease to another owner and a grantor reported
    /// that lease as unexpired.
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
