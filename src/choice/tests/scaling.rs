//! The number of instances of a function.
use super::help::*;
use super::*;
use test_case::test_case;

#[test_case(0.0, 1, 2.0, 10.0; "starts at a tenth of the objective")]
#[test_case(2500.0, 4, 8.0, 16.0; "a quarter second on four lanes")]
#[test_case(9000.0, 2, 4.0, 4.0; "at most half the objective")]
fn rate_bounds_follow_the_design(run: f64, lanes: u32, low: f64, up: f64) {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, 0, 1);
    (scheduler.functions[0].warm_latency, scheduler.functions[0].lanes) = (run, lanes);
    let InstanceRates { min: least, max: most, .. } = scheduler.instance_rates(0);
    assert_eq!((least, most), (low, up));
}

// With a floor of 0 and an upper bound below the lower one, one instance counted for any rate.
#[test_case("5000", 25_000.0, 0.8, 0.8; "a run of half the objective")]
#[test_case("10000", 20_000.0, 0.25, 1.0; "a fifth")]
#[test_case("600000", 15_000.0, 2.0 / 598.5, 2.0 / 1.5; "short compared to minutes")]
fn rate_bounds_that_cross_are_not_rounded(objective: &str, run: f64, low: f64, up: f64) {
    let mut scheduler = scheduler_with(2, &[("classes.0.aim-ms", objective)]);
    load_first(&mut scheduler, 0, 1);
    scheduler.functions[0].warm_latency = run;
    let InstanceRates { min: least, max: most, .. } = scheduler.instance_rates(0);
    assert!((least - low).abs() < 1e-9 && (most - up).abs() < 1e-9, "{least} {most}");
}

// One request in two seconds, counted as R, added an instance for each two seconds of its run.
#[test_case(1, 1; "one open request")]
#[test_case(4, 2; "four open requests on two lanes")]
fn with_long_runs_the_count_follows_open_requests(requests: u32, n: usize) {
    let scheduler = &mut scheduler_with(20, &[("classes.0.aim-ms", "600000")]);
    load_first(scheduler, 0, 1);
    (scheduler.functions[0].warm_latency, scheduler.functions[0].open_requests) = (600_000.0, requests);
    scheduler.functions[0].rate.add(NOW, requests);
    scheduler.scale(0, false);
    assert_eq!(scheduler.functions[0].desired_instances, n);
}

// Runs of a quarter second on two lanes: 4 to 8 requests per second for each instance. The band of n
// instances ends at 4.8 n.
#[test_case(2, 34, false => 3; "above Rmax grows by the excess")]
#[test_case(2, 20, true => 2; "inside the band stays")]
#[test_case(3, 20, true => 2; "below the band releases one per check")]
#[test_case(3, 20, false => 3; "releases at checks only")]
#[test_case(1, 1, true => 1; "never the last while requests arrive")]
fn the_count_follows_the_band(n: usize, requests: u32, check: bool) -> usize {
    let mut scheduler = scheduler_with(4, &[]);
    load_first(&mut scheduler, 0, n);
    scheduler.functions[0].warm_latency = 2500.0;
    scheduler.functions[0].last_request_at = NOW;
    scheduler.functions[0].rate.add(NOW, requests);
    scheduler.scale(0, check);
    scheduler.functions[0].desired_instances
}

#[test_case(7999, 1; "within the keep-alive")]
#[test_case(8001, 0; "after it")]
fn the_last_instance_is_released_after_the_keep_alive(ms: Time, left: usize) {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, 0, 1);
    scheduler.functions[0].last_request_at = NOW;
    scheduler.advance_clock(NOW + ms * MS);
    scheduler.scale(0, true);
    assert_eq!(scheduler.functions[0].desired_instances, left);
}

#[test_case(1, 1; "its lanes are half in use")]
#[test_case(9, 9; "far more requests than lanes")]
fn concurrency_accounts_for_requests_of_other_gateways(concurrency: u32, n: usize) {
    let mut scheduler = scheduler_with(8, &[("siblings", "300")]);
    load_first(&mut scheduler, 0, 1);
    let slot = send_request(&mut scheduler, 0);
    scheduler.attempt_ended(slot, 0, (Outcome::Ok, 2000), true, 1 + 8 * 2 * concurrency);
    scheduler.scale(0, false);
    assert_eq!(scheduler.functions[0].desired_instances, n);
}

#[test]
fn growth_by_concurrency_does_not_feed_back() {
    let mut scheduler = scheduler_with(8, &[("siblings", "300")]);
    load_first(&mut scheduler, 0, 1);
    scheduler.functions[0].warm_latency = 2000.0;
    scheduler.functions[0].placements[0].concurrency = 9.0;
    (0..5).for_each(|_| scheduler.scale(0, false));
    assert_eq!(scheduler.functions[0].desired_instances, 9);
}

#[test_case(0.0, 3; "full workers add an instance")]
#[test_case(0.5, 2; "not while many attempts miss")]
fn full_workers_add_instances_while_memory_lasts(miss_ratio: f64, n: usize) {
    let mut scheduler = scheduler_with(4, &LARGE_FLEET);
    load_first(&mut scheduler, 0, 2);
    scheduler.miss_ratio = miss_ratio;
    scheduler.functions[0].placements[2..].iter_mut().for_each(|s| s.instances = InstanceState::Absent);
    send_request(&mut scheduler, 0);
    answer_health_checks(&mut scheduler, &[6.0, 6.0]);
    assert_eq!(scheduler.functions[0].desired_instances, n);
}

// With one function and hundreds of workers, the function could only use 128 placements.
#[test]
fn a_function_that_needs_more_workers_gets_placements() {
    let scheduler = &mut scheduler_with(400, &[]);
    load_first(scheduler, 0, 1);
    scheduler.functions[0].warm_latency = 5_000.0;
    scheduler.functions[0].rate.add(NOW, 2 * 4 * 100 + 2);
    scheduler.scale(0, false);
    assert!(
        scheduler.functions[0].desired_instances > 100
            && scheduler.functions[0].placements.len() >= 2 * scheduler.functions[0].desired_instances
    );
}

#[test]
fn the_shortest_objective_does_not_panic() {
    let scheduler = &mut scheduler_with(2, &[("classes.0.aim-ms", "0.1")]);
    load_first(scheduler, 0, 1);
    assert!(scheduler.instance_rates(0).max > 0.0);
}
