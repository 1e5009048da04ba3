//! Arbitrary and mutated frames, with a fixed seed and number of cases: the server does not panic, its memory
//! is bounded, and every exception has a reply code of the specification.
#![allow(clippy::unwrap_used)]
mod help;

use help::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tidewall_amqp::codec::{BasicProperties, PROTOCOL_HEADER};

/// TIDEWALL_FUZZ=N multiplies the number of cases by N and selects another seed, for long runs outside CI.
fn runner(cases: u32) -> TestRunner {
    let factor = std::env::var("TIDEWALL_FUZZ")
        .ok()
        .and_then(|text| text.parse::<u32>().ok());
    let (cases, seed) = (
        cases * factor.unwrap_or(1),
        if factor.is_some() { 11 } else { 9 },
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

/// The frames that a client sends over the lifetime of a connection.
fn session() -> Vec<Vec<u8>> {
    let properties = BasicProperties {
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
        declare_frame("q", false, false, b""),
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
        publish_on(1, "t", "a.b", &properties, b"hello", true),
        publish_on(1, "events", "record.f", &properties, b"hello", false),
        method(1, 60, 80, |m| m.long_long(1).bit(true)),
        method(1, 60, 70, |m| m.short(0).short_str("q").bit(false)),
        method(1, 60, 110, |m| m.bit(true)),
        method(1, 60, 30, |m| m.short_str("c").bit(false)),
        method(1, 50, 40, |m| m.short(0).short_str("q").octet(0)),
        method(1, 20, 40, |m| m.short(200).short_str("").long(0)),
    ]
}

/// The reply codes of section 1.2.
const REPLY_CODES: [u16; 17] = [
    311, 312, 313, 320, 402, 403, 404, 405, 406, 501, 502, 503, 504, 505, 506, 530, 540,
];

fn has_known_reply_codes(fixture: &mut Fixture) -> bool {
    let frames = fixture.received_frames(1);
    frames
        .iter()
        .filter(|frame| frame.is(10, 50) || frame.is(20, 40))
        .all(|frame| REPLY_CODES.contains(&frame.reason().0))
}

#[test]
fn mutated_sessions() {
    let mutation = (0..15usize, any::<prop::sample::Index>(), any::<u8>());
    let input = (
        prop::collection::vec(mutation, 1..6),
        0..15usize,
        0..15usize,
    );
    let result = runner(3_000).run(&input, |(mutations, first, second)| {
        let mut sent = session();
        sent.swap(first, second);
        for (number, position, byte) in mutations {
            let len = sent[number].len();
            sent[number][position.index(len)] = byte;
        }
        let mut fixture = new_fixture();
        let connection = fixture.open_connection(1);
        for frame in sent {
            let consumed = fixture.send(connection, &frame);
            prop_assert!(consumed <= frame.len());
        }
        prop_assert!(has_known_reply_codes(&mut fixture));
        prop_assert!(fixture.server.queued_bytes() < 10_000);
        fixture.now += 1_000_000;
        fixture.tick();
        fixture.server.connection_closed(connection);
        prop_assert_eq!(fixture.server.connection_count(), 0);
        Ok(())
    });
    result.unwrap();
}

#[test]
fn arbitrary_bytes_before_and_after_the_opening() {
    let input = (
        prop::collection::vec(any::<u8>(), 0..400),
        any::<bool>(),
        1..50usize,
    );
    let result = runner(3_000).run(&input, |(bytes, open, piece_size)| {
        let mut fixture = new_fixture();
        let connection = if open {
            fixture.open_channel(1)
        } else {
            fixture.accept_connection(1)
        };
        if !open {
            fixture.send(connection, &PROTOCOL_HEADER);
        }
        // The bytes arrive in pieces, and unconsumed bytes are passed again with the next piece, as a network
        // layer does.
        let mut waiting = Vec::new();
        for piece in bytes.chunks(piece_size) {
            waiting.extend_from_slice(piece);
            let consumed = fixture.send(connection, &waiting);
            waiting.drain(..consumed);
        }
        prop_assert!(has_known_reply_codes(&mut fixture));
        Ok(())
    });
    result.unwrap();
}
