//! Content published by clients (sections 4.2.6 and 1.8.3.7). It is assembled from a method frame, a content
//! header and body frames, then routed to queues or passed to the caller as a request.
use super::channel::channel_not_open;
use super::state::{ChannelAddress, PartialPublish, PublishHeader, PublishOrigin};
use super::topology::MAX_TTL_MILLISECONDS;
use super::{MethodResult, Server, ServerActions};
use crate::codec::{self, class, method, ArgumentReader, BasicProperties, FrameWriter};
use crate::virtual_host::{Message, QueueId};
use crate::{reply_code, ProtocolError, Time, MILLISECOND};
use std::cmp::Ordering;

impl Server {
    /// Handles `basic.publish`, which is followed by content.
    pub(super) fn begin_publish(
        &mut self,
        from: ChannelAddress,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        arguments.short()?;
        let (exchange, routing_key) = (arguments.short_str()?, arguments.short_str()?);
        let (mandatory, immediate) = (arguments.bit()?, arguments.bit()?);
        if immediate {
            return Err(ProtocolError::new(
                reply_code::NOT_IMPLEMENTED,
                "immediate is not served",
            ));
        }
        if let Some(channel) = self.channel_mut(from) {
            channel.partial_publish = Some(PartialPublish {
                exchange: exchange.into(),
                routing_key: routing_key.into(),
                mandatory,
                header: None,
                body: Vec::new(),
            });
        }
        Ok(())
    }

    pub(super) fn receive_header<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
        payload: &[u8],
    ) -> MethodResult {
        let max_body_size = self.config.max_body_size;
        let Some(channel) = self.channel_mut(from) else {
            return Err(channel_not_open(from.number));
        };
        if channel.closing {
            return Ok(());
        }
        let publish = channel.partial_publish.as_mut();
        let publish = publish
            .filter(|publish| publish.header.is_none())
            .ok_or_else(|| {
                ProtocolError::new(
                    reply_code::UNEXPECTED_FRAME,
                    "a content header without its method",
                )
            })?;
        let header = codec::decode_content_header(payload)
            .map_err(|error| error.in_method(method::BASIC_PUBLISH))?;
        if header.class != class::BASIC {
            return Err(ProtocolError::new(
                reply_code::FRAME_ERROR,
                format!("a header of class {} behind basic.publish", header.class),
            ));
        }
        let body_size = header.body_size;
        if body_size > max_body_size {
            let text = format!("a body of {body_size} octets is over {max_body_size}");
            return Err(ProtocolError::new(reply_code::CONTENT_TOO_LARGE, text)
                .in_method(method::BASIC_PUBLISH));
        }
        publish.header = Some(PublishHeader {
            body_size,
            encoded_properties: header.encoded_properties.into(),
        });
        if body_size == 0 {
            self.content_complete(actions, from)
        } else {
            Ok(())
        }
    }

    pub(super) fn receive_body<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
        payload: &[u8],
    ) -> MethodResult {
        let Some(channel) = self.channel_mut(from) else {
            return Err(channel_not_open(from.number));
        };
        if channel.closing {
            return Ok(());
        }
        let Some(PartialPublish {
            header: Some(header),
            body,
            ..
        }) = channel.partial_publish.as_mut()
        else {
            return Err(ProtocolError::new(
                reply_code::UNEXPECTED_FRAME,
                "a body without its header",
            ));
        };
        // The body grows with the received frames; the size in the header is never allocated in advance.
        body.extend_from_slice(payload);
        match (body.len() as u64).cmp(&header.body_size) {
            Ordering::Less => Ok(()),
            Ordering::Equal => self.content_complete(actions, from),
            Ordering::Greater => Err(ProtocolError::new(
                reply_code::UNEXPECTED_FRAME,
                "the body is longer than its header told",
            )),
        }
    }

    /// Publishes a complete content. In confirm mode it gets a sequence number first.
    fn content_complete<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
    ) -> MethodResult {
        let transport = self.connections[from.connection].transport;
        let Some(channel) = self.channel_mut(from) else {
            return Ok(());
        };
        let Some(publish) = channel.partial_publish.take() else {
            return Ok(());
        };
        let mut sequence = 0;
        if channel.confirm_mode {
            channel.publish_sequence += 1;
            sequence = channel.publish_sequence;
            channel.unconfirmed.insert(sequence);
        }
        let origin = PublishOrigin {
            channel: from,
            transport,
            generation: channel.generation,
            sequence,
        };
        self.publish_content(actions, origin, publish)
            .map_err(|error| error.in_method(method::BASIC_PUBLISH))
    }

    fn publish_content<A: ServerActions>(
        &mut self,
        actions: &mut A,
        origin: PublishOrigin,
        publish: PartialPublish,
    ) -> MethodResult {
        let Some(header) = publish.header else {
            return Ok(());
        };
        let encoded = header.encoded_properties.clone();
        let properties = codec::decode_properties(&mut ArgumentReader::new(&encoded))?;
        let expires_at = expiration(&properties, self.now)?;
        let user = &self.connections[origin.channel.connection].user;
        if !properties.user_id.is_empty() && properties.user_id != user {
            return Err(ProtocolError::new(
                reply_code::PRECONDITION_FAILED,
                "user-id is not who logged in",
            ));
        }
        let message = Message {
            exchange: publish.exchange,
            routing_key: publish.routing_key,
            properties: header.encoded_properties,
            body: publish.body.into(),
            priority: properties.priority,
            expires_at,
            redelivered: false,
        };
        let host = self.host_mut(origin.channel.connection);
        if host.is_trigger(&message.exchange) {
            return self.publish_request(actions, origin, &properties, message);
        }
        self.publish_to_queues(actions, origin, publish.mandatory, message)
    }

    fn publish_to_queues<A: ServerActions>(
        &mut self,
        actions: &mut A,
        origin: PublishOrigin,
        mandatory: bool,
        message: Message,
    ) -> MethodResult {
        if self.queued_bytes() + message.size() > self.config.max_queued_bytes {
            // No message is dropped silently: in confirm mode it is nacked, otherwise an exception is raised.
            if origin.sequence > 0 {
                self.confirm_publish(actions, origin, false);
                return Ok(());
            }
            return Err(ProtocolError::new(
                reply_code::RESOURCE_ERROR,
                "the queues are full",
            ));
        }
        let virtual_host = self.connections[origin.channel.connection].virtual_host;
        let host = &mut self.virtual_hosts[virtual_host];
        let routed = host.route(&message.exchange, &message.routing_key)?.len();
        if routed > 0 {
            let exchange = message.exchange.clone();
            self.route_message(virtual_host, &exchange, message);
        } else if mandatory {
            let reason = "no queue is bound for it";
            self.return_message(
                actions,
                origin.channel,
                reply_code::NO_ROUTE,
                reason,
                &message,
            );
        }
        if origin.sequence > 0 {
            self.confirm_publish(actions, origin, true);
        }
        Ok(())
    }

    /// Adds a message to all queues to which it is routed and returns their number, which is 0 for an unknown
    /// exchange.
    pub(super) fn route_message(
        &mut self,
        virtual_host: usize,
        exchange: &str,
        message: Message,
    ) -> usize {
        let now = self.now;
        let host = &mut self.virtual_hosts[virtual_host];
        let queues = host
            .route(exchange, &message.routing_key)
            .map(<[QueueId]>::to_vec)
            .unwrap_or_default();
        for queue in &queues {
            host.enqueue(*queue, now, message.clone());
        }
        for queue in &queues {
            self.mark_queue_active(virtual_host, *queue);
        }
        queues.len()
    }

    /// Sends `basic.return` with a message.
    pub(super) fn return_message<A: ServerActions>(
        &mut self,
        actions: &mut A,
        to: ChannelAddress,
        reply_code: u16,
        reply_text: &str,
        message: &Message,
    ) {
        let frame_max = self.connections[to.connection].frame_max;
        self.output.clear();
        FrameWriter::method(&mut self.output, to.number, method::BASIC_RETURN)
            .short(reply_code)
            .short_str(reply_text)
            .short_str(&message.exchange)
            .short_str(&message.routing_key)
            .finish();
        self.write_message_content(to.number, message, frame_max);
        self.write_output(actions, to.connection);
    }

    /// Appends a message's content header and body frames to the output.
    pub(super) fn write_message_content(
        &mut self,
        channel: u16,
        message: &Message,
        frame_max: u32,
    ) {
        codec::write_content(
            &mut self.output,
            channel,
            &message.properties,
            &message.body,
            frame_max,
        );
    }
}

/// The time at which a message expires by its property `expiration`, a number of milliseconds as a decimal
/// string.
fn expiration(properties: &BasicProperties, now: Time) -> Result<Option<Time>, ProtocolError> {
    let text = properties.expiration;
    if text.is_empty() {
        return Ok(None);
    }
    let milliseconds = text.parse::<u64>().map_err(|_| {
        ProtocolError::new(
            reply_code::PRECONDITION_FAILED,
            format!("expiration '{text}' is no time"),
        )
    })?;
    Ok(Some(
        now + milliseconds.min(MAX_TTL_MILLISECONDS) * MILLISECOND,
    ))
}
