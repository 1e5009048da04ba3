//! The seat, the fates of events, what is known of marks, the ration of both lives, and damping.
mod help;

use help::*;
use test_case::test_case;
use tidewall_failover::deduplication::{DeduplicationTable, RequestLocation, MAX_ENTRIES};
use tidewall_failover::flap_damping::FlapDamping;
use tidewall_failover::leadership::LeadershipAcceptor;
use tidewall_failover::load_request_limit::LoadRequestLimiter;
use tidewall_failover::recovery::{
    fate, margin, unknown, Attempt, AttemptState, RecoveryAction, RetrySafety,
};
use tidewall_failover::role::{Role, RoleStateMachine};

const ALL: RetrySafety = RetrySafety::Keyed {
    all: true,
    window: 40_000,
};
const ZONE: RetrySafety = RetrySafety::Keyed {
    all: false,
    window: 40_000,
};

fn launches(states: &[AttemptState]) -> Vec<Attempt> {
    states
        .iter()
        .enumerate()
        .map(|(wk, state)| Attempt {
            wk,
            at: 10_000,
            state: *state,
        })
        .collect()
}

#[test_case(RetrySafety::AtMostOnce, &[], 20_000, RecoveryAction::Continue ; "at-most-once, never launched")]
#[test_case(RetrySafety::AtMostOnce, &[AttemptState::ProvenNotRun], 20_000, RecoveryAction::Continue ; "at-most-once, proven not run")]
#[test_case(RetrySafety::AtMostOnce, &[AttemptState::Out], 20_000, RecoveryAction::DeadLetter ; "at-most-once, out")]
#[test_case(RetrySafety::AtMostOnce, &[AttemptState::ProvenNotRun, AttemptState::MayHaveRun], 20_000, RecoveryAction::DeadLetter ; "at-most-once, may have run")]
#[test_case(RetrySafety::AtMostOnce, &[], 10_050, RecoveryAction::Forget ; "at-most-once, never launched, no time left")]
#[test_case(RetrySafety::Redeliverable, &[AttemptState::MayHaveRun], 20_000, RecoveryAction::Continue ; "redeliverable, may have run")]
#[test_case(RetrySafety::Redeliverable, &[AttemptState::Out], 20_000, RecoveryAction::Await ; "redeliverable, out at a worker that is not fenced")]
#[test_case(RetrySafety::Redeliverable, &[AttemptState::MayHaveRun, AttemptState::Out], 20_000, RecoveryAction::Continue ; "redeliverable, out at a fenced one")]
#[test_case(RetrySafety::Redeliverable, &[AttemptState::Out], 10_050, RecoveryAction::DeadLetter ; "redeliverable, out, no time left")]
#[test_case(ALL, &[AttemptState::MayHaveRun], 20_000, RecoveryAction::Continue ; "keyed among all, may have run")]
#[test_case(ZONE, &[AttemptState::MayHaveRun], 20_000, RecoveryAction::DeadLetter ; "keyed in a zone, may have run")]
#[test_case(ZONE, &[AttemptState::ProvenNotRun], 20_000, RecoveryAction::Continue ; "keyed in a zone, proven not run")]
#[test_case(RetrySafety::Keyed { all: true, window: 50 }, &[AttemptState::MayHaveRun], 20_000, RecoveryAction::DeadLetter ; "keyed among all, its window is over")]
fn what_becomes_of_an_event(
    kind: RetrySafety,
    states: &[AttemptState],
    until: u64,
    told: RecoveryAction,
) {
    assert_eq!(
        fate(kind, false, (10_000, until), &launches(states), |wk| wk
            == 1),
        told
    );
}

#[test]
fn where_two_at_once_are_allowed_nothing_is_awaited() {
    let out = launches(&[AttemptState::Out]);
    assert_eq!(
        fate(RetrySafety::Redeliverable, true, (0, 9_000), &out, |_| {
            false
        }),
        RecoveryAction::Continue
    );
}

#[test_case(RetrySafety::AtMostOnce, true, Some(false) ; "at-most-once may have run")]
#[test_case(ZONE, true, Some(false) ; "keyed in a zone may have run anywhere")]
#[test_case(ALL, false, Some(true) ; "keyed among all may be out")]
#[test_case(ALL, true, None ; "keyed among all begins anew")]
#[test_case(RetrySafety::Redeliverable, false, Some(true) ; "redeliverable may be out")]
#[test_case(RetrySafety::Redeliverable, true, None ; "redeliverable begins anew")]
fn what_nobody_knows_of(kind: RetrySafety, fenced: bool, told: Option<bool>) {
    assert_eq!(unknown(kind, false, fenced), told);
}

#[test_case(RetrySafety::Redeliverable, 30_000, 0 ; "nothing waits")]
#[test_case(ZONE, 30_000, 5_000 ; "silence and a claim")]
#[test_case(ZONE, 4_000, 1_000 ; "no more than a quarter")]
fn how_early_an_event_ends(kind: RetrySafety, left: u64, told: u64) {
    assert_eq!(margin(kind, left, 4_000), told);
}

#[test]
fn orders_of_both_lives_count_within_the_window() {
    let mut ration = LoadRequestLimiter::new(1_000, 1.0, 0.5);
    ration.ordered(0);
    assert!(!ration.room(10));
    (0..2).for_each(|_| ration.took(10));
    assert!(ration.room(10));
    // One that is gone on with was counted when it was taken.
    ration.took(10);
    ration.took_before();
    ration.ordered(10);
    assert!(!ration.room(20));
    // The first order is out of the window, and then what was taken too.
    assert!(ration.room(1_000));
    ration.ordered(1_000);
    assert!(!ration.room(1_009));
}

#[test]
fn each_time_costs_twice_as_long_and_is_forgiven() {
    let mut damp = FlapDamping::new(10, 50);
    let waits: Vec<u64> = (0..4)
        .map(|i| damp.again(i * 100 / 4) - i * 100 / 4)
        .collect();
    assert_eq!(waits, [10, 20, 40, 50]);
    assert_eq!(damp.again(1_000), 1_010);
}

#[test]
fn a_mark_is_in_hand_then_answered_then_unknown() {
    let mut known = DeduplicationTable::default();
    known.hold(1, b"m", RequestLocation::There(3));
    assert_eq!(known.find(0, 1, b"m"), Some(&RequestLocation::There(3)));
    assert_eq!(known.find(0, 2, b"m"), None);
    known.hold(1, b"m", RequestLocation::Here(4));
    known.answered(10, 1, b"m", 0, b"r", 50);
    assert_eq!(
        known.find(49, 1, b"m"),
        Some(&RequestLocation::Answered(0, b"r"[..].into()))
    );
    assert_eq!(known.find(50, 1, b"m"), None);
    assert!(known.is_empty());
}

#[test]
fn an_event_taken_again_outlives_its_former_answer_and_void_copies_leave_what_is_here() {
    let mut known = DeduplicationTable::default();
    known.answered(0, 1, b"m", 0, b"", 100);
    known.hold(1, b"m", RequestLocation::Here(8));
    known.hold(1, b"n", RequestLocation::There(9));
    known.answered(0, 1, b"o", 2, b"", 500);
    assert_eq!(known.find(200, 1, b"m"), Some(&RequestLocation::Here(8)));
    known.reset();
    assert_eq!(
        (known.len(), known.find(200, 1, b"m")),
        (1, Some(&RequestLocation::Here(8)))
    );
}

#[test]
fn no_answer_is_forgotten_before_its_time_and_marks_that_are_none_never_kept() {
    let mut known = DeduplicationTable::default();
    for i in 0..MAX_ENTRIES as u64 {
        assert!(known.room());
        known.answered(0, 1, &i.to_be_bytes(), 0, b"", 1_000);
    }
    known.hold(1, b"", RequestLocation::Here(1));
    assert_eq!((known.len(), known.room()), (MAX_ENTRIES, false));
    assert!(known.find(999, 1, &0u64.to_be_bytes()).is_some());
    assert!(known.find(1_000, 1, &0u64.to_be_bytes()).is_none() && known.room());
}

const INTERVAL: u64 = 1_000;

/// Voters answer all that is asked, until nothing is.
fn answer(
    seat: &mut RoleStateMachine,
    host: &mut Host,
    voters: &mut [LeadershipAcceptor],
    now: u64,
) {
    while let Some((voter, ballot, asked)) = host.asked.pop() {
        let (good, promise) = vote(&mut voters[voter], (ballot, asked));
        seat.told(now, host, voter, (ballot, asked.is_some()), good, promise);
    }
}

/// A member 0 that serves, with the other one following; and what it said since.
fn paired(voters: &mut [LeadershipAcceptor]) -> (RoleStateMachine, Host) {
    let (mut seat, mut host) = (RoleStateMachine::new(0, 7, 3, INTERVAL, 0), Host::default());
    seat.peer_up(0, &mut host, 9, false, 0);
    seat.tick(0, &mut host);
    seat.active(10, &mut host);
    answer(&mut seat, &mut host, voters, 10);
    assert_eq!(seat.state(), Role::Solo);
    seat.copied(20, &mut host);
    seat.joined(&mut host);
    answer(&mut seat, &mut host, voters, 20);
    assert_eq!((seat.state(), seat.granted.sync), (Role::Paired, [7, 9]));
    host.said.clear();
    (seat, host)
}

#[test]
fn a_master_that_loses_the_other_one_waits_for_the_voters() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut seat, mut host) = paired(&mut voters);
    seat.peer_down(100, &mut host);
    assert_eq!((seat.state(), host.said.len()), (Role::Parting, 0));
    answer(&mut seat, &mut host, &mut voters, 110);
    assert_eq!((seat.state(), seat.granted.sync), (Role::Solo, [7, 0]));
    assert!(host.said.contains(&"waits false".to_string()));
}

#[test]
fn one_that_finds_nobody_gives_up() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut seat, mut host) = paired(&mut voters);
    seat.peer_down(100, &mut host);
    for now in (200..30_000).step_by(250) {
        for (voter, ballot, asked) in std::mem::take(&mut host.asked) {
            seat.unheard(now, &mut host, voter, (ballot, asked.is_some()));
        }
        seat.tick(now, &mut host);
    }
    assert_eq!(seat.state(), Role::Over);
    assert_eq!(
        host.said.iter().filter(|s| s.starts_with("again")).count(),
        1
    );
    assert!(!host.said.contains(&"waits false".to_string()));
}

#[test]
fn one_that_is_superseded_starts_anew() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut seat, mut host) = paired(&mut voters);
    let theirs = tidewall_failover::leadership::Leadership {
        epoch: 99 << 24,
        member: 1,
        sync: [0, 9],
        floor: 99 << 24,
    };
    voters.iter_mut().for_each(|v| assert!(v.accept(theirs)));
    seat.fenced(&mut host);
    answer(&mut seat, &mut host, &mut voters, 200);
    assert_eq!(seat.state(), Role::Over);
}

#[test]
fn a_seat_is_handed_over_and_what_was_taken_before_goes_on() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut seat, mut host) = paired(&mut voters);
    seat.yield_asked(100, &mut host);
    assert_eq!(
        (seat.state(), host.said.join(", ")),
        (Role::Retiring, "retire, yielded".to_string())
    );
    let (mut other, mut far) = (RoleStateMachine::new(1, 9, 3, INTERVAL, 0), Host::default());
    other.peer_up(100, &mut far, 7, true, seat.epoch());
    other.peer_told(100, &mut far, true, true, seat.epoch());
    other.tick(100, &mut far);
    other.active(110, &mut far);
    assert_eq!(
        (other.state(), far.said.join(", ")),
        (Role::Asking, "vrrp true, ask yield".to_string())
    );
    other.peer_yielded(120, &mut far);
    answer(&mut other, &mut far, &mut voters, 130);
    assert_eq!((other.state(), other.granted.sync), (Role::Paired, [7, 9]));
    // What the retired one has out stays good.
    assert!(other.granted.floor < other.granted.epoch);
    assert!(far
        .said
        .iter()
        .any(|s| s.ends_with("adopt false forgot false")));
    seat.empty(200, &mut host);
    assert_eq!(seat.state(), Role::Standby);
}

#[test]
fn one_that_is_to_go_and_finds_no_heir_ends_alone() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut seat, mut host) = paired(&mut voters);
    assert!(seat.leave(100, &mut host));
    assert!(!seat.ends_alone(10_100));
    assert!(seat.ends_alone(10_101));
}

#[test]
fn a_retired_one_takes_back_what_nobody_claimed() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut seat, mut host) = paired(&mut voters);
    seat.yield_asked(100, &mut host);
    seat.peer_down(200, &mut host);
    seat.active(300, &mut host);
    seat.tick(300, &mut host);
    answer(&mut seat, &mut host, &mut voters, 310);
    assert_eq!(seat.state(), Role::Solo);
}

#[test]
fn a_backup_that_is_not_counted_does_not_stand() {
    let (mut seat, mut host) = (RoleStateMachine::new(1, 9, 3, INTERVAL, 0), Host::default());
    seat.peer_up(0, &mut host, 7, true, 4 << 24);
    seat.tick(100, &mut host);
    assert!(host.said.is_empty());
    seat.peer_told(200, &mut host, true, true, 4 << 24);
    seat.tick(300, &mut host);
    assert_eq!(host.said, ["vrrp true"]);
}

#[test]
fn one_whose_settings_disagree_keeps_off() {
    let (mut seat, mut host) = (RoleStateMachine::new(1, 9, 3, INTERVAL, 0), Host::default());
    seat.bar(true);
    seat.peer_up(0, &mut host, 7, false, 0);
    (0..100).for_each(|i| seat.tick(i * 250, &mut host));
    assert!(host.said.is_empty());
}

#[test]
fn what_may_not_be_claimed_is_tried_again_later_and_later() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let theirs = tidewall_failover::leadership::Leadership {
        epoch: 9 << 24,
        member: 0,
        sync: [7, 0],
        floor: 9 << 24,
    };
    voters.iter_mut().for_each(|v| assert!(v.accept(theirs)));
    let (mut seat, mut host) = (RoleStateMachine::new(1, 9, 3, INTERVAL, 0), Host::default());
    let mut tried = Vec::new();
    for now in (0..200_000).step_by(250) {
        seat.tick(now, &mut host);
        if host.said.last().is_some_and(|s| s == "vrrp true") {
            host.said.clear();
            tried.push(now);
            seat.active(now, &mut host);
            answer(&mut seat, &mut host, &mut voters, now);
        }
    }
    let gaps: Vec<u64> = tried.windows(2).map(|w| w[1] - w[0]).collect();
    assert_eq!(gaps[..4], [5_000, 10_000, 20_000, 40_000]);
    assert_eq!(seat.state(), Role::Standby);
}

#[test_case(0, 1_000, 1_000; "the clock's")]
#[test_case(1_000, 1_000, 1_001; "within one millisecond")]
#[test_case(1_000, 200, 1_001; "the clock was set back")]
fn no_two_lives_have_the_same_number(last: u64, clock: u64, told: u64) {
    assert_eq!(tidewall_failover::proposal::next(last, clock), told);
}

/// Known red (KNOWN-RED.txt) until a member's last number outlives its process (the journal's matter): a life that began at
/// 1,000, and one after a restart with the clock set back to 200.
#[test]
fn known_gap_a_clock_set_back_across_a_restart_gives_a_lower_number() {
    let former = tidewall_failover::proposal::next(0, 1_000);
    assert!(
        tidewall_failover::proposal::next(0, 200) > former,
        "the same ballots may be used again"
    );
}
