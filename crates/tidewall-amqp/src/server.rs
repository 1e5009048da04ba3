//! Connections and channels: methods of clients become calls of a virtual host and of [`ServerActions`], and messages
//! are delivered to consumers. Exceptions are the specification's own: soft ones close their channel, hard ones the
//! connection.
//!
//! One file a concern: `connection` negotiates, `channel` dispatches frames, `topology` declares exchanges and queues,
//! `publish` takes content, `confirms` acknowledges it, `requests` answers publishes to the trigger exchange,
//! `consumers` and `delivery` hand messages out, `acknowledgements` takes them back, `dead_letters` moves expired and
//! rejected ones, `heartbeat` acts by the clock, `close` ends channels and connections.
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

/// The name with which a client asks for replies on its own channel, without a queue.
const DIRECT_REPLY_TO: &str = "amq.rabbitmq.reply-to";

/// What handling a frame may end with: an exception for the channel or the connection.
type MethodResult = Result<(), ProtocolError>;

/// All connections of one listener, with the virtual hosts that they share.
///
/// Time advances by [`Server::advance_clock`] alone, so it should be called before every other call.
pub struct Server {
    config: ServerConfig,
    connections: Slab<Connection>,
    virtual_hosts: Vec<VirtualHost>,
    pending_requests: Slab<PendingRequest>,
    /// Generations given to channels so far.
    channel_generations: u64,
    /// Queues that may have something for a consumer; the last one is looked at first.
    active_queues: Vec<QueueAddress>,
    /// Publishes of abandoned requests: a nack is due.
    abandoned_publishes: Vec<PublishOrigin>,
    /// Channels with acks of publishes to send.
    unsent_acks: Vec<ChannelAddress>,
    /// Frames in the making; kept, so that writing allocates nothing once it has grown.
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

    /// Sets the present time; an earlier one than before changes nothing.
    pub fn advance_clock(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    /// A connection was accepted; gives the id by which it is known here. `transport` is the caller's own handle of it.
    pub fn connection_accepted(&mut self, transport: u64) -> usize {
        self.connections
            .insert(Connection::new(transport, &self.config, self.now))
    }

    /// Connections that are open or being negotiated.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Requests of all connections that have no final answer yet.
    pub fn pending_request_count(&self) -> usize {
        self.pending_requests.len()
    }

    /// Requests of one connection that have no final answer yet.
    pub fn pending_requests_of(&self, connection: usize) -> usize {
        self.connections
            .get(connection)
            .map_or(0, |connection| connection.pending_requests)
    }

    /// Who logged in, once the connection is open.
    pub fn user(&self, connection: usize) -> Option<&str> {
        self.connections
            .get(connection)
            .filter(|connection| connection.state == ConnectionState::Running)
            .map(|connection| connection.user.as_str())
    }

    /// Bytes of messages that are ready for delivery, in all virtual hosts.
    pub fn queued_bytes(&self) -> usize {
        self.virtual_hosts
            .iter()
            .map(VirtualHost::ready_bytes)
            .sum()
    }

    /// Replies so far that no queue or channel was there to take.
    pub fn unroutable_replies(&self) -> u64 {
        self.unroutable_replies
    }

    /// Channels and connections so far that an exception closed.
    pub fn exception_count(&self) -> u64 {
        self.exception_count
    }

    /// Text of the latest exception with its reply code and method; empty before the first.
    pub fn last_exception(&self) -> &str {
        &self.last_exception
    }

    /// Takes what was read from a connection and gives the number of bytes consumed; the rest, an incomplete frame,
    /// must come again with what follows it.
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
                    // 4.2.2: the server answers with the protocol that it speaks and closes.
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

    /// Sends what is in `output`.
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
