//! A server with scripted clients: frames go in, what comes out is read back.
#![allow(dead_code)] // each test file uses a part
use std::collections::BTreeMap;
use tidewall_amqp::codec::{
    self, decode_frame, encode_properties, write_content, ArgumentReader, BasicProperties,
    FrameWriter, MethodId, PROTOCOL_HEADER,
};
use tidewall_amqp::server::{
    Disposition, FinalAnswer, NotAccepted, Server, ServerActions, ServerConfig, TriggerPublish,
};

#[derive(Default)]
pub struct World {
    pub out: BTreeMap<u64, Vec<u8>>,
    pub closed: Vec<u64>,
    pub checks: Vec<(usize, String, Vec<u8>)>,
    /// Tickets of events that were taken, with routing key and message-id.
    pub taken: Vec<(u64, String, String)>,
    pub refuse: Option<Disposition>,
    pub no_room: bool,
}

impl ServerActions for World {
    fn write(&mut self, link: u64, bytes: &[u8]) {
        self.out.entry(link).or_default().extend_from_slice(bytes);
    }
    fn is_writable(&self, _: u64) -> bool {
        !self.no_room
    }
    fn close(&mut self, link: u64) {
        self.closed.push(link);
    }
    fn authenticate(&mut self, conn: usize, user: &str, password: &[u8]) {
        self.checks
            .push((conn, user.to_string(), password.to_vec()));
    }
    fn accept_request(&mut self, ticket: u64, t: &TriggerPublish) -> Result<(), NotAccepted> {
        if let Some(word) = self.refuse {
            return Err(NotAccepted {
                disposition: word,
                reason: "refused",
            });
        }
        self.taken.push((
            ticket,
            t.routing_key.to_string(),
            t.properties.message_id.to_string(),
        ));
        Ok(())
    }
}

pub fn limits() -> ServerConfig {
    ServerConfig {
        frame_max: 131_072,
        channel_max: 64,
        heartbeat_seconds: 30,
        max_body_size: 1_000_000,
        handshake_timeout: 100_000,
        max_queued_bytes: 10_000_000,
        trigger_exchange: "events".to_string(),
        dead_letter_exchange: "dead".to_string(),
        virtual_hosts: vec!["/".to_string()],
    }
}

/// A frame as a client sees it: of a method its class and method, else 0 and the frame's type.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub channel: u16,
    pub class: u16,
    pub method: u16,
    pub args: Vec<u8>,
}

impl Seen {
    pub fn is(&self, class: u16, method: u16) -> bool {
        (self.class, self.method) == (class, method)
    }

    /// Reply code and text of a close.
    pub fn reason(&self) -> (u16, String) {
        let mut a = ArgumentReader::new(&self.args);
        (a.short().unwrap(), a.short_str().unwrap().to_string())
    }
}

pub struct Site {
    pub server: Server,
    pub world: World,
    pub now: u64,
}

pub fn site() -> Site {
    site_with(limits())
}

pub fn site_with(limits: ServerConfig) -> Site {
    Site {
        server: Server::new(limits),
        world: World::default(),
        now: 0,
    }
}

pub fn method(
    channel: u16,
    class: u16,
    method: u16,
    args: impl FnOnce(FrameWriter) -> FrameWriter,
) -> Vec<u8> {
    let mut out = Vec::new();
    args(FrameWriter::method(
        &mut out,
        channel,
        MethodId::new(class, method),
    ))
    .finish();
    out
}

pub fn publish_on(
    channel: u16,
    exchange: &str,
    key: &str,
    p: &BasicProperties,
    body: &[u8],
    mandatory: bool,
) -> Vec<u8> {
    let mut out = method(channel, 60, 40, |m| {
        m.short(0)
            .short_str(exchange)
            .short_str(key)
            .bit(mandatory)
            .bit(false)
    });
    let mut properties = Vec::new();
    encode_properties(&mut properties, p);
    write_content(&mut out, channel, &properties, body, 4096);
    out
}

pub fn final_answer(disposition: Disposition, retry_after: u64) -> FinalAnswer<'static> {
    FinalAnswer {
        disposition,
        retry_after,
        reason: "why",
        payload: b"result",
    }
}

impl Site {
    /// A connection that has sent nothing.
    pub fn raw(&mut self, link: u64) -> usize {
        self.server.connection_accepted(link)
    }

    pub fn send(&mut self, conn: usize, bytes: &[u8]) -> usize {
        self.server.advance_clock(self.now);
        self.server.receive(&mut self.world, conn, bytes)
    }

    /// What came for a connection since it was last asked.
    pub fn got(&mut self, link: u64) -> Vec<Seen> {
        let bytes = std::mem::take(self.world.out.entry(link).or_default());
        let (mut at, mut seen) = (0, Vec::new());
        while let Some((f, used)) = decode_frame(&bytes[at..], 1 << 20).unwrap() {
            let (class, method, args) = match f.frame_type {
                codec::FRAME_METHOD => {
                    let mut a = ArgumentReader::new(f.payload);
                    (a.short().unwrap(), a.short().unwrap(), &f.payload[4..])
                }
                kind => (0, u16::from(kind), f.payload),
            };
            seen.push(Seen {
                channel: f.channel,
                class,
                method,
                args: args.to_vec(),
            });
            at += used;
        }
        assert_eq!(at, bytes.len(), "only whole frames go out");
        seen
    }

    /// Logged in, tuned and open.
    pub fn open(&mut self, link: u64) -> usize {
        let conn = self.raw(link);
        self.send(conn, &PROTOCOL_HEADER);
        self.login(conn, "PLAIN", b"\0u\0p");
        self.world.checks.clear();
        self.server
            .authentication_finished(&mut self.world, conn, link, true);
        self.send(conn, &method(0, 10, 31, |m| m.short(0).long(0).short(0)));
        self.send(
            conn,
            &method(0, 10, 40, |m| m.short_str("/").short_str("").bit(false)),
        );
        let told = self.got(link);
        assert!(
            told[0].is(10, 10) && told[1].is(10, 30) && told[2].is(10, 41),
            "{told:?}"
        );
        conn
    }

    pub fn login(&mut self, conn: usize, mechanism: &str, response: &[u8]) {
        let mut can = codec::TableWriter::default();
        can.boolean("connection.blocked", true);
        let mut about = codec::TableWriter::default();
        about.table("capabilities", &can.0);
        let ok = method(0, 10, 11, |m| {
            m.long_str(&about.0)
                .short_str(mechanism)
                .long_str(response)
                .short_str("en_US")
        });
        self.send(conn, &ok);
    }

    /// An open connection with channel 1.
    pub fn channel(&mut self, link: u64) -> usize {
        let conn = self.open(link);
        self.send(conn, &method(1, 20, 10, |m| m.short_str("")));
        assert!(self.got(link)[0].is(20, 11));
        conn
    }

    pub fn declare(&mut self, conn: usize, name: &str, table: &[u8]) {
        self.send(conn, &declare(name, false, false, table));
    }

    pub fn consume(&mut self, conn: usize, queue: &str, tag: &str, no_ack: bool) {
        self.send(
            conn,
            &method(1, 60, 20, |m| {
                let m = m.short(0).short_str(queue).short_str(tag);
                m.bit(false).bit(no_ack).bit(false).bit(false).long_str(b"")
            }),
        );
    }

    pub fn publish(
        &mut self,
        conn: usize,
        exchange: &str,
        key: &str,
        p: &BasicProperties,
        body: &[u8],
    ) {
        self.send(conn, &publish_on(1, exchange, key, p, body, false));
    }

    pub fn ack(&mut self, conn: usize, tag: u64, multiple: bool) {
        self.send(conn, &method(1, 60, 80, |m| m.long_long(tag).bit(multiple)));
    }

    pub fn nack(&mut self, conn: usize, tag: u64, multiple: bool, requeue: bool) {
        self.send(
            conn,
            &method(1, 60, 120, |m| m.long_long(tag).bit(multiple).bit(requeue)),
        );
    }

    pub fn answer(&mut self, ticket: u64, word: Disposition) {
        self.server.advance_clock(self.now);
        self.server
            .complete_request(&mut self.world, ticket, final_answer(word, 500));
        self.server.flush(&mut self.world);
    }

    pub fn tick(&mut self) {
        self.server.advance_clock(self.now);
        self.server.tick(&mut self.world);
    }
}

pub fn declare(name: &str, passive: bool, exclusive: bool, table: &[u8]) -> Vec<u8> {
    method(1, 50, 10, |m| {
        let m = m
            .short(0)
            .short_str(name)
            .bit(passive)
            .bit(false)
            .bit(exclusive)
            .bit(false)
            .bit(false);
        m.long_str(table)
    })
}

/// Bodies of the deliveries among frames, with whether each is a redelivery.
pub fn delivered(seen: &[Seen]) -> Vec<(String, bool)> {
    let mut all = Vec::new();
    for (i, s) in seen.iter().enumerate().filter(|s| s.1.is(60, 60)) {
        let mut a = ArgumentReader::new(&s.args);
        a.short_str().unwrap();
        a.long_long().unwrap();
        let again = a.bit().unwrap();
        let body = seen
            .get(i + 2)
            .filter(|b| b.is(0, 3))
            .map_or(Vec::new(), |b| b.args.clone());
        all.push((String::from_utf8(body).unwrap(), again));
    }
    all
}
