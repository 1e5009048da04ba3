//! Several processes of the shipped program with faults between them: a lease never has two holders with
//! effects at once, and each lease is held again afterwards.
use test_case::test_case;
use tidewall_fault_tests::relay::Link;
use tidewall_fault_tests::trial::{run_trial, Setup, Step, LEASE_TERM_MS, MEMBERS};

const CUT: Link = Link {
    cut: true,
    loss_per_mille: 0,
    duplicate_per_mille: 0,
    delay: 0,
    jitter: 0,
};
const LOSSY: Link = Link {
    cut: false,
    loss_per_mille: 150,
    duplicate_per_mille: 150,
    delay: 100,
    jitter: 600,
};
const SLOW: Link = Link {
    cut: false,
    loss_per_mille: 0,
    duplicate_per_mille: 0,
    delay: 1_500,
    jitter: 1_000,
};

fn cut_both_ways(side: &[usize]) -> Step {
    Step::Cut(side.to_vec(), true, true)
}

fn flapping(side: &[usize]) -> Vec<(u64, Step)> {
    (0..6)
        .flat_map(|i| {
            [
                (i * 900, cut_both_ways(side)),
                (i * 900 + 450, Step::ClearFaults),
            ]
        })
        .collect()
}

fn on_all_members(step: fn(usize) -> Step, at: u64) -> Vec<(u64, Step)> {
    (0..MEMBERS).map(|m| (at, step(m))).collect()
}

/// Each member in turn is terminated and starts again.
fn rolling_restart() -> Vec<(u64, Step)> {
    (0..MEMBERS as u64)
        .map(|m| (m * 1_500, Step::Terminate(m as usize)))
        .collect()
}

#[test_case(1, 2_000, vec![] ; "nothing")]
#[test_case(2, 6_000, vec![(0, Step::Kill(3)), (100, Step::Kill(1)), (3_000, Step::Start(3)), (3_000, Step::Start(1))] ; "a killed member and a killed grantor restart without state")]
#[test_case(3, 9_000, vec![(0, cut_both_ways(&[3, 4])), (6_000, Step::ClearFaults)] ; "two members cut off from all grantors")]
#[test_case(4, 9_000, vec![(0, cut_both_ways(&[0, 3])), (6_000, Step::ClearFaults)] ; "a minority with one grantor")]
#[test_case(5, 9_000, vec![(0, cut_both_ways(&[0, 1, 3])), (6_000, Step::ClearFaults)] ; "a majority of grantors on one side")]
#[test_case(6, 8_000, vec![(0, Step::Cut(vec![4], true, false)), (5_000, Step::ClearFaults)] ; "one way, out")]
#[test_case(7, 8_000, vec![(0, Step::Cut(vec![4], false, true)), (5_000, Step::ClearFaults)] ; "one way, in")]
#[test_case(8, 7_000, flapping(&[2, 4]) ; "flapping")]
#[test_case(9, 7_000, vec![(0, Step::Links(LOSSY)), (6_000, Step::ClearFaults)] ; "lost, doubled, reordered")]
#[test_case(10, 7_000, vec![(0, Step::Links(SLOW)), (6_000, Step::ClearFaults)] ; "slow links")]
#[test_case(11, 7_000, vec![(0, Step::Pause(3)), (0, Step::Pause(1)), (LEASE_TERM_MS + 1_000, Step::Resume(3)), (LEASE_TERM_MS + 1_200, Step::Resume(1))] ; "paused past a term")]
#[test_case(12, 6_000, [on_all_members(Step::Kill, 0), on_all_members(Step::Start, 300)].concat() ; "all killed at once")]
#[test_case(13, 12_000, rolling_restart() ; "rolling")]
#[test_case(14, 5_000, vec![(0, Step::EffectLinks(3, SLOW)), (0, Step::EffectLinks(4, CUT)), (1_000, Step::ResetConnections(0)), (3_500, Step::ClearFaults)] ; "effects slow, cut and reset")]
fn leases_have_one_holder_and_are_all_held_again(
    seed: u64,
    min_duration_ms: u64,
    script: Vec<(u64, Step)>,
) {
    let terminations = script
        .iter()
        .filter(|s| matches!(s.1, Step::Terminate(_)))
        .count();
    let v = run_trial(Setup::new(seed, min_duration_ms, script));
    assert!(
        v.crossed_shutdown <= terminations,
        "{} requests crossed the shutdowns of {terminations} gateways",
        v.crossed_shutdown
    );
    println!(
        "{} acts, {} changes, {} events, {} datagrams",
        v.effects, v.holder_changes, v.requests, v.datagrams
    );
    assert_eq!(
        (v.breaches.as_slice(), v.held_leases),
        (&[][..], tidewall_fault_tests::trial::LEASES)
    );
    assert!(v.effects > 100 && v.requests > 0 && v.datagrams > 100);
}

#[test]
fn a_channel_of_capacity_one_loses_no_lease() {
    let script = vec![
        (0, Step::Terminate(4)),
        (2_000, Step::Kill(3)),
        (2_500, Step::Start(3)),
    ];
    let v = run_trial(Setup {
        channel_capacity: 1,
        ..Setup::new(20, 6_000, script)
    });
    assert!(v.crossed_shutdown <= 1);
    assert_eq!(
        (v.breaches.as_slice(), v.held_leases),
        (&[][..], tidewall_fault_tests::trial::LEASES)
    );
}

/// The holder's clock is slow and those of the other members, the grantors among them, are fast, all by the
/// configured bound.
const CLOCKS_AT_BOUND: [i64; MEMBERS] = [100_000, 100_000, 100_000, -100_000, 100_000];
/// The holder's clock is slow by five times the configured bound.
const CLOCK_BEYOND_BOUND: [i64; MEMBERS] = [0, 0, 0, -500_000, 0];

/// Two of three grantors are killed and started again together, while the holder is cut off from all members.
fn restart_grantors() -> Vec<(u64, Step)> {
    // Members 1 and 4, which stay up, claim the leases of the holder.
    let restarts = [
        (50, Step::Kill(0)),
        (50, Step::Kill(2)),
        (200, Step::Start(0)),
        (200, Step::Start(2)),
    ];
    std::iter::once((0, cut_both_ways(&[3])))
        .chain(restarts)
        .collect()
}

/// Answers to the holder are delayed; then its requests are cut, while the delayed answers still arrive.
fn delay_answers() -> Vec<(u64, Step)> {
    let slow = Link {
        delay: 11_000,
        ..Link::default()
    };
    vec![
        (0, Step::LinksTo(3, slow)),
        (3_000, Step::Cut(vec![3], true, false)),
        (4_700, cut_both_ways(&[3])),
    ]
}

/// The holder reaches only one grantor, and each datagram is duplicated.
fn duplicate_datagrams() -> Vec<(u64, Step)> {
    vec![
        (
            0,
            Step::Links(Link {
                duplicate_per_mille: 1_000,
                ..Link::default()
            }),
        ),
        (10, cut_both_ways(&[0, 3])),
    ]
}

#[test_case("nothing", 30, 0, restart_grantors(), [0; 5], false ; "grantors that are silent after a start")]
#[test_case("forgets", 31, 1, restart_grantors(), [0; 5], false ; "disabled: grantors that keep silent after a start")]
#[test_case("nothing", 32, 0, vec![(0, cut_both_ways(&[3]))], CLOCKS_AT_BOUND, false ; "a term shortened by the bound of clocks")]
#[test_case("not-shortened", 33, 1, vec![(0, cut_both_ways(&[3]))], CLOCKS_AT_BOUND, false ; "disabled: a term shortened by the bound of clocks")]
#[test_case("nothing", 34, 0, vec![(0, cut_both_ways(&[3]))], CLOCK_BEYOND_BOUND, true ; "a clock beyond its bound")]
#[test_case("no-epochs", 35, 1, vec![(0, cut_both_ways(&[3]))], CLOCK_BEYOND_BOUND, true ; "disabled: workers that check the epoch")]
#[test_case("nothing", 36, 0, delay_answers(), CLOCKS_AT_BOUND, false ; "a renewal counted from its request")]
#[test_case("from-answer", 37, 1, delay_answers(), CLOCKS_AT_BOUND, false ; "disabled: a renewal counted from its request")]
#[test_case("nothing", 38, 0, duplicate_datagrams(), [0; 5], false ; "a grantor counted once")]
#[test_case("two-votes", 39, 1, duplicate_datagrams(), [0; 5], false ; "disabled: a grantor counted once")]
fn a_disabled_safeguard_is_detected(
    disabled_safeguard: &'static str,
    seed: u64,
    min_breaches: usize,
    script: Vec<(u64, Step)>,
    clock_errors_ppm: [i64; 5],
    clocks_out_of_bounds: bool,
) {
    // With a double term members notice that the holder is missing while its leases still run.
    let term_ms = if min_breaches == 1 && disabled_safeguard == "forgets" {
        2 * LEASE_TERM_MS
    } else {
        LEASE_TERM_MS
    };
    let v = run_trial(Setup {
        disabled_safeguard,
        clock_errors_ppm,
        clocks_out_of_bounds,
        term_ms,
        ..Setup::new(seed, 3 * LEASE_TERM_MS, script)
    });
    println!(
        "{disabled_safeguard}: {} acts, {} changes, {:?}",
        v.effects,
        v.holder_changes,
        v.breaches.first()
    );
    assert_eq!(v.breaches.is_empty(), min_breaches == 0, "{:?}", v.breaches);
}
