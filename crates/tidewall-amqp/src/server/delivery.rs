//! Deliveries to consumers (section 1.8.3.9), round robin and within their prefetch limits.
use super::state::{ChannelAddress, QueueAddress, Unacknowledged};
use super::{Server, ServerActions};
use crate::codec::{method, FrameWriter};
use crate::virtual_host::{Consumer, Message, QueueId};
use std::rc::Rc;

impl Server {
    /// Assigns a delivery tag to a message, and keeps the message if it has to be acknowledged.
    pub(super) fn register_delivery(
        &mut self,
        to: ChannelAddress,
        queue: QueueId,
        consumer_tag: Rc<str>,
        no_ack: bool,
        message: &Message,
    ) -> u64 {
        let queue_name = self.host_mut(to.connection)[queue].name.clone();
        let Some(channel) = self.channel_mut(to) else {
            return 0;
        };
        channel.last_delivery_tag += 1;
        if !no_ack {
            channel.unacknowledged.push_back(Unacknowledged {
                delivery_tag: channel.last_delivery_tag,
                queue,
                queue_name,
                consumer_tag,
                message: message.clone(),
            });
        }
        channel.last_delivery_tag
    }

    /// Delivers a direct reply to the channel in the reply address; false if that channel is closed or no
    /// longer consumes direct replies.
    pub(super) fn deliver_direct_reply<A: ServerActions>(
        &mut self,
        actions: &mut A,
        reply_to: &str,
        message: &Message,
    ) -> bool {
        // The address ends with the connection id, the channel number and the generation.
        let mut parts = reply_to.rsplit('.');
        let mut next_number = || {
            parts
                .next()
                .and_then(|part| part.parse::<u64>().ok())
                .unwrap_or(u64::MAX)
        };
        let generation = next_number();
        let channel_number = next_number() as u16;
        let to = ChannelAddress {
            connection: next_number() as usize,
            number: channel_number,
        };
        let channel = self.channel_mut(to);
        let Some(channel) = channel.filter(|channel| channel.generation == generation) else {
            return false;
        };
        let Some(consumer_tag) = channel.direct_reply_consumer.clone() else {
            return false;
        };
        channel.last_delivery_tag += 1;
        let delivery_tag = channel.last_delivery_tag;
        self.deliver(actions, to, &consumer_tag, delivery_tag, message);
        true
    }

    /// Sends `basic.deliver` with a message.
    fn deliver<A: ServerActions>(
        &mut self,
        actions: &mut A,
        to: ChannelAddress,
        consumer_tag: &str,
        delivery_tag: u64,
        message: &Message,
    ) {
        let frame_max = self.connections[to.connection].frame_max;
        self.output.clear();
        FrameWriter::method(&mut self.output, to.number, method::BASIC_DELIVER)
            .short_str(consumer_tag)
            .long_long(delivery_tag)
            .bit(message.redelivered)
            .short_str(&message.exchange)
            .short_str(&message.routing_key)
            .finish();
        self.write_message_content(to.number, message, frame_max);
        self.write_output(actions, to.connection);
    }

    /// Resumes deliveries to a connection whose unsent bytes have been sent.
    pub fn connection_writable<A: ServerActions>(&mut self, actions: &mut A, connection: usize) {
        let numbers: Vec<u16> = self
            .connections
            .get(connection)
            .map_or(Vec::new(), |state| state.channels.keys().copied().collect());
        for number in numbers {
            self.mark_queues_active(ChannelAddress { connection, number });
        }
        self.flush(actions);
    }

    /// Makes the next [`Server::flush`] handle the queue.
    pub(super) fn mark_queue_active(&mut self, virtual_host: usize, queue: QueueId) {
        self.active_queues.push(QueueAddress {
            virtual_host,
            queue,
        });
    }

    /// Makes the next [`Server::flush`] handle the queues of a channel's consumers.
    pub(super) fn mark_queues_active(&mut self, address: ChannelAddress) {
        let Some(connection) = self.connections.get(address.connection) else {
            return;
        };
        let Some(channel) = connection.channels.get(&address.number) else {
            return;
        };
        let queues = channel.consumers.values().map(|consumer| QueueAddress {
            virtual_host: connection.virtual_host,
            queue: consumer.queue,
        });
        self.active_queues.extend(queues);
    }

    /// Delivers as many messages as the consumers may get, then sends confirms. [`Server::receive`],
    /// [`Server::tick`] and [`Server::connection_writable`] do this themselves; after any other call the
    /// caller has to.
    pub fn flush<A: ServerActions>(&mut self, actions: &mut A) {
        while let Some(address) = self.active_queues.pop() {
            if self.virtual_hosts[address.virtual_host]
                .queue(address.queue)
                .is_none()
            {
                continue;
            }
            self.remove_expired(address);
            while let Some(consumer) = self.next_consumer(actions, address) {
                let Some(message) = self.virtual_hosts[address.virtual_host].dequeue(address.queue)
                else {
                    break;
                };
                let to = ChannelAddress {
                    connection: consumer.connection,
                    number: consumer.channel,
                };
                let (tag, no_ack) = (consumer.tag, consumer.no_ack);
                let delivery_tag =
                    self.register_delivery(to, address.queue, tag.clone(), no_ack, &message);
                self.deliver(actions, to, &tag, delivery_tag, &message);
            }
        }
        self.flush_confirms(actions);
    }

    /// The next consumer in round-robin order that may get another message; none if no message is ready.
    fn next_consumer<A: ServerActions>(
        &mut self,
        actions: &A,
        address: QueueAddress,
    ) -> Option<Consumer> {
        let queue = self.virtual_hosts[address.virtual_host].queue_mut(address.queue)?;
        if queue.ready.is_empty() {
            return None;
        }
        for _ in 0..queue.consumers.len() {
            queue.consumers.rotate_left(1);
            let consumer = queue.consumers.back()?;
            let connection = self.connections.get(consumer.connection);
            let writable = connection.filter(|state| actions.is_writable(state.transport));
            let channel = writable.and_then(|state| state.channels.get(&consumer.channel));
            if channel.is_some_and(|channel| channel.may_deliver(consumer)) {
                return Some(consumer.clone());
            }
        }
        None
    }
}

impl super::state::Channel {
    /// Whether a consumer of this channel may get another message.
    fn may_deliver(&self, consumer: &Consumer) -> bool {
        if self.flow_stopped || self.closing {
            return false;
        }
        if consumer.no_ack {
            return true;
        }
        let unacknowledged_count = self
            .unacknowledged
            .iter()
            .filter(|delivery| delivery.consumer_tag == consumer.tag)
            .count();
        let registered = self.consumers.get(&consumer.tag);
        let prefetch = registered.map_or(0, |registered| usize::from(registered.prefetch));
        let channel_prefetch = usize::from(self.channel_prefetch);
        (prefetch == 0 || unacknowledged_count < prefetch)
            && (channel_prefetch == 0 || self.unacknowledged.len() < channel_prefetch)
    }
}
