//! Counts merge in any order and any number of times; they are bounded; a history is whole or not there.
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Zipf};
use std::collections::BTreeMap;
use test_case::test_case;
use tidewall_forecast::counts::Counts;
use tidewall_forecast::history::{History, Shape};
use tidewall_forecast::merged::{Merged, Word};

/// Words as five members send them: counts that rise, lives that follow each other.
fn words(chance: &mut ChaCha8Rng) -> (Vec<Word>, BTreeMap<u64, u64>) {
    let (mut words, mut truth) = (Vec::new(), BTreeMap::new());
    for member in 0..5 {
        let mut life = 1;
        for slot in 0..6 {
            let mut count = 0;
            for _ in 0..chance.random_range(0..5) {
                let more = chance.random_range(0..9);
                count += more;
                *truth.entry(slot).or_default() += u64::from(more);
                words.push(Word {
                    slot,
                    member,
                    life,
                    count,
                });
                if chance.random_ratio(1, 5) {
                    // It dies with nothing untold, and counts anew.
                    (life, count) = (life + 1, 0);
                }
            }
        }
    }
    (words, truth)
}

#[test]
fn any_order_and_any_number_of_times_is_the_same() {
    for seed in 0..300 {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let (mut words, truth) = words(&mut chance);
        let mut a = Merged::new(10);
        words.iter().for_each(|w| assert!(a.told(*w)));
        let twice: Vec<Word> = words
            .iter()
            .copied()
            .filter(|_| chance.random_ratio(1, 2))
            .collect();
        words.extend(twice);
        words.shuffle(&mut chance);
        let (mut b, mut c) = (Merged::new(10), Merged::new(10));
        for (i, w) in words.iter().enumerate() {
            if i % 2 == 0 { &mut b } else { &mut c }.told(*w);
        }
        b.merge(&c);
        c.merge(&b);
        b.merge(&c);
        assert_eq!((&a, &a), (&b, &c));
        truth
            .iter()
            .for_each(|(slot, count)| assert_eq!(a.slot(*slot).0, *count));
    }
}

#[test]
fn a_repeat_counts_once_and_a_later_lower_word_changes_nothing() {
    let w = Word {
        slot: 1,
        member: 0,
        life: 1,
        count: 7,
    };
    let mut merged = Merged::new(4);
    (0..3).for_each(|_| assert!(merged.told(w)));
    assert!(merged.told(Word { count: 4, ..w }));
    assert_eq!(merged.slot(1), (7, 1));
}

#[test]
fn what_is_too_old_is_not_kept_and_lives_are_bounded() {
    let mut m = Merged::new(3);
    assert!(m.told(Word {
        slot: 10,
        member: 0,
        life: 1,
        count: 1
    }));
    assert!(!m.told(Word {
        slot: 7,
        member: 0,
        life: 1,
        count: 1
    }));
    assert!(m.told(Word {
        slot: 8,
        member: 0,
        life: 1,
        count: 1
    }));
    assert!(m.told(Word {
        slot: 12,
        member: 0,
        life: 1,
        count: 1
    }));
    assert_eq!((m.slot(8), m.slot(10)), ((0, 0), (1, 1)));
    (0..1_000).for_each(|life| {
        assert!(m.told(Word {
            slot: 12,
            member: 1,
            life,
            count: 1
        }))
    });
    assert!(m.bytes() < 1_000);
}

/// Ten thousand functions by Zipf's law, 200,000 arrivals; room for all, and for a tenth.
#[test_case(10_000, 0.0 ; "room for all is exact")]
#[test_case(2_000, 0.1 ; "a fifth of the room")]
#[test_case(1_000, 0.25 ; "a tenth of the room")]
fn counts_against_exact_ones(room: usize, most: f64) {
    let mut chance = ChaCha8Rng::seed_from_u64(9);
    let zipf = Zipf::new(10_000.0, 1.0).expect("a law");
    let (mut counts, mut exact) = (Counts::new(room), BTreeMap::<u64, u32>::new());
    for _ in 0..200_000 {
        let f = zipf.sample(&mut chance) as u64;
        counts.add(f);
        *exact.entry(f).or_default() += 1;
    }
    assert_eq!(counts.total, 200_000);
    // Never too low, never higher than it says that it may be.
    for c in counts.all() {
        let truth = exact[&c.function];
        assert!(truth <= c.count && c.count - c.over <= truth);
    }
    let mut top: Vec<(u64, u32)> = exact.iter().map(|(f, c)| (*f, *c)).collect();
    top.sort_by_key(|t| std::cmp::Reverse(t.1));
    let wrong = |t: &(u64, u32)| {
        counts
            .of(t.0)
            .map_or(1.0, |c| f64::from(c.count - t.1) / f64::from(t.1))
    };
    let worst = top[..100].iter().map(wrong).fold(0.0, f64::max);
    println!(
        "room {room}: {} octets, worst of the hundred most wanted {:.1} in a hundred",
        counts.bytes(),
        100.0 * worst
    );
    assert!(worst <= most, "{worst}");
}

const SHAPE: Shape = Shape {
    period: 24,
    periods: 3,
};

fn history() -> (History, Vec<u8>) {
    let mut h = History::new(SHAPE);
    (100..160).for_each(|s| h.tell(s, (s % 7 != 0).then_some(s as f32)));
    let mut bytes = Vec::new();
    h.write(&mut bytes);
    (h, bytes)
}

#[test]
fn a_history_comes_back_whole() {
    let (h, bytes) = history();
    let back = History::read(&bytes, SHAPE).unwrap();
    assert_eq!(
        (back.next(), back.periods(), back.most),
        (h.next(), h.periods(), h.most)
    );
    (0..400).for_each(|s| assert_eq!(back.at(s), h.at(s)));
    assert_eq!(
        (h.at(99), h.at(105), h.at(106), h.at(160)),
        (None, None, Some(106.0), None)
    );
}

/// Cut anywhere, or any bit changed: named and set aside, never half taken.
#[test]
fn a_spoilt_history_is_none() {
    let (_, bytes) = history();
    assert!((0..bytes.len()).all(|len| History::read(&bytes[..len], SHAPE).is_err()));
    for bit in 0..bytes.len() * 8 {
        let mut bytes = bytes.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(History::read(&bytes, SHAPE).is_err());
    }
    let other = Shape {
        period: 12,
        periods: 6,
    };
    assert_eq!(
        History::read(&bytes, other).err(),
        Some("period: another one than the settings'")
    );
}

#[test]
fn slots_passed_over_are_unknown_and_a_jump_leaves_nothing() {
    let mut h = History::new(SHAPE);
    (0..30).for_each(|s| h.tell(s, Some(1.0)));
    h.tell(35, Some(2.0));
    assert_eq!((h.at(29), h.at(32), h.at(35)), (Some(1.0), None, Some(2.0)));
    h.tell(1_000_000, Some(3.0));
    assert!((999_900..1_000_000).all(|s| h.at(s).is_none()));
    // A clock set back far: passed by.
    h.tell(5, Some(9.0));
    assert_eq!((h.next(), h.at(5)), (1_000_001, None));
}

/// `cargo test --release -p tidewall-forecast --test merge -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn costs_at_ten_thousand_functions() {
    use std::time::Instant;
    let shape = Shape {
        period: 288,
        periods: 7,
    };
    let mut chance = ChaCha8Rng::seed_from_u64(1);
    let zipf = Zipf::new(10_000.0, 1.0).expect("a law");
    let drawn: Vec<u64> = (0..1_000_000)
        .map(|_| zipf.sample(&mut chance) as u64)
        .collect();
    for room in [10_000, 1_000] {
        let (began, mut counts) = (Instant::now(), Counts::new(room));
        drawn.iter().for_each(|f| counts.add(*f));
        println!(
            "counts, room {room}: {:.0} ns an arrival, {} octets",
            began.elapsed().as_secs_f64() * 1e3,
            counts.bytes()
        );
    }
    let mut m = Merged::new(4);
    let began = Instant::now();
    for i in 0..1_000_000u64 {
        m.told(Word {
            slot: i / 250_000,
            member: (i % 30) as u16,
            life: 1,
            count: (i % 1_000) as u32,
        });
    }
    println!(
        "merge: {:.0} ns a word, {} octets for 4 slots of 30 members",
        began.elapsed().as_secs_f64() * 1e3,
        m.bytes()
    );
    println!("history: {} octets a function", shape.slots() * 4 + 56);
}
