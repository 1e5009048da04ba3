//! Tests of the gateway on the platform: each rule of its protocols, with a fault that could break
//! it.
#![allow(clippy::unwrap_used, missing_docs)]
mod common;

use common::*;
use test_case::test_case;
use tidewall_gateway::protocol::WorkerProtocol;
use tidewall_net::Conn;
use tidewall_net::{App, Net};
use tidewall_platform_ingress::host_protocol::HostProtocol;

#[test]
fn each_call_gets_one_reply() {
    let mut s = site(&[HostBehavior::Answers, HostBehavior::Answers]);
    let conn = s.connect();
    for i in 1..=100 {
        s.send(
            conn,
            &call(i, i, ["check", "record", "issue"][i as usize % 3], 2000),
        );
        s.advance(200);
    }
    s.advance(SECOND);
    let text = s.client.text(conn);
    (1..=100).for_each(|i| assert_eq!(text.matches(&ok(i)).count(), 1, "{i}"));
    assert_eq!(
        (
            text.len(),
            s.gateway.requests_in_flight(),
            s.gateway.calls_in_flight()
        ),
        ((1..=100).map(|i| ok(i).len()).sum(), 0, 0)
    );
}

// The request of a malformed answer was executed. It is retried on any host if that is safe, and
// nothing of the answer is passed on to the client.
#[test_case("ID ok - 2\r\nyes\r\n", "check", true; "a wrong length")]
#[test_case("ID ok - 3000000000\r\nyesyes", "record", true; "a length of 3 GB")]
#[test_case("\u{1}\u{2}noise\r\n", "check", true; "binary data")]
#[test_case("ID ok - 40\r\nyes\r\n", "record", true; "an incomplete answer on an open connection")]
#[test_case("ID ok - 2\r\nyes\r\n", "issue", false; "non-idempotent, a wrong length")]
#[test_case("ID ok - 40\r\nyes\r\n", "issue", false; "non-idempotent, an incomplete answer")]
fn malformed_answers_are_retried_where_safe(sent: &'static str, class: &str, retried: bool) {
    let mut s = site(&[HostBehavior::SendsOnce(sent), HostBehavior::SendsOnce(sent)]);
    let text = s.call_and_wait(class, 4000);
    let expected = if retried { ok(1) } else { failed(1) };
    assert_eq!(
        (text, s.attempts()),
        (expected, if retried { 2 } else { 1 })
    );
    assert_no_id_twice_on_a_connection(&s);
}

fn assert_no_id_twice_on_a_connection(site: &Site) {
    for host in &site.hosts {
        let attempts = host
            .received_texts
            .iter()
            .filter(|r| r.text.starts_with("go "));
        let mut seen: Vec<(Conn, &str)> = Vec::new();
        for attempt in attempts {
            let id = attempt.text.split(' ').nth(1).unwrap();
            assert!(
                !seen.contains(&(attempt.conn, id)),
                "the same request id twice on one connection: {seen:?}"
            );
            seen.push((attempt.conn, id));
        }
    }
}

// Failure: a second copy of an answer that comes late ends the next attempt under the same id on that connection,
// which runs: it is answered BUSY, and is run again when it comes again.
#[test_case("refused"; "at capacity")]
#[test_case("nothing"; "a miss")]
#[test_case("stale"; "over already")]
fn a_request_whose_attempt_was_answered_is_not_sent_on_that_connection_again(word: &'static str) {
    let sent: &'static str = Box::leak(format!("ID {word} - 0\r\n\r\n").into_boxed_str());
    let mut s = site(&[HostBehavior::SendsOnce(sent)]);
    let text = s.call_and_wait("issue", 10_000);
    assert_eq!((text, s.attempts()), (ok(1), 2));
    assert_no_id_twice_on_a_connection(&s);
}

// The same request again after its answer, as from a client that retries.
#[test]
fn a_request_that_comes_again_after_its_answer_goes_on_another_connection() {
    let mut s = site(&[HostBehavior::Answers]);
    for tag in 1..=3 {
        let conn = s.connect();
        s.send(conn, &call(tag, 9, "check", 2000));
        s.advance(100);
        assert_eq!(s.client.text(conn), ok(tag));
    }
    assert_eq!(s.attempts(), 3);
    assert_no_id_twice_on_a_connection(&s);
}

// An answered id is used on its connection again once no copy of its answer comes any more.
#[test]
fn an_id_is_used_on_its_connection_again_a_second_later() {
    let mut s = site(&[HostBehavior::Answers]);
    for tag in 1..=3 {
        let conn = s.connect();
        s.send(conn, &call(tag, 9, "check", 2000));
        s.advance(2 * SECOND);
        assert_eq!(s.client.text(conn), ok(tag));
    }
    let conns: Vec<Conn> = s.hosts[0]
        .received_texts
        .iter()
        .filter(|r| r.text.starts_with("go "))
        .map(|r| r.conn)
        .collect();
    assert_eq!(conns, [conns[0]; 3]);
}

// Attempts on other connections to the same host go on.
#[test]
fn a_malformed_answer_ends_its_own_attempt_only() {
    let mut s = site(&[HostBehavior::Silent]);
    for i in 0..3 {
        let conn = s.connect();
        s.send(conn, &call(1, 10 + i, "issue", 2000));
        s.advance(50);
    }
    let last = s.hosts[0]
        .received_texts
        .iter()
        .rfind(|r| r.text.starts_with("go "))
        .unwrap()
        .conn;
    s.hosts[0].net.write(last, b"\x01\x02\r\n");
    s.advance(100);
    assert_eq!(s.gateway.requests_in_flight(), 2);
}

#[test]
fn requests_with_an_idempotency_key_are_retried_after_a_reset() {
    let mut s = site(&[HostBehavior::ResetsOnce]);
    assert_eq!((s.call_and_wait("record", 1000), s.attempts()), (ok(1), 2));
}

#[test_case("ID ok - 3\r\nyes\r\nID ok - 3\r\nyes\r\n"; "a duplicate answer")]
#[test_case("00000000000000ff ok - 2\r\nno\r\nID ok - 3\r\nyes\r\n"; "an answer with an unknown id")]
fn answers_to_unknown_requests_are_ignored(sent: &'static str) {
    let mut s = site(&[HostBehavior::Sends(sent)]);
    for _ in 0..3 {
        assert_eq!(s.call_and_wait("issue", 500), ok(1));
    }
    assert!(
        s.hosts[0].closed_conns.is_empty(),
        "the connection must stay open"
    );
}

#[test_case("nothing", true; "miss")]
#[test_case("refused", true; "at capacity")]
#[test_case("stale", true; "expired or cancelled")]
#[test_case("error", false; "may have been executed")]
fn attempts_that_were_not_executed_are_retried(word: &'static str, retried: bool) {
    let sent: &'static str = Box::leak(format!("ID {word} - 0\r\n\r\n").into_boxed_str());
    let mut s = site(&[HostBehavior::SendsOnce(sent), HostBehavior::SendsOnce(sent)]);
    let text = s.call_and_wait("issue", 10_000);
    assert_eq!(
        (text == ok(1), text == failed(1), s.attempts() > 1),
        (retried, !retried, retried)
    );
}

#[test]
fn a_cancelled_call_gets_no_reply_and_its_attempt_is_cancelled() {
    let mut s = site(&[HostBehavior::Silent]);
    let conn = s.connect();
    s.send(conn, &call(7, 9, "check", 2000));
    s.advance(100);
    s.send(conn, &command(&["CANCEL", "7"]));
    s.advance(5 * SECOND);
    assert_eq!(
        (s.client.text(conn), s.hosts[0].lines("halt")),
        (String::new(), vec!["halt 0000000000000009"])
    );
    assert_eq!(
        (s.gateway.requests_in_flight(), s.gateway.calls_in_flight()),
        (0, 0)
    );
}

#[test]
fn a_call_without_an_answer_fails_at_its_deadline() {
    let mut s = site(&[HostBehavior::Silent]);
    assert_eq!(s.call_and_wait("issue", 2 * SECOND + 100), failed(1));
    assert_eq!(s.gateway.calls_in_flight(), 0);
}

// In the "join" run of the whole fleet, eight replies to 270,000 requests became due during a stall
// of 2 to 58 ms and were dropped as too late. Their clients had not cancelled and never got a
// reply. Until a CANCEL arrives, a reply is due.
#[test]
fn a_stall_across_a_deadline_loses_no_reply() {
    let mut s = site(&[HostBehavior::Silent]);
    let conn = s.connect();
    s.send(conn, &call(1, 9, "issue", 2000));
    s.advance(2 * SECOND - 500);
    s.gateway_net.still(true);
    s.advance(1_000);
    s.gateway_net.still(false);
    s.advance(1_000);
    assert_eq!(
        (s.client.text(conn), s.gateway.requests_in_flight()),
        (failed(1), 0)
    );
}

// One connection to each of hundreds of workers would exceed 256 descriptors. The number of worker
// connections is limited, and an idle one is closed to make room.
#[test_case(HostBehavior::Answers, 40, 0; "idle ones make room")]
#[test_case(HostBehavior::Silent, 0, 40; "if none is idle, requests are rejected")]
fn worker_connections_stay_within_their_limit(
    behavior: HostBehavior,
    completed: usize,
    rejected: usize,
) {
    let max_connections = 3;
    let mut s = site_with_limits(&[behavior; 10], 128, max_connections);
    let conn = s.connect();
    for i in 1..=40 {
        s.send(
            conn,
            &call(i, i, "check", 2000).replace(FUNCTION, &format!("{i:016x}")),
        );
        s.advance(200);
        assert!(
            s.gateway.worker_connections() <= max_connections,
            "{}",
            s.gateway.worker_connections()
        );
    }
    s.advance(3 * SECOND);
    let text = s.client.text(conn);
    let counts = ["OK", "BUSY", "FAILED"].map(|w| text.matches(&format!("\r\n{w}\r\n")).count());
    assert_eq!(
        (counts, s.gateway.requests_in_flight()),
        ([completed, rejected, 0], 0)
    );
}

// A malformed client gets an error within 3 s. A well-behaved client is not affected.
#[test_case("GET / HTTP/1.1\r\n\r\n", "-ERR array: '*' expected\r\n"; "another protocol")]
#[test_case("*5\r\n$4\r\nCALL\r\n$1\r\n1\r\n$5\r\ncheck\r\n$0\r\n\r\n$60000000\r\n", "-ERR word: 60000000 bytes, at most 16384\r\n"; "a payload of 60 MB")]
#[test_case("*2\r\n$-1\r\n", "-ERR word: no number\r\n"; "a negative length")]
#[test_case("*3\r\n$4\r\nCA", ""; "an incomplete command")]
#[test_case("", ""; "nothing at all")]
fn malformed_clients_get_an_error_and_are_closed(sent: &str, error: &str) {
    let mut s = site(&[HostBehavior::Answers]);
    let (bad, good) = (s.connect(), s.connect());
    s.send(bad, sent);
    s.send(good, &call(1, 1, "check", 2000));
    s.advance(3 * SECOND);
    assert_eq!(
        (
            s.client.text(bad).as_str(),
            s.client.closed_conns.contains(&bad)
        ),
        (error, true)
    );
    assert_eq!(
        (s.client.text(good), s.client.closed_conns.contains(&good)),
        (ok(1), false)
    );
}

// An invalid call fails alone; other calls on its connection go on.
#[test_case("nosuch", "acme", "1"; "an unknown class")]
#[test_case("check", "nobody", "1"; "an unknown tenant")]
#[test_case("check", "acme", "NaN"; "a hint that is not a number")]
fn an_invalid_call_fails_alone(class: &str, tenant: &str, weight: &str) {
    let mut s = site(&[HostBehavior::Answers]);
    let conn = s.connect();
    let fields = format!(
        "trace=00000000000000ff,patience=900,customer={tenant},entity={FUNCTION},weight={weight}"
    );
    let bad = command(&["CALL", "1", class, &fields, ""]);
    s.send(conn, &(bad + &call(2, 2, "check", 2000)));
    s.advance(1000);
    assert_eq!((s.client.text(conn), s.attempts()), (failed(1) + &ok(2), 1));
}

#[test]
fn a_duplicate_request_id_fails_and_the_first_request_goes_on() {
    let mut s = site(&[HostBehavior::Silent]);
    let (first, other) = (s.connect(), s.connect());
    s.send(first, &call(1, 5, "issue", 2000));
    s.advance(100);
    s.send(other, &call(1, 5, "issue", 2000));
    s.advance(100);
    assert_eq!(
        (
            s.client.text(other),
            s.attempts(),
            s.gateway.requests_in_flight()
        ),
        (failed(1), 1, 1)
    );
}

#[test]
fn a_tag_that_is_used_twice_ends_the_connection() {
    let mut s = site(&[HostBehavior::Silent]);
    let conn = s.connect();
    s.send(
        conn,
        &(call(1, 5, "check", 2000) + &call(1, 6, "check", 2000)),
    );
    s.advance(SECOND);
    assert_eq!(s.client.text(conn), "-ERR tag: used before\r\n");
    assert_eq!(
        (
            s.client.closed_conns.contains(&conn),
            s.gateway.requests_in_flight()
        ),
        (true, 0)
    );
}

// Failure: a tag lower than an earlier one was taken for a used one, which ended the connection and lost all of
// its open calls. The platform asks for tags that were not used before, in any order.
#[test_case(&[10, 11, 12, 9]; "one is late")]
#[test_case(&[5, 4, 3, 2, 1]; "falling")]
#[test_case(&[3, 1, 4, 2, 5]; "shuffled")]
#[test_case(&[u64::MAX, 1, u64::MAX - 1, 2]; "at both ends")]
fn new_tags_are_accepted_in_any_order(tags: &[u64]) {
    let mut s = site(&[HostBehavior::Answers, HostBehavior::Answers]);
    let conn = s.connect();
    for (i, tag) in tags.iter().enumerate() {
        s.send(conn, &call(*tag, i as u64 + 1, "issue", 2000));
    }
    s.advance(SECOND);
    let text = s.client.text(conn);
    for tag in tags {
        assert_eq!(text.matches(&ok(*tag)).count(), 1, "{tag} in {text}");
    }
    assert!(s.client.closed_conns.is_empty());
}

// Failure: the tag of a thread that was slow is refused because hundreds of calls came meanwhile.
#[test]
fn a_tag_that_comes_hundreds_of_calls_later_is_accepted() {
    let mut s = site(&[HostBehavior::Answers, HostBehavior::Answers]);
    let conn = s.connect();
    for tag in (2..=600).chain([1]) {
        s.send(conn, &call(tag, tag, "check", 2000));
        s.advance(100);
    }
    s.advance(SECOND);
    assert_eq!(s.client.text(conn).matches("OK").count(), 600);
}

// Failure: a tag is forgotten while its call is open, and a second call gets it too.
#[test]
fn the_tag_of_an_open_call_is_refused_however_many_calls_came_after_it() {
    let mut s = site(&[HostBehavior::Silent]);
    let conn = s.connect();
    s.send(conn, &call(1, 1, "check", 2000));
    s.advance(10);
    for i in 1..=200 {
        // Every second tag, so that none follows another.
        s.send(conn, &call(1 + 2 * i, 1 + i, "nosuch", 2000));
    }
    s.advance(10);
    s.send(conn, &call(1, 500, "check", 2000));
    s.advance(SECOND);
    assert!(s.client.text(conn).ends_with("-ERR tag: used before\r\n"));
    assert!(s.client.closed_conns.contains(&conn));
}

// A tag whose call has ended is refused too: the client is owed an error, and no reply of a host.
#[test]
fn the_tag_of_an_ended_call_is_refused() {
    let mut s = site(&[HostBehavior::Answers]);
    let conn = s.connect();
    s.send(conn, &call(7, 1, "check", 2000));
    s.advance(SECOND);
    s.send(conn, &call(7, 2, "check", 2000));
    s.advance(SECOND);
    assert_eq!(s.client.text(conn), ok(7) + "-ERR tag: used before\r\n");
}

#[test]
fn the_thirty_third_open_call_is_rejected_with_a_time() {
    let mut s = site(&[HostBehavior::Silent]);
    let conn = s.connect();
    s.send(
        conn,
        &(1..=33)
            .map(|i| call(i, i, "check", 2000))
            .collect::<String>(),
    );
    s.advance(10);
    assert_eq!(
        s.client.text(conn),
        command(&["33", "BUSY", "pause=500", ""])
    );
}

// At the connection limit, connections without a command are closed first, oldest first. A
// connection with an open call is never closed.
#[test]
fn connections_without_commands_are_closed_first() {
    let mut s = site_with_limits(&[HostBehavior::Silent], 4, 100);
    let busy = s.connect();
    s.send(busy, &call(1, 1, "check", 2000));
    s.advance(10);
    let silent: Vec<_> = (0..5)
        .map(|_| {
            let conn = s.connect();
            s.advance(10);
            conn
        })
        .collect();
    s.advance(10);
    assert_eq!(s.client.closed_conns, silent[..2]);
}

// All connections are taken by clients that made one call and stay connected. The longest idle one
// is closed, not the one that was just accepted and whose call is on its way. In a soak test (seed
// 20261202), each new connection was closed at once and its request was lost.
#[test_case(0; "the call follows the connection at once")]
#[test_case(400; "the call comes a little later")]
fn the_longest_idle_connection_makes_room_for_a_new_one(delay: u64) {
    let mut s = site_with_limits(&[HostBehavior::Answers], 4, 100);
    let idle: Vec<_> = (1..=4)
        .map(|i| {
            let conn = s.connect();
            s.send(conn, &call(1, i, "check", 2000));
            s.advance(SECOND);
            conn
        })
        .collect();
    let new = s.connect();
    s.advance(delay);
    s.send(new, &call(1, 9, "check", 2000));
    s.advance(SECOND);
    assert_eq!(s.client.closed_conns, idle[..1]);
    assert_eq!(s.client.text(new), ok(1));
}

// Output for a client that does not read is limited, and its connection is closed. Clients that
// read are not affected.
#[test]
fn a_client_that_never_reads_is_closed() {
    let sent: &'static str =
        Box::leak(format!("ID ok - 200000\r\n{}\r\n", "x".repeat(200_000)).into_boxed_str());
    let mut s = site(&[HostBehavior::Sends(sent)]);
    let (slow, good) = (s.connect(), s.connect());
    s.advance(10);
    s.client.net.set_read_paused(slow, true);
    for i in 1..=20 {
        // The connection may already be closed.
        s.client
            .net
            .write(slow, call(i, i, "check", 2000).as_bytes());
        s.advance(300);
    }
    s.send(good, &call(1, 99, "check", 2000));
    s.advance(SECOND);
    s.client.net.set_read_paused(slow, false);
    s.advance(SECOND);
    assert_eq!(
        (
            s.client.closed_conns.contains(&slow),
            s.client.closed_conns.contains(&good)
        ),
        (true, false)
    );
    assert!(s.client.text(slow).len() < 6 * 200_000 && s.client.text(good).len() > 200_000);
    assert_eq!(s.gateway.requests_in_flight(), 0);
}

#[test]
fn a_draining_host_gets_nothing_more() {
    let mut s = site(&[HostBehavior::Answers, HostBehavior::Answers]);
    s.board
        .send_to_all(&poll_response(2, &[host(0, "draining")], false));
    s.advance(10);
    let before = s.hosts[0].lines("go").len();
    for _ in 0..10 {
        assert_eq!(s.call_and_wait("check", 500), ok(1));
    }
    assert_eq!(s.hosts[0].lines("go").len(), before);
}

// In long runs, hosts are replaced by new ones, some with the address of a removed host.
#[test]
fn replaced_hosts_are_forgotten() {
    let mut s = site(&[HostBehavior::Answers]);
    for rev in 2..=20 {
        let old = host(0, "removed")
            .replace("s-0", &format!("s-{}", if rev == 2 { 0 } else { rev + 98 }));
        let new = host(0, "up").replace("s-0", &format!("s-{}", rev + 99));
        s.board.send_to_all(&poll_response(rev, &[old, new], false));
        s.advance(10 * SECOND);
        assert_eq!(s.call_and_wait("check", 500), ok(1), "host {rev}");
    }
    s.advance(80 * SECOND);
    assert!(
        s.gateway.known_workers() <= 2,
        "{}",
        s.gateway.known_workers()
    );
}

// The next poll starts from the revision of the last complete response.
#[test_case(false; "the connection is reset within a response")]
#[test_case(true; "the board falls silent")]
fn the_board_is_polled_again_after_a_fault(silent: bool) {
    let mut s = site(&[HostBehavior::Answers]);
    s.board
        .send_to_all(&poll_response(2, &[host(0, "up")], false));
    s.advance(10);
    let conn = s.board.open_conns[0];
    if !silent {
        s.board.net.write(
            conn,
            b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"rev\":3,\"noti",
        );
        s.advance(10);
        s.board.net.reset(conn);
    }
    let (before, wait) = (
        s.board.received_texts.len(),
        if silent { 2 * SECOND } else { 2000 },
    );
    s.advance(wait);
    let polls = &s.board.received_texts[before..];
    assert!(
        !polls.is_empty() && polls[0].conn != conn && polls[0].text.contains("watch=2&"),
        "{polls:?}"
    );
}

#[test]
fn a_reload_changes_the_board_address_and_loses_no_request() {
    let mut s = site(&[HostBehavior::Silent]);
    let conn = s.connect();
    s.send(conn, &call(1, 1, "issue", 2000));
    s.advance(100);
    // The configuration cannot be read, so the old one stays in use.
    s.gateway.signal_received(1);
    s.advance(100);
    assert_eq!(s.board.received_texts.len(), 1);
    s.board.net.listen(socket_address("127.0.0.1:711")).unwrap();
    s.moved_board.set(Some(socket_address("127.0.0.1:711")));
    s.gateway.signal_received(1);
    s.advance(100);
    assert_eq!(s.board.received_texts.len(), 2);
    assert!(
        s.board.received_texts[1].text.contains("watch=1&")
            && s.board.received_texts[1].text.contains("127.0.0.1:711")
    );
    assert_eq!(
        (s.gateway.requests_in_flight(), s.client.closed_conns.len()),
        (1, 0)
    );
}

// The sender of a datagram is identified by its address only.
#[test_case(SIBLING, 256, 0; "from a sibling")]
#[test_case(SIBLING, 257, 1; "too long")]
#[test_case("127.0.0.1:799", 5, 1; "from an unknown address")]
fn peer_datagrams_are_bounded_and_from_siblings(from: &str, size: usize, malformed: u64) {
    let mut s = site(&[HostBehavior::Answers]);
    let (port, _) = s.client.net.bind_datagram(socket_address(from)).unwrap();
    s.client
        .net
        .send_datagram(port, socket_address("127.0.0.1:720"), &vec![7; size]);
    s.advance(100);
    assert_eq!(s.gateway.counters().malformed, malformed);
}

#[test_case(256, 256; "the maximum length is unchanged")]
#[test_case(257, 0; "a longer one is dropped")]
fn peer_datagrams_are_sent_as_they_are(size: usize, written: usize) {
    let mut out = Vec::new();
    HostProtocol.write_peer_datagram(&mut out, 3, &vec![7; size]);
    assert_eq!(out, vec![7; written]);
}

// A front end keeps sending for a while after the signal. Its calls are admitted, CHECK replies
// DOWN, and the gateway exits when all calls have replies.
#[test]
fn graceful_shutdown_admits_calls_that_still_arrive() {
    let mut s = site(&[HostBehavior::Answers]);
    let conn = s.connect();
    s.send(conn, &command(&["CHECK", "1", ""]));
    s.advance(100);
    s.gateway.signal_received(15);
    s.advance(6000);
    s.send(
        conn,
        &(command(&["CHECK", "2", ""]) + &call(3, 3, "check", 2000)),
    );
    s.advance(500);
    let text = [command(&["1", "UP"]), command(&["2", "DOWN"]), ok(3)].concat();
    assert_eq!((s.client.text(conn), s.gateway_net.dead()), (text, false));
    s.advance(2000);
    assert!(s.gateway_net.dead());
}
