//! State of connections and channels.
use super::ServerConfig;
use crate::virtual_host::{Message, QueueId};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Where a connection is in its life (section 2.2.4); the order is that of the negotiation.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) enum ConnectionState {
    AwaitingProtocolHeader,
    AwaitingStartOk,
    Authenticating,
    AwaitingTuneOk,
    AwaitingOpen,
    Running,
    /// The server sent `connection.close`; everything but `connection.close-ok` is dropped.
    Closing,
}

pub(super) struct Connection {
    /// The caller's handle. It also tells apart connections that had the same id one after the other.
    pub transport: u64,
    pub state: ConnectionState,
    pub virtual_host: usize,
    pub user: String,
    pub frame_max: u32,
    pub channel_max: u16,
    /// Heartbeat interval as negotiated; 0 for none.
    pub heartbeat: Time,
    /// When its present time limit began: accepted, or told to close.
    pub deadline_start: Time,
    pub last_read: Time,
    pub last_written: Time,
    pub channels: BTreeMap<u16, Channel>,
    /// Publishing is held back, and the client was notified where it can be.
    pub blocked: bool,
    /// The client understands `connection.blocked`.
    pub supports_blocked: bool,
    /// Requests without a final answer.
    pub pending_requests: usize,
}

impl Connection {
    pub fn new(transport: u64, config: &ServerConfig, now: Time) -> Connection {
        Connection {
            transport,
            state: ConnectionState::AwaitingProtocolHeader,
            virtual_host: 0,
            user: String::new(),
            frame_max: config.frame_max,
            channel_max: config.channel_max,
            heartbeat: 0,
            deadline_start: now,
            last_read: now,
            last_written: now,
            channels: BTreeMap::new(),
            blocked: false,
            supports_blocked: false,
            pending_requests: 0,
        }
    }
}

/// The content header of a publish, as far as it is needed until the body is complete.
pub(super) struct PublishHeader {
    pub body_size: u64,
    pub encoded_properties: Rc<[u8]>,
}

/// A publish whose content is not complete yet.
pub(super) struct PartialPublish {
    pub exchange: Rc<str>,
    pub routing_key: Rc<str>,
    pub mandatory: bool,
    pub header: Option<PublishHeader>,
    pub body: Vec<u8>,
}

/// A message that was delivered and not acknowledged.
pub(super) struct Unacknowledged {
    pub delivery_tag: u64,
    pub queue: QueueId,
    /// Tells apart queues that had the same id one after the other.
    pub queue_name: Rc<str>,
    /// Empty for a message of `basic.get`.
    pub consumer_tag: Rc<str>,
    pub message: Message,
}

/// A consumer as its channel knows it.
pub(super) struct ChannelConsumer {
    pub queue: QueueId,
    /// Unacknowledged messages that it may have; 0 for no bound.
    pub prefetch: u16,
}

#[derive(Default)]
pub(super) struct Channel {
    /// Tells apart channels that had the same number one after the other.
    pub generation: u64,
    /// The server sent `channel.close` and waits for `channel.close-ok`.
    pub closing: bool,
    /// The client stopped deliveries by `channel.flow`.
    pub flow_stopped: bool,
    pub confirm_mode: bool,
    /// Sequence number of the latest publish in confirm mode.
    pub publish_sequence: u64,
    /// Publishes whose outcome is not known.
    pub unconfirmed: BTreeSet<u64>,
    /// Publishes whose ack is not sent yet.
    pub unsent_acks: BTreeSet<u64>,
    pub last_delivery_tag: u64,
    pub unacknowledged: VecDeque<Unacknowledged>,
    /// By consumer tag.
    pub consumers: BTreeMap<Rc<str>, ChannelConsumer>,
    /// For each consumer that comes; 0 for no bound.
    pub prefetch: u16,
    /// For all consumers of the channel together; 0 for no bound.
    pub channel_prefetch: u16,
    /// Tag of the consumer of direct replies.
    pub direct_reply_consumer: Option<Rc<str>>,
    pub partial_publish: Option<PartialPublish>,
    /// What an empty queue name means (50, `queue-name`).
    pub last_queue: String,
    /// Consumers so far; numbers the tags that the server makes.
    pub consumer_count: u64,
}

/// A channel by the id of its connection and its number; number 0 stands for the connection itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ChannelAddress {
    pub connection: usize,
    pub number: u16,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct QueueAddress {
    pub virtual_host: usize,
    pub queue: QueueId,
}

/// Where a publish came from; a later user of the same connection id or channel number is not confused with it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PublishOrigin {
    pub channel: ChannelAddress,
    pub transport: u64,
    pub generation: u64,
    /// Its number in confirm mode; 0 where the channel wants no confirms.
    pub sequence: u64,
}

/// A request that waits for its final answer.
pub(super) struct PendingRequest {
    pub origin: PublishOrigin,
    pub reply_to: String,
    pub virtual_host: usize,
    pub message: Message,
    pub correlation_id: String,
}
