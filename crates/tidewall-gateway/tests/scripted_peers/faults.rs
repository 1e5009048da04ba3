//! Faults that the review found in the gateway, each caused again: an attempt that is sent too late, a stop with bytes unsent,
//! state changed by half a frame.
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

fn bare(kind: u64) -> Vec<u8> {
    let mut out = Vec::new();
    Frame::new(&mut out, kind).end();
    out
}

/// The attempt's timer was cancelled with the first part: the request of a worker that then said nothing stayed in flight for ever.
#[test_case(false; "until its client's deadline")]
#[test_case(true; "until its client leaves")]
fn a_response_that_stops_half_way_does_not_stay_in_flight(leaves: bool) {
    let mut site = site(&[Behavior::StartsResponse]);
    site.send_requests(1..2, "check", 10_000);
    site.run_for(1_000);
    if leaves {
        let mut out = Vec::new();
        Frame::new(&mut out, kind::LEAVE).whole(Field::Id, 1).end();
        site.send(&out);
    }
    site.run_for(12_000);
    assert_eq!(
        site.client.response_words(1),
        if leaves {
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
    // A further request finds all slots usable.
    site.workers[0].behavior = Behavior::Answers;
    site.send_requests(2..3, "check", 10_000);
    site.run_for(11_000);
    assert_eq!(site.client.response_words(2), ["handled"]);
}

/// Up to a connection's streams of attempts, from each gateway, were sent to a worker that had just said that it is warming up.
#[test]
fn calls_that_waited_for_a_greeting_are_not_sent_to_a_restarted_worker() {
    let mut site = site(&[Behavior::Answers, Behavior::Answers]);
    site.send_requests(1..11, "check", 20_000);
    site.run_for(20_000);
    for worker in 0..2 {
        site.restart_worker(worker);
    }
    // The former connections are closed; the next ones are opened for these requests.
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

/// A cached list that is so old. By a clock that has jumped it may be an hour: a start before the gateway's own clock began counts
/// as old as that, so its workers are warming up from then on.
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

/// Attempts that waited for a greeting, or in the write buffer of a worker that reads slowly, were sent seconds after the worker
/// was listed as draining.
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
        "{after} attempts came, {sent} had left the gateway in time"
    );
    site.assert_all_answered(2..22);
}

/// A list that was made before the discovery server noticed reactivated a worker that had said itself that it is draining.
#[test]
fn a_stale_list_does_not_reactivate_a_draining_worker() {
    let mut site = site(&[Behavior::Answers, Behavior::Answers]);
    site.send_requests(1..11, "check", 20_000);
    site.run_for(20_000);
    site.workers[0].write_to_all(&bare(kind::DRAINS));
    site.run_for(100);
    site.discovery.send_list_to_all();
    site.run_for(30_000);
    site.workers[0].received_frames.clear();
    site.send_requests(11..31, "check", 20_000);
    site.run_for(25_000);
    site.assert_all_answered(11..31);
    assert_eq!(site.workers[0].attempts(), 0);
    // Once the discovery server has noticed, its list holds; and so does that of another incarnation.
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

/// The first records of a list that is malformed in its middle were taken over by the worker pool, and by nothing else.
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
        "the former list holds"
    );
    assert_eq!(site.gateway.counters().malformed, 1);
}

/// The process ended when nothing was in flight, with responses still in its write buffers.
#[test_case(true; "clients that read on get theirs")]
#[test_case(false; "one that never reads does not delay the end for ever")]
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
    assert!(!site.gateway_net.dead(), "a part of them has not left");
    if reads {
        site.pause_client_reading(false);
        site.run_for(1_000);
        site.assert_all_answered(1..31);
    } else {
        site.run_for(60_000);
    }
    assert!(site.gateway_net.dead(), "it has ended");
}

/// All gateways of a site lost the discovery server at one moment, and retried again and again at the same ones.
#[test]
fn discovery_retries_of_gateways_do_not_line_up() {
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
    let most = at
        .chunk_by(|a, b| a.abs_diff(*b) == 0)
        .map(<[_]>::len)
        .max()
        .unwrap();
    // All retry at once when it goes; not so from then on.
    assert!(
        at.len() > 100 && most <= 10,
        "{most} of 20 gateways in one millisecond, {} in all",
        at.len()
    );
}

/// Nothing follows from a part of an answer but that the attempt may have been executed.
#[test_case("check", "deferred", 3; "an idempotent one is retried")]
#[test_case("issue", "dead-lettered", 1; "a non-idempotent one is not")]
fn an_answer_cut_at_any_byte_counts_as_maybe_executed(
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

/// A part of a request is none, and the gateway forgets it with its connection.
#[test]
fn a_request_cut_at_any_byte_is_not_admitted() {
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

/// No worker has or can load the function: the client hears that at once, with Retry-After, not when its deadline has passed.
#[test_case("check"; "idempotent")]
#[test_case("record"; "with an idempotency key")]
#[test_case("issue"; "non-idempotent")]
fn a_request_without_hope_is_rejected_early_by_the_native_ingress(class: &str) {
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
        // An eighth of the latency objective, and a sweep.
        assert!(response.received_at <= sent_at + 625 + 110, "{response:?}");
    }
}

/// A disk that passes on what it wrote, fails at first, and takes its time.
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

/// A write that took seconds stalled the gateway, and requests in flight passed their deadlines meanwhile.
#[test]
fn a_slow_disk_delays_nobody_and_has_the_last_list_at_the_end() {
    let (slow, written) = disk(0, 700);
    let mut cache = BackgroundEndpointCache::new(slow);
    let started_at = Instant::now();
    (0..5u8).for_each(|i| cache.write(&[i]).unwrap());
    assert!(started_at.elapsed() < Duration::from_millis(600));
    drop(cache);
    assert_eq!(written.iter().last(), Some(vec![4]));
}

/// A list that a full disk did not take was not written when space came back, until the next change.
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

/// Both used the same temporary file, and took each other's list.
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

/// A cached list, or a key file, that is cut, damaged or foreign is not used; a line says why.
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
