//! Connections and channels. The server turns the methods of clients into calls of a virtual host and of
//! [`ServerActions`], and delivers messages to consumers. Exceptions are those of the specification: a soft
//! one closes its channel, a hard one the connection.
//!
//! Each file has one concern: `connection` negotiates, `channel` dispatches frames, `topology` declares
//! exchanges and queues, `publish` receives content, `confirms` sends publisher confirms, `requests` answers
//! publishes to the trigger exchange, `consumers` and `delivery` deliver messages, `acknowledgements` handles
//! their acknowledgements, `dead_letters` moves expired and rejected messages, `heartbeat` handles timeouts,
//! and `close` closes channels and connections.
mod acknowledgements;
mod channel;
mod close;
mod confirms;
mod connection;
mod consumers;
mod dead_letters;
mod delivery;
mod heartbeat;
mod interface;
mod publish;
mod requests;
mod state;
mod topology;

pub use interface::{
    Disposition, FinalAnswer, NotAccepted, ServerActions, ServerConfig, TriggerPublish,
};

use crate::codec::{self, FrameWriter, MethodId};
use crate::virtual_host::VirtualHost;
use crate::{ProtocolError, Time};
use slab::Slab;
use state::{
    ChannelAddress, Connection, ConnectionState, PendingRequest, PublishOrigin, QueueAddress,
};

/// The pseudo-queue by which a client receives replies directly on its channel, without a queue.
const DIRECT_REPLY_TO: &str = "amq.rabbitmq.reply-to";

/// The result of handling a frame; an error closes the channel or the connection.
type MethodResult = Result<(), ProtocolError>;

/// All connections of one listener, with the virtual hosts that they share.
///
/// Time advances only by [`Server::advance_clock`], so the caller should call it before every other method.
pub struct Server {
    config: ServerConfig,
    connections: Slab<Connection>,
    virtual_hosts: Vec<VirtualHost>,
    pending_requests: Slab<PendingRequest>,
    /// The last generation given to a channel.
    channel_generations: u64,
    /// Queues that may have a message to deliver; the last one is handled first.
    active_queues: Vec<QueueAddress>,
    /// Publishes of abandoned requests, for which a nack is to be sent.
    abandoned_publishes: Vec<PublishOrigin>,
    /// Channels for which acks of publishes are to be sent.
    unsent_acks: Vec<ChannelAddress>,
    /// Frames that are being written. The buffer is reused, so that writing does not allocate once it is
    /// large enough.
    output: Vec<u8>,
    now: Time,
    unroutable_replies: u64,
    exception_count: u64,
    last_exception: String,
}

impl Server {
    /// A server without connections; each virtual host starts with the predeclared exchanges.
    pub fn new(config: ServerConfig) -> Server {
        let virtual_hosts = config
            .virtual_hosts
            .iter()
            .map(|_| VirtualHost::new(&config.trigger_exchange))
            .collect();
        Server {
            config,
            connections: Slab::new(),
            virtual_hosts,
            pending_requests: Slab::new(),
            channel_generations: 0,
            active_queues: Vec::new(),
            abandoned_publishes: Vec::new(),
            unsent_acks: Vec::new(),
            output: Vec::new(),
            now: 0,
            unroutable_replies: 0,
            exception_count: 0,
            last_exception: String::new(),
        }
    }

    /// Sets the current time. A time earlier than the last one is ignored.
    pub fn advance_clock(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    /// Adds a connection that was accepted and returns its id at the server. `transport` is the caller's
    /// handle for it.
    pub fn connection_accepted(&mut self, transport: u64) -> usize {
        self.connections
            .insert(Connection::new(transport, &self.config, self.now))
    }

    /// Number of connections, open or being negotiated.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Number of requests without a final answer, of all connections.
    pub fn pending_request_count(&self) -> usize {
        self.pending_requests.len()
    }

    /// Number of requests of one connection without a final answer.
    pub fn pending_requests_of(&self, connection: usize) -> usize {
        self.connections
            .get(connection)
            .map_or(0, |connection| connection.pending_requests)
    }

    /// The user that is logged in, once the connection is open.
    pub fn user(&self, connection: usize) -> Option<&str> {
        self.connections
            .get(connection)
            .filter(|connection| connection.state == ConnectionState::Running)
            .map(|connection| connection.user.as_str())
    }

    /// Size of the messages that are ready for delivery, in all virtual hosts.
    pub fn queued_bytes(&self) -> usize {
        self.virtual_hosts
            .iter()
            .map(VirtualHost::ready_bytes)
            .sum()
    }

    /// Number of replies so far for which the queue or channel did not exist.
    pub fn unroutable_replies(&self) -> u64 {
        self.unroutable_replies
    }

    /// Number of exceptions so far.
    pub fn exception_count(&self) -> u64 {
        self.exception_count
    }

    /// Text of the latest exception with its reply code and method; empty before the first.
    pub fn last_exception(&self) -> &str {
        &self.last_exception
    }

    /// Handles bytes that were read from a connection and returns the number of bytes consumed. The rest is
    /// an incomplete frame, which the caller must pass again together with the bytes that follow.
    pub fn receive<A: ServerActions>(
        &mut self,
        actions: &mut A,
        connection: usize,
        bytes: &[u8],
    ) -> usize {
        let mut consumed = 0;
        if let Some(connection) = self.connections.get_mut(connection) {
            connection.last_read = self.now;
        }
        while let Some(state) = self.connections.get(connection) {
            let rest = &bytes[consumed..];
            if state.state == ConnectionState::AwaitingProtocolHeader {
                if rest.len() < codec::PROTOCOL_HEADER.len()
                    && codec::PROTOCOL_HEADER.starts_with(rest)
                {
                    break;
                }
                if !rest.starts_with(&codec::PROTOCOL_HEADER) {
                    // 4.2.2: the server answers with the protocol header that it supports and closes.
                    actions.write(state.transport, &codec::PROTOCOL_HEADER);
                    actions.close(state.transport);
                    self.connection_closed(connection);
                    return bytes.len();
                }
                consumed += codec::PROTOCOL_HEADER.len();
                self.send_start(actions, connection);
                continue;
            }
            match codec::decode_frame(rest, state.frame_max) {
                Ok(None) => break,
                Ok(Some((frame, length))) => {
                    consumed += length;
                    if let Err(error) = self.receive_frame(actions, connection, &frame) {
                        self.raise_exception(actions, connection, frame.channel, error);
                    }
                }
                Err(error) => {
                    self.raise_exception(actions, connection, 0, error);
                    return bytes.len();
                }
            }
        }
        self.flush(actions);
        consumed
    }

    /// Sends the contents of `output`.
    fn write_output<A: ServerActions>(&mut self, actions: &mut A, connection: usize) {
        if let Some(connection) = self.connections.get_mut(connection) {
            connection.last_written = self.now;
            actions.write(connection.transport, &self.output);
        }
        self.output.clear();
    }

    /// Sends one method frame.
    fn write_method<A: ServerActions>(
        &mut self,
        actions: &mut A,
        to: ChannelAddress,
        id: MethodId,
        arguments: impl FnOnce(FrameWriter) -> FrameWriter,
    ) {
        self.output.clear();
        arguments(FrameWriter::method(&mut self.output, to.number, id)).finish();
        self.write_output(actions, to.connection);
    }
}
