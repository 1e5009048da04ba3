//! The grantor of leases: one Paxos acceptor per task, whose accepted value is a lease with an expiry time.
//! While a lease runs, the grantor makes no promise to another owner. A lease runs from the time at which the
//! grantor handles the request.
//!
//! Grantors store nothing on disk. After its start a grantor answers no request for one lease duration, so
//! that everything its previous incarnation granted has expired before it grants a lease again.
use crate::acceptor::{AcceptorState, BallotedValue};
use crate::ballot::is_plausible_after;
use crate::{SafetyChecks, Time};

/// The requester or holder of a lease: one incarnation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseOwner {
    /// The member's number.
    pub member: usize,
    /// The member's incarnation: the wall-clock time of its start in milliseconds.
    pub incarnation: u64,
}

/// A lease as accepted by grantors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Grant {
    /// The ballot under which the lease was requested; 0 if there is no lease.
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
    /// The owner of the lease.
    pub fn owner(&self) -> LeaseOwner {
        LeaseOwner {
            member: self.member,
            incarnation: self.incarnation,
        }
    }
}

/// The state of one task at one grantor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GrantorSlot {
    /// The highest ballot promised and the lease accepted last.
    pub acceptor: AcceptorState<Grant>,
    /// When the lease accepted last expires, by the grantor's clock.
    pub expires_at: Time,
}

/// A grantor's reply to a prepare or accept request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GrantorReply {
    /// Whether the request was granted.
    pub granted: bool,
    /// The grantor's state after the request. Its accepted lease is the default value if the last lease has
    /// expired.
    pub state: AcceptorState<Grant>,
    /// How long the accepted lease still keeps others from the task; 0 if it has expired.
    pub remaining: Time,
}

impl GrantorSlot {
    /// Whether the ballot is close enough to the promised one to be genuine. Without this check a single
    /// faulty message could use up all ballots.
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

    /// Phase 1: a member requests a promise for one of its ballots. While the lease of another owner runs, no
    /// promise is given, because it would make this grantor reject that owner's renewals.
    #[must_use]
    pub fn prepare(&mut self, now: Time, ballot: u64, requester: LeaseOwner) -> GrantorReply {
        let held_by_other = now < self.expires_at && self.acceptor.accepted.owner() != requester;
        let granted = !held_by_other && self.is_plausible(ballot) && self.acceptor.prepare(ballot);
        self.reply(now, granted)
    }

    /// Phase 2, and each renewal. An accepted lease runs for `lease_duration` from `now`.
    #[must_use]
    pub fn accept(&mut self, now: Time, grant: Grant, lease_duration: Time) -> GrantorReply {
        let granted = self.is_plausible(grant.epoch) && self.acceptor.accept(grant);
        if granted {
            self.expires_at = now + lease_duration;
        }
        self.reply(now, granted)
    }

    /// The holder releases the lease of that epoch. The promise is raised above the epoch, so that a renewal
    /// still in flight does not restore the lease.
    pub fn release(&mut self, now: Time, epoch: u64) {
        if self.acceptor.accepted.epoch == epoch {
            self.expires_at = now;
            self.acceptor.promised = self.acceptor.promised.max(epoch + 1);
        }
    }
}

/// The state of all tasks at one grantor.
#[derive(Debug)]
pub struct LeaseGrantor {
    slots: Vec<GrantorSlot>,
    lease_duration: Time,
    /// The grantor answers no request before this time.
    silent_until: Time,
}

impl LeaseGrantor {
    /// Creates a grantor that starts at `now` with no record of earlier grants.
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

    /// Returns the slot of a task; `None` during the silence after the start, and if there is no such task.
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
