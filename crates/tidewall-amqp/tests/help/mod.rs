//! A server whose clients are scripted: a test passes frames to it and decodes the frames that it writes.
#![allow(dead_code)] // each test file uses some of it
use std::collections::BTreeMap;
use tidewall_amqp::codec::{
    self, decode_frame, encode_properties, write_content, ArgumentReader, BasicProperties,
    FrameWriter, MethodId, PROTOCOL_HEADER,
};
use tidewall_amqp::server::{
    Disposition, FinalAnswer, NotAccepted, Server, ServerActions, ServerConfig, TriggerPublish,
};

/// Records the actions of the server.
#[derive(Default)]
pub struct RecordedActions {
    pub written: BTreeMap<u64, Vec<u8>>,
    pub closed: Vec<u64>,
    pub password_checks: Vec<(usize, String, Vec<u8>)>,
    /// Ids of accepted requests, with routing key and message-id.
    pub accepted: Vec<(u64, String, String)>,
    /// Refuses requests with this disposition.
    pub refuse_with: Option<Disposition>,
    pub writes_paused: bool,
}

impl ServerActions for RecordedActions {
    fn write(&mut self, transport: u64, bytes: &[u8]) {
        self.written
            .entry(transport)
            .or_default()
            .extend_from_slice(bytes);
    }
    fn is_writable(&self, _: u64) -> bool {
        !self.writes_paused
    }
    fn close(&mut self, transport: u64) {
        self.closed.push(transport);
    }
    fn authenticate(&mut self, connection: usize, user: &str, password: &[u8]) {
        self.password_checks
            .push((connection, user.to_string(), password.to_vec()));
    }
    fn accept_request(
        &mut self,
        request: u64,
        publish: &TriggerPublish,
    ) -> Result<(), NotAccepted> {
        if let Some(disposition) = self.refuse_with {
            return Err(NotAccepted {
                disposition,
                reason: "refused",
            });
        }
        self.accepted.push((
            request,
            publish.routing_key.to_string(),
            publish.properties.message_id.to_string(),
        ));
        Ok(())
    }
}

pub fn server_config() -> ServerConfig {
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

/// A frame that a client received. For frames other than methods, `class` is 0 and `method` is the frame
/// type.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedFrame {
    pub channel: u16,
    pub class: u16,
    pub method: u16,
    pub arguments: Vec<u8>,
}

impl ReceivedFrame {
    pub fn is(&self, class: u16, method: u16) -> bool {
        (self.class, self.method) == (class, method)
    }

    /// Reply code and text of `connection.close`, `channel.close` or `basic.return`.
    pub fn reason(&self) -> (u16, String) {
        let mut reader = ArgumentReader::new(&self.arguments);
        (
            reader.short().unwrap(),
            reader.short_str().unwrap().to_string(),
        )
    }
}

pub struct Fixture {
    pub server: Server,
    pub actions: RecordedActions,
    pub now: u64,
}

pub fn new_fixture() -> Fixture {
    fixture_with(server_config())
}

pub fn fixture_with(server_config: ServerConfig) -> Fixture {
    Fixture {
        server: Server::new(server_config),
        actions: RecordedActions::default(),
        now: 0,
    }
}

pub fn method(
    channel: u16,
    class: u16,
    method: u16,
    arguments: impl FnOnce(FrameWriter) -> FrameWriter,
) -> Vec<u8> {
    let mut written = Vec::new();
    arguments(FrameWriter::method(
        &mut written,
        channel,
        MethodId::new(class, method),
    ))
    .finish();
    written
}

pub fn publish_on(
    channel: u16,
    exchange: &str,
    key: &str,
    properties: &BasicProperties,
    body: &[u8],
    mandatory: bool,
) -> Vec<u8> {
    let mut written = method(channel, 60, 40, |m| {
        m.short(0)
            .short_str(exchange)
            .short_str(key)
            .bit(mandatory)
            .bit(false)
    });
    let mut encoded = Vec::new();
    encode_properties(&mut encoded, properties);
    write_content(&mut written, channel, &encoded, body, 4096);
    written
}

pub fn final_answer(disposition: Disposition, retry_after: u64) -> FinalAnswer<'static> {
    FinalAnswer {
        disposition,
        retry_after,
        reason: "why",
        payload: b"result",
    }
}

impl Fixture {
    /// Accepts a connection, which has not sent anything yet.
    pub fn accept_connection(&mut self, transport: u64) -> usize {
        self.server.connection_accepted(transport)
    }

    pub fn send(&mut self, connection: usize, bytes: &[u8]) -> usize {
        self.server.advance_clock(self.now);
        self.server.receive(&mut self.actions, connection, bytes)
    }

    /// The frames that were written to a connection since the last call.
    pub fn received_frames(&mut self, transport: u64) -> Vec<ReceivedFrame> {
        let bytes = std::mem::take(self.actions.written.entry(transport).or_default());
        let (mut offset, mut frames) = (0, Vec::new());
        while let Some((frame, length)) = decode_frame(&bytes[offset..], 1 << 20).unwrap() {
            let (class, method, arguments) = match frame.frame_type {
                codec::FRAME_METHOD => {
                    let mut reader = ArgumentReader::new(frame.payload);
                    (
                        reader.short().unwrap(),
                        reader.short().unwrap(),
                        &frame.payload[4..],
                    )
                }
                frame_type => (0, u16::from(frame_type), frame.payload),
            };
            frames.push(ReceivedFrame {
                channel: frame.channel,
                class,
                method,
                arguments: arguments.to_vec(),
            });
            offset += length;
        }
        assert_eq!(offset, bytes.len(), "only complete frames are written");
        frames
    }

    /// Opens a connection: logged in, tuned and open.
    pub fn open_connection(&mut self, transport: u64) -> usize {
        let connection = self.accept_connection(transport);
        self.send(connection, &PROTOCOL_HEADER);
        self.send_start_ok(connection, "PLAIN", b"\0u\0p");
        self.actions.password_checks.clear();
        self.server
            .authentication_finished(&mut self.actions, connection, transport, true);
        self.send(
            connection,
            &method(0, 10, 31, |m| m.short(0).long(0).short(0)),
        );
        self.send(
            connection,
            &method(0, 10, 40, |m| m.short_str("/").short_str("").bit(false)),
        );
        let frames = self.received_frames(transport);
        assert!(
            frames[0].is(10, 10) && frames[1].is(10, 30) && frames[2].is(10, 41),
            "{frames:?}"
        );
        connection
    }

    pub fn send_start_ok(&mut self, connection: usize, mechanism: &str, response: &[u8]) {
        let mut capabilities = codec::TableWriter::default();
        capabilities.boolean("connection.blocked", true);
        let mut client_properties = codec::TableWriter::default();
        client_properties.table("capabilities", &capabilities.0);
        let start_ok = method(0, 10, 11, |m| {
            m.long_str(&client_properties.0)
                .short_str(mechanism)
                .long_str(response)
                .short_str("en_US")
        });
        self.send(connection, &start_ok);
    }

    /// Opens a connection and its channel 1.
    pub fn open_channel(&mut self, transport: u64) -> usize {
        let connection = self.open_connection(transport);
        self.send(connection, &method(1, 20, 10, |m| m.short_str("")));
        assert!(self.received_frames(transport)[0].is(20, 11));
        connection
    }

    pub fn declare(&mut self, connection: usize, name: &str, table: &[u8]) {
        self.send(connection, &declare_frame(name, false, false, table));
    }

    pub fn consume(&mut self, connection: usize, queue: &str, tag: &str, no_ack: bool) {
        self.send(
            connection,
            &method(1, 60, 20, |m| {
                let m = m.short(0).short_str(queue).short_str(tag);
                m.bit(false).bit(no_ack).bit(false).bit(false).long_str(b"")
            }),
        );
    }

    pub fn publish(
        &mut self,
        connection: usize,
        exchange: &str,
        key: &str,
        properties: &BasicProperties,
        body: &[u8],
    ) {
        self.send(
            connection,
            &publish_on(1, exchange, key, properties, body, false),
        );
    }

    pub fn ack(&mut self, connection: usize, tag: u64, multiple: bool) {
        self.send(
            connection,
            &method(1, 60, 80, |m| m.long_long(tag).bit(multiple)),
        );
    }

    pub fn nack(&mut self, connection: usize, tag: u64, multiple: bool, requeue: bool) {
        self.send(
            connection,
            &method(1, 60, 120, |m| m.long_long(tag).bit(multiple).bit(requeue)),
        );
    }

    pub fn answer(&mut self, request: u64, disposition: Disposition) {
        self.server.advance_clock(self.now);
        self.server
            .complete_request(&mut self.actions, request, final_answer(disposition, 500));
        self.server.flush(&mut self.actions);
    }

    pub fn tick(&mut self) {
        self.server.advance_clock(self.now);
        self.server.tick(&mut self.actions);
    }
}

pub fn declare_frame(name: &str, passive: bool, exclusive: bool, table: &[u8]) -> Vec<u8> {
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

/// Bodies of the deliveries among frames, each with its redelivered flag.
pub fn delivered(frames: &[ReceivedFrame]) -> Vec<(String, bool)> {
    let mut deliveries = Vec::new();
    for (index, frame) in frames.iter().enumerate().filter(|entry| entry.1.is(60, 60)) {
        let mut reader = ArgumentReader::new(&frame.arguments);
        reader.short_str().unwrap();
        reader.long_long().unwrap();
        let redelivered = reader.bit().unwrap();
        let body = frames
            .get(index + 2)
            .filter(|body_frame| body_frame.is(0, 3))
            .map_or(Vec::new(), |body_frame| body_frame.arguments.clone());
        deliveries.push((String::from_utf8(body).unwrap(), redelivered));
    }
    deliveries
}
