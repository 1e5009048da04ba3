//! Class basic (section 1.8), except publish and acknowledgements, which have their own files.
use super::channel::unknown_method;
use super::state::{ChannelAddress, ChannelConsumer, QueueAddress};
use super::{MethodResult, Server, ServerActions, DIRECT_REPLY_TO};
use crate::codec::{method, ArgumentReader, FrameWriter, MethodId};
use crate::virtual_host::Consumer;
use crate::{reply_code, ProtocolError};
use std::rc::Rc;

impl Server {
    /// Handles a method of class basic.
    pub(super) fn basic_method<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
        id: MethodId,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        match id {
            method::BASIC_QOS => self.set_prefetch(actions, from, arguments),
            method::BASIC_CONSUME => self.consume(actions, from, arguments),
            method::BASIC_CANCEL => self.cancel(actions, from, arguments),
            method::BASIC_PUBLISH => self.begin_publish(from, arguments),
            method::BASIC_GET => self.get(actions, from, arguments),
            method::BASIC_ACK | method::BASIC_NACK | method::BASIC_REJECT => {
                self.acknowledge_method(from, id, arguments)
            }
            method::BASIC_RECOVER_ASYNC | method::BASIC_RECOVER => {
                self.recover(actions, from, id, arguments)
            }
            _ => Err(unknown_method()),
        }
    }

    fn set_prefetch<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        let (size, count) = (arguments.long()?, arguments.short()?);
        let whole_channel = arguments.bit()?;
        if size > 0 {
            return Err(ProtocolError::new(
                reply_code::NOT_IMPLEMENTED,
                "prefetch by octets is not served",
            ));
        }
        if let Some(channel) = self.channel_mut(from) {
            if whole_channel {
                channel.channel_prefetch = count;
            } else {
                channel.prefetch = count;
            }
        }
        self.write_method(actions, from, method::BASIC_QOS_OK, |frame| frame);
        self.mark_queues_active(from);
        Ok(())
    }

    fn consume<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        arguments.short()?;
        let (queue_name, tag) = (arguments.short_str()?, arguments.short_str()?);
        let (_no_local, no_ack) = (arguments.bit()?, arguments.bit()?);
        let (exclusive, no_wait) = (arguments.bit()?, arguments.bit()?);
        arguments.table()?;
        let Some(channel) = self.channel_mut(from) else {
            return Ok(());
        };
        channel.consumer_count += 1;
        let tag: Rc<str> = if tag.is_empty() {
            format!("ctag-{}-{}", from.number, channel.consumer_count).into()
        } else {
            tag.into()
        };
        let direct_replies = channel.direct_reply_consumer.as_ref();
        if channel.consumers.contains_key(&tag) || direct_replies == Some(&tag) {
            return Err(ProtocolError::new(
                reply_code::NOT_ALLOWED,
                format!("consumer tag '{tag}' is in use"),
            ));
        }
        if queue_name == DIRECT_REPLY_TO {
            if !no_ack || direct_replies.is_some() {
                return Err(ProtocolError::new(
                    reply_code::PRECONDITION_FAILED,
                    "direct replies are consumed once, without acks",
                ));
            }
            channel.direct_reply_consumer = Some(tag.clone());
        } else {
            let consumer = Consumer {
                connection: from.connection,
                channel: from.number,
                tag: tag.clone(),
                no_ack,
                exclusive,
            };
            self.add_consumer(from, queue_name, consumer)?;
        }
        if !no_wait {
            self.write_method(actions, from, method::BASIC_CONSUME_OK, |frame| {
                frame.short_str(&tag)
            });
        }
        Ok(())
    }

    fn add_consumer(
        &mut self,
        from: ChannelAddress,
        queue_name: &str,
        consumer: Consumer,
    ) -> MethodResult {
        let queue = self.find_queue(from, queue_name)?;
        let tag = consumer.tag.clone();
        let virtual_host = self.connections[from.connection].virtual_host;
        self.virtual_hosts[virtual_host].add_consumer(queue, consumer)?;
        if let Some(channel) = self.channel_mut(from) {
            let prefetch = channel.prefetch;
            channel
                .consumers
                .insert(tag, ChannelConsumer { queue, prefetch });
        }
        self.mark_queue_active(virtual_host, queue);
        Ok(())
    }

    fn cancel<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        let (tag, no_wait) = (arguments.short_str()?, arguments.bit()?);
        let Some(channel) = self.channel_mut(from) else {
            return Ok(());
        };
        if channel.direct_reply_consumer.as_deref() == Some(tag) {
            channel.direct_reply_consumer = None;
        }
        if let Some(consumer) = channel.consumers.remove(tag) {
            let host = self.host_mut(from.connection);
            if host.remove_consumer(consumer.queue, from.connection, from.number, tag) {
                self.delete_queue(actions, from, consumer.queue, None);
            }
        }
        if !no_wait {
            self.write_method(actions, from, method::BASIC_CANCEL_OK, |frame| {
                frame.short_str(tag)
            });
        }
        Ok(())
    }

    fn get<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        arguments.short()?;
        let (queue_name, no_ack) = (arguments.short_str()?, arguments.bit()?);
        let queue = self.find_queue(from, queue_name)?;
        let virtual_host = self.connections[from.connection].virtual_host;
        self.remove_expired(QueueAddress {
            virtual_host,
            queue,
        });
        let host = &mut self.virtual_hosts[virtual_host];
        let Some(message) = host.dequeue(queue) else {
            self.write_method(actions, from, method::BASIC_GET_EMPTY, |frame| {
                frame.short_str("")
            });
            return Ok(());
        };
        let remaining = host[queue].ready.len() as u32;
        let delivery_tag = self.register_delivery(from, queue, "".into(), no_ack, &message);
        let frame_max = self.connections[from.connection].frame_max;
        self.output.clear();
        FrameWriter::method(&mut self.output, from.number, method::BASIC_GET_OK)
            .long_long(delivery_tag)
            .bit(message.redelivered)
            .short_str(&message.exchange)
            .short_str(&message.routing_key)
            .long(remaining)
            .finish();
        self.write_message_content(from.number, &message, frame_max);
        self.write_output(actions, from.connection);
        Ok(())
    }
}
