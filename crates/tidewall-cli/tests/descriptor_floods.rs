//! Bad clients that hold connections with open calls, on the shipped binary with the fewest descriptors that the
//! platform specifies. Usual clients that connect then are answered, and those that were connected lose nothing.
mod platform_rig;

use platform_rig::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The fewest descriptors that the platform specifies.
const DESCRIPTORS: u64 = 256;

/// Bad clients, nearly as many as descriptors, and calls that each has open.
const BAD_CLIENTS: usize = 240;
const BAD_CALLS: usize = 8;

/// Usual clients that connect meanwhile, one after the other.
const USUAL_CLIENTS: usize = 30;

/// How long [`call`] waits, and how long after that an answer still counts.
const PATIENCE: Duration = Duration::from_millis(1500);
const LATE: Duration = Duration::from_millis(500);

/// Has calls of a function open that no worker knows, and sends each again as soon as it is turned down, until its
/// connection is closed.
fn bad_client(number: usize, gateway: SocketAddr, ended: &AtomicBool, answers: &AtomicUsize) {
    let Ok(mut conn) = TcpStream::connect(gateway) else {
        return;
    };
    let mut replies = BufReader::new(conn.try_clone().unwrap());
    let bad_call = |tag: usize| {
        let id = (number + 1) << 32 | tag;
        call(tag, "check")
            .replace(&format!("trace={tag:016x}"), &format!("trace={id:016x}"))
            .replace(FUNCTION, &format!("bad{number:013x}"))
    };
    let first: String = (1..=BAD_CALLS).map(bad_call).collect();
    let mut sent = conn.write_all(first.as_bytes());
    for tag in BAD_CALLS + 1.. {
        let is_answered = matches!(try_answer(&mut replies), Ok(Some(_)));
        if ended.load(Ordering::Relaxed) || sent.is_err() || !is_answered {
            return;
        }
        answers.fetch_add(1, Ordering::Relaxed);
        sent = conn.write_all(bad_call(tag).as_bytes());
    }
}

/// Sends a call on a connection. Returns false where that ends without an answer.
fn is_answered(conn: &mut BufReader<TcpStream>, tag: usize) -> bool {
    let sent = conn.get_mut().write_all(call(tag, "issue").as_bytes());
    sent.is_ok() && matches!(try_answer(conn), Ok(Some((answered, _))) if answered == tag)
}

/// Limits the descriptors of the process that the command starts.
fn limit_descriptors(command: &mut Command) {
    let limit = libc::rlimit {
        rlim_cur: DESCRIPTORS,
        rlim_max: DESCRIPTORS,
    };
    // SAFETY: setrlimit is async-signal-safe, and the pointer is to a value that the closure owns.
    unsafe {
        command.pre_exec(move || match libc::setrlimit(libc::RLIMIT_NOFILE, &limit) {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        });
    }
}

// Failure: connections with open calls are never closed, so bad clients take every descriptor, and usual clients that
// connect are never accepted.
#[test]
fn usual_clients_are_answered_while_bad_ones_hold_connections_with_open_calls() {
    let hosts: Vec<SocketAddr> = (0..4).map(|_| echo_host()).collect();
    let (listen, folder) = (free(50), tempfile::tempdir().unwrap());
    let file = folder.path().join("config.json");
    // No call is rejected at once, so that the bad clients always have some open.
    let config = config(listen, board(Arc::default()), &hosts)
        .replace("\"most-held\":200", "\"most-held\":20000");
    std::fs::write(&file, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_tidewall"));
    command
        .args(["--log", "error", "platform"])
        .env("ROUTER_CONFIG", &file)
        .stdout(Stdio::null());
    limit_descriptors(&mut command);
    let (_gateway, connected) = started(command, listen);
    let mut connected = BufReader::new(connected);
    let (ended, bad_answers) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let bad_clients: Vec<_> = (0..BAD_CLIENTS)
        .map(|number| {
            let (ended, answers) = (ended.clone(), bad_answers.clone());
            std::thread::spawn(move || bad_client(number, listen, &ended, &answers))
        })
        .collect();
    while bad_answers.load(Ordering::Relaxed) < 10 * BAD_CLIENTS {
        std::thread::sleep(Duration::from_millis(10));
    }
    for number in 1..=USUAL_CLIENTS {
        let sent_at = Instant::now();
        let mut conn = BufReader::new(TcpStream::connect(listen).unwrap());
        conn.get_ref()
            .set_read_timeout(Some(PATIENCE + LATE))
            .unwrap();
        conn.get_mut()
            .write_all(call(1_000 + number, "issue").as_bytes())
            .unwrap();
        assert_eq!(answer(&mut conn).0, 1_000 + number);
        if !is_answered(&mut connected, number) {
            // It was closed between two calls, which the gateway may do; the call is sent once more.
            connected = BufReader::new(TcpStream::connect(listen).unwrap());
            assert!(is_answered(&mut connected, number), "client {number}");
        }
        assert!(sent_at.elapsed() < PATIENCE + LATE, "client {number}");
        std::thread::sleep(Duration::from_millis(20));
    }
    ended.store(true, Ordering::Relaxed);
    drop(bad_clients);
}
