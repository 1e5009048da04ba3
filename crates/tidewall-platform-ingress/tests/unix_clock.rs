//! Ages of hosts by a wall clock that may be wrong.
use std::time::Duration;
use test_case::test_case;
use tidewall_platform_ingress::unix_clock::UnixClock;

const HOUR: u64 = 3_600_000;
const NOW: u64 = 1_700_000_000_000;

#[test_case(NOW - 2_000, true, 2_000; "two seconds")]
#[test_case(NOW - HOUR, false, HOUR; "in a complete list it may be old")]
#[test_case(NOW - HOUR, true, 0; "our clock is an hour ahead: it has just started")]
#[test_case(NOW + HOUR, true, 0; "our clock is an hour behind")]
#[test_case(NOW + HOUR, false, 0; "an hour behind, in a complete list")]
fn ages_by_a_clock_that_may_be_wrong(started: u64, is_change: bool, age: u64) {
    let clock = UnixClock::at(NOW);
    let measured = clock.age_ms(started, is_change);
    assert!((age..age + 1_000).contains(&measured), "{measured}");
}

#[test]
fn time_goes_on_by_what_has_passed() {
    let clock = UnixClock::at(NOW);
    std::thread::sleep(Duration::from_millis(20));
    assert!((NOW + 20..NOW + 2_000).contains(&clock.now_ms()));
}
