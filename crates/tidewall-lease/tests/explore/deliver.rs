//! Delivers messages to their receivers.
use crate::scenario::{Scenario, LEASE_DURATION, PERMIT_MAX_AGE};
use crate::world::{LatestEffect, Message, ReportedState, World};
use tidewall_lease::grantor::{Grant, GrantorReply, GrantorSlot, LeaseOwner};
use tidewall_lease::lease::{AcceptReply, PrepareReply};
use tidewall_lease::Time;

impl Scenario {
    /// The world after the message was received; the message itself is still in flight. `None` if the
    /// receiver does not accept it at this time.
    pub fn delivered(&self, world: &World, message: Message) -> Option<World> {
        match message {
            Message::Release { grantor, epoch } => {
                let mut next = world.clone();
                let now = self.grantor_clock(world.at);
                next.grantors[grantor].slot.release(now, epoch);
                Some(next)
            }
            Message::Prepare { .. } | Message::Accept { .. } => {
                self.request_delivered(world, message)
            }
            Message::PrepareReply { .. } | Message::AcceptReply { .. } => {
                self.reply_delivered(world, message)
            }
            Message::Effect {
                epoch,
                member,
                incarnation,
                permit,
            } => {
                let mut next = world.clone();
                let effect = LatestEffect {
                    epoch,
                    member,
                    incarnation,
                };
                self.effect_delivered(&mut next, effect, permit);
                Some(next)
            }
        }
    }

    fn request_delivered(&self, world: &World, message: Message) -> Option<World> {
        let mut next = world.clone();
        let reply = match message {
            Message::Prepare {
                from,
                incarnation,
                grantor,
                ballot,
            } => {
                let requester = LeaseOwner {
                    member: from,
                    incarnation,
                };
                let reply = self.grantor_replies(&mut next, grantor, |slot, now| {
                    slot.prepare(now, ballot, requester)
                })?;
                Message::PrepareReply {
                    to: from,
                    incarnation,
                    grantor,
                    ballot,
                    granted: reply.granted,
                    state: ReportedState::from(reply),
                }
            }
            Message::Accept {
                from,
                incarnation,
                grantor,
                epoch,
                tag,
            } => {
                let grant = Grant {
                    epoch,
                    member: from,
                    incarnation,
                };
                let reply = self.grantor_replies(&mut next, grantor, |slot, now| {
                    slot.accept(now, grant, LEASE_DURATION)
                })?;
                Message::AcceptReply {
                    to: from,
                    incarnation,
                    grantor,
                    epoch,
                    tag,
                    granted: reply.granted,
                    state: ReportedState::from(reply),
                }
            }
            _ => return None,
        };
        next.in_flight.push(reply);
        Some(next)
    }

    fn grantor_replies(
        &self,
        world: &mut World,
        grantor: usize,
        request: impl FnOnce(&mut GrantorSlot, Time) -> GrantorReply,
    ) -> Option<GrantorReply> {
        let now = self.grantor_clock(world.at);
        let grantor = &mut world.grantors[grantor];
        (now >= grantor.silent_until).then(|| request(&mut grantor.slot, now))
    }

    fn reply_delivered(&self, world: &World, message: Message) -> Option<World> {
        let (Message::PrepareReply {
            to, incarnation, ..
        }
        | Message::AcceptReply {
            to, incarnation, ..
        }) = message
        else {
            return None;
        };
        if world.paused == Some(to) || world.members[to].incarnation != incarnation {
            return None;
        }
        let mut next = world.clone();
        let now = self.member_clock(to, world.at);
        self.with_lease(&mut next, to, |lease, config, outbox| match message {
            Message::PrepareReply {
                grantor,
                ballot,
                granted,
                state,
                ..
            } => {
                let reply = PrepareReply {
                    grantor,
                    ballot,
                    reply: state.reply(granted),
                };
                lease.prepare_replied(now, config, outbox, reply);
            }
            Message::AcceptReply {
                grantor,
                epoch,
                tag,
                granted,
                state,
                ..
            } => {
                let reply = AcceptReply {
                    grantor,
                    epoch,
                    tag,
                    reply: state.reply(granted),
                };
                lease.accept_replied(now, config, outbox, reply);
            }
            _ => {}
        });
        Some(next)
    }

    fn effect_delivered(&self, world: &mut World, effect: LatestEffect, permit: Time) {
        let in_time = self.worker_clock(world.at) <= permit + PERMIT_MAX_AGE;
        if !in_time {
            return;
        }
        // Effects that one incarnation sent under its own earlier epoch do not overlap with those of another
        // holder.
        let same_sender =
            effect.member == world.latest.member && effect.incarnation == world.latest.incarnation;
        if effect.epoch < world.latest.epoch && !same_sender && !self.first_clock_beyond_bound {
            world.violation = Some("an effect arrived after a newer effect of another holder");
        }
        if !self.worker_fences || effect.epoch >= world.effective_epoch {
            if effect.epoch < world.effective_epoch {
                world.violation = Some("an effect under an older epoch took place");
            }
            world.effective_epoch = world.effective_epoch.max(effect.epoch);
        }
        world.latest = world.latest.max(effect);
    }
}
