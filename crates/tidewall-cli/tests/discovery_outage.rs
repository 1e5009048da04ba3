//! Seen: with discovery out of reach for longer than the time after which its news counts as known, gateways went on sending
//! attempts and load requests to workers that had begun to drain just after the outage began.
//! How it came about: the workers turned everything away at once, kept their place in each function's order, and were chosen
//! again, by one request several times within milliseconds.
//! Cause: the last endpoint list held without end. Nothing that rests on it asked how old it was.
//! Proof: below, by what hosts and clients of real processes saw; each scenario broke on the text before the repair.
mod help;
#[path = "help/outage.rs"]
mod outage;

use help::ms;
use outage::{Fleet, Reach, TellsDrain, DRAIN_GRACE, SLACK, TOLD_AFTER};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const HOSTS: usize = 13;
/// Before the outage, and the part of it over which the share that is served is measured.
const QUIET: Duration = ms(6_000);
const MEASURED: Duration = ms(4_000);
/// Well past the time by which everything counts as known, and the grace.
const OUTAGE: Duration = ms(16_000);
/// Of the share that was served before the outage, so much is served past the grace: the workers that stay suffice.
const SERVED: f64 = 0.8;

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Plays an outage in which these hosts drain so long after its beginning; `meanwhile` is played after them.
fn play(
    last: u8,
    tells: TellsDrain,
    reach: Reach,
    (drains_after, drained): (Duration, &[usize]),
    meanwhile: impl FnOnce(&mut Fleet, Instant),
) -> (Fleet, Instant) {
    let mut fleet = Fleet::start(last, GATEWAYS, HOSTS, tells);
    let began = Instant::now() + QUIET;
    sleep_until(began);
    let outage = Instant::now();
    fleet.reach(reach);
    sleep_until(outage + drains_after);
    fleet.drain(drained);
    meanwhile(&mut fleet, outage);
    sleep_until(outage + OUTAGE);
    fleet.reach(Reach::Answers);
    // The board is found again, and what it tells is taken in.
    sleep_until(outage + OUTAGE + ms(4_000));
    fleet.finish();
    (fleet, outage)
}

/// The drain rule holds, and the service goes on.
fn judge(fleet: &Fleet, outage: Instant, killed: &[usize]) {
    let broken = fleet.sent_after_drain(outage);
    let before = fleet.served(outage - MEASURED, outage);
    let past = outage + TOLD_AFTER + DRAIN_GRACE + SLACK;
    let after = fleet.served(past, outage + OUTAGE);
    let back = fleet.served(outage + OUTAGE + ms(1_500), outage + OUTAGE + ms(4_000));
    let count = broken.len();
    let shown: Vec<&String> = broken.iter().take(5).collect();
    println!("{count} sent after the grace; served {before:.2}, {after:.2}, {back:.2}");
    assert!(
        broken.is_empty(),
        "{count} sent after the grace, served {before:.2} before, {after:.2} past it: {shown:#?}"
    );
    assert!(before > 0.9, "served {before:.2} before the outage");
    assert!(
        after > SERVED * before,
        "served {before:.2} before, {after:.2} past the grace"
    );
    assert!(
        back > SERVED * before,
        "served {before:.2} before, {back:.2} after the outage"
    );
    let lost = fleet.lost(killed);
    assert!(
        lost.is_empty(),
        "{} lost: {:#?}",
        lost.len(),
        &lost[..lost.len().min(5)]
    );
}

#[test]
fn workers_that_drain_while_discovery_is_out_of_reach_get_nothing_new() {
    let (fleet, outage) = play(
        101,
        TellsDrain::ByHealthCheck,
        Reach::Refuses,
        (ms(1_400), &[3, 7]),
        |_, _| {},
    );
    judge(&fleet, outage, &[]);
}
