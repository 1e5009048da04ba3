//! How a member gets leave to serve: a round of `tidewall-lease` whose voters are workers named in the settings. What a
//! claim may say is decided here: whoever claims hears of whoever might have been granted before, and by which lives all is known.
use crate::leadership::{Leadership, LeadershipAcceptor};
use tidewall_lease::proposer::{
    BallotOwner, ProposalPhase, ProposalRule, ProposerRound, ReplyTo, RoundOutcome,
};

pub use tidewall_lease::proposer::ProposerTransport;

/// What for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// To serve instead of the other one.
    TakeOver,
    /// To go on serving, with other lives in the know.
    GoOn,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    Granted(Leadership),
    /// This life does not hold all that there is to know, and one that does may come back.
    OutOfSync,
    /// The other member serves, or might.
    Superseded,
    NoMajority,
}

/// What a claim would say, besides its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposalRequest {
    pub purpose: Purpose,
    /// The other member's life, where it holds all as well.
    pub with: Option<u64>,
    /// Whether the other member ends what it has out; otherwise its launches stay good.
    pub fences: bool,
}

/// The lower bits of a ballot: the member, and of its life so much that lives (milliseconds) a few hours apart differ.
const OWN: u32 = 24;

/// How many ballots came before, as people count them.
pub fn count(epoch: u64) -> u64 {
    epoch >> OWN
}

/// A life's number: the clock's milliseconds, but above that of the life before in this process. Two lives within one
/// millisecond, or across a clock that was set back, would use the same ballots.
pub fn next(last: u64, clock: u64) -> u64 {
    clock.max(last + 1)
}

/// What the rule of this claim goes by, beside what the voters tell.
struct Says {
    me: usize,
    life: u64,
    wish: Option<ProposalRequest>,
    /// Lives of the other member up to this one are over.
    over: u64,
    forgot: bool,
}

pub struct LeadershipProposer {
    says: Says,
    round: ProposerRound<Leadership>,
}

impl LeadershipProposer {
    pub fn new(me: usize, life: u64, voters: usize) -> LeadershipProposer {
        LeadershipProposer {
            says: Says {
                me,
                life,
                wish: None,
                over: 0,
                forgot: false,
            },
            round: ProposerRound::new(BallotOwner::new(OWN, life << 1 | me as u64), voters),
        }
    }

    pub fn busy(&self) -> bool {
        self.round.in_progress()
    }

    pub fn stop(&mut self) {
        self.round.stop();
    }

    /// Lives of the other member up to this one are over.
    pub fn peer_incarnation_ended(&mut self, life: u64) {
        self.says.over = self.says.over.max(life);
    }

    /// The claim under way follows lives that are all over: what they had in hand is known to nobody.
    pub fn forgot(&self) -> bool {
        self.says.forgot
    }

    /// What there is to know is known again, or it was said that it is not.
    pub fn knows(&mut self) {
        self.says.forgot = false;
    }

    /// Begins anew, whatever was under way.
    pub fn begin(&mut self, ask: &mut impl ProposerTransport<Leadership>, wish: ProposalRequest) {
        self.says.wish = Some(wish);
        self.round.begin(ask);
    }

    /// A voter's answer to the ballot; `accepting` tells which of the two questions it answers.
    pub fn vote_received(
        &mut self,
        ask: &mut impl ProposerTransport<Leadership>,
        voter: usize,
        of: (u64, bool),
        good: bool,
        promise: LeadershipAcceptor,
    ) -> Option<ProposalOutcome> {
        self.round
            .reply_received(ask, &mut self.says, voter, reply_to(of), good, promise)
            .map(outcome)
    }

    /// A voter cannot be asked, or did not answer.
    pub fn vote_missing(
        &mut self,
        ask: &mut impl ProposerTransport<Leadership>,
        voter: usize,
        of: (u64, bool),
    ) -> Option<ProposalOutcome> {
        self.round
            .reply_missing(ask, &mut self.says, voter, reply_to(of))
            .map(outcome)
    }
}

fn reply_to((ballot, accepting): (u64, bool)) -> ReplyTo {
    let phase = if accepting {
        ProposalPhase::Accept
    } else {
        ProposalPhase::Prepare
    };
    ReplyTo { ballot, phase }
}

fn outcome(came: RoundOutcome<Leadership, ProposalOutcome>) -> ProposalOutcome {
    match came {
        RoundOutcome::Granted(claim) => ProposalOutcome::Granted(claim),
        RoundOutcome::Rejected(why) => why,
        RoundOutcome::NoMajority => ProposalOutcome::NoMajority,
    }
}

impl ProposalRule<Leadership> for Says {
    type Rejection = ProposalOutcome;

    fn propose(
        &mut self,
        ballot: u64,
        told: Option<Leadership>,
    ) -> Result<Leadership, ProposalOutcome> {
        let wish = self.wish.expect("it is under way");
        self.allowed(wish, told)?;
        // It stays so, or a claim of our own that few accepted would look as if this life knew all.
        self.forgot |= told.is_some_and(|t| t.synced_incarnations[self.me] != self.life);
        let mut sync = [0; 2];
        sync[self.me] = self.life;
        sync[1 - self.me] = wish.with.unwrap_or(0);
        let floor = if wish.fences {
            ballot
        } else {
            told.map_or(0, |t| t.fencing_floor)
        };
        Ok(Leadership {
            epoch: ballot,
            member: self.me,
            synced_incarnations: sync,
            fencing_floor: floor,
        })
    }
}

impl Says {
    fn allowed(
        &self,
        wish: ProposalRequest,
        told: Option<Leadership>,
    ) -> Result<(), ProposalOutcome> {
        let Some(told) = told else { return Ok(()) };
        let other = told.synced_incarnations[1 - self.me];
        match wish.purpose {
            Purpose::GoOn
                if told.member == self.me && told.synced_incarnations[self.me] == self.life =>
            {
                Ok(())
            }
            Purpose::GoOn => Err(ProposalOutcome::Superseded),
            _ if told.synced_incarnations[self.me] == self.life => Ok(()),
            // All lives that knew anything are over: nothing is left to lose.
            _ if other <= self.over => Ok(()),
            _ => Err(ProposalOutcome::OutOfSync),
        }
    }
}
