//! Messages that expire or are rejected.
use super::*;

impl Server {
    /// To the queue's dead-letter exchange, with the usual header.
    pub(super) fn dead_letter<O: Outside>(
        &mut self,
        _o: &mut O,
        vhost: usize,
        queue: usize,
        name: &str,
        message: Message,
        reason: &str,
    ) {
        let known = self.brokers[vhost]
            .queues
            .get(queue)
            .filter(|q| &*q.name == name);
        if let Some(exchange) = known.and_then(|q| q.dead_letters.clone()) {
            if reason != "rejected" && comes_round(&message, name) {
                return;
            }
            let message = died(&message, name, reason, self.now);
            self.publish(vhost, &exchange, message);
        }
    }

    pub(super) fn expire<O: Outside>(&mut self, o: &mut O, vhost: usize, queue: usize) {
        let gone = self.brokers[vhost].expired(queue, self.now);
        if !gone.is_empty() {
            let name = self.brokers[vhost].queues[queue].name.clone();
            gone.into_iter()
                .for_each(|m| self.dead_letter(o, vhost, queue, &name, m, "expired"));
        }
    }
}

/// Whether it has died in this queue since it was last rejected, if ever: it would go round for ever. The latest comes first,
/// so what a publisher made up lies behind.
pub(super) fn comes_round(message: &Message, queue: &str) -> bool {
    let properties = codec::properties(&mut Args::new(&message.properties)).unwrap_or_default();
    let Some(Value::Array(deaths)) = properties.headers.and_then(|h| h.get("x-death")) else {
        return false;
    };
    let mut args = Args::new(deaths);
    while args.left() > 0 {
        let (Ok(b'F'), Ok(entry)) = (args.octet(), args.table()) else {
            return false;
        };
        if matches!(entry.get("reason"), Some(Value::Text(b"rejected"))) {
            return false;
        }
        if matches!(entry.get("queue"), Some(Value::Text(name)) if name == queue.as_bytes()) {
            return true;
        }
    }
    false
}

/// The message as its dead letter: with one more entry in `x-death`, in front of those that it had.
pub(super) fn died(message: &Message, queue: &str, reason: &str, now: Time) -> Message {
    let mut entry = TableOut::default();
    entry.text("queue", queue);
    entry.text("reason", reason);
    entry.text("exchange", &message.exchange);
    entry.whole("count", 1);
    entry.time("time", now / 10_000);
    let mut deaths = vec![b'F'];
    deaths.extend_from_slice(&(entry.0.len() as u32).to_be_bytes());
    deaths.extend_from_slice(&entry.0);
    let properties = codec::properties(&mut Args::new(&message.properties)).unwrap_or_default();
    let mut headers = TableOut::default();
    let old = properties.headers.unwrap_or_default();
    if let Some(Value::Array(before)) = old.get("x-death") {
        deaths.extend_from_slice(before);
    }
    headers.array("x-death", &deaths);
    // The other headers go along as they were encoded.
    let mut args = Args::new(old.0);
    while args.left() > 0 {
        let from = old.0.len() - args.left();
        let Ok(name) = args.short_str() else { break };
        let one = codec::Table(&old.0[from..]).iter().next();
        let rest = one.and_then(|_| codec::skip(&mut args));
        let Some(()) = rest else { break };
        if name != "x-death" {
            headers
                .0
                .extend_from_slice(&old.0[from..old.0.len() - args.left()]);
        }
    }
    let mut out = Vec::new();
    let headers = Some(codec::Table(&headers.0));
    codec::write_properties(
        &mut out,
        &Properties {
            headers,
            expiration: "",
            ..properties
        },
    );
    Message {
        properties: out.into(),
        expires: None,
        redelivered: false,
        ..message.clone()
    }
}
