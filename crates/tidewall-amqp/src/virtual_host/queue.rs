//! Queues, their messages and consumers (section 3.1.4).
use super::VirtualHost;
use crate::{reply_code, ProtocolError, Time};
use std::collections::VecDeque;
use std::rc::Rc;

/// A queue of one virtual host; the id of a deleted queue may be given to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueId(pub(super) usize);

/// A message in a queue or under way to a consumer. A clone shares its texts and bytes.
#[derive(Clone, Debug)]
pub struct Message {
    /// Exchange that it was published to.
    pub exchange: Rc<str>,
    /// Routing key that it was published with.
    pub routing_key: Rc<str>,
    /// Properties as they are encoded.
    pub properties: Rc<[u8]>,
    /// Its content.
    pub body: Rc<[u8]>,
    /// Higher ones are delivered first.
    pub priority: u8,
    /// When it expires, if ever.
    pub expires_at: Option<Time>,
    /// It may have been delivered before.
    pub redelivered: bool,
}

impl Message {
    /// Bytes that it counts for against the bound of all queues: its own and what keeping it costs besides.
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
    /// Id of its connection.
    pub connection: usize,
    /// Number of its channel.
    pub channel: u16,
    /// Its tag, unique on the channel.
    pub tag: Rc<str>,
    /// Messages count as acknowledged once they are delivered.
    pub no_ack: bool,
    /// No other consumer may be added beside it.
    pub exclusive: bool,
}

/// Arguments of a declare that two declares of a queue must share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueOptions {
    /// Survives a restart of the server; kept and compared, nothing more, as nothing is stored here.
    pub durable: bool,
    /// Belongs to the connection that declared it, and ends with it.
    pub exclusive: bool,
    /// Deleted with its last consumer.
    pub auto_delete: bool,
    /// Exchange that messages go to which expire or are rejected.
    pub dead_letter_exchange: Option<String>,
    /// How long messages stay at most.
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
    /// Its name, unique in the virtual host.
    pub name: Rc<str>,
    durable: bool,
    /// The connection that it belongs to.
    pub(super) exclusive_to: Option<usize>,
    auto_delete: bool,
    /// See [`QueueOptions::dead_letter_exchange`].
    pub dead_letter_exchange: Option<String>,
    message_ttl: Option<Time>,
    /// Messages to deliver, next first.
    pub ready: VecDeque<Message>,
    /// Its consumers; the last one got the latest delivery.
    pub consumers: VecDeque<Consumer>,
    pub(super) bindings: Vec<Binding>,
}

/// What a queue leaves behind.
pub struct DeletedQueue {
    /// Messages that were ready and are lost.
    pub message_count: usize,
    /// Its consumers.
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
    /// Adds a message behind those of its priority; the queue's time to live bounds the message's own.
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

    /// Returns a message that was delivered: in front of those of its priority.
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

    /// Takes the next message.
    pub fn dequeue(&mut self, queue: QueueId) -> Option<Message> {
        let message = self.queues[queue.0].ready.pop_front()?;
        self.ready_bytes -= message.size();
        Some(message)
    }

    /// Takes out all messages that have expired, wherever they are in the queue.
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

    /// Drops all ready messages and gives how many.
    pub fn purge(&mut self, queue: QueueId) -> usize {
        let count = self.queues[queue.0].ready.len();
        while self.dequeue(queue).is_some() {}
        count
    }

    /// Adds a consumer.
    ///
    /// # Errors
    /// ACCESS_REFUSED where it or another one is exclusive.
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

    /// Removes a consumer; true where the queue is to be deleted with it.
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
