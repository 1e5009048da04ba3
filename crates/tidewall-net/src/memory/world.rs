//! The simulated network: its clock, its scheduled events and everything that is connected by it.
use super::endpoint::Endpoint;
use super::event::Event;
use super::handle::Memory;
use super::node::Node;
use super::path::{Path, Route, Tap};
use crate::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHasher;
use slab::Slab;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;

/// Latency of messages without a [`Path`] of their own: 0.2 ms, a round trip of 0.4 ms on a local network.
const DEFAULT_DELAY: Time = 2;

/// Ports above this one are given to sockets that ask for a free one.
const EPHEMERAL_PORTS: u16 = 20_000;

/// A listener or a datagram socket.
#[derive(Clone, Copy)]
pub(super) struct BoundSocket {
    pub(super) node: usize,
    pub(super) address: SocketAddr,
}

/// The simulated network of all nodes.
pub struct World {
    pub(super) now: Time,
    /// Number of events scheduled so far: events of one time are delivered in the order of their scheduling.
    pub(super) scheduled: u64,
    pub(super) events: BTreeMap<(Time, u64), Event>,
    pub(super) endpoints: Slab<Endpoint>,
    pub(super) last_generation: u32,
    /// By the number of the [`Listener`](crate::Listener); None once closed.
    pub(super) listeners: Vec<Option<BoundSocket>>,
    /// By the number of the [`DatagramSocket`](crate::DatagramSocket); None once closed.
    pub(super) datagram_sockets: Vec<Option<BoundSocket>>,
    pub(super) nodes: Vec<Node>,
    pub(super) paths: BTreeMap<Route, Path>,
    /// What waits for the end of a partition, in order.
    pub(super) blocked: Vec<(Route, Event)>,
    pub(super) rng: ChaCha8Rng,
    /// Over all that was delivered, to compare runs.
    pub(super) digest: FxHasher,
    /// Number of events and timers delivered so far.
    pub steps: u64,
    /// Addresses that the node which listens there last takes over from the former one, as a virtual router's address
    /// moves; elsewhere a second listener is refused.
    pub moves: Vec<SocketAddr>,
    /// Sees and changes messages between nodes.
    pub tap: Option<Tap>,
    /// Latency where no path is set, in tenths of a millisecond.
    pub delay: Time,
    /// Bytes of a stream are passed to apps in segments of at most this many; 0 for no limit.
    pub piece: usize,
    pub(super) last_port: u16,
}

/// A network without nodes, at time 1.
pub fn world() -> Rc<RefCell<World>> {
    Rc::new(RefCell::new(World {
        now: 1,
        scheduled: 0,
        events: BTreeMap::new(),
        endpoints: Slab::new(),
        last_generation: 0,
        listeners: Vec::new(),
        datagram_sockets: Vec::new(),
        nodes: Vec::new(),
        paths: BTreeMap::new(),
        blocked: Vec::new(),
        rng: ChaCha8Rng::seed_from_u64(0),
        digest: FxHasher::default(),
        steps: 0,
        moves: Vec::new(),
        tap: None,
        delay: DEFAULT_DELAY,
        piece: 0,
        last_port: EPHEMERAL_PORTS,
    }))
}

impl World {
    /// Seeds the random choices of the paths.
    pub fn seed(&mut self, seed: u64) {
        self.rng = ChaCha8Rng::seed_from_u64(seed);
    }

    /// The world's time, in tenths of a millisecond; the nodes' clocks may differ from it.
    pub fn now(&self) -> Time {
        self.now
    }

    /// A digest of the times and bytes of all that was delivered: equal for equal runs.
    pub fn digest(&self) -> u64 {
        self.digest.finish()
    }

    /// Sets the path from one node to another, in this direction only. The end of a partition releases what it blocked.
    pub fn path(&mut self, from: &Memory, to: &Memory, path: Path) {
        let route = Route {
            from: from.node,
            to: to.node,
        };
        self.paths.insert(route, path);
        if !path.cut {
            let (released, blocked): (Vec<_>, Vec<_>) = std::mem::take(&mut self.blocked)
                .into_iter()
                .partition(|(blocked_route, _)| *blocked_route == route);
            self.blocked = blocked;
            for (_, event) in released {
                self.transmit(route, event);
            }
        }
    }

    /// Schedules an event after `wait`, whatever the path.
    pub(super) fn schedule(&mut self, wait: Time, event: Event) {
        self.scheduled += 1;
        self.events.insert((self.now + wait, self.scheduled), event);
    }

    /// The node that listens at an address.
    pub(super) fn listening_node(&self, address: SocketAddr) -> Option<usize> {
        let mut listeners = self.listeners.iter().flatten();
        listeners.find(|l| l.address == address).map(|l| l.node)
    }

    /// The node with a datagram socket at an address.
    pub(super) fn datagram_node(&self, address: SocketAddr) -> Option<usize> {
        let mut sockets = self.datagram_sockets.iter().flatten();
        sockets.find(|s| s.address == address).map(|s| s.node)
    }

    /// The address, with a free port in place of port 0.
    pub(super) fn choose_port(&mut self, mut address: SocketAddr) -> SocketAddr {
        if address.port() == 0 {
            self.last_port += 1;
            address.set_port(self.last_port);
        }
        address
    }
}
