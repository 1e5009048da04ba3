//! Leases of several gateways on the virtual clock: equal runs for equal seeds, no broken rule under drawn faults, detection of
//! each omitted safeguard, mutation of single messages, and network load.
use test_case::test_case;
use tidewall_sim::fleet::{cost, run, shrink, Fault, OmittedSafeguard, Setup};
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
fn drawn_faults_break_no_rule() {
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

/// The seeds were found by `sim --fleet --left-out`.
#[test_case(OmittedSafeguard::Forgets, 399)]
#[test_case(OmittedSafeguard::NotShortened, 46)]
#[test_case(OmittedSafeguard::NoEpochs, 7)]
#[test_case(OmittedSafeguard::FromAnswer, 498)]
#[test_case(OmittedSafeguard::TwoVotes, 88)]
fn an_omitted_safeguard_is_detected(omitted: OmittedSafeguard, seed: u64) {
    assert!(run(Setup::new(seed)).breaches.is_empty());
    assert!(!run(Setup {
        omitted,
        ..Setup::new(seed)
    })
    .breaches
    .is_empty());
}

#[test]
fn a_failing_run_shrinks() {
    let setup = Setup {
        omitted: OmittedSafeguard::NoEpochs,
        ..Setup::new(7)
    };
    let whole = run(setup.clone()).faults.len();
    let reduced = shrink(&setup).expect("it breaks a rule");
    assert!(reduced.faults.len() <= whole && !reduced.breaches.is_empty());
    assert!(shrink(&Setup::new(7)).is_none());
}

/// Guards against a member on a slow link that never renews its lease: with a latency above the retry interval each retry used to
/// invalidate the request before it, so no reply counted.
#[test]
fn a_member_on_a_slow_link_keeps_its_leases() {
    let path = tidewall_net::memory::Path {
        delay: 2_500,
        ..Default::default()
    };
    let faults = vec![(
        30_000,
        Fault::SlowOf {
            member: 4,
            path,
            lasts: 300_000,
        },
    )];
    let setup = Setup {
        faults: Some(faults),
        clocks_beyond_bound: Some(false),
        seconds: 10.0,
        rate: 0.0,
        ..Setup::new(3)
    };
    let report = run(setup);
    assert_eq!(report.breaches, Vec::<String>::new());
    assert!(report.acts > 500);
}

/// Every mutation of one in forty messages of the smallest run; `sim --fleet --mutate` runs all of them.
#[test]
fn no_changed_message_breaks_a_rule() {
    let table = mutate::exhaustive(&Setup::smallest(0), 3, 40);
    assert!(table.runs > 200, "{}", table.runs);
    assert_eq!(
        table.broken.iter().map(|b| &b.3).collect::<Vec<_>>(),
        Vec::<&String>::new()
    );
    let occurred = |o: Outcome| table.counts.values().any(|c| c[o as usize] > 0);
    assert!(
        occurred(Outcome::NoDifference)
            && occurred(Outcome::Refused)
            && occurred(Outcome::SafeStop)
            && occurred(Outcome::Later)
    );
}

/// Guards against a lease that nobody can ever hold again: a message with the greatest ballot count used up all ballots at once.
/// Found by the mutation that sets a field to its greatest value.
#[test]
fn a_ballot_far_ahead_is_not_granted() {
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
fn datagrams_stay_within_their_bound() {
    let c = cost(3, 100);
    // Expected: for 100 leases, four renewal requests in 4.5 s to each of two others, about 14 requests per datagram; pings; replies.
    assert!(c.datagrams.1 < 60.0 && c.bytes.1 < 10_000.0, "{c:?}");
    // After a drain the tasks are idle for a few round trips, after a kill until the lease has expired.
    assert!(
        c.after_drain < 5_000 && c.after_kill < 120_000 && c.after_drain < c.after_kill,
        "{c:?}"
    );
}

/// Guards against slow detection of a dead member by members that are no grantors: gossip was sent along with renewals, so it went
/// to the grantors again and again. The others detected a dead member only by their own pings, and with 30 members its tasks were
/// idle for up to 15 s.
#[test]
fn members_that_are_no_grantors_soon_detect_a_dead_member() {
    let c = cost(30, 300);
    assert!(c.after_kill < 100_000, "{c:?}");
}

/// Prints the network load and idle times as a table. Takes minutes: `cargo test --release -p tidewall-sim --test fleet -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn print_costs() {
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
