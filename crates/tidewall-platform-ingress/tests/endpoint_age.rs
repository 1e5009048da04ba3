//! Which board responses confirm the endpoint list. If none does, the gateway health-checks workers
//! before it sends them requests.
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
#[test_case(http("500 Internal Server Error", "{\"rev\":1,\"notices\":[]}"), false; "an error status")]
#[test_case(http("200 OK", "{\"rev\":1}"), false; "a response without notices")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n{\"rev\":1,".to_string(), false; "an incomplete response")]
#[test_case(String::new(), false; "no response")]
fn complete_responses_of_the_current_revision_confirm_the_list(response: String, confirms: bool) {
    let mut s = site(&[HostBehavior::Answers]);
    let conn = s.board.open_conns[0];
    s.board.net.write(conn, response.as_bytes());
    s.advance(100);
    assert_eq!(s.call_and_wait("check", 1000), ok(1));
    assert_eq!(health_checks(&s) == 0, confirms);
}

#[test]
fn an_overdue_response_makes_the_list_stale() {
    let mut s = site(&[HostBehavior::Answers]);
    let conn = s.board.open_conns[0];
    let nothing_new = http("200 OK", "{\"rev\":1,\"notices\":[]}");
    s.board.net.write(conn, nothing_new.as_bytes());
    s.advance(SECOND);
    assert_eq!(s.call_and_wait("check", 1000), ok(1));
    assert_eq!(health_checks(&s), 0);
    // The worker's own answer proves that it is there for the grace period; after that, the gateway
    // health-checks it.
    s.advance(3 * SECOND);
    assert_eq!(s.call_and_wait("check", 1000), ok(1));
    assert_eq!(health_checks(&s), 1);
}

/// A response that waited in the socket while the process was stalled proves the state at the time
/// of the poll, not at the time of reading.
#[test]
fn a_response_read_late_confirms_the_list_as_of_its_poll() {
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
