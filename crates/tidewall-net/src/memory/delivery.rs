//! Delivery of events: how an event changes its endpoint, listener or socket, and which method of the app it
//! calls.
use super::event::Event;
use super::path::Route;
use super::scheduler::{enter_step, Apps};
use super::world::World;
use crate::{CloseReason, Conn, DatagramSocket, Listener, Time};
use std::cell::RefCell;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;

/// How long (100 ms) a node without free file descriptors waits before it tries to accept again: the same as
/// the listener on operating-system sockets.
const ACCEPT_PAUSE: Time = 1_000;

/// Delivers an event to its node. The event is dropped where the node is dead, and kept for later where it is
/// stalled.
pub(super) fn deliver(shared_world: &Rc<RefCell<World>>, apps: Apps, event: Event) {
    let mut world = shared_world.borrow_mut();
    let node = world.receiving_node(&event);
    if let Some(node) = node {
        let state = &mut world.nodes[node];
        if state.dead {
            return;
        }
        // Connect timeouts take effect even while the process is stalled; all other events wait for its end.
        if state.stalled_since.is_some() && !matches!(event, Event::ConnectTimeout { .. }) {
            state.backlog.push_back(event);
            return;
        }
        state.awake = true;
        enter_step(world.now, node);
    }
    world.digest_event(&event);
    drop(world);
    match event {
        Event::ConnectRequest { conn, to } => accept(shared_world, apps, conn, to),
        Event::Datagram { to, from, bytes } => {
            receive_datagram(shared_world, apps, to, from, &bytes)
        }
        Event::Established { conn } => {
            let Some(node) = node else { return };
            if let Some(endpoint) = shared_world.borrow_mut().endpoint(conn) {
                endpoint.established = true;
            }
            apps[node].connected(conn);
            shared_world.borrow_mut().send_buffered(conn);
        }
        Event::ConnectTimeout { conn } => {
            let Some(node) = node else { return };
            time_out_connect(shared_world, apps, node, conn);
        }
        Event::Data { conn, bytes } => {
            let Some(node) = node else { return };
            if let Some(endpoint) = shared_world.borrow_mut().endpoint(conn) {
                endpoint.in_flight -= bytes.len();
                endpoint.receive_queue.push(&bytes);
            }
            receive_segment(shared_world, apps, node, conn);
        }
        Event::Closed { conn, reason } => {
            let Some(node) = node else { return };
            end_connection(shared_world, apps, node, conn, reason);
        }
    }
}

impl World {
    /// The node that an event is for; `None` where its socket or endpoint no longer exists.
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

    /// Adds an event to the digest of everything that was delivered.
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

/// Accepts a connection at the listener of an address, or refuses it where no node listens there.
fn accept(shared_world: &Rc<RefCell<World>>, apps: Apps, client: Conn, to: SocketAddr) {
    let mut world = shared_world.borrow_mut();
    let mut listeners = world.listeners.iter();
    let index = listeners.position(|l| l.is_some_and(|l| l.address == to));
    let listener = index.and_then(|index| Some((index, world.listeners[index]?.node)));
    let Some((index, node)) = listener else {
        let (delay, reason) = (world.delay, CloseReason::Refused);
        let conn = client;
        return world.schedule(delay, Event::Closed { conn, reason });
    };
    if world.nodes[node].out_of_descriptors {
        let request = Event::ConnectRequest { conn: client, to };
        return world.schedule(ACCEPT_PAUSE, request);
    }
    let Some(endpoint) = world.endpoint(client) else {
        return;
    };
    let (from, client_node) = (endpoint.remote_address, endpoint.node);
    let conn = world.add_endpoint(node, from, Some(client));
    if let Some(accepted) = world.endpoint(conn) {
        accepted.local_address = Some(to);
    }
    if let Some(endpoint) = world.endpoint(client) {
        endpoint.peer = Some(conn);
    }
    let route = Route {
        from: node,
        to: client_node,
    };
    world.transmit(route, Event::Established { conn: client });
    drop(world);
    apps[node].accepted(Listener(index), conn, from);
}

/// Handles an expired connect timeout: closes the connection unless it has been established.
fn time_out_connect(shared_world: &Rc<RefCell<World>>, apps: Apps, node: usize, conn: Conn) {
    let mut world = shared_world.borrow_mut();
    if world.endpoint(conn).is_none_or(|e| e.established) {
        return;
    }
    world.remove_endpoint(conn, CloseReason::Ended);
    drop(world);
    apps[node].closed(conn, CloseReason::TimedOut);
}

/// Removes an endpoint whose connection has ended.
fn end_connection(
    shared_world: &Rc<RefCell<World>>,
    apps: Apps,
    node: usize,
    conn: Conn,
    reason: CloseReason,
) {
    if reason == CloseReason::Ended {
        // Bytes that were sent before the end of the stream are read first.
        while receive_segment(shared_world, apps, node, conn) {}
    }
    let mut world = shared_world.borrow_mut();
    if world.endpoint(conn).is_none() {
        return;
    }
    world.endpoints.remove(conn.index());
    drop(world);
    apps[node].closed(conn, reason);
}

fn receive_datagram(
    shared_world: &Rc<RefCell<World>>,
    apps: Apps,
    to: SocketAddr,
    from: SocketAddr,
    bytes: &[u8],
) {
    let world = shared_world.borrow();
    let mut sockets = world.datagram_sockets.iter();
    let index = sockets.position(|s| s.is_some_and(|s| s.address == to));
    let socket = index.and_then(|index| Some((index, world.datagram_sockets[index]?.node)));
    drop(world);
    if let Some((index, node)) = socket {
        apps[node].datagram_received(DatagramSocket(index), from, bytes);
    }
}

/// Passes one segment of the receive queue to the app. Returns true where the queue holds more.
fn receive_segment(shared_world: &Rc<RefCell<World>>, apps: Apps, node: usize, conn: Conn) -> bool {
    let mut world = shared_world.borrow_mut();
    let max_segment_size = if world.max_segment_size == 0 {
        usize::MAX
    } else {
        world.max_segment_size
    };
    let readable = world
        .endpoint(conn)
        .filter(|e| !e.read_paused && !e.closing && !e.receive_queue.is_empty());
    let Some(endpoint) = readable else {
        return false;
    };
    let len = endpoint.receive_queue.len().min(max_segment_size);
    let segment = endpoint.receive_queue.data()[..len].to_vec();
    endpoint.receive_queue.consume(len);
    endpoint.read_buffer.push(&segment);
    let has_more = !endpoint.receive_queue.is_empty();
    let mut buffer = std::mem::take(&mut endpoint.read_buffer);
    let peer = endpoint.peer;
    drop(world);
    loop {
        let consumed = apps[node].received(conn, buffer.data());
        buffer.consume(consumed);
        // No time passes within a step, so what the app defers is passed again at once.
        let mut world = shared_world.borrow_mut();
        let deferred = world
            .endpoint(conn)
            .is_some_and(|e| std::mem::take(&mut e.deferred) && !e.read_paused && !e.closing);
        if !deferred || buffer.is_empty() {
            break;
        }
    }
    let mut world = shared_world.borrow_mut();
    let mut read_buffer_full = false;
    if let Some(endpoint) = world.endpoint(conn) {
        read_buffer_full = buffer.len() >= endpoint.read_limit;
        endpoint.read_buffer = buffer;
    }
    if has_more {
        let bytes = Vec::new();
        world.schedule(0, Event::Data { conn, bytes });
    }
    if read_buffer_full {
        let reason = CloseReason::Reset;
        world.schedule(0, Event::Closed { conn, reason });
    }
    drop(world);
    if let Some(peer) = peer {
        resume_sending(shared_world, apps, peer);
    }
    has_more
}

/// Called when the receive window of an endpoint's peer has grown: sends buffered bytes, and once all are
/// sent, completes a graceful close or notifies the app that it may write.
fn resume_sending(shared_world: &Rc<RefCell<World>>, apps: Apps, conn: Conn) {
    let mut world = shared_world.borrow_mut();
    world.send_buffered(conn);
    let Some(endpoint) = world.endpoint(conn).filter(|e| e.write_buffer.is_empty()) else {
        return;
    };
    let writable_pending = std::mem::take(&mut endpoint.writable_pending);
    let (closing, node) = (endpoint.closing, endpoint.node);
    if closing {
        world.remove_endpoint(conn, CloseReason::Ended);
    } else if writable_pending && !world.nodes[node].dead {
        drop(world);
        apps[node].writable(conn);
    }
}
