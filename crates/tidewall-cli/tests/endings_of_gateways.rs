//! A gateway on the platform that is told to go: each event that it took gets its one answer, no answer is eaten by a reset,
//! and it ends in time. Floods up to its descriptors, and starts of many at once.
mod help;

use help::*;
use std::time::Instant;
use test_case::test_case;

/// A usual stop is over well before the kill that may follow the longest max age (2 s) and 0.7 s.
const IN_TIME: std::time::Duration = ms(2_700);

fn ends_well(p: &mut Platform) {
    let (code, took) = p.gateway.ended();
    assert_eq!(code, Some(0), "{}", p.gateway.log());
    assert!(took < IN_TIME, "{took:?}");
}

/// The launch is out, and its answer comes so long after the signal; the client hears it whole, and then the end.
#[test_case(100, 1; "while it still takes")]
#[test_case(1_200, 2; "while it drains")]
fn events_in_flight_are_answered(after: u64, last: u8) {
    let mut p = platform(last, 1);
    let mut client = p.client();
    let mut link = p.launched(&mut client, 1, "issue");
    p.gateway.signal(libc::SIGTERM);
    std::thread::sleep(ms(after));
    link.says("0000000000000001", "ok");
    assert_eq!(client.answer(LONG), Some((1, "OK".to_string())));
    assert!(client.ends(LONG));
    ends_well(&mut p);
}

/// Half of a command lay there; the rest comes while it still takes.
#[test]
fn half_a_command_is_taken_whole() {
    let mut p = platform(3, 1);
    let mut client = p.client();
    let text = call(1, "check", 2000);
    client.send(&text[..30]);
    p.gateway.signal(libc::SIGTERM);
    until("it was told", || {
        p.gateway.log().contains("shutdown requested")
    });
    client.send(&text[30..]);
    let mut link = accept(&p.workers[0], LONG).unwrap();
    assert_eq!(link.go(LONG).as_deref(), Some("0000000000000001"));
    link.says("0000000000000001", "ok");
    assert_eq!(client.answer(LONG), Some((1, "OK".to_string())));
    ends_well(&mut p);
}

/// What the system had accepted for it, with a call on it, and the signal lie there together; so do calls of later moments.
#[test_case(0, 4; "with the signal")]
#[test_case(300, 5; "on a new connection")]
#[test_case(550, 6; "at the last moment that the page names")]
#[test_case(600, 7; "as it takes no more")]
#[test_case(900, 8; "while it drains")]
fn what_comes_while_it_goes_is_answered(after: u64, last: u8) {
    let mut p = platform(last, 1);
    let mut held = p.client();
    let mut link = p.launched(&mut held, 1, "check");
    let mut early = p.client();
    if after > 0 {
        p.gateway.signal(libc::SIGTERM);
        std::thread::sleep(ms(after));
    }
    p.gateway.still(true);
    // The system accepts it where the listener still stands.
    let late = (after < 800).then(|| {
        let mut late = p.client();
        late.send(call(7, "check", 1000));
        late
    });
    early.send(call(8, "check", 1000));
    p.gateway.signal(libc::SIGTERM * i32::from(after == 0));
    if after == 600 {
        // Its time to take no more comes while it stands still.
        std::thread::sleep(ms(300));
    }
    p.gateway.still(false);
    let mut owed = late.into_iter().chain([early]).collect::<Vec<_>>();
    while let Some(trace) = link.go(ms(300)) {
        link.says(&trace, "ok");
    }
    for client in &mut owed {
        let (_, word) = client
            .answer(LONG)
            .unwrap_or_else(|| panic!("no answer: {}", p.gateway.log()));
        assert!(word == "OK" || word == "BUSY", "{word}");
        assert_eq!(client.answer(ms(10)), None);
    }
    link.says("0000000000000001", "ok");
    assert_eq!(held.answer(LONG), Some((1, "OK".to_string())));
    ends_well(&mut p);
}

/// More than it accepts in one round lie there as it takes no more: none is reset with what it had sent.
#[test]
fn a_crowd_that_had_been_accepted_is_answered() {
    let mut p = platform(14, 1);
    let mut held = p.client();
    let mut link = p.launched(&mut held, 1, "check");
    p.gateway.signal(libc::SIGTERM);
    std::thread::sleep(ms(600));
    p.gateway.still(true);
    let mut crowd: Vec<Side> = (0..100).map(|_| p.client()).collect();
    for (i, client) in crowd.iter_mut().enumerate() {
        client.send(call(i as u64 + 100, "check", 1000));
    }
    std::thread::sleep(ms(300));
    p.gateway.still(false);
    for client in &mut crowd {
        let (_, word) = client
            .answer(LONG)
            .unwrap_or_else(|| panic!("no answer: {}", p.gateway.log()));
        assert!(word == "OK" || word == "BUSY", "{word}");
    }
    link.says("0000000000000001", "ok");
    assert_eq!(held.answer(LONG), Some((1, "OK".to_string())));
    ends_well(&mut p);
}

/// A client that reads slowly has most of a long answer still to come when all else is over, and goes on sending: the process
/// stays until the client's system has taken it, and no reset eats the rest.
#[test]
fn a_slow_reader_gets_its_answer_to_the_end() {
    let mut p = platform(9, 1);
    let mut client = p.client();
    client.narrow(32 << 10);
    let mut link = p.launched(&mut client, 1, "check");
    let body = "x".repeat(250_000);
    link.send(format!(
        "0000000000000001 ok res=hit {}\r\n{body}\r\n",
        body.len()
    ));
    p.gateway.signal(libc::SIGTERM);
    until("it drains", || p.gateway.log().contains("draining started"));
    std::thread::sleep(ms(400));
    client.send(command(&["CHECK", "2", ""]));
    std::thread::sleep(ms(50));
    let text = client.all(|c| c.send(command(&["CHECK", "3", ""])));
    assert!(text.contains(&body), "{} bytes of its answer", text.len());
    let (code, _) = p.gateway.ended();
    assert_eq!(code, Some(0));
}

/// Bytes that it reads no more lie there as it ends (it got its error): they do not turn its end into a reset.
#[test]
fn unread_bytes_do_not_turn_the_end_into_a_reset() {
    let mut p = platform(10, 1);
    let mut client = p.client();
    let mut link = p.launched(&mut client, 1, "check");
    p.gateway.signal(libc::SIGTERM);
    std::thread::sleep(ms(650));
    link.says("0000000000000001", "ok");
    assert_eq!(client.answer(LONG), Some((1, "OK".to_string())));
    client.send("GET / HTTP/1.1\r\n");
    until("it got its error", || p.gateway.log().contains("malformed"));
    client.send(vec![b'x'; 100_000]);
    ends_well(&mut p);
    let text = client.all(|_| ());
    assert!(text.starts_with("-ERR"), "{text:?}");
    assert!(!client.was_reset(), "the connection ended by a reset");
}

/// Idle clients by the hundred, more than there are descriptors, while the board is gone: it comes back into the list's life,
/// workers are reached, what is in hand goes on, and memory stays within its limit.
#[test_case(true; "the board comes back")]
#[test_case(false; "the board stays away")]
fn idle_clients_fill_the_descriptors_while_discovery_is_down(back: bool) {
    let last = 11 + u8::from(back);
    let mut p = platform_with(last, 2, SETTINGS, 256);
    let at = p.board.local_addr().unwrap();
    let mut held = p.client();
    let mut link = p.launched(&mut held, 1, "check");
    // Gone, and what stood is broken off.
    let poll = accept(&p.board, LONG).expect("it polls");
    let (gone, _) = (std::mem::replace(&mut p.board, free(last)), poll.reset());
    drop(gone);
    let mut idle = Vec::new();
    for i in 0..400 {
        let Ok(stream) = std::net::TcpStream::connect_timeout(&p.gateway.at, ms(1_000)) else {
            break;
        };
        let mut side = Side::new(stream);
        if i % 2 == 0 {
            side.send(command(&["CHECK", "1", ""]));
        }
        idle.push(side);
        if i % 50 == 49 {
            // Its wake-ups keep pace, as clients' connections take their time.
            std::thread::sleep(ms(60));
        }
    }
    assert!(p.gateway.descriptors() <= 256);
    link.says("0000000000000001", "ok");
    assert_eq!(held.answer(LONG), Some((1, "OK".to_string())));
    if back {
        let board = std::net::TcpListener::bind(at).unwrap();
        let mut poll = accept(&board, ms(3_000)).expect("it asks again within seconds");
        assert_eq!(poll.poll(LONG), Some(1));
        let extra = [p.workers[1].local_addr().unwrap()];
        poll.send(board_says(
            2,
            &[notice(2, &hosts(1, &extra, "draining"), false)],
        ));
        assert_eq!(poll.poll(LONG), Some(2));
    }
    let mut client = p.client();
    client.send(call(1, "check", 2000));
    assert_eq!(
        link.go(LONG).as_deref(),
        Some("0000000000000001"),
        "{}",
        p.gateway.log()
    );
    link.says("0000000000000001", "ok");
    assert_eq!(client.answer(LONG), Some((1, "OK".to_string())));
    assert!(p.gateway.peak() < 32 << 10, "{} kB", p.gateway.peak());
}

/// Twenty come back from nothing at one moment, with a board that accepts and says nothing: each is ready within 10 s.
#[test]
fn all_restart_at_once() {
    let board = free(13);
    let worker = free(13);
    let from = Instant::now();
    let gateways: Vec<Gateway> = (0..20)
        .map(|_| {
            let (at, folder) = (address(13), tempfile::tempdir().unwrap());
            let known = hosts(0, &[worker.local_addr().unwrap()], "up");
            let text = config(at, board.local_addr().unwrap(), &known, SETTINGS, 256);
            std::fs::write(folder.path().join("config.json"), text).unwrap();
            platform_process(at, folder, 256)
        })
        .collect();
    for gateway in &gateways {
        let mut client = Side::connect(gateway.at);
        client.send(command(&["CHECK", "1", ""]));
        assert_eq!(client.answer(LONG), Some((1, "UP".to_string())));
    }
    assert!(from.elapsed() < ms(10_000), "{:?}", from.elapsed());
}
