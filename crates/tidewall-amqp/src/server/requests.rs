//! Publishes to the trigger exchange. Each is a request with one final answer, which consists of a message to
//! its reply-to and a publisher confirm.
use super::dead_letters::dead_letter_copy;
use super::state::{ChannelAddress, PendingRequest, PublishOrigin};
use super::{
    Disposition, FinalAnswer, MethodResult, Server, ServerActions, TriggerPublish, DIRECT_REPLY_TO,
};
use crate::codec::{self, BasicProperties, FieldTable, FieldValue, TableWriter};
use crate::virtual_host::Message;
use crate::{reply_code, ProtocolError, Time, MILLISECOND};

/// Reason in `x-death` for a request that failed.
const REQUEST_FAILED: &str = "maxlen";

impl Server {
    pub(super) fn publish_request<A: ServerActions>(
        &mut self,
        actions: &mut A,
        origin: PublishOrigin,
        properties: &BasicProperties,
        message: Message,
    ) -> MethodResult {
        let reply_to = self.reply_address(origin, properties.reply_to)?;
        let connection = &mut self.connections[origin.channel.connection];
        let request = self.pending_requests.insert(PendingRequest {
            origin,
            reply_to,
            virtual_host: connection.virtual_host,
            message: message.clone(),
            correlation_id: properties.correlation_id.to_string(),
        }) as u64;
        connection.pending_requests += 1;
        let headers = properties.headers;
        let redelivered = headers.and_then(|headers| headers.get("x-redelivered"));
        let publish = TriggerPublish {
            user: &connection.user,
            routing_key: &message.routing_key,
            properties,
            redelivered: redelivered == Some(FieldValue::Boolean(true)),
            body: &message.body,
        };
        if let Err(refusal) = actions.accept_request(request, &publish) {
            let answer = FinalAnswer {
                disposition: refusal.disposition,
                retry_after: 0,
                reason: refusal.reason,
                payload: &[],
            };
            self.complete_request(actions, request, answer);
        }
        Ok(())
    }

    /// The address for the reply: the property `reply-to` or, for direct replies, an address of this channel.
    fn reply_address(
        &mut self,
        origin: PublishOrigin,
        reply_to: &str,
    ) -> Result<String, ProtocolError> {
        if reply_to != DIRECT_REPLY_TO {
            return Ok(reply_to.to_string());
        }
        let ChannelAddress { connection, number } = origin.channel;
        let channel = self.channel_mut(origin.channel);
        if channel.is_none_or(|channel| channel.direct_reply_consumer.is_none()) {
            return Err(ProtocolError::new(
                reply_code::PRECONDITION_FAILED,
                "direct replies are asked for, and nobody consumes them",
            ));
        }
        let generation = origin.generation;
        Ok(format!(
            "{DIRECT_REPLY_TO}.{connection}.{number}.{generation}"
        ))
    }

    /// Drops a request whose client has stopped waiting; no answer is sent. The next [`Server::flush`] sends
    /// a nack, as otherwise a later ack with `multiple` would cover this publish too.
    pub fn abandon_request(&mut self, request: u64) {
        if let Some(pending) = self.take_pending(request) {
            if pending.origin.sequence > 0 {
                self.abandoned_publishes.push(pending.origin);
            }
        }
    }

    fn take_pending(&mut self, request: u64) -> Option<PendingRequest> {
        let pending = self.pending_requests.try_remove(request as usize)?;
        let origin = pending.origin;
        let connection = self.connections.get_mut(origin.channel.connection);
        if let Some(connection) =
            connection.filter(|connection| connection.transport == origin.transport)
        {
            connection.pending_requests -= 1;
        }
        Some(pending)
    }

    /// Answers a request by a message to its reply-to and a confirm. A request that was answered or abandoned
    /// before is ignored.
    pub fn complete_request<A: ServerActions>(
        &mut self,
        actions: &mut A,
        request: u64,
        answer: FinalAnswer,
    ) {
        let Some(pending) = self.take_pending(request) else {
            return;
        };
        if !pending.reply_to.is_empty() {
            let reply = reply_message(&pending, answer);
            let delivered = if pending.reply_to.starts_with(DIRECT_REPLY_TO) {
                self.deliver_direct_reply(actions, &pending.reply_to, &reply)
            } else {
                self.route_message(pending.virtual_host, "", reply) > 0
            };
            self.unroutable_replies += u64::from(!delivered);
        }
        let disposition = answer.disposition;
        if disposition == Disposition::Failed && !self.config.dead_letter_exchange.is_empty() {
            let exchange = self.config.dead_letter_exchange.clone();
            let message = &pending.message;
            let dead_letter =
                dead_letter_copy(message, &message.exchange, REQUEST_FAILED, self.now);
            self.route_message(pending.virtual_host, &exchange, dead_letter);
        }
        let origin = pending.origin;
        let completed = disposition == Disposition::Completed;
        if origin.sequence == 0 {
            return;
        }
        // The return distinguishes rejected from failed requests, which a nack does not.
        if !completed && self.is_open(origin) {
            let code = if disposition == Disposition::Failed {
                reply_code::INTERNAL_ERROR
            } else {
                reply_code::RESOURCE_ERROR
            };
            let text = return_text(answer);
            let text = text.trim_end();
            self.return_message(actions, origin.channel, code, text, &pending.message);
        }
        self.confirm_publish(actions, origin, completed);
    }
}

/// A duration in milliseconds, rounded up.
fn milliseconds(time: Time) -> u64 {
    time.div_ceil(MILLISECOND)
}

fn return_text(answer: FinalAnswer) -> String {
    let FinalAnswer {
        disposition,
        retry_after,
        reason,
        ..
    } = answer;
    let name = disposition.wire_name();
    if disposition == Disposition::Rejected && retry_after > 0 {
        format!("{name} come-back-ms={} {reason}", milliseconds(retry_after))
    } else {
        format!("{name} {reason}")
    }
}

fn reply_message(pending: &PendingRequest, answer: FinalAnswer) -> Message {
    let mut headers = TableWriter::default();
    headers.long_string("x-word", answer.disposition.wire_name());
    if !answer.reason.is_empty() {
        headers.long_string("x-reason", answer.reason);
    }
    if answer.retry_after > 0 {
        headers.signed("x-come-back-ms", milliseconds(answer.retry_after) as i64);
    }
    let properties = BasicProperties {
        headers: Some(FieldTable(&headers.0)),
        correlation_id: &pending.correlation_id,
        message_type: answer.disposition.wire_name(),
        ..BasicProperties::default()
    };
    let mut encoded = Vec::new();
    codec::encode_properties(&mut encoded, &properties);
    Message {
        exchange: "".into(),
        routing_key: pending.reply_to.as_str().into(),
        properties: encoded.into(),
        body: answer.payload.into(),
        priority: 0,
        expires_at: None,
        redelivered: false,
    }
}
