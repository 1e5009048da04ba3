//! What a seed stands for: the fleet, its settings, and what goes wrong when. The plan is the same each time, the interleaving of
//! the processes is not.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;

/// Tenths of a millisecond in a second.
pub const SECOND: u64 = 10_000;

/// Groups of hosts that are listed at a time; a release replaces the oldest.
pub const LISTED_GROUPS: usize = 5;

/// Something that goes wrong, or a planned change.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The hosts of the group at this position of the list take everything and answer nothing, for so long.
    HostsHang(usize, u64),
    /// All connections of that group are reset.
    HostsReset(usize),
    /// That group closes its connections that have nothing open.
    HostsCloseIdle(usize),
    /// The oldest group drains and is gone a second later; a new one starts.
    Release,
    /// The board answers nothing for so long.
    BoardSilent(u64),
    /// The board can be reached and each of its answers comes late by the first span, for the second one.
    BoardSlow(u64, u64),
    /// All connections to the board are reset, and new ones as they come, for so long.
    BoardDrops(u64),
    /// All connections to the board are reset.
    BoardReset,
    /// The group at this position drains and stays up for so long, turning all work away; it is gone for so long, and comes back
    /// empty and cold.
    Drain(usize, u64, u64),
    /// Several new configurations in a row, each with SIGHUP; the last of them names the board that was there before.
    ReloadSeries(usize),
    /// SIGTERM to a gateway, and SIGHUP behind it, twice.
    RestartSeries(usize),
    /// A new configuration with another board's address, and SIGHUP.
    Reload(usize),
    /// SIGTERM to a gateway, SIGKILL as early as the page allows, and a start.
    Restart(usize),
    /// SIGKILL to a gateway, and a start.
    Kill(usize),
    /// A gateway stands still for so long (SIGSTOP, SIGCONT).
    Pause(usize, u64),
    /// The wall clock of all gateways is off by so many seconds from now on.
    ClockStep(i64),
    /// A client sends garbage to a gateway.
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
    /// Functions that are called, the first ones most often.
    pub functions: u64,
    /// Calls a second at each gateway.
    pub rate: u64,
    /// How long clients wait, in milliseconds.
    pub patience_ms: Range<u64>,
    /// Of 10,000 system calls so many fail or are cut short.
    pub call_failures: u64,
    /// Client connections to each gateway: many where a crowd comes.
    pub connections: usize,
    /// What the settings allow to be asked, and how hosts that drain answer it.
    pub drain_answers: DrainAnswers,
    /// How long calls are sent, in tenths of a millisecond.
    pub length: u64,
    /// The faults, by time.
    pub faults: Vec<(u64, Fault)>,
}

/// How hosts that drain answer what the drain rule exempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DrainAnswers {
    /// Health checks are allowed, and answered `no`.
    Unhealthy,
    /// Health checks are allowed and answered `yes`, queries for instances `refused`.
    QueryRefused,
    /// Health checks are not allowed.
    QueryRefusedOnly,
}

/// Client connections to a gateway; where a crowd comes, and so many times the calls.
const CONNECTIONS: usize = 6;
const CROWD_CONNECTIONS: usize = 30;
const CROWD_RATE: u64 = 5;

/// Faults a second in the mean: several at a time, as most last.
const FAULTS_A_SECOND: f64 = 1.5;

/// The kinds of plans about outages of discovery with their weights.
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

/// Faults a second beside an outage.
const FAULTS_IN_AN_OUTAGE: f64 = 0.7;

/// The kinds with their weights. Releases and restarts are what most of the rules are about.
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
    /// The plan of a seed for so many gateways and seconds.
    pub fn draw(seed: u64, gateways: usize, seconds: u64) -> Plan {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let length = seconds * SECOND;
        let patience_ms = match random.random_range(0..4) {
            0 => 20..120,
            1 => 100..500,
            _ => 400..2_000,
        };
        // In one of three plans nothing goes wrong for the first half.
        let quiet = if random.random_ratio(1, 3) {
            length / 2
        } else {
            SECOND
        };
        let mut faults = Vec::new();
        let count = ((length - quiet) as f64 / SECOND as f64 * FAULTS_A_SECOND) as usize;
        for _ in 0..count.max(1) {
            let at = random.random_range(quiet..length);
            faults.push((at, draw_fault(&mut random, &WEIGHTS, gateways)));
        }
        faults.sort_by_key(|(at, _)| *at);
        Plan {
            connections: CONNECTIONS,
            drain_answers: DrainAnswers::Unhealthy,
            seed,
            gateways,
            group_size: [10, 40, 640][random.random_range(0..3)],
            functions: [40, 2_000][random.random_range(0..2)],
            rate: random.random_range(10..80),
            patience_ms,
            call_failures: [0, 5, 30][random.random_range(0..3)],
            length,
            faults,
        }
    }

    /// The plan of a seed about a long outage of discovery: workers drain, leave and come back, and gateways restart in it. One in
    /// four has a crowd.
    pub fn draw_outage(seed: u64, gateways: usize, seconds: u64) -> Plan {
        let base = Plan::draw(seed, gateways, seconds);
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x0a7a6e);
        let length = base.length;
        let begins = random.random_range(SECOND..length / 4);
        let span = random.random_range(length / 3..length * 3 / 4);
        let outage = if random.random_bool(0.5) {
            Fault::BoardSilent(span)
        } else {
            Fault::BoardDrops(span)
        };
        let drains = Fault::Drain(0, random.random_range(length / 4..length), SECOND);
        let mut faults = vec![
            (begins, outage),
            (begins + random.random_range(0..3 * SECOND), drains),
        ];
        let count = (length as f64 / SECOND as f64 * FAULTS_IN_AN_OUTAGE) as usize;
        for _ in 0..count {
            let at = random.random_range(SECOND / 2..length);
            faults.push((at, draw_fault(&mut random, &OUTAGE_WEIGHTS, gateways)));
        }
        faults.sort_by_key(|(at, _)| *at);
        let has_crowd = seed % 4 == 3;
        Plan {
            faults,
            group_size: [2, 3, 10][random.random_range(0..3)],
            functions: 40,
            connections: if has_crowd {
                CROWD_CONNECTIONS
            } else {
                CONNECTIONS
            },
            rate: if has_crowd {
                CROWD_RATE * base.rate
            } else {
                base.rate
            },
            drain_answers: [
                DrainAnswers::Unhealthy,
                DrainAnswers::QueryRefused,
                DrainAnswers::QueryRefusedOnly,
            ][random.random_range(0..3)],
            ..base
        }
    }

    /// The longest deadline, in tenths of a millisecond.
    pub fn longest_deadline(&self) -> u64 {
        self.patience_ms.end * 10
    }
}

fn draw_fault(random: &mut ChaCha8Rng, weights: &[(u32, Kind)], gateways: usize) -> Fault {
    let total: u32 = weights.iter().map(|(weight, _)| weight).sum();
    let mut drawn = random.random_range(0..total);
    let kind = weights.iter().find(|(weight, _)| {
        let found = drawn < *weight;
        drawn = drawn.saturating_sub(*weight);
        found
    });
    let group = random.random_range(0..LISTED_GROUPS);
    let gateway = random.random_range(0..gateways);
    match kind.map_or(Kind::Release, |(_, kind)| *kind) {
        Kind::HostsHang => Fault::HostsHang(group, random.random_range(SECOND / 2..5 * SECOND)),
        Kind::HostsReset => Fault::HostsReset(group),
        Kind::HostsCloseIdle => Fault::HostsCloseIdle(group),
        Kind::Release => Fault::Release,
        Kind::BoardSilent => Fault::BoardSilent(random.random_range(SECOND..6 * SECOND)),
        Kind::BoardReset => Fault::BoardReset,
        Kind::Reload => Fault::Reload(gateway),
        Kind::Restart => Fault::Restart(gateway),
        Kind::Kill => Fault::Kill(gateway),
        Kind::Pause => Fault::Pause(gateway, random.random_range(SECOND / 50..SECOND / 4)),
        Kind::ClockStep => {
            let steps = [-3_600, -5, 5, 3_600];
            Fault::ClockStep(steps[random.random_range(0..steps.len())])
        }
        Kind::Garbage => Fault::Garbage(gateway),
        Kind::Drain => {
            let stays = random.random_range(4 * SECOND..16 * SECOND);
            Fault::Drain(group, stays, random.random_range(SECOND / 2..3 * SECOND))
        }
        Kind::BoardSlow => {
            let late_by = random.random_range(SECOND / 20..3 * SECOND);
            Fault::BoardSlow(late_by, random.random_range(3 * SECOND..12 * SECOND))
        }
        Kind::ReloadSeries => Fault::ReloadSeries(gateway),
        Kind::RestartSeries => Fault::RestartSeries(gateway),
    }
}
