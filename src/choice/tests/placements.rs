//! The shared order of placements, unknown functions, and workers passed over.
use super::help::*;
use super::*;
use crate::random::mix_hashes;
use test_case::test_case;

#[test]
fn the_order_is_shared_whatever_was_learned_first() {
    let (mut a, mut b) = (gateway(5, &[]), gateway(0, &[]));
    a.register_function(&arrival(0));
    b.register_function(&arrival(0));
    b.update_endpoints(&[4, 0, 3, 1, 2].map(listed), true);
    let order = |gw: &Gateway| gw.functions[0].placements.iter().map(|s| s.worker_id).collect::<Vec<_>>();
    assert_eq!(order(&a), order(&b));
}

// lamphun's start: no copy was known and the ration of orders was still empty.
#[test]
fn an_unknown_function_is_asked_for_and_used_where_it_stands() {
    let mut gw = gateway(3, &[("extra.load-window-ms", "10000")]);
    arrive(&mut gw, 0);
    assert_eq!((gw.host.0.len(), holds(&gw)), (3, 0));
    let far = at(&gw, 0, 2);
    gw.load_request_ended(0, far, Outcome::Ok, 1);
    assert_eq!(launches(&gw), [far]);
}

#[test_case(0, true; "by a gateway of few")]
#[test_case(1, false; "not by one of many: the next takes its place")]
fn a_worker_without_room_is_ordered_at_again(many: usize, again: bool) {
    let mut gw = gateway(3, &MANY[..many]);
    stand(&mut gw, 0, 1);
    let home = at(&gw, 0, 0);
    gw.load_request_ended(0, home, Outcome::AtCapacity, 0);
    gw.advance_clock(NOW + SECOND);
    (gw.functions[0].placements[0].instances, gw.functions[0].desired_instances) = (InstanceState::Absent, 1);
    assert_eq!(gw.usable_placements(0).next() == Some(0), again);
}

#[test_case(3, 3; "a small fleet")]
#[test_case(40, 12; "a large one")]
fn asking_for_an_unknown_function_stops_at_the_head_of_its_order(workers: usize, asked: usize) {
    let mut gw = gateway(workers, &[]);
    gw.register_function(&arrival(0));
    assert_eq!(gw.host.0.len(), asked);
}

// A seat for each of 1,024 workers in each of 400 functions took 34 MB of the smallest gateway's 32.
#[test]
fn seats_are_bounded_and_filled_again() {
    let mut gw = gateway(1024, &[MANY[0]]);
    stand(&mut gw, 0, 1);
    let order = |gw: &Gateway| gw.functions[0].placements.iter().map(|s| s.worker_id).collect::<Vec<_>>();
    let (first, mut all) = (order(&gw), (0..1024).collect::<Vec<_>>());
    all.sort_by_key(|wk| std::cmp::Reverse(mix_hashes(listed(*wk).1.name_hash, 99)));
    assert_eq!((first.len(), &first[..]), (MAX_PLACEMENTS, &all[..MAX_PLACEMENTS]));
    for wk in &first[..100] {
        gw.update_endpoints(&[(*wk, Endpoint { state: EndpointState::Removed, ..listed(*wk).1 })], false);
    }
    gw.forget_idle(0);
    assert_eq!(order(&gw), all[100..100 + MAX_PLACEMENTS]);
}

// The fleet's join day: after a release nine in ten events that were turned away had a cold head without room as the only one
// of the first n, and a warm worker behind it.
#[test_case("300", 1; "among many the next of the order takes its place")]
#[test_case("3", 0; "elsewhere the head keeps it")]
fn a_cold_head_without_room_is_passed_over(siblings: &str, head: usize) {
    let mut gw = gateway(3, &[("siblings", siblings), ("deductions.probe", "1")]);
    stand(&mut gw, 0, 2);
    gw.functions[0].desired_instances = 1;
    let wk = at(&gw, 0, 0);
    // It has just started, and this gateway has no share in it.
    (gw.workers[wk].endpoint.started_at, gw.workers[wk].slow_start_rounding) = (NOW, 1.0);
    assert_eq!(gw.usable_placements(0).next(), Some(head));
    arrive(&mut gw, 0);
    assert_eq!(launches(&gw), [at(&gw, 0, 1)]);
}

// A copy that is presumed costs a miss; where an event has one launch only, that is the event.
#[test_case("1", "0", false; "with one launch an order goes first")]
#[test_case("1", "600000", true; "unless the ration bars it: the launch shows the function")]
#[test_case("3", "0", true; "else the head is presumed to have it")]
fn copies_are_presumed_where_a_miss_can_be_borne(most: &str, window: &str, presumed: bool) {
    let gw = &mut gateway(
        3,
        &[
            MANY[0],
            ("allowed.max-attempts", most),
            ("extra.load-window-ms", window),
            ("extra.load-share", "0.2"),
        ],
    );
    arrive(gw, 0);
    assert_eq!((launches(gw).len(), holds(gw)), if presumed { (1, 0) } else { (0, 1) });
}

// A year of workers that are replaced each day left each function thousands of seats to look through.
#[test_case(0, 2; "idle ones go")]
#[test_case(1, 3; "not while something is out there")]
fn seats_of_workers_that_are_gone_for_good_go(flight: u32, left: usize) {
    let mut gw = gateway(3, &[]);
    stand(&mut gw, 0, 0);
    gw.functions[0].placements.iter_mut().find(|s| s.worker_id == 1).unwrap().in_flight = flight;
    gw.functions[0].last_request_at = NOW; // or all of it would be forgotten
    gw.update_endpoints(&[(1, Endpoint { state: EndpointState::Removed, ..listed(1).1 })], false);
    gw.advance_clock(NOW + 2 * SECOND);
    gw.timer_fired(0);
    assert_eq!(gw.functions[0].placements.len(), left);
    // Back, it has its place in the order again, and is empty.
    gw.update_endpoints(&[listed(1)], false);
    let mut all = gateway(3, &[]);
    stand(&mut all, 0, 0);
    let order = |gw: &Gateway| gw.functions[0].placements.iter().map(|s| s.worker_id).collect::<Vec<_>>();
    assert_eq!(order(&gw), order(&all));
    assert_eq!(
        gw.functions[0].placements.iter().find(|s| s.worker_id == 1).unwrap().instances,
        InstanceState::Absent
    );
}
