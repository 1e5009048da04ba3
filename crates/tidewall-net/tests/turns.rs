//! Turns of connections on operating-system sockets: what one wake-up reads is bounded, each connection has its
//! turn, and answers to what this process asked are read first.
#![allow(clippy::unwrap_used, missing_docs)]
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use tidewall_net::mio::{self, Mio};
use tidewall_net::{App, CloseReason, Conn, Listener, Net};

/// How long the app takes for the bytes of one turn.
const TURN: Duration = Duration::from_millis(2);

/// Number of clients: their turns take 80 ms together.
const CLIENTS: usize = 40;

/// The app leaves all but this many bytes of a turn for the next one.
const BYTES_PER_TURN: usize = 4;

/// Number of hosts: their turns take longer than a wake-up reads.
const HOSTS: usize = 8;

#[derive(Default)]
struct Record {
    /// The connections in the order of their turns.
    turns: Vec<Conn>,
    /// Number of turns before the end of each wake-up.
    wakeups: Vec<usize>,
    accepted: Vec<Conn>,
    connected: bool,
    closed: Vec<Conn>,
}

struct SlowApp {
    net: Mio,
    record: Record,
}

impl App for SlowApp {
    type Net = Mio;

    fn net(&mut self) -> &mut Mio {
        &mut self.net
    }
    fn accepted(&mut self, _: Listener, conn: Conn, _: SocketAddr) {
        self.record.accepted.push(conn);
    }
    fn connected(&mut self, _: Conn) {
        self.record.connected = true;
    }
    fn received(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        std::thread::sleep(TURN);
        self.record.turns.push(conn);
        if bytes.len() > BYTES_PER_TURN {
            self.net.defer_rest(conn);
        }
        bytes.len().min(BYTES_PER_TURN)
    }
    fn writable(&mut self, _: Conn) {}
    fn closed(&mut self, conn: Conn, _: CloseReason) {
        self.record.closed.push(conn);
    }
    fn wakeup_ended(&mut self) {
        self.record.wakeups.push(self.record.turns.len());
    }
    fn timer_fired(&mut self, _: u64) {}
}

/// An app with [`CLIENTS`] clients, and a connection that it has opened, whose other end is returned.
fn app_with_clients() -> (SlowApp, Vec<TcpStream>, Conn, TcpStream) {
    let (net, record) = (Mio::new().unwrap(), Record::default());
    let mut app = SlowApp { net, record };
    let (_, address) = app.net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let host = TcpListener::bind("127.0.0.1:0").unwrap();
    let opened = app.net.connect(host.local_addr().unwrap(), 10_000);
    let (host_side, _) = host.accept().unwrap();
    let clients: Vec<TcpStream> = (0..CLIENTS)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    while app.record.accepted.len() < CLIENTS || !app.record.connected {
        mio::turn(&mut app).unwrap();
    }
    app.record.wakeups.clear();
    (app, clients, opened, host_side)
}

// Failure: a wake-up reads all clients before it sends anything, and what it sends is late by as long as that
// takes, however many clients there are.
#[test]
fn a_wakeup_reads_for_a_bounded_time_and_clients_that_were_not_reached_are_next() {
    let (mut app, mut clients, _, _host) = app_with_clients();
    for client in &mut clients {
        client.write_all(b"call").unwrap();
    }
    std::thread::sleep(Duration::from_millis(50));
    while app.record.turns.len() < CLIENTS {
        mio::turn(&mut app).unwrap();
    }
    let mut turns = app.record.turns.clone();
    turns.sort_unstable();
    turns.dedup();
    assert_eq!(turns.len(), CLIENTS, "each client has one turn");
    assert!(
        app.record.wakeups[0] < CLIENTS / 2,
        "{:?}",
        app.record.wakeups
    );
}

// Failure: an answer of a host waits behind a round of clients.
#[test]
fn answers_on_opened_connections_are_read_before_clients() {
    let (mut app, mut clients, opened, mut host) = app_with_clients();
    for client in &mut clients {
        client.write_all(b"call").unwrap();
    }
    host.write_all(b"done").unwrap();
    std::thread::sleep(Duration::from_millis(50));
    mio::turn(&mut app).unwrap();
    assert_eq!(app.record.turns.first(), Some(&opened));
}

// Failure: one client's bytes are all handled before another client has its turn; or what was left for a later
// turn stays when nothing more arrives, or is lost at the end of the stream.
#[test]
fn what_the_app_defers_is_passed_again_after_the_other_clients() {
    let (mut app, mut clients, _, _host) = app_with_clients();
    clients[0].write_all(b"callcallcall").unwrap();
    clients[0].shutdown(std::net::Shutdown::Write).unwrap();
    clients[1].write_all(b"call").unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let [first, second] = [app.record.accepted[0], app.record.accepted[1]];
    while app.record.closed.is_empty() {
        mio::turn(&mut app).unwrap();
    }
    assert_eq!(app.record.turns, [first, second, first, first]);
    assert_eq!(app.record.closed, [first]);
}

// Failure: that a client has gone is known only once all that it sent before has been read.
#[test]
fn the_end_of_a_stream_is_known_before_the_bytes_in_front_of_it_are_read() {
    let (mut app, mut clients, _, _host) = app_with_clients();
    let conn = app.record.accepted[0];
    clients[0].write_all(b"callcallcall").unwrap();
    assert!(!app.net.peer_has_closed(conn));
    clients[0].shutdown(std::net::Shutdown::Write).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    while app.record.turns.is_empty() {
        mio::turn(&mut app).unwrap();
    }
    assert!(app.net.peer_has_closed(conn) && app.net.has_known_input(conn));
}

// Failure: hosts that send without pause leave no time for clients.
#[test]
fn clients_have_turns_in_a_wakeup_whose_time_was_used_up_by_opened_connections() {
    let (mut app, mut clients, _, _host) = app_with_clients();
    let host = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut hosts: Vec<TcpStream> = (0..HOSTS)
        .map(|_| {
            app.net.connect(host.local_addr().unwrap(), 10_000);
            host.accept().unwrap().0
        })
        .collect();
    std::thread::sleep(Duration::from_millis(50));
    mio::turn(&mut app).unwrap();
    for host in &mut hosts {
        host.write_all(b"done").unwrap();
    }
    clients[0].write_all(b"call").unwrap();
    std::thread::sleep(Duration::from_millis(50));
    mio::turn(&mut app).unwrap();
    let client = app.record.accepted[0];
    assert_eq!(
        app.record.turns.iter().position(|conn| *conn == client),
        Some(HOSTS)
    );
}
