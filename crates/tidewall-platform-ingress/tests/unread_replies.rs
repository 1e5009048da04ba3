//! Clients that leave replies unread: what they leave is bounded, and other clients are not affected.
#![allow(clippy::unwrap_used, missing_docs)]
mod common;

use common::*;
use tidewall_net::buffer::READ_BUFFER_LIMIT;
use tidewall_net::{Conn, Net};

/// The largest body of a reply.
const BODY: usize = 16 << 10;

/// Number of replies, each with a header of less than 64 bytes, that a client's receive queue holds.
const RECEIVED_REPLIES: usize = READ_BUFFER_LIMIT / (BODY + 64);

/// A host that answers with the largest body.
fn large_answers() -> HostBehavior {
    let body = "x".repeat(BODY);
    HostBehavior::Sends(Box::leak(
        format!("ID ok - {BODY}\r\n{body}\r\n").into_boxed_str(),
    ))
}

/// A client that has stopped reading, and whose receive queue has room for less than one more reply.
fn blocked_client(site: &mut Site, first_request: u64) -> Conn {
    let conn = site.connect();
    site.advance(10);
    site.client.net.set_read_paused(conn, true);
    for i in 1..=RECEIVED_REPLIES as u64 {
        site.send(conn, &call(i, first_request + i, "check", 2000));
        site.advance(20);
    }
    conn
}

/// Sends this many calls of a client with tags from 1,000 on.
fn send_calls(site: &mut Site, conn: Conn, first_request: u64, count: u64) {
    for i in 1_000..1_000 + count {
        site.send(conn, &call(i, first_request + i, "check", 2000));
        site.advance(20);
    }
}

// Failure: a client that stops reading for a while loses replies that it would have read.
#[test]
fn a_client_gets_the_replies_to_all_calls_that_it_may_have_open_after_a_pause() {
    let mut s = site(&[large_answers(), large_answers()]);
    let conn = blocked_client(&mut s, 0);
    send_calls(&mut s, conn, 10_000, 32);
    s.client.net.set_read_paused(conn, false);
    s.advance(SECOND);
    let text = s.client.text(conn);
    assert!(!s.client.closed_conns.contains(&conn));
    assert_eq!(text.matches("OK").count(), RECEIVED_REPLIES + 32);
}

// Failure: a client that sends calls without reading takes more than its part of the memory. Calls beyond
// those that it may have open are rejected, and are not executed.
#[test]
fn calls_beyond_those_that_a_client_may_have_open_are_rejected_until_it_reads() {
    let mut s = site(&[large_answers(), large_answers()]);
    let conn = blocked_client(&mut s, 0);
    let attempts_before = s.attempts();
    send_calls(&mut s, conn, 10_000, 50);
    assert_eq!(s.attempts() - attempts_before, 32);
    s.client.net.set_read_paused(conn, false);
    s.advance(SECOND);
    let text = s.client.text(conn);
    assert_eq!(text.matches("BUSY").count(), 18);
    s.send(conn, &call(2_000, 50_000, "check", 2000));
    s.advance(SECOND);
    let reply = s.client.text(conn)[text.len()..].to_string();
    assert!(reply.contains("2000") && reply.contains("OK"));
}

// Failure: clients that never read take the gateway past its memory together, each of them within its own
// bound; or a client that reads is reset for them. The one that has been blocked for longest ends first.
#[test]
fn what_all_clients_leave_unread_is_bounded_and_the_longest_blocked_ends_first() {
    let mut s = site(&[large_answers(), large_answers()]);
    let blocked: Vec<Conn> = (0..8)
        .map(|i| {
            let conn = blocked_client(&mut s, i << 32);
            send_calls(&mut s, conn, (i << 32) + 10_000, 32);
            assert!(s.gateway_net.total_unsent() <= MAX_UNREAD_OF_ALL + BODY + 1024);
            conn
        })
        .collect();
    let reader = s.connect();
    s.send(reader, &call(1, 1 << 60, "check", 2000));
    s.advance(1000);
    assert_eq!(s.client.text(reader).matches("OK").count(), 1);
    for conn in &blocked {
        s.client.net.set_read_paused(*conn, false);
    }
    s.advance(SECOND);
    // Each leaves somewhat less than half a megabyte unread, so there is room for four of them.
    let ended: Vec<bool> = blocked
        .iter()
        .map(|conn| s.client.closed_conns.contains(conn))
        .collect();
    assert_eq!(ended, [[true; 4], [false; 4]].concat());
    assert!(!s.client.closed_conns.contains(&reader));
}
