//! Counts merge in any order and with any number of repetitions and are bounded in size. A history is decoded
//! completely or not at all.
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Zipf};
use std::collections::BTreeMap;
use test_case::test_case;
use tidewall_forecast::arrivals::ArrivalCounts;
use tidewall_forecast::history::{History, HistoryError, HistoryShape};
use tidewall_forecast::merged::{CountReport, MergedCounts, SlotCount};

/// Returns reports as five members send them, with increasing counts and successive incarnations, and the
/// true number of arrivals by slot.
fn random_reports(rng: &mut ChaCha8Rng) -> (Vec<CountReport>, BTreeMap<u64, u64>) {
    let (mut reports, mut true_counts) = (Vec::new(), BTreeMap::new());
    for member in 0..5 {
        let mut incarnation = 1;
        for slot in 0..6 {
            let mut count = 0;
            for _ in 0..rng.random_range(0..5) {
                let more = rng.random_range(0..9);
                count += more;
                *true_counts.entry(slot).or_default() += u64::from(more);
                reports.push(CountReport {
                    slot,
                    member,
                    incarnation,
                    count,
                });
                if rng.random_ratio(1, 5) {
                    // The member restarts after it has reported everything, and counts from 0.
                    (incarnation, count) = (incarnation + 1, 0);
                }
            }
        }
    }
    (reports, true_counts)
}

#[test]
fn any_order_and_any_number_of_times_is_the_same() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut reports, true_counts) = random_reports(&mut rng);
        let mut in_order = MergedCounts::new(10);
        reports.iter().for_each(|r| assert!(in_order.apply(*r)));
        let duplicates: Vec<CountReport> = reports
            .iter()
            .copied()
            .filter(|_| rng.random_ratio(1, 2))
            .collect();
        reports.extend(duplicates);
        reports.shuffle(&mut rng);
        let (mut first, mut second) = (MergedCounts::new(10), MergedCounts::new(10));
        for (i, report) in reports.iter().enumerate() {
            let target = if i % 2 == 0 { &mut first } else { &mut second };
            target.apply(*report);
        }
        first.merge(&second);
        second.merge(&first);
        first.merge(&second);
        assert_eq!((&in_order, &in_order), (&first, &second));
        true_counts
            .iter()
            .for_each(|(slot, count)| assert_eq!(in_order.slot(*slot).arrivals, *count));
    }
}

#[test]
fn a_repeated_report_counts_once_and_a_later_lower_one_changes_nothing() {
    let report = CountReport {
        slot: 1,
        member: 0,
        incarnation: 1,
        count: 7,
    };
    let mut merged = MergedCounts::new(4);
    (0..3).for_each(|_| assert!(merged.apply(report)));
    assert!(merged.apply(CountReport { count: 4, ..report }));
    let expected = SlotCount {
        arrivals: 7,
        members: 1,
    };
    assert_eq!(merged.slot(1), expected);
}

#[test]
fn old_slots_are_not_kept_and_incarnations_are_bounded() {
    let report = |slot| CountReport {
        slot,
        member: 0,
        incarnation: 1,
        count: 1,
    };
    let mut merged = MergedCounts::new(3);
    assert!(merged.apply(report(10)));
    assert!(!merged.apply(report(7)));
    assert!(merged.apply(report(8)));
    assert!(merged.apply(report(12)));
    let one_arrival = SlotCount {
        arrivals: 1,
        members: 1,
    };
    assert_eq!(
        (merged.slot(8), merged.slot(10)),
        (SlotCount::default(), one_arrival)
    );
    (0..1_000).for_each(|incarnation| {
        assert!(merged.apply(CountReport {
            member: 1,
            incarnation,
            ..report(12)
        }))
    });
    assert!(merged.size_bytes() < 1_000);
}

/// Counts 200,000 arrivals of ten thousand functions that follow Zipf's law, with room for all functions, a
/// fifth and a tenth of them.
#[test_case(10_000, 0.0 ; "room for all is exact")]
#[test_case(2_000, 0.1 ; "room for a fifth")]
#[test_case(1_000, 0.25 ; "room for a tenth")]
fn counts_are_close_to_exact_ones(capacity: usize, max_relative_error: f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let zipf = Zipf::new(10_000.0, 1.0).expect("valid parameters");
    let (mut counts, mut exact) = (ArrivalCounts::new(capacity), BTreeMap::<u64, u32>::new());
    for _ in 0..200_000 {
        let function = zipf.sample(&mut rng) as u64;
        counts.record(function);
        *exact.entry(function).or_default() += 1;
    }
    assert_eq!(counts.total, 200_000);
    // A count is never too low, and too high by at most its stated error.
    for entry in counts.entries() {
        let true_count = exact[&entry.function];
        assert!(true_count <= entry.count && entry.count - entry.max_error <= true_count);
    }
    let mut most_frequent: Vec<(u64, u32)> = exact.iter().map(|(f, c)| (*f, *c)).collect();
    most_frequent.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let relative_error = |(function, true_count): &(u64, u32)| {
        counts.get(*function).map_or(1.0, |entry| {
            f64::from(entry.count - true_count) / f64::from(*true_count)
        })
    };
    let worst = most_frequent[..100]
        .iter()
        .map(relative_error)
        .fold(0.0, f64::max);
    println!(
        "capacity {capacity}: {} bytes, worst of the hundred most frequent {:.1} %",
        counts.size_bytes(),
        100.0 * worst
    );
    assert!(worst <= max_relative_error, "{worst}");
}

const SHAPE: HistoryShape = HistoryShape {
    slots_per_period: 24,
    periods: 3,
};

fn history() -> (History, Vec<u8>) {
    let mut history = History::new(SHAPE);
    (100..160).for_each(|slot| history.record(slot, (slot % 7 != 0).then_some(slot as f32)));
    let mut bytes = Vec::new();
    history.encode(&mut bytes);
    (history, bytes)
}

#[test]
fn a_history_is_decoded_as_it_was_encoded() {
    let (history, bytes) = history();
    let decoded = History::decode(&bytes, SHAPE).expect("a valid history");
    assert_eq!(
        (
            decoded.next_slot(),
            decoded.complete_periods(),
            decoded.max_count
        ),
        (
            history.next_slot(),
            history.complete_periods(),
            history.max_count
        )
    );
    (0..400).for_each(|slot| assert_eq!(decoded.count(slot), history.count(slot)));
    assert_eq!(
        [99, 105, 106, 160].map(|slot| history.count(slot)),
        [None, None, Some(106.0), None]
    );
}

/// Truncated at any length, or with any bit changed, a history yields an error and no partial result.
#[test]
fn a_damaged_history_is_rejected() {
    let (_, bytes) = history();
    assert!((0..bytes.len()).all(|len| History::decode(&bytes[..len], SHAPE).is_err()));
    for bit in 0..bytes.len() * 8 {
        let mut bytes = bytes.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(History::decode(&bytes, SHAPE).is_err());
    }
    let other_shape = HistoryShape {
        slots_per_period: 12,
        periods: 6,
    };
    let error = History::decode(&bytes, other_shape).err();
    assert_eq!(error, Some(HistoryError::OtherShape));
}

#[test]
fn errors_name_the_part_that_is_wrong() {
    let messages = [
        (HistoryError::Truncated, "length: cut short"),
        (HistoryError::UnknownVersion, "version: not tdwhist1"),
        (HistoryError::WrongChecksum, "checksum: wrong"),
        (
            HistoryError::OtherShape,
            "period: differs from the settings",
        ),
        (
            HistoryError::WrongLength,
            "length: does not match the number of slots",
        ),
        (
            HistoryError::InvalidNumber,
            "slots: invalid count or first slot",
        ),
    ];
    for (error, message) in messages {
        assert_eq!(error.to_string(), message);
    }
}

#[test]
fn skipped_slots_are_unknown_and_a_clock_jump_leaves_nothing() {
    let mut history = History::new(SHAPE);
    (0..30).for_each(|slot| history.record(slot, Some(1.0)));
    history.record(35, Some(2.0));
    assert_eq!(
        [29, 32, 35].map(|slot| history.count(slot)),
        [Some(1.0), None, Some(2.0)]
    );
    history.record(1_000_000, Some(3.0));
    assert!((999_900..1_000_000).all(|slot| history.count(slot).is_none()));
    // A slot far in the past, after the clock was set back, is ignored.
    history.record(5, Some(9.0));
    assert_eq!((history.next_slot(), history.count(5)), (1_000_001, None));
}

/// Run with `cargo test --release -p tidewall-forecast --test merge -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn costs_at_ten_thousand_functions() {
    use std::time::Instant;
    let shape = HistoryShape {
        slots_per_period: 288,
        periods: 7,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let zipf = Zipf::new(10_000.0, 1.0).expect("valid parameters");
    let arrivals: Vec<u64> = (0..1_000_000)
        .map(|_| zipf.sample(&mut rng) as u64)
        .collect();
    for capacity in [10_000, 1_000] {
        let (started, mut counts) = (Instant::now(), ArrivalCounts::new(capacity));
        arrivals.iter().for_each(|f| counts.record(*f));
        println!(
            "counts, capacity {capacity}: {:.0} ns an arrival, {} bytes",
            started.elapsed().as_secs_f64() * 1e3,
            counts.size_bytes()
        );
    }
    let mut merged = MergedCounts::new(4);
    let started = Instant::now();
    for i in 0..1_000_000u64 {
        merged.apply(CountReport {
            slot: i / 250_000,
            member: (i % 30) as u16,
            incarnation: 1,
            count: (i % 1_000) as u32,
        });
    }
    println!(
        "merge: {:.0} ns a report, {} bytes for 4 slots of 30 members",
        started.elapsed().as_secs_f64() * 1e3,
        merged.size_bytes()
    );
    println!("history: {} bytes a function", shape.slots() * 4 + 56);
}
