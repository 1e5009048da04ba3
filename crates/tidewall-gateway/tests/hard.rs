//! Hard cases, each caused: whatever peers and network do, each event taken gets its one answer in time and
//! nobody else notices.
mod help;

use help::*;
use std::fs;
use test_case::test_case;
use tidewall_gateway::endpoints::{
    decode, encode, EndpointCache, FileEndpointCache, NoEndpointCache,
};
use tidewall_net::{CloseReason, Net};
use tidewall_wire::{kind, Field, Frame};

#[test_case(1 ; "one byte at a time")]
#[test_case(0 ; "a hundred frames in one read")]
#[test_case(7 ; "in odd pieces")]
fn bytes_come_as_they_like(piece: usize) {
    let mut s = site(&[Does::Answers]);
    s.world.borrow_mut().piece = piece;
    s.ask(1..101, "check", 20_000);
    s.pass(25_000);
    s.all_answered(1..101);
    // The decisions may defer some of so many at once; none is lost on the way.
    let counts = s.gateway.counters();
    assert!(
        counts.completed > 20 && counts.completed + counts.rejected == 100,
        "{counts:?}"
    );
}

#[test_case("check", "deferred", 1 ; "redeliverable")]
#[test_case("issue", "dead-lettered", 1 ; "at most once")]
fn a_worker_answers_after_the_event_was_given_up(typ: &str, word: &str, launches: usize) {
    let mut s = site(&[Does::After(9_000)]);
    s.ask(1..2, typ, 5_000);
    s.pass(20_000);
    s.all_answered(1..2);
    assert_eq!((s.client.words(1), s.launches()), (vec![word], launches));
    let told = s
        .client
        .got
        .iter()
        .find(|g| g.kind == kind::ANSWER)
        .unwrap()
        .at;
    assert!(told < 1_000 + 5_000 + 10, "before its client gives up");
    assert_eq!(
        s.gateway.calls_in_flight(),
        0,
        "the late end was taken off the books"
    );
}

#[test]
fn an_answer_and_a_reset_in_the_same_wake_up() {
    let mut s = site(&[Does::AnswersAndBreaks]);
    s.ask(1..2, "issue", 20_000);
    s.pass(25_000);
    assert_eq!(s.client.words(1), ["handled"]);
    assert_eq!(s.launches(), 1);
    s.all_answered(1..2);
}

/// Clients leave at every moment between launch and answer, so that cancel and end cross on the way.
#[test]
fn a_cancel_crosses_the_answer() {
    let mut s = site(&[Does::After(5)]);
    for id in 1..40 {
        s.ask(id..id + 1, "check", 20_000);
        s.pass(id % 14);
        let mut out = Vec::new();
        Frame::new(&mut out, kind::LEAVE).whole(Field::Id, id).end();
        s.send(&out);
        s.pass(50);
        assert!(s.client.words(id).len() <= 1);
    }
    s.pass(5_000);
    assert_eq!(
        (s.gateway.requests_in_flight(), s.gateway.calls_in_flight()),
        (0, 0)
    );
    let counts = s.gateway.counters();
    assert_eq!(counts.abandoned + counts.completed, 39);
    assert!(
        counts.abandoned > 0 && counts.completed > 0,
        "both came first at times"
    );
}

#[test]
fn a_worker_accepts_and_never_reads() {
    let mut s = site(&[Does::ReadsNothing]);
    s.ask(1..200, "issue", 20_000);
    s.pass(30_000);
    s.all_answered(1..200);
    // One whose time ends while its launch waits for the connection is dead-lettered: the decisions cannot
    // know that nothing was sent.
    let counts = s.gateway.counters();
    assert!(
        counts.rejected > 150 && counts.rejected + counts.failed == 199,
        "{counts:?}"
    );
    assert_eq!(s.launches(), 0);
}

/// It greets, then stops reading: the bytes that fit were sent, the rest proves not run.
#[test]
fn a_worker_stops_reading_and_its_buffer_fills() {
    let mut s = site(&[Does::Nothing]);
    s.ask(1..2, "check", 20_000);
    s.pass(100);
    s.workers[0].net.still(true);
    let payload = vec![0; 100_000];
    for id in 2..100 {
        let mut out = Vec::new();
        event(&mut out, id, "issue", 20_000, &payload);
        if id % 10 == 0 {
            s.pass(10);
        }
        s.send(&out);
    }
    s.pass(30_000);
    s.all_answered(2..100);
    let deferred = (2..100)
        .filter(|id| s.client.words(*id) == ["deferred"])
        .count();
    assert!(
        (1..98).contains(&deferred),
        "{deferred} were proven not run"
    );
}

#[test]
fn a_connection_is_refused_while_500_launches_wait_for_it() {
    let mut s = site(&[Does::Answers]);
    s.workers[0].net.kill();
    s.ask(1..501, "issue", 20_000);
    s.pass(30_000);
    s.all_answered(1..501);
    assert_eq!(s.launches(), 0);
    assert!((1..501).all(|id| s.client.words(id) == ["deferred"]));
}

/// What lies in the sockets when it goes on counts as come in time; own times across it are no evidence.
#[test]
fn the_gateway_stands_still_for_a_second() {
    let mut s = site(&[Does::After(50), Does::After(50)]);
    s.ask(1..6, "check", 20_000);
    s.pass(20);
    s.hand.still(true);
    s.pass(10_000);
    s.hand.still(false);
    s.ask(6..11, "check", 20_000);
    s.pass(25_000);
    s.all_answered(1..11);
    assert!(
        (1..11).all(|id| s.client.words(id) == ["handled"]),
        "no worker was left out for it"
    );
}

/// Left over: less than it stood still, so it may be over already; or so little more that neither an answer nor silence would be
/// right for long.
#[test]
fn an_event_that_may_have_waited_past_its_time_is_not_taken() {
    let mut s = site(&[Does::Answers]);
    s.hand.still(true);
    s.ask(1..2, "check", 3_000);
    s.ask(2..3, "check", 12_000);
    s.ask(3..4, "check", 19_000);
    s.pass(4_000);
    s.hand.still(false);
    s.pass(20_000);
    let words = [s.client.words(1), s.client.words(2), s.client.words(3)];
    assert_eq!(
        words,
        [vec!["turned-away"], vec!["turned-away"], vec!["handled"]]
    );
    assert_eq!(s.gateway.counters().admitted, 1);
}

#[test]
fn the_roster_is_gone_for_a_minute() {
    let mut s = site(&[Does::Answers]);
    s.roster.net.kill();
    for id in 1..61 {
        s.ask(id..id + 1, "check", 9_000);
        s.pass(10_000);
    }
    assert!(
        (1..61).all(|id| s.client.words(id) == ["handled"]),
        "the last list holds"
    );
}

#[test]
fn two_workers_swap_addresses() {
    let mut s = site(&[Does::Answers, Does::Answers]);
    s.workers[0].name = "w1".to_string();
    s.workers[1].name = "w0".to_string();
    s.ask(1..21, "issue", 5_000);
    s.pass(10_000);
    assert_eq!(
        s.launches(),
        0,
        "nothing is sent to one that answers by another name"
    );
    s.all_answered(1..21);
    s.roster.entries.swap(0, 1);
    (s.roster.entries[0].name, s.roster.entries[1].name) = ("w0".into(), "w1".into());
    s.roster.entries[0].address = entry(1).address;
    s.roster.entries[1].address = entry(0).address;
    s.roster.tell_all();
    // Those that were left out for it come back on trial within seconds.
    s.pass(100_000);
    s.ask(21..41, "issue", 20_000);
    s.pass(30_000);
    assert!((21..41).all(|id| s.client.words(id) == ["handled"]));
}

#[test_case(&[0xff, 0xff, 0xff, 0xff], "length" ; "a frame of 4 GiB announced")]
#[test_case(&[0, 0, 0, 2, 0xa1, 0], "kind" ; "a frame cut short within")]
#[test_case(&[0, 0, 0, 3, 0xa1, 0, 20], "kind: 20" ; "a kind that is not for a gateway")]
fn a_malformed_frame_ends_its_connection_only(bytes: &[u8], names: &str) {
    let mut s = site(&[Does::After(1_000)]);
    let other = s.client.connect();
    s.pass(100);
    let mut out = Vec::new();
    event(&mut out, 1, "check", 20_000, &[]);
    s.client.net.write(other, &out);
    s.pass(100);
    s.send(bytes);
    s.pass(20_000);
    let error = s.client.got.iter().find(|g| g.kind == kind::ERROR).unwrap();
    assert!(
        error.word.contains(names) && error.conn != other,
        "{error:?}"
    );
    assert_eq!(
        (s.client.words(1), s.gateway.counters().malformed),
        (vec!["handled"], 1)
    );
    assert_eq!(s.client.over, [CloseReason::Ended]);
}

#[test]
fn half_a_frame_and_then_silence() {
    let mut s = site(&[Does::Answers]);
    let other = s.client.connect();
    s.pass(100);
    s.send(&[0, 0, 0, 90, 0xa1]);
    let mut out = Vec::new();
    event(&mut out, 1, "check", 20_000, &[]);
    s.client.net.write(other, &out);
    s.pass(100_000);
    assert_eq!(s.client.words(1), ["handled"]);
    assert!(s.client.over.is_empty());
}

#[test]
fn an_id_that_is_in_hand_already_is_refused() {
    let mut s = site(&[Does::After(1_000)]);
    s.ask(1..2, "check", 20_000);
    s.ask(1..2, "check", 20_000);
    s.pass(20_000);
    let error = s.client.got.iter().find(|g| g.kind == kind::ERROR).unwrap();
    assert!(error.word.contains("field id"));
    assert_eq!(
        (
            s.gateway.requests_in_flight(),
            s.gateway.counters().abandoned
        ),
        (0, 1)
    );
}

#[test_case("check", "handled", 2 ; "redeliverable goes to the other")]
#[test_case("issue", "dead-lettered", 1 ; "at most once does not")]
fn a_worker_restarts_between_launch_and_answer(typ: &str, word: &str, launches: usize) {
    let mut s = site(&[Does::Nothing, Does::Nothing]);
    s.ask(1..2, typ, 20_000);
    s.pass(20);
    let hit = s.workers.iter().position(|w| w.launches() == 1).unwrap();
    s.workers[1 - hit].does = Does::Answers;
    s.workers[hit].net.kill();
    s.pass(20_000);
    s.all_answered(1..2);
    assert_eq!((s.client.words(1), s.launches()), (vec![word], launches));
}

/// A kill in the middle of writing leaves half a file beside the old one.
#[test]
fn a_kill_in_the_middle_of_writing_the_last_list() {
    let folder = std::env::temp_dir().join(format!("tidewall-list-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let mut shelf = FileEndpointCache(folder.join("g0.list"));
    assert!(shelf.read().unwrap().is_none());
    let old = encode(&[entry(0)]);
    shelf.write(&old).unwrap();
    let new = encode(&[entry(0), entry(1)]);
    for cut in 0..new.len() {
        fs::write(folder.join("g0.list.new"), &new[..cut]).unwrap();
        assert_eq!(shelf.read().unwrap().unwrap().0, old);
        assert!(decode(&new[..cut], 0).is_err(), "a torn list is not used");
    }
    let mut s = site_with(
        &[Does::Answers],
        setup(),
        Box::new(FileEndpointCache(folder.join("g0.list"))),
    );
    s.roster.net.kill();
    s.ask(1..2, "check", 20_000);
    s.pass(20_000);
    assert_eq!(s.client.words(1), ["handled"]);
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_list_that_is_kept_ages_with_the_time_that_passed() {
    let young = tidewall_gateway::endpoints::EndpointRecord {
        age: 100,
        ..entry(1)
    };
    let back = decode(&encode(&[entry(0), young]), 5_000).unwrap();
    assert_eq!((back[0].age, back[1].age), (0, 5_100));
}

#[test]
fn beyond_what_is_held_an_event_is_turned_away() {
    let mut s = site_with(
        &[Does::Nothing],
        help::GatewayLimits {
            max_requests: 10,
            ..setup()
        },
        Box::new(NoEndpointCache),
    );
    s.ask(1..16, "check", 20_000);
    s.pass(100);
    assert_eq!(s.gateway.requests_in_flight(), 10);
    assert!((11..16).all(|id| s.client.words(id) == ["turned-away"]));
    s.pass(30_000);
    s.all_answered(1..16);
}

#[test]
fn told_to_stop_it_answers_what_it_holds_and_takes_nothing_new() {
    let mut s = site(&[Does::After(3_000)]);
    s.ask(1..6, "issue", 20_000);
    s.pass(100);
    s.gateway.drain();
    s.ask(6..7, "check", 20_000);
    s.pass(5_000);
    assert!((1..6).all(|id| s.client.words(id) == ["handled"]));
    assert_eq!(s.client.words(6), ["turned-away"]);
    assert_eq!(s.gateway.requests_in_flight(), 0);
}

#[test]
fn a_client_that_goes_away_is_lapsed_and_its_launches_are_called_off() {
    let mut s = site(&[Does::Nothing]);
    s.ask(1..6, "check", 20_000);
    s.pass(100);
    s.client.net.kill();
    s.pass(100);
    assert_eq!(
        (
            s.gateway.requests_in_flight(),
            s.gateway.counters().abandoned
        ),
        (0, 5)
    );
    let cancels = s.workers[0]
        .got
        .iter()
        .filter(|g| g.kind == kind::CANCEL)
        .count();
    assert_eq!(cancels, 5);
}
