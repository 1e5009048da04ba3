use super::*;

#[test]
fn a_used_tag_is_known_and_a_new_one_is_not_in_any_order() {
    for step in [1, 7, 11, 100] {
        let mut used = UsedTags::default();
        // 101 is prime, so each step reaches all tags from 1 to 101.
        let tags = || (0..101).map(move |i| 1 + i * step % 101);
        assert!(tags().all(|tag| used.insert(tag)), "step {step}");
        assert!(tags().all(|tag| !used.insert(tag)), "step {step}");
        assert_eq!(used.ranges.len(), 1);
    }
}

#[test]
fn falling_tags_down_from_the_largest_number_take_one_range() {
    let mut used = UsedTags::default();
    assert!((0..1000).all(|i| used.insert(u64::MAX - i)));
    assert!((0..1000).all(|i| !used.insert(u64::MAX - i)));
    assert_eq!(used.ranges.len(), 1);
}

// Failure: what is remembered grows with a long connection, or a new tag is refused because much was forgotten.
#[test]
fn tags_without_neighbours_are_remembered_in_bounded_space_and_new_ones_are_accepted() {
    let mut used = UsedTags::default();
    for i in 1..=10_000u64 {
        // A permutation of the numbers, so that no tag comes twice.
        assert!(used.insert(i.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        assert!(used.ranges.len() <= MAX_RANGES);
    }
    let recent = (10_000 - MAX_RANGES as u64 + 1)..=10_000;
    assert!(recent
        .into_iter()
        .all(|i| !used.insert(i.wrapping_mul(0x9e37_79b9_7f4a_7c15))));
}
