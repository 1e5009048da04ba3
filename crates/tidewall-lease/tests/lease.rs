//! Steps through a single lease: when requests are sent, and how the lease reacts to a newer epoch seen by a
//! worker.
use test_case::test_case;
use tidewall_lease::ballot::ballot;
use tidewall_lease::grantor::{Grant, GrantorReply, GrantorSlot};
use tidewall_lease::lease::{
    AcceptReply, Lease, LeaseActions, LeaseConfig, LeaseState, PrepareReply,
};
use tidewall_lease::SafetyChecks;

#[derive(Clone, Copy)]
struct AcceptRequest {
    epoch: u64,
    tag: u32,
}

#[derive(Default)]
struct RecordedActions {
    prepared_ballots: Vec<u64>,
    accepts: Vec<AcceptRequest>,
    acquired_until: Vec<u64>,
    lost_epochs: Vec<u64>,
}

impl LeaseActions for RecordedActions {
    fn prepare(&mut self, _: usize, _: usize, ballot: u64) {
        self.prepared_ballots.push(ballot);
    }
    fn accept(&mut self, _: usize, _: usize, epoch: u64, tag: u32) {
        self.accepts.push(AcceptRequest { epoch, tag });
    }
    fn release(&mut self, _: usize, _: usize, _: u64) {}
    fn lease_acquired(&mut self, _: usize, _: u64, usable_until: u64) {
        self.acquired_until.push(usable_until);
    }
    fn lease_lost(&mut self, _: usize, epoch: u64) {
        self.lost_epochs.push(epoch);
    }
    fn random_below(&mut self, _: u64) -> u64 {
        0
    }
}

const CONFIG: LeaseConfig = LeaseConfig {
    member: 1,
    incarnation: 7,
    grantors: 3,
    usable_duration: 1_600,
    retry: 100,
    offset: 0,
    safety_checks: SafetyChecks {
        silent_start: true,
        shortened_lease: true,
        counts_from_request: true,
        one_vote_per_grantor: true,
        replay_protection: true,
    },
};

fn granted_reply(promised: u64) -> GrantorReply {
    let mut slot = GrantorSlot::default();
    slot.acceptor.promised = promised;
    GrantorReply {
        granted: true,
        state: slot.acceptor,
        remaining: 0,
    }
}

/// A majority grants the request at time `now`.
fn accept_by_majority(
    lease: &mut Lease,
    actions: &mut RecordedActions,
    now: u64,
    AcceptRequest { epoch, tag }: AcceptRequest,
) {
    for grantor in 0..2 {
        let reply = AcceptReply {
            grantor,
            epoch,
            tag,
            reply: granted_reply(epoch),
        };
        lease.accept_replied(now, &CONFIG, actions, reply);
    }
}

/// Returns a lease requested at 0. A majority replied to phase 1 at 10 and to phase 2 at 20.
fn held_lease() -> (Lease, RecordedActions) {
    let (mut lease, mut actions) = (Lease::new(0), RecordedActions::default());
    lease.set_wanted(0, &CONFIG, &mut actions, true, true);
    lease.timer_fired(0, &CONFIG, &mut actions);
    let ballot = actions.prepared_ballots[0];
    for grantor in 0..2 {
        let reply = PrepareReply {
            grantor,
            ballot,
            reply: granted_reply(ballot),
        };
        lease.prepare_replied(10, &CONFIG, &mut actions, reply);
    }
    let request = actions.accepts[0];
    accept_by_majority(&mut lease, &mut actions, 20, request);
    (lease, actions)
}

#[test]
fn a_lease_counts_from_its_request() {
    let (lease, actions) = held_lease();
    assert_eq!(
        (lease.state, actions.acquired_until.as_slice()),
        (LeaseState::Held, &[1_610][..])
    );
    assert!(lease.is_held(1_609) && !lease.is_held(1_610));
}

/// Replies to a renewal that was followed by another one extend the lease from the send time of their own
/// request.
#[test]
fn a_late_reply_to_an_earlier_renewal_counts() {
    let (mut lease, mut actions) = held_lease();
    actions.accepts.clear();
    let first = lease.next_action_at;
    lease.timer_fired(first, &CONFIG, &mut actions);
    let request = actions.accepts[0];
    lease.timer_fired(first + 100, &CONFIG, &mut actions);
    assert_eq!(actions.accepts.len(), 6);
    accept_by_majority(&mut lease, &mut actions, first + 250, request);
    assert_eq!(
        actions.acquired_until.last(),
        Some(&(first + CONFIG.usable_duration))
    );
}

/// A worker saw a newer epoch than the one held. The lease may know that epoch already, from a grantor that
/// promised it to another member. After five processes were killed at once, one task of sixteen had a holder
/// whose every effect was rejected, permanently.
#[test_case(false; "not known before")]
#[test_case(true; "known before")]
fn a_claim_is_above_an_epoch_that_a_worker_has_seen(known_before: bool) {
    let (mut lease, mut actions) = held_lease();
    let newer = ballot(2, 9, 40);
    if known_before {
        let reply = AcceptReply {
            grantor: 2,
            epoch: lease.epoch,
            tag: 99,
            reply: GrantorReply {
                granted: false,
                ..granted_reply(newer)
            },
        };
        lease.accept_replied(30, &CONFIG, &mut actions, reply);
    }
    let held = lease.epoch;
    lease.higher_epoch_seen(50, &CONFIG, &mut actions, newer);
    assert_eq!(
        (lease.state, actions.lost_epochs.as_slice()),
        (LeaseState::Idle, &[held][..])
    );
    actions.prepared_ballots.clear();
    let due = lease.next_action_at;
    lease.timer_fired(due, &CONFIG, &mut actions);
    assert!(actions.prepared_ballots[0] > newer);
    // A late report of the epoch that is held has no effect.
    let (mut lease, mut actions) = held_lease();
    lease.higher_epoch_seen(50, &CONFIG, &mut actions, held);
    assert_eq!(
        (lease.state, actions.lost_epochs.len()),
        (LeaseState::Held, 0)
    );
}

#[test]
fn a_claim_waits_for_the_longest_remaining_lease_that_is_reported() {
    let (mut lease, mut actions) = (Lease::new(0), RecordedActions::default());
    lease.set_wanted(0, &CONFIG, &mut actions, true, true);
    lease.timer_fired(0, &CONFIG, &mut actions);
    let ballot = actions.prepared_ballots[0];
    let mut rejected = |grantor, remaining| {
        let mut reply = granted_reply(5);
        reply.granted = false;
        reply.remaining = remaining;
        reply.state.accepted = Grant {
            epoch: 5,
            member: 2,
            incarnation: 3,
        };
        let reply = PrepareReply {
            grantor,
            ballot,
            reply,
        };
        lease.prepare_replied(10, &CONFIG, &mut actions, reply);
    };
    rejected(0, 900);
    rejected(1, 400);
    assert_eq!((lease.state, lease.next_action_at), (LeaseState::Idle, 911));
}
