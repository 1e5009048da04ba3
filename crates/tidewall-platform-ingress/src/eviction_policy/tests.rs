use super::*;

/// A connection in the middle of a few calls, whose earlier ones were completed.
fn with_open_calls(excess_of_unsuccessful: u32) -> EvictionFacts {
    EvictionFacts {
        has_sent_command: true,
        open_calls: 4,
        excess_of_unsuccessful,
        ..EvictionFacts::default()
    }
}

// Failure: connections with open calls are never closed, so clients whose calls are all turned down hold every
// descriptor; or a usual client's connection is closed under its calls.
#[test]
fn only_connections_whose_calls_are_turned_down_are_closed_under_open_calls() {
    assert_eq!(eviction_class(&with_open_calls(0)), None);
    assert_eq!(eviction_class(&with_open_calls(31)), None);
    let unsuccessful = Some(EvictionClass::Unsuccessful);
    assert_eq!(eviction_class(&with_open_calls(32)), unsuccessful);
}

#[test]
fn unsuccessful_connections_go_first_then_idle_ones_then_new_ones() {
    let candidate = |index, facts: &EvictionFacts| {
        EvictionCandidate::new(Conn::new(index, 1), facts).map(|c| (c, index))
    };
    let idle = EvictionFacts {
        has_sent_command: true,
        idle_for: 10,
        ..EvictionFacts::default()
    };
    let mut candidates: Vec<_> = [
        candidate(0, &EvictionFacts::default()),
        candidate(1, &with_open_calls(100)),
        candidate(2, &with_open_calls(5_000)),
        candidate(3, &idle),
        candidate(4, &with_open_calls(0)),
    ]
    .into_iter()
    .flatten()
    .collect();
    candidates.sort_unstable();
    let order: Vec<usize> = candidates.iter().map(|(_, index)| *index).collect();
    assert_eq!(order, [2, 1, 3, 0]);
}
