//! A transport that stores the requests of a proposer to voters, and computes the voters' replies.
use tidewall_failover::leadership::{Leadership, LeadershipAcceptor};
use tidewall_failover::proposal::{ProposalPhase, ProposerTransport, ReplyTo};

/// A request to a voter: to promise a ballot (no proposal), or to accept a proposal.
#[derive(Clone, Copy, PartialEq)]
pub struct SentRequest {
    pub voter: usize,
    pub ballot: u64,
    pub proposal: Option<Leadership>,
}

impl SentRequest {
    pub fn reply_to(&self) -> ReplyTo {
        let phase = match self.proposal {
            None => ProposalPhase::Prepare,
            Some(_) => ProposalPhase::Accept,
        };
        ReplyTo {
            ballot: self.ballot,
            phase,
        }
    }

    pub fn reply(&self, acceptor: &mut LeadershipAcceptor) -> Reply {
        let agreed = match self.proposal {
            None => acceptor.prepare(self.ballot),
            Some(proposal) => acceptor.accept(proposal),
        };
        Reply {
            agreed,
            acceptor: *acceptor,
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
pub struct Reply {
    pub agreed: bool,
    pub acceptor: LeadershipAcceptor,
}

/// Stores requests until a test replies to them.
#[derive(Default)]
pub struct SentRequests(pub Vec<SentRequest>);

impl ProposerTransport<Leadership> for SentRequests {
    fn prepare(&mut self, voter: usize, ballot: u64) {
        self.0.push(SentRequest {
            voter,
            ballot,
            proposal: None,
        });
    }

    fn accept(&mut self, voter: usize, proposal: Leadership) {
        self.0.push(SentRequest {
            voter,
            ballot: proposal.epoch,
            proposal: Some(proposal),
        });
    }
}
