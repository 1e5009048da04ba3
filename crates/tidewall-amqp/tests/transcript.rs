//! One digest of all bytes that a server writes in random conversations, compared with a recorded digest: a
//! change that is not meant to change behaviour must not change it. It was recorded before the server was
//! split into files by concern. The encoding of the codec is compared with the bytes recorded under
//! `tests/oracles/wire`.
#![allow(clippy::unwrap_used)]
mod help;

use help::*;
use std::collections::BTreeMap;
use tidewall_amqp::codec::{
    encode_properties, write_content, write_heartbeat, BasicProperties, FieldTable, FrameWriter,
    MethodId, TableWriter, PROTOCOL_HEADER,
};
use tidewall_amqp::server::Disposition;

/// FNV-1a, implemented here so that the recorded digest does not depend on a library.
struct Digest(u64);

impl Digest {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// A linear congruential generator (Knuth's MMIX constants), which gives the same numbers on every platform.
struct RandomNumbers(u64);

impl RandomNumbers {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    fn choose<'a>(&mut self, from: &[&'a str]) -> &'a str {
        from[self.below(from.len() as u64) as usize]
    }

    fn chance(&mut self, one_in: u64) -> bool {
        self.below(one_in) == 0
    }
}

const QUEUES: [&str; 5] = ["q", "r", "", "dead", "amq.gen-00000001"];
const EXCHANGES: [&str; 8] = [
    "",
    "t",
    "f",
    "d",
    "amq.topic",
    "events",
    "dead",
    "amq.fanout",
];
const ROUTING_KEYS: [&str; 6] = ["q", "a.b", "a.#", "*.b", "r", "record.f"];
const CONSUMER_TAGS: [&str; 3] = ["c", "", "d"];
const REPLY_TO: [&str; 4] = ["", "q", "amq.rabbitmq.reply-to", "none"];

fn random_declare(random: &mut RandomNumbers, channel: u16) -> Vec<u8> {
    let mut table = TableWriter::default();
    if random.chance(3) {
        table.long_string("x-dead-letter-exchange", random.choose(&["dead", "t", ""]));
    }
    if random.chance(3) {
        table.signed("x-message-ttl", random.below(200) as i64 - 20);
    }
    method(channel, 50, 10, |m| {
        m.short(0)
            .short_str(random.choose(&QUEUES))
            .bit(random.chance(6))
            .bit(false)
            .bit(random.chance(9))
            .bit(random.chance(4))
            .bit(random.chance(9))
            .long_str(&table.0)
    })
}

fn random_publish(random: &mut RandomNumbers, channel: u16) -> Vec<u8> {
    let mut headers = TableWriter::default();
    headers.long_string("h", "v");
    headers.boolean("x-redelivered", random.chance(2));
    let properties = BasicProperties {
        headers: random.chance(2).then_some(FieldTable(&headers.0)),
        priority: random.below(3) as u8,
        correlation_id: random.choose(&["", "id"]),
        reply_to: random.choose(&REPLY_TO),
        expiration: random.choose(&["", "", "0", "20", "soon"]),
        message_id: random.choose(&["", "m"]),
        user_id: random.choose(&["", "", "", "u", "x"]),
        ..BasicProperties::default()
    };
    let body =
        vec![random.below(256) as u8; random.below(6_000) as usize * random.below(2) as usize];
    let (exchange, key) = (random.choose(&EXCHANGES), random.choose(&ROUTING_KEYS));
    publish_on(channel, exchange, key, &properties, &body, random.chance(2))
}

fn random_basic_method(random: &mut RandomNumbers, channel: u16) -> Vec<u8> {
    let (tag, queue) = (random.below(6), random.choose(&QUEUES));
    match random.below(9) {
        0 => method(channel, 60, 10, |m| {
            m.long(u32::from(random.chance(40)))
                .short(random.below(4) as u16)
                .bit(random.chance(2))
        }),
        1 | 2 => method(channel, 60, 20, |m| {
            let name = if random.chance(4) { REPLY_TO[2] } else { queue };
            let m = m
                .short(0)
                .short_str(name)
                .short_str(random.choose(&CONSUMER_TAGS));
            let m = m.bit(false).bit(random.chance(2)).bit(random.chance(9));
            m.bit(random.chance(9)).long_str(b"")
        }),
        3 => method(channel, 60, 30, |m| {
            m.short_str(random.choose(&CONSUMER_TAGS))
                .bit(random.chance(9))
        }),
        4 => method(channel, 60, 70, |m| {
            m.short(0).short_str(queue).bit(random.chance(2))
        }),
        5 => method(channel, 60, 80, |m| m.long_long(tag).bit(random.chance(2))),
        6 => method(channel, 60, 90, |m| m.long_long(tag).bit(random.chance(2))),
        7 => method(channel, 60, 100 + 10 * random.below(2) as u16, |m| {
            m.bit(!random.chance(9))
        }),
        _ => method(channel, 60, 120, |m| {
            m.long_long(tag).bit(random.chance(2)).bit(random.chance(2))
        }),
    }
}

fn random_frame(random: &mut RandomNumbers) -> Vec<u8> {
    let channel = 1 + random.below(2) as u16;
    match random.below(24) {
        0 if random.chance(9) => method(channel, 20, 10, |m| m.short_str("")),
        1 => method(channel, 20, 20, |m| m.bit(!random.chance(3))),
        2 if random.chance(2) => method(channel, 20, 40 + random.below(2) as u16, |m| {
            m.short(200).short_str("").long(0)
        }),
        3 => method(channel, 85, 10, |m| m.bit(random.chance(2))),
        4 => method(channel, 40, 10, |m| {
            let (name, kind) = (
                random.choose(&EXCHANGES),
                random.choose(&["topic", "fanout", "direct"]),
            );
            let m = m.short(0).short_str(name).short_str(kind);
            m.bit(random.chance(4))
                .bit(false)
                .bit(random.chance(4))
                .bit(random.chance(9))
                .bit(random.chance(9))
                .long_str(b"")
        }),
        5 if random.chance(3) => method(channel, 40, 20, |m| {
            m.short(0)
                .short_str(random.choose(&EXCHANGES))
                .bit(random.chance(2))
                .bit(random.chance(9))
        }),
        6 | 7 => random_declare(random, channel),
        8 | 9 => method(channel, 50, 20, |m| {
            let m = m.short(0).short_str(random.choose(&QUEUES));
            let m = m
                .short_str(random.choose(&EXCHANGES))
                .short_str(random.choose(&ROUTING_KEYS));
            m.bit(random.chance(9)).long_str(b"")
        }),
        10 => method(channel, 50, 50, |m| {
            let m = m.short(0).short_str(random.choose(&QUEUES));
            let m = m
                .short_str(random.choose(&EXCHANGES))
                .short_str(random.choose(&ROUTING_KEYS));
            m.long_str(b"")
        }),
        11 if random.chance(2) => method(channel, 50, 30 + 10 * random.below(2) as u16, |m| {
            m.short(0)
                .short_str(random.choose(&QUEUES))
                .octet(random.below(8) as u8)
        }),
        12..=16 => random_publish(random, channel),
        _ => random_basic_method(random, channel),
    }
}

/// An event outside the protocol: time passes, a request is answered, or a client's buffer fills or drains.
fn outside_event(random: &mut RandomNumbers, fixture: &mut Fixture, connections: &[usize]) {
    let connection = connections[random.below(connections.len() as u64) as usize];
    match random.below(8) {
        0 => {
            fixture.now += random.below(3_000);
            fixture.tick();
        }
        1 => {
            fixture.actions.writes_paused = !fixture.actions.writes_paused;
            fixture
                .server
                .connection_writable(&mut fixture.actions, connection);
        }
        2 => {
            let blocked = random.chance(2);
            fixture
                .server
                .set_blocked(&mut fixture.actions, connection, blocked, "memory");
        }
        3 => fixture.server.abandon_request(random.below(3)),
        4 if random.chance(6) => {
            fixture.server.connection_closed(connection);
            fixture.server.flush(&mut fixture.actions);
        }
        5 => fixture.actions.refuse_with = random.chance(3).then_some(Disposition::Refused),
        _ => {
            let dispositions = [
                Disposition::Completed,
                Disposition::Rejected,
                Disposition::Failed,
                Disposition::Refused,
            ];
            let (disposition, retry_after) = (
                dispositions[random.below(4) as usize],
                random.below(2) * 1_234,
            );
            let request = random.below(4);
            fixture.server.complete_request(
                &mut fixture.actions,
                request,
                final_answer(disposition, retry_after),
            );
            fixture.server.flush(&mut fixture.actions);
        }
    }
}

/// Two clients with two channels each, which reopen the connections and channels that the server closed.
struct Clients {
    fixture: Fixture,
    /// Transport, id at the server, and number of written bytes that were examined.
    connections: Vec<(u64, usize, usize)>,
    method_counts: BTreeMap<(u16, u16), usize>,
}

impl Clients {
    fn new() -> Clients {
        let mut server_config = server_config();
        server_config.max_queued_bytes = 20_000;
        let mut clients = Clients {
            fixture: fixture_with(server_config),
            connections: Vec::new(),
            method_counts: BTreeMap::new(),
        };
        for transport in [1, 2] {
            clients.connect(transport);
        }
        clients
    }

    fn connect(&mut self, transport: u64) {
        let connection = self.fixture.open_channel(transport);
        self.connections.push((transport, connection, 0));
        let declare = |name: &str, kind: &str| {
            method(1, 40, 10, |m| {
                let m = m.short(0).short_str(name).short_str(kind);
                m.octet(0).long_str(b"")
            })
        };
        let bind = |queue: &str, exchange: &str, key: &str| {
            method(1, 50, 20, |m| {
                let m = m.short(0).short_str(queue).short_str(exchange);
                m.short_str(key).bit(false).long_str(b"")
            })
        };
        let setup = [
            method(2, 20, 10, |m| m.short_str("")),
            method(2, 85, 10, |m| m.bit(false)),
            declare("t", "topic"),
            declare("f", "fanout"),
            declare("d", "direct"),
            declare("dead", "fanout"),
            method(1, 50, 10, |m| {
                m.short(0).short_str("q").octet(0).long_str(b"")
            }),
            bind("q", "t", "a.#"),
            bind("q", "f", ""),
            bind("q", "dead", ""),
        ];
        for frame in setup {
            self.fixture.send(connection, &frame);
        }
    }

    /// Acknowledges the channels and the connection that the server closed, and reopens them.
    fn reopen(&mut self, index: usize) {
        let (transport, connection, examined) = self.connections[index];
        let bytes = self
            .fixture
            .actions
            .written
            .get(&transport)
            .cloned()
            .unwrap_or_default();
        let mut offset = examined;
        let mut closed = self.fixture.actions.closed.contains(&transport);
        let mut replies = Vec::new();
        while let Ok(Some((frame, length))) =
            tidewall_amqp::codec::decode_frame(&bytes[offset..], 1 << 20)
        {
            offset += length;
            let id = match (frame.frame_type, frame.payload) {
                (1, [_, class, _, method, ..]) => (u16::from(*class), u16::from(*method)),
                (frame_type, _) => (0, u16::from(frame_type)),
            };
            *self.method_counts.entry(id).or_default() += 1;
            if id == (20, 40) {
                replies.push(method(frame.channel, 20, 41, |m| m));
            }
            if matches!(id, (20, 40 | 41)) {
                replies.push(method(frame.channel, 20, 10, |m| m.short_str("")));
            }
            closed |= id == (10, 50);
        }
        self.connections[index].2 = offset;
        if closed {
            self.fixture.send(connection, &method(0, 10, 51, |m| m));
            self.connections.remove(index);
            self.connect(transport + 2);
        } else {
            for reply in replies {
                self.fixture.send(connection, &reply);
            }
        }
    }

    fn run(&mut self, random: &mut RandomNumbers, digest: &mut Digest) {
        for _ in 0..random.below(200) {
            let index = random.below(2) as usize;
            self.reopen(index);
            if random.chance(5) {
                let connections = [self.connections[0].1, self.connections[1].1];
                outside_event(random, &mut self.fixture, &connections);
                continue;
            }
            let connection = self.connections[index].1;
            let mut bytes = random_frame(random);
            if random.chance(90) {
                let position = random.below(bytes.len() as u64) as usize;
                bytes[position] = random.below(256) as u8;
            }
            let consumed = self.fixture.send(connection, &bytes);
            digest.add(&(consumed as u64).to_be_bytes());
        }
    }
}

fn run_conversation(
    seed: u64,
    digest: &mut Digest,
    method_counts: &mut BTreeMap<(u16, u16), usize>,
) {
    let mut clients = Clients::new();
    clients.run(&mut RandomNumbers(seed), digest);
    let fixture = &mut clients.fixture;
    fixture.now += 1_000_000;
    fixture.tick();
    for (transport, bytes) in &fixture.actions.written {
        digest.add(&transport.to_be_bytes());
        digest.add(bytes);
    }
    let RecordedActions {
        closed, accepted, ..
    } = &fixture.actions;
    closed
        .iter()
        .for_each(|value| digest.add(&value.to_be_bytes()));
    digest.add(format!("{accepted:?}").as_bytes());
    let server = &fixture.server;
    let counts = [
        server.connection_count() as u64,
        server.pending_request_count() as u64,
        server.queued_bytes() as u64,
        server.unroutable_replies(),
        server.exception_count(),
    ];
    counts
        .iter()
        .for_each(|value| digest.add(&value.to_be_bytes()));
    digest.add(server.last_exception().as_bytes());
    for (method, count) in &clients.method_counts {
        *method_counts.entry(*method).or_default() += count;
    }
}

/// Digest of 3,000 conversations, recorded before the server was split into files by concern.
const RECORDED: &str = "fb7a813e7f79d4bf";

/// Methods (class, method) and frames of content (0, frame type) that a server may write.
const WRITTEN: [(u16, u16); 28] = [
    (10, 50),
    (10, 60),
    (10, 61),
    (20, 11),
    (20, 21),
    (20, 40),
    (20, 41),
    (40, 11),
    (40, 21),
    (50, 11),
    (50, 21),
    (50, 31),
    (50, 41),
    (50, 51),
    (60, 11),
    (60, 21),
    (60, 30),
    (60, 31),
    (60, 50),
    (60, 60),
    (60, 71),
    (60, 72),
    (60, 80),
    (60, 111),
    (60, 120),
    (85, 11),
    (0, 2),
    (0, 3),
];

#[test]
fn conversations_match_the_recorded_digest() {
    let (mut digest, mut method_counts) = (Digest(0xcbf2_9ce4_8422_2325), BTreeMap::new());
    (0..3_000).for_each(|seed| run_conversation(seed, &mut digest, &mut method_counts));
    for method in WRITTEN {
        assert!(
            method_counts.contains_key(&method),
            "{method:?} is never written"
        );
    }
    assert_eq!(format!("{:016x}", digest.0), RECORDED);
}

/// The bytes recorded under this name in `tests/oracles/wire/amqp.hex`.
fn recorded(name: &str) -> Vec<u8> {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../tests/oracles/wire/amqp.hex"
    );
    let text = std::fs::read_to_string(path).unwrap();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let digits = line.unwrap().as_bytes();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

#[test]
fn the_codec_writes_the_recorded_bytes() {
    let mut written = Vec::new();
    write_heartbeat(&mut written);
    assert_eq!(written, recorded("heartbeat"));
    let m = FrameWriter::method(&mut written, 3, MethodId::new(60, 40))
        .octet(1)
        .short(2)
        .long(3);
    let m = m.long_long(4).bit(true).bit(false).short_str("s");
    m.long_str(b"long").raw(&[9]).finish();
    assert_eq!(written[8..], recorded("method"));
    let mut nested = TableWriter::default();
    nested.long_string("product", "t");
    nested.signed("number", -5);
    nested.boolean("yes", true);
    nested.timestamp("at", 1_764_633_600);
    assert_eq!(nested.0, recorded("table"));
    let properties = BasicProperties {
        content_type: "text/plain",
        content_encoding: "utf-8",
        headers: Some(FieldTable(&nested.0)),
        delivery_mode: 2,
        priority: 9,
        correlation_id: "c",
        reply_to: "r",
        expiration: "60000",
        message_id: "m",
        timestamp: Some(1_764_633_600),
        message_type: "ty",
        user_id: "u",
        app_id: "a",
    };
    let mut encoded = Vec::new();
    encode_properties(&mut encoded, &properties);
    assert_eq!(encoded, recorded("properties"));
    let mut framed = Vec::new();
    write_content(&mut framed, 3, &encoded, &[7; 5_000], 4_096);
    assert_eq!(framed, recorded("content"));
    encoded.clear();
    encode_properties(&mut encoded, &BasicProperties::default());
    assert_eq!(encoded, recorded("properties-none"));
    assert_eq!(PROTOCOL_HEADER, *b"AMQP\x00\x00\x09\x01");
}
