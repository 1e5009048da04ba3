//! Large fleets: sums that are kept up to date and endpoint changes that are applied late give the same
//! results as direct computation.
use super::help::*;
use super::*;
use crate::workers::WarmCapacity;
use test_case::test_case;

const WORKERS: usize = 600;
const FUNCTIONS: usize = 40;

fn entry(worker_id: WorkerId, state: EndpointState, started_at: Time) -> (WorkerId, Endpoint) {
    let rating = 1.0 + (worker_id % 7) as f64 / 3.0;
    (worker_id, Endpoint { state, started_at, rating, ..endpoint_entry(worker_id).1 })
}

/// An endpoint list that changes a small or a large part of the fleet.
fn random_list(random: &mut RandomGenerator, now: Time) -> Vec<(WorkerId, Endpoint)> {
    let count = if random.below(2) == 0 { 3 } else { WORKERS / 2 };
    let entries = (0..count).map(|_| {
        let worker_id = random.below(WORKERS as u32) as usize;
        let state = match random.below(4) {
            0 => EndpointState::Draining,
            1 => EndpointState::Removed,
            _ => EndpointState::Active,
        };
        entry(worker_id, state, now - Time::from(random.below(20)) * SECOND)
    });
    entries.collect()
}

fn random_outcome(random: &mut RandomGenerator) -> Outcome {
    match random.below(8) {
        0 => Outcome::Miss,
        1 => Outcome::TimedOut,
        2 => Outcome::ConnectFailed,
        3 => Outcome::Reset,
        _ => Outcome::Ok,
    }
}

/// One random event, the same for both schedulers.
fn step(schedulers: &mut [TestScheduler; 2], random: &mut RandomGenerator, now: Time) {
    let (kind, list) = (random.below(12), random_list(random, now));
    let (function, outcome) = (random.below(FUNCTIONS as u32) as usize, random_outcome(random));
    let pick = random.below(1_000) as usize;
    for (index, scheduler) in schedulers.iter_mut().enumerate() {
        scheduler.advance_clock(now);
        match kind {
            0 => scheduler.update_endpoints(&list, pick.is_multiple_of(50)),
            1..=3 => scheduler.timer_fired(SWEEP_TIMER),
            4..=7 => {
                let (function_hash, deadline) = (function as u64 * 77, now + 20_000);
                scheduler.request_arrived(RequestInfo {
                    function,
                    function_hash,
                    deadline,
                    ..request_info(0)
                });
            }
            _ => end_one_attempt(scheduler, pick, outcome),
        }
        if index == 1 {
            (0..scheduler.functions.len())
                .for_each(|function_id| scheduler.apply_endpoint_changes(function_id));
        }
    }
}

fn end_one_attempt(scheduler: &mut TestScheduler, pick: usize, outcome: Outcome) {
    let outstanding =
        |request: &Request| request.sent_attempts().iter().position(|a| a.state.is_outstanding());
    let open: Vec<_> =
        scheduler.requests.iter().filter_map(|(slot, r)| Some((slot, outstanding(r)?))).collect();
    if !open.is_empty() {
        let (slot, attempt) = open[pick % open.len()];
        scheduler.attempt_ended(slot, attempt, (outcome, 100), outcome == Outcome::Ok, 1);
    }
}

/// The sums over the fleet, computed by visiting all workers.
fn direct_sums(scheduler: &TestScheduler) -> (u32, u32, usize, WarmCapacity) {
    let now = scheduler.now;
    let active = || scheduler.workers.iter().filter(|worker| worker.is_active());
    let ejected = active().filter(|worker| worker.ejected_until > now).count();
    let mut warm = WarmCapacity::default();
    for worker in active().filter(|worker| scheduler.slow_start_share(worker).is_none()) {
        warm.work += f64::from(worker.completed_work.recent(now)) / 2.0;
        (warm.count, warm.ratings) = (warm.count + 1.0, warm.ratings + worker.endpoint.rating);
    }
    (active().count() as u32, active().map(|worker| worker.in_flight).sum(), ejected, warm)
}

fn maintained_sums(scheduler: &TestScheduler) -> (u32, u32, usize, WarmCapacity) {
    let (active, in_flight) = scheduler.workers.active();
    let warm = scheduler.workers.warm_capacity(scheduler.now, |worker| scheduler.warm_at(worker));
    (active, in_flight, scheduler.workers.ejected(scheduler.now), warm)
}

// From the incident with thousands of workers: every list was applied to all functions at once, and sums were
// computed again for each placement.
#[test_case("2", 1)]
#[test_case("2", 2)]
#[test_case("300", 3)]
#[test_case("300", 4)]
#[test_case("300", 5)]
fn maintained_sums_and_late_changes_give_the_same_results(siblings: &str, seed: u64) {
    let mut random = RandomGenerator::new(seed);
    let mut schedulers = [0, 1].map(|_| {
        let mut scheduler = scheduler_with(0, &[("siblings", siblings)]);
        let all: Vec<_> = (0..WORKERS).map(|w| entry(w, EndpointState::Active, 0)).collect();
        scheduler.update_endpoints(&all, true);
        scheduler
    });
    let mut late_functions = 0;
    for i in 0..3_000 {
        step(&mut schedulers, &mut random, NOW + i * 300);
        for scheduler in &schedulers {
            assert_eq!(maintained_sums(scheduler), direct_sums(scheduler), "step {i}");
        }
        let behind = |f: &&Function| f.live && f.changes_seen < schedulers[0].endpoint_changes.end();
        late_functions += schedulers[0].functions.iter().filter(behind).count();
        assert_eq!(schedulers[0].host.0, schedulers[1].host.0, "step {i}");
    }
    assert!(late_functions > 1_000, "{late_functions}: hardly any change was applied late");
}

// The history of endpoint changes must not grow without bound.
#[test]
fn changes_that_all_functions_have_applied_are_dropped() {
    let scheduler = &mut scheduler_with(WORKERS, &[]);
    (0..20).for_each(|f| scheduler.register_function(&RequestInfo { function: f, ..request_info(0) }));
    for i in 0..100 {
        let state = if i % 2 == 0 { EndpointState::Draining } else { EndpointState::Active };
        let list: Vec<_> = (0..WORKERS).map(|w| entry(w, state, 0)).collect();
        scheduler.update_endpoints(&list, false);
        for _ in 0..110 {
            scheduler.advance_clock(scheduler.now + MAX_SWEEP_INTERVAL);
            scheduler.functions.iter_mut().for_each(|f| f.last_request_at = scheduler.now);
            scheduler.timer_fired(SWEEP_TIMER);
        }
        assert!(scheduler.endpoint_changes.len() <= 2 * WORKERS, "{}", scheduler.endpoint_changes.len());
    }
}

// A worker first listed as draining was placed by an unknown name, and kept that position once it was active.
#[test]
fn a_worker_first_listed_as_draining_has_its_position_in_the_order() {
    let (mut late, mut whole) = (scheduler_with(0, &[]), scheduler_with(5, &[]));
    late.register_function(&request_info(0));
    whole.register_function(&request_info(0));
    let draining = (0..5).map(|w| entry(w, EndpointState::Draining, 0)).collect::<Vec<_>>();
    late.update_endpoints(&draining, true);
    late.functions[0].last_request_at = NOW; // otherwise it would be forgotten
    late.add_missing_placements(0);
    late.update_endpoints(&(0..5).map(endpoint_entry).collect::<Vec<_>>(), true);
    let order = |s: &TestScheduler| s.functions[0].placements.iter().map(|p| p.worker_id).collect::<Vec<_>>();
    assert_eq!(order(&late), order(&whole));
}
