//! Paths between nodes in memory: slow, lossy and cut ones, clocks of their own rate, addresses that move, restarts.
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use test_case::test_case;
use tidewall_net::memory::{self, Memory, Path, World};
use tidewall_net::{App, CloseReason, Conn, DatagramSocket, Listener, Net, Time};

struct Node {
    net: Memory,
    conn: Option<Conn>,
    got: Vec<(Time, Vec<u8>)>,
    datagrams: Vec<u8>,
    over: Vec<CloseReason>,
    due: Vec<Time>,
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
        self.got.push((self.net.now(), bytes.to_vec()));
        bytes.len()
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, _: Conn, why: CloseReason) {
        self.over.push(why);
    }
    fn datagram_received(&mut self, _: DatagramSocket, _: SocketAddr, bytes: &[u8]) {
        self.datagrams.push(bytes[0]);
    }
    fn timer_fired(&mut self, _: u64) {
        self.due.push(self.net.now());
    }
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Node a listens, node b is connected to it, and both have a datagram port.
fn two() -> (Rc<RefCell<World>>, Node, Node, [DatagramSocket; 2]) {
    let world = memory::world();
    world.borrow_mut().seed(7);
    let node = || Node {
        net: Memory::join(&world),
        conn: None,
        got: Vec::new(),
        datagrams: Vec::new(),
        over: Vec::new(),
        due: Vec::new(),
    };
    let (mut a, mut b) = (node(), node());
    a.net.listen(at(700)).unwrap();
    let ports = [
        a.net.bind_datagram(at(900)).unwrap().0,
        b.net.bind_datagram(at(901)).unwrap().0,
    ];
    b.net.connect(at(700), 1_000);
    memory::run(&world, &mut [&mut a, &mut b], 100);
    (world, a, b, ports)
}

fn say(node: &mut Node, bytes: &[u8]) {
    let conn = node.conn.expect("it is connected");
    assert!(node.net.write(conn, bytes));
}

#[test]
fn a_cut_holds_a_stream_back_and_loses_datagrams_one_way_only() {
    let (world, mut a, mut b, ports) = two();
    let usual = Path {
        delay: 2,
        ..Path::default()
    };
    world
        .borrow_mut()
        .path(&b.net, &a.net, Path { cut: true, ..usual });
    say(&mut b, b"later");
    b.net.send_datagram(ports[1], at(900), &[1]);
    say(&mut a, b"now");
    memory::run(&world, &mut [&mut a, &mut b], 500);
    assert_eq!(
        (a.got.len(), a.datagrams.len(), b.got[0].1.as_slice()),
        (0, 0, &b"now"[..])
    );
    world.borrow_mut().path(&b.net, &a.net, usual);
    say(&mut b, b" still");
    memory::run(&world, &mut [&mut a, &mut b], 600);
    let all: Vec<u8> = a.got.iter().flat_map(|g| g.1.clone()).collect();
    assert_eq!(
        (all.as_slice(), a.datagrams.len(), a.over.len()),
        (&b"later still"[..], 0, 0)
    );
}

#[test]
fn a_stream_keeps_its_order_whatever_is_lost_and_bytes_come_no_sooner_than_their_path_takes() {
    let (world, mut a, mut b, _) = two();
    let path = Path {
        delay: 50,
        jitter: 200,
        lost: 300,
        ..Path::default()
    };
    world.borrow_mut().path(&b.net, &a.net, path);
    for i in 0..100u8 {
        say(&mut b, &[i]);
        let until = world.borrow().now() + 3;
        memory::run(&world, &mut [&mut a, &mut b], until);
    }
    memory::run(&world, &mut [&mut a, &mut b], 20_000);
    let all: Vec<u8> = a.got.iter().flat_map(|g| g.1.clone()).collect();
    assert_eq!(all, (0..100).collect::<Vec<u8>>());
    assert!(a.got.iter().all(|g| g.0 >= 150));
}

#[test_case(Path { delay: 2, lost: 400, ..Path::default() }, 100, 160 ; "lost")]
#[test_case(Path { delay: 2, twice: 500, ..Path::default() }, 260, 340 ; "twice")]
fn datagrams_are_lost_or_come_twice(path: Path, least: usize, most: usize) {
    let (world, mut a, mut b, ports) = two();
    world.borrow_mut().path(&b.net, &a.net, path);
    (0..200u8).for_each(|i| b.net.send_datagram(ports[1], at(900), &[i]));
    memory::run(&world, &mut [&mut a, &mut b], 1_000);
    assert!(
        (least..=most).contains(&a.datagrams.len()),
        "{}",
        a.datagrams.len()
    );
}

#[test]
fn datagrams_overtake_each_other() {
    let (world, mut a, mut b, ports) = two();
    world.borrow_mut().path(
        &b.net,
        &a.net,
        Path {
            delay: 2,
            jitter: 50,
            ..Path::default()
        },
    );
    (0..50u8).for_each(|i| b.net.send_datagram(ports[1], at(900), &[i]));
    memory::run(&world, &mut [&mut a, &mut b], 1_000);
    assert!(a.datagrams.len() == 50 && !a.datagrams.is_sorted());
}

#[test_case(200, 100_020 ; "fast")]
#[test_case(-200, 99_980 ; "slow")]
fn a_clock_of_its_own_rate(ppm: i64, told: Time) {
    let (world, mut a, mut b, _) = two();
    a.net.clock(ppm);
    a.net.set_timer(50_000, 1);
    memory::run(&world, &mut [&mut a, &mut b], 100_000);
    assert_eq!(a.net.now(), told);
    // Never before its time, by its own clock.
    assert!((50_000..50_002).contains(&a.due[0]));
}

#[test]
fn an_address_that_moves_resets_its_clients_and_its_former_owner() {
    let (world, mut a, mut b, _) = two();
    world.borrow_mut().moves.push(at(700));
    let mut c_net = Memory::join(&world);
    c_net.listen(at(700)).unwrap();
    memory::run(&world, &mut [&mut a, &mut b], 200);
    assert_eq!(
        (a.over.as_slice(), b.over.as_slice()),
        (&[CloseReason::Reset][..], &[CloseReason::Reset][..])
    );
    // Others do not move.
    assert!(c_net.bind_datagram(at(900)).is_err());
}

#[test]
fn a_dead_node_starts_again_with_nothing() {
    let (world, mut a, mut b, _) = two();
    a.net.set_timer(300, 1);
    a.net.kill();
    memory::run(&world, &mut [&mut a, &mut b], 200);
    assert_eq!(b.over, [CloseReason::Reset]);
    a.net.restart();
    a.net.listen(at(700)).unwrap();
    a.net.bind_datagram(at(900)).unwrap();
    memory::run(&world, &mut [&mut a, &mut b], 400);
    assert!(a.due.is_empty());
}
