//! Endpoints: the two sides of each simulated connection.
use super::event::Event;
use super::path::Route;
use super::World;
use crate::buffer::{Buffer, READ_BUFFER_LIMIT};
use crate::{CloseReason, Conn, Time};
use std::net::SocketAddr;

/// One node's side of a connection.
pub(super) struct Endpoint {
    pub(super) node: usize,
    pub(super) generation: u32,
    /// The peer's address.
    pub(super) remote_address: SocketAddr,
    /// The other side, once accepted.
    pub(super) peer: Option<Conn>,
    pub(super) established: bool,
    /// Has arrived and was not read yet, as in a socket's receive queue.
    pub(super) receive_queue: Buffer,
    /// Was passed to the app, which has not consumed it.
    pub(super) read_buffer: Buffer,
    /// Bytes on their way here.
    pub(super) in_flight: usize,
    /// When the last event on its way here arrives: a stream keeps its order.
    pub(super) last_arrival: Time,
    /// Was accepted from the app and is not yet on its way.
    pub(super) write_buffer: Buffer,
    /// The listener's address, on the accepting side.
    pub(super) local_address: Option<SocketAddr>,
    pub(super) read_paused: bool,
    /// The most bytes that `read_buffer` may hold.
    pub(super) read_limit: usize,
    /// A write was not accepted in full: `App::writable` must follow.
    pub(super) writable_pending: bool,
    pub(super) closing: bool,
}

impl Endpoint {
    /// How many bytes may be sent here before the receive queue is full.
    pub(super) fn receive_window(&self) -> usize {
        READ_BUFFER_LIMIT.saturating_sub(self.receive_queue.len() + self.in_flight)
    }
}

impl World {
    /// The endpoint, unless it is gone.
    pub(super) fn endpoint(&mut self, conn: Conn) -> Option<&mut Endpoint> {
        self.endpoints
            .get_mut(conn.index())
            .filter(|e| e.generation == conn.generation())
    }

    /// The node of an endpoint, unless it is gone.
    pub(super) fn node_of(&self, conn: Conn) -> Option<usize> {
        self.endpoints
            .get(conn.index())
            .filter(|e| e.generation == conn.generation())
            .map(|e| e.node)
    }

    /// Adds an endpoint: an accepted one with its peer, or one that begins to connect.
    pub(super) fn add_endpoint(
        &mut self,
        node: usize,
        remote_address: SocketAddr,
        peer: Option<Conn>,
    ) -> Conn {
        self.last_generation += 1;
        let index = self.endpoints.insert(Endpoint {
            node,
            generation: self.last_generation,
            remote_address,
            peer,
            established: peer.is_some(),
            receive_queue: Buffer::default(),
            read_buffer: Buffer::default(),
            in_flight: 0,
            last_arrival: 0,
            write_buffer: Buffer::default(),
            local_address: None,
            read_paused: false,
            read_limit: READ_BUFFER_LIMIT,
            writable_pending: false,
            closing: false,
        });
        Conn::new(index, self.last_generation)
    }

    /// Removes an endpoint; its peer is notified by way of their path.
    pub(super) fn remove_endpoint(&mut self, conn: Conn, reason: CloseReason) {
        if self.endpoint(conn).is_some() {
            let endpoint = self.endpoints.remove(conn.index());
            if let Some(peer) = endpoint.peer {
                self.notify_closed(endpoint.node, peer, reason);
            }
        }
    }

    /// Notifies an endpoint that its connection, whose other side is at node `from`, has ended.
    pub(super) fn notify_closed(&mut self, from: usize, conn: Conn, reason: CloseReason) {
        if let Some(to) = self.node_of(conn) {
            self.transmit(Route { from, to }, Event::Closed { conn, reason });
        }
    }

    /// Sends from the write buffer, as far as the peer's receive window allows.
    pub(super) fn send_buffered(&mut self, conn: Conn) {
        let Some(endpoint) = self.endpoint(conn) else {
            return;
        };
        let sendable = endpoint.established && !endpoint.write_buffer.is_empty();
        let Some(peer) = endpoint.peer.filter(|_| sendable) else {
            return;
        };
        let from = endpoint.node;
        let mut bytes = endpoint.write_buffer.data().to_vec();
        let Some(receiver) = self.endpoint(peer) else {
            return;
        };
        bytes.truncate(receiver.receive_window());
        let (sent, to) = (bytes.len(), receiver.node);
        receiver.in_flight += sent;
        if sent > 0 {
            self.transmit(Route { from, to }, Event::Data { conn: peer, bytes });
        }
        if let Some(endpoint) = self.endpoint(conn) {
            endpoint.write_buffer.consume(sent);
        }
    }

    /// An address moves to another node: its former owner no longer listens there, and what either side of a connection
    /// that it accepted there sends from now on would be answered by a reset, so both sides are reset.
    pub(super) fn move_address(&mut self, new_owner: usize, address: SocketAddr) {
        for listener in &mut self.listeners {
            if listener.is_some_and(|l| l.address == address && l.node != new_owner) {
                *listener = None;
            }
        }
        let accepted = self.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.local_address == Some(address) && endpoint.node != new_owner
        });
        let both_sides = accepted.flat_map(|(index, endpoint)| {
            [Some(Conn::new(index, endpoint.generation)), endpoint.peer]
        });
        let resets: Vec<Conn> = both_sides.flatten().collect();
        for conn in resets {
            let reason = CloseReason::Reset;
            self.schedule(self.delay, Event::Closed { conn, reason });
        }
    }
}
