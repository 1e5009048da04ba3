//! The shared order of placements, unknown functions, and skipped workers.
use super::help::*;
use super::*;
use crate::random::mix_hashes;
use test_case::test_case;

#[test]
fn the_order_does_not_depend_on_what_was_learned_first() {
    let (mut a, mut b) = (scheduler_with(5, &[]), scheduler_with(0, &[]));
    a.register_function(&request_info(0));
    b.register_function(&request_info(0));
    b.update_endpoints(&[4, 0, 3, 1, 2].map(endpoint_entry), true);
    let order = |scheduler: &TestScheduler| {
        scheduler.functions[0].placements.iter().map(|s| s.worker_id).collect::<Vec<_>>()
    };
    assert_eq!(order(&a), order(&b));
}

// At the start of a large deployment no instance was known, and the rate limit did not allow load requests
// yet.
#[test]
fn an_unknown_function_is_queried_and_used_where_it_is_loaded() {
    let mut scheduler = scheduler_with(3, &[("extra.load-window-ms", "10000")]);
    send_request(&mut scheduler, 0);
    assert_eq!((scheduler.host.0.len(), load_request_count(&scheduler)), (3, 0));
    let far = worker_at(&scheduler, 0, 2);
    scheduler.load_request_ended(0, far, Outcome::Ok, 1);
    assert_eq!(attempted_workers(&scheduler), [far]);
}

#[test_case(0, true; "in a small fleet")]
#[test_case(1, false; "not in a large fleet, where the next worker is used")]
fn a_worker_without_memory_is_asked_to_load_again(large_fleet_settings: usize, again: bool) {
    let mut scheduler = scheduler_with(3, &LARGE_FLEET[..large_fleet_settings]);
    load_first(&mut scheduler, 0, 1);
    let first_worker = worker_at(&scheduler, 0, 0);
    scheduler.load_request_ended(0, first_worker, Outcome::AtCapacity, 0);
    scheduler.advance_clock(NOW + SECOND);
    (scheduler.functions[0].placements[0].instances, scheduler.functions[0].desired_instances) =
        (InstanceState::Absent, 1);
    assert_eq!(scheduler.usable_placements(0).next() == Some(0), again);
}

#[test_case(3, 3; "a small fleet")]
#[test_case(40, 12; "a large one")]
fn queries_for_an_unknown_function_are_limited_to_its_first_workers(workers: usize, asked: usize) {
    let mut scheduler = scheduler_with(workers, &[]);
    scheduler.register_function(&request_info(0));
    assert_eq!(scheduler.host.0.len(), asked);
}

// Placements on each of 1,024 workers for each of 400 functions took 34 MB; the smallest gateway has 32 MB.
#[test]
fn placements_are_bounded_and_refilled() {
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

// From the fleet's "join" day: after a release, nine in ten rejected requests had a cold worker without
// slow-start capacity as the only one of the first n, and a warm worker next in the order.
#[test_case("300", 1; "in a large fleet the next worker is used")]
#[test_case("3", 0; "in a small fleet the first worker stays")]
fn a_cold_first_worker_without_capacity_is_skipped(siblings: &str, first: usize) {
    let mut scheduler = scheduler_with(3, &[("siblings", siblings), ("deductions.probe", "1")]);
    load_first(&mut scheduler, 0, 2);
    scheduler.functions[0].desired_instances = 1;
    let worker_id = worker_at(&scheduler, 0, 0);
    // The worker has just started, and this gateway has no share of it.
    (scheduler.workers[worker_id].endpoint.started_at, scheduler.workers[worker_id].slow_start_rounding) =
        (NOW, 1.0);
    assert_eq!(scheduler.usable_placements(0).next(), Some(first));
    send_request(&mut scheduler, 0);
    assert_eq!(attempted_workers(&scheduler), [worker_at(&scheduler, 0, 1)]);
}

// A wrongly presumed instance costs a miss, which fails the request if it has only one attempt.
#[test_case("1", "0", false; "with one attempt a load request is sent first")]
#[test_case("1", "600000", true; "unless the rate limit prevents it and the attempt shows the function")]
#[test_case("3", "0", true; "with several attempts the first worker is presumed to have it")]
fn instances_are_presumed_where_a_miss_can_be_retried(max_attempts: &str, window: &str, presumed: bool) {
    let scheduler = &mut scheduler_with(
        3,
        &[
            LARGE_FLEET[0],
            ("allowed.max-attempts", max_attempts),
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

// After a year of workers that were replaced each day, each function had thousands of placements to search.
#[test_case(0, 2; "idle ones are dropped")]
#[test_case(1, 3; "not while an attempt is in flight")]
fn placements_on_removed_workers_are_dropped(in_flight: u32, left: usize) {
    let mut scheduler = scheduler_with(3, &[]);
    load_first(&mut scheduler, 0, 0);
    scheduler.functions[0].placements.iter_mut().find(|s| s.worker_id == 1).unwrap().in_flight = in_flight;
    scheduler.functions[0].last_request_at = NOW; // otherwise the function would be forgotten
    scheduler
        .update_endpoints(&[(1, Endpoint { state: EndpointState::Removed, ..endpoint_entry(1).1 })], false);
    scheduler.advance_clock(NOW + 2 * SECOND);
    scheduler.timer_fired(0);
    assert_eq!(scheduler.functions[0].placements.len(), left);
    // When the worker is listed again, it has its position in the order, and no instances.
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
