//! Members on a simulated network: datagrams have a delay, may be lost, and reach the member that they are
//! addressed to.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use tidewall_membership::{MemberUpdate, Membership, MembershipActions, Time};

pub const PERIOD: Time = 2_000;
const TICK: Time = 200;
const NETWORK_DELAY: Time = 20;
/// The number of updates piggybacked on one datagram, besides the one for its receiver.
const GOSSIP_PER_DATAGRAM: usize = 6;

#[derive(Clone)]
enum Message {
    Ping { seq: u32 },
    IndirectPing { target: usize, seq: u32 },
    Ack { alive_member: usize, seq: u32 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    pub member: usize,
    pub left: bool,
}

/// The recorded side effects of one member.
#[derive(Default)]
pub struct RecordedActions {
    outbox: Vec<(usize, Message)>,
    pub losses: Vec<Loss>,
    rng: Option<ChaCha8Rng>,
}

impl MembershipActions for RecordedActions {
    fn ping(&mut self, to: usize, seq: u32) {
        self.outbox.push((to, Message::Ping { seq }));
    }
    fn ping_indirect(&mut self, via: usize, target: usize, seq: u32) {
        self.outbox
            .push((via, Message::IndirectPing { target, seq }));
    }
    fn ack(&mut self, to: usize, alive_member: usize, seq: u32) {
        self.outbox.push((to, Message::Ack { alive_member, seq }));
    }
    fn member_joined(&mut self, _: usize, _: u64) {}
    fn member_lost(&mut self, member: usize, left: bool) {
        self.losses.push(Loss { member, left });
    }
    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng
            .as_mut()
            .map_or(0, |rng| rng.random_range(0..bound.max(1)))
    }
}

struct Datagram {
    from: usize,
    to: usize,
    sender_update: MemberUpdate,
    message: Message,
    gossip: Vec<(usize, MemberUpdate)>,
}

/// Arrival time and datagram number: datagrams that arrive at the same time are delivered in the order in
/// which they were sent.
type Arrival = (Time, u64);

/// One member's view of another that does not match whether that member runs.
#[derive(Debug, PartialEq)]
pub struct WrongView {
    observer: usize,
    member: usize,
    update: Option<MemberUpdate>,
}

pub struct Network {
    now: Time,
    pub members: Vec<Membership>,
    pub actions: Vec<RecordedActions>,
    incarnations: Vec<u64>,
    pub down: Vec<bool>,
    pub paused: Vec<bool>,
    /// Links, as (from, to), on which all datagrams are lost.
    pub cut_links: Vec<(usize, usize)>,
    /// The fraction of datagrams that are lost, in thousandths.
    pub loss_per_mille: u32,
    rng: ChaCha8Rng,
    in_flight: BTreeMap<Arrival, Datagram>,
    pub datagrams_sent: u64,
}

impl Network {
    pub fn new(members: usize, seed: u64) -> Network {
        let first_period_in = |member: usize| (member as u64 * 37 % 10) * PERIOD / 10;
        let actions = |member: usize| RecordedActions {
            rng: Some(ChaCha8Rng::seed_from_u64(seed * 1_000 + member as u64)),
            ..RecordedActions::default()
        };
        Network {
            now: 0,
            members: (0..members)
                .map(|m| Membership::new(0, m, 1, members, PERIOD, first_period_in(m)))
                .collect(),
            actions: (0..members).map(actions).collect(),
            incarnations: vec![1; members],
            down: vec![false; members],
            paused: vec![false; members],
            cut_links: Vec::new(),
            loss_per_mille: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            datagrams_sent: 0,
        }
    }

    fn runs(&self, member: usize) -> bool {
        !self.down[member] && !self.paused[member]
    }

    fn send_outbox(&mut self, from: usize) {
        for (to, message) in std::mem::take(&mut self.actions[from].outbox) {
            let sender = &mut self.members[from];
            let for_receiver = sender.update_for(to).map(|update| (to, update));
            let others = (0..GOSSIP_PER_DATAGRAM).map_while(|_| sender.next_gossip());
            let gossip = for_receiver.into_iter().chain(others).collect();
            let datagram = Datagram {
                from,
                to,
                sender_update: sender.own_update(),
                message,
                gossip,
            };
            self.datagrams_sent += 1;
            let lost = self.rng.random_ratio(self.loss_per_mille, 1_000);
            if !self.cut_links.contains(&(from, to)) && !lost {
                let arrival = (self.now + NETWORK_DELAY, self.datagrams_sent);
                self.in_flight.insert(arrival, datagram);
            }
        }
    }

    fn deliver(&mut self, datagram: Datagram) {
        let (from, to, now) = (datagram.from, datagram.to, self.now);
        let (receiver, actions) = (&mut self.members[to], &mut self.actions[to]);
        if !receiver.sender_heard(now, actions, from, datagram.sender_update) {
            return;
        }
        for (member, update) in datagram.gossip {
            receiver.gossip_received(now, actions, member, update);
        }
        match datagram.message {
            Message::Ping { seq } => receiver.ping_received(actions, from, seq),
            Message::IndirectPing { target, seq } => {
                receiver.indirect_ping_received(actions, from, target, seq);
            }
            Message::Ack { alive_member, seq } => {
                receiver.ack_received(actions, from, alive_member, seq);
            }
        }
        self.send_outbox(to);
    }

    pub fn run_for(&mut self, duration: Time) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            while let Some(first) = self
                .in_flight
                .first_entry()
                .filter(|entry| entry.key().0 <= self.now)
            {
                let datagram = first.remove();
                if self.runs(datagram.to) {
                    self.deliver(datagram);
                }
            }
            for member in 0..self.members.len() {
                if self.runs(member) {
                    self.members[member].tick(self.now, &mut self.actions[member]);
                    self.send_outbox(member);
                }
            }
        }
    }

    /// Whether all running members agree that exactly the running members are alive.
    pub fn agree(&self) -> bool {
        self.wrong_views().is_empty()
    }

    pub fn wrong_views(&self) -> Vec<WrongView> {
        let all = || 0..self.members.len();
        let pairs = all()
            .filter(|observer| self.runs(*observer))
            .flat_map(|observer| all().map(move |member| (observer, member)));
        pairs
            .filter(|(observer, member)| {
                self.members[*observer].is_alive(*member) != self.runs(*member)
            })
            .map(|(observer, member)| WrongView {
                observer,
                member,
                update: self.members[observer].update_of(member),
            })
            .collect()
    }

    pub fn restart(&mut self, member: usize) {
        self.incarnations[member] += 1;
        self.down[member] = false;
        self.members[member] = Membership::new(
            self.now,
            member,
            self.incarnations[member],
            self.members.len(),
            PERIOD,
            0,
        );
    }
}
