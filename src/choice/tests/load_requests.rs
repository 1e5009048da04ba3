//! Load requests and their rate limit.
use super::help::*;
use super::*;
use test_case::test_case;

// In a large fleet each gateway sees a function once in ten seconds, so queries would cost more than
// requests.
#[test]
fn a_large_fleet_presumes_the_first_instance_and_a_miss_requests_it() {
    let mut scheduler = scheduler_with(3, &[("siblings", "300")]);
    let (slot, first_worker) = (send_request(&mut scheduler, 0), worker_at(&scheduler, 0, 0));
    assert_eq!(scheduler.host.0, [Call::Attempt(slot, first_worker)]);
    scheduler.attempt_ended(slot, 0, (Outcome::Miss, 10), false, 0);
    assert_eq!(scheduler.host.0[1..], [Call::Load(0, first_worker, 1)]);
}

#[test_case(10, 0, 2; "a share of the requests in the window")]
#[test_case(10, 20, 4; "plus the free ones after a full window")]
#[test_case(4, 0, 0; "rounded down")]
fn load_requests_are_rate_limited(requests: usize, ran_s: Time, load_requests: usize) {
    let limit = [("extra.load-window-ms", "10000"), ("extra.free-loads", "2"), ("extra.load-share", "0.2")];
    let mut scheduler = scheduler_with(8, &limit);
    load_first(&mut scheduler, 0, 0);
    scheduler.started_at = NOW - ran_s * SECOND;
    scheduler.load_history.arrivals.extend(vec![NOW; requests]);
    let given = (0..8).filter(|s| scheduler.load_instances(0, *s, 1, true)).count();
    assert_eq!((given, load_request_count(&scheduler)), (load_requests, load_requests));
}

// From the fleet's "herd" day, seen once: "25 LOAD orders within 10.0 s, in which it took 82 requests". A
// load request arrived late after a rush, when the requests that had allowed it were out of the window. The
// limit must hold from each load request on.
#[test_case(30, 0, 4; "a rush that is nearly out of the window allows none")]
#[test_case(30, 10, 6; "free ones and those allowed by later requests")]
fn the_rate_limit_holds_from_each_load_request_on(before: usize, since: usize, load_requests: usize) {
    let mut scheduler = scheduler_with(20, &LOAD_LIMIT);
    load_first(&mut scheduler, 0, 0);
    scheduler.load_history.arrivals.extend(vec![NOW; before]);
    scheduler.advance_clock(NOW + 9 * SECOND);
    let first = (0..10).filter(|s| scheduler.load_instances(0, *s, 1, true)).count();
    scheduler.advance_clock(NOW + 9 * SECOND + 1);
    scheduler.load_history.arrivals.extend(vec![scheduler.now; since]);
    let then = (10..20).filter(|s| scheduler.load_instances(0, *s, 1, true)).count();
    assert_eq!(first + then, load_requests);
}

// After a restart the gateway knows nothing of earlier load requests, but the workers still count them.
// Rushes, pauses, renewals and kills occur at random.
#[test]
fn the_rate_limit_holds_across_restarts() {
    let (mut at_limit, mut restarts) = (0, 0);
    for seed in 0..40 {
        let mut chance = RandomGenerator::new(seed);
        let (mut scheduler, mut now, mut gap_index) = (scheduler_with(20, &LOAD_LIMIT), NOW, 1);
        let (mut arrivals, mut sent) = (Vec::new(), Vec::new());
        load_first(&mut scheduler, 0, 0);
        for _ in 0..1500 {
            now += Time::from(chance.below([400, 4000, 20_000][gap_index]));
            scheduler.advance_clock(now);
            match chance.below(100) {
                0 => {
                    // Killed, and restarted at once.
                    scheduler = scheduler_with(20, &LOAD_LIMIT);
                    (scheduler.started_at, restarts) = (now, restarts + 1);
                    scheduler.advance_clock(now);
                    load_first(&mut scheduler, 0, 0);
                }
                1..=3 => gap_index = chance.below(3) as usize,
                4..=69 => {
                    scheduler.load_history.arrivals.push_back(now);
                    arrivals.push(now);
                }
                _ => {
                    for s in 0..chance.below(20) as usize {
                        scheduler.functions[0].placements[s].pending_loads = 0;
                        let (window, needed) = (10 * SECOND, s % 4 > 0);
                        scheduler.expire_load_history(window);
                        if !scheduler.load_instances(0, s, 1, needed) {
                            continue;
                        }
                        sent.push(now);
                        let young = |list: &[Time]| list.iter().filter(|t| **t + window > now).count() as f64;
                        let most = 4.0 + 0.2 * young(&arrivals);
                        assert!(
                            young(&sent) <= most,
                            "seed {seed}: {} load requests at {now}, {most}",
                            young(&sent)
                        );
                        at_limit += usize::from(young(&sent) + 1.0 > most);
                    }
                }
            }
        }
    }
    assert!(at_limit > 100 && restarts > 100, "the limit was hardly reached: {at_limit}, {restarts}");
}

// From the fleet's "join" day: 200 calls of one function that no worker knows, each rejected at once, beside
// 48 requests that count for the limit as the operators require it: "17 LOAD orders within 10.0 s, in which it
// took 48 requests".
#[test_case(None, false; "in unknown state")]
#[test_case(Some(Outcome::Error), false; "that workers answer with an error")]
#[test_case(Some(Outcome::AtCapacity), false; "rejected without looking")]
#[test_case(Some(Outcome::Miss), true; "that a worker lacks")]
#[test_case(Some(Outcome::Ok), true; "that a worker has loaded")]
fn only_requests_of_known_functions_allow_load_requests(end: Option<Outcome>, counted: bool) {
    let limit = [("extra.load-window-ms", "10000"), ("extra.load-share", "0.2"), LARGE_FLEET[0]];
    let mut scheduler = scheduler_with(2, &limit);
    let first = send_request(&mut scheduler, 0);
    for _ in 1..200 {
        let slot = send_request(&mut scheduler, 0);
        if slot != first {
            scheduler.client_abandoned(slot);
        }
    }
    let waiting = scheduler.load_history.arrivals.len();
    if let Some(outcome) = end {
        scheduler.attempt_ended(first, 0, (outcome, 1), outcome == Outcome::Ok, 0);
        for _ in 0..199 {
            send_request(&mut scheduler, 0);
        }
    }
    assert_eq!((waiting, scheduler.load_history.arrivals.len() >= 200), (0, counted));
    assert!(counted || scheduler.load_history.arrivals.is_empty());
}

#[test_case(false, 0; "in unknown state, no load request")]
#[test_case(true, 1; "that a worker lacks, one load request")]
fn a_large_fleet_requests_loads_only_after_a_miss(missed: bool, load_requests: usize) {
    let mut scheduler = scheduler_with(2, &LARGE_FLEET[..1]);
    let slot = send_request(&mut scheduler, 0);
    if missed {
        scheduler.attempt_ended(slot, 0, (Outcome::Miss, 1), false, 0);
    }
    scheduler.functions[0].desired_instances = 2;
    scheduler.request_loads(0);
    assert_eq!(load_request_count(&scheduler).min(1), load_requests);
}

#[test_case(9_999, false; "still in the window")]
#[test_case(10_005, false; "just out of it, but it may have reached its worker later")]
#[test_case(10_011, true; "out of it")]
fn old_load_requests_leave_the_window(ms: Time, given: bool) {
    let limit = [("extra.load-window-ms", "10000"), ("extra.load-share", "1")];
    let mut scheduler = scheduler_with(2, &limit);
    load_first(&mut scheduler, 0, 0);
    scheduler.load_history.sent.push_back(NOW);
    scheduler.advance_clock(NOW + ms * MS);
    scheduler.load_history.arrivals.push_back(scheduler.now);
    assert_eq!(scheduler.load_instances(0, 0, 1, true), given);
}

#[test_case(0, 1; "one of the first n is requested again")]
#[test_case(2, 0; "one beyond them is not, as it would evict others")]
fn after_a_miss_the_load_request_is_reissued(position: usize, load_requests: usize) {
    let mut scheduler = scheduler_with(4, &[]);
    load_first(&mut scheduler, 0, 3);
    scheduler.functions[0].desired_instances = 2;
    (0..3).filter(|s| *s != position).for_each(|s| scheduler.functions[0].placements[s].in_flight = 3);
    let slot = send_request(&mut scheduler, 0);
    (0..3).for_each(|s| scheduler.functions[0].placements[s].in_flight = u32::from(s == position));
    scheduler.attempt_ended(slot, 0, (Outcome::Miss, 10), false, 0);
    assert_eq!((load_request_count(&scheduler), attempted_workers(&scheduler).len()), (load_requests, 2));
}

// The usual load time is learned from load requests. A load that another gateway requested before seems
// short.
#[test_case(&[1000, 5000], 5000.0; "rises at once")]
#[test_case(&[8000, 0], 7000.0; "falls by an eighth")]
fn load_times_are_learned(took: &[Time], load: f64) {
    let scheduler = &mut scheduler_with(1, &[]);
    load_first(scheduler, 0, 1);
    for took in took {
        let placement = &mut scheduler.functions[0].placements[0];
        (placement.instances, placement.pending_loads, placement.renewed_at) =
            (InstanceState::Loading, 1, scheduler.now);
        scheduler.advance_clock(scheduler.now + took);
        scheduler.load_request_ended(0, 0, Outcome::Ok, 1);
    }
    assert_eq!(scheduler.functions[0].load_time, load);
}

// A load request that succeeded without instances left its placement pending forever, and the end of a query
// was counted as that of a load request.
#[test_case(0, 1, &[(Outcome::Ok, 0)], 0, 0; "a load request that ends without an instance")]
#[test_case(1, 1, &[(Outcome::TimedOut, 0)], 0, 1; "the end of a query leaves the load request pending")]
#[test_case(1, 1, &[(Outcome::Ok, 0), (Outcome::AtCapacity, 0)], 0, 0; "both ends")]
#[test_case(1, 1, &[(Outcome::Ok, 1), (Outcome::Ok, 0)], 0, 0; "in the other order")]
fn each_end_is_counted_once(
    queries: u32,
    load_requests: u32,
    ends: &[(Outcome, u32)],
    queries_left: u32,
    load_requests_left: u32,
) {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, 0, 0);
    (
        scheduler.functions[0].placements[0].pending_queries,
        scheduler.functions[0].placements[0].pending_loads,
    ) = (queries, load_requests);
    let worker_id = worker_at(&scheduler, 0, 0);
    ends.iter()
        .for_each(|(outcome, instances)| scheduler.load_request_ended(0, worker_id, *outcome, *instances));
    assert_eq!(
        (
            scheduler.functions[0].placements[0].pending_queries,
            scheduler.functions[0].placements[0].pending_loads
        ),
        (queries_left, load_requests_left)
    );
}

// One arrival time per request was kept until the next load request, which may be hours away or never come.
#[test]
fn arrival_times_stay_bounded_without_load_requests() {
    let mut scheduler = scheduler_with(1, &[("extra.load-window-ms", "1000"), ("extra.orders", "false")]);
    for i in 0..10_000 {
        scheduler.advance_clock(NOW + i * 10 * MS);
        scheduler.request_arrived(RequestInfo { deadline: 1, ..request_info(0) });
    }
    assert!(scheduler.load_history.arrivals.len() <= 102, "{}", scheduler.load_history.arrivals.len());
}

/// A load request that reached its worker late, because the worker hung or a connection was opened for it,
/// counts from the time of its arrival.
#[test_case(Some(Outcome::Ok), 1_000, 10_900, false; "its end is in the window")]
#[test_case(Some(Outcome::Ok), 1_000, 11_020, true; "its end is out of it")]
#[test_case(Some(Outcome::AtCapacity), 20, 10_021, false; "rejected, and in the window")]
#[test_case(Some(Outcome::TimedOut), 1_000, 15_000, false; "timed out, and may still arrive")]
#[test_case(None, 0, 15_000, false; "nothing is known of it")]
#[test_case(None, 0, 20_020, true; "too old to arrive")]
fn a_load_request_counts_from_its_arrival(end: Option<Outcome>, ended_ms: Time, ms: Time, given: bool) {
    let limit = [("extra.load-window-ms", "10000"), ("extra.load-share", "1")];
    let mut scheduler = scheduler_with(2, &limit);
    load_first(&mut scheduler, 0, 0);
    scheduler.load_history.arrivals.push_back(NOW);
    assert!(scheduler.load_instances(0, 0, 1, true));
    let worker = worker_at(&scheduler, 0, 0);
    if let Some(outcome) = end {
        scheduler.advance_clock(NOW + ended_ms * MS);
        scheduler.load_request_ended(0, worker, outcome, 0);
    }
    scheduler.advance_clock(NOW + ms * MS);
    scheduler.load_history.arrivals.push_back(scheduler.now);
    assert_eq!(scheduler.load_instances(0, 1, 1, true), given);
}
