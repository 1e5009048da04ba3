//! Waiting, rejection, and clients that leave.
use super::help::*;
use super::*;
use test_case::test_case;

#[test_case(0, true; "redeliverable is deferred")]
#[test_case(2, false; "at most once may have run")]
fn an_event_is_answered_before_its_own_time_of_giving_up(class: usize, deferred: bool) {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, class, 1);
    let slot = send_request(&mut scheduler, class);
    scheduler.advance_clock(NOW + 20_000 - MAX_SWEEP_INTERVAL - 2 * MS);
    scheduler.timer_fired(0);
    assert!(scheduler.host.0.contains(&Call::Cancel(slot, 0)));
    assert_eq!(matches!(scheduler.host.0[1], Call::Reject(..)), deferred);
}

// Tries that came with a few milliseconds left were never answered.
#[test_case(119, true; "before the next sweep")]
#[test_case(499, true; "before half its usual run")]
#[test_case(501, false; "in time")]
fn a_try_too_late_to_end_is_answered_at_once(left: Time, given_up: bool) {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, 0, 1);
    scheduler.request_arrived(RequestInfo { deadline: NOW + left, ..request_info(0) });
    assert_eq!(attempted_workers(&scheduler).is_empty(), given_up);
}

// Clients left at half the latency objective, unannounced.
#[test]
fn clients_that_leave_early_shorten_what_is_aimed_at() {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, 0, 1);
    let slot = send_request(&mut scheduler, 0);
    scheduler.advance_clock(NOW + 2000);
    scheduler.client_abandoned(slot);
    assert_eq!(
        (scheduler.classes[0].observed_objective, scheduler.classes[0].latency_objective),
        (9000.0, 10_000)
    );
    assert_eq!(scheduler.host.0.last(), Some(&Call::Cancel(slot, 0)));
}

// A day of bad clients on sockets: hundreds withdrawn at once made every answer look late, and a quarter was rejected.
#[test_case(0, 10_000.0; "at once")]
#[test_case(999, 10_000.0; "before the usual latency")]
#[test_case(1000, 2000.0; "as late as an answer")]
fn who_leaves_before_any_answer_can_come_teaches_no_target_time(age: Time, most: f64) {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, 0, 1);
    let slots: Vec<usize> = (0..200).map(|_| send_request(&mut scheduler, 0)).collect();
    scheduler.advance_clock(NOW + age);
    slots.into_iter().for_each(|slot| scheduler.client_abandoned(slot));
    assert_eq!(
        (
            scheduler.classes[0].observed_objective * 0.999 < most,
            scheduler.classes[0].observed_objective > 999.0
        ),
        (true, true)
    );
    assert_eq!(scheduler.classes[0].observed_objective == 10_000.0, most == 10_000.0);
}

#[test_case(1250, true; "an eighth of the target time and more")]
#[test_case(1000, false; "less")]
fn without_room_an_event_is_given_up_early(waited: Time, given_up: bool) {
    let mut scheduler = scheduler_with(1, &[]);
    load_first(&mut scheduler, 0, 1);
    (scheduler.workers[0].in_flight, scheduler.workers[0].in_flight_limit) = (40, 8.0);
    let slot = send_request(&mut scheduler, 0);
    scheduler.advance_clock(NOW + waited + 1);
    scheduler.retry_waiting(|_| true);
    assert_eq!(
        scheduler.host.0.iter().any(|c| matches!(c, Call::Reject(at, wait) if *at == slot && *wait <= 1000)),
        given_up
    );
}

// Loads of a minute and clients that wait for two seconds: requests were held until their clients left.
#[test_case(600_000, EndpointState::Active, 0, true; "a load that comes too late is no hope")]
#[test_case(10_000, EndpointState::Active, 0, false; "one that comes in time is")]
#[test_case(10_000, EndpointState::Removed, 1300, true; "not at a worker that left")]
#[test_case(2_000, EndpointState::Active, 6_100, true; "nor when it is overdue three times")]
#[test_case(0, EndpointState::Active, 1300, false; "of unknown length it may come")]
fn an_event_waits_for_a_load_that_can_come(load: Time, state: EndpointState, later: Time, given_up: bool) {
    let scheduler = &mut scheduler_with(1, &[]);
    scheduler.register_function(&request_info(0));
    let placement = &mut scheduler.functions[0].placements[0];
    (placement.instances, placement.pending_loads, placement.renewed_at, placement.pending_queries) =
        (InstanceState::Loading, 1, NOW, 0);
    scheduler.workers[0].endpoint.state = state;
    let slot = scheduler.next_request_slot();
    scheduler.request_arrived(RequestInfo { load_hint: load, ..request_info(0) });
    scheduler.advance_clock(NOW + later);
    scheduler.retry_waiting(|_| true);
    let answer =
        scheduler.host.0.iter().find(|c| matches!(c, Call::Reject(rejected, _) if *rejected == slot));
    assert_eq!(answer.is_some(), given_up, "{:?}", scheduler.host.0);
}

#[test]
fn a_deferral_tells_when_the_load_is_due() {
    let scheduler = &mut scheduler_with(1, &[("allowed.max-retry-after-ms", "600000")]);
    scheduler.register_function(&request_info(0));
    let placement = &mut scheduler.functions[0].placements[0];
    (placement.instances, placement.pending_loads, placement.renewed_at, placement.pending_queries) =
        (InstanceState::Loading, 1, NOW, 0);
    scheduler.request_arrived(RequestInfo { load_hint: 60 * SECOND, ..request_info(0) });
    assert!(
        matches!(scheduler.host.0[1], Call::Reject(_, retry_after) if retry_after >= 60 * SECOND),
        "{:?}",
        scheduler.host.0
    );
}

// Hardening: with the rate limit spent and no load request out a request lay here until the last sweep before its client gave up.
#[test_case(false, true; "no copy and no order out: no hope")]
#[test_case(true, false; "a load is under way: it may wait for that")]
fn what_has_no_hope_is_not_kept_for_its_deadline(loading: bool, given_up: bool) {
    let mut scheduler = scheduler_with(2, &[("extra.load-window-ms", "10000")]);
    load_first(&mut scheduler, 0, 1);
    scheduler.functions[0].placements[0].instances =
        if loading { InstanceState::Loading } else { InstanceState::Absent };
    scheduler.functions[0].placements[0].pending_loads = u32::from(loading);
    let slot = send_request(&mut scheduler, 0);
    assert!(attempted_workers(&scheduler).is_empty() && load_request_count(&scheduler) == 0);
    scheduler.advance_clock(NOW + 1250 + 1);
    scheduler.timer_fired(0);
    let rejected = scheduler
        .host
        .0
        .iter()
        .any(|c| matches!(c, Call::Reject(at, retry_after) if *at == slot && *retry_after > 0));
    assert_eq!(rejected, given_up);
}

#[test_case("1", "500"; "of the shortest target time")]
#[test_case("1000", "0.2"; "with the shortest longest time")]
fn a_deferral_that_may_tell_a_time_tells_one(target: &str, longest: &str) {
    let more = [("classes.0.aim-ms", target), ("allowed.max-retry-after-ms", longest)];
    for seed in 0..20 {
        let mut scheduler = Scheduler::new(Calls::default(), 0, seed, settings(&more)).unwrap();
        let slot = scheduler.next_request_slot();
        scheduler.request_arrived(RequestInfo { deadline: 1, ..request_info(0) });
        assert!(
            matches!(scheduler.host.0.last(), Some(Call::Reject(at, retry_after)) if *at == slot && *retry_after > 0)
        );
    }
}
