//! Shutdown of a gateway on the platform: each request that it accepted gets exactly one response, no
//! response is lost to a reset, and the process exits in time. Also: clients that use up the descriptors, and
//! many gateways that start at once.
mod help;

use help::*;
use std::time::Instant;
use test_case::test_case;

/// A shutdown ends well before the kill that may follow 0.7 s after the longest deadline (2 s).
const SHUTDOWN_LIMIT: std::time::Duration = ms(2_700);

fn assert_clean_exit(p: &mut Platform) {
    let (code, took) = p.gateway.wait_for_exit();
    assert_eq!(code, Some(0), "{}", p.gateway.log());
    assert!(took < SHUTDOWN_LIMIT, "{took:?}");
}

/// The worker responds this long after the signal; the client gets the whole response and then the end of the
/// connection.
#[test_case(100, 1; "while requests are accepted")]
#[test_case(1_200, 2; "while draining")]
fn requests_in_flight_are_answered(after: u64, octet: u8) {
    let mut p = platform(octet, 1);
    let mut client = p.client();
    let mut link = p.start_attempt(&mut client, 1, "issue");
    p.gateway.signal(libc::SIGTERM);
    std::thread::sleep(ms(after));
    link.respond("0000000000000001", "ok");
    assert_eq!(
        client.next_response(LONG_TIMEOUT),
        Some((1, "OK".to_string()))
    );
    assert!(client.closes_within(LONG_TIMEOUT));
    assert_clean_exit(&mut p);
}

/// A part of a command arrives before the signal, the rest while the gateway still accepts requests.
#[test]
fn a_command_that_was_sent_in_part_is_executed() {
    let mut p = platform(3, 1);
    let mut client = p.client();
    let text = call(1, "check", 2000);
    client.send(&text[..30]);
    p.gateway.signal(libc::SIGTERM);
    wait_until("the shutdown was requested", || {
        p.gateway.log().contains("shutdown requested")
    });
    client.send(&text[30..]);
    let mut link = accept(&p.workers[0], LONG_TIMEOUT).unwrap();
    assert_eq!(
        link.next_attempt_trace(LONG_TIMEOUT).as_deref(),
        Some("0000000000000001")
    );
    link.respond("0000000000000001", "ok");
    assert_eq!(
        client.next_response(LONG_TIMEOUT),
        Some((1, "OK".to_string()))
    );
    assert_clean_exit(&mut p);
}

/// The gateway finds the signal, and a call on a connection that only the system has accepted, at the same
/// time; further cases send the calls later.
#[test_case(0, 4; "with the signal")]
#[test_case(300, 5; "on a new connection")]
#[test_case(550, 6; "at the last moment that the platform specifies")]
#[test_case(600, 7; "as the gateway stops accepting")]
#[test_case(900, 8; "while draining")]
fn calls_that_arrive_during_shutdown_are_answered(after: u64, octet: u8) {
    let mut p = platform(octet, 1);
    let mut held = p.client();
    let mut link = p.start_attempt(&mut held, 1, "check");
    let mut early = p.client();
    if after > 0 {
        p.gateway.signal(libc::SIGTERM);
        std::thread::sleep(ms(after));
    }
    p.gateway.set_stopped(true);
    // The system accepts the connection while the listener is still open.
    let late = (after < 800).then(|| {
        let mut late = p.client();
        late.send(call(7, "check", 1000));
        late
    });
    early.send(call(8, "check", 1000));
    p.gateway.signal(libc::SIGTERM * i32::from(after == 0));
    if after == 600 {
        // The time at which it stops accepting passes while the process is stopped.
        std::thread::sleep(ms(300));
    }
    p.gateway.set_stopped(false);
    let mut clients = late.into_iter().chain([early]).collect::<Vec<_>>();
    while let Some(trace) = link.next_attempt_trace(ms(300)) {
        link.respond(&trace, "ok");
    }
    for client in &mut clients {
        let (_, word) = client
            .next_response(LONG_TIMEOUT)
            .unwrap_or_else(|| panic!("no answer: {}", p.gateway.log()));
        assert!(word == "OK" || word == "BUSY", "{word}");
        assert_eq!(client.next_response(ms(10)), None);
    }
    link.respond("0000000000000001", "ok");
    assert_eq!(
        held.next_response(LONG_TIMEOUT),
        Some((1, "OK".to_string()))
    );
    assert_clean_exit(&mut p);
}

/// More connections than the gateway accepts in one round are pending when it stops accepting: none is reset
/// with an unread call.
#[test]
fn pending_connections_are_answered_when_accepting_stops() {
    let mut p = platform(14, 1);
    let mut held = p.client();
    let mut link = p.start_attempt(&mut held, 1, "check");
    p.gateway.signal(libc::SIGTERM);
    std::thread::sleep(ms(600));
    p.gateway.set_stopped(true);
    let mut clients: Vec<Connection> = (0..100).map(|_| p.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(call(i as u64 + 100, "check", 1000));
    }
    std::thread::sleep(ms(300));
    p.gateway.set_stopped(false);
    for client in &mut clients {
        let (_, word) = client
            .next_response(LONG_TIMEOUT)
            .unwrap_or_else(|| panic!("no answer: {}", p.gateway.log()));
        assert!(word == "OK" || word == "BUSY", "{word}");
    }
    link.respond("0000000000000001", "ok");
    assert_eq!(
        held.next_response(LONG_TIMEOUT),
        Some((1, "OK".to_string()))
    );
    assert_clean_exit(&mut p);
}

/// A slow client still has to read most of a long response when all else has ended, and goes on sending: the
/// process stays until the client's system has received the response, and no reset discards the rest.
#[test]
fn a_slow_client_gets_its_whole_response() {
    let mut p = platform(9, 1);
    let mut client = p.client();
    client.limit_receive_buffer(32 << 10);
    let mut link = p.start_attempt(&mut client, 1, "check");
    let body = "x".repeat(250_000);
    link.send(format!(
        "0000000000000001 ok res=hit {}\r\n{body}\r\n",
        body.len()
    ));
    p.gateway.signal(libc::SIGTERM);
    wait_until("draining has started", || {
        p.gateway.log().contains("draining started")
    });
    std::thread::sleep(ms(400));
    client.send(command(&["CHECK", "2", ""]));
    std::thread::sleep(ms(50));
    let text = client.read_to_end(|c| c.send(command(&["CHECK", "3", ""])));
    assert!(text.contains(&body), "{} bytes of its answer", text.len());
    let (code, _) = p.gateway.wait_for_exit();
    assert_eq!(code, Some(0));
}

/// After an error response the gateway reads no more of a client; the unread bytes must not turn the close
/// into a reset.
#[test]
fn unread_bytes_do_not_turn_the_close_into_a_reset() {
    let mut p = platform(10, 1);
    let mut client = p.client();
    let mut link = p.start_attempt(&mut client, 1, "check");
    p.gateway.signal(libc::SIGTERM);
    std::thread::sleep(ms(650));
    link.respond("0000000000000001", "ok");
    assert_eq!(
        client.next_response(LONG_TIMEOUT),
        Some((1, "OK".to_string()))
    );
    client.send("GET / HTTP/1.1\r\n");
    wait_until("the error was sent", || {
        p.gateway.log().contains("malformed")
    });
    client.send(vec![b'x'; 100_000]);
    assert_clean_exit(&mut p);
    let text = client.read_to_end(|_| ());
    assert!(text.starts_with("-ERR"), "{text:?}");
    assert!(!client.was_reset(), "the connection ended by a reset");
}

/// Hundreds of idle clients, more than there are descriptors, connect while the notice board is unreachable:
/// open requests go on, the board is polled again while the endpoint list is still valid, workers are
/// reached, and memory stays within its limit.
#[test_case(true; "the board comes back")]
#[test_case(false; "the board stays away")]
fn idle_clients_fill_the_descriptors_while_discovery_is_down(back: bool) {
    let octet = 11 + u8::from(back);
    let mut p = platform_with(octet, 2, SETTINGS, 256);
    let at = p.board.local_addr().unwrap();
    let mut held = p.client();
    let mut link = p.start_attempt(&mut held, 1, "check");
    // The board closes its listener and resets its open connection.
    let poll = accept(&p.board, LONG_TIMEOUT).expect("it polls");
    let (gone, _) = (
        std::mem::replace(&mut p.board, free_listener(octet)),
        poll.reset(),
    );
    drop(gone);
    let mut idle = Vec::new();
    for i in 0..400 {
        let Ok(stream) = std::net::TcpStream::connect_timeout(&p.gateway.at, ms(1_000)) else {
            break;
        };
        let mut side = Connection::new(stream);
        if i % 2 == 0 {
            side.send(command(&["CHECK", "1", ""]));
        }
        idle.push(side);
        if i % 50 == 49 {
            // Paced, so that the gateway's wake-ups keep up, as with real clients.
            std::thread::sleep(ms(60));
        }
    }
    assert!(p.gateway.descriptors() <= 256);
    link.respond("0000000000000001", "ok");
    assert_eq!(
        held.next_response(LONG_TIMEOUT),
        Some((1, "OK".to_string()))
    );
    if back {
        let board = std::net::TcpListener::bind(at).unwrap();
        let mut poll = accept(&board, ms(3_000)).expect("it asks again within seconds");
        assert_eq!(poll.poll(LONG_TIMEOUT), Some(1));
        let extra = [p.workers[1].local_addr().unwrap()];
        poll.send(board_response(
            2,
            &[notice(2, &host_entries(1, &extra, "draining"), false)],
        ));
        assert_eq!(poll.poll(LONG_TIMEOUT), Some(2));
    }
    let mut client = p.client();
    client.send(call(2, "check", 2000));
    assert_eq!(
        link.next_attempt_trace(LONG_TIMEOUT).as_deref(),
        Some("0000000000000002"),
        "{}",
        p.gateway.log()
    );
    link.respond("0000000000000002", "ok");
    assert_eq!(
        client.next_response(LONG_TIMEOUT),
        Some((2, "OK".to_string()))
    );
    assert!(p.gateway.peak() < 32 << 10, "{} kB", p.gateway.peak());
}

/// Twenty gateways start at once with a board that accepts connections and never responds: each is ready
/// within 10 s.
#[test]
fn many_gateways_start_at_once() {
    let board = free_listener(13);
    let worker = free_listener(13);
    let from = Instant::now();
    let gateways: Vec<Gateway> = (0..20)
        .map(|_| {
            let (at, folder) = (free_address(13), tempfile::tempdir().unwrap());
            let known = host_entries(0, &[worker.local_addr().unwrap()], "up");
            let text = config(at, board.local_addr().unwrap(), &known, SETTINGS, 256);
            std::fs::write(folder.path().join("config.json"), text).unwrap();
            platform_process(at, folder, 256)
        })
        .collect();
    for gateway in &gateways {
        let mut client = Connection::connect(gateway.at);
        client.send(command(&["CHECK", "1", ""]));
        assert_eq!(
            client.next_response(LONG_TIMEOUT),
            Some((1, "UP".to_string()))
        );
    }
    assert!(from.elapsed() < ms(10_000), "{:?}", from.elapsed());
}
