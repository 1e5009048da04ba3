//! The state that is explored: grantors, members, messages on their way, and what the worker has seen.
use crate::scenario::Budget;
use tidewall_lease::grantor::{Grant, GrantorReply, GrantorSlot};
use tidewall_lease::lease::{Lease, LeaseActions};
use tidewall_lease::Time;

pub const GRANTORS: usize = 3;

/// A grantor's state as it reports it. How long others are kept away is left out: it only says when a new request is of
/// use, and here whoever may send one does so at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReportedState {
    promised: u64,
    epoch: u64,
    member: usize,
    incarnation: u64,
}

impl From<GrantorReply> for ReportedState {
    fn from(reply: GrantorReply) -> ReportedState {
        ReportedState {
            promised: reply.state.promised,
            epoch: reply.state.accepted.epoch,
            member: reply.state.accepted.member,
            incarnation: reply.state.accepted.incarnation,
        }
    }
}

impl ReportedState {
    pub fn reply(self, granted: bool) -> GrantorReply {
        let mut slot = GrantorSlot::default();
        slot.acceptor.promised = self.promised;
        slot.acceptor.accepted = Grant {
            epoch: self.epoch,
            member: self.member,
            incarnation: self.incarnation,
        };
        GrantorReply {
            granted,
            state: slot.acceptor,
            remaining: 0,
        }
    }
}

/// A message on its way. `incarnation` is that of the member that sent the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    Prepare {
        from: usize,
        incarnation: u64,
        grantor: usize,
        ballot: u64,
    },
    Accept {
        from: usize,
        incarnation: u64,
        grantor: usize,
        epoch: u64,
        tag: u32,
    },
    Release {
        grantor: usize,
        epoch: u64,
    },
    PrepareReply {
        to: usize,
        incarnation: u64,
        grantor: usize,
        ballot: u64,
        granted: bool,
        state: ReportedState,
    },
    AcceptReply {
        to: usize,
        incarnation: u64,
        grantor: usize,
        epoch: u64,
        tag: u32,
        granted: bool,
        state: ReportedState,
    },
    /// An effect on its way to the worker, with the worker's time at which its permit was given out.
    Effect {
        epoch: u64,
        member: usize,
        incarnation: u64,
        permit: Time,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grantor {
    pub slot: GrantorSlot,
    /// By its clock: it answers nothing before.
    pub silent_until: Time,
}

impl Grantor {
    pub fn restarted(silent_until: Time) -> Grantor {
        Grantor {
            slot: GrantorSlot::default(),
            silent_until,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub lease: Lease,
    pub incarnation: u64,
}

impl Member {
    pub fn started(incarnation: u64) -> Member {
        Member {
            lease: Lease::new(0),
            incarnation,
        }
    }
}

/// The effect with the highest epoch that reached the worker in time, and its sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LatestEffect {
    pub epoch: u64,
    pub member: usize,
    pub incarnation: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// True time in ticks.
    pub at: Time,
    pub grantors: Vec<Grantor>,
    pub members: Vec<Member>,
    /// A paused member does nothing; what it had checked before the pause is on its way when it resumes.
    pub paused: Option<usize>,
    pub in_flight: Vec<Message>,
    /// The highest epoch that took effect at the worker.
    pub effective_epoch: u64,
    pub latest: LatestEffect,
    /// What may still happen.
    pub budget: Budget,
    pub violation: Option<&'static str>,
}

/// Puts what a member sends among the messages on their way.
pub struct Outbox<'a> {
    pub in_flight: &'a mut Vec<Message>,
    pub from: usize,
    pub incarnation: u64,
}

impl LeaseActions for Outbox<'_> {
    fn prepare(&mut self, grantor: usize, _: usize, ballot: u64) {
        self.in_flight.push(Message::Prepare {
            from: self.from,
            incarnation: self.incarnation,
            grantor,
            ballot,
        });
    }
    fn accept(&mut self, grantor: usize, _: usize, epoch: u64, tag: u32) {
        self.in_flight.push(Message::Accept {
            from: self.from,
            incarnation: self.incarnation,
            grantor,
            epoch,
            tag,
        });
    }
    fn release(&mut self, grantor: usize, _: usize, epoch: u64) {
        self.in_flight.push(Message::Release { grantor, epoch });
    }
    fn lease_acquired(&mut self, _: usize, _: u64, _: Time) {}
    fn lease_lost(&mut self, _: usize, _: u64) {}
    fn random_below(&mut self, _: Time) -> Time {
        0
    }
}
