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

const ALL: RetrySafety = RetrySafety::IdempotencyKey {
    all: true,
    window: 40_000,
};
const ZONE: RetrySafety = RetrySafety::IdempotencyKey {
    all: false,
    window: 40_000,
};

fn launches(states: &[AttemptState]) -> Vec<Attempt> {
    states
        .iter()
        .enumerate()
        .map(|(wk, state)| Attempt {
            worker: wk,
            sent_at: 10_000,
            state: *state,
        })
        .collect()
}

#[test_case(RetrySafety::NonIdempotent, &[], 20_000, RecoveryAction::Continue ; "at-most-once, never launched")]
#[test_case(RetrySafety::NonIdempotent, &[AttemptState::NotExecuted], 20_000, RecoveryAction::Continue ; "at-most-once, proven not run")]
#[test_case(RetrySafety::NonIdempotent, &[AttemptState::InFlight], 20_000, RecoveryAction::Fail ; "at-most-once, out")]
#[test_case(RetrySafety::NonIdempotent, &[AttemptState::NotExecuted, AttemptState::MayHaveExecuted], 20_000, RecoveryAction::Fail ; "at-most-once, may have run")]
#[test_case(RetrySafety::NonIdempotent, &[], 10_050, RecoveryAction::Reject ; "at-most-once, never launched, no time left")]
#[test_case(RetrySafety::Idempotent, &[AttemptState::MayHaveExecuted], 20_000, RecoveryAction::Continue ; "redeliverable, may have run")]
#[test_case(RetrySafety::Idempotent, &[AttemptState::InFlight], 20_000, RecoveryAction::AwaitFencing ; "redeliverable, out at a worker that is not fenced")]
#[test_case(RetrySafety::Idempotent, &[AttemptState::MayHaveExecuted, AttemptState::InFlight], 20_000, RecoveryAction::Continue ; "redeliverable, out at a fenced one")]
#[test_case(RetrySafety::Idempotent, &[AttemptState::InFlight], 10_050, RecoveryAction::Fail ; "redeliverable, out, no time left")]
#[test_case(ALL, &[AttemptState::MayHaveExecuted], 20_000, RecoveryAction::Continue ; "keyed among all, may have run")]
#[test_case(ZONE, &[AttemptState::MayHaveExecuted], 20_000, RecoveryAction::Fail ; "keyed in a zone, may have run")]
#[test_case(ZONE, &[AttemptState::NotExecuted], 20_000, RecoveryAction::Continue ; "keyed in a zone, proven not run")]
#[test_case(RetrySafety::IdempotencyKey { all: true, window: 50 }, &[AttemptState::MayHaveExecuted], 20_000, RecoveryAction::Fail ; "keyed among all, its window is over")]
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
    let out = launches(&[AttemptState::InFlight]);
    assert_eq!(
        fate(RetrySafety::Idempotent, true, (0, 9_000), &out, |_| {
            false
        }),
        RecoveryAction::Continue
    );
}

#[test_case(RetrySafety::NonIdempotent, true, Some(false) ; "at-most-once may have run")]
#[test_case(ZONE, true, Some(false) ; "keyed in a zone may have run anywhere")]
#[test_case(ALL, false, Some(true) ; "keyed among all may be out")]
#[test_case(ALL, true, None ; "keyed among all begins anew")]
#[test_case(RetrySafety::Idempotent, false, Some(true) ; "redeliverable may be out")]
#[test_case(RetrySafety::Idempotent, true, None ; "redeliverable begins anew")]
fn what_nobody_knows_of(kind: RetrySafety, fenced: bool, told: Option<bool>) {
    assert_eq!(unknown(kind, false, fenced), told);
}

#[test_case(RetrySafety::Idempotent, 30_000, 0 ; "nothing waits")]
#[test_case(ZONE, 30_000, 5_000 ; "silence and a claim")]
#[test_case(ZONE, 4_000, 1_000 ; "no more than a quarter")]
fn how_early_an_event_ends(kind: RetrySafety, left: u64, told: u64) {
    assert_eq!(margin(kind, left, 4_000), told);
}

#[test]
fn orders_of_both_lives_count_within_the_window() {
    let mut ration = LoadRequestLimiter::new(1_000, 1.0, 0.5);
    ration.load_requested(0);
    assert!(!ration.has_capacity(10));
    (0..2).for_each(|_| ration.request_received(10));
    assert!(ration.has_capacity(10));
    // One that is gone on with was counted when it was taken.
    ration.request_received(10);
    ration.undo_last_request();
    ration.load_requested(10);
    assert!(!ration.has_capacity(20));
    // The first order is out of the window, and then what was taken too.
    assert!(ration.has_capacity(1_000));
    ration.load_requested(1_000);
    assert!(!ration.has_capacity(1_009));
}

#[test]
fn each_time_costs_twice_as_long_and_is_forgiven() {
    let mut damp = FlapDamping::new(10, 50);
    let waits: Vec<u64> = (0..4)
        .map(|i| damp.next_hold_off(i * 100 / 4) - i * 100 / 4)
        .collect();
    assert_eq!(waits, [10, 20, 40, 50]);
    assert_eq!(damp.next_hold_off(1_000), 1_010);
}

#[test]
fn a_mark_is_in_hand_then_answered_then_unknown() {
    let mut known = DeduplicationTable::default();
    known.insert_in_flight(1, b"m", RequestLocation::Remote(3));
    assert_eq!(known.lookup(0, 1, b"m"), Some(&RequestLocation::Remote(3)));
    assert_eq!(known.lookup(0, 2, b"m"), None);
    known.insert_in_flight(1, b"m", RequestLocation::Local(4));
    known.record_response(10, 1, b"m", 0, b"r", 50);
    assert_eq!(
        known.lookup(49, 1, b"m"),
        Some(&RequestLocation::Responded(0, b"r"[..].into()))
    );
    assert_eq!(known.lookup(50, 1, b"m"), None);
    assert!(known.is_empty());
}

#[test]
fn an_event_taken_again_outlives_its_former_answer_and_void_copies_leave_what_is_here() {
    let mut known = DeduplicationTable::default();
    known.record_response(0, 1, b"m", 0, b"", 100);
    known.insert_in_flight(1, b"m", RequestLocation::Local(8));
    known.insert_in_flight(1, b"n", RequestLocation::Remote(9));
    known.record_response(0, 1, b"o", 2, b"", 500);
    assert_eq!(known.lookup(200, 1, b"m"), Some(&RequestLocation::Local(8)));
    known.clear_responses();
    assert_eq!(
        (known.len(), known.lookup(200, 1, b"m")),
        (1, Some(&RequestLocation::Local(8)))
    );
}

#[test]
fn no_answer_is_forgotten_before_its_time_and_marks_that_are_none_never_kept() {
    let mut known = DeduplicationTable::default();
    for i in 0..MAX_ENTRIES as u64 {
        assert!(known.has_capacity());
        known.record_response(0, 1, &i.to_be_bytes(), 0, b"", 1_000);
    }
    known.insert_in_flight(1, b"", RequestLocation::Local(1));
    assert_eq!((known.len(), known.has_capacity()), (MAX_ENTRIES, false));
    assert!(known.lookup(999, 1, &0u64.to_be_bytes()).is_some());
    assert!(known.lookup(1_000, 1, &0u64.to_be_bytes()).is_none() && known.has_capacity());
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
        seat.vote_received(now, host, voter, (ballot, asked.is_some()), good, promise);
    }
}

/// A member 0 that serves, with the other one following; and what it said since.
fn paired(voters: &mut [LeadershipAcceptor]) -> (RoleStateMachine, Host) {
    let (mut seat, mut host) = (RoleStateMachine::new(0, 7, 3, INTERVAL, 0), Host::default());
    seat.peer_connected(0, &mut host, 9, false, 0);
    seat.tick(0, &mut host);
    seat.vrrp_became_active(10, &mut host);
    answer(&mut seat, &mut host, voters, 10);
    assert_eq!(seat.state(), Role::Solo);
    seat.snapshot_acknowledged(20, &mut host);
    seat.replication_caught_up(&mut host);
    answer(&mut seat, &mut host, voters, 20);
    assert_eq!(
        (seat.state(), seat.granted.synced_incarnations),
        (Role::Replicating, [7, 9])
    );
    host.said.clear();
    (seat, host)
}

#[test]
fn a_master_that_loses_the_other_one_waits_for_the_voters() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut seat, mut host) = paired(&mut voters);
    seat.peer_disconnected(100, &mut host);
    assert_eq!((seat.state(), host.said.len()), (Role::PeerLost, 0));
    answer(&mut seat, &mut host, &mut voters, 110);
    assert_eq!(
        (seat.state(), seat.granted.synced_incarnations),
        (Role::Solo, [7, 0])
    );
    assert!(host.said.contains(&"waits false".to_string()));
}

#[test]
fn one_that_finds_nobody_gives_up() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut seat, mut host) = paired(&mut voters);
    seat.peer_disconnected(100, &mut host);
    for now in (200..30_000).step_by(250) {
        for (voter, ballot, asked) in std::mem::take(&mut host.asked) {
            seat.vote_missing(now, &mut host, voter, (ballot, asked.is_some()));
        }
        seat.tick(now, &mut host);
    }
    assert_eq!(seat.state(), Role::Stopped);
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
        synced_incarnations: [0, 9],
        fencing_floor: 99 << 24,
    };
    voters.iter_mut().for_each(|v| assert!(v.accept(theirs)));
    seat.epoch_rejected(&mut host);
    answer(&mut seat, &mut host, &mut voters, 200);
    assert_eq!(seat.state(), Role::Stopped);
}

#[test]
fn a_seat_is_handed_over_and_what_was_taken_before_goes_on() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut seat, mut host) = paired(&mut voters);
    seat.step_down_requested(100, &mut host);
    assert_eq!(
        (seat.state(), host.said.join(", ")),
        (Role::Draining, "retire, yielded".to_string())
    );
    let (mut other, mut far) = (RoleStateMachine::new(1, 9, 3, INTERVAL, 0), Host::default());
    other.peer_connected(100, &mut far, 7, true, seat.epoch());
    other.peer_heartbeat(100, &mut far, true, true, seat.epoch());
    other.tick(100, &mut far);
    other.vrrp_became_active(110, &mut far);
    assert_eq!(
        (other.state(), far.said.join(", ")),
        (Role::RequestingStepDown, "vrrp true, ask yield".to_string())
    );
    other.peer_stepped_down(120, &mut far);
    answer(&mut other, &mut far, &mut voters, 130);
    assert_eq!(
        (other.state(), other.granted.synced_incarnations),
        (Role::Replicating, [7, 9])
    );
    // What the retired one has out stays good.
    assert!(other.granted.fencing_floor < other.granted.epoch);
    assert!(far
        .said
        .iter()
        .any(|s| s.ends_with("adopt false forgot false")));
    seat.drained(200, &mut host);
    assert_eq!(seat.state(), Role::Standby);
}

#[test]
fn one_that_is_to_go_and_finds_no_heir_ends_alone() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut seat, mut host) = paired(&mut voters);
    assert!(seat.shutdown_requested(100, &mut host));
    assert!(!seat.exits_without_peer(10_100));
    assert!(seat.exits_without_peer(10_101));
}

#[test]
fn a_retired_one_takes_back_what_nobody_claimed() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let (mut seat, mut host) = paired(&mut voters);
    seat.step_down_requested(100, &mut host);
    seat.peer_disconnected(200, &mut host);
    seat.vrrp_became_active(300, &mut host);
    seat.tick(300, &mut host);
    answer(&mut seat, &mut host, &mut voters, 310);
    assert_eq!(seat.state(), Role::Solo);
}

#[test]
fn a_backup_that_is_not_counted_does_not_stand() {
    let (mut seat, mut host) = (RoleStateMachine::new(1, 9, 3, INTERVAL, 0), Host::default());
    seat.peer_connected(0, &mut host, 7, true, 4 << 24);
    seat.tick(100, &mut host);
    assert!(host.said.is_empty());
    seat.peer_heartbeat(200, &mut host, true, true, 4 << 24);
    seat.tick(300, &mut host);
    assert_eq!(host.said, ["vrrp true"]);
}

#[test]
fn one_whose_settings_disagree_keeps_off() {
    let (mut seat, mut host) = (RoleStateMachine::new(1, 9, 3, INTERVAL, 0), Host::default());
    seat.set_barred(true);
    seat.peer_connected(0, &mut host, 7, false, 0);
    (0..100).for_each(|i| seat.tick(i * 250, &mut host));
    assert!(host.said.is_empty());
}

#[test]
fn what_may_not_be_claimed_is_tried_again_later_and_later() {
    let mut voters = [LeadershipAcceptor::default(); 3];
    let theirs = tidewall_failover::leadership::Leadership {
        epoch: 9 << 24,
        member: 0,
        synced_incarnations: [7, 0],
        fencing_floor: 9 << 24,
    };
    voters.iter_mut().for_each(|v| assert!(v.accept(theirs)));
    let (mut seat, mut host) = (RoleStateMachine::new(1, 9, 3, INTERVAL, 0), Host::default());
    let mut tried = Vec::new();
    for now in (0..200_000).step_by(250) {
        seat.tick(now, &mut host);
        if host.said.last().is_some_and(|s| s == "vrrp true") {
            host.said.clear();
            tried.push(now);
            seat.vrrp_became_active(now, &mut host);
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
