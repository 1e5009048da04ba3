//! Explores every order of events, up to a given depth, for the production state machines of one task with
//! three grantors, two members and one worker. Messages arrive in any order, any number of times, after any
//! delay, or never. Clocks run at both ends of their error bound. The number of visited states is limited;
//! all depths completed before the limit are covered exhaustively.
mod deliver;
mod scenario;
mod step;
mod world;

use scenario::{Budget, Scenario, ALL_REACHABLE, ALL_SAFETY_CHECKS, EMPTY_BUDGET, WORST_CLOCKS};
use test_case::test_case;
use tidewall_lease::SafetyChecks;

const MAX_DEPTH: usize = 40;

/// Once this many states are visited, exploration does not continue to the next depth. Used in CI.
const MAX_STATES: usize = 200_000;

#[test_case(Scenario { budget: Budget { restarts: 1, effects: 1, claims: 1, ..EMPTY_BUDGET }, ..WORST_CLOCKS } ; "one restart of a grantor or a member")]
#[test_case(Scenario { budget: Budget { duplicates: 1, renewals: 1, claims: 1, ..EMPTY_BUDGET }, ..WORST_CLOCKS } ; "one renewal and one duplicated message")]
#[test_case(Scenario { budget: Budget { pauses: 1, effects: 2, claims: 1, ..EMPTY_BUDGET }, ..WORST_CLOCKS } ; "one pause between check and socket")]
#[test_case(Scenario { budget: Budget { effects: 2, claims: 1, ..EMPTY_BUDGET }, first_clock_beyond_bound: true, ..WORST_CLOCKS } ; "a clock beyond the bound, epochs alone")]
#[test_case(Scenario { budget: Budget { effects: 1, claims: 2, releases: 1, ..EMPTY_BUDGET }, ..WORST_CLOCKS } ; "released and claimed anew")]
#[test_case(Scenario { fast_member_clocks: [true, false], fast_grantor_clocks: false, budget: Budget { restarts: 1, effects: 1, claims: 1, ..EMPTY_BUDGET }, ..WORST_CLOCKS } ; "fast and slow clocks exchanged")]
fn no_two_members_hold_the_lease_at_once(scenario: Scenario) {
    let found = scenario.explore(scenario.first_member_granted(), MAX_DEPTH, MAX_STATES);
    println!("two grantors each, one granted: {found}");
    assert_eq!(found.violation, None);
    let scenario = Scenario {
        reachable: ALL_REACHABLE,
        ..scenario
    };
    let found = scenario.explore(scenario.first_member_granted(), MAX_DEPTH, MAX_STATES);
    println!("all grantors, one granted: {found}");
    assert_eq!(found.violation, None);
    let found = scenario.explore(scenario.initial(), MAX_DEPTH, MAX_STATES);
    println!("all grantors, from the start: {found}");
    assert_eq!(found.violation, None);
}

#[test_case(Scenario { safety_checks: SafetyChecks { silent_start: false, ..ALL_SAFETY_CHECKS }, budget: Budget { restarts: 1, claims: 1, ..EMPTY_BUDGET }, ..WORST_CLOCKS } ; "grantors answer at once after a restart")]
#[test_case(Scenario { safety_checks: SafetyChecks { shortened_lease: false, ..ALL_SAFETY_CHECKS }, ..WORST_CLOCKS } ; "a lease not shortened by the bound of clocks")]
#[test_case(Scenario { worker_fences: false, first_clock_beyond_bound: true, budget: Budget { effects: 2, claims: 1, ..EMPTY_BUDGET }, ..WORST_CLOCKS } ; "workers that ignore epochs")]
#[test_case(Scenario { safety_checks: SafetyChecks { counts_from_request: false, ..ALL_SAFETY_CHECKS }, budget: Budget { renewals: 1, claims: 1, ..EMPTY_BUDGET }, ticks: 6, ..WORST_CLOCKS } ; "a renewal counted from its reply")]
#[test_case(Scenario { safety_checks: SafetyChecks { one_vote_per_grantor: false, ..ALL_SAFETY_CHECKS }, budget: Budget { duplicates: 1, renewals: 1, claims: 1, ..EMPTY_BUDGET }, reachable: [[true, false, false], [false, true, true]], ..WORST_CLOCKS } ; "one vote counted twice")]
fn a_missing_safety_check_is_found(scenario: Scenario) {
    let found = scenario.explore(scenario.first_member_granted(), MAX_DEPTH, 25 * MAX_STATES);
    println!("{found}: {:?}", found.violation);
    assert!(found.violation.is_some());
}
