//! Waiting, rejection, and clients that leave.
use super::help::*;
use super::*;
use test_case::test_case;

#[test_case(0, true; "idempotent is rejected")]
#[test_case(2, false; "non idempotent may have been executed and fails")]
fn a_request_is_answered_before_its_deadline(class: usize, rejected: bool) {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, class, 1);
    let slot = send_request(&mut scheduler, class);
    scheduler.advance_clock(NOW + 20_000 - MAX_SWEEP_INTERVAL - 2 * MS);
    scheduler.timer_fired(0);
    assert!(scheduler.host.0.contains(&Call::Cancel(slot, 0)));
    assert_eq!(matches!(scheduler.host.0[1], Call::Reject(..)), rejected);
}

// Requests that arrived a few milliseconds before their deadline were never answered.
#[test_case(119, true; "before the next sweep")]
#[test_case(499, true; "before half of the expected run")]
#[test_case(501, false; "in time")]
fn a_request_that_arrives_too_late_is_rejected_at_once(left: Time, rejected: bool) {
    let mut scheduler = scheduler_with(2, &[]);
    load_first(&mut scheduler, 0, 1);
    scheduler.request_arrived(RequestInfo { deadline: NOW + left, ..request_info(0) });
    assert_eq!(attempted_workers(&scheduler).is_empty(), rejected);
}

// Clients disconnected without notice at half the latency objective.
#[test]
fn clients_that_leave_early_lower_the_observed_objective() {
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

// On a day of misbehaving clients on real sockets, hundreds of requests cancelled at once made every answer
// look late, and a quarter of the requests were rejected.
#[test_case(0, 10_000.0; "at once")]
#[test_case(999, 10_000.0; "before the usual latency")]
#[test_case(1000, 2000.0; "as late as an answer")]
fn only_clients_that_wait_the_usual_latency_lower_the_objective(age: Time, most: f64) {
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

#[test_case(1250, true; "more than an eighth of the objective")]
#[test_case(1000, false; "less")]
fn without_capacity_a_request_is_rejected_early(waited: Time, rejected: bool) {
    let mut scheduler = scheduler_with(1, &[]);
    load_first(&mut scheduler, 0, 1);
    (scheduler.workers[0].in_flight, scheduler.workers[0].in_flight_limit) = (40, 8.0);
    let slot = send_request(&mut scheduler, 0);
    scheduler.advance_clock(NOW + waited + 1);
    scheduler.retry_waiting(|_| true);
    assert_eq!(
        scheduler.host.0.iter().any(|c| matches!(c, Call::Reject(at, wait) if *at == slot && *wait <= 1000)),
        rejected
    );
}

// With loads of a minute and clients that wait two seconds, requests were held until their clients left.
#[test_case(600_000, EndpointState::Active, 0, true; "a load that ends too late")]
#[test_case(10_000, EndpointState::Active, 0, false; "a load that ends in time")]
#[test_case(10_000, EndpointState::Removed, 1300, true; "a load at a removed worker")]
#[test_case(2_000, EndpointState::Active, 6_100, true; "a load that took three times the usual")]
#[test_case(0, EndpointState::Active, 1300, false; "a load of unknown duration")]
fn a_request_waits_only_for_a_load_in_time(load: Time, state: EndpointState, later: Time, is_rejected: bool) {
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
    assert_eq!(answer.is_some(), is_rejected, "{:?}", scheduler.host.0);
}

#[test]
fn a_retry_after_covers_the_load_time() {
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

// With the rate limit exhausted and no load request pending, a request waited until the last sweep before its
// client gave up.
#[test_case(false, true; "no instance and no load request")]
#[test_case(true, false; "a load is under way")]
fn a_request_without_a_load_under_way_is_rejected_early(loading: bool, is_rejected: bool) {
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
    assert_eq!(rejected, is_rejected);
}

#[test_case("1", "500"; "with the shortest objective")]
#[test_case("1000", "0.2"; "with the smallest maximum")]
fn a_retry_after_is_never_zero_where_allowed(objective: &str, max_retry_after: &str) {
    let more = [("classes.0.aim-ms", objective), ("allowed.max-retry-after-ms", max_retry_after)];
    for seed in 0..20 {
        let mut scheduler = Scheduler::new(Calls::default(), 0, seed, settings(&more)).unwrap();
        let slot = scheduler.next_request_slot();
        scheduler.request_arrived(RequestInfo { deadline: 1, ..request_info(0) });
        assert!(matches!(
            scheduler.host.0.last(),
            Some(Call::Reject(at, retry_after)) if *at == slot && *retry_after > 0
        ));
    }
}

// Failure: withdrawn requests leave entries in the list of waiting requests that count for the next request in
// the slot, which is then tried once for each of them in each sweep. 250,000 withdrawn in a second made sweeps
// of 0.12 s.
#[test]
fn withdrawn_requests_leave_no_entry_that_counts_for_the_next_request_in_the_slot() {
    let mut scheduler = scheduler_with(4, &[]);
    for _ in 0..100 {
        let slot = send_request(&mut scheduler, 0);
        assert!(scheduler.requests[slot].waiting_entry.is_some());
        scheduler.client_abandoned(slot);
    }
    let slot = send_request(&mut scheduler, 0);
    scheduler.retry_waiting(|_| true);
    assert_eq!(scheduler.waiting_entries(), 1);
    assert!(scheduler.requests[slot].waiting_entry.is_some());
}
