//! A node's handle on the [`World`]: its [`Net`], and the faults that tests inject into it.
use super::event::Event;
use super::node::{Node, Stall};
use super::path::Route;
use super::world::{BoundSocket, World};
use crate::buffer::WRITE_BUFFER_LIMIT;
use crate::{CloseReason, Conn, DatagramSocket, Listener, Net, Time, TimerId};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// One node's handle on the [`World`]. A clone is a handle on the same node.
#[derive(Clone)]
pub struct Memory {
    pub(super) world: Rc<RefCell<World>>,
    pub(super) node: usize,
}

impl Memory {
    /// Adds a node to the world. Nodes are numbered from 0 in the order in which they join.
    pub fn join(world: &Rc<RefCell<World>>) -> Memory {
        let mut w = world.borrow_mut();
        w.nodes.push(Node::default());
        Memory {
            world: world.clone(),
            node: w.nodes.len() - 1,
        }
    }

    /// Kills the node's process: its sockets are closed, its connections are reset, and no event is delivered
    /// to it.
    pub fn kill(&self) {
        let mut world = self.world.borrow_mut();
        let world = &mut *world;
        let node = self.node;
        world.nodes[node].dead = true;
        for socket in world
            .listeners
            .iter_mut()
            .chain(&mut world.datagram_sockets)
        {
            if socket.is_some_and(|s| s.node == node) {
                *socket = None;
            }
        }
        let endpoints = world.endpoints.iter().filter(|(_, e)| e.node == node);
        let conns: Vec<Conn> = endpoints
            .map(|(index, e)| Conn::new(index, e.generation))
            .collect();
        for conn in conns {
            world.remove_endpoint(conn, CloseReason::Reset);
        }
    }

    /// Whether the node was killed or stopped itself.
    pub fn dead(&self) -> bool {
        self.world.borrow().nodes[self.node].dead
    }

    /// Starts a new process in place of a dead one. It keeps nothing of the old state but the clock rate,
    /// which belongs to the machine.
    pub fn restart(&self) {
        let mut world = self.world.borrow_mut();
        let node = &mut world.nodes[self.node];
        *node = Node {
            skew_ppm: node.skew_ppm,
            ..Node::default()
        };
    }

    /// Makes the node's clock run faster than the world's by this many parts per million; slower where
    /// negative.
    pub fn clock(&self, skew_ppm: i64) {
        self.world.borrow_mut().nodes[self.node].skew_ppm = skew_ppm;
    }

    /// Simulates a process without free file descriptors, or ends that fault.
    pub fn set_out_of_descriptors(&self, exhausted: bool) {
        self.world.borrow_mut().nodes[self.node].out_of_descriptors = exhausted;
    }

    /// Number of bytes in the write buffers of all of the node's connections.
    pub fn total_unsent(&self) -> usize {
        let world = self.world.borrow();
        let endpoints = world.endpoints.iter().map(|(_, endpoint)| endpoint);
        let own = endpoints.filter(|endpoint| endpoint.node == self.node);
        own.map(|endpoint| endpoint.write_buffer.len()).sum()
    }

    /// Stalls the process, or ends the stall: all events that happened meanwhile are then delivered at once.
    pub fn still(&self, stalled: bool) {
        let mut world = self.world.borrow_mut();
        let now = world.now;
        let node = &mut world.nodes[self.node];
        if stalled {
            // The start of a stall that is already in progress is kept.
            node.stalled_since.get_or_insert(now);
        } else if let Some(since) = node.stalled_since.take() {
            let duration = now - since;
            node.total_stall += duration;
            node.last_stall = Stall {
                ended_at: now,
                duration,
            };
            let backlog = std::mem::take(&mut node.backlog);
            for event in backlog {
                world.schedule(0, event);
            }
        }
    }

    /// Resets a connection of this node; both sides are notified.
    pub fn cut(&self, conn: Conn) {
        let mut world = self.world.borrow_mut();
        let reason = CloseReason::Reset;
        world.schedule(0, Event::Closed { conn, reason });
        let peer = world.endpoint(conn).and_then(|e| Some((e.node, e.peer?)));
        if let Some((node, peer)) = peer {
            world.notify_closed(node, peer, reason);
        }
    }
}

impl Net for Memory {
    fn now(&self) -> Time {
        let world = self.world.borrow();
        world.nodes[self.node].local_time(world.now)
    }

    fn total_stall(&self) -> Time {
        self.world.borrow().nodes[self.node].total_stall
    }

    fn read_delay(&self) -> Time {
        let world = self.world.borrow();
        let stall = world.nodes[self.node].last_stall;
        if stall.ended_at == world.now {
            stall.duration
        } else {
            0
        }
    }

    fn max_timer_lag(&self) -> Time {
        0
    }

    fn listen(&mut self, requested: SocketAddr) -> io::Result<(Listener, SocketAddr)> {
        let mut world = self.world.borrow_mut();
        let address = world.choose_port(requested);
        if world.movable_addresses.contains(&address) {
            world.move_address(self.node, address);
        }
        if world.listening_node(address).is_some() {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let node = self.node;
        world.listeners.push(Some(BoundSocket { node, address }));
        Ok((Listener(world.listeners.len() - 1), address))
    }

    fn stop_listening(&mut self, listener: Listener) {
        self.world.borrow_mut().listeners[listener.0] = None;
    }

    fn connect(&mut self, to: SocketAddr, timeout: Time) -> Conn {
        let mut world = self.world.borrow_mut();
        let from = self.node;
        let conn = world.add_endpoint(from, to, None);
        if world.nodes[from].out_of_descriptors {
            let reason = CloseReason::NoResources;
            world.schedule(0, Event::Closed { conn, reason });
            return conn;
        }
        let request = Event::ConnectRequest { conn, to };
        match world.listening_node(to) {
            Some(to) => world.transmit(Route { from, to }, request),
            None => {
                let delay = world.delay;
                world.schedule(delay, request);
            }
        }
        world.schedule(timeout, Event::ConnectTimeout { conn });
        conn
    }

    fn write(&mut self, conn: Conn, bytes: &[u8]) -> bool {
        let mut world = self.world.borrow_mut();
        let Some(endpoint) = world.endpoint(conn).filter(|e| !e.closing) else {
            return false;
        };
        if endpoint.write_buffer.len() + bytes.len() > WRITE_BUFFER_LIMIT {
            endpoint.writable_pending = true;
            return false;
        }
        endpoint.write_buffer.push(bytes);
        world.send_buffered(conn);
        true
    }

    fn write_available(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        let mut world = self.world.borrow_mut();
        let peer = world
            .endpoint(conn)
            .filter(|e| e.established && !e.closing && e.write_buffer.is_empty())
            .and_then(|e| e.peer);
        let receiver = peer.and_then(|peer| world.endpoint(peer));
        let window = receiver.map_or(0, |receiver| receiver.receive_window());
        let written = bytes.len().min(window);
        if let Some(endpoint) = world.endpoint(conn) {
            endpoint.writable_pending |= written < bytes.len();
            endpoint.write_buffer.push(&bytes[..written]);
        }
        world.send_buffered(conn);
        written
    }

    /// Does nothing: written bytes are sent at once.
    fn flush(&mut self, _conn: Conn) {}

    fn blocked_since(&self, conn: Conn) -> Option<Time> {
        self.world.borrow_mut().endpoint(conn)?.blocked_since
    }

    fn unsent(&self, conn: Conn) -> usize {
        let mut world = self.world.borrow_mut();
        world.endpoint(conn).map_or(0, |e| e.write_buffer.len())
    }

    fn has_unread(&mut self, conn: Conn) -> bool {
        let mut world = self.world.borrow_mut();
        world
            .endpoint(conn)
            .is_some_and(|e| !e.receive_queue.is_empty())
    }

    fn defer_rest(&mut self, conn: Conn) {
        let mut world = self.world.borrow_mut();
        if let Some(endpoint) = world.endpoint(conn) {
            endpoint.deferred = true;
        }
    }

    fn set_read_limit(&mut self, conn: Conn, bytes: usize) {
        let mut world = self.world.borrow_mut();
        if let Some(endpoint) = world.endpoint(conn) {
            endpoint.read_limit = bytes;
        }
    }

    fn set_read_paused(&mut self, conn: Conn, paused: bool) {
        let mut world = self.world.borrow_mut();
        let Some(endpoint) = world.endpoint(conn) else {
            return;
        };
        endpoint.read_paused = paused;
        let bytes = Vec::new();
        world.schedule(0, Event::Data { conn, bytes });
    }

    fn close(&mut self, conn: Conn) {
        let mut world = self.world.borrow_mut();
        let Some(endpoint) = world.endpoint(conn) else {
            return;
        };
        endpoint.closing = true;
        if endpoint.write_buffer.is_empty() || endpoint.peer.is_none() {
            world.remove_endpoint(conn, CloseReason::Ended);
        }
    }

    fn reset(&mut self, conn: Conn) {
        let mut world = self.world.borrow_mut();
        world.remove_endpoint(conn, CloseReason::Reset);
    }

    fn abort(&mut self, conn: Conn) {
        self.cut(conn);
    }

    fn bind_datagram(&mut self, requested: SocketAddr) -> io::Result<(DatagramSocket, SocketAddr)> {
        let mut world = self.world.borrow_mut();
        let address = world.choose_port(requested);
        if world.datagram_node(address).is_some() {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let node = self.node;
        let socket = BoundSocket { node, address };
        world.datagram_sockets.push(Some(socket));
        let id = DatagramSocket(world.datagram_sockets.len() - 1);
        Ok((id, address))
    }

    fn send_datagram(&mut self, socket: DatagramSocket, to: SocketAddr, bytes: &[u8]) {
        let mut world = self.world.borrow_mut();
        let Some(sender) = world.datagram_sockets[socket.0] else {
            return;
        };
        let Some(receiving_node) = world.datagram_node(to) else {
            return;
        };
        let route = Route {
            from: self.node,
            to: receiving_node,
        };
        let datagram = Event::Datagram {
            to,
            from: sender.address,
            bytes: bytes.to_vec(),
        };
        world.transmit(route, datagram);
    }

    fn set_timer(&mut self, expires_at: Time, token: u64) -> TimerId {
        let mut world = self.world.borrow_mut();
        let now = world.now;
        let node = &mut world.nodes[self.node];
        let expires_at = expires_at.max(node.local_time(now));
        node.timers.insert(expires_at, token)
    }

    fn cancel_timer(&mut self, timer: TimerId) {
        let mut world = self.world.borrow_mut();
        world.nodes[self.node].timers.cancel(timer);
    }

    fn stop(&mut self) {
        self.world.borrow_mut().nodes[self.node].dead = true;
    }
}
