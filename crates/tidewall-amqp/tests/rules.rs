//! The specification's rules, each named after its section, and the hard cases.
#![allow(clippy::unwrap_used)]
mod help;

use help::*;
use test_case::test_case;
use tidewall_amqp::codec::{
    self, ArgumentReader, BasicProperties, FieldTable, FieldValue, TableWriter, PROTOCOL_HEADER,
};
use tidewall_amqp::server::Disposition;

#[test_case(b"AMQP\x00\x00\x09\x01", false ; "ours")]
#[test_case(b"AMQP\x01\x01\x08\x00", true ; "another version")]
#[test_case(b"GET / HTTP/1.1\r\n", true ; "another protocol")]
fn section_4_2_2_protocol_header(bytes: &[u8], refused: bool) {
    let mut s = site();
    let conn = s.raw(1);
    s.send(conn, bytes);
    assert_eq!(s.world.closed == [1], refused);
    assert_eq!(s.world.out[&1].starts_with(&PROTOCOL_HEADER), refused);
}

#[test]
fn section_4_2_2_protocol_header_byte_by_byte() {
    let mut s = site();
    let conn = s.raw(1);
    for i in 0..8 {
        assert_eq!(s.send(conn, &PROTOCOL_HEADER[..i]), 0);
    }
    assert_eq!(s.send(conn, &PROTOCOL_HEADER), 8);
    assert!(s.got(1)[0].is(10, 10));
}

#[test_case(vec![9, 0, 0, 0, 0, 0, 0, 0xce], 501 ; "section 4.2.3 unknown frame type")]
#[test_case(vec![1, 0, 0, 0, 0, 0, 1, 0, 0], 501 ; "section 4.2.3 wrong frame end")]
#[test_case(vec![1, 0, 0, 0xff, 0xff, 0xff, 0xff], 501 ; "section 4.2.3 larger than negotiated")]
#[test_case(vec![8, 0, 1, 0, 0, 0, 0, 0xce], 501 ; "section 4.2.7 heartbeat on a channel")]
#[test_case(method(9, 60, 10, |m| m), 504 ; "section 4.2.3 channel not open")]
#[test_case(method(1, 20, 10, |m| m.short_str("")), 504 ; "class channel open twice")]
#[test_case(method(200, 20, 10, |m| m.short_str("")), 504 ; "class channel beyond channel-max")]
#[test_case(method(1, 10, 50, |m| m), 503 ; "section 4.2.3 connection method on a channel")]
#[test_case(method(1, 99, 1, |m| m), 503 ; "unknown class")]
#[test_case(method(1, 60, 10, |m| m.long(0)), 502 ; "section 4.2.4 arguments too short")]
#[test_case(method(1, 90, 10, |m| m), 540 ; "class tx not served")]
#[test_case(method(1, 60, 10, |m| m.long(9).short(0).bit(false)), 540 ; "class basic prefetch by octets")]
#[test_case(method(1, 60, 40, |m| m.short(0).short_str("").short_str("k").bit(false).bit(true)), 540 ; "class basic immediate")]
#[test_case(method(1, 40, 10, |m| m.short(0).short_str("h").short_str("headers").octet(0).long_str(b"")), 540 ; "section 3.1.3.4 headers exchange")]
#[test_case(method(1, 40, 10, |m| m.short(0).short_str("h").short_str("odd").octet(0).long_str(b"")), 503 ; "class exchange unknown type")]
#[test_case([method(1, 60, 40, |m| m.short(0).short_str("").short_str("k").octet(0)), method(1, 20, 20, |m| m.bit(true))].concat(), 505 ; "section 4.2.6 method within a content")]
#[test_case([3u8, 0, 1, 0, 0, 0, 1, 7, 0xce].to_vec(), 505 ; "section 4.2.6 body without header")]
fn hard_errors_close_the_connection(bytes: Vec<u8>, code: u16) {
    let mut s = site();
    let conn = s.channel(1);
    let other = s.channel(2);
    s.send(conn, &bytes);
    let told = s.got(1);
    assert!(told[0].is(10, 50) && told[0].reason().0 == code, "{told:?}");
    // Nothing but close-ok is heard any more.
    s.send(conn, &declare("q", false, false, b""));
    assert!(s.got(1).is_empty());
    s.send(conn, &method(0, 10, 51, |m| m));
    assert_eq!(s.world.closed, [1]);
    s.declare(other, "q", b"");
    assert!(s.got(2)[0].is(50, 11), "nobody else notices");
}

#[test_case(declare("none", true, false, b""), 404 ; "passive declare of a missing queue")]
#[test_case(declare("amq.mine", false, false, b""), 403 ; "reserved name")]
#[test_case(method(1, 60, 80, |m| m.long_long(9).bit(false)), 406 ; "unknown delivery tag")]
#[test_case(method(1, 50, 20, |m| m.short(0).short_str("q").short_str("none").short_str("").bit(false).long_str(b"")), 404 ; "bind to a missing exchange")]
#[test_case(method(1, 40, 10, |m| m.short(0).short_str("amq.topic").short_str("direct").octet(2).long_str(b"")), 406 ; "other type of a standing exchange")]
#[test_case(publish_on(1, "none", "k", &BasicProperties::default(), b"x", false), 404 ; "publish to a missing exchange")]
#[test_case(publish_on(1, "", "k", &BasicProperties { expiration: "soon", ..BasicProperties::default() }, b"x", false), 406 ; "expiration that is no time")]
#[test_case(publish_on(1, "", "k", &BasicProperties { user_id: "other", ..BasicProperties::default() }, b"x", false), 406 ; "user-id of another")]
fn soft_errors_close_the_channel(bytes: Vec<u8>, code: u16) {
    let mut s = site();
    let conn = s.channel(1);
    s.declare(conn, "q", b"");
    s.got(1);
    s.send(conn, &bytes);
    let told = s.got(1);
    assert!(told[0].is(20, 40) && told[0].reason().0 == code, "{told:?}");
    // Frames for the closed channel are dropped until close-ok; then its number is free at once.
    s.declare(conn, "r", b"");
    assert!(s.got(1).is_empty());
    s.send(
        conn,
        &[
            method(1, 20, 41, |m| m),
            method(1, 20, 10, |m| m.short_str("")),
        ]
        .concat(),
    );
    assert!(s.got(1)[0].is(20, 11));
    s.declare(conn, "q", b"");
    assert!(s.got(1)[0].is(50, 11));
}

#[test_case("PLAIN", b"\0u\0p", None ; "good")]
#[test_case("PLAIN", b"up", Some(502) ; "malformed response")]
#[test_case("CRAM-MD5", b"", Some(403) ; "another mechanism")]
fn class_connection_start(mechanism: &str, response: &[u8], refused: Option<u16>) {
    let mut s = site();
    let conn = s.raw(1);
    s.send(conn, &PROTOCOL_HEADER);
    s.login(conn, mechanism, response);
    let told = s.got(1);
    assert_eq!(told.get(1).map(|t| t.reason().0), refused);
    assert_eq!(s.world.checks.len(), usize::from(refused.is_none()));
}

#[test]
fn class_connection_login_refused_and_a_handshake_that_never_ends() {
    let mut s = site();
    let conn = s.raw(1);
    s.send(conn, &PROTOCOL_HEADER);
    s.login(conn, "PLAIN", b"\0u\0wrong");
    s.server
        .authentication_finished(&mut s.world, conn, 1, false);
    assert_eq!(s.got(1).pop().unwrap().reason().0, 403);
    s.raw(2);
    s.now = 100_001;
    s.tick();
    assert_eq!(s.world.closed, [1, 2]);
}

#[test]
fn class_connection_unknown_virtual_host() {
    let mut s = site();
    let conn = s.raw(1);
    s.send(conn, &PROTOCOL_HEADER);
    s.login(conn, "PLAIN", b"\0u\0p");
    s.server
        .authentication_finished(&mut s.world, conn, 1, true);
    s.send(conn, &method(0, 10, 31, |m| m.short(0).long(0).short(0)));
    s.send(
        conn,
        &method(0, 10, 40, |m| m.short_str("/none").short_str("").bit(false)),
    );
    assert_eq!(s.got(1).pop().unwrap().reason().0, 530);
}

#[test_case(2_048, true ; "under the least")]
#[test_case(4_096, false ; "the least")]
#[test_case(1_000_000, true ; "over the offer")]
fn class_connection_tune_frame_max(frame: u32, refused: bool) {
    let mut s = site();
    let conn = s.raw(1);
    s.send(conn, &PROTOCOL_HEADER);
    s.login(conn, "PLAIN", b"\0u\0p");
    s.server
        .authentication_finished(&mut s.world, conn, 1, true);
    s.got(1);
    s.send(
        conn,
        &method(0, 10, 31, |m| m.short(0).long(frame).short(0)),
    );
    assert_eq!(s.got(1).len(), usize::from(refused));
}

#[test]
fn section_4_2_7_heartbeats_both_ways() {
    let mut s = site();
    let conn = s.raw(1);
    s.send(conn, &PROTOCOL_HEADER);
    s.login(conn, "PLAIN", b"\0u\0p");
    s.server
        .authentication_finished(&mut s.world, conn, 1, true);
    s.send(conn, &method(0, 10, 31, |m| m.short(0).long(0).short(2)));
    s.send(
        conn,
        &method(0, 10, 40, |m| m.short_str("/").short_str("").bit(false)),
    );
    s.got(1);
    s.now = 10_001;
    s.tick();
    assert!(s.got(1)[0].is(0, 8), "half an interval without a word");
    // Octets of a large body are signs of life too.
    s.send(conn, &method(1, 20, 10, |m| m.short_str("")));
    let publish = publish_on(1, "", "q", &BasicProperties::default(), &[7; 50_000], false);
    let mut waiting = Vec::new();
    for (i, part) in publish.chunks(10_000).enumerate() {
        s.now = 10_001 + (i as u64 + 1) * 30_000;
        waiting.extend_from_slice(part);
        let used = s.send(conn, &waiting);
        waiting.drain(..used);
        s.tick();
        assert!(s.world.closed.is_empty());
    }
    s.now += 40_001;
    s.tick();
    assert_eq!(s.world.closed, [1], "two intervals of silence");
}

#[test]
fn section_4_2_6_content_interleaved_among_channels() {
    let mut s = site();
    let conn = s.channel(1);
    s.send(conn, &method(2, 20, 10, |m| m.short_str("")));
    s.declare(conn, "q", b"");
    let one = publish_on(
        1,
        "",
        "q",
        &BasicProperties::default(),
        &[b'a'; 9000],
        false,
    );
    let two = publish_on(
        2,
        "",
        "q",
        &BasicProperties::default(),
        &[b'b'; 9000],
        false,
    );
    let frames = |mut bytes: &[u8]| {
        let mut all = Vec::new();
        while let Some((_, used)) = codec::decode_frame(bytes, 1 << 20).unwrap() {
            all.push(bytes[..used].to_vec());
            bytes = &bytes[used..];
        }
        all
    };
    for (a, b) in frames(&one).into_iter().zip(frames(&two)) {
        s.send(conn, &[a, b].concat());
    }
    s.got(1);
    s.consume(conn, "q", "c", true);
    let told = s.got(1);
    let bodies: Vec<u8> = told
        .iter()
        .filter(|f| f.is(0, 3))
        .map(|f| f.args[0])
        .collect();
    assert_eq!(
        (delivered(&told).len(), bodies),
        (2, vec![b'a', b'b']),
        "each in one frame, as both fit"
    );
}

#[test]
fn section_4_2_6_a_body_that_is_too_large_and_one_that_never_ends() {
    let mut s = site();
    let conn = s.channel(1);
    let mut raw = Vec::new();
    codec::write_content(&mut raw, 1, &[0, 0], b"", 4096);
    let head = |size: u64| {
        let mut raw = raw.clone();
        raw[11..19].copy_from_slice(&size.to_be_bytes());
        [
            method(1, 60, 40, |m| {
                m.short(0).short_str("").short_str("q").octet(0)
            }),
            raw,
        ]
        .concat()
    };
    s.send(conn, &head(1 << 40));
    assert_eq!(s.got(1)[0].reason().0, 311);
    s.send(
        conn,
        &[
            method(1, 20, 41, |m| m),
            method(1, 20, 10, |m| m.short_str("")),
        ]
        .concat(),
    );
    s.got(1);
    // Announced and never sent: nothing is held but what came; the channel's end forgets it.
    s.send(conn, &head(900_000));
    s.send(conn, &[3, 0, 1, 0, 0, 0, 2, 1, 2, 0xce]);
    s.server.connection_closed(conn);
    assert_eq!(
        (s.server.queued_bytes(), s.server.connection_count()),
        (0, 0)
    );
}

/// Fields of the types that the writer does not write: name, type octet, value.
const OTHER_FIELDS: [(&str, u8, &[u8]); 13] = [
    ("b", b'b', &[0xff]),
    ("B", b'B', &[0xff]),
    ("s", b's', &[0xff, 0xfe]),
    ("U", b'U', &[0, 2]),
    ("u", b'u', &[0xff, 0xff]),
    ("I", b'I', &[0xff; 4]),
    ("i", b'i', &[0xff; 4]),
    ("L", b'L', &[0; 8]),
    ("f", b'f', &[0x3f, 0x80, 0, 0]),
    ("d", b'd', &[0x3f, 0xf0, 0, 0, 0, 0, 0, 0]),
    ("D", b'D', &[2, 0, 0, 0, 250]),
    ("x", b'x', &[0, 0, 0, 1, 9]),
    ("V", b'V', &[]),
];

#[test]
fn section_4_2_5_field_tables_with_all_types() {
    let mut t = TableWriter::default();
    t.long_string("S", "text");
    t.signed("l", -5);
    t.boolean("t", true);
    t.timestamp("T", 99);
    t.table("F", &{
        let mut inner = TableWriter::default();
        inner.long_string("deep", "er");
        inner.0
    });
    for (name, kind, bytes) in OTHER_FIELDS {
        t.0.push(name.len() as u8);
        t.0.extend_from_slice(name.as_bytes());
        t.0.push(kind);
        t.0.extend_from_slice(bytes);
    }
    let encoded = [&(t.0.len() as u32).to_be_bytes()[..], &t.0].concat();
    let table = ArgumentReader::new(&encoded).table().unwrap();
    let told = [
        ("S", FieldValue::LongString(b"text")),
        ("l", FieldValue::Signed(-5)),
        ("t", FieldValue::Boolean(true)),
        ("T", FieldValue::Timestamp(99)),
        ("b", FieldValue::Signed(-1)),
        ("B", FieldValue::Unsigned(255)),
        ("s", FieldValue::Signed(-2)),
        ("U", FieldValue::Signed(2)),
        ("u", FieldValue::Unsigned(65_535)),
        ("I", FieldValue::Signed(-1)),
        ("i", FieldValue::Unsigned(u64::from(u32::MAX))),
        ("L", FieldValue::Signed(0)),
        ("f", FieldValue::Float(1.0)),
        ("d", FieldValue::Float(1.0)),
        (
            "D",
            FieldValue::Decimal {
                scale: 2,
                digits: 250,
            },
        ),
        ("x", FieldValue::Bytes(&[9])),
        ("V", FieldValue::Void),
    ];
    for (name, value) in told {
        assert_eq!(table.get(name), Some(value), "{name}");
    }
    let Some(FieldValue::Table(inner)) = table.get("F") else {
        panic!()
    };
    assert_eq!(inner.get("deep"), Some(FieldValue::LongString(b"er")));
}

#[test]
fn tables_too_deep_are_refused_and_do_not_exhaust_the_stack() {
    let mut t = Vec::new();
    for _ in 0..1000 {
        t = [&[1, b'n', b'F'][..], &(t.len() as u32).to_be_bytes(), &t].concat();
    }
    let encoded = [&(t.len() as u32).to_be_bytes()[..], &t].concat();
    assert_eq!(
        ArgumentReader::new(&encoded)
            .table()
            .unwrap_err()
            .reply_code,
        502
    );
}

#[test]
fn section_3_1_3_exchanges_route() {
    let mut s = site();
    let conn = s.channel(1);
    for q in ["a", "b", "c"] {
        s.declare(conn, q, b"");
    }
    let bind = |q: &str, e: &str, k: &str| {
        method(1, 50, 20, |m| {
            m.short(0)
                .short_str(q)
                .short_str(e)
                .short_str(k)
                .bit(false)
                .long_str(b"")
        })
    };
    for (q, e, k) in [
        ("a", "amq.direct", "x"),
        ("b", "amq.fanout", ""),
        ("c", "amq.fanout", ""),
        ("a", "amq.topic", "stock.#"),
        ("b", "amq.topic", "*.hall"),
    ] {
        s.send(conn, &bind(q, e, k));
    }
    for (e, k, body) in [
        ("", "a", "1"),
        ("amq.direct", "x", "2"),
        ("amq.direct", "y", "3"),
        ("amq.fanout", "?", "4"),
        ("amq.topic", "stock.hall", "5"),
        ("amq.topic", "stock", "6"),
        ("amq.topic", "other.hall", "7"),
    ] {
        s.publish(conn, e, k, &BasicProperties::default(), body.as_bytes());
    }
    let mut took = |q: &str| {
        s.got(1);
        s.consume(conn, q, q, true);
        delivered(&s.got(1))
            .into_iter()
            .map(|d| d.0)
            .collect::<Vec<_>>()
            .concat()
    };
    assert_eq!(
        (took("a"), took("b"), took("c")),
        ("1256".into(), "457".into(), "4".into())
    );
}

#[test]
fn class_basic_mandatory_returns_what_reaches_no_queue() {
    let mut s = site();
    let conn = s.channel(1);
    s.send(
        conn,
        &publish_on(1, "", "none", &BasicProperties::default(), b"x", true),
    );
    let told = s.got(1);
    assert!(told[0].is(60, 50) && told[0].reason().0 == 312);
}

#[test_case(1, 0, 1 ; "by consumer")]
#[test_case(0, 2, 2 ; "by channel")]
#[test_case(0, 0, 5 ; "without bound")]
fn class_basic_qos_ack_multiple_and_redelivery(own: u16, all: u16, first: usize) {
    let mut s = site();
    let conn = s.channel(1);
    s.send(
        conn,
        &method(1, 60, 10, |m| m.long(0).short(own).bit(false)),
    );
    s.send(conn, &method(1, 60, 10, |m| m.long(0).short(all).bit(true)));
    s.declare(conn, "q", b"");
    for i in 0..5 {
        s.publish(
            conn,
            "",
            "q",
            &BasicProperties::default(),
            i.to_string().as_bytes(),
        );
    }
    s.got(1);
    s.consume(conn, "q", "c", false);
    assert_eq!(delivered(&s.got(1)).len(), first);
    s.ack(conn, first as u64, true);
    let more = delivered(&s.got(1)).len();
    assert_eq!(more, first.min(5 - first));
    // What was not acked goes back, in order, marked as redelivered.
    s.send(
        conn,
        &method(1, 20, 40, |m| m.short(200).short_str("").long(0)),
    );
    let next = s.channel(2);
    s.consume(next, "q", "c", true);
    let rest = delivered(&s.got(2));
    let want: Vec<(String, bool)> = (first..5)
        .map(|i| (i.to_string(), i < first + more))
        .collect();
    assert_eq!(rest, want);
}

#[test]
fn class_basic_get_nack_reject_and_priorities() {
    let mut s = site();
    let conn = s.channel(1);
    s.declare(conn, "q", b"");
    for (priority, body) in [(0, "low"), (5, "high"), (5, "next")] {
        s.publish(
            conn,
            "",
            "q",
            &BasicProperties {
                priority,
                ..BasicProperties::default()
            },
            body.as_bytes(),
        );
    }
    s.got(1);
    let get = method(1, 60, 70, |m| m.short(0).short_str("q").bit(false));
    let take = |s: &mut Site| {
        s.send(conn, &get);
        let told = s.got(1);
        told.iter()
            .find(|f| f.is(0, 3))
            .map(|f| String::from_utf8(f.args.clone()).unwrap())
    };
    assert_eq!(take(&mut s).as_deref(), Some("high"));
    s.nack(conn, 1, false, true);
    assert_eq!(take(&mut s).as_deref(), Some("high"), "back in front");
    s.send(conn, &method(1, 60, 90, |m| m.long_long(2).bit(false)));
    assert_eq!(
        (
            take(&mut s).as_deref(),
            take(&mut s).as_deref(),
            take(&mut s)
        ),
        (Some("next"), Some("low"), None)
    );
}

#[test]
fn a_queue_may_be_exclusive_or_go_with_its_last_consumer() {
    let mut s = site();
    let (one, two) = (s.channel(1), s.channel(2));
    s.send(one, &declare("mine", false, true, b""));
    s.declare(two, "mine", b"");
    assert_eq!(s.got(2)[0].reason().0, 405);
    s.server.connection_closed(one);
    let three = s.channel(3);
    s.send(three, &declare("mine", true, false, b""));
    assert_eq!(s.got(3)[0].reason().0, 404, "it went with its connection");
}

#[test]
fn messages_expire_and_die_once() {
    let mut s = site();
    let conn = s.channel(1);
    s.send(
        conn,
        &method(1, 40, 10, |m| {
            m.short(0)
                .short_str("dlx")
                .short_str("fanout")
                .octet(0)
                .long_str(b"")
        }),
    );
    let mut table = TableWriter::default();
    table.long_string("x-dead-letter-exchange", "dlx");
    s.declare(conn, "q", &table.0);
    s.declare(conn, "dead", b"");
    s.send(
        conn,
        &method(1, 50, 20, |m| {
            m.short(0)
                .short_str("dead")
                .short_str("dlx")
                .short_str("")
                .bit(false)
                .long_str(b"")
        }),
    );
    let p = BasicProperties {
        expiration: "100",
        message_id: "m",
        ..BasicProperties::default()
    };
    s.publish(conn, "", "q", &p, b"x");
    s.got(1);
    s.now = 1_001;
    s.tick();
    s.tick();
    s.consume(conn, "q", "a", true);
    s.consume(conn, "dead", "b", true);
    let told = s.got(1);
    assert_eq!(delivered(&told), [("x".to_string(), false)]);
    let head = told.iter().find(|f| f.is(0, 2)).unwrap();
    let p = codec::decode_content_header(&head.args).unwrap().properties;
    assert_eq!((p.message_id, p.expiration), ("m", ""));
    let Some(FieldValue::Array(deaths)) = p.headers.unwrap().get("x-death") else {
        panic!()
    };
    assert_eq!(deaths[0], b'F');
    let one = ArgumentReader::new(&deaths[1..]).table().unwrap();
    assert_eq!(
        (one.get("reason"), one.get("queue")),
        (
            Some(FieldValue::LongString(b"expired")),
            Some(FieldValue::LongString(b"q"))
        )
    );
}

fn confirming(s: &mut Site, link: u64) -> usize {
    let conn = s.channel(link);
    s.send(conn, &method(1, 85, 10, |m| m.bit(false)));
    s.send(
        conn,
        &method(1, 60, 20, |m| {
            m.short(0)
                .short_str("amq.rabbitmq.reply-to")
                .short_str("r")
                .octet(2)
                .long_str(b"")
        }),
    );
    s.got(link);
    conn
}

fn trigger(s: &mut Site, conn: usize, id: &str) {
    let p = BasicProperties {
        message_id: id,
        correlation_id: id,
        reply_to: "amq.rabbitmq.reply-to",
        ..BasicProperties::default()
    };
    s.publish(conn, "events", "record.book1", &p, b"body");
}

/// Frames of a channel as (class, method), contents left out.
fn methods(seen: &[Seen]) -> Vec<(u16, u16)> {
    seen.iter()
        .filter(|f| f.class > 0)
        .map(|f| (f.class, f.method))
        .collect()
}

#[test_case(Disposition::Completed, &[(60, 60), (60, 80)], "handled" ; "handled is acked")]
#[test_case(Disposition::Rejected, &[(60, 60), (60, 50), (60, 120)], "deferred" ; "deferred is returned and nacked")]
#[test_case(Disposition::Failed, &[(60, 60), (60, 50), (60, 120)], "dead-lettered" ; "dead-lettered is returned and nacked")]
fn a_trigger_gets_one_answer_and_its_confirm(word: Disposition, frames: &[(u16, u16)], text: &str) {
    let mut s = site();
    let conn = confirming(&mut s, 1);
    trigger(&mut s, conn, "m1");
    assert!(s.got(1).is_empty(), "nothing before its answer");
    let ticket = s.world.taken[0].0;
    s.answer(ticket, word);
    s.answer(ticket, word);
    let told = s.got(1);
    assert_eq!(methods(&told), frames);
    let head = told.iter().find(|f| f.is(0, 2)).unwrap();
    let p = codec::decode_content_header(&head.args).unwrap().properties;
    assert_eq!((p.correlation_id, p.message_type), ("m1", text));
    let headers: FieldTable = p.headers.unwrap();
    assert_eq!(headers.get("x-come-back-ms"), Some(FieldValue::Signed(50)));
    assert_eq!(
        (
            s.server.pending_request_count(),
            s.server.pending_requests_of(conn)
        ),
        (0, 0)
    );
}

#[test]
fn a_dead_letter_goes_to_its_exchange_exactly_once() {
    let mut s = site();
    let conn = confirming(&mut s, 1);
    s.send(
        conn,
        &method(1, 40, 10, |m| {
            m.short(0)
                .short_str("dead")
                .short_str("fanout")
                .octet(0)
                .long_str(b"")
        }),
    );
    s.declare(conn, "dq", b"");
    s.send(
        conn,
        &method(1, 50, 20, |m| {
            m.short(0)
                .short_str("dq")
                .short_str("dead")
                .short_str("")
                .bit(false)
                .long_str(b"")
        }),
    );
    trigger(&mut s, conn, "m1");
    let ticket = s.world.taken[0].0;
    s.answer(ticket, Disposition::Failed);
    s.answer(ticket, Disposition::Failed);
    s.got(1);
    s.consume(conn, "dq", "c", true);
    assert_eq!(delivered(&s.got(1)), [("body".to_string(), false)]);
}

#[test]
fn confirms_are_told_together_where_none_below_is_out() {
    let mut s = site();
    let conn = confirming(&mut s, 1);
    s.declare(conn, "q", b"");
    s.got(1);
    let p = BasicProperties::default();
    let five: Vec<u8> = (0..5)
        .flat_map(|_| publish_on(1, "", "q", &p, b"x", false))
        .collect();
    s.send(conn, &five);
    let told = s.got(1);
    assert_eq!(methods(&told), [(60, 80)], "five in one");
    let mut a = ArgumentReader::new(&told[0].args);
    assert_eq!((a.long_long(), a.bit()), (Ok(5), Ok(true)));
    trigger(&mut s, conn, "m1");
    s.send(conn, &five);
    let told = s.got(1);
    let single: Vec<_> = told
        .iter()
        .map(|t| ArgumentReader::new(&t.args[..8]).long_long().unwrap())
        .collect();
    assert_eq!(
        single,
        [7, 8, 9, 10, 11],
        "the sixth is out, so each for itself"
    );
}

#[test]
fn a_confirm_batch_is_split_by_a_channel_close_and_the_number_used_again() {
    let mut s = site();
    let conn = confirming(&mut s, 1);
    for id in ["m1", "m2", "m3"] {
        trigger(&mut s, conn, id);
    }
    let tickets: Vec<u64> = s.world.taken.iter().map(|t| t.0).collect();
    s.answer(tickets[0], Disposition::Completed);
    assert_eq!(methods(&s.got(1)), [(60, 60), (60, 80)]);
    s.send(
        conn,
        &method(1, 20, 40, |m| m.short(200).short_str("").long(0)),
    );
    s.send(conn, &method(1, 20, 10, |m| m.short_str("")));
    assert_eq!(methods(&s.got(1)), [(20, 41), (20, 11)]);
    s.answer(tickets[1], Disposition::Completed);
    s.answer(tickets[2], Disposition::Failed);
    assert!(
        s.got(1).is_empty(),
        "the new channel gets nothing of the old one's"
    );
    assert_eq!(
        (
            s.server.unroutable_replies(),
            s.server.pending_requests_of(conn)
        ),
        (2, 0)
    );
}

/// Its client has given up: it is nacked, and no ack of many speaks for it.
#[test]
fn a_forgotten_trigger_is_not_acked_with_the_others() {
    let mut s = site();
    let conn = confirming(&mut s, 1);
    ["m1", "m2"]
        .into_iter()
        .for_each(|id| trigger(&mut s, conn, id));
    let tickets: Vec<u64> = s.world.taken.iter().map(|t| t.0).collect();
    s.server.abandon_request(tickets[0]);
    s.answer(tickets[1], Disposition::Completed);
    let told = s.got(1);
    assert_eq!(methods(&told), [(60, 60), (60, 120), (60, 80)]);
    let nacked = told.iter().find(|t| t.is(60, 120)).unwrap();
    assert_eq!(
        (
            ArgumentReader::new(&nacked.args).long_long(),
            s.server.pending_requests_of(conn)
        ),
        (Ok(1), 0)
    );
}

#[test]
fn an_answer_whose_reply_queue_is_gone_is_counted() {
    let mut s = site();
    let conn = s.channel(1);
    s.declare(conn, "replies", b"");
    let p = BasicProperties {
        reply_to: "replies",
        ..BasicProperties::default()
    };
    s.publish(conn, "events", "record.b", &p, b"x");
    s.send(
        conn,
        &method(1, 50, 40, |m| m.short(0).short_str("replies").octet(0)),
    );
    let ticket = s.world.taken[0].0;
    s.answer(ticket, Disposition::Completed);
    assert_eq!(s.server.unroutable_replies(), 1);
}

#[test]
fn a_lost_connection_leaves_its_events_in_hand() {
    let mut s = site();
    let conn = confirming(&mut s, 1);
    trigger(&mut s, conn, "m1");
    s.server.connection_closed(conn);
    let again = confirming(&mut s, 2);
    assert_eq!(again, conn, "its place is used again");
    let ticket = s.world.taken[0].0;
    s.answer(ticket, Disposition::Completed);
    assert!(
        s.got(2).is_empty(),
        "the next user of its place gets nothing of it"
    );
    assert_eq!(s.server.pending_request_count(), 0);
}

#[test]
fn blocked_while_a_consumer_is_still_fed() {
    let mut s = site();
    let conn = s.channel(1);
    s.declare(conn, "q", b"");
    s.consume(conn, "q", "c", true);
    s.got(1);
    s.server.set_blocked(&mut s.world, conn, true, "full");
    s.server.set_blocked(&mut s.world, conn, true, "full");
    s.publish(conn, "", "q", &BasicProperties::default(), b"x");
    let told = s.got(1);
    assert_eq!(methods(&told), [(10, 60), (60, 60)]);
    s.server.set_blocked(&mut s.world, conn, false, "");
    assert_eq!(methods(&s.got(1)), [(10, 61)]);
}

#[test]
fn a_consumer_that_takes_nothing_in_gets_no_more() {
    let mut s = site();
    let conn = s.channel(1);
    s.declare(conn, "q", b"");
    s.consume(conn, "q", "c", true);
    s.world.no_room = true;
    s.publish(conn, "", "q", &BasicProperties::default(), b"x");
    s.got(1);
    s.world.no_room = false;
    s.server.connection_writable(&mut s.world, conn);
    assert_eq!(delivered(&s.got(1)).len(), 1);
}

#[test]
fn full_queues_refuse_and_say_so() {
    let mut s = site_with(tidewall_amqp::server::ServerConfig {
        max_queued_bytes: 1_000,
        ..limits()
    });
    let conn = confirming(&mut s, 1);
    s.declare(conn, "q", b"");
    s.got(1);
    let p = BasicProperties::default();
    (0..2).for_each(|_| s.publish(conn, "", "q", &p, &[7; 700]));
    let told = s.got(1);
    assert_eq!(methods(&told), [(60, 80), (60, 120)]);
    let plain = s.channel(2);
    s.publish(plain, "", "q", &p, &[7; 700]);
    assert_eq!(s.got(2)[0].reason().0, 506);
}

/// A queue whose dead letters come back to it, at once or by way of another one, held the loop for ever; with a time to live of a
/// millisecond and more each round made the message larger. As RabbitMQ has it, a message that comes round without having
/// been rejected is dropped.
#[test_case(0, false, false; "to itself at once")]
#[test_case(0, true, false; "by way of another at once")]
#[test_case(1, false, false; "to itself after a millisecond")]
#[test_case(0, true, true; "with a rejection that its publisher made up")]
fn dead_letters_that_come_round_end(ttl: i64, other: bool, made_up: bool) {
    let mut s = site();
    let conn = s.channel(1);
    for (name, next) in [("q", if other { "p" } else { "q" }), ("p", "q")] {
        let mut table = TableWriter::default();
        table.long_string("x-dead-letter-exchange", &format!("to-{next}"));
        table.signed("x-message-ttl", ttl);
        let exchange = format!("to-{name}");
        s.send(
            conn,
            &method(1, 40, 10, |m| {
                m.short(0)
                    .short_str(&exchange)
                    .short_str("fanout")
                    .octet(0)
                    .long_str(b"")
            }),
        );
        s.declare(conn, name, &table.0);
        s.send(
            conn,
            &method(1, 50, 20, |m| {
                m.short(0)
                    .short_str(name)
                    .short_str(&exchange)
                    .short_str("")
                    .bit(false)
                    .long_str(b"")
            }),
        );
    }
    let (mut entry, mut headers) = (TableWriter::default(), TableWriter::default());
    entry.long_string("reason", "rejected");
    let deaths = [&[b'F'][..], &(entry.0.len() as u32).to_be_bytes(), &entry.0].concat();
    headers.array("x-death", &deaths);
    let headers = made_up.then_some(FieldTable(&headers.0));
    s.publish(
        conn,
        "",
        "q",
        &BasicProperties {
            headers,
            ..BasicProperties::default()
        },
        b"x",
    );
    for _ in 0..50 {
        s.now += 1_000;
        s.tick();
    }
    assert_eq!(s.server.queued_bytes(), 0, "it was dropped");
}

/// A rejection by a consumer breaks the round: the message expires in the same queue again and still is dead-lettered.
#[test]
fn a_message_that_was_rejected_since_may_come_round() {
    let mut s = site();
    let conn = s.channel(1);
    for (name, next, ttl) in [("q", "p", Some(1)), ("p", "q", None)] {
        let mut table = TableWriter::default();
        // The default exchange routes by the routing key, so each has an exchange of its own.
        table.long_string("x-dead-letter-exchange", &format!("to-{next}"));
        if let Some(milliseconds) = ttl {
            table.signed("x-message-ttl", milliseconds);
        }
        let exchange = format!("to-{name}");
        let declare_exchange = method(1, 40, 10, |m| {
            let m = m.short(0).short_str(&exchange).short_str("fanout");
            m.octet(0).long_str(b"")
        });
        s.send(conn, &declare_exchange);
        s.declare(conn, name, &table.0);
        let bind = method(1, 50, 20, |m| {
            let m = m.short(0).short_str(name).short_str(&exchange);
            m.short_str("").bit(false).long_str(b"")
        });
        s.send(conn, &bind);
    }
    s.publish(conn, "", "q", &BasicProperties::default(), b"x");
    let get = method(1, 60, 70, |m| m.short(0).short_str("p").bit(false));
    for round in 1..=3 {
        s.now += 1_000;
        s.tick();
        s.got(1);
        s.send(conn, &get);
        assert!(s.got(1)[0].is(60, 71), "round {round}");
        s.nack(conn, round, false, false);
    }
}
