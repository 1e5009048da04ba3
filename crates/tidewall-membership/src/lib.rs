//! Who of the members named in the settings is there: the published SWIM protocol (Das and others, 2002) with Lifeguard's
//! doubt of oneself first. Each period one member is pinged, by way of others where it does not answer; who answers nobody is
//! suspected, and gone when it does not refute that in time. It only says whom to ask and who should hold what: nothing
//! that must never happen rests on it. No I/O and no clock.
mod gossip;

use gossip::GossipQueue;
pub use gossip::{MemberState, MemberUpdate};

/// Whole tenths of a millisecond.
pub type Time = u64;

pub trait MembershipActions {
    /// 0 as its number: just to be heard, no answer is waited for.
    fn ping(&mut self, to: usize, seq: u32);
    /// Ping that one on our behalf.
    fn ping_indirect(&mut self, via: usize, target: usize, seq: u32);
    /// `of` is there.
    fn ack(&mut self, to: usize, of: usize, seq: u32);
    fn member_joined(&mut self, member: usize, life: u64);
    fn member_lost(&mut self, member: usize, left: bool);
    /// Below that, drawn.
    fn random_below(&mut self, below: u64) -> u64;
}

/// Members asked to ping another one on our behalf; SWIM's usual number.
const VIA: usize = 3;

/// Doubt of oneself at most; Lifeguard's usual number.
const DOUBT: u32 = 8;

/// In each period so many members are pinged of which nothing was ever heard: a start among 350 takes 44 periods.
const NEW: usize = 8;

/// Every so many periods one member that is gone is pinged, so that two halves of a healed partition find each other.
const GONE_EVERY: u64 = 4;

/// Pings on behalf of others that wait for their answer at a time; beyond, the oldest is forgotten.
const RELAYS: usize = 64;

/// Periods that a suspicion lasts at least, times log10 of the members: SWIM's usual.
const SUSPECT: u64 = 4;

struct Member {
    word: Option<MemberUpdate>,
    /// When its suspicion ends.
    until: Time,
}

struct Probe {
    target: usize,
    seq: u32,
    at: Time,
    /// Others were asked as well.
    by_others: bool,
}

struct Relay {
    seq: u32,
    target: usize,
    to: usize,
    its: u32,
}

pub struct Membership {
    me: usize,
    life: u64,
    turn: u32,
    period: Time,
    list: Vec<Member>,
    rumours: GossipQueue,
    /// The order in which members are pinged, drawn anew for each round, and where it stands.
    order: Vec<usize>,
    at: usize,
    probe: Option<Probe>,
    relays: Vec<Relay>,
    seq: u32,
    /// When the period ends.
    next: Time,
    periods: u64,
    last: Time,
    /// How much we doubt ourselves.
    pub self_distrust: u32,
    leaving: bool,
    /// Where the search among members never heard of stands.
    fresh: usize,
    pub suspected: u64,
    pub refuted: u64,
}

impl Membership {
    pub fn new(
        now: Time,
        me: usize,
        life: u64,
        members: usize,
        period: Time,
        first: Time,
    ) -> Membership {
        let list = (0..members)
            .map(|_| Member {
                word: None,
                until: 0,
            })
            .collect();
        let mut rumours = GossipQueue::new(members);
        rumours.new_word(me, false);
        Membership {
            me,
            life,
            turn: 0,
            period,
            list,
            rumours,
            order: (0..members).filter(|m| *m != me).collect(),
            at: 0,
            probe: None,
            relays: Vec::new(),
            seq: 0,
            next: now + first,
            periods: 0,
            last: now,
            self_distrust: 0,
            leaving: false,
            fresh: 0,
            suspected: 0,
            refuted: 0,
        }
    }

    pub fn update_of(&self, member: usize) -> Option<MemberUpdate> {
        if member == self.me {
            return Some(self.own_update());
        }
        self.list[member].word
    }

    /// It is there, as far as we know; one that is suspected still is.
    pub fn is_alive(&self, member: usize) -> bool {
        self.update_of(member)
            .is_some_and(|w| w.state <= MemberState::Suspect)
    }

    /// What we say of ourselves.
    pub fn own_update(&self) -> MemberUpdate {
        let standing = if self.leaving {
            MemberState::Left
        } else {
            MemberState::Alive
        };
        MemberUpdate {
            incarnation: self.life,
            refutation: self.turn,
            state: standing,
        }
    }

    pub fn alive_count(&self) -> usize {
        (0..self.list.len()).filter(|m| self.is_alive(*m)).count()
    }

    /// What the receiver should hear first: that it is thought gone, so that it can refute it.
    pub fn update_for(&self, to: usize) -> Option<MemberUpdate> {
        self.update_of(to).filter(|w| w.state > MemberState::Alive)
    }

    /// What to tell along with the next datagram: a member, and what is known of it.
    pub fn next_gossip(&mut self) -> Option<(usize, MemberUpdate)> {
        loop {
            let member = self.rumours.tell()?;
            if let Some(word) = self.update_of(member) {
                return Some((member, word));
            }
        }
    }

    pub fn pending_gossip(&self) -> usize {
        self.rumours.len()
    }

    fn seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1).max(1);
        self.seq
    }

    fn patience(&self) -> Time {
        self.period / 3 * Time::from(1 + self.self_distrust)
    }

    fn suspicion(&self) -> Time {
        let logs = (u64::from((self.list.len() + 1).ilog2()) * 3).div_ceil(10);
        SUSPECT * logs.max(1) * self.period * Time::from(1 + self.self_distrust / 2)
    }

    /// We stood still or were starved for that long: what was not heard meanwhile says nothing of others.
    pub fn process_stalled(&mut self, long: Time) {
        if long < self.period / 2 {
            return;
        }
        self.probe = None;
        self.relays.clear();
        for m in &mut self.list {
            m.until += long;
        }
        self.self_distrust = (self.self_distrust + 1).min(DOUBT);
    }

    /// At least three times a period.
    pub fn tick(&mut self, now: Time, host: &mut impl MembershipActions) {
        // A tick that comes late: starved, however it came about.
        let late = (now - self.last).saturating_sub(self.period);
        self.last = now;
        self.process_stalled(late);
        if let Some(probe) = &self.probe {
            let (target, seq, since) = (probe.target, probe.seq, probe.at);
            if now >= since + 3 * self.patience() {
                self.probe = None;
                self.self_distrust = (self.self_distrust + 1).min(DOUBT);
                self.suspect(now, host, target);
            } else if !probe.by_others && now >= since + self.patience() {
                self.by_others(host, target, seq);
            }
        }
        for m in 0..self.list.len() {
            let over =
                |w: MemberUpdate| w.state == MemberState::Suspect && now >= self.list[m].until;
            if let Some(word) = self.list[m].word.filter(|w| over(*w)) {
                self.learn(
                    now,
                    host,
                    m,
                    MemberUpdate {
                        state: MemberState::Dead,
                        ..word
                    },
                );
            }
        }
        if self.leaving {
            // Quickly, to one after the other, as nobody here will be there much longer.
            for _ in 0..VIA {
                let to = self.next_fresh();
                if to != self.me && self.is_alive(to) {
                    host.ping(to, 0);
                }
            }
        } else if now >= self.next {
            self.next = now + self.period;
            self.periods += 1;
            self.period_begins(now, host);
        }
    }

    fn period_begins(&mut self, now: Time, host: &mut impl MembershipActions) {
        // Those never heard of, a few at a time until each was tried, then now and then.
        let all = self.fresh >= self.list.len();
        let tries = if all {
            usize::from(self.periods.is_multiple_of(GONE_EVERY))
        } else {
            NEW
        };
        for _ in 0..tries {
            let member = self.next_fresh();
            // In the first round those that are here too: they may not have heard of this life.
            if member != self.me && !(all && self.is_alive(member)) {
                host.ping(member, 0);
            }
        }
        if self.probe.is_some() {
            return;
        }
        for _ in 0..self.order.len() {
            if self.at == 0 {
                for i in (1..self.order.len()).rev() {
                    let j = host.random_below(i as u64 + 1) as usize;
                    self.order.swap(i, j);
                }
            }
            let target = self.order[self.at];
            self.at = (self.at + 1) % self.order.len();
            if self.is_alive(target) {
                let seq = self.seq();
                self.probe = Some(Probe {
                    target,
                    seq,
                    at: now,
                    by_others: false,
                });
                host.ping(target, seq);
                return;
            }
        }
    }

    /// One after the other, from ourselves on, so that members do not all begin with the same one.
    fn next_fresh(&mut self) -> usize {
        self.fresh += 1;
        (self.me + self.fresh) % self.list.len()
    }

    fn by_others(&mut self, host: &mut impl MembershipActions, target: usize, seq: u32) {
        if let Some(probe) = &mut self.probe {
            probe.by_others = true;
        }
        let others: Vec<usize> = self
            .order
            .iter()
            .copied()
            .filter(|m| *m != target && self.is_alive(*m))
            .collect();
        let from = if others.is_empty() {
            0
        } else {
            host.random_below(others.len() as u64) as usize
        };
        for i in 0..VIA.min(others.len()) {
            host.ping_indirect(others[(from + i) % others.len()], target, seq);
        }
    }

    fn suspect(&mut self, now: Time, host: &mut impl MembershipActions, member: usize) {
        if let Some(word) = self.list[member]
            .word
            .filter(|w| w.state == MemberState::Alive)
        {
            self.suspected += 1;
            self.learn(
                now,
                host,
                member,
                MemberUpdate {
                    state: MemberState::Suspect,
                    ..word
                },
            );
        }
    }

    /// A word that may be news.
    fn learn(
        &mut self,
        now: Time,
        host: &mut impl MembershipActions,
        member: usize,
        word: MemberUpdate,
    ) {
        if member == self.me {
            // Ourselves as of this life: whatever worse is said is refuted by a new turn.
            let ours = word.incarnation == self.life && word.refutation >= self.turn;
            if ours && word.state > MemberState::Alive && !self.leaving {
                self.turn = word.refutation + 1;
                self.refuted += 1;
                self.self_distrust = (self.self_distrust + 1).min(DOUBT);
                self.rumours.new_word(self.me, false);
            }
            return;
        }
        let was = self.list[member].word;
        if was.is_some_and(|w| w >= word) {
            return;
        }
        let here = self.is_alive(member);
        self.list[member].word = Some(word);
        if word.state == MemberState::Suspect {
            self.list[member].until = now + self.suspicion();
        }
        self.rumours.new_word(
            member,
            word.state == MemberState::Alive && word.refutation == 0,
        );
        let comes = word.state <= MemberState::Suspect;
        if comes && (!here || was.is_some_and(|w| w.incarnation != word.incarnation)) {
            host.member_joined(member, word.incarnation);
        } else if here && !comes {
            host.member_lost(member, word.state == MemberState::Left);
        }
    }

    /// Something came from that member just now, whatever it was, and with it what it says of itself. False where it is
    /// from a former life.
    pub fn sender_heard(
        &mut self,
        now: Time,
        host: &mut impl MembershipActions,
        from: usize,
        word: MemberUpdate,
    ) -> bool {
        let MemberUpdate {
            incarnation: life,
            refutation: turn,
            state: standing,
        } = word;
        let Some(member) = self.list.get(from).filter(|_| from != self.me) else {
            return false;
        };
        if member.word.is_some_and(|w| w.incarnation > life) {
            return false;
        }
        match member.word {
            Some(w)
                if standing == MemberState::Alive
                    && w.incarnation == life
                    && w.state > MemberState::Alive
                    && w.refutation >= turn =>
            {
                // It is there all the same: it hears what is said of it with the answer, and refutes it.
                if w.state == MemberState::Suspect {
                    self.list[from].until = now + self.suspicion();
                }
            }
            _ => self.learn(now, host, from, word),
        }
        true
    }

    pub fn gossip_received(
        &mut self,
        now: Time,
        host: &mut impl MembershipActions,
        member: usize,
        word: MemberUpdate,
    ) {
        if member < self.list.len() {
            self.learn(now, host, member, word);
        }
    }

    pub fn ping_received(&mut self, host: &mut impl MembershipActions, from: usize, seq: u32) {
        host.ack(from, self.me, seq);
    }

    /// Asked to ping another one.
    pub fn indirect_ping_received(
        &mut self,
        host: &mut impl MembershipActions,
        from: usize,
        target: usize,
        its: u32,
    ) {
        if target >= self.list.len() || target == self.me {
            return;
        }
        let seq = self.seq();
        if self.relays.len() >= RELAYS {
            self.relays.remove(0);
        }
        self.relays.push(Relay {
            seq,
            target,
            to: from,
            its,
        });
        host.ping(target, seq);
    }

    /// `from` says that `of` is there.
    pub fn ack_received(
        &mut self,
        host: &mut impl MembershipActions,
        from: usize,
        of: usize,
        seq: u32,
    ) {
        if self
            .probe
            .as_ref()
            .is_some_and(|p| p.seq == seq && p.target == of)
        {
            self.probe = None;
            self.self_distrust = self.self_distrust.saturating_sub(1);
        }
        if let Some(i) = self
            .relays
            .iter()
            .position(|r| r.seq == seq && r.target == of && from == of)
        {
            let relay = self.relays.remove(i);
            host.ack(relay.to, of, relay.its);
        }
    }

    /// We go, and say so.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.rumours.new_word(self.me, false);
    }
}
