//! All that goes between the processes passes here: datagrams between members, and connections of those that act to workers.
//! It cuts one way or both, loses, doubles, delays, reorders, and breaks connections, as it is told, from a seed.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tidewall_net::mio::Mio;
use tidewall_net::{App, CloseReason, Conn, DatagramSocket, Listener, Net, Time};
use tidewall_wire::{self as wire, Field, Fields};

/// What befalls what goes from one member to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    pub cut: bool,
    /// Of a thousand.
    pub lost: u32,
    pub twice: u32,
    pub delay: Time,
    pub jitter: Time,
}

#[derive(Default)]
pub struct State {
    /// By sender and receiver.
    pub links: BTreeMap<(usize, usize), Link>,
    /// What a member's acts take to get to workers, and back; and whether they get there at all.
    pub acts: BTreeMap<usize, Link>,
    /// These members' connections to workers break at the next byte.
    pub breaks: Vec<usize>,
    pub stop: bool,
    /// Datagrams that passed, and that did not.
    pub passed: u64,
    pub held_back: u64,
}

/// Where datagrams of a member come in for others, and where it really listens.
pub struct Way {
    pub front: SocketAddr,
    pub back: SocketAddr,
}

struct Pair {
    other: Conn,
    /// Towards the worker.
    out: bool,
    /// Which member's acts go here, once it said hello.
    member: Option<usize>,
}

pub struct Relay {
    net: Mio,
    state: Arc<Mutex<State>>,
    ways: Vec<(DatagramSocket, Way)>,
    workers: Vec<(Listener, SocketAddr)>,
    pairs: BTreeMap<Conn, Pair>,
    /// What waits for its time: a datagram for a member, or bytes for a connection.
    late: Slab<Late>,
    /// Bytes on a connection keep their order.
    last: BTreeMap<Conn, Time>,
    /// Bytes of a connection that is cut.
    stalled: BTreeMap<Conn, VecDeque<Vec<u8>>>,
    chance: ChaCha8Rng,
}

enum Late {
    Datagram(usize, Vec<u8>),
    Bytes(Conn, Vec<u8>),
}

/// The relay looks at what it was told this often.
const LOOK: Time = 50;
const OF_LOOK: u64 = u64::MAX;

impl Relay {
    /// Fronts of workers are opened where the system likes; they are given back in order.
    pub fn new(
        ways: Vec<Way>,
        workers: &[SocketAddr],
        state: Arc<Mutex<State>>,
        seed: u64,
    ) -> Result<(Relay, Vec<SocketAddr>), String> {
        let mut net = Mio::new().map_err(|e| e.to_string())?;
        let mut bound = Vec::new();
        for way in ways {
            let (port, _) = net
                .bind_datagram(way.front)
                .map_err(|e| format!("{}: {e}", way.front))?;
            bound.push((port, way));
        }
        let (mut list, mut fronts) = (Vec::new(), Vec::new());
        for worker in workers {
            let (listener, at) = net
                .listen(([127, 0, 0, 1], 0).into())
                .map_err(|e| e.to_string())?;
            list.push((listener, *worker));
            fronts.push(at);
        }
        let now = net.now();
        net.set_timer(now + LOOK, OF_LOOK);
        let relay = Relay {
            net,
            state,
            ways: bound,
            workers: list,
            pairs: BTreeMap::new(),
            late: Slab::new(),
            last: BTreeMap::new(),
            stalled: BTreeMap::new(),
            chance: ChaCha8Rng::seed_from_u64(seed),
        };
        Ok((relay, fronts))
    }

    fn later(&mut self, wait: Time, late: Late) {
        let key = self.late.insert(late) as u64;
        let at = self.net.now() + wait;
        self.net.set_timer(at, key);
    }

    fn pass(&mut self, to: Conn, bytes: Vec<u8>, link: Link) {
        if link.cut || self.stalled.contains_key(&to) {
            return self.stalled.entry(to).or_default().push_back(bytes);
        }
        if link.delay == 0 && !self.last.contains_key(&to) {
            self.net.write(to, &bytes);
            return;
        }
        let now = self.net.now();
        let at = (now + link.delay).max(self.last.get(&to).copied().unwrap_or(0));
        self.last.insert(to, at);
        self.later(at - now, Late::Bytes(to, bytes));
    }

    fn look(&mut self) {
        let (stop, links, breaks) = {
            let mut state = self
                .state
                .lock()
                .expect("nobody panics while it holds this");
            (
                state.stop,
                state.acts.clone(),
                std::mem::take(&mut state.breaks),
            )
        };
        if stop {
            return self.net.stop();
        }
        let of = |p: &Pair| {
            p.member
                .and_then(|m| links.get(&m).copied())
                .unwrap_or_default()
        };
        let mended: Vec<Conn> = self
            .stalled
            .keys()
            .copied()
            .filter(|c| self.pairs.get(c).is_none_or(|p| !of(p).cut))
            .collect();
        for conn in mended {
            for bytes in self.stalled.remove(&conn).unwrap_or_default() {
                self.net.write(conn, &bytes);
            }
        }
        let broken: Vec<Conn> = self
            .pairs
            .iter()
            .filter(|p| p.1.member.is_some_and(|m| breaks.contains(&m)))
            .map(|p| *p.0)
            .collect();
        for conn in broken {
            self.end(conn);
            self.net.reset(conn);
        }
        let now = self.net.now();
        self.net.set_timer(now + LOOK, OF_LOOK);
    }

    /// One end is gone: the other goes too.
    fn end(&mut self, conn: Conn) {
        if let Some(pair) = self.pairs.remove(&conn) {
            self.pairs.remove(&pair.other);
            self.net.reset(pair.other);
            for c in [conn, pair.other] {
                self.stalled.remove(&c);
                self.last.remove(&c);
            }
        }
    }

    /// A hello of those that act says whose connection it is.
    fn whose(bytes: &[u8]) -> Option<usize> {
        let (body, _) = wire::frame(bytes).ok()??;
        let fields = Fields::read(body).ok()?;
        if wire::greeted(&fields).ok()? != "tasks" {
            return None;
        }
        Some(fields.whole(Field::Life).ok()? as usize)
    }
}

impl App for Relay {
    type Net = Mio;

    fn net(&mut self) -> &mut Mio {
        &mut self.net
    }

    fn accepted(&mut self, listener: Listener, conn: Conn, _: SocketAddr) {
        let Some(to) = self.workers.iter().find(|w| w.0 == listener).map(|w| w.1) else {
            return;
        };
        let other = self.net.connect(to, 20_000);
        self.pairs.insert(
            conn,
            Pair {
                other,
                out: true,
                member: None,
            },
        );
        self.pairs.insert(
            other,
            Pair {
                other: conn,
                out: false,
                member: None,
            },
        );
    }

    fn connected(&mut self, conn: Conn) {
        // What came before it stood has waited for it.
        for bytes in self.stalled.remove(&conn).unwrap_or_default() {
            self.net.write(conn, &bytes);
        }
    }

    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let Some(pair) = self.pairs.get_mut(&conn) else {
            return bytes.len();
        };
        let other = pair.other;
        if pair.out && pair.member.is_none() {
            if let Some(member) = Relay::whose(bytes) {
                pair.member = Some(member);
                if let Some(back) = self.pairs.get_mut(&other) {
                    back.member = Some(member);
                }
            }
        }
        let member = self.pairs[&conn].member;
        let link = {
            let state = self
                .state
                .lock()
                .expect("nobody panics while it holds this");
            member
                .and_then(|m| state.acts.get(&m).copied())
                .unwrap_or_default()
        };
        self.pass(other, bytes.to_vec(), link);
        bytes.len()
    }

    fn writable(&mut self, _: Conn) {}

    fn closed(&mut self, conn: Conn, _: CloseReason) {
        self.end(conn);
    }

    fn datagram_received(&mut self, port: DatagramSocket, from: SocketAddr, bytes: &[u8]) {
        let Some(to) = self.ways.iter().position(|w| w.0 == port) else {
            return;
        };
        let Some(from) = self.ways.iter().position(|w| w.1.back == from) else {
            return;
        };
        let (link, lost, twice, jitter) = {
            let mut state = self
                .state
                .lock()
                .expect("nobody panics while it holds this");
            let link = state.links.get(&(from, to)).copied().unwrap_or_default();
            let lost =
                link.cut || link.lost > 0 && self.chance.random_ratio(link.lost.min(1_000), 1_000);
            let twice = link.twice > 0 && self.chance.random_ratio(link.twice.min(1_000), 1_000);
            let jitter = if link.jitter > 0 {
                self.chance.random_range(0..=link.jitter)
            } else {
                0
            };
            if lost {
                state.held_back += 1;
            } else {
                state.passed += 1;
            }
            (link, lost, twice, jitter)
        };
        if lost {
            return;
        }
        let wait = link.delay + jitter;
        if twice {
            self.later(wait + 20, Late::Datagram(to, bytes.to_vec()));
        }
        if wait == 0 {
            let (port, way) = &self.ways[to];
            let (port, back) = (*port, way.back);
            self.net.send_datagram(port, back, bytes);
        } else {
            self.later(wait, Late::Datagram(to, bytes.to_vec()));
        }
    }

    fn timer_fired(&mut self, token: u64) {
        if token == OF_LOOK {
            return self.look();
        }
        match self.late.remove(token as usize) {
            Late::Datagram(to, bytes) => {
                let (port, back) = (self.ways[to].0, self.ways[to].1.back);
                self.net.send_datagram(port, back, &bytes);
            }
            Late::Bytes(conn, bytes) => {
                self.net.write(conn, &bytes);
            }
        }
    }
}
