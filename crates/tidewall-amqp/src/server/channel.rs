//! Dispatch of received frames, and class channel (section 1.5).
use super::state::{Channel, ChannelAddress, ConnectionState};
use super::{MethodResult, Server, ServerActions};
use crate::codec::{self, class, method, ArgumentReader, Frame, MethodId};
use crate::{reply_code, ProtocolError};

/// The exception for a method that does not exist in its class.
pub(super) fn unknown_method() -> ProtocolError {
    ProtocolError::new(reply_code::COMMAND_INVALID, "the method is unknown")
}

/// The exception for a channel that was not opened or is closed.
pub(super) fn channel_not_open(number: u16) -> ProtocolError {
    ProtocolError::new(
        reply_code::CHANNEL_ERROR,
        format!("channel {number} is not open"),
    )
}

impl Server {
    pub(super) fn receive_frame<A: ServerActions>(
        &mut self,
        actions: &mut A,
        connection: usize,
        frame: &Frame,
    ) -> MethodResult {
        let state = &self.connections[connection];
        if state.state == ConnectionState::Closing {
            // Only close-ok is handled, and a close that the client sent before it received the server's.
            let closed = frame.frame_type == codec::FRAME_METHOD
                && ArgumentReader::new(frame.payload)
                    .method_id()
                    .is_ok_and(|id| {
                        matches!(id, method::CONNECTION_CLOSE_OK | method::CONNECTION_CLOSE)
                    });
            if closed {
                actions.close(state.transport);
                self.connection_closed(connection);
            }
            return Ok(());
        }
        let from = ChannelAddress {
            connection,
            number: frame.channel,
        };
        match frame.frame_type {
            codec::FRAME_HEARTBEAT if frame.channel > 0 => Err(ProtocolError::new(
                reply_code::FRAME_ERROR,
                "heartbeats come on channel 0",
            )),
            codec::FRAME_HEARTBEAT => Ok(()),
            codec::FRAME_METHOD => {
                let mut arguments = ArgumentReader::new(frame.payload);
                let id = arguments.method_id()?;
                self.receive_method(actions, from, id, &mut arguments)
                    .map_err(|error| error.in_method(id))
            }
            codec::FRAME_HEADER => self.receive_header(actions, from, frame.payload),
            _ => self.receive_body(actions, from, frame.payload),
        }
    }

    fn receive_method<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
        id: MethodId,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        let connection = &mut self.connections[from.connection];
        if id.class == class::CONNECTION {
            if from.number > 0 {
                return Err(ProtocolError::new(
                    reply_code::COMMAND_INVALID,
                    "connection methods come on channel 0",
                ));
            }
            return self.connection_method(actions, from.connection, id, arguments);
        }
        if connection.state != ConnectionState::Running {
            return Err(ProtocolError::new(
                reply_code::COMMAND_INVALID,
                "the connection is not open",
            ));
        }
        if from.number == 0 || from.number > connection.channel_max {
            return Err(ProtocolError::new(
                reply_code::CHANNEL_ERROR,
                format!("channel {} is not to be had", from.number),
            ));
        }
        if id == method::CHANNEL_OPEN {
            return self.open_channel(actions, from);
        }
        let Some(channel) = connection.channels.get_mut(&from.number) else {
            return Err(channel_not_open(from.number));
        };
        if channel.closing {
            // 1.5.2.5 (channel.close): until then, all methods but close and close-ok are discarded.
            if matches!(id, method::CHANNEL_CLOSE | method::CHANNEL_CLOSE_OK) {
                if id == method::CHANNEL_CLOSE {
                    self.write_method(actions, from, method::CHANNEL_CLOSE_OK, |frame| frame);
                }
                self.connections[from.connection]
                    .channels
                    .remove(&from.number);
            }
            return Ok(());
        }
        if channel.partial_publish.is_some() {
            return Err(ProtocolError::new(
                reply_code::UNEXPECTED_FRAME,
                "a method came within a content",
            ));
        }
        self.channel_method(actions, from, id, arguments)
    }

    fn open_channel<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
    ) -> MethodResult {
        let channels = &mut self.connections[from.connection].channels;
        if channels.contains_key(&from.number) {
            return Err(ProtocolError::new(
                reply_code::CHANNEL_ERROR,
                format!("channel {} is open already", from.number),
            ));
        }
        self.channel_generations += 1;
        let channel = Channel {
            generation: self.channel_generations,
            ..Channel::default()
        };
        channels.insert(from.number, channel);
        self.write_method(actions, from, method::CHANNEL_OPEN_OK, |frame| {
            frame.long_str(b"")
        });
        Ok(())
    }

    /// Handles a method on an open channel.
    fn channel_method<A: ServerActions>(
        &mut self,
        actions: &mut A,
        from: ChannelAddress,
        id: MethodId,
        arguments: &mut ArgumentReader,
    ) -> MethodResult {
        match (id.class, id) {
            (_, method::CHANNEL_FLOW) => {
                let active = arguments.bit()?;
                if let Some(channel) = self.channel_mut(from) {
                    channel.flow_stopped = !active;
                }
                self.write_method(actions, from, method::CHANNEL_FLOW_OK, |frame| {
                    frame.bit(active)
                });
                self.mark_queues_active(from);
                Ok(())
            }
            (_, method::CHANNEL_FLOW_OK | method::CHANNEL_CLOSE_OK) => Ok(()),
            (_, method::CHANNEL_CLOSE) => {
                self.release_channel(from);
                self.flush_confirms(actions);
                self.connections[from.connection]
                    .channels
                    .remove(&from.number);
                self.write_method(actions, from, method::CHANNEL_CLOSE_OK, |frame| frame);
                Ok(())
            }
            (class::EXCHANGE, _) => self.exchange_method(actions, from, id, arguments),
            (class::QUEUE, _) => self.queue_method(actions, from, id, arguments),
            (class::BASIC, _) => self.basic_method(actions, from, id, arguments),
            (_, method::CONFIRM_SELECT) => {
                let no_wait = arguments.bit()?;
                if let Some(channel) = self.channel_mut(from) {
                    channel.confirm_mode = true;
                }
                if !no_wait {
                    self.write_method(actions, from, method::CONFIRM_SELECT_OK, |frame| frame);
                }
                Ok(())
            }
            (class::TX, _) => Err(ProtocolError::new(
                reply_code::NOT_IMPLEMENTED,
                "transactions are not served",
            )),
            _ => Err(unknown_method()),
        }
    }

    pub(super) fn channel_mut(&mut self, address: ChannelAddress) -> Option<&mut Channel> {
        self.connections
            .get_mut(address.connection)?
            .channels
            .get_mut(&address.number)
    }
}
