//! The events allowed in one exploration, and the search over all their orders.
use crate::world::{Grantor, LatestEffect, Member, Message, Outbox, World, GRANTORS};
use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::fmt;
use std::hash::{BuildHasherDefault, Hash, Hasher};
use tidewall_lease::duration::usable_duration;
use tidewall_lease::lease::{Lease, LeaseConfig, LeaseState};
use tidewall_lease::{SafetyChecks, Time};

/// A tick of true time is 4 units of a slow clock and 6 of a fast one, which is a clock error bound of a
/// fifth.
const SLOW_RATE: Time = 4;
const FAST_RATE: Time = 6;
const CLOCK_ERROR_PPM: u64 = 200_000;
pub const LEASE_DURATION: Time = 24;
/// The age at which a worker rejects a permit, by its own clock.
pub const PERMIT_MAX_AGE: Time = 4;

/// How often each kind of event may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub restarts: u8,
    pub pauses: u8,
    pub effects: u8,
    pub duplicates: u8,
    pub renewals: u8,
    pub claims: u8,
    pub releases: u8,
}

pub const EMPTY_BUDGET: Budget = Budget {
    restarts: 0,
    pauses: 0,
    effects: 0,
    duplicates: 0,
    renewals: 0,
    claims: 0,
    releases: 0,
};

#[derive(Clone, Copy)]
pub struct Scenario {
    pub safety_checks: SafetyChecks,
    /// Whether the worker rejects effects of older epochs.
    pub worker_fences: bool,
    pub fast_member_clocks: [bool; 2],
    pub fast_grantor_clocks: bool,
    pub fast_worker_clock: bool,
    /// The first member's clock is slower than the error bound allows: it advances one unit in four ticks.
    pub first_clock_beyond_bound: bool,
    pub budget: Budget,
    pub members: usize,
    pub ticks: Time,
    /// Indexed by member: which grantors it reaches. Messages to other grantors are lost.
    pub reachable: [[bool; GRANTORS]; 2],
}

pub const ALL_SAFETY_CHECKS: SafetyChecks = SafetyChecks {
    silent_start: true,
    shortened_lease: true,
    counts_from_request: true,
    one_vote_per_grantor: true,
    replay_protection: true,
};

pub const ALL_REACHABLE: [[bool; GRANTORS]; 2] = [[true; GRANTORS]; 2];

/// A slow clock of the holder and fast clocks of the grantors are the worst case for a lease. The worker's
/// clock is the opposite of the grantors'.
pub const WORST_CLOCKS: Scenario = Scenario {
    safety_checks: ALL_SAFETY_CHECKS,
    worker_fences: true,
    fast_member_clocks: [false, true],
    fast_grantor_clocks: true,
    fast_worker_clock: false,
    first_clock_beyond_bound: false,
    budget: Budget {
        effects: 1,
        claims: 1,
        ..EMPTY_BUDGET
    },
    members: 2,
    ticks: 7,
    reachable: [[true, true, false], [false, true, true]],
};

/// The extent and the result of an exploration.
pub struct Exploration {
    states: usize,
    depth: usize,
    pub violation: Option<&'static str>,
}

impl fmt::Display for Exploration {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} states to depth {}", self.states, self.depth)
    }
}

fn rate(fast: bool) -> Time {
    if fast {
        FAST_RATE
    } else {
        SLOW_RATE
    }
}

impl Scenario {
    pub fn config(&self, member: usize, incarnation: u64) -> LeaseConfig {
        let usable_duration = if self.safety_checks.shortened_lease {
            usable_duration(LEASE_DURATION, CLOCK_ERROR_PPM, PERMIT_MAX_AGE)
        } else {
            LEASE_DURATION
        };
        LeaseConfig {
            member,
            incarnation,
            grantors: GRANTORS,
            usable_duration,
            retry: 1_000,
            offset: 0,
            safety_checks: self.safety_checks,
        }
    }

    pub fn member_clock(&self, member: usize, at: Time) -> Time {
        if self.first_clock_beyond_bound && member == 0 {
            return at / 4;
        }
        at * rate(self.fast_member_clocks[member])
    }

    pub fn grantor_clock(&self, at: Time) -> Time {
        at * rate(self.fast_grantor_clocks)
    }

    pub fn worker_clock(&self, at: Time) -> Time {
        at * rate(self.fast_worker_clock)
    }

    /// The state before any request.
    pub fn initial(&self) -> World {
        World {
            at: 0,
            grantors: vec![Grantor::restarted(0); GRANTORS],
            members: vec![Member::started(1); self.members],
            paused: None,
            in_flight: Vec::new(),
            effective_epoch: 0,
            latest: LatestEffect::default(),
            budget: self.budget,
            violation: None,
        }
    }

    /// The state in which two grantors granted the task to the first member, while its messages to the third
    /// are still in flight.
    pub fn first_member_granted(&self) -> World {
        let mut world = self.initial();
        let (config, mut lease) = (self.config(0, 1), Lease::new(0));
        let mut outbox = Outbox {
            in_flight: &mut world.in_flight,
            from: 0,
            incarnation: 1,
        };
        lease.set_wanted(0, &config, &mut outbox, true, true);
        lease.timer_fired(0, &config, &mut outbox);
        world.members[0].lease = lease;
        let to_third = |message: &Message| {
            matches!(
                message,
                Message::Prepare { grantor: 2, .. } | Message::Accept { grantor: 2, .. }
            )
        };
        while world.members[0].lease.state != LeaseState::Held {
            let mut deliverable = world.in_flight.iter().filter(|message| !to_third(message));
            let message = *deliverable
                .next()
                .expect("a message to the first two grantors is in flight");
            let mut next = self
                .delivered(&world, message)
                .expect("the receiver accepts the message");
            let mut in_flight = next.in_flight.iter();
            let position = in_flight.position(|other| *other == message);
            next.in_flight
                .remove(position.expect("the delivered message is still in flight"));
            world = next;
        }
        let lost = !self.reachable[0][2];
        world
            .in_flight
            .retain(|message| !(lost && to_third(message)));
        world
    }

    /// Visits all states up to `max_depth`, unless more than `max_states` are visited first. Stops at the
    /// first violation.
    pub fn explore(&self, from: World, max_depth: usize, max_states: usize) -> Exploration {
        let mut visited: HashSet<u64, BuildHasherDefault<DefaultHasher>> = HashSet::default();
        let mut frontier = vec![from];
        let mut depth = 0;
        while depth < max_depth && visited.len() <= max_states && !frontier.is_empty() {
            depth += 1;
            let mut reached = Vec::new();
            for next in frontier.iter().flat_map(|world| self.next(world)) {
                if next.violation.is_some() {
                    return Exploration {
                        states: visited.len(),
                        depth,
                        violation: next.violation,
                    };
                }
                let mut hasher = DefaultHasher::new();
                next.hash(&mut hasher);
                if visited.insert(hasher.finish()) {
                    reached.push(next);
                }
            }
            frontier = reached;
        }
        Exploration {
            states: visited.len(),
            depth,
            violation: None,
        }
    }
}
