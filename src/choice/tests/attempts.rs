//! Retry safety, hedging, and how many attempts a request gets.
use super::help::*;
use super::*;
use test_case::test_case;

#[test_case(0, Outcome::Error, true; "redeliverable goes on after an error")]
#[test_case(2, Outcome::Error, false; "at most once does not")]
#[test_case(2, Outcome::Reset, false; "nor after a reset")]
#[test_case(2, Outcome::TimedOut, false; "nor after a time out")]
#[test_case(2, Outcome::AtCapacity, true; "it does where it was proven not to run")]
#[test_case(2, Outcome::ConnectFailed, true; "as without a connection")]
#[test_case(2, Outcome::Miss, true; "and after a miss")]
fn no_effect_twice(class: usize, outcome: Outcome, again: bool) {
    let mut scheduler = scheduler_with(4, &[]);
    load_first(&mut scheduler, class, 2);
    let slot = send_request(&mut scheduler, class);
    scheduler.attempt_ended(slot, 0, (outcome, 100), false, 0);
    assert_eq!(attempted_workers(&scheduler).len() == 2, again);
    assert_eq!(scheduler.host.0.contains(&Call::Fail(slot)), !again);
}

#[test_case(1, 0, true; "same zone in time")]
#[test_case(0, 0, false; "another zone")]
#[test_case(1, 499, false; "too late to be safe")]
fn keyed_events_stay_in_their_group_and_window(same: usize, ms: Time, allowed: bool) {
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
fn no_two_out_where_that_is_barred(setting: &str, allowed: bool) {
    let mut scheduler = scheduler_with(2, &[("allowed.may-duplicate", setting)]);
    load_first(&mut scheduler, 0, 2);
    let slot = send_request(&mut scheduler, 0);
    let other = 1 - attempted_workers(&scheduler)[0];
    assert_eq!(scheduler.may_send_attempt(slot, other), allowed);
}

#[test_case(0, AttemptState::ConnectionLost, false; "redeliverable goes elsewhere")]
#[test_case(1, AttemptState::ConnectionLost, true; "keyed in a zone may go back")]
#[test_case(1, AttemptState::MayHaveExecuted, false; "not after an end that says nothing")]
#[test_case(2, AttemptState::ConnectionLost, false; "at most once goes nowhere")]
fn back_to_a_worker_whose_connection_broke(class: usize, state: AttemptState, may: bool) {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, class, 1);
    let (slot, home) = (send_request(&mut scheduler, class), worker_at(&scheduler, class, 0));
    scheduler.requests[slot].attempts[0].state = state;
    assert_eq!(scheduler.may_send_attempt(slot, home), may);
}

#[test_case(SECOND, 2; "a late launch gets another beside it")]
#[test_case(100, 1; "not before it is late")]
fn a_late_launch_is_followed_by_another(after: Time, count: usize) {
    let mut scheduler = scheduler_with(4, &[]);
    load_first(&mut scheduler, 0, 2);
    send_request(&mut scheduler, 0);
    scheduler.advance_clock(NOW + after);
    scheduler.timer_fired(0);
    assert_eq!(attempted_workers(&scheduler).len(), count);
}

// The count that matters is the total: misses are not counted among the two further attempts.
#[test_case(Outcome::Miss; "misses")]
#[test_case(Outcome::AtCapacity; "full")]
#[test_case(Outcome::Error; "errors")]
#[test_case(Outcome::Reset; "resets")]
fn launches_of_one_event_are_bounded_whatever_the_ends(outcome: Outcome) {
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
            "an order for each miss at the most"
        );
    }
}
