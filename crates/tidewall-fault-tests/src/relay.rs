//! A relay for all traffic between the processes: datagrams between members, and the connections on which
//! lease holders send effects to workers. As the test requests, it drops, duplicates, delays and reorders
//! datagrams, cuts links in one or both directions, and resets connections. Random decisions are drawn from a
//! seed.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tidewall_net::mio::Mio;
use tidewall_net::{App, CloseReason, Conn, DatagramSocket, Listener, Net, Time};
use tidewall_wire::{self as wire, Field, Fields};

/// The faults on the link from one member to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    pub cut: bool,
    /// How many of 1,000 datagrams are lost.
    pub loss_per_mille: u32,
    /// How many of 1,000 datagrams are duplicated.
    pub duplicate_per_mille: u32,
    /// The fixed delay, and the longest additional delay that is drawn for each datagram.
    pub delay: Time,
    pub jitter: Time,
}

#[derive(Default)]
pub struct RelayState {
    /// Faults by sender and receiver.
    pub links: BTreeMap<(usize, usize), Link>,
    /// By member: the delay of its effects to workers and of their replies, and whether that link is cut.
    pub effect_links: BTreeMap<usize, Link>,
    /// Members whose connections to workers are reset at the next poll of this state.
    pub members_to_reset: Vec<usize>,
    pub stop: bool,
    /// Counts of datagrams that were forwarded and that were dropped.
    pub forwarded: u64,
    pub dropped: u64,
}

/// The relay's address to which other members send datagrams for a member, and the address where that member
/// listens.
pub struct MemberRoute {
    pub relay_address: SocketAddr,
    pub member_address: SocketAddr,
}

struct RelayedConnection {
    other: Conn,
    /// Whether this connection comes from a member, so that its bytes go towards the worker.
    towards_worker: bool,
    /// The member whose effects it carries; none until the hello frame has arrived.
    member: Option<usize>,
}

pub struct Relay {
    net: Mio,
    state: Arc<Mutex<RelayState>>,
    routes: Vec<(DatagramSocket, MemberRoute)>,
    workers: Vec<(Listener, SocketAddr)>,
    connections: BTreeMap<Conn, RelayedConnection>,
    /// Delayed deliveries: a datagram for a member, or bytes for a connection.
    delayed: Slab<Delivery>,
    /// The latest scheduled delivery per connection, so that its bytes keep their order.
    last_delivery: BTreeMap<Conn, Time>,
    /// Bytes held back for connections whose link is cut.
    held_bytes: BTreeMap<Conn, VecDeque<Vec<u8>>>,
    rng: ChaCha8Rng,
}

enum Delivery {
    Datagram(usize, Vec<u8>),
    Bytes(Conn, Vec<u8>),
}

/// How often the relay reads the state that the test sets: every 5 ms.
const POLL_INTERVAL: Time = 50;
const POLL_TOKEN: u64 = u64::MAX;

impl Relay {
    /// Opens a listener for each worker on a port that the system chooses, and returns their addresses in the
    /// order of `workers`.
    pub fn new(
        routes: Vec<MemberRoute>,
        workers: &[SocketAddr],
        state: Arc<Mutex<RelayState>>,
        seed: u64,
    ) -> Result<(Relay, Vec<SocketAddr>), String> {
        let mut net = Mio::new().map_err(|e| e.to_string())?;
        let mut bound = Vec::new();
        for route in routes {
            let (port, _) = net
                .bind_datagram(route.relay_address)
                .map_err(|e| format!("{}: {e}", route.relay_address))?;
            bound.push((port, route));
        }
        let (mut listeners, mut relay_addresses) = (Vec::new(), Vec::new());
        for worker in workers {
            let (listener, at) = net
                .listen(([127, 0, 0, 1], 0).into())
                .map_err(|e| e.to_string())?;
            listeners.push((listener, *worker));
            relay_addresses.push(at);
        }
        let now = net.now();
        net.set_timer(now + POLL_INTERVAL, POLL_TOKEN);
        let relay = Relay {
            net,
            state,
            routes: bound,
            workers: listeners,
            connections: BTreeMap::new(),
            delayed: Slab::new(),
            last_delivery: BTreeMap::new(),
            held_bytes: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Ok((relay, relay_addresses))
    }

    fn schedule(&mut self, wait: Time, delivery: Delivery) {
        let key = self.delayed.insert(delivery) as u64;
        let at = self.net.now() + wait;
        self.net.set_timer(at, key);
    }

    fn forward(&mut self, to: Conn, bytes: Vec<u8>, link: Link) {
        if link.cut || self.held_bytes.contains_key(&to) {
            return self.held_bytes.entry(to).or_default().push_back(bytes);
        }
        if link.delay == 0 && !self.last_delivery.contains_key(&to) {
            self.net.write(to, &bytes);
            return;
        }
        let now = self.net.now();
        let at = (now + link.delay).max(self.last_delivery.get(&to).copied().unwrap_or(0));
        self.last_delivery.insert(to, at);
        self.schedule(at - now, Delivery::Bytes(to, bytes));
    }

    fn poll_state(&mut self) {
        let (stop, links, members_to_reset) = {
            let mut state = self
                .state
                .lock()
                .expect("no thread panics while it holds the lock");
            (
                state.stop,
                state.effect_links.clone(),
                std::mem::take(&mut state.members_to_reset),
            )
        };
        if stop {
            return self.net.stop();
        }
        let link_of = |p: &RelayedConnection| {
            p.member
                .and_then(|m| links.get(&m).copied())
                .unwrap_or_default()
        };
        let restored: Vec<Conn> = self
            .held_bytes
            .keys()
            .copied()
            .filter(|c| self.connections.get(c).is_none_or(|p| !link_of(p).cut))
            .collect();
        for conn in restored {
            for bytes in self.held_bytes.remove(&conn).unwrap_or_default() {
                self.net.write(conn, &bytes);
            }
        }
        let reset_conns: Vec<Conn> = self
            .connections
            .iter()
            .filter(|p| p.1.member.is_some_and(|m| members_to_reset.contains(&m)))
            .map(|p| *p.0)
            .collect();
        for conn in reset_conns {
            self.close_both(conn);
            self.net.reset(conn);
        }
        let now = self.net.now();
        self.net.set_timer(now + POLL_INTERVAL, POLL_TOKEN);
    }

    /// Forgets both ends of a relayed connection and resets the other end.
    fn close_both(&mut self, conn: Conn) {
        if let Some(connection) = self.connections.remove(&conn) {
            self.connections.remove(&connection.other);
            self.net.reset(connection.other);
            for c in [conn, connection.other] {
                self.held_bytes.remove(&c);
                self.last_delivery.remove(&c);
            }
        }
    }

    /// Reads from a lease holder's hello frame which member the connection belongs to.
    fn effect_sender(bytes: &[u8]) -> Option<usize> {
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
        self.connections.insert(
            conn,
            RelayedConnection {
                other,
                towards_worker: true,
                member: None,
            },
        );
        self.connections.insert(
            other,
            RelayedConnection {
                other: conn,
                towards_worker: false,
                member: None,
            },
        );
    }

    fn connected(&mut self, conn: Conn) {
        // `forward` holds bytes back while the link is cut. Sends those held so far, which may have arrived
        // before the connection was established, even if the link is still cut.
        for bytes in self.held_bytes.remove(&conn).unwrap_or_default() {
            self.net.write(conn, &bytes);
        }
    }

    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return bytes.len();
        };
        let other = connection.other;
        if connection.towards_worker && connection.member.is_none() {
            if let Some(member) = Relay::effect_sender(bytes) {
                connection.member = Some(member);
                if let Some(reverse) = self.connections.get_mut(&other) {
                    reverse.member = Some(member);
                }
            }
        }
        let member = self.connections[&conn].member;
        let link = {
            let state = self
                .state
                .lock()
                .expect("no thread panics while it holds the lock");
            member
                .and_then(|m| state.effect_links.get(&m).copied())
                .unwrap_or_default()
        };
        self.forward(other, bytes.to_vec(), link);
        bytes.len()
    }

    fn writable(&mut self, _: Conn) {}

    fn closed(&mut self, conn: Conn, _: CloseReason) {
        self.close_both(conn);
    }

    fn datagram_received(&mut self, port: DatagramSocket, from: SocketAddr, bytes: &[u8]) {
        let Some(to) = self.routes.iter().position(|w| w.0 == port) else {
            return;
        };
        let Some(from) = self.routes.iter().position(|w| w.1.member_address == from) else {
            return;
        };
        let (link, lost, duplicated, jitter) = {
            let mut state = self
                .state
                .lock()
                .expect("no thread panics while it holds the lock");
            let link = state.links.get(&(from, to)).copied().unwrap_or_default();
            let lost = link.cut
                || link.loss_per_mille > 0
                    && self.rng.random_ratio(link.loss_per_mille.min(1_000), 1_000);
            let duplicated = link.duplicate_per_mille > 0
                && self
                    .rng
                    .random_ratio(link.duplicate_per_mille.min(1_000), 1_000);
            let jitter = if link.jitter > 0 {
                self.rng.random_range(0..=link.jitter)
            } else {
                0
            };
            if lost {
                state.dropped += 1;
            } else {
                state.forwarded += 1;
            }
            (link, lost, duplicated, jitter)
        };
        if lost {
            return;
        }
        let wait = link.delay + jitter;
        if duplicated {
            self.schedule(wait + 20, Delivery::Datagram(to, bytes.to_vec()));
        }
        if wait == 0 {
            let (port, route) = &self.routes[to];
            let (port, member_address) = (*port, route.member_address);
            self.net.send_datagram(port, member_address, bytes);
        } else {
            self.schedule(wait, Delivery::Datagram(to, bytes.to_vec()));
        }
    }

    fn timer_fired(&mut self, token: u64) {
        if token == POLL_TOKEN {
            return self.poll_state();
        }
        match self.delayed.remove(token as usize) {
            Delivery::Datagram(to, bytes) => {
                let (port, member_address) = (self.routes[to].0, self.routes[to].1.member_address);
                self.net.send_datagram(port, member_address, &bytes);
            }
            Delivery::Bytes(conn, bytes) => {
                self.net.write(conn, &bytes);
            }
        }
    }
}
