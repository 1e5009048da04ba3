//! State of connections and channels.
use super::ServerConfig;
use crate::virtual_host::{Message, QueueId};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// The state of a connection (section 2.2.4), in the order of the negotiation.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) enum ConnectionState {
    AwaitingProtocolHeader,
    AwaitingStartOk,
    Authenticating,
    AwaitingTuneOk,
    AwaitingOpen,
    Running,
    /// The server has sent `connection.close`. All frames but `connection.close-ok` and `connection.close`
    /// are discarded.
    Closing,
}

pub(super) struct Connection {
    /// The caller's handle. It also distinguishes connections that had the same id one after the other.
    pub transport: u64,
    pub state: ConnectionState,
    pub virtual_host: usize,
    pub user: String,
    pub frame_max: u32,
    pub channel_max: u16,
    /// Negotiated heartbeat interval; 0 for no heartbeats.
    pub heartbeat: Time,
    /// When the present timeout started: when the connection was accepted, or when the server sent
    /// `connection.close`.
    pub deadline_start: Time,
    pub last_read: Time,
    pub last_written: Time,
    pub channels: BTreeMap<u16, Channel>,
    /// Publishing is blocked, and the client was notified if it supports that.
    pub blocked: bool,
    /// The client supports `connection.blocked`.
    pub supports_blocked: bool,
    /// Number of requests without a final answer.
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

/// The parts of a content header that are needed until the body is complete.
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

/// A message that was delivered and is not acknowledged yet.
pub(super) struct Unacknowledged {
    pub delivery_tag: u64,
    pub queue: QueueId,
    /// Distinguishes queues that had the same id one after the other.
    pub queue_name: Rc<str>,
    /// Empty for a message of `basic.get`.
    pub consumer_tag: Rc<str>,
    pub message: Message,
}

/// The state that a channel keeps for a consumer.
pub(super) struct ChannelConsumer {
    pub queue: QueueId,
    /// Limit of the consumer's unacknowledged messages; 0 for none.
    pub prefetch: u16,
}

#[derive(Default)]
pub(super) struct Channel {
    /// Distinguishes channels that had the same number one after the other.
    pub generation: u64,
    /// The server has sent `channel.close` and waits for `channel.close-ok`.
    pub closing: bool,
    /// The client has stopped deliveries by `channel.flow`.
    pub flow_stopped: bool,
    pub confirm_mode: bool,
    /// Sequence number of the latest publish in confirm mode.
    pub publish_sequence: u64,
    /// Sequence numbers of publishes whose outcome is not known yet.
    pub unconfirmed: BTreeSet<u64>,
    /// Sequence numbers of publishes whose ack was not sent yet.
    pub unsent_acks: BTreeSet<u64>,
    pub last_delivery_tag: u64,
    pub unacknowledged: VecDeque<Unacknowledged>,
    /// By consumer tag.
    pub consumers: BTreeMap<Rc<str>, ChannelConsumer>,
    /// Prefetch limit of each consumer that is added later; 0 for none.
    pub prefetch: u16,
    /// Prefetch limit of all consumers of the channel together; 0 for none.
    pub channel_prefetch: u16,
    /// Consumer tag for direct replies, if the channel consumes them.
    pub direct_reply_consumer: Option<Rc<str>>,
    pub partial_publish: Option<PartialPublish>,
    /// The queue that was declared last, which is meant by an empty queue name (50, `queue-name`).
    pub last_queue: String,
    /// Number of consumers so far, used in the consumer tags that the server generates.
    pub consumer_count: u64,
}

/// Identifies a channel by the id of its connection and its number. Number 0 stands for the connection
/// itself.
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

/// Identifies the channel of a publish, also when its connection id or channel number is used again later.
#[derive(Clone, Copy, Debug)]
pub(super) struct PublishOrigin {
    pub channel: ChannelAddress,
    pub transport: u64,
    pub generation: u64,
    /// Sequence number of the publish in confirm mode; 0 if the channel is not in confirm mode.
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
