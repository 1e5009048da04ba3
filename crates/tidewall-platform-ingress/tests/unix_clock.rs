//! Ages of hosts if a system clock is wrong.
use std::time::Duration;
use test_case::test_case;
use tidewall_platform_ingress::unix_clock::UnixClock;

const HOUR: u64 = 3_600_000;
const NOW: u64 = 1_700_000_000_000;

#[test_case(NOW - 2_000, true, 2_000; "a host of a change may be two seconds old")]
#[test_case(NOW - HOUR, false, HOUR; "a host in a complete list may be old")]
#[test_case(NOW - HOUR, true, 0; "our clock an hour ahead, in a change")]
#[test_case(NOW + HOUR, true, 0; "our clock an hour behind, in a change")]
#[test_case(NOW + HOUR, false, 0; "our clock an hour behind, in a complete list")]
fn implausible_ages_are_corrected(started: u64, is_change: bool, age: u64) {
    let clock = UnixClock::at(NOW);
    let measured = clock.age_ms(started, is_change);
    assert!((age..age + 1_000).contains(&measured), "{measured}");
}

#[test]
fn the_clock_advances_with_the_monotonic_clock() {
    let clock = UnixClock::at(NOW);
    std::thread::sleep(Duration::from_millis(20));
    assert!((NOW + 20..NOW + 2_000).contains(&clock.now_ms()));
}
