//! Classes exchange and queue (sections 1.6 and 1.7): declare, bind, purge and delete.
use super::channel::unknown_method;
use super::state::ChannelAddress;
use super::{MethodResult, Server, ServerActions};
use crate::codec::{method, ArgumentReader, FieldTable, FieldValue, MethodId};
use crate::virtual_host::{ExchangeFlags, QueueId, QueueOptions, VirtualHost};
use crate::{reply_code, ProtocolError, MILLISECOND};

/// Limit of times to live in milliseconds (35 years). It is far beyond any use, and its sum with the current
/// time cannot overflow.
pub(super) const MAX_TTL_MILLISECONDS: u64 = 1 << 40;

impl Server {
    /// The virtual host of a connection.
    pub(super) fn host_mut(&mut self, connection: usize) -> &mut VirtualHost {
        &mut self.virtual_hosts[self.connections[connection].virtual_host]
    }

    /// Handles a method of class exchange.
    pub(super) fn exchange_method<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
        id: MethodId,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        let host = self.host_mut(from.connection);
        let (no_wait, reply) = match id {
            method::EXCHANGE_DECLARE => {
                arguments.short()?;
                let (name, kind) = (arguments.short_str()?, arguments.short_str()?);
                let passive = arguments.bit()?;
                let flags = ExchangeFlags {
                    durable: arguments.bit()?,
                    auto_delete: arguments.bit()?,
                    internal: arguments.bit()?,
                };
                let no_wait = arguments.bit()?;
                arguments.table()?;
                host.declare_exchange(name, kind, passive, flags)?;
                (no_wait, method::EXCHANGE_DECLARE_OK)
            }
            method::EXCHANGE_DELETE => {
                arguments.short()?;
                let name = arguments.short_str()?;
                let (if_unused, no_wait) = (arguments.bit()?, arguments.bit()?);
                host.delete_exchange(name, if_unused)?;
                (no_wait, method::EXCHANGE_DELETE_OK)
            }
            method::EXCHANGE_BIND | method::EXCHANGE_UNBIND => {
                return Err(ProtocolError::new(
                    reply_code::NOT_IMPLEMENTED,
                    "exchanges are not bound to exchanges",
                ))
            }
            _ => return Err(unknown_method()),
        };
        if !no_wait {
            self.write_method(actions, from, reply, |frame| frame);
        }
        Ok(())
    }

    /// The queue with this name. An empty name means the queue that was last declared on the channel (50,
    /// `queue-name`).
    pub(super) fn find_queue(
        &self,
        from: ChannelAddress,
        name: &str,
    ) -> Result<QueueId, ProtocolError> {
        let connection = &self.connections[from.connection];
        let last = &connection.channels[&from.number].last_queue;
        if name.is_empty() && last.is_empty() {
            return Err(ProtocolError::new(
                reply_code::NOT_FOUND,
                "no queue was declared on this channel",
            ));
        }
        let name = if name.is_empty() { last } else { name };
        self.virtual_hosts[connection.virtual_host].find_queue(from.connection, name)
    }

    /// Handles a method of class queue.
    pub(super) fn queue_method<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
        id: MethodId,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        arguments.short()?;
        match id {
            method::QUEUE_DECLARE => self.declare_queue(actions, from, arguments),
            method::QUEUE_BIND | method::QUEUE_UNBIND => {
                let bind = id == method::QUEUE_BIND;
                let name = arguments.short_str()?;
                let (exchange, routing_key) = (arguments.short_str()?, arguments.short_str()?);
                // `queue.unbind` has no argument `no-wait`.
                let no_wait = if bind { arguments.bit()? } else { false };
                arguments.table()?;
                let queue = self.find_queue(from, name)?;
                let host = self.host_mut(from.connection);
                let reply = if bind {
                    host.bind(queue, exchange, routing_key)?;
                    method::QUEUE_BIND_OK
                } else {
                    host.unbind(queue, exchange, routing_key)?;
                    method::QUEUE_UNBIND_OK
                };
                if !no_wait {
                    self.write_method(actions, from, reply, |frame| frame);
                }
                Ok(())
            }
            method::QUEUE_PURGE => {
                let (name, no_wait) = (arguments.short_str()?, arguments.bit()?);
                let queue = self.find_queue(from, name)?;
                let count = self.host_mut(from.connection).purge(queue) as u32;
                if !no_wait {
                    self.write_method(actions, from, method::QUEUE_PURGE_OK, |frame| {
                        frame.long(count)
                    });
                }
                Ok(())
            }
            method::QUEUE_DELETE => self.queue_delete(actions, from, arguments),
            _ => Err(unknown_method()),
        }
    }

    fn declare_queue<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        let name = arguments.short_str()?;
        let (passive, durable) = (arguments.bit()?, arguments.bit()?);
        let (exclusive, auto_delete) = (arguments.bit()?, arguments.bit()?);
        let no_wait = arguments.bit()?;
        let table = arguments.table()?;
        let options = QueueOptions {
            durable,
            exclusive,
            auto_delete,
            dead_letter_exchange: text_argument(&table, "x-dead-letter-exchange"),
            message_ttl: message_ttl(&table)?
                .map(|milliseconds| milliseconds.min(MAX_TTL_MILLISECONDS) * MILLISECOND),
        };
        let last = &self.connections[from.connection].channels[&from.number].last_queue;
        let name = if name.is_empty() && passive {
            last.clone()
        } else {
            name.to_string()
        };
        let host = self.host_mut(from.connection);
        let id = host.declare_queue(from.connection, &name, passive, &options)?;
        let queue = &host[id];
        let (name, ready) = (queue.name.clone(), queue.ready.len() as u32);
        let consumers = queue.consumers.len() as u32;
        if let Some(channel) = self.channel_mut(from) {
            channel.last_queue = name.to_string();
        }
        if !no_wait {
            self.write_method(actions, from, method::QUEUE_DECLARE_OK, |frame| {
                frame.short_str(&name).long(ready).long(consumers)
            });
        }
        Ok(())
    }

    fn queue_delete<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        let name = arguments.short_str()?;
        let (if_unused, if_empty) = (arguments.bit()?, arguments.bit()?);
        let no_wait = arguments.bit()?;
        let found = match self.find_queue(from, name) {
            // Deleting a queue that does not exist is no error.
            Err(error) if error.reply_code == reply_code::NOT_FOUND => None,
            found => Some(found?),
        };
        let mut count = 0;
        if let Some(id) = found {
            let queue = &self.host_mut(from.connection)[id];
            if if_unused && !queue.consumers.is_empty() || if_empty && !queue.ready.is_empty() {
                return Err(ProtocolError::new(
                    reply_code::PRECONDITION_FAILED,
                    "the queue is in use or not empty",
                ));
            }
            count = self.delete_queue(actions, from, id, Some(from)) as u32;
        }
        if !no_wait {
            self.write_method(actions, from, method::QUEUE_DELETE_OK, |frame| {
                frame.long(count)
            });
        }
        Ok(())
    }

    /// Deletes a queue of the virtual host of `from` and returns the number of messages lost. Its consumers
    /// get `basic.cancel`, except those on the channel `requested_by`.
    pub(super) fn delete_queue<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
        queue: QueueId,
        requested_by: Option<ChannelAddress>,
    ) -> usize {
        let deleted = self.host_mut(from.connection).delete_queue(queue);
        for consumer in deleted.consumers {
            let address = ChannelAddress {
                connection: consumer.connection,
                number: consumer.channel,
            };
            let Some(channel) = self.channel_mut(address) else {
                continue;
            };
            channel.consumers.remove(&consumer.tag);
            if requested_by != Some(address) {
                self.write_method(actions, address, method::BASIC_CANCEL, |frame| {
                    frame.short_str(&consumer.tag).bit(true)
                });
            }
        }
        deleted.message_count
    }
}

fn text_argument(table: &FieldTable, name: &str) -> Option<String> {
    match table.get(name) {
        Some(FieldValue::LongString(text)) => String::from_utf8(text.to_vec()).ok(),
        _ => None,
    }
}

/// The argument `x-message-ttl`, in milliseconds.
fn message_ttl(table: &FieldTable) -> Result<Option<u64>, ProtocolError> {
    match table.get("x-message-ttl") {
        None => Ok(None),
        Some(FieldValue::Signed(value)) if value >= 0 => Ok(Some(value as u64)),
        Some(FieldValue::Unsigned(value)) => Ok(Some(value)),
        Some(_) => Err(ProtocolError::new(
            reply_code::PRECONDITION_FAILED,
            "x-message-ttl is no time",
        )),
    }
}
