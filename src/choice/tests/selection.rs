//! The rotation, limits, and priority weights.
use super::help::*;
use super::*;
use test_case::test_case;

#[test]
fn events_rotate_over_the_first_n() {
    let mut gw = gateway(5, &[]);
    stand(&mut gw, 0, 3);
    let _ = [(); 3].map(|()| arrive(&mut gw, 0));
    let mut used = launches(&gw);
    used.sort();
    let mut first = [at(&gw, 0, 0), at(&gw, 0, 1), at(&gw, 0, 2)];
    first.sort();
    assert_eq!(used, first);
}

#[test_case(1, 0, true; "a lane left")]
#[test_case(2, 0, false; "one more would exceed the lanes")]
#[test_case(0, 20, false; "worker over its bound for all functions")]
fn the_rotation_moves_on_over_a_bound(flight: u32, in_flight: u32, stays: bool) {
    let mut gw = gateway(4, &[]);
    stand(&mut gw, 0, 2);
    let home = at(&gw, 0, 0);
    gw.functions[0].placements[0].in_flight = flight;
    gw.workers[home].in_flight = in_flight;
    arrive(&mut gw, 0);
    assert_eq!(launches(&gw) == [home], stays);
}

// Hot functions' homes jammed while copies elsewhere stood idle.
#[test]
fn a_copy_beyond_the_first_n_is_used_before_the_first_n_are_overfilled() {
    let mut gw = gateway(3, &[]);
    stand(&mut gw, 0, 2);
    gw.functions[0].desired_instances = 1;
    gw.functions[0].placements[0].in_flight = 2;
    arrive(&mut gw, 0);
    assert_eq!(launches(&gw), [at(&gw, 0, 1)]);
}

// At size: with the first n full, each try looked at every worker of 173.
#[test_case(10, true; "near the head of the order")]
#[test_case(30, false; "far from it")]
fn copies_beyond_the_first_n_are_looked_for_near_the_head(place: usize, found: bool) {
    let mut gw = gateway(40, &[]);
    stand(&mut gw, 0, 0);
    (gw.functions[0].placements[place].instances, gw.functions[0].placements[place].renewed_at) =
        (InstanceState::Loaded, NOW);
    arrive(&mut gw, 0);
    assert_eq!(launches(&gw).len(), usize::from(found));
}

// lamphun's first incident at size: reports of busy cores did not show lines of events, own answers did.
#[test_case(NOW, 1; "own answers of late count")]
#[test_case(NOW - 3 * SECOND, 0; "old ones do not")]
fn workers_whose_answers_took_long_are_moved_on_from(answered: Time, place: usize) {
    let mut gw = gateway(4, &[("siblings", "300")]);
    stand(&mut gw, 0, 2);
    let home = at(&gw, 0, 0);
    gw.workers[home].completed_work.add(answered, 1000);
    gw.workers[home].latency_ratio = 0.9;
    arrive(&mut gw, 0);
    assert_eq!(launches(&gw), [at(&gw, 0, place)]);
}

#[test_case(0, 0, 0, 0.5; "by the benefit of the type")]
#[test_case(1, 0, 0, 1.0; "the most is one")]
#[test_case(1, 21, 0, 0.1; "beyond the tenant's share")]
#[test_case(1, 0, 12_000, 0.1; "expected to be late")]
fn benefit_is_what_can_be_earned(typ: usize, launched: u32, hint: Time, worth: f64) {
    let mut gw = gateway(1, &[]);
    gw.tenants[0].rate.add(NOW, launched);
    gw.classes[typ].mean_cost = 1000.0;
    let event = RequestInfo { tenant: Some(0), cost_hint: hint, ..arrival(typ) };
    assert!((gw.priority_weight(&event) - worth).abs() < 1e-9);
}

#[test_case(1, 1; "an event of less benefit finds no room")]
#[test_case(10, 0; "one of most benefit still does")]
fn room_beyond_the_bounds_goes_by_benefit(tenths: u32, none: usize) {
    let mut gw = gateway(1, &[]);
    stand(&mut gw, 0, 1);
    let e = arrive(&mut gw, 0);
    (gw.workers[0].in_flight, gw.workers[0].in_flight_limit) = (8, 8.0);
    let waits = Request { info: arrival(0), ..Request::default() };
    let other = gw.requests.insert(waits);
    assert_ne!(e, other);
    assert_eq!(usize::from(gw.select_placements(other, f64::from(tenths) / 10.0).is_none()), none);
}

// It was 0: every event beyond the first was beyond its tenant's share, and with no benefit told all brought nothing.
#[test_case(&["tenants.0.quota-per-s"], 0.5; "no share")]
#[test_case(&["tenants.0.quota-per-s", "classes.0.worth", "classes.1.worth", "classes.2.worth"], 1.0; "no benefit either")]
fn benefit_where_figures_are_left_out(keys: &[&str], worth: f64) {
    let left_out = keys.iter().map(|key| (*key, "0")).collect::<Vec<_>>();
    let gw = &mut gateway(1, &left_out);
    gw.tenants[0].rate.add(NOW, 90);
    assert_eq!(gw.priority_weight(&RequestInfo { tenant: Some(0), ..arrival(0) }), worth);
}

// Where nobody may order a load, events found no copy for ever; a launch shows where copies stand.
#[test]
fn without_orders_launches_show_where_copies_stand() {
    let gw = &mut gateway(3, &[("extra.orders", "false")]);
    let place = arrive(gw, 0);
    let first = launches(gw)[0];
    gw.attempt_ended(place, 0, (Outcome::Miss, 10), false, 0);
    assert_ne!(launches(gw)[1], first);
    gw.attempt_ended(place, 1, (Outcome::Ok, 10), true, 1);
    arrive(gw, 0);
    assert_eq!(launches(gw)[1], launches(gw)[2]);
}
