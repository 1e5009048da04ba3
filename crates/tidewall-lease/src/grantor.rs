//! What a keeper answers. It has no disk: after a start it says nothing for the longest term, so that whatever its
//! former life granted is over before it grants anew. A lease counts from when the keeper hears of it.
use crate::acceptor::{AcceptorState, BallotedValue};
use crate::lease::{count, MAX_BALLOT_JUMP};
use crate::{SafetyChecks, Time};

/// A lease as keepers accept it: under which epoch, to which member and which life of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Grant {
    pub epoch: u64,
    pub member: usize,
    pub incarnation: u64,
}

impl BallotedValue for Grant {
    fn epoch(&self) -> u64 {
        self.epoch
    }
}

impl Grant {
    pub fn owner(&self) -> (usize, u64) {
        (self.member, self.incarnation)
    }
}

/// One task at one keeper.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GrantorSlot {
    pub acceptor: AcceptorState<Grant>,
    /// From when on another may be granted what was accepted last.
    pub expires_at: Time,
}

/// An answer: whether it was granted, what is kept here, and how long that still bars others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GrantorReply {
    pub granted: bool,
    pub state: AcceptorState<Grant>,
    pub remaining: Time,
}

impl GrantorSlot {
    /// Whether it is one that could follow what is kept here. One message at fault would otherwise use up all ballots.
    fn near(&self, epoch: u64) -> bool {
        count(epoch) <= count(self.acceptor.promised) + MAX_BALLOT_JUMP
    }

    fn answer(&self, now: Time, good: bool) -> GrantorReply {
        let mut promise = self.acceptor;
        if now >= self.expires_at {
            promise.accepted = Grant::default();
        }
        GrantorReply {
            granted: good,
            state: promise,
            remaining: self.expires_at.saturating_sub(now),
        }
    }

    /// A member asks for leave under a ballot of its own. While another's lease runs nothing is promised: a promise
    /// would refuse that one's renewals.
    pub fn prepare(&mut self, now: Time, ballot: u64, whose: (usize, u64)) -> GrantorReply {
        let barred = now < self.expires_at && self.acceptor.accepted.owner() != whose;
        let good = !barred && self.near(ballot) && self.acceptor.prepare(ballot);
        self.answer(now, good)
    }

    pub fn accept(&mut self, now: Time, grant: Grant, term: Time) -> GrantorReply {
        let good = self.near(grant.epoch) && self.acceptor.accept(grant);
        if good {
            self.expires_at = now + term;
        }
        self.answer(now, good)
    }

    /// Its holder has stopped. A renewal that is still on its way must not bring it back.
    pub fn release(&mut self, now: Time, epoch: u64) {
        if self.acceptor.accepted.epoch == epoch {
            self.expires_at = now;
            self.acceptor.promised = self.acceptor.promised.max(epoch + 1);
        }
    }
}

pub struct LeaseGrantor {
    slots: Vec<GrantorSlot>,
    term: Time,
    quiet: Time,
}

impl LeaseGrantor {
    pub fn new(now: Time, tasks: usize, term: Time, guards: SafetyChecks) -> LeaseGrantor {
        let quiet = if guards.silent_start { now + term } else { now };
        LeaseGrantor {
            slots: vec![GrantorSlot::default(); tasks],
            term,
            quiet,
        }
    }

    /// The slot, where the keeper may speak and the task is one of ours.
    fn slot(&mut self, now: Time, task: usize) -> Option<&mut GrantorSlot> {
        if now < self.quiet {
            return None;
        }
        self.slots.get_mut(task)
    }

    pub fn prepare(
        &mut self,
        now: Time,
        task: usize,
        ballot: u64,
        whose: (usize, u64),
    ) -> Option<GrantorReply> {
        self.slot(now, task).map(|s| s.prepare(now, ballot, whose))
    }

    pub fn accept(&mut self, now: Time, task: usize, grant: Grant) -> Option<GrantorReply> {
        let term = self.term;
        self.slot(now, task).map(|s| s.accept(now, grant, term))
    }

    pub fn release(&mut self, now: Time, task: usize, epoch: u64) {
        if let Some(slot) = self.slot(now, task) {
            slot.release(now, epoch);
        }
    }

    /// Leases that run here.
    pub fn running(&self, now: Time) -> usize {
        self.slots.iter().filter(|s| now < s.expires_at).count()
    }
}
