//! The grantor of leases: a Paxos acceptor for each task, whose accepted value is a lease with a time of expiry. While a
//! lease runs, nothing is promised to anybody else. A lease counts from when the grantor hears of the request.
//!
//! Grantors have no disk. After its start a grantor stays silent for one lease duration, so that whatever its former
//! incarnation granted has expired before it grants anew.
use crate::acceptor::{AcceptorState, BallotedValue};
use crate::ballot::is_plausible_after;
use crate::{SafetyChecks, Time};

/// Who requests or holds a lease: one incarnation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseOwner {
    /// The member's number.
    pub member: usize,
    /// The member's incarnation, wall-clock milliseconds of its start.
    pub incarnation: u64,
}

/// A lease as grantors accept it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Grant {
    /// The ballot under which it was requested; 0: there is none.
    pub epoch: u64,
    /// The holder's number.
    pub member: usize,
    /// The holder's incarnation.
    pub incarnation: u64,
}

impl BallotedValue for Grant {
    fn epoch(&self) -> u64 {
        self.epoch
    }
}

impl Grant {
    /// Whose lease it is.
    pub fn owner(&self) -> LeaseOwner {
        LeaseOwner {
            member: self.member,
            incarnation: self.incarnation,
        }
    }
}

/// One task at one grantor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GrantorSlot {
    /// Ballot promised and lease accepted last.
    pub acceptor: AcceptorState<Grant>,
    /// When the lease accepted last expires, by the grantor's clock.
    pub expires_at: Time,
}

/// A grantor's reply to a prepare or accept request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GrantorReply {
    /// Whether the request was granted.
    pub granted: bool,
    /// The grantor's state after the request; its lease is the default one where the last has expired.
    pub state: AcceptorState<Grant>,
    /// For how long that lease still keeps others from the task; 0 where it has expired.
    pub remaining: Time,
}

impl GrantorSlot {
    /// Whether the ballot could follow the one promised: one faulty message would otherwise use up all ballots.
    fn is_plausible(&self, ballot: u64) -> bool {
        is_plausible_after(ballot, self.acceptor.promised)
    }

    fn reply(&self, now: Time, granted: bool) -> GrantorReply {
        let mut state = self.acceptor;
        if now >= self.expires_at {
            state.accepted = Grant::default();
        }
        GrantorReply {
            granted,
            state,
            remaining: self.expires_at.saturating_sub(now),
        }
    }

    /// Phase 1: a member requests a promise for a ballot of its own. While another's lease runs nothing is promised: a
    /// promise would make this grantor reject that one's renewals.
    #[must_use]
    pub fn prepare(&mut self, now: Time, ballot: u64, requester: LeaseOwner) -> GrantorReply {
        let held_by_other = now < self.expires_at && self.acceptor.accepted.owner() != requester;
        let granted = !held_by_other && self.is_plausible(ballot) && self.acceptor.prepare(ballot);
        self.reply(now, granted)
    }

    /// Phase 2, and each renewal: the lease runs for `lease_duration` from now.
    #[must_use]
    pub fn accept(&mut self, now: Time, grant: Grant, lease_duration: Time) -> GrantorReply {
        let granted = self.is_plausible(grant.epoch) && self.acceptor.accept(grant);
        if granted {
            self.expires_at = now + lease_duration;
        }
        self.reply(now, granted)
    }

    /// The holder gives back the lease of that epoch. The epoch is promised away, so that a renewal that is still on its way
    /// does not bring the lease back.
    pub fn release(&mut self, now: Time, epoch: u64) {
        if self.acceptor.accepted.epoch == epoch {
            self.expires_at = now;
            self.acceptor.promised = self.acceptor.promised.max(epoch + 1);
        }
    }
}

/// All tasks at one grantor.
#[derive(Debug)]
pub struct LeaseGrantor {
    slots: Vec<GrantorSlot>,
    lease_duration: Time,
    /// No request is answered before this time.
    silent_until: Time,
}

impl LeaseGrantor {
    /// A grantor that starts now, without memory of what it granted before.
    pub fn new(
        now: Time,
        tasks: usize,
        lease_duration: Time,
        safety_checks: SafetyChecks,
    ) -> LeaseGrantor {
        let silence = if safety_checks.silent_start {
            lease_duration
        } else {
            0
        };
        LeaseGrantor {
            slots: vec![GrantorSlot::default(); tasks],
            lease_duration,
            silent_until: now + silence,
        }
    }

    /// The task's slot; `None` during the silence after the start, and where there is no such task.
    fn slot(&mut self, now: Time, task: usize) -> Option<&mut GrantorSlot> {
        if now < self.silent_until {
            return None;
        }
        self.slots.get_mut(task)
    }

    /// See [`GrantorSlot::prepare`]; `None`: no reply is sent.
    #[must_use]
    pub fn prepare(
        &mut self,
        now: Time,
        task: usize,
        ballot: u64,
        requester: LeaseOwner,
    ) -> Option<GrantorReply> {
        self.slot(now, task)
            .map(|slot| slot.prepare(now, ballot, requester))
    }

    /// See [`GrantorSlot::accept`]; `None`: no reply is sent.
    #[must_use]
    pub fn accept(&mut self, now: Time, task: usize, grant: Grant) -> Option<GrantorReply> {
        let lease_duration = self.lease_duration;
        self.slot(now, task)
            .map(|slot| slot.accept(now, grant, lease_duration))
    }

    /// See [`GrantorSlot::release`].
    pub fn release(&mut self, now: Time, task: usize, epoch: u64) {
        if let Some(slot) = self.slot(now, task) {
            slot.release(now, epoch);
        }
    }
}
