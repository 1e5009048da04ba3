//! Every byte that a server writes in scripted and in random conversations, as one digest that was recorded before
//! the server was divided by concern: a change that is meant to leave behaviour as it is must leave the digest as it is.
//! The codec's own bytes are compared with the record under `tests/oracles/wire`.
#![allow(clippy::unwrap_used)]
mod help;

use help::*;
use std::collections::BTreeMap;
use tidewall_amqp::codec::{
    encode_properties, write_content, write_heartbeat, BasicProperties, FieldTable, FrameWriter,
    MethodId, TableWriter, PROTOCOL_HEADER,
};
use tidewall_amqp::server::Disposition;

/// FNV-1a, so that the record depends on no library.
struct Digest(u64);

impl Digest {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// A linear congruential generator (Knuth's MMIX constants): the same numbers on every platform.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    fn pick<'a>(&mut self, from: &[&'a str]) -> &'a str {
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
const KEYS: [&str; 6] = ["q", "a.b", "a.#", "*.b", "r", "record.f"];
const TAGS: [&str; 3] = ["c", "", "d"];
const REPLIES: [&str; 4] = ["", "q", "amq.rabbitmq.reply-to", "none"];

fn declare_queue(n: &mut Numbers, channel: u16) -> Vec<u8> {
    let mut table = TableWriter::default();
    if n.chance(3) {
        table.long_string("x-dead-letter-exchange", n.pick(&["dead", "t", ""]));
    }
    if n.chance(3) {
        table.signed("x-message-ttl", n.below(200) as i64 - 20);
    }
    method(channel, 50, 10, |m| {
        m.short(0)
            .short_str(n.pick(&QUEUES))
            .bit(n.chance(6))
            .bit(false)
            .bit(n.chance(9))
            .bit(n.chance(4))
            .bit(n.chance(9))
            .long_str(&table.0)
    })
}

fn publish(n: &mut Numbers, channel: u16) -> Vec<u8> {
    let mut headers = TableWriter::default();
    headers.long_string("h", "v");
    headers.boolean("x-redelivered", n.chance(2));
    let p = BasicProperties {
        headers: n.chance(2).then_some(FieldTable(&headers.0)),
        priority: n.below(3) as u8,
        correlation_id: n.pick(&["", "id"]),
        reply_to: n.pick(&REPLIES),
        expiration: n.pick(&["", "", "0", "20", "soon"]),
        message_id: n.pick(&["", "m"]),
        user_id: n.pick(&["", "", "", "u", "x"]),
        ..BasicProperties::default()
    };
    let body = vec![n.below(256) as u8; n.below(6_000) as usize * n.below(2) as usize];
    let (exchange, key) = (n.pick(&EXCHANGES), n.pick(&KEYS));
    publish_on(channel, exchange, key, &p, &body, n.chance(2))
}

fn basic(n: &mut Numbers, channel: u16) -> Vec<u8> {
    let (tag, queue) = (n.below(6), n.pick(&QUEUES));
    match n.below(9) {
        0 => method(channel, 60, 10, |m| {
            m.long(u32::from(n.chance(40)))
                .short(n.below(4) as u16)
                .bit(n.chance(2))
        }),
        1 | 2 => method(channel, 60, 20, |m| {
            let name = if n.chance(4) { REPLIES[2] } else { queue };
            let m = m.short(0).short_str(name).short_str(n.pick(&TAGS));
            let m = m.bit(false).bit(n.chance(2)).bit(n.chance(9));
            m.bit(n.chance(9)).long_str(b"")
        }),
        3 => method(channel, 60, 30, |m| {
            m.short_str(n.pick(&TAGS)).bit(n.chance(9))
        }),
        4 => method(channel, 60, 70, |m| {
            m.short(0).short_str(queue).bit(n.chance(2))
        }),
        5 => method(channel, 60, 80, |m| m.long_long(tag).bit(n.chance(2))),
        6 => method(channel, 60, 90, |m| m.long_long(tag).bit(n.chance(2))),
        7 => method(channel, 60, 100 + 10 * n.below(2) as u16, |m| {
            m.bit(!n.chance(9))
        }),
        _ => method(channel, 60, 120, |m| {
            m.long_long(tag).bit(n.chance(2)).bit(n.chance(2))
        }),
    }
}

fn frame_of(n: &mut Numbers) -> Vec<u8> {
    let channel = 1 + n.below(2) as u16;
    match n.below(24) {
        0 if n.chance(9) => method(channel, 20, 10, |m| m.short_str("")),
        1 => method(channel, 20, 20, |m| m.bit(!n.chance(3))),
        2 if n.chance(2) => method(channel, 20, 40 + n.below(2) as u16, |m| {
            m.short(200).short_str("").long(0)
        }),
        3 => method(channel, 85, 10, |m| m.bit(n.chance(2))),
        4 => method(channel, 40, 10, |m| {
            let (name, kind) = (n.pick(&EXCHANGES), n.pick(&["topic", "fanout", "direct"]));
            let m = m.short(0).short_str(name).short_str(kind);
            m.bit(n.chance(4))
                .bit(false)
                .bit(n.chance(4))
                .bit(n.chance(9))
                .bit(n.chance(9))
                .long_str(b"")
        }),
        5 if n.chance(3) => method(channel, 40, 20, |m| {
            m.short(0)
                .short_str(n.pick(&EXCHANGES))
                .bit(n.chance(2))
                .bit(n.chance(9))
        }),
        6 | 7 => declare_queue(n, channel),
        8 | 9 => method(channel, 50, 20, |m| {
            let m = m.short(0).short_str(n.pick(&QUEUES));
            let m = m.short_str(n.pick(&EXCHANGES)).short_str(n.pick(&KEYS));
            m.bit(n.chance(9)).long_str(b"")
        }),
        10 => method(channel, 50, 50, |m| {
            let m = m.short(0).short_str(n.pick(&QUEUES));
            let m = m.short_str(n.pick(&EXCHANGES)).short_str(n.pick(&KEYS));
            m.long_str(b"")
        }),
        11 if n.chance(2) => method(channel, 50, 30 + 10 * n.below(2) as u16, |m| {
            m.short(0)
                .short_str(n.pick(&QUEUES))
                .octet(n.below(8) as u8)
        }),
        12..=16 => publish(n, channel),
        _ => basic(n, channel),
    }
}

/// Something that the surroundings do: time passes, an answer comes, a client's buffer fills or drains.
fn outside(n: &mut Numbers, s: &mut Site, conns: &[usize]) {
    let conn = conns[n.below(conns.len() as u64) as usize];
    match n.below(8) {
        0 => {
            s.now += n.below(3_000);
            s.tick();
        }
        1 => {
            s.world.no_room = !s.world.no_room;
            s.server.connection_writable(&mut s.world, conn);
        }
        2 => {
            let on = n.chance(2);
            s.server.set_blocked(&mut s.world, conn, on, "memory");
        }
        3 => s.server.abandon_request(n.below(3)),
        4 if n.chance(6) => {
            s.server.connection_closed(conn);
            s.server.flush(&mut s.world);
        }
        5 => s.world.refuse = n.chance(3).then_some(Disposition::Refused),
        _ => {
            let words = [
                Disposition::Completed,
                Disposition::Rejected,
                Disposition::Failed,
                Disposition::Refused,
            ];
            let (word, pause) = (words[n.below(4) as usize], n.below(2) * 1_234);
            let ticket = n.below(4);
            s.server
                .complete_request(&mut s.world, ticket, final_answer(word, pause));
            s.server.flush(&mut s.world);
        }
    }
}

/// Two clients with two channels each, who open again what the server closed.
struct Clients {
    site: Site,
    /// Link, key at the server, and how much of what was written has been looked at.
    connections: Vec<(u64, usize, usize)>,
    seen: BTreeMap<(u16, u16), usize>,
}

impl Clients {
    fn new() -> Clients {
        let mut limits = limits();
        limits.max_queued_bytes = 20_000;
        let mut clients = Clients {
            site: site_with(limits),
            connections: Vec::new(),
            seen: BTreeMap::new(),
        };
        for link in [1, 2] {
            clients.connect(link);
        }
        clients
    }

    fn connect(&mut self, link: u64) {
        let conn = self.site.channel(link);
        self.connections.push((link, conn, 0));
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
            self.site.send(conn, &frame);
        }
    }

    /// Answers what the server closed, and opens it again.
    fn reopen(&mut self, place: usize) {
        let (link, conn, looked) = self.connections[place];
        let bytes = self.site.world.out.get(&link).cloned().unwrap_or_default();
        let mut at = looked;
        let mut closed = self.site.world.closed.contains(&link);
        let mut answers = Vec::new();
        while let Ok(Some((frame, used))) =
            tidewall_amqp::codec::decode_frame(&bytes[at..], 1 << 20)
        {
            at += used;
            let name = match (frame.frame_type, frame.payload) {
                (1, [_, class, _, method, ..]) => (u16::from(*class), u16::from(*method)),
                (kind, _) => (0, u16::from(kind)),
            };
            *self.seen.entry(name).or_default() += 1;
            if name == (20, 40) {
                answers.push(method(frame.channel, 20, 41, |m| m));
            }
            if matches!(name, (20, 40 | 41)) {
                answers.push(method(frame.channel, 20, 10, |m| m.short_str("")));
            }
            closed |= name == (10, 50);
        }
        self.connections[place].2 = at;
        if closed {
            self.site.send(conn, &method(0, 10, 51, |m| m));
            self.connections.remove(place);
            self.connect(link + 2);
        } else {
            for answer in answers {
                self.site.send(conn, &answer);
            }
        }
    }

    fn play(&mut self, n: &mut Numbers, digest: &mut Digest) {
        for _ in 0..n.below(200) {
            let place = n.below(2) as usize;
            self.reopen(place);
            if n.chance(5) {
                let conns = [self.connections[0].1, self.connections[1].1];
                outside(n, &mut self.site, &conns);
                continue;
            }
            let conn = self.connections[place].1;
            let mut bytes = frame_of(n);
            if n.chance(90) {
                let at = n.below(bytes.len() as u64) as usize;
                bytes[at] = n.below(256) as u8;
            }
            let used = self.site.send(conn, &bytes);
            digest.add(&(used as u64).to_be_bytes());
        }
    }
}

fn conversation(seed: u64, digest: &mut Digest, seen: &mut BTreeMap<(u16, u16), usize>) {
    let mut clients = Clients::new();
    clients.play(&mut Numbers(seed), digest);
    let s = &mut clients.site;
    s.now += 1_000_000;
    s.tick();
    for (link, bytes) in &s.world.out {
        digest.add(&link.to_be_bytes());
        digest.add(bytes);
    }
    let World { closed, taken, .. } = &s.world;
    closed.iter().for_each(|c| digest.add(&c.to_be_bytes()));
    digest.add(format!("{taken:?}").as_bytes());
    let server = &s.server;
    let counts = [
        server.connection_count() as u64,
        server.pending_request_count() as u64,
        server.queued_bytes() as u64,
        server.unroutable_replies(),
        server.exception_count(),
    ];
    counts.iter().for_each(|c| digest.add(&c.to_be_bytes()));
    digest.add(server.last_exception().as_bytes());
    for (method, count) in &clients.seen {
        *seen.entry(*method).or_default() += count;
    }
}

/// Of 3,000 conversations, by the build before the server was divided.
const RECORDED: &str = "fb7a813e7f79d4bf";

/// Methods (class, method) and contents (0, frame type) that a server may write.
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
fn conversations_are_the_same_byte_for_byte() {
    let (mut digest, mut seen) = (Digest(0xcbf2_9ce4_8422_2325), BTreeMap::new());
    (0..3_000).for_each(|seed| conversation(seed, &mut digest, &mut seen));
    for method in WRITTEN {
        assert!(seen.contains_key(&method), "{method:?} is never written");
    }
    assert_eq!(format!("{:016x}", digest.0), RECORDED);
}

/// The bytes of one name in `tests/oracles/wire/amqp.hex`.
fn recorded(name: &str) -> Vec<u8> {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../tests/oracles/wire/amqp.hex"
    );
    let text = std::fs::read_to_string(path).unwrap();
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    let digits = line.unwrap().as_bytes();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

#[test]
fn the_codec_writes_the_recorded_bytes() {
    let mut out = Vec::new();
    write_heartbeat(&mut out);
    assert_eq!(out, recorded("heartbeat"));
    let m = FrameWriter::method(&mut out, 3, MethodId::new(60, 40))
        .octet(1)
        .short(2)
        .long(3);
    let m = m.long_long(4).bit(true).bit(false).short_str("s");
    m.long_str(b"long").raw(&[9]).finish();
    assert_eq!(out[8..], recorded("method"));
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
