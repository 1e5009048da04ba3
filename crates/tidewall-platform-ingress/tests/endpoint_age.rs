//! What counts as news of the board: workers are asked themselves before they get work unless its answer proves the list.
#![allow(clippy::unwrap_used, missing_docs)]
mod common;

use common::*;
use test_case::test_case;
use tidewall_net::Net;

fn http(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}")
}

fn health_checks(site: &Site) -> usize {
    site.hosts.iter().map(|host| host.lines("stat").len()).sum()
}

#[test_case(http("200 OK", "{\"rev\":1,\"notices\":[]}"), true; "nothing new")]
#[test_case(poll_response(2, &[host(0, "up")], false), true; "a change")]
#[test_case(http("200 OK", "{\"rev\":0,\"notices\":[]}"), false; "an older revision")]
#[test_case(http("200 OK", "{\"rev\":9,\"notices\":[]}"), false; "a revision with changes missing")]
#[test_case(http("500 Internal Server Error", "{\"rev\":1,\"notices\":[]}"), false; "an error")]
#[test_case(http("200 OK", "{\"rev\":1}"), false; "no notices")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n{\"rev\":1,".to_string(), false; "half an answer")]
#[test_case(String::new(), false; "silence")]
fn a_complete_answer_of_the_present_revision_proves_the_list(response: String, proves: bool) {
    let mut s = site(&[HostBehavior::Answers]);
    let conn = s.board.open_conns[0];
    s.board.net.write(conn, response.as_bytes());
    s.advance(100);
    assert_eq!(s.call_and_wait("check", 1000), ok(1));
    assert_eq!(health_checks(&s) == 0, proves);
}

#[test]
fn a_list_is_overdue_once_the_next_answer_is() {
    let mut s = site(&[HostBehavior::Answers]);
    let conn = s.board.open_conns[0];
    let nothing_new = http("200 OK", "{\"rev\":1,\"notices\":[]}");
    s.board.net.write(conn, nothing_new.as_bytes());
    s.advance(SECOND);
    assert_eq!(s.call_and_wait("check", 1000), ok(1));
    assert_eq!(health_checks(&s), 0);
    // Its own answer proves the worker for the grace period; then it is asked.
    s.advance(3 * SECOND);
    assert_eq!(s.call_and_wait("check", 1000), ok(1));
    assert_eq!(health_checks(&s), 1);
}

/// What lay in the sockets of a process that stood still is as old as that.
#[test]
fn an_answer_that_was_read_late_proves_what_was_when_it_was_asked() {
    let mut s = site(&[HostBehavior::Answers]);
    s.advance(100);
    s.gateway_net.still(true);
    let conn = s.board.open_conns[0];
    let nothing_new = http("200 OK", "{\"rev\":1,\"notices\":[]}");
    s.board.net.write(conn, nothing_new.as_bytes());
    s.advance(4 * SECOND);
    s.gateway_net.still(false);
    assert_eq!(s.call_and_wait("check", 1000), ok(1));
    assert_eq!(health_checks(&s), 1);
}
