//! Exchanges and their routing (section 3.1.3).
use super::QueueId;
use crate::topic::TopicTrie;
use crate::{reply_code, ProtocolError};
use std::collections::BTreeMap;

/// Type of the trigger exchange, whose publishes are requests. The settings give its name.
pub const TRIGGER_TYPE: &str = "x-trigger";

const DIRECT_TYPE: &str = "direct";
const FANOUT_TYPE: &str = "fanout";
const TOPIC_TYPE: &str = "topic";
const HEADERS_TYPE: &str = "headers";

/// Arguments of `exchange.declare` that must be equal in every declare of an exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExchangeFlags {
    /// The exchange survives a restart of the server. It is only compared with other declares, as nothing is
    /// stored.
    pub durable: bool,
    /// The exchange is deleted with its last binding.
    pub auto_delete: bool,
    /// The exchange does not accept publishes from clients.
    pub internal: bool,
}

/// The bindings, in the form that each type needs for routing.
enum Routes {
    /// Queue ids by binding key.
    Direct(BTreeMap<String, Vec<QueueId>>),
    /// Queue ids, one for each binding.
    Fanout(Vec<QueueId>),
    Topic(Box<TopicTrie<QueueId>>),
    Trigger,
}

/// An exchange.
pub(super) struct Exchange {
    routes: Routes,
    flags: ExchangeFlags,
    binding_count: usize,
}

impl Exchange {
    fn new(routes: Routes, flags: ExchangeFlags) -> Exchange {
        Exchange {
            routes,
            flags,
            binding_count: 0,
        }
    }

    fn predeclared(routes: Routes) -> Exchange {
        let flags = ExchangeFlags {
            durable: true,
            ..ExchangeFlags::default()
        };
        Exchange::new(routes, flags)
    }

    pub fn predeclared_direct() -> Exchange {
        Exchange::predeclared(Routes::Direct(BTreeMap::new()))
    }

    pub fn predeclared_fanout() -> Exchange {
        Exchange::predeclared(Routes::Fanout(Vec::new()))
    }

    pub fn predeclared_topic() -> Exchange {
        Exchange::predeclared(Routes::Topic(Box::default()))
    }

    pub fn trigger() -> Exchange {
        Exchange::predeclared(Routes::Trigger)
    }

    /// An exchange of a type that clients may declare.
    pub fn declared(exchange_type: &str, flags: ExchangeFlags) -> Result<Exchange, ProtocolError> {
        let routes = match exchange_type {
            DIRECT_TYPE => Routes::Direct(BTreeMap::new()),
            FANOUT_TYPE => Routes::Fanout(Vec::new()),
            TOPIC_TYPE => Routes::Topic(Box::default()),
            TRIGGER_TYPE => {
                return Err(ProtocolError::new(
                    reply_code::COMMAND_INVALID,
                    "the trigger exchange is named in the settings",
                ))
            }
            HEADERS_TYPE => {
                return Err(ProtocolError::new(
                    reply_code::NOT_IMPLEMENTED,
                    "headers exchanges are not served",
                ))
            }
            other => {
                return Err(ProtocolError::new(
                    reply_code::COMMAND_INVALID,
                    format!("exchange type '{other}' is unknown"),
                ))
            }
        };
        Ok(Exchange::new(routes, flags))
    }

    fn type_name(&self) -> &'static str {
        match self.routes {
            Routes::Direct(_) => DIRECT_TYPE,
            Routes::Fanout(_) => FANOUT_TYPE,
            Routes::Topic(_) => TOPIC_TYPE,
            Routes::Trigger => TRIGGER_TYPE,
        }
    }

    /// Whether a declare with these arguments is equivalent to the one that created the exchange.
    pub fn is_same(&self, exchange_type: &str, flags: ExchangeFlags) -> bool {
        self.type_name() == exchange_type && self.flags == flags
    }

    pub fn is_trigger(&self) -> bool {
        matches!(self.routes, Routes::Trigger)
    }

    pub fn is_internal(&self) -> bool {
        self.flags.internal
    }

    pub fn is_used(&self) -> bool {
        self.binding_count > 0
    }

    /// Whether the exchange is to be deleted after an unbind, because it was its last binding.
    pub fn should_auto_delete(&self) -> bool {
        self.flags.auto_delete && !self.is_used()
    }

    fn no_bindings() -> ProtocolError {
        ProtocolError::new(
            reply_code::ACCESS_REFUSED,
            "events go to workers, not to queues",
        )
    }

    pub fn bind(&mut self, queue: QueueId, key: &str) -> Result<(), ProtocolError> {
        match &mut self.routes {
            Routes::Direct(queues) => queues.entry(key.to_string()).or_default().push(queue),
            Routes::Fanout(queues) => queues.push(queue),
            Routes::Topic(topics) => topics.bind(key, queue),
            Routes::Trigger => return Err(Exchange::no_bindings()),
        }
        self.binding_count += 1;
        Ok(())
    }

    pub fn unbind(&mut self, queue: QueueId, key: &str) -> Result<(), ProtocolError> {
        match &mut self.routes {
            Routes::Direct(queues) => {
                if let Some(bound) = queues.get_mut(key) {
                    bound.retain(|other| *other != queue);
                    if bound.is_empty() {
                        queues.remove(key);
                    }
                }
            }
            Routes::Fanout(queues) => {
                if let Some(index) = queues.iter().position(|other| *other == queue) {
                    queues.remove(index);
                }
            }
            Routes::Topic(topics) => {
                topics.unbind(key, queue);
            }
            Routes::Trigger => return Err(Exchange::no_bindings()),
        }
        self.binding_count -= 1;
        Ok(())
    }

    /// Appends the ids of the queues to which a routing key is routed, each once.
    pub fn route(&mut self, key: &str, found: &mut Vec<QueueId>) {
        match &mut self.routes {
            Routes::Direct(queues) => found.extend(queues.get(key).into_iter().flatten()),
            Routes::Fanout(queues) => {
                found.extend(queues.iter());
                found.sort_unstable();
                found.dedup();
            }
            Routes::Topic(topics) => topics.find(key, found),
            Routes::Trigger => {}
        }
    }
}
