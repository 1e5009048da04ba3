//! The numbers of successive incarnations within one process. Tests across processes are in
//! tidewall-gateway's
//! `incarnation_store.rs` and tidewall-cli's `incarnations.rs`.
use test_case::test_case;
use tidewall_failover::proposal::next_incarnation;

#[test_case(0, 1_000, 1_000; "the number is the clock's time")]
#[test_case(1_000, 1_000, 1_001; "two starts within one millisecond")]
#[test_case(1_000, 200, 1_001; "the clock was set back")]
fn no_two_incarnations_of_a_process_have_the_same_number(last: u64, clock: u64, expected: u64) {
    assert_eq!(next_incarnation(last, clock), expected);
}
