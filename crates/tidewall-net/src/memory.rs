//! The trait in memory: one world of nodes with a clock of its own. Everything that happens is ordered by
//! time and then by the order of its cause, so a run is the same every time. Bytes may be handed over in
//! pieces of any size; nodes can stand still, die and start again, and have clocks of their own rate. What goes
//! from one node to another goes by a `Path`, which may be slow, uneven, lossy or cut, each way for itself.
use crate::buffer::{Buffer, READ_BUFFER_LIMIT, WRITE_BUFFER_LIMIT};
use crate::wheel::{TimerId, Wheel};
use crate::{App, CloseReason, Conn, DatagramSocket, Listener, Net, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHasher;
use slab::Slab;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// What is on its way. It is private: apps see one method for each.
enum Way {
    Knock {
        end: usize,
        count: u32,
        to: SocketAddr,
    },
    Opened {
        end: usize,
        count: u32,
    },
    Late {
        end: usize,
        count: u32,
    },
    Bytes {
        end: usize,
        count: u32,
        bytes: Vec<u8>,
    },
    Over {
        end: usize,
        count: u32,
        why: CloseReason,
    },
    Datagram {
        to: SocketAddr,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
}

/// What befalls what goes from one node to another. Streams lose nothing for good: what is lost or cut comes later.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Path {
    /// How long it takes, and how much longer at most by chance; datagrams may so overtake each other.
    pub delay: Time,
    pub jitter: Time,
    /// Of a thousand.
    pub lost: u32,
    pub twice: u32,
    /// Nothing gets across until it is mended.
    pub cut: bool,
}

/// A lost segment of a stream is sent again after this: TCP's least retransmission time on common systems.
const AGAIN: Time = 2_000;

/// What becomes of one message on its way: for runs that change one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tapped {
    Pass,
    Lose,
    /// A second one, so much later.
    Twice(Time),
    Hold(Time),
    /// A datagram goes to another node's only port.
    To(usize),
}

/// Sees each datagram, and each piece of a stream, from one node to another; it may change the bytes.
pub type Tap = Box<dyn FnMut(usize, usize, bool, &mut Vec<u8>) -> Tapped>;

struct End {
    node: usize,
    count: u32,
    from: SocketAddr,
    /// The other end, once accepted.
    other: Option<(usize, u32)>,
    open: bool,
    /// Sent by the other end and not yet read here, then what the app has not used.
    inbox: Buffer,
    read: Buffer,
    /// Bytes on their way here, and when the last of them comes: a stream keeps its order.
    flying: usize,
    last: Time,
    /// Taken from the app and not yet at the other end.
    write: Buffer,
    /// Where it was accepted.
    at: Option<SocketAddr>,
    paused: bool,
    owed: bool,
    closing: bool,
}

#[derive(Default)]
struct Node {
    wheel: Wheel,
    dead: bool,
    still: Option<Time>,
    stood: Time,
    /// When it last went on, and after how long.
    thawed: (Time, Time),
    backlog: VecDeque<Way>,
    /// Its clock runs faster by so many millionths.
    ppm: i64,
    /// It was told something in this moment.
    woken: bool,
    /// No descriptor is left: it connects to nobody, and accepts nobody until it has some again.
    bare: bool,
}

impl Node {
    fn local(&self, at: Time) -> Time {
        (at as i128 + at as i128 * self.ppm as i128 / 1_000_000) as Time
    }

    /// When its clock shows that time.
    fn global(&self, local: Time) -> Time {
        if self.ppm == 0 {
            return local;
        }
        let mut at = (local as i128 * 1_000_000 / (1_000_000 + self.ppm as i128)) as Time;
        while self.local(at) < local {
            at += 1;
        }
        at
    }
}

pub struct World {
    now: Time,
    order: u64,
    ways: BTreeMap<(Time, u64), Way>,
    ends: Slab<End>,
    count: u32,
    listeners: Vec<Option<(usize, SocketAddr)>>,
    ports: Vec<Option<(usize, SocketAddr)>>,
    nodes: Vec<Node>,
    paths: BTreeMap<(usize, usize), Path>,
    /// What waits for a cut to be mended, in order.
    stalled: Vec<((usize, usize), Way)>,
    chance: ChaCha8Rng,
    /// All that happened, so that two runs can be told to be the same.
    digest: FxHasher,
    pub steps: u64,
    /// Addresses that whoever listens there last takes from the former one, as a virtual router's address moves.
    pub moves: Vec<SocketAddr>,
    pub tap: Option<Tap>,
    /// How long anything takes to get across.
    pub delay: Time,
    /// Bytes are handed over in pieces of this many; 0 for all that there are.
    pub piece: usize,
    next_port: u16,
}

/// One node's hand on the world.
#[derive(Clone)]
pub struct Memory {
    world: Rc<RefCell<World>>,
    node: usize,
}

pub fn world() -> Rc<RefCell<World>> {
    Rc::new(RefCell::new(World {
        now: 1,
        order: 0,
        ways: BTreeMap::new(),
        ends: Slab::new(),
        count: 0,
        listeners: Vec::new(),
        ports: Vec::new(),
        nodes: Vec::new(),
        paths: BTreeMap::new(),
        stalled: Vec::new(),
        chance: ChaCha8Rng::seed_from_u64(0),
        digest: FxHasher::default(),
        steps: 0,
        moves: Vec::new(),
        tap: None,
        delay: 2,
        piece: 0,
        next_port: 20_000,
    }))
}

impl World {
    fn send(&mut self, wait: Time, way: Way) {
        self.order += 1;
        self.ways.insert((self.now + wait, self.order), way);
    }

    /// A drawn network; the paths' chances come from this seed.
    pub fn seed(&mut self, seed: u64) {
        self.chance = ChaCha8Rng::seed_from_u64(seed);
    }

    pub fn now(&self) -> Time {
        self.now
    }

    pub fn digest(&self) -> u64 {
        self.digest.finish()
    }

    /// Sets what befalls what goes from one node to the other; a cut that is mended lets through what waited.
    pub fn path(&mut self, from: &Memory, to: &Memory, path: Path) {
        let key = (from.node, to.node);
        self.paths.insert(key, path);
        if !path.cut {
            let (go, stay) = std::mem::take(&mut self.stalled)
                .into_iter()
                .partition(|s| s.0 == key);
            self.stalled = stay;
            let go: Vec<_> = go;
            go.into_iter().for_each(|(_, way)| self.across(key, way));
        }
    }

    /// Sends from one node to another, by their path, past whoever taps it.
    fn across(&mut self, key: (usize, usize), mut way: Way) {
        let Some(mut tap) = self.tap.take() else {
            return self.by_path(key, way);
        };
        let told = match &mut way {
            Way::Datagram { bytes, .. } => tap(key.0, key.1, true, bytes),
            Way::Bytes { bytes, .. } => tap(key.0, key.1, false, bytes),
            _ => Tapped::Pass,
        };
        self.tap = Some(tap);
        match (told, way) {
            (Tapped::Pass, way) => self.by_path(key, way),
            (Tapped::Lose, Way::Bytes { end, count, bytes }) => {
                // What a stream loses ends it.
                if let Some(e) = self.ends.get_mut(end).filter(|e| e.count == count) {
                    e.flying -= bytes.len();
                }
                self.by_path(
                    key,
                    Way::Over {
                        end,
                        count,
                        why: CloseReason::Reset,
                    },
                );
            }
            (Tapped::Lose, _) => {}
            (Tapped::Twice(wait), Way::Datagram { to, from, bytes }) => {
                self.by_path(
                    key,
                    Way::Datagram {
                        to,
                        from,
                        bytes: bytes.clone(),
                    },
                );
                self.send(wait, Way::Datagram { to, from, bytes });
            }
            (
                Tapped::Twice(_),
                Way::Bytes {
                    end,
                    count,
                    mut bytes,
                },
            ) => {
                if let Some(e) = self.ends.get_mut(end).filter(|e| e.count == count) {
                    e.flying += bytes.len();
                }
                bytes.extend_from_within(..);
                self.by_path(key, Way::Bytes { end, count, bytes });
            }
            (Tapped::Hold(wait), way) => {
                if let Way::Bytes { end, count, .. } = &way {
                    // What follows on a stream waits as well.
                    let at = self.now + wait;
                    if let Some(e) = self.ends.get_mut(*end).filter(|e| e.count == *count) {
                        e.last = e.last.max(at);
                    }
                }
                self.send(wait, way);
            }
            (Tapped::To(node), Way::Datagram { from, bytes, .. }) => {
                if let Some(to) = self
                    .ports
                    .iter()
                    .flatten()
                    .find(|p| p.0 == node)
                    .map(|p| p.1)
                {
                    self.by_path((key.0, node), Way::Datagram { to, from, bytes });
                }
            }
            (_, way) => self.by_path(key, way),
        }
    }

    fn by_path(&mut self, key: (usize, usize), way: Way) {
        let same = Path {
            delay: self.delay,
            ..Path::default()
        };
        let path = self.paths.get(&key).copied().unwrap_or(same);
        let datagram = matches!(way, Way::Datagram { .. });
        if path.cut {
            if !datagram {
                self.stalled.push((key, way));
            }
            return;
        }
        let mut wait = path.delay;
        if path.jitter > 0 {
            wait += self.chance.random_range(0..=path.jitter);
        }
        let lost = path.lost > 0 && self.chance.random_ratio(path.lost.min(1000), 1000);
        let twice = path.twice > 0 && self.chance.random_ratio(path.twice.min(1000), 1000);
        match way {
            Way::Datagram { .. } if lost => {}
            Way::Datagram { to, from, bytes } => {
                if twice {
                    self.send(
                        wait,
                        Way::Datagram {
                            to,
                            from,
                            bytes: bytes.clone(),
                        },
                    );
                    wait += path.delay;
                }
                self.send(wait, Way::Datagram { to, from, bytes });
            }
            way => {
                wait += if lost { AGAIN } else { 0 };
                let end = match &way {
                    Way::Bytes { end, count, .. }
                    | Way::Opened { end, count }
                    | Way::Over { end, count, .. } => Conn::new(*end, *count),
                    _ => Conn(u64::MAX),
                };
                let at = self.now + wait;
                let wait = match self.end(end) {
                    Some(e) => {
                        e.last = e.last.max(at);
                        e.last - self.now
                    }
                    None => wait,
                };
                self.send(wait, way);
            }
        }
    }

    fn end(&mut self, conn: Conn) -> Option<&mut End> {
        self.ends
            .get_mut(conn.index())
            .filter(|e| e.count == conn.generation())
    }

    fn add(&mut self, node: usize, from: SocketAddr, other: Option<(usize, u32)>) -> Conn {
        self.count += 1;
        let place = self.ends.insert(End {
            node,
            count: self.count,
            from,
            other,
            open: other.is_some(),
            inbox: Buffer::default(),
            read: Buffer::default(),
            flying: 0,
            last: 0,
            write: Buffer::default(),
            at: None,
            paused: false,
            owed: false,
            closing: false,
        });
        Conn::new(place, self.count)
    }

    /// The address leaves its former owner: what its clients send from now on is answered by a reset, and so is what
    /// the former owner sends them.
    fn moved(&mut self, to: usize, at: SocketAddr) {
        let former = |l: &Option<(usize, SocketAddr)>| l.is_some_and(|l| l.1 == at && l.0 != to);
        self.listeners
            .iter_mut()
            .filter(|l| former(l))
            .for_each(|l| *l = None);
        let ends = self
            .ends
            .iter()
            .filter(|e| e.1.at == Some(at) && e.1.node != to);
        let both = ends.flat_map(|e| [Some((e.0, e.1.count)), e.1.other]);
        let gone: Vec<(usize, u32)> = both.flatten().collect();
        for (end, count) in gone {
            let delay = self.delay;
            self.send(
                delay,
                Way::Over {
                    end,
                    count,
                    why: CloseReason::Reset,
                },
            );
        }
    }

    /// The end is gone; the other one hears of it after a while.
    fn drop_end(&mut self, conn: Conn, why: CloseReason) {
        if self.end(conn).is_some() {
            let end = self.ends.remove(conn.index());
            if let Some((other, count)) = end.other {
                self.over(end.node, (other, count), why);
            }
        }
    }

    /// Tells an end that the other one, at that node, is gone.
    fn over(&mut self, from: usize, (end, count): (usize, u32), why: CloseReason) {
        if let Some(node) = self
            .ends
            .get(end)
            .filter(|e| e.count == count)
            .map(|e| e.node)
        {
            self.across((from, node), Way::Over { end, count, why });
        }
    }

    /// Moves what was written towards the other end, as far as that one takes it.
    fn push(&mut self, conn: Conn) {
        let Some(end) = self.end(conn) else { return };
        let Some((other, count)) = end.other.filter(|_| end.open && !end.write.is_empty()) else {
            return;
        };
        let from = end.node;
        let mut bytes = end.write.data().to_vec();
        let Some(to) = self.ends.get_mut(other).filter(|e| e.count == count) else {
            return;
        };
        let room = READ_BUFFER_LIMIT.saturating_sub(to.inbox.len() + to.flying);
        bytes.truncate(room);
        let (taken, node) = (bytes.len(), to.node);
        to.flying += taken;
        if taken > 0 {
            self.across(
                (from, node),
                Way::Bytes {
                    end: other,
                    count,
                    bytes,
                },
            );
        }
        if let Some(end) = self.end(conn) {
            end.write.consume(taken);
        }
    }
}

impl Memory {
    pub fn join(world: &Rc<RefCell<World>>) -> Memory {
        let mut w = world.borrow_mut();
        w.nodes.push(Node::default());
        Memory {
            world: world.clone(),
            node: w.nodes.len() - 1,
        }
    }

    /// All its connections break and it hears of nothing any more.
    pub fn kill(&self) {
        let mut w = self.world.borrow_mut();
        w.nodes[self.node].dead = true;
        let node = self.node;
        w.listeners
            .iter_mut()
            .filter(|l| l.is_some_and(|l| l.0 == node))
            .for_each(|l| *l = None);
        w.ports
            .iter_mut()
            .filter(|p| p.is_some_and(|p| p.0 == node))
            .for_each(|p| *p = None);
        let gone: Vec<Conn> = w
            .ends
            .iter()
            .filter(|e| e.1.node == node)
            .map(|e| Conn::new(e.0, e.1.count))
            .collect();
        gone.into_iter()
            .for_each(|conn| w.drop_end(conn, CloseReason::Reset));
    }

    pub fn dead(&self) -> bool {
        self.world.borrow().nodes[self.node].dead
    }

    /// A dead node's place serves another life, which knows nothing of the former one.
    pub fn restart(&self) {
        let mut w = self.world.borrow_mut();
        let ppm = w.nodes[self.node].ppm;
        w.nodes[self.node] = Node {
            ppm,
            ..Node::default()
        };
    }

    /// Its clock runs faster by so many millionths.
    pub fn clock(&self, ppm: i64) {
        self.world.borrow_mut().nodes[self.node].ppm = ppm;
    }

    /// It has no descriptor left, or has some again.
    pub fn bare(&self, on: bool) {
        self.world.borrow_mut().nodes[self.node].bare = on;
    }

    /// It stands still: what happens meanwhile is found all at once when it goes on.
    pub fn still(&self, on: bool) {
        let mut w = self.world.borrow_mut();
        let now = w.now;
        let node = &mut w.nodes[self.node];
        if on {
            // One that stands still already goes on standing.
            node.still.get_or_insert(now);
        } else if let Some(since) = node.still.take() {
            node.stood += now - since;
            node.thawed = (now, now - since);
            let backlog = std::mem::take(&mut node.backlog);
            backlog.into_iter().for_each(|way| w.send(0, way));
        }
    }

    /// Breaks a connection of this node, for both ends.
    pub fn cut(&self, conn: Conn) {
        let mut w = self.world.borrow_mut();
        let count = conn.generation();
        w.send(
            0,
            Way::Over {
                end: conn.index(),
                count,
                why: CloseReason::Reset,
            },
        );
        let other = w.end(conn).and_then(|e| Some((e.node, e.other?)));
        if let Some((from, other)) = other {
            w.over(from, other, CloseReason::Reset);
        }
    }
}

impl Net for Memory {
    fn now(&self) -> Time {
        let w = self.world.borrow();
        w.nodes[self.node].local(w.now)
    }

    fn total_stall(&self) -> Time {
        self.world.borrow().nodes[self.node].stood
    }

    fn read_delay(&self) -> Time {
        let w = self.world.borrow();
        let (at, long) = w.nodes[self.node].thawed;
        if at == w.now {
            long
        } else {
            0
        }
    }

    fn max_timer_lag(&self) -> Time {
        0
    }

    fn listen(&mut self, at: SocketAddr) -> io::Result<(Listener, SocketAddr)> {
        let mut w = self.world.borrow_mut();
        let mut at = at;
        if at.port() == 0 {
            w.next_port += 1;
            at.set_port(w.next_port);
        }
        if w.moves.contains(&at) {
            w.moved(self.node, at);
        }
        if w.listeners.iter().flatten().any(|l| l.1 == at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let node = self.node;
        w.listeners.push(Some((node, at)));
        Ok((Listener(w.listeners.len() - 1), at))
    }

    fn stop_listening(&mut self, listener: Listener) {
        self.world.borrow_mut().listeners[listener.0] = None;
    }

    fn connect(&mut self, to: SocketAddr, within: Time) -> Conn {
        let mut w = self.world.borrow_mut();
        let conn = w.add(self.node, to, None);
        let (end, count, delay) = (conn.index(), conn.generation(), w.delay);
        if w.nodes[self.node].bare {
            w.send(
                0,
                Way::Over {
                    end,
                    count,
                    why: CloseReason::Refused,
                },
            );
            return conn;
        }
        let node = w
            .listeners
            .iter()
            .flatten()
            .find(|l| l.1 == to)
            .map(|l| l.0);
        let knock = Way::Knock { end, count, to };
        match node {
            Some(node) => w.across((self.node, node), knock),
            None => w.send(delay, knock),
        }
        w.send(within, Way::Late { end, count });
        conn
    }

    fn write(&mut self, conn: Conn, bytes: &[u8]) -> bool {
        let mut w = self.world.borrow_mut();
        let Some(end) = w.end(conn).filter(|e| !e.closing) else {
            return false;
        };
        if end.write.len() + bytes.len() > WRITE_BUFFER_LIMIT {
            end.owed = true;
            return false;
        }
        end.write.push(bytes);
        w.push(conn);
        true
    }

    fn write_available(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let mut w = self.world.borrow_mut();
        let other = w
            .end(conn)
            .filter(|e| e.open && !e.closing && e.write.is_empty())
            .and_then(|e| e.other);
        let to = other.and_then(|(other, count)| w.end(Conn::new(other, count)));
        let room = to.map_or(0, |to| {
            READ_BUFFER_LIMIT.saturating_sub(to.inbox.len() + to.flying)
        });
        let left = bytes.len().min(room);
        if let Some(end) = w.end(conn) {
            end.owed |= left < bytes.len();
            end.write.push(&bytes[..left]);
        }
        w.push(conn);
        left
    }

    fn unsent(&self, conn: Conn) -> usize {
        self.world
            .borrow_mut()
            .end(conn)
            .map_or(0, |e| e.write.len())
    }

    fn has_unread(&mut self, conn: Conn) -> bool {
        self.world
            .borrow_mut()
            .end(conn)
            .is_some_and(|e| !e.inbox.is_empty())
    }

    fn set_read_paused(&mut self, conn: Conn, on: bool) {
        let mut w = self.world.borrow_mut();
        let Some(end) = w.end(conn) else { return };
        end.paused = on;
        let (end, count) = (conn.index(), conn.generation());
        w.send(
            0,
            Way::Bytes {
                end,
                count,
                bytes: Vec::new(),
            },
        );
    }

    fn close(&mut self, conn: Conn) {
        let mut w = self.world.borrow_mut();
        let Some(end) = w.end(conn) else { return };
        end.closing = true;
        if end.write.is_empty() || end.other.is_none() {
            w.drop_end(conn, CloseReason::Ended);
        }
    }

    fn reset(&mut self, conn: Conn) {
        self.world.borrow_mut().drop_end(conn, CloseReason::Reset);
    }

    fn abort(&mut self, conn: Conn) {
        self.cut(conn);
    }

    fn bind_datagram(&mut self, at: SocketAddr) -> io::Result<(DatagramSocket, SocketAddr)> {
        let mut w = self.world.borrow_mut();
        let mut at = at;
        if at.port() == 0 {
            w.next_port += 1;
            at.set_port(w.next_port);
        }
        let node = self.node;
        if w.ports.iter().flatten().any(|p| p.1 == at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        w.ports.push(Some((node, at)));
        Ok((DatagramSocket(w.ports.len() - 1), at))
    }

    fn send_datagram(&mut self, port: DatagramSocket, to: SocketAddr, bytes: &[u8]) {
        let mut w = self.world.borrow_mut();
        let Some((_, from)) = w.ports[port.0] else {
            return;
        };
        let Some(node) = w.ports.iter().flatten().find(|p| p.1 == to).map(|p| p.0) else {
            return;
        };
        w.across(
            (self.node, node),
            Way::Datagram {
                to,
                from,
                bytes: bytes.to_vec(),
            },
        );
    }

    fn set_timer(&mut self, at: Time, token: u64) -> TimerId {
        let mut w = self.world.borrow_mut();
        let node = self.node;
        let at = at.max(w.nodes[node].local(w.now));
        w.nodes[node].wheel.insert(at, token)
    }

    fn cancel_timer(&mut self, deadline: TimerId) {
        self.world.borrow_mut().nodes[self.node]
            .wheel
            .cancel(deadline);
    }

    fn stop(&mut self) {
        self.world.borrow_mut().nodes[self.node].dead = true;
    }
}

pub type Apps<'a, 'b> = &'a mut [&'b mut dyn App<Net = Memory>];

/// Lets one thing happen, if any happens by `until`; apps stand in the order in which their nets joined.
pub fn step(world: &Rc<RefCell<World>>, apps: Apps, until: Time) -> bool {
    let mut w = world.borrow_mut();
    let way = w.ways.first_key_value().map(|e| e.0 .0);
    let live = |n: &Node| !n.dead && n.still.is_none();
    // A wake-up ends when all that came in its moment has been told.
    let woken = w
        .nodes
        .iter()
        .take(apps.len())
        .position(|n| n.woken && live(n));
    if let Some(node) = woken.filter(|_| way.is_none_or(|at| at > w.now)) {
        w.nodes[node].woken = false;
        drop(w);
        apps[node].wakeup_ended();
        return true;
    }
    let due = w.nodes.iter().enumerate().filter(|n| live(n.1));
    let due = due.filter_map(|n| Some((n.1.global(n.1.wheel.next_expiry()?), n.0)));
    let due = due.min();
    // Bytes go before timers of the same moment, as on sockets.
    if way.is_some_and(|at| at <= until && due.is_none_or(|d| at <= d.0)) {
        let ((at, _), way) = w.ways.pop_first().expect("it was there");
        w.now = w.now.max(at);
        w.steps += 1;
        drop(w);
        happen(world, apps, way);
        return true;
    }
    if let Some((at, node)) = due.filter(|d| d.0 <= until) {
        w.now = w.now.max(at);
        w.steps += 1;
        let now = w.nodes[node].local(w.now);
        let token = w.nodes[node].wheel.pop(now);
        w.nodes[node].woken = true;
        w.digest.write_u64(at);
        w.digest.write_u64(token.unwrap_or(0) ^ (node as u64) << 48);
        drop(w);
        if let Some(token) = token {
            apps[node].timer_fired(token);
        }
        return true;
    }
    w.now = w.now.max(until);
    false
}

/// Runs all that happens by `until`.
pub fn run(world: &Rc<RefCell<World>>, apps: Apps, until: Time) {
    // What they were called for from outside.
    world
        .borrow_mut()
        .nodes
        .iter_mut()
        .for_each(|n| n.woken = true);
    while step(world, apps, until) {}
}

fn happen(world: &Rc<RefCell<World>>, apps: Apps, way: Way) {
    let mut w = world.borrow_mut();
    let node = match &way {
        Way::Knock { to, .. } => w
            .listeners
            .iter()
            .flatten()
            .find(|l| l.1 == *to)
            .map(|l| l.0),
        Way::Datagram { to, .. } => w.ports.iter().flatten().find(|p| p.1 == *to).map(|p| p.0),
        Way::Opened { end, count }
        | Way::Late { end, count }
        | Way::Bytes { end, count, .. }
        | Way::Over { end, count, .. } => w
            .ends
            .get(*end)
            .filter(|e| e.count == *count)
            .map(|e| e.node),
    };
    if let Some(node) = node {
        if w.nodes[node].dead {
            return;
        }
        // The system answers a knock even where the process stands still; the rest waits.
        if w.nodes[node].still.is_some() && !matches!(way, Way::Late { .. }) {
            w.nodes[node].backlog.push_back(way);
            return;
        }
        w.nodes[node].woken = true;
    }
    let at = w.now;
    w.digest.write_u64(at);
    match &way {
        Way::Bytes { end, bytes, .. } => {
            w.digest.write_usize(*end);
            w.digest.write(bytes);
        }
        Way::Datagram { bytes, .. } => w.digest.write(bytes),
        Way::Knock { end, .. }
        | Way::Opened { end, .. }
        | Way::Late { end, .. }
        | Way::Over { end, .. } => {
            w.digest.write_usize(*end);
        }
    }
    let delay = w.delay;
    match way {
        Way::Knock { end, count, to } => {
            if node.is_some_and(|n| w.nodes[n].bare) {
                // Accepting pauses, as on sockets.
                return w.send(1_000, Way::Knock { end, count, to });
            }
            let place = w
                .listeners
                .iter()
                .position(|l| l.is_some_and(|l| l.1 == to));
            let (Some(node), Some(place)) = (node, place) else {
                return w.send(
                    delay,
                    Way::Over {
                        end,
                        count,
                        why: CloseReason::Refused,
                    },
                );
            };
            if w.ends.get(end).is_none_or(|e| e.count != count) {
                return;
            }
            let from = w.ends[end].from;
            let conn = w.add(node, from, Some((end, count)));
            if let Some(e) = w.end(conn) {
                e.at = Some(to);
            }
            w.ends[end].other = Some((conn.index(), conn.generation()));
            let knocked = w.ends[end].node;
            w.across((node, knocked), Way::Opened { end, count });
            drop(w);
            apps[node].accepted(Listener(place), conn, from);
        }
        Way::Opened { end, count } => {
            let Some(node) = node else { return };
            w.ends[end].open = true;
            drop(w);
            let conn = Conn::new(end, count);
            apps[node].connected(conn);
            world.borrow_mut().push(conn);
        }
        Way::Late { end, count } => {
            let Some(node) = node.filter(|_| !w.ends[end].open) else {
                return;
            };
            let conn = Conn::new(end, count);
            w.drop_end(conn, CloseReason::Ended);
            drop(w);
            apps[node].closed(conn, CloseReason::TimedOut);
        }
        Way::Bytes {
            end,
            count,
            bytes: came,
        } => {
            let Some(node) = node else { return };
            if let Some(e) = w.end(Conn::new(end, count)) {
                e.flying -= came.len();
                e.inbox.push(&came);
            }
            drop(w);
            bytes(world, apps, node, Conn::new(end, count));
        }
        Way::Over { end, count, why } => {
            let Some(node) = node else { return };
            let conn = Conn::new(end, count);
            drop(w);
            if why == CloseReason::Ended {
                // What was sent before the end is read first.
                while bytes(world, apps, node, conn) {}
            }
            let mut w = world.borrow_mut();
            if w.end(conn).is_none() {
                return;
            }
            w.ends.remove(end);
            drop(w);
            apps[node].closed(conn, why);
        }
        Way::Datagram { from, to, bytes } => {
            let port = w.ports.iter().position(|p| p.is_some_and(|p| p.1 == to));
            drop(w);
            if let (Some(node), Some(port)) = (node, port) {
                apps[node].datagram_received(DatagramSocket(port), from, &bytes);
            }
        }
    }
}

/// Hands one piece over. True while there is more.
fn bytes(world: &Rc<RefCell<World>>, apps: Apps, node: usize, conn: Conn) -> bool {
    let mut w = world.borrow_mut();
    let piece = if w.piece == 0 { usize::MAX } else { w.piece };
    let Some(end) = w.end(conn).filter(|e| !e.paused && !e.closing) else {
        return false;
    };
    let n = end.inbox.len().min(piece);
    if n == 0 {
        return false;
    }
    let part = end.inbox.data()[..n].to_vec();
    end.inbox.consume(n);
    end.read.push(&part);
    let more = !end.inbox.is_empty();
    let mut read = std::mem::take(&mut end.read);
    let other = end.other;
    drop(w);
    let used = apps[node].received(conn, read.data());
    read.consume(used);
    let mut w = world.borrow_mut();
    let full = read.len() >= READ_BUFFER_LIMIT;
    if let Some(end) = w.end(conn) {
        end.read = read;
    }
    if more {
        w.send(
            0,
            Way::Bytes {
                end: conn.index(),
                count: conn.generation(),
                bytes: Vec::new(),
            },
        );
    }
    if full {
        w.send(
            0,
            Way::Over {
                end: conn.index(),
                count: conn.generation(),
                why: CloseReason::Reset,
            },
        );
    }
    // The other end's waiting bytes have room now.
    let Some((place, count)) = other else {
        return more;
    };
    let from = Conn::new(place, count);
    w.push(from);
    let Some(end) = w.end(from).filter(|e| e.write.is_empty()) else {
        return more;
    };
    let (owed, closing, at) = (std::mem::take(&mut end.owed), end.closing, end.node);
    if closing {
        w.drop_end(from, CloseReason::Ended);
    } else if owed && !w.nodes[at].dead {
        drop(w);
        apps[at].writable(from);
    }
    more
}
