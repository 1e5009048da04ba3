//! Clients that end, on the platform's door: nothing begins for them later than 0.1 s, their workers hear of it, and what was
//! answered reaches those that are left. Each crossing is forced; both orders are played.
mod help;

use help::*;
use test_case::{test_case, test_matrix};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    Fin,
    Reset,
    Cancel,
}

fn leave(client: &mut Option<Side>, tag: u64, how: Leaves) {
    match how {
        Leaves::Fin => client.as_ref().unwrap().fin(),
        Leaves::Reset => client.take().unwrap().reset(),
        Leaves::Cancel => client.as_mut().unwrap().send(cancel(tag)),
    }
}

/// No launch comes to any of the workers, on connections that stand or new ones.
fn nothing_begins(p: &Platform, links: &mut [&mut Side]) {
    for link in links {
        assert_eq!(link.go(3 * LEFT), None);
    }
    for worker in &p.workers {
        while let Some(mut link) = accept(worker, LEFT) {
            assert_eq!(link.go(3 * LEFT), None);
        }
    }
}

/// Nothing is left over: it ends by itself, well before an event's time.
fn nothing_is_held(p: &mut Platform) {
    p.gateway.signal(libc::SIGTERM);
    let (code, took) = p.gateway.ended();
    assert_eq!(code, Some(0));
    assert!(took < ms(1_500), "{took:?}");
    assert!(!p.gateway.log().contains("panicked"), "{}", p.gateway.log());
}

/// Command and end lie unread together: the event is over before its launch leaves.
#[test_case(Leaves::Fin, 1; "closed")]
#[test_case(Leaves::Cancel, 2; "withdrawn")]
fn a_call_and_its_end_in_one_wake_up_begin_nothing(how: Leaves, last: u8) {
    let mut p = platform(last, 1);
    let mut other = p.client();
    let mut link = p.launched(&mut other, 1, "check");
    link.says("0000000000000001", "ok");
    assert_eq!(other.answer(LONG), Some((1, "OK".to_string())));
    for round in 0..5 {
        let mut client = Some(p.client());
        p.gateway.still(true);
        client
            .as_mut()
            .unwrap()
            .send(call(100 + round, "check", 2000));
        leave(&mut client, 100 + round, how);
        p.gateway.still(false);
        nothing_begins(&p, &mut [&mut link]);
    }
    nothing_is_held(&mut p);
}

/// It waits on a connection that is being made, which then comes up, a second late.
#[test_matrix([Leaves::Fin, Leaves::Reset, Leaves::Cancel], [true, false])]
fn what_waits_on_a_late_connection_is_not_sent_for_a_client_that_left(how: Leaves, cancels: bool) {
    let settings = SETTINGS.replace(
        "\"connect-timeout-ms\":250.0",
        "\"connect-timeout-ms\":1900.0",
    );
    let settings = settings.replace("\"cancel\":true", &format!("\"cancel\":{cancels}"));
    let mut p = platform_with(10 + 2 * how as u8 + u8::from(cancels), 1, &settings, 256);
    let fillers = filled(&p.workers[0]);
    let mut client = Some(p.client());
    client.as_mut().unwrap().send(call(1, "check", 2000));
    until("it is launched", || {
        p.gateway.log().contains(" attempt started ")
    });
    leave(&mut client, 1, how);
    drop(fillers);
    let mut came = 0;
    while let Some(mut link) = accept(&p.workers[0], ms(1_300)) {
        came += 1;
        assert_eq!(link.go(3 * LEFT), None, "{how:?}");
    }
    assert!(came > 0, "its connection came up");
    nothing_is_held(&mut p);
}

/// Its launch is out: the worker is told, and an end that lets it go again does not.
#[test_matrix([Leaves::Fin, Leaves::Reset, Leaves::Cancel], ["refused", "nothing", "reset"], [true, false])]
fn no_second_launch_for_a_client_that_left(how: Leaves, end: &str, at_once: bool) {
    let last = 20
        + 6 * how as u8
        + 2 * ["refused", "nothing", "reset"]
            .iter()
            .position(|e| *e == end)
            .unwrap() as u8;
    let mut p = platform(last + u8::from(at_once), 2);
    let mut client = Some(p.client());
    let mut link = p.launched(client.as_mut().unwrap(), 1, "check");
    let trace = "0000000000000001";
    if at_once {
        // Both lie there when it goes on; the worker's word may be read first.
        p.gateway.still(true);
    }
    let address = client.as_ref().unwrap().address();
    leave(&mut client, 1, how);
    if at_once {
        until("its end lies there", || has_arrived(p.gateway.at, address));
    } else {
        assert!(link.halted(trace, LONG));
    }
    match end {
        "reset" => link.reset(),
        word => {
            link.send(format!("{trace} {word} - 0\r\n\r\n"));
            std::mem::forget(link);
        }
    }
    p.gateway.still(false);
    nothing_begins(&p, &mut []);
    nothing_is_held(&mut p);
}

/// The answer and the client's end lie there together; whatever is read first, the others are served.
#[test_case(Leaves::Fin, 40; "closed")]
#[test_case(Leaves::Reset, 41; "reset")]
#[test_case(Leaves::Cancel, 42; "withdrawn")]
fn an_answer_crosses_the_end(how: Leaves, last: u8) {
    let mut p = platform(last, 1);
    let mut client = Some(p.client());
    let mut link = p.launched(client.as_mut().unwrap(), 1, "check");
    for (round, worker_first) in [true, false].into_iter().enumerate() {
        let tag = 2 * round as u64 + 1;
        p.gateway.still(true);
        if worker_first {
            link.says(&format!("{tag:016x}"), "ok");
        }
        leave(&mut client, tag, how);
        if !worker_first {
            link.says(&format!("{tag:016x}"), "ok");
        }
        p.gateway.still(false);
        if how == Leaves::Cancel {
            // Either it had left before, or there is none; nothing twice.
            let got = client.as_mut().unwrap().answer(2 * LEFT);
            assert!(
                got.is_none() || got == Some((tag, "OK".to_string())),
                "{got:?}"
            );
            assert_eq!(client.as_mut().unwrap().answer(2 * LEFT), None);
        }
        client = Some(p.client());
        client.as_mut().unwrap().send(call(tag + 1, "check", 2000));
        assert_eq!(link.go(LONG), Some(format!("{:016x}", tag + 1)));
        link.says(&format!("{:016x}", tag + 1), "ok");
        assert_eq!(
            client.as_mut().unwrap().answer(LONG),
            Some((tag + 1, "OK".to_string()))
        );
        client.as_mut().unwrap().send(call(tag + 2, "check", 2000));
        assert_eq!(link.go(LONG), Some(format!("{:016x}", tag + 2)));
    }
    link.says("0000000000000005", "ok");
    assert_eq!(
        client.as_mut().unwrap().answer(LONG),
        Some((5, "OK".to_string()))
    );
    nothing_is_held(&mut p);
}

/// A worker that reads nothing: what has not left the process for it is taken back, and no `halt` follows what never came.
#[test]
fn what_lies_unsent_is_not_sent_for_a_client_that_left() {
    let (mut p, mut link, mut clients) = jam(50, "check", 20_000.0);
    for (i, client) in clients.iter_mut().enumerate() {
        let all: String = (0..EACH)
            .map(|n| cancel((i * EACH + n) as u64 + 1))
            .collect();
        client.send(all);
    }
    until("all are withdrawn", || {
        p.gateway.log().matches(" request abandoned ").count() == ALL
    });
    let out = on_its_way(&p.workers[0]);
    let (mut gone, mut halts) = (0, 0);
    while let Some(line) = link.line(ms(1_500)) {
        gone += usize::from(line.starts_with("go "));
        halts += usize::from(line.starts_with("halt "));
    }
    // What had left by then, and the end of one that had begun.
    assert!(
        gone > 0 && gone <= out / BODY + 1 && gone + 10 < ALL,
        "{gone} of {ALL} came, {out} bytes were out"
    );
    assert_eq!(gone, halts);
    nothing_is_held(&mut p);
}

/// The same worker ends its connection: what never left has provably not run and goes again, also at-most-once; the rest fails.
#[test]
fn what_never_left_has_not_run() {
    let (mut p, link, mut clients) = jam(51, "issue", 20_000.0);
    let mut out = 0;
    until("the system takes no more", || {
        std::thread::sleep(ms(50));
        std::mem::replace(&mut out, on_its_way(&p.workers[0])) == out
    });
    link.reset();
    let (mut again, mut links, mut words) = (0, Vec::new(), Vec::new());
    until("all have their answers", || {
        links.extend(accept(&p.workers[0], ms(1)));
        for link in &mut links {
            while let Some(trace) = link.go(ms(1)) {
                link.says(&trace, "ok");
                again += 1;
            }
        }
        for client in &mut clients {
            while let Some((_, word)) = client.answer(ms(1)) {
                words.push(word);
            }
        }
        words.len() >= ALL
    });
    let count = |word: &str| words.iter().filter(|w| *w == word).count();
    assert!(
        again + out / BODY + 1 >= ALL && again > 10,
        "{again} of {ALL} went again, {out} bytes were out"
    );
    assert_eq!(
        (count("OK"), count("FAILED")),
        (again, ALL - again),
        "{words:?}"
    );
    assert!(again < ALL, "some had left");
    nothing_is_held(&mut p);
}

/// What its socket does not take is over when a connection's time is, long before its client's, and has not run.
#[test]
fn what_cannot_leave_moves_on() {
    let (p, _link, _clients) = jam(52, "issue", 250.0);
    until("they move on", || {
        p.gateway.log().matches("outcome=ConnectFailed").count() > 10
    });
}

const BODY: usize = 16 << 10;
const EACH: usize = 30;
const ALL: usize = 12 * EACH;

/// One connection of a worker that reads nothing, and events of a dozen clients on it: more bytes than the system takes for it.
/// What cannot leave may wait so long.
fn jam(last: u8, typ: &str, within: f64) -> (Platform, Side, Vec<Side>) {
    // Among many gateways a worker's bound is not learned from own launches.
    let settings = SETTINGS.replace("\"siblings\":1", "\"siblings\":8");
    let settings = settings.replace("\"streams-per-conn\":32", "\"streams-per-conn\":900");
    let settings = settings.replace("\"most-held\":200", "\"most-held\":900");
    let settings = settings.replace(
        "\"connect-timeout-ms\":250.0",
        &format!("\"connect-timeout-ms\":{within}"),
    );
    // Nothing is late on a busy machine.
    let settings = settings.replace(
        "\"aim-ms\":500.0,\"deadline-ms\":2000.0",
        "\"aim-ms\":20000.0,\"deadline-ms\":60000.0",
    );
    let p = platform_with(last, 1, &settings, 256);
    narrow(&p.workers[0]);
    let body = "x".repeat(BODY);
    let mut clients: Vec<Side> = (0..ALL / EACH).map(|_| p.client()).collect();
    for tag in 1..=ALL {
        clients[(tag - 1) / EACH].send(call_of(tag as u64, typ, 60_000, "7f3a9c21e0b4d655", &body));
    }
    until("all are launched", || {
        p.gateway.log().matches(" attempt started ").count() >= ALL
    });
    let link = accept(&p.workers[0], LONG).expect("it connects");
    (p, link, clients)
}
