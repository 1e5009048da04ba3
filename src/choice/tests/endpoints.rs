//! Updates of the endpoint list.
use super::help::*;
use super::*;
use test_case::test_case;

#[test_case(EndpointState::Draining)]
#[test_case(EndpointState::Removed)]
fn nothing_is_sent_to_a_worker_that_drains_or_is_removed(state: EndpointState) {
    let mut scheduler = scheduler_with(1, &[]);
    load_first(&mut scheduler, 0, 1);
    scheduler.update_endpoints(&[(0, Endpoint { state, ..endpoint_entry(0).1 })], false);
    send_request(&mut scheduler, 0);
    assert!(!scheduler.load_instances(0, 0, 1, true));
    assert!(attempted_workers(&scheduler).is_empty() && load_request_count(&scheduler) == 0);
}

// In long runs machines are replaced by new ones all the time.
#[test_case(EndpointState::Active, 0, false; "still listed")]
#[test_case(EndpointState::Removed, 1, false; "an attempt is in flight")]
#[test_case(EndpointState::Removed, 0, true; "removed and idle")]
fn removed_workers_are_forgotten(state: EndpointState, out: u32, forgotten: bool) {
    let mut scheduler = scheduler_with(2, &[]);
    let (worker_id, entry) = endpoint_entry(1);
    scheduler.update_endpoints(&[(worker_id, Endpoint { state, ..entry })], false);
    scheduler.workers[worker_id].in_flight = out;
    assert_eq!(scheduler.forget_worker(worker_id), forgotten);
    assert_eq!(scheduler.workers[worker_id].endpoint.name_hash == 0, forgotten);
}

#[test_case("", 7_500; "about a second")]
#[test_case("100", 375; "well within the maximum age of the list")]
fn a_failed_list_update_is_retried_in_time(within: &str, least: Time) {
    let scheduler =
        &mut scheduler_with(1, &[("rules.ask-within-ms", if within.is_empty() { "0" } else { within })]);
    scheduler.endpoint_update_failed();
    let waits =
        scheduler.host.0.iter().find_map(|c| if let Call::Timer(wait, 1) = c { Some(*wait) } else { None });
    assert!((least..=least * 5 / 3 + 1).contains(&waits.unwrap()), "{waits:?}");
}
