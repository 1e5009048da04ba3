//! Load checks and the reports that answer them.
use super::help::*;
use super::*;
use test_case::test_case;

#[test_case(1.0, 1.0, 0; "alike: the next of the rotation")]
#[test_case(4.0, 1.0, 1; "clearly fuller: it moves on")]
fn the_next_two_of_the_rotation_are_looked_at(first: f64, second: f64, place: usize) {
    let mut gw = gateway(4, &MANY);
    stand(&mut gw, 0, 2);
    arrive(&mut gw, 0);
    assert!(launches(&gw).is_empty());
    answer(&mut gw, &[first, second]);
    assert_eq!(launches(&gw), [at(&gw, 0, place)]);
}

// remote's incidents at size: reports came seconds late, and all gateways went by them together.
#[test_case(2, 0; "what the report had")]
#[test_case(9, 1; "far more than it had")]
fn reports_that_company_contradicts_are_not_gone_by(company: u32, sure: usize) {
    let mut gw = gateway(4, &MANY);
    stand(&mut gw, 0, 2);
    for _ in 0..3 {
        let e = arrive(&mut gw, 0);
        answer(&mut gw, &[1.0, 1.0]);
        gw.attempt_ended(e, 0, (Outcome::Ok, 2000), true, 1 + 8 * company);
    }
    let before = probes(&gw).len();
    gw.advance_clock(NOW + SECOND);
    arrive(&mut gw, 0);
    assert_eq!(probes(&gw).len() == before, sure == 1);
}

// Silent and hanging workers: each of hundreds of gateways lost an event to them before it could judge.
#[test]
fn a_worker_that_leaves_a_probe_unanswered_is_passed_over() {
    let mut gw = gateway(4, &MANY);
    stand(&mut gw, 0, 2);
    arrive(&mut gw, 0);
    let answers = probes(&gw)[1];
    gw.load_reported(answers, 1.0, 0.0);
    gw.health_check_ended(answers, Outcome::Ok);
    gw.advance_clock(NOW + LOAD_CHECK_TIMEOUT);
    gw.timer_fired(0);
    assert_eq!(launches(&gw), [answers]);
}

#[test_case("0.0074", 2; "that cost little")]
#[test_case("0.08", 0; "that cost more than looking brings")]
fn events_wait_for_probes(price: &str, count: usize) {
    let mut gw = gateway(3, &[MANY[0], MANY[1], MANY[2], ("deductions.probe", price)]);
    stand(&mut gw, 0, 3);
    arrive(&mut gw, 0);
    assert_eq!((probes(&gw).len(), launches(&gw).is_empty()), (count, count > 0));
}
