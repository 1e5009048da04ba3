//! The simulated network: its clock, its scheduled events, its nodes and their sockets.
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

/// Latency between nodes for which no [`Path`] is set: 0.2 ms, for a round trip of 0.4 ms as on a local
/// network.
const DEFAULT_DELAY: Time = 2;

/// Sockets that request a free port get a port above this one.
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
    /// Number of events scheduled so far. Events of the same time are delivered in the order of this number.
    pub(super) scheduled: u64,
    pub(super) events: BTreeMap<(Time, u64), Event>,
    pub(super) endpoints: Slab<Endpoint>,
    pub(super) last_generation: u32,
    /// Indexed by the number of the [`Listener`](crate::Listener); `None` once closed.
    pub(super) listeners: Vec<Option<BoundSocket>>,
    /// Indexed by the number of the [`DatagramSocket`](crate::DatagramSocket); `None` once closed.
    pub(super) datagram_sockets: Vec<Option<BoundSocket>>,
    pub(super) nodes: Vec<Node>,
    pub(super) paths: BTreeMap<Route, Path>,
    /// Messages of streams that wait for the end of a partition, in the order in which they were sent.
    pub(super) blocked: Vec<(Route, Event)>,
    pub(super) rng: ChaCha8Rng,
    /// Digest of everything that was delivered, to compare runs.
    pub(super) digest: FxHasher,
    /// Number of events and timers delivered so far.
    pub steps: u64,
    /// Addresses that can move between nodes, like the address of a virtual router: a node that listens there
    /// takes the address over from its former owner. A second listener at any other address is refused.
    pub movable_addresses: Vec<SocketAddr>,
    /// Observes and changes messages between nodes.
    pub tap: Option<Tap>,
    /// Latency between nodes for which no path is set, in tenths of a millisecond.
    pub delay: Time,
    /// Maximum number of bytes that are passed to an app in one segment of a stream; 0 for no limit.
    pub max_segment_size: usize,
    pub(super) last_port: u16,
}

/// Creates a network without nodes, at time 1.
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
        movable_addresses: Vec::new(),
        tap: None,
        delay: DEFAULT_DELAY,
        max_segment_size: 0,
        last_port: EPHEMERAL_PORTS,
    }))
}

impl World {
    /// Seeds the random number generator of the paths.
    pub fn seed(&mut self, seed: u64) {
        self.rng = ChaCha8Rng::seed_from_u64(seed);
    }

    /// The world's time, in tenths of a millisecond. The clocks of the nodes may differ from it.
    pub fn now(&self) -> Time {
        self.now
    }

    /// A digest of the times and bytes of everything that was delivered: equal for equal runs.
    pub fn digest(&self) -> u64 {
        self.digest.finish()
    }

    /// Sets the path from one node to another, in this direction only. Where it ends a partition, the blocked
    /// messages of streams are sent.
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

    /// Schedules an event after `wait`, without regard to any path.
    pub(super) fn schedule(&mut self, wait: Time, event: Event) {
        self.scheduled += 1;
        self.events.insert((self.now + wait, self.scheduled), event);
    }

    /// The node that listens at an address, if any.
    pub(super) fn listening_node(&self, address: SocketAddr) -> Option<usize> {
        let mut listeners = self.listeners.iter().flatten();
        listeners.find(|l| l.address == address).map(|l| l.node)
    }

    /// The node that has a datagram socket at an address, if any.
    pub(super) fn datagram_node(&self, address: SocketAddr) -> Option<usize> {
        let mut sockets = self.datagram_sockets.iter().flatten();
        sockets.find(|s| s.address == address).map(|s| s.node)
    }

    /// Replaces port 0 of an address by a free port.
    pub(super) fn choose_port(&mut self, mut address: SocketAddr) -> SocketAddr {
        if address.port() == 0 {
            self.last_port += 1;
            address.set_port(self.last_port);
        }
        address
    }
}
