//! Waiting, rejection, and clients that leave.
use super::help::*;
use super::*;
use test_case::test_case;

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
