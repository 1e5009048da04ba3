//! Guards against gateways that trust an endpoint list of any age. When discovery is unreachable for longer
//! than the time after which its updates count as known, such gateways go on sending attempts and load
//! requests to workers that began to drain just after the outage began. These workers refuse everything at
//! once, keep their rank for each function, and are chosen again, by one request several times within
//! milliseconds. The tests judge only what hosts and clients of real processes observed.
mod help;
mod outage;

use help::ms;
use outage::{Fleet, Reach, TellsDrain, DRAIN_GRACE, KNOWN_AFTER, SLACK};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const HOSTS: usize = 13;
/// So few that a host which restarts is overloaded by the load that it had before.
const FEW_HOSTS: usize = 5;
/// The time before the outage, and its last part, over which the served share is measured.
const QUIET: Duration = ms(6_000);
const MEASURED: Duration = ms(4_000);
/// Well beyond the time after which all updates count as known, plus the drain grace period.
const OUTAGE: Duration = ms(16_000);
/// After the drain grace period at least this part of the share served before the outage is served: the
/// remaining workers suffice.
const SERVED: f64 = 0.8;

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Plays an outage in which these hosts start to drain this long after its beginning; `meanwhile` runs after
/// that.
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
    // The gateways reach the board again and apply its notices.
    sleep_until(outage + OUTAGE + ms(4_000));
    fleet.finish();
    (fleet, outage)
}

/// Asserts that nothing was sent to draining workers and that requests are served.
fn assert_drained_and_served(fleet: &Fleet, outage: Instant, killed: &[usize]) {
    let broken = fleet.sent_after_drain(outage + KNOWN_AFTER);
    let before = fleet.served(outage - MEASURED, outage);
    let past = outage + KNOWN_AFTER + DRAIN_GRACE + SLACK;
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
fn workers_that_drain_while_discovery_is_unreachable_get_nothing_new() {
    let (fleet, outage) = play(
        (101, HOSTS),
        TellsDrain::ByHealthCheck,
        Reach::Refuses,
        (ms(1_400), &[3, 7]),
        |_, _| {},
    );
    assert_drained_and_served(&fleet, outage, &[]);
}

#[test]
fn a_discovery_server_that_accepts_and_never_responds_is_unreachable() {
    let (fleet, outage) = play(
        (102, HOSTS),
        TellsDrain::ByQuery,
        Reach::Silent,
        (ms(1_400), &[3, 7]),
        |_, _| {},
    );
    assert_drained_and_served(&fleet, outage, &[]);
}

#[test]
fn an_incomplete_response_is_not_an_update() {
    let (fleet, outage) = play(
        (103, HOSTS),
        TellsDrain::ByHealthCheck,
        Reach::Trickles,
        (ms(1_400), &[3, 7]),
        |_, _| {},
    );
    assert_drained_and_served(&fleet, outage, &[]);
}

/// The drain begins long after the last list has expired: its grace period counts from its own beginning.
#[test]
fn workers_that_drain_late_in_an_outage_get_nothing_new() {
    let (fleet, outage) = play(
        (104, HOSTS),
        TellsDrain::ByQuery,
        Reach::Refuses,
        (ms(8_500), &[3, 7]),
        |_, _| {},
    );
    assert_drained_and_served(&fleet, outage, &[]);
}

#[test]
fn half_of_the_workers_drain_and_the_others_take_their_load() {
    let half = [0, 2, 4, 6, 8, 10];
    let (fleet, outage) = play(
        (105, HOSTS),
        TellsDrain::ByHealthCheck,
        Reach::Refuses,
        (ms(1_400), &half),
        |_, _| {},
    );
    assert_drained_and_served(&fleet, outage, &[]);
}

/// Unreachable updates count as known for restarts as well: a worker that restarts is in slow start.
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
    assert_drained_and_served(&fleet, outage, &[]);
    assert!(overloaded.is_empty(), "{overloaded:?}");
}

/// All connections break and none is established for a second: a network fault, which leaves the workers
/// unchanged.
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
    assert_drained_and_served(&fleet, outage, &[]);
}

/// A gateway that starts in an outage knows only the list of its configuration, and nothing of later changes.
#[test]
fn a_gateway_that_starts_in_an_outage_respects_the_age_of_its_list() {
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
    assert_drained_and_served(&fleet, outage, &[1]);
}

/// After SIGHUP, updates of the new address count as known after four seconds, whether it responds or not.
#[test]
fn a_reload_to_an_address_that_never_responds_begins_an_outage() {
    let silent: Vec<_> = (0..GATEWAYS).map(|_| help::free_listener(108)).collect();
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
    let known = outage + ms(4_000);
    let broken = fleet.sent_after_drain(known);
    let before = fleet.served(outage - MEASURED, outage);
    let after = fleet.served(known + DRAIN_GRACE + SLACK, outage + OUTAGE);
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
