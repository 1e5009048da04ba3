//! In-flight limits, and ejection of failing workers.
use super::help::*;
use super::*;
use test_case::test_case;

// From the fleet's "zone" day: one of eight workers answered every attempt with `error` and stayed first in
// the order of its functions, for 11 in 100 attempts over five seconds. Each of those requests was rejected,
// because no instance was presumed loaded on another worker after the failure.
#[test_case(true, 0, true; "is ejected for functions that it has")]
#[test_case(true, 4, false; "is not ejected for a failed load")]
#[test_case(false, 0, false; "is not ejected for unknown functions")]
fn a_worker_that_answers_error(confirmed: bool, note: u32, ejected: bool) {
    let mut scheduler = scheduler_with(4, &[LARGE_FLEET[0], ("deductions.probe", "1")]);
    load_first(&mut scheduler, 0, 1);
    scheduler.functions[0].confirmed = confirmed;
    for _ in 0..3 {
        let slot = send_request(&mut scheduler, 0);
        scheduler.attempt_ended(slot, 0, (Outcome::Error, 1), false, note);
        // A request that the first worker failed is sent to the next one.
        assert_eq!(attempted_workers(&scheduler), [worker_at(&scheduler, 0, 0), worker_at(&scheduler, 0, 1)]);
        scheduler.client_abandoned(slot);
        scheduler.attempt_ended(slot, 1, (Outcome::Cancelled, 1), true, 0);
        scheduler.host.0.clear();
    }
    assert_eq!(!scheduler.is_available(worker_at(&scheduler, 0, 0)), ejected);
}

#[test_case(2, false; "two are tolerated")]
#[test_case(3, true; "three are too many")]
fn consecutive_failures_eject_a_worker(failures: usize, ejected: bool) {
    let mut scheduler = scheduler_with(4, &[]);
    (0..failures).for_each(|_| scheduler.record_failure(0));
    assert_eq!(scheduler.is_available(0), !ejected);
}

// On days with corrupted responses, every attempt of one broken connection counted as a failure, and healthy
// workers were ejected in turn.
#[test_case(0, 1, true; "of one connection")]
#[test_case(1, 3, false; "one after the other")]
fn attempts_of_one_broken_connection_are_one_failure(apart: Time, failures: u32, is_available: bool) {
    let mut scheduler = scheduler_with(4, &[]);
    load_first(&mut scheduler, 0, 1);
    let first_worker = worker_at(&scheduler, 0, 0);
    let slots: Vec<usize> = (0..3).map(|_| send_request(&mut scheduler, 0)).collect();
    for (i, slot) in slots.into_iter().enumerate() {
        scheduler.workers[first_worker].in_flight += u32::from(scheduler.requests[slot].attempt_count == 0);
        scheduler.functions[0].placements[0].in_flight +=
            u32::from(scheduler.requests[slot].attempt_count == 0);
        scheduler.requests[slot].attempts[0] =
            Attempt { worker_id: first_worker, sent_at: NOW, ..Attempt::default() };
        (scheduler.requests[slot].attempts[0].state, scheduler.requests[slot].attempt_count) =
            (AttemptState::InFlight, 1);
        scheduler.advance_clock(NOW + 1 + apart * i as Time);
        scheduler.attempt_ended(slot, 0, (Outcome::Reset, 10), true, 0);
    }
    assert_eq!(
        (scheduler.workers[first_worker].failures, scheduler.is_available(first_worker)),
        (failures, is_available)
    );
}

// On overloaded days, late answers ejected a third of the workers although they were only busy.
#[test]
fn in_overload_failures_are_not_counted() {
    let mut scheduler = scheduler_with(4, &[]);
    scheduler.saturation_count.add(NOW, 10);
    (0..3).for_each(|_| scheduler.record_failure(0));
    assert_eq!((scheduler.workers[0].failures, scheduler.is_available(0)), (0, true));
}

#[test]
fn at_most_a_third_of_the_workers_is_ejected() {
    let mut scheduler = scheduler_with(6, &[]);
    (0..6).for_each(|worker_id| (0..3).for_each(|_| scheduler.record_failure(worker_id)));
    assert_eq!((0..6).filter(|worker_id| !scheduler.is_available(*worker_id)).count(), 2);
}

#[test_case(8000, 3, true; "late answers are failures")]
#[test_case(500, 0, false; "good ones reset the count")]
fn slow_answers_count_as_failures(took: Time, failures: u32, ejected: bool) {
    let mut scheduler = scheduler_with(4, &[]);
    load_first(&mut scheduler, 0, 1);
    let first_worker = worker_at(&scheduler, 0, 0);
    scheduler.workers[first_worker].failures = 2;
    succeed(&mut scheduler, first_worker, NOW, took);
    assert_eq!(
        (scheduler.workers[first_worker].failures, !scheduler.is_available(first_worker)),
        (failures, ejected)
    );
}

#[test]
fn a_rejection_for_capacity_reduces_the_in_flight_limit() {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, 0, 1);
    let (slot, first_worker) = (send_request(&mut scheduler, 0), worker_at(&scheduler, 0, 0));
    scheduler.attempt_ended(slot, 0, (Outcome::AtCapacity, 10), false, 0);
    assert!(scheduler.workers[first_worker].in_flight_limit < INITIAL_IN_FLIGHT_LIMIT);
}

#[test_case(1, 4.0; "a single gateway keeps four in flight")]
#[test_case(8, 1.0; "one of many keeps one")]
fn the_learned_limit_has_a_minimum_for_all_gateways_together(siblings: usize, minimum: f64) {
    let siblings = siblings.to_string();
    let mut scheduler = scheduler_with(1, &[("siblings", &siblings)]);
    for i in 0..20 {
        scheduler.advance_clock(NOW + i * SECOND);
        scheduler.reduce_in_flight_limit(0);
    }
    assert_eq!(scheduler.workers[0].in_flight_limit, minimum);
}

// With sixty-four cores, or runs that wait for others, the limit of a single gateway stopped at 64.
#[test]
fn the_learned_limit_grows_while_answers_are_good() {
    let scheduler = &mut scheduler_with(1, &[]);
    load_first(scheduler, 0, 1);
    (scheduler.workers[0].in_flight_limit, scheduler.workers[0].in_flight) = (64.0, 63);
    let at = scheduler.now;
    (0..65).for_each(|_| succeed(scheduler, 0, at, 100));
    assert!(scheduler.workers[0].in_flight_limit > 64.5);
}
