//! The task that follows the members and claims, renews, grants and gives back leases: one UDP port, one channel each way.
use crate::codec::{self, item, DatagramEvents, DatagramHeader, ReplayWindow, DATAGRAM, LIFE};
use crate::config::CoordinationConfig;
use crate::counters::CoordinationCounters;
use crate::mailbox::{ExecutorCommand, ExecutorEvent, MailboxReceiver, MailboxSender};
use crate::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tidewall_lease::assignment::Assignment;
use tidewall_lease::ballot::{ballot, ballot_count};
use tidewall_lease::grantor::{Grant, GrantorReply, LeaseGrantor, LeaseOwner};
use tidewall_lease::holder::LeaseHolder;
use tidewall_lease::lease::{AcceptReply, LeaseActions, PrepareReply};
use tidewall_membership::{MemberUpdate, Membership, MembershipActions};
use tidewall_net::{App, CloseReason, Conn, DatagramSocket, Listener, Net};
use tidewall_vrrp::packet::Keys;
use tracing::{info, warn};

const OF_TICK: u64 = 1;

/// Rumours in one datagram at most: a dozen octets each, beside a batch of askings.
const RUMOURS: usize = 6;

/// Octets that one asking takes at most in a batch, and how many fit a datagram: from the codec's numbers.
const ASKING: u64 = 14;
const BATCH: u64 = 14;

/// Keys are read again, and counts told, this often.
const LOOK: Time = 100_000;

/// A leaver that cannot hand over what it holds ends after so many terms all the same: by then all has run out.
const LEAVING: Time = 2;

/// A question to the keeper that we are ourselves.
enum Own {
    Prepare { task: usize, ballot: u64 },
    Accept { task: usize, epoch: u64, tag: u32 },
    Release { task: usize, epoch: u64 },
}

/// Datagrams in the making, one for each member, sent together at the end of what happened.
struct Packets {
    me: usize,
    number: u64,
    bodies: Vec<Vec<u8>>,
    dirty: Vec<usize>,
    /// Those that members send each other as such: rumours ride on them alone. On a batch of renewals each would be told
    /// again and again to the same few keepers, and to nobody else.
    pings: Vec<bool>,
    /// Whole ones, with their receiver.
    ready: VecDeque<(usize, Vec<u8>)>,
    /// Lives of the members as we know them.
    lives: Vec<u64>,
    own: MemberUpdate,
}

impl Packets {
    fn add(&mut self, to: usize, kind: u64, numbers: &[u64]) {
        if to == self.me || to >= self.bodies.len() {
            return;
        }
        if self.bodies[to].is_empty() {
            self.begin(to);
        }
        if !codec::item(&mut self.bodies[to], kind, numbers) {
            self.close(to);
            self.begin(to);
            // A head and one item always fit.
            codec::item(&mut self.bodies[to], kind, numbers);
        }
    }

    fn begin(&mut self, to: usize) {
        self.number += 1;
        let (to_life, number) = (self.lives[to] & LIFE, self.number);
        let head = DatagramHeader {
            from: self.me,
            to,
            to_life,
            word: self.own,
            number,
        };
        codec::head(&mut self.bodies[to], &head);
        self.dirty.push(to);
    }

    fn close(&mut self, to: usize) {
        let body = std::mem::take(&mut self.bodies[to]);
        if !body.is_empty() {
            self.ready.push_back((to, body));
        }
    }
}

/// What the machines act through.
struct Side {
    packets: Packets,
    keepers: Vec<usize>,
    own: VecDeque<Own>,
    acts: MailboxSender<ExecutorCommand>,
    /// Tasks held of which those that act could not be told.
    untold: BTreeSet<usize>,
    chance: ChaCha8Rng,
    /// Members that came or went, to be shared out.
    news: Vec<(usize, Option<u64>, bool)>,
}

impl MembershipActions for Side {
    fn ping(&mut self, to: usize, seq: u32) {
        self.packets.add(to, item::PING, &[u64::from(seq)]);
        self.packets.pings[to] = true;
    }
    fn ping_indirect(&mut self, via: usize, target: usize, seq: u32) {
        self.packets
            .add(via, item::PING_FOR, &[target as u64, u64::from(seq)]);
        self.packets.pings[via] = true;
    }
    fn ack(&mut self, to: usize, of: usize, seq: u32) {
        self.packets
            .add(to, item::ACK, &[of as u64, u64::from(seq)]);
        self.packets.pings[to] = true;
    }
    fn member_joined(&mut self, member: usize, life: u64) {
        self.news.push((member, Some(life), false));
    }
    fn member_lost(&mut self, member: usize, left: bool) {
        self.news.push((member, None, left));
    }
    fn random_below(&mut self, below: u64) -> u64 {
        self.chance.random_range(0..below.max(1))
    }
}

impl LeaseActions for Side {
    fn prepare(&mut self, keeper: usize, task: usize, ballot: u64) {
        match self.keepers[keeper] {
            me if me == self.packets.me => self.own.push_back(Own::Prepare { task, ballot }),
            to => self
                .packets
                .add(to, item::PREPARE, &[task as u64, ballot_count(ballot)]),
        }
    }
    fn accept(&mut self, keeper: usize, task: usize, epoch: u64, tag: u32) {
        match self.keepers[keeper] {
            me if me == self.packets.me => self.own.push_back(Own::Accept { task, epoch, tag }),
            to => self.packets.add(
                to,
                item::ACCEPT,
                &[task as u64, ballot_count(epoch), u64::from(tag)],
            ),
        }
    }
    fn release(&mut self, keeper: usize, task: usize, epoch: u64) {
        match self.keepers[keeper] {
            me if me == self.packets.me => self.own.push_back(Own::Release { task, epoch }),
            to => self
                .packets
                .add(to, item::RELEASE, &[task as u64, ballot_count(epoch)]),
        }
    }
    fn lease_acquired(&mut self, task: usize, epoch: u64, until: Time) {
        // Where the channel is full it is told at one of the next ticks; until then nobody acts on it.
        if !self
            .acts
            .send(ExecutorCommand::LeaseAcquired { task, epoch, until })
        {
            self.untold.insert(task);
        }
    }
    fn lease_lost(&mut self, task: usize, epoch: u64) {
        self.acts.send(ExecutorCommand::LeaseLost { task, epoch });
    }
    fn random_below(&mut self, below: Time) -> Time {
        self.chance.random_range(0..below.max(1))
    }
}

/// What a member may still send.
struct Budget {
    datagrams: i64,
    bytes: i64,
    per_s: (i64, i64),
    last: Time,
    rest: (i64, i64),
}

impl Budget {
    /// Filled up to a second's worth.
    fn fill(&mut self, now: Time) {
        let past = (now - self.last).min(10_000) as i64;
        self.last = now;
        let add = |rest: &mut i64, per_s: i64| {
            let all = per_s * past + *rest;
            *rest = all % 10_000;
            all / 10_000
        };
        self.datagrams = (self.datagrams + add(&mut self.rest.0, self.per_s.0)).min(self.per_s.0);
        self.bytes = (self.bytes + add(&mut self.rest.1, self.per_s.1)).min(self.per_s.1);
    }

    /// Tasks that may be asked for now.
    fn most(&self, keepers: u64) -> usize {
        let (datagrams, bytes) = (self.datagrams.max(0) as u64, self.bytes.max(0) as u64);
        ((datagrams * BATCH).min(bytes / ASKING) / keepers.max(1)) as usize
    }
}

pub struct LeaseTask<N: Net> {
    net: N,
    port: DatagramSocket,
    conf: CoordinationConfig,
    members: Membership,
    keeper: Option<LeaseGrantor>,
    /// By member: which keeper it is.
    places: Vec<Option<usize>>,
    holder: LeaseHolder,
    share: Assignment,
    /// When a member that came takes part in the share: it may flap, and a start is no crowd of moves.
    settles: Vec<Option<Time>>,
    side: Side,
    windows: Vec<ReplayWindow>,
    acts: MailboxReceiver<ExecutorEvent>,
    budget: Budget,
    keys: Keys,
    stood: Time,
    looked: Time,
    complained: Time,
    pub counts: CoordinationCounters,
    told: Arc<AtomicBool>,
    leaves: Option<Time>,
    over: bool,
}

impl<N: Net> LeaseTask<N> {
    /// `told` is set when this member is to go.
    pub fn new(
        mut net: N,
        conf: CoordinationConfig,
        acts: (
            MailboxSender<ExecutorCommand>,
            MailboxReceiver<ExecutorEvent>,
        ),
        told: Arc<AtomicBool>,
    ) -> Result<LeaseTask<N>, String> {
        let (port, _) = net
            .bind_datagram(conf.listen)
            .map_err(|e| format!("{}: common_address: {e}", conf.listen))?;
        let now = net.now();
        let n = conf.names.len();
        let mut chance = ChaCha8Rng::seed_from_u64(conf.seed ^ 0x1ea5e);
        let first = chance.random_range(0..conf.period.max(1));
        let members = Membership::new(now, conf.member, conf.incarnation, n, conf.period, first);
        let packets = Packets {
            me: conf.member,
            number: 0,
            bodies: vec![Vec::new(); n],
            dirty: Vec::new(),
            pings: vec![false; n],
            ready: VecDeque::new(),
            lives: vec![0; n],
            own: members.own_update(),
        };
        let (post, inbox) = acts;
        let keepers = conf.grantors.clone();
        let (own, untold) = (VecDeque::new(), BTreeSet::new());
        let side = Side {
            packets,
            keepers,
            own,
            acts: post,
            untold,
            chance,
            news: Vec::new(),
        };
        let is_keeper = conf.grantors.contains(&conf.member);
        let keeper = is_keeper
            .then(|| LeaseGrantor::new(now, conf.tasks, conf.lease_duration, conf.safety_checks));
        let mut settles = vec![None; n];
        settles[conf.member] = Some(now + conf.lease_duration);
        let per_s = (conf.datagrams as i64, conf.bytes as i64);
        let budget = Budget {
            datagrams: per_s.0,
            bytes: per_s.1,
            per_s,
            last: now,
            rest: (0, 0),
        };
        net.set_timer(now + conf.tick(), OF_TICK);
        Ok(LeaseTask {
            port,
            members,
            keeper,
            places: (0..n)
                .map(|m| conf.grantors.iter().position(|k| *k == m))
                .collect(),
            holder: LeaseHolder::new(conf.terms(), conf.tasks),
            share: Assignment::new(&conf.names, conf.tasks),
            settles,
            side,
            windows: vec![ReplayWindow::default(); n],
            acts: inbox,
            budget,
            keys: (conf.keys)(),
            stood: net.total_stall(),
            looked: now,
            complained: 0,
            counts: CoordinationCounters::new(),
            told,
            leaves: None,
            over: false,
            net,
            conf,
        })
    }

    pub fn members(&self) -> &Membership {
        &self.members
    }

    pub fn holder(&self) -> &LeaseHolder {
        &self.holder
    }

    /// Who should hold that task, as far as is known here.
    pub fn preferred_holder(&self, task: usize) -> Option<usize> {
        self.share.owner(task)
    }

    /// It has handed over what it held, and may end.
    pub fn is_finished(&self) -> bool {
        self.over
    }

    pub fn dropped_commands(&self) -> u64 {
        self.side.acts.full
    }

    fn stood(&mut self) {
        let stood = self.net.total_stall();
        self.members
            .process_stalled(stood - std::mem::replace(&mut self.stood, stood));
    }

    fn tick(&mut self) {
        let now = self.net.now();
        self.stood();
        while let Some(message) = self.acts.try_receive() {
            self.acts_say(now, message);
        }
        while let Some(task) = self.side.untold.first().copied() {
            let lease = self.holder.lease(task);
            let (epoch, until) = (lease.epoch, lease.usable_until);
            if lease.is_held(now)
                && !self
                    .side
                    .acts
                    .send(ExecutorCommand::LeaseAcquired { task, epoch, until })
            {
                break;
            }
            self.side.untold.remove(&task);
        }
        if self.leaves.is_none() && self.told.load(Ordering::Relaxed) {
            self.leave(now);
        }
        self.members.tick(now, &mut self.side);
        self.shared_out(now);
        self.budget.fill(now);
        let most = self.budget.most(self.conf.grantors.len() as u64);
        self.holder.run_due(now, &mut self.side, most);
        self.done(now);
        if now >= self.looked + LOOK {
            self.looked = now;
            self.keys = (self.conf.keys)();
            self.counts.held.set(self.holder.held_count(now) as i64);
            self.counts.members.set(self.members.alive_count() as i64);
            let full = self.side.acts.full;
            self.counts.full.inc_by(full - self.counts.full.get());
            if let Some(line) = self.counts.line() {
                info!(member = %self.conf.name, "{line}");
            }
        }
        if self.leaves.is_some_and(|at| {
            self.holder.running_count() == 0 || now > at + LEAVING * self.conf.lease_duration
        }) {
            // One tick more, so that what was said last has left.
            if std::mem::replace(&mut self.over, true) {
                return self.net.stop();
            }
        }
        self.net.set_timer(now + self.conf.tick(), OF_TICK);
    }

    /// Told to go: what is held here is given to those that should have it then.
    fn leave(&mut self, now: Time) {
        info!(member = %self.conf.name, held = self.holder.running_count(), "leaves; its leases are handed over");
        self.leaves = Some(now);
        self.members.leave();
        self.settles[self.conf.member] = None;
        self.side.news.push((self.conf.member, None, true));
    }

    fn acts_say(&mut self, now: Time, message: ExecutorEvent) {
        match message {
            ExecutorEvent::ExecutionStopped { task, epoch } => {
                if self
                    .holder
                    .execution_stopped(now, &mut self.side, task, epoch)
                {
                    self.counts.given_back.inc();
                    if let Some(to) = self.share.owner(task).filter(|to| *to != self.conf.member) {
                        self.side.packets.add(to, item::HANDED, &[task as u64]);
                    }
                }
            }
            ExecutorEvent::Seen { task, epoch } => {
                self.holder
                    .higher_epoch_seen(now, &mut self.side, task, epoch)
            }
        }
    }

    /// Who came and who went, and which tasks move by it.
    fn shared_out(&mut self, now: Time) {
        let me = self.conf.member;
        for (member, life, left) in std::mem::take(&mut self.side.news) {
            let name = &self.conf.names[member];
            match life {
                Some(life) => {
                    info!(member = %self.conf.name, other = %name, life, "is there");
                    self.side.packets.lives[member] = life;
                    self.settles[member] = Some(now + self.conf.lease_duration);
                }
                None => {
                    info!(member = %self.conf.name, other = %name, left, "is not there any more");
                    self.settles[member] = None;
                    let (holder, side) = (&mut self.holder, &mut self.side);
                    self.share.member_left(member, |task, _, to| {
                        holder.set_wanted(now, side, task, to == Some(me), left);
                    });
                }
            }
        }
        for member in 0..self.settles.len() {
            if self.settles[member].is_some_and(|at| now >= at) {
                self.settles[member] = None;
                let (holder, side) = (&mut self.holder, &mut self.side);
                self.share.member_joined(member, |task, _, to| {
                    holder.set_wanted(now, side, task, to == Some(me), false);
                });
            }
        }
    }

    /// What we ask ourselves, and what goes out.
    fn done(&mut self, now: Time) {
        while let Some(own) = self.side.own.pop_front() {
            let (me, life) = (self.conf.member, self.conf.incarnation);
            let Some(keeper) = &mut self.keeper else {
                continue;
            };
            let owner = LeaseOwner {
                member: me,
                incarnation: life,
            };
            let place = self.places[me].expect("it is one");
            match own {
                Own::Prepare { task, ballot } => {
                    if let Some(told) = keeper.prepare(now, task, ballot, owner) {
                        self.holder.prepare_replied(
                            now,
                            &mut self.side,
                            task,
                            PrepareReply {
                                grantor: place,
                                ballot,
                                reply: told,
                            },
                        );
                    }
                }
                Own::Accept { task, epoch, tag } => {
                    if let Some(told) = keeper.accept(
                        now,
                        task,
                        Grant {
                            epoch,
                            member: me,
                            incarnation: life,
                        },
                    ) {
                        self.holder.accept_replied(
                            now,
                            &mut self.side,
                            task,
                            AcceptReply {
                                grantor: place,
                                epoch,
                                tag,
                                reply: told,
                            },
                        );
                    }
                }
                Own::Release { task, epoch } => keeper.release(now, task, epoch),
            }
        }
        self.post();
    }

    /// Closes all datagrams, with rumours in what room they have, and sends them.
    fn post(&mut self) {
        while let Some(to) = self.side.packets.dirty.pop() {
            let packets = &mut self.side.packets;
            if packets.bodies[to].is_empty() {
                continue;
            }
            let first = self.members.update_for(to).map(|w| (to, w));
            let rumours = if std::mem::take(&mut packets.pings[to]) {
                RUMOURS
            } else {
                usize::from(first.is_some())
            };
            for i in 0..rumours {
                let rumour = if i == 0 { first } else { None };
                let Some((of, w)) = rumour.or_else(|| self.members.next_gossip()) else {
                    break;
                };
                let numbers = [
                    of as u64,
                    w.incarnation,
                    u64::from(w.refutation),
                    w.state as u64,
                ];
                if !codec::item(&mut packets.bodies[to], item::WORD, &numbers) {
                    break;
                }
            }
            packets.close(to);
        }
        while let Some((to, mut body)) = self.side.packets.ready.pop_front() {
            codec::seal(&mut body, &self.keys);
            debug_assert!(body.len() <= DATAGRAM);
            self.counts.sent.inc();
            self.counts.sent_bytes.inc_by(body.len() as u64);
            self.budget.datagrams -= 1;
            self.budget.bytes -= body.len() as i64;
            self.net
                .send_datagram(self.port, self.conf.reach[to], &body);
        }
        self.side.packets.own = self.members.own_update();
    }

    /// A datagram that is not good costs itself alone: a count, and a line a second at most.
    fn refuse(&mut self, now: Time, from: SocketAddr, why: &'static str) {
        self.counts.refused.inc();
        if now >= self.complained + 10_000 || self.complained == 0 {
            self.complained = now.max(1);
            warn!(member = %self.conf.name, %from, why, "datagram refused");
        }
    }

    fn heard(&mut self, now: Time, bytes: &[u8]) -> Result<(), &'static str> {
        let body = codec::open(bytes, &self.keys)?;
        let (head, at) = codec::read_head(body)?;
        if head.to != self.conf.member {
            return Err("to: another member");
        }
        if head.from >= self.windows.len() || head.from == self.conf.member {
            return Err("from: no other member");
        }
        if head.to_life != 0 && head.to_life != self.conf.incarnation & LIFE {
            return Err("to: a former life");
        }
        // All of it is looked at before any of it counts.
        codec::whole(&body[at..])?;
        let new = self.windows[head.from].new_one(head.word.incarnation, head.number);
        if self.conf.safety_checks.replay_protection {
            new?;
        }
        if !self
            .members
            .sender_heard(now, &mut self.side, head.from, head.word)
        {
            return Err("life: a former one");
        }
        self.side.packets.lives[head.from] = head.word.incarnation;
        // Whoever says that it goes may hand something over in the same breath.
        self.shared_out(now);
        self.counts.came.inc();
        let mut ears = Ears {
            k: self,
            now,
            life: head.word.incarnation,
        };
        codec::calls(&body[at..], head.from, &mut ears)
    }
}

struct Ears<'a, N: Net> {
    k: &'a mut LeaseTask<N>,
    now: Time,
    /// The sender's.
    life: u64,
}

impl<N: Net> Ears<'_, N> {
    fn answer(&mut self, to: usize, (yes, no): (u64, u64), of: &[u64], told: GrantorReply) {
        let p = told.state;
        let kept = [
            p.accepted.epoch,
            p.accepted.member as u64,
            p.accepted.incarnation,
            told.remaining,
        ];
        let mut numbers = of.to_vec();
        if !told.granted {
            numbers.push(p.promised);
        }
        if yes != item::ACCEPTED || !told.granted {
            numbers.extend_from_slice(&kept);
        }
        self.k
            .side
            .packets
            .add(to, if told.granted { yes } else { no }, &numbers);
    }

    fn mine(&self, count: u64) -> u64 {
        ballot(self.k.conf.member, self.k.conf.incarnation, count)
    }
}

impl<N: Net> DatagramEvents for Ears<'_, N> {
    fn ping(&mut self, from: usize, seq: u32) {
        self.k.members.ping_received(&mut self.k.side, from, seq);
    }
    fn ping_for(&mut self, from: usize, target: usize, seq: u32) {
        self.k
            .members
            .indirect_ping_received(&mut self.k.side, from, target, seq);
    }
    fn ack(&mut self, from: usize, of: usize, seq: u32) {
        self.k.members.ack_received(&mut self.k.side, from, of, seq);
    }
    fn word(&mut self, member: usize, word: MemberUpdate) {
        self.k
            .members
            .gossip_received(self.now, &mut self.k.side, member, word);
    }
    fn prepare(&mut self, from: usize, task: usize, count: u64) {
        let now = self.now;
        let whose = LeaseOwner {
            member: from,
            incarnation: self.life,
        };
        let told = self
            .k
            .keeper
            .as_mut()
            .and_then(|k| k.prepare(now, task, ballot(from, self.life, count), whose));
        if let Some(told) = told {
            self.answer(
                from,
                (item::PROMISED, item::NOT_PROMISED),
                &[task as u64, count],
                told,
            );
        }
    }
    fn accept(&mut self, from: usize, task: usize, count: u64, tag: u32) {
        let grant = Grant {
            epoch: ballot(from, self.life, count),
            member: from,
            incarnation: self.life,
        };
        let now = self.now;
        if let Some(told) = self
            .k
            .keeper
            .as_mut()
            .and_then(|k| k.accept(now, task, grant))
        {
            self.k.counts.granted.inc_by(u64::from(told.granted));
            let of = [task as u64, count, u64::from(tag)];
            self.answer(from, (item::ACCEPTED, item::NOT_ACCEPTED), &of, told);
        }
    }
    fn release(&mut self, from: usize, task: usize, count: u64) {
        let epoch = ballot(from, self.life, count);
        if let Some(keeper) = &mut self.k.keeper {
            keeper.release(self.now, task, epoch);
        }
    }
    fn handed(&mut self, task: usize) {
        if task < self.k.conf.tasks && self.k.share.owner(task) == Some(self.k.conf.member) {
            self.k
                .holder
                .set_wanted(self.now, &mut self.k.side, task, true, true);
        }
    }
    fn promised(&mut self, from: usize, task: usize, count: u64, told: GrantorReply) {
        let Some(place) = self.k.places[from] else {
            return;
        };
        let ballot = self.mine(count);
        let told = self.mined(told, ballot);
        let reply = PrepareReply {
            grantor: place,
            ballot,
            reply: told,
        };
        self.k
            .holder
            .prepare_replied(self.now, &mut self.k.side, task, reply);
    }
    fn accepted(&mut self, from: usize, task: usize, count: u64, tag: u32, told: GrantorReply) {
        let Some(place) = self.k.places[from] else {
            return;
        };
        let epoch = self.mine(count);
        let told = self.mined(told, epoch);
        let reply = AcceptReply {
            grantor: place,
            epoch,
            tag,
            reply: told,
        };
        self.k
            .holder
            .accept_replied(self.now, &mut self.k.side, task, reply);
    }
}

impl<N: Net> Ears<'_, N> {
    /// A good answer's promise is the ballot that was asked with.
    fn mined(&self, mut told: GrantorReply, ballot: u64) -> GrantorReply {
        if told.granted {
            told.state.promised = ballot;
        }
        told
    }
}

impl<N: Net> App for LeaseTask<N> {
    type Net = N;

    fn net(&mut self) -> &mut N {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, _: Conn, _: SocketAddr) {}
    fn connected(&mut self, _: Conn) {}
    fn received(&mut self, _: Conn, bytes: &[u8]) -> usize {
        bytes.len()
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, _: Conn, _: CloseReason) {}

    fn datagram_received(&mut self, _: DatagramSocket, from: SocketAddr, bytes: &[u8]) {
        let now = self.net.now();
        // After a standstill what lies unread here is old: what it says of time was counted from before.
        self.stood();
        if let Err(why) = self.heard(now, bytes) {
            self.refuse(now, from, why);
        }
        self.shared_out(now);
        self.done(now);
    }

    fn timer_fired(&mut self, _: u64) {
        self.tick();
    }
}
