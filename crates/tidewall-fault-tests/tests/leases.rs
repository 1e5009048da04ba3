//! Several processes of the shipped program, with faults between them: no two holders act at once, and each task is held again.
use test_case::test_case;
use tidewall_fault_tests::relay::Link;
use tidewall_fault_tests::trial::{play, Setup, Step, MEMBERS, TERM};

const CUT: Link = Link {
    cut: true,
    lost: 0,
    twice: 0,
    delay: 0,
    jitter: 0,
};
const ROUGH: Link = Link {
    cut: false,
    lost: 150,
    twice: 150,
    delay: 100,
    jitter: 600,
};
const SLOW: Link = Link {
    cut: false,
    lost: 0,
    twice: 0,
    delay: 1_500,
    jitter: 1_000,
};

fn both(side: &[usize]) -> Step {
    Step::Cut(side.to_vec(), true, true)
}

fn flapping(side: &[usize]) -> Vec<(u64, Step)> {
    (0..6)
        .flat_map(|i| [(i * 900, both(side)), (i * 900 + 450, Step::Mend)])
        .collect()
}

fn all(step: fn(usize) -> Step, at: u64) -> Vec<(u64, Step)> {
    (0..MEMBERS).map(|m| (at, step(m))).collect()
}

/// Each member is told to go in turn, and comes back.
fn rolling() -> Vec<(u64, Step)> {
    (0..MEMBERS as u64)
        .map(|m| (m * 1_500, Step::Term(m as usize)))
        .collect()
}

#[test_case(1, 2_000, vec![] ; "nothing")]
#[test_case(2, 6_000, vec![(0, Step::Kill(3)), (100, Step::Kill(1)), (3_000, Step::Start(3)), (3_000, Step::Start(1))] ; "a lost member and a lost keeper come back with nothing")]
#[test_case(3, 9_000, vec![(0, both(&[3, 4])), (6_000, Step::Mend)] ; "two cut off from all keepers")]
#[test_case(4, 9_000, vec![(0, both(&[0, 3])), (6_000, Step::Mend)] ; "a minority with one keeper")]
#[test_case(5, 9_000, vec![(0, both(&[0, 1, 3])), (6_000, Step::Mend)] ; "a majority of keepers on one side")]
#[test_case(6, 8_000, vec![(0, Step::Cut(vec![4], true, false)), (5_000, Step::Mend)] ; "one way, out")]
#[test_case(7, 8_000, vec![(0, Step::Cut(vec![4], false, true)), (5_000, Step::Mend)] ; "one way, in")]
#[test_case(8, 7_000, flapping(&[2, 4]) ; "flapping")]
#[test_case(9, 7_000, vec![(0, Step::Links(ROUGH)), (6_000, Step::Mend)] ; "lost, doubled, reordered")]
#[test_case(10, 7_000, vec![(0, Step::Links(SLOW)), (6_000, Step::Mend)] ; "slow links")]
#[test_case(11, 7_000, vec![(0, Step::Stand(3)), (0, Step::Stand(1)), (TERM + 1_000, Step::Go(3)), (TERM + 1_200, Step::Go(1))] ; "standing past a term")]
#[test_case(12, 6_000, [all(Step::Kill, 0), all(Step::Start, 300)].concat() ; "all killed at once")]
#[test_case(13, 12_000, rolling() ; "rolling")]
#[test_case(14, 5_000, vec![(0, Step::Acts(3, SLOW)), (0, Step::Acts(4, CUT)), (1_000, Step::Break(0)), (3_500, Step::Mend)] ; "acts slow, cut and broken")]
fn no_two_act_and_all_is_held_again(seed: u64, lasts: u64, script: Vec<(u64, Step)>) {
    let goes = script
        .iter()
        .filter(|s| matches!(s.1, Step::Term(_)))
        .count();
    let v = play(Setup::new(seed, lasts, script));
    assert!(
        v.crossed <= goes,
        "{} events crossed the ends of {goes} gateways",
        v.crossed
    );
    println!(
        "{} acts, {} changes, {} events, {} datagrams",
        v.acts, v.changes, v.events, v.datagrams
    );
    assert_eq!(
        (v.breaches.as_slice(), v.held),
        (&[][..], tidewall_fault_tests::trial::LEASES)
    );
    assert!(v.acts > 100 && v.events > 0 && v.datagrams > 100);
}

#[test]
fn a_channel_for_one_message_loses_no_task() {
    let script = vec![
        (0, Step::Term(4)),
        (2_000, Step::Kill(3)),
        (2_500, Step::Start(3)),
    ];
    let v = play(Setup {
        channel: 1,
        ..Setup::new(20, 6_000, script)
    });
    assert!(v.crossed <= 1);
    assert_eq!(
        (v.breaches.as_slice(), v.held),
        (&[][..], tidewall_fault_tests::trial::LEASES)
    );
}

/// The holder's clock is slow and the keepers' fast, at the bound.
const WORST: [i64; MEMBERS] = [100_000, 100_000, 100_000, -100_000, 100_000];
const WORSE: [i64; MEMBERS] = [0, 0, 0, -500_000, 0];

/// Two keepers of three die and start at once, while the holder is cut off from all.
fn forgets() -> Vec<(u64, Step)> {
    // The others claim what the holder held: 1 and 4.
    let restarts = [
        (50, Step::Kill(0)),
        (50, Step::Kill(2)),
        (200, Step::Start(0)),
        (200, Step::Start(2)),
    ];
    std::iter::once((0, both(&[3]))).chain(restarts).collect()
}

/// Its answers take long; then it asks in vain, while answers still come.
fn late() -> Vec<(u64, Step)> {
    let slow = Link {
        delay: 11_000,
        ..Link::default()
    };
    vec![
        (0, Step::Into(3, slow)),
        (3_000, Step::Cut(vec![3], true, false)),
        (4_700, both(&[3])),
    ]
}

/// It reaches one keeper alone, and all that it hears comes twice.
fn twice() -> Vec<(u64, Step)> {
    vec![
        (
            0,
            Step::Links(Link {
                twice: 1_000,
                ..Link::default()
            }),
        ),
        (10, both(&[0, 3])),
    ]
}

#[test_case("nothing", 30, 0, forgets(), [0; 5], false ; "keepers that are silent after a start")]
#[test_case("forgets", 31, 1, forgets(), [0; 5], false ; "planted: keepers that forget")]
#[test_case("nothing", 32, 0, vec![(0, both(&[3]))], WORST, false ; "a term shortened by the bound of clocks")]
#[test_case("not-shortened", 33, 1, vec![(0, both(&[3]))], WORST, false ; "planted: a term that is not shortened")]
#[test_case("nothing", 34, 0, vec![(0, both(&[3]))], WORSE, true ; "a clock beyond its bound")]
#[test_case("no-epochs", 35, 1, vec![(0, both(&[3]))], WORSE, true ; "planted: workers that look at no epoch")]
#[test_case("nothing", 36, 0, late(), WORST, false ; "a renewal counted from its asking")]
#[test_case("from-answer", 37, 1, late(), WORST, false ; "planted: a renewal counted from its answer")]
#[test_case("nothing", 38, 0, twice(), [0; 5], false ; "a keeper counted once")]
#[test_case("two-votes", 39, 1, twice(), [0; 5], false ; "planted: a keeper counted twice")]
fn a_planted_fault_is_found(
    left_out: &'static str,
    seed: u64,
    least: usize,
    script: Vec<(u64, Step)>,
    clocks: [i64; 5],
    wild: bool,
) {
    // Long enough for members to miss the holder while what it was granted still runs.
    let term = if least == 1 && left_out == "forgets" {
        2 * TERM
    } else {
        TERM
    };
    let v = play(Setup {
        left_out,
        clocks,
        wild,
        term,
        ..Setup::new(seed, 3 * TERM, script)
    });
    println!(
        "{left_out}: {} acts, {} changes, {:?}",
        v.acts,
        v.changes,
        v.breaches.first()
    );
    assert_eq!(v.breaches.is_empty(), least == 0, "{:?}", v.breaches);
}
