//! Hundreds of client connections at once, as many as a third of the descriptors, on the shipped binary with the
//! smallest memory limit.
mod platform_rig;

use platform_rig::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

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

/// Starts a host on which no load of a function ever ends.
fn loading_host() -> SocketAddr {
    listen(|conn| {
        let mut out = conn.try_clone().ok()?;
        for line in BufReader::new(conn).lines() {
            let line = line.ok()?;
            let words: Vec<&str> = line.split_whitespace().collect();
            if words[0] == "stage" && words[2].ends_with("copies=0") {
                write!(out, "{} ok copies=0 0\r\n\r\n", words[1]).ok()?;
            }
        }
        None
    })
}

/// Connections with held calls, and calls on each: more bodies than the memory has room for.
const HOLDING_CONNECTIONS: usize = 90;
const HELD_CALLS: usize = 30;

/// Connections that send calls of ever new functions, withdrawn at once, and calls on each.
const NAMING_CONNECTIONS: usize = 8;
const NAMING_CALLS: usize = 20_000;

// Failure: each kind of memory keeps to its own bound, and all of them together are more than there is: bodies of
// calls that wait, unfinished calls, and functions that no worker knows.
#[test]
fn bodies_unfinished_calls_and_unknown_functions_together_stay_within_the_memory() {
    let (listen, folder) = (free(45), tempfile::tempdir().unwrap());
    let file = folder.path().join("config.json");
    let config = config(listen, board(Arc::default()), &[loading_host()])
        .replace("\"most-held\":200", "\"most-held\":4000")
        .replace("\"sockets\":256", "\"sockets\":1024");
    std::fs::write(&file, config).unwrap();
    let (gateway, _conn) = start(&file, listen);
    let body = "x".repeat(LARGEST_BODY);
    let connect = |_| TcpStream::connect(listen).unwrap();
    let mut unfinished: Vec<TcpStream> =
        (0..CONNECTIONS - HOLDING_CONNECTIONS - NAMING_CONNECTIONS)
            .map(connect)
            .collect();
    let call_part = call_with_body(1, 1 << 40, &body);
    for piece in call_part.as_bytes()[..call_part.len() - PIECE].chunks(PIECE) {
        for conn in &mut unfinished {
            conn.write_all(piece).unwrap();
        }
    }
    let naming: Vec<_> = (0..NAMING_CONNECTIONS)
        .map(|number| {
            std::thread::spawn(move || {
                let mut conn = TcpStream::connect(listen).unwrap();
                for tag in 1..=NAMING_CALLS {
                    let id = (number + 1) << 48 | tag;
                    let call =
                        call_with_body(tag, id, "").replace(FUNCTION, &format!("bad{id:013x}"));
                    let cancel = format!("*2\r\n{}{}", word("CANCEL"), word(&tag.to_string()));
                    conn.write_all((call + &cancel).as_bytes()).unwrap();
                }
            })
        })
        .collect();
    let mut holding: Vec<TcpStream> = (0..HOLDING_CONNECTIONS).map(connect).collect();
    for (number, conn) in holding.iter_mut().enumerate() {
        let calls = (1..=HELD_CALLS).map(|tag| call_with_body(tag, number << 8 | tag, &body));
        conn.write_all(calls.collect::<String>().as_bytes())
            .unwrap();
    }
    naming.into_iter().for_each(|client| client.join().unwrap());
    for conn in holding {
        let mut replies = BufReader::new(conn);
        for _ in 0..HELD_CALLS {
            answer(&mut replies);
        }
    }
    let peak = gateway.peak_memory();
    assert!(peak < MEMORY_LIMIT, "{peak} kB");
}
