//! Clients that close their connection with much unread, on the shipped binary: what they sent is not executed,
//! and a request that comes again on another connection is executed once.
mod platform_rig;

use platform_rig::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use test_case::test_case;

/// Longer than an attempt may follow the end of its client's connection (0.1 s).
const PAUSE: Duration = Duration::from_millis(300);

/// How many attempts a host got of each request id.
type Attempts = Arc<Mutex<HashMap<String, usize>>>;

/// Starts a host that counts the attempts of each request.
fn counting_host(attempts: Attempts) -> SocketAddr {
    listen(move |conn| {
        let mut out = conn.try_clone().ok()?;
        let mut lines = BufReader::new(conn);
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            match words[0] {
                "go" => {
                    *attempts
                        .lock()
                        .unwrap()
                        .entry(words[1].to_string())
                        .or_default() += 1;
                    let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                    lines.read_exact(&mut body).ok()?;
                    write!(out, "{} ok res=hit 0\r\n\r\n", words[1]).ok()?;
                }
                "stage" => write!(out, "{} ok copies=1 0\r\n\r\n", words[1]).ok()?,
                "stat" => write!(out, "{} yes gauges=q:0;rif:0 0\r\n\r\n", words[1]).ok()?,
                _ => {}
            }
        }
    })
}

/// How a client ends its connection.
#[derive(Clone, Copy)]
enum Departure {
    Close,
    /// It shuts down its sending side alone.
    HalfClose,
    /// It closes with replies unread, which resets the connection.
    Reset,
}

/// Writes calls and then withdrawals of calls that were never made, as much as the sockets take. The gateway
/// does not read meanwhile. Returns the number of bytes.
fn fill(conn: &mut TcpStream, calls: &str) -> usize {
    conn.set_nonblocking(true).unwrap();
    let withdrawal = format!("*2\r\n{}{}", word("CANCEL"), word("999999"));
    let mut bytes = calls.as_bytes().to_vec();
    bytes.extend(withdrawal.repeat(8 << 20 >> 5).as_bytes());
    let mut written = 0;
    loop {
        match conn.write(&bytes[written..]) {
            Ok(count) => written += count,
            Err(error) => {
                assert_eq!(error.kind(), ErrorKind::WouldBlock);
                return written;
            }
        }
    }
}

// Failure: calls of a client that has gone are sent on, because the end of its stream stands behind more input than
// is read before sending; and a call that came again after its client had gone is executed twice.
#[test_case(Departure::Close, 36; "closed")]
#[test_case(Departure::HalfClose, 37; "sending side closed")]
#[test_case(Departure::Reset, 38; "reset")]
fn what_a_client_sent_that_has_gone_is_not_executed(departure: Departure, last: u8) {
    let attempts = Attempts::default();
    let hosts = [counting_host(attempts.clone())];
    let (listen, folder) = (free(last), tempfile::tempdir().unwrap());
    let file = folder.path().join("config.json");
    std::fs::write(&file, config(listen, board(Arc::default()), &hosts)).unwrap();
    let (gateway, mut warm) = start(&file, listen);
    // The function is loaded and the host connected.
    warm.write_all(call(1, "issue").as_bytes()).unwrap();
    let mut warm = BufReader::new(warm);
    assert_eq!(answer(&mut warm), (1, "OK".to_string()));
    let mut conn = TcpStream::connect(listen).unwrap();
    conn.write_all(call(2, "issue").as_bytes()).unwrap();
    let mut replies = BufReader::new(conn.try_clone().unwrap());
    assert_eq!(answer(&mut replies), (2, "OK".to_string()));
    if matches!(departure, Departure::Reset) {
        // Its reply stays unread.
        conn.write_all(call(3, "issue").as_bytes()).unwrap();
        std::thread::sleep(PAUSE);
    }

    gateway.pause();
    let calls: String = (10..30).map(|tag| call(tag, "issue")).collect();
    let written = fill(&mut conn, &calls);
    assert!(written > 100 << 10, "{written}");
    if matches!(departure, Departure::HalfClose) {
        conn.shutdown(Shutdown::Write).unwrap();
    } else {
        drop((conn, replies));
    }
    std::thread::sleep(PAUSE);
    gateway.signal(libc::SIGCONT);

    // One of the calls comes again.
    warm.get_mut()
        .write_all(call(20, "issue").as_bytes())
        .unwrap();
    let (tag, word) = answer(&mut warm);
    std::thread::sleep(PAUSE);
    let attempts = attempts.lock().unwrap();
    let of = |tag: usize| attempts.get(&format!("{tag:016x}")).copied().unwrap_or(0);
    for departed in (10..30).filter(|tag| *tag != 20) {
        assert_eq!(of(departed), 0, "{departed}: {attempts:?}");
    }
    assert_eq!(
        (tag, of(20)),
        (20, usize::from(word == "OK")),
        "{word}: {attempts:?}"
    );
}
