//! Seen: with discovery out of reach for longer than the time after which its news counts as known, gateways went on sending
//! attempts and load requests to workers that had begun to drain just after the outage began.
//! How it came about: the workers turned everything away at once, kept their place in each function's order, and were chosen
//! again, by one request several times within milliseconds.
//! Cause: the last endpoint list held without end. Nothing that rests on it asked how old it was.
//! Proof: below, by what hosts and clients of real processes saw; each scenario broke on the text before the repair.
mod help;
mod outage;

use help::ms;
use outage::{Fleet, Reach, TellsDrain, DRAIN_GRACE, SLACK, TOLD_AFTER};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const HOSTS: usize = 13;
/// So few that one which comes back and gets what it got before is overloaded.
const FEW_HOSTS: usize = 5;
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
    (last, hosts): (u8, usize),
    tells: TellsDrain,
    reach: Reach,
    (drains_after, drained): (Duration, &[usize]),
    meanwhile: impl FnOnce(&mut Fleet, Instant),
) -> (Fleet, Instant) {
    let mut fleet = Fleet::start(last, GATEWAYS, hosts, tells);
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
    let broken = fleet.sent_after_drain(outage + TOLD_AFTER);
    let before = fleet.served(outage - MEASURED, outage);
    let past = outage + TOLD_AFTER + DRAIN_GRACE + SLACK;
    let after = fleet.served(past, outage + OUTAGE);
    let back = fleet.served(outage + OUTAGE + ms(1_500), outage + OUTAGE + ms(4_000));
    let count = broken.len();
    let shown: Vec<&String> = broken.iter().take(5).collect();
    println!("{count} sent after the grace; served {before:.2}, {after:.2}, {back:.2}");
    println!("before: {:#?}", fleet.answers(outage - MEASURED, outage));
    println!(
        "past the grace: {:#?}",
        fleet.answers(past, outage + OUTAGE)
    );
    println!("logs: {:#?}", fleet.log_lines());
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
        (101, HOSTS),
        TellsDrain::ByHealthCheck,
        Reach::Refuses,
        (ms(1_400), &[3, 7]),
        |_, _| {},
    );
    judge(&fleet, outage, &[]);
}

#[test]
fn a_discovery_server_that_accepts_and_says_nothing_is_out_of_reach() {
    let (fleet, outage) = play(
        (102, HOSTS),
        TellsDrain::ByQuery,
        Reach::Silent,
        (ms(1_400), &[3, 7]),
        |_, _| {},
    );
    judge(&fleet, outage, &[]);
}

#[test]
fn half_a_response_is_no_news() {
    let (fleet, outage) = play(
        (103, HOSTS),
        TellsDrain::ByHealthCheck,
        Reach::Trickles,
        (ms(1_400), &[3, 7]),
        |_, _| {},
    );
    judge(&fleet, outage, &[]);
}

/// The drain begins when the last list is long past its time: it counts from its own beginning.
#[test]
fn workers_that_drain_late_in_an_outage_get_nothing_new() {
    let (fleet, outage) = play(
        (104, HOSTS),
        TellsDrain::ByQuery,
        Reach::Refuses,
        (ms(8_500), &[3, 7]),
        |_, _| {},
    );
    judge(&fleet, outage, &[]);
}

#[test]
fn half_of_the_workers_drain_and_the_others_take_their_work() {
    let half = [0, 2, 4, 6, 8, 10];
    let (fleet, outage) = play(
        (105, HOSTS),
        TellsDrain::ByHealthCheck,
        Reach::Refuses,
        (ms(1_400), &half),
        |_, _| {},
    );
    judge(&fleet, outage, &[]);
}

/// What the list would tell counts as known for starts too: a worker that comes back is cold.
#[test]
fn workers_that_come_back_in_an_outage_have_their_slow_start() {
    let (fleet, outage) = play(
        (106, FEW_HOSTS),
        TellsDrain::ByHealthCheck,
        Reach::Refuses,
        (ms(1_400), &[3]),
        |fleet, outage| {
            sleep_until(outage + ms(4_500));
            fleet.hosts[3].leave();
            fleet.tell(&[3]);
            sleep_until(outage + ms(7_000));
            fleet.hosts[3].restart();
            fleet.tell(&[3]);
        },
    );
    let overloaded = fleet.overloaded();
    judge(&fleet, outage, &[]);
    assert!(overloaded.is_empty(), "{overloaded:?}");
}

/// All connections break and none comes about for a second: that is the network's fault, and the workers are as they were.
#[test]
fn a_network_that_fails_for_a_moment_in_an_outage_does_not_end_the_service() {
    let (fleet, outage) = play(
        (109, HOSTS),
        TellsDrain::ByHealthCheck,
        Reach::Refuses,
        (ms(1_400), &[3, 7]),
        |fleet, outage| {
            let stay = |index: &usize| ![3, 7].contains(index);
            sleep_until(outage + ms(5_000));
            let hosts: Vec<usize> = (0..HOSTS).filter(stay).collect();
            hosts.iter().for_each(|host| fleet.hosts[*host].leave());
            sleep_until(outage + ms(6_000));
            hosts.iter().for_each(|host| fleet.hosts[*host].rejoin());
        },
    );
    judge(&fleet, outage, &[]);
}

/// A gateway that starts in an outage knows the list of its configuration, and nothing of what became of it.
#[test]
fn a_gateway_that_starts_in_an_outage_takes_its_list_for_as_old_as_it_is() {
    let (fleet, outage) = play(
        (107, HOSTS),
        TellsDrain::ByHealthCheck,
        Reach::Refuses,
        (ms(1_400), &[3, 7]),
        |fleet, outage| {
            sleep_until(outage + ms(9_500));
            fleet.restart_gateway(1);
        },
    );
    judge(&fleet, outage, &[1]);
}

/// After SIGHUP the news of the new address counts as known in four seconds, whether it answers or not.
#[test]
fn a_reload_to_an_address_that_never_answers_begins_an_outage() {
    let silent: Vec<_> = (0..GATEWAYS).map(|_| help::free(108)).collect();
    let mut fleet = Fleet::start(108, GATEWAYS, HOSTS, TellsDrain::ByHealthCheck);
    let began = Instant::now() + QUIET;
    sleep_until(began);
    let outage = Instant::now();
    for (gateway, board) in silent.iter().enumerate() {
        fleet.configure(gateway, board.local_addr().unwrap());
        fleet.gateways[gateway].signal(libc::SIGHUP);
    }
    sleep_until(outage + ms(1_400));
    fleet.drain(&[3, 7]);
    sleep_until(outage + OUTAGE);
    fleet.finish();
    let told = outage + ms(4_000);
    let broken = fleet.sent_after_drain(told);
    let before = fleet.served(outage - MEASURED, outage);
    let after = fleet.served(told + DRAIN_GRACE + SLACK, outage + OUTAGE);
    println!(
        "{} sent after the grace; served {before:.2}, {after:.2}",
        broken.len()
    );
    assert!(broken.is_empty(), "{}: {:#?}", broken.len(), broken.first());
    assert!(
        after > SERVED * before,
        "served {before:.2} before, {after:.2} past the grace"
    );
    assert!(fleet.lost(&[]).is_empty());
}
