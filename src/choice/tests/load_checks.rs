//! Load checks and the reports that answer them.
use super::help::*;
use super::*;
use test_case::test_case;

#[test_case(1.0, 1.0, 0; "equal loads use the next of the rotation")]
#[test_case(4.0, 1.0, 1; "a clearly higher load moves the rotation on")]
fn the_next_two_of_the_rotation_are_checked(first: f64, second: f64, position: usize) {
    let mut scheduler = scheduler_with(4, &LARGE_FLEET);
    load_first(&mut scheduler, 0, 2);
    send_request(&mut scheduler, 0);
    assert!(attempted_workers(&scheduler).is_empty());
    answer_health_checks(&mut scheduler, &[first, second]);
    assert_eq!(attempted_workers(&scheduler), [worker_at(&scheduler, 0, position)]);
}

// From incidents in a large deployment: reports came seconds late, and all gateways acted on
// the same reports.
#[test_case(2, 0; "as many as reported")]
#[test_case(9, 1; "far more than reported")]
fn reports_that_concurrency_contradicts_are_not_used(concurrency: u32, unchecked: usize) {
    let mut scheduler = scheduler_with(4, &LARGE_FLEET);
    load_first(&mut scheduler, 0, 2);
    for _ in 0..3 {
        let slot = send_request(&mut scheduler, 0);
        answer_health_checks(&mut scheduler, &[1.0, 1.0]);
        scheduler.attempt_ended(slot, 0, (Outcome::Ok, 2000), true, 1 + 8 * concurrency);
    }
    let before = checked_workers(&scheduler).len();
    scheduler.advance_clock(NOW + SECOND);
    send_request(&mut scheduler, 0);
    assert_eq!(checked_workers(&scheduler).len() == before, unchecked == 1);
}

// With silent or hanging workers, each of hundreds of gateways lost a request to them before it could detect
// them.
#[test]
fn a_worker_that_does_not_answer_a_load_check_is_skipped() {
    let mut scheduler = scheduler_with(4, &LARGE_FLEET);
    load_first(&mut scheduler, 0, 2);
    send_request(&mut scheduler, 0);
    let answers = checked_workers(&scheduler)[1];
    scheduler.load_reported(answers, 1.0, 0.0);
    scheduler.health_check_ended(answers, Outcome::Ok);
    scheduler.advance_clock(NOW + LOAD_CHECK_TIMEOUT);
    scheduler.timer_fired(0);
    assert_eq!(attempted_workers(&scheduler), [answers]);
}

#[test_case("0.0074", 2; "cheap load checks")]
#[test_case("0.08", 0; "load checks that cost more than they gain")]
fn requests_wait_for_cheap_load_checks(price: &str, count: usize) {
    let mut scheduler =
        scheduler_with(3, &[LARGE_FLEET[0], LARGE_FLEET[1], LARGE_FLEET[2], ("deductions.probe", price)]);
    load_first(&mut scheduler, 0, 3);
    send_request(&mut scheduler, 0);
    assert_eq!(
        (checked_workers(&scheduler).len(), attempted_workers(&scheduler).is_empty()),
        (count, count > 0)
    );
}
