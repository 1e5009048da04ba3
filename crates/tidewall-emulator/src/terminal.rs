//! An emulated client's end of AMQP 0-9-1: it logs in, opens one channel with publisher confirms and direct
//! reply-to, and publishes. Incoming replies and confirms go to `AmqpClientHandler`.
use std::collections::BTreeMap;
use tidewall_amqp::codec::{
    self, ArgumentReader, BasicProperties, FieldValue, FrameWriter, MethodId, TableWriter,
};

/// Receives what the broker sends to a client.
pub trait AmqpClientHandler {
    fn ready(&mut self);
    fn answer(&mut self, request_id: u64, word: &str, come_back: u64);
    fn confirmed(&mut self, request_id: u64, good: bool);
}

#[derive(Default)]
pub struct AmqpClient {
    /// Whether the content that follows belongs to a delivery; other content is skipped.
    delivery: bool,
    content_size: Option<u64>,
    content_received: u64,
    published: u64,
    /// Publishes that are not confirmed yet, by delivery tag.
    unconfirmed: BTreeMap<u64, u64>,
    /// The channel is being closed: what still arrives on it is skipped.
    closing: bool,
    /// Number of messages in a queue of its own that it consumes without acks; 0 for a client that publishes
    /// requests.
    unacked_messages: u64,
}

const DIRECT_REPLY_TO: &str = "amq.rabbitmq.reply-to";

impl AmqpClient {
    pub fn connected(&mut self, out: &mut Vec<u8>) {
        *self = AmqpClient {
            unacked_messages: self.unacked_messages,
            ..AmqpClient::default()
        };
        out.extend_from_slice(&codec::PROTOCOL_HEADER);
    }

    /// A client that publishes no requests: it consumes a queue of `unacked_messages` messages of its own and
    /// never acks.
    pub fn consumer_without_acks(unacked_messages: u64) -> AmqpClient {
        AmqpClient {
            unacked_messages,
            ..AmqpClient::default()
        }
    }

    /// Closes the channel; it is opened again when the broker confirms the close.
    pub fn close_channel(&mut self, out: &mut Vec<u8>) {
        self.closing = true;
        FrameWriter::method(out, 1, MethodId::new(20, 40))
            .short(200)
            .short_str("done")
            .short(0)
            .short(0)
            .finish();
    }

    /// Declares a queue; the reply to it publishes the messages and starts the consumer that never acks.
    fn declare_unacked_queue(&mut self, out: &mut Vec<u8>) {
        let m = FrameWriter::method(out, 1, MethodId::new(50, 10))
            .short(0)
            .short_str("");
        m.bit(false)
            .bit(false)
            .bit(true)
            .bit(true)
            .bit(false)
            .long_str(b"")
            .finish();
    }

    /// Reads one frame at the start of the bytes; 0 while it is not whole.
    pub fn frame(
        &mut self,
        bytes: &[u8],
        out: &mut Vec<u8>,
        handler: &mut impl AmqpClientHandler,
    ) -> Result<usize, String> {
        let protocol_error =
            |f: tidewall_amqp::ProtocolError| format!("{} {}", f.reply_code, f.reply_text);
        let Some((frame, used)) = codec::decode_frame(bytes, 1 << 20).map_err(protocol_error)?
        else {
            return Ok(0);
        };
        match frame.frame_type {
            codec::FRAME_METHOD => self
                .method(frame.payload, out, handler)
                .map_err(protocol_error)?,
            codec::FRAME_HEADER => {
                let header = codec::decode_content_header(frame.payload).map_err(protocol_error)?;
                let (size, p) = (header.body_size, header.properties);
                (self.content_size, self.content_received) = (Some(size), 0);
                if self.delivery && !self.closing && self.unacked_messages == 0 {
                    let come_back = match p.headers.and_then(|h| h.get("x-come-back-ms")) {
                        Some(FieldValue::Signed(ms)) => ms.max(0) as u64 * 10,
                        _ => 0,
                    };
                    let request_id = p
                        .correlation_id
                        .parse()
                        .map_err(|_| "an answer without its correlation-id")?;
                    handler.answer(request_id, p.message_type, come_back);
                }
            }
            codec::FRAME_BODY => self.content_received += frame.payload.len() as u64,
            _ => codec::write_heartbeat(out),
        }
        Ok(used)
    }

    fn method(
        &mut self,
        payload: &[u8],
        out: &mut Vec<u8>,
        handler: &mut impl AmqpClientHandler,
    ) -> Result<(), tidewall_amqp::ProtocolError> {
        let mut a = ArgumentReader::new(payload);
        match (a.short()?, a.short()?) {
            (10, 10) => {
                let mut capabilities = TableWriter::default();
                capabilities.boolean("connection.blocked", true);
                let mut client_properties = TableWriter::default();
                client_properties.table("capabilities", &capabilities.0);
                let m = FrameWriter::method(out, 0, MethodId::new(10, 11))
                    .long_str(&client_properties.0)
                    .short_str("PLAIN");
                m.long_str(b"\0terminal\0terminal")
                    .short_str("en_US")
                    .finish();
            }
            (10, 30) => {
                let (channels, frame, heartbeat) = (a.short()?, a.long()?, a.short()?);
                FrameWriter::method(out, 0, MethodId::new(10, 31))
                    .short(channels)
                    .long(frame)
                    .short(heartbeat)
                    .finish();
                FrameWriter::method(out, 0, MethodId::new(10, 40))
                    .short_str("/")
                    .short_str("")
                    .bit(false)
                    .finish();
            }
            (10, 41) => FrameWriter::method(out, 1, MethodId::new(20, 10))
                .short_str("")
                .finish(),
            (20, 11) => {
                FrameWriter::method(out, 1, MethodId::new(85, 10))
                    .bit(false)
                    .finish();
                let m = FrameWriter::method(out, 1, MethodId::new(60, 20))
                    .short(0)
                    .short_str(DIRECT_REPLY_TO)
                    .short_str("answers");
                m.bit(false)
                    .bit(true)
                    .bit(false)
                    .bit(false)
                    .long_str(b"")
                    .finish();
            }
            (60, 21) if self.unacked_messages > 0 && !self.delivery => {
                self.declare_unacked_queue(out)
            }
            (60, 21) => handler.ready(),
            (20, 41) => {
                *self = AmqpClient {
                    unacked_messages: self.unacked_messages,
                    ..AmqpClient::default()
                };
                FrameWriter::method(out, 1, MethodId::new(20, 10))
                    .short_str("")
                    .finish();
            }
            (50, 11) => {
                let queue = a.short_str()?.to_string();
                for _ in 0..self.unacked_messages {
                    let m = FrameWriter::method(out, 1, MethodId::new(60, 40))
                        .short(0)
                        .short_str("")
                        .short_str(&queue);
                    m.bit(false).bit(false).finish();
                    let mut properties = Vec::new();
                    codec::encode_properties(&mut properties, &BasicProperties::default());
                    codec::write_content(out, 1, &properties, b"kept", 131_072);
                }
                // With `delivery` set, the consume-ok of this queue reports the client as ready.
                self.delivery = true;
                let m = FrameWriter::method(out, 1, MethodId::new(60, 20))
                    .short(0)
                    .short_str(&queue)
                    .short_str("hoard");
                m.bit(false)
                    .bit(false)
                    .bit(false)
                    .bit(false)
                    .long_str(b"")
                    .finish();
            }
            _ if self.closing => {}
            (60, 60) => self.delivery = true,
            (60, 50) => self.delivery = false,
            (60, kind @ (80 | 120)) => {
                let (delivery_tag, multiple) = (a.long_long()?, a.bit()?);
                let from = if multiple { 0 } else { delivery_tag };
                let confirmed: Vec<u64> = self
                    .unconfirmed
                    .range(from..=delivery_tag)
                    .map(|e| *e.0)
                    .collect();
                for delivery_tag in confirmed {
                    if let Some(request_id) = self.unconfirmed.remove(&delivery_tag) {
                        handler.confirmed(request_id, kind == 80);
                    }
                }
            }
            (10, 50) | (20, 40) => {
                let (code, text) = (a.short()?, a.short_str()?.to_string());
                return Err(tidewall_amqp::ProtocolError::new(code, text));
            }
            _ => {}
        }
        Ok(())
    }

    /// Publishes one request to the trigger exchange.
    #[allow(clippy::too_many_arguments)] // the fields of the publish
    pub fn publish(
        &mut self,
        out: &mut Vec<u8>,
        request_id: u64,
        key: &str,
        left_ms: u64,
        idempotency_key: u64,
        redelivered: bool,
        body: &[u8],
    ) {
        self.published += 1;
        self.unconfirmed.insert(self.published, request_id);
        let m = FrameWriter::method(out, 1, MethodId::new(60, 40))
            .short(0)
            .short_str("tidewall.events")
            .short_str(key);
        m.bit(false).bit(false).finish();
        let mut headers = TableWriter::default();
        headers.boolean("x-redelivered", redelivered);
        let (id, correlation, expiration) = (
            idempotency_key.to_string(),
            request_id.to_string(),
            left_ms.to_string(),
        );
        let p = BasicProperties {
            headers: Some(codec::FieldTable(&headers.0)),
            message_id: &id,
            correlation_id: &correlation,
            reply_to: DIRECT_REPLY_TO,
            expiration: &expiration,
            ..BasicProperties::default()
        };
        let mut properties = Vec::new();
        codec::encode_properties(&mut properties, &p);
        codec::write_content(out, 1, &properties, body, 131_072);
    }
}
