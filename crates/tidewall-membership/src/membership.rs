//! The state machine of one member: probes, suspicions, and what it knows of the others.
use crate::gossip::{GossipPriority, GossipQueue};
use crate::indirect::{IndirectPing, IndirectPings};
use crate::probe_order::ProbeOrder;
use crate::{MemberState, MemberUpdate, MembershipActions, Time};

/// Members that are asked for an indirect ping; SWIM's usual number.
const INDIRECT_PINGS: usize = 3;

/// Members that are pinged at each tick while this one leaves: few datagrams a tick, and all are reached within a few dozen
/// ticks in a usual fleet.
const LEAVE_PINGS_PER_TICK: usize = 3;

/// The local health score at most; Lifeguard's usual number.
const MAX_LOCAL_HEALTH_SCORE: u32 = 8;

/// Members never heard of that are pinged in each period, until each was tried once: a start among 350 takes 44 periods.
const DISCOVERY_PINGS_PER_PERIOD: usize = 8;

/// Once each was tried, one member that is not alive is pinged every so many periods, so that two halves of a healed
/// partition find each other.
const PERIODS_PER_RECOVERY_PING: u64 = 4;

/// Periods that a suspicion lasts at least, times log10 of the number of members: SWIM's usual number.
const SUSPICION_PERIODS: u64 = 4;

/// What is known of another member.
struct MemberRecord {
    /// The newest update; `None`: it was never heard of.
    update: Option<MemberUpdate>,
    /// When it is declared dead, while it is suspected.
    suspicion_ends: Time,
}

/// The probe of the current period.
struct Probe {
    target: usize,
    seq: u32,
    sent_at: Time,
    indirect_sent: bool,
}

/// Membership as one member sees it.
pub struct Membership {
    me: usize,
    incarnation: u64,
    refutation: u32,
    period: Time,
    /// By member; our own entry is not used.
    members: Vec<MemberRecord>,
    gossip: GossipQueue,
    probe_order: ProbeOrder,
    probe: Option<Probe>,
    indirect_pings: IndirectPings,
    last_seq: u32,
    /// When the next period begins.
    next_period_at: Time,
    periods: u64,
    last_tick: Time,
    /// Lifeguard's local health: 0 is healthy; the higher, the more likely it is that we are slow ourselves.
    local_health_score: u32,
    leaving: bool,
    /// How many members were tried in search of those never heard of.
    discovery_attempts: usize,
    /// How often we suspected another member.
    pub suspicions_raised: u64,
    /// How often we refuted that we are suspected or dead.
    pub suspicions_refuted: u64,
}

impl Membership {
    /// Member number `me` of `members`, started at wall-clock millisecond `incarnation`. `period` is the time between
    /// probes, `first_period_in` the time until the first one, by which members that start together differ.
    pub fn new(
        now: Time,
        me: usize,
        incarnation: u64,
        members: usize,
        period: Time,
        first_period_in: Time,
    ) -> Membership {
        let unknown = || MemberRecord {
            update: None,
            suspicion_ends: 0,
        };
        let mut gossip = GossipQueue::new(members);
        gossip.enqueue(me, GossipPriority::Urgent);
        Membership {
            me,
            incarnation,
            refutation: 0,
            period,
            members: (0..members).map(|_| unknown()).collect(),
            gossip,
            probe_order: ProbeOrder::new((0..members).filter(|member| *member != me)),
            probe: None,
            indirect_pings: IndirectPings::default(),
            last_seq: 0,
            next_period_at: now + first_period_in,
            periods: 0,
            last_tick: now,
            local_health_score: 0,
            leaving: false,
            discovery_attempts: 0,
            suspicions_raised: 0,
            suspicions_refuted: 0,
        }
    }

    /// The newest update about a member, ourselves included; `None`: it was never heard of.
    pub fn update_of(&self, member: usize) -> Option<MemberUpdate> {
        if member == self.me {
            return Some(self.own_update());
        }
        self.members[member].update
    }

    /// Whether the member is alive as far as we know; one that is suspected still is.
    pub fn is_alive(&self, member: usize) -> bool {
        self.update_of(member).is_some_and(MemberUpdate::is_alive)
    }

    /// What we report about ourselves.
    pub fn own_update(&self) -> MemberUpdate {
        MemberUpdate {
            incarnation: self.incarnation,
            refutation: self.refutation,
            state: if self.leaving {
                MemberState::Left
            } else {
                MemberState::Alive
            },
        }
    }

    /// The number of members that are alive, ourselves included.
    pub fn alive_count(&self) -> usize {
        (0..self.members.len())
            .filter(|member| self.is_alive(*member))
            .count()
    }

    /// What the receiver of a datagram should learn first: that it is thought suspect or dead, so that it can refute it.
    pub fn update_for(&self, to: usize) -> Option<MemberUpdate> {
        self.update_of(to)
            .filter(|update| update.state > MemberState::Alive)
    }

    /// The next update to send along with a datagram: a member, and what is known of it.
    pub fn next_gossip(&mut self) -> Option<(usize, MemberUpdate)> {
        loop {
            let member = self.gossip.pop_next()?;
            if let Some(update) = self.update_of(member) {
                return Some((member, update));
            }
        }
    }

    /// 0 is no number of a probe, see [`MembershipActions::ping`].
    fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1).max(1);
        self.last_seq
    }

    /// How long a probe waits for a direct ack; for indirect ones twice as long.
    fn ack_timeout(&self) -> Time {
        self.period / 3 * Time::from(1 + self.local_health_score)
    }

    fn suspicion_duration(&self) -> Time {
        // log10 of the members, from their log2.
        let logarithm = (u64::from((self.members.len() + 1).ilog2()) * 3).div_ceil(10);
        let by_health = Time::from(1 + self.local_health_score / 2);
        SUSPICION_PERIODS * logarithm.max(1) * self.period * by_health
    }

    fn local_health_worsened(&mut self) {
        self.local_health_score = (self.local_health_score + 1).min(MAX_LOCAL_HEALTH_SCORE);
    }

    /// The process was paused or starved for that long: what was not received meanwhile says nothing about others.
    pub fn process_stalled(&mut self, duration: Time) {
        if duration < self.period / 2 {
            return;
        }
        self.probe = None;
        self.indirect_pings.clear();
        for member in &mut self.members {
            member.suspicion_ends += duration;
        }
        self.local_health_worsened();
    }

    /// Does what is due; to be called at least three times a period.
    pub fn tick(&mut self, now: Time, actions: &mut impl MembershipActions) {
        // A late tick: the process was starved, however it came about.
        let late = (now - self.last_tick).saturating_sub(self.period);
        self.last_tick = now;
        self.process_stalled(late);
        self.check_probe(now, actions);
        self.expire_suspicions(now, actions);
        if self.leaving {
            self.announce_leave(actions);
        } else if now >= self.next_period_at {
            self.next_period_at = now + self.period;
            self.periods += 1;
            self.ping_members_not_alive(actions);
            self.start_probe(now, actions);
        }
    }

    fn check_probe(&mut self, now: Time, actions: &mut impl MembershipActions) {
        let Some(probe) = &self.probe else {
            return;
        };
        let (target, seq, sent_at) = (probe.target, probe.seq, probe.sent_at);
        if now >= sent_at + 3 * self.ack_timeout() {
            self.probe = None;
            self.local_health_worsened();
            self.suspect(now, actions, target);
        } else if !probe.indirect_sent && now >= sent_at + self.ack_timeout() {
            self.probe_indirectly(actions, target, seq);
        }
    }

    fn expire_suspicions(&mut self, now: Time, actions: &mut impl MembershipActions) {
        for member in 0..self.members.len() {
            let record = &self.members[member];
            let suspected = |update: &MemberUpdate| update.state == MemberState::Suspect;
            if let Some(update) = record.update.filter(suspected) {
                if now >= record.suspicion_ends {
                    self.apply_update(now, actions, member, update.with_state(MemberState::Dead));
                }
            }
        }
    }

    /// Pings a few members at each tick, one after the other: this process will not run much longer.
    fn announce_leave(&mut self, actions: &mut impl MembershipActions) {
        for _ in 0..LEAVE_PINGS_PER_TICK {
            let to = self.next_discovery_target();
            if to != self.me && self.is_alive(to) {
                actions.ping(to, 0);
            }
        }
    }

    /// Pings members never heard of, a few each period until each was tried; then now and then one that is not alive.
    fn ping_members_not_alive(&mut self, actions: &mut impl MembershipActions) {
        let all_tried = self.discovery_attempts >= self.members.len();
        let attempts = if all_tried {
            usize::from(self.periods.is_multiple_of(PERIODS_PER_RECOVERY_PING))
        } else {
            DISCOVERY_PINGS_PER_PERIOD
        };
        for _ in 0..attempts {
            let member = self.next_discovery_target();
            // In the first round those that are alive too: they may not know of this incarnation.
            if member != self.me && !(all_tried && self.is_alive(member)) {
                actions.ping(member, 0);
            }
        }
    }

    /// Members in turn, from our own number on, so that not all begin with the same one.
    fn next_discovery_target(&mut self) -> usize {
        self.discovery_attempts += 1;
        (self.me + self.discovery_attempts) % self.members.len()
    }

    /// Probes the next member that is alive, unless a probe is still under way.
    fn start_probe(&mut self, now: Time, actions: &mut impl MembershipActions) {
        if self.probe.is_some() {
            return;
        }
        for _ in 0..self.probe_order.members().len() {
            let target = self.probe_order.next_member(actions);
            if self.is_alive(target) {
                let seq = self.next_seq();
                self.probe = Some(Probe {
                    target,
                    seq,
                    sent_at: now,
                    indirect_sent: false,
                });
                actions.ping(target, seq);
                return;
            }
        }
    }

    fn probe_indirectly(&mut self, actions: &mut impl MembershipActions, target: usize, seq: u32) {
        if let Some(probe) = &mut self.probe {
            probe.indirect_sent = true;
        }
        let others: Vec<usize> = self
            .probe_order
            .members()
            .iter()
            .copied()
            .filter(|member| *member != target && self.is_alive(*member))
            .collect();
        let first = if others.is_empty() {
            0
        } else {
            actions.random_below(others.len() as u64) as usize
        };
        for i in 0..INDIRECT_PINGS.min(others.len()) {
            actions.ping_indirect(others[(first + i) % others.len()], target, seq);
        }
    }

    fn suspect(&mut self, now: Time, actions: &mut impl MembershipActions, member: usize) {
        let alive = |update: &MemberUpdate| update.state == MemberState::Alive;
        if let Some(update) = self.members[member].update.filter(alive) {
            self.suspicions_raised += 1;
            self.apply_update(
                now,
                actions,
                member,
                update.with_state(MemberState::Suspect),
            );
        }
    }

    /// Takes in an update if it is newer than what is known.
    fn apply_update(
        &mut self,
        now: Time,
        actions: &mut impl MembershipActions,
        member: usize,
        update: MemberUpdate,
    ) {
        if member == self.me {
            self.refute(update);
            return;
        }
        let previous = self.members[member].update;
        if previous.is_some_and(|known| known >= update) {
            return;
        }
        let was_alive = self.is_alive(member);
        self.members[member].update = Some(update);
        if update.state == MemberState::Suspect {
            self.members[member].suspicion_ends = now + self.suspicion_duration();
        }
        let never_suspected = update.state == MemberState::Alive && update.refutation == 0;
        let priority = if never_suspected {
            GossipPriority::Deferrable
        } else {
            GossipPriority::Urgent
        };
        self.gossip.enqueue(member, priority);
        let restarted = previous.is_some_and(|known| known.incarnation != update.incarnation);
        if update.is_alive() && (!was_alive || restarted) {
            actions.member_joined(member, update.incarnation);
        } else if was_alive && !update.is_alive() {
            actions.member_lost(member, update.state == MemberState::Left);
        }
    }

    /// An update about ourselves: where this incarnation is said to be suspect or dead, a new refutation overrules that.
    fn refute(&mut self, update: MemberUpdate) {
        let current =
            update.incarnation == self.incarnation && update.refutation >= self.refutation;
        if current && update.state > MemberState::Alive && !self.leaving {
            self.refutation = update.refutation + 1;
            self.suspicions_refuted += 1;
            self.local_health_worsened();
            self.gossip.enqueue(self.me, GossipPriority::Urgent);
        }
    }

    /// Any datagram was received from that member, with its update about itself. False where it is from a former incarnation
    /// or from no other member: the rest of the datagram is to be ignored.
    #[must_use]
    pub fn sender_heard(
        &mut self,
        now: Time,
        actions: &mut impl MembershipActions,
        from: usize,
        update: MemberUpdate,
    ) -> bool {
        let Some(record) = self.members.get(from).filter(|_| from != self.me) else {
            return false;
        };
        if record
            .update
            .is_some_and(|known| known.incarnation > update.incarnation)
        {
            return false;
        }
        let unrefuted = record.update.filter(|known| {
            update.state == MemberState::Alive
                && known.incarnation == update.incarnation
                && known.state > MemberState::Alive
                && known.refutation >= update.refutation
        });
        match unrefuted {
            // It is alive all the same: it learns what is reported about it with the answer, and refutes it.
            Some(known) => {
                if known.state == MemberState::Suspect {
                    self.members[from].suspicion_ends = now + self.suspicion_duration();
                }
            }
            None => self.apply_update(now, actions, from, update),
        }
        true
    }

    /// An update about a member that came along with a datagram. Members that do not exist are ignored.
    pub fn gossip_received(
        &mut self,
        now: Time,
        actions: &mut impl MembershipActions,
        member: usize,
        update: MemberUpdate,
    ) {
        if member < self.members.len() {
            self.apply_update(now, actions, member, update);
        }
    }

    /// A member pinged us.
    pub fn ping_received(&mut self, actions: &mut impl MembershipActions, from: usize, seq: u32) {
        actions.ack(from, self.me, seq);
    }

    /// A member asks us to ping `target` on its behalf.
    pub fn indirect_ping_received(
        &mut self,
        actions: &mut impl MembershipActions,
        from: usize,
        target: usize,
        requester_seq: u32,
    ) {
        if target >= self.members.len() || target == self.me {
            return;
        }
        let seq = self.next_seq();
        self.indirect_pings.add(IndirectPing {
            seq,
            target,
            requester: from,
            requester_seq,
        });
        actions.ping(target, seq);
    }

    /// `from` reports that `alive_member`, itself or the target of an indirect ping, is alive.
    pub fn ack_received(
        &mut self,
        actions: &mut impl MembershipActions,
        from: usize,
        alive_member: usize,
        seq: u32,
    ) {
        let answers = |probe: &Probe| probe.seq == seq && probe.target == alive_member;
        if self.probe.as_ref().is_some_and(answers) {
            self.probe = None;
            self.local_health_score = self.local_health_score.saturating_sub(1);
        }
        if from == alive_member {
            if let Some(ping) = self.indirect_pings.take_acknowledged(from, seq) {
                actions.ack(ping.requester, alive_member, ping.requester_seq);
            }
        }
    }

    /// This process is about to end; others learn it by what it reports about itself.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.gossip.enqueue(self.me, GossipPriority::Urgent);
    }
}
