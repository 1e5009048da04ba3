//! Queues, their messages and consumers (section 3.1.4).
use super::VirtualHost;
use crate::{reply_code, ProtocolError, Time};
use std::collections::VecDeque;
use std::rc::Rc;

/// Id of a queue in its virtual host. The id of a deleted queue may be given to another queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueId(pub(super) usize);

/// A message in a queue or in delivery to a consumer. Clones share its strings and bytes.
#[derive(Clone, Debug)]
pub struct Message {
    /// Exchange to which the message was published.
    pub exchange: Rc<str>,
    /// Routing key with which the message was published.
    pub routing_key: Rc<str>,
    /// The encoded properties.
    pub properties: Rc<[u8]>,
    /// The body.
    pub body: Rc<[u8]>,
    /// Messages of higher priority are delivered first.
    pub priority: u8,
    /// When the message expires, if it does.
    pub expires_at: Option<Time>,
    /// The message may have been delivered before.
    pub redelivered: bool,
}

impl Message {
    /// Bytes that count towards the limit of all queues: the message's own and the overhead of storing it.
    pub fn size(&self) -> usize {
        self.properties.len() + self.body.len() + std::mem::size_of::<Message>()
    }

    fn is_expired(&self, now: Time) -> bool {
        self.expires_at.is_some_and(|expires_at| expires_at <= now)
    }
}

/// A consumer of a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Consumer {
    /// Id of the consumer's connection.
    pub connection: usize,
    /// Number of the consumer's channel.
    pub channel: u16,
    /// The consumer tag, unique on the channel.
    pub tag: Rc<str>,
    /// Messages count as acknowledged as soon as they are delivered.
    pub no_ack: bool,
    /// The queue may have no other consumer.
    pub exclusive: bool,
}

/// Arguments of `queue.declare` that must be equal in every declare of a queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueOptions {
    /// The queue survives a restart of the server. It is only compared with other declares, as nothing is
    /// stored.
    pub durable: bool,
    /// Only the connection that declared the queue may use it, and the queue is deleted when that connection
    /// closes.
    pub exclusive: bool,
    /// The queue is deleted with its last consumer.
    pub auto_delete: bool,
    /// Exchange to which messages are published that expire or are rejected.
    pub dead_letter_exchange: Option<String>,
    /// Time to live of the messages, in addition to their own.
    pub message_ttl: Option<Time>,
}

#[derive(Clone, PartialEq)]
pub(super) struct Binding {
    pub exchange: String,
    pub routing_key: String,
}

impl Binding {
    pub fn new(exchange: &str, routing_key: &str) -> Binding {
        Binding {
            exchange: exchange.to_string(),
            routing_key: routing_key.to_string(),
        }
    }
}

/// A queue.
pub struct Queue {
    /// The name, unique in the virtual host.
    pub name: Rc<str>,
    durable: bool,
    /// Id of the connection that has exclusive use of the queue.
    pub(super) exclusive_to: Option<usize>,
    auto_delete: bool,
    /// See [`QueueOptions::dead_letter_exchange`].
    pub dead_letter_exchange: Option<String>,
    message_ttl: Option<Time>,
    /// Messages that wait for delivery, the next one first.
    pub ready: VecDeque<Message>,
    /// The consumers of the queue; the last one got the latest delivery.
    pub consumers: VecDeque<Consumer>,
    pub(super) bindings: Vec<Binding>,
}

/// What was in a queue when it was deleted.
pub struct DeletedQueue {
    /// Number of ready messages, which are lost.
    pub message_count: usize,
    /// The consumers of the queue.
    pub consumers: VecDeque<Consumer>,
}

impl Queue {
    pub(super) fn new(name: &str, connection: usize, options: &QueueOptions) -> Queue {
        Queue {
            name: name.into(),
            durable: options.durable,
            exclusive_to: options.exclusive.then_some(connection),
            auto_delete: options.auto_delete,
            dead_letter_exchange: options.dead_letter_exchange.clone(),
            message_ttl: options.message_ttl,
            ready: VecDeque::new(),
            consumers: VecDeque::new(),
            bindings: Vec::new(),
        }
    }

    pub(super) fn has_options(&self, options: &QueueOptions) -> bool {
        self.durable == options.durable
            && self.exclusive_to.is_some() == options.exclusive
            && self.auto_delete == options.auto_delete
            && self.dead_letter_exchange == options.dead_letter_exchange
            && self.message_ttl == options.message_ttl
    }
}

impl VirtualHost {
    /// Appends a message to those of its priority. It expires by its own time to live or by the queue's,
    /// whichever ends first.
    pub fn enqueue(&mut self, queue: QueueId, now: Time, message: Message) {
        self.ready_bytes += message.size();
        let queue = &mut self.queues[queue.0];
        let queue_expiry = queue.message_ttl.map(|ttl| now + ttl);
        let expires_at = [message.expires_at, queue_expiry]
            .into_iter()
            .flatten()
            .min();
        let message = Message {
            expires_at,
            ..message
        };
        let lower = queue.ready.iter().rev();
        let lower = lower
            .take_while(|other| other.priority < message.priority)
            .count();
        queue.ready.insert(queue.ready.len() - lower, message);
    }

    /// Returns a delivered message to the queue, in front of the messages of its priority.
    pub fn requeue(&mut self, queue: QueueId, message: Message) {
        self.ready_bytes += message.size();
        let ready = &mut self.queues[queue.0].ready;
        let higher = ready
            .iter()
            .take_while(|other| other.priority > message.priority)
            .count();
        let message = Message {
            redelivered: true,
            ..message
        };
        ready.insert(higher, message);
    }

    /// Removes and returns the next message.
    pub fn dequeue(&mut self, queue: QueueId) -> Option<Message> {
        let message = self.queues[queue.0].ready.pop_front()?;
        self.ready_bytes -= message.size();
        Some(message)
    }

    /// Removes and returns all expired messages, wherever they are in the queue.
    pub fn remove_expired(&mut self, queue: QueueId, now: Time) -> Vec<Message> {
        let ready = &mut self.queues[queue.0].ready;
        if !ready.iter().any(|message| message.is_expired(now)) {
            return Vec::new();
        }
        let (expired, kept): (Vec<_>, Vec<_>) =
            ready.drain(..).partition(|message| message.is_expired(now));
        ready.extend(kept);
        self.ready_bytes -= expired.iter().map(Message::size).sum::<usize>();
        expired
    }

    /// Drops all ready messages and returns their number.
    pub fn purge(&mut self, queue: QueueId) -> usize {
        let count = self.queues[queue.0].ready.len();
        while self.dequeue(queue).is_some() {}
        count
    }

    /// Adds a consumer.
    ///
    /// # Errors
    /// ACCESS_REFUSED if another consumer is exclusive, or if this one is and the queue has others.
    pub fn add_consumer(
        &mut self,
        queue: QueueId,
        consumer: Consumer,
    ) -> Result<(), ProtocolError> {
        let queue = &mut self.queues[queue.0];
        let taken = queue.consumers.iter().any(|other| other.exclusive)
            || consumer.exclusive && !queue.consumers.is_empty();
        if taken {
            let text = format!("queue '{}' is consumed exclusively", queue.name);
            return Err(ProtocolError::new(reply_code::ACCESS_REFUSED, text));
        }
        queue.consumers.push_back(consumer);
        Ok(())
    }

    /// Removes a consumer; true if the queue is auto-delete and this was its last consumer, so that the
    /// caller has to delete the queue.
    pub fn remove_consumer(
        &mut self,
        queue: QueueId,
        connection: usize,
        channel: u16,
        tag: &str,
    ) -> bool {
        let Some(queue) = self.queues.get_mut(queue.0) else {
            return false;
        };
        let before = queue.consumers.len();
        queue.consumers.retain(|consumer| {
            (consumer.connection, consumer.channel, &*consumer.tag) != (connection, channel, tag)
        });
        queue.auto_delete && queue.consumers.is_empty() && before > 0
    }
}
