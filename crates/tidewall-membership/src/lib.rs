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
    fn ping_for(&mut self, via: usize, target: usize, seq: u32);
    /// `of` is there.
    fn ack(&mut self, to: usize, of: usize, seq: u32);
    fn comes(&mut self, member: usize, life: u64);
    fn goes(&mut self, member: usize, left: bool);
    /// Below that, drawn.
    fn chance(&mut self, below: u64) -> u64;
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
    pub doubt: u32,
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
            doubt: 0,
            leaving: false,
            fresh: 0,
            suspected: 0,
            refuted: 0,
        }
    }

    pub fn word(&self, member: usize) -> Option<MemberUpdate> {
        if member == self.me {
            return Some(self.own());
        }
        self.list[member].word
    }

    /// It is there, as far as we know; one that is suspected still is.
    pub fn here(&self, member: usize) -> bool {
        self.word(member)
            .is_some_and(|w| w.standing <= MemberState::Suspect)
    }

    /// What we say of ourselves.
    pub fn own(&self) -> MemberUpdate {
        let standing = if self.leaving {
            MemberState::Left
        } else {
            MemberState::Here
        };
        MemberUpdate {
            life: self.life,
            turn: self.turn,
            standing,
        }
    }

    pub fn count(&self) -> usize {
        (0..self.list.len()).filter(|m| self.here(*m)).count()
    }

    /// What the receiver should hear first: that it is thought gone, so that it can refute it.
    pub fn of_itself(&self, to: usize) -> Option<MemberUpdate> {
        self.word(to).filter(|w| w.standing > MemberState::Here)
    }

    /// What to tell along with the next datagram: a member, and what is known of it.
    pub fn rumour(&mut self) -> Option<(usize, MemberUpdate)> {
        loop {
            let member = self.rumours.tell()?;
            if let Some(word) = self.word(member) {
                return Some((member, word));
            }
        }
    }

    pub fn rumours(&self) -> usize {
        self.rumours.len()
    }

    fn seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1).max(1);
        self.seq
    }

    fn patience(&self) -> Time {
        self.period / 3 * Time::from(1 + self.doubt)
    }

    fn suspicion(&self) -> Time {
        let logs = (u64::from((self.list.len() + 1).ilog2()) * 3).div_ceil(10);
        SUSPECT * logs.max(1) * self.period * Time::from(1 + self.doubt / 2)
    }

    /// We stood still or were starved for that long: what was not heard meanwhile says nothing of others.
    pub fn stood(&mut self, long: Time) {
        if long < self.period / 2 {
            return;
        }
        self.probe = None;
        self.relays.clear();
        for m in &mut self.list {
            m.until += long;
        }
        self.doubt = (self.doubt + 1).min(DOUBT);
    }

    /// At least three times a period.
    pub fn tick(&mut self, now: Time, host: &mut impl MembershipActions) {
        // A tick that comes late: starved, however it came about.
        let late = (now - self.last).saturating_sub(self.period);
        self.last = now;
        self.stood(late);
        if let Some(probe) = &self.probe {
            let (target, seq, since) = (probe.target, probe.seq, probe.at);
            if now >= since + 3 * self.patience() {
                self.probe = None;
                self.doubt = (self.doubt + 1).min(DOUBT);
                self.suspect(now, host, target);
            } else if !probe.by_others && now >= since + self.patience() {
                self.by_others(host, target, seq);
            }
        }
        for m in 0..self.list.len() {
            let over =
                |w: MemberUpdate| w.standing == MemberState::Suspect && now >= self.list[m].until;
            if let Some(word) = self.list[m].word.filter(|w| over(*w)) {
                self.learn(
                    now,
                    host,
                    m,
                    MemberUpdate {
                        standing: MemberState::Gone,
                        ..word
                    },
                );
            }
        }
        if self.leaving {
            // Quickly, to one after the other, as nobody here will be there much longer.
            for _ in 0..VIA {
                let to = self.next_fresh();
                if to != self.me && self.here(to) {
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
            if member != self.me && !(all && self.here(member)) {
                host.ping(member, 0);
            }
        }
        if self.probe.is_some() {
            return;
        }
        for _ in 0..self.order.len() {
            if self.at == 0 {
                for i in (1..self.order.len()).rev() {
                    let j = host.chance(i as u64 + 1) as usize;
                    self.order.swap(i, j);
                }
            }
            let target = self.order[self.at];
            self.at = (self.at + 1) % self.order.len();
            if self.here(target) {
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
            .filter(|m| *m != target && self.here(*m))
            .collect();
        let from = if others.is_empty() {
            0
        } else {
            host.chance(others.len() as u64) as usize
        };
        for i in 0..VIA.min(others.len()) {
            host.ping_for(others[(from + i) % others.len()], target, seq);
        }
    }

    fn suspect(&mut self, now: Time, host: &mut impl MembershipActions, member: usize) {
        if let Some(word) = self.list[member]
            .word
            .filter(|w| w.standing == MemberState::Here)
        {
            self.suspected += 1;
            self.learn(
                now,
                host,
                member,
                MemberUpdate {
                    standing: MemberState::Suspect,
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
            let ours = word.life == self.life && word.turn >= self.turn;
            if ours && word.standing > MemberState::Here && !self.leaving {
                self.turn = word.turn + 1;
                self.refuted += 1;
                self.doubt = (self.doubt + 1).min(DOUBT);
                self.rumours.new_word(self.me, false);
            }
            return;
        }
        let was = self.list[member].word;
        if was.is_some_and(|w| w >= word) {
            return;
        }
        let here = self.here(member);
        self.list[member].word = Some(word);
        if word.standing == MemberState::Suspect {
            self.list[member].until = now + self.suspicion();
        }
        self.rumours
            .new_word(member, word.standing == MemberState::Here && word.turn == 0);
        let comes = word.standing <= MemberState::Suspect;
        if comes && (!here || was.is_some_and(|w| w.life != word.life)) {
            host.comes(member, word.life);
        } else if here && !comes {
            host.goes(member, word.standing == MemberState::Left);
        }
    }

    /// Something came from that member just now, whatever it was, and with it what it says of itself. False where it is
    /// from a former life.
    pub fn heard(
        &mut self,
        now: Time,
        host: &mut impl MembershipActions,
        from: usize,
        word: MemberUpdate,
    ) -> bool {
        let MemberUpdate {
            life,
            turn,
            standing,
        } = word;
        let Some(member) = self.list.get(from).filter(|_| from != self.me) else {
            return false;
        };
        if member.word.is_some_and(|w| w.life > life) {
            return false;
        }
        match member.word {
            Some(w)
                if standing == MemberState::Here
                    && w.life == life
                    && w.standing > MemberState::Here
                    && w.turn >= turn =>
            {
                // It is there all the same: it hears what is said of it with the answer, and refutes it.
                if w.standing == MemberState::Suspect {
                    self.list[from].until = now + self.suspicion();
                }
            }
            _ => self.learn(now, host, from, word),
        }
        true
    }

    pub fn told(
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

    pub fn pinged(&mut self, host: &mut impl MembershipActions, from: usize, seq: u32) {
        host.ack(from, self.me, seq);
    }

    /// Asked to ping another one.
    pub fn pinged_for(
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
    pub fn acked(&mut self, host: &mut impl MembershipActions, from: usize, of: usize, seq: u32) {
        if self
            .probe
            .as_ref()
            .is_some_and(|p| p.seq == seq && p.target == of)
        {
            self.probe = None;
            self.doubt = self.doubt.saturating_sub(1);
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
