//! Generates all events that can happen next in a world.
use crate::scenario::{Scenario, LEASE_DURATION};
use crate::world::{Grantor, Member, Message, Outbox, World, GRANTORS};
use tidewall_lease::lease::{Lease, LeaseConfig, LeaseState};
use tidewall_lease::Time;

impl Scenario {
    /// All worlds that result from one event.
    pub fn next(&self, world: &World) -> Vec<World> {
        let mut successors = Vec::new();
        if world.at < self.ticks {
            let mut next = world.clone();
            next.at += 1;
            successors.push(next);
        }
        for member in 0..self.members {
            if world.paused == Some(member) {
                let mut next = world.clone();
                next.paused = None;
                successors.push(next);
            } else {
                self.member_events(world, member, &mut successors);
            }
        }
        if world.budget.restarts > 0 {
            successors.extend((0..GRANTORS).map(|grantor| self.grantor_restarted(world, grantor)));
        }
        self.deliveries(world, &mut successors);
        for next in &mut successors {
            next.in_flight.retain(|message| match *message {
                Message::Prepare { from, grantor, .. } | Message::Accept { from, grantor, .. } => {
                    self.reachable[from][grantor]
                }
                _ => true,
            });
            next.in_flight.sort_unstable();
            self.check(next);
        }
        successors
    }

    /// The events of a member: it claims, renews or releases the lease, sends an effect, or restarts.
    fn member_events(&self, world: &World, member: usize, successors: &mut Vec<World>) {
        let now = self.member_clock(member, world.at);
        let lease = &world.members[member].lease;
        let claims = lease.state == LeaseState::Idle && world.budget.claims > 0;
        let renews = lease.state == LeaseState::Held
            && (world.budget.renewals > 0 || now >= lease.usable_until);
        if claims || renews {
            let mut next = world.clone();
            next.budget.renewals -= u8::from(renews && now < lease.usable_until);
            next.budget.claims -= u8::from(claims);
            self.with_lease(&mut next, member, |lease, config, outbox| {
                if lease.state == LeaseState::Idle {
                    lease.set_wanted(now, config, outbox, true, true);
                }
                lease.timer_fired(now, config, outbox);
            });
            successors.push(next);
        }
        if lease.state == LeaseState::Held && world.budget.releases > 0 {
            let mut next = world.clone();
            next.budget.releases -= 1;
            self.with_lease(&mut next, member, |lease, config, outbox| {
                lease.set_wanted(now, config, outbox, false, false);
                let epoch = lease.epoch;
                lease.execution_stopped(now, config, outbox, epoch);
            });
            successors.push(next);
        }
        if lease.is_held(now) && world.budget.effects > 0 {
            self.effect_sent(world, member, successors);
        }
        if world.budget.restarts > 0 {
            let mut next = world.clone();
            next.budget.restarts -= 1;
            next.members[member] = Member::started(world.members[member].incarnation + 1);
            successors.push(next);
        }
    }

    /// The member sends an effect under a permit issued at this moment. The effect is sent at once, or the
    /// member is paused first.
    fn effect_sent(&self, world: &World, member: usize, successors: &mut Vec<World>) {
        let mut next = world.clone();
        next.budget.effects -= 1;
        let sender = &world.members[member];
        next.in_flight.push(Message::Effect {
            epoch: sender.lease.epoch,
            member,
            incarnation: sender.incarnation,
            permit: self.worker_clock(world.at),
        });
        if world.budget.pauses > 0 {
            let mut paused = next.clone();
            paused.budget.pauses -= 1;
            paused.paused = Some(member);
            successors.push(paused);
        }
        successors.push(next);
    }

    /// A grantor restarts and loses its state.
    fn grantor_restarted(&self, world: &World, grantor: usize) -> World {
        let mut next = world.clone();
        next.budget.restarts -= 1;
        let silent_until = if self.safety_checks.silent_start {
            self.grantor_clock(world.at) + LEASE_DURATION
        } else {
            0
        };
        next.grantors[grantor] = Grantor::restarted(silent_until);
        next
    }

    /// Delivers each message in flight, either for the last time or with another copy still to come.
    fn deliveries(&self, world: &World, successors: &mut Vec<World>) {
        for (position, message) in world.in_flight.iter().enumerate() {
            if world.in_flight[..position].contains(message) {
                continue;
            }
            let Some(mut next) = self.delivered(world, *message) else {
                continue;
            };
            if world.budget.duplicates > 0 {
                let mut duplicated = next.clone();
                duplicated.budget.duplicates -= 1;
                successors.push(duplicated);
            }
            let mut in_flight = next.in_flight.iter();
            let delivered = in_flight.position(|other| other == message);
            next.in_flight.remove(delivered.unwrap_or(position));
            successors.push(next);
        }
    }

    pub fn with_lease(
        &self,
        world: &mut World,
        member: usize,
        event: impl FnOnce(&mut Lease, &LeaseConfig, &mut Outbox),
    ) {
        let Member { lease, incarnation } = &mut world.members[member];
        let mut outbox = Outbox {
            in_flight: &mut world.in_flight,
            from: member,
            incarnation: *incarnation,
        };
        event(lease, &self.config(member, *incarnation), &mut outbox);
    }

    fn holds(&self, world: &World, member: usize) -> bool {
        let now: Time = self.member_clock(member, world.at);
        world.members[member].lease.is_held(now)
    }

    /// Checks that at most one member holds the lease. A paused member does not count: its check happened
    /// before the pause, and the worker voids it by the age of the permit, not by the member's clock.
    fn check(&self, world: &mut World) {
        if self.first_clock_beyond_bound {
            return;
        }
        let holders = (0..self.members)
            .filter(|member| world.paused != Some(*member) && self.holds(world, *member));
        if holders.count() > 1 {
            world.violation = Some("two members hold the lease at once");
        }
    }
}
