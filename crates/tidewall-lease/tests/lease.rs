//! One lease by hand: what is asked when, and what a worker's newer epoch does.
use test_case::test_case;
use tidewall_lease::grantor::{Grant, GrantorReply, GrantorSlot};
use tidewall_lease::lease::{ballot, Lease, LeaseActions, LeaseConfig, LeaseState};
use tidewall_lease::SafetyChecks;

#[derive(Default)]
struct BallotedValue {
    prepared: Vec<(usize, u64)>,
    accepts: Vec<(usize, u64, u32)>,
    held: Vec<u64>,
    stopped: Vec<u64>,
}

impl LeaseActions for BallotedValue {
    fn prepare(&mut self, keeper: usize, _: usize, ballot: u64) {
        self.prepared.push((keeper, ballot));
    }
    fn accept(&mut self, keeper: usize, _: usize, epoch: u64, tag: u32) {
        self.accepts.push((keeper, epoch, tag));
    }
    fn release(&mut self, _: usize, _: usize, _: u64) {}
    fn lease_acquired(&mut self, _: usize, _: u64, until: u64) {
        self.held.push(until);
    }
    fn lease_lost(&mut self, _: usize, epoch: u64) {
        self.stopped.push(epoch);
    }
    fn random_below(&mut self, _: u64) -> u64 {
        0
    }
}

const TERMS: LeaseConfig = LeaseConfig {
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

fn good(epoch: u64) -> GrantorReply {
    let mut slot = GrantorSlot::default();
    slot.acceptor.promised = epoch;
    GrantorReply {
        granted: true,
        state: slot.acceptor,
        remaining: 0,
    }
}

/// Claimed at 0, the answers to its first question at 10, to its second at 20.
fn granted() -> (Lease, BallotedValue) {
    let (mut lease, mut said) = (Lease::new(0), BallotedValue::default());
    lease.set_wanted(0, &TERMS, &mut said, true, true);
    lease.timer_fired(0, &TERMS, &mut said);
    let of = said.prepared[0].1;
    (0..2).for_each(|k| lease.prepare_replied(10, &TERMS, &mut said, k, of, good(of)));
    let (_, epoch, tag) = said.accepts[0];
    (0..2).for_each(|k| lease.accept_replied(20, &TERMS, &mut said, k, (epoch, tag), good(epoch)));
    (lease, said)
}

#[test]
fn leave_counts_from_when_it_was_asked() {
    let (lease, said) = granted();
    assert_eq!(
        (lease.state, said.held.as_slice()),
        (LeaseState::Held, &[1_610][..])
    );
    assert!(lease.is_held(1_609) && !lease.is_held(1_610));
}

/// Answers to an asking that another followed count from their own time.
#[test]
fn a_renewal_on_a_slow_link_counts() {
    let (mut lease, mut said) = granted();
    said.accepts.clear();
    let first = lease.next;
    lease.timer_fired(first, &TERMS, &mut said);
    let (_, epoch, tag) = said.accepts[0];
    lease.timer_fired(first + 100, &TERMS, &mut said);
    assert_eq!(said.accepts.len(), 6);
    (0..2).for_each(|k| {
        lease.accept_replied(first + 250, &TERMS, &mut said, k, (epoch, tag), good(epoch))
    });
    assert_eq!(said.held.last(), Some(&(first + TERMS.usable_duration)));
}

/// A worker saw a newer epoch than the one held, which this lease may have heard of already (a keeper had promised it to another):
/// five processes killed at once left one task of sixteen with a holder whose every act was refused, for good.
#[test_case(false; "never heard of")]
#[test_case(true; "heard of before")]
fn an_epoch_that_a_worker_has_seen_is_bid_above(before: bool) {
    let (mut lease, mut said) = granted();
    let newer = ballot(2, 9, 40);
    if before {
        let mut no = good(newer);
        no.granted = false;
        lease.accept_replied(30, &TERMS, &mut said, 2, (lease.epoch, 99), no);
    }
    let held = lease.epoch;
    lease.higher_epoch_seen(50, &TERMS, &mut said, newer);
    assert_eq!(
        (lease.state, said.stopped.as_slice()),
        (LeaseState::Idle, &[held][..])
    );
    said.prepared.clear();
    let next = lease.next;
    lease.timer_fired(next, &TERMS, &mut said);
    assert!(said.prepared[0].1 > newer);
    // Words that come late, of what is held by now, change nothing.
    let (mut lease, mut said) = granted();
    lease.higher_epoch_seen(50, &TERMS, &mut said, held);
    assert_eq!((lease.state, said.stopped.len()), (LeaseState::Held, 0));
}

#[test]
fn a_lease_of_another_is_waited_for_by_the_keeper_that_bars_longest() {
    let (mut lease, mut said) = (Lease::new(0), BallotedValue::default());
    lease.set_wanted(0, &TERMS, &mut said, true, true);
    lease.timer_fired(0, &TERMS, &mut said);
    let of = said.prepared[0].1;
    let barred = |left| {
        let mut a = good(5);
        a.granted = false;
        a.state.accepted = Grant {
            epoch: 5,
            member: 2,
            incarnation: 3,
        };
        GrantorReply {
            remaining: left,
            ..a
        }
    };
    lease.prepare_replied(10, &TERMS, &mut said, 0, of, barred(900));
    lease.prepare_replied(10, &TERMS, &mut said, 1, of, barred(400));
    assert_eq!((lease.state, lease.next), (LeaseState::Idle, 911));
}
