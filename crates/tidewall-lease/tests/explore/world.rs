//! The explored state: grantors, members, messages in flight, and what the worker has seen.
use crate::scenario::Budget;
use tidewall_lease::grantor::{Grant, GrantorReply, GrantorSlot};
use tidewall_lease::lease::{Lease, LeaseActions};
use tidewall_lease::Time;

pub const GRANTORS: usize = 3;

/// A grantor's state as it reports it. The remaining time of the lease is left out: it only tells when a new
/// request is useful, and in this model a member that may send a request does so at any time.
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

/// A message in flight. `incarnation` is that of the member that sent the request.
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
    /// An effect in flight to the worker. `permit` is the worker's time at which the permit was issued.
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
    /// The grantor answers no request before this time of its own clock.
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
    /// The paused member, if any. It does nothing; an effect that it checked before the pause is in flight
    /// when it resumes.
    pub paused: Option<usize>,
    pub in_flight: Vec<Message>,
    /// The highest epoch under which an effect took place at the worker.
    pub effective_epoch: u64,
    pub latest: LatestEffect,
    /// The events that may still happen.
    pub budget: Budget,
    pub violation: Option<&'static str>,
}

/// Adds the messages that a member sends to those in flight.
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
