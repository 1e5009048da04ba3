//! Hundreds of client connections at once, as many as a third of the descriptors, on the shipped binary with the
//! smallest memory limit.
mod platform_rig;

use platform_rig::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

/// A third of the most descriptors that the platform specifies.
const CONNECTIONS: usize = 340;

/// The largest body.
const LARGEST_BODY: usize = 16 << 10;

/// A call with this body; `id` is its request id.
fn call_with_body(tag: usize, id: usize, body: &str) -> String {
    call(tag, "check")
        .replace(&format!("trace={tag:016x}"), &format!("trace={id:016x}"))
        .replace(&word("body"), &word(body))
}

/// Number of calls that a client sends at once.
const CALLS_AT_ONCE: usize = 4;

/// Connects hundreds of clients one after the other. Each sends some calls of the largest body and reads the
/// answers, and keeps its connection.
fn connect_clients(gateway: SocketAddr) -> Vec<BufReader<TcpStream>> {
    let body = "x".repeat(LARGEST_BODY);
    let client = |number: usize| {
        let mut conn = BufReader::new(TcpStream::connect(gateway).unwrap());
        let calls = (1..=CALLS_AT_ONCE).map(|tag| call_with_body(tag, number << 8 | tag, &body));
        let calls: String = calls.collect();
        conn.get_mut().write_all(calls.as_bytes()).unwrap();
        for _ in 0..CALLS_AT_ONCE {
            assert_eq!(answer(&mut conn).1, "OK", "connection {number}");
        }
        conn
    };
    (0..CONNECTIONS).map(client).collect()
}

// Failure: what each connection keeps of its largest messages takes the gateway past its memory once hundreds of
// connections have had some, and it is killed with open calls.
#[test]
fn large_bodies_on_hundreds_of_connections_stay_within_the_memory() {
    let (gateway, listen, _folder) = gateway_with_hosts(31);
    let _conns = connect_clients(listen);
    let peak = gateway.peak_memory();
    assert!(peak < MEMORY_LIMIT, "{peak} kB");
}

/// Length of the pieces of a call that is written slowly.
const PIECE: usize = 512;

// Failure: calls that hundreds of clients write slowly and do not finish take the gateway past its memory.
#[test]
fn unfinished_calls_on_hundreds_of_connections_stay_within_the_memory() {
    let (gateway, listen, _folder) = gateway_with_hosts(32);
    let mut conns = connect_clients(listen);
    let unfinished = call_with_body(9, 1 << 40, &"x".repeat(LARGEST_BODY));
    let sent = &unfinished.as_bytes()[..unfinished.len() - PIECE];
    for piece in sent.chunks(PIECE) {
        for conn in &mut conns {
            conn.get_mut().write_all(piece).unwrap();
        }
    }
    let mut usual = BufReader::new(TcpStream::connect(listen).unwrap());
    usual
        .get_mut()
        .write_all(call(1, "check").as_bytes())
        .unwrap();
    assert_eq!(answer(&mut usual), (1, "OK".to_string()));
    let peak = gateway.peak_memory();
    assert!(peak < MEMORY_LIMIT, "{peak} kB");
}
