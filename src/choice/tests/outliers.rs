//! In-flight limits, and ejection of workers that do badly.
use super::help::*;
use super::*;
use test_case::test_case;

// The fleet's zone day: one of eight workers answered `error` to all it got and stayed the head of its functions, 11 in 100
// attempts in five seconds; each was rejected, as nothing was presumed to stand elsewhere after the failure.
#[test_case(true, 0, true; "is left out for what it has")]
#[test_case(true, 4, false; "is not for a load that failed")]
#[test_case(false, 0, false; "is not for calls of what does not exist")]
fn a_worker_that_answers_error(shown: bool, note: u32, left_out: bool) {
    let mut scheduler = scheduler_with(4, &[LARGE_FLEET[0], ("deductions.probe", "1")]);
    load_first(&mut scheduler, 0, 1);
    scheduler.functions[0].confirmed = shown;
    for _ in 0..3 {
        let slot = send_request(&mut scheduler, 0);
        scheduler.attempt_ended(slot, 0, (Outcome::Error, 1), false, note);
        // What the head failed is tried behind it.
        assert_eq!(attempted_workers(&scheduler), [worker_at(&scheduler, 0, 0), worker_at(&scheduler, 0, 1)]);
        scheduler.client_abandoned(slot);
        scheduler.attempt_ended(slot, 1, (Outcome::Cancelled, 1), true, 0);
        scheduler.host.0.clear();
    }
    assert_eq!(!scheduler.is_available(worker_at(&scheduler, 0, 0)), left_out);
}

#[test_case(2, false; "two in a row are chance")]
#[test_case(3, true; "three are not")]
fn failures_in_a_row_leave_a_worker_out(failures: usize, out: bool) {
    let mut scheduler = scheduler_with(4, &[]);
    (0..failures).for_each(|_| scheduler.record_failure(0));
    assert_eq!(scheduler.is_available(0), !out);
}

// Days with spoilt answers: all attempts of one broken connection counted, and good workers were ejected in turn.
#[test_case(0, 1, true; "of one connection")]
#[test_case(1, 3, false; "one after the other")]
fn what_breaks_at_one_moment_is_one_failure(apart: Time, failures: u32, trusted: bool) {
    let mut scheduler = scheduler_with(4, &[]);
    load_first(&mut scheduler, 0, 1);
    let home = worker_at(&scheduler, 0, 0);
    let slots: Vec<usize> = (0..3).map(|_| send_request(&mut scheduler, 0)).collect();
    for (i, slot) in slots.into_iter().enumerate() {
        scheduler.workers[home].in_flight += u32::from(scheduler.requests[slot].attempt_count == 0);
        scheduler.functions[0].placements[0].in_flight +=
            u32::from(scheduler.requests[slot].attempt_count == 0);
        scheduler.requests[slot].attempts[0] =
            Attempt { worker_id: home, sent_at: NOW, ..Attempt::default() };
        (scheduler.requests[slot].attempts[0].state, scheduler.requests[slot].attempt_count) =
            (AttemptState::InFlight, 1);
        scheduler.advance_clock(NOW + 1 + apart * i as Time);
        scheduler.attempt_ended(slot, 0, (Outcome::Reset, 10), true, 0);
    }
    assert_eq!((scheduler.workers[home].failures, scheduler.is_available(home)), (failures, trusted));
}

// Overloaded days: late answers ejected a third of workers that were only busy.
#[test]
fn in_overload_nobody_is_judged() {
    let mut scheduler = scheduler_with(4, &[]);
    scheduler.saturation_count.add(NOW, 10);
    (0..3).for_each(|_| scheduler.record_failure(0));
    assert_eq!((scheduler.workers[0].failures, scheduler.is_available(0)), (0, true));
}

#[test]
fn a_third_of_the_workers_at_most_is_left_out() {
    let mut scheduler = scheduler_with(6, &[]);
    (0..6).for_each(|worker_id| (0..3).for_each(|_| scheduler.record_failure(worker_id)));
    assert_eq!((0..6).filter(|worker_id| !scheduler.is_available(*worker_id)).count(), 2);
}

#[test_case(8000, 3, true; "late answers are failures")]
#[test_case(500, 0, false; "good ones end the row")]
fn slow_answers_are_judged(took: Time, failures: u32, out: bool) {
    let mut scheduler = scheduler_with(4, &[]);
    load_first(&mut scheduler, 0, 1);
    let home = worker_at(&scheduler, 0, 0);
    scheduler.workers[home].failures = 2;
    succeed(&mut scheduler, home, NOW, took);
    assert_eq!((scheduler.workers[home].failures, !scheduler.is_available(home)), (failures, out));
}

#[test]
fn a_worker_that_answers_full_gets_less() {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, 0, 1);
    let (slot, home) = (send_request(&mut scheduler, 0), worker_at(&scheduler, 0, 0));
    scheduler.attempt_ended(slot, 0, (Outcome::AtCapacity, 10), false, 0);
    assert!(scheduler.workers[home].in_flight_limit < INITIAL_IN_FLIGHT_LIMIT);
}

#[test_case(1, 4.0; "a lone gateway keeps four in flight")]
#[test_case(8, 1.0; "one of many keeps one")]
fn the_learned_bound_has_a_floor_for_all_gateways_together(siblings: usize, floor: f64) {
    let siblings = siblings.to_string();
    let mut scheduler = scheduler_with(1, &[("siblings", &siblings)]);
    for i in 0..20 {
        scheduler.advance_clock(NOW + i * SECOND);
        scheduler.reduce_in_flight_limit(0);
    }
    assert_eq!(scheduler.workers[0].in_flight_limit, floor);
}

// Sixty-four cores, or runs that wait for others: a lone gateway's bound stopped at 64.
#[test]
fn the_learned_bound_grows_while_answers_are_good() {
    let scheduler = &mut scheduler_with(1, &[]);
    load_first(scheduler, 0, 1);
    (scheduler.workers[0].in_flight_limit, scheduler.workers[0].in_flight) = (64.0, 63);
    let at = scheduler.now;
    (0..65).for_each(|_| succeed(scheduler, 0, at, 100));
    assert!(scheduler.workers[0].in_flight_limit > 64.5);
}
