//! The plan of a seed: the fleet, its settings, and the faults with their times. The plan of a seed is always
//! the same, the interleaving of the processes is not.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;

/// Tenths of a millisecond in a second.
pub const SECOND: u64 = 10_000;

/// The number of host groups that discovery lists at a time; a release replaces the oldest.
pub const LISTED_GROUPS: usize = 5;

/// A fault or a planned change. Spans are in tenths of a millisecond.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The hosts of the active group at this position accept all input and answer nothing, for this span.
    HostsHang(usize, u64),
    /// All connections to the hosts of the group are reset.
    HostsReset(usize),
    /// The hosts of the group close their connections that have no pending answers.
    HostsCloseIdle(usize),
    /// The oldest group drains, and is removed 3 s after that counts as known to the gateways; a new one
    /// starts.
    Release,
    /// The discovery server answers nothing for this span.
    BoardSilent(u64),
    /// The discovery server is reachable, but each of its answers is delayed by the first span, for the
    /// duration of the second.
    BoardSlow(u64, u64),
    /// All connections to the discovery server are reset, and each new one as well, for this span.
    BoardDrops(u64),
    /// All connections to the discovery server are reset once.
    BoardReset,
    /// The group at this position drains and refuses all work for the first span; it is removed for the
    /// second span, and then comes back without loaded instances.
    Drain(usize, u64, u64),
    /// Four reloads of a gateway within half a second, each with SIGHUP; the last one names the original
    /// discovery server.
    ReloadSeries(usize),
    /// SIGTERM to a gateway, followed by SIGHUP twice.
    RestartSeries(usize),
    /// A new configuration with the address of another discovery server, and SIGHUP.
    Reload(usize),
    /// SIGTERM to a gateway, SIGKILL as early as the platform's specification allows, and a start.
    Restart(usize),
    /// SIGKILL to a gateway, and a start afterwards.
    Kill(usize),
    /// A gateway is paused for this span (SIGSTOP, SIGCONT).
    Pause(usize, u64),
    /// The wall clocks of all gateways are off by this many seconds from then on.
    ClockStep(i64),
    /// A client sends malformed input to a gateway.
    Garbage(usize),
}

/// A plan: the fleet and the faults with their times.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Gateways.
    pub gateways: usize,
    /// Hosts in a group.
    pub group_size: usize,
    /// The number of functions that are called, the first ones most often.
    pub functions: u64,
    /// Calls a second at each gateway.
    pub rate: u64,
    /// How long clients wait, in milliseconds.
    pub patience_ms: Range<u64>,
    /// How many of 10,000 system calls fail or are cut short.
    pub call_failures: u64,
    /// Client connections to each gateway: more in plans with a load peak.
    pub connections: usize,
    /// Which queries the settings allow, and how draining hosts answer them.
    pub drain_answers: DrainAnswers,
    /// How long calls are sent, in tenths of a millisecond.
    pub length: u64,
    /// The faults, by time.
    pub faults: Vec<(u64, Fault)>,
}

/// How draining hosts answer the queries that the drain rule exempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DrainAnswers {
    /// Health checks are allowed, and answered `no`.
    Unhealthy,
    /// Health checks are allowed and answered `yes`, queries for instances `refused`.
    QueryRefused,
    /// Health checks are not allowed.
    QueryRefusedOnly,
}

/// Client connections to a gateway without and with a load peak, and the factor on the call rate in a peak.
const CONNECTIONS: usize = 6;
const PEAK_CONNECTIONS: usize = 30;
const PEAK_RATE_FACTOR: u64 = 5;

/// The mean number of faults per second; as most faults last, several overlap.
const FAULTS_PER_SECOND: f64 = 1.5;

/// The weights of the fault kinds in plans about outages of discovery.
const OUTAGE_WEIGHTS: [(u32, Kind); 10] = [
    (1, Kind::BoardSlow),
    (4, Kind::Drain),
    (2, Kind::Restart),
    (2, Kind::RestartSeries),
    (2, Kind::ReloadSeries),
    (1, Kind::Kill),
    (1, Kind::Pause),
    (1, Kind::HostsReset),
    (1, Kind::HostsCloseIdle),
    (1, Kind::ClockStep),
];

/// The mean number of further faults per second in a plan about an outage.
const OUTAGE_FAULTS_PER_SECOND: f64 = 0.7;

/// The weights of the fault kinds. Releases and restarts weigh most, as most of the rules concern them.
const WEIGHTS: [(u32, Kind); 12] = [
    (2, Kind::HostsHang),
    (2, Kind::HostsReset),
    (1, Kind::HostsCloseIdle),
    (4, Kind::Release),
    (2, Kind::BoardSilent),
    (1, Kind::BoardReset),
    (2, Kind::Reload),
    (3, Kind::Restart),
    (1, Kind::Kill),
    (2, Kind::Pause),
    (2, Kind::ClockStep),
    (1, Kind::Garbage),
];

#[derive(Clone, Copy)]
enum Kind {
    HostsHang,
    HostsReset,
    HostsCloseIdle,
    Release,
    BoardSilent,
    BoardReset,
    Reload,
    Restart,
    Kill,
    Pause,
    ClockStep,
    Garbage,
    Drain,
    ReloadSeries,
    RestartSeries,
    BoardSlow,
}

impl Plan {
    /// Draws the plan of a seed for this number of gateways and seconds.
    pub fn draw(seed: u64, gateways: usize, seconds: u64) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let length = seconds * SECOND;
        let patience_ms = match rng.random_range(0..4) {
            0 => 20..120,
            1 => 100..500,
            _ => 400..2_000,
        };
        // In one of three plans there are no faults in the first half.
        let quiet_until = if rng.random_ratio(1, 3) {
            length / 2
        } else {
            SECOND
        };
        let mut faults = Vec::new();
        let count = ((length - quiet_until) as f64 / SECOND as f64 * FAULTS_PER_SECOND) as usize;
        for _ in 0..count.max(1) {
            let at = rng.random_range(quiet_until..length);
            faults.push((at, draw_fault(&mut rng, &WEIGHTS, gateways)));
        }
        faults.sort_by_key(|(at, _)| *at);
        Plan {
            connections: CONNECTIONS,
            drain_answers: DrainAnswers::Unhealthy,
            seed,
            gateways,
            group_size: [10, 40, 640][rng.random_range(0..3)],
            functions: [40, 2_000][rng.random_range(0..2)],
            rate: rng.random_range(10..80),
            patience_ms,
            call_failures: [0, 5, 30][rng.random_range(0..3)],
            length,
            faults,
        }
    }

    /// Draws the plan of a seed about a long outage of discovery, during which workers drain, leave and come
    /// back, and gateways restart. One in four plans has a load peak.
    pub fn draw_outage(seed: u64, gateways: usize, seconds: u64) -> Plan {
        let base = Plan::draw(seed, gateways, seconds);
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x0a7a6e);
        let length = base.length;
        let outage_start = rng.random_range(SECOND..length / 4);
        let span = rng.random_range(length / 3..length * 3 / 4);
        let outage = if rng.random_bool(0.5) {
            Fault::BoardSilent(span)
        } else {
            Fault::BoardDrops(span)
        };
        let drains = Fault::Drain(0, rng.random_range(length / 4..length), SECOND);
        let mut faults = vec![
            (outage_start, outage),
            (outage_start + rng.random_range(0..3 * SECOND), drains),
        ];
        let count = (length as f64 / SECOND as f64 * OUTAGE_FAULTS_PER_SECOND) as usize;
        for _ in 0..count {
            let at = rng.random_range(SECOND / 2..length);
            faults.push((at, draw_fault(&mut rng, &OUTAGE_WEIGHTS, gateways)));
        }
        faults.sort_by_key(|(at, _)| *at);
        let has_peak = seed % 4 == 3;
        Plan {
            faults,
            group_size: [2, 3, 10][rng.random_range(0..3)],
            functions: 40,
            connections: if has_peak {
                PEAK_CONNECTIONS
            } else {
                CONNECTIONS
            },
            rate: if has_peak {
                PEAK_RATE_FACTOR * base.rate
            } else {
                base.rate
            },
            drain_answers: [
                DrainAnswers::Unhealthy,
                DrainAnswers::QueryRefused,
                DrainAnswers::QueryRefusedOnly,
            ][rng.random_range(0..3)],
            ..base
        }
    }

    /// The longest deadline, in tenths of a millisecond.
    pub fn longest_deadline(&self) -> u64 {
        self.patience_ms.end * 10
    }
}

fn draw_fault(rng: &mut ChaCha8Rng, weights: &[(u32, Kind)], gateways: usize) -> Fault {
    let total: u32 = weights.iter().map(|(weight, _)| weight).sum();
    let mut drawn = rng.random_range(0..total);
    let kind = weights.iter().find(|(weight, _)| {
        let found = drawn < *weight;
        drawn = drawn.saturating_sub(*weight);
        found
    });
    let group = rng.random_range(0..LISTED_GROUPS);
    let gateway = rng.random_range(0..gateways);
    match kind.map_or(Kind::Release, |(_, kind)| *kind) {
        Kind::HostsHang => Fault::HostsHang(group, rng.random_range(SECOND / 2..5 * SECOND)),
        Kind::HostsReset => Fault::HostsReset(group),
        Kind::HostsCloseIdle => Fault::HostsCloseIdle(group),
        Kind::Release => Fault::Release,
        Kind::BoardSilent => Fault::BoardSilent(rng.random_range(SECOND..6 * SECOND)),
        Kind::BoardReset => Fault::BoardReset,
        Kind::Reload => Fault::Reload(gateway),
        Kind::Restart => Fault::Restart(gateway),
        Kind::Kill => Fault::Kill(gateway),
        Kind::Pause => Fault::Pause(gateway, rng.random_range(SECOND / 50..SECOND / 4)),
        Kind::ClockStep => {
            let steps = [-3_600, -5, 5, 3_600];
            Fault::ClockStep(steps[rng.random_range(0..steps.len())])
        }
        Kind::Garbage => Fault::Garbage(gateway),
        Kind::Drain => {
            let stays = rng.random_range(4 * SECOND..16 * SECOND);
            Fault::Drain(group, stays, rng.random_range(SECOND / 2..3 * SECOND))
        }
        Kind::BoardSlow => {
            let late_by = rng.random_range(SECOND / 20..3 * SECOND);
            Fault::BoardSlow(late_by, rng.random_range(3 * SECOND..12 * SECOND))
        }
        Kind::ReloadSeries => Fault::ReloadSeries(gateway),
        Kind::RestartSeries => Fault::RestartSeries(gateway),
    }
}
