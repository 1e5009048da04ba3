//! Regressions of faults that a review found in the gateway, such as an attempt that is sent too late, an
//! exit with unsent bytes, and state changed by an incomplete frame.
use crate::peers::*;
use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};
use test_case::test_case;
use tidewall::interface::EndpointState;
use tidewall_gateway::endpoints::{
    write_record, BackgroundEndpointCache, EndpointCache, FileEndpointCache, NoEndpointCache,
};
use tidewall_net::{Net, Time};
use tidewall_wire::{kind, Entries, Field, Frame};

fn empty_frame(kind: u64) -> Vec<u8> {
    let mut out = Vec::new();
    Frame::new(&mut out, kind).end();
    out
}

/// The attempt's timer was cancelled at the first part of the response, so a request whose worker then sent
/// nothing stayed in flight for ever.
#[test_case(false; "until its client's deadline")]
#[test_case(true; "until its client abandons it")]
fn a_response_that_stops_half_way_does_not_stay_in_flight(abandons: bool) {
    let mut site = site(&[Behavior::StartsResponse]);
    site.send_requests(1..2, "check", 10_000);
    site.run_for(1_000);
    if abandons {
        let mut out = Vec::new();
        Frame::new(&mut out, kind::LEAVE).whole(Field::Id, 1).end();
        site.send(&out);
    }
    site.run_for(12_000);
    assert_eq!(
        site.client.response_words(1),
        if abandons {
            vec![]
        } else {
            vec!["dead-lettered"]
        }
    );
    let response = site.client.received_of(kind::ANSWER).next();
    assert!(
        response.is_none_or(|frame| frame.received_at <= 1_000 + 10_000 + 10),
        "before its client's deadline"
    );
    site.run_for(30_000);
    assert_eq!(
        (
            site.gateway.requests_in_flight(),
            site.gateway.calls_in_flight()
        ),
        (0, 0)
    );
    // Another request can still be served.
    site.workers[0].behavior = Behavior::Answers;
    site.send_requests(2..3, "check", 10_000);
    site.run_for(11_000);
    assert_eq!(site.client.response_words(2), ["handled"]);
}

/// After a worker's restart, each gateway sent it as many attempts at once as a connection has streams,
/// although the worker had just greeted as a new incarnation that was still warming up.
#[test]
fn calls_that_waited_for_a_greeting_are_not_sent_to_a_restarted_worker() {
    let mut site = site(&[Behavior::Answers, Behavior::Answers]);
    site.send_requests(1..11, "check", 20_000);
    site.run_for(20_000);
    for worker in 0..2 {
        site.restart_worker(worker);
    }
    // The old connections are closed, and new ones are opened for the requests below.
    site.run_for(10);
    site.workers
        .iter_mut()
        .for_each(|w| w.received_frames.clear());
    site.send_requests(11..111, "check", 20_000);
    site.run_for(300);
    assert!(
        site.attempts() <= 2,
        "{} attempts at once on workers that are warming up",
        site.attempts()
    );
    site.run_for(25_000);
    site.assert_all_answered(11..111);
}

/// A cached list of this age. If the clock has jumped, the age may be an hour. A start before the gateway's
/// own clock began counts as that old, so its workers count as warming up from then on.
struct CachedList(Time);

impl EndpointCache for CachedList {
    fn read(&mut self) -> io::Result<Option<(Vec<u8>, Time)>> {
        let young = tidewall_gateway::endpoints::EndpointRecord {
            age: 5_000,
            ..endpoint(0)
        };
        Ok(Some((
            tidewall_gateway::endpoints::encode(&[young]),
            self.0,
        )))
    }
    fn write(&mut self, _: &[u8]) -> io::Result<()> {
        Ok(())
    }
}

#[test_case(5_000; "the clock is right")]
#[test_case(36_000_000; "the clock has jumped by an hour")]
fn a_worker_that_says_that_it_started_just_now_is_warming_up(elapsed: Time) {
    let mut site = site_with(
        &[Behavior::Answers],
        limits(),
        Box::new(CachedList(elapsed)),
    );
    site.discovery.net.kill();
    site.workers[0].age = 10_000;
    site.send_requests(1..101, "check", 20_000);
    site.run_for(300);
    assert!(
        site.attempts() <= 2,
        "{} attempts at once on a worker that is warming up",
        site.attempts()
    );
    site.run_for(25_000);
    site.assert_all_answered(1..101);
}

fn drain_all_workers(site: &mut Site) {
    for endpoint in &mut site.discovery.endpoints {
        endpoint.state = EndpointState::Draining;
    }
    site.discovery.send_list_to_all();
}

/// Attempts that waited for a greeting, or in the write buffer of a worker that reads slowly, were sent
/// seconds after the endpoint list showed the worker as draining.
#[test_case(false; "waiting for a greeting")]
#[test_case(true; "in the write buffer")]
fn nothing_is_sent_to_a_draining_worker_after_the_grace_period(greeted: bool) {
    let limits = GatewayLimits {
        connect_timeout: 60_000,
        streams_per_connection: 10_000,
        ..limits()
    };
    let mut site = site_with(&[Behavior::Nothing], limits, Box::new(NoEndpointCache));
    let mut first = 1;
    if greeted {
        site.send_requests(1..2, "issue", 1_000);
        site.run_for(2_000);
        assert_eq!(site.attempts(), 1);
        first = site.workers[0].attempts();
    }
    site.workers[0].net.still(true);
    let payload = vec![0; 450_000];
    for id in 2..22 {
        let mut out = Vec::new();
        write_request(&mut out, id, "issue", 60_000, &payload);
        site.send(&out);
        site.run_for(1);
    }
    site.run_for(200);
    let sent = if greeted {
        (2 << 20) / payload.len()
    } else {
        0
    };
    drain_all_workers(&mut site);
    site.run_for(25_000);
    site.workers[0].net.still(false);
    site.run_for(80_000);
    let after = site.workers[0]
        .attempts()
        .saturating_sub(first * usize::from(greeted));
    assert!(
        after <= sent,
        "{after} attempts arrived, {sent} were sent in time"
    );
    site.assert_all_answered(2..22);
}

/// A list that was produced before the discovery server noticed reactivated a worker that had itself
/// reported that it is draining.
#[test]
fn a_stale_list_does_not_reactivate_a_draining_worker() {
    let mut site = site(&[Behavior::Answers, Behavior::Answers]);
    site.send_requests(1..11, "check", 20_000);
    site.run_for(20_000);
    site.workers[0].write_to_all(&empty_frame(kind::DRAINS));
    site.run_for(100);
    site.discovery.send_list_to_all();
    site.run_for(30_000);
    site.workers[0].received_frames.clear();
    site.send_requests(11..31, "check", 20_000);
    site.run_for(25_000);
    site.assert_all_answered(11..31);
    assert_eq!(site.workers[0].attempts(), 0);
    // Once the discovery server has listed the worker as draining, its later lists apply again; so does a
    // list with a later incarnation.
    site.discovery.endpoints[0].state = EndpointState::Draining;
    site.discovery.send_list_to_all();
    site.run_for(100);
    site.discovery.endpoints[0].state = EndpointState::Active;
    site.discovery.send_list_to_all();
    site.run_for(100);
    site.send_requests(31..71, "check", 20_000);
    site.run_for(25_000);
    assert!(site.workers[0].attempts() > 0);
}

/// The first records of a list that is malformed in the middle were applied by the worker pool, and by
/// nothing else.
#[test]
fn a_list_that_is_malformed_in_its_middle_changes_nothing() {
    let mut site = site(&[Behavior::Answers]);
    let mut list = Entries::default();
    let moved = tidewall_gateway::endpoints::EndpointRecord {
        address: address("127.0.0.1:999"),
        incarnation: 9,
        ..endpoint(0)
    };
    list.add(|f| write_record(f, &moved));
    list.add(|f| f.text(Field::Name, "w1").text(Field::Place, "nowhere"));
    let mut out = Vec::new();
    Frame::new(&mut out, kind::ROSTER)
        .text(Field::Scope, "patch")
        .entries(&list)
        .end();
    site.discovery.write_to_all(&out);
    site.run_for(100);
    site.send_requests(1..11, "check", 4_000);
    site.run_for(5_000);
    assert!(
        (1..11).all(|id| site.client.response_words(id) == ["handled"]),
        "the previous list stays in use"
    );
    assert_eq!(site.gateway.counters().malformed, 1);
}

/// The process ended as soon as nothing was in flight, with responses still in its write buffers.
#[test_case(true; "clients that resume reading get their responses")]
#[test_case(false; "a client that never reads does not delay the exit for ever")]
fn draining_ends_when_responses_have_been_read(reads: bool) {
    let mut site = site(&[Behavior::AnswersBytes(100_000)]);
    site.pause_client_reading(true);
    site.send_requests(1..31, "check", 15_000);
    site.run_for(3_000);
    assert_eq!(
        (
            site.gateway.requests_in_flight(),
            site.gateway.counters().completed
        ),
        (0, 30)
    );
    site.gateway.drain();
    site.run_for(1_000);
    assert!(!site.gateway_net.dead(), "some responses are still unsent");
    if reads {
        site.pause_client_reading(false);
        site.run_for(1_000);
        site.assert_all_answered(1..31);
    } else {
        site.run_for(60_000);
    }
    assert!(site.gateway_net.dead(), "the gateway has exited");
}

/// All gateways of a site lost the discovery server at the same moment, and kept retrying at the same
/// moments.
#[test]
fn discovery_retries_of_gateways_are_not_synchronised() {
    let sites = (0..20).map(|seed| {
        let mut site = site_seeded(
            &[Behavior::Answers],
            limits(),
            Box::new(NoEndpointCache),
            seed,
        );
        site.discovery.net.kill();
        let mut at: Vec<Time> = Vec::new();
        for tick in 0..4_000 {
            let before = site.gateway.discovery_attempts();
            site.run_for(10);
            at.extend((site.gateway.discovery_attempts() > before).then_some(tick));
        }
        at
    });
    let mut at: Vec<Time> = sites.flatten().collect();
    at.sort_unstable();
    let max_simultaneous = at
        .chunk_by(|a, b| a.abs_diff(*b) == 0)
        .map(<[_]>::len)
        .max()
        .unwrap();
    // All gateways retry simultaneously when the server goes away, but not afterwards.
    assert!(
        at.len() > 100 && max_simultaneous <= 10,
        "{max_simultaneous} of 20 gateways in one millisecond, {} in all",
        at.len()
    );
}

/// From an incomplete answer the gateway may conclude only that the attempt may have been executed.
#[test_case("check", "deferred", 3; "an idempotent request is retried")]
#[test_case("issue", "dead-lettered", 1; "a non-idempotent request is not retried")]
fn an_answer_truncated_at_any_byte_counts_as_possibly_executed(
    class: &str,
    word: &str,
    max_attempts: usize,
) {
    let whole = {
        let mut out = Vec::new();
        let f = Frame::new(&mut out, kind::END)
            .whole(Field::Id, 1 << 32)
            .text(Field::Outcome, "ok");
        f.whole(Field::Copy, 1).end();
        out.len()
    };
    for bytes in 0..whole {
        let mut site = site(&[Behavior::ResetsAfter(bytes), Behavior::ResetsAfter(bytes)]);
        site.send_requests(1..2, class, 20_000);
        site.run_for(25_000);
        site.assert_all_answered(1..2);
        assert!(
            (1..=max_attempts).contains(&site.attempts()),
            "{} attempts",
            site.attempts()
        );
        assert!(
            site.client.response_words(1) == [word],
            "{bytes}: {:?}",
            site.client.response_words(1)
        );
        assert_eq!(
            (
                site.gateway.requests_in_flight(),
                site.gateway.calls_in_flight()
            ),
            (0, 0)
        );
    }
}

/// An incomplete request is not admitted, and the gateway discards it with its connection.
#[test]
fn a_request_truncated_at_any_byte_is_not_admitted() {
    let mut out = Vec::new();
    write_request(&mut out, 1, "check", 20_000, b"payload");
    for bytes in 0..out.len() {
        let mut site = site(&[Behavior::Answers]);
        site.send(&out[..bytes]);
        site.run_for(100);
        site.client.net.kill();
        site.run_for(1_000);
        assert_eq!(
            (
                site.gateway.counters().admitted,
                site.gateway.requests_in_flight(),
                site.attempts()
            ),
            (0, 0, 0)
        );
    }
}

/// No worker has the function or can load it: the client is told early, with Retry-After, and not only when
/// its deadline has passed.
#[test_case("check"; "idempotent")]
#[test_case("record"; "with an idempotency key")]
#[test_case("issue"; "non-idempotent")]
fn a_request_that_no_worker_can_serve_is_rejected_early_by_the_native_ingress(class: &str) {
    let mut site = site(&[]);
    site.send_requests(1..6, class, 20_000);
    let sent_at = site.gateway_net.now();
    site.run_for(1_000);
    site.assert_all_answered(1..6);
    for response in site.client.received_of(kind::ANSWER) {
        assert!(
            response.word == "deferred" && response.retry_after > 0,
            "{response:?}"
        );
        // An eighth of the latency objective, plus one sweep.
        assert!(response.received_at <= sent_at + 625 + 110, "{response:?}");
    }
}

/// A disk that reports what was written, fails a number of times first, and is slow.
struct Disk {
    failures: usize,
    delay: Duration,
    written: Sender<Vec<u8>>,
}

fn disk(failures: usize, delay_ms: u64) -> (Disk, Receiver<Vec<u8>>) {
    let (written, received) = channel();
    (
        Disk {
            failures,
            delay: Duration::from_millis(delay_ms),
            written,
        },
        received,
    )
}

impl EndpointCache for Disk {
    fn read(&mut self) -> io::Result<Option<(Vec<u8>, Time)>> {
        Ok(None)
    }
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        std::thread::sleep(self.delay);
        if self.failures > 0 {
            self.failures -= 1;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.written
            .send(bytes.to_vec())
            .map_err(|_| io::ErrorKind::BrokenPipe.into())
    }
}

/// A write that took seconds stalled the gateway, and requests in flight passed their deadlines.
#[test]
fn a_slow_disk_blocks_no_write_and_has_the_last_list_after_the_drop() {
    let (slow, written) = disk(0, 700);
    let mut cache = BackgroundEndpointCache::new(slow);
    let started_at = Instant::now();
    (0..5u8).for_each(|i| cache.write(&[i]).unwrap());
    assert!(started_at.elapsed() < Duration::from_millis(600));
    drop(cache);
    assert_eq!(written.iter().last(), Some(vec![4]));
}

/// A list that a full disk had rejected was not written when space was available again, until the next
/// change.
#[test]
fn a_disk_that_was_full_gets_the_list_when_it_has_space() {
    let (full, written) = disk(1, 0);
    let mut cache = BackgroundEndpointCache::new(full);
    cache.write(b"list").unwrap();
    assert_eq!(
        written.recv_timeout(Duration::from_secs(10)).unwrap(),
        b"list"
    );
}

/// Two caches whose files differ only in their extension used the same temporary file, and overwrote each
/// other's list.
#[test]
fn cache_files_of_one_stem_do_not_share_a_temporary_file() {
    let folder = tempfile::tempdir().unwrap();
    let at = |name: &str| folder.path().join(name);
    std::fs::create_dir(at("g0.new")).unwrap();
    for name in ["g0.list", "g0.last"] {
        FileEndpointCache(at(name)).write(name.as_bytes()).unwrap();
        assert_eq!(
            FileEndpointCache(at(name)).read().unwrap().unwrap().0,
            name.as_bytes()
        );
    }
}

/// A cached list or a key file that is truncated, damaged or of another format is rejected with a one-line
/// message.
#[test]
fn damaged_files_are_rejected() {
    let whole = tidewall_gateway::endpoints::encode(&[endpoint(0), endpoint(1)]);
    for at in 0..whole.len() {
        let mut flipped = whole.clone();
        flipped[at] ^= 0x41;
        assert!(tidewall_gateway::endpoints::decode(&whole[..at], 0).is_err());
        assert!(
            tidewall_gateway::endpoints::decode(&flipped, 0).is_err(),
            "byte {at}"
        );
    }
    let keys = "# keys\n1 00112233445566778899aabbccddeeff\n";
    assert!(tidewall_gateway::config::parse_keys("f", keys).is_ok());
    for at in 0..keys.len() {
        for odd in ["x", "é", "\n", "\0"] {
            let text = format!("{}{odd}{}", &keys[..at], &keys[at..]);
            if let Err(error) = tidewall_gateway::config::parse_keys("f", &text) {
                let line = error.to_string();
                assert!(line.starts_with("f:") && !line.contains('\n'), "{line}");
            }
        }
    }
}
