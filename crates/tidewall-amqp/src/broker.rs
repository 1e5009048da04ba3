//! Exchanges, bindings, queues and consumers of one virtual host. It knows connections only by their keys.
use crate::topic::Topics;
use crate::{code, Fault, Time};
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// The exchange whose publishes are events; the door says its name.
pub const TRIGGER: &str = "x-trigger";

#[derive(Clone, Debug)]
pub struct Message {
    pub exchange: Rc<str>,
    pub key: Rc<str>,
    /// Properties as they are encoded.
    pub properties: Rc<[u8]>,
    pub body: Rc<[u8]>,
    pub priority: u8,
    pub expires: Option<Time>,
    pub redelivered: bool,
}

impl Message {
    /// What it counts against the bound of all queues: its bytes and what holding it costs besides.
    pub fn weight(&self) -> usize {
        self.properties.len() + self.body.len() + std::mem::size_of::<Message>()
    }
}

/// A channel that consumes.
#[derive(Clone, Debug, PartialEq)]
pub struct Consumer {
    pub conn: usize,
    pub channel: u16,
    pub tag: Rc<str>,
    pub no_ack: bool,
    pub exclusive: bool,
}

#[derive(Default)]
pub struct Queue {
    pub name: Rc<str>,
    pub durable: bool,
    /// The connection that it belongs to.
    pub exclusive: Option<usize>,
    pub auto_delete: bool,
    /// Where messages go that expire or are rejected.
    pub dead_letters: Option<String>,
    pub ttl: Option<Time>,
    pub ready: VecDeque<Message>,
    pub consumers: VecDeque<Consumer>,
    bindings: Vec<(String, String)>,
}

enum Kind {
    Direct(BTreeMap<String, Vec<usize>>),
    Fanout(Vec<usize>),
    Topic(Box<Topics>),
    Trigger,
}

pub struct Exchange {
    kind: Kind,
    durable: bool,
    auto_delete: bool,
    internal: bool,
    bindings: usize,
}

/// Declare's arguments that two declarations must share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueSpec {
    pub durable: bool,
    pub exclusive: bool,
    pub auto_delete: bool,
    pub dead_letters: Option<String>,
    pub ttl: Option<Time>,
}

pub struct Broker {
    exchanges: BTreeMap<String, Exchange>,
    pub queues: Slab<Queue>,
    names: BTreeMap<String, usize>,
    /// Bytes of all messages that are ready.
    pub bytes: usize,
    /// Named by the server where a client gives no name.
    named: u64,
    found: Vec<usize>,
}

fn not_found(what: &str, name: &str) -> Fault {
    Fault::new(code::NOT_FOUND, format!("no {what} '{name}'"))
}

impl Broker {
    /// With the exchanges that the specification asks for (3.1.3), and the trigger exchange.
    pub fn new(trigger: &str) -> Broker {
        let mut broker = Broker {
            exchanges: BTreeMap::new(),
            queues: Slab::new(),
            names: BTreeMap::new(),
            bytes: 0,
            named: 0,
            found: Vec::new(),
        };
        let own = [
            ("amq.direct", "direct"),
            ("amq.fanout", "fanout"),
            ("amq.topic", "topic"),
            (trigger, TRIGGER),
        ];
        for (name, kind) in own {
            let kind = Broker::kind(kind).expect("these are served");
            let exchange = Exchange {
                kind,
                durable: true,
                auto_delete: false,
                internal: false,
                bindings: 0,
            };
            broker.exchanges.insert(name.to_string(), exchange);
        }
        broker
    }

    fn kind(name: &str) -> Result<Kind, Fault> {
        match name {
            "direct" => Ok(Kind::Direct(BTreeMap::new())),
            "fanout" => Ok(Kind::Fanout(Vec::new())),
            "topic" => Ok(Kind::Topic(Box::default())),
            TRIGGER => Ok(Kind::Trigger),
            "headers" => Err(Fault::new(
                code::NOT_IMPLEMENTED,
                "headers exchanges are not served",
            )),
            other => Err(Fault::new(
                code::COMMAND_INVALID,
                format!("exchange type '{other}' is unknown"),
            )),
        }
    }

    fn kind_name(kind: &Kind) -> &'static str {
        match kind {
            Kind::Direct(_) => "direct",
            Kind::Fanout(_) => "fanout",
            Kind::Topic(_) => "topic",
            Kind::Trigger => TRIGGER,
        }
    }

    pub fn is_trigger(&self, exchange: &str) -> bool {
        self.exchanges
            .get(exchange)
            .is_some_and(|e| matches!(e.kind, Kind::Trigger))
    }

    pub fn declare_exchange(
        &mut self,
        name: &str,
        kind: &str,
        passive: bool,
        (durable, auto_delete, internal): (bool, bool, bool),
    ) -> Result<(), Fault> {
        if let Some(known) = self.exchanges.get(name) {
            if passive {
                return Ok(());
            }
            let same = Broker::kind_name(&known.kind) == kind
                && (known.durable, known.auto_delete, known.internal)
                    == (durable, auto_delete, internal);
            let text = format!("exchange '{name}' stands with other properties");
            return same
                .then_some(())
                .ok_or_else(|| Fault::new(code::PRECONDITION_FAILED, text));
        }
        if passive {
            return Err(not_found("exchange", name));
        }
        if name.is_empty() || name.starts_with("amq.") {
            return Err(Fault::new(
                code::ACCESS_REFUSED,
                format!("the name '{name}' is reserved"),
            ));
        }
        if kind == TRIGGER {
            return Err(Fault::new(
                code::COMMAND_INVALID,
                "the trigger exchange is named in the settings",
            ));
        }
        let kind = Broker::kind(kind)?;
        let exchange = Exchange {
            kind,
            durable,
            auto_delete,
            internal,
            bindings: 0,
        };
        self.exchanges.insert(name.to_string(), exchange);
        Ok(())
    }

    pub fn delete_exchange(&mut self, name: &str, if_unused: bool) -> Result<(), Fault> {
        if name.is_empty() || name.starts_with("amq.") || self.is_trigger(name) {
            return Err(Fault::new(
                code::ACCESS_REFUSED,
                format!("exchange '{name}' is the server's"),
            ));
        }
        let known = self
            .exchanges
            .get(name)
            .ok_or_else(|| not_found("exchange", name))?;
        if if_unused && known.bindings > 0 {
            return Err(Fault::new(
                code::PRECONDITION_FAILED,
                format!("exchange '{name}' is in use"),
            ));
        }
        self.exchanges.remove(name);
        self.queues
            .iter_mut()
            .for_each(|q| q.1.bindings.retain(|b| b.0 != name));
        Ok(())
    }

    /// Exclusive queues are locked to the others (3.1.4 and queue.declare).
    pub fn queue(&self, conn: usize, name: &str) -> Result<usize, Fault> {
        let queue = *self
            .names
            .get(name)
            .ok_or_else(|| not_found("queue", name))?;
        if self.queues[queue].exclusive.is_some_and(|c| c != conn) {
            return Err(Fault::new(
                code::RESOURCE_LOCKED,
                format!("queue '{name}' is another connection's"),
            ));
        }
        Ok(queue)
    }

    pub fn declare_queue(
        &mut self,
        conn: usize,
        name: &str,
        passive: bool,
        spec: &QueueSpec,
    ) -> Result<usize, Fault> {
        if self.names.contains_key(name) {
            let queue = self.queue(conn, name)?;
            let q = &self.queues[queue];
            let same = q.durable == spec.durable
                && q.exclusive.is_some() == spec.exclusive
                && q.auto_delete == spec.auto_delete
                && q.dead_letters == spec.dead_letters
                && q.ttl == spec.ttl;
            let text = format!("queue '{name}' stands with other properties");
            let good = passive || same;
            return good
                .then_some(queue)
                .ok_or_else(|| Fault::new(code::PRECONDITION_FAILED, text));
        }
        if passive {
            return Err(not_found("queue", name));
        }
        if name.starts_with("amq.") {
            return Err(Fault::new(
                code::ACCESS_REFUSED,
                format!("the name '{name}' is reserved"),
            ));
        }
        let name = if name.is_empty() {
            self.named += 1;
            format!("amq.gen-{:08x}", self.named)
        } else {
            name.to_string()
        };
        let queue = self.queues.insert(Queue {
            name: name.as_str().into(),
            durable: spec.durable,
            exclusive: spec.exclusive.then_some(conn),
            auto_delete: spec.auto_delete,
            dead_letters: spec.dead_letters.clone(),
            ttl: spec.ttl,
            ..Queue::default()
        });
        self.names.insert(name, queue);
        Ok(queue)
    }

    pub fn bind(&mut self, queue: usize, exchange: &str, key: &str, on: bool) -> Result<(), Fault> {
        if exchange.is_empty() {
            return Err(Fault::new(
                code::ACCESS_REFUSED,
                "the default exchange binds by itself",
            ));
        }
        let e = self
            .exchanges
            .get_mut(exchange)
            .ok_or_else(|| not_found("exchange", exchange))?;
        let binding = (exchange.to_string(), key.to_string());
        let bindings = &mut self.queues[queue].bindings;
        let known = bindings.iter().position(|b| *b == binding);
        match (on, known) {
            // Binding twice and unbinding what is not bound are no errors.
            (true, Some(_)) | (false, None) => return Ok(()),
            (true, None) => bindings.push(binding),
            (false, Some(at)) => {
                bindings.swap_remove(at);
            }
        }
        match &mut e.kind {
            Kind::Direct(map) if on => map.entry(key.to_string()).or_default().push(queue),
            Kind::Direct(map) => {
                if let Some(list) = map.get_mut(key) {
                    list.retain(|q| *q != queue);
                    if list.is_empty() {
                        map.remove(key);
                    }
                }
            }
            Kind::Fanout(list) if on => list.push(queue),
            Kind::Fanout(list) => {
                if let Some(at) = list.iter().position(|q| *q == queue) {
                    list.remove(at);
                }
            }
            Kind::Topic(topics) if on => topics.bind(key, queue),
            Kind::Topic(topics) => {
                topics.unbind(key, queue);
            }
            Kind::Trigger => {
                return Err(Fault::new(
                    code::ACCESS_REFUSED,
                    "events go to workers, not to queues",
                ));
            }
        }
        e.bindings = if on { e.bindings + 1 } else { e.bindings - 1 };
        if !on && e.auto_delete && e.bindings == 0 {
            self.exchanges.remove(exchange);
        }
        Ok(())
    }

    /// The queues that a publish reaches, in their own order.
    pub fn route(&mut self, exchange: &str, key: &str) -> Result<&[usize], Fault> {
        self.found.clear();
        if exchange.is_empty() {
            self.found.extend(self.names.get(key));
            return Ok(&self.found);
        }
        let e = self
            .exchanges
            .get_mut(exchange)
            .ok_or_else(|| not_found("exchange", exchange))?;
        if e.internal {
            let text = format!("exchange '{exchange}' takes no publishes from clients");
            return Err(Fault::new(code::ACCESS_REFUSED, text));
        }
        match &mut e.kind {
            Kind::Direct(map) => self.found.extend(map.get(key).into_iter().flatten()),
            Kind::Fanout(list) => {
                self.found.extend(list.iter());
                self.found.sort_unstable();
                self.found.dedup();
            }
            Kind::Topic(topics) => topics.find(key, &mut self.found),
            Kind::Trigger => {}
        }
        Ok(&self.found)
    }

    /// Higher priorities go before lower ones; within one, the first come.
    pub fn push(&mut self, queue: usize, now: Time, message: Message) {
        self.bytes += message.weight();
        let q = &mut self.queues[queue];
        let ttl = q.ttl.map(|t| now + t);
        let expires = [message.expires, ttl].into_iter().flatten().min();
        let message = Message { expires, ..message };
        let behind = q
            .ready
            .iter()
            .rev()
            .take_while(|m| m.priority < message.priority)
            .count();
        q.ready.insert(q.ready.len() - behind, message);
    }

    /// Back to where it was: in front of its priority.
    pub fn put_back(&mut self, queue: usize, message: Message) {
        self.bytes += message.weight();
        let q = &mut self.queues[queue];
        let before = q
            .ready
            .iter()
            .take_while(|m| m.priority > message.priority)
            .count();
        q.ready.insert(
            before,
            Message {
                redelivered: true,
                ..message
            },
        );
    }

    pub fn pop(&mut self, queue: usize) -> Option<Message> {
        let message = self.queues[queue].ready.pop_front()?;
        self.bytes -= message.weight();
        Some(message)
    }

    /// Takes out what has expired at a queue's head, and what stands behind it with an end of its own.
    pub fn expired(&mut self, queue: usize, now: Time) -> Vec<Message> {
        let q = &mut self.queues[queue];
        if !q.ready.iter().any(|m| m.expires.is_some_and(|e| e <= now)) {
            return Vec::new();
        }
        let (gone, kept): (Vec<_>, Vec<_>) = q
            .ready
            .drain(..)
            .partition(|m| m.expires.is_some_and(|e| e <= now));
        q.ready.extend(kept);
        self.bytes -= gone.iter().map(Message::weight).sum::<usize>();
        gone
    }

    pub fn purge(&mut self, queue: usize) -> usize {
        let count = self.queues[queue].ready.len();
        while self.pop(queue).is_some() {}
        count
    }

    /// Gives back its consumers, who are to be told.
    pub fn delete_queue(&mut self, queue: usize) -> (usize, VecDeque<Consumer>) {
        let count = self.purge(queue);
        for (exchange, key) in self.queues[queue].bindings.clone() {
            // Both are known, so unbinding cannot fail.
            let _ = self.bind(queue, &exchange, &key, false);
        }
        let gone = self.queues.remove(queue);
        self.names.remove(&*gone.name);
        (count, gone.consumers)
    }

    pub fn consume(&mut self, queue: usize, consumer: Consumer) -> Result<(), Fault> {
        let q = &mut self.queues[queue];
        let taken = q.consumers.iter().any(|c| c.exclusive)
            || consumer.exclusive && !q.consumers.is_empty();
        if taken {
            let text = format!("queue '{}' is consumed exclusively", q.name);
            return Err(Fault::new(code::ACCESS_REFUSED, text));
        }
        q.consumers.push_back(consumer);
        Ok(())
    }

    /// True where the queue goes with its last consumer.
    pub fn cancel(&mut self, queue: usize, conn: usize, channel: u16, tag: &str) -> bool {
        let Some(q) = self.queues.get_mut(queue) else {
            return false;
        };
        let before = q.consumers.len();
        q.consumers
            .retain(|c| (c.conn, c.channel, &*c.tag) != (conn, channel, tag));
        q.auto_delete && q.consumers.is_empty() && before > 0
    }
}
