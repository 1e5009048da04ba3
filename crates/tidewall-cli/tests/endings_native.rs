//! The native door: clients that end, workers that end, and a gateway that is told to go, each crossing forced.
mod help;

use help::*;
use test_case::{test_case, test_matrix};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    Fin,
    Reset,
    Leave,
}

fn leave(client: &mut Option<Side>, id: u64, how: Leaves) {
    match how {
        Leaves::Fin => client.as_ref().unwrap().fin(),
        Leaves::Reset => client.take().unwrap().reset(),
        Leaves::Leave => client.as_mut().unwrap().send(withdrawn(id)),
    }
}

fn ends_well(n: &mut Native) {
    let (code, took) = n.gateway.ended();
    assert_eq!(code, Some(0), "{}", n.gateway.log());
    assert!(took < ms(2_700), "{took:?}");
}

/// Event and end lie unread together: nothing is launched.
#[test_case(Leaves::Fin, 130; "closed")]
#[test_case(Leaves::Leave, 131; "withdrawn")]
fn an_event_and_its_end_in_one_wake_up_begin_nothing(how: Leaves, last: u8) {
    let n = native(last, 1, true);
    let mut other = n.client();
    let (mut link, id) = n.launched(&mut other, 1, "check");
    link.over(id, "ok");
    assert_eq!(other.told(LONG), Some((1, "handled".to_string())));
    for round in 0..5 {
        let mut client = Some(n.client());
        n.gateway.still(true);
        client.as_mut().unwrap().send(event(100 + round, "check"));
        leave(&mut client, 100 + round, how);
        n.gateway.still(false);
        assert_eq!(link.launch(3 * LEFT), None);
    }
}

/// It waits for a worker that has not greeted yet: nothing is sent when it does.
#[test_matrix([Leaves::Fin, Leaves::Reset, Leaves::Leave], [true, false])]
fn what_waits_for_a_greeting_is_not_sent_for_a_client_that_left(how: Leaves, cancels: bool) {
    let n = native(132 + 2 * how as u8 + u8::from(cancels), 1, cancels);
    let mut client = Some(n.client());
    client.as_mut().unwrap().send(event(1, "check"));
    let mut link = accept(&n.workers[0], LONG).expect("it connects");
    leave(&mut client, 1, how);
    until("it has left", || {
        n.gateway.log().contains(" request abandoned ")
    });
    n.greet(&mut link, 0);
    assert_eq!(link.launch(3 * LEFT), None);
}

/// Its launch is out and the worker lets it go again: no second one, with the two ends in either order.
#[test_matrix([Leaves::Fin, Leaves::Reset, Leaves::Leave], [true, false])]
fn no_second_launch_for_a_client_that_left(how: Leaves, at_once: bool) {
    let n = native(140 + 2 * how as u8 + u8::from(at_once), 1, true);
    let mut client = Some(n.client());
    let (mut link, id) = n.launched(client.as_mut().unwrap(), 1, "check");
    if at_once {
        n.gateway.still(true);
    }
    let address = client.as_ref().unwrap().address();
    leave(&mut client, 1, how);
    if at_once {
        until("its end lies there", || has_arrived(n.gateway.at, address));
    } else {
        assert!(link.cancelled(id, LONG));
    }
    link.over(id, "full");
    n.gateway.still(false);
    assert_eq!(link.launch(3 * LEFT), None);
}

/// Told to go with an event out; others come at each step, on connections that stand and new ones; one was half sent.
#[test_case(0; "with the signal")]
#[test_case(400; "while it still takes")]
#[test_case(900; "while it drains")]
fn what_comes_while_it_goes_is_answered(after: u64) {
    let mut n = native(150 + (after / 100) as u8, 1, true);
    let mut held = n.client();
    let (mut link, id) = n.launched(&mut held, 1, "issue");
    let (mut early, mut half) = (n.client(), n.client());
    half.send(&event(9, "check")[..7]);
    if after > 0 {
        n.gateway.signal(libc::SIGTERM);
        std::thread::sleep(ms(after));
    }
    n.gateway.still(true);
    early.send(event(8, "check"));
    half.send(&event(9, "check")[7..]);
    n.gateway.signal(libc::SIGTERM * i32::from(after == 0));
    n.gateway.still(false);
    while let Some((id, _)) = link.launch(ms(300)) {
        link.over(id, "ok");
    }
    for (client, id) in [(&mut early, 8), (&mut half, 9)] {
        let word = if after < 800 {
            "handled"
        } else {
            "turned-away"
        };
        assert_eq!(
            client.told(LONG),
            Some((id, word.to_string())),
            "{}",
            n.gateway.log()
        );
        assert_eq!(client.told(ms(10)), None);
    }
    link.over(id, "ok");
    assert_eq!(held.told(LONG), Some((1, "handled".to_string())));
    assert!(held.ends(LONG) && !held.was_reset());
    ends_well(&mut n);
}

/// Nothing is in hand as the signal comes: what a client sends in that moment is taken, not dropped with its connection.
#[test]
fn an_event_that_crosses_the_signal_is_answered() {
    let mut n = native(160, 1, true);
    let mut client = n.client();
    n.gateway.signal(libc::SIGTERM);
    until("it was told", || {
        n.gateway.log().contains("shutdown requested")
    });
    let (mut link, id) = n.launched(&mut client, 1, "check");
    link.over(id, "ok");
    assert_eq!(client.told(LONG), Some((1, "handled".to_string())));
    ends_well(&mut n);
}

/// A worker's end before the first byte of a launch, and after its last one.
#[test_matrix(["check", "issue"], [true, false])]
fn a_worker_that_ends_its_connection(typ: &str, after: bool) {
    let n = native(
        162 + 2 * u8::from(typ == "issue") + u8::from(after),
        1,
        true,
    );
    let mut client = n.client();
    client.send(event(1, typ));
    let mut link = accept(&n.workers[0], LONG).expect("it connects");
    if after {
        n.greet(&mut link, 0);
        assert!(link.launch(LONG).is_some());
    }
    link.reset();
    // One that was only told that nobody is there is tried again, one that may have run is not.
    let again = accept(&n.workers[0], ms(400)).map(|mut link| {
        n.greet(&mut link, 0);
        if let Some((id, _)) = link.launch(ms(300)) {
            link.over(id, "ok");
        }
        link
    });
    let (_, word) = client.told(LONG).expect("its answer");
    match (typ, after) {
        ("issue", true) => assert_eq!((word.as_str(), again.is_some()), ("dead-lettered", false)),
        // Not to the worker that failed it; there is no other.
        ("check", true) => assert_ne!(word, "dead-lettered"),
        _ => assert_eq!(word, "handled"),
    }
}
