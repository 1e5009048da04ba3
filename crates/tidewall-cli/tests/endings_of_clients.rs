//! Clients that leave, on the platform's protocol: later than 0.1 s after a client left no attempt starts for
//! it, its workers are told, and the other clients get their responses. The tests force both orders in which
//! these events can cross.
mod help;

use help::*;
use test_case::{test_case, test_matrix};

#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientEnd {
    Fin,
    Reset,
    Cancel,
}

fn leave(client: &mut Option<Connection>, tag: u64, how: ClientEnd) {
    match how {
        ClientEnd::Fin => client.as_ref().unwrap().close_write(),
        ClientEnd::Reset => client.take().unwrap().reset(),
        ClientEnd::Cancel => client.as_mut().unwrap().send(cancel(tag)),
    }
}

/// Asserts that no attempt arrives at any worker, on open or new connections.
fn assert_no_attempt(p: &Platform, links: &mut [&mut Connection]) {
    for link in links {
        assert_eq!(link.next_attempt_trace(3 * ABANDON_LIMIT), None);
    }
    for worker in &p.workers {
        while let Some(mut link) = accept(worker, ABANDON_LIMIT) {
            assert_eq!(link.next_attempt_trace(3 * ABANDON_LIMIT), None);
        }
    }
}

/// Asserts that no request is left: the gateway exits well before a request's deadline.
fn assert_clean_exit(p: &mut Platform) {
    p.gateway.signal(libc::SIGTERM);
    let (code, took) = p.gateway.wait_for_exit();
    assert_eq!(code, Some(0));
    assert!(took < ms(1_500), "{took:?}");
    assert!(!p.gateway.log().contains("panicked"), "{}", p.gateway.log());
}

/// The gateway finds the call and the client's end unread at the same time: the request ends before an
/// attempt is sent.
#[test_case(ClientEnd::Fin, 1; "closed")]
#[test_case(ClientEnd::Cancel, 2; "cancelled")]
fn a_call_and_its_clients_end_in_one_wake_up_start_no_attempt(how: ClientEnd, octet: u8) {
    let mut p = platform(octet, 1);
    let mut other = p.client();
    let mut link = p.start_attempt(&mut other, 1, "check");
    link.respond("0000000000000001", "ok");
    assert_eq!(
        other.next_response(LONG_TIMEOUT),
        Some((1, "OK".to_string()))
    );
    for round in 0..5 {
        let mut client = Some(p.client());
        p.gateway.set_stopped(true);
        client
            .as_mut()
            .unwrap()
            .send(call(100 + round, "check", 2000));
        leave(&mut client, 100 + round, how);
        p.gateway.set_stopped(false);
        assert_no_attempt(&p, &mut [&mut link]);
    }
    assert_clean_exit(&mut p);
}

/// The attempt waits for a connection that is established only a second later, after the client left.
#[test_matrix([ClientEnd::Fin, ClientEnd::Reset, ClientEnd::Cancel], [true, false])]
fn an_attempt_that_waits_for_a_late_connection_is_not_sent_for_a_client_that_left(
    how: ClientEnd,
    cancels: bool,
) {
    let settings = SETTINGS.replace(
        "\"connect-timeout-ms\":250.0",
        "\"connect-timeout-ms\":1900.0",
    );
    let settings = settings.replace("\"cancel\":true", &format!("\"cancel\":{cancels}"));
    let mut p = platform_with(10 + 2 * how as u8 + u8::from(cancels), 1, &settings, 256);
    let fillers = fill_backlog(&p.workers[0]);
    let mut client = Some(p.client());
    client.as_mut().unwrap().send(call(1, "check", 2000));
    wait_until("the attempt is started", || {
        p.gateway.log().contains(" attempt started ")
    });
    leave(&mut client, 1, how);
    drop(fillers);
    let mut accepted = 0;
    while let Some(mut link) = accept(&p.workers[0], ms(1_300)) {
        accepted += 1;
        assert_eq!(link.next_attempt_trace(3 * ABANDON_LIMIT), None, "{how:?}");
    }
    assert!(accepted > 0, "the connection is established");
    assert_clean_exit(&mut p);
}

/// The attempt is in flight when the client leaves: the worker is told to cancel it, and an outcome that
/// allows a retry causes none.
#[test_matrix([ClientEnd::Fin, ClientEnd::Reset, ClientEnd::Cancel], ["refused", "nothing", "reset"], [true, false])]
fn no_second_attempt_for_a_client_that_left(how: ClientEnd, end: &str, at_once: bool) {
    let octet = 20
        + 6 * how as u8
        + 2 * ["refused", "nothing", "reset"]
            .iter()
            .position(|e| *e == end)
            .unwrap() as u8;
    let mut p = platform(octet + u8::from(at_once), 2);
    let mut client = Some(p.client());
    let mut link = p.start_attempt(client.as_mut().unwrap(), 1, "check");
    let trace = "0000000000000001";
    if at_once {
        // Both are unread when the gateway continues; it may read the worker's response first.
        p.gateway.set_stopped(true);
    }
    let address = client.as_ref().unwrap().address();
    leave(&mut client, 1, how);
    if at_once {
        wait_until("the client's end has arrived", || {
            has_arrived(p.gateway.at, address)
        });
    } else {
        assert!(link.receives_halt(trace, LONG_TIMEOUT));
    }
    match end {
        "reset" => link.reset(),
        word => {
            link.send(format!("{trace} {word} - 0\r\n\r\n"));
            std::mem::forget(link);
        }
    }
    p.gateway.set_stopped(false);
    assert_no_attempt(&p, &mut []);
    assert_clean_exit(&mut p);
}

/// The worker's response and the client's end are unread at the same time, in either order; other clients are
/// served.
#[test_case(ClientEnd::Fin, 40; "closed")]
#[test_case(ClientEnd::Reset, 41; "reset")]
#[test_case(ClientEnd::Cancel, 42; "cancelled")]
fn a_response_crosses_the_clients_end(how: ClientEnd, octet: u8) {
    let mut p = platform(octet, 1);
    let mut client = Some(p.client());
    let mut link = p.start_attempt(client.as_mut().unwrap(), 1, "check");
    for (round, worker_first) in [true, false].into_iter().enumerate() {
        let tag = 2 * round as u64 + 1;
        p.gateway.set_stopped(true);
        if worker_first {
            link.respond(&format!("{tag:016x}"), "ok");
        }
        leave(&mut client, tag, how);
        if !worker_first {
            link.respond(&format!("{tag:016x}"), "ok");
        }
        p.gateway.set_stopped(false);
        if how == ClientEnd::Cancel {
            // The response was sent before the cancellation was read, or not at all; never twice.
            let got = client.as_mut().unwrap().next_response(2 * ABANDON_LIMIT);
            assert!(
                got.is_none() || got == Some((tag, "OK".to_string())),
                "{got:?}"
            );
            assert_eq!(
                client.as_mut().unwrap().next_response(2 * ABANDON_LIMIT),
                None
            );
        }
        client = Some(p.client());
        client.as_mut().unwrap().send(call(tag + 1, "check", 2000));
        assert_eq!(
            link.next_attempt_trace(LONG_TIMEOUT),
            Some(format!("{:016x}", tag + 1))
        );
        link.respond(&format!("{:016x}", tag + 1), "ok");
        assert_eq!(
            client.as_mut().unwrap().next_response(LONG_TIMEOUT),
            Some((tag + 1, "OK".to_string()))
        );
        client.as_mut().unwrap().send(call(tag + 2, "check", 2000));
        assert_eq!(
            link.next_attempt_trace(LONG_TIMEOUT),
            Some(format!("{:016x}", tag + 2))
        );
    }
    link.respond("0000000000000005", "ok");
    assert_eq!(
        client.as_mut().unwrap().next_response(LONG_TIMEOUT),
        Some((5, "OK".to_string()))
    );
    assert_clean_exit(&mut p);
}

/// A worker reads nothing while all clients cancel: attempts that are still in the gateway's buffers are not
/// sent, and no `halt` is sent for them.
#[test]
fn buffered_attempts_are_not_sent_for_a_client_that_left() {
    let (mut p, mut link, mut clients) = blocked_worker(50, "check", 20_000.0);
    for (i, client) in clients.iter_mut().enumerate() {
        let all: String = (0..EACH)
            .map(|n| cancel((i * EACH + n) as u64 + 1))
            .collect();
        client.send(all);
    }
    wait_until("all are cancelled", || {
        p.gateway.log().matches(" request abandoned ").count() == ALL
    });
    let in_transit = bytes_in_transit(&p.workers[0]);
    let (mut attempts, mut halts) = (0, 0);
    while let Some(line) = link.next_line(ms(1_500)) {
        attempts += usize::from(line.starts_with("go "));
        halts += usize::from(line.starts_with("halt "));
    }
    // Those that had been sent by then, and the rest of one that had been sent in part.
    assert!(
        attempts > 0 && attempts <= in_transit / BODY + 1 && attempts + 10 < ALL,
        "{attempts} of {ALL} arrived, {in_transit} bytes were in transit"
    );
    assert_eq!(attempts, halts);
    assert_clean_exit(&mut p);
}

/// A worker that reads nothing resets its connection: attempts that were never sent cannot have been executed
/// and are retried, also at-most-once ones; the others fail.
#[test]
fn attempts_that_were_never_sent_are_retried() {
    let (mut p, link, mut clients) = blocked_worker(51, "issue", 20_000.0);
    let mut in_transit = 0;
    wait_until("the system takes no more", || {
        std::thread::sleep(ms(50));
        std::mem::replace(&mut in_transit, bytes_in_transit(&p.workers[0])) == in_transit
    });
    link.reset();
    let (mut retried, mut links, mut words) = (0, Vec::new(), Vec::new());
    wait_until("all have their answers", || {
        links.extend(accept(&p.workers[0], ms(1)));
        for link in &mut links {
            while let Some(trace) = link.next_attempt_trace(ms(1)) {
                link.respond(&trace, "ok");
                retried += 1;
            }
        }
        for client in &mut clients {
            while let Some((_, word)) = client.next_response(ms(1)) {
                words.push(word);
            }
        }
        words.len() >= ALL
    });
    let count = |word: &str| words.iter().filter(|w| *w == word).count();
    assert!(
        retried + in_transit / BODY + 1 >= ALL && retried > 10,
        "{retried} of {ALL} were retried, {in_transit} bytes were in transit"
    );
    assert_eq!(
        (count("OK"), count("FAILED")),
        (retried, ALL - retried),
        "{words:?}"
    );
    assert!(retried < ALL, "some had been sent");
    assert_clean_exit(&mut p);
}

/// An attempt that the socket does not accept fails after the connect timeout, long before its client's
/// deadline, as not executed.
#[test]
fn attempts_that_cannot_be_sent_fail_after_the_connect_timeout() {
    let (p, _link, _clients) = blocked_worker(52, "issue", 250.0);
    wait_until("the attempts fail", || {
        p.gateway.log().matches("outcome=ConnectFailed").count() > 10
    });
}

const BODY: usize = 16 << 10;
const EACH: usize = 30;
const ALL: usize = 12 * EACH;

/// Starts attempts of a dozen clients on one connection to a worker that reads nothing: more bytes than the
/// socket buffers hold.
/// `connect_timeout_ms` is how long an attempt may wait to be sent.
fn blocked_worker(
    octet: u8,
    class: &str,
    connect_timeout_ms: f64,
) -> (Platform, Connection, Vec<Connection>) {
    // With many sibling gateways, a worker's limit is not learned from this gateway's own attempts.
    let settings = SETTINGS.replace("\"siblings\":1", "\"siblings\":8");
    let settings = settings.replace("\"streams-per-conn\":32", "\"streams-per-conn\":900");
    let settings = settings.replace("\"most-held\":200", "\"most-held\":900");
    let settings = settings.replace(
        "\"connect-timeout-ms\":250.0",
        &format!("\"connect-timeout-ms\":{connect_timeout_ms}"),
    );
    // Long deadlines, so that no request is late on a busy machine.
    let settings = settings.replace(
        "\"aim-ms\":500.0,\"deadline-ms\":2000.0",
        "\"aim-ms\":20000.0,\"deadline-ms\":60000.0",
    );
    let p = platform_with(octet, 1, &settings, 256);
    limit_receive_buffer(&p.workers[0]);
    let body = "x".repeat(BODY);
    let mut clients: Vec<Connection> = (0..ALL / EACH).map(|_| p.client()).collect();
    for tag in 1..=ALL {
        clients[(tag - 1) / EACH].send(call_of(
            tag as u64,
            class,
            60_000,
            "7f3a9c21e0b4d655",
            &body,
        ));
    }
    wait_until("all attempts are started", || {
        p.gateway.log().matches(" attempt started ").count() >= ALL
    });
    let link = accept(&p.workers[0], LONG_TIMEOUT).expect("it connects");
    (p, link, clients)
}
