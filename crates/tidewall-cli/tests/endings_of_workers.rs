//! Workers and endpoint lists that fail, on the platform: an attempt that cannot have been executed is
//! retried, one that may have been executed is retried by its class, and nothing is sent to a worker after
//! the list reported that it drains or is removed. The tests force the order of events.
mod help;

use help::*;
use std::time::Duration;
use test_case::{test_case, test_matrix};

/// How the connection of an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionEnd {
    Fin,
    Reset,
}

fn end(link: Connection, how: ConnectionEnd) {
    match how {
        ConnectionEnd::Fin => drop(link),
        ConnectionEnd::Reset => link.reset(),
    }
}

/// Answers the attempts on all connections of the workers until the client has its response; returns its word
/// and the number of attempts.
fn serve(p: &Platform, client: &mut Connection, links: &mut Vec<Connection>) -> (String, usize) {
    let mut attempts = 0;
    for _ in 0..400 {
        links.extend(p.workers.iter().filter_map(|w| accept(w, ms(1))));
        for link in links.iter_mut() {
            if let Some(trace) = link.next_attempt_trace(ms(1)) {
                attempts += 1;
                link.respond(&trace, "ok");
            }
        }
        if let Some((_, word)) = client.next_response(ms(5)) {
            return (word, attempts);
        }
    }
    panic!("no answer: {}", p.gateway.log());
}

/// The worker closes an idle connection before the first byte of an attempt is sent on it: the attempt was
/// not executed and is retried. The gateway is stopped meanwhile, so that the end has arrived when it
/// continues.
#[test_case("check", ConnectionEnd::Fin, 60)]
#[test_case("record", ConnectionEnd::Reset, 61)]
#[test_case("issue", ConnectionEnd::Reset, 62)]
#[test_case("issue", ConnectionEnd::Fin, 63)]
fn an_end_before_the_first_byte(class: &str, how: ConnectionEnd, octet: u8) {
    let p = platform(octet, 2);
    let mut client = p.client();
    // An idle connection, which the next attempt would use.
    let mut link = p.start_attempt(&mut client, 1, "check");
    link.respond("0000000000000001", "ok");
    assert_eq!(
        client.next_response(LONG_TIMEOUT),
        Some((1, "OK".to_string()))
    );
    p.gateway.set_stopped(true);
    // A long deadline: a call that stayed unread for a quarter of its time would be refused.
    client.send(call(2, class, 20_000));
    end(link, how);
    // On a busy machine the end arrives some milliseconds later, and `/proc/net/tcp` may lack rows while
    // others change.
    let mut absences = 0;
    wait_until("the end has arrived", || {
        let open = p.workers.iter().map(open_connections).sum::<usize>();
        absences = if open == 0 { absences + 1 } else { 0 };
        absences == 5
    });
    p.gateway.set_stopped(false);
    let (word, attempts) = serve(&p, &mut client, &mut Vec::new());
    assert_eq!((word.as_str(), attempts), ("OK", 1), "{}", p.gateway.log());
}

/// After the last byte the attempt may have been executed: redeliverable and keyed requests are retried,
/// at-most-once ones fail.
#[test_case("check", ConnectionEnd::Fin, true, 64)]
#[test_case("check", ConnectionEnd::Reset, true, 65)]
#[test_case("record", ConnectionEnd::Reset, true, 66)]
#[test_case("issue", ConnectionEnd::Fin, false, 67)]
#[test_case("issue", ConnectionEnd::Reset, false, 68)]
fn an_end_after_the_last_byte(class: &str, how: ConnectionEnd, again: bool, octet: u8) {
    let p = platform(octet, 2);
    let mut client = p.client();
    let link = p.start_attempt(&mut client, 1, class);
    end(link, how);
    let (word, attempts) = serve(&p, &mut client, &mut Vec::new());
    assert_eq!(
        (word.as_str(), attempts),
        if again { ("OK", 1) } else { ("FAILED", 0) }
    );
}

/// The connection ends within a response, or after a malformed one.
#[test_matrix(["check", "record", "issue"], ["ok res=hit 10\r\nhal", "ok res=hit 2\r\nyes\r\n", "ok res=hi"])]
fn a_truncated_or_malformed_response(class: &str, says: &str) {
    let octet = 70
        + says.len() as u8
        + ["check", "record", "issue"]
            .iter()
            .position(|t| *t == class)
            .unwrap() as u8;
    let p = platform(octet, 2);
    let mut client = p.client();
    let mut link = p.start_attempt(&mut client, 1, class);
    link.send(format!("0000000000000001 {says}"));
    link.reset();
    let (word, attempts) = serve(&p, &mut client, &mut Vec::new());
    assert_eq!(
        (word.as_str(), attempts),
        if class == "issue" {
            ("FAILED", 0)
        } else {
            ("OK", 1)
        }
    );
    assert_eq!(client.next_response(ms(50)), None);
}

/// A response that is repeated some milliseconds later, and the response to an abandoned attempt, are
/// dropped, and the connection stays open.
#[test_case("check")]
#[test_case("issue")]
fn a_repeated_or_late_response_is_dropped(class: &str) {
    let p = platform(if class == "check" { 95 } else { 96 }, 1);
    let mut client = p.client();
    let mut link = p.start_attempt(&mut client, 1, class);
    for tag in 1..5u64 {
        let trace = format!("{tag:016x}");
        link.respond(&trace, "ok");
        assert_eq!(
            client.next_response(LONG_TIMEOUT),
            Some((tag, "OK".to_string()))
        );
        std::thread::sleep(ms(4));
        link.respond(&trace, "ok");
        link.respond("00000000000000aa", "ok");
        client.send(call(tag + 1, class, 2000));
        assert_eq!(
            link.next_attempt_trace(LONG_TIMEOUT),
            Some(format!("{:016x}", tag + 1))
        );
    }
    client.send(cancel(5));
    assert!(link.receives_halt("0000000000000005", LONG_TIMEOUT));
    link.respond("0000000000000005", "ok");
    client.send(call(6, class, 2000));
    assert_eq!(
        link.next_attempt_trace(LONG_TIMEOUT),
        Some("0000000000000006".to_string())
    );
    link.respond("0000000000000006", "ok");
    assert_eq!(
        client.next_response(LONG_TIMEOUT),
        Some((6, "OK".to_string()))
    );
}

/// The key window of "record" is 600 ms from its first attempt, and an attempt may be sent up to 250 ms after
/// the decision: a reset after 400 ms comes too late for another attempt, one after 50 ms does not. A miss
/// proves that nothing was executed, whenever it comes. (With two workers, one more attempt would be sent
/// beside a late one.)
#[test_case(50, "reset", true, 100)]
#[test_case(400, "reset", false, 101)]
#[test_case(700, "reset", false, 102)]
#[test_case(700, "nothing", true, 103)]
fn retries_end_with_the_key_window(after: u64, how: &str, again: bool, octet: u8) {
    let p = platform(octet, if how == "reset" { 1 } else { 2 });
    let mut client = p.client();
    let mut link = p.start_attempt(&mut client, 1, "record");
    std::thread::sleep(ms(after));
    let mut links = Vec::new();
    match how {
        "reset" => link.reset(),
        word => {
            link.send(format!("0000000000000001 {word} - 0\r\n\r\n"));
            links.push(link);
        }
    }
    let (word, attempts) = serve(&p, &mut client, &mut links);
    assert_eq!(
        (word.as_str(), attempts),
        if again { ("OK", 1) } else { ("FAILED", 0) }
    );
}

/// A connection that is established a second late carries the attempt that still waits for it, once. If it is
/// not established within the connect timeout, the request goes to the other worker, and nothing is written
/// when the connection is established after all.
#[test_matrix(["check", "record", "issue"], [1_900.0, 250.0])]
fn a_connection_that_is_established_late(class: &str, connect_timeout_ms: f64) {
    let octet = 110
        + 2 * ["check", "record", "issue"]
            .iter()
            .position(|t| *t == class)
            .unwrap() as u8;
    let settings = SETTINGS.replace(
        "\"connect-timeout-ms\":250.0",
        &format!("\"connect-timeout-ms\":{connect_timeout_ms}"),
    );
    let p = platform_with(
        octet + u8::from(connect_timeout_ms < 300.0),
        2,
        &settings,
        256,
    );
    let fillers = p.workers.iter().map(fill_backlog).collect::<Vec<_>>();
    let mut client = p.client();
    client.send(call(1, class, 4000));
    wait_until("the attempt is started", || {
        p.gateway.log().contains(" attempt started ")
    });
    drop(fillers);
    let (mut attempts, mut links) = (0, Vec::new());
    let until = std::time::Instant::now() + ms(2_500);
    while std::time::Instant::now() < until {
        links.extend(p.workers.iter().filter_map(|w| accept(w, ms(1))));
        for link in &mut links {
            if let Some(trace) = link.next_attempt_trace(ms(1)) {
                attempts += 1;
                link.respond(&trace, "ok");
            }
        }
    }
    assert_eq!(
        client.next_response(LONG_TIMEOUT),
        Some((1, "OK".to_string())),
        "{}",
        p.gateway.log()
    );
    // A redeliverable request may have two attempts here, once the first one is overdue.
    assert!(
        attempts == 1 || class != "issue" && attempts == 2,
        "{attempts}"
    );
}

/// What the notice board does just before it reports that a worker drains: in each case nothing more is sent
/// to the worker.
#[derive(Clone, Copy, Debug, PartialEq)]
enum BoardBehavior {
    Stands,
    Silent,
    Cut,
    Moves,
    Repeats,
    Skips,
}

const POLL_RETRY_TIMEOUT: Duration = ms(2_500);

#[test_case(BoardBehavior::Stands, 120)]
#[test_case(BoardBehavior::Silent, 121)]
#[test_case(BoardBehavior::Cut, 122)]
#[test_case(BoardBehavior::Moves, 123)]
#[test_case(BoardBehavior::Repeats, 124)]
#[test_case(BoardBehavior::Skips, 125)]
fn a_drain_is_honoured_whatever_the_board_does(behavior: BoardBehavior, octet: u8) {
    let p = platform(octet, 2);
    let at: Vec<_> = p.workers.iter().map(|w| w.local_addr().unwrap()).collect();
    let mut poll = accept(&p.board, LONG_TIMEOUT).unwrap();
    assert_eq!(poll.poll(LONG_TIMEOUT), Some(1));
    let drain = |rev| notice(rev, &host_entries(0, &at[..1], "draining"), false);
    let drain_response = board_response(2, &[drain(2)]);
    let mut other = None;
    let mut next = match behavior {
        BoardBehavior::Stands => {
            poll.send(&drain_response);
            poll
        }
        BoardBehavior::Silent => {
            let mut next =
                accept(&p.board, POLL_RETRY_TIMEOUT).expect("it asks on a fresh connection");
            assert_eq!(next.poll(LONG_TIMEOUT), Some(1));
            next.send(&drain_response);
            // A late response on the old connection is ignored.
            poll.send(board_response(
                2,
                &[notice(2, &host_entries(0, &at, "removed"), true)],
            ));
            next
        }
        BoardBehavior::Cut => {
            poll.send(&drain_response[..drain_response.len() - 9]);
            poll.reset();
            let mut next = accept(&p.board, POLL_RETRY_TIMEOUT).expect("it asks again");
            assert_eq!(
                next.poll(LONG_TIMEOUT),
                Some(1),
                "nothing of what was cut is taken"
            );
            next.send(&drain_response);
            next
        }
        BoardBehavior::Moves => {
            let board = free_listener(octet);
            p.move_board(&board);
            let mut next = accept(&board, LONG_TIMEOUT).expect("it asks there");
            assert_eq!(next.poll(LONG_TIMEOUT), Some(1));
            poll.send(board_response(
                2,
                &[notice(2, &host_entries(0, &at, "removed"), true)],
            ));
            next.send(&drain_response);
            other = Some(board);
            next
        }
        BoardBehavior::Repeats => {
            poll.send(board_response(
                1,
                &[notice(1, &host_entries(0, &at, "up"), true)],
            ));
            assert_eq!(poll.poll(LONG_TIMEOUT), Some(1));
            poll.send(&drain_response);
            assert_eq!(poll.poll(LONG_TIMEOUT), Some(2));
            poll.send(&drain_response);
            poll
        }
        BoardBehavior::Skips => {
            poll.send(board_response(
                4,
                &[notice(4, &host_entries(1, &at[1..], "up"), false)],
            ));
            assert_eq!(
                poll.poll(LONG_TIMEOUT),
                Some(0),
                "what lies between is asked for"
            );
            let whole = notice(1, &host_entries(0, &at, "up"), true);
            poll.send(board_response(2, &[whole, drain(2)]));
            poll
        }
    };
    assert_eq!(next.poll(LONG_TIMEOUT), Some(2));
    let mut client = p.client();
    for tag in 1..20 {
        client.send(call(tag, "check", 2000));
    }
    assert!(
        accept(&p.workers[0], ms(200)).is_none(),
        "it was told to drain"
    );
    let mut link = accept(&p.workers[1], LONG_TIMEOUT).expect("the other one serves");
    for _ in 1..20 {
        if let Some(trace) = link.next_attempt_trace(ms(300)) {
            link.respond(&trace, "ok");
        }
    }
    assert!(client.next_response(LONG_TIMEOUT).is_some());
    assert!(accept(&p.workers[0], ms(50)).is_none());
    drop(other);
}

/// A new worker replaces an old one at the same address: attempts for the new worker use a new connection,
/// and those of the old one are not attributed to it.
#[test]
fn a_new_worker_at_an_old_address() {
    let p = platform(126, 1);
    let at = [p.workers[0].local_addr().unwrap()];
    let mut poll = accept(&p.board, LONG_TIMEOUT).unwrap();
    assert_eq!(poll.poll(LONG_TIMEOUT), Some(1));
    let mut client = p.client();
    let mut old = p.start_attempt(&mut client, 1, "issue");
    let changes = [
        notice(2, &host_entries(0, &at, "removed"), false),
        notice(3, &host_entries(7, &at, "up"), false),
    ];
    poll.send(board_response(3, &changes));
    assert_eq!(poll.poll(LONG_TIMEOUT), Some(3));
    client.send(call(2, "check", 2000));
    let mut new = accept(&p.workers[0], LONG_TIMEOUT).expect("a connection of its own");
    assert_eq!(
        new.next_attempt_trace(LONG_TIMEOUT).as_deref(),
        Some("0000000000000002")
    );
    new.respond("0000000000000002", "ok");
    old.respond("0000000000000001", "ok");
    let mut answers = [
        client.next_response(LONG_TIMEOUT),
        client.next_response(LONG_TIMEOUT),
    ];
    answers.sort();
    assert_eq!(answers, [1, 2].map(|tag| Some((tag, "OK".to_string()))));
}

/// A new version of a function, with an id that was never seen and no instance loaded: its first requests
/// cost at most one miss each, a load request is sent, and they are handled once the instance is loaded. The
/// old version is served all the time.
#[test]
fn a_new_function_version_costs_few_misses() {
    let settings = SETTINGS.replace("\"orders\":false", "\"orders\":true");
    let p = platform_with(
        127,
        1,
        &settings.replace("\"if-cold\":\"load\"", "\"if-cold\":\"miss\""),
        256,
    );
    let (old, new) = ("7f3a9c21e0b4d655", "7f3a9c21e0b4d656");
    let (mut client, mut links) = (p.client(), Vec::new());
    let (mut loaded, mut misses, mut words) = (vec![old.to_string()], 0, Vec::new());
    for tag in 1..=20u64 {
        // The new version is released after the fifth request.
        let function = if tag > 5 && tag % 2 == 0 { new } else { old };
        client.send(call_of(tag, "check", 2000, function, "body"));
        let end = std::time::Instant::now() + LONG_TIMEOUT;
        loop {
            links.extend(accept(&p.workers[0], ms(1)));
            for link in &mut links {
                let Some(line) = link.next_line(ms(1)) else {
                    continue;
                };
                let of = line
                    .split("obj=")
                    .nth(1)
                    .map_or("", |o| &o[..16])
                    .to_string();
                let name = line.split(' ').nth(1).unwrap_or_default();
                match line.split(' ').next().unwrap_or_default() {
                    "go" if loaded.contains(&of) => link.respond(name, "ok"),
                    "go" => {
                        misses += 1;
                        link.send(format!("{name} nothing - 0\r\n\r\n"));
                    }
                    "stage" => {
                        // A load request loads at once, a query changes nothing.
                        if !line.contains("copies=0") && !loaded.contains(&of) {
                            loaded.push(of.clone());
                        }
                        let copies = usize::from(loaded.contains(&of));
                        link.send(format!("{name} ok copies={copies} 0\r\n\r\n"));
                    }
                    _ => {}
                }
            }
            if let Some((_, word)) = client.next_response(ms(1)) {
                words.push(word);
                break;
            }
            assert!(
                std::time::Instant::now() < end,
                "no answer to {tag}: {}",
                p.gateway.log()
            );
        }
    }
    assert_eq!(words.iter().filter(|w| *w == "OK").count(), 20, "{words:?}");
    assert!(loaded.len() == 2 && misses <= 2, "{misses} misses");
}
