//! Arbitrary and mutated frames, with a fixed seed and budget: no panic, memory bounded, every refusal a named
//! reply code.
#![allow(clippy::unwrap_used)]
mod help;

use help::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tidewall_amqp::codec::{BasicProperties, PROTOCOL_HEADER};

/// With TIDEWALL_FUZZ=N so many times the cases, from another seed: for long runs outside CI.
fn runner(cases: u32) -> TestRunner {
    let times = std::env::var("TIDEWALL_FUZZ")
        .ok()
        .and_then(|n| n.parse::<u32>().ok());
    let (cases, seed) = (
        cases * times.unwrap_or(1),
        if times.is_some() { 11 } else { 9 },
    );
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(
        config,
        TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]),
    )
}

/// A life of a connection, as bytes.
fn talk() -> Vec<Vec<u8>> {
    let p = BasicProperties {
        message_id: "m",
        reply_to: "q",
        expiration: "5",
        ..BasicProperties::default()
    };
    vec![
        method(1, 20, 10, |m| m.short_str("")),
        method(1, 85, 10, |m| m.bit(false)),
        method(1, 40, 10, |m| {
            m.short(0)
                .short_str("t")
                .short_str("topic")
                .octet(0)
                .long_str(b"")
        }),
        declare("q", false, false, b""),
        method(1, 50, 20, |m| {
            m.short(0)
                .short_str("q")
                .short_str("t")
                .short_str("a.#")
                .bit(false)
                .long_str(b"")
        }),
        method(1, 60, 10, |m| m.long(0).short(2).bit(false)),
        method(1, 60, 20, |m| {
            m.short(0)
                .short_str("q")
                .short_str("c")
                .octet(0)
                .long_str(b"")
        }),
        publish_on(1, "t", "a.b", &p, b"hello", true),
        publish_on(1, "events", "record.f", &p, b"hello", false),
        method(1, 60, 80, |m| m.long_long(1).bit(true)),
        method(1, 60, 70, |m| m.short(0).short_str("q").bit(false)),
        method(1, 60, 110, |m| m.bit(true)),
        method(1, 60, 30, |m| m.short_str("c").bit(false)),
        method(1, 50, 40, |m| m.short(0).short_str("q").octet(0)),
        method(1, 20, 40, |m| m.short(200).short_str("").long(0)),
    ]
}

/// Codes of section 1.2.
const CODES: [u16; 17] = [
    311, 312, 313, 320, 402, 403, 404, 405, 406, 501, 502, 503, 504, 505, 506, 530, 540,
];

fn named(s: &mut Site) -> bool {
    let told = s.got(1);
    told.iter()
        .filter(|t| t.is(10, 50) || t.is(20, 40))
        .all(|t| CODES.contains(&t.reason().0))
}

#[test]
fn mutated_talks() {
    let change = (0..15usize, any::<prop::sample::Index>(), any::<u8>());
    let all = (prop::collection::vec(change, 1..6), 0..15usize, 0..15usize);
    let done = runner(3_000).run(&all, |(changes, from, to)| {
        let mut frames = talk();
        frames.swap(from, to);
        for (frame, at, byte) in changes {
            let len = frames[frame].len();
            frames[frame][at.index(len)] = byte;
        }
        let mut s = site();
        let conn = s.open(1);
        for f in frames {
            let used = s.send(conn, &f);
            prop_assert!(used <= f.len());
        }
        prop_assert!(named(&mut s));
        prop_assert!(s.server.queued_bytes() < 10_000);
        s.now += 1_000_000;
        s.tick();
        s.server.connection_closed(conn);
        prop_assert_eq!(s.server.connection_count(), 0);
        Ok(())
    });
    done.unwrap();
}

#[test]
fn arbitrary_bytes_before_and_after_the_opening() {
    let all = (
        prop::collection::vec(any::<u8>(), 0..400),
        any::<bool>(),
        1..50usize,
    );
    let done = runner(3_000).run(&all, |(bytes, open, piece)| {
        let mut s = site();
        let conn = if open { s.channel(1) } else { s.raw(1) };
        if !open {
            s.send(conn, &PROTOCOL_HEADER);
        }
        // In pieces, the rest of each coming again with the next, as a net hands them over.
        let mut waiting = Vec::new();
        for part in bytes.chunks(piece) {
            waiting.extend_from_slice(part);
            let used = s.send(conn, &waiting);
            waiting.drain(..used);
        }
        prop_assert!(named(&mut s));
        Ok(())
    });
    done.unwrap();
}
