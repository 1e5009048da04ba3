//! Two gateways behind one address on the virtual clock: chosen faults, fixed seeds, and omitted safeguards.
mod help;

use help::*;
use test_case::test_case;
use tidewall_net::memory::Path;
use tidewall_net::Time;
use tidewall_sim::all;
use tidewall_sim::pair::{run, shrink, Fault, OmittedSafeguard, Report, Setup};

const MILLISECOND: Time = 10;

/// Active_Down_Interval (RFC 9568) of member b: three advertisement intervals of 100 ms and the skew of priority 100.
const ACTIVE_DOWN_INTERVAL: Time = 3 * 1_000 + 609;

#[test_case(vec![Fault::Cut { from: None, lasts: 10_000 }], 2 ; "both may believe that they are master after packet loss")]
#[test_case(vec![Fault::Cut { from: Some(0), lasts: 15_000 }], 2 ; "one-way loss from the master")]
#[test_case(vec![Fault::Cut { from: Some(1), lasts: 15_000 }], 2 ; "one-way loss to the master")]
#[test_case(vec![Fault::Kill { member: 0, back: Some(250 * MILLISECOND) }], 3 ; "a master that comes back during takeover")]
#[test_case(vec![Fault::Pause { member: 0, lasts: 2 * ACTIVE_DOWN_INTERVAL }], 3 ; "a master that resumes after twice the down interval and continues to send")]
#[test_case(vec![Fault::Slow { path: Path { delay: 600, jitter: 100, ..Path::default() }, lasts: 20_000 }], 2 ; "the link slower than the workers")]
#[test_case(vec![Fault::KillBoth { back: 500 * MILLISECOND }], 3 ; "both restart at once")]
#[test_case(vec![Fault::Flap { times: 5, every: 2_500 }], 3 ; "flapping every half second is damped")]
#[test_case(vec![Fault::Kill { member: 0, back: None }], 2 ; "the master dies and stays dead")]
#[test_case(vec![Fault::Kill { member: 1, back: Some(10_000) }], 1 ; "the backup dies and comes back")]
#[test_case(vec![Fault::Leave { member: 0, back: 8_000 }], 3 ; "handed over on drain and taken back")]
#[test_case(vec![Fault::Pause { member: 1, lasts: 2 * ACTIVE_DOWN_INTERVAL }], 1 ; "a backup that resumes does not take over")]
fn no_rule_is_broken_and_one_member_serves(faults: Vec<Fault>, max_takeovers: u64) {
    let mut run = run_with_faults(7, faults, 4.0);
    run.run_until(38_000);
    assert_eq!(
        (0..2).filter(|m| run.serves(*m)).count(),
        1,
        "exactly one member serves at the end"
    );
    let report = run.finish();
    assert_eq!(report.breaches, Vec::<String>::new());
    assert!(
        report.takeovers <= max_takeovers,
        "{} takeovers",
        report.takeovers
    );
    assert!(
        report.events > 300 && report.handled * 10 > report.events * 6,
        "{report:?}"
    );
}

/// Simulates step by step until the condition holds, and then kills the active member for good.
fn kill_when(seed: u64, condition: impl Fn(&tidewall_sim::pair::Run) -> bool) -> Report {
    let mut run = run_with_faults(seed, Vec::new(), 3.0);
    run.run_until(15_000 + seed * 37);
    assert!(run.serves(0));
    while !condition(&run) {
        assert!(run.step(25_000), "the condition is met in time");
    }
    run.kill(0, None);
    run.finish()
}

#[test_case(0 ; "seed 0")]
#[test_case(1 ; "seed 1")]
#[test_case(2 ; "seed 2")]
#[test_case(3 ; "seed 3")]
fn killed_between_replication_and_attempt(seed: u64) {
    // An attempt waits until its record has been replicated.
    let report = kill_when(seed, |run| run.member(0).unreplicated() > 0);
    assert_eq!(report.breaches, Vec::<String>::new());
    assert!(report.asked_again > 0);
}

#[test_case(0 ; "seed 0")]
#[test_case(1 ; "seed 1")]
#[test_case(2 ; "seed 2")]
#[test_case(3 ; "seed 3")]
fn killed_between_attempt_and_response(seed: u64) {
    let attempts_in_flight = |run: &tidewall_sim::pair::Run| {
        run.member(0).calls_in_flight() > 2 && run.member(0).unreplicated() == 0
    };
    let report = kill_when(seed, attempts_in_flight);
    assert_eq!(report.breaches, Vec::<String>::new());
    assert!(report.asked_again > 0);
}

#[test_case(0 ; "seed 0")]
#[test_case(1 ; "seed 1")]
#[test_case(2 ; "seed 2")]
#[test_case(3 ; "seed 3")]
fn killed_between_response_and_its_replication(seed: u64) {
    // A response waits until its record has been replicated: the request counts as completed before that.
    let last_completed = std::cell::Cell::new(None);
    let condition = |run: &tidewall_sim::pair::Run| {
        let now = run.member(0).counters().completed;
        let before = last_completed.replace(Some(now));
        before.is_some_and(|b| now > b) && run.member(0).unreplicated() > 0
    };
    let report = kill_when(seed, condition);
    assert_eq!(report.breaches, Vec::<String>::new());
}

#[test]
fn forged_and_replayed_advertisements_are_counted_and_ignored() {
    let faults = vec![Fault::Forged { member: 0 }, Fault::Forged { member: 1 }];
    let mut run = run_with_faults(3, faults, 3.0);
    run.run_until(24_000);
    assert_eq!(
        [
            run.member(0).rejected_advertisements(),
            run.member(1).rejected_advertisements()
        ],
        [3, 3]
    );
    assert!(run.serves(0) && !run.serves(1));
    let report = run.finish();
    assert_eq!((report.breaches.len(), report.takeovers), (0, 1));
}

#[test]
fn a_failing_seed_shrinks_to_fewer_faults() {
    let setup = Setup {
        omitted: OmittedSafeguard::NoCopies,
        ..Setup::new(0)
    };
    let whole = run(setup.clone());
    let reduced = shrink(&setup).expect("it breaks a rule");
    assert!(
        !reduced.breaches.is_empty() && reduced.faults.len() < whole.faults.len(),
        "{reduced:?}"
    );
    assert!(shrink(&Setup::new(0)).is_none());
}

#[test]
fn a_member_with_different_settings_does_not_serve() {
    let setup = Setup {
        disagree: true,
        faults: Some(Vec::new()),
        ..Setup::new(3)
    };
    let mut run = tidewall_sim::pair::Run::new(setup);
    run.run_until(20_000);
    assert!(run.serves(0) && !run.serves(1));
    let mismatch = run
        .member(1)
        .settings_mismatch()
        .expect("member b names the setting");
    assert_eq!(mismatch, "limits.max_launches = 4");
    run.kill(0, None);
    run.run_until(40_000);
    assert!(!run.serves(1));
}

#[test]
fn a_backup_that_was_down_for_a_minute_pairs_again_under_load() {
    let mut run = run_with_faults(
        5,
        vec![Fault::Kill {
            member: 1,
            back: Some(600_000),
        }],
        64.0,
    );
    run.run_until(619_000);
    assert_eq!(run.member(0).role().map(|s| s.text()), Some("solo"));
    run.run_until(625_000);
    assert_eq!(run.member(0).role().map(|s| s.text()), Some("paired"));
    run.kill(0, None);
    run.run_until(640_000);
    assert!(run.serves(1));
    let report = run.finish();
    assert_eq!(report.breaches, Vec::<String>::new());
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let both: Vec<(u64, u64)> = (0..2)
        .map(|_| run(Setup::new(11)))
        .map(|r| (r.digest, r.steps))
        .collect();
    assert_eq!(both[0], both[1]);
    assert_ne!(run(Setup::new(12)).digest, both[0].0);
}

/// Reports of the runs of these seeds that broke a rule.
fn failing(seeds: std::ops::Range<u64>, omitted: OmittedSafeguard) -> Vec<Report> {
    let reports = all(seeds, |seed| {
        run(Setup {
            omitted,
            ..Setup::new(seed)
        })
    });
    reports
        .into_iter()
        .filter(|r| !r.breaches.is_empty())
        .collect()
}

#[test]
fn two_hundred_fixed_seeds_break_no_rule() {
    let broken: Vec<(u64, Vec<String>)> = failing(0..200, OmittedSafeguard::Nothing)
        .into_iter()
        .map(|r| (r.seed, r.breaches))
        .collect();
    assert_eq!(broken, Vec::new());
}

#[test_case(OmittedSafeguard::NoFences, 99..100 ; "fencing off")]
#[test_case(OmittedSafeguard::NoCopies, 0..10 ; "replication off")]
#[test_case(OmittedSafeguard::Forgets, 10..30 ; "epochs granted again")]
fn the_audit_detects_omitted_safeguards(omitted: OmittedSafeguard, seeds: std::ops::Range<u64>) {
    assert!(failing(seeds.clone(), OmittedSafeguard::Nothing).is_empty());
    assert!(!failing(seeds, omitted).is_empty());
}

/// Guards against failures that depend on what is half done when the active member is killed (a record, a response, a promise,
/// an advertisement): kills it at every third of 720 consecutive steps.
#[test_case(0 ; "first steps")]
#[test_case(1 ; "next steps")]
#[test_case(2 ; "then")]
#[test_case(3 ; "last")]
fn killed_at_any_step(part: usize) {
    for at in 0..60 {
        let mut run = run_with_faults(31, Vec::new(), 2.0);
        run.run_until(15_000);
        for _ in 0..part * 180 + at * 3 {
            run.step(30_000);
        }
        run.kill(0, (at % 2 == 0).then_some(400));
        let report = run.finish();
        assert_eq!(
            report.breaches,
            Vec::<String>::new(),
            "at step {}",
            part * 180 + at * 3
        );
    }
}

/// Guards against a request that is never answered after a takeover: an adopted request that was answered while it was admitted
/// freed its slot for the next request before it was recorded. Its idempotency key then referred to that next request, and a
/// client that sent the adopted one again waited forever.
#[test]
fn an_adopted_request_that_ends_at_once_is_not_mistaken_for_the_next() {
    let report = run(Setup::new(23238));
    assert_eq!(report.breaches, Vec::<String>::new());
}
