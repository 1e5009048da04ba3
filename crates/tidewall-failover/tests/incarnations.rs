//! The numbers of incarnations.
use test_case::test_case;
use tidewall_failover::proposal::next_incarnation;

#[test_case(0, 1_000, 1_000; "the clock's")]
#[test_case(1_000, 1_000, 1_001; "within one millisecond")]
#[test_case(1_000, 200, 1_001; "the clock was set back")]
fn no_two_incarnations_of_a_process_have_the_same_number(last: u64, clock: u64, expected: u64) {
    assert_eq!(next_incarnation(last, clock), expected);
}

/// Known red (KNOWN-RED.txt) until a member's last incarnation number is stored beyond its process: an incarnation that began
/// at 1,000, and one after a restart with the clock set back to 200.
#[test]
fn known_gap_a_clock_set_back_across_a_restart_gives_a_lower_number() {
    let former = next_incarnation(0, 1_000);
    assert!(
        next_incarnation(0, 200) > former,
        "the same ballots may be used again"
    );
}
