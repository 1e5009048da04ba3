//! The rotation, limits, and priority weights.
use super::help::*;
use super::*;
use test_case::test_case;

#[test]
fn requests_rotate_over_the_first_n() {
    let mut scheduler = scheduler_with(5, &[]);
    load_first(&mut scheduler, 0, 3);
    let _ = [(); 3].map(|()| send_request(&mut scheduler, 0));
    let mut used = attempted_workers(&scheduler);
    used.sort();
    let mut first = [worker_at(&scheduler, 0, 0), worker_at(&scheduler, 0, 1), worker_at(&scheduler, 0, 2)];
    first.sort();
    assert_eq!(used, first);
}

#[test_case(1, 0, true; "a lane is free")]
#[test_case(2, 0, false; "one more would exceed the lanes")]
#[test_case(0, 20, false; "worker over its limit for all functions")]
fn the_rotation_moves_on_over_a_limit(at_placement: u32, in_flight: u32, stays: bool) {
    let mut scheduler = scheduler_with(4, &[]);
    load_first(&mut scheduler, 0, 2);
    let first_worker = worker_at(&scheduler, 0, 0);
    scheduler.functions[0].placements[0].in_flight = at_placement;
    scheduler.workers[first_worker].in_flight = in_flight;
    send_request(&mut scheduler, 0);
    assert_eq!(attempted_workers(&scheduler) == [first_worker], stays);
}

// The preferred workers of hot functions jammed while instances elsewhere were idle.
#[test]
fn an_instance_beyond_the_first_n_is_used_before_the_first_n_are_overfilled() {
    let mut scheduler = scheduler_with(3, &[]);
    load_first(&mut scheduler, 0, 2);
    scheduler.functions[0].desired_instances = 1;
    scheduler.functions[0].placements[0].in_flight = 2;
    send_request(&mut scheduler, 0);
    assert_eq!(attempted_workers(&scheduler), [worker_at(&scheduler, 0, 1)]);
}

// In a large fleet, with the first n full, each request examined all 173 workers.
#[test_case(10, true; "near the head of the order")]
#[test_case(30, false; "far from it")]
fn instances_beyond_the_first_n_are_searched_near_the_start(position: usize, found: bool) {
    let mut scheduler = scheduler_with(40, &[]);
    load_first(&mut scheduler, 0, 0);
    (
        scheduler.functions[0].placements[position].instances,
        scheduler.functions[0].placements[position].renewed_at,
    ) = (InstanceState::Loaded, NOW);
    send_request(&mut scheduler, 0);
    assert_eq!(attempted_workers(&scheduler).len(), usize::from(found));
}

// From the first incident in a large deployment: reports of busy cores did not show queued
// requests, but this gateway's own answers did.
#[test_case(NOW, 1; "recent own answers count")]
#[test_case(NOW - 3 * SECOND, 0; "old ones do not")]
fn the_rotation_skips_workers_with_slow_answers(answered: Time, position: usize) {
    let mut scheduler = scheduler_with(4, &[("siblings", "300")]);
    load_first(&mut scheduler, 0, 2);
    let first_worker = worker_at(&scheduler, 0, 0);
    scheduler.workers[first_worker].completed_work.add(answered, 1000);
    scheduler.workers[first_worker].latency_ratio = 0.9;
    send_request(&mut scheduler, 0);
    assert_eq!(attempted_workers(&scheduler), [worker_at(&scheduler, 0, position)]);
}

#[test_case(0, 0, 0, 0.5; "by the weight of the class")]
#[test_case(1, 0, 0, 1.0; "the highest weight is one")]
#[test_case(1, 21, 0, 0.1; "beyond the tenant's quota")]
#[test_case(1, 0, 12_000, 0.1; "expected to be late")]
fn the_priority_weight_is_the_expected_value(class: usize, sent: u32, hint: Time, weight: f64) {
    let mut scheduler = scheduler_with(1, &[]);
    scheduler.tenants[0].rate.add(NOW, sent);
    scheduler.classes[class].mean_cost = 1000.0;
    let request = RequestInfo { tenant: Some(0), cost_hint: hint, ..request_info(class) };
    assert!((scheduler.priority_weight(&request) - weight).abs() < 1e-9);
}

#[test_case(1, 1; "a request of lower weight finds no capacity")]
#[test_case(10, 0; "a request of the highest weight still does")]
fn capacity_beyond_the_limits_depends_on_weight(tenths: u32, none: usize) {
    let mut scheduler = scheduler_with(1, &[]);
    load_first(&mut scheduler, 0, 1);
    let slot = send_request(&mut scheduler, 0);
    (scheduler.workers[0].in_flight, scheduler.workers[0].in_flight_limit) = (8, 8.0);
    let waits = Request { info: request_info(0), ..Request::default() };
    let other = scheduler.requests.insert(waits);
    assert_ne!(slot, other);
    assert_eq!(usize::from(scheduler.select_placements(other, f64::from(tenths) / 10.0).is_none()), none);
}

// The quota used to be 0 if left out, so every request after the first exceeded its tenant's quota. Without
// any class weights, all requests had the weight 0.
#[test_case(&["tenants.0.quota-per-s"], 0.5; "no quota")]
#[test_case(&["tenants.0.quota-per-s", "classes.0.worth", "classes.1.worth", "classes.2.worth"], 1.0; "none")]
fn the_priority_weight_without_settings(keys: &[&str], weight: f64) {
    let left_out = keys.iter().map(|key| (*key, "0")).collect::<Vec<_>>();
    let scheduler = &mut scheduler_with(1, &left_out);
    scheduler.tenants[0].rate.add(NOW, 90);
    assert_eq!(scheduler.priority_weight(&RequestInfo { tenant: Some(0), ..request_info(0) }), weight);
}

// Where load requests are not allowed, requests never found an instance. An attempt shows where instances are
// loaded.
#[test]
fn without_load_requests_attempts_show_where_instances_are() {
    let scheduler = &mut scheduler_with(3, &[("extra.orders", "false")]);
    let slot = send_request(scheduler, 0);
    let first = attempted_workers(scheduler)[0];
    scheduler.attempt_ended(slot, 0, (Outcome::Miss, 10), false, 0);
    assert_ne!(attempted_workers(scheduler)[1], first);
    scheduler.attempt_ended(slot, 1, (Outcome::Ok, 10), true, 1);
    send_request(scheduler, 0);
    assert_eq!(attempted_workers(scheduler)[1], attempted_workers(scheduler)[2]);
}
