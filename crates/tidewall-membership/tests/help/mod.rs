//! Members on a scripted network: what they send takes a while, may be lost, and is told to whoever it was for.
#![allow(dead_code)] // each test file uses a part
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use tidewall_membership::{MemberUpdate, Membership, MembershipActions, Time};

pub const PERIOD: Time = 2_000;
pub const TICK: Time = 200;

#[derive(Clone)]
pub enum Sent {
    Ping(u32),
    PingFor(usize, u32),
    Ack(usize, u32),
}

#[derive(Default)]
pub struct Out {
    pub sent: Vec<(usize, Sent)>,
    pub comes: Vec<usize>,
    pub goes: Vec<(usize, bool)>,
    pub chance: Option<ChaCha8Rng>,
}

impl MembershipActions for Out {
    fn ping(&mut self, to: usize, seq: u32) {
        self.sent.push((to, Sent::Ping(seq)));
    }
    fn ping_indirect(&mut self, via: usize, target: usize, seq: u32) {
        self.sent.push((via, Sent::PingFor(target, seq)));
    }
    fn ack(&mut self, to: usize, of: usize, seq: u32) {
        self.sent.push((to, Sent::Ack(of, seq)));
    }
    fn member_joined(&mut self, member: usize, _: u64) {
        self.comes.push(member);
    }
    fn member_lost(&mut self, member: usize, left: bool) {
        self.goes.push((member, left));
    }
    fn random_below(&mut self, below: u64) -> u64 {
        self.chance
            .as_mut()
            .map_or(0, |c| c.random_range(0..below.max(1)))
    }
}

pub type Datagram = (usize, MemberUpdate, Sent, Vec<(usize, MemberUpdate)>);

pub struct Net {
    pub now: Time,
    pub members: Vec<Membership>,
    pub outs: Vec<Out>,
    pub lives: Vec<u64>,
    pub down: Vec<bool>,
    pub still: Vec<bool>,
    /// From, to: nothing gets across.
    pub cut: Vec<(usize, usize)>,
    pub lost: u32,
    pub chance: ChaCha8Rng,
    pub way: BTreeMap<(Time, u64), (usize, Datagram)>,
    pub count: u64,
    pub datagrams: u64,
}

impl Net {
    pub fn new(n: usize, seed: u64) -> Net {
        let first = |m: usize| (m as u64 * 37 % 10) * PERIOD / 10;
        Net {
            now: 0,
            members: (0..n)
                .map(|m| Membership::new(0, m, 1, n, PERIOD, first(m)))
                .collect(),
            outs: (0..n)
                .map(|m| Out {
                    chance: Some(ChaCha8Rng::seed_from_u64(seed * 1_000 + m as u64)),
                    ..Out::default()
                })
                .collect(),
            lives: vec![1; n],
            down: vec![false; n],
            still: vec![false; n],
            cut: Vec::new(),
            lost: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
            way: BTreeMap::new(),
            count: 0,
            datagrams: 0,
        }
    }

    fn post(&mut self, from: usize) {
        for (to, sent) in std::mem::take(&mut self.outs[from].sent) {
            let m = &mut self.members[from];
            let first = m.update_for(to).map(|w| (to, w));
            let rumours: Vec<_> = first
                .into_iter()
                .chain((0..6).map_while(|_| m.next_gossip()))
                .collect();
            let datagram = (from, m.own_update(), sent, rumours);
            self.datagrams += 1;
            self.count += 1;
            let lost = self.chance.random_ratio(self.lost, 1_000);
            if !self.cut.contains(&(from, to)) && !lost {
                self.way.insert((self.now + 20, self.count), (to, datagram));
            }
        }
    }

    fn come(&mut self, to: usize, (from, word, sent, rumours): Datagram) {
        let (m, out, now) = (&mut self.members[to], &mut self.outs[to], self.now);
        if !m.sender_heard(now, out, from, word) {
            return;
        }
        rumours
            .into_iter()
            .for_each(|(of, word)| m.gossip_received(now, out, of, word));
        match sent {
            Sent::Ping(seq) => m.ping_received(out, from, seq),
            Sent::PingFor(target, seq) => m.indirect_ping_received(out, from, target, seq),
            Sent::Ack(of, seq) => m.ack_received(out, from, of, seq),
        }
        self.post(to);
    }

    pub fn until(&mut self, until: Time) {
        while self.now < until {
            self.now += TICK;
            while let Some(first) = self.way.first_entry().filter(|f| f.key().0 <= self.now) {
                let (to, datagram) = first.remove();
                if !self.down[to] && !self.still[to] {
                    self.come(to, datagram);
                }
            }
            for m in 0..self.members.len() {
                if !self.down[m] && !self.still[m] {
                    self.members[m].tick(self.now, &mut self.outs[m]);
                    self.post(m);
                }
            }
        }
    }

    pub fn run(&mut self, span: Time) {
        self.until(self.now + span);
    }

    /// Whether all that run see just those there.
    pub fn agree(&self) -> bool {
        self.wrong().is_empty()
    }

    /// Who sees whom wrongly, and how.
    pub fn wrong(&self) -> Vec<(usize, usize, Option<MemberUpdate>)> {
        let run = |m: &usize| !self.down[*m] && !self.still[*m];
        let all = || 0..self.members.len();
        let pairs = all().filter(run).flat_map(|m| all().map(move |o| (m, o)));
        let wrong = pairs.filter(|(m, o)| self.members[*m].is_alive(*o) != run(o));
        wrong
            .map(|(m, o)| (m, o, self.members[m].update_of(o)))
            .collect()
    }

    pub fn restart(&mut self, m: usize) {
        self.lives[m] += 1;
        self.down[m] = false;
        self.members[m] =
            Membership::new(self.now, m, self.lives[m], self.members.len(), PERIOD, 0);
    }
}
