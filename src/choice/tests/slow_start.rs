//! Workers in slow start.
use super::help::*;
use super::*;
use test_case::test_case;

// In a large fleet, one attempt per window from each of hundreds of gateways overloaded cold workers.
#[test_case(300, 20_000, 10, 40; "hundreds of gateways with a fraction of an attempt each")]
#[test_case(300, 0, 0, 0; "gateways that know no rates send none")]
fn all_gateways_together_limit_attempts_at_a_cold_worker(
    gateways: u64,
    sent: u32,
    least: usize,
    most: usize,
) {
    let starts = (0..gateways).filter(|seed| {
        let mut scheduler =
            Scheduler::new(Calls::default(), 0, *seed, settings(&[("siblings", "300")])).unwrap();
        scheduler.advance_clock(NOW);
        scheduler.update_endpoints(
            &[(0, Endpoint { started_at: NOW - 1, ..endpoint_entry(0).1 }), endpoint_entry(1)],
            true,
        );
        scheduler.workers[1].completed_work.add(NOW, sent / 60);
        scheduler.has_slow_start_capacity(0, 0)
    });
    assert!((least..=most).contains(&starts.count()));
}

#[test_case(1, true; "in the last two seconds")]
#[test_case(3, false; "long ago, which counted forever without a later addition")]
fn completed_work_counts_while_it_is_recent(seconds: Time, counts: bool) {
    let mut scheduler = scheduler_with(1, &[]);
    scheduler.workers[0].completed_work.add(NOW, 1000);
    assert_eq!(scheduler.workers[0].completed_work.recent(NOW + seconds * SECOND) > 0, counts);
}

// Warm workers complete 10 requests of cost 1000 per second. The budget is 0.6 times the overload tolerance
// of 2.5 times the warm fraction of that.
#[test_case(0.0, 2, true; "three fit at a fifth of the capacity")]
#[test_case(0.0, 3, false; "four do not")]
#[test_case(0.5, 8, true; "nine at six tenths")]
#[test_case(0.5, 9, false; "ten do not")]
fn a_cold_worker_gets_its_share(age: f64, sent: usize, has_capacity: bool) {
    let mut scheduler = scheduler_with(3, &[]);
    scheduler.workers[0].endpoint.started_at = NOW - (age * 100_000.0) as Time - 1;
    scheduler.workers[0].slow_start_rounding = 1.0;
    scheduler.workers[0].slow_start_attempts.extend(vec![(NOW, 0); sent]);
    (1..3).for_each(|worker_id| scheduler.workers[worker_id].completed_work.add(NOW, 20_000));
    assert_eq!(scheduler.has_slow_start_capacity(0, 0), has_capacity);
}

#[test]
fn a_restarted_worker_is_empty_and_cold() {
    let mut scheduler = scheduler_with(1, &[]);
    load_first(&mut scheduler, 0, 1);
    scheduler.update_endpoints(&[(0, Endpoint { started_at: NOW, ..endpoint_entry(0).1 })], false);
    assert_eq!(scheduler.functions[0].placements[0].instances, InstanceState::Absent);
    assert!(scheduler.slow_start_share(&scheduler.workers[0]).is_some_and(|part| part < 0.21));
}

// Ten answers after a minute each used to count as ten minutes of work within two seconds, and a cold worker
// got a share of that.
#[test]
fn an_answer_counts_at_most_the_work_that_fits_in_the_window() {
    let scheduler = &mut scheduler_with(1, &[("classes.0.aim-ms", "600000")]);
    load_first(scheduler, 0, 1);
    let at = scheduler.now;
    (0..10).for_each(|_| succeed(scheduler, 0, at, 600_000));
    assert_eq!(scheduler.workers[0].completed_work.recent(at), 10 * 2 * SECOND as u32);
}

// With a run of two seconds and a window of half a second, one attempt overloads the worker by itself,
// whichever gateway rounds up.
#[test_case(100.0, true; "a run that fits")]
#[test_case(20_000.0, false; "one that does not")]
fn a_request_that_would_overload_a_cold_worker_alone_is_not_sent(run: f64, has_capacity: bool) {
    let scheduler = &mut scheduler_with(2, &[("rules.overload-for-ms", "500")]);
    scheduler.classes[0].warm_latency = run;
    scheduler.workers[1].completed_work.add(NOW, 20_000);
    scheduler.update_endpoints(&[(0, Endpoint { started_at: NOW - 1, ..endpoint_entry(0).1 })], false);
    scheduler.workers[0].slow_start_rounding = 0.001;
    assert_eq!(scheduler.has_slow_start_capacity(0, 0), has_capacity);
}

// Three gateways overloaded cold workers when requests turned expensive, and small workers beside large warm
// ones.
#[test_case(100.0, 1.0, true; "as expensive as expected")]
#[test_case(4000.0, 1.0, false; "earlier attempts count at their present cost")]
#[test_case(100.0, 0.1, false; "a machine a tenth of the warm ones' size")]
fn a_slow_start_budget_follows_present_costs_and_size(run: f64, rating: f64, has_capacity: bool) {
    let mut scheduler = scheduler_with(3, &[]);
    (
        scheduler.workers[0].endpoint.started_at,
        scheduler.workers[0].endpoint.rating,
        scheduler.workers[0].slow_start_rounding,
    ) = (NOW - 1, rating, 1.0);
    scheduler.workers[0].slow_start_attempts.extend(vec![(NOW, 0); 6]);
    scheduler.classes[0].warm_latency = run;
    (1..3).for_each(|worker_id| scheduler.workers[worker_id].completed_work.add(NOW, 8_000));
    assert_eq!(scheduler.has_slow_start_capacity(0, 0), has_capacity);
}

/// One of three workers has just started, and its window has room for three attempts of the usual cost.
fn scheduler_with_cold_worker() -> TestScheduler {
    let mut scheduler = scheduler_with(3, &[]);
    scheduler.workers[0].endpoint.started_at = NOW - 1;
    scheduler.workers[0].slow_start_rounding = 1.0;
    (1..3).for_each(|worker_id| scheduler.workers[worker_id].completed_work.add(NOW, 20_000));
    scheduler
}

// Eleven attempts were sent to a cold worker together, each eight times as expensive as any before.
#[test]
fn attempts_at_a_cold_worker_are_sent_singly_until_their_cost_is_known() {
    let mut scheduler = scheduler_with_cold_worker();
    scheduler.workers[0].attempt_sent(NOW, 0, 2 * SECOND);
    assert!(!scheduler.has_slow_start_capacity(0, 0));
    scheduler.workers[0].slow_start_attempt_ended(NOW, 0);
    let usual = scheduler.classes[0].warm_latency;
    scheduler.record_slow_start_cost(0, 0, usual);
    assert!(scheduler.has_slow_start_capacity(0, 0));
}

#[test_case(1.0, true; "the usual cost of its class")]
#[test_case(8.0, false; "eight times the usual cost")]
fn a_slow_start_budget_follows_the_cost_of_ended_attempts(ratio: f64, has_capacity: bool) {
    let mut scheduler = scheduler_with_cold_worker();
    let usual = scheduler.classes[0].warm_latency;
    scheduler.workers[0].slow_start_attempts.push_back((NOW, 0));
    scheduler.record_slow_start_cost(0, 0, ratio * usual);
    assert_eq!(scheduler.has_slow_start_capacity(0, 0), has_capacity);
}

#[test_case(0, true; "just sent")]
#[test_case(500, false; "open for longer than the budget allows")]
fn an_open_attempt_costs_the_time_it_has_taken(age_ms: Time, has_capacity: bool) {
    let mut scheduler = scheduler_with_cold_worker();
    let usual = scheduler.classes[0].warm_latency;
    scheduler.record_slow_start_cost(0, 0, usual);
    scheduler.workers[0].attempt_sent(NOW, 0, 2 * SECOND);
    scheduler.advance_clock(NOW + age_ms * MS);
    assert_eq!(scheduler.has_slow_start_capacity(0, 0), has_capacity);
}
