//! Rules of the specification, named after their sections or classes, and difficult cases.
#![allow(clippy::unwrap_used)]
mod help;

use help::*;
use test_case::test_case;
use tidewall_amqp::codec::{
    self, ArgumentReader, BasicProperties, FieldTable, FieldValue, TableWriter, PROTOCOL_HEADER,
};
use tidewall_amqp::server::Disposition;

#[test_case(b"AMQP\x00\x00\x09\x01", false ; "supported version")]
#[test_case(b"AMQP\x01\x01\x08\x00", true ; "another version")]
#[test_case(b"GET / HTTP/1.1\r\n", true ; "another protocol")]
fn section_4_2_2_protocol_header(bytes: &[u8], refused: bool) {
    let mut fixture = new_fixture();
    let connection = fixture.accept_connection(1);
    fixture.send(connection, bytes);
    assert_eq!(fixture.actions.closed == [1], refused);
    assert_eq!(
        fixture.actions.written[&1].starts_with(&PROTOCOL_HEADER),
        refused
    );
}

#[test]
fn section_4_2_2_protocol_header_byte_by_byte() {
    let mut fixture = new_fixture();
    let connection = fixture.accept_connection(1);
    for i in 0..8 {
        assert_eq!(fixture.send(connection, &PROTOCOL_HEADER[..i]), 0);
    }
    assert_eq!(fixture.send(connection, &PROTOCOL_HEADER), 8);
    assert!(fixture.received_frames(1)[0].is(10, 10));
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
    let mut fixture = new_fixture();
    let connection = fixture.open_channel(1);
    let other = fixture.open_channel(2);
    fixture.send(connection, &bytes);
    let frames = fixture.received_frames(1);
    assert!(
        frames[0].is(10, 50) && frames[0].reason().0 == code,
        "{frames:?}"
    );
    // Only close-ok is handled after that.
    fixture.send(connection, &declare_frame("q", false, false, b""));
    assert!(fixture.received_frames(1).is_empty());
    fixture.send(connection, &method(0, 10, 51, |m| m));
    assert_eq!(fixture.actions.closed, [1]);
    fixture.declare(other, "q", b"");
    assert!(
        fixture.received_frames(2)[0].is(50, 11),
        "the other connection is not affected"
    );
}

#[test_case(declare_frame("none", true, false, b""), 404 ; "passive declare of a missing queue")]
#[test_case(declare_frame("amq.mine", false, false, b""), 403 ; "reserved name")]
#[test_case(method(1, 60, 80, |m| m.long_long(9).bit(false)), 406 ; "unknown delivery tag")]
#[test_case(method(1, 50, 20, |m| m.short(0).short_str("q").short_str("none").short_str("").bit(false).long_str(b"")), 404 ; "bind to a missing exchange")]
#[test_case(method(1, 40, 10, |m| m.short(0).short_str("amq.topic").short_str("direct").octet(2).long_str(b"")), 406 ; "another type of an existing exchange")]
#[test_case(publish_on(1, "none", "k", &BasicProperties::default(), b"x", false), 404 ; "publish to a missing exchange")]
#[test_case(publish_on(1, "", "k", &BasicProperties { expiration: "soon", ..BasicProperties::default() }, b"x", false), 406 ; "expiration that is not a number")]
#[test_case(publish_on(1, "", "k", &BasicProperties { user_id: "other", ..BasicProperties::default() }, b"x", false), 406 ; "user-id of another user")]
fn soft_errors_close_the_channel(bytes: Vec<u8>, code: u16) {
    let mut fixture = new_fixture();
    let connection = fixture.open_channel(1);
    fixture.declare(connection, "q", b"");
    fixture.received_frames(1);
    fixture.send(connection, &bytes);
    let frames = fixture.received_frames(1);
    assert!(
        frames[0].is(20, 40) && frames[0].reason().0 == code,
        "{frames:?}"
    );
    // Frames for the closed channel are discarded until close-ok; then its number can be used at once.
    fixture.declare(connection, "r", b"");
    assert!(fixture.received_frames(1).is_empty());
    fixture.send(
        connection,
        &[
            method(1, 20, 41, |m| m),
            method(1, 20, 10, |m| m.short_str("")),
        ]
        .concat(),
    );
    assert!(fixture.received_frames(1)[0].is(20, 11));
    fixture.declare(connection, "q", b"");
    assert!(fixture.received_frames(1)[0].is(50, 11));
}

#[test_case("PLAIN", b"\0u\0p", None ; "valid")]
#[test_case("PLAIN", b"up", Some(502) ; "malformed response")]
#[test_case("CRAM-MD5", b"", Some(403) ; "another mechanism")]
fn class_connection_start(mechanism: &str, response: &[u8], refused: Option<u16>) {
    let mut fixture = new_fixture();
    let connection = fixture.accept_connection(1);
    fixture.send(connection, &PROTOCOL_HEADER);
    fixture.send_start_ok(connection, mechanism, response);
    let frames = fixture.received_frames(1);
    assert_eq!(frames.get(1).map(|frame| frame.reason().0), refused);
    assert_eq!(
        fixture.actions.password_checks.len(),
        usize::from(refused.is_none())
    );
}

#[test]
fn class_connection_refused_login_and_handshake_timeout() {
    let mut fixture = new_fixture();
    let connection = fixture.accept_connection(1);
    fixture.send(connection, &PROTOCOL_HEADER);
    fixture.send_start_ok(connection, "PLAIN", b"\0u\0wrong");
    fixture
        .server
        .authentication_finished(&mut fixture.actions, connection, 1, false);
    assert_eq!(fixture.received_frames(1).pop().unwrap().reason().0, 403);
    fixture.accept_connection(2);
    fixture.now = 100_001;
    fixture.tick();
    assert_eq!(fixture.actions.closed, [1, 2]);
}

#[test]
fn class_connection_unknown_virtual_host() {
    let mut fixture = new_fixture();
    let connection = fixture.accept_connection(1);
    fixture.send(connection, &PROTOCOL_HEADER);
    fixture.send_start_ok(connection, "PLAIN", b"\0u\0p");
    fixture
        .server
        .authentication_finished(&mut fixture.actions, connection, 1, true);
    fixture.send(
        connection,
        &method(0, 10, 31, |m| m.short(0).long(0).short(0)),
    );
    fixture.send(
        connection,
        &method(0, 10, 40, |m| m.short_str("/none").short_str("").bit(false)),
    );
    assert_eq!(fixture.received_frames(1).pop().unwrap().reason().0, 530);
}

#[test_case(2_048, true ; "below the minimum")]
#[test_case(4_096, false ; "the minimum")]
#[test_case(1_000_000, true ; "above the offer")]
fn class_connection_tune_frame_max(frame: u32, refused: bool) {
    let mut fixture = new_fixture();
    let connection = fixture.accept_connection(1);
    fixture.send(connection, &PROTOCOL_HEADER);
    fixture.send_start_ok(connection, "PLAIN", b"\0u\0p");
    fixture
        .server
        .authentication_finished(&mut fixture.actions, connection, 1, true);
    fixture.received_frames(1);
    fixture.send(
        connection,
        &method(0, 10, 31, |m| m.short(0).long(frame).short(0)),
    );
    assert_eq!(fixture.received_frames(1).len(), usize::from(refused));
}

#[test]
fn section_4_2_7_heartbeats_in_both_directions() {
    let mut fixture = new_fixture();
    let connection = fixture.accept_connection(1);
    fixture.send(connection, &PROTOCOL_HEADER);
    fixture.send_start_ok(connection, "PLAIN", b"\0u\0p");
    fixture
        .server
        .authentication_finished(&mut fixture.actions, connection, 1, true);
    fixture.send(
        connection,
        &method(0, 10, 31, |m| m.short(0).long(0).short(2)),
    );
    fixture.send(
        connection,
        &method(0, 10, 40, |m| m.short_str("/").short_str("").bit(false)),
    );
    fixture.received_frames(1);
    fixture.now = 10_001;
    fixture.tick();
    assert!(
        fixture.received_frames(1)[0].is(0, 8),
        "nothing was sent for half an interval"
    );
    // Octets of an incomplete body count as activity too.
    fixture.send(connection, &method(1, 20, 10, |m| m.short_str("")));
    let publish = publish_on(1, "", "q", &BasicProperties::default(), &[7; 50_000], false);
    let mut unconsumed = Vec::new();
    for (index, piece) in publish.chunks(10_000).enumerate() {
        fixture.now = 10_001 + (index as u64 + 1) * 30_000;
        unconsumed.extend_from_slice(piece);
        let consumed = fixture.send(connection, &unconsumed);
        unconsumed.drain(..consumed);
        fixture.tick();
        assert!(fixture.actions.closed.is_empty());
    }
    fixture.now += 40_001;
    fixture.tick();
    assert_eq!(fixture.actions.closed, [1], "two intervals of silence");
}

#[test]
fn section_4_2_6_content_interleaved_among_channels() {
    let mut fixture = new_fixture();
    let connection = fixture.open_channel(1);
    fixture.send(connection, &method(2, 20, 10, |m| m.short_str("")));
    fixture.declare(connection, "q", b"");
    let first_publish = publish_on(
        1,
        "",
        "q",
        &BasicProperties::default(),
        &[b'a'; 9000],
        false,
    );
    let second_publish = publish_on(
        2,
        "",
        "q",
        &BasicProperties::default(),
        &[b'b'; 9000],
        false,
    );
    let split_frames = |mut bytes: &[u8]| {
        let mut all = Vec::new();
        while let Some((_, length)) = codec::decode_frame(bytes, 1 << 20).unwrap() {
            all.push(bytes[..length].to_vec());
            bytes = &bytes[length..];
        }
        all
    };
    for (first, second) in split_frames(&first_publish)
        .into_iter()
        .zip(split_frames(&second_publish))
    {
        fixture.send(connection, &[first, second].concat());
    }
    fixture.received_frames(1);
    fixture.consume(connection, "q", "c", true);
    let frames = fixture.received_frames(1);
    let bodies: Vec<u8> = frames
        .iter()
        .filter(|frame| frame.is(0, 3))
        .map(|frame| frame.arguments[0])
        .collect();
    assert_eq!(
        (delivered(&frames).len(), bodies),
        (2, vec![b'a', b'b']),
        "each body in one frame, as both fit"
    );
}

#[test]
fn section_4_2_6_a_body_that_is_too_large_and_one_that_is_never_complete() {
    let mut fixture = new_fixture();
    let connection = fixture.open_channel(1);
    let mut empty_content = Vec::new();
    codec::write_content(&mut empty_content, 1, &[0, 0], b"", 4096);
    let publish_header = |size: u64| {
        let mut empty_content = empty_content.clone();
        empty_content[11..19].copy_from_slice(&size.to_be_bytes());
        [
            method(1, 60, 40, |m| {
                m.short(0).short_str("").short_str("q").octet(0)
            }),
            empty_content,
        ]
        .concat()
    };
    fixture.send(connection, &publish_header(1 << 40));
    assert_eq!(fixture.received_frames(1)[0].reason().0, 311);
    fixture.send(
        connection,
        &[
            method(1, 20, 41, |m| m),
            method(1, 20, 10, |m| m.short_str("")),
        ]
        .concat(),
    );
    fixture.received_frames(1);
    // A body that is announced but never complete occupies no more than the received octets, until the
    // connection closes.
    fixture.send(connection, &publish_header(900_000));
    fixture.send(connection, &[3, 0, 1, 0, 0, 0, 2, 1, 2, 0xce]);
    fixture.server.connection_closed(connection);
    assert_eq!(
        (
            fixture.server.queued_bytes(),
            fixture.server.connection_count()
        ),
        (0, 0)
    );
}

/// Fields of the types that `TableWriter` does not support: name, type octet, value.
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
    let mut fields = TableWriter::default();
    fields.long_string("S", "text");
    fields.signed("l", -5);
    fields.boolean("t", true);
    fields.timestamp("T", 99);
    fields.table("F", &{
        let mut inner = TableWriter::default();
        inner.long_string("deep", "er");
        inner.0
    });
    for (name, field_type, bytes) in OTHER_FIELDS {
        fields.0.push(name.len() as u8);
        fields.0.extend_from_slice(name.as_bytes());
        fields.0.push(field_type);
        fields.0.extend_from_slice(bytes);
    }
    let encoded = [&(fields.0.len() as u32).to_be_bytes()[..], &fields.0].concat();
    let table = ArgumentReader::new(&encoded).table().unwrap();
    let expected = [
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
    for (name, value) in expected {
        assert_eq!(table.get(name), Some(value), "{name}");
    }
    let Some(FieldValue::Table(inner)) = table.get("F") else {
        panic!()
    };
    assert_eq!(inner.get("deep"), Some(FieldValue::LongString(b"er")));
}

#[test]
fn tables_nested_too_deeply_are_refused_without_a_stack_overflow() {
    let mut fields = Vec::new();
    for _ in 0..1000 {
        fields = [
            &[1, b'n', b'F'][..],
            &(fields.len() as u32).to_be_bytes(),
            &fields,
        ]
        .concat();
    }
    let encoded = [&(fields.len() as u32).to_be_bytes()[..], &fields].concat();
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
    let mut fixture = new_fixture();
    let connection = fixture.open_channel(1);
    for queue in ["a", "b", "c"] {
        fixture.declare(connection, queue, b"");
    }
    let bind = |queue: &str, exchange: &str, key: &str| {
        method(1, 50, 20, |m| {
            m.short(0)
                .short_str(queue)
                .short_str(exchange)
                .short_str(key)
                .bit(false)
                .long_str(b"")
        })
    };
    for (queue, exchange, key) in [
        ("a", "amq.direct", "x"),
        ("b", "amq.fanout", ""),
        ("c", "amq.fanout", ""),
        ("a", "amq.topic", "stock.#"),
        ("b", "amq.topic", "*.hall"),
    ] {
        fixture.send(connection, &bind(queue, exchange, key));
    }
    for (exchange, key, body) in [
        ("", "a", "1"),
        ("amq.direct", "x", "2"),
        ("amq.direct", "y", "3"),
        ("amq.fanout", "?", "4"),
        ("amq.topic", "stock.hall", "5"),
        ("amq.topic", "stock", "6"),
        ("amq.topic", "other.hall", "7"),
    ] {
        fixture.publish(
            connection,
            exchange,
            key,
            &BasicProperties::default(),
            body.as_bytes(),
        );
    }
    let mut consume_all = |queue: &str| {
        fixture.received_frames(1);
        fixture.consume(connection, queue, queue, true);
        delivered(&fixture.received_frames(1))
            .into_iter()
            .map(|delivery| delivery.0)
            .collect::<Vec<_>>()
            .concat()
    };
    assert_eq!(
        (consume_all("a"), consume_all("b"), consume_all("c")),
        ("1256".into(), "457".into(), "4".into())
    );
}

#[test]
fn class_basic_mandatory_returns_unroutable_messages() {
    let mut fixture = new_fixture();
    let connection = fixture.open_channel(1);
    fixture.send(
        connection,
        &publish_on(1, "", "none", &BasicProperties::default(), b"x", true),
    );
    let frames = fixture.received_frames(1);
    assert!(frames[0].is(60, 50) && frames[0].reason().0 == 312);
}

#[test_case(1, 0, 1 ; "by consumer")]
#[test_case(0, 2, 2 ; "by channel")]
#[test_case(0, 0, 5 ; "without limit")]
fn class_basic_qos_ack_multiple_and_redelivery(
    prefetch: u16,
    channel_prefetch: u16,
    first_count: usize,
) {
    let mut fixture = new_fixture();
    let connection = fixture.open_channel(1);
    fixture.send(
        connection,
        &method(1, 60, 10, |m| m.long(0).short(prefetch).bit(false)),
    );
    fixture.send(
        connection,
        &method(1, 60, 10, |m| m.long(0).short(channel_prefetch).bit(true)),
    );
    fixture.declare(connection, "q", b"");
    for number in 0..5 {
        fixture.publish(
            connection,
            "",
            "q",
            &BasicProperties::default(),
            number.to_string().as_bytes(),
        );
    }
    fixture.received_frames(1);
    fixture.consume(connection, "q", "c", false);
    assert_eq!(delivered(&fixture.received_frames(1)).len(), first_count);
    fixture.ack(connection, first_count as u64, true);
    let second_count = delivered(&fixture.received_frames(1)).len();
    assert_eq!(second_count, first_count.min(5 - first_count));
    // Unacknowledged messages return to the queue in order, marked as redelivered.
    fixture.send(
        connection,
        &method(1, 20, 40, |m| m.short(200).short_str("").long(0)),
    );
    let second_connection = fixture.open_channel(2);
    fixture.consume(second_connection, "q", "c", true);
    let redelivered = delivered(&fixture.received_frames(2));
    let expected: Vec<(String, bool)> = (first_count..5)
        .map(|number| (number.to_string(), number < first_count + second_count))
        .collect();
    assert_eq!(redelivered, expected);
}

#[test]
fn class_basic_get_nack_reject_and_priorities() {
    let mut fixture = new_fixture();
    let connection = fixture.open_channel(1);
    fixture.declare(connection, "q", b"");
    for (priority, body) in [(0, "low"), (5, "high"), (5, "next")] {
        fixture.publish(
            connection,
            "",
            "q",
            &BasicProperties {
                priority,
                ..BasicProperties::default()
            },
            body.as_bytes(),
        );
    }
    fixture.received_frames(1);
    let get = method(1, 60, 70, |m| m.short(0).short_str("q").bit(false));
    let get_body = |fixture: &mut Fixture| {
        fixture.send(connection, &get);
        let frames = fixture.received_frames(1);
        frames
            .iter()
            .find(|frame| frame.is(0, 3))
            .map(|frame| String::from_utf8(frame.arguments.clone()).unwrap())
    };
    assert_eq!(get_body(&mut fixture).as_deref(), Some("high"));
    fixture.nack(connection, 1, false, true);
    assert_eq!(
        get_body(&mut fixture).as_deref(),
        Some("high"),
        "requeued in front"
    );
    fixture.send(
        connection,
        &method(1, 60, 90, |m| m.long_long(2).bit(false)),
    );
    assert_eq!(
        (
            get_body(&mut fixture).as_deref(),
            get_body(&mut fixture).as_deref(),
            get_body(&mut fixture)
        ),
        (Some("next"), Some("low"), None)
    );
}

#[test]
fn an_exclusive_queue_is_locked_and_deleted_with_its_connection() {
    let mut fixture = new_fixture();
    let (owner, second_connection) = (fixture.open_channel(1), fixture.open_channel(2));
    fixture.send(owner, &declare_frame("mine", false, true, b""));
    fixture.declare(second_connection, "mine", b"");
    assert_eq!(fixture.received_frames(2)[0].reason().0, 405);
    fixture.server.connection_closed(owner);
    let third_connection = fixture.open_channel(3);
    fixture.send(third_connection, &declare_frame("mine", true, false, b""));
    assert_eq!(
        fixture.received_frames(3)[0].reason().0,
        404,
        "it was deleted with its connection"
    );
}

#[test]
fn an_expired_message_is_dead_lettered_once() {
    let mut fixture = new_fixture();
    let connection = fixture.open_channel(1);
    fixture.send(
        connection,
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
    fixture.declare(connection, "q", &table.0);
    fixture.declare(connection, "dead", b"");
    fixture.send(
        connection,
        &method(1, 50, 20, |m| {
            m.short(0)
                .short_str("dead")
                .short_str("dlx")
                .short_str("")
                .bit(false)
                .long_str(b"")
        }),
    );
    let properties = BasicProperties {
        expiration: "100",
        message_id: "m",
        ..BasicProperties::default()
    };
    fixture.publish(connection, "", "q", &properties, b"x");
    fixture.received_frames(1);
    fixture.now = 1_001;
    fixture.tick();
    fixture.tick();
    fixture.consume(connection, "q", "a", true);
    fixture.consume(connection, "dead", "b", true);
    let frames = fixture.received_frames(1);
    assert_eq!(delivered(&frames), [("x".to_string(), false)]);
    let header = frames.iter().find(|frame| frame.is(0, 2)).unwrap();
    let properties = codec::decode_content_header(&header.arguments)
        .unwrap()
        .properties;
    assert_eq!((properties.message_id, properties.expiration), ("m", ""));
    let Some(FieldValue::Array(deaths)) = properties.headers.unwrap().get("x-death") else {
        panic!()
    };
    assert_eq!(deaths[0], b'F');
    let death = ArgumentReader::new(&deaths[1..]).table().unwrap();
    assert_eq!(
        (death.get("reason"), death.get("queue")),
        (
            Some(FieldValue::LongString(b"expired")),
            Some(FieldValue::LongString(b"q"))
        )
    );
}

fn open_confirming_channel(fixture: &mut Fixture, transport: u64) -> usize {
    let connection = fixture.open_channel(transport);
    fixture.send(connection, &method(1, 85, 10, |m| m.bit(false)));
    fixture.send(
        connection,
        &method(1, 60, 20, |m| {
            m.short(0)
                .short_str("amq.rabbitmq.reply-to")
                .short_str("r")
                .octet(2)
                .long_str(b"")
        }),
    );
    fixture.received_frames(transport);
    connection
}

fn publish_request(fixture: &mut Fixture, connection: usize, id: &str) {
    let properties = BasicProperties {
        message_id: id,
        correlation_id: id,
        reply_to: "amq.rabbitmq.reply-to",
        ..BasicProperties::default()
    };
    fixture.publish(connection, "events", "record.book1", &properties, b"body");
}

/// Class and method of the frames that are methods; frames of content are omitted.
fn method_ids(frames: &[ReceivedFrame]) -> Vec<(u16, u16)> {
    frames
        .iter()
        .filter(|frame| frame.class > 0)
        .map(|frame| (frame.class, frame.method))
        .collect()
}

#[test_case(Disposition::Completed, &[(60, 60), (60, 80)], "handled" ; "handled is acked")]
#[test_case(Disposition::Rejected, &[(60, 60), (60, 50), (60, 120)], "deferred" ; "deferred is returned and nacked")]
#[test_case(Disposition::Failed, &[(60, 60), (60, 50), (60, 120)], "dead-lettered" ; "dead-lettered is returned and nacked")]
fn a_request_gets_one_answer_and_one_confirm(
    disposition: Disposition,
    expected: &[(u16, u16)],
    wire_name: &str,
) {
    let mut fixture = new_fixture();
    let connection = open_confirming_channel(&mut fixture, 1);
    publish_request(&mut fixture, connection, "m1");
    assert!(
        fixture.received_frames(1).is_empty(),
        "nothing is sent before the answer"
    );
    let request = fixture.actions.accepted[0].0;
    fixture.answer(request, disposition);
    fixture.answer(request, disposition);
    let frames = fixture.received_frames(1);
    assert_eq!(method_ids(&frames), expected);
    let header = frames.iter().find(|frame| frame.is(0, 2)).unwrap();
    let properties = codec::decode_content_header(&header.arguments)
        .unwrap()
        .properties;
    assert_eq!(
        (properties.correlation_id, properties.message_type),
        ("m1", wire_name)
    );
    let headers: FieldTable = properties.headers.unwrap();
    assert_eq!(headers.get("x-come-back-ms"), Some(FieldValue::Signed(50)));
    assert_eq!(
        (
            fixture.server.pending_request_count(),
            fixture.server.pending_requests_of(connection)
        ),
        (0, 0)
    );
}

#[test]
fn a_failed_request_is_dead_lettered_exactly_once() {
    let mut fixture = new_fixture();
    let connection = open_confirming_channel(&mut fixture, 1);
    fixture.send(
        connection,
        &method(1, 40, 10, |m| {
            m.short(0)
                .short_str("dead")
                .short_str("fanout")
                .octet(0)
                .long_str(b"")
        }),
    );
    fixture.declare(connection, "dq", b"");
    fixture.send(
        connection,
        &method(1, 50, 20, |m| {
            m.short(0)
                .short_str("dq")
                .short_str("dead")
                .short_str("")
                .bit(false)
                .long_str(b"")
        }),
    );
    publish_request(&mut fixture, connection, "m1");
    let request = fixture.actions.accepted[0].0;
    fixture.answer(request, Disposition::Failed);
    fixture.answer(request, Disposition::Failed);
    fixture.received_frames(1);
    fixture.consume(connection, "dq", "c", true);
    assert_eq!(
        delivered(&fixture.received_frames(1)),
        [("body".to_string(), false)]
    );
}

#[test]
fn acks_are_sent_together_if_no_earlier_publish_is_unconfirmed() {
    let mut fixture = new_fixture();
    let connection = open_confirming_channel(&mut fixture, 1);
    fixture.declare(connection, "q", b"");
    fixture.received_frames(1);
    let properties = BasicProperties::default();
    let five_publishes: Vec<u8> = (0..5)
        .flat_map(|_| publish_on(1, "", "q", &properties, b"x", false))
        .collect();
    fixture.send(connection, &five_publishes);
    let frames = fixture.received_frames(1);
    assert_eq!(
        method_ids(&frames),
        [(60, 80)],
        "one ack for five publishes"
    );
    let mut arguments = ArgumentReader::new(&frames[0].arguments);
    assert_eq!((arguments.long_long(), arguments.bit()), (Ok(5), Ok(true)));
    publish_request(&mut fixture, connection, "m1");
    fixture.send(connection, &five_publishes);
    let frames = fixture.received_frames(1);
    let acked_sequences: Vec<_> = frames
        .iter()
        .map(|frame| {
            ArgumentReader::new(&frame.arguments[..8])
                .long_long()
                .unwrap()
        })
        .collect();
    assert_eq!(
        acked_sequences,
        [7, 8, 9, 10, 11],
        "the sixth is unconfirmed, so each gets its own ack"
    );
}

#[test]
fn confirms_of_a_closed_channel_do_not_reach_a_new_one_with_its_number() {
    let mut fixture = new_fixture();
    let connection = open_confirming_channel(&mut fixture, 1);
    for id in ["m1", "m2", "m3"] {
        publish_request(&mut fixture, connection, id);
    }
    let requests: Vec<u64> = fixture
        .actions
        .accepted
        .iter()
        .map(|entry| entry.0)
        .collect();
    fixture.answer(requests[0], Disposition::Completed);
    assert_eq!(
        method_ids(&fixture.received_frames(1)),
        [(60, 60), (60, 80)]
    );
    fixture.send(
        connection,
        &method(1, 20, 40, |m| m.short(200).short_str("").long(0)),
    );
    fixture.send(connection, &method(1, 20, 10, |m| m.short_str("")));
    assert_eq!(
        method_ids(&fixture.received_frames(1)),
        [(20, 41), (20, 11)]
    );
    fixture.answer(requests[1], Disposition::Completed);
    fixture.answer(requests[2], Disposition::Failed);
    assert!(
        fixture.received_frames(1).is_empty(),
        "the new channel gets nothing that is for the old one"
    );
    assert_eq!(
        (
            fixture.server.unroutable_replies(),
            fixture.server.pending_requests_of(connection)
        ),
        (2, 0)
    );
}

/// An abandoned request is nacked, and an ack with `multiple` does not cover it.
#[test]
fn an_abandoned_request_is_not_acked_with_the_others() {
    let mut fixture = new_fixture();
    let connection = open_confirming_channel(&mut fixture, 1);
    ["m1", "m2"]
        .into_iter()
        .for_each(|id| publish_request(&mut fixture, connection, id));
    let requests: Vec<u64> = fixture
        .actions
        .accepted
        .iter()
        .map(|entry| entry.0)
        .collect();
    fixture.server.abandon_request(requests[0]);
    fixture.answer(requests[1], Disposition::Completed);
    let frames = fixture.received_frames(1);
    assert_eq!(method_ids(&frames), [(60, 60), (60, 120), (60, 80)]);
    let nack = frames.iter().find(|entry| entry.is(60, 120)).unwrap();
    assert_eq!(
        (
            ArgumentReader::new(&nack.arguments).long_long(),
            fixture.server.pending_requests_of(connection)
        ),
        (Ok(1), 0)
    );
}

#[test]
fn an_answer_whose_reply_queue_was_deleted_is_counted() {
    let mut fixture = new_fixture();
    let connection = fixture.open_channel(1);
    fixture.declare(connection, "replies", b"");
    let properties = BasicProperties {
        reply_to: "replies",
        ..BasicProperties::default()
    };
    fixture.publish(connection, "events", "record.b", &properties, b"x");
    fixture.send(
        connection,
        &method(1, 50, 40, |m| m.short(0).short_str("replies").octet(0)),
    );
    let request = fixture.actions.accepted[0].0;
    fixture.answer(request, Disposition::Completed);
    assert_eq!(fixture.server.unroutable_replies(), 1);
}

#[test]
fn requests_of_a_lost_connection_stay_pending() {
    let mut fixture = new_fixture();
    let connection = open_confirming_channel(&mut fixture, 1);
    publish_request(&mut fixture, connection, "m1");
    fixture.server.connection_closed(connection);
    let new_connection = open_confirming_channel(&mut fixture, 2);
    assert_eq!(
        new_connection, connection,
        "the connection id is used again"
    );
    let request = fixture.actions.accepted[0].0;
    fixture.answer(request, Disposition::Completed);
    assert!(
        fixture.received_frames(2).is_empty(),
        "the new connection with its id gets nothing"
    );
    assert_eq!(fixture.server.pending_request_count(), 0);
}

#[test]
fn a_blocked_connection_still_gets_deliveries() {
    let mut fixture = new_fixture();
    let connection = fixture.open_channel(1);
    fixture.declare(connection, "q", b"");
    fixture.consume(connection, "q", "c", true);
    fixture.received_frames(1);
    fixture
        .server
        .set_blocked(&mut fixture.actions, connection, true, "full");
    fixture
        .server
        .set_blocked(&mut fixture.actions, connection, true, "full");
    fixture.publish(connection, "", "q", &BasicProperties::default(), b"x");
    let frames = fixture.received_frames(1);
    assert_eq!(method_ids(&frames), [(10, 60), (60, 60)]);
    fixture
        .server
        .set_blocked(&mut fixture.actions, connection, false, "");
    assert_eq!(method_ids(&fixture.received_frames(1)), [(10, 61)]);
}

#[test]
fn a_consumer_that_does_not_read_gets_no_more_deliveries() {
    let mut fixture = new_fixture();
    let connection = fixture.open_channel(1);
    fixture.declare(connection, "q", b"");
    fixture.consume(connection, "q", "c", true);
    fixture.actions.writes_paused = true;
    fixture.publish(connection, "", "q", &BasicProperties::default(), b"x");
    fixture.received_frames(1);
    fixture.actions.writes_paused = false;
    fixture
        .server
        .connection_writable(&mut fixture.actions, connection);
    assert_eq!(delivered(&fixture.received_frames(1)).len(), 1);
}

#[test]
fn full_queues_nack_or_raise_an_exception() {
    let mut fixture = fixture_with(tidewall_amqp::server::ServerConfig {
        max_queued_bytes: 1_000,
        ..server_config()
    });
    let connection = open_confirming_channel(&mut fixture, 1);
    fixture.declare(connection, "q", b"");
    fixture.received_frames(1);
    let properties = BasicProperties::default();
    (0..2).for_each(|_| fixture.publish(connection, "", "q", &properties, &[7; 700]));
    let frames = fixture.received_frames(1);
    assert_eq!(method_ids(&frames), [(60, 80), (60, 120)]);
    let connection_without_confirms = fixture.open_channel(2);
    fixture.publish(connection_without_confirms, "", "q", &properties, &[7; 700]);
    assert_eq!(fixture.received_frames(2)[0].reason().0, 506);
}

/// Guards against an endless loop when the dead letters of a queue return to it, at once or through another
/// queue. With a time to live of a millisecond or more, each cycle made the message larger. As in RabbitMQ, a
/// message that completes a cycle without a rejection is dropped.
#[test_case(0, false, false; "to the same queue at once")]
#[test_case(0, true, false; "through another queue at once")]
#[test_case(1, false, false; "to the same queue after a millisecond")]
#[test_case(0, true, true; "with a rejection forged by the publisher")]
fn dead_letters_that_return_to_their_queue_are_dropped(
    ttl: i64,
    through_other_queue: bool,
    forged_rejection: bool,
) {
    let mut fixture = new_fixture();
    let connection = fixture.open_channel(1);
    for (name, next) in [
        ("q", if through_other_queue { "p" } else { "q" }),
        ("p", "q"),
    ] {
        let mut table = TableWriter::default();
        table.long_string("x-dead-letter-exchange", &format!("to-{next}"));
        table.signed("x-message-ttl", ttl);
        let exchange = format!("to-{name}");
        fixture.send(
            connection,
            &method(1, 40, 10, |m| {
                m.short(0)
                    .short_str(&exchange)
                    .short_str("fanout")
                    .octet(0)
                    .long_str(b"")
            }),
        );
        fixture.declare(connection, name, &table.0);
        fixture.send(
            connection,
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
    let headers = forged_rejection.then_some(FieldTable(&headers.0));
    fixture.publish(
        connection,
        "",
        "q",
        &BasicProperties {
            headers,
            ..BasicProperties::default()
        },
        b"x",
    );
    for _ in 0..50 {
        fixture.now += 1_000;
        fixture.tick();
    }
    assert_eq!(fixture.server.queued_bytes(), 0, "the message was dropped");
}

/// A rejection by a consumer ends a cycle: a message that expires in the same queue again is still
/// dead-lettered.
#[test]
fn a_message_that_was_rejected_since_is_dead_lettered_again() {
    let mut fixture = new_fixture();
    let connection = fixture.open_channel(1);
    for (name, next, ttl) in [("q", "p", Some(1)), ("p", "q", None)] {
        let mut table = TableWriter::default();
        // The default exchange routes by the routing key, so each queue has its own exchange.
        table.long_string("x-dead-letter-exchange", &format!("to-{next}"));
        if let Some(milliseconds) = ttl {
            table.signed("x-message-ttl", milliseconds);
        }
        let exchange = format!("to-{name}");
        let declare_exchange = method(1, 40, 10, |m| {
            let m = m.short(0).short_str(&exchange).short_str("fanout");
            m.octet(0).long_str(b"")
        });
        fixture.send(connection, &declare_exchange);
        fixture.declare(connection, name, &table.0);
        let bind = method(1, 50, 20, |m| {
            let m = m.short(0).short_str(name).short_str(&exchange);
            m.short_str("").bit(false).long_str(b"")
        });
        fixture.send(connection, &bind);
    }
    fixture.publish(connection, "", "q", &BasicProperties::default(), b"x");
    let get = method(1, 60, 70, |m| m.short(0).short_str("p").bit(false));
    for round in 1..=3 {
        fixture.now += 1_000;
        fixture.tick();
        fixture.received_frames(1);
        fixture.send(connection, &get);
        assert!(fixture.received_frames(1)[0].is(60, 71), "round {round}");
        fixture.nack(connection, round, false, false);
    }
}
