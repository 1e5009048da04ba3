//! The lease of one task at one member: how it is claimed, renewed and released. The lease may be used until
//! a time of the member's own clock. That time is counted from the request and shortened by the possible
//! clock error, so that the use ends before any grantor lets another member have the lease.
use crate::ballot::{ballot_owner, is_plausible_after};
use crate::claim::{GrantorTransport, LeaseRule};
use crate::grantor::{Grant, GrantorReply, LeaseOwner};
use crate::proposer::{ProposalPhase, ProposerRound, ReplyTo, RoundOutcome};
use crate::renewal::{PendingRenewals, RenewalOutcome};
use crate::{SafetyChecks, Time};

/// The maximum number of grantors: a set of grantors is stored as one `u64`.
pub const MAX_GRANTORS: usize = 63;

/// A lease is renewed after one `RENEWALS_PER_DURATION`th of its usable duration. Because the pause between
/// requests doubles, three requests may be lost before the lease expires.
const RENEWALS_PER_DURATION: Time = 4;

/// The configuration that all leases of a member share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// This member's number.
    pub member: usize,
    /// This member's incarnation: the wall-clock time of its start in milliseconds.
    pub incarnation: u64,
    /// The number of grantors, at most [`MAX_GRANTORS`].
    pub grantors: usize,
    /// How long after its request a lease may be used, see [`crate::duration::usable_duration`].
    pub usable_duration: Time,
    /// The first pause before an unanswered request is sent again. The pause doubles each time.
    pub retry: Time,
    /// An offset drawn for each member, so that not all members renew at the same moment.
    pub offset: Time,
    /// Safety checks that tests may disable.
    pub safety_checks: SafetyChecks,
}

impl LeaseConfig {
    fn owner(&self) -> LeaseOwner {
        LeaseOwner {
            member: self.member,
            incarnation: self.incarnation,
        }
    }

    fn majority(&self) -> u32 {
        self.grantors as u32 / 2 + 1
    }
}

/// The side effects of leases: requests to grantors, and notices to whoever performs the task.
pub trait LeaseActions {
    /// Sends a phase 1 request to a grantor.
    fn prepare(&mut self, grantor: usize, task: usize, ballot: u64);
    /// Sends a phase 2 request or a renewal. The reply carries the tag, which identifies the request that it
    /// answers.
    fn accept(&mut self, grantor: usize, task: usize, epoch: u64, tag: u32);
    /// Releases the lease of that epoch.
    fn release(&mut self, grantor: usize, task: usize, epoch: u64);
    /// The lease of that epoch may be used until `usable_until`. Called again after each renewal.
    fn lease_acquired(&mut self, task: usize, epoch: u64, usable_until: Time);
    /// The lease may not be used any longer. If the lease is to be released, [`Lease::execution_stopped`] has
    /// to be called afterwards; until then this notice is repeated.
    fn lease_lost(&mut self, task: usize, epoch: u64);
    /// Returns a random number below `bound`.
    fn random_below(&mut self, bound: Time) -> Time;
}

/// A grantor's reply to a phase 1 request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PrepareReply {
    /// The index of the grantor that replied.
    pub grantor: usize,
    /// The ballot of the request.
    pub ballot: u64,
    /// The grantor's reply.
    pub reply: GrantorReply,
}

/// A grantor's reply to a phase 2 request or a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AcceptReply {
    /// The index of the grantor that replied.
    pub grantor: usize,
    /// The epoch of the request.
    pub epoch: u64,
    /// The tag of the request.
    pub tag: u32,
    /// The grantor's reply.
    pub reply: GrantorReply,
}

/// The state of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseState {
    /// Held by another member or by none, as far as this member knows.
    Idle,
    /// Requested, but not yet granted by a majority.
    Claiming,
    /// Granted by a majority. It is usable until its time runs out.
    Held,
    /// To be released as soon as this member no longer performs the task.
    Stopping,
}

/// The lease of one task as seen by one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    task: usize,
    /// The state of the lease.
    pub state: LeaseState,
    /// Whether this member should hold the lease.
    wanted: bool,
    /// The Paxos round of the claim while the state is `Claiming`.
    round: Option<Box<ProposerRound<Grant>>>,
    /// The highest ballot seen. A new claim needs a higher one.
    highest_ballot_seen: u64,
    /// The epoch under which this member holds, or last held, the lease.
    pub epoch: u64,
    /// When the lease stops being usable, while the state is `Held`.
    pub usable_until: Time,
    /// The tag of the last request; 0 if there was none.
    last_tag: u32,
    /// When the current request was sent.
    requested_at: Time,
    renewals: PendingRenewals,
    /// The pause before the next retransmission. It doubles each time.
    retry_pause: Time,
    /// When another member's lease expires, according to the grantor that reported the longest remaining
    /// time. An earlier claim would fail, and with a grantor down the failure would only be noticed when the
    /// claim times out.
    held_elsewhere_until: Time,
    /// When [`Lease::timer_fired`] is due; `Time::MAX` if no action is pending.
    pub next_action_at: Time,
}

impl Lease {
    /// Creates a lease that is idle and not wanted.
    pub fn new(task: usize) -> Lease {
        Lease {
            task,
            state: LeaseState::Idle,
            wanted: false,
            round: None,
            highest_ballot_seen: 0,
            epoch: 0,
            usable_until: 0,
            last_tag: 0,
            requested_at: 0,
            renewals: PendingRenewals::default(),
            retry_pause: 0,
            held_elsewhere_until: 0,
            next_action_at: Time::MAX,
        }
    }

    /// Whether this member should hold the lease.
    pub fn wanted(&self) -> bool {
        self.wanted
    }

    /// Whether this member may perform the task at `now`.
    pub fn is_held(&self, now: Time) -> bool {
        self.state == LeaseState::Held && now < self.usable_until
    }

    /// Sets whether this member should hold the lease. `vacant` means that no other member holds it any more,
    /// so that it is claimed immediately.
    pub fn set_wanted(
        &mut self,
        now: Time,
        config: &LeaseConfig,
        actions: &mut impl LeaseActions,
        wanted: bool,
        vacant: bool,
    ) {
        self.wanted = wanted;
        match self.state {
            LeaseState::Idle if wanted => {
                // A random delay keeps members that notice the same loss at the same time from sending their
                // requests at the same moment.
                let jitter = if vacant {
                    0
                } else {
                    actions.random_below(config.retry)
                };
                self.next_action_at = self.next_action_at.min(now + jitter);
            }
            LeaseState::Claiming if !wanted => self.become_idle(Time::MAX),
            // Earlier rejections date from when another member still held the lease.
            LeaseState::Claiming if vacant => self.become_idle(now),
            LeaseState::Held if !wanted => {
                self.state = LeaseState::Stopping;
                self.next_action_at = (now + config.retry).min(self.usable_until);
                actions.lease_lost(self.task, self.epoch);
            }
            _ => {}
        }
    }

    fn become_idle(&mut self, next_action_at: Time) {
        self.state = LeaseState::Idle;
        self.round = None;
        self.next_action_at = next_action_at;
    }

    /// Returns to `Idle`. If the lease is wanted, it is claimed again after the pause and a random delay.
    fn retry_after(
        &mut self,
        now: Time,
        config: &LeaseConfig,
        actions: &mut impl LeaseActions,
        pause: Time,
    ) {
        let pause = pause + 1 + actions.random_below(config.retry);
        self.become_idle(if self.wanted { now + pause } else { Time::MAX });
    }

    /// The claim failed. It is repeated when the other member's lease may have expired.
    fn claim_failed(&mut self, now: Time, config: &LeaseConfig, actions: &mut impl LeaseActions) {
        let remaining = self.held_elsewhere_until.saturating_sub(now);
        self.retry_after(now, config, actions, remaining.min(config.usable_duration));
    }

    fn lose(&mut self, now: Time, config: &LeaseConfig, actions: &mut impl LeaseActions) {
        actions.lease_lost(self.task, self.epoch);
        self.retry_after(now, config, actions, 0);
    }

    fn transport<'a, A>(&self, actions: &'a mut A) -> GrantorTransport<'a, A> {
        GrantorTransport {
            actions,
            task: self.task,
            tag: self.last_tag,
            accept_sent: false,
        }
    }

    /// Performs the action that is due at `next_action_at`.
    pub fn timer_fired(
        &mut self,
        now: Time,
        config: &LeaseConfig,
        actions: &mut impl LeaseActions,
    ) {
        match self.state {
            LeaseState::Idle if self.wanted => self.claim(now, config, actions),
            LeaseState::Idle => self.next_action_at = Time::MAX,
            // A request without a reply by this time was lost, or its grantor is down.
            LeaseState::Claiming if now >= self.requested_at + config.usable_duration / 2 => {
                self.claim_failed(now, config, actions);
            }
            LeaseState::Claiming => {
                if let Some(round) = &self.round {
                    round.retransmit(&mut self.transport(actions));
                }
                self.retry_pause *= 2;
                self.next_action_at = now + self.retry_pause;
            }
            LeaseState::Held if now >= self.usable_until => self.lose(now, config, actions),
            LeaseState::Held => self.renew(now, config, actions),
            // The notice is repeated because the channel may have been full the first time.
            LeaseState::Stopping if now < self.usable_until => {
                actions.lease_lost(self.task, self.epoch);
                self.next_action_at = (now + config.retry).min(self.usable_until);
            }
            // There is no confirmation that the task stopped, but the lease has expired anyway.
            LeaseState::Stopping => self.retry_after(now, config, actions, 0),
        }
    }

    fn claim(&mut self, now: Time, config: &LeaseConfig, actions: &mut impl LeaseActions) {
        let owner = ballot_owner(config.member, config.incarnation);
        let mut round = Box::new(ProposerRound::new(owner, config.grantors));
        round.ballot_seen(self.highest_ballot_seen);
        self.state = LeaseState::Claiming;
        self.held_elsewhere_until = 0;
        self.last_tag = self.last_tag.wrapping_add(1);
        round.begin(&mut self.transport(actions));
        (self.round, self.requested_at) = (Some(round), now);
        self.retry_pause = config.retry;
        self.next_action_at = now + self.retry_pause;
    }

    fn renew(&mut self, now: Time, config: &LeaseConfig, actions: &mut impl LeaseActions) {
        // Each request has its own tag: a reply to an earlier request does not extend the lease from the time
        // of this one.
        self.last_tag = self.last_tag.wrapping_add(1);
        self.renewals.request_sent(now, self.last_tag);
        (0..config.grantors)
            .for_each(|grantor| actions.accept(grantor, self.task, self.epoch, self.last_tag));
        self.next_action_at = (now + self.retry_pause).min(self.usable_until);
        self.retry_pause *= 2;
    }

    /// Records a reported ballot. Returns false if the ballot is too far ahead to be genuine.
    fn ballot_seen(&mut self, ballot: u64) -> bool {
        let plausible = is_plausible_after(ballot, self.highest_ballot_seen);
        if plausible {
            self.highest_ballot_seen = self.highest_ballot_seen.max(ballot);
        }
        plausible
    }

    /// Handles a grantor's reply to a phase 1 request.
    pub fn prepare_replied(
        &mut self,
        now: Time,
        config: &LeaseConfig,
        actions: &mut impl LeaseActions,
        reply: PrepareReply,
    ) {
        if self.ballot_seen(reply.reply.state.promised) && self.state == LeaseState::Claiming {
            let reply_to = ReplyTo {
                ballot: reply.ballot,
                phase: ProposalPhase::Prepare,
            };
            self.claim_replied(now, config, actions, reply.grantor, reply_to, reply.reply);
        }
    }

    fn claim_replied(
        &mut self,
        now: Time,
        config: &LeaseConfig,
        actions: &mut impl LeaseActions,
        grantor: usize,
        reply_to: ReplyTo,
        reply: GrantorReply,
    ) {
        let Some(mut round) = self.round.take() else {
            return;
        };
        if !reply.granted && reply.state.accepted.epoch > 0 {
            self.held_elsewhere_until = self.held_elsewhere_until.max(now + reply.remaining);
        }
        let mut transport = self.transport(actions);
        let mut rule = LeaseRule {
            requester: config.owner(),
        };
        let outcome = round.reply_received(
            &mut transport,
            &mut rule,
            grantor,
            reply_to,
            reply.granted,
            reply.state,
        );
        if transport.accept_sent {
            // The lease runs from this moment: no grantor has seen a phase 2 request for it before.
            self.requested_at = now;
        }
        self.round = Some(round);
        match outcome {
            None => {}
            Some(RoundOutcome::Granted(grant)) => {
                self.granted(grant.epoch);
                self.extend(now, config, actions, self.requested_at);
            }
            Some(RoundOutcome::Rejected(_) | RoundOutcome::NoMajority) => {
                self.claim_failed(now, config, actions);
            }
        }
    }

    /// A majority granted the claim: the lease is held under a new epoch.
    fn granted(&mut self, epoch: u64) {
        self.state = LeaseState::Held;
        self.round = None;
        self.epoch = epoch;
        self.highest_ballot_seen = self.highest_ballot_seen.max(epoch);
        self.usable_until = 0;
        self.renewals = PendingRenewals::default();
    }

    /// A majority granted the request that was sent at `requested_at`: extends the usable time and schedules
    /// the next renewal.
    fn extend(
        &mut self,
        now: Time,
        config: &LeaseConfig,
        actions: &mut impl LeaseActions,
        requested_at: Time,
    ) {
        let usable = config.usable_duration;
        let start = if config.safety_checks.counts_from_request {
            requested_at
        } else {
            now
        };
        self.usable_until = self.usable_until.max(start + usable);
        self.retry_pause = config.retry;
        // Spreads the renewals of many tasks over time.
        let spread = actions.random_below(usable / (2 * RENEWALS_PER_DURATION) + 1);
        let renew_at = self.usable_until - usable + usable / RENEWALS_PER_DURATION + spread;
        // Renewals due shortly after one another are sent together, in few datagrams. The offset makes
        // members differ.
        let batch_interval = (usable / (8 * RENEWALS_PER_DURATION)).max(1);
        let renew_at = renew_at - (renew_at + config.offset) % batch_interval;
        self.next_action_at = renew_at.max(now + 1).min(self.usable_until);
        if now < self.usable_until {
            actions.lease_acquired(self.task, self.epoch, self.usable_until);
        }
    }

    /// Handles a grantor's reply to a phase 2 request or a renewal.
    pub fn accept_replied(
        &mut self,
        now: Time,
        config: &LeaseConfig,
        actions: &mut impl LeaseActions,
        reply: AcceptReply,
    ) {
        if !self.ballot_seen(reply.reply.state.promised) {
            return;
        }
        match self.state {
            LeaseState::Claiming if reply.tag == self.last_tag => {
                let reply_to = ReplyTo {
                    ballot: reply.epoch,
                    phase: ProposalPhase::Accept,
                };
                self.claim_replied(now, config, actions, reply.grantor, reply_to, reply.reply);
            }
            LeaseState::Held if reply.epoch == self.epoch => {
                match self.renewals.reply_received(
                    reply.tag,
                    reply.grantor,
                    reply.reply.granted,
                    config.majority(),
                    config.safety_checks,
                ) {
                    RenewalOutcome::Undecided => {}
                    RenewalOutcome::Granted { sent_at } => {
                        self.extend(now, config, actions, sent_at);
                    }
                    // Grantors lost their state, or another member holds a newer epoch: a new claim is
                    // needed.
                    RenewalOutcome::Rejected => self.lose(now, config, actions),
                }
            }
            _ => {}
        }
    }

    /// This member no longer performs the task under that epoch. Returns whether this released the lease.
    pub fn execution_stopped(
        &mut self,
        now: Time,
        config: &LeaseConfig,
        actions: &mut impl LeaseActions,
        epoch: u64,
    ) -> bool {
        let released = self.state == LeaseState::Stopping && epoch == self.epoch;
        if released {
            (0..config.grantors).for_each(|grantor| actions.release(grantor, self.task, epoch));
            self.retry_after(now, config, actions, 0);
        }
        released
    }

    /// A worker has seen a newer epoch, so the grantors that granted this one had lost their state.
    pub fn higher_epoch_seen(
        &mut self,
        now: Time,
        config: &LeaseConfig,
        actions: &mut impl LeaseActions,
        epoch: u64,
    ) {
        // The ballot may be known already from a grantor that promised it to another member, so it is
        // compared with the epoch held.
        if self.ballot_seen(epoch) && self.state == LeaseState::Held && epoch > self.epoch {
            self.lose(now, config, actions);
        }
    }
}
