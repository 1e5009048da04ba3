//! In-flight limits, and ejection of workers that do badly.
use super::help::*;
use super::*;
use test_case::test_case;

// The fleet's zone day: one of eight workers answered `error` to all it got and stayed the head of its functions, 11 in 100
// tries in five seconds; each was deferred, as nothing was presumed to stand elsewhere after the failure.
#[test_case(true, 0, true; "is left out for what it has")]
#[test_case(true, 4, false; "is not for a load that failed")]
#[test_case(false, 0, false; "is not for calls of what does not exist")]
fn a_worker_that_answers_error(shown: bool, note: u32, left_out: bool) {
    let mut gw = gateway(4, &[MANY[0], ("deductions.probe", "1")]);
    stand(&mut gw, 0, 1);
    gw.functions[0].confirmed = shown;
    for _ in 0..3 {
        let evt = arrive(&mut gw, 0);
        gw.attempt_ended(evt, 0, (Outcome::Error, 1), false, note);
        // What the head failed is tried behind it.
        assert_eq!(launches(&gw), [at(&gw, 0, 0), at(&gw, 0, 1)]);
        gw.client_abandoned(evt);
        gw.attempt_ended(evt, 1, (Outcome::Cancelled, 1), true, 0);
        gw.host.0.clear();
    }
    assert_eq!(!gw.is_available(at(&gw, 0, 0)), left_out);
}

#[test_case(2, false; "two in a row are chance")]
#[test_case(3, true; "three are not")]
fn failures_in_a_row_leave_a_worker_out(failures: usize, out: bool) {
    let mut gw = gateway(4, &[]);
    (0..failures).for_each(|_| gw.record_failure(0));
    assert_eq!(gw.is_available(0), !out);
}

// Days with spoilt answers: all launches of one broken connection counted, and good workers were left out in turn.
#[test_case(0, 1, true; "of one connection")]
#[test_case(1, 3, false; "one after the other")]
fn what_breaks_at_one_moment_is_one_failure(apart: Time, failures: u32, trusted: bool) {
    let mut gw = gateway(4, &[]);
    stand(&mut gw, 0, 1);
    let home = at(&gw, 0, 0);
    let events: Vec<usize> = (0..3).map(|_| arrive(&mut gw, 0)).collect();
    for (i, e) in events.into_iter().enumerate() {
        gw.workers[home].in_flight += u32::from(gw.requests[e].attempt_count == 0);
        gw.functions[0].placements[0].in_flight += u32::from(gw.requests[e].attempt_count == 0);
        gw.requests[e].attempts[0] = Attempt { worker_id: home, sent_at: NOW, ..Attempt::default() };
        (gw.requests[e].attempts[0].state, gw.requests[e].attempt_count) = (AttemptState::InFlight, 1);
        gw.advance_clock(NOW + 1 + apart * i as Time);
        gw.attempt_ended(e, 0, (Outcome::Reset, 10), true, 0);
    }
    assert_eq!((gw.workers[home].failures, gw.is_available(home)), (failures, trusted));
}

// Overloaded days: late answers left out a third of workers that were only busy.
#[test]
fn in_overload_nobody_is_judged() {
    let mut gw = gateway(4, &[]);
    gw.saturation_count.add(NOW, 10);
    (0..3).for_each(|_| gw.record_failure(0));
    assert_eq!((gw.workers[0].failures, gw.is_available(0)), (0, true));
}

#[test]
fn a_third_of_the_workers_at_most_is_left_out() {
    let mut gw = gateway(6, &[]);
    (0..6).for_each(|wk| (0..3).for_each(|_| gw.record_failure(wk)));
    assert_eq!((0..6).filter(|wk| !gw.is_available(*wk)).count(), 2);
}

#[test_case(8000, 3, true; "late answers are failures")]
#[test_case(500, 0, false; "good ones end the row")]
fn slow_answers_are_judged(took: Time, failures: u32, out: bool) {
    let mut gw = gateway(4, &[]);
    stand(&mut gw, 0, 1);
    let home = at(&gw, 0, 0);
    gw.workers[home].failures = 2;
    succeed(&mut gw, home, NOW, took);
    assert_eq!((gw.workers[home].failures, !gw.is_available(home)), (failures, out));
}

#[test]
fn a_worker_that_answers_full_gets_less() {
    let mut gw = gateway(2, &[]);
    stand(&mut gw, 0, 1);
    let (e, home) = (arrive(&mut gw, 0), at(&gw, 0, 0));
    gw.attempt_ended(e, 0, (Outcome::AtCapacity, 10), false, 0);
    assert!(gw.workers[home].in_flight_limit < INITIAL_IN_FLIGHT_LIMIT);
}

#[test_case(1, 4.0; "a lone gateway keeps four in flight")]
#[test_case(8, 1.0; "one of many keeps one")]
fn the_learned_bound_has_a_floor_for_all_gateways_together(siblings: usize, floor: f64) {
    let siblings = siblings.to_string();
    let mut gw = gateway(1, &[("siblings", &siblings)]);
    for i in 0..20 {
        gw.advance_clock(NOW + i * SECOND);
        gw.reduce_in_flight_limit(0);
    }
    assert_eq!(gw.workers[0].in_flight_limit, floor);
}

// Sixty-four cores, or runs that wait for others: a lone gateway's bound stopped at 64.
#[test]
fn the_learned_bound_grows_while_answers_are_good() {
    let gw = &mut gateway(1, &[]);
    stand(gw, 0, 1);
    (gw.workers[0].in_flight_limit, gw.workers[0].in_flight) = (64.0, 63);
    let at = gw.now;
    (0..65).for_each(|_| succeed(gw, 0, at, 100));
    assert!(gw.workers[0].in_flight_limit > 64.5);
}
