//! Load requests and their rate limit.
use super::help::*;
use super::*;
use test_case::test_case;

// Many gateways: queries cost more than requests where each gateway sees a function once in ten seconds.
#[test]
fn among_many_gateways_the_head_is_presumed_to_stand_and_a_miss_orders_it() {
    let mut scheduler = scheduler_with(3, &[("siblings", "300")]);
    let (slot, home) = (send_request(&mut scheduler, 0), worker_at(&scheduler, 0, 0));
    assert_eq!(scheduler.host.0, [Call::Attempt(slot, home)]);
    scheduler.attempt_ended(slot, 0, (Outcome::Miss, 10), false, 0);
    assert_eq!(scheduler.host.0[1..], [Call::Load(0, home, 1)]);
}

#[test_case(10, 0, 2; "a share of the events of the window")]
#[test_case(10, 20, 4; "and the free ones once the window is past")]
#[test_case(4, 0, 0; "rounded down")]
fn orders_are_rationed(requests: usize, ran_s: Time, orders: usize) {
    let limit = [("extra.load-window-ms", "10000"), ("extra.free-loads", "2"), ("extra.load-share", "0.2")];
    let mut scheduler = scheduler_with(8, &limit);
    load_first(&mut scheduler, 0, 0);
    scheduler.started_at = NOW - ran_s * SECOND;
    scheduler.load_history.arrivals.extend(vec![NOW; requests]);
    let given = (0..8).filter(|s| scheduler.load_instances(0, *s, 1, true)).count();
    assert_eq!((given, load_request_count(&scheduler)), (orders, orders));
}

// The fleet's herd day: "25 LOAD orders within 10.0 s, in which it took 82 requests", once, as an order came whole late after a
// rush, when the requests that had paid for it were out of the window. From each load request on the rule holds by itself.
#[test_case(30, 0, 4; "a rush that is nearly out of the window pays for nothing")]
#[test_case(30, 10, 6; "but the free ones and those of what came since")]
fn the_ration_holds_from_each_order_on(before: usize, since: usize, orders: usize) {
    let mut scheduler = scheduler_with(20, &LOAD_LIMIT);
    load_first(&mut scheduler, 0, 0);
    scheduler.load_history.arrivals.extend(vec![NOW; before]);
    scheduler.advance_clock(NOW + 9 * SECOND);
    let first = (0..10).filter(|s| scheduler.load_instances(0, *s, 1, true)).count();
    scheduler.advance_clock(NOW + 9 * SECOND + 1);
    scheduler.load_history.arrivals.extend(vec![scheduler.now; since]);
    let then = (10..20).filter(|s| scheduler.load_instances(0, *s, 1, true)).count();
    assert_eq!(first + then, orders);
}

// A life knows nothing of the one before; what is counted at the workers goes on. Rushes, pauses, renewals and kills by chance.
#[test]
fn the_ration_is_kept_over_lives() {
    let (mut tight, mut lives) = (0, 0);
    for seed in 0..40 {
        let mut chance = RandomGenerator::new(seed);
        let (mut scheduler, mut now, mut rush) = (scheduler_with(20, &LOAD_LIMIT), NOW, 1);
        let (mut came, mut ordered) = (Vec::new(), Vec::new());
        load_first(&mut scheduler, 0, 0);
        for _ in 0..1500 {
            now += Time::from(chance.below([400, 4000, 20_000][rush]));
            scheduler.advance_clock(now);
            match chance.below(100) {
                0 => {
                    // Killed, and back at once.
                    scheduler = scheduler_with(20, &LOAD_LIMIT);
                    (scheduler.started_at, lives) = (now, lives + 1);
                    scheduler.advance_clock(now);
                    load_first(&mut scheduler, 0, 0);
                }
                1..=3 => rush = chance.below(3) as usize,
                4..=69 => {
                    scheduler.load_history.arrivals.push_back(now);
                    came.push(now);
                }
                _ => {
                    for s in 0..chance.below(20) as usize {
                        scheduler.functions[0].placements[s].pending_loads = 0;
                        let (window, needed) = (10 * SECOND, s % 4 > 0);
                        scheduler.expire_load_history(window);
                        if !scheduler.load_instances(0, s, 1, needed) {
                            continue;
                        }
                        ordered.push(now);
                        let young = |list: &[Time]| list.iter().filter(|t| **t + window > now).count() as f64;
                        let most = 4.0 + 0.2 * young(&came);
                        assert!(
                            young(&ordered) <= most,
                            "seed {seed}: {} orders at {now}, {most}",
                            young(&ordered)
                        );
                        tight += usize::from(young(&ordered) + 1.0 > most);
                    }
                }
            }
        }
    }
    assert!(tight > 100 && lives > 100, "the rule was put to the test: {tight}, {lives}");
}

// The fleet's join day: 200 calls of one function that no worker knows, each rejected at once, beside 48 requests of
// the users: "17 LOAD orders within 10.0 s, in which it took 48 requests".
#[test_case(None, false; "that nothing is known of")]
#[test_case(Some(Outcome::Error), false; "that workers call an error")]
#[test_case(Some(Outcome::AtCapacity), false; "turned away unseen")]
#[test_case(Some(Outcome::Miss), true; "that a worker lacks")]
#[test_case(Some(Outcome::Ok), true; "that a worker has")]
fn only_events_of_known_functions_pay_for_orders(end: Option<Outcome>, paid: bool) {
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
    assert_eq!((waiting, scheduler.load_history.arrivals.len() >= 200), (0, paid));
    assert!(paid || scheduler.load_history.arrivals.is_empty());
}

#[test_case(false, 0; "of which nothing is known")]
#[test_case(true, 1; "that a worker lacks")]
fn among_many_no_order_goes_for_a_function(missed: bool, orders: usize) {
    let mut scheduler = scheduler_with(2, &LARGE_FLEET[..1]);
    let slot = send_request(&mut scheduler, 0);
    if missed {
        scheduler.attempt_ended(slot, 0, (Outcome::Miss, 1), false, 0);
    }
    scheduler.functions[0].desired_instances = 2;
    scheduler.request_loads(0);
    assert_eq!(load_request_count(&scheduler).min(1), orders);
}

#[test_case(9_999, false; "still in the window")]
#[test_case(10_005, false; "just out of it: it may have taken longer to its worker")]
#[test_case(10_011, true; "out of it")]
fn old_orders_leave_the_ration(ms: Time, given: bool) {
    let limit = [("extra.load-window-ms", "10000"), ("extra.load-share", "1")];
    let mut scheduler = scheduler_with(2, &limit);
    load_first(&mut scheduler, 0, 0);
    scheduler.load_history.sent.push_back(NOW);
    scheduler.advance_clock(NOW + ms * MS);
    scheduler.load_history.arrivals.push_back(scheduler.now);
    assert_eq!(scheduler.load_instances(0, 0, 1, true), given);
}

#[test_case(0, 1; "of the first n: ordered anew")]
#[test_case(2, 0; "beyond: not loaded again, which would push out others")]
fn after_a_miss_the_order_is_reissued(position: usize, orders: usize) {
    let mut scheduler = scheduler_with(4, &[]);
    load_first(&mut scheduler, 0, 3);
    scheduler.functions[0].desired_instances = 2;
    (0..3).filter(|s| *s != position).for_each(|s| scheduler.functions[0].placements[s].in_flight = 3);
    let slot = send_request(&mut scheduler, 0);
    (0..3).for_each(|s| scheduler.functions[0].placements[s].in_flight = u32::from(s == position));
    scheduler.attempt_ended(slot, 0, (Outcome::Miss, 10), false, 0);
    assert_eq!((load_request_count(&scheduler), attempted_workers(&scheduler).len()), (orders, 2));
}

// The usual time of a load is learned from load requests; one that a sibling gave before seems short.
#[test_case(&[1000, 5000], 5000.0; "rises at once")]
#[test_case(&[8000, 0], 7000.0; "falls by an eighth")]
fn loads_are_timed(took: &[Time], load: f64) {
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

// A load request that ended well with nothing left its placement pending for good; a query's end used a load request's up.
#[test_case(0, 1, &[(Outcome::Ok, 0)], 0, 0; "an order that ends with no copy")]
#[test_case(1, 1, &[(Outcome::TimedOut, 0)], 0, 1; "an ask's end leaves the order out")]
#[test_case(1, 1, &[(Outcome::Ok, 0), (Outcome::AtCapacity, 0)], 0, 0; "both ends")]
#[test_case(1, 1, &[(Outcome::Ok, 1), (Outcome::Ok, 0)], 0, 0; "in the other order")]
fn each_end_is_counted_once(asks: u32, orders: u32, ends: &[(Outcome, u32)], asks_left: u32, left: u32) {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, 0, 0);
    (
        scheduler.functions[0].placements[0].pending_queries,
        scheduler.functions[0].placements[0].pending_loads,
    ) = (asks, orders);
    let worker_id = worker_at(&scheduler, 0, 0);
    ends.iter()
        .for_each(|(outcome, instances)| scheduler.load_request_ended(0, worker_id, *outcome, *instances));
    assert_eq!(
        (
            scheduler.functions[0].placements[0].pending_queries,
            scheduler.functions[0].placements[0].pending_loads
        ),
        (asks_left, left)
    );
}

// One time for each request taken was kept until the next load request, which may be hours away or never come.
#[test]
fn times_of_arrivals_stay_bounded_without_orders() {
    let mut scheduler = scheduler_with(1, &[("extra.load-window-ms", "1000"), ("extra.orders", "false")]);
    for i in 0..10_000 {
        scheduler.advance_clock(NOW + i * 10 * MS);
        scheduler.request_arrived(RequestInfo { deadline: 1, ..request_info(0) });
    }
    assert!(scheduler.load_history.arrivals.len() <= 102, "{}", scheduler.load_history.arrivals.len());
}

/// A load request that came late to its worker counts from then on: a worker hung, or a connection was opened for it.
#[test_case(Some(Outcome::Ok), 1_000, 10_900, false; "its end is in the window")]
#[test_case(Some(Outcome::Ok), 1_000, 11_020, true; "its end is out of it")]
#[test_case(Some(Outcome::AtCapacity), 20, 10_021, false; "refused, and in the window")]
#[test_case(Some(Outcome::TimedOut), 1_000, 15_000, false; "timed out, and may still come")]
#[test_case(None, 0, 15_000, false; "nothing is known of it")]
#[test_case(None, 0, 20_020, true; "nor will it come")]
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
