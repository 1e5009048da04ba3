//! Dead letters: a message that expires or is rejected is published to the dead-letter exchange of its queue.
//! Its history is recorded in the header `x-death`, in the format of other brokers.
use super::state::{QueueAddress, Unacknowledged};
use super::Server;
use crate::codec::{self, ArgumentReader, BasicProperties, FieldTable, FieldValue, TableWriter};
use crate::virtual_host::Message;
use crate::{Time, SECOND};

/// Reason in `x-death` for a message that a consumer rejected.
const REJECTED: &str = "rejected";
/// Reason in `x-death` for a message whose time to live has passed.
const EXPIRED: &str = "expired";

impl Server {
    /// Dead-letters a message that a consumer rejected. Its queue may have been deleted since.
    pub(super) fn dead_letter_rejected(&mut self, virtual_host: usize, delivery: Unacknowledged) {
        let queue = QueueAddress {
            virtual_host,
            queue: delivery.queue,
        };
        self.dead_letter(queue, &delivery.queue_name, delivery.message, REJECTED);
    }

    fn dead_letter(&mut self, address: QueueAddress, name: &str, message: Message, reason: &str) {
        let queue = self.virtual_hosts[address.virtual_host].queue(address.queue);
        let queue = queue.filter(|queue| &*queue.name == name);
        let exchange = queue.and_then(|queue| queue.dead_letter_exchange.clone());
        let Some(exchange) = exchange else {
            return;
        };
        if reason != REJECTED && is_cycle(&message, name) {
            return;
        }
        let message = dead_letter_copy(&message, name, reason, self.now);
        self.route_message(address.virtual_host, &exchange, message);
    }

    /// Removes and dead-letters the expired messages of a queue.
    pub(super) fn remove_expired(&mut self, address: QueueAddress) {
        let host = &mut self.virtual_hosts[address.virtual_host];
        let expired = host.remove_expired(address.queue, self.now);
        if expired.is_empty() {
            return;
        }
        let name = host[address.queue].name.clone();
        for message in expired {
            self.dead_letter(address, &name, message, EXPIRED);
        }
    }
}

fn properties_of(message: &Message) -> BasicProperties<'_> {
    codec::decode_properties(&mut ArgumentReader::new(&message.properties)).unwrap_or_default()
}

/// Whether the message has already expired in this queue since it was last rejected. Without a consumer, such
/// a message would circulate for ever. The latest entry of `x-death` comes first, so entries forged by a
/// publisher come after those of the server.
fn is_cycle(message: &Message, queue: &str) -> bool {
    let headers = properties_of(message).headers;
    let Some(FieldValue::Array(deaths)) = headers.and_then(|headers| headers.get("x-death")) else {
        return false;
    };
    let mut entries = ArgumentReader::new(deaths);
    while entries.remaining() > 0 {
        let (Ok(b'F'), Ok(entry)) = (entries.octet(), entries.table()) else {
            return false;
        };
        if entry.get("reason") == Some(FieldValue::LongString(REJECTED.as_bytes())) {
            return false;
        }
        if entry.get("queue") == Some(FieldValue::LongString(queue.as_bytes())) {
            return true;
        }
    }
    false
}

/// A copy of the message as a dead letter, with a new entry at the front of `x-death` and without an
/// expiration.
pub(super) fn dead_letter_copy(message: &Message, queue: &str, reason: &str, now: Time) -> Message {
    let mut entry = TableWriter::default();
    entry.long_string("queue", queue);
    entry.long_string("reason", reason);
    entry.long_string("exchange", &message.exchange);
    entry.signed("count", 1);
    entry.timestamp("time", now / SECOND);
    // An element of the array: a type octet, a length and a table.
    let mut deaths = vec![b'F'];
    deaths.extend_from_slice(&(entry.0.len() as u32).to_be_bytes());
    deaths.extend_from_slice(&entry.0);
    let properties = properties_of(message);
    let old_headers = properties.headers.unwrap_or_default();
    if let Some(FieldValue::Array(earlier)) = old_headers.get("x-death") {
        deaths.extend_from_slice(earlier);
    }
    let mut headers = TableWriter::default();
    headers.array("x-death", &deaths);
    copy_headers(&mut headers, &old_headers);
    let properties = BasicProperties {
        headers: Some(FieldTable(&headers.0)),
        expiration: "",
        ..properties
    };
    let mut encoded = Vec::new();
    codec::encode_properties(&mut encoded, &properties);
    Message {
        properties: encoded.into(),
        expires_at: None,
        redelivered: false,
        ..message.clone()
    }
}

/// Copies the encoded headers, except `x-death`.
fn copy_headers(to: &mut TableWriter, from: &FieldTable) {
    let mut fields = ArgumentReader::new(from.0);
    while fields.remaining() > 0 {
        let start = from.0.len() - fields.remaining();
        let Ok(name) = fields.short_str() else { break };
        if codec::skip_value(&mut fields).is_none() {
            break;
        }
        if name != "x-death" {
            let end = from.0.len() - fields.remaining();
            to.0.extend_from_slice(&from.0[start..end]);
        }
    }
}
