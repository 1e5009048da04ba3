//! The endpoint list.
use super::help::*;
use super::*;
use test_case::test_case;

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

#[test_case("", 7_500; "as far apart as a second allows")]
#[test_case("100", 375; "well within the time after which a list counts as told")]
fn a_list_that_failed_is_asked_for_in_time(within: &str, least: Time) {
    let gw = &mut gateway(1, &[("rules.ask-within-ms", if within.is_empty() { "0" } else { within })]);
    gw.endpoint_update_failed();
    let waits = gw.host.0.iter().find_map(|c| if let Call::Timer(wait, 1) = c { Some(*wait) } else { None });
    assert!((least..=least * 5 / 3 + 1).contains(&waits.unwrap()), "{waits:?}");
}
