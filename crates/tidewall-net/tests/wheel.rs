//! The wheel against a plain sorted map, with seeded orders of inserts, cancels and pops.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use test_case::test_case;
use tidewall_net::wheel::Wheel;

#[test_case(1, 50 ; "near deadlines")]
#[test_case(2, 40_000 ; "seconds")]
#[test_case(3, 1 << 40 ; "years")]
fn pops_what_a_sorted_map_pops(seed: u64, span: u64) {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let (mut wheel, mut plain, mut now) = (Wheel::default(), BTreeMap::new(), 0u64);
    let mut held = Vec::new();
    for id in 0..20_000u64 {
        let at = now + chance.random_range(0..span);
        held.push((wheel.insert(at, id), at, id));
        plain.insert((at, id), ());
        if chance.random_bool(0.3) {
            let (deadline, at, id) = held.swap_remove(chance.random_range(0..held.len()));
            assert_eq!(wheel.cancel(deadline), plain.remove(&(at, id)).is_some());
        }
        if chance.random_bool(0.2) {
            now += chance.random_range(0..span / 8 + 2);
            let mut due = Vec::new();
            while let Some(id) = wheel.pop(now) {
                due.push(id);
            }
            let rest = plain.split_off(&(now + 1, 0));
            let mut told: Vec<u64> = std::mem::replace(&mut plain, rest)
                .into_keys()
                .map(|k| k.1)
                .collect();
            due.sort_unstable();
            told.sort_unstable();
            assert_eq!(due, told);
        }
        assert_eq!(wheel.len(), plain.len());
        let first = plain.first_key_value().map(|e| e.0 .0);
        assert!(wheel.next_expiry().is_none() == first.is_none() && wheel.next_expiry() <= first);
    }
}

#[test_case(0 ; "due at once")]
#[test_case(70 ; "one level up")]
fn a_cancelled_deadline_stays_silent_and_its_place_is_used_again(at: u64) {
    let mut wheel = Wheel::default();
    let old = wheel.insert(at, 1);
    assert!(wheel.cancel(old) && !wheel.cancel(old));
    let new = wheel.insert(at, 2);
    assert!(
        !wheel.cancel(old),
        "a stale name must not reach the place's next user"
    );
    assert_eq!(wheel.pop(at), Some(2));
    assert!(!wheel.cancel(new) && wheel.pop(1 << 50).is_none());
}
