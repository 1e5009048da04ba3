//! The state machine of one member: its probes, its suspicions, and its knowledge of the other members.
use crate::gossip::{GossipPriority, GossipQueue};
use crate::indirect::{IndirectPing, IndirectPings};
use crate::probe_order::ProbeOrder;
use crate::{MemberState, MemberUpdate, MembershipActions, Time};

/// The number of members that are asked for an indirect ping; SWIM's usual value.
const INDIRECT_PINGS: usize = 3;

/// The number of members that are pinged at each tick while this one leaves. This keeps the number of
/// datagrams per tick low, and in a usual fleet all members are reached within a few dozen ticks.
const LEAVE_PINGS_PER_TICK: usize = 3;

/// The maximum local health score; Lifeguard's usual value.
const MAX_LOCAL_HEALTH_SCORE: u32 = 8;

/// The number of unknown members that are pinged in each period until each was tried once: a start among 350
/// members takes 44 periods.
const DISCOVERY_PINGS_PER_PERIOD: usize = 8;

/// Once each member was tried, one member that is not alive is pinged every this many periods, so that the
/// two sides of a healed partition find each other.
const PERIODS_PER_RECOVERY_PING: u64 = 4;

/// The minimum duration of a suspicion in periods, per log10 of the number of members; SWIM's usual value.
const SUSPICION_PERIODS: u64 = 4;

/// What this member knows about another one.
struct MemberRecord {
    /// The newest update; `None` if the member is unknown.
    update: Option<MemberUpdate>,
    /// When the member is declared dead, while it is suspected.
    suspicion_ends: Time,
}

/// The probe in progress.
struct Probe {
    target: usize,
    seq: u32,
    sent_at: Time,
    indirect_sent: bool,
}

/// The membership as seen by one member.
pub struct Membership {
    own_member: usize,
    incarnation: u64,
    refutation: u32,
    period: Time,
    /// Indexed by member. This member's own entry is not used.
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
    /// Lifeguard's local health: 0 is healthy; the higher the score, the more likely it is that this member
    /// itself is slow.
    local_health_score: u32,
    leaving: bool,
    /// The number of members tried in search of unknown ones.
    discovery_attempts: usize,
    /// How often this member suspected another one.
    pub suspicions_raised: u64,
    /// How often this member refuted an update that called it suspect or dead.
    pub suspicions_refuted: u64,
}

impl Membership {
    /// Creates the state of member number `own_member` of `members`, started at wall-clock millisecond
    /// `incarnation`. `period` is the time between probes. `first_period_in` is the time until the first
    /// probe; members that start together use different values.
    pub fn new(
        now: Time,
        own_member: usize,
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
        gossip.enqueue(own_member, GossipPriority::Urgent);
        Membership {
            own_member,
            incarnation,
            refutation: 0,
            period,
            members: (0..members).map(|_| unknown()).collect(),
            gossip,
            probe_order: ProbeOrder::new((0..members).filter(|member| *member != own_member)),
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

    /// The newest update about a member, which may be this one; `None` if the member is unknown.
    pub fn update_of(&self, member: usize) -> Option<MemberUpdate> {
        if member == self.own_member {
            return Some(self.own_update());
        }
        self.members[member].update
    }

    /// Whether the member is alive as far as this one knows. A suspected member still counts as alive.
    pub fn is_alive(&self, member: usize) -> bool {
        self.update_of(member).is_some_and(MemberUpdate::is_alive)
    }

    /// The update that this member reports about itself.
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

    /// The number of members that are alive, including this one.
    pub fn alive_count(&self) -> usize {
        (0..self.members.len())
            .filter(|member| self.is_alive(*member))
            .count()
    }

    /// The update that the receiver of a datagram should learn first: that it is considered suspect, dead or
    /// departed, so that it can refute this.
    pub fn update_for(&self, to: usize) -> Option<MemberUpdate> {
        self.update_of(to)
            .filter(|update| update.state > MemberState::Alive)
    }

    /// The next update to piggyback on a datagram: a member, and what is known about it.
    pub fn next_gossip(&mut self) -> Option<(usize, MemberUpdate)> {
        loop {
            let member = self.gossip.pop_next()?;
            if let Some(update) = self.update_of(member) {
                return Some((member, update));
            }
        }
    }

    /// Returns the next sequence number of a probe, which is never 0, see [`MembershipActions::ping`].
    fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1).max(1);
        self.last_seq
    }

    /// How long a probe waits for a direct ack. After that, it waits twice this time for indirect acks.
    fn ack_timeout(&self) -> Time {
        self.period / 3 * Time::from(1 + self.local_health_score)
    }

    fn suspicion_duration(&self) -> Time {
        // Approximates log10 of the number of members from its log2.
        let logarithm = (u64::from((self.members.len() + 1).ilog2()) * 3).div_ceil(10);
        let by_health = Time::from(1 + self.local_health_score / 2);
        SUSPICION_PERIODS * logarithm.max(1) * self.period * by_health
    }

    fn local_health_worsened(&mut self) {
        self.local_health_score = (self.local_health_score + 1).min(MAX_LOCAL_HEALTH_SCORE);
    }

    /// Records that the process was paused or starved for `duration`: missing messages during that time say
    /// nothing about other members.
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

    /// Performs all actions that are due. To be called at least three times per period.
    pub fn tick(&mut self, now: Time, actions: &mut impl MembershipActions) {
        // A late tick means that the process was starved, whatever the cause.
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

    /// Pings a few members at each tick, in turn, because this process will end soon.
    fn announce_leave(&mut self, actions: &mut impl MembershipActions) {
        for _ in 0..LEAVE_PINGS_PER_TICK {
            let to = self.next_discovery_target();
            if to != self.own_member && self.is_alive(to) {
                actions.ping(to, 0);
            }
        }
    }

    /// Pings unknown members, a few in each period, until each was tried. After that, occasionally pings a
    /// member that is not alive.
    fn ping_members_not_alive(&mut self, actions: &mut impl MembershipActions) {
        let all_tried = self.discovery_attempts >= self.members.len();
        let attempts = if all_tried {
            usize::from(self.periods.is_multiple_of(PERIODS_PER_RECOVERY_PING))
        } else {
            DISCOVERY_PINGS_PER_PERIOD
        };
        for _ in 0..attempts {
            let member = self.next_discovery_target();
            // The first pass includes members that are alive: they may not know this incarnation.
            if member != self.own_member && !(all_tried && self.is_alive(member)) {
                actions.ping(member, 0);
            }
        }
    }

    /// Returns the members in turn, starting after this member's own number, so that members do not all begin
    /// with the same one.
    fn next_discovery_target(&mut self) -> usize {
        self.discovery_attempts += 1;
        (self.own_member + self.discovery_attempts) % self.members.len()
    }

    /// Probes the next member that is alive, unless a probe is in progress.
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

    /// Applies an update if it is newer than what is known.
    fn apply_update(
        &mut self,
        now: Time,
        actions: &mut impl MembershipActions,
        member: usize,
        update: MemberUpdate,
    ) {
        if member == self.own_member {
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

    /// Handles an update about this member: if it calls this incarnation suspect or dead, a new refutation
    /// overrides it.
    fn refute(&mut self, update: MemberUpdate) {
        let current =
            update.incarnation == self.incarnation && update.refutation >= self.refutation;
        if current && update.state > MemberState::Alive && !self.leaving {
            self.refutation = update.refutation + 1;
            self.suspicions_refuted += 1;
            self.local_health_worsened();
            self.gossip.enqueue(self.own_member, GossipPriority::Urgent);
        }
    }

    /// Handles the update that a sender reports about itself, which every datagram contains. Returns false if
    /// the sender is not another member or if the datagram is from a previous incarnation; the rest of the
    /// datagram is then to be ignored.
    #[must_use]
    pub fn sender_heard(
        &mut self,
        now: Time,
        actions: &mut impl MembershipActions,
        from: usize,
        update: MemberUpdate,
    ) -> bool {
        let Some(record) = self.members.get(from).filter(|_| from != self.own_member) else {
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
            // The sender is alive nevertheless. It learns from the reply what is reported about it, and
            // refutes it.
            Some(known) => {
                if known.state == MemberState::Suspect {
                    self.members[from].suspicion_ends = now + self.suspicion_duration();
                }
            }
            None => self.apply_update(now, actions, from, update),
        }
        true
    }

    /// Handles an update that was piggybacked on a datagram. Updates about members that do not exist are
    /// ignored.
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

    /// Handles a ping from another member.
    pub fn ping_received(&mut self, actions: &mut impl MembershipActions, from: usize, seq: u32) {
        actions.ack(from, self.own_member, seq);
    }

    /// Handles a request to ping `target` on behalf of `from`.
    pub fn indirect_ping_received(
        &mut self,
        actions: &mut impl MembershipActions,
        from: usize,
        target: usize,
        requester_seq: u32,
    ) {
        if target >= self.members.len() || target == self.own_member {
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

    /// Handles an ack: `from` reports that `alive_member`, which is itself or the target of an indirect ping,
    /// is alive.
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

    /// Announces the departure of this member, because its process is about to end. Others learn of it from
    /// what it reports about itself.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.gossip.enqueue(self.own_member, GossipPriority::Urgent);
    }
}
