//! The rotation, limits, and priority weights.
use super::help::*;
use super::*;
use test_case::test_case;

#[test]
fn events_rotate_over_the_first_n() {
    let mut scheduler = scheduler_with(5, &[]);
    load_first(&mut scheduler, 0, 3);
    let _ = [(); 3].map(|()| send_request(&mut scheduler, 0));
    let mut used = attempted_workers(&scheduler);
    used.sort();
    let mut first = [worker_at(&scheduler, 0, 0), worker_at(&scheduler, 0, 1), worker_at(&scheduler, 0, 2)];
    first.sort();
    assert_eq!(used, first);
}

#[test_case(1, 0, true; "a lane left")]
#[test_case(2, 0, false; "one more would exceed the lanes")]
#[test_case(0, 20, false; "worker over its bound for all functions")]
fn the_rotation_moves_on_over_a_bound(at_placement: u32, in_flight: u32, stays: bool) {
    let mut scheduler = scheduler_with(4, &[]);
    load_first(&mut scheduler, 0, 2);
    let home = worker_at(&scheduler, 0, 0);
    scheduler.functions[0].placements[0].in_flight = at_placement;
    scheduler.workers[home].in_flight = in_flight;
    send_request(&mut scheduler, 0);
    assert_eq!(attempted_workers(&scheduler) == [home], stays);
}

// Hot functions' homes jammed while instances elsewhere stood idle.
#[test]
fn a_copy_beyond_the_first_n_is_used_before_the_first_n_are_overfilled() {
    let mut scheduler = scheduler_with(3, &[]);
    load_first(&mut scheduler, 0, 2);
    scheduler.functions[0].desired_instances = 1;
    scheduler.functions[0].placements[0].in_flight = 2;
    send_request(&mut scheduler, 0);
    assert_eq!(attempted_workers(&scheduler), [worker_at(&scheduler, 0, 1)]);
}

// At size: with the first n full, each try looked at every worker of 173.
#[test_case(10, true; "near the head of the order")]
#[test_case(30, false; "far from it")]
fn copies_beyond_the_first_n_are_looked_for_near_the_head(position: usize, found: bool) {
    let mut scheduler = scheduler_with(40, &[]);
    load_first(&mut scheduler, 0, 0);
    (
        scheduler.functions[0].placements[position].instances,
        scheduler.functions[0].placements[position].renewed_at,
    ) = (InstanceState::Loaded, NOW);
    send_request(&mut scheduler, 0);
    assert_eq!(attempted_workers(&scheduler).len(), usize::from(found));
}

// lamphun's first incident at size: reports of busy cores did not show lines of requests, own answers did.
#[test_case(NOW, 1; "own answers of late count")]
#[test_case(NOW - 3 * SECOND, 0; "old ones do not")]
fn workers_whose_answers_took_long_are_moved_on_from(answered: Time, position: usize) {
    let mut scheduler = scheduler_with(4, &[("siblings", "300")]);
    load_first(&mut scheduler, 0, 2);
    let home = worker_at(&scheduler, 0, 0);
    scheduler.workers[home].completed_work.add(answered, 1000);
    scheduler.workers[home].latency_ratio = 0.9;
    send_request(&mut scheduler, 0);
    assert_eq!(attempted_workers(&scheduler), [worker_at(&scheduler, 0, position)]);
}

#[test_case(0, 0, 0, 0.5; "by the benefit of the type")]
#[test_case(1, 0, 0, 1.0; "the most is one")]
#[test_case(1, 21, 0, 0.1; "beyond the tenant's share")]
#[test_case(1, 0, 12_000, 0.1; "expected to be late")]
fn benefit_is_what_can_be_earned(class: usize, launched: u32, hint: Time, worth: f64) {
    let mut scheduler = scheduler_with(1, &[]);
    scheduler.tenants[0].rate.add(NOW, launched);
    scheduler.classes[class].mean_cost = 1000.0;
    let event = RequestInfo { tenant: Some(0), cost_hint: hint, ..request_info(class) };
    assert!((scheduler.priority_weight(&event) - worth).abs() < 1e-9);
}

#[test_case(1, 1; "an event of less benefit finds no room")]
#[test_case(10, 0; "one of most benefit still does")]
fn room_beyond_the_bounds_goes_by_benefit(tenths: u32, none: usize) {
    let mut scheduler = scheduler_with(1, &[]);
    load_first(&mut scheduler, 0, 1);
    let slot = send_request(&mut scheduler, 0);
    (scheduler.workers[0].in_flight, scheduler.workers[0].in_flight_limit) = (8, 8.0);
    let waits = Request { info: request_info(0), ..Request::default() };
    let other = scheduler.requests.insert(waits);
    assert_ne!(slot, other);
    assert_eq!(usize::from(scheduler.select_placements(other, f64::from(tenths) / 10.0).is_none()), none);
}

// It was 0: every request beyond the first was beyond its tenant's share, and with no weight given all brought nothing.
#[test_case(&["tenants.0.quota-per-s"], 0.5; "no share")]
#[test_case(&["tenants.0.quota-per-s", "classes.0.worth", "classes.1.worth", "classes.2.worth"], 1.0; "no benefit either")]
fn benefit_where_figures_are_left_out(keys: &[&str], worth: f64) {
    let left_out = keys.iter().map(|key| (*key, "0")).collect::<Vec<_>>();
    let scheduler = &mut scheduler_with(1, &left_out);
    scheduler.tenants[0].rate.add(NOW, 90);
    assert_eq!(scheduler.priority_weight(&RequestInfo { tenant: Some(0), ..request_info(0) }), worth);
}

// Where nobody may request a load, requests found no instance for ever; an attempt shows where instances stand.
#[test]
fn without_orders_launches_show_where_copies_stand() {
    let scheduler = &mut scheduler_with(3, &[("extra.orders", "false")]);
    let slot = send_request(scheduler, 0);
    let first = attempted_workers(scheduler)[0];
    scheduler.attempt_ended(slot, 0, (Outcome::Miss, 10), false, 0);
    assert_ne!(attempted_workers(scheduler)[1], first);
    scheduler.attempt_ended(slot, 1, (Outcome::Ok, 10), true, 1);
    send_request(scheduler, 0);
    assert_eq!(attempted_workers(scheduler)[1], attempted_workers(scheduler)[2]);
}
