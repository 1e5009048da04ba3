//! Compares the timer wheel with a sorted map, over seeded random sequences of inserts, cancels and pops.
#![allow(clippy::unwrap_used, missing_docs)]
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use test_case::test_case;
use tidewall_net::wheel::Wheel;

#[test_case(1, 50 ; "expiries within milliseconds")]
#[test_case(2, 40_000 ; "expiries within seconds")]
#[test_case(3, 1 << 40 ; "expiries within years")]
fn pops_the_same_timers_as_a_sorted_map(seed: u64, span: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut wheel, mut sorted, mut now) = (Wheel::default(), BTreeMap::new(), 0u64);
    let mut pending = Vec::new();
    for id in 0..20_000u64 {
        let at = now + rng.random_range(0..span);
        pending.push((wheel.insert(at, id), at, id));
        sorted.insert((at, id), ());
        if rng.random_bool(0.3) {
            let (timer, at, id) = pending.swap_remove(rng.random_range(0..pending.len()));
            assert_eq!(wheel.cancel(timer), sorted.remove(&(at, id)).is_some());
        }
        if rng.random_bool(0.2) {
            now += rng.random_range(0..span / 8 + 2);
            let mut expired = Vec::new();
            while let Some(id) = wheel.pop(now) {
                expired.push(id);
            }
            let unexpired = sorted.split_off(&(now + 1, 0));
            let mut expected: Vec<u64> = std::mem::replace(&mut sorted, unexpired)
                .into_keys()
                .map(|k| k.1)
                .collect();
            expired.sort_unstable();
            expected.sort_unstable();
            assert_eq!(expired, expected);
        }
        assert_eq!(wheel.len(), sorted.len());
        let first = sorted.first_key_value().map(|e| e.0 .0);
        assert!(wheel.next_expiry().is_none() == first.is_none() && wheel.next_expiry() <= first);
    }
}

#[test_case(0 ; "expires at once")]
#[test_case(70 ; "expires on the second level")]
fn a_cancelled_timer_never_fires_and_its_stale_identifier_matches_no_other(at: u64) {
    let mut wheel = Wheel::default();
    let old = wheel.insert(at, 1);
    assert!(wheel.cancel(old) && !wheel.cancel(old));
    let new = wheel.insert(at, 2);
    assert!(
        !wheel.cancel(old),
        "a stale identifier must not cancel the timer that reuses its entry"
    );
    assert_eq!(wheel.pop(at), Some(2));
    assert!(!wheel.cancel(new) && wheel.pop(1 << 50).is_none());
}
