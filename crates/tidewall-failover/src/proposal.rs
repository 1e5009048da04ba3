//! How a member obtains leadership: by one round of the Paxos proposer of `tidewall-lease`. Its acceptors are
//! the voters, which are workers named in the settings. This module decides what may be proposed: the voters'
//! replies tell the proposer of any leadership that a majority may have accepted before, and of the
//! incarnations that hold all state in flight.

use crate::leadership::{Leadership, LeadershipAcceptor};
use tidewall_lease::proposer::{BallotOwner, ProposalRule, ProposerRound, RoundOutcome};

pub use tidewall_lease::proposer::{ProposalPhase, ProposerTransport, ReplyTo};

/// The purpose of a leadership proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Start serving instead of the other member.
    TakeOver,
    /// Continue serving, with a different set of synchronised incarnations.
    Renew,
}

/// The outcome of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// A majority of voters accepted this leadership.
    Granted(Leadership),
    /// This incarnation does not hold all state in flight, and an incarnation that does may reconnect.
    OutOfSync,
    /// The other member serves, or may serve.
    Superseded,
    /// Too few voters could be reached, or too many promised a higher ballot.
    NoMajority,
    /// The voters know an incarnation of this member with a higher number. This process has to restart with a
    /// number above it, or the state recorded for that incarnation would be attributed to this one.
    StaleIncarnation,
}

/// The contents of a proposal, except its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposalRequest {
    /// Whether leadership is to be taken over or renewed.
    pub purpose: Purpose,
    /// The incarnation of the other member, if it holds all state in flight as well; its calls then stay
    /// valid. `None` fences its calls.
    pub synced_peer: Option<u64>,
}

impl ProposalRequest {
    /// Continues serving without the other member, whose calls are fenced.
    pub const RENEW_ALONE: ProposalRequest = ProposalRequest {
        purpose: Purpose::Renew,
        synced_peer: None,
    };
}

/// The number of lower bits of a ballot that identify its proposer: one for the member, the others for the
/// lowest bits of its incarnation, which is a time in milliseconds. They are enough to distinguish
/// incarnations up to a few hours apart.
const OWNER_BITS: u32 = 24;

/// The round number of an epoch, without the bits that identify its proposer. Logs and `tidewall status` show
/// it.
pub fn epoch_number(epoch: u64) -> u64 {
    epoch >> OWNER_BITS
}

/// Returns the number of the next incarnation: `clock`, the wall clock in milliseconds, or `last + 1` if that
/// is higher, where `last` is the previous number in this process. Otherwise two incarnations that start
/// within one millisecond, or before and after the clock is set back, could use the same ballots.
pub fn next_incarnation(last: u64, clock: u64) -> u64 {
    clock.max(last + 1)
}

/// Decides what may be proposed, depending on what the voters accepted before.
struct LeadershipRule {
    member: usize,
    incarnation: u64,
    request: Option<ProposalRequest>,
    /// All incarnations of the other member up to this number have ended.
    ended_peer_incarnation: u64,
    lost_state: bool,
    /// The highest incarnation of this member that the voters know, including the current one.
    newest_own_incarnation: u64,
}

/// Proposes leadership for one incarnation of a member.
pub struct LeadershipProposer {
    rule: LeadershipRule,
    round: ProposerRound<Leadership>,
}

impl LeadershipProposer {
    /// `member` is 0 or 1, `voters` is the number of voters.
    pub fn new(member: usize, incarnation: u64, voters: usize) -> LeadershipProposer {
        let owner = BallotOwner::new(OWNER_BITS, incarnation << 1 | member as u64);
        LeadershipProposer {
            rule: LeadershipRule {
                member,
                incarnation,
                request: None,
                ended_peer_incarnation: 0,
                lost_state: false,
                newest_own_incarnation: incarnation,
            },
            round: ProposerRound::new(owner, voters),
        }
    }

    /// Whether a proposal is in progress.
    pub fn is_proposing(&self) -> bool {
        self.round.in_progress()
    }

    /// Abandons the proposal in progress; late replies to it are ignored.
    pub fn abandon(&mut self) {
        self.round.stop();
    }

    /// Records that all incarnations of the other member up to this one have ended. The state that they held
    /// is gone, so a takeover does not wait for it.
    pub fn peer_incarnation_ended(&mut self, incarnation: u64) {
        self.rule.ended_peer_incarnation = self.rule.ended_peer_incarnation.max(incarnation);
    }

    /// The highest incarnation of this member that the voters know, including the current one.
    pub fn newest_own_incarnation(&self) -> u64 {
        self.rule.newest_own_incarnation
    }

    /// Whether the incarnations that held all state in flight have ended, so that no record of their requests
    /// in flight is left.
    pub fn has_lost_state(&self) -> bool {
        self.rule.lost_state
    }

    /// Clears the lost-state flag: this member holds all state in flight again, or has reported the loss.
    pub fn lost_state_handled(&mut self) {
        self.rule.lost_state = false;
    }

    /// Starts a proposal under a new ballot and abandons the one in progress.
    pub fn propose(
        &mut self,
        transport: &mut impl ProposerTransport<Leadership>,
        request: ProposalRequest,
    ) {
        self.rule.request = Some(request);
        self.round.begin(transport);
    }

    /// Handles a voter's reply to the request `reply_to`: whether the voter agreed, and the state that it
    /// stores. Returns the outcome once it is decided.
    pub fn vote_received(
        &mut self,
        transport: &mut impl ProposerTransport<Leadership>,
        voter: usize,
        reply_to: ReplyTo,
        agreed: bool,
        acceptor: LeadershipAcceptor,
    ) -> Option<ProposalOutcome> {
        self.round
            .reply_received(transport, &mut self.rule, voter, reply_to, agreed, acceptor)
            .map(proposal_outcome)
    }

    /// Handles a voter that cannot be reached or did not reply to the request `reply_to`. Returns the outcome
    /// once it is decided.
    pub fn vote_missing(
        &mut self,
        transport: &mut impl ProposerTransport<Leadership>,
        voter: usize,
        reply_to: ReplyTo,
    ) -> Option<ProposalOutcome> {
        self.round
            .reply_missing(transport, &mut self.rule, voter, reply_to)
            .map(proposal_outcome)
    }
}

fn proposal_outcome(outcome: RoundOutcome<Leadership, ProposalOutcome>) -> ProposalOutcome {
    match outcome {
        RoundOutcome::Granted(leadership) => ProposalOutcome::Granted(leadership),
        RoundOutcome::Rejected(reason) => reason,
        RoundOutcome::NoMajority => ProposalOutcome::NoMajority,
    }
}

impl ProposalRule<Leadership> for LeadershipRule {
    type Rejection = ProposalOutcome;

    fn propose(
        &mut self,
        ballot: u64,
        governing: Option<Leadership>,
    ) -> Result<Leadership, ProposalOutcome> {
        let request = self
            .request
            .expect("a round starts with the request that is stored before it");
        if let Some(governing) = governing {
            let known_incarnation = governing.synced_incarnations[self.member];
            self.newest_own_incarnation = self.newest_own_incarnation.max(known_incarnation);
            if known_incarnation > self.incarnation {
                return Err(ProposalOutcome::StaleIncarnation);
            }
            self.check_succession(request.purpose, governing)?;
            // Once set, the flag stays: if a minority of voters accepted an earlier proposal of this
            // incarnation, the governing leadership would wrongly list it as holding all state.
            self.lost_state |= governing.synced_incarnations[self.member] != self.incarnation;
        }
        let mut synced_incarnations = [0; 2];
        synced_incarnations[self.member] = self.incarnation;
        synced_incarnations[1 - self.member] = request.synced_peer.unwrap_or(0);
        let fencing_floor = match request.synced_peer {
            None => ballot,
            Some(_) => governing.map_or(0, |governing| governing.fencing_floor),
        };
        Ok(Leadership {
            epoch: ballot,
            member: self.member,
            synced_incarnations,
            fencing_floor,
        })
    }
}

impl LeadershipRule {
    /// Checks whether this incarnation may succeed the leadership that a majority may have accepted last.
    fn check_succession(
        &self,
        purpose: Purpose,
        governing: Leadership,
    ) -> Result<(), ProposalOutcome> {
        let synced = governing.synced_incarnations[self.member] == self.incarnation;
        match purpose {
            Purpose::Renew if governing.member == self.member && synced => Ok(()),
            Purpose::Renew => Err(ProposalOutcome::Superseded),
            Purpose::TakeOver if synced => Ok(()),
            // Every incarnation that held the state has ended, so waiting for one of them would recover
            // nothing.
            Purpose::TakeOver
                if governing.synced_incarnations[1 - self.member]
                    <= self.ended_peer_incarnation =>
            {
                Ok(())
            }
            Purpose::TakeOver => Err(ProposalOutcome::OutOfSync),
        }
    }
}
