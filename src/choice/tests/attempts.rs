//! Retry safety, hedging, and how many attempts a request gets.
use super::help::*;
use super::*;
use test_case::test_case;

#[test_case(0, Outcome::Error, true; "idempotent is retried after an error")]
#[test_case(2, Outcome::Error, false; "non idempotent is not retried after an error")]
#[test_case(2, Outcome::Reset, false; "non idempotent is not retried after a reset")]
#[test_case(2, Outcome::TimedOut, false; "non idempotent is not retried after a timeout")]
#[test_case(2, Outcome::AtCapacity, true; "non idempotent is retried if it was not executed")]
#[test_case(2, Outcome::ConnectFailed, true; "non idempotent is retried without a connection")]
#[test_case(2, Outcome::Miss, true; "non idempotent is retried after a miss")]
fn non_idempotent_requests_are_not_executed_twice(class: usize, outcome: Outcome, again: bool) {
    let mut scheduler = scheduler_with(4, &[]);
    load_first(&mut scheduler, class, 2);
    let slot = send_request(&mut scheduler, class);
    scheduler.attempt_ended(slot, 0, (outcome, 100), false, 0);
    assert_eq!(attempted_workers(&scheduler).len() == 2, again);
    assert_eq!(scheduler.host.0.contains(&Call::Fail(slot)), !again);
}

#[test_case(1, 0, true; "same zone within the window")]
#[test_case(0, 0, false; "another zone")]
#[test_case(1, 499, false; "too late for the window")]
fn keyed_requests_stay_in_their_scope_and_window(same: usize, ms: Time, allowed: bool) {
    let mut scheduler = scheduler_with(4, &[]);
    load_first(&mut scheduler, 1, 4);
    let slot = send_request(&mut scheduler, 1);
    let first = attempted_workers(&scheduler)[0];
    scheduler.advance_clock(NOW + ms * MS);
    let other =
        (0..4).find(|worker_id| *worker_id != first && (worker_id % 2 == first % 2) == (same == 1)).unwrap();
    assert_eq!(scheduler.may_send_attempt(slot, other), allowed);
}

#[test_case("true", true)]
#[test_case("false", false)]
fn attempts_overlap_only_where_allowed(setting: &str, allowed: bool) {
    let mut scheduler = scheduler_with(2, &[("allowed.may-duplicate", setting)]);
    load_first(&mut scheduler, 0, 2);
    let slot = send_request(&mut scheduler, 0);
    let other = 1 - attempted_workers(&scheduler)[0];
    assert_eq!(scheduler.may_send_attempt(slot, other), allowed);
}

#[test_case(0, AttemptState::ConnectionLost, false; "idempotent goes to another worker")]
#[test_case(1, AttemptState::ConnectionLost, true; "keyed in a zone may go back")]
#[test_case(1, AttemptState::MayHaveExecuted, false; "not if the outcome leaves execution open")]
#[test_case(2, AttemptState::ConnectionLost, false; "non idempotent is not retried")]
fn back_to_a_worker_whose_connection_broke(class: usize, state: AttemptState, may: bool) {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, class, 1);
    let (slot, first_worker) = (send_request(&mut scheduler, class), worker_at(&scheduler, class, 0));
    scheduler.requests[slot].attempts[0].state = state;
    assert_eq!(scheduler.may_send_attempt(slot, first_worker), may);
}

#[test_case(SECOND, 2; "a late attempt is hedged")]
#[test_case(100, 1; "not before it is late")]
fn a_late_attempt_is_hedged(after: Time, count: usize) {
    let mut scheduler = scheduler_with(4, &[]);
    load_first(&mut scheduler, 0, 2);
    send_request(&mut scheduler, 0);
    scheduler.advance_clock(NOW + after);
    scheduler.timer_fired(0);
    assert_eq!(attempted_workers(&scheduler).len(), count);
}

// Only the total number of attempts is bounded: misses do not count towards the two further attempts.
#[test_case(Outcome::Miss; "misses")]
#[test_case(Outcome::AtCapacity; "full")]
#[test_case(Outcome::Error; "errors")]
#[test_case(Outcome::Reset; "resets")]
fn attempts_per_request_are_bounded_for_every_outcome(outcome: Outcome) {
    for most in ["1", "3", "8", "50"] {
        let mut scheduler = scheduler_with(12, &[("allowed.max-attempts", most)]);
        load_first(&mut scheduler, 0, 12);
        let slot = send_request(&mut scheduler, 0);
        for attempt in 0..60 {
            (0..12).for_each(|s| scheduler.functions[0].placements[s].instances = InstanceState::Loaded);
            scheduler.attempt_ended(slot, attempt, (outcome, 10), false, 0);
        }
        let bound = most.parse::<usize>().unwrap().min(MAX_ATTEMPTS);
        assert!(attempted_workers(&scheduler).len() <= bound);
        assert!(
            load_request_count(&scheduler) <= attempted_workers(&scheduler).len(),
            "at most one load request per miss"
        );
    }
}
