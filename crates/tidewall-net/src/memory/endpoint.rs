//! Endpoints: each simulated connection has one at either side.
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
    /// The endpoint at the other side, once the connection is accepted.
    pub(super) peer: Option<Conn>,
    pub(super) established: bool,
    /// Bytes that have arrived and were not read yet, like a socket's receive queue.
    pub(super) receive_queue: Buffer,
    /// Bytes that were passed to the app, which has not consumed them.
    pub(super) read_buffer: Buffer,
    /// Number of bytes on their way to this endpoint.
    pub(super) in_flight: usize,
    /// When the last event on its way to this endpoint arrives. Later ones must not overtake it: a stream
    /// keeps its order.
    pub(super) last_arrival: Time,
    /// Bytes that were accepted from the app and have not been sent yet.
    pub(super) write_buffer: Buffer,
    /// Since when the peer's receive window has been too small for the write buffer, by this node's clock.
    pub(super) blocked_since: Option<Time>,
    /// The listener's address; set on the accepting side only.
    pub(super) local_address: Option<SocketAddr>,
    pub(super) read_paused: bool,
    /// The app has left complete messages in `read_buffer`.
    pub(super) deferred: bool,
    /// Limit of bytes in `read_buffer`; the connection is reset when the app leaves that many.
    pub(super) read_limit: usize,
    /// A write was not accepted in full: `App::writable` must follow.
    pub(super) writable_pending: bool,
    pub(super) closing: bool,
}

impl Endpoint {
    /// How many bytes the peer may still send before the receive queue is full.
    pub(super) fn receive_window(&self) -> usize {
        READ_BUFFER_LIMIT.saturating_sub(self.receive_queue.len() + self.in_flight)
    }
}

impl World {
    /// The endpoint, or `None` where it was removed.
    pub(super) fn endpoint(&mut self, conn: Conn) -> Option<&mut Endpoint> {
        self.endpoints
            .get_mut(conn.index())
            .filter(|e| e.generation == conn.generation())
    }

    /// The node of an endpoint, or `None` where the endpoint was removed.
    pub(super) fn node_of(&self, conn: Conn) -> Option<usize> {
        self.endpoints
            .get(conn.index())
            .filter(|e| e.generation == conn.generation())
            .map(|e| e.node)
    }

    /// Adds an endpoint: an accepted one with its peer, or, without a peer, one that begins to connect.
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
            blocked_since: None,
            local_address: None,
            read_paused: false,
            deferred: false,
            read_limit: READ_BUFFER_LIMIT,
            writable_pending: false,
            closing: false,
        });
        Conn::new(index, self.last_generation)
    }

    /// Removes an endpoint, and notifies its peer over the path between their nodes.
    pub(super) fn remove_endpoint(&mut self, conn: Conn, reason: CloseReason) {
        if self.endpoint(conn).is_some() {
            let endpoint = self.endpoints.remove(conn.index());
            if let Some(peer) = endpoint.peer {
                self.notify_closed(endpoint.node, peer, reason);
            }
        }
    }

    /// Notifies an endpoint that its connection, whose other side is on node `from`, has ended.
    pub(super) fn notify_closed(&mut self, from: usize, conn: Conn, reason: CloseReason) {
        if let Some(to) = self.node_of(conn) {
            self.transmit(Route { from, to }, Event::Closed { conn, reason });
        }
    }

    /// Sends from the write buffer as much as the peer's receive window allows.
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
        let now = self.nodes[from].local_time(self.now);
        if let Some(endpoint) = self.endpoint(conn) {
            endpoint.write_buffer.consume(sent);
            let blocked_since = endpoint.blocked_since.unwrap_or(now);
            endpoint.blocked_since = (!endpoint.write_buffer.is_empty()).then_some(blocked_since);
        }
    }

    /// Moves an address to another node. The former owner no longer listens there. Both sides of the
    /// connections that it accepted there are reset, because whatever either side sent later would be
    /// answered by a reset.
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
