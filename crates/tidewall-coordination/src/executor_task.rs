//! The task that does what is due for tasks held here: own connections to workers, one channel each way. An act goes by a
//! ticket that its worker gave out a short while ago, and whether it may go is asked right before it is written.
use crate::config::CoordinationConfig;
use crate::effect_scheduler::{EffectActions, EffectScheduler};
use crate::mailbox::{ExecutorCommand, ExecutorEvent, MailboxReceiver, MailboxSender};
use crate::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tidewall_lease::assignment::{checksum, key, weight};
use tidewall_net::{App, CloseReason, Conn, Listener, Net};
use tidewall_wire::{self as wire, kind, Field, Fields, Frame};
use tracing::debug;

const OF_TICK: u64 = 1;

/// Acts that wait for one worker's ticket at most: beyond, a turn is passed over.
const WAITING: usize = 4_096;

/// A connection on which nothing was answered for so many times the longest way is of no more use.
const SILENT: Time = 4;

struct Link {
    key: u64,
    name: String,
    at: SocketAddr,
    conn: Option<Conn>,
    /// It stands, and hello was said.
    up: bool,
    /// A ticket was asked for.
    asked: bool,
    /// Since when its hello, or a ticket, is awaited.
    since: Time,
    /// Tasks whose turn waits for a ticket.
    waiting: VecDeque<usize>,
    /// Acts that were not answered yet: by number, their task and round.
    out: BTreeMap<u64, (usize, u32)>,
}

struct Turns {
    due: Vec<usize>,
    post: MailboxSender<ExecutorEvent>,
}

impl EffectActions for Turns {
    fn run_effect(&mut self, task: usize) {
        self.due.push(task);
    }
    fn execution_stopped(&mut self, task: usize, epoch: u64) {
        // Where the channel is full it is asked for again.
        self.post
            .send(ExecutorEvent::ExecutionStopped { task, epoch });
    }
}

pub struct ExecutorTask<N: Net> {
    net: N,
    me: usize,
    life: u64,
    name: String,
    acts: EffectScheduler,
    side: Turns,
    inbox: MailboxReceiver<ExecutorCommand>,
    links: Vec<Link>,
    /// Links by connection.
    conns: BTreeMap<Conn, usize>,
    next: u64,
    tick: Time,
    turn: Time,
    within: Time,
    chance: ChaCha8Rng,
    out: Vec<u8>,
    told: Arc<AtomicBool>,
    pub sent: u64,
    pub refused: u64,
}

impl<N: Net> ExecutorTask<N> {
    /// `over` is set when the other task has ended.
    pub fn new(
        mut net: N,
        conf: &CoordinationConfig,
        inbox: MailboxReceiver<ExecutorCommand>,
        post: MailboxSender<ExecutorEvent>,
        over: Arc<AtomicBool>,
    ) -> ExecutorTask<N> {
        let now = net.now();
        net.set_timer(now + conf.tick(), OF_TICK);
        ExecutorTask {
            net,
            me: conf.member,
            life: conf.incarnation,
            name: conf.name.clone(),
            acts: EffectScheduler::new(conf.tasks, conf.effect_interval, conf.effect_timeout),
            side: Turns {
                due: Vec::new(),
                post,
            },
            inbox,
            links: Vec::new(),
            conns: BTreeMap::new(),
            next: 0,
            tick: conf.tick(),
            turn: conf.effect_interval,
            within: conf.effect_timeout,
            chance: ChaCha8Rng::seed_from_u64(conf.seed ^ 0xac75),
            out: Vec::new(),
            told: over,
            sent: 0,
            refused: 0,
        }
    }

    /// Whether that task may be acted on here now.
    pub fn is_held(&self, now: Time, task: usize) -> bool {
        self.acts.permitted_epoch(now, task).is_some()
    }

    pub fn held_count(&self, now: Time) -> usize {
        self.acts.held_count(now)
    }

    fn tick(&mut self) {
        let now = self.net.now();
        while let Some(message) = self.inbox.try_receive() {
            match message {
                ExecutorCommand::LeaseAcquired { task, epoch, until } => {
                    // Turns of many tasks spread over the time between two of one.
                    let first = self.chance.random_range(0..self.turn.max(1));
                    self.acts.lease_acquired(now, task, epoch, until, first);
                }
                ExecutorCommand::LeaseLost { task, epoch } => {
                    self.acts.lease_lost(now, &mut self.side, task, epoch)
                }
                ExecutorCommand::EndpointsChanged(list) => self.workers(list),
            }
        }
        self.acts.tick(now, &mut self.side);
        while let Some(task) = self.side.due.pop() {
            self.turn(task);
        }
        // A worker that vanished answers nothing, also when it is back: only a new connection finds out.
        for i in 0..self.links.len() {
            let l = &self.links[i];
            let awaits = l.asked || !l.up;
            if let Some(conn) = l
                .conn
                .filter(|_| awaits && now > l.since + SILENT * self.within)
            {
                self.over(i);
                self.links[i].conn = None;
                self.conns.remove(&conn);
                self.net.reset(conn);
            }
        }
        if self.told.load(Ordering::Relaxed) {
            return self.net.stop();
        }
        self.net.set_timer(now + self.tick, OF_TICK);
    }

    pub fn workers(&mut self, list: Vec<(String, SocketAddr)>) {
        for i in (0..self.links.len()).rev() {
            let l = &self.links[i];
            if !list.iter().any(|w| w.0 == l.name && w.1 == l.at) {
                self.over(i);
                let link = self.links.swap_remove(i);
                if let Some(conn) = link.conn {
                    self.conns.remove(&conn);
                    self.net.close(conn);
                }
                // The last one stands in its place now.
                self.conns
                    .values_mut()
                    .filter(|at| **at == self.links.len())
                    .for_each(|at| *at = i);
            }
        }
        for (name, at) in list {
            if !self.links.iter().any(|l| l.name == name) {
                let key = key(&name);
                let (waiting, out) = (VecDeque::new(), BTreeMap::new());
                let link = Link {
                    key,
                    name,
                    at,
                    conn: None,
                    up: false,
                    asked: false,
                    since: 0,
                    waiting,
                    out,
                };
                self.links.push(link);
            }
        }
    }

    /// What waited for this worker is passed over; what was sent may still take effect there.
    fn over(&mut self, link: usize) {
        let l = &mut self.links[link];
        (l.up, l.asked) = (false, false);
        l.waiting.clear();
        l.out.clear();
    }

    /// The worker at which a task takes effect: of those that are there, the one that weighs most for it.
    fn place(&self, task: usize) -> Option<usize> {
        (0..self.links.len()).max_by_key(|l| weight(task, self.links[*l].key))
    }

    fn turn(&mut self, task: usize) {
        let Some(place) = self.place(task) else {
            return;
        };
        let within = self.within;
        let l = &mut self.links[place];
        if l.waiting.len() < WAITING {
            l.waiting.push_back(task);
        }
        if l.conn.is_none() {
            let conn = self.net.connect(l.at, within);
            (l.conn, l.since) = (Some(conn), self.net.now());
            self.conns.insert(conn, place);
        }
        self.ask(place);
    }

    fn ask(&mut self, link: usize) {
        let l = &mut self.links[link];
        if let Some(conn) = l.conn.filter(|_| l.up && !l.asked && !l.waiting.is_empty()) {
            self.out.clear();
            Frame::new(&mut self.out, kind::TICKET).end();
            l.asked = self.net.write(conn, &self.out);
            l.since = self.net.now();
        }
    }

    /// A ticket is there: all that waits for it goes, where it still may.
    fn ticket(&mut self, link: usize, ticket: u64) {
        let l = &mut self.links[link];
        l.asked = false;
        let Some(conn) = l.conn else { return };
        while let Some(task) = l.waiting.pop_front() {
            let now = self.net.now();
            let Some(epoch) = self.acts.permitted_epoch(now, task) else {
                continue;
            };
            self.next += 1;
            self.out.clear();
            let f = Frame::new(&mut self.out, kind::ACT).whole(Field::Id, self.next);
            let f = f.whole(Field::Task, task as u64).whole(Field::Epoch, epoch);
            let f = f
                .whole(Field::Member, self.me as u64)
                .whole(Field::Life, self.life);
            let check = checksum(&[
                self.next,
                task as u64,
                epoch,
                self.me as u64,
                self.life,
                ticket,
            ]);
            f.whole(Field::Ticket, ticket)
                .whole(Field::Check, check)
                .end();
            if self.net.write(conn, &self.out) {
                self.sent += 1;
                l.out
                    .insert(self.next, (task, self.acts.effect_sent(now, task)));
            }
        }
    }

    fn frame(&mut self, link: usize, fields: &Fields) -> Result<(), String> {
        match fields.kind()? {
            kind::HELLO => {
                wire::greeted(fields)?;
                self.links[link].up = true;
                self.ask(link);
            }
            kind::TICKET => self.ticket(link, fields.whole(Field::Ticket)?),
            kind::ACTED => {
                let id = fields.whole(Field::Id)?;
                let Some((task, round)) = self.links[link].out.remove(&id) else {
                    return Ok(());
                };
                let now = self.net.now();
                self.acts
                    .effect_acknowledged(now, &mut self.side, task, round);
                if fields.text(Field::Outcome)? != "done" {
                    self.refused += 1;
                    let epoch = fields.upto(Field::Epoch, u64::MAX, 0)?;
                    debug!(member = %self.name, task, epoch, "an act was refused");
                    self.side.post.send(ExecutorEvent::Seen { task, epoch });
                }
            }
            _ => {}
        }
        Ok(())
    }
}

impl<N: Net> App for ExecutorTask<N> {
    type Net = N;

    fn net(&mut self) -> &mut N {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, _: Conn, _: SocketAddr) {}

    fn connected(&mut self, conn: Conn) {
        self.out.clear();
        wire::hello(&mut self.out, "tasks", &self.name, self.me as u64);
        self.net.write(conn, &self.out);
    }

    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let Some(link) = self.conns.get(&conn).copied() else {
            return bytes.len();
        };
        let mut used = 0;
        let done = loop {
            match wire::frame(&bytes[used..]) {
                Ok(None) => break Ok(()),
                Ok(Some((body, len))) => {
                    used += len;
                    if let Err(e) = Fields::read(body).and_then(|f| self.frame(link, &f)) {
                        break Err(e);
                    }
                }
                Err(e) => break Err(e),
            }
        };
        if let Err(why) = done {
            debug!(member = %self.name, why, "a worker is not understood");
            self.net.abort(conn);
            return bytes.len();
        }
        used
    }

    fn writable(&mut self, _: Conn) {}

    fn closed(&mut self, conn: Conn, _: CloseReason) {
        if let Some(link) = self.conns.remove(&conn) {
            self.over(link);
            self.links[link].conn = None;
        }
    }

    fn timer_fired(&mut self, _: u64) {
        self.tick();
    }
}
