//! Numbers of classes and methods (section 1.2 and the class reference), with the extensions that common
//! clients expect: `connection.blocked`, `connection.update-secret`, exchange bindings, `basic.nack` and
//! class confirm.

/// A method, identified by the numbers of its class and of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MethodId {
    /// See [`class`].
    pub class: u16,
    /// Number within the class.
    pub method: u16,
}

impl MethodId {
    /// The method with these numbers, whether the server knows it or not.
    pub const fn new(class: u16, method: u16) -> MethodId {
        MethodId { class, method }
    }
}

/// Numbers of classes.
pub mod class {
    /// Class connection.
    pub const CONNECTION: u16 = 10;
    /// Class channel.
    pub const CHANNEL: u16 = 20;
    /// Class exchange.
    pub const EXCHANGE: u16 = 40;
    /// Class queue.
    pub const QUEUE: u16 = 50;
    /// Class basic.
    pub const BASIC: u16 = 60;
    /// Class confirm.
    pub const CONFIRM: u16 = 85;
    /// Class tx.
    pub const TX: u16 = 90;
}

/// Methods that the server handles or sends.
pub mod method {
    use super::{class, MethodId};

    /// `connection.start`.
    pub const CONNECTION_START: MethodId = MethodId::new(class::CONNECTION, 10);
    /// `connection.start-ok`.
    pub const CONNECTION_START_OK: MethodId = MethodId::new(class::CONNECTION, 11);
    /// `connection.tune`.
    pub const CONNECTION_TUNE: MethodId = MethodId::new(class::CONNECTION, 30);
    /// `connection.tune-ok`.
    pub const CONNECTION_TUNE_OK: MethodId = MethodId::new(class::CONNECTION, 31);
    /// `connection.open`.
    pub const CONNECTION_OPEN: MethodId = MethodId::new(class::CONNECTION, 40);
    /// `connection.open-ok`.
    pub const CONNECTION_OPEN_OK: MethodId = MethodId::new(class::CONNECTION, 41);
    /// `connection.close`.
    pub const CONNECTION_CLOSE: MethodId = MethodId::new(class::CONNECTION, 50);
    /// `connection.close-ok`.
    pub const CONNECTION_CLOSE_OK: MethodId = MethodId::new(class::CONNECTION, 51);
    /// `connection.blocked`.
    pub const CONNECTION_BLOCKED: MethodId = MethodId::new(class::CONNECTION, 60);
    /// `connection.unblocked`.
    pub const CONNECTION_UNBLOCKED: MethodId = MethodId::new(class::CONNECTION, 61);
    /// `connection.update-secret`.
    pub const CONNECTION_UPDATE_SECRET: MethodId = MethodId::new(class::CONNECTION, 70);
    /// `channel.open`.
    pub const CHANNEL_OPEN: MethodId = MethodId::new(class::CHANNEL, 10);
    /// `channel.open-ok`.
    pub const CHANNEL_OPEN_OK: MethodId = MethodId::new(class::CHANNEL, 11);
    /// `channel.flow`.
    pub const CHANNEL_FLOW: MethodId = MethodId::new(class::CHANNEL, 20);
    /// `channel.flow-ok`.
    pub const CHANNEL_FLOW_OK: MethodId = MethodId::new(class::CHANNEL, 21);
    /// `channel.close`.
    pub const CHANNEL_CLOSE: MethodId = MethodId::new(class::CHANNEL, 40);
    /// `channel.close-ok`.
    pub const CHANNEL_CLOSE_OK: MethodId = MethodId::new(class::CHANNEL, 41);
    /// `exchange.declare`.
    pub const EXCHANGE_DECLARE: MethodId = MethodId::new(class::EXCHANGE, 10);
    /// `exchange.declare-ok`.
    pub const EXCHANGE_DECLARE_OK: MethodId = MethodId::new(class::EXCHANGE, 11);
    /// `exchange.delete`.
    pub const EXCHANGE_DELETE: MethodId = MethodId::new(class::EXCHANGE, 20);
    /// `exchange.delete-ok`.
    pub const EXCHANGE_DELETE_OK: MethodId = MethodId::new(class::EXCHANGE, 21);
    /// `exchange.bind`.
    pub const EXCHANGE_BIND: MethodId = MethodId::new(class::EXCHANGE, 30);
    /// `exchange.unbind`.
    pub const EXCHANGE_UNBIND: MethodId = MethodId::new(class::EXCHANGE, 40);
    /// `queue.declare`.
    pub const QUEUE_DECLARE: MethodId = MethodId::new(class::QUEUE, 10);
    /// `queue.declare-ok`.
    pub const QUEUE_DECLARE_OK: MethodId = MethodId::new(class::QUEUE, 11);
    /// `queue.bind`.
    pub const QUEUE_BIND: MethodId = MethodId::new(class::QUEUE, 20);
    /// `queue.bind-ok`.
    pub const QUEUE_BIND_OK: MethodId = MethodId::new(class::QUEUE, 21);
    /// `queue.purge`.
    pub const QUEUE_PURGE: MethodId = MethodId::new(class::QUEUE, 30);
    /// `queue.purge-ok`.
    pub const QUEUE_PURGE_OK: MethodId = MethodId::new(class::QUEUE, 31);
    /// `queue.delete`.
    pub const QUEUE_DELETE: MethodId = MethodId::new(class::QUEUE, 40);
    /// `queue.delete-ok`.
    pub const QUEUE_DELETE_OK: MethodId = MethodId::new(class::QUEUE, 41);
    /// `queue.unbind`.
    pub const QUEUE_UNBIND: MethodId = MethodId::new(class::QUEUE, 50);
    /// `queue.unbind-ok`.
    pub const QUEUE_UNBIND_OK: MethodId = MethodId::new(class::QUEUE, 51);
    /// `basic.qos`.
    pub const BASIC_QOS: MethodId = MethodId::new(class::BASIC, 10);
    /// `basic.qos-ok`.
    pub const BASIC_QOS_OK: MethodId = MethodId::new(class::BASIC, 11);
    /// `basic.consume`.
    pub const BASIC_CONSUME: MethodId = MethodId::new(class::BASIC, 20);
    /// `basic.consume-ok`.
    pub const BASIC_CONSUME_OK: MethodId = MethodId::new(class::BASIC, 21);
    /// `basic.cancel`.
    pub const BASIC_CANCEL: MethodId = MethodId::new(class::BASIC, 30);
    /// `basic.cancel-ok`.
    pub const BASIC_CANCEL_OK: MethodId = MethodId::new(class::BASIC, 31);
    /// `basic.publish`.
    pub const BASIC_PUBLISH: MethodId = MethodId::new(class::BASIC, 40);
    /// `basic.return`.
    pub const BASIC_RETURN: MethodId = MethodId::new(class::BASIC, 50);
    /// `basic.deliver`.
    pub const BASIC_DELIVER: MethodId = MethodId::new(class::BASIC, 60);
    /// `basic.get`.
    pub const BASIC_GET: MethodId = MethodId::new(class::BASIC, 70);
    /// `basic.get-ok`.
    pub const BASIC_GET_OK: MethodId = MethodId::new(class::BASIC, 71);
    /// `basic.get-empty`.
    pub const BASIC_GET_EMPTY: MethodId = MethodId::new(class::BASIC, 72);
    /// `basic.ack`.
    pub const BASIC_ACK: MethodId = MethodId::new(class::BASIC, 80);
    /// `basic.reject`.
    pub const BASIC_REJECT: MethodId = MethodId::new(class::BASIC, 90);
    /// `basic.recover-async`.
    pub const BASIC_RECOVER_ASYNC: MethodId = MethodId::new(class::BASIC, 100);
    /// `basic.recover`.
    pub const BASIC_RECOVER: MethodId = MethodId::new(class::BASIC, 110);
    /// `basic.recover-ok`.
    pub const BASIC_RECOVER_OK: MethodId = MethodId::new(class::BASIC, 111);
    /// `basic.nack`.
    pub const BASIC_NACK: MethodId = MethodId::new(class::BASIC, 120);
    /// `confirm.select`.
    pub const CONFIRM_SELECT: MethodId = MethodId::new(class::CONFIRM, 10);
    /// `confirm.select-ok`.
    pub const CONFIRM_SELECT_OK: MethodId = MethodId::new(class::CONFIRM, 11);
}
