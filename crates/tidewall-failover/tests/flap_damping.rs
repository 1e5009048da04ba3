//! The backoff of a member that repeatedly loses leadership.
use tidewall_failover::flap_damping::FlapDamping;

#[test]
fn the_hold_off_doubles_up_to_a_bound_and_starts_over_after_a_quiet_period() {
    let mut damping = FlapDamping::new(10, 50);
    let delays: Vec<u64> = (0..4)
        .map(|i| damping.next_hold_off(i * 100 / 4) - i * 100 / 4)
        .collect();
    assert_eq!(delays, [10, 20, 40, 50]);
    assert_eq!(damping.next_hold_off(1_000), 1_010);
}
