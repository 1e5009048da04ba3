//! Workers and lists that end, on the platform: what has provably not run goes on, what may have run goes by its type, and
//! nothing leaves for a worker after it was told to be gone. Each crossing is forced.
mod help;

use help::*;
use std::time::Duration;
use test_case::{test_case, test_matrix};

/// How a launch's connection ends, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ends {
    Fin,
    Reset,
}

fn end(link: Side, how: Ends) {
    match how {
        Ends::Fin => drop(link),
        Ends::Reset => link.reset(),
    }
}

/// Serves what comes on any connection of the workers until the client has its word.
fn serve(p: &Platform, client: &mut Side, links: &mut Vec<Side>) -> (String, usize) {
    let mut launches = 0;
    for _ in 0..400 {
        links.extend(p.workers.iter().filter_map(|w| accept(w, ms(1))));
        for link in links.iter_mut() {
            if let Some(trace) = link.go(ms(1)) {
                launches += 1;
                link.says(&trace, "ok");
            }
        }
        if let Some((_, word)) = client.answer(ms(5)) {
            return (word, launches);
        }
    }
    panic!("no answer: {}", p.gateway.log());
}

/// The worker ends the connection at once when it comes up, before the first byte of a launch has left: not run. The gateway
/// stands still meanwhile, so that the end lies there when it goes on.
#[test_case("check", Ends::Fin, 60)]
#[test_case("record", Ends::Reset, 61)]
#[test_case("issue", Ends::Reset, 62)]
#[test_case("issue", Ends::Fin, 63)]
fn an_end_before_the_first_byte(typ: &str, how: Ends, last: u8) {
    let p = platform(last, 2);
    let mut client = p.client();
    // An idle connection, which is what the next launch would ride on.
    let mut link = p.launched(&mut client, 1, "check");
    link.says("0000000000000001", "ok");
    assert_eq!(client.answer(LONG), Some((1, "OK".to_string())));
    p.gateway.still(true);
    // It waits for long: one that lay unread for a quarter of its time would be refused.
    client.send(call(2, typ, 20_000));
    end(link, how);
    // A busy machine's system delivers it some milliseconds later, and its table may lack rows while others come and go.
    let mut absences = 0;
    until("the end has arrived", || {
        let standing = p.workers.iter().map(standing).sum::<usize>();
        absences = if standing == 0 { absences + 1 } else { 0 };
        absences == 5
    });
    p.gateway.still(false);
    let (word, launches) = serve(&p, &mut client, &mut Vec::new());
    assert_eq!((word.as_str(), launches), ("OK", 1), "{}", p.gateway.log());
}

/// After the last byte it may have run: redeliverable and keyed ones go again, at-most-once fails.
#[test_case("check", Ends::Fin, true, 64)]
#[test_case("check", Ends::Reset, true, 65)]
#[test_case("record", Ends::Reset, true, 66)]
#[test_case("issue", Ends::Fin, false, 67)]
#[test_case("issue", Ends::Reset, false, 68)]
fn an_end_after_the_last_byte(typ: &str, how: Ends, again: bool, last: u8) {
    let p = platform(last, 2);
    let mut client = p.client();
    let link = p.launched(&mut client, 1, typ);
    end(link, how);
    let (word, launches) = serve(&p, &mut client, &mut Vec::new());
    assert_eq!(
        (word.as_str(), launches),
        if again { ("OK", 1) } else { ("FAILED", 0) }
    );
}

/// In the middle of an answer, or with one that is spoilt.
#[test_matrix(["check", "record", "issue"], ["ok res=hit 10\r\nhal", "ok res=hit 2\r\nyes\r\n", "ok res=hi"])]
fn an_answer_that_is_cut_or_spoilt(typ: &str, says: &str) {
    let last = 70
        + says.len() as u8
        + ["check", "record", "issue"]
            .iter()
            .position(|t| *t == typ)
            .unwrap() as u8;
    let p = platform(last, 2);
    let mut client = p.client();
    let mut link = p.launched(&mut client, 1, typ);
    link.send(format!("0000000000000001 {says}"));
    link.reset();
    let (word, launches) = serve(&p, &mut client, &mut Vec::new());
    assert_eq!(
        (word.as_str(), launches),
        if typ == "issue" {
            ("FAILED", 0)
        } else {
            ("OK", 1)
        }
    );
    assert_eq!(client.answer(ms(50)), None);
}

/// A second copy of a good answer some milliseconds later, and an answer of one that was given up: dropped, and the connection
/// goes on.
#[test_case("check")]
#[test_case("issue")]
fn an_answer_that_comes_twice_or_late(typ: &str) {
    let p = platform(if typ == "check" { 95 } else { 96 }, 1);
    let mut client = p.client();
    let mut link = p.launched(&mut client, 1, typ);
    for tag in 1..5u64 {
        let trace = format!("{tag:016x}");
        link.says(&trace, "ok");
        assert_eq!(client.answer(LONG), Some((tag, "OK".to_string())));
        std::thread::sleep(ms(4));
        link.says(&trace, "ok");
        link.says("00000000000000aa", "ok");
        client.send(call(tag + 1, typ, 2000));
        assert_eq!(link.go(LONG), Some(format!("{:016x}", tag + 1)));
    }
    client.send(cancel(5));
    assert!(link.halted("0000000000000005", LONG));
    link.says("0000000000000005", "ok");
    client.send(call(6, typ, 2000));
    assert_eq!(link.go(LONG), Some("0000000000000006".to_string()));
    link.says("0000000000000006", "ok");
    assert_eq!(client.answer(LONG), Some((6, "OK".to_string())));
}

/// The window of "record" is 600 ms from its first launch, and what leaves may leave 250 ms after it is decided: a break after
/// 400 ms comes too late for another launch, one after 50 ms does not; a miss proves that nothing ran, whenever it comes. (With two workers one more launch would go beside a late one.)
#[test_case(50, "reset", true, 100)]
#[test_case(400, "reset", false, 101)]
#[test_case(700, "reset", false, 102)]
#[test_case(700, "nothing", true, 103)]
fn a_short_window_of_repeats(after: u64, how: &str, again: bool, last: u8) {
    let p = platform(last, if how == "reset" { 1 } else { 2 });
    let mut client = p.client();
    let mut link = p.launched(&mut client, 1, "record");
    std::thread::sleep(ms(after));
    let mut links = Vec::new();
    match how {
        "reset" => link.reset(),
        word => {
            link.send(format!("0000000000000001 {word} - 0\r\n\r\n"));
            links.push(link);
        }
    }
    let (word, launches) = serve(&p, &mut client, &mut links);
    assert_eq!(
        (word.as_str(), launches),
        if again { ("OK", 1) } else { ("FAILED", 0) }
    );
}

/// A connection that comes up a second late brings what still waits for it, once; one that never comes up within its time
/// leaves the event to the other worker, and nothing old is written when its system answers after all.
#[test_matrix(["check", "record", "issue"], [1_900.0, 250.0])]
fn a_connection_that_comes_up_late(typ: &str, within: f64) {
    let last = 110
        + 2 * ["check", "record", "issue"]
            .iter()
            .position(|t| *t == typ)
            .unwrap() as u8;
    let settings = SETTINGS.replace(
        "\"connect-timeout-ms\":250.0",
        &format!("\"connect-timeout-ms\":{within}"),
    );
    let p = platform_with(last + u8::from(within < 300.0), 2, &settings, 256);
    let fillers = p.workers.iter().map(filled).collect::<Vec<_>>();
    let mut client = p.client();
    client.send(call(1, typ, 4000));
    until("it is launched", || {
        p.gateway.log().contains(" attempt started ")
    });
    drop(fillers);
    let (mut launches, mut links) = (0, Vec::new());
    let until = std::time::Instant::now() + ms(2_500);
    while std::time::Instant::now() < until {
        links.extend(p.workers.iter().filter_map(|w| accept(w, ms(1))));
        for link in &mut links {
            if let Some(trace) = link.go(ms(1)) {
                launches += 1;
                link.says(&trace, "ok");
            }
        }
    }
    assert_eq!(
        client.answer(LONG),
        Some((1, "OK".to_string())),
        "{}",
        p.gateway.log()
    );
    // Redeliverable ones may be out twice here, once overdue.
    assert!(
        launches == 1 || typ != "issue" && launches == 2,
        "{launches}"
    );
}

/// What a list did when it ended, told, moved or fell silent, with a drain told just then: nothing more goes to the worker.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Watch {
    Stands,
    Silent,
    Cut,
    Moves,
    Repeats,
    Skips,
}

const SILENT: Duration = ms(2_500);

#[test_case(Watch::Stands, 120)]
#[test_case(Watch::Silent, 121)]
#[test_case(Watch::Cut, 122)]
#[test_case(Watch::Moves, 123)]
#[test_case(Watch::Repeats, 124)]
#[test_case(Watch::Skips, 125)]
fn a_drain_told_as_the_watch_ends(watch: Watch, last: u8) {
    let p = platform(last, 2);
    let at: Vec<_> = p.workers.iter().map(|w| w.local_addr().unwrap()).collect();
    let mut poll = accept(&p.board, LONG).unwrap();
    assert_eq!(poll.poll(LONG), Some(1));
    let drain = |rev| notice(rev, &hosts(0, &at[..1], "draining"), false);
    let told = board_says(2, &[drain(2)]);
    let mut other = None;
    let mut next = match watch {
        Watch::Stands => {
            poll.send(&told);
            poll
        }
        Watch::Silent => {
            let mut next = accept(&p.board, SILENT).expect("it asks on a fresh connection");
            assert_eq!(next.poll(LONG), Some(1));
            next.send(&told);
            // The old one's word comes late: it is nobody's any more.
            poll.send(board_says(2, &[notice(2, &hosts(0, &at, "removed"), true)]));
            next
        }
        Watch::Cut => {
            poll.send(&told[..told.len() - 9]);
            poll.reset();
            let mut next = accept(&p.board, SILENT).expect("it asks again");
            assert_eq!(next.poll(LONG), Some(1), "nothing of what was cut is taken");
            next.send(&told);
            next
        }
        Watch::Moves => {
            let board = free(last);
            p.moved(&board);
            let mut next = accept(&board, LONG).expect("it asks there");
            assert_eq!(next.poll(LONG), Some(1));
            poll.send(board_says(2, &[notice(2, &hosts(0, &at, "removed"), true)]));
            next.send(&told);
            other = Some(board);
            next
        }
        Watch::Repeats => {
            poll.send(board_says(1, &[notice(1, &hosts(0, &at, "up"), true)]));
            assert_eq!(poll.poll(LONG), Some(1));
            poll.send(&told);
            assert_eq!(poll.poll(LONG), Some(2));
            poll.send(&told);
            poll
        }
        Watch::Skips => {
            poll.send(board_says(
                4,
                &[notice(4, &hosts(1, &at[1..], "up"), false)],
            ));
            assert_eq!(poll.poll(LONG), Some(0), "what lies between is asked for");
            let whole = notice(1, &hosts(0, &at, "up"), true);
            poll.send(board_says(2, &[whole, drain(2)]));
            poll
        }
    };
    assert_eq!(next.poll(LONG), Some(2));
    let mut client = p.client();
    for tag in 1..20 {
        client.send(call(tag, "check", 2000));
    }
    assert!(
        accept(&p.workers[0], ms(200)).is_none(),
        "it was told to drain"
    );
    let mut link = accept(&p.workers[1], LONG).expect("the other one serves");
    for _ in 1..20 {
        if let Some(trace) = link.go(ms(300)) {
            link.says(&trace, "ok");
        }
    }
    assert!(client.answer(LONG).is_some());
    assert!(accept(&p.workers[0], ms(50)).is_none());
    drop(other);
}

/// A new worker at an old one's address: what is for it goes by a connection of its own, and what waited for the old one does
/// not go to it as if it were the old one's.
#[test]
fn a_new_worker_at_an_old_address() {
    let p = platform(126, 1);
    let at = [p.workers[0].local_addr().unwrap()];
    let mut poll = accept(&p.board, LONG).unwrap();
    assert_eq!(poll.poll(LONG), Some(1));
    let mut client = p.client();
    let mut old = p.launched(&mut client, 1, "issue");
    let changes = [
        notice(2, &hosts(0, &at, "removed"), false),
        notice(3, &hosts(7, &at, "up"), false),
    ];
    poll.send(board_says(3, &changes));
    assert_eq!(poll.poll(LONG), Some(3));
    client.send(call(2, "check", 2000));
    let mut new = accept(&p.workers[0], LONG).expect("a connection of its own");
    assert_eq!(new.go(LONG).as_deref(), Some("0000000000000002"));
    new.says("0000000000000002", "ok");
    old.says("0000000000000001", "ok");
    let mut answers = [client.answer(LONG), client.answer(LONG)];
    answers.sort();
    assert_eq!(answers, [1, 2].map(|tag| Some((tag, "OK".to_string()))));
}

/// A new version on a quiet day: its id was never seen, no copy stands. Its first events cost a miss at most each, the order goes
/// out, and they are handled when it stands; the old version is served all the while.
#[test]
fn a_new_version_on_a_quiet_day() {
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
        // The release comes after the fifth.
        let function = if tag > 5 && tag % 2 == 0 { new } else { old };
        client.send(call_of(tag, "check", 2000, function, "body"));
        let end = std::time::Instant::now() + LONG;
        loop {
            links.extend(accept(&p.workers[0], ms(1)));
            for link in &mut links {
                let Some(line) = link.line(ms(1)) else {
                    continue;
                };
                let of = line
                    .split("obj=")
                    .nth(1)
                    .map_or("", |o| &o[..16])
                    .to_string();
                let name = line.split(' ').nth(1).unwrap_or_default();
                match line.split(' ').next().unwrap_or_default() {
                    "go" if loaded.contains(&of) => link.says(name, "ok"),
                    "go" => {
                        misses += 1;
                        link.send(format!("{name} nothing - 0\r\n\r\n"));
                    }
                    "stage" => {
                        // An order loads at once, an ask changes nothing.
                        if !line.contains("copies=0") && !loaded.contains(&of) {
                            loaded.push(of.clone());
                        }
                        let copies = usize::from(loaded.contains(&of));
                        link.send(format!("{name} ok copies={copies} 0\r\n\r\n"));
                    }
                    _ => {}
                }
            }
            if let Some((_, word)) = client.answer(ms(1)) {
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
