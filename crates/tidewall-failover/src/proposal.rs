//! How a member is granted leadership: one round of the Paxos proposer of `tidewall-lease`, whose acceptors, the voters,
//! are workers named in the settings. This module decides what may be proposed: the proposer learns of any leadership that
//! a majority may have accepted before, and of the incarnations that hold all state in flight.

use crate::leadership::{Leadership, LeadershipAcceptor};
use tidewall_lease::proposer::{BallotOwner, ProposalRule, ProposerRound, RoundOutcome};

pub use tidewall_lease::proposer::{ProposalPhase, ProposerTransport, ReplyTo};

/// Why leadership is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// To serve instead of the other member.
    TakeOver,
    /// To go on serving, with another set of synchronised incarnations.
    Renew,
}

/// How a proposal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// A majority of voters accepted it.
    Granted(Leadership),
    /// This incarnation does not hold all state in flight, and one that does may come back.
    OutOfSync,
    /// The other member serves, or may serve.
    Superseded,
    /// Too few voters could be reached, or they promised a higher ballot.
    NoMajority,
    /// The voters know an incarnation of this member with a higher number: this one has to start again above it, or what is
    /// kept of that one would be taken for what this one knows.
    Outnumbered,
}

/// What to propose, besides the epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposalRequest {
    /// Why it is proposed.
    pub purpose: Purpose,
    /// The incarnation of the other member, where it holds all state in flight as well. Its calls stay valid then; `None`
    /// fences them.
    pub synced_peer: Option<u64>,
}

impl ProposalRequest {
    /// To go on serving without the other member, whose calls are fenced.
    pub const RENEW_ALONE: ProposalRequest = ProposalRequest {
        purpose: Purpose::Renew,
        synced_peer: None,
    };
}

/// The lower bits of a ballot: the member, and so much of its incarnation that incarnations (milliseconds) a few hours
/// apart differ.
const OWNER_BITS: u32 = 24;

/// The round of an epoch: its number without the bits that name who proposed it. Logs and `tidewall status` show this.
pub fn epoch_number(epoch: u64) -> u64 {
    epoch >> OWNER_BITS
}

/// The number of the next incarnation: the wall clock in milliseconds, but above `last`, the number before in this process.
/// Two incarnations within one millisecond, or across a clock that was set back, would use the same ballots.
pub fn next_incarnation(last: u64, clock: u64) -> u64 {
    clock.max(last + 1)
}

/// Decides what may be proposed, by what the voters accepted before.
struct LeadershipRule {
    member: usize,
    incarnation: u64,
    request: Option<ProposalRequest>,
    /// Incarnations of the other member up to this one ended.
    ended_peer_incarnation: u64,
    lost_state: bool,
    /// The highest incarnation of this member that voters know.
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

    /// Whether a proposal is under way.
    pub fn is_proposing(&self) -> bool {
        self.round.in_progress()
    }

    /// Abandons the proposal under way; replies to it are ignored.
    pub fn abandon(&mut self) {
        self.round.stop();
    }

    /// Incarnations of the other member up to this one ended, so nobody waits for the state that they held.
    pub fn peer_incarnation_ended(&mut self, incarnation: u64) {
        self.rule.ended_peer_incarnation = self.rule.ended_peer_incarnation.max(incarnation);
    }

    /// The highest incarnation of this member that voters know, its own included.
    pub fn newest_own_incarnation(&self) -> u64 {
        self.rule.newest_own_incarnation
    }

    /// Whether the incarnations that held all state in flight ended: what they had in flight is on no record.
    pub fn has_lost_state(&self) -> bool {
        self.rule.lost_state
    }

    /// All state in flight is held here again, or its loss was reported.
    pub fn lost_state_handled(&mut self) {
        self.rule.lost_state = false;
    }

    /// Starts a proposal with a new ballot and abandons the one under way.
    pub fn propose(
        &mut self,
        transport: &mut impl ProposerTransport<Leadership>,
        request: ProposalRequest,
    ) {
        self.rule.request = Some(request);
        self.round.begin(transport);
    }

    /// A voter's reply to the request `reply_to`: whether it agreed, and what it stores. Returns the outcome once it is certain.
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

    /// A voter cannot be reached, or did not reply to the request `reply_to`. Returns the outcome once it is certain.
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
                return Err(ProposalOutcome::Outnumbered);
            }
            self.check(request.purpose, governing)?;
            // It stays set: a proposal of our own that few voters accepted would look as if this incarnation held all state.
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
    /// Whether this incarnation may follow the leadership that a majority may have accepted last.
    fn check(&self, purpose: Purpose, governing: Leadership) -> Result<(), ProposalOutcome> {
        let synced = governing.synced_incarnations[self.member] == self.incarnation;
        match purpose {
            Purpose::Renew if governing.member == self.member && synced => Ok(()),
            Purpose::Renew => Err(ProposalOutcome::Superseded),
            Purpose::TakeOver if synced => Ok(()),
            // All incarnations that held the state ended: nothing is left to lose.
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
