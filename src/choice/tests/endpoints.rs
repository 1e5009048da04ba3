//! The endpoint list.
use super::help::*;
use super::*;
use test_case::test_case;

#[test_case(EndpointState::Draining)]
#[test_case(EndpointState::Removed)]
fn nothing_goes_to_a_worker_that_leaves(state: EndpointState) {
    let mut scheduler = scheduler_with(1, &[]);
    load_first(&mut scheduler, 0, 1);
    scheduler.update_endpoints(&[(0, Endpoint { state, ..endpoint_entry(0).1 })], false);
    send_request(&mut scheduler, 0);
    assert!(!scheduler.load_instances(0, 0, 1, true));
    assert!(attempted_workers(&scheduler).is_empty() && load_request_count(&scheduler) == 0);
}

// Long days: machines are replaced by new ones all day.
#[test_case(EndpointState::Active, 0, false; "it is there")]
#[test_case(EndpointState::Removed, 1, false; "a launch is out")]
#[test_case(EndpointState::Removed, 0, true; "gone for good")]
fn workers_that_are_gone_are_forgotten(state: EndpointState, out: u32, forgotten: bool) {
    let mut scheduler = scheduler_with(2, &[]);
    let (worker_id, entry) = endpoint_entry(1);
    scheduler.update_endpoints(&[(worker_id, Endpoint { state, ..entry })], false);
    scheduler.workers[worker_id].in_flight = out;
    assert_eq!(scheduler.forget_worker(worker_id), forgotten);
    assert_eq!(scheduler.workers[worker_id].endpoint.name_hash == 0, forgotten);
}

#[test_case("", 7_500; "as far apart as a second allows")]
#[test_case("100", 375; "well within the time after which a list counts as told")]
fn a_list_that_failed_is_asked_for_in_time(within: &str, least: Time) {
    let scheduler =
        &mut scheduler_with(1, &[("rules.ask-within-ms", if within.is_empty() { "0" } else { within })]);
    scheduler.endpoint_update_failed();
    let waits =
        scheduler.host.0.iter().find_map(|c| if let Call::Timer(wait, 1) = c { Some(*wait) } else { None });
    assert!((least..=least * 5 / 3 + 1).contains(&waits.unwrap()), "{waits:?}");
}
