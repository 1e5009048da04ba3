//! One task at one member: claimed, renewed, given back. It may be acted on until a time of the member's own clock, counted
//! from the asking and shortened by what clocks may differ, so that it is over here before any keeper lets another have it.
use crate::grantor::{Grant, GrantorReply};
use crate::proposer::{BallotOwner, ProposalRule, ProposerRound, ProposerTransport, RoundOutcome};
use crate::{SafetyChecks, Time};

/// What leases of a member have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    pub member: usize,
    pub incarnation: u64,
    pub grantors: usize,
    /// For how long an asking that was granted may be acted on.
    pub usable_duration: Time,
    /// What was asked and not answered is asked again after this, as often as is of use.
    pub retry: Time,
    /// Drawn for each member, so that not all renew in the same moment.
    pub offset: Time,
    pub safety_checks: SafetyChecks,
}

/// The part of `usable` after which a lease is renewed: three askings may be lost before it lapses.
const RENEW: Time = 4;

/// How much of a term may be acted on: `term` is how long a keeper bars others, `ppm` by how much any clock may be off the true
/// rate, `ticket` how old a worker lets a ticket become. An act that was good when it was sent takes effect before the
/// term is over anywhere (`docs/design/common.md`).
pub fn usable(term: Time, ppm: u64, ticket: Time) -> Time {
    (term * (1_000_000 - ppm) / (1_000_000 + ppm)).saturating_sub(margin(ppm, ticket))
}

/// How long after it was sent an act may still take effect, by the clock of whoever sent it.
pub fn margin(ppm: u64, ticket: Time) -> Time {
    (ticket * (1_000_000 + ppm)).div_ceil(1_000_000 - ppm)
}

/// Keepers at most: a set of them is one word.
pub const MAX_GRANTORS: usize = 63;

impl LeaseConfig {
    fn own(&self) -> BallotOwner {
        own(self.member, self.incarnation)
    }

    fn grant(&self, epoch: u64) -> Grant {
        Grant {
            epoch,
            member: self.member,
            incarnation: self.incarnation,
        }
    }
}

/// Bits of a ballot that are its user's: 4,096 members, and lives of 28 bits.
const MEMBER: u32 = 12;
const LIFE: u32 = 28;
pub const OWN: u32 = MEMBER + LIFE;

/// The members that fit into ballots.
pub const MAX_MEMBERS: usize = 1 << MEMBER;

fn own(member: usize, life: u64) -> BallotOwner {
    // Lives are milliseconds: those of one member that lie within three days differ here.
    BallotOwner::new(OWN, (life & ((1 << LIFE) - 1)) << MEMBER | member as u64)
}

/// The ballot of that count that is this life's own.
pub fn ballot(member: usize, life: u64, count: u64) -> u64 {
    own(member, life).ballot(count & ((1 << (64 - OWN)) - 1))
}

/// A ballot is at most so many claims ahead of what is known of its task: more than a keeper that forgot all can have missed
/// in years, less than would use up the numbers.
pub const MAX_BALLOT_JUMP: u64 = 1 << 20;

/// Counts of ballots are below this.
pub const BALLOT_COUNT_LIMIT: u64 = 1 << (64 - OWN);

pub fn count(ballot: u64) -> u64 {
    ballot >> OWN
}

pub trait LeaseActions {
    fn prepare(&mut self, keeper: usize, task: usize, ballot: u64);
    /// Asked for leave, or for more of it; the tag comes back with the answer and tells which asking it answers.
    fn accept(&mut self, keeper: usize, task: usize, epoch: u64, tag: u32);
    fn release(&mut self, keeper: usize, task: usize, epoch: u64);
    /// It may be acted on until then, under this epoch.
    fn lease_acquired(&mut self, task: usize, epoch: u64, until: Time);
    /// No longer. Where it is to be given back `Lease::stopped` has to follow.
    fn lease_lost(&mut self, task: usize, epoch: u64);
    /// Below that, drawn.
    fn random_below(&mut self, below: Time) -> Time;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseState {
    /// Another's, or nobody's.
    Idle,
    Claiming,
    Held,
    /// To be given back as soon as nobody here acts on it.
    Stopping,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    task: usize,
    pub state: LeaseState,
    /// It should be held here.
    wanted: bool,
    round: Option<Box<ProposerRound<Grant>>>,
    /// The highest epoch that was heard of: a claim has to be above it.
    seen: u64,
    pub epoch: u64,
    pub until: Time,
    /// The last asking's number, and when a claim asked last.
    tag: u32,
    asked: Time,
    /// Renewals whose answers may still come, the latest first.
    asks: [Asked; ASKS],
    /// How long the next one waits for an answer.
    wait: Time,
    /// Until when another's lease runs, by the keeper that bars us for longest: asking one sooner than the last is in vain,
    /// and with a keeper lost it is found out only when the claim is given up.
    barred: Time,
    /// When something is to be done here.
    pub next: Time,
}

/// One asking for more: an answer says something of its own time alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Asked {
    tag: u32,
    at: Time,
    /// Which keepers granted or refused it.
    granted: u64,
    refused: u64,
    /// Counts votes, not voters: only where that guard is left out.
    votes: u32,
}

/// Askings under way at most: each waits twice as long as the one before, so that a slow link is asked few times and its
/// answers still find their asking. Five cover all of a lease's time from a sixteenth of it on.
const ASKS: usize = 5;

/// Keepers asked, on behalf of one task, by a round that knows only voters.
struct Asks<'a, H> {
    host: &'a mut H,
    task: usize,
    tag: u32,
    accepts: bool,
}

impl<H: LeaseActions> ProposerTransport<Grant> for Asks<'_, H> {
    fn prepare(&mut self, voter: usize, ballot: u64) {
        self.host.prepare(voter, self.task, ballot);
    }

    fn accept(&mut self, voter: usize, claim: Grant) {
        self.accepts = true;
        self.host.accept(voter, self.task, claim.epoch, self.tag);
    }
}

struct Says<'a>(&'a LeaseConfig);

impl ProposalRule<Grant> for Says<'_> {
    type No = Grant;

    /// Another's lease that a majority may have granted, and that still runs at one that told of it, is not taken.
    fn propose(&mut self, ballot: u64, told: Option<Grant>) -> Result<Grant, Grant> {
        match told {
            Some(other) if other.owner() != (self.0.member, self.0.incarnation) => Err(other),
            _ => Ok(self.0.grant(ballot)),
        }
    }
}

impl Lease {
    pub fn new(task: usize) -> Lease {
        Lease {
            task,
            state: LeaseState::Idle,
            wanted: false,
            round: None,
            seen: 0,
            epoch: 0,
            until: 0,
            tag: 0,
            asked: 0,
            asks: [Asked::default(); ASKS],
            wait: 0,
            barred: 0,
            next: Time::MAX,
        }
    }

    /// Whether it should be held here.
    pub fn wanted(&self) -> bool {
        self.wanted
    }

    /// Whether it may be acted on now.
    pub fn is_held(&self, now: Time) -> bool {
        self.state == LeaseState::Held && now < self.until
    }

    /// It should be held here, or no longer. `soon`: nobody else holds it any more, so it is claimed at once.
    pub fn set_wanted(
        &mut self,
        now: Time,
        terms: &LeaseConfig,
        host: &mut impl LeaseActions,
        on: bool,
        soon: bool,
    ) {
        self.wanted = on;
        match self.state {
            LeaseState::Idle if on => {
                // Members that hear of the same loss at the same time do not all ask in the same moment.
                let wait = if soon {
                    0
                } else {
                    host.random_below(terms.retry)
                };
                self.next = self.next.min(now + wait);
            }
            LeaseState::Claiming if !on => self.idle(Time::MAX),
            // What was refused so far was refused while another still held it.
            LeaseState::Claiming if soon => self.idle(now),
            LeaseState::Held if !on => {
                self.state = LeaseState::Stopping;
                self.next = (now + terms.retry).min(self.until);
                host.lease_lost(self.task, self.epoch);
            }
            _ => {}
        }
    }

    fn idle(&mut self, next: Time) {
        (self.state, self.round, self.next) = (LeaseState::Idle, None, next);
    }

    /// Claimed anew after a while, where it is wanted.
    fn later(&mut self, now: Time, terms: &LeaseConfig, host: &mut impl LeaseActions, wait: Time) {
        let wait = wait + 1 + host.random_below(terms.retry);
        self.idle(if self.wanted { now + wait } else { Time::MAX });
    }

    /// Its time has come.
    pub fn timer_fired(&mut self, now: Time, terms: &LeaseConfig, host: &mut impl LeaseActions) {
        match self.state {
            LeaseState::Idle if self.wanted => {
                self.state = LeaseState::Claiming;
                let mut round = Box::new(ProposerRound::new(terms.own(), terms.grantors));
                round.ballot_seen(self.seen);
                self.barred = 0;
                self.tag = self.tag.wrapping_add(1);
                round.begin(&mut Asks {
                    host,
                    task: self.task,
                    tag: self.tag,
                    accepts: false,
                });
                (self.round, self.asked) = (Some(round), now);
                self.wait = terms.retry;
                self.next = now + self.wait;
            }
            LeaseState::Idle => self.next = Time::MAX,
            // What was not answered by now was lost, or its keeper is.
            LeaseState::Claiming if now >= self.asked + terms.usable_duration / 2 => {
                let wait = self.barred.saturating_sub(now).min(terms.usable_duration);
                self.later(now, terms, host, wait);
            }
            LeaseState::Claiming => {
                if let Some(round) = &self.round {
                    round.ask_again(&mut Asks {
                        host,
                        task: self.task,
                        tag: self.tag,
                        accepts: false,
                    });
                }
                self.wait *= 2;
                self.next = now + self.wait;
            }
            LeaseState::Held if now >= self.until => {
                host.lease_lost(self.task, self.epoch);
                self.later(now, terms, host, 0);
            }
            LeaseState::Held => self.renew(now, terms, host),
            // Told again: the first word may have found its channel full.
            LeaseState::Stopping if now < self.until => {
                host.lease_lost(self.task, self.epoch);
                self.next = (now + terms.retry).min(self.until);
            }
            // Nobody said that it stopped; its time is over all the same.
            LeaseState::Stopping => self.later(now, terms, host, 0),
        }
    }

    fn renew(&mut self, now: Time, terms: &LeaseConfig, host: &mut impl LeaseActions) {
        // Each asking has a number of its own: an answer to a former one says nothing of this one's time.
        self.tag = self.tag.wrapping_add(1);
        self.asks.rotate_right(1);
        self.asks[0] = Asked {
            tag: self.tag,
            at: now,
            ..Asked::default()
        };
        (0..terms.grantors).for_each(|k| host.accept(k, self.task, self.epoch, self.tag));
        self.next = (now + self.wait).min(self.until);
        self.wait *= 2;
    }

    /// False where no claim can have come so far.
    fn heard_of(&mut self, ballot: u64) -> bool {
        let near = count(ballot) <= count(self.seen) + MAX_BALLOT_JUMP;
        if near {
            self.seen = self.seen.max(ballot);
        }
        near
    }

    /// A keeper's answer to a claim's first question.
    pub fn prepare_replied(
        &mut self,
        now: Time,
        terms: &LeaseConfig,
        host: &mut impl LeaseActions,
        keeper: usize,
        ballot: u64,
        told: GrantorReply,
    ) {
        if !self.heard_of(told.state.promised) {
            return;
        }
        if self.state == LeaseState::Claiming {
            self.told(now, terms, host, keeper, (ballot, false), told);
        }
    }

    fn told(
        &mut self,
        now: Time,
        terms: &LeaseConfig,
        host: &mut impl LeaseActions,
        keeper: usize,
        of: (u64, bool),
        told: GrantorReply,
    ) {
        let Some(mut round) = self.round.take() else {
            return;
        };
        if !told.granted && told.state.accepted.epoch > 0 {
            self.barred = self.barred.max(now + told.remaining);
        }
        let mut asks = Asks {
            host,
            task: self.task,
            tag: self.tag,
            accepts: false,
        };
        let came = round.reply_received(
            (&mut asks, &mut Says(terms)),
            keeper,
            of,
            told.granted,
            told.state,
        );
        if asks.accepts {
            // Leave counts from here: no keeper has heard of it before.
            self.asked = now;
        }
        self.round = Some(round);
        match came {
            None => {}
            Some(RoundOutcome::Granted(grant)) => {
                (self.state, self.round, self.epoch) = (LeaseState::Held, None, grant.epoch);
                self.seen = self.seen.max(grant.epoch);
                (self.until, self.asks) = (0, [Asked::default(); ASKS]);
                let asked = self.asked;
                self.got(now, terms, host, asked);
            }
            // While another's runs there is no use in asking.
            Some(RoundOutcome::Not(_) | RoundOutcome::NoMajority) => {
                let wait = self.barred.saturating_sub(now).min(terms.usable_duration);
                self.later(now, terms, host, wait);
            }
        }
    }

    /// A majority granted what was asked then.
    fn got(&mut self, now: Time, terms: &LeaseConfig, host: &mut impl LeaseActions, asked: Time) {
        let from = if terms.safety_checks.counts_from_request {
            asked
        } else {
            now
        };
        self.until = self.until.max(from + terms.usable_duration);
        self.wait = terms.retry;
        // Renewals of many tasks spread by themselves over some time.
        let spread = host.random_below(terms.usable_duration / (2 * RENEW) + 1);
        let next = self.until - terms.usable_duration + terms.usable_duration / RENEW + spread;
        // Those that fall due soon after each other go together, in few datagrams; members differ by their offset.
        let grid = (terms.usable_duration / (8 * RENEW)).max(1);
        let next = next - (next + terms.offset) % grid;
        self.next = next.max(now + 1).min(self.until);
        if now < self.until {
            host.lease_acquired(self.task, self.epoch, self.until);
        }
    }

    /// A keeper's answer to an asking for leave, or for more of it.
    pub fn accept_replied(
        &mut self,
        now: Time,
        terms: &LeaseConfig,
        host: &mut impl LeaseActions,
        keeper: usize,
        (epoch, tag): (u64, u32),
        told: GrantorReply,
    ) {
        if !self.heard_of(told.state.promised) {
            return;
        }
        match self.state {
            LeaseState::Claiming if tag == self.tag => {
                self.told(now, terms, host, keeper, (epoch, true), told)
            }
            LeaseState::Held if epoch == self.epoch => {
                let Some(ask) = self.asks.iter_mut().find(|a| tag > 0 && a.tag == tag) else {
                    return;
                };
                ask.votes += u32::from(told.granted);
                if told.granted {
                    ask.granted |= 1 << keeper;
                } else {
                    ask.refused |= 1 << keeper;
                }
                let ask = *ask;
                let majority = terms.grantors as u32 / 2 + 1;
                let votes = if terms.safety_checks.one_vote_per_grantor {
                    ask.granted.count_ones()
                } else {
                    ask.votes
                };
                if votes == majority && told.granted {
                    self.got(now, terms, host, ask.at);
                } else if ask.refused.count_ones() >= majority {
                    // Keepers that lost their memory, or another under a newer epoch: it can only be claimed anew.
                    host.lease_lost(self.task, self.epoch);
                    self.later(now, terms, host, 0);
                }
            }
            _ => {}
        }
    }

    /// Nobody here acts on it any more: it is given back.
    pub fn execution_stopped(
        &mut self,
        now: Time,
        terms: &LeaseConfig,
        host: &mut impl LeaseActions,
        epoch: u64,
    ) -> bool {
        let given = self.state == LeaseState::Stopping && epoch == self.epoch;
        if given {
            (0..terms.grantors).for_each(|k| host.release(k, self.task, epoch));
            self.later(now, terms, host, 0);
        }
        given
    }

    /// A worker has seen a newer epoch: keepers that lost their memory granted an old one.
    pub fn higher_epoch_seen(
        &mut self,
        now: Time,
        terms: &LeaseConfig,
        host: &mut impl LeaseActions,
        epoch: u64,
    ) {
        // It may have been heard of before, from a keeper that promised it to another: what counts is what is held.
        if self.heard_of(epoch) && self.state == LeaseState::Held && epoch > self.epoch {
            host.lease_lost(self.task, self.epoch);
            self.later(now, terms, host, 0);
        }
    }
}
