//! Hundreds of clients that send without pause, on the shipped binary. Usual clients are answered in time.
mod platform_rig;

use platform_rig::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Held by the test that runs: each keeps all processors busy.
static BUSY_MACHINE: Mutex<()> = Mutex::new(());

/// Threads of bad clients.
const FLOOD_THREADS: usize = 10;

/// Calls of a bad client in one write.
const CALLS_IN_A_WRITE: usize = 200;

/// What a bad client sends without pause.
#[derive(Clone, Copy)]
enum FastFlood {
    /// Calls of a type that does not exist.
    UnknownTypes,
    /// Calls that are withdrawn at once.
    Withdrawn,
    /// Calls of functions that no worker knows, each of another one.
    NewFunctions,
}

/// Sends at full speed on this many connections, and reads whatever is sent, until `ended`.
fn fast_clients(
    (flood, connections): (FastFlood, usize),
    thread: usize,
    gateway: SocketAddr,
    ended: &AtomicBool,
) {
    let mut conns: Vec<_> = (0..connections).map(|_| connect(gateway)).collect();
    let (mut tag, mut input) = (0, vec![0; 64 << 10]);
    while !ended.load(Ordering::Relaxed) {
        for (conn, unsent) in &mut conns {
            if unsent.is_empty() {
                for _ in 0..CALLS_IN_A_WRITE {
                    tag += 1;
                    unsent.extend(flood_call(flood, thread, tag));
                }
            }
            match conn.write(unsent) {
                Ok(count) => drop(unsent.drain(..count)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                // The gateway resets a client that leaves too many replies unread.
                Err(_) => {
                    (*conn, *unsent) = connect(gateway);
                    continue;
                }
            }
            while matches!(conn.read(&mut input), Ok(1..)) {}
        }
    }
}

/// A non-blocking connection with an empty output buffer.
fn connect(gateway: SocketAddr) -> (TcpStream, Vec<u8>) {
    let conn = TcpStream::connect(gateway).unwrap();
    conn.set_nonblocking(true).unwrap();
    (conn, Vec::new())
}

fn flood_call(flood: FastFlood, thread: usize, tag: usize) -> Vec<u8> {
    let id = (thread + 1) << 40 | tag;
    let call =
        call(tag, "check").replace(&format!("trace={tag:016x}"), &format!("trace={id:016x}"));
    match flood {
        FastFlood::UnknownTypes => call.replace(&word("check"), &word("nosuch")),
        FastFlood::NewFunctions => call.replace(FUNCTION, &format!("bad{id:013x}")),
        FastFlood::Withdrawn => {
            call + &format!("*2\r\n{}{}", word("CANCEL"), word(&tag.to_string()))
        }
    }
    .into_bytes()
}

/// Calls of a usual client, each on a connection of its own, and the pause between two.
const USUAL_CALLS: usize = 20;
const USUAL_INTERVAL: Duration = Duration::from_millis(100);

/// How long [`call`] waits, and how long after that an answer still counts.
const PATIENCE: Duration = Duration::from_millis(1500);
const LATE: Duration = Duration::from_millis(500);

// Failure: while hundreds of clients send without pause, a wake-up reads all of them, and the answers to usual
// clients are late by seconds. One client alone at full speed delays nobody either.
#[test_case(FastFlood::UnknownTypes, 330, 33; "unknown types")]
#[test_case(FastFlood::Withdrawn, 330, 34; "calls withdrawn at once")]
#[test_case(FastFlood::NewFunctions, 330, 35; "new functions")]
#[test_case(FastFlood::UnknownTypes, 1, 43; "unknown types on one connection")]
#[test_case(FastFlood::NewFunctions, 1, 44; "new functions on one connection")]
fn usual_calls_are_answered_in_time_while_clients_send_without_pause(
    flood: FastFlood,
    connections: usize,
    last: u8,
) {
    let _alone = BUSY_MACHINE.lock().unwrap_or_else(PoisonError::into_inner);
    let (gateway, listen, _folder) = gateway_with_hosts(last);
    let ended = Arc::new(AtomicBool::new(false));
    let threads = FLOOD_THREADS.min(connections);
    let threads: Vec<_> = (0..threads)
        .map(|thread| {
            let (ended, each) = (ended.clone(), connections / threads);
            std::thread::spawn(move || fast_clients((flood, each), thread, listen, &ended))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    let usual: Vec<_> = (1..=USUAL_CALLS)
        .map(|tag| {
            std::thread::sleep(USUAL_INTERVAL);
            std::thread::spawn(move || {
                let mut conn = BufReader::new(TcpStream::connect(listen).unwrap());
                let sent_at = Instant::now();
                let call = call(tag, "check");
                conn.get_mut().write_all(call.as_bytes()).unwrap();
                (answer(&mut conn).1, sent_at.elapsed())
            })
        })
        .collect();
    let answers: Vec<(String, Duration)> = usual.into_iter().map(|c| c.join().unwrap()).collect();
    ended.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|t| t.join().unwrap());
    let latest = answers.iter().map(|(_, took)| *took).max().unwrap();
    let served = answers.iter().filter(|(word, _)| word == "OK").count();
    assert!(latest < PATIENCE + LATE, "{latest:?}, {answers:?}");
    assert!(served > 0, "{answers:?}");
    let peak = gateway.peak_memory();
    assert!(peak < MEMORY_LIMIT, "{peak} kB");
}
