//! The shared order of placements, unknown functions, and workers passed over.
use super::help::*;
use super::*;
use crate::random::mix_hashes;
use test_case::test_case;

#[test]
fn the_order_is_shared_whatever_was_learned_first() {
    let (mut a, mut b) = (scheduler_with(5, &[]), scheduler_with(0, &[]));
    a.register_function(&request_info(0));
    b.register_function(&request_info(0));
    b.update_endpoints(&[4, 0, 3, 1, 2].map(endpoint_entry), true);
    let order = |scheduler: &TestScheduler| {
        scheduler.functions[0].placements.iter().map(|s| s.worker_id).collect::<Vec<_>>()
    };
    assert_eq!(order(&a), order(&b));
}

// lamphun's start: no instance was known and the rate limit of load requests was still empty.
#[test]
fn an_unknown_function_is_asked_for_and_used_where_it_stands() {
    let mut scheduler = scheduler_with(3, &[("extra.load-window-ms", "10000")]);
    send_request(&mut scheduler, 0);
    assert_eq!((scheduler.host.0.len(), load_request_count(&scheduler)), (3, 0));
    let far = worker_at(&scheduler, 0, 2);
    scheduler.load_request_ended(0, far, Outcome::Ok, 1);
    assert_eq!(attempted_workers(&scheduler), [far]);
}

#[test_case(0, true; "by a gateway of few")]
#[test_case(1, false; "not by one of many: the next takes its place")]
fn a_worker_without_room_is_ordered_at_again(many: usize, again: bool) {
    let mut scheduler = scheduler_with(3, &LARGE_FLEET[..many]);
    load_first(&mut scheduler, 0, 1);
    let home = worker_at(&scheduler, 0, 0);
    scheduler.load_request_ended(0, home, Outcome::AtCapacity, 0);
    scheduler.advance_clock(NOW + SECOND);
    (scheduler.functions[0].placements[0].instances, scheduler.functions[0].desired_instances) =
        (InstanceState::Absent, 1);
    assert_eq!(scheduler.usable_placements(0).next() == Some(0), again);
}

#[test_case(3, 3; "a small fleet")]
#[test_case(40, 12; "a large one")]
fn asking_for_an_unknown_function_stops_at_the_head_of_its_order(workers: usize, asked: usize) {
    let mut scheduler = scheduler_with(workers, &[]);
    scheduler.register_function(&request_info(0));
    assert_eq!(scheduler.host.0.len(), asked);
}

// A placement for each of 1,024 workers in each of 400 functions took 34 MB of the smallest gateway's 32.
#[test]
fn seats_are_bounded_and_filled_again() {
    let mut scheduler = scheduler_with(1024, &[LARGE_FLEET[0]]);
    load_first(&mut scheduler, 0, 1);
    let order = |scheduler: &TestScheduler| {
        scheduler.functions[0].placements.iter().map(|s| s.worker_id).collect::<Vec<_>>()
    };
    let (first, mut all) = (order(&scheduler), (0..1024).collect::<Vec<_>>());
    all.sort_by_key(|worker_id| std::cmp::Reverse(mix_hashes(endpoint_entry(*worker_id).1.name_hash, 99)));
    assert_eq!((first.len(), &first[..]), (MAX_PLACEMENTS, &all[..MAX_PLACEMENTS]));
    for worker_id in &first[..100] {
        scheduler.update_endpoints(
            &[(*worker_id, Endpoint { state: EndpointState::Removed, ..endpoint_entry(*worker_id).1 })],
            false,
        );
    }
    scheduler.forget_idle(0);
    assert_eq!(order(&scheduler), all[100..100 + MAX_PLACEMENTS]);
}

// The fleet's join day: after a release nine in ten requests that were rejected had a cold head without room as the only one
// of the first n, and a warm worker behind it.
#[test_case("300", 1; "among many the next of the order takes its place")]
#[test_case("3", 0; "elsewhere the head keeps it")]
fn a_cold_head_without_room_is_passed_over(siblings: &str, head: usize) {
    let mut scheduler = scheduler_with(3, &[("siblings", siblings), ("deductions.probe", "1")]);
    load_first(&mut scheduler, 0, 2);
    scheduler.functions[0].desired_instances = 1;
    let worker_id = worker_at(&scheduler, 0, 0);
    // It has just started, and this gateway has no share in it.
    (scheduler.workers[worker_id].endpoint.started_at, scheduler.workers[worker_id].slow_start_rounding) =
        (NOW, 1.0);
    assert_eq!(scheduler.usable_placements(0).next(), Some(head));
    send_request(&mut scheduler, 0);
    assert_eq!(attempted_workers(&scheduler), [worker_at(&scheduler, 0, 1)]);
}

// An instance that is presumed costs a miss; where a request has one attempt only, that is the request.
#[test_case("1", "0", false; "with one launch an order goes first")]
#[test_case("1", "600000", true; "unless the ration bars it: the launch shows the function")]
#[test_case("3", "0", true; "else the head is presumed to have it")]
fn copies_are_presumed_where_a_miss_can_be_borne(most: &str, window: &str, presumed: bool) {
    let scheduler = &mut scheduler_with(
        3,
        &[
            LARGE_FLEET[0],
            ("allowed.max-attempts", most),
            ("extra.load-window-ms", window),
            ("extra.load-share", "0.2"),
        ],
    );
    send_request(scheduler, 0);
    assert_eq!(
        (attempted_workers(scheduler).len(), load_request_count(scheduler)),
        if presumed { (1, 0) } else { (0, 1) }
    );
}

// A year of workers that are replaced each day left each function thousands of placements to look through.
#[test_case(0, 2; "idle ones go")]
#[test_case(1, 3; "not while something is out there")]
fn seats_of_workers_that_are_gone_for_good_go(in_flight: u32, left: usize) {
    let mut scheduler = scheduler_with(3, &[]);
    load_first(&mut scheduler, 0, 0);
    scheduler.functions[0].placements.iter_mut().find(|s| s.worker_id == 1).unwrap().in_flight = in_flight;
    scheduler.functions[0].last_request_at = NOW; // or all of it would be forgotten
    scheduler
        .update_endpoints(&[(1, Endpoint { state: EndpointState::Removed, ..endpoint_entry(1).1 })], false);
    scheduler.advance_clock(NOW + 2 * SECOND);
    scheduler.timer_fired(0);
    assert_eq!(scheduler.functions[0].placements.len(), left);
    // Back, it has its place in the order again, and is empty.
    scheduler.update_endpoints(&[endpoint_entry(1)], false);
    let mut all = scheduler_with(3, &[]);
    load_first(&mut all, 0, 0);
    let order = |scheduler: &TestScheduler| {
        scheduler.functions[0].placements.iter().map(|s| s.worker_id).collect::<Vec<_>>()
    };
    assert_eq!(order(&scheduler), order(&all));
    assert_eq!(
        scheduler.functions[0].placements.iter().find(|s| s.worker_id == 1).unwrap().instances,
        InstanceState::Absent
    );
}
