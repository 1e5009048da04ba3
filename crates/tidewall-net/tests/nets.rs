//! The same small app on both implementations of `Net`: bytes arrive complete and in order, buffers are
//! bounded, and the end of a connection is reported once.
#![allow(clippy::unwrap_used, missing_docs)]
use std::cell::RefCell;
use std::io::Read;
use std::net::SocketAddr;
use std::rc::Rc;
use test_case::test_case;
use tidewall_net::buffer::WRITE_BUFFER_LIMIT;
use tidewall_net::memory::{self, Memory};
use tidewall_net::{mio::Mio, App, CloseReason, Conn, DatagramSocket, Listener, Net};

#[derive(Default)]
struct Events {
    received: Vec<u8>,
    sent: usize,
    write_rejected: bool,
    became_writable: bool,
    closed: Vec<CloseReason>,
    connected: usize,
    accepted: usize,
    datagrams: Vec<Vec<u8>>,
    timers: Vec<u64>,
}

struct Peer<N> {
    net: N,
    events: Rc<RefCell<Events>>,
    echo: bool,
    bytes_to_send: usize,
    stop_after: usize,
    /// The connection that was accepted last.
    conn: Option<Conn>,
}

impl<N: Net> App for Peer<N> {
    type Net = N;
    fn net(&mut self) -> &mut N {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, conn: Conn, _: SocketAddr) {
        self.conn = Some(conn);
        self.events.borrow_mut().accepted += 1;
    }
    fn connected(&mut self, conn: Conn) {
        self.events.borrow_mut().connected += 1;
        let block = [7u8; 4096];
        while self.events.borrow().sent < self.bytes_to_send {
            if !self.net.write(conn, &block) {
                self.events.borrow_mut().write_rejected = true;
                assert!(self.net.unsent(conn) + block.len() > WRITE_BUFFER_LIMIT);
                break;
            }
            self.events.borrow_mut().sent += block.len();
        }
    }
    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        self.events.borrow_mut().received.extend_from_slice(bytes);
        if self.echo {
            self.net.write(conn, bytes);
        }
        if self.stop_after > 0 && self.events.borrow().received.len() >= self.stop_after {
            self.net.stop();
        }
        bytes.len()
    }
    fn writable(&mut self, _: Conn) {
        self.events.borrow_mut().became_writable = true;
    }
    fn closed(&mut self, _: Conn, reason: CloseReason) {
        self.events.borrow_mut().closed.push(reason);
        if self.stop_after > 0 {
            self.net.stop();
        }
    }
    fn datagram_received(&mut self, _: DatagramSocket, _: SocketAddr, bytes: &[u8]) {
        self.events.borrow_mut().datagrams.push(bytes.to_vec());
    }
    fn timer_fired(&mut self, token: u64) {
        self.events.borrow_mut().timers.push(token);
        self.net.stop();
    }
}

fn peer<N: Net>(
    net: N,
    echo: bool,
    bytes_to_send: usize,
    stop_after: usize,
) -> (Peer<N>, Rc<RefCell<Events>>) {
    let events = Rc::new(RefCell::new(Events::default()));
    (
        Peer {
            net,
            events: events.clone(),
            echo,
            bytes_to_send,
            stop_after,
            conn: None,
        },
        events,
    )
}

fn any_local_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

#[test_case(1, 12_288 ; "one byte at a time")]
#[test_case(0, 12_288 ; "in one segment")]
#[test_case(0, 8 << 20 ; "more than the write buffer holds")]
fn in_memory_bytes_arrive_complete_and_the_write_buffer_is_bounded(
    max_segment_size: usize,
    size: usize,
) {
    let world = memory::world();
    world.borrow_mut().max_segment_size = max_segment_size;
    let (mut a, _) = peer(Memory::join(&world), true, 0, 0);
    let (mut b, events) = peer(Memory::join(&world), false, size, 0);
    let (_, address) = a.net.listen(any_local_port()).unwrap();
    b.net.connect(address, 1000);
    memory::run(&world, &mut [&mut a, &mut b], 100_000);
    let events = events.borrow();
    assert_eq!(events.received.len(), events.sent);
    assert_eq!(
        (events.write_rejected, events.became_writable),
        (size > WRITE_BUFFER_LIMIT, size > WRITE_BUFFER_LIMIT)
    );
}

#[test]
fn in_memory_a_killed_node_resets_its_connections_and_then_refuses_new_ones() {
    let world = memory::world();
    let (mut a, _) = peer(Memory::join(&world), true, 0, 0);
    let (mut b, events) = peer(Memory::join(&world), false, 4096, 0);
    let (_, address) = a.net.listen(any_local_port()).unwrap();
    b.net.connect(address, 1000);
    memory::run(&world, &mut [&mut a, &mut b], 100);
    a.net.kill();
    b.net.connect(address, 1000);
    memory::run(&world, &mut [&mut a, &mut b], 2_000);
    assert_eq!(
        events.borrow().closed,
        [CloseReason::Reset, CloseReason::Refused]
    );
}

#[test]
fn in_memory_a_stall_is_measured_and_bytes_arrive_after_it() {
    let world = memory::world();
    let (mut a, events) = peer(Memory::join(&world), false, 0, 0);
    let (mut b, _) = peer(Memory::join(&world), false, 4096, 0);
    let (_, address) = a.net.listen(any_local_port()).unwrap();
    a.net.still(true);
    b.net.connect(address, 50_000);
    memory::run(&world, &mut [&mut a, &mut b], 10_001);
    assert!(events.borrow().received.is_empty());
    a.net.still(false);
    memory::run(&world, &mut [&mut a, &mut b], 11_000);
    assert_eq!(
        (events.borrow().received.len(), a.net.total_stall()),
        (4096, 10_000)
    );
}

#[test]
fn on_sockets_bytes_are_echoed_complete() {
    let (address_sender, address_receiver) = std::sync::mpsc::channel();
    let echo = std::thread::spawn(move || {
        let (mut a, _) = peer(Mio::new().unwrap(), true, 0, usize::MAX);
        address_sender
            .send(a.net.listen(any_local_port()).unwrap().1)
            .unwrap();
        tidewall_net::mio::run(&mut a).unwrap();
    });
    let (mut b, events) = peer(Mio::new().unwrap(), false, 8 << 20, WRITE_BUFFER_LIMIT / 2);
    b.net.connect(address_receiver.recv().unwrap(), 10_000);
    tidewall_net::mio::run(&mut b).unwrap();
    drop(b);
    echo.join().unwrap();
    let events = events.borrow();
    assert!(
        events.received.len() >= WRITE_BUFFER_LIMIT / 2 && events.received.iter().all(|b| *b == 7)
    );
}

/// Runs wake-ups until the app has connected.
fn run_until_connected(app: &mut Peer<Mio>, events: &RefCell<Events>) {
    while events.borrow().connected == 0 {
        tidewall_net::mio::turn(app).unwrap();
    }
}

// The write buffer is bounded where a peer does not read.
#[test]
fn on_sockets_a_write_to_a_peer_that_does_not_read_is_rejected() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut app, events) = peer(Mio::new().unwrap(), false, 256 << 20, 0);
    let conn = app.net.connect(listener.local_addr().unwrap(), 10_000);
    run_until_connected(&mut app, &events);
    assert!(events.borrow().write_rejected);
    assert!((1..=WRITE_BUFFER_LIMIT).contains(&app.net.unsent(conn)));
    assert!(app.net.blocked_since(conn).is_some());
}

// Failure: what was written in one wake-up and not offered to the socket yet counted as refused by the peer.
#[test]
fn on_sockets_more_than_a_write_buffer_is_accepted_in_a_wakeup_for_a_peer_that_reads() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let size = WRITE_BUFFER_LIMIT + WRITE_BUFFER_LIMIT / 4;
    let reader = std::thread::spawn(move || {
        let mut received = vec![0; size];
        listener
            .accept()
            .unwrap()
            .0
            .read_exact(&mut received)
            .unwrap();
        received.iter().all(|b| *b == 7)
    });
    let (mut app, events) = peer(Mio::new().unwrap(), false, size, 0);
    let conn = app.net.connect(address, 10_000);
    run_until_connected(&mut app, &events);
    assert!(!events.borrow().write_rejected);
    while app.net.unsent(conn) > 0 {
        tidewall_net::mio::turn(&mut app).unwrap();
    }
    assert!(reader.join().unwrap());
    assert!(app.net.blocked_since(conn).is_none());
}

#[test]
fn on_sockets_a_closed_listener_refuses_and_datagrams_and_timers_arrive() {
    let (mut a, events) = peer(Mio::new().unwrap(), false, 0, 0);
    let (socket, address) = a.net.bind_datagram(any_local_port()).unwrap();
    a.net.send_datagram(socket, address, b"to myself");
    let (listener, closed_address) = a.net.listen(any_local_port()).unwrap();
    a.net.stop_listening(listener);
    a.net.connect(closed_address, 10_000);
    let now = a.net.now();
    a.net.set_timer(now + 500, 5);
    tidewall_net::mio::run(&mut a).unwrap();
    let events = events.borrow();
    assert_eq!(
        (&events.closed[..], &events.timers[..]),
        (&[CloseReason::Refused][..], &[5][..])
    );
    assert_eq!(events.datagrams, [b"to myself"]);
}

/// Guards against datagrams left unread: a wake-up receives at most 64, and edge-triggered readiness is not
/// reported again until another datagram arrives.
#[test]
fn on_sockets_datagrams_beyond_the_bound_of_a_wakeup_are_received() {
    let (mut peer, events) = peer(Mio::new().unwrap(), false, 0, 0);
    let (_, address) = peer.net.bind_datagram(any_local_port()).unwrap();
    let from = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    (0..200u8).for_each(|i| assert_eq!(from.send_to(&[i], address).unwrap(), 1));
    for _ in 0..20 {
        let soon = peer.net.now() + 50;
        let timer = peer.net.set_timer(soon, 9);
        tidewall_net::mio::turn(&mut peer).unwrap();
        peer.net.cancel_timer(timer);
    }
    assert_eq!(events.borrow().datagrams.len(), 200);
}

/// Guards against a flood of connections that blocks the event loop: those beyond the bound of a wake-up must
/// not be accepted in the same one.
#[test]
fn a_flood_of_connections_does_not_block_the_loop() {
    let (mut peer, events) = peer(Mio::new().unwrap(), false, 0, 0);
    let (_, address) = peer.net.listen(any_local_port()).unwrap();
    let flood: Vec<_> = (0..100)
        .map(|_| std::net::TcpStream::connect(address).unwrap())
        .collect();
    let mut wakeups = 0;
    while events.borrow().accepted < flood.len() {
        let (before, soon) = (events.borrow().accepted, peer.net.now() + 50);
        let timer = peer.net.set_timer(soon, 9);
        tidewall_net::mio::turn(&mut peer).unwrap();
        peer.net.cancel_timer(timer);
        assert!(
            events.borrow().accepted - before <= 65,
            "{} accepted in one wake-up",
            events.borrow().accepted - before
        );
        wakeups += 1;
        assert!(wakeups < 100);
    }
}

/// A connection that is in the backlog, with bytes received, when its listener closes is accepted and read.
#[test]
fn on_sockets_the_backlog_is_accepted_when_its_listener_closes() {
    let (mut server, events) = peer(Mio::new().unwrap(), false, 0, 0);
    let (listener, address) = server.net.listen(any_local_port()).unwrap();
    let mut client = std::net::TcpStream::connect(address).unwrap();
    std::io::Write::write_all(&mut client, b"request").unwrap();
    server.net.stop_listening(listener);
    assert!(
        std::net::TcpStream::connect(address).is_err(),
        "the listener is closed"
    );
    for _ in 0..20 {
        let soon = server.net.now() + 50;
        let timer = server.net.set_timer(soon, 9);
        tidewall_net::mio::turn(&mut server).unwrap();
        server.net.cancel_timer(timer);
    }
    assert_eq!(
        (events.borrow().accepted, &events.borrow().received[..]),
        (1, &b"request"[..])
    );
}

/// Bytes that arrived but have no readiness event yet are found and passed to the app. Bytes that the app has
/// seen do not count as unread.
#[test]
fn on_sockets_unread_bytes_are_found_before_a_close() {
    let (mut server, events) = peer(Mio::new().unwrap(), false, 0, 0);
    let (_, address) = server.net.listen(any_local_port()).unwrap();
    let mut client = std::net::TcpStream::connect(address).unwrap();
    while events.borrow().accepted == 0 {
        tidewall_net::mio::turn(&mut server).unwrap();
    }
    let conn = server.conn.expect("a connection was accepted");
    assert!(!server.net.has_unread(conn));
    std::io::Write::write_all(&mut client, b"request").unwrap();
    // Delivery over the loopback interface is not immediate.
    std::thread::sleep(std::time::Duration::from_millis(50));
    assert!(server.net.has_unread(conn) && server.net.has_unread(conn));
    while events.borrow().received.is_empty() {
        tidewall_net::mio::turn(&mut server).unwrap();
    }
    assert_eq!(events.borrow().received, b"request");
    assert!(!server.net.has_unread(conn));
}
