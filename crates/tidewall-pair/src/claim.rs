//! How a member gets leave to serve: a majority of the voters (workers named in the settings) must first promise to
//! refuse older ballots and tell what they accepted, then accept the claim. Two majorities meet in a voter, so
//! whoever claims next hears of whoever might have been granted before, and by which lives all is known.
use crate::promise::{Claim as Asked, Promise};

pub trait Ask {
    fn prepare(&mut self, voter: usize, ballot: u64);
    fn accept(&mut self, voter: usize, claim: Asked);
}

/// What for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// To serve instead of the other one.
    TakeOver,
    /// To go on serving, with other lives in the know.
    GoOn,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Granted(Asked),
    /// This life does not hold all that there is to know, and one that does may come back.
    OutOfSync,
    /// The other member serves, or might.
    Superseded,
    NoMajority,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Awaited,
    Good(Promise),
    Not,
}

/// What a claim would say, besides its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wish {
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

/// So often a claim that was outbid is begun anew at once.
const OUTBID: u32 = 3;

pub struct Claim {
    me: usize,
    life: u64,
    answers: Vec<Answer>,
    wish: Option<Wish>,
    claim: Option<Asked>,
    ballot: u64,
    /// The highest ballot that was heard of.
    seen: u64,
    /// How often this claim was begun anew, as a higher ballot was heard of.
    tries: u32,
    /// Lives of the other member up to this one are over.
    pub over: u64,
    /// The claim under way follows lives that are all over: what they had in hand is known to nobody.
    pub forgot: bool,
}

impl Claim {
    pub fn new(me: usize, life: u64, voters: usize) -> Claim {
        Claim {
            me,
            life,
            answers: vec![Answer::Awaited; voters],
            wish: None,
            claim: None,
            ballot: 0,
            seen: 0,
            tries: 0,
            over: 0,
            forgot: false,
        }
    }

    pub fn busy(&self) -> bool {
        self.wish.is_some()
    }

    pub fn stop(&mut self) {
        (self.wish, self.claim) = (None, None);
    }

    fn majority(&self) -> usize {
        self.answers.len() / 2 + 1
    }

    /// Begins anew, whatever was under way.
    pub fn begin(&mut self, ask: &mut impl Ask, wish: Wish) {
        self.tries = 0;
        self.ask(ask, wish);
    }

    fn ask(&mut self, ask: &mut impl Ask, wish: Wish) {
        // The next ballot above all heard of that is this life's own: what a former life sent may still be on its way.
        let life = (self.life << 1 | self.me as u64) & ((1 << OWN) - 1);
        self.ballot = (count(self.seen.max(self.ballot)) + 1) << OWN | life;
        (self.wish, self.claim) = (Some(wish), None);
        self.answers.fill(Answer::Awaited);
        (0..self.answers.len()).for_each(|voter| ask.prepare(voter, self.ballot));
    }

    /// A voter's answer to the ballot; `accepting` tells which of the two questions it answers.
    pub fn told(
        &mut self,
        ask: &mut impl Ask,
        voter: usize,
        (ballot, accepting): (u64, bool),
        good: bool,
        promise: Promise,
    ) -> Option<Outcome> {
        self.seen = self.seen.max(promise.promised);
        if self.wish.is_none() || ballot != self.ballot || accepting != self.claim.is_some() {
            return None;
        }
        self.answers[voter] = if good { Answer::Good(promise) } else { Answer::Not };
        self.look(ask)
    }

    /// A voter cannot be asked, or did not answer.
    pub fn unheard(
        &mut self,
        ask: &mut impl Ask,
        voter: usize,
        (ballot, accepting): (u64, bool),
    ) -> Option<Outcome> {
        if self.wish.is_none() || ballot != self.ballot || accepting != self.claim.is_some() {
            return None;
        }
        self.answers[voter] = Answer::Not;
        self.look(ask)
    }

    fn look(&mut self, ask: &mut impl Ask) -> Option<Outcome> {
        let good = self.answers.iter().filter(|a| matches!(a, Answer::Good(_))).count();
        let open = self.answers.iter().filter(|a| **a == Answer::Awaited).count();
        if good + open < self.majority() {
            // A member that just started knows no ballots; one that is outbid again and again lets the other one have it.
            if let Some(wish) = self.wish.filter(|_| self.seen > self.ballot && self.tries < OUTBID) {
                self.tries += 1;
                self.ask(ask, wish);
                return None;
            }
            self.stop();
            return Some(Outcome::NoMajority);
        }
        if good < self.majority() {
            return None;
        }
        if let Some(claim) = self.claim {
            self.stop();
            return Some(Outcome::Granted(claim));
        }
        let wish = self.wish.expect("it is under way");
        let told = self.governing();
        if let Err(outcome) = self.allowed(wish, told) {
            // Those that still may answer could change what is possible.
            if open > 0 {
                return None;
            }
            self.stop();
            return Some(outcome);
        }
        // It stays so, or a claim of our own that few accepted would look as if this life knew all.
        self.forgot |= told.is_some_and(|t| t.sync[self.me] != self.life);
        let mut sync = [0; 2];
        sync[self.me] = self.life;
        sync[1 - self.me] = wish.with.unwrap_or(0);
        let floor = if wish.fences { self.ballot } else { told.map_or(0, |t| t.floor) };
        let claim = Asked { epoch: self.ballot, member: self.me, sync, floor };
        self.claim = Some(claim);
        self.answers.fill(Answer::Awaited);
        (0..self.answers.len()).for_each(|voter| ask.accept(voter, claim));
        None
    }

    /// The newest claim that a majority may have accepted. A voter that accepted a newer one, or did not answer, may
    /// have accepted it before.
    fn governing(&self) -> Option<Asked> {
        let heard = || {
            self.answers.iter().filter_map(|a| match a {
                Answer::Good(p) => Some(p.accepted),
                _ => None,
            })
        };
        let silent = self.answers.len() - heard().count();
        let mut all: Vec<Asked> = heard().filter(|c| c.epoch > 0).collect();
        all.sort_by_key(|c| std::cmp::Reverse(c.epoch));
        let possible = |c: &Asked| heard().filter(|o| o.epoch >= c.epoch).count() + silent >= self.majority();
        all.into_iter().find(possible)
    }

    fn allowed(&self, wish: Wish, told: Option<Asked>) -> Result<(), Outcome> {
        let Some(told) = told else { return Ok(()) };
        let other = told.sync[1 - self.me];
        match wish.purpose {
            Purpose::GoOn if told.member == self.me && told.sync[self.me] == self.life => Ok(()),
            Purpose::GoOn => Err(Outcome::Superseded),
            _ if told.sync[self.me] == self.life => Ok(()),
            // All lives that knew anything are over: nothing is left to lose.
            _ if other <= self.over => Ok(()),
            _ => Err(Outcome::OutOfSync),
        }
    }
}
