//! Leases of several gateways on the virtual clock: the same every time, kept by the rules, and each guard that is left out is
//! noticed; one message changed at a time; what it costs.
use test_case::test_case;
use tidewall_sim::fleet::{cost, run, shrink, Fault, Plant, Setup};
use tidewall_sim::mutate::{self, Outcome};

#[test]
fn the_same_seed_gives_the_same_run() {
    let twice = || {
        run(Setup {
            keep: true,
            ..Setup::new(7)
        })
    };
    let (a, b) = (twice(), twice());
    assert_eq!(
        (a.digest, a.steps, a.acts, a.record),
        (b.digest, b.steps, b.acts, b.record)
    );
}

#[test]
fn drawn_troubles_break_no_rule() {
    let broken: Vec<_> = (0..40)
        .map(|seed| run(Setup::new(seed)))
        .filter(|r| !r.breaches.is_empty())
        .collect();
    assert!(
        broken.is_empty(),
        "{:?}",
        broken
            .iter()
            .map(|r| (r.seed, &r.breaches))
            .collect::<Vec<_>>()
    );
}

/// Seeds that show it, found by `sim --fleet --left-out`.
#[test_case(Plant::Forgets, 399)]
#[test_case(Plant::NotShortened, 46)]
#[test_case(Plant::NoEpochs, 7)]
#[test_case(Plant::FromAnswer, 498)]
#[test_case(Plant::TwoVotes, 88)]
fn a_guard_left_out_is_noticed(plant: Plant, seed: u64) {
    assert!(run(Setup::new(seed)).breaches.is_empty());
    assert!(!run(Setup {
        plant,
        ..Setup::new(seed)
    })
    .breaches
    .is_empty());
}

#[test]
fn a_failing_run_shrinks() {
    let setup = Setup {
        plant: Plant::NoEpochs,
        ..Setup::new(7)
    };
    let whole = run(setup.clone()).troubles.len();
    let left = shrink(&setup).expect("it breaks a rule");
    assert!(left.troubles.len() <= whole && !left.breaches.is_empty());
    assert!(shrink(&Setup::new(7)).is_none());
}

/// Kept from when it was found: a renewal on a link slower than its retry never counted, as each asking voided the last.
#[test]
fn a_slow_link_keeps_its_leases() {
    let path = tidewall_net::memory::Path {
        delay: 2_500,
        ..Default::default()
    };
    let troubles = vec![(
        30_000,
        Fault::SlowOf {
            member: 4,
            path,
            lasts: 300_000,
        },
    )];
    let setup = Setup {
        troubles: Some(troubles),
        wild: Some(false),
        seconds: 10.0,
        rate: 0.0,
        ..Setup::new(3)
    };
    let report = run(setup);
    assert_eq!(report.breaches, Vec::<String>::new());
    assert!(report.acts > 500);
}

/// One part in forty of the smallest run's messages, with every mutation; all of them are run by `sim --fleet --mutate`.
#[test]
fn no_changed_message_breaks_a_rule() {
    let table = mutate::exhaustive(&Setup::smallest(0), 3, 40);
    assert!(table.runs > 200, "{}", table.runs);
    assert_eq!(
        table.broken.iter().map(|b| &b.3).collect::<Vec<_>>(),
        Vec::<&String>::new()
    );
    let met = |o: Outcome| table.counts.values().any(|c| c[o as usize] > 0);
    assert!(
        met(Outcome::NoDifference)
            && met(Outcome::Refused)
            && met(Outcome::SafeStop)
            && met(Outcome::Later)
    );
}

/// A message that used up all ballots at once left its task to nobody for good (found by a count at its greatest).
#[test]
fn a_count_far_ahead_is_not_taken() {
    use tidewall_lease::ballot::{ballot, BALLOT_COUNT_LIMIT, MAX_BALLOT_JUMP};
    use tidewall_lease::grantor::{GrantorSlot, LeaseOwner};
    let owner = LeaseOwner {
        member: 1,
        incarnation: 7,
    };
    let mut slot = GrantorSlot::default();
    assert!(
        !slot
            .prepare(0, ballot(1, 7, BALLOT_COUNT_LIMIT - 1), owner)
            .granted
    );
    assert!(
        slot.prepare(0, ballot(1, 7, MAX_BALLOT_JUMP), owner)
            .granted
    );
    assert!(
        !slot
            .prepare(0, ballot(1, 7, 2 * MAX_BALLOT_JUMP + 1), owner)
            .granted
    );
}

#[test]
fn the_bound_on_datagrams_holds_and_renewals_are_few() {
    let c = cost(3, 100);
    // 100 leases, four askings in 4.5 s to two others each, some fourteen a datagram; pings; answers.
    assert!(c.datagrams.1 < 60.0 && c.bytes.1 < 10_000.0, "{c:?}");
    // One that goes in order leaves its tasks idle for some round trips, one that is lost for a term.
    assert!(
        c.after_drain < 5_000 && c.after_kill < 120_000 && c.after_drain < c.after_kill,
        "{c:?}"
    );
}

/// Rumours rode on renewals, and so went to the keepers again and again: others missed a lost member only when they pinged it
/// themselves, and its tasks stood idle for up to 15 s among 30.
#[test]
fn a_loss_is_soon_known_to_those_that_are_no_keepers() {
    let c = cost(30, 300);
    assert!(c.after_kill < 100_000, "{c:?}");
}

/// Takes minutes: `cargo test --release -p tidewall-sim --test fleet -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn costs() {
    for members in [3, 9, 30, 350] {
        for leases in [10, 1_000, 10_000] {
            let c = cost(members, leases);
            println!(
                "| {members} | {leases} | {:.1} / {:.1} | {:.0} / {:.0} | {:.1} | {:.2} | {:.2} |",
                c.datagrams.0,
                c.datagrams.1,
                c.bytes.0,
                c.bytes.1,
                c.after_start as f64 / 1e4,
                c.after_kill as f64 / 1e4,
                c.after_drain as f64 / 1e4
            );
        }
    }
}
