//! The simulated network: latency, loss, duplication and partitions of paths, skewed clocks, moved addresses,
//! restarts.
#![allow(clippy::unwrap_used, missing_docs)]
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use test_case::test_case;
use tidewall_net::memory::{self, Memory, Path, World};
use tidewall_net::{App, CloseReason, Conn, DatagramSocket, Listener, Net, Time};

struct Node {
    net: Memory,
    conn: Option<Conn>,
    received: Vec<(Time, Vec<u8>)>,
    datagrams: Vec<u8>,
    closed: Vec<CloseReason>,
    timers: Vec<Time>,
}

impl App for Node {
    type Net = Memory;
    fn net(&mut self) -> &mut Memory {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, conn: Conn, _: SocketAddr) {
        self.conn = Some(conn);
    }
    fn connected(&mut self, conn: Conn) {
        self.conn = Some(conn);
    }
    fn received(&mut self, _: Conn, bytes: &[u8]) -> usize {
        self.received.push((self.net.now(), bytes.to_vec()));
        bytes.len()
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, _: Conn, reason: CloseReason) {
        self.closed.push(reason);
    }
    fn datagram_received(&mut self, _: DatagramSocket, _: SocketAddr, bytes: &[u8]) {
        self.datagrams.push(bytes[0]);
    }
    fn timer_fired(&mut self, _: u64) {
        self.timers.push(self.net.now());
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Node `a` listens, node `b` is connected to it, and each has a datagram socket.
fn connected_nodes() -> (Rc<RefCell<World>>, Node, Node, [DatagramSocket; 2]) {
    let world = memory::world();
    world.borrow_mut().seed(7);
    let node = || Node {
        net: Memory::join(&world),
        conn: None,
        received: Vec::new(),
        datagrams: Vec::new(),
        closed: Vec::new(),
        timers: Vec::new(),
    };
    let (mut a, mut b) = (node(), node());
    a.net.listen(local(700)).unwrap();
    let sockets = [
        a.net.bind_datagram(local(900)).unwrap().0,
        b.net.bind_datagram(local(901)).unwrap().0,
    ];
    b.net.connect(local(700), 1_000);
    memory::run(&world, &mut [&mut a, &mut b], 100);
    (world, a, b, sockets)
}

fn write(node: &mut Node, bytes: &[u8]) {
    let conn = node.conn.expect("the nodes are connected");
    assert!(node.net.write(conn, bytes));
}

#[test]
fn a_partition_delays_streams_and_drops_datagrams_in_one_direction_only() {
    let (world, mut a, mut b, sockets) = connected_nodes();
    let default_path = Path {
        delay: 2,
        ..Path::default()
    };
    world.borrow_mut().path(
        &b.net,
        &a.net,
        Path {
            cut: true,
            ..default_path
        },
    );
    write(&mut b, b"later");
    b.net.send_datagram(sockets[1], local(900), &[1]);
    write(&mut a, b"now");
    memory::run(&world, &mut [&mut a, &mut b], 500);
    assert_eq!(
        (
            a.received.len(),
            a.datagrams.len(),
            b.received[0].1.as_slice()
        ),
        (0, 0, &b"now"[..])
    );
    world.borrow_mut().path(&b.net, &a.net, default_path);
    write(&mut b, b" still");
    memory::run(&world, &mut [&mut a, &mut b], 600);
    let all: Vec<u8> = a
        .received
        .iter()
        .flat_map(|segment| segment.1.clone())
        .collect();
    assert_eq!(
        (all.as_slice(), a.datagrams.len(), a.closed.len()),
        (&b"later still"[..], 0, 0)
    );
}

#[test]
fn a_stream_keeps_its_order_under_loss_and_takes_at_least_the_latency_of_its_path() {
    let (world, mut a, mut b, _) = connected_nodes();
    let path = Path {
        delay: 50,
        jitter: 200,
        lost: 300,
        ..Path::default()
    };
    world.borrow_mut().path(&b.net, &a.net, path);
    for i in 0..100u8 {
        write(&mut b, &[i]);
        let until = world.borrow().now() + 3;
        memory::run(&world, &mut [&mut a, &mut b], until);
    }
    memory::run(&world, &mut [&mut a, &mut b], 20_000);
    let all: Vec<u8> = a
        .received
        .iter()
        .flat_map(|segment| segment.1.clone())
        .collect();
    assert_eq!(all, (0..100).collect::<Vec<u8>>());
    assert!(a.received.iter().all(|segment| segment.0 >= 150));
}

#[test_case(Path { delay: 2, lost: 400, ..Path::default() }, 100, 160 ; "lost")]
#[test_case(Path { delay: 2, twice: 500, ..Path::default() }, 260, 340 ; "duplicated")]
fn datagrams_are_lost_or_duplicated(path: Path, min: usize, max: usize) {
    let (world, mut a, mut b, sockets) = connected_nodes();
    world.borrow_mut().path(&b.net, &a.net, path);
    (0..200u8).for_each(|i| b.net.send_datagram(sockets[1], local(900), &[i]));
    memory::run(&world, &mut [&mut a, &mut b], 1_000);
    assert!(
        (min..=max).contains(&a.datagrams.len()),
        "{}",
        a.datagrams.len()
    );
}

#[test]
fn datagrams_are_reordered_by_jitter() {
    let (world, mut a, mut b, sockets) = connected_nodes();
    world.borrow_mut().path(
        &b.net,
        &a.net,
        Path {
            delay: 2,
            jitter: 50,
            ..Path::default()
        },
    );
    (0..50u8).for_each(|i| b.net.send_datagram(sockets[1], local(900), &[i]));
    memory::run(&world, &mut [&mut a, &mut b], 1_000);
    assert!(a.datagrams.len() == 50 && !a.datagrams.is_sorted());
}

#[test_case(200, 100_020 ; "fast")]
#[test_case(-200, 99_980 ; "slow")]
fn timers_follow_the_skewed_clock_of_their_node(skew_ppm: i64, expected_now: Time) {
    let (world, mut a, mut b, _) = connected_nodes();
    a.net.clock(skew_ppm);
    a.net.set_timer(50_000, 1);
    memory::run(&world, &mut [&mut a, &mut b], 100_000);
    assert_eq!(a.net.now(), expected_now);
    // The timer does not fire early by the node's own clock.
    assert!((50_000..50_002).contains(&a.timers[0]));
}

#[test]
fn a_moved_address_resets_the_connections_of_its_former_owner() {
    let (world, mut a, mut b, _) = connected_nodes();
    world.borrow_mut().movable_addresses.push(local(700));
    let mut c_net = Memory::join(&world);
    c_net.listen(local(700)).unwrap();
    memory::run(&world, &mut [&mut a, &mut b], 200);
    assert_eq!(
        (a.closed.as_slice(), b.closed.as_slice()),
        (&[CloseReason::Reset][..], &[CloseReason::Reset][..])
    );
    // Other addresses stay in use.
    assert!(c_net.bind_datagram(local(900)).is_err());
}

#[test]
fn a_restarted_node_has_no_state_of_the_killed_one() {
    let (world, mut a, mut b, _) = connected_nodes();
    a.net.set_timer(300, 1);
    a.net.kill();
    memory::run(&world, &mut [&mut a, &mut b], 200);
    assert_eq!(b.closed, [CloseReason::Reset]);
    a.net.restart();
    a.net.listen(local(700)).unwrap();
    a.net.bind_datagram(local(900)).unwrap();
    memory::run(&world, &mut [&mut a, &mut b], 400);
    assert!(a.timers.is_empty());
}
