//! Exchanges, bindings, queues and consumers of one virtual host (section 3.1). Connections are
//! only known by their ids.
mod exchange;
mod queue;

pub use exchange::{ExchangeFlags, TRIGGER_TYPE};
pub use queue::{Consumer, DeletedQueue, Message, Queue, QueueId, QueueOptions};

use crate::{reply_code, ProtocolError};
use exchange::Exchange;
use queue::Binding;
use slab::Slab;
use std::collections::BTreeMap;
use std::ops::Index;

/// Names with this prefix are reserved for the server (3.1.3.1 and 3.1.4).
const RESERVED_PREFIX: &str = "amq.";

/// One virtual host.
pub struct VirtualHost {
    exchanges: BTreeMap<String, Exchange>,
    queues: Slab<Queue>,
    queue_names: BTreeMap<String, QueueId>,
    /// See [`VirtualHost::ready_bytes`].
    ready_bytes: usize,
    /// Number of queues so far whose names the server generated.
    generated_names: u64,
    /// The queues of the latest publish, reused so that routing does not allocate once it is large enough.
    routed: Vec<QueueId>,
}

fn not_found(kind: &str, name: &str) -> ProtocolError {
    ProtocolError::new(reply_code::NOT_FOUND, format!("no {kind} '{name}'"))
}

fn reserved_name(name: &str) -> ProtocolError {
    ProtocolError::new(
        reply_code::ACCESS_REFUSED,
        format!("the name '{name}' is reserved"),
    )
}

impl VirtualHost {
    /// A virtual host with the predeclared exchanges of the specification (3.1.3) and the trigger exchange.
    pub fn new(trigger_exchange: &str) -> VirtualHost {
        let exchanges = [
            ("amq.direct", Exchange::predeclared_direct()),
            ("amq.fanout", Exchange::predeclared_fanout()),
            ("amq.topic", Exchange::predeclared_topic()),
            (trigger_exchange, Exchange::trigger()),
        ];
        VirtualHost {
            exchanges: exchanges
                .into_iter()
                .map(|(name, exchange)| (name.to_string(), exchange))
                .collect(),
            queues: Slab::new(),
            queue_names: BTreeMap::new(),
            ready_bytes: 0,
            generated_names: 0,
            routed: Vec::new(),
        }
    }

    /// Size of all messages that are ready for delivery, by [`Message::size`].
    pub fn ready_bytes(&self) -> usize {
        self.ready_bytes
    }

    /// Ids of all queues.
    pub fn queue_ids(&self) -> impl Iterator<Item = QueueId> + '_ {
        self.queues.iter().map(|(id, _)| QueueId(id))
    }

    /// The queue with this id, unless it was deleted.
    pub fn queue(&self, id: QueueId) -> Option<&Queue> {
        self.queues.get(id.0)
    }

    /// Like [`VirtualHost::queue`], but mutable.
    pub fn queue_mut(&mut self, id: QueueId) -> Option<&mut Queue> {
        self.queues.get_mut(id.0)
    }

    /// Whether a publish to this exchange is a request.
    pub fn is_trigger(&self, exchange: &str) -> bool {
        self.exchanges
            .get(exchange)
            .is_some_and(Exchange::is_trigger)
    }

    /// `exchange.declare` (1.6.2.1).
    ///
    /// # Errors
    /// PRECONDITION_FAILED if the exchange exists with other properties, NOT_FOUND for a passive declare if
    /// it does not exist, ACCESS_REFUSED for a reserved name, NOT_IMPLEMENTED or COMMAND_INVALID for an
    /// unsupported type.
    pub fn declare_exchange(
        &mut self,
        name: &str,
        exchange_type: &str,
        passive: bool,
        flags: ExchangeFlags,
    ) -> Result<(), ProtocolError> {
        if let Some(existing) = self.exchanges.get(name) {
            if passive || existing.is_same(exchange_type, flags) {
                return Ok(());
            }
            return Err(ProtocolError::new(
                reply_code::PRECONDITION_FAILED,
                format!("exchange '{name}' stands with other properties"),
            ));
        }
        if passive {
            return Err(not_found("exchange", name));
        }
        if name.is_empty() || name.starts_with(RESERVED_PREFIX) {
            return Err(reserved_name(name));
        }
        let exchange = Exchange::declared(exchange_type, flags)?;
        self.exchanges.insert(name.to_string(), exchange);
        Ok(())
    }

    /// `exchange.delete` (1.6.2.3); the bindings to the exchange are deleted with it.
    ///
    /// # Errors
    /// ACCESS_REFUSED for an exchange of the server, NOT_FOUND if it does not exist, and PRECONDITION_FAILED
    /// with `if_unused` if it is in use.
    pub fn delete_exchange(&mut self, name: &str, if_unused: bool) -> Result<(), ProtocolError> {
        if name.is_empty() || name.starts_with(RESERVED_PREFIX) || self.is_trigger(name) {
            return Err(ProtocolError::new(
                reply_code::ACCESS_REFUSED,
                format!("exchange '{name}' is the server's"),
            ));
        }
        let existing = self
            .exchanges
            .get(name)
            .ok_or_else(|| not_found("exchange", name))?;
        if if_unused && existing.is_used() {
            return Err(ProtocolError::new(
                reply_code::PRECONDITION_FAILED,
                format!("exchange '{name}' is in use"),
            ));
        }
        self.exchanges.remove(name);
        for (_, queue) in &mut self.queues {
            queue.bindings.retain(|binding| binding.exchange != name);
        }
        Ok(())
    }

    /// The id of the queue with this name.
    ///
    /// # Errors
    /// NOT_FOUND if the queue does not exist, RESOURCE_LOCKED if it is exclusive to another connection (3.1.4
    /// and 1.7.2.1).
    pub fn find_queue(&self, connection: usize, name: &str) -> Result<QueueId, ProtocolError> {
        let queue = *self
            .queue_names
            .get(name)
            .ok_or_else(|| not_found("queue", name))?;
        let owner = self.queues[queue.0].exclusive_to;
        if owner.is_some_and(|owner| owner != connection) {
            return Err(ProtocolError::new(
                reply_code::RESOURCE_LOCKED,
                format!("queue '{name}' is another connection's"),
            ));
        }
        Ok(queue)
    }

    /// `queue.declare` (1.7.2.1). For an empty name the server generates one.
    ///
    /// # Errors
    /// PRECONDITION_FAILED if the queue exists with other properties, NOT_FOUND for a passive declare if it
    /// does not exist, ACCESS_REFUSED for a reserved name, RESOURCE_LOCKED if it is exclusive to another
    /// connection.
    pub fn declare_queue(
        &mut self,
        connection: usize,
        name: &str,
        passive: bool,
        options: &QueueOptions,
    ) -> Result<QueueId, ProtocolError> {
        if self.queue_names.contains_key(name) {
            let id = self.find_queue(connection, name)?;
            if passive || self.queues[id.0].has_options(options) {
                return Ok(id);
            }
            return Err(ProtocolError::new(
                reply_code::PRECONDITION_FAILED,
                format!("queue '{name}' stands with other properties"),
            ));
        }
        if passive {
            return Err(not_found("queue", name));
        }
        if name.starts_with(RESERVED_PREFIX) {
            return Err(reserved_name(name));
        }
        let name = if name.is_empty() {
            self.generated_names += 1;
            format!("amq.gen-{:08x}", self.generated_names)
        } else {
            name.to_string()
        };
        let id = QueueId(self.queues.insert(Queue::new(&name, connection, options)));
        self.queue_names.insert(name, id);
        Ok(id)
    }

    /// `queue.bind` (1.7.2.3); a binding that already exists is no error.
    ///
    /// # Errors
    /// ACCESS_REFUSED for the default exchange and the trigger exchange, NOT_FOUND if the exchange does not
    /// exist.
    pub fn bind(
        &mut self,
        queue: QueueId,
        exchange: &str,
        routing_key: &str,
    ) -> Result<(), ProtocolError> {
        let target = bindable_exchange(&mut self.exchanges, exchange)?;
        let binding = Binding::new(exchange, routing_key);
        let bindings = &mut self.queues[queue.0].bindings;
        if !bindings.contains(&binding) {
            bindings.push(binding);
            target.bind(queue, routing_key)?;
        }
        Ok(())
    }

    /// `queue.unbind` (1.7.2.5); a binding that does not exist is no error. An auto-delete
    /// exchange is deleted with its last binding.
    ///
    /// # Errors
    /// ACCESS_REFUSED for the default exchange, NOT_FOUND if the exchange does not exist.
    pub fn unbind(
        &mut self,
        queue: QueueId,
        exchange: &str,
        routing_key: &str,
    ) -> Result<(), ProtocolError> {
        let target = bindable_exchange(&mut self.exchanges, exchange)?;
        let binding = Binding::new(exchange, routing_key);
        let bindings = &mut self.queues[queue.0].bindings;
        if let Some(index) = bindings.iter().position(|existing| *existing == binding) {
            bindings.swap_remove(index);
            target.unbind(queue, routing_key)?;
            if target.should_auto_delete() {
                self.exchanges.remove(exchange);
            }
        }
        Ok(())
    }

    /// Ids of the queues to which a publish is routed: in the order of the bindings for a direct exchange,
    /// otherwise in ascending order. The empty name is the default exchange (3.1.3.1).
    ///
    /// # Errors
    /// NOT_FOUND if the exchange does not exist, ACCESS_REFUSED if it is internal.
    pub fn route(
        &mut self,
        exchange: &str,
        routing_key: &str,
    ) -> Result<&[QueueId], ProtocolError> {
        self.routed.clear();
        if exchange.is_empty() {
            self.routed.extend(self.queue_names.get(routing_key));
            return Ok(&self.routed);
        }
        let source = self
            .exchanges
            .get_mut(exchange)
            .ok_or_else(|| not_found("exchange", exchange))?;
        if source.is_internal() {
            let text = format!("exchange '{exchange}' takes no publishes from clients");
            return Err(ProtocolError::new(reply_code::ACCESS_REFUSED, text));
        }
        source.route(routing_key, &mut self.routed);
        Ok(&self.routed)
    }

    /// Deletes a queue with its messages and bindings. The caller has to notify its consumers.
    pub fn delete_queue(&mut self, queue: QueueId) -> DeletedQueue {
        let message_count = self.purge(queue);
        for binding in self.queues[queue.0].bindings.clone() {
            // This cannot fail, as the queue and the exchange of a binding exist.
            let _ = self.unbind(queue, &binding.exchange, &binding.routing_key);
        }
        let deleted = self.queues.remove(queue.0);
        self.queue_names.remove(&*deleted.name);
        DeletedQueue {
            message_count,
            consumers: deleted.consumers,
        }
    }

    /// Deletes the queues that are exclusive to a connection.
    pub fn delete_exclusive_queues(&mut self, connection: usize) {
        let owned: Vec<QueueId> = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.exclusive_to == Some(connection))
            .map(|(id, _)| QueueId(id))
            .collect();
        for queue in owned {
            self.delete_queue(queue);
        }
    }
}

/// The queue with this id. Panics if it was deleted.
impl Index<QueueId> for VirtualHost {
    type Output = Queue;

    fn index(&self, id: QueueId) -> &Queue {
        &self.queues[id.0]
    }
}

/// The exchange with this name, to which a queue is to be bound or unbound.
fn bindable_exchange<'a>(
    exchanges: &'a mut BTreeMap<String, Exchange>,
    name: &str,
) -> Result<&'a mut Exchange, ProtocolError> {
    if name.is_empty() {
        return Err(ProtocolError::new(
            reply_code::ACCESS_REFUSED,
            "the default exchange binds by itself",
        ));
    }
    exchanges
        .get_mut(name)
        .ok_or_else(|| not_found("exchange", name))
}
