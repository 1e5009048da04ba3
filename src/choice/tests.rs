//! Each test builds the state it needs and events one function.
mod help;
mod ramp;
mod shapes;
use super::*;
use crate::random::mix_hashes;
use help::*;
use test_case::test_case;

#[test_case(0.0, 1, 2.0, 10.0; "starts at a tenth of the target time")]
#[test_case(2500.0, 4, 8.0, 16.0; "a quarter second on four lanes")]
#[test_case(9000.0, 2, 4.0, 4.0; "at most half the target time")]
fn bounds_follow_the_page(run: f64, lanes: u32, low: f64, up: f64) {
    let mut gw = gateway(2, &[]);
    stand(&mut gw, 0, 1);
    (gw.functions[0].warm_latency, gw.functions[0].lanes) = (run, lanes);
    let InstanceRates { min: least, max: most, .. } = gw.instance_rates(0);
    assert_eq!((least, most), (low, up));
}

// A floor of 0, and an upper bound under the lower one: one copy counted for any rate.
#[test_case("5000", 25_000.0, 0.8, 0.8; "a run of half the target time")]
#[test_case("10000", 20_000.0, 0.25, 1.0; "a fifth")]
#[test_case("600000", 15_000.0, 2.0 / 598.5, 2.0 / 1.5; "short against minutes")]
fn where_the_whole_numbers_cross_bounds_are_unrounded(target: &str, run: f64, low: f64, up: f64) {
    let mut gw = gateway(2, &[("classes.0.aim-ms", target)]);
    stand(&mut gw, 0, 1);
    gw.functions[0].warm_latency = run;
    let InstanceRates { min: least, max: most, .. } = gw.instance_rates(0);
    assert!((least - low).abs() < 1e-9 && (most - up).abs() < 1e-9, "{least} {most}");
}

// One event in two seconds counted as R bought a copy for each two seconds of its run.
#[test_case(1, 1; "one event in hand")]
#[test_case(4, 2; "four on two lanes")]
fn where_runs_are_long_the_count_goes_by_events_in_hand(events: u32, n: usize) {
    let gw = &mut gateway(20, &[("classes.0.aim-ms", "600000")]);
    stand(gw, 0, 1);
    (gw.functions[0].warm_latency, gw.functions[0].open_requests) = (600_000.0, events);
    gw.functions[0].rate.add(NOW, events);
    gw.scale(0, false);
    assert_eq!(gw.functions[0].desired_instances, n);
}

// A quarter second on two lanes: 4 to 8 a second for each copy, the band of n copies ends at 4.8 n.
#[test_case(2, 34, false => 3; "above Rmax grows for the excess")]
#[test_case(2, 20, true => 2; "inside the band stays")]
#[test_case(3, 20, true => 2; "below the band gives up one at a check")]
#[test_case(3, 20, false => 3; "gives up at checks only")]
#[test_case(1, 1, true => 1; "never the last while events come")]
fn the_count_follows_the_band(n: usize, events: u32, check: bool) -> usize {
    let mut gw = gateway(4, &[]);
    stand(&mut gw, 0, n);
    gw.functions[0].warm_latency = 2500.0;
    gw.functions[0].last_request_at = NOW;
    gw.functions[0].rate.add(NOW, events);
    gw.scale(0, check);
    gw.functions[0].desired_instances
}

#[test_case(7999, 1; "within the keep-alive")]
#[test_case(8001, 0; "after it")]
fn the_last_copy_lapses_by_the_keep_alive(ms: Time, left: usize) {
    let mut gw = gateway(2, &[]);
    stand(&mut gw, 0, 1);
    gw.functions[0].last_request_at = NOW;
    gw.advance_clock(NOW + ms * MS);
    gw.scale(0, true);
    assert_eq!(gw.functions[0].desired_instances, left);
}

#[test]
fn the_order_is_shared_whatever_was_learned_first() {
    let (mut a, mut b) = (gateway(5, &[]), gateway(0, &[]));
    a.register_function(&arrival(0));
    b.register_function(&arrival(0));
    b.update_endpoints(&[4, 0, 3, 1, 2].map(listed), true);
    let order = |gw: &Gateway| gw.functions[0].placements.iter().map(|s| s.worker_id).collect::<Vec<_>>();
    assert_eq!(order(&a), order(&b));
}

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

// Many gateways: asks cost more than events where each gateway sees a function once in ten seconds.
#[test]
fn among_many_gateways_the_head_is_presumed_to_stand_and_a_miss_orders_it() {
    let mut gw = gateway(3, &[("siblings", "300")]);
    let (e, home) = (arrive(&mut gw, 0), at(&gw, 0, 0));
    assert_eq!(gw.host.0, [Call::Attempt(e, home)]);
    gw.attempt_ended(e, 0, (Outcome::Miss, 10), false, 0);
    assert_eq!(gw.host.0[1..], [Call::Hold(0, home, 1)]);
}

#[test_case(1, 1; "its lanes are half in use")]
#[test_case(9, 9; "far more")]
fn company_at_the_copies_stands_for_what_siblings_send(company: u32, n: usize) {
    let mut gw = gateway(8, &[("siblings", "300")]);
    stand(&mut gw, 0, 1);
    let e = arrive(&mut gw, 0);
    gw.attempt_ended(e, 0, (Outcome::Ok, 2000), true, 1 + 8 * 2 * company);
    gw.scale(0, false);
    assert_eq!(gw.functions[0].desired_instances, n);
}

#[test]
fn growth_by_company_does_not_feed_on_itself() {
    let mut gw = gateway(8, &[("siblings", "300")]);
    stand(&mut gw, 0, 1);
    gw.functions[0].warm_latency = 2000.0;
    gw.functions[0].placements[0].concurrency = 9.0;
    (0..5).for_each(|_| gw.scale(0, false));
    assert_eq!(gw.functions[0].desired_instances, 9);
}

#[test_case(1.0, 1.0, 0; "alike: the next of the rotation")]
#[test_case(4.0, 1.0, 1; "clearly fuller: it moves on")]
fn the_next_two_of_the_rotation_are_looked_at(first: f64, second: f64, place: usize) {
    let mut gw = gateway(4, &MANY);
    stand(&mut gw, 0, 2);
    arrive(&mut gw, 0);
    assert!(launches(&gw).is_empty());
    answer(&mut gw, &[first, second]);
    assert_eq!(launches(&gw), [at(&gw, 0, place)]);
}

#[test_case(0.0, 3; "full workers add an instance")]
#[test_case(0.5, 2; "not where copies are often missed")]
fn full_workers_buy_copies_while_memory_lasts(missed: f64, n: usize) {
    let mut gw = gateway(4, &MANY);
    stand(&mut gw, 0, 2);
    gw.miss_ratio = missed;
    gw.functions[0].placements[2..].iter_mut().for_each(|s| s.instances = InstanceState::Absent);
    arrive(&mut gw, 0);
    answer(&mut gw, &[6.0, 6.0]);
    assert_eq!(gw.functions[0].desired_instances, n);
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

// remote's incidents at size: reports came seconds late, and all gateways went by them together.
#[test_case(2, 0; "what the report had")]
#[test_case(9, 1; "far more than it had")]
fn reports_that_company_contradicts_are_not_gone_by(company: u32, sure: usize) {
    let mut gw = gateway(4, &MANY);
    stand(&mut gw, 0, 2);
    for _ in 0..3 {
        let e = arrive(&mut gw, 0);
        answer(&mut gw, &[1.0, 1.0]);
        gw.attempt_ended(e, 0, (Outcome::Ok, 2000), true, 1 + 8 * company);
    }
    let before = probes(&gw).len();
    gw.advance_clock(NOW + SECOND);
    arrive(&mut gw, 0);
    assert_eq!(probes(&gw).len() == before, sure == 1);
}

// Silent and hanging workers: each of hundreds of gateways lost an event to them before it could judge.
#[test]
fn a_worker_that_leaves_a_probe_unanswered_is_passed_over() {
    let mut gw = gateway(4, &MANY);
    stand(&mut gw, 0, 2);
    arrive(&mut gw, 0);
    let answers = probes(&gw)[1];
    gw.load_reported(answers, 1.0, 0.0);
    gw.health_check_ended(answers, Outcome::Ok);
    gw.advance_clock(NOW + LOAD_CHECK_TIMEOUT);
    gw.timer_fired(0);
    assert_eq!(launches(&gw), [answers]);
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

#[test_case(10, 0, 2; "a share of the events of the window")]
#[test_case(10, 20, 4; "and the free ones once the window is past")]
#[test_case(4, 0, 0; "rounded down")]
fn orders_are_rationed(events: usize, ran_s: Time, orders: usize) {
    let ration = [("extra.load-window-ms", "10000"), ("extra.free-loads", "2"), ("extra.load-share", "0.2")];
    let mut gw = gateway(8, &ration);
    stand(&mut gw, 0, 0);
    gw.started_at = NOW - ran_s * SECOND;
    gw.load_history.arrivals.extend(vec![NOW; events]);
    let given = (0..8).filter(|s| gw.load_instances(0, *s, 1, true)).count();
    assert_eq!((given, holds(&gw)), (orders, orders));
}

// The fleet's herd day: "25 LOAD orders within 10.0 s, in which it took 82 requests", once, as an order came whole late after a
// rush, when the events that had paid for it were out of the window. From each order on the rule holds by itself.
#[test_case(30, 0, 4; "a rush that is nearly out of the window pays for nothing")]
#[test_case(30, 10, 6; "but the free ones and those of what came since")]
fn the_ration_holds_from_each_order_on(before: usize, since: usize, orders: usize) {
    let mut gw = gateway(20, &RATION);
    stand(&mut gw, 0, 0);
    gw.load_history.arrivals.extend(vec![NOW; before]);
    gw.advance_clock(NOW + 9 * SECOND);
    let first = (0..10).filter(|s| gw.load_instances(0, *s, 1, true)).count();
    gw.advance_clock(NOW + 9 * SECOND + 1);
    gw.load_history.arrivals.extend(vec![gw.now; since]);
    let then = (10..20).filter(|s| gw.load_instances(0, *s, 1, true)).count();
    assert_eq!(first + then, orders);
}

// A life knows nothing of the one before; what is counted at the workers goes on. Rushes, pauses, renewals and kills by chance.
#[test]
fn the_ration_is_kept_over_lives() {
    let (mut tight, mut lives) = (0, 0);
    for seed in 0..40 {
        let mut chance = RandomGenerator::new(seed);
        let (mut gw, mut now, mut rush) = (gateway(20, &RATION), NOW, 1);
        let (mut came, mut ordered) = (Vec::new(), Vec::new());
        stand(&mut gw, 0, 0);
        for _ in 0..1500 {
            now += Time::from(chance.below([400, 4000, 20_000][rush]));
            gw.advance_clock(now);
            match chance.below(100) {
                0 => {
                    // Killed, and back at once.
                    gw = gateway(20, &RATION);
                    (gw.started_at, lives) = (now, lives + 1);
                    gw.advance_clock(now);
                    stand(&mut gw, 0, 0);
                }
                1..=3 => rush = chance.below(3) as usize,
                4..=69 => {
                    gw.load_history.arrivals.push_back(now);
                    came.push(now);
                }
                _ => {
                    for s in 0..chance.below(20) as usize {
                        gw.functions[0].placements[s].pending_loads = 0;
                        let (window, needed) = (10 * SECOND, s % 4 > 0);
                        gw.expire_load_history(window);
                        if !gw.load_instances(0, s, 1, needed) {
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

// The fleet's join day: 200 calls of one function that no worker knows, each turned away at once, beside 48 events of
// the users: "17 LOAD orders within 10.0 s, in which it took 48 requests".
#[test_case(None, false; "that nothing is known of")]
#[test_case(Some(Outcome::Error), false; "that workers call an error")]
#[test_case(Some(Outcome::AtCapacity), false; "turned away unseen")]
#[test_case(Some(Outcome::Miss), true; "that a worker lacks")]
#[test_case(Some(Outcome::Ok), true; "that a worker has")]
fn only_events_of_known_functions_pay_for_orders(end: Option<Outcome>, paid: bool) {
    let ration = [("extra.load-window-ms", "10000"), ("extra.load-share", "0.2"), MANY[0]];
    let mut gw = gateway(2, &ration);
    let first = arrive(&mut gw, 0);
    for _ in 1..200 {
        let evt = arrive(&mut gw, 0);
        if evt != first {
            gw.client_abandoned(evt);
        }
    }
    let waiting = gw.load_history.arrivals.len();
    if let Some(outcome) = end {
        gw.attempt_ended(first, 0, (outcome, 1), outcome == Outcome::Ok, 0);
        for _ in 0..199 {
            arrive(&mut gw, 0);
        }
    }
    assert_eq!((waiting, gw.load_history.arrivals.len() >= 200), (0, paid));
    assert!(paid || gw.load_history.arrivals.is_empty());
}

#[test_case(false, 0; "of which nothing is known")]
#[test_case(true, 1; "that a worker lacks")]
fn among_many_no_order_goes_for_a_function(missed: bool, orders: usize) {
    let mut gw = gateway(2, &MANY[..1]);
    let evt = arrive(&mut gw, 0);
    if missed {
        gw.attempt_ended(evt, 0, (Outcome::Miss, 1), false, 0);
    }
    gw.functions[0].desired_instances = 2;
    gw.request_loads(0);
    assert_eq!(holds(&gw).min(1), orders);
}

// The fleet's zone day: one of eight workers answered `error` to all it got and stayed the head of its functions, 11 in 100
// tries in five seconds; each was deferred, as nothing was presumed to stand elsewhere after the failure.
#[test_case(true, 0, true; "is left out for what it has")]
#[test_case(true, 4, false; "is not for a load that failed")]
#[test_case(false, 0, false; "is not for calls of what does not exist")]
fn a_worker_that_answers_error(shown: bool, note: u32, left_out: bool) {
    let mut gw = gateway(4, &[MANY[0], ("deductions.probe", "1")]);
    stand(&mut gw, 0, 1);
    gw.functions[0].confirmed = shown;
    for _ in 0..3 {
        let evt = arrive(&mut gw, 0);
        gw.attempt_ended(evt, 0, (Outcome::Error, 1), false, note);
        // What the head failed is tried behind it.
        assert_eq!(launches(&gw), [at(&gw, 0, 0), at(&gw, 0, 1)]);
        gw.client_abandoned(evt);
        gw.attempt_ended(evt, 1, (Outcome::Cancelled, 1), true, 0);
        gw.host.0.clear();
    }
    assert_eq!(!gw.is_available(at(&gw, 0, 0)), left_out);
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

#[test_case("0.0074", 2; "that cost little")]
#[test_case("0.08", 0; "that cost more than looking brings")]
fn events_wait_for_probes(price: &str, count: usize) {
    let mut gw = gateway(3, &[MANY[0], MANY[1], MANY[2], ("deductions.probe", price)]);
    stand(&mut gw, 0, 3);
    arrive(&mut gw, 0);
    assert_eq!((probes(&gw).len(), launches(&gw).is_empty()), (count, count > 0));
}

#[test_case(9_999, false; "still in the window")]
#[test_case(10_005, false; "just out of it: it may have taken longer to its worker")]
#[test_case(10_011, true; "out of it")]
fn old_orders_leave_the_ration(ms: Time, given: bool) {
    let ration = [("extra.load-window-ms", "10000"), ("extra.load-share", "1")];
    let mut gw = gateway(2, &ration);
    stand(&mut gw, 0, 0);
    gw.load_history.sent.push_back(NOW);
    gw.advance_clock(NOW + ms * MS);
    gw.load_history.arrivals.push_back(gw.now);
    assert_eq!(gw.load_instances(0, 0, 1, true), given);
}

#[test_case(EndpointState::Draining)]
#[test_case(EndpointState::Removed)]
fn nothing_goes_to_a_worker_that_leaves(standing: EndpointState) {
    let mut gw = gateway(1, &[]);
    stand(&mut gw, 0, 1);
    gw.update_endpoints(&[(0, Endpoint { state: standing, ..listed(0).1 })], false);
    arrive(&mut gw, 0);
    assert!(!gw.load_instances(0, 0, 1, true));
    assert!(launches(&gw).is_empty() && holds(&gw) == 0);
}

// Many gateways: one launch a window at each of hundreds of gateways pushed cold workers over.
#[test_case(300, 20_000, 10, 40; "hundreds send a part of one each")]
#[test_case(300, 0, 0, 0; "those that know no rates send none")]
fn all_gateways_together_spare_a_cold_worker(gateways: u64, sent: u32, least: usize, most: usize) {
    let starts = (0..gateways).filter(|seed| {
        let mut gw = Scheduler::new(Calls::default(), 0, *seed, settings(&[("siblings", "300")])).unwrap();
        gw.advance_clock(NOW);
        gw.update_endpoints(&[(0, Endpoint { started_at: NOW - 1, ..listed(0).1 }), listed(1)], true);
        gw.workers[1].completed_work.add(NOW, sent / 60);
        gw.has_slow_start_capacity(0, 0)
    });
    assert!((least..=most).contains(&starts.count()));
}

#[test_case(1, true; "in the last two seconds")]
#[test_case(3, false; "long ago: read without an addition since, it counted for ever")]
fn work_done_counts_while_it_is_recent(seconds: Time, counts: bool) {
    let mut gw = gateway(1, &[]);
    gw.workers[0].completed_work.add(NOW, 1000);
    assert_eq!(gw.workers[0].completed_work.recent(NOW + seconds * SECOND) > 0, counts);
}

// Warm workers get 10 of 1000 a second; 0.6 of the fall multiple of 2.5 times the part of that which is warm.
#[test_case(0.0, 2, true; "three fit at a fifth of the capacity")]
#[test_case(0.0, 3, false; "four do not")]
#[test_case(0.5, 8, true; "nine at six tenths")]
#[test_case(0.5, 9, false; "ten do not")]
fn a_cold_worker_gets_its_part(age: f64, sent: usize, room: bool) {
    let mut gw = gateway(3, &[]);
    gw.workers[0].endpoint.started_at = NOW - (age * 100_000.0) as Time - 1;
    gw.workers[0].slow_start_rounding = 1.0;
    gw.workers[0].slow_start_attempts.extend(vec![(NOW, 0); sent]);
    (1..3).for_each(|wk| gw.workers[wk].completed_work.add(NOW, 20_000));
    assert_eq!(gw.has_slow_start_capacity(0, 0), room);
}

#[test_case(0, Outcome::Error, true; "redeliverable goes on after an error")]
#[test_case(2, Outcome::Error, false; "at most once does not")]
#[test_case(2, Outcome::Reset, false; "nor after a reset")]
#[test_case(2, Outcome::TimedOut, false; "nor after a time out")]
#[test_case(2, Outcome::AtCapacity, true; "it does where it was proven not to run")]
#[test_case(2, Outcome::ConnectFailed, true; "as without a connection")]
#[test_case(2, Outcome::Miss, true; "and after a miss")]
fn no_effect_twice(typ: usize, outcome: Outcome, again: bool) {
    let mut gw = gateway(4, &[]);
    stand(&mut gw, typ, 2);
    let e = arrive(&mut gw, typ);
    gw.attempt_ended(e, 0, (outcome, 100), false, 0);
    assert_eq!(launches(&gw).len() == 2, again);
    assert_eq!(gw.host.0.contains(&Call::DeadLetter(e)), !again);
}

#[test_case(1, 0, true; "same zone in time")]
#[test_case(0, 0, false; "another zone")]
#[test_case(1, 499, false; "too late to be safe")]
fn keyed_events_stay_in_their_group_and_window(same: usize, ms: Time, allowed: bool) {
    let mut gw = gateway(4, &[]);
    stand(&mut gw, 1, 4);
    let e = arrive(&mut gw, 1);
    let first = launches(&gw)[0];
    gw.advance_clock(NOW + ms * MS);
    let other = (0..4).find(|wk| *wk != first && (wk % 2 == first % 2) == (same == 1)).unwrap();
    assert_eq!(gw.may_send_attempt(e, other), allowed);
}

#[test_case("true", true)]
#[test_case("false", false)]
fn no_two_out_where_that_is_barred(setting: &str, allowed: bool) {
    let mut gw = gateway(2, &[("allowed.may-duplicate", setting)]);
    stand(&mut gw, 0, 2);
    let e = arrive(&mut gw, 0);
    let other = 1 - launches(&gw)[0];
    assert_eq!(gw.may_send_attempt(e, other), allowed);
}

#[test_case(0, true; "redeliverable is deferred")]
#[test_case(2, false; "at most once may have run")]
fn an_event_is_answered_before_its_own_time_of_giving_up(typ: usize, deferred: bool) {
    let mut gw = gateway(2, &[]);
    stand(&mut gw, typ, 1);
    let e = arrive(&mut gw, typ);
    gw.advance_clock(NOW + 20_000 - MAX_SWEEP_INTERVAL - 2 * MS);
    gw.timer_fired(0);
    assert!(gw.host.0.contains(&Call::Cancel(e, 0)));
    assert_eq!(matches!(gw.host.0[1], Call::Defer(..)), deferred);
}

// Tries that came with a few milliseconds left were never answered.
#[test_case(119, true; "before the next sweep")]
#[test_case(499, true; "before half its usual run")]
#[test_case(501, false; "in time")]
fn a_try_too_late_to_end_is_answered_at_once(left: Time, given_up: bool) {
    let mut gw = gateway(2, &[]);
    stand(&mut gw, 0, 1);
    gw.request_arrived(RequestInfo { deadline: NOW + left, ..arrival(0) });
    assert_eq!(launches(&gw).is_empty(), given_up);
}

#[test_case(0, 1; "of the first n: ordered anew")]
#[test_case(2, 0; "beyond: not loaded again, which would push out others")]
fn after_a_miss_the_order_is_reissued(place: usize, orders: usize) {
    let mut gw = gateway(4, &[]);
    stand(&mut gw, 0, 3);
    gw.functions[0].desired_instances = 2;
    (0..3).filter(|s| *s != place).for_each(|s| gw.functions[0].placements[s].in_flight = 3);
    let e = arrive(&mut gw, 0);
    (0..3).for_each(|s| gw.functions[0].placements[s].in_flight = u32::from(s == place));
    gw.attempt_ended(e, 0, (Outcome::Miss, 10), false, 0);
    assert_eq!((holds(&gw), launches(&gw).len()), (orders, 2));
}

#[test_case(2, false; "two in a row are chance")]
#[test_case(3, true; "three are not")]
fn failures_in_a_row_leave_a_worker_out(failures: usize, out: bool) {
    let mut gw = gateway(4, &[]);
    (0..failures).for_each(|_| gw.record_failure(0));
    assert_eq!(gw.is_available(0), !out);
}

// Days with spoilt answers: all launches of one broken connection counted, and good workers were left out in turn.
#[test_case(0, 1, true; "of one connection")]
#[test_case(1, 3, false; "one after the other")]
fn what_breaks_at_one_moment_is_one_failure(apart: Time, failures: u32, trusted: bool) {
    let mut gw = gateway(4, &[]);
    stand(&mut gw, 0, 1);
    let home = at(&gw, 0, 0);
    let events: Vec<usize> = (0..3).map(|_| arrive(&mut gw, 0)).collect();
    for (i, e) in events.into_iter().enumerate() {
        gw.workers[home].in_flight += u32::from(gw.requests[e].attempt_count == 0);
        gw.functions[0].placements[0].in_flight += u32::from(gw.requests[e].attempt_count == 0);
        gw.requests[e].attempts[0] = Attempt { worker_id: home, sent_at: NOW, ..Attempt::default() };
        (gw.requests[e].attempts[0].state, gw.requests[e].attempt_count) = (AttemptState::InFlight, 1);
        gw.advance_clock(NOW + 1 + apart * i as Time);
        gw.attempt_ended(e, 0, (Outcome::Reset, 10), true, 0);
    }
    assert_eq!((gw.workers[home].failures, gw.is_available(home)), (failures, trusted));
}

#[test_case(0, AttemptState::ConnectionLost, false; "redeliverable goes elsewhere")]
#[test_case(1, AttemptState::ConnectionLost, true; "keyed in a zone may go back")]
#[test_case(1, AttemptState::MayHaveExecuted, false; "not after an end that says nothing")]
#[test_case(2, AttemptState::ConnectionLost, false; "at most once goes nowhere")]
fn back_to_a_worker_whose_connection_broke(typ: usize, state: AttemptState, may: bool) {
    let mut gw = gateway(2, &[]);
    stand(&mut gw, typ, 1);
    let (e, home) = (arrive(&mut gw, typ), at(&gw, typ, 0));
    gw.requests[e].attempts[0].state = state;
    assert_eq!(gw.may_send_attempt(e, home), may);
}

// Long days: machines are replaced by new ones all day.
#[test_case(EndpointState::Active, 0, false; "it is there")]
#[test_case(EndpointState::Removed, 1, false; "a launch is out")]
#[test_case(EndpointState::Removed, 0, true; "gone for good")]
fn workers_that_are_gone_are_forgotten(standing: EndpointState, out: u32, forgotten: bool) {
    let mut gw = gateway(2, &[]);
    let (wk, entry) = listed(1);
    gw.update_endpoints(&[(wk, Endpoint { state: standing, ..entry })], false);
    gw.workers[wk].in_flight = out;
    assert_eq!(gw.forget_worker(wk), forgotten);
    assert_eq!(gw.workers[wk].endpoint.name_hash == 0, forgotten);
}

// Overloaded days: late answers left out a third of workers that were only busy.
#[test]
fn in_overload_nobody_is_judged() {
    let mut gw = gateway(4, &[]);
    gw.saturation_count.add(NOW, 10);
    (0..3).for_each(|_| gw.record_failure(0));
    assert_eq!((gw.workers[0].failures, gw.is_available(0)), (0, true));
}

#[test]
fn a_third_of_the_workers_at_most_is_left_out() {
    let mut gw = gateway(6, &[]);
    (0..6).for_each(|wk| (0..3).for_each(|_| gw.record_failure(wk)));
    assert_eq!((0..6).filter(|wk| !gw.is_available(*wk)).count(), 2);
}

#[test_case(8000, 3, true; "late answers are failures")]
#[test_case(500, 0, false; "good ones end the row")]
fn slow_answers_are_judged(took: Time, failures: u32, out: bool) {
    let mut gw = gateway(4, &[]);
    stand(&mut gw, 0, 1);
    let home = at(&gw, 0, 0);
    gw.workers[home].failures = 2;
    succeed(&mut gw, home, NOW, took);
    assert_eq!((gw.workers[home].failures, !gw.is_available(home)), (failures, out));
}

#[test]
fn a_worker_that_answers_full_gets_less() {
    let mut gw = gateway(2, &[]);
    stand(&mut gw, 0, 1);
    let (e, home) = (arrive(&mut gw, 0), at(&gw, 0, 0));
    gw.attempt_ended(e, 0, (Outcome::AtCapacity, 10), false, 0);
    assert!(gw.workers[home].in_flight_limit < INITIAL_IN_FLIGHT_LIMIT);
}

#[test_case(1, 4.0; "a lone gateway keeps four in flight")]
#[test_case(8, 1.0; "one of many keeps one")]
fn the_learned_bound_has_a_floor_for_all_gateways_together(siblings: usize, floor: f64) {
    let siblings = siblings.to_string();
    let mut gw = gateway(1, &[("siblings", &siblings)]);
    for i in 0..20 {
        gw.advance_clock(NOW + i * SECOND);
        gw.reduce_in_flight_limit(0);
    }
    assert_eq!(gw.workers[0].in_flight_limit, floor);
}

// Clients left at half the target time, unannounced.
#[test]
fn clients_that_leave_early_shorten_what_is_aimed_at() {
    let mut gw = gateway(2, &[]);
    stand(&mut gw, 0, 1);
    let e = arrive(&mut gw, 0);
    gw.advance_clock(NOW + 2000);
    gw.client_abandoned(e);
    assert_eq!((gw.classes[0].observed_objective, gw.classes[0].latency_objective), (9000.0, 10_000));
    assert_eq!(gw.host.0.last(), Some(&Call::Cancel(e, 0)));
}

// A day of bad clients on sockets: hundreds withdrawn at once made every answer look late, and a quarter was deferred.
#[test_case(0, 10_000.0; "at once")]
#[test_case(999, 10_000.0; "before the usual latency")]
#[test_case(1000, 2000.0; "as late as an answer")]
fn who_leaves_before_any_answer_can_come_teaches_no_target_time(age: Time, most: f64) {
    let mut gw = gateway(2, &[]);
    stand(&mut gw, 0, 1);
    let events: Vec<usize> = (0..200).map(|_| arrive(&mut gw, 0)).collect();
    gw.advance_clock(NOW + age);
    events.into_iter().for_each(|e| gw.client_abandoned(e));
    assert_eq!(
        (gw.classes[0].observed_objective * 0.999 < most, gw.classes[0].observed_objective > 999.0),
        (true, true)
    );
    assert_eq!(gw.classes[0].observed_objective == 10_000.0, most == 10_000.0);
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

#[test_case(1250, true; "an eighth of the target time and more")]
#[test_case(1000, false; "less")]
fn without_room_an_event_is_given_up_early(waited: Time, given_up: bool) {
    let mut gw = gateway(1, &[]);
    stand(&mut gw, 0, 1);
    (gw.workers[0].in_flight, gw.workers[0].in_flight_limit) = (40, 8.0);
    let e = arrive(&mut gw, 0);
    gw.advance_clock(NOW + waited + 1);
    gw.retry_waiting(|_| true);
    assert_eq!(
        gw.host.0.iter().any(|c| matches!(c, Call::Defer(at, wait) if *at == e && *wait <= 1000)),
        given_up
    );
}

#[test_case(SECOND, 2; "a late launch gets another beside it")]
#[test_case(100, 1; "not before it is late")]
fn a_late_launch_is_followed_by_another(after: Time, count: usize) {
    let mut gw = gateway(4, &[]);
    stand(&mut gw, 0, 2);
    arrive(&mut gw, 0);
    gw.advance_clock(NOW + after);
    gw.timer_fired(0);
    assert_eq!(launches(&gw).len(), count);
}

#[test]
fn a_restarted_worker_is_empty_and_cold() {
    let mut gw = gateway(1, &[]);
    stand(&mut gw, 0, 1);
    gw.update_endpoints(&[(0, Endpoint { started_at: NOW, ..listed(0).1 })], false);
    assert_eq!(gw.functions[0].placements[0].instances, InstanceState::Absent);
    assert!(gw.slow_start_share(&gw.workers[0]).is_some_and(|part| part < 0.21));
}

#[test]
fn functions_that_nothing_asks_for_are_forgotten() {
    let mut gw = gateway(2, &[]);
    stand(&mut gw, 0, 0);
    gw.advance_clock(NOW + 17 * SECOND);
    gw.forget_idle(0);
    assert_eq!((gw.host.0.last(), gw.functions[0].placements.len()), (Some(&Call::Forget(0)), 0));
}

#[test_case("rules.cold-ms", "soon", "rules.cold-ms: 'soon' is not a time")]
#[test_case("classes.1.aim-ms", "-1", "classes.1.aim-ms: '-1' is not a time")]
#[test_case("classes.2.aim-ms", "0", "classes.2.aim-ms: neither it nor deadline-ms is told")]
#[test_case("siblings", "0", "siblings: '0' is no whole number from 1 to 1000000")]
#[test_case("siblings", "NaN", "siblings: 'NaN' is no whole number from 1 to 1000000")]
#[test_case("me", "2", "me: 2 is not under siblings, 2")]
#[test_case("classes.count", "", "classes.count: '' is no whole number from 1 to 10000")]
#[test_case("allowed.max-attempts", "0", "allowed.max-attempts: '0' is no number from 1 to 1000000")]
#[test_case("allowed.probes", "yes", "allowed.probes: 'yes' is neither true nor false")]
#[test_case("rules.cold-from", "1.5", "rules.cold-from: '1.5' is no number from 0 to 1")]
fn a_setting_that_cannot_be_meant_is_named(key: &str, value: &str, line: &str) {
    let made = Scheduler::new(Calls::default(), 0, 1, settings(&[(key, value)]));
    assert_eq!(made.err().map(|error| error.to_string()).as_deref(), Some(line));
}

// What is left out takes a default that still lets the module work, whatever else is told.
#[test_case("extra.stays-loaded-ms", |t| t.keep_alive == 60 * SECOND; "no keep-alive: a copy stands until a miss")]
#[test_case("rules.tip-multiple", |t| t.overload_tolerance == 1.0; "no multiple: never above what it can do")]
#[test_case("rules.overload-for-ms", |t| t.overload_window == SECOND; "no span: over any second")]
#[test_case("allowed.max-attempts", |t| t.max_attempts == MAX_ATTEMPTS; "no bound of launches")]
#[test_case("allowed.max-retry-after-ms", |t| t.max_retry_after > SECOND; "no longest time to come back")]
#[test_case("siblings", |t| t.gateway_count == 1.0 && !t.large_fleet; "a gateway alone")]
fn a_setting_that_is_left_out(key: &str, sound: fn(&SchedulerConfig) -> bool) {
    let mut settings = settings(&[]);
    settings.remove(key);
    assert!(sound(&Scheduler::new(Calls::default(), 0, 1, settings).unwrap().config));
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

// Loads of a minute and clients that wait for two seconds: events were held until their clients left.
#[test_case(600_000, EndpointState::Active, 0, true; "a load that comes too late is no hope")]
#[test_case(10_000, EndpointState::Active, 0, false; "one that comes in time is")]
#[test_case(10_000, EndpointState::Removed, 1300, true; "not at a worker that left")]
#[test_case(2_000, EndpointState::Active, 6_100, true; "nor when it is overdue three times")]
#[test_case(0, EndpointState::Active, 1300, false; "of unknown length it may come")]
fn an_event_waits_for_a_load_that_can_come(load: Time, standing: EndpointState, later: Time, given_up: bool) {
    let gw = &mut gateway(1, &[]);
    gw.register_function(&arrival(0));
    let seat = &mut gw.functions[0].placements[0];
    (seat.instances, seat.pending_loads, seat.renewed_at, seat.pending_queries) =
        (InstanceState::Loading, 1, NOW, 0);
    gw.workers[0].endpoint.state = standing;
    let place = gw.next_request_slot();
    gw.request_arrived(RequestInfo { load_hint: load, ..arrival(0) });
    gw.advance_clock(NOW + later);
    gw.retry_waiting(|_| true);
    let answer = gw.host.0.iter().find(|c| matches!(c, Call::Defer(e, _) if *e == place));
    assert_eq!(answer.is_some(), given_up, "{:?}", gw.host.0);
}

#[test]
fn a_deferral_tells_when_the_load_is_due() {
    let gw = &mut gateway(1, &[("allowed.max-retry-after-ms", "600000")]);
    gw.register_function(&arrival(0));
    let seat = &mut gw.functions[0].placements[0];
    (seat.instances, seat.pending_loads, seat.renewed_at, seat.pending_queries) =
        (InstanceState::Loading, 1, NOW, 0);
    gw.request_arrived(RequestInfo { load_hint: 60 * SECOND, ..arrival(0) });
    assert!(matches!(gw.host.0[1], Call::Defer(_, back) if back >= 60 * SECOND), "{:?}", gw.host.0);
}

// The usual time of a load is learned from orders; one that a sibling gave before seems short.
#[test_case(&[1000, 5000], 5000.0; "rises at once")]
#[test_case(&[8000, 0], 7000.0; "falls by an eighth")]
fn loads_are_timed(took: &[Time], load: f64) {
    let gw = &mut gateway(1, &[]);
    stand(gw, 0, 1);
    for took in took {
        let seat = &mut gw.functions[0].placements[0];
        (seat.instances, seat.pending_loads, seat.renewed_at) = (InstanceState::Loading, 1, gw.now);
        gw.advance_clock(gw.now + took);
        gw.load_request_ended(0, 0, Outcome::Ok, 1);
    }
    assert_eq!(gw.functions[0].load_time, load);
}

// Target times of tens of milliseconds: sweeps and waits for probes of 10 and 20 ms left nothing of them.
#[test_case("20", "1", 12, 25; "twenty milliseconds")]
#[test_case("20", "5", 50, 0; "and a slow clock: no event waits for a probe")]
#[test_case("100", "1", 62, 125; "a hundred")]
#[test_case("400", "1", 100, 200; "as before")]
#[test_case("600000", "1", 100, 200; "minutes")]
fn sweeps_and_looks_go_by_the_target_time(target: &str, tick: &str, sweep: Time, look: Time) {
    let gw = gateway(1, &[("classes.0.aim-ms", target), ("tick-ms", tick)]);
    assert_eq!((gw.config.sweep_interval, gw.config.load_check_timeout), (sweep, look));
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

// Reports of queues alone: each event probed two workers, waited, and learned nothing.
#[test_case("q,x0", false)]
#[test_case("busy", true)]
fn only_reports_that_tell_of_load_are_asked_for(names: &str, looks: bool) {
    let gw = gateway(1, &[MANY[0], MANY[1], ("reporting.names", names)]);
    assert_eq!(gw.config.load_checks, looks);
}

// Ten answers after a minute each counted as ten minutes of work within two seconds; a cold worker got its part of that.
#[test]
fn an_answer_counts_no_more_work_than_fits_in_the_span() {
    let gw = &mut gateway(1, &[("classes.0.aim-ms", "600000")]);
    stand(gw, 0, 1);
    let at = gw.now;
    (0..10).for_each(|_| succeed(gw, 0, at, 600_000));
    assert_eq!(gw.workers[0].completed_work.recent(at), 10 * 2 * SECOND as u32);
}

// A run of two seconds and a span of half a second: a launch tips the worker by itself, whoever's luck it is.
#[test_case(100.0, true; "a run that fits")]
#[test_case(20_000.0, false; "one that does not")]
fn an_event_that_would_tip_a_cold_worker_alone_goes_elsewhere(run: f64, room: bool) {
    let gw = &mut gateway(2, &[("rules.overload-for-ms", "500")]);
    gw.classes[0].warm_latency = run;
    gw.workers[1].completed_work.add(NOW, 20_000);
    gw.update_endpoints(&[(0, Endpoint { started_at: NOW - 1, ..listed(0).1 })], false);
    gw.workers[0].slow_start_rounding = 0.001;
    assert_eq!(gw.has_slow_start_capacity(0, 0), room);
}

// Sixty-four cores, or runs that wait for others: a lone gateway's bound stopped at 64.
#[test]
fn the_learned_bound_grows_while_answers_are_good() {
    let gw = &mut gateway(1, &[]);
    stand(gw, 0, 1);
    (gw.workers[0].in_flight_limit, gw.workers[0].in_flight) = (64.0, 63);
    let at = gw.now;
    (0..65).for_each(|_| succeed(gw, 0, at, 100));
    assert!(gw.workers[0].in_flight_limit > 64.5);
}

// One function and hundreds of workers: 128 seats were all that it could use.
#[test]
fn a_function_that_needs_more_of_the_fleet_gets_seats() {
    let gw = &mut gateway(400, &[]);
    stand(gw, 0, 1);
    gw.functions[0].warm_latency = 5_000.0;
    gw.functions[0].rate.add(NOW, 2 * 4 * 100 + 2);
    gw.scale(0, false);
    assert!(
        gw.functions[0].desired_instances > 100
            && gw.functions[0].placements.len() >= 2 * gw.functions[0].desired_instances
    );
}

// The wire's aim-stretch: the target time grows with an event's own work, up to its max age.
#[test_case(1_000, 12_000.0; "by twice its work")]
#[test_case(90_000, 20_000.0; "not beyond the max age")]
fn the_target_time_stretches_with_the_work(hint: Time, target: f64) {
    let gw = gateway(1, &[("classes.0.aim-stretch", "2"), ("classes.0.deadline-ms", "2000")]);
    assert_eq!(latency_objective(&gw.classes[0], &RequestInfo { cost_hint: hint, ..arrival(0) }), target);
}

#[test_case("", 7_500; "as far apart as a second allows")]
#[test_case("100", 375; "well within the time after which a list counts as told")]
fn a_list_that_failed_is_asked_for_in_time(within: &str, least: Time) {
    let gw = &mut gateway(1, &[("rules.ask-within-ms", if within.is_empty() { "0" } else { within })]);
    gw.endpoint_update_failed();
    let waits = gw.host.0.iter().find_map(|c| if let Call::Timer(wait, 1) = c { Some(*wait) } else { None });
    assert!((least..=least * 5 / 3 + 1).contains(&waits.unwrap()), "{waits:?}");
}

// Hardening: with the ration spent and no order out an event lay here until the last sweep before its client gave up.
#[test_case(false, true; "no copy and no order out: no hope")]
#[test_case(true, false; "a load is under way: it may wait for that")]
fn what_has_no_hope_is_not_kept_for_its_deadline(loading: bool, given_up: bool) {
    let mut gw = gateway(2, &[("extra.load-window-ms", "10000")]);
    stand(&mut gw, 0, 1);
    gw.functions[0].placements[0].instances =
        if loading { InstanceState::Loading } else { InstanceState::Absent };
    gw.functions[0].placements[0].pending_loads = u32::from(loading);
    let e = arrive(&mut gw, 0);
    assert!(launches(&gw).is_empty() && holds(&gw) == 0);
    gw.advance_clock(NOW + 1250 + 1);
    gw.timer_fired(0);
    let told = gw.host.0.iter().any(|c| matches!(c, Call::Defer(at, back) if *at == e && *back > 0));
    assert_eq!(told, given_up);
}

#[test_case("1", "500"; "of the shortest target time")]
#[test_case("1000", "0.2"; "with the shortest longest time")]
fn a_deferral_that_may_tell_a_time_tells_one(target: &str, longest: &str) {
    let more = [("classes.0.aim-ms", target), ("allowed.max-retry-after-ms", longest)];
    for seed in 0..20 {
        let mut gw = Scheduler::new(Calls::default(), 0, seed, settings(&more)).unwrap();
        let e = gw.next_request_slot();
        gw.request_arrived(RequestInfo { deadline: 1, ..arrival(0) });
        assert!(matches!(gw.host.0.last(), Some(Call::Defer(at, back)) if *at == e && *back > 0));
    }
}

#[test]
fn the_shortest_target_time_is_no_panic() {
    let gw = &mut gateway(2, &[("classes.0.aim-ms", "0.1")]);
    stand(gw, 0, 1);
    assert!(gw.instance_rates(0).max > 0.0);
}

// The slot of functions to check came from the clock alone: sweeps 20 ms apart passed over every second one for good.
#[test_case(10 * MS; "as set")]
#[test_case(20 * MS; "twice as far apart")]
#[test_case(130 * MS; "uneven and far apart")]
#[test_case(5 * SECOND; "after standstills")]
fn every_function_is_checked_however_late_sweeps_come(apart: Time) {
    let mut gw = gateway(1, &[]);
    (0..150).for_each(|f| gw.register_function(&RequestInfo { function: f, ..arrival(0) }));
    gw.functions.iter_mut().flat_map(|f| &mut f.placements).for_each(|s| s.pending_queries = 0);
    for sweep in 0..3 + 32 * SECOND / apart {
        gw.advance_clock(NOW + sweep * apart);
        gw.timer_fired(0);
    }
    assert_eq!(gw.functions.iter().filter(|f| f.live).count(), 0, "all idle ones are forgotten");
}

// An order that ended well with nothing left its seat pending for good; an ask's end used an order's up.
#[test_case(0, 1, &[(Outcome::Ok, 0)], 0, 0; "an order that ends with no copy")]
#[test_case(1, 1, &[(Outcome::TimedOut, 0)], 0, 1; "an ask's end leaves the order out")]
#[test_case(1, 1, &[(Outcome::Ok, 0), (Outcome::AtCapacity, 0)], 0, 0; "both ends")]
#[test_case(1, 1, &[(Outcome::Ok, 1), (Outcome::Ok, 0)], 0, 0; "in the other order")]
fn each_end_is_counted_once(asks: u32, orders: u32, ends: &[(Outcome, u32)], asks_left: u32, left: u32) {
    let mut gw = gateway(2, &[]);
    stand(&mut gw, 0, 0);
    (gw.functions[0].placements[0].pending_queries, gw.functions[0].placements[0].pending_loads) =
        (asks, orders);
    let wk = at(&gw, 0, 0);
    ends.iter().for_each(|(outcome, copies)| gw.load_request_ended(0, wk, *outcome, *copies));
    assert_eq!(
        (gw.functions[0].placements[0].pending_queries, gw.functions[0].placements[0].pending_loads),
        (asks_left, left)
    );
}

#[test]
fn a_function_is_not_forgotten_while_an_ask_is_out() {
    let mut gw = gateway(2, &[]);
    gw.register_function(&arrival(0));
    gw.advance_clock(NOW + 60 * SECOND);
    gw.forget_idle(0);
    assert!(gw.functions[0].live, "its index would name another when the answer comes");
}

// One time for each event taken was kept until the next order, which may be hours away or never come.
#[test]
fn times_of_arrivals_stay_bounded_without_orders() {
    let mut gw = gateway(1, &[("extra.load-window-ms", "1000"), ("extra.orders", "false")]);
    for i in 0..10_000 {
        gw.advance_clock(NOW + i * 10 * MS);
        gw.request_arrived(RequestInfo { deadline: 1, ..arrival(0) });
    }
    assert!(gw.load_history.arrivals.len() <= 102, "{}", gw.load_history.arrivals.len());
}

// After one depot stall 200 functions were ordered again in one sweep, at each of the gateways; so were trials and lists.
#[test_case(1; "one gateway")]
#[test_case(20; "many gateways")]
fn repeats_do_not_line_up(gateways: u64) {
    let mut at = Vec::new();
    for seed in 0..gateways {
        let siblings = gateways.to_string();
        let more = settings(&[("siblings", &siblings)]);
        let mut gw = Scheduler::new(Calls::default(), 0, seed, more).unwrap();
        gw.advance_clock(NOW);
        gw.update_endpoints(&[listed(0), listed(1), listed(2)], true);
        (0..200).for_each(|f| gw.register_function(&RequestInfo { function: f, ..arrival(0) }));
        for f in 0..200 {
            gw.load_request_ended(f, 0, Outcome::AtCapacity, 0);
            gw.load_request_ended(f, 0, Outcome::AtCapacity, 0);
            at.push(
                gw.functions[f].placements.iter().find(|s| s.worker_id == 0).unwrap().blocked_until
                    / MAX_SWEEP_INTERVAL,
            );
        }
    }
    at.sort_unstable();
    let most = at.chunk_by(|a, b| a == b).map(<[_]>::len).max().unwrap();
    assert!(most * 10 < at.len(), "{most} of {} orders fall in one sweep", at.len());
}

#[test]
fn trials_and_lists_do_not_line_up() {
    let gateways = (0..50).map(|seed| {
        let mut gw = Scheduler::new(Calls::default(), 0, seed, settings(&[])).unwrap();
        gw.advance_clock(NOW);
        gw.update_endpoints(&(0..4).map(listed).collect::<Vec<_>>(), true);
        (0..3).for_each(|_| gw.record_failure(0));
        gw.endpoint_update_failed();
        let asked =
            gw.host.0.iter().rev().find_map(|c| if let Call::Timer(t, 1) = c { Some(*t) } else { None });
        (gw.workers[0].ejected_until / MAX_SWEEP_INTERVAL, asked.unwrap() / MAX_SWEEP_INTERVAL)
    });
    let (mut trials, mut lists): (Vec<_>, Vec<_>) = gateways.unzip();
    for at in [&mut trials, &mut lists] {
        at.sort_unstable();
        let most = at.chunk_by(|a, b| a == b).map(<[_]>::len).max().unwrap();
        assert!(most <= 10, "{most} of 50 gateways in one sweep");
        assert!(at[49] - at[0] >= 20, "spread over a fifth of a second at the least");
    }
}

// Three gateways pushed cold workers over when events turned dear, and small ones beside large warm ones.
#[test_case(100.0, 1.0, true; "as dear as they seemed")]
#[test_case(4000.0, 1.0, false; "those sent count as dear as they turned out")]
#[test_case(100.0, 0.1, false; "a machine a tenth of the warm ones' size")]
fn a_cold_budget_goes_by_present_costs_and_size(run: f64, rating: f64, room: bool) {
    let mut gw = gateway(3, &[]);
    (gw.workers[0].endpoint.started_at, gw.workers[0].endpoint.rating, gw.workers[0].slow_start_rounding) =
        (NOW - 1, rating, 1.0);
    gw.workers[0].slow_start_attempts.extend(vec![(NOW, 0); 6]);
    gw.classes[0].warm_latency = run;
    (1..3).for_each(|wk| gw.workers[wk].completed_work.add(NOW, 8_000));
    assert_eq!(gw.has_slow_start_capacity(0, 0), room);
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

// The count that matters is the total: misses are not counted among the two further launches.
#[test_case(Outcome::Miss; "misses")]
#[test_case(Outcome::AtCapacity; "full")]
#[test_case(Outcome::Error; "errors")]
#[test_case(Outcome::Reset; "resets")]
fn launches_of_one_event_are_bounded_whatever_the_ends(outcome: Outcome) {
    for most in ["1", "3", "8", "50"] {
        let mut gw = gateway(12, &[("allowed.max-attempts", most)]);
        stand(&mut gw, 0, 12);
        let e = arrive(&mut gw, 0);
        for launch in 0..60 {
            (0..12).for_each(|s| gw.functions[0].placements[s].instances = InstanceState::Loaded);
            gw.attempt_ended(e, launch, (outcome, 10), false, 0);
        }
        let bound = most.parse::<usize>().unwrap().min(MAX_ATTEMPTS);
        assert!(launches(&gw).len() <= bound);
        assert!(holds(&gw) <= launches(&gw).len(), "an order for each miss at the most");
    }
}
