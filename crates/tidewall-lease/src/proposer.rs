//! How somebody gets leave from a majority of voters: they first promise to refuse older ballots and tell what they
//! accepted, then accept the claim. Two majorities meet in a voter, so whoever claims next hears of whoever might have
//! been granted before. What a claim may say is its `ProposalRule`'s: the seat of a pair and the leases of a fleet differ there alone.
use crate::acceptor::{AcceptorState, BallotedValue};

pub trait ProposerTransport<C> {
    fn prepare(&mut self, voter: usize, ballot: u64);
    fn accept(&mut self, voter: usize, claim: C);
}

pub trait ProposalRule<C> {
    type No;
    /// What to claim under this ballot, given the newest claim that a majority may have accepted.
    fn propose(&mut self, ballot: u64, told: Option<C>) -> Result<C, Self::No>;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RoundOutcome<C, N> {
    Granted(C),
    Not(N),
    NoMajority,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum GrantorReply<C> {
    Awaited,
    Good(AcceptorState<C>),
    Not,
}

/// So often a claim that was outbid is begun anew at once.
const OUTBID: u32 = 3;

/// The lower bits of a ballot, by which whoever uses it differs from all others and from its own former lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BallotOwner {
    pub bits: u32,
    pub value: u64,
}

impl BallotOwner {
    pub fn new(bits: u32, value: u64) -> BallotOwner {
        BallotOwner {
            bits,
            value: value & ((1 << bits) - 1),
        }
    }

    pub fn ballot(self, count: u64) -> u64 {
        count << self.bits | self.value
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ProposerRound<C> {
    own: BallotOwner,
    answers: Vec<GrantorReply<C>>,
    under_way: bool,
    claim: Option<C>,
    ballot: u64,
    /// The highest ballot that was heard of.
    seen: u64,
    /// How often this claim was begun anew, as a higher ballot was heard of.
    tries: u32,
}

impl<C: BallotedValue> ProposerRound<C> {
    pub fn new(own: BallotOwner, voters: usize) -> ProposerRound<C> {
        let answers = vec![GrantorReply::Awaited; voters];
        ProposerRound {
            own,
            answers,
            under_way: false,
            claim: None,
            ballot: 0,
            seen: 0,
            tries: 0,
        }
    }

    pub fn busy(&self) -> bool {
        self.under_way
    }

    pub fn stop(&mut self) {
        (self.under_way, self.claim) = (false, None);
    }

    pub fn ballot(&self) -> u64 {
        self.ballot
    }

    /// The next ballot is above this one as well.
    pub fn ballot_seen(&mut self, ballot: u64) {
        self.seen = self.seen.max(ballot);
    }

    fn majority(&self) -> usize {
        self.answers.len() / 2 + 1
    }

    /// Begins anew, whatever was under way.
    pub fn begin(&mut self, ask: &mut impl ProposerTransport<C>) {
        self.tries = 0;
        self.ask(ask);
    }

    fn ask(&mut self, ask: &mut impl ProposerTransport<C>) {
        // The next ballot above all heard of that is this life's own: what a former life sent may still be on its way.
        self.ballot = self
            .own
            .ballot((self.seen.max(self.ballot) >> self.own.bits) + 1);
        (self.under_way, self.claim) = (true, None);
        self.answers.fill(GrantorReply::Awaited);
        (0..self.answers.len()).for_each(|voter| ask.prepare(voter, self.ballot));
    }

    /// A question was lost or its answer was: whoever has not answered is asked again.
    pub fn ask_again(&self, ask: &mut impl ProposerTransport<C>) {
        let open = self
            .answers
            .iter()
            .enumerate()
            .filter(|a| *a.1 == GrantorReply::Awaited);
        for (voter, _) in open.filter(|_| self.under_way) {
            match self.claim {
                Some(claim) => ask.accept(voter, claim),
                None => ask.prepare(voter, self.ballot),
            }
        }
    }

    /// A voter's answer to the ballot; `accepting` tells which of the two questions it answers.
    pub fn reply_received<R: ProposalRule<C>>(
        &mut self,
        (ask, rule): (&mut impl ProposerTransport<C>, &mut R),
        voter: usize,
        (ballot, accepting): (u64, bool),
        good: bool,
        promise: AcceptorState<C>,
    ) -> Option<RoundOutcome<C, R::No>> {
        self.seen = self.seen.max(promise.promised);
        if !self.under_way || ballot != self.ballot || accepting != self.claim.is_some() {
            return None;
        }
        self.answers[voter] = if good {
            GrantorReply::Good(promise)
        } else {
            GrantorReply::Not
        };
        self.look(ask, rule)
    }

    /// A voter cannot be asked, or did not answer.
    pub fn reply_missing<R: ProposalRule<C>>(
        &mut self,
        (ask, rule): (&mut impl ProposerTransport<C>, &mut R),
        voter: usize,
        (ballot, accepting): (u64, bool),
    ) -> Option<RoundOutcome<C, R::No>> {
        if !self.under_way || ballot != self.ballot || accepting != self.claim.is_some() {
            return None;
        }
        self.answers[voter] = GrantorReply::Not;
        self.look(ask, rule)
    }

    fn look<R: ProposalRule<C>>(
        &mut self,
        ask: &mut impl ProposerTransport<C>,
        rule: &mut R,
    ) -> Option<RoundOutcome<C, R::No>> {
        let good = self
            .answers
            .iter()
            .filter(|a| matches!(a, GrantorReply::Good(_)))
            .count();
        let open = self
            .answers
            .iter()
            .filter(|a| **a == GrantorReply::Awaited)
            .count();
        if good + open < self.majority() {
            // Who just started knows no ballots; one that is outbid again and again lets the other one have it.
            if self.seen > self.ballot && self.tries < OUTBID {
                self.tries += 1;
                self.ask(ask);
                return None;
            }
            self.stop();
            return Some(RoundOutcome::NoMajority);
        }
        if good < self.majority() {
            return None;
        }
        if let Some(claim) = self.claim {
            self.stop();
            return Some(RoundOutcome::Granted(claim));
        }
        let claim = match rule.propose(self.ballot, self.governing()) {
            Ok(claim) => claim,
            // Those that still may answer could change what is possible.
            Err(_) if open > 0 => return None,
            Err(no) => {
                self.stop();
                return Some(RoundOutcome::Not(no));
            }
        };
        self.claim = Some(claim);
        self.answers.fill(GrantorReply::Awaited);
        (0..self.answers.len()).for_each(|voter| ask.accept(voter, claim));
        None
    }

    /// The newest claim that a majority may have accepted. A voter that accepted a newer one, or did not answer, may
    /// have accepted it before.
    fn governing(&self) -> Option<C> {
        let heard = || {
            self.answers.iter().filter_map(|a| match a {
                GrantorReply::Good(p) => Some(p.accepted),
                _ => None,
            })
        };
        let silent = self.answers.len() - heard().count();
        let possible =
            |c: &C| heard().filter(|o| o.epoch() >= c.epoch()).count() + silent >= self.majority();
        heard()
            .filter(|c| c.epoch() > 0 && possible(c))
            .max_by_key(|c| c.epoch())
    }
}
