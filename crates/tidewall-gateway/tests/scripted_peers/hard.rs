//! Hard cases, each provoked deterministically: whatever peers and network do, each admitted request gets
//! its one response in time and other requests are not affected.
use crate::peers::*;
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
fn requests_are_answered_however_their_bytes_are_split(piece: usize) {
    let mut site = site(&[Behavior::Answers]);
    site.world.borrow_mut().max_segment_size = piece;
    site.send_requests(1..101, "check", 20_000);
    site.run_for(25_000);
    site.assert_all_answered(1..101);
    // The scheduler may reject some of so many simultaneous requests, but none is lost.
    let counts = site.gateway.counters();
    assert!(
        counts.completed > 20 && counts.completed + counts.rejected == 100,
        "{counts:?}"
    );
}

#[test_case("check", "deferred", 1 ; "idempotent")]
#[test_case("issue", "dead-lettered", 1 ; "non-idempotent")]
fn a_late_answer_of_a_worker_does_not_reach_the_client(class: &str, word: &str, attempts: usize) {
    let mut site = site(&[Behavior::AnswersAfter(9_000)]);
    site.send_requests(1..2, class, 5_000);
    site.run_for(20_000);
    site.assert_all_answered(1..2);
    assert_eq!(
        (site.client.response_words(1), site.attempts()),
        (vec![word], attempts)
    );
    let responded_at = site
        .client
        .received_of(kind::ANSWER)
        .next()
        .unwrap()
        .received_at;
    assert!(
        responded_at < 1_000 + 5_000 + 10,
        "before its client's deadline"
    );
    assert_eq!(
        site.gateway.calls_in_flight(),
        0,
        "the late answer ended the call"
    );
}

#[test]
fn an_answer_right_before_a_reset_reaches_the_client() {
    let mut site = site(&[Behavior::AnswersAndResets]);
    site.send_requests(1..2, "issue", 20_000);
    site.run_for(25_000);
    assert_eq!(site.client.response_words(1), ["handled"]);
    assert_eq!(site.attempts(), 1);
    site.assert_all_answered(1..2);
}

/// The client abandons its requests at different moments between attempt and answer, so that cancellation
/// and answer cross on the network.
#[test]
fn a_cancellation_that_crosses_the_answer_leaves_no_call_in_flight() {
    let mut site = site(&[Behavior::AnswersAfter(5)]);
    for id in 1..40 {
        site.send_requests(id..id + 1, "check", 20_000);
        site.run_for(id % 14);
        let mut out = Vec::new();
        Frame::new(&mut out, kind::LEAVE).whole(Field::Id, id).end();
        site.send(&out);
        site.run_for(50);
        assert!(site.client.response_words(id).len() <= 1);
    }
    site.run_for(5_000);
    assert_eq!(
        (
            site.gateway.requests_in_flight(),
            site.gateway.calls_in_flight()
        ),
        (0, 0)
    );
    let counts = site.gateway.counters();
    assert_eq!(counts.abandoned + counts.completed, 39);
    assert!(
        counts.abandoned > 0 && counts.completed > 0,
        "each came first in some runs"
    );
}

#[test]
fn requests_for_a_worker_that_never_reads_are_answered() {
    let mut site = site(&[Behavior::ReadsNothing]);
    site.send_requests(1..200, "issue", 20_000);
    site.run_for(30_000);
    site.assert_all_answered(1..200);
    // A request whose deadline passes while its attempt waits for the connection fails: the scheduler
    // cannot know that nothing was sent.
    let counts = site.gateway.counters();
    assert!(
        counts.rejected > 150 && counts.rejected + counts.failed == 199,
        "{counts:?}"
    );
    assert_eq!(site.attempts(), 0);
}

/// The worker greets, then stops reading. Attempts whose bytes fit into the buffers were sent; the others
/// certainly were not executed.
#[test]
fn attempts_that_a_full_buffer_held_back_are_rejected() {
    let mut site = site(&[Behavior::Nothing]);
    site.send_requests(1..2, "check", 20_000);
    site.run_for(100);
    site.workers[0].net.still(true);
    let payload = vec![0; 100_000];
    for id in 2..100 {
        let mut out = Vec::new();
        write_request(&mut out, id, "issue", 20_000, &payload);
        if id % 10 == 0 {
            site.run_for(10);
        }
        site.send(&out);
    }
    site.run_for(30_000);
    site.assert_all_answered(2..100);
    let rejected = (2..100)
        .filter(|id| site.client.response_words(*id) == ["deferred"])
        .count();
    assert!(
        (1..98).contains(&rejected),
        "{rejected} were proven to be unexecuted"
    );
}

#[test]
fn attempts_that_wait_for_a_refused_connection_are_rejected() {
    let mut site = site(&[Behavior::Answers]);
    site.workers[0].net.kill();
    site.send_requests(1..501, "issue", 20_000);
    site.run_for(30_000);
    site.assert_all_answered(1..501);
    assert_eq!(site.attempts(), 0);
    assert!((1..501).all(|id| site.client.response_words(id) == ["deferred"]));
}

/// Input that is in the sockets when the gateway resumes counts as received in time, and elapsed times
/// across the stall are not counted against workers.
#[test]
fn a_stall_of_the_gateway_is_not_counted_against_workers() {
    let mut site = site(&[Behavior::AnswersAfter(50), Behavior::AnswersAfter(50)]);
    site.send_requests(1..6, "check", 20_000);
    site.run_for(20);
    site.gateway_net.still(true);
    site.run_for(10_000);
    site.gateway_net.still(false);
    site.send_requests(6..11, "check", 20_000);
    site.run_for(25_000);
    site.assert_all_answered(1..11);
    assert!(
        (1..11).all(|id| site.client.response_words(id) == ["handled"]),
        "no worker was ejected because of the stall"
    );
}

/// The first request's remaining time is shorter than the stall, so it may have expired already. The second
/// one's is less than four times the stall, so too little of it is certain: neither a response nor silence
/// would be right for long.
#[test]
fn a_request_that_may_have_waited_past_its_deadline_is_refused() {
    let mut site = site(&[Behavior::Answers]);
    site.gateway_net.still(true);
    site.send_requests(1..2, "check", 3_000);
    site.send_requests(2..3, "check", 12_000);
    site.send_requests(3..4, "check", 19_000);
    site.run_for(4_000);
    site.gateway_net.still(false);
    site.run_for(20_000);
    let words = [
        site.client.response_words(1),
        site.client.response_words(2),
        site.client.response_words(3),
    ];
    assert_eq!(
        words,
        [vec!["turned-away"], vec!["turned-away"], vec!["handled"]]
    );
    assert_eq!(site.gateway.counters().admitted, 1);
}

/// A request with 2 s left that may have been unread for 0.3 s, followed by a second stall that ends 0.1 s
/// after the time that is certain.
fn site_after_two_stalls(abandons: bool) -> Site {
    let mut site = site(&[Behavior::Nothing]);
    site.gateway_net.still(true);
    site.run_for(2_900);
    site.send_requests(1..2, "check", 20_000);
    site.run_for(100);
    site.gateway_net.still(false);
    site.run_for(100);
    assert_eq!(site.gateway.counters().admitted, 1);
    site.gateway_net.still(true);
    site.run_for(17_900);
    if abandons {
        let mut leave = Vec::new();
        Frame::new(&mut leave, kind::LEAVE)
            .whole(Field::Id, 1)
            .end();
        site.send(&leave);
        site.run_for(20);
    }
    site.gateway_net.still(false);
    site.run_for(100);
    site
}

/// Guards against silence while the client still waits: only the client itself can report that it stopped
/// waiting.
#[test]
fn a_request_that_was_unread_is_answered_after_a_second_stall() {
    let site = site_after_two_stalls(false);
    assert_eq!(site.client.response_words(1).len(), 1);
}

/// Guards against a response to a client that reported meanwhile that it abandoned the request.
#[test]
fn a_client_that_abandons_its_request_during_a_stall_is_sent_nothing() {
    let site = site_after_two_stalls(true);
    assert!(site.client.response_words(1).is_empty());
}

#[test]
fn the_last_endpoint_list_stays_in_use_while_discovery_is_unreachable() {
    let mut site = site(&[Behavior::Answers]);
    site.discovery.net.kill();
    for id in 1..61 {
        site.send_requests(id..id + 1, "check", 9_000);
        site.run_for(10_000);
    }
    assert!(
        (1..61).all(|id| site.client.response_words(id) == ["handled"]),
        "the last list stays in use"
    );
}

#[test]
fn nothing_is_sent_to_a_worker_that_greets_by_another_name() {
    let mut site = site(&[Behavior::Answers, Behavior::Answers]);
    site.workers[0].name = "w1".to_string();
    site.workers[1].name = "w0".to_string();
    site.send_requests(1..21, "issue", 5_000);
    site.run_for(10_000);
    assert_eq!(
        site.attempts(),
        0,
        "nothing is sent to a worker that greets with another name"
    );
    site.assert_all_answered(1..21);
    site.discovery.endpoints.swap(0, 1);
    (
        site.discovery.endpoints[0].name,
        site.discovery.endpoints[1].name,
    ) = ("w0".into(), "w1".into());
    site.discovery.endpoints[0].address = endpoint(1).address;
    site.discovery.endpoints[1].address = endpoint(0).address;
    site.discovery.send_list_to_all();
    // Workers that were ejected because of this are tried again within seconds.
    site.run_for(100_000);
    site.send_requests(21..41, "issue", 20_000);
    site.run_for(30_000);
    assert!((21..41).all(|id| site.client.response_words(id) == ["handled"]));
}

#[test_case(&[0xff, 0xff, 0xff, 0xff], "length" ; "a frame of 4 GiB announced")]
#[test_case(&[0, 0, 0, 2, 0xa1, 0], "kind" ; "a frame with a truncated field")]
#[test_case(&[0, 0, 0, 3, 0xa1, 0, 20], "kind: 20" ; "a kind that is not for a gateway")]
fn a_malformed_frame_ends_its_connection_only(bytes: &[u8], reason: &str) {
    let mut site = site(&[Behavior::AnswersAfter(1_000)]);
    let other = site.client.connect();
    site.run_for(100);
    let mut out = Vec::new();
    write_request(&mut out, 1, "check", 20_000, &[]);
    site.client.net.write(other, &out);
    site.run_for(100);
    site.send(bytes);
    site.run_for(20_000);
    let error = site.client.received_of(kind::ERROR).next().unwrap();
    assert!(
        error.word.contains(reason) && error.conn != other,
        "{error:?}"
    );
    assert_eq!(
        (
            site.client.response_words(1),
            site.gateway.counters().malformed
        ),
        (vec!["handled"], 1)
    );
    assert_eq!(site.client.close_reasons, [CloseReason::Ended]);
}

#[test]
fn an_incomplete_frame_delays_only_its_own_connection() {
    let mut site = site(&[Behavior::Answers]);
    let other = site.client.connect();
    site.run_for(100);
    site.send(&[0, 0, 0, 90, 0xa1]);
    let mut out = Vec::new();
    write_request(&mut out, 1, "check", 20_000, &[]);
    site.client.net.write(other, &out);
    site.run_for(100_000);
    assert_eq!(site.client.response_words(1), ["handled"]);
    assert!(site.client.close_reasons.is_empty());
}

#[test]
fn an_id_that_is_in_flight_already_is_refused() {
    let mut site = site(&[Behavior::AnswersAfter(1_000)]);
    site.send_requests(1..2, "check", 20_000);
    site.send_requests(1..2, "check", 20_000);
    site.run_for(20_000);
    let error = site.client.received_of(kind::ERROR).next().unwrap();
    assert!(error.word.contains("field id"));
    assert_eq!(
        (
            site.gateway.requests_in_flight(),
            site.gateway.counters().abandoned
        ),
        (0, 1)
    );
}

#[test_case("check", "handled", 2 ; "an idempotent request is retried on the other worker")]
#[test_case("issue", "dead-lettered", 1 ; "a non-idempotent request is not retried")]
fn an_attempt_lost_with_its_worker_is_retried_where_it_is_idempotent(
    class: &str,
    word: &str,
    attempts: usize,
) {
    let mut site = site(&[Behavior::Nothing, Behavior::Nothing]);
    site.send_requests(1..2, class, 20_000);
    site.run_for(20);
    let busy = site
        .workers
        .iter()
        .position(|worker| worker.attempts() == 1)
        .unwrap();
    site.workers[1 - busy].behavior = Behavior::Answers;
    site.workers[busy].net.kill();
    site.run_for(20_000);
    site.assert_all_answered(1..2);
    assert_eq!(
        (site.client.response_words(1), site.attempts()),
        (vec![word], attempts)
    );
}

/// A kill during a write leaves an incomplete temporary file beside the old file.
#[test]
fn a_kill_while_the_cache_is_written_leaves_the_former_list() {
    let folder = std::env::temp_dir().join(format!("tidewall-list-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let mut cache = FileEndpointCache(folder.join("g0.list"));
    assert!(cache.read().unwrap().is_none());
    let old = encode(&[endpoint(0)]);
    cache.write(&old).unwrap();
    let new = encode(&[endpoint(0), endpoint(1)]);
    for cut in 0..new.len() {
        fs::write(folder.join("g0.list.new"), &new[..cut]).unwrap();
        assert_eq!(cache.read().unwrap().unwrap().0, old);
        assert!(
            decode(&new[..cut], 0).is_err(),
            "a truncated list is not used"
        );
    }
    let mut site = site_with(
        &[Behavior::Answers],
        limits(),
        Box::new(FileEndpointCache(folder.join("g0.list"))),
    );
    site.discovery.net.kill();
    site.send_requests(1..2, "check", 20_000);
    site.run_for(20_000);
    assert_eq!(site.client.response_words(1), ["handled"]);
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn ages_in_a_cached_list_grow_with_the_time_that_passed() {
    let young = tidewall_gateway::endpoints::EndpointRecord {
        age: 100,
        ..endpoint(1)
    };
    let decoded = decode(&encode(&[endpoint(0), young]), 5_000).unwrap();
    assert_eq!((decoded[0].age, decoded[1].age), (0, 5_100));
}

#[test]
fn requests_beyond_the_limit_are_refused() {
    let mut site = site_with(
        &[Behavior::Nothing],
        GatewayLimits {
            max_requests: 10,
            ..limits()
        },
        Box::new(NoEndpointCache),
    );
    site.send_requests(1..16, "check", 20_000);
    site.run_for(100);
    assert_eq!(site.gateway.requests_in_flight(), 10);
    assert!((11..16).all(|id| site.client.response_words(id) == ["turned-away"]));
    site.run_for(30_000);
    site.assert_all_answered(1..16);
}

#[test]
fn a_draining_gateway_answers_what_is_in_flight_and_admits_nothing() {
    let mut site = site(&[Behavior::AnswersAfter(3_000)]);
    site.send_requests(1..6, "issue", 20_000);
    site.run_for(100);
    site.gateway.drain();
    site.send_requests(6..7, "check", 20_000);
    site.run_for(5_000);
    assert!((1..6).all(|id| site.client.response_words(id) == ["handled"]));
    assert_eq!(site.client.response_words(6), ["turned-away"]);
    assert_eq!(site.gateway.requests_in_flight(), 0);
}

#[test]
fn requests_of_a_client_that_leaves_are_abandoned_and_their_attempts_cancelled() {
    let mut site = site(&[Behavior::Nothing]);
    site.send_requests(1..6, "check", 20_000);
    site.run_for(100);
    site.client.net.kill();
    site.run_for(100);
    assert_eq!(
        (
            site.gateway.requests_in_flight(),
            site.gateway.counters().abandoned
        ),
        (0, 5)
    );
    let cancels = site.workers[0].received_of(kind::CANCEL).count();
    assert_eq!(cancels, 5);
}
