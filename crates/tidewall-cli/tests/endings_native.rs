//! The native protocol: clients that leave, workers that close connections, and a gateway that is shut down.
//! The tests force each order in which these events can cross.
mod help;

use help::*;
use test_case::{test_case, test_matrix};

#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientEnd {
    Fin,
    Reset,
    Leave,
}

fn leave(client: &mut Option<Connection>, id: u64, how: ClientEnd) {
    match how {
        ClientEnd::Fin => client.as_ref().unwrap().close_write(),
        ClientEnd::Reset => client.take().unwrap().reset(),
        ClientEnd::Leave => client.as_mut().unwrap().send(leave_frame(id)),
    }
}

fn assert_clean_exit(n: &mut Native) {
    let (code, took) = n.gateway.wait_for_exit();
    assert_eq!(code, Some(0), "{}", n.gateway.log());
    assert!(took < ms(2_700), "{took:?}");
}

/// The gateway finds the request and the client's end unread at the same time: it starts no attempt.
#[test_case(ClientEnd::Fin, 130; "closed")]
#[test_case(ClientEnd::Leave, 131; "left")]
fn a_request_and_its_clients_end_in_one_wake_up_start_no_attempt(how: ClientEnd, octet: u8) {
    let n = native(octet, 1, true);
    let mut other = n.client();
    let (mut link, id) = n.start_attempt(&mut other, 1, "check");
    link.end_attempt(id, "ok");
    assert_eq!(
        other.next_answer(LONG_TIMEOUT),
        Some((1, "handled".to_string()))
    );
    for round in 0..5 {
        let mut client = Some(n.client());
        n.gateway.set_stopped(true);
        client
            .as_mut()
            .unwrap()
            .send(request_frame(100 + round, "check"));
        leave(&mut client, 100 + round, how);
        n.gateway.set_stopped(false);
        assert_eq!(link.next_attempt(3 * ABANDON_LIMIT), None);
    }
}

/// The attempt waits for a worker's hello, the client leaves, and the hello arrives: the attempt is not sent.
#[test_matrix([ClientEnd::Fin, ClientEnd::Reset, ClientEnd::Leave], [true, false])]
fn an_attempt_that_waits_for_a_hello_is_not_sent_for_a_client_that_left(
    how: ClientEnd,
    cancels: bool,
) {
    let n = native(132 + 2 * how as u8 + u8::from(cancels), 1, cancels);
    let mut client = Some(n.client());
    client.as_mut().unwrap().send(request_frame(1, "check"));
    let mut link = accept(&n.workers[0], LONG_TIMEOUT).expect("it connects");
    leave(&mut client, 1, how);
    wait_until("the request is abandoned", || {
        n.gateway.log().contains(" request abandoned ")
    });
    n.greet(&mut link, 0);
    assert_eq!(link.next_attempt(3 * ABANDON_LIMIT), None);
}

/// The client leaves and the worker refuses the attempt, in either order: no second attempt is started.
#[test_matrix([ClientEnd::Fin, ClientEnd::Reset, ClientEnd::Leave], [true, false])]
fn no_second_attempt_for_a_client_that_left(how: ClientEnd, at_once: bool) {
    let n = native(140 + 2 * how as u8 + u8::from(at_once), 1, true);
    let mut client = Some(n.client());
    let (mut link, id) = n.start_attempt(client.as_mut().unwrap(), 1, "check");
    if at_once {
        n.gateway.set_stopped(true);
    }
    let address = client.as_ref().unwrap().address();
    leave(&mut client, 1, how);
    if at_once {
        wait_until("the client's end has arrived", || {
            has_arrived(n.gateway.at, address)
        });
    } else {
        assert!(link.receives_cancel(id, LONG_TIMEOUT));
    }
    link.end_attempt(id, "full");
    n.gateway.set_stopped(false);
    assert_eq!(link.next_attempt(3 * ABANDON_LIMIT), None);
}

/// The gateway is shut down with an attempt in flight. Further requests arrive at each step of the shutdown,
/// one of which was sent in part before.
#[test_case(0; "with the signal")]
#[test_case(400; "while requests are accepted")]
#[test_case(900; "while draining")]
fn requests_that_arrive_during_shutdown_are_answered(after: u64) {
    let mut n = native(150 + (after / 100) as u8, 1, true);
    let mut held = n.client();
    let (mut link, id) = n.start_attempt(&mut held, 1, "issue");
    let (mut early, mut half) = (n.client(), n.client());
    half.send(&request_frame(9, "check")[..7]);
    if after > 0 {
        n.gateway.signal(libc::SIGTERM);
        std::thread::sleep(ms(after));
    }
    n.gateway.set_stopped(true);
    early.send(request_frame(8, "check"));
    half.send(&request_frame(9, "check")[7..]);
    n.gateway.signal(libc::SIGTERM * i32::from(after == 0));
    n.gateway.set_stopped(false);
    while let Some((id, _)) = link.next_attempt(ms(300)) {
        link.end_attempt(id, "ok");
    }
    for (client, id) in [(&mut early, 8), (&mut half, 9)] {
        let word = if after < 800 {
            "handled"
        } else {
            "turned-away"
        };
        assert_eq!(
            client.next_answer(LONG_TIMEOUT),
            Some((id, word.to_string())),
            "{}",
            n.gateway.log()
        );
        assert_eq!(client.next_answer(ms(10)), None);
    }
    link.end_attempt(id, "ok");
    assert_eq!(
        held.next_answer(LONG_TIMEOUT),
        Some((1, "handled".to_string()))
    );
    assert!(held.closes_within(LONG_TIMEOUT) && !held.was_reset());
    assert_clean_exit(&mut n);
}

/// The signal arrives while no request is open: a request that a client sends at that moment is accepted, not
/// dropped with its connection.
#[test]
fn a_request_that_crosses_the_signal_is_answered() {
    let mut n = native(160, 1, true);
    let mut client = n.client();
    n.gateway.signal(libc::SIGTERM);
    wait_until("the shutdown was requested", || {
        n.gateway.log().contains("shutdown requested")
    });
    let (mut link, id) = n.start_attempt(&mut client, 1, "check");
    link.end_attempt(id, "ok");
    assert_eq!(
        client.next_answer(LONG_TIMEOUT),
        Some((1, "handled".to_string()))
    );
    assert_clean_exit(&mut n);
}

/// A worker resets its connection before the first byte of an attempt, or after its last byte.
#[test_matrix(["check", "issue"], [true, false])]
fn a_worker_that_ends_its_connection(class: &str, after: bool) {
    let n = native(
        162 + 2 * u8::from(class == "issue") + u8::from(after),
        1,
        true,
    );
    let mut client = n.client();
    client.send(request_frame(1, class));
    let mut link = accept(&n.workers[0], LONG_TIMEOUT).expect("it connects");
    if after {
        n.greet(&mut link, 0);
        assert!(link.next_attempt(LONG_TIMEOUT).is_some());
    }
    link.reset();
    // An attempt that was not sent is retried, one that may have been executed is not.
    let retried = accept(&n.workers[0], ms(400)).map(|mut link| {
        n.greet(&mut link, 0);
        if let Some((id, _)) = link.next_attempt(ms(300)) {
            link.end_attempt(id, "ok");
        }
        link
    });
    let (_, word) = client.next_answer(LONG_TIMEOUT).expect("its answer");
    match (class, after) {
        ("issue", true) => assert_eq!((word.as_str(), retried.is_some()), ("dead-lettered", false)),
        // Not retried at the worker that failed, and there is no other one.
        ("check", true) => assert_ne!(word, "dead-lettered"),
        _ => assert_eq!(word, "handled"),
    }
}
