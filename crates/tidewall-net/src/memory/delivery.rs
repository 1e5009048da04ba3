//! Delivery: what an event does to its endpoint, listener or socket, and which method of the app it calls.
use super::event::Event;
use super::path::Route;
use super::scheduler::{enter_step, Apps};
use super::world::World;
use crate::{CloseReason, Conn, DatagramSocket, Listener, Time};
use std::cell::RefCell;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;

/// A listener without file descriptors looks at its backlog again after this (100 ms), as the one on the operating
/// system's network does.
const ACCEPT_PAUSE: Time = 1_000;

/// Delivers an event to its node: drops it where the node is dead, and keeps it where the node is stalled.
pub(super) fn deliver(world: &Rc<RefCell<World>>, apps: Apps, event: Event) {
    let mut w = world.borrow_mut();
    let node = w.receiving_node(&event);
    if let Some(node) = node {
        let state = &mut w.nodes[node];
        if state.dead {
            return;
        }
        // The system's connect timeout goes on where the process is stalled; the rest waits.
        if state.stalled_since.is_some() && !matches!(event, Event::ConnectTimeout { .. }) {
            state.backlog.push_back(event);
            return;
        }
        state.awake = true;
        enter_step(w.now, node);
    }
    w.digest_event(&event);
    drop(w);
    match event {
        Event::ConnectRequest { conn, to } => accept(world, apps, conn, to),
        Event::Datagram { to, from, bytes } => receive_datagram(world, apps, to, from, &bytes),
        Event::Established { conn } => {
            let Some(node) = node else { return };
            if let Some(endpoint) = world.borrow_mut().endpoint(conn) {
                endpoint.established = true;
            }
            apps[node].connected(conn);
            world.borrow_mut().send_buffered(conn);
        }
        Event::ConnectTimeout { conn } => {
            let Some(node) = node else { return };
            time_out(world, apps, node, conn);
        }
        Event::Data { conn, bytes } => {
            let Some(node) = node else { return };
            if let Some(endpoint) = world.borrow_mut().endpoint(conn) {
                endpoint.in_flight -= bytes.len();
                endpoint.receive_queue.push(&bytes);
            }
            receive_segment(world, apps, node, conn);
        }
        Event::Closed { conn, reason } => {
            let Some(node) = node else { return };
            end_connection(world, apps, node, conn, reason);
        }
    }
}

impl World {
    /// The node that an event is for, if it still exists there.
    fn receiving_node(&self, event: &Event) -> Option<usize> {
        match event {
            Event::ConnectRequest { to, .. } => self.listening_node(*to),
            Event::Datagram { to, .. } => self.datagram_node(*to),
            Event::Established { conn }
            | Event::ConnectTimeout { conn }
            | Event::Data { conn, .. }
            | Event::Closed { conn, .. } => self.node_of(*conn),
        }
    }

    /// Adds an event to the digest of the run.
    fn digest_event(&mut self, event: &Event) {
        self.digest.write_u64(self.now);
        match event {
            Event::Data { conn, bytes } => {
                self.digest.write_usize(conn.index());
                self.digest.write(bytes);
            }
            Event::Datagram { bytes, .. } => self.digest.write(bytes),
            Event::ConnectRequest { conn, .. }
            | Event::Established { conn }
            | Event::ConnectTimeout { conn }
            | Event::Closed { conn, .. } => self.digest.write_usize(conn.index()),
        }
    }
}

/// Accepts a connection at the listener of an address, or refuses it where nobody listens.
fn accept(world: &Rc<RefCell<World>>, apps: Apps, client: Conn, to: SocketAddr) {
    let mut w = world.borrow_mut();
    let mut listeners = w.listeners.iter();
    let index = listeners.position(|l| l.is_some_and(|l| l.address == to));
    let listener = index.and_then(|index| Some((index, w.listeners[index]?.node)));
    let Some((index, node)) = listener else {
        let (delay, reason) = (w.delay, CloseReason::Refused);
        let conn = client;
        return w.schedule(delay, Event::Closed { conn, reason });
    };
    if w.nodes[node].out_of_descriptors {
        let request = Event::ConnectRequest { conn: client, to };
        return w.schedule(ACCEPT_PAUSE, request);
    }
    let Some(endpoint) = w.endpoint(client) else {
        return;
    };
    let (from, client_node) = (endpoint.remote_address, endpoint.node);
    let conn = w.add_endpoint(node, from, Some(client));
    if let Some(accepted) = w.endpoint(conn) {
        accepted.local_address = Some(to);
    }
    if let Some(endpoint) = w.endpoint(client) {
        endpoint.peer = Some(conn);
    }
    let route = Route {
        from: node,
        to: client_node,
    };
    w.transmit(route, Event::Established { conn: client });
    drop(w);
    apps[node].accepted(Listener(index), conn, from);
}

/// Ends an attempt to connect that is not established yet.
fn time_out(world: &Rc<RefCell<World>>, apps: Apps, node: usize, conn: Conn) {
    let mut w = world.borrow_mut();
    if w.endpoint(conn).is_none_or(|e| e.established) {
        return;
    }
    w.remove_endpoint(conn, CloseReason::Ended);
    drop(w);
    apps[node].closed(conn, CloseReason::TimedOut);
}

/// Removes an endpoint whose connection has ended.
fn end_connection(
    world: &Rc<RefCell<World>>,
    apps: Apps,
    node: usize,
    conn: Conn,
    reason: CloseReason,
) {
    if reason == CloseReason::Ended {
        // What was sent before the end is read first.
        while receive_segment(world, apps, node, conn) {}
    }
    let mut w = world.borrow_mut();
    if w.endpoint(conn).is_none() {
        return;
    }
    w.endpoints.remove(conn.index());
    drop(w);
    apps[node].closed(conn, reason);
}

fn receive_datagram(
    world: &Rc<RefCell<World>>,
    apps: Apps,
    to: SocketAddr,
    from: SocketAddr,
    bytes: &[u8],
) {
    let w = world.borrow();
    let mut sockets = w.datagram_sockets.iter();
    let index = sockets.position(|s| s.is_some_and(|s| s.address == to));
    let socket = index.and_then(|index| Some((index, w.datagram_sockets[index]?.node)));
    drop(w);
    if let Some((index, node)) = socket {
        apps[node].datagram_received(DatagramSocket(index), from, bytes);
    }
}

/// Passes one segment of what has arrived to the app. True where more has arrived.
fn receive_segment(world: &Rc<RefCell<World>>, apps: Apps, node: usize, conn: Conn) -> bool {
    let mut w = world.borrow_mut();
    let limit = if w.piece == 0 { usize::MAX } else { w.piece };
    let readable = w
        .endpoint(conn)
        .filter(|e| !e.read_paused && !e.closing && !e.receive_queue.is_empty());
    let Some(endpoint) = readable else {
        return false;
    };
    let len = endpoint.receive_queue.len().min(limit);
    let segment = endpoint.receive_queue.data()[..len].to_vec();
    endpoint.receive_queue.consume(len);
    endpoint.read_buffer.push(&segment);
    let more = !endpoint.receive_queue.is_empty();
    let mut buffer = std::mem::take(&mut endpoint.read_buffer);
    let peer = endpoint.peer;
    drop(w);
    let consumed = apps[node].received(conn, buffer.data());
    buffer.consume(consumed);
    let mut w = world.borrow_mut();
    let mut full = false;
    if let Some(endpoint) = w.endpoint(conn) {
        full = buffer.len() >= endpoint.read_limit;
        endpoint.read_buffer = buffer;
    }
    if more {
        let bytes = Vec::new();
        w.schedule(0, Event::Data { conn, bytes });
    }
    if full {
        let reason = CloseReason::Reset;
        w.schedule(0, Event::Closed { conn, reason });
    }
    drop(w);
    if let Some(peer) = peer {
        resume_sending(world, apps, peer);
    }
    more
}

/// The receive window of an endpoint's peer has grown: sends what waits, and then ends a graceful close or notifies the
/// app that it may write.
fn resume_sending(world: &Rc<RefCell<World>>, apps: Apps, conn: Conn) {
    let mut w = world.borrow_mut();
    w.send_buffered(conn);
    let Some(endpoint) = w.endpoint(conn).filter(|e| e.write_buffer.is_empty()) else {
        return;
    };
    let writable_pending = std::mem::take(&mut endpoint.writable_pending);
    let (closing, node) = (endpoint.closing, endpoint.node);
    if closing {
        w.remove_endpoint(conn, CloseReason::Ended);
    } else if writable_pending && !w.nodes[node].dead {
        drop(w);
        apps[node].writable(conn);
    }
}
